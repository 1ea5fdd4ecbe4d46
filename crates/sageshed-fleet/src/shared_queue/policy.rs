//! Parameters and counters of a queue.

use sageshed_types::time;

/// The parameters of a queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueuePolicy {
    /// How long a request stays without a refresh by its holder.
    pub refresh_ttl: time::Millis,
    /// Time that the response of a granted request takes to begin, unless its work takes less: a prompt of two
    /// thousand tokens takes an engine a tenth of a second.
    pub start_reserve: time::Millis,
    /// A request yields to others of its priority until this long before it would be late.
    pub slack: time::Millis,
    /// Share of the granted work that each group gets at least whose requests are late soon. All shares are reduced
    /// while those of the groups that wait sum to more than 0.9.
    pub on_time_share: f64,
    /// Share of the granted work that each group of late requests gets at least.
    pub late_share: f64,
    /// Requests that are tried for one grant, at most.
    pub max_candidates: usize,
    /// Refused requests for which a place is reserved, at most.
    pub max_reservations: usize,
}

impl Default for QueuePolicy {
    fn default() -> Self {
        Self {
            refresh_ttl: time::Millis(1_500),
            start_reserve: time::Millis(100),
            // More than the latency targets of the kinds without slack (at most 1 s), less than of those with
            // slack (3 s and more).
            slack: time::Millis(1_500),
            // With three priorities the shares sum to 0.9, so that all can be kept at once. A late response is
            // still of use until its caller leaves, but less than one on time.
            on_time_share: 0.2,
            late_share: 0.1,
            max_candidates: 32,
            max_reservations: 4_096,
        }
    }
}

/// Counters of a queue since its creation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueStats {
    /// Requests granted.
    pub granted: u64,
    /// Requests refused, on arrival or later.
    pub refused: u64,
    /// Reservations that were used.
    pub reservations_kept: u64,
    /// Reservations that expired unused.
    pub reservations_missed: u64,
    /// Requests that their callers abandoned while they waited.
    pub abandoned: u64,
    /// Requests whose holder did not refresh them.
    pub silent: u64,
}
