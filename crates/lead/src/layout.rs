//! How recently a daemon's layout was known to be the latest one.

use std::time::Duration;

use base::Time;

/// How recently a daemon's layout was known to be the latest one in the store.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use base::Time;
/// use mango_lead::LayoutFreshness;
///
/// let mut freshness = LayoutFreshness::default();
/// assert_eq!(freshness.age(Time::from_millis(1_000)), None);
/// freshness.confirm(Time::from_millis(1_000));
/// assert_eq!(freshness.age(Time::from_millis(1_400)), Some(Duration::from_millis(400)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct LayoutFreshness {
    confirmed_at: Option<Time>,
}

impl LayoutFreshness {
    /// Records that the layout in force was the latest one in the store at this time or later.
    pub fn confirm(&mut self, at: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns the time since when a newer layout may exist; `None` before the first one is known.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }
}
