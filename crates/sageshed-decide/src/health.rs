//! Ejection of failing endpoints, and their slow return.
//!
//! An endpoint is ejected after several failures in a row, or when a large share of its last tries
//! failed, or at once when a connection is refused: nothing listens there. An ejection ends by time,
//! each one in a row twice as long, with jitter so that the entry processes do not come back to it
//! all at once. Then it returns: one request at first, and a growing share of its slots over the
//! ramp. A failure while it returns ejects it again.
//!
//! Only tries sent after the last change of state count. An endpoint that dies fails everything in
//! flight there at about the same time: without this, that one event would count as one ejection
//! for each request, and the doubled times would keep it out for minutes.

use sageshed_types::time;

use crate::{event, random, settings};

/// Tries that the share of failures is taken over.
const WINDOW: u32 = 20;

/// Tries below which the share of failures says nothing.
const MIN_ATTEMPTS: u32 = 10;

/// The most that jitter adds to an ejection, as a share of it.
const MAX_JITTER_SHARE: f64 = 0.25;

/// The most often that an ejection time is doubled.
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

/// What may be sent to an endpoint, by its health alone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Allowance {
    /// Nothing, but when no other is left.
    Ejected,
    /// This share of its slots; at least one request.
    Share(f64),
}

/// The health of one endpoint, as this process has seen it.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    state: State,
    consecutive_failures: u32,
    /// The last tries, newest in the lowest bit; 1 is a failure.
    recent_failures: u32,
    recent_attempts: u32,
    /// Ejections since it was last healthy through a whole ramp.
    ejections: u32,
    /// When a try was answered last.
    last_answer: Option<time::Instant>,
}

impl Health {
    /// The health of an endpoint just heard of.
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

    /// Moves on with time.
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

    /// What may be sent now.
    #[must_use]
    pub fn allowance(&self, now: time::Instant, policy: &settings::Policy) -> Allowance {
        match self.state {
            State::Healthy { .. } => Allowance::Share(1.0),
            State::Ejected { until, .. } if now < until => Allowance::Ejected,
            State::Ejected { until, .. } => Allowance::Share(ramp(until, now, policy)),
            State::Recovering { since } => Allowance::Share(ramp(since, now, policy)),
        }
    }

    /// A try sent at `sent` was answered.
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

    /// Whether any try was answered since `sent`.
    #[must_use]
    pub fn answered_since(&self, sent: time::Instant) -> bool {
        self.last_answer
            .is_some_and(|last_answer| last_answer >= sent)
    }

    /// A try sent at `sent` failed. Says whether that ejects it.
    pub fn failed(
        &mut self,
        now: time::Instant,
        sent: time::Instant,
        fault: event::Fault,
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

    /// Whether a try was sent before the last change of state. One that was sent in the same
    /// millisecond as an ejection was sent before it: after it nothing is sent for a while.
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

    fn must_eject(&self, fault: event::Fault, policy: &settings::Policy) -> bool {
        let recovering = matches!(self.state, State::Recovering { .. });
        let share =
            f64::from(self.recent_failures.count_ones()) / f64::from(self.recent_attempts.max(1));
        recovering
            || fault == event::Fault::ConnectRefused
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
