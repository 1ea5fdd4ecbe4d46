//! Keeps the log of ordinary successes inside a rate.

use std::sync::atomic;

use sageshed_types::time;

/// Successes that are logged in a second. At three times that the lines of successes alone would cost
/// more than the requests that they tell of on the smallest VMs.
const PER_SECOND: u64 = 20;

/// Counts successes second by second.
#[derive(Debug, Default)]
pub struct Sampler {
    second: atomic::AtomicU64,
    seen: atomic::AtomicU64,
}

/// What to do with the line of a success.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Line {
    /// Write it.
    Write,
    /// Write it, and that so many were left out in the second before.
    WriteAfter(u64),
    /// Leave it out.
    LeaveOut,
}

impl Sampler {
    /// Decides for a success at `now`.
    pub fn success(&self, now: time::Instant) -> Line {
        let second = now.0 / 1_000;
        let before = self.second.swap(second, atomic::Ordering::Relaxed);
        if before != second {
            let seen = self.seen.swap(1, atomic::Ordering::Relaxed);
            return match seen.saturating_sub(PER_SECOND) {
                0 => Line::Write,
                left_out => Line::WriteAfter(left_out),
            };
        }
        if self.seen.fetch_add(1, atomic::Ordering::Relaxed) < PER_SECOND {
            Line::Write
        } else {
            Line::LeaveOut
        }
    }
}
