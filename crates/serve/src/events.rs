//! Events of a stream, cut out of a target's bytes.

use bytes::{Bytes, BytesMut};

/// Longest event; a longer one is passed on in pieces.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Cuts a stream of bytes at the ends of events, so that a client never gets a part of an event of
/// a target that breaks off.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds bytes and returns the events that are complete, if any.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let scanned = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let end = match find_last_end(&self.partial, scanned) {
            Some(end) => end,
            None if self.partial.len() > MAX_EVENT_BYTES => self.partial.len(),
            None => return None,
        };
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// Returns the bytes after the last complete event.
    pub(crate) fn finish(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Sets the last id for a stream that goes on after it, unless an event has arrived since.
    pub(crate) fn resume_after(&mut self, id: String) {
        self.last_id.get_or_insert(id);
    }

    /// Returns the id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns the position after the last empty line, if that is after the first `known` bytes: those
/// have none.
fn find_last_end(bytes: &[u8], scanned: usize) -> Option<usize> {
    let is_end =
        |at: &usize| bytes[..*at].ends_with(b"\n\n") || bytes[..*at].ends_with(b"\r\n\r\n");
    (scanned + 1..=bytes.len()).rev().find(is_end)
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next()?;
    std::str::from_utf8(id).ok().map(|id| id.trim().to_owned())
}
