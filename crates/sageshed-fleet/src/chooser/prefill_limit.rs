//! How much an engine may have to read before its streams pause for too long.
//!
//! The load pattern: prompts come faster than they are read, beside streams that must not pause. Some
//! engines read all prompts that wait there in one step, and every stream pauses for as long; others
//! read a piece of a prompt in each step, and no pause is ever longer than that piece takes, however
//! much waits. On the first kind a prompt has to be held back here, on the second that only makes it
//! late. Nothing announces which kind an engine is, so it is learnt from the pauses of streams.
//!
//! The bound begins where the first kind keeps its pauses and never falls below. It rises by streams
//! that kept theirs while an engine had about as much to read as the bound allows, quickly until the
//! first that did not, and falls by each that did not.

use std::collections;

use super::Pauses;

/// The bound at first and at least, in parts of the longest pause that callers count as on time.
const MIN_LIMIT_RATIO: f64 = 0.8;

/// The bound at most, in the same parts. A prompt that waits here can go to another engine still.
const MAX_LIMIT_RATIO: f64 = 6.0;

/// What the bound grows by with a stream that kept its pause, until one did not.
const FAST_GROWTH: f64 = 1.5;

/// The same afterwards. With [`DECREASE`] the bound rests where one stream of twenty pauses too long.
const SLOW_GROWTH: f64 = 1.01;

/// What is left of the bound after a stream that paused for too long.
const DECREASE: f64 = 0.82;

/// An engine with this part of the bound to read tells whether its streams bear more.
const NEAR_LIMIT_RATIO: f64 = 0.5;

/// The pause that is borne, in milliseconds, where no route says.
const DEFAULT_PAUSE_LIMIT_MS: f64 = 400.0;

/// The bound for the engines of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
struct PrefillLimit {
    /// The longest pause that is on time, by the route of the stream that ended last.
    pause_limit_ms: f64,
    value_ms: f64,
    was_exceeded: bool,
}

impl PrefillLimit {
    fn initial(pause_limit_ms: f64) -> Self {
        Self {
            pause_limit_ms,
            value_ms: pause_limit_ms * MIN_LIMIT_RATIO,
            was_exceeded: false,
        }
    }

    fn learn(&mut self, pause_limit_ms: f64, longest_ms: f64) {
        if longest_ms > pause_limit_ms {
            self.was_exceeded = true;
            self.value_ms *= DECREASE;
        } else if self.was_exceeded {
            self.value_ms *= SLOW_GROWTH;
        } else {
            self.value_ms *= FAST_GROWTH;
        }
        self.value_ms = self.value_ms.clamp(
            pause_limit_ms * MIN_LIMIT_RATIO,
            pause_limit_ms * MAX_LIMIT_RATIO,
        );
    }
}

/// The bounds of all services.
#[derive(Debug, Default)]
pub(super) struct PrefillLimits {
    by_service: collections::HashMap<String, PrefillLimit>,
}

impl PrefillLimits {
    /// Milliseconds of reading that may wait at an engine of `service`.
    pub(super) fn prefill_limit_ms(&self, service: &str) -> f64 {
        let limit = self.by_service.get(service).copied();
        limit
            .unwrap_or(PrefillLimit::initial(DEFAULT_PAUSE_LIMIT_MS))
            .value_ms
    }

    /// The longest pause that callers of `service` count as on time, in milliseconds.
    pub(super) fn pause_limit_ms(&self, service: &str) -> f64 {
        let limit = self.by_service.get(service);
        limit.map_or(DEFAULT_PAUSE_LIMIT_MS, |it| it.pause_limit_ms)
    }

    /// Whether so many milliseconds to read are near the bound.
    pub(super) fn is_near_limit(&self, service: &str, prefill_ms: f64) -> bool {
        prefill_ms >= NEAR_LIMIT_RATIO * self.prefill_limit_ms(service)
    }

    /// A stream has ended. `was_near_limit` says whether its engine had about as much to read as the bound
    /// allows meanwhile.
    pub(super) fn learn(&mut self, service: &str, pauses: Pauses, was_near_limit: bool) {
        let pause_limit_ms = pauses.limit.0 as f64;
        let first = PrefillLimit::initial(pause_limit_ms);
        let limit = self.by_service.entry(service.to_owned()).or_insert(first);
        limit.pause_limit_ms = pause_limit_ms;
        if was_near_limit {
            limit.learn(pause_limit_ms, pauses.longest.0 as f64);
        }
    }
}
