//! Values that a daemon must read from the store itself, because the leader left them out.

use std::time::Duration;

use base::{Revision, Time};

/// Reads of layouts and targets are this many times as frequent as those of evidence.
const URGENT_FACTOR: u32 = 4;
/// Pause after a failed read, before the next one of the same class.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Kinds of values, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ValueClass {
    /// The configuration.
    Layout,
    /// The entry of a target.
    Target,
    /// A host's evidence of crashes, and any other value.
    Evidence,
}

const CLASSES: [ValueClass; 3] = [ValueClass::Layout, ValueClass::Target, ValueClass::Evidence];

/// A value whose latest revision has not been read.
#[derive(Clone, Debug)]
struct UnreadValue {
    class: ValueClass,
    key: String,
    revision: Revision,
    /// When the daemon learned of the first change that it has not read.
    noted_at: Time,
}

/// A read in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValueRead {
    /// Kind of the value.
    pub class: ValueClass,
    /// Key of the value.
    pub key: String,
    /// Latest revision of the value that was known when the read began.
    pub revision: Revision,
    /// When the daemon learned of the first change that it has not read.
    pub noted_at: Time,
}

/// The values that a daemon has still to read, and the order in which it reads them.
///
/// Each class has a pace of its own, so that frequent changes of one never delay another. Within a
/// class the value that has been unread for longest is read first, and a value that changes again
/// keeps its place. A read that began before a change doesn't count for it.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use base::{Revision, Time};
/// use mango_lead::{UnreadValues, ValueClass};
///
/// let now = Time::from_millis(5_000);
/// let mut unread = UnreadValues::new(Duration::from_millis(600));
/// unread.note(now, ValueClass::Evidence, "evidence/host-1", Revision(7));
/// unread.note(now, ValueClass::Layout, "layout", Revision(8));
/// let read = unread.begin_read(now).unwrap();
/// assert_eq!(read.key, "layout");
/// unread.finish_read(now, &read, Some(Revision(8)));
/// assert_eq!(unread.begin_read(now).unwrap().key, "evidence/host-1");
/// ```
#[derive(Clone, Debug)]
pub struct UnreadValues {
    pause: Duration,
    /// Sorted by class and by the time since when they are unread.
    values: Vec<UnreadValue>,
    /// When the next read of each class may begin.
    due: [Time; CLASSES.len()],
}

impl UnreadValues {
    /// Creates an empty list. Two reads of evidence are `pause` apart; those of a more urgent class
    /// are a quarter of it apart.
    pub fn new(pause: Duration) -> UnreadValues {
        UnreadValues { pause, values: Vec::new(), due: [Time::ZERO; CLASSES.len()] }
    }

    /// Records that a value has changed at `revision` and that the change didn't carry it.
    pub fn note(&mut self, now: Time, class: ValueClass, key: &str, revision: Revision) {
        if let Some(value) = self.find_mut(key) {
            value.revision = value.revision.max(revision);
            return;
        }
        let at = self.values.partition_point(|value| (value.class, value.noted_at) <= (class, now));
        let key = key.to_owned();
        let value = UnreadValue { class, key, revision, noted_at: now };
        self.values.insert(at, value);
    }

    /// Records that the value of a key at `revision` is known, or that the key was deleted then.
    pub fn resolve(&mut self, key: &str, revision: Revision) {
        self.values.retain(|value| value.key != key || value.revision > revision);
    }

    /// Returns whether the latest known change of a key is at `revision` and unread.
    pub fn is_unread(&self, key: &str, revision: Revision) -> bool {
        self.values.iter().any(|value| value.key == key && value.revision <= revision)
    }

    /// Returns the value to read now, if any, and counts the read as begun.
    pub fn begin_read(&mut self, now: Time) -> Option<ValueRead> {
        let value = self.values.iter().find(|value| now >= self.due[value.class as usize])?;
        let read = ValueRead {
            class: value.class,
            key: value.key.clone(),
            revision: value.revision,
            noted_at: value.noted_at,
        };
        self.due[read.class as usize] = now + self.pause_of(read.class);
        Some(read)
    }

    /// Returns whether a more urgent value than that of `read` is due.
    pub fn is_overtaken(&self, now: Time, read: &ValueRead) -> bool {
        self.next_of(read.class).is_some_and(|at| now >= at)
    }

    /// Records the revision that a read returned; `None` if the key doesn't exist. A value that has
    /// changed again since then waits behind the others of its class.
    pub fn finish_read(&mut self, now: Time, read: &ValueRead, found: Option<Revision>) {
        self.resolve(&read.key, found.unwrap_or(read.revision));
        if let Some(at) = self.values.iter().position(|value| value.key == read.key) {
            let value = self.values.remove(at);
            self.note(now, value.class, &value.key, value.revision);
        }
    }

    /// Records that a read failed. It is repeated after a short pause.
    pub fn fail_read(&mut self, now: Time, read: &ValueRead) {
        let retry_at = now + RETRY_PAUSE.min(self.pause_of(read.class));
        self.due[read.class as usize] = self.due[read.class as usize].max(retry_at);
    }

    /// Returns when the next read is due; `None` if nothing is unread.
    pub fn next_at(&self) -> Option<Time> {
        self.values.iter().map(|value| self.due[value.class as usize]).min()
    }

    /// Returns since when a value of this class is unread; `None` if none is.
    pub fn unread_since(&self, class: ValueClass) -> Option<Time> {
        let of_class = self.values.iter().filter(|value| value.class == class);
        of_class.map(|value| value.noted_at).min()
    }

    /// Returns the number of unread values.
    pub fn count(&self) -> usize {
        self.values.len()
    }

    /// Removes all values, after the complete state was read.
    pub fn clear(&mut self) {
        self.values.clear();
    }

    fn find_mut(&mut self, key: &str) -> Option<&mut UnreadValue> {
        self.values.iter_mut().find(|value| value.key == key)
    }

    fn pause_of(&self, class: ValueClass) -> Duration {
        match class {
            ValueClass::Layout | ValueClass::Target => self.pause / URGENT_FACTOR,
            ValueClass::Evidence => self.pause,
        }
    }

    /// Returns when a read of a class more urgent than `class` is due.
    fn next_of(&self, class: ValueClass) -> Option<Time> {
        let urgent = self.values.iter().filter(|value| value.class < class);
        urgent.map(|value| self.due[value.class as usize]).min()
    }
}
