//! Splits chunks of data into complete server-sent events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a stream into complete events, so that a caller never receives a partial event.
///
/// # Example
///
/// ```
/// use mango_gate::EventSplitter;
/// let mut splitter = EventSplitter::default();
/// assert!(splitter.push(b"data: a\n").unwrap().is_empty());
/// let events = splitter.push(b"\ndata: [DO").unwrap();
/// assert_eq!(&events[0][..], b"data: a\n\n");
/// assert!(!splitter.is_done());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    event_count: u64,
    is_done: bool,
}

impl EventSplitter {
    /// Adds a chunk and returns the events that it completes. Returns `None` if an event is too
    /// large or follows the end marker.
    pub fn push(&mut self, chunk: &[u8]) -> Option<Vec<Bytes>> {
        self.buffer.extend_from_slice(chunk);
        let mut events = Vec::new();
        while let Some(end) = event_end(&self.buffer) {
            let event = self.buffer.split_to(end).freeze();
            if self.is_done {
                return None;
            }
            self.is_done = is_done(&event);
            self.event_count += u64::from(!self.is_done);
            events.push(event);
        }
        (self.buffer.len() <= MAX_EVENT_BYTES).then_some(events)
    }

    /// Returns whether the end marker `[DONE]` was received.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Returns whether the buffer holds an incomplete event.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the number of events received, without the end marker.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }
}

fn event_end(buffer: &[u8]) -> Option<usize> {
    let lf_end = buffer.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf_end = buffer.windows(4).position(|window| window == b"\r\n\r\n").map(|at| at + 4);
    match (lf_end, crlf_end) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn is_done(event: &[u8]) -> bool {
    let text = String::from_utf8_lossy(event);
    text.lines().any(|line| line.strip_prefix("data:").is_some_and(|data| data.trim() == "[DONE]"))
}
