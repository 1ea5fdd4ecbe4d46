//! How old the endpoint records of an entry process are, and whether requests may be sent by them.
//!
//! A response of a control process contains every update that it knew when it answered. So the records are as of the
//! time at which the latest call was sent whose response completed them, plus the time for which the call was held; not
//! of the time at which the response was handled: a process that was paused, or lacks processor time, handles it long
//! after it has arrived. Contact alone says nothing of the records: a response may bring a part of them, or only a digest
//! that differs.
//!
//! An endpoint that leaves must get no new requests, so requests wait while the records are older than [`MAX_AGE`]. A
//! process that can reach no control process goes on by what it knows, since the endpoints may still serve. A call that
//! ends well after its own time limit was held up in this process, and is no evidence for that. Nor do requests wait in a
//! process that has just started and receives all records, portion by portion: those that it has are as of then.

use sageshed_types::time;

use crate::links;

/// The age of records by which requests are sent. An endpoint that leaves serves for two seconds or more after the
/// acknowledgement. This leaves half of it for the exchange between control processes and the transmission of the request.
pub const MAX_AGE: time::Millis = time::Millis(1_000);

/// The age from which every link asks for records, to be answered at once.
pub const REFRESH_AGE: time::Millis = time::Millis(500);

/// How much later than its time limit a failed call may end and still be evidence that a control process is
/// unreachable.
const HELD_UP_AFTER: time::Millis = time::Millis(200);

/// The failed calls without a response in between after which control counts as unreachable.
const MAX_FAILURES: usize = links::LINK_COUNT;

/// Whether requests may be sent by the records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// The records are current.
    Current,
    /// They are out of date, and a control process is expected to respond soon.
    Outdated,
    /// They are out of date, and no control process can be reached.
    Unconfirmable,
}

/// The age of the endpoint records of one process.
#[derive(Debug, Clone, Copy, Default)]
pub struct RecordsAge {
    /// None until the records are complete for the first time.
    as_of: Option<time::Instant>,
    /// Failed calls since the latest response.
    failures: usize,
}

impl RecordsAge {
    /// Records a response to a call.
    pub fn record_response(&mut self) {
        self.failures = 0;
    }

    /// Records that the response to a call that was sent at `sent_at` and held for `held` has completed the records.
    pub fn confirm(&mut self, now: time::Instant, sent_at: time::Instant, held: time::Millis) {
        self.as_of = self.as_of.max(Some(now.min(sent_at + held)));
    }

    /// Records that a call that was sent at `sent_at` with this time limit has failed.
    pub fn record_failure(
        &mut self,
        now: time::Instant,
        sent_at: time::Instant,
        limit: time::Millis,
    ) {
        if now.since(sent_at) <= limit + HELD_UP_AFTER {
            self.failures += 1;
        }
    }

    /// The age of the records; the time since the start until they are complete for the first time.
    #[must_use]
    pub fn age(&self, now: time::Instant) -> time::Millis {
        now.since(self.as_of.unwrap_or_default())
    }

    /// Whether requests may be sent by the records.
    #[must_use]
    pub fn freshness(&self, now: time::Instant) -> Freshness {
        if self.as_of.is_none() || self.age(now) <= MAX_AGE {
            Freshness::Current
        } else if self.failures >= MAX_FAILURES {
            Freshness::Unconfirmable
        } else {
            Freshness::Outdated
        }
    }
}
