//! The clocks of a process.

use std::time;

use sageshed_types::time::{Instant, Millis};
use sageshed_upstream::boot_time;

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
            start: boot_time::since_boot(),
        }
    }

    /// Now, on this clock. Goes on while the process is frozen or the VM suspended.
    #[must_use]
    pub fn now(self) -> Instant {
        Instant(0) + Millis::from(boot_time::since_boot().saturating_sub(self.start))
    }

    /// The point on this clock of an instant of the standard library.
    #[must_use]
    pub fn at(self, instant: time::Instant) -> Instant {
        let ago = Millis::from(instant.elapsed());
        Instant(self.now().0.saturating_sub(ago.0))
    }
}

/// The wall clock, in milliseconds since 1970. May jump; nothing is decided by it alone.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |span| Millis::from(span).0)
}
