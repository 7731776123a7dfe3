//! State that the tasks of a daemon share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::{ByteSize, Name, Revision, SortedMap, Time};
use buffer::BufferPool;
use daemon::boot_time;
use fleet::{ChangeBatch, LayoutVersion};
use front::{DispatcherConfig, RequestDispatcher, StopSchedule};
use lead::{
    HelperBook, LayoutFreshness, LayoutLag, ListValidity, PeerBook, RelayView, SeatRoster,
    UnreadValues, ValueClass,
};
use node::LeaseId;
use origin::OriginBook;
use patch::{TransferBudget, ValueHistory};
use tokio::sync::Notify;

use crate::conn::ConnPool;
use crate::descriptors::DescriptorReserve;
use crate::logging::DropCounter;
use crate::metrics::{Metrics, Readings};
use crate::orders::LeaderState;
use crate::settings::FrontSettings;
use crate::store::StoreClient;

/// A daemon relies on relayed changes for the drain time of a leaving target less this margin.
/// After that it reads the store itself.
pub(crate) const RELAY_MARGIN: Duration = Duration::from_millis(500);

/// Number of cores with which a daemon can lead a fleet of any size.
pub(crate) const ANY_FLEET_CPU_SHARE: f64 = 0.5;

/// Most memory for buffered messages of the store, of peers and of engines. It is separate, so that
/// clients and targets can't displace what keeps the daemon in the fleet.
const CONTROL_BUFFERS: ByteSize = ByteSize(24 << 20);

/// A request must be sent at least this long before a target's drain time could be over, in case
/// the daemon has not learnt that the target leaves.
pub(crate) const SEND_MARGIN: Duration = Duration::from_millis(100);

/// Changes that the leader relayed in its reply to a report.
pub(crate) struct RelayedBatch {
    /// When the report was sent.
    pub(crate) asked_at: Time,
    pub(crate) batch: ChangeBatch,
    /// Version of the leader's layout, if the leader states it.
    pub(crate) version: Option<LayoutVersion>,
}

impl RelayedBatch {
    /// Returns the time at which the store had all changes of the batch and no later one.
    pub(crate) fn read_at(&self) -> Time {
        self.asked_at - Duration::from_millis(self.batch.age_ms)
    }
}

/// The leader according to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LeaderEntry {
    pub(crate) host: Name,
    pub(crate) incarnation: u64,
    pub(crate) address: SocketAddr,
    /// Revision of the leader key, which is the fencing token of the term.
    pub(crate) fence: Revision,
}

/// Shared state of a daemon. All tasks run on one thread, and no borrow is held across an await.
pub(crate) struct Host {
    pub(crate) settings: FrontSettings,
    /// Random number of this process.
    pub(crate) incarnation: u64,
    pub(crate) dispatcher: RefCell<RequestDispatcher>,
    pub(crate) conn_pool: RefCell<ConnPool>,
    /// Descriptors for connections to the store and between daemons.
    pub(crate) descriptors: Rc<DescriptorReserve>,
    /// Connections that only carry engines' reports. A late answer on one of them is an older
    /// report, which its sequence number shows.
    pub(crate) report_conn_pool: RefCell<ConnPool>,
    /// Memory for clients' bodies and targets' answers.
    pub(crate) request_buffers: BufferPool,
    /// Memory for messages of the store, of peers and of engines.
    pub(crate) control_buffers: BufferPool,
    /// Number of requests and messages that have been received.
    received_count: Cell<u64>,
    pub(crate) store: StoreClient,
    pub(crate) metrics: Metrics,
    pub(crate) dropped_lines: DropCounter,
    /// The current leader, `None` while there is none.
    pub(crate) leader_entry: RefCell<Option<LeaderEntry>>,
    /// Hosts whose daemons are registered in the store. A host that is cut off from the store loses
    /// its registration and continues to serve.
    pub(crate) registered_hosts: RefCell<SeatRoster>,
    /// Addresses of the registered daemons, this one included.
    pub(crate) peer_book: RefCell<PeerBook>,
    /// What is known of other daemons that carry requests whose targets this one can't reach.
    pub(crate) helper_book: RefCell<HelperBook>,
    /// Services whose targets should be probed, since a connection to one has failed.
    pub(crate) doubted_paths: RefCell<Vec<Name>>,
    /// Notified when a service was added to these.
    pub(crate) path_doubted: Notify,
    /// `Some` while this daemon leads.
    pub(crate) leader_state: RefCell<Option<LeaderState>>,
    /// Lease of the term in which this daemon leads.
    pub(crate) term_lease: Cell<Option<LeaseId>>,
    /// When this daemon last began to send an order.
    pub(crate) ordered_at: Cell<Option<Time>>,
    /// Whether the store's record of that term says that it may have sent orders.
    pub(crate) has_recorded_orders: Cell<bool>,
    /// Revision up to which changes of the store have been applied.
    pub(crate) known_revision: Cell<Revision>,
    /// Until when the changes that the leader relays are fresh.
    pub(crate) relay_view: Cell<RelayView>,
    /// Batches that the leader has relayed and the follower has not applied yet.
    pub(crate) relayed_batches: RefCell<Vec<RelayedBatch>>,
    /// Values that the leader left out of its batches and that have not been read.
    pub(crate) unread_values: RefCell<UnreadValues>,
    /// The latest layout as the store has it, and how other daemons get it from the one that they have.
    pub(crate) layout_history: RefCell<ValueHistory>,
    /// What this daemon may pass on of it.
    pub(crate) transfer_budget: RefCell<TransferBudget>,
    /// Whether changes of all keys, or the layout for a leader that relays it, are arriving from the store.
    pub(crate) is_receiving_changes: Cell<bool>,
    /// Whether the layout is being checked at the store, by this daemon or by one on which it relies.
    pub(crate) is_checking_layout: Cell<bool>,
    /// Whether a layout is being fetched from a daemon that has a later one than this leader.
    pub(crate) is_fetching_layout: Cell<bool>,
    /// How recently the layout was known to be the latest one.
    pub(crate) layout_freshness: Cell<LayoutFreshness>,
    /// Whether the layout in force is the latest one that other daemons have.
    pub(crate) layout_lag: Cell<LayoutLag>,
    /// Notified when a check of the layout may be due earlier than before.
    pub(crate) layout_check_due: Notify,
    /// Time up to which all changes of the store have been applied, except values that were left out.
    pub(crate) changes_at: Cell<Time>,
    /// Streams that have begun at this daemon.
    pub(crate) origin_book: RefCell<OriginBook>,
    /// Notified when streams may have to be recorded.
    pub(crate) origins_due: Notify,
    /// Notified when streams were recorded.
    pub(crate) origins_recorded: Notify,
    /// Notified when the leader has answered a report or stayed silent.
    pub(crate) relay_changed: Notify,
    /// Notified when the list of targets is fresh again.
    pub(crate) list_refreshed: Notify,
    /// Notified when state has changed on which waiting requests may depend.
    pub(crate) state_changed: Notify,
    /// Notified when a report to the leader may be due.
    pub(crate) report_due: Notify,
    /// Notified when the leader key has changed.
    pub(crate) leader_changed: Notify,
    /// Notified when evidence of crashes has changed.
    pub(crate) evidence_changed: Notify,
    /// Leases of the hosts' records of evidence in the store.
    pub(crate) evidence_leases: RefCell<SortedMap<Name, LeaseId>>,
    /// Notified when the leader's plan may have work to do.
    pub(crate) plan_due: Notify,
    /// Until when the list of targets is fresh enough to send requests.
    pub(crate) list_validity: Cell<ListValidity>,
    /// Whether the complete state of the store has been read at least once.
    pub(crate) has_listed: Cell<bool>,
    /// The planned stop, once the daemon has received the signal.
    pub(crate) stop_schedule: Cell<Option<StopSchedule>>,
    /// Notified when requests that are still running get their last answer.
    last_answers: Notify,
}

impl Host {
    pub(crate) fn new(
        settings: FrontSettings,
        metrics: Metrics,
        dropped_lines: DropCounter,
    ) -> Host {
        let incarnation = rand::random::<u64>() >> 11;
        let control_buffers = BufferPool::new(CONTROL_BUFFERS);
        let descriptors = Rc::new(DescriptorReserve::new());
        let config = DispatcherConfig::new(settings.host.clone(), settings.domain.clone())
            .seed(incarnation)
            .return_grace(settings.return_grace)
            .schedules_prefill(settings.schedule_prefill)
            .leader_gap(settings.lease + settings.order_turn)
            .retry_budget(settings.retry_ratio, settings.retry_extra, settings.retry_window);
        Host {
            incarnation,
            dispatcher: RefCell::new(RequestDispatcher::new(boot_time(), config)),
            conn_pool: RefCell::default(),
            descriptors: descriptors.clone(),
            report_conn_pool: RefCell::default(),
            request_buffers: BufferPool::new(settings.buffers),
            store: StoreClient::new(
                settings.store,
                settings.call_timeout,
                control_buffers.clone(),
                descriptors,
            ),
            control_buffers,
            received_count: Cell::new(0),
            metrics,
            dropped_lines,
            leader_entry: RefCell::default(),
            registered_hosts: RefCell::default(),
            peer_book: RefCell::default(),
            helper_book: RefCell::default(),
            doubted_paths: RefCell::default(),
            path_doubted: Notify::new(),
            leader_state: RefCell::default(),
            term_lease: Cell::new(None),
            ordered_at: Cell::new(None),
            has_recorded_orders: Cell::new(false),
            known_revision: Cell::new(Revision(0)),
            relay_view: Cell::new(RelayView::new(settings.max_relay_age())),
            relayed_batches: RefCell::default(),
            unread_values: RefCell::new(UnreadValues::new(settings.watch_pause)),
            layout_history: RefCell::default(),
            transfer_budget: RefCell::new(TransferBudget::new(settings.transfer_rate())),
            is_receiving_changes: Cell::new(false),
            is_checking_layout: Cell::new(false),
            is_fetching_layout: Cell::new(false),
            layout_freshness: Cell::new(LayoutFreshness::new(settings.apply)),
            layout_lag: Cell::new(LayoutLag::new(settings.apply)),
            layout_check_due: Notify::new(),
            changes_at: Cell::new(Time::ZERO),
            origin_book: RefCell::default(),
            origins_due: Notify::new(),
            origins_recorded: Notify::new(),
            relay_changed: Notify::new(),
            list_refreshed: Notify::new(),
            state_changed: Notify::new(),
            report_due: Notify::new(),
            leader_changed: Notify::new(),
            evidence_changed: Notify::new(),
            evidence_leases: RefCell::default(),
            plan_due: Notify::new(),
            list_validity: Cell::default(),
            has_listed: Cell::new(false),
            stop_schedule: Cell::new(None),
            last_answers: Notify::new(),
            settings,
        }
    }

    /// Returns a number that identifies a received request or message in this process.
    pub(crate) fn next_request_number(&self) -> u64 {
        self.received_count.replace(self.received_count.get() + 1)
    }

    /// Returns the metrics in the Prometheus text format.
    pub(crate) fn metrics_text(&self) -> String {
        let dispatcher = self.dispatcher.borrow();
        let counts = dispatcher.counts();
        let unread = self.unread_values.borrow();
        let count_verdicts = |are_requests: bool| {
            let verdicts = dispatcher.ledger().verdicts().iter();
            verdicts.filter(|verdict| verdict.request().is_some() == are_requests).count()
        };
        self.metrics.text(Readings {
            sends: counts.sends,
            repeats: counts.repeats,
            limited_sends: counts.limited_sends,
            cold_sends: counts.cold_sends,
            cold_targets: dispatcher.targets().cold_count(boot_time()),
            room_waits: counts.prefill_waits,
            leaderless_spent: dispatcher.leaderless_spent(),
            unread_prompts: dispatcher.pending_prefill(boot_time()),
            limited_targets: dispatcher.targets().limits().targets().count(),
            suspected_crashes: dispatcher.ledger().suspected_crashes(),
            condemned_requests: count_verdicts(true),
            condemned_parts: count_verdicts(false),
            open_requests: dispatcher.open_count(),
            store_calls: self.store.call_count(),
            evacuated_domains: dispatcher.targets().evacuations().len(),
            evacuated_runs: dispatcher.targets().evacuated_runs(),
            lines_dropped: self.dropped_lines.total(),
            is_leading: self.leader_state.borrow().is_some(),
            layout_version: dispatcher.version().0,
            layout_unread: unread.unread_since(ValueClass::Layout).map(|at| boot_time().since(at)),
            layout_age: self.layout_freshness.get().age(boot_time()),
            layout_behind: self.layout_lag.get().behind(boot_time()),
            layouts_behind: self.count_stragglers(boot_time()),
            unread_values: unread.count(),
            resident_bytes: resident_bytes(),
            request_buffers: self.request_buffers.usage(),
            control_buffers: self.control_buffers.usage(),
        })
    }

    /// Returns how many daemons have an older layout than this one, while it leads.
    fn count_stragglers(&self, now: Time) -> usize {
        let state = self.leader_state.borrow();
        let late = state.as_ref().and_then(|state| state.layouts.stragglers(now, Duration::ZERO));
        late.map_or(0, |stragglers| stragglers.daemons)
    }

    /// Records that all changes of the store up to the time `at` have been applied, except values that
    /// were left out.
    pub(crate) fn confirm_changes(&self, at: Time) {
        self.changes_at.set(self.changes_at.get().max(at));
    }

    /// Marks the list of targets as fresh when relayed changes are fresh until `fresh_until`. The
    /// list may be used a little longer than these: a leaving target still serves for
    /// `RELAY_MARGIN`.
    pub(crate) fn extend_list_validity(&self, fresh_until: Time) {
        let mut validity = self.list_validity.get();
        validity.set_relayed_until(fresh_until + (RELAY_MARGIN - SEND_MARGIN));
        self.list_validity.set(validity);
    }

    /// Returns whether the list of targets is fresh enough to send requests by it.
    pub(crate) fn is_list_fresh(&self, now: Time) -> bool {
        self.list_validity.get().is_current(now)
    }

    /// Returns whether this daemon has enough processor time to lead a fleet of any size.
    pub(crate) fn can_lead_any_fleet(&self) -> bool {
        self.settings.cpu_share >= ANY_FLEET_CPU_SHARE
    }

    /// Returns whether new requests are accepted, and requests sent to targets.
    pub(crate) fn accepts_requests(&self, now: Time) -> bool {
        self.stop_schedule.get().is_none_or(|schedule| schedule.accepts_requests(now))
    }

    /// Wakes the requests that get their last answer if the process exits soon.
    pub(crate) fn send_last_answers(&self, now: Time) {
        if self.needs_last_answers(now) {
            self.last_answers.notify_waiters();
        }
    }

    fn needs_last_answers(&self, now: Time) -> bool {
        self.stop_schedule.get().is_some_and(|schedule| now >= schedule.last_answers_at())
    }

    /// Waits until the process exits soon, so that a request must be answered now.
    pub(crate) async fn last_answer_due(&self) {
        loop {
            let notified = self.last_answers.notified();
            if self.needs_last_answers(boot_time()) {
                return;
            }
            notified.await;
        }
    }

    /// Returns whether the balancer may send connections to this daemon.
    pub(crate) fn is_ready(&self) -> bool {
        self.stop_schedule.get().is_none()
            && self.has_listed.get()
            && self.dispatcher.borrow().layout().is_some()
    }
}

/// Returns the resident memory of this process in bytes; zero if the system doesn't report it.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * rustix::param::page_size() as u64
}

/// Sleeps until a time of the boot clock. The timer doesn't count the time for which the machine is
/// suspended, so the caller must check the clock again.
pub(crate) async fn sleep_until(moment: Time) {
    tokio::time::sleep(moment.since(boot_time())).await;
}

/// Longest pause of a loop. It bounds how late the loop runs after the machine was suspended.
pub(crate) const MAX_LOOP_PAUSE: Duration = Duration::from_secs(1);
