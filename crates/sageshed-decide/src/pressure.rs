//! How fast more urgent requests take the slots that a waiting one hopes for.
//!
//! A request that waits counts those before it. Under overload that is not enough: urgent ones keep
//! arriving and pass it. On real processes at ten times the capacity, one in five urgent, requests
//! were let in to wait by what was before them then, and refused most of a second later. So the rate
//! at which more urgent requests are sent is taken off the rate at which slots come free.
//!
//! Only what was sent counts. What is refused takes no slot, however much of it there is.

use std::collections;

use sageshed_types::time;

use crate::queue;

/// The span over which a rate is taken, in milliseconds.
const SPAN: f64 = 2_000.0;

/// A rate of events, by a count that decays.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    count: f64,
    at: time::Instant,
}

impl Rate {
    fn decayed(&self, now: time::Instant) -> f64 {
        // Close to an exponential for short steps, and exact arithmetic in every build.
        self.count * SPAN / (SPAN + now.since(self.at).0 as f64)
    }

    fn add(&mut self, now: time::Instant) {
        self.count = self.decayed(now) + 1.0;
        self.at = now;
    }
}

/// What was sent lately, by lane and priority.
#[derive(Debug, Clone, Default)]
pub struct Pressure {
    rates: collections::HashMap<(queue::Lane, u8), Rate>,
}

impl Pressure {
    /// Notes that a request was sent.
    pub fn sent(&mut self, now: time::Instant, lane: queue::Lane, priority: u8) {
        self.rates.entry((lane, priority)).or_default().add(now);
    }

    /// Requests a millisecond of a greater priority, each lane counted by its part in `overlap`.
    pub fn above(
        &self,
        now: time::Instant,
        priority: u8,
        overlap: impl Fn(queue::Lane) -> f64,
    ) -> f64 {
        let above = self.rates.iter().filter(|((_, p), _)| *p > priority);
        above
            .map(|((lane, _), rate)| rate.decayed(now) / SPAN * overlap(*lane))
            .sum()
    }
}
