//! Service times learned from completed responses.
//!
//! The service time of a target is the time for which one request occupies a slot: from sending to
//! the complete response, less the wait inside the endpoint that was predicted when it was sent.
//! Means are exponentially weighted, but plain averages over the first samples, so that the first
//! sample does not dominate. The deviation is the mean absolute one, which is cheap to compute and
//! less sensitive to outliers.

use sageshed_types::time;

/// The number of samples up to which the mean is a plain average.
const PLAIN_SAMPLES: f64 = 16.0;

/// The least number of samples from which requests may be refused by an estimate. With fewer, the
/// estimate is only a guess, and a guess is no reason to refuse a request.
pub const MIN_SAMPLES: u32 = 5;

/// The least and the greatest factor by which one endpoint may count as slower than average.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.25, 8.0);

/// The assumed longest response, as a multiple of the mean length, when the request sets no maximum.
const UNBOUNDED_LENGTH_RATIO: f64 = 4.0;

/// The least service time of a short response, as a share of the mean.
const MIN_LENGTH_RATIO: f64 = 0.1;

/// A running mean with its mean absolute deviation.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunningMean {
    value: f64,
    deviation: f64,
    samples: u32,
}

impl RunningMean {
    /// Adds a sample.
    pub fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = 1.0 / f64::from(self.samples).min(PLAIN_SAMPLES);
        let error = sample - self.value;
        self.value += weight * error;
        if self.samples > 1 {
            self.deviation += weight * (error.abs() - self.deviation);
        }
    }

    /// The mean, or `None` without samples.
    #[must_use]
    pub fn mean(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }
}

/// Estimates for one model, adapter or service.
#[derive(Debug, Clone, Copy, Default)]
pub struct Target {
    service: RunningMean,
    tokens: RunningMean,
    last_sent: time::Instant,
}

impl Target {
    /// Adds a complete response. `span` is its duration in milliseconds without the predicted wait, and
    /// `max_tokens` the maximum length that the request allowed.
    pub fn add(&mut self, span: f64, tokens: u32, max_tokens: u32) {
        let length_ratio = self.length_ratio(max_tokens);
        self.service.add(span / length_ratio);
        if tokens > 0 {
            self.tokens.add(f64::from(tokens));
        }
    }

    /// Records that a request for the target was sent.
    pub fn sent(&mut self, now: time::Instant) {
        self.last_sent = now;
    }

    /// Whether the estimates may be out of date, since nothing was sent for `span`.
    #[must_use]
    pub fn is_stale(&self, now: time::Instant, span: time::Millis) -> bool {
        now.since(self.last_sent) >= span
    }

    /// Estimated service time of a request that allows `max_tokens`, in milliseconds.
    #[must_use]
    pub fn service(&self, max_tokens: u32, initial: time::Millis) -> f64 {
        let mean = self.service.mean().unwrap_or(initial.0 as f64);
        mean * self.length_ratio(max_tokens)
    }

    /// Mean absolute deviation of the service time, in milliseconds.
    #[must_use]
    pub fn deviation(&self) -> f64 {
        self.service.deviation
    }

    /// Whether there are enough samples to refuse requests by the estimate.
    #[must_use]
    pub fn has_enough_samples(&self) -> bool {
        self.service.samples >= MIN_SAMPLES
    }

    /// The ratio of the longest response that `max_tokens` allows to the mean response; at least 1.
    /// `None` if the mean is unknown.
    #[must_use]
    pub fn max_length_ratio(&self, max_tokens: u32) -> Option<f64> {
        let mean = self.tokens.mean().filter(|mean| *mean > 0.0)?;
        if max_tokens == 0 {
            return Some(UNBOUNDED_LENGTH_RATIO);
        }
        Some((f64::from(max_tokens) / mean).max(1.0))
    }

    /// The ratio of the expected length of a response of at most `max_tokens` to the mean length.
    fn length_ratio(&self, max_tokens: u32) -> f64 {
        match self.tokens.mean() {
            Some(mean) if max_tokens > 0 && f64::from(max_tokens) < mean => {
                (f64::from(max_tokens) / mean).max(MIN_LENGTH_RATIO)
            }
            _ => 1.0,
        }
    }
}

/// Estimates for one endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct Endpoint {
    slowdown: RunningMean,
    slot_time: RunningMean,
}

impl Endpoint {
    /// Adds a complete response that took `span` milliseconds where `expected` is the average.
    pub fn add(&mut self, span: f64, expected: f64) {
        if expected > 0.0 {
            let ratio = span / expected;
            self.slowdown
                .add(ratio.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1));
        }
        self.slot_time.add(span);
    }

    /// The factor by which the endpoint is slower than average; 1 if unknown.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.slowdown.mean().unwrap_or(1.0)
    }

    /// The mean time for which a request occupies one of its slots, in milliseconds.
    #[must_use]
    pub fn slot_time(&self) -> Option<f64> {
        self.slot_time.mean()
    }
}
