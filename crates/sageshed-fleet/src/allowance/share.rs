//! A producer's part of an allowance.

use sageshed_types::time;

use super::{SPAN, Terms};

/// What one producer has: what has grown since it was drawn from last.
///
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Share {
    /// None before the first time: it is full then. After a loss of power the callers of all processes come back
    /// at once, and each unit that has to grow first is a request that is turned away.
    collected_at: Option<time::Instant>,
}

impl Share {
    /// Takes all that has grown, as one of `producers`.
    ///
    /// No more than grows in [`SPAN`] is kept, so that a process which stood still, or whose home was away, does
    /// not come back with the units of all that time.
    pub fn take(&mut self, now: time::Instant, terms: &Terms, producers: usize) -> f64 {
        let since = self.collected_at.replace(now);
        let since = since.map_or(SPAN, |at| now.since(at).min(SPAN));
        let grown = terms.grown(since);
        grown / producers.max(1) as f64
    }
}
