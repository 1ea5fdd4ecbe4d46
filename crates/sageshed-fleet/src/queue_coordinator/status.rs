//! What a coordinator shows of its queues.

use sageshed_types::time;
use serde::{Deserialize, Serialize};

use super::QueueKey;

/// Counters over all queues since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests granted an endpoint.
    pub granted: u64,
    /// Grants that were returned or expired.
    pub unused: u64,
    /// Requests refused when they joined.
    pub refused_on_arrival: u64,
    /// Requests refused after they had waited.
    pub refused_later: u64,
    /// Requests that were answered without a queue, since it was full.
    pub overflowed: u64,
    /// Requests whose callers had given up.
    pub abandoned: u64,
    /// Requests whose holder had fallen silent.
    pub holder_silent: u64,
    /// Reservations of refused requests that were used.
    pub reservations_kept: u64,
    /// Reservations that expired unused.
    pub reservations_missed: u64,
}

/// The state of one queue, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// What its requests wait for.
    pub queue: QueueKey,
    /// Number of requests that wait.
    pub waiting: usize,
    /// How long the oldest has waited.
    pub oldest_ms: time::Millis,
    /// Requests granted so far.
    pub granted: u64,
    /// Requests refused so far.
    pub refused: u64,
}
