//! What callers ask of each model.
//!
//! Demand moves to other models within a second or two, and a load that begins late is late for all
//! who wait for it. So the rate is the greater of that over the last second and that over the last
//! [`SPAN_MS`]: it rises at once and falls slowly.

use std::collections;

use sageshed_types::time;

use crate::messages;

/// The length of one count, in milliseconds.
const BUCKET_MS: u64 = 250;

/// How far back counts go, in milliseconds.
const SPAN_MS: u64 = 4_000;

/// Microseconds in a millisecond.
const MICROS_A_MS: f64 = 1_000.0;

/// The span that notices a rise, in milliseconds.
const SHORT_MS: u64 = 1_000;

#[derive(Debug, Default)]
struct Model {
    /// Microseconds of reading by the number of the bucket.
    buckets: collections::VecDeque<(u64, u64)>,
}

impl Model {
    fn add(&mut self, bucket: u64, reading_us: u64) {
        match self.buckets.back_mut() {
            Some((last, sum)) if *last == bucket => *sum += reading_us,
            _ => self.buckets.push_back((bucket, reading_us)),
        }
        let oldest = bucket.saturating_sub(SPAN_MS / BUCKET_MS);
        while self.buckets.front().is_some_and(|(it, _)| *it < oldest) {
            self.buckets.pop_front();
        }
    }

    /// Engines kept busy over the last `span_ms`, as a number of engines.
    fn work(&self, bucket: u64, span_ms: u64) -> f64 {
        let from = bucket.saturating_sub(span_ms / BUCKET_MS);
        let recent = self.buckets.iter().filter(|(it, _)| *it >= from);
        let reading_us: u64 = recent.map(|(_, reading_us)| reading_us).sum();
        reading_us as f64 / (span_ms as f64 * MICROS_A_MS)
    }
}

/// The demand for all models.
#[derive(Debug, Default)]
pub(super) struct Demands {
    models: collections::HashMap<(String, String), Model>,
    adapters: collections::HashMap<(String, String, String), time::Instant>,
}

impl Demands {
    pub(super) fn add(&mut self, now: time::Instant, demand: &[messages::Demand]) {
        for it in demand {
            let key = (it.service.clone(), it.model.clone());
            let model = self.models.entry(key).or_default();
            model.add(now.0 / BUCKET_MS, it.reading_us);
            for adapter in &it.adapters {
                self.used(now, &it.service, &it.model, adapter);
            }
        }
    }

    pub(super) fn used(&mut self, now: time::Instant, service: &str, model: &str, adapter: &str) {
        let key = (service.to_owned(), model.to_owned(), adapter.to_owned());
        self.adapters.insert(key, now);
    }

    /// When an adapter was last asked for; the start of the clock if it never was.
    pub(super) fn last_use(&self, service: &str, model: &str, adapter: &str) -> time::Instant {
        let key = (service.to_owned(), model.to_owned(), adapter.to_owned());
        self.adapters.get(&key).copied().unwrap_or_default()
    }

    /// Engines that the requests for a model keep busy, as a number of engines.
    pub(super) fn work(&self, now: time::Instant, service: &str, model: &str) -> f64 {
        let key = (service.to_owned(), model.to_owned());
        let Some(model) = self.models.get(&key) else {
            return 0.0;
        };
        let bucket = now.0 / BUCKET_MS;
        model
            .work(bucket, SHORT_MS)
            .max(model.work(bucket, SPAN_MS))
    }
}
