//! Outlier ejection: failing endpoints are taken out of rotation and brought back gradually.
//!
//! An endpoint is ejected after several consecutive failures, when a large share of its recent
//! attempts failed, or at once when a connection is refused, since nothing listens there then. An
//! ejection has a limited duration, which doubles with each consecutive ejection. Jitter keeps the
//! entry processes from resuming at the same moment. After it the endpoint recovers: it gets one
//! request at first, then a growing share of its slots over a ramp. A failure during recovery ejects
//! it again.
//!
//! Only attempts sent after the last state change count. When an endpoint crashes, everything in
//! flight there fails at about the same time. If each of these failures counted as an ejection, the
//! doubled durations would keep the endpoint out for minutes after a single crash.

use sageshed_types::time;

use crate::{event, random, settings};

/// The number of recent attempts over which the share of failures is computed.
const WINDOW: u32 = 20;

/// The least number of attempts for which the share of failures is meaningful.
const MIN_ATTEMPTS: u32 = 10;

/// The greatest jitter added to an ejection, as a share of its duration.
const MAX_JITTER_SHARE: f64 = 0.25;

/// The greatest number of times that the duration of an ejection is doubled.
const MAX_DOUBLINGS: u32 = 16;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Healthy {
        since: time::Instant,
    },
    Ejected {
        since: time::Instant,
        until: time::Instant,
    },
    Recovering {
        since: time::Instant,
    },
}

/// How much may be sent to an endpoint as far as its health is concerned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Allowance {
    /// Nothing, unless no other endpoint is left.
    Ejected,
    /// This share of its slots, but at least one request.
    Share(f64),
}

/// The health of one endpoint as observed by this process.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    state: State,
    consecutive_failures: u32,
    /// The results of recent attempts, the newest in the lowest bit; 1 is a failure.
    recent_failures: u32,
    recent_attempts: u32,
    /// Consecutive ejections, without a completed recovery in between.
    ejections: u32,
    /// When an attempt was last answered.
    last_answer: Option<time::Instant>,
}

impl Health {
    /// Creates the state of an endpoint that is considered healthy since `now`.
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self {
            state: State::Healthy { since: now },
            consecutive_failures: 0,
            recent_failures: 0,
            recent_attempts: 0,
            ejections: 0,
            last_answer: None,
        }
    }

    /// Applies the state changes that are due at `now`.
    pub fn advance(&mut self, now: time::Instant, policy: &settings::Policy) {
        match self.state {
            State::Ejected { until, .. } if now >= until => {
                self.state = State::Recovering { since: until };
            }
            State::Recovering { since } if now.since(since) >= policy.return_ramp_ms => {
                self.state = State::Healthy { since: now };
                self.ejections = 0;
            }
            _ => {}
        }
    }

    /// How much may be sent now.
    #[must_use]
    pub fn allowance(&self, now: time::Instant, policy: &settings::Policy) -> Allowance {
        match self.state {
            State::Healthy { .. } => Allowance::Share(1.0),
            State::Ejected { until, .. } if now < until => Allowance::Ejected,
            State::Ejected { until, .. } => Allowance::Share(ramp(until, now, policy)),
            State::Recovering { since } => Allowance::Share(ramp(since, now, policy)),
        }
    }

    /// Records that an attempt sent at `sent` was answered.
    pub fn succeeded(&mut self, now: time::Instant, sent: time::Instant) {
        self.last_answer = Some(now);
        if self.predates_state(sent) {
            return;
        }
        self.record(false);
        self.consecutive_failures = 0;
        if matches!(self.state, State::Ejected { .. }) {
            self.state = State::Recovering { since: now };
        }
    }

    /// Whether any attempt was answered at or after `sent`.
    #[must_use]
    pub fn answered_since(&self, sent: time::Instant) -> bool {
        self.last_answer
            .is_some_and(|last_answer| last_answer >= sent)
    }

    /// Records that an attempt sent at `sent` failed. Returns whether this ejects the endpoint.
    pub fn failed(
        &mut self,
        now: time::Instant,
        sent: time::Instant,
        fault: event::AttemptError,
        policy: &settings::Policy,
        random: &mut random::Random,
    ) -> bool {
        if self.predates_state(sent) {
            return false;
        }
        self.record(true);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if !self.must_eject(fault, policy) {
            return false;
        }
        self.eject(now, policy, random);
        true
    }

    /// Whether an attempt was sent before the last state change. An attempt sent in the same
    /// millisecond as an ejection was sent before it, since nothing is sent right after one.
    fn predates_state(&self, sent: time::Instant) -> bool {
        match self.state {
            State::Healthy { since } => sent < since,
            State::Recovering { since } | State::Ejected { since, .. } => sent <= since,
        }
    }

    fn record(&mut self, failure: bool) {
        self.recent_failures =
            (self.recent_failures << 1 | u32::from(failure)) & ((1 << WINDOW) - 1);
        self.recent_attempts = (self.recent_attempts + 1).min(WINDOW);
    }

    fn must_eject(&self, fault: event::AttemptError, policy: &settings::Policy) -> bool {
        let recovering = matches!(self.state, State::Recovering { .. });
        let share =
            f64::from(self.recent_failures.count_ones()) / f64::from(self.recent_attempts.max(1));
        recovering
            || fault == event::AttemptError::ConnectRefused
            || self.consecutive_failures >= policy.eject_after_failures.max(1)
            || (self.recent_attempts >= MIN_ATTEMPTS && share >= policy.eject_failure_share)
    }

    fn eject(
        &mut self,
        now: time::Instant,
        policy: &settings::Policy,
        random: &mut random::Random,
    ) {
        let doubled = policy.eject_base_ms.0 as f64 * f64::from(1_u32 << self.ejections);
        let span =
            doubled.min(policy.eject_max_ms.0 as f64) * (1.0 + MAX_JITTER_SHARE * random.unit());
        self.state = State::Ejected {
            since: now,
            until: now + time::Millis::rounded_up(span),
        };
        self.ejections = (self.ejections + 1).min(MAX_DOUBLINGS);
        self.consecutive_failures = 0;
        self.recent_failures = 0;
        self.recent_attempts = 0;
    }
}

fn ramp(since: time::Instant, now: time::Instant, policy: &settings::Policy) -> f64 {
    let whole = policy.return_ramp_ms.0.max(1) as f64;
    (now.since(since).0 as f64 / whole).min(1.0)
}
