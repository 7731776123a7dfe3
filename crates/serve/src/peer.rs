//! Messages between daemons and the leader.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::{TargetName, Time};
use bytes::Bytes;
use daemon::boot_time;
use fleet::{AdapterReply, AdapterRequest, ChangeBatch, ModelRef, SyncReply, SyncReport};
use front::FetchEnd;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use lead::AdapterState;
use platform::HttpCall;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::answer::{full, ReplyBody};
use crate::exchange::IDLE_LIMIT;
use crate::host::{sleep_until, Host};
use crate::link::Link;
use crate::trail::Line;

/// How long a connection to a peer or to an engine's control calls may take.
pub(crate) const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// How long a report to the leader may take.
const SYNC_LIMIT: Duration = Duration::from_millis(350);
/// How long a request waits for an adapter.
const ADAPTER_LIMIT: Duration = Duration::from_millis(350);
/// Pause between two looks at an adapter's order, which most often wakes its waiters itself.
const ADAPTER_LOOK: Duration = Duration::from_millis(15);
/// Largest message of a peer.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

const SYNC_PATH: &str = "/sync";
const ADAPTER_PATH: &str = "/adapter";

/// Reports to the leader whenever a report is due.
pub(crate) async fn sync_loop(host: Rc<Host>) {
    let mut heard = true;
    loop {
        let due = host.desk.borrow().sync_due(boot_time());
        if boot_time() < due {
            tokio::select! {
                () = host.sync.notified() => {}
                () = sleep_until(due) => {}
            }
            continue;
        }
        let asked_at = boot_time();
        let report = host.desk.borrow_mut().report(asked_at, host.known.get());
        let mut reply = sync(&host, &report).await;
        let now = boot_time();
        match &mut reply {
            Some(reply) => take_relayed(&host, asked_at, reply.changes.take()),
            None => take_silence(&host),
        }
        if heard != reply.is_some() {
            heard = reply.is_some();
            let leader = host.leader.borrow().as_ref().map(|entry| entry.host.to_string());
            let event = if heard { "leader_heard" } else { "leader_silent" };
            Line::new(event).with("leader", leader.unwrap_or_default()).info();
        }
        if let Some(reply) = reply {
            host.desk.borrow_mut().replied(now, asked_at, &reply);
            host.changed.notify_waiters();
        }
    }
}

/// Hands what the leader passed on to the follower.
fn take_relayed(host: &Host, asked_at: Time, batch: Option<ChangeBatch>) {
    let mut view = host.relay.get();
    view.replied(asked_at, batch.as_ref());
    host.relay.set(view);
    host.relayed.borrow_mut().extend(batch);
    host.relay_changed.notify_one();
}

/// Has the follower look for the next leader when the present one's term may have run out; at once
/// where this daemon should be the next.
fn take_silence(host: &Host) {
    let heard_at = host.desk.borrow().leader_heard().1;
    let lease = if host.is_roomy() { Duration::ZERO } else { host.settings.lease };
    let mut view = host.relay.get();
    view.silent(heard_at, lease);
    host.relay.set(view);
    host.relay_changed.notify_one();
}

async fn sync(host: &Host, report: &SyncReport) -> Option<SyncReply> {
    if host.leading.borrow().is_some() {
        return take_report(host, report);
    }
    let address = host.leader.borrow().as_ref().map(|entry| entry.address)?;
    ask(host, address, SYNC_PATH, report, SYNC_LIMIT).await
}

fn take_report(host: &Host, report: &SyncReport) -> Option<SyncReply> {
    let mut leading = host.leading.borrow_mut();
    let lead = &mut leading.as_mut()?.lead;
    let reply = lead.synced(boot_time(), report);
    host.plan.notify_one();
    Some(reply)
}

/// Asks the leader for an adapter on a target and waits until it is there.
pub(crate) async fn fetch(host: &Host, target: &TargetName, subject: &ModelRef) -> FetchEnd {
    if host.leading.borrow().is_some() {
        return provide(host, target, subject).await;
    }
    let Some(address) = host.leader.borrow().as_ref().map(|entry| entry.address) else {
        return FetchEnd::Failed;
    };
    let question = AdapterRequest { target: target.clone(), subject: subject.clone() };
    let limit = ADAPTER_LIMIT + SYNC_LIMIT / 4;
    let reply: Option<AdapterReply> = ask(host, address, ADAPTER_PATH, &question, limit).await;
    match reply {
        Some(AdapterReply { ready: true, .. }) => FetchEnd::Ready,
        Some(AdapterReply { wait_ms: Some(ms), .. }) => FetchEnd::Busy(Duration::from_millis(ms)),
        Some(_) | None => FetchEnd::Failed,
    }
}

/// Has an adapter loaded, as the leader.
async fn provide(host: &Host, target: &TargetName, subject: &ModelRef) -> FetchEnd {
    let until = boot_time() + ADAPTER_LIMIT;
    let mut asked = false;
    loop {
        let now = boot_time();
        let state = match host.leading.borrow_mut().as_mut() {
            None => return FetchEnd::Failed,
            Some(leading) if !asked => leading.lead.want_adapter(now, target, subject),
            Some(leading) => leading.lead.adapter_state(target, subject),
        };
        asked = true;
        match state {
            AdapterState::Ready(at) => {
                sleep_until(at).await;
                return FetchEnd::Ready;
            }
            AdapterState::Busy(at) => return FetchEnd::Busy(at.since(now)),
            AdapterState::Ordered if now < until => host.plan.notify_one(),
            AdapterState::Ordered | AdapterState::Impossible => return FetchEnd::Failed,
        }
        tokio::select! {
            () = host.changed.notified() => {}
            () = tokio::time::sleep(ADAPTER_LOOK) => {}
        }
    }
}

/// Sends a message to a peer and reads its answer.
async fn ask<Q: Serialize, A: DeserializeOwned>(
    host: &Host,
    address: SocketAddr,
    path: &str,
    question: &Q,
    limit: Duration,
) -> Option<A> {
    let body = serde_json::to_vec(question).ok()?;
    let call = HttpCall { method: Method::POST, path: path.to_owned(), body };
    let exchange = async {
        let kept = host.pool.borrow_mut().take(boot_time(), address, IDLE_LIMIT);
        let mut link = match kept {
            Some(link) => link,
            None => Link::open(address, CONNECT_LIMIT).await?,
        };
        let answer = link.call(address, &call, None).await.ok()?;
        host.pool.borrow_mut().put(boot_time(), address, link);
        (answer.status() == StatusCode::OK).then(|| answer.into_body())
    };
    match tokio::time::timeout(limit, exchange).await {
        Ok(body) => serde_json::from_slice(&body?).ok(),
        Err(_) => {
            host.pool.borrow_mut().forget(address);
            None
        }
    }
}

/// Answers peers.
pub(crate) async fn serve_peer(
    host: Rc<Host>,
    request: Request<Incoming>,
) -> Result<Response<ReplyBody>, Infallible> {
    let path = request.uri().path().to_owned();
    let reading = Limited::new(request.into_body(), MAX_MESSAGE_BYTES).collect().await;
    let body = reading.map(|body| body.to_bytes()).unwrap_or_default();
    let answer = match path.as_str() {
        SYNC_PATH => read(&body).and_then(|report| to_json(&take_report(&host, &report)?)),
        ADAPTER_PATH => match read::<AdapterRequest>(&body) {
            Some(question) if host.leading.borrow().is_some() => {
                let end = provide(&host, &question.target, &question.subject).await;
                let wait_ms = match end {
                    FetchEnd::Busy(span) => Some(span.as_millis() as u64),
                    FetchEnd::Ready | FetchEnd::Failed => None,
                };
                to_json(&AdapterReply { ready: end == FetchEnd::Ready, wait_ms })
            }
            _ => None,
        },
        _ => None,
    };
    let mut response = Response::new(full(answer.clone().unwrap_or_default()));
    if answer.is_none() {
        // Not the leader, or not a message: the peer finds the leader in the store.
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Ok(response)
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

fn to_json<T: Serialize>(value: &T) -> Option<Bytes> {
    serde_json::to_vec(value).ok().map(Bytes::from)
}
