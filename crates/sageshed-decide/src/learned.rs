//! What was learned of service times.
//!
//! The service time of a target is how long one request holds a slot: the time from sending to the
//! whole answer, less the wait inside the endpoint that was predicted when it was sent. Means are
//! exponentially weighted, plain averages over the first few samples so that the first one does not
//! stick. The deviation is a mean absolute one: cheap, and less thrown by one outlier.

use sageshed_types::time;

/// Samples over which the mean is a plain average.
const PLAIN_SAMPLES: f64 = 16.0;

/// Samples from which on requests are shed by what was learned: with fewer it is a guess, and a
/// refusal must not rest on a guess.
pub const TRUSTED_SAMPLES: u32 = 5;

/// The least and greatest factor by which one endpoint is taken to be slower than the mean.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.25, 8.0);

/// How many times the mean an answer may be long whose request sets no bound.
const UNBOUNDED_LENGTH_RATIO: f64 = 4.0;

/// The least share of the mean service time that a short answer is taken to need.
const MIN_LENGTH_RATIO: f64 = 0.1;

/// A running mean and deviation.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunningMean {
    value: f64,
    deviation: f64,
    samples: u32,
}

impl RunningMean {
    /// Takes a sample.
    pub fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = 1.0 / f64::from(self.samples).min(PLAIN_SAMPLES);
        let error = sample - self.value;
        self.value += weight * error;
        if self.samples > 1 {
            self.deviation += weight * (error.abs() - self.deviation);
        }
    }

    /// The mean, or none without a sample.
    #[must_use]
    pub fn mean(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }
}

/// What was learned of one model, adapter or service.
#[derive(Debug, Clone, Copy, Default)]
pub struct Target {
    service: RunningMean,
    tokens: RunningMean,
    last_sent: time::Instant,
}

impl Target {
    /// Learns from one whole answer. `span` is in milliseconds and without the predicted wait;
    /// `max_tokens` is what the request allowed.
    pub fn add(&mut self, span: f64, tokens: u32, max_tokens: u32) {
        let length = self.length(max_tokens);
        self.service.add(span / length);
        if tokens > 0 {
            self.tokens.add(f64::from(tokens));
        }
    }

    /// Notes that a request for it was sent.
    pub fn sent(&mut self, now: time::Instant) {
        self.last_sent = now;
    }

    /// Whether what was learned may be out of date, since nothing was sent for `span`.
    #[must_use]
    pub fn is_stale(&self, now: time::Instant, span: time::Millis) -> bool {
        now.since(self.last_sent) >= span
    }

    /// Service time of a request that allows `max_tokens`, in milliseconds.
    #[must_use]
    pub fn service(&self, max_tokens: u32, initial: time::Millis) -> f64 {
        let mean = self.service.mean().unwrap_or(initial.0 as f64);
        mean * self.length(max_tokens)
    }

    /// Mean absolute deviation of the service time, in milliseconds.
    #[must_use]
    pub fn deviation(&self) -> f64 {
        self.service.deviation
    }

    /// Whether enough was seen to refuse by it.
    #[must_use]
    pub fn has_enough_samples(&self) -> bool {
        self.service.samples >= TRUSTED_SAMPLES
    }

    /// How much longer than the mean answer the longest one is that `max_tokens` allows, at least 1;
    /// none if the mean is not known.
    #[must_use]
    pub fn max_length_ratio(&self, max_tokens: u32) -> Option<f64> {
        let mean = self.tokens.mean().filter(|mean| *mean > 0.0)?;
        if max_tokens == 0 {
            return Some(UNBOUNDED_LENGTH_RATIO);
        }
        Some((f64::from(max_tokens) / mean).max(1.0))
    }

    /// How long an answer of at most `max_tokens` is against the mean one.
    fn length(&self, max_tokens: u32) -> f64 {
        match self.tokens.mean() {
            Some(mean) if max_tokens > 0 && f64::from(max_tokens) < mean => {
                (f64::from(max_tokens) / mean).max(MIN_LENGTH_RATIO)
            }
            _ => 1.0,
        }
    }
}

/// What was learned of one endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct Endpoint {
    slowdown: RunningMean,
    slot_time: RunningMean,
}

impl Endpoint {
    /// Learns from one whole answer that took `span` where `expected` is usual.
    pub fn add(&mut self, span: f64, expected: f64) {
        if expected > 0.0 {
            let ratio = span / expected;
            self.slowdown
                .add(ratio.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1));
        }
        self.slot_time.add(span);
    }

    /// How much slower than usual it is; 1 if it is as fast.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.slowdown.mean().unwrap_or(1.0)
    }

    /// Mean time that a request holds one of its slots, in milliseconds.
    #[must_use]
    pub fn slot_time(&self) -> Option<f64> {
        self.slot_time.mean()
    }
}
