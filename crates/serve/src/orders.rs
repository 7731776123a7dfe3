//! Carries out the leader's plan: orders to engines, and their reports.

use std::rc::Rc;
use std::time::Duration;

use base::TargetName;
use daemon::boot_time;
use fleet::{EngineOrder, OrderReply, TargetEntry};
use lead::{Lead, LeadAction, LeadNote};
use platform::engine::{instance_header, order_call, order_reply, report_call, report_reply};
use platform::request::read_notice;

use crate::exchange::{take_word, IDLE_LIMIT};
use crate::host::{sleep_until, Host, LOOP_PAUSE};
use crate::link::{Link, LinkError};
use crate::peer::CONNECT_LIMIT;
use crate::seat::resign;
use crate::trail::Line;

/// How long an order or an engine's report may take.
const ENGINE_LIMIT: Duration = Duration::from_millis(1_000);

/// The leader's work, while this daemon leads.
pub(crate) struct Leading {
    pub(crate) lead: Lead,
}

/// Passes the present list of targets to the leader's part.
pub(crate) fn targets_changed(host: &Host) {
    if let Some(leading) = host.leading.borrow_mut().as_mut() {
        let entries: Vec<TargetEntry> = host.desk.borrow().targets().entries().cloned().collect();
        leading.lead.targets_listed(boot_time(), &entries);
        host.plan.notify_one();
    }
}

/// Carries out the leader's plan while this daemon leads.
pub(crate) async fn plan_loop(host: Rc<Host>) {
    loop {
        let now = boot_time();
        let (actions, next) = match host.leading.borrow_mut().as_mut() {
            Some(leading) => {
                let actions = leading.lead.plan(now);
                leading.lead.take_notes().into_iter().for_each(note_lead);
                (actions, leading.lead.plan_at(now))
            }
            None => (Vec::new(), None),
        };
        for action in actions {
            tokio::task::spawn_local(carry_out(host.clone(), action));
        }
        let next = next.unwrap_or(now + LOOP_PAUSE).min(now + LOOP_PAUSE);
        let next = next.max(now + Duration::from_millis(5));
        tokio::select! {
            () = host.plan.notified() => {}
            () = sleep_until(next) => {}
        }
    }
}

fn note_lead(note: LeadNote) {
    match note {
        LeadNote::Planned(load) => Line::new("load_planned")
            .text("model", &load.model)
            .text("target", &load.target)
            .with("victim", load.victim.map(|victim| victim.to_string()))
            .with("from_store", load.from_store)
            .with("waiting", load.waiting)
            .with("rate", load.rate)
            .with("wanted", load.wanted)
            .info(),
        LeadNote::Ended(load) => Line::new("load_ended")
            .text("model", &load.model)
            .text("target", &load.target)
            .with("from_store", load.from_store)
            .with("held", load.is_held)
            .with("took_ms", u64::try_from(load.took.as_millis()).unwrap_or(u64::MAX))
            .info(),
        LeadNote::Backlog(backlog) => Line::new("load_backlog")
            .with("models", backlog.models)
            .with("waiting", backlog.waiting)
            .with("on_idle_disk", backlog.on_idle_disk)
            .with("on_busy_disk", backlog.on_busy_disk)
            .with("store_loads", backlog.store_loads)
            .with("store_growth", backlog.store_growth)
            .info(),
    }
}

async fn carry_out(host: Rc<Host>, action: LeadAction) {
    match action {
        LeadAction::Report(target) => {
            let asked_at = boot_time();
            let report = report(&host, &target).await;
            if report.is_none() {
                Line::new("report_missing").text("target", &target).info();
            }
            if let Some(leading) = host.leading.borrow_mut().as_mut() {
                leading.lead.reported(boot_time(), &target, asked_at, report.as_ref());
            }
        }
        LeadAction::Order(order) => {
            let reply = give(&host, &order).await;
            Line::new("order")
                .text("target", &order.target)
                .text("subject", &order.subject)
                .with("kind", format!("{:?}", order.kind))
                .with("expected", order.expected.0)
                .with("fence", order.fence)
                .with("reply", format!("{reply:?}"))
                .info();
            let current = match host.leading.borrow_mut().as_mut() {
                Some(leading) if leading.lead.term().fence == order.fence => {
                    leading.lead.answered(boot_time(), &order, reply)
                }
                _ => true,
            };
            if !current {
                resign(&host, "a target knows a later leader");
            }
        }
    }
    host.plan.notify_one();
    host.changed.notify_waiters();
}

async fn report(host: &Host, target: &TargetName) -> Option<fleet::EngineReport> {
    let address = host.desk.borrow().targets().entry(target)?.address;
    let exchange = async {
        let kept = host.report_pool.borrow_mut().take(boot_time(), address, IDLE_LIMIT / 4);
        let mut link = match kept {
            Some(link) => link,
            None => Link::open(address, CONNECT_LIMIT).await?,
        };
        let answer = link.call(address, &report_call(), instance_header(target)).await.ok()?;
        host.report_pool.borrow_mut().put(boot_time(), address, link);
        Some(answer)
    };
    let answer = tokio::time::timeout(ENGINE_LIMIT, exchange).await.ok()??;
    take_word(host, target, read_notice(answer.status(), answer.headers()));
    match report_reply(answer.status().as_u16(), answer.body()) {
        Ok(report) => Some(report),
        Err(error) => {
            Line::new("report_unread").text("target", target).text("error", &error).info();
            None
        }
    }
}

async fn give(host: &Host, order: &EngineOrder) -> OrderReply {
    let Some(address) = host.desk.borrow().targets().entry(&order.target).map(|e| e.address) else {
        return OrderReply::NotSent;
    };
    // Answers to orders don't say which order they answer: a late copy of another one must find no
    // connection in use.
    let Some(mut link) = Link::open(address, CONNECT_LIMIT).await else {
        return OrderReply::NotSent;
    };
    // The term may have ended, or the process have been held up, since the order was planned.
    let may_order = host.leading.borrow().as_ref().is_some_and(|leading| {
        leading.lead.term().fence == order.fence && leading.lead.may_order(boot_time())
    });
    if !may_order {
        return OrderReply::NotSent;
    }
    let call = order_call(order);
    let sending = link.call(address, &call, instance_header(&order.target));
    match tokio::time::timeout(ENGINE_LIMIT, sending).await {
        Ok(Ok(answer)) => {
            take_word(host, &order.target, read_notice(answer.status(), answer.headers()));
            order_reply(answer.status().as_u16())
        }
        Ok(Err(LinkError::NotSent)) => OrderReply::NotSent,
        Ok(Err(LinkError::Lost)) | Err(_) => OrderReply::Unknown,
    }
}
