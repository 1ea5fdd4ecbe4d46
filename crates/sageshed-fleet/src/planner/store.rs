//! How many loads the weight store may begin.

use std::collections;

use sageshed_types::time;

/// The loads that began lately, or are taken to have begun.
#[derive(Debug)]
pub(super) struct StoreBudget {
    window: time::Millis,
    begun: collections::VecDeque<time::Instant>,
    /// Until then the whole of the window counts as spent by the leader before.
    spent_until: time::Instant,
}

impl StoreBudget {
    pub(super) fn new(window: time::Millis) -> Self {
        Self {
            window,
            begun: collections::VecDeque::new(),
            spent_until: time::Instant(0),
        }
    }

    /// Counts all that the store allows as begun at `at`.
    pub(super) fn assume_all_spent(&mut self, at: time::Instant) {
        self.begun.clear();
        self.spent_until = at;
    }

    /// Whether a load may begin now, where the store begins `per_s` in a second and `reserved` others are to
    /// begin soon.
    pub(super) fn allows(&self, now: time::Instant, per_s: f64, reserved: usize) -> bool {
        if now < self.spent_until {
            return false;
        }
        let recent = self
            .begun
            .iter()
            .filter(|at| now.since(**at) <= self.window);
        let most = per_s * self.window.0 as f64 / 1_000.0;
        (recent.count() + reserved + 1) as f64 <= most.max(1.0)
    }

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
