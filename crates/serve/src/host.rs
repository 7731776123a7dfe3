//! What the tasks of one daemon share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use base::{Name, Revision, Time};
use daemon::boot_time;
use fleet::ChangeBatch;
use front::{Desk, DeskConfig};

use lead::{ListVouch, RelayView, SeatRoster};
use node::LeaseId;
use tokio::sync::Notify;

use crate::conn::ConnPool;
use crate::logging::DropCounter;
use crate::metrics::{Metrics, Readings};
use crate::orders::LeaderState;
use crate::settings::FrontSettings;
use crate::store::StoreClient;

/// What a daemon knows of the store from the leader may be older by this much less than the time
/// that a leaving target gives: then it must ask the store itself.
const RELAY_MARGIN: Duration = Duration::from_millis(500);

/// Cores with which a daemon can lead any fleet.
pub(crate) const ANY_FLEET_CPU_SHARE: f64 = 0.5;

/// A request leaves by this much before a target that began to leave unnoticed would get it late.
const SEND_MARGIN: Duration = Duration::from_millis(100);

/// The leader as the store names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LeaderEntry {
    pub(crate) host: Name,
    pub(crate) incarnation: u64,
    pub(crate) address: SocketAddr,
    /// Revision of the entry: the fencing number of the term.
    pub(crate) fence: Revision,
}

/// Shared state. Everything runs on one thread, and no borrow is held over an await.
pub(crate) struct Host {
    pub(crate) settings: FrontSettings,
    pub(crate) incarnation: u64,
    pub(crate) dispatcher: RefCell<Desk>,
    pub(crate) conn_pool: RefCell<ConnPool>,
    /// Connections that carry engines' reports only: a late copy of one is an older report, which
    /// its number shows.
    pub(crate) report_conn_pool: RefCell<ConnPool>,
    pub(crate) store: StoreClient,
    pub(crate) metrics: Metrics,
    pub(crate) dropped_lines: DropCounter,
    pub(crate) leader: RefCell<Option<LeaderEntry>>,
    /// Hosts with a seat: a machine that is cut off from the store loses it and goes on serving.
    pub(crate) registered: RefCell<SeatRoster>,
    pub(crate) leader_state: RefCell<Option<LeaderState>>,
    /// Lease of this daemon's term.
    pub(crate) term_lease: Cell<Option<LeaseId>>,
    /// Revision up to which the store is known.
    pub(crate) known_revision: Cell<Revision>,
    pub(crate) relay_view: Cell<RelayView>,
    /// What the leader passed on and the follower hasn't taken yet.
    pub(crate) relayed_batches: RefCell<Vec<ChangeBatch>>,
    /// The leader passed something on.
    pub(crate) relay_changed: Notify,
    /// The list of targets is recent again.
    pub(crate) list_refreshed: Notify,
    /// Something changed on which waiting requests may depend.
    pub(crate) state_changed: Notify,
    /// A report to the leader may be due.
    pub(crate) report_due: Notify,
    /// The leader's entry changed.
    pub(crate) leader_changed: Notify,
    /// The leader's plan may have something to do.
    pub(crate) plan_due: Notify,
    pub(crate) list_freshness: Cell<ListVouch>,
    pub(crate) has_listed: Cell<bool>,
    pub(crate) stopping_since: Cell<Option<Time>>,
}

impl Host {
    pub(crate) fn new(
        settings: FrontSettings,
        metrics: Metrics,
        dropped_lines: DropCounter,
    ) -> Host {
        let incarnation = rand::random::<u64>() >> 11;
        let config = DeskConfig::new(settings.host.clone(), settings.domain.clone())
            .seed(incarnation)
            .return_grace(settings.return_grace)
            .leader_gap(settings.lease + settings.order_turn)
            .retry_budget(settings.retry_ratio, settings.retry_extra, settings.retry_window);
        Host {
            incarnation,
            dispatcher: RefCell::new(Desk::new(boot_time(), config)),
            conn_pool: RefCell::default(),
            report_conn_pool: RefCell::default(),
            store: StoreClient::new(settings.store, settings.call_timeout),
            metrics,
            dropped_lines,
            leader: RefCell::default(),
            registered: RefCell::default(),
            leader_state: RefCell::default(),
            term_lease: Cell::new(None),
            known_revision: Cell::new(Revision(0)),
            relay_view: Cell::new(RelayView::new(settings.drain.saturating_sub(RELAY_MARGIN))),
            relayed_batches: RefCell::default(),
            relay_changed: Notify::new(),
            list_refreshed: Notify::new(),
            state_changed: Notify::new(),
            report_due: Notify::new(),
            leader_changed: Notify::new(),
            plan_due: Notify::new(),
            list_freshness: Cell::default(),
            has_listed: Cell::new(false),
            stopping_since: Cell::new(None),
            settings,
        }
    }

    /// Returns the metrics as text.
    pub(crate) fn metrics_text(&self) -> String {
        let dispatcher = self.dispatcher.borrow();
        let counts = dispatcher.counts();
        self.metrics.text(Readings {
            sends: counts.sends,
            repeats: counts.repeats,
            open_requests: dispatcher.open(),
            store_calls: self.store.call_count(),
            lines_dropped: self.dropped_lines.total(),
            is_leading: self.leader_state.borrow().is_some(),
            layout_version: dispatcher.version().0,
        })
    }

    /// Notes until when the leader's word lets the daemon know of targets that leave.
    pub(crate) fn extend_list_freshness(&self, fresh_until: Time) {
        let mut freshness = self.list_freshness.get();
        freshness.relayed(fresh_until + (RELAY_MARGIN - SEND_MARGIN));
        self.list_freshness.set(freshness);
    }

    /// Returns whether the list of targets is recent enough for sending to them.
    pub(crate) fn is_list_fresh(&self, now: Time) -> bool {
        self.list_freshness.get().is_current(now)
    }

    /// Returns whether this daemon has the processor time to lead any fleet.
    pub(crate) fn can_lead_any_fleet(&self) -> bool {
        self.settings.cpu_share >= ANY_FLEET_CPU_SHARE
    }

    /// Returns whether the balancer may send connections.
    pub(crate) fn is_ready(&self) -> bool {
        self.stopping_since.get().is_none()
            && self.has_listed.get()
            && self.dispatcher.borrow().layout().is_some()
    }
}

/// Sleeps until a moment of the boot clock. The timer doesn't count time for which the machine is
/// suspended, so that the caller must look at the clock again.
pub(crate) async fn sleep_until(moment: Time) {
    tokio::time::sleep(moment.since(boot_time())).await;
}

/// Longest pause of a loop that a suspended machine must not hold up for long.
pub(crate) const MAX_LOOP_PAUSE: Duration = Duration::from_secs(1);
