//! The budget of loads from the weight store: a rate limit and a concurrency limit.

use sageshed_types::{endpoints, time};

use crate::{engine, ledger, policy};

/// The number of loads that may start at once after a time without any, unless the rate is greater.
const MIN_LOAD_BURST: f64 = 2.0;

/// The loads that may still start.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    tokens: f64,
    max_concurrent: u32,
    loads_in_progress: u32,
    refilled: Option<time::Instant>,
}

impl Budget {
    /// Refills the rate limit and counts the loads in progress.
    pub fn refill(&mut self, now: time::Instant, ledger: &ledger::Ledger, policy: &policy::Policy) {
        let most = policy.store_loads_per_second.max(MIN_LOAD_BURST);
        let earned = match self.refilled.replace(now) {
            Some(before) => now.since(before).0 as f64 / 1_000.0 * policy.store_loads_per_second,
            None => most,
        };
        self.tokens = (self.tokens + earned).min(most);
        self.max_concurrent = policy.store_loads_at_once;
        self.loads_in_progress = ledger.engines().iter().map(loads_on).sum();
    }

    /// Whether a load may start.
    #[must_use]
    pub fn allows(&self) -> bool {
        self.tokens >= 1.0 && self.loads_in_progress < self.max_concurrent
    }

    /// Counts a load that starts.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
        self.loads_in_progress += 1;
    }
}

/// Loads in progress on one engine: orders of unknown outcome, and models reported as loading.
fn loads_on(engine: &engine::Engine) -> u32 {
    let pending = engine
        .pending()
        .filter(|task| task.loaded().is_some())
        .count();
    let unordered = engine
        .held
        .iter()
        .filter(|held| held.phase == endpoints::Phase::Loading && !engine.awaits(held.model))
        .count();
    u32::try_from(pending + unordered).unwrap_or(u32::MAX)
}
