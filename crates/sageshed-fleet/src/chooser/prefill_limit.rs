//! The limit of pending prefill at an engine, above which its streams would pause for too long.
//!
//! Under load, prompts arrive faster than they are prefilled, beside streams that must not pause. Some
//! engines prefill all waiting prompts in a single step, and every stream pauses for as long as that takes.
//! Others prefill one chunk per step (chunked prefill), and no pause is longer than a chunk takes, however
//! much is pending. Prompts have to be held back from engines of the first kind; held back from the second
//! kind, they are only delayed. Engines don't announce their kind, so the limit is learned from the pauses
//! of streams.
//!
//! The limit starts where engines of the first kind keep their streams within the allowed pause, and never
//! falls below. It rises with each stream that kept within its pause while the engine's pending prefill was
//! near the limit, quickly until the first stream that didn't, and falls with each that didn't.

use std::collections;

use super::Pauses;

/// The initial and lowest limit, relative to the longest pause that callers accept.
const MIN_LIMIT_RATIO: f64 = 0.8;

/// The highest limit, relative to the same pause. A prompt that is held back here can still go to another
/// engine.
const MAX_LIMIT_RATIO: f64 = 6.0;

/// Growth of the limit with each stream that kept within its pause, until the first that didn't.
const FAST_GROWTH: f64 = 1.5;

/// Growth of the limit afterwards. With [`DECREASE`], the limit settles where one stream of twenty pauses
/// for too long.
const SLOW_GROWTH: f64 = 1.01;

/// Factor applied to the limit when a stream paused for too long.
const DECREASE: f64 = 0.82;

/// Pending prefill, relative to the limit, from which an engine's streams show whether the limit could be
/// higher.
const NEAR_LIMIT_RATIO: f64 = 0.5;

/// The allowed pause in milliseconds where no route sets one.
const DEFAULT_PAUSE_LIMIT_MS: f64 = 400.0;

/// The limit for the engines of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
struct PrefillLimit {
    /// The allowed pause by the route of the stream that ended last.
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

/// The limits of all services.
#[derive(Debug, Default)]
pub(super) struct PrefillLimits {
    by_service: collections::HashMap<String, PrefillLimit>,
}

impl PrefillLimits {
    /// Milliseconds of prefill that may be pending at an engine of `service`.
    pub(super) fn prefill_limit_ms(&self, service: &str) -> f64 {
        let limit = self.by_service.get(service).copied();
        limit
            .unwrap_or(PrefillLimit::initial(DEFAULT_PAUSE_LIMIT_MS))
            .value_ms
    }

    /// The longest pause that callers of `service` accept, in milliseconds.
    pub(super) fn pause_limit_ms(&self, service: &str) -> f64 {
        let limit = self.by_service.get(service);
        limit.map_or(DEFAULT_PAUSE_LIMIT_MS, |it| it.pause_limit_ms)
    }

    /// Whether so much pending prefill is near the limit.
    pub(super) fn is_near_limit(&self, service: &str, prefill_ms: f64) -> bool {
        prefill_ms >= NEAR_LIMIT_RATIO * self.prefill_limit_ms(service)
    }

    /// Adjusts the limit at the end of a stream. `was_near_limit` tells whether the pending prefill of its
    /// engine was near the limit meanwhile.
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
