//! Carries out the leader's plan: sends orders to engines and reads their reports.

use std::rc::Rc;
use std::time::Duration;

use base::TargetName;
use daemon::boot_time;
use fleet::{EngineOrder, OrderReply, TargetEntry};
use lead::{LayoutCensus, Leader, LeaderAction, LeaderEvent};
use limit::RequestRate;
use platform::engine::{instance_header, order_call, order_reply, report_call, report_reply};
use platform::request::read_notice;

use crate::conn::{ConnError, PooledConn};
use crate::election::{cut_since, resign};
use crate::exchange::{
    apply_target_notice, record_cold, record_limit, wait_for_fresh_list, MAX_IDLE_TIME,
};
use crate::host::{sleep_until, Host, MAX_LOOP_PAUSE};
use crate::logging::LogLine;
use crate::path::record_connection;
use crate::peer::CONNECT_TIMEOUT;

/// Time limit of an order and of reading an engine's report.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Largest answer to an order, and largest report.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// State that exists only while this daemon leads.
pub(crate) struct LeaderState {
    pub(crate) leader: Leader,
    /// Layouts that the daemons state in their reports.
    pub(crate) layouts: LayoutCensus,
}

/// Passes the current list of targets and the evacuated domains to the leader state, if this daemon
/// leads.
pub(crate) fn update_leader_targets(host: &Host) {
    if let Some(state) = host.leader_state.borrow_mut().as_mut() {
        let now = boot_time();
        let dispatcher = host.dispatcher.borrow();
        let targets = dispatcher.targets();
        let entries: Vec<TargetEntry> = targets.entries().cloned().collect();
        state.leader.update_evacuations(now, targets.evacuations().domains().cloned().collect());
        state.leader.update_targets(now, &entries);
        let cold = dispatcher.targets().cold_statements(now);
        cold.iter().for_each(|statement| state.leader.apply_cold(now, statement));
        host.plan_due.notify_one();
    }
}

/// Carries out the leader's plan while this daemon leads.
pub(crate) async fn run_plan_loop(host: Rc<Host>) {
    loop {
        let now = boot_time();
        let is_cut_off = cut_since(&host, now).is_some();
        let (actions, next) = match host.leader_state.borrow_mut().as_mut() {
            Some(state) => {
                state.leader.set_cut_off(is_cut_off);
                let actions = state.leader.plan(now);
                state.leader.take_events().into_iter().for_each(log_event);
                (actions, state.leader.next_plan_at(now))
            }
            None => (Vec::new(), None),
        };
        for action in actions {
            tokio::task::spawn_local(run_action(host.clone(), action));
        }
        let next = next.unwrap_or(now + MAX_LOOP_PAUSE).min(now + MAX_LOOP_PAUSE);
        let next = next.max(now + Duration::from_millis(5));
        tokio::select! {
            () = host.plan_due.notified() => {}
            () = sleep_until(next) => {}
        }
    }
}

fn log_event(event: LeaderEvent) {
    match event {
        LeaderEvent::Planned(load) => LogLine::new("load_planned")
            .text("model", &load.model)
            .text("target", &load.target)
            .with("victim", load.victim.map(|victim| victim.to_string()))
            .with("from_store", load.from_store)
            .with("waiting", load.waiting)
            .with("rate", load.rate)
            .with("wanted", load.wanted)
            .with("work", load.work.map(|(work, _)| work))
            .with("replica_share", load.work.map(|(_, share)| share))
            .info(),
        LeaderEvent::Ended(load) => LogLine::new("load_ended")
            .text("model", &load.model)
            .text("target", &load.target)
            .with("from_store", load.from_store)
            .with("held", load.is_held)
            .with("extra", load.is_extra)
            .with("took_ms", u64::try_from(load.took.as_millis()).unwrap_or(u64::MAX))
            .info(),
        LeaderEvent::Limited(target, rate) => LogLine::new("limit_relayed")
            .text("target", &target)
            .with("per_second", rate.map(RequestRate::per_second))
            .info(),
        LeaderEvent::SharesSettled(team, account) => LogLine::new("shares_settled")
            .text("team", &team)
            .with("reports", account.reports)
            .with("spent", account.spent)
            .with("reserved", account.reserved)
            .with("covered", account.covered)
            .info(),
        LeaderEvent::Backlog(backlog) => LogLine::new("load_backlog")
            .with("models", backlog.models)
            .with("waiting", backlog.waiting)
            .with("on_idle_disk", backlog.on_idle_disk)
            .with("on_busy_disk", backlog.on_busy_disk)
            .with("store_loads", backlog.store_loads)
            .with("store_growth", backlog.store_growth)
            .info(),
    }
}

/// Carries out one action of the plan.
async fn run_action(host: Rc<Host>, action: LeaderAction) {
    match action {
        LeaderAction::Report(target) => {
            let asked_at = boot_time();
            let report = fetch_report(&host, &target).await;
            if report.is_none() {
                LogLine::new("report_missing").text("target", &target).info();
            }
            if let Some(state) = host.leader_state.borrow_mut().as_mut() {
                state.leader.handle_engine_report(boot_time(), &target, asked_at, report.as_ref());
            }
        }
        LeaderAction::Order(order) => {
            let reply = send_order(&host, &order).await;
            LogLine::new("order")
                .text("target", &order.target)
                .text("subject", &order.subject)
                .with("kind", format!("{:?}", order.kind))
                .with("expected", order.expected.0)
                .with("fence", order.fence)
                .with("reply", format!("{reply:?}"))
                .info();
            let is_current = match host.leader_state.borrow_mut().as_mut() {
                Some(state) if state.leader.term().fence == order.fence => {
                    state.leader.handle_order_reply(boot_time(), &order, reply)
                }
                _ => true,
            };
            if !is_current {
                resign(&host, "a target knows a later leader");
            }
        }
    }
    host.plan_due.notify_one();
    host.state_changed.notify_waiters();
}

/// Reads an engine's report.
async fn fetch_report(host: &Host, target: &TargetName) -> Option<fleet::EngineReport> {
    // With evacuations in use, a process that was paused reads the store first.
    if host.settings.max_list_age().is_some() && !host.is_list_fresh(boot_time()) {
        wait_for_fresh_list(host, boot_time() + ENGINE_TIMEOUT).await;
    }
    let is_evacuated = || host.dispatcher.borrow().targets().is_evacuated(target);
    if is_evacuated() {
        return None;
    }
    let asked_at = boot_time();
    let address = host.dispatcher.borrow().targets().entry(target)?.address;
    let exchange = async {
        let pooled =
            host.report_conn_pool.borrow_mut().take(boot_time(), address, MAX_IDLE_TIME / 4);
        let mut conn = match pooled {
            Some(conn) => conn,
            None => PooledConn::open(address, CONNECT_TIMEOUT).await?,
        };
        if is_evacuated() {
            return None;
        }
        let (call, buffers) = (report_call(), (MAX_ANSWER_BYTES, &host.control_buffers));
        let answer = conn.call(address, &call, instance_header(target), buffers).await.ok()?;
        host.report_conn_pool.borrow_mut().put(boot_time(), address, conn);
        Some(answer)
    };
    let answer = tokio::time::timeout(ENGINE_TIMEOUT, exchange).await.ok()??;
    record_connection(host, target, true);
    let notice = read_notice(answer.status(), answer.headers());
    apply_target_notice(host, target, notice);
    // Only answers to requests end a limit.
    record_limit(host, target, boot_time(), (notice.limit, false), "report");
    record_cold(host, target, asked_at, notice.cold);
    match report_reply(answer.status().as_u16(), answer.body()) {
        Ok(report) => Some(report),
        Err(error) => {
            LogLine::new("report_unread").text("target", target).text("error", &error).info();
            None
        }
    }
}

/// Sends an order to an engine, if the term still allows it.
async fn send_order(host: &Host, order: &EngineOrder) -> OrderReply {
    // An order is for one start of the engine.
    let listed_address = || {
        let dispatcher = host.dispatcher.borrow();
        let targets = dispatcher.targets();
        let entry = targets.entry(&order.target).filter(|_| !targets.is_evacuated(&order.target));
        entry.filter(|entry| entry.born_ms <= order.born_ms).map(|entry| entry.address)
    };
    let Some(address) = listed_address() else { return OrderReply::NotSent };
    // An answer doesn't say which order it belongs to. Each order gets a new connection, so that a
    // late answer to another order is never taken for its own.
    let Some(mut conn) = PooledConn::open(address, CONNECT_TIMEOUT).await else {
        return OrderReply::NotSent;
    };
    // The term may have ended since the order was planned, also because the process was held up.
    let may_order = host.leader_state.borrow().as_ref().is_some_and(|state| {
        state.leader.term().fence == order.fence && state.leader.may_order(boot_time())
    });
    let is_outdated = host.settings.max_list_age().is_some() && !host.is_list_fresh(boot_time());
    let is_cut = cut_since(host, boot_time()).is_some();
    if !may_order || is_outdated || is_cut || listed_address() != Some(address) {
        return OrderReply::NotSent;
    }
    let (call, sent_at) = (order_call(order), boot_time());
    host.ordered_at.set(Some(sent_at));
    let buffers = (MAX_ANSWER_BYTES, &host.control_buffers);
    let sending = conn.call(address, &call, instance_header(&order.target), buffers);
    match tokio::time::timeout(ENGINE_TIMEOUT, sending).await {
        Ok(Ok(answer)) => {
            let notice = read_notice(answer.status(), answer.headers());
            apply_target_notice(host, &order.target, notice);
            record_limit(host, &order.target, boot_time(), (notice.limit, false), "order");
            record_cold(host, &order.target, sent_at, notice.cold);
            order_reply(answer.status().as_u16())
        }
        Ok(Err(ConnError::NotSent)) => OrderReply::NotSent,
        Ok(Err(ConnError::Lost | ConnError::Silent | ConnError::TooLong)) | Err(_) => {
            OrderReply::Unknown
        }
    }
}
