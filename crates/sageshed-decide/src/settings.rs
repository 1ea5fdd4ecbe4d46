//! What a [`crate::decider::Decider`] is made of: the catalog, and the policy with its defaults.

use sageshed_types::{catalog, time};
use serde::{Deserialize, Serialize};

/// What one entry process needs to know to decide.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The name of its VM.
    pub vm: String,
    /// Where it stands.
    pub availability_zone: String,
    /// Entry processes that share every limit and every endpoint; at least 1.
    pub entries: u32,
    /// The classes on offer.
    pub classes: Vec<catalog::Class>,
    /// The callers known.
    pub callers: Vec<catalog::Caller>,
    /// The models and adapters on offer.
    pub models: Vec<catalog::Model>,
    /// The plain services on offer.
    pub services: Vec<String>,
    /// The tunables.
    pub policy: Policy,
}

/// How an endpoint is chosen among those that may take a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Routing {
    /// The better of two picked at random and the one that prefix affinity names.
    #[default]
    TwoChoices,
    /// Any, at random. A baseline for measurement.
    Random,
    /// The one whose last report shows the least load. A baseline for measurement: every entry
    /// process sends to the same endpoint until the next report.
    LeastReported,
}

/// The tunables, each with a default that the tests and the simulated trials ran with.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Requests that may be at an endpoint for each of its slots. A little over 1 keeps a slot busy
    /// while the news that it came free is on its way.
    pub in_flight_per_slot: f64,
    /// Weight, in requests, that each other entry process is given when the free slots of an
    /// endpoint are shared out. Greater: slower to take all of an endpoint, less crowding.
    pub share_prior: f64,
    /// From this priority on a request may exceed the bound in flight by [`Self::urgent_headroom`].
    pub urgent_priority: u8,
    /// Slots kept for urgent requests above the bound, as a share of an endpoint's slots.
    pub urgent_headroom: f64,
    /// Retries as a share of the requests sent for the first time.
    pub retry_share: f64,
    /// Retries that may come at once after a quiet time.
    pub retry_burst: f64,
    /// Tries of one request, the first included.
    pub max_attempts: u32,
    /// Failures in a row after which an endpoint is ejected.
    pub eject_after_failures: u32,
    /// Share of failures among the last tries (at least 10) at which an endpoint is ejected.
    pub eject_failure_share: f64,
    /// How long the first ejection lasts; each further one in a row twice as long.
    pub eject_base_ms: time::Millis,
    /// The longest that an ejection lasts.
    pub eject_max_ms: time::Millis,
    /// How long an endpoint takes after an ejection until it gets its full share again.
    pub return_ramp_ms: time::Millis,
    /// How long an endpoint that answered 429 or 503 is left alone.
    pub busy_pause_ms: time::Millis,
    /// Age of a report past which its load figures are no longer used.
    pub report_stale_ms: time::Millis,
    /// Age of the last report past which an endpoint gets no new work while others can take it.
    pub report_silent_ms: time::Millis,
    /// The share by which a predicted wait is lengthened before it is held against a deadline. The
    /// wait is the least certain part of an estimate: other entry processes add to it unseen.
    pub shed_margin: f64,
    /// How far a repeatable request may run past its deadline before it is cancelled, as a share of
    /// the deadline. A late answer is worth more than none, but not without end.
    pub overrun_share: f64,
    /// The same for a request that may not be repeated: cancelling it leaves its fate unknown.
    pub overrun_share_not_repeatable: f64,
    /// After so long without a request sent to a target, one is sent although its estimate says that
    /// it will be late, to find out whether that is still true.
    pub probe_ms: time::Millis,
    /// Service time assumed for a target that has answered nothing yet.
    pub initial_service_ms: time::Millis,
    /// Time from the first request for a cold model to the begin of its load.
    pub load_order_ms: time::Millis,
    /// What a hop to another availability zone counts for in the choice.
    pub cross_zone_ms: time::Millis,
    /// Share of the service time that a cached prefix saves, in the choice.
    pub affinity_share: f64,
    /// The least limit on the first byte of an answer.
    pub first_byte_min_ms: time::Millis,
    /// The limit on the first byte as a multiple of the estimated service time.
    pub first_byte_factor: f64,
    /// Token buckets that rules with a limit may hold, all together.
    pub max_limit_buckets: u32,
    /// How an endpoint is chosen.
    pub routing: Routing,
    /// Whether requests that cannot be on time are refused early. Off only to measure what it does.
    pub shed: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            in_flight_per_slot: 1.25,
            share_prior: 1.0,
            urgent_priority: 7,
            urgent_headroom: 0.25,
            retry_share: 0.1,
            retry_burst: 10.0,
            max_attempts: 3,
            eject_after_failures: 3,
            eject_failure_share: 0.5,
            eject_base_ms: time::Millis(2_000),
            eject_max_ms: time::Millis(60_000),
            return_ramp_ms: time::Millis(10_000),
            busy_pause_ms: time::Millis(200),
            report_stale_ms: time::Millis(3_000),
            report_silent_ms: time::Millis(6_000),
            shed_margin: 1.0,
            overrun_share: 0.25,
            overrun_share_not_repeatable: 1.0,
            probe_ms: time::Millis(2_000),
            initial_service_ms: time::Millis(500),
            load_order_ms: time::Millis(500),
            cross_zone_ms: time::Millis(2),
            affinity_share: 0.1,
            first_byte_min_ms: time::Millis(2_000),
            first_byte_factor: 8.0,
            max_limit_buckets: 65_536,
            routing: Routing::TwoChoices,
            shed: true,
        }
    }
}
