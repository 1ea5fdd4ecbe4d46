//! The budget of loads from the weight store, which all engines share.

use std::collections;

use sageshed_types::time;

/// The recent loads from the store, and those that a previous leader may have begun.
#[derive(Debug)]
pub(super) struct StoreBudget {
    window: time::Millis,
    begun: collections::VecDeque<time::Instant>,
    /// Until then the whole budget counts as spent by the previous leader.
    spent_until: time::Instant,
}

impl StoreBudget {
    /// A budget that counts the loads begun within `window`.
    pub(super) fn new(window: time::Millis) -> Self {
        Self {
            window,
            begun: collections::VecDeque::new(),
            spent_until: time::Instant(0),
        }
    }

    /// Forgets the loads that were counted, and counts the whole budget as spent until `at`.
    pub(super) fn assume_all_spent(&mut self, at: time::Instant) {
        self.begun.clear();
        self.spent_until = at;
    }

    /// Whether a load may begin now, where the store allows `per_s` loads a second and `reserved` others are
    /// about to begin.
    pub(super) fn allows(&self, now: time::Instant, per_s: f64, reserved: usize) -> bool {
        if now < self.spent_until {
            return false;
        }
        let recent = self
            .begun
            .iter()
            .filter(|at| now.since(**at) <= self.window);
        let max_loads = per_s * self.window.0 as f64 / 1_000.0;
        (recent.count() + reserved + 1) as f64 <= max_loads.max(1.0)
    }

    /// Counts a load that begins now.
    pub(super) fn spend(&mut self, now: time::Instant) {
        while self
            .begun
            .front()
            .is_some_and(|at| now.since(*at) > self.window)
        {
            self.begun.pop_front();
        }
        self.begun.push_back(now);
    }
}
