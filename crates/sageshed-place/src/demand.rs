//! Estimates the demand for each model.
//!
//! The rate is the greater of a fast and a slow moving average: it follows a rise within seconds, and
//! a fall over tens of seconds. A late load costs requests, while a replica that is kept too long
//! costs only memory that no other model needs yet, and a burst does not evict a model that is idle
//! for less than its load time. A single average that rises fast and falls slowly does not work: it
//! follows the noise of single requests upwards and mistakes a rarely used model for a busy one.

use std::collections;

use sageshed_types::{
    arena::{Key, ModelKey},
    messages, time,
};

use crate::policy;

/// Assumed service time of a model without completed requests, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 1_000.0;

/// Weight of a new service time in the moving average.
const SERVICE_WEIGHT: f64 = 0.2;

/// How long the number of waiting requests of an entry VM is used without a new report from it.
const WAITING_KEPT_MS: u64 = 10_000;

/// The demand estimate for one model.
#[derive(Debug, Clone, Copy)]
pub struct Estimate {
    /// The request rate, per second.
    pub rate: f64,
    fast: f64,
    slow: f64,
    /// The mean time for which a request occupies a slot, in milliseconds.
    pub service_ms: f64,
    /// Requests that wait at entry processes because no engine holds the model.
    pub waiting: u32,
    /// When the last request for the model was reported.
    pub last_request: Option<time::Instant>,
    arrived: u32,
}

impl Estimate {
    /// The number of slots that the model would keep busy if the waiting requests were spread over
    /// `horizon`.
    #[must_use]
    pub fn slots(&self, horizon: time::Millis) -> f64 {
        let backlog = f64::from(self.waiting) * 1_000.0 / (horizon.0.max(1) as f64);
        (self.rate + backlog) * self.service_ms / 1_000.0
    }
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            rate: 0.0,
            fast: 0.0,
            slow: 0.0,
            service_ms: DEFAULT_SERVICE_MS,
            waiting: 0,
            last_request: None,
            arrived: 0,
        }
    }
}

/// The demand estimates for all models.
#[derive(Debug, Clone, Default)]
pub struct Estimator {
    models: Vec<Estimate>,
    waiting: collections::BTreeMap<String, Waiting>,
    updated: Option<time::Instant>,
}

/// The waiting requests in the last report of one entry VM.
#[derive(Debug, Clone)]
struct Waiting {
    reported: time::Instant,
    counts: Vec<(ModelKey, u32)>,
}

impl Estimator {
    /// Creates an estimator for `models` models without demand.
    #[must_use]
    pub fn new(models: usize) -> Self {
        Self {
            models: vec![Estimate::default(); models],
            ..Self::default()
        }
    }

    /// The demand estimate for `model`.
    #[must_use]
    pub fn of(&self, model: ModelKey) -> Estimate {
        self.models.get(model.index()).copied().unwrap_or_default()
    }

    /// Records the demand reported by one entry VM.
    pub fn record(
        &mut self,
        now: time::Instant,
        vm: String,
        demand: impl Iterator<Item = (ModelKey, messages::Demand)>,
    ) {
        let mut counts = Vec::new();
        for (key, reported) in demand {
            let estimate = &mut self.models[key.index()];
            estimate.arrived = estimate.arrived.saturating_add(reported.arrived);
            if reported.arrived > 0 {
                estimate.last_request = Some(now);
            }
            if reported.arrived > 0 && reported.service_time.0 > 0 {
                let service_ms = reported.service_time.0 as f64;
                estimate.service_ms += SERVICE_WEIGHT * (service_ms - estimate.service_ms);
            }
            counts.push((key, reported.waiting));
        }
        self.waiting.insert(
            vm,
            Waiting {
                reported: now,
                counts,
            },
        );
    }

    /// Updates the rates with the requests recorded since the last call.
    pub fn update(&mut self, now: time::Instant, policy: &policy::Policy) {
        let Some(before) = self.updated.replace(now) else {
            return;
        };
        let span_ms = now.since(before).0 as f64;
        if span_ms <= 0.0 {
            self.updated = Some(before);
            return;
        }
        let rise = weight(span_ms, policy.demand_rise_ms);
        let decay = weight(span_ms, policy.demand_decay_ms);
        for estimate in &mut self.models {
            let seen = f64::from(estimate.arrived) * 1_000.0 / span_ms;
            estimate.fast += rise * (seen - estimate.fast);
            estimate.slow += decay * (seen - estimate.slow);
            estimate.rate = estimate.fast.max(estimate.slow);
            estimate.arrived = 0;
            estimate.waiting = 0;
        }
        self.waiting
            .retain(|_, reported| now.since(reported.reported).0 <= WAITING_KEPT_MS);
        for (key, count) in self.waiting.values().flat_map(|reported| &reported.counts) {
            self.models[key.index()].waiting += count;
        }
    }
}

/// The weight of a window of `span_ms` in a moving average with the time constant `constant`.
///
/// This is the first-order approximation of `1 - exp(-span / constant)`. The exact value differs in
/// its last digit between builds, which is enough for two control processes to make different plans.
fn weight(span_ms: f64, constant: time::Millis) -> f64 {
    span_ms / (span_ms + constant.0.max(1) as f64)
}
