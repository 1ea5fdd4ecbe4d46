//! The limits on loads from the weight store, which all engines share: the budget of loads that begin, and how many
//! are in progress.

use std::collections;

use sageshed_types::time;

use super::{Planner, Pool, engine, store_limit};

/// The recent loads from the store, and those that a previous leader may have begun.
#[derive(Debug)]
pub(super) struct StoreBudget {
    window: time::Millis,
    begun: collections::VecDeque<time::Instant>,
    /// Up to then the whole budget counts as spent by the previous leader.
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

    /// Forgets the loads that were counted, and counts the whole budget as spent at `at`. That is the latest moment at
    /// which orders of a previous leader may be carried out, and nothing tells how many were carried out just then: a
    /// window that begins there has no load left for this leader.
    pub(super) fn assume_all_spent(&mut self, at: time::Instant) {
        self.begun.clear();
        self.spent_until = at + self.window;
    }

    /// Whether a load may begin now, where the store allows `per_s` loads a second and `reserved` others are
    /// about to begin.
    pub(super) fn allows(&self, now: time::Instant, per_s: f64, reserved: usize) -> bool {
        if now <= self.spent_until {
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

impl Planner {
    /// Adapts the limit on concurrent loads from the store to the loads that have ended.
    pub(super) fn adapt_store_limit(&mut self, now: time::Instant, pools: &[Pool<'_>]) {
        let slowest = |pool: &Pool<'_>| {
            let loads = pool.settings.models.iter().map(|it| it.store_load);
            loads.max().unwrap_or_default()
        };
        let is_slow = |pool: &Pool<'_>| slowest(pool) >= store_limit::MIN_ADAPTED_LOAD;
        self.adapts_store_limit = self.policy.adaptive_store_loads && pools.iter().any(is_slow);
        let ceilings = pools
            .iter()
            .map(|pool| store_limit::ceiling(pool.settings.loads_per_s, slowest(pool)));
        let ceiling = ceilings.fold(0.0, f64::max);
        let rates = pools.iter().map(|pool| pool.settings.loads_per_s);
        if let Some(loads_per_s) = rates.max_by(f64::total_cmp) {
            self.store_limit.begin(loads_per_s);
        }
        let engines = self.engines.values_mut();
        for load in engines.flat_map(engine::Engine::take_finished_loads) {
            self.store_limit.record_load(load, ceiling);
        }
        let loads = self.engines.values().map(engine::Engine::store_loads).sum();
        let instances = pools.iter().flat_map(|it| &it.instances);
        let reserved = instances
            .filter(|it| self.is_reserved_for_store(it))
            .count();
        self.store_limit.record_concurrency(now, loads, reserved);
    }

    /// Maximum number of concurrent loads from the store.
    pub(super) fn max_store_loads(&self) -> usize {
        if self.adapts_store_limit {
            self.store_limit.current()
        } else {
            self.policy.max_store_loads
        }
    }
}
