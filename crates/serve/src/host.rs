//! What the tasks of one daemon share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use base::{Name, Revision, Time};
use daemon::boot_time;
use fleet::ChangeBatch;
use front::{Desk, DeskConfig};

use lead::{ListValidity, RelayView, SeatRoster};
use node::LeaseId;
use tokio::sync::Notify;

use crate::link::LinkPool;
use crate::metrics::{Metrics, Readings};
use crate::orders::Leading;
use crate::settings::FrontSettings;
use crate::store::StoreClient;
use crate::trail::DropCount;

/// What a daemon knows of the store from the leader may be older by this much less than the time
/// that a leaving target gives: then it must ask the store itself.
const RELAY_MARGIN: Duration = Duration::from_millis(500);

/// Cores with which a daemon can lead any fleet.
pub(crate) const ROOMY_SHARE: f64 = 0.5;

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
    pub(crate) desk: RefCell<Desk>,
    pub(crate) pool: RefCell<LinkPool>,
    /// Connections that carry engines' reports only: a late copy of one is an older report, which
    /// its number shows.
    pub(crate) report_pool: RefCell<LinkPool>,
    pub(crate) store: StoreClient,
    pub(crate) metrics: Metrics,
    pub(crate) dropped: DropCount,
    pub(crate) leader: RefCell<Option<LeaderEntry>>,
    /// Hosts with a seat: a machine that is cut off from the store loses it and goes on serving.
    pub(crate) seats: RefCell<SeatRoster>,
    pub(crate) leading: RefCell<Option<Leading>>,
    /// Lease of this daemon's term.
    pub(crate) term_lease: Cell<Option<LeaseId>>,
    /// Revision up to which the store is known.
    pub(crate) known: Cell<Revision>,
    pub(crate) relay: Cell<RelayView>,
    /// What the leader passed on and the follower hasn't taken yet.
    pub(crate) relayed: RefCell<Vec<ChangeBatch>>,
    /// The leader passed something on.
    pub(crate) relay_changed: Notify,
    /// The list of targets is recent again.
    pub(crate) vouched: Notify,
    /// Something changed on which waiting requests may depend.
    pub(crate) changed: Notify,
    /// A report to the leader may be due.
    pub(crate) sync: Notify,
    /// The leader's entry changed.
    pub(crate) election: Notify,
    /// The leader's plan may have something to do.
    pub(crate) plan: Notify,
    pub(crate) vouch: Cell<ListValidity>,
    pub(crate) listed: Cell<bool>,
    pub(crate) stopping: Cell<Option<Time>>,
}

impl Host {
    pub(crate) fn new(settings: FrontSettings, metrics: Metrics, dropped: DropCount) -> Host {
        let incarnation = rand::random::<u64>() >> 11;
        let config = DeskConfig::new(settings.host.clone(), settings.domain.clone())
            .seed(incarnation)
            .return_grace(settings.return_grace)
            .leader_gap(settings.lease + settings.order_turn)
            .retry_budget(settings.retry_ratio, settings.retry_extra, settings.retry_window);
        Host {
            incarnation,
            desk: RefCell::new(Desk::new(boot_time(), config)),
            pool: RefCell::default(),
            report_pool: RefCell::default(),
            store: StoreClient::new(settings.store, settings.call_timeout),
            metrics,
            dropped,
            leader: RefCell::default(),
            seats: RefCell::default(),
            leading: RefCell::default(),
            term_lease: Cell::new(None),
            known: Cell::new(Revision(0)),
            relay: Cell::new(RelayView::new(settings.drain.saturating_sub(RELAY_MARGIN))),
            relayed: RefCell::default(),
            relay_changed: Notify::new(),
            vouched: Notify::new(),
            changed: Notify::new(),
            sync: Notify::new(),
            election: Notify::new(),
            plan: Notify::new(),
            vouch: Cell::default(),
            listed: Cell::new(false),
            stopping: Cell::new(None),
            settings,
        }
    }

    /// Returns the metrics as text.
    pub(crate) fn metrics_text(&self) -> String {
        let desk = self.desk.borrow();
        let counts = desk.counts();
        self.metrics.text(Readings {
            sends: counts.sends,
            repeats: counts.repeats,
            open: desk.open(),
            store_calls: self.store.calls(),
            lines_dropped: self.dropped.total(),
            leading: self.leading.borrow().is_some(),
            layout: desk.version().0,
        })
    }

    /// Notes until when the leader's word lets the daemon know of targets that leave.
    pub(crate) fn vouch_until(&self, fresh_until: Time) {
        let mut vouch = self.vouch.get();
        vouch.set_relayed_until(fresh_until + (RELAY_MARGIN - SEND_MARGIN));
        self.vouch.set(vouch);
    }

    /// Returns whether the list of targets is recent enough for sending to them.
    pub(crate) fn is_vouched(&self, now: Time) -> bool {
        self.vouch.get().is_current(now)
    }

    /// Returns whether this daemon has the processor time to lead any fleet.
    pub(crate) fn is_roomy(&self) -> bool {
        self.settings.cpu_share >= ROOMY_SHARE
    }

    /// Returns whether the balancer may send connections.
    pub(crate) fn is_ready(&self) -> bool {
        self.stopping.get().is_none() && self.listed.get() && self.desk.borrow().layout().is_some()
    }
}

/// Sleeps until a moment of the boot clock. The timer doesn't count time for which the machine is
/// suspended, so that the caller must look at the clock again.
pub(crate) async fn sleep_until(moment: Time) {
    tokio::time::sleep(moment.since(boot_time())).await;
}

/// Longest pause of a loop that a suspended machine must not hold up for long.
pub(crate) const LOOP_PAUSE: Duration = Duration::from_secs(1);
