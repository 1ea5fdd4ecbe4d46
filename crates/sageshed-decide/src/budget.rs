//! The retry budget, which limits retries to a share of the traffic.
//!
//! A fixed number of attempts for each request would multiply the load on a failing fleet when it
//! can handle it least. A budget bounds the additional load whatever fails: with a share of 0.1, at
//! most a tenth more requests are sent than arrive, apart from a burst saved up in quiet times.

/// A token bucket that is filled by first attempts and drained by retries.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    tokens: f64,
    share: f64,
    burst: f64,
}

impl Budget {
    /// Creates a full budget that earns `share` tokens for each first attempt and holds up to `burst`.
    #[must_use]
    pub fn new(share: f64, burst: f64) -> Self {
        Self {
            tokens: burst,
            share,
            burst,
        }
    }

    /// Adds the share for one first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Takes the token for one retry. Returns whether there was one.
    pub fn spend(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    /// The number of retries that would be allowed now.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
