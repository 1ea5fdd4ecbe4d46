//! Keeps log lines that may come without end inside a rate.

use std::sync::atomic;

use sageshed_types::time;

/// Counts second by second what lines are about.
#[derive(Debug)]
pub struct Sampler {
    per_second: u64,
    second: atomic::AtomicU64,
    seen: atomic::AtomicU64,
    total: atomic::AtomicU64,
}

/// What to do with a line.
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
    /// Lets so many lines through in a second.
    #[must_use]
    pub fn new(per_second: u64) -> Self {
        Self {
            per_second,
            second: atomic::AtomicU64::new(0),
            seen: atomic::AtomicU64::new(0),
            total: atomic::AtomicU64::new(0),
        }
    }

    /// Decides for a line at `now`.
    pub fn line(&self, now: time::Instant) -> Line {
        self.total.fetch_add(1, atomic::Ordering::Relaxed);
        let second = now.0 / 1_000;
        let before = self.second.swap(second, atomic::Ordering::Relaxed);
        if before != second {
            let seen = self.seen.swap(1, atomic::Ordering::Relaxed);
            return match seen.saturating_sub(self.per_second) {
                0 => Line::Write,
                left_out => Line::WriteAfter(left_out),
            };
        }
        if self.seen.fetch_add(1, atomic::Ordering::Relaxed) < self.per_second {
            Line::Write
        } else {
            Line::LeaveOut
        }
    }

    /// Lines so far, those that were left out included.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.total.load(atomic::Ordering::Relaxed)
    }
}
