//! The clocks of a process.

use std::time;

use rustix::time as sys;
use sageshed_types::time::{Instant, Millis};

/// A monotonic clock that counts from the start of the process.
///
/// It goes on while the VM is suspended, which the standard library's clock does not: a leader that
/// slept through the end of its lease would wake up and take it for unexpired.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: time::Duration,
}

impl Clock {
    /// Starts at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: since_boot(),
        }
    }

    /// Now, on this clock. Goes on while the process is frozen or the VM suspended.
    #[must_use]
    pub fn now(self) -> Instant {
        Instant(0) + Millis::from(since_boot().saturating_sub(self.start))
    }

    /// The point on this clock of an instant of the standard library.
    #[must_use]
    pub fn at(self, instant: time::Instant) -> Instant {
        let ago = Millis::from(instant.elapsed());
        Instant(self.now().0.saturating_sub(ago.0))
    }
}

fn since_boot() -> time::Duration {
    let now = sys::clock_gettime(sys::ClockId::Boottime);
    let secs = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    time::Duration::new(secs, nanos)
}

/// The wall clock, in milliseconds since 1970. May jump; nothing is decided by it alone.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |span| Millis::from(span).0)
}
