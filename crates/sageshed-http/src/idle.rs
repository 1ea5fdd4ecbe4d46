//! When a connection that waits for a request may be closed.
//!
//! HTTP/1.1 has no way to close an idle connection without the risk that its caller has just sent a request. So it is
//! closed only at a time at which its caller does not use it any more, unless another connection needs its place. Callers
//! may go by an older or a newer limit for a short time, so a connection that is idle when the limit changes keeps the
//! longer one.

use std::time;

/// A connection that has waited for a request for less than this time is not closed to make room for a new one.
const MIN_IDLE: time::Duration = time::Duration::from_secs(1);

/// How long a connection is kept without a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Bounds {
    /// It is closed after this time.
    pub close_after: time::Duration,
    /// Its caller begins a request on it within this time only; zero if that is not known.
    pub reuse_within: time::Duration,
}

impl Bounds {
    /// The longer one of each.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            close_after: self.close_after.max(other.close_after),
            reuse_within: self.reuse_within.max(other.reuse_within),
        }
    }
}

/// The place of a connection among those that are closed to make room for a new one; the least is closed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Room {
    /// Its caller uses it no more. It has been idle since this time.
    Unused(time::Instant),
    /// Its caller may use it. It has been idle since this time.
    Usable(time::Instant),
}

/// A connection that waits for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Idle {
    since: time::Instant,
    bounds: Bounds,
}

impl Idle {
    /// A connection that has waited since this time.
    #[must_use]
    pub fn new(since: time::Instant, bounds: Bounds) -> Self {
        Self { since, bounds }
    }

    /// Applies bounds that have come into force since it waits. It keeps the longer ones.
    pub fn raise(&mut self, bounds: Bounds) {
        self.bounds = self.bounds.max(bounds);
    }

    /// When it is closed.
    #[must_use]
    pub fn closes_at(&self) -> time::Instant {
        self.since + self.bounds.close_after
    }

    /// Whether and in which order it is closed to make room for a new one.
    #[must_use]
    pub fn room(&self, now: time::Instant) -> Option<Room> {
        let waited = now.saturating_duration_since(self.since);
        if waited < MIN_IDLE {
            None
        } else if waited > self.bounds.reuse_within {
            Some(Room::Unused(self.since))
        } else {
            Some(Room::Usable(self.since))
        }
    }
}
