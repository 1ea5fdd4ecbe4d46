//! The recent demand for each model, and the last use of each adapter.
//!
//! Demand moves to other models within a second or two, and a load that begins late delays all requests that wait
//! for it. The estimate is therefore the greater of the rate over the last [`RISE_WINDOW_MS`] and the rate over the
//! last [`WINDOW_MS`]: it rises at once and falls slowly. The short window is weighted by the number of its
//! requests, so that a single large prompt doesn't look like a rise.

use std::collections;

use sageshed_types::time;

use crate::messages;

/// Length of one bucket.
const BUCKET_MS: u64 = 250;

/// Window over which demand is averaged.
const WINDOW_MS: u64 = 4_000;

const MICROS_PER_MS: f64 = 1_000.0;

/// Window over which work that waits or was refused is counted.
const UNSERVED_WINDOW_MS: u64 = 1_000;

/// Age from which requests that wait for an engine count as unserved. Waits below it are part of a busy engine's queue.
const MIN_WAITING_AGE: time::Millis = time::Millis(400);

/// Unserved work in busy engines that counts as none: about one prompt of 2,400 tokens that waits for a second.
const MIN_UNSERVED_WORK: f64 = 0.1;

/// Window in which a rise of demand is noticed.
const RISE_WINDOW_MS: u64 = 1_000;

/// Number of requests in the short window at which its rate is weighted by one half. Prompts of rarely used models
/// come singly, and one of them in a second is no rise of demand.
const HALF_WEIGHT_REQUESTS: f64 = 3.0;

/// The demand in one bucket, or in several of them.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    requests: u32,
    prefill_us: u64,
    /// Engine time of requests that wait, counted once every [`messages::WAITING_INTERVAL`].
    waiting_us: u64,
    refused_us: u64,
}

impl Count {
    /// The sum; a faulty process may report extreme numbers.
    fn plus(self, more: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(more.requests),
            prefill_us: self.prefill_us.saturating_add(more.prefill_us),
            waiting_us: self.waiting_us.saturating_add(more.waiting_us),
            refused_us: self.refused_us.saturating_add(more.refused_us),
        }
    }
}

/// The recent demand for one model.
#[derive(Debug, Default)]
struct ModelDemand {
    /// Buckets with their numbers, the oldest first.
    buckets: collections::VecDeque<(u64, Count)>,
}

impl ModelDemand {
    fn add(&mut self, bucket: u64, more: Count) {
        if self.buckets.back().is_none_or(|(last, _)| *last != bucket) {
            self.buckets.push_back((bucket, Count::default()));
        }
        if let Some((_, count)) = self.buckets.back_mut() {
            *count = count.plus(more);
        }
        let oldest = bucket.saturating_sub(WINDOW_MS / BUCKET_MS);
        while self.buckets.front().is_some_and(|(it, _)| *it < oldest) {
            self.buckets.pop_front();
        }
    }

    /// The demand in the last `span_ms`.
    fn within(&self, bucket: u64, span_ms: u64) -> Count {
        let from = bucket.saturating_sub(span_ms / BUCKET_MS);
        let recent = self.buckets.iter().filter(|(it, _)| *it >= from);
        recent.fold(Count::default(), |sum, (_, it)| sum.plus(*it))
    }

    /// Number of engines that its requests keep busy.
    fn work(&self, bucket: u64) -> f64 {
        let rate =
            |count: Count, span_ms: u64| count.prefill_us as f64 / (span_ms as f64 * MICROS_PER_MS);
        let recent = self.within(bucket, RISE_WINDOW_MS);
        let requests = f64::from(recent.requests);
        let weight = requests / (requests + HALF_WEIGHT_REQUESTS);
        let rise = rate(recent, RISE_WINDOW_MS) * weight;
        rise.max(rate(self.within(bucket, WINDOW_MS), WINDOW_MS))
    }

    /// Number of engines that the requests which wait or were refused within the last second would keep busy for a second.
    fn unserved(&self, bucket: u64) -> f64 {
        let recent = self.within(bucket, UNSERVED_WINDOW_MS);
        let times_counted = UNSERVED_WINDOW_MS / messages::WAITING_INTERVAL.0;
        let us = recent.waiting_us as f64 / times_counted as f64 + recent.refused_us as f64;
        let work = us / (UNSERVED_WINDOW_MS as f64 * MICROS_PER_MS);
        if work < MIN_UNSERVED_WORK { 0.0 } else { work }
    }
}

/// The recent demand for all models.
#[derive(Debug, Default)]
pub(super) struct DemandHistory {
    models: collections::HashMap<(String, String), ModelDemand>,
    adapters: collections::HashMap<(String, String, String), time::Instant>,
}

impl DemandHistory {
    /// Adds the demand that a process has reported.
    pub(super) fn add(&mut self, now: time::Instant, demand: &[messages::Demand]) {
        for it in demand {
            let key = (it.service.clone(), it.model.clone());
            let model = self.models.entry(key).or_default();
            let is_stuck = it.waiting_age >= MIN_WAITING_AGE;
            let count = Count {
                requests: it.requests,
                prefill_us: it.prefill_us,
                waiting_us: if is_stuck { it.waiting_us } else { 0 },
                refused_us: it.refused_us,
            };
            model.add(now.0 / BUCKET_MS, count);
            for adapter in &it.adapters {
                self.record_adapter_use(now, &it.service, &it.model, adapter);
            }
        }
    }

    /// Records that an adapter is requested now.
    pub(super) fn record_adapter_use(
        &mut self,
        now: time::Instant,
        service: &str,
        model: &str,
        adapter: &str,
    ) {
        let key = (service.to_owned(), model.to_owned(), adapter.to_owned());
        self.adapters.insert(key, now);
    }

    /// When an adapter was last requested; the origin of the clock if it never was.
    pub(super) fn last_adapter_use(
        &self,
        service: &str,
        model: &str,
        adapter: &str,
    ) -> time::Instant {
        let key = (service.to_owned(), model.to_owned(), adapter.to_owned());
        self.adapters.get(&key).copied().unwrap_or_default()
    }

    /// Number of engines that the requests for a model keep busy.
    pub(super) fn work(&self, now: time::Instant, service: &str, model: &str) -> f64 {
        let key = (service.to_owned(), model.to_owned());
        let model = self.models.get(&key);
        model.map_or(0.0, |it| it.work(now.0 / BUCKET_MS))
    }

    /// Number of engines that the requests for a model which wait or were refused would keep busy for a second; zero
    /// where that is little.
    pub(super) fn unserved(&self, now: time::Instant, service: &str, model: &str) -> f64 {
        let key = (service.to_owned(), model.to_owned());
        let model = self.models.get(&key);
        model.map_or(0.0, |it| it.unserved(now.0 / BUCKET_MS))
    }
}
