//! Counts of requests by target, from which the control process estimates demand.

use std::collections;

use crate::event;

/// The counts for one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Requests that passed the rules and limits.
    pub arrived: u32,
    /// Requests refused because no endpoint would serve the target in time.
    pub unserved: u32,
}

/// The counts for all targets since they were last taken.
#[derive(Debug, Default)]
pub struct Counts {
    counts: collections::BTreeMap<event::Target, Count>,
}

impl Counts {
    /// Counts a request for `target`.
    pub fn arrived(&mut self, target: event::Target) {
        self.counts.entry(target).or_default().arrived += 1;
    }

    /// Counts a request that was refused because no endpoint would serve `target` in time.
    pub fn unserved(&mut self, target: event::Target) {
        self.counts.entry(target).or_default().unserved += 1;
    }

    /// Returns the counts and resets them.
    pub fn take(&mut self) -> collections::BTreeMap<event::Target, Count> {
        std::mem::take(&mut self.counts)
    }
}
