//! How much each model is asked for.
//!
//! The rate is the greater of a fast mean and a slow one: it follows a rise within seconds and
//! forgets a fall over tens of seconds. A load that comes late costs requests, a copy kept too long
//! costs only memory that nobody else has claimed yet; and a burst evicts no model that pauses for
//! less than its load time. One mean that rises fast and falls slowly was tried first: it follows
//! the noise of single requests upwards and so takes a rarely used model for a busy one.

use std::collections;

use sageshed_types::{
    arena::{Key, ModelKey},
    messages, time,
};

use crate::policy;

/// Service time supposed of a model that no request has run on yet.
const DEFAULT_SERVICE_MS: f64 = 1_000.0;

/// Weight of a new service time against the mean so far.
const SERVICE_WEIGHT: f64 = 0.2;

/// What an entry VM said of waiting requests is forgotten after this long without word from it.
const WAITING_KEPT_MS: u64 = 10_000;

/// The estimate for one model.
#[derive(Debug, Clone, Copy)]
pub struct Estimate {
    /// Requests a second.
    pub rate: f64,
    fast: f64,
    slow: f64,
    /// Mean time that one request holds a slot, in milliseconds.
    pub service_ms: f64,
    /// Requests waiting at entry processes since no engine holds the model.
    pub waiting: u32,
    /// When a request last came.
    pub asked: Option<time::Instant>,
    arrived: u32,
}

impl Estimate {
    /// Slots that the model would keep busy, the waiting requests being worked off over `horizon`.
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
            asked: None,
            arrived: 0,
        }
    }
}

/// The estimates of all models.
#[derive(Debug, Clone, Default)]
pub struct Estimator {
    models: Vec<Estimate>,
    waiting: collections::BTreeMap<String, Waiting>,
    updated: Option<time::Instant>,
}

/// What one entry VM last said of its waiting requests.
#[derive(Debug, Clone)]
struct Waiting {
    reported: time::Instant,
    counts: Vec<(ModelKey, u32)>,
}

impl Estimator {
    /// Starts with no demand for any of `models` models.
    #[must_use]
    pub fn new(models: usize) -> Self {
        Self {
            models: vec![Estimate::default(); models],
            ..Self::default()
        }
    }

    /// The estimate for `model`.
    #[must_use]
    pub fn of(&self, model: ModelKey) -> Estimate {
        self.models.get(model.index()).copied().unwrap_or_default()
    }

    /// Takes in what one entry VM was asked for.
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
                estimate.asked = Some(now);
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

    /// Closes the window since the last call and moves the rates.
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

/// The weight of a window of `span_ms` in a mean with the time constant `constant`.
///
/// The first-order form of `1 - exp(-span / constant)`. The exponential itself differs in its last
/// digit from one build to the next, which is enough to make two control processes plan apart.
fn weight(span_ms: f64, constant: time::Millis) -> f64 {
    span_ms / (span_ms + constant.0.max(1) as f64)
}
