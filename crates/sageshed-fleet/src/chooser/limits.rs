//! Limits that endpoints name in their answers: so many requests a second from all VMs together.

use sageshed_types::time;

use super::{Chooser, Pick};

/// A limit that an endpoint has named, and what this process has sent there since.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Limit {
    /// Requests a second.
    per_s: f64,
    /// Requests that were sent since `counted_from`.
    sent: u64,
    counted_from: time::Instant,
}

/// What is new of the limit of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// It names this one, in requests a second, and named none or another before.
    Named(f64),
    /// It names none any more.
    Lifted,
    /// It has been sent so many requests by this process in the span since they were counted last.
    Sent(u64, time::Millis),
}

/// Between two counts of what was sent to an endpoint with a limit.
const COUNTED_EVERY: time::Millis = time::Millis(4_000);

impl Chooser {
    /// The endpoint of `pick` has named a limit in an answer, or none. Returns what is new.
    pub fn limited(
        &mut self,
        now: time::Instant,
        pick: &Pick,
        limit: Option<f64>,
    ) -> Option<Change> {
        let endpoint = self.get_mut(pick.key)?;
        let before = endpoint.limit.map(|it| it.per_s);
        if before == limit {
            return None;
        }
        endpoint.limit = limit.map(|per_s| Limit {
            per_s,
            sent: 0,
            counted_from: now,
        });
        Some(limit.map_or(Change::Lifted, Change::Named))
    }

    /// A request goes to the endpoint of `pick`. Returns a count where it has a limit and one is due.
    pub fn sends(&mut self, now: time::Instant, pick: &Pick) -> Option<Change> {
        let limit = self.get_mut(pick.key)?.limit.as_mut()?;
        limit.sent += 1;
        let span = now.since(limit.counted_from);
        if span < COUNTED_EVERY {
            return None;
        }
        let sent = limit.sent;
        limit.sent = 0;
        limit.counted_from = now;
        Some(Change::Sent(sent, span))
    }
}
