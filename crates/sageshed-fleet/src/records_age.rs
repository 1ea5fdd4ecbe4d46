//! How old the endpoint records of an entry process are.
//!
//! A response of a control process contains every update that it knew when the call was sent. So the records are as of
//! the time at which the latest call was sent whose response completed them, not of the time at which it was handled: a
//! process that was paused, or lacks processor time, handles a response long after it has arrived. Contact alone says
//! nothing of the records: a response may bring a part of them, or only a digest that differs.

use sageshed_types::time;

/// The age of the endpoint records of one process.
#[derive(Debug, Clone, Copy, Default)]
pub struct RecordsAge {
    as_of: time::Instant,
}

impl RecordsAge {
    /// Records that the response to a call that was sent at `sent_at` has completed the records.
    pub fn confirm(&mut self, sent_at: time::Instant) {
        self.as_of = self.as_of.max(sent_at);
    }

    /// The age of the records.
    #[must_use]
    pub fn age(&self, now: time::Instant) -> time::Millis {
        now.since(self.as_of)
    }
}
