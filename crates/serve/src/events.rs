//! Splits a target's byte stream into server-sent events, and records the pauses between them.

use std::time::Duration;

use base::Time;
use bytes::{Bytes, BytesMut};

/// Longest event that is buffered; a longer one is passed on in parts.
const MAX_EVENT_BYTES: usize = 64 << 10;
/// Bytes that may begin the end of an event, and are kept until it is known.
const END_BYTES: usize = 3;

/// Splits a byte stream at the ends of events, so that a client never receives a partial event when
/// a target breaks off.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
    /// Whether a part of the present event has been passed on.
    is_split: bool,
}

impl EventSplitter {
    /// Adds bytes and returns all events that are complete now, if any.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let scanned = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let end = match find_last_end(&self.partial, scanned) {
            Some(end) => end,
            None if self.partial.len() > MAX_EVENT_BYTES => self.partial.len() - END_BYTES,
            None => return None,
        };
        self.is_split = !ends_event(&self.partial[..end]);
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// Returns whether the last event is incomplete. A stream that ends there has been broken off.
    pub(crate) fn is_inside_event(&self) -> bool {
        self.is_split || self.partial.iter().any(|byte| !b"\r\n".contains(byte))
    }

    /// Returns whether the client has received a part of an event. Another target can't go on there.
    pub(crate) fn is_split(&self) -> bool {
        self.is_split
    }

    /// Returns the memory that the incomplete event takes, in bytes.
    pub(crate) fn capacity(&self) -> usize {
        if self.partial.is_empty() {
            return 0;
        }
        self.partial.capacity()
    }

    /// Returns the bytes after the last complete event.
    pub(crate) fn finish(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Returns the id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns whether events go on where a stream broke off after the event with the id `last`. Ids increase;
/// those that are no numbers must differ.
pub(crate) fn continue_after(events: &[u8], last: &str) -> bool {
    let mut ids = events.split(|byte| *byte == b'\n').filter_map(|line| line.strip_prefix(b"id:"));
    let Some(Ok(first)) = ids.next().map(std::str::from_utf8) else { return false };
    match (first.trim().parse::<u64>(), last.parse::<u64>()) {
        (Ok(first), Ok(last)) => first > last,
        _ => first.trim() != last,
    }
}

/// Returns the position after the last empty line. The first `scanned` bytes are skipped: they
/// contain none.
fn find_last_end(bytes: &[u8], scanned: usize) -> Option<usize> {
    (scanned + 1..=bytes.len()).rev().find(|at| ends_event(&bytes[..*at]))
}

fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\r\n\r\n")
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next()?;
    std::str::from_utf8(id).ok().map(|id| id.trim().to_owned())
}

/// The longest pause between the events of one answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PauseRecord {
    last_event_at: Option<Time>,
    longest: Duration,
}

impl PauseRecord {
    /// Records the arrival of one or more events.
    pub(crate) fn record_event(&mut self, now: Time) {
        if let Some(at) = self.last_event_at.replace(now) {
            self.longest = self.longest.max(now.since(at));
        }
    }

    /// Returns the longest pause so far; zero before the second event.
    pub(crate) fn longest(self) -> Duration {
        self.longest
    }
}
