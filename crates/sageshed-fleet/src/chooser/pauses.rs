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
const LEAST: f64 = 0.8;

/// The bound at most, in the same parts. A prompt that waits here can go to another engine still.
const MOST: f64 = 6.0;

/// What the bound grows by with a stream that kept its pause, until one did not.
const QUICK_GROWTH: f64 = 1.5;

/// The same afterwards. With [`SHRINKAGE`] the bound rests where one stream of twenty pauses too long.
const SLOW_GROWTH: f64 = 1.01;

/// What is left of the bound after a stream that paused for too long.
const SHRINKAGE: f64 = 0.82;

/// An engine with this part of the bound to read tells whether its streams bear more.
const STRAIN: f64 = 0.5;

/// The pause that is borne, in milliseconds, where no route says.
const FIRST_LIMIT_MS: f64 = 400.0;

/// The bound for the engines of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Bound {
    /// The longest pause that is on time, by the route of the stream that ended last.
    limit_ms: f64,
    ms: f64,
    was_too_high: bool,
}

impl Bound {
    fn first(limit_ms: f64) -> Self {
        Self {
            limit_ms,
            ms: limit_ms * LEAST,
            was_too_high: false,
        }
    }

    fn learn(&mut self, limit_ms: f64, longest_ms: f64) {
        if longest_ms > limit_ms {
            self.was_too_high = true;
            self.ms *= SHRINKAGE;
        } else if self.was_too_high {
            self.ms *= SLOW_GROWTH;
        } else {
            self.ms *= QUICK_GROWTH;
        }
        self.ms = self.ms.clamp(limit_ms * LEAST, limit_ms * MOST);
    }
}

/// The bounds of all services.
#[derive(Debug, Default)]
pub(super) struct Bounds {
    by_service: collections::HashMap<String, Bound>,
}

impl Bounds {
    /// Milliseconds of reading that may wait at an engine of `service`.
    pub(super) fn bound_ms(&self, service: &str) -> f64 {
        let bound = self.by_service.get(service).copied();
        bound.unwrap_or(Bound::first(FIRST_LIMIT_MS)).ms
    }

    /// The longest pause that callers of `service` count as on time, in milliseconds.
    pub(super) fn limit_ms(&self, service: &str) -> f64 {
        let bound = self.by_service.get(service);
        bound.map_or(FIRST_LIMIT_MS, |it| it.limit_ms)
    }

    /// Whether so many milliseconds to read are near the bound.
    pub(super) fn is_strain(&self, service: &str, reading_ms: f64) -> bool {
        reading_ms >= STRAIN * self.bound_ms(service)
    }

    /// A stream has ended. `is_strained` says whether its engine had about as much to read as the bound
    /// allows meanwhile.
    pub(super) fn learn(&mut self, service: &str, pauses: Pauses, is_strained: bool) {
        let limit_ms = pauses.limit.0 as f64;
        let first = Bound::first(limit_ms);
        let bound = self.by_service.entry(service.to_owned()).or_insert(first);
        bound.limit_ms = limit_ms;
        if is_strained {
            bound.learn(limit_ms, pauses.longest.0 as f64);
        }
    }
}
