//! What callers ask of each model.
//!
//! Demand moves to other models within a second or two, and a load that begins late is late for all
//! who wait for it. So the rate is the greater of that over the last second and that over the last
//! [`WINDOW_MS`]: it rises at once and falls slowly. The last second counts in full only where many
//! requests came in it.

use std::collections;

use sageshed_types::time;

use crate::messages;

/// The length of one count, in milliseconds.
const BUCKET_MS: u64 = 250;

/// How far back counts go, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1_000.0;

/// The span that notices a rise, in milliseconds.
const RISE_WINDOW_MS: u64 = 1_000;

/// Requests at which the last second weighs a half against what came before. Prompts of a rare model
/// come singly, and one of them in a second is no rise of demand.
const HALF_WEIGHT_REQUESTS: f64 = 3.0;

/// What was asked for in one bucket.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    requests: u32,
    reading_us: u64,
}

#[derive(Debug, Default)]
struct Model {
    /// By the number of the bucket.
    buckets: collections::VecDeque<(u64, Count)>,
}

impl Model {
    fn add(&mut self, bucket: u64, more: Count) {
        if self.buckets.back().is_none_or(|(last, _)| *last != bucket) {
            self.buckets.push_back((bucket, Count::default()));
        }
        if let Some((_, count)) = self.buckets.back_mut() {
            count.requests += more.requests;
            count.reading_us += more.reading_us;
        }
        let oldest = bucket.saturating_sub(WINDOW_MS / BUCKET_MS);
        while self.buckets.front().is_some_and(|(it, _)| *it < oldest) {
            self.buckets.pop_front();
        }
    }

    /// What was asked for in the last `span_ms`.
    fn within(&self, bucket: u64, span_ms: u64) -> Count {
        let from = bucket.saturating_sub(span_ms / BUCKET_MS);
        let recent = self.buckets.iter().filter(|(it, _)| *it >= from);
        recent.fold(Count::default(), |sum, (_, it)| Count {
            requests: sum.requests + it.requests,
            reading_us: sum.reading_us + it.reading_us,
        })
    }

    /// Engines kept busy, as a number of engines.
    fn work(&self, bucket: u64) -> f64 {
        let rate =
            |count: Count, span_ms: u64| count.reading_us as f64 / (span_ms as f64 * MICROS_PER_MS);
        let recent = self.within(bucket, RISE_WINDOW_MS);
        let requests = f64::from(recent.requests);
        let weight = requests / (requests + HALF_WEIGHT_REQUESTS);
        let rise = rate(recent, RISE_WINDOW_MS) * weight;
        rise.max(rate(self.within(bucket, WINDOW_MS), WINDOW_MS))
    }
}

/// The demand for all models.
#[derive(Debug, Default)]
pub(super) struct DemandHistory {
    models: collections::HashMap<(String, String), Model>,
    adapters: collections::HashMap<(String, String, String), time::Instant>,
}

impl DemandHistory {
    pub(super) fn add(&mut self, now: time::Instant, demand: &[messages::Demand]) {
        for it in demand {
            let key = (it.service.clone(), it.model.clone());
            let model = self.models.entry(key).or_default();
            let count = Count {
                requests: it.requests,
                reading_us: it.reading_us,
            };
            model.add(now.0 / BUCKET_MS, count);
            for adapter in &it.adapters {
                self.record_adapter_use(now, &it.service, &it.model, adapter);
            }
        }
    }

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

    /// When an adapter was last asked for; the start of the clock if it never was.
    pub(super) fn last_adapter_use(
        &self,
        service: &str,
        model: &str,
        adapter: &str,
    ) -> time::Instant {
        let key = (service.to_owned(), model.to_owned(), adapter.to_owned());
        self.adapters.get(&key).copied().unwrap_or_default()
    }

    /// Engines that the requests for a model keep busy, as a number of engines.
    pub(super) fn work(&self, now: time::Instant, service: &str, model: &str) -> f64 {
        let key = (service.to_owned(), model.to_owned());
        let model = self.models.get(&key);
        model.map_or(0.0, |it| it.work(now.0 / BUCKET_MS))
    }
}
