//! The budget of retries, as a share of traffic.
//!
//! A count of tries for each request multiplies the load on a failing fleet by that count, just when
//! it can least bear it. A share of traffic bounds the extra load whatever fails: with a share of
//! 0.1, at most a tenth more is sent than arrived, but for a burst saved up in quiet times.

/// Tokens, one a retry.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    tokens: f64,
    share: f64,
    burst: f64,
}

impl Budget {
    /// A full budget.
    #[must_use]
    pub fn new(share: f64, burst: f64) -> Self {
        Self {
            tokens: burst,
            share,
            burst,
        }
    }

    /// A request was sent for the first time.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Takes a retry out of the budget, if there is one.
    pub fn spend(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    /// Retries that would be allowed now.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
