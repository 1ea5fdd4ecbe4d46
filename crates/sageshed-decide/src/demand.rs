//! What was asked for, by target, between two calls for it.

use std::collections;

use crate::event;

/// Counts of one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Requests that came.
    pub arrived: u32,
    /// Requests refused because no endpoint held the target in time.
    pub unserved: u32,
}

/// Counts of all targets since the last time they were taken.
#[derive(Debug, Default)]
pub struct Counts {
    counts: collections::BTreeMap<event::Target, Count>,
}

impl Counts {
    /// A request for `target` came.
    pub fn arrived(&mut self, target: event::Target) {
        self.counts.entry(target).or_default().arrived += 1;
    }

    /// A request for `target` was refused because no endpoint held it in time.
    pub fn unserved(&mut self, target: event::Target) {
        self.counts.entry(target).or_default().unserved += 1;
    }

    /// Takes the counts and begins anew.
    pub fn take(&mut self) -> collections::BTreeMap<event::Target, Count> {
        std::mem::take(&mut self.counts)
    }
}
