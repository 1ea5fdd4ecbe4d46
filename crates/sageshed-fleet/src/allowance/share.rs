//! A producer's share of an allowance.

use sageshed_types::time;

use super::{RateLimit, SPAN};

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
    /// At most what accrues in [`SPAN`] is stored, so that a process that was suspended, or whose
    /// coordinator was gone, does not return with the units of all that time.
    pub fn take(&mut self, now: time::Instant, terms: &RateLimit, producers: usize) -> f64 {
        let since = self.collected_at.replace(now);
        let since = since.map_or(SPAN, |at| now.since(at).min(SPAN));
        let grown = terms.grown(since);
        grown / producers.max(1) as f64
    }
}
