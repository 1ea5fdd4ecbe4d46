//! What a port does, for metrics.

use std::{sync::atomic, time};

/// The figures of a port.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Connections that are open.
    pub open: usize,
    /// Threads that serve requests or wait for the next one.
    pub threads: usize,
    /// Threads that were started since the start of the port.
    pub threads_started: u64,
    /// The longest time between the first byte of a request and its start, since the last time that this was read.
    pub longest_wait: time::Duration,
    /// Connections that were refused since the start, since too many were open.
    pub refused: u64,
    /// Connections that were closed unread since the start, since their requests could not be started in time.
    pub unread: u64,
    /// Connections that were closed since the start, since they were idle for too long or made room for others.
    pub expired: u64,
    /// Of these, the ones on which bytes had arrived that were not read.
    pub expired_with_input: u64,
}

/// The counters behind [`Stats`].
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) threads: atomic::AtomicUsize,
    pub(crate) threads_started: atomic::AtomicU64,
    longest_wait_ms: atomic::AtomicU64,
    pub(crate) refused: atomic::AtomicU64,
    unread: atomic::AtomicU64,
    expired: atomic::AtomicU64,
    expired_with_input: atomic::AtomicU64,
}

impl Counters {
    /// Records how long a request has waited for its start.
    pub(crate) fn record_wait(&self, wait: time::Duration) {
        let ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        self.longest_wait_ms
            .fetch_max(ms, atomic::Ordering::Relaxed);
    }

    pub(crate) fn count_unread(&self) {
        self.unread.fetch_add(1, atomic::Ordering::Relaxed);
    }

    pub(crate) fn count_expired(&self, has_input: bool) {
        self.expired.fetch_add(1, atomic::Ordering::Relaxed);
        self.expired_with_input
            .fetch_add(u64::from(has_input), atomic::Ordering::Relaxed);
    }

    pub(crate) fn read(&self, open: usize) -> Stats {
        let longest_wait_ms = self.longest_wait_ms.swap(0, atomic::Ordering::Relaxed);
        Stats {
            open,
            threads: self.threads.load(atomic::Ordering::Relaxed),
            threads_started: self.threads_started.load(atomic::Ordering::Relaxed),
            longest_wait: time::Duration::from_millis(longest_wait_ms),
            refused: self.refused.load(atomic::Ordering::Relaxed),
            unread: self.unread.load(atomic::Ordering::Relaxed),
            expired: self.expired.load(atomic::Ordering::Relaxed),
            expired_with_input: self.expired_with_input.load(atomic::Ordering::Relaxed),
        }
    }
}
