//! A producer's share of an allowance.

use sageshed_types::time;

use super::{RateLimit, SHARE_WINDOW};

/// The units that one producer has: those that accrued since the last collection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Share {
    /// None before the first collection, when the share is full. After a power loss, the callers of all
    /// processes return at once, and each unit that has to accrue first is a refused request.
    collected_at: Option<time::Instant>,
}

impl Share {
    /// Takes all accrued units, as one of `producers`.
    ///
    /// At most what accrues in [`SHARE_WINDOW`] is stored, so that a process that was suspended, or whose
    /// coordinator was gone, does not return with the units of all that time.
    pub fn take(&mut self, now: time::Instant, limit: &RateLimit, producers: usize) -> f64 {
        let since = self.collected_at.replace(now);
        let since = since.map_or(SHARE_WINDOW, |at| now.since(at).min(SHARE_WINDOW));
        let accrued = limit.accrued(since);
        accrued / producers.max(1) as f64
    }
}
