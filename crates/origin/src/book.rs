//! The streams that have begun at one daemon.

use base::{SortedMap, Time};

use crate::{ServiceMixes, StreamId, StreamOrigin};

/// Largest number of streams that are kept.
const MAX_STREAMS: usize = 8_192;

#[derive(Clone, Debug)]
struct BegunStream {
    origin: StreamOrigin,
    /// Until when a client may take the stream up.
    until: Time,
    is_recorded: bool,
}

/// The streams that have begun at this daemon and that clients may still take up.
#[derive(Clone, Debug, Default)]
pub struct OriginBook {
    streams: SortedMap<StreamId, BegunStream>,
}

impl OriginBook {
    /// Adds a stream whose first event is about to be passed on.
    pub fn begin(&mut self, now: Time, id: StreamId, origin: StreamOrigin, until: Time) {
        self.streams.retain(|_, stream| now < stream.until);
        if self.streams.len() < MAX_STREAMS {
            self.streams.insert(id, BegunStream { origin, until, is_recorded: false });
        }
    }

    /// Returns where a stream began, if that was at this daemon.
    pub fn find(&self, now: Time, id: StreamId) -> Option<&StreamOrigin> {
        let stream = self.streams.get(&id).filter(|stream| now < stream.until)?;
        Some(&stream.origin)
    }

    /// Returns up to `most` streams that have to be recorded in the store.
    pub fn unrecorded(
        &self,
        now: Time,
        mixes: &ServiceMixes,
        most: usize,
    ) -> Vec<(StreamId, StreamOrigin)> {
        let is_due = |stream: &BegunStream| {
            now < stream.until && !stream.is_recorded && mixes.needs_records(&stream.origin.service)
        };
        let due = self.streams.iter().filter(|(_, stream)| is_due(stream));
        due.map(|(id, stream)| (*id, stream.origin.clone())).take(most).collect()
    }

    /// Records that the store has these streams.
    pub fn mark_recorded(&mut self, ids: &[StreamId]) {
        for id in ids {
            if let Some(stream) = self.streams.get_mut(id) {
                stream.is_recorded = true;
            }
        }
    }

    /// Makes all streams unrecorded again, because the store has lost what was written.
    pub fn forget_records(&mut self) {
        self.streams.values_mut().for_each(|stream| stream.is_recorded = false);
    }

    /// Returns whether the store has a stream.
    pub fn is_recorded(&self, id: StreamId) -> bool {
        self.streams.get(&id).is_some_and(|stream| stream.is_recorded)
    }
}
