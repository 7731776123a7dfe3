//! Settings of a leader, and its term.

use std::time::Duration;

use base::{Name, Time};

/// Time before the end of its lease from which a leader sends no orders. It covers the delivery of
/// the last order and clocks that run at slightly different rates.
pub(crate) const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// Concurrent loads from the weight store. The users' stores serve three or four at full speed.
const MAX_STORE_LOADS: usize = 4;

/// Settings of a [`crate::Leader`].
#[derive(Clone, Debug)]
pub struct LeaderConfig {
    pub(crate) host: Name,
    pub(crate) load_window: Duration,
    pub(crate) loads_at_once: usize,
}

impl LeaderConfig {
    /// Creates settings for a leader on a host.
    pub fn new(host: Name) -> LeaderConfig {
        LeaderConfig { host, load_window: Duration::from_secs(5), loads_at_once: MAX_STORE_LOADS }
    }

    /// Sets the window in which loads from the weight store are counted.
    pub fn load_window(mut self, window: Duration) -> Self {
        self.load_window = window;
        self
    }

    /// Sets how many loads from the weight store run at once. More would only slow each other down.
    pub fn loads_at_once(mut self, loads: usize) -> Self {
        self.loads_at_once = loads;
        self
    }
}

/// A leader's term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderTerm {
    /// Fencing token, larger than that of every earlier term.
    pub fence: u64,
    /// Time from which orders may be sent, when all orders of the former leader have ended.
    pub orders_from: Time,
    /// End of the lease, measured from just before its last renewal was sent.
    pub until: Time,
    /// Whether this is the fleet's first term, before which there was no demand.
    pub is_first: bool,
}

impl LeaderTerm {
    /// Returns when a term may send its first order, if the end of another host's lease was seen at
    /// `seen` and orders of two hosts must be `turn` apart.
    pub fn first_order_at(seen: Time, turn: Duration) -> Time {
        seen + turn.saturating_sub(LEASE_MARGIN)
    }

    /// Returns whether the leader's key as of `revision` reflects this term's claim. A lagging
    /// watch may still deliver earlier states, such as the end of an earlier term.
    pub fn is_covered_by(&self, revision: u64) -> bool {
        revision >= self.fence
    }

    /// Returns whether orders may be sent now.
    pub fn may_order(&self, now: Time) -> bool {
        now >= self.orders_from && now + LEASE_MARGIN < self.until
    }
}
