//! How long the response to a call is waited for, beyond the time for which the call is held.
//!
//! A path can become slower than the time limit of a call: a link is full, or the process at the other end lacks processor
//! time. Calls that are given up and made again then never succeed, and add to the load. So the margin doubles with each
//! call that is not answered in time, and follows the round trips of those that are.

use sageshed_types::time;

/// The margin while responses are fast: the round trip, and a pause of either process.
pub const MIN_MARGIN: time::Millis = time::Millis(400);

/// The largest margin. A longer wait would find a lost process too late.
pub const MAX_MARGIN: time::Millis = time::Millis(1_600);

/// The margin for calls to one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallMargin {
    margin: time::Millis,
}

impl Default for CallMargin {
    fn default() -> Self {
        Self { margin: MIN_MARGIN }
    }
}

impl CallMargin {
    /// The margin of the next call.
    #[must_use]
    pub fn get(self) -> time::Millis {
        self.margin
    }

    /// Records that a call was answered `elapsed` after it was sent, and had been held for `held` of that time.
    pub fn record_response(&mut self, elapsed: time::Millis, held: time::Millis) {
        let round_trip = elapsed.0.saturating_sub(held.0);
        self.set(time::Millis(round_trip.saturating_mul(2)));
    }

    /// Records that a call was sent and not answered in time.
    pub fn record_timeout(&mut self) {
        self.set(time::Millis(self.margin.0 * 2));
    }

    /// Records that no connection came about. The process is down, which a longer wait doesn't help.
    pub fn record_unreachable(&mut self) {
        self.margin = MIN_MARGIN;
    }

    fn set(&mut self, margin: time::Millis) {
        self.margin = margin.max(MIN_MARGIN).min(MAX_MARGIN);
    }
}
