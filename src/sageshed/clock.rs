//! The clocks of a process.

use std::time;

use sageshed_types::time::{Instant, Millis};

/// A monotonic clock that counts from the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: time::Instant,
}

impl Clock {
    /// Starts at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: time::Instant::now(),
        }
    }

    /// Now, on this clock. Goes on while the process is frozen.
    #[must_use]
    pub fn now(self) -> Instant {
        Instant(0) + Millis::from(self.start.elapsed())
    }

    /// The point on this clock of an instant of the standard library.
    #[must_use]
    pub fn at(self, instant: time::Instant) -> Instant {
        Instant(0) + Millis::from(instant.saturating_duration_since(self.start))
    }
}

/// The wall clock, in milliseconds since 1970. May jump; nothing is decided by it alone.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |span| Millis::from(span).0)
}
