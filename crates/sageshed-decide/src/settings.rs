//! The settings of a [`crate::decider::Decider`]: the catalog, and the policy with its defaults.

use sageshed_types::{catalog, time};
use serde::{Deserialize, Serialize};

/// The settings of the decisions of one entry process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The name of the VM on which the process runs.
    pub vm: String,
    /// The availability zone of the process.
    pub availability_zone: String,
    /// The number of entry processes that share all limits and endpoints; at least 1.
    pub entries: u32,
    /// The request classes.
    pub classes: Vec<catalog::Class>,
    /// The known callers.
    pub callers: Vec<catalog::Caller>,
    /// The models and adapters that callers may ask for.
    pub models: Vec<catalog::Model>,
    /// The plain services that callers may ask for.
    pub services: Vec<String>,
    /// The tunable parameters.
    pub policy: Policy,
}

/// How an endpoint is chosen among the eligible ones with room.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Routing {
    /// The best of two drawn at random and the one that prefix affinity suggests.
    #[default]
    TwoChoices,
    /// A random one. A baseline for measurements.
    Random,
    /// The one with the least load in its last report. A baseline for measurements: every entry
    /// process sends to the same endpoint until the next report.
    LeastReported,
}

/// The tunable parameters of the decider. Each has a default; an unknown one is an error.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// The number of requests that may be in flight for each slot of an endpoint. A little over 1
    /// keeps a slot busy until the report that it is free has arrived.
    pub in_flight_per_slot: f64,
    /// The number of requests that each entry process is assumed to have beyond those in flight when
    /// the free slots of an endpoint are divided. With a greater number a single busy process takes
    /// longer to use a whole endpoint, but overcommits it less.
    pub share_prior: f64,
    /// From this priority on a request may exceed the in-flight limit by [`Self::urgent_headroom`].
    pub urgent_priority: u8,
    /// Additional in-flight requests for urgent requests, as a share of an endpoint's slots.
    pub urgent_headroom: f64,
    /// Maximum number of retries, as a share of the first attempts.
    pub retry_share: f64,
    /// Maximum number of retries in a burst.
    pub retry_burst: f64,
    /// Maximum number of attempts for one request, including the first.
    pub max_attempts: u32,
    /// Consecutive failures after which an endpoint is ejected.
    pub eject_after_failures: u32,
    /// Share of failures among the recent attempts (at least 10) at which an endpoint is ejected.
    pub eject_failure_share: f64,
    /// Duration of the first ejection; it doubles with each consecutive one.
    pub eject_base_ms: time::Millis,
    /// Maximum duration of an ejection.
    pub eject_max_ms: time::Millis,
    /// Time after an ejection until an endpoint gets its full share of requests again.
    pub return_ramp_ms: time::Millis,
    /// How long nothing is sent to an endpoint that responded with 429 or 503.
    pub busy_pause_ms: time::Millis,
    /// Age past which the load figures of a report are no longer used.
    pub report_stale_ms: time::Millis,
    /// Age of the last report past which an endpoint gets no requests while others can take them.
    pub report_silent_ms: time::Millis,
    /// The share by which a predicted wait is increased before it is compared with a deadline. The
    /// wait is the least certain part of an estimate, since other entry processes add to it.
    pub shed_margin: f64,
    /// How far a repeatable request may run past its deadline before it is cancelled, as a share of
    /// the deadline. A late response is worth more than none, within bounds.
    pub overrun_share: f64,
    /// The same for a non-repeatable request; greater, since cancelling it leaves its outcome unknown.
    pub overrun_share_not_repeatable: f64,
    /// When nothing was sent to a target for this long, one request is sent even if the estimate says
    /// that it will be late, to find out whether the estimate is still correct.
    pub probe_ms: time::Millis,
    /// Assumed service time of a target without completed responses.
    pub initial_service_ms: time::Millis,
    /// Time from the first request for a cold model to the start of its load.
    pub load_order_ms: time::Millis,
    /// The cost of crossing to another availability zone, when an endpoint is chosen.
    pub cross_zone_ms: time::Millis,
    /// Share of the service time that a cached prefix saves, when an endpoint is chosen.
    pub affinity_share: f64,
    /// The least time limit for the first byte of a response.
    pub first_byte_min_ms: time::Millis,
    /// The time limit for the first byte, as a multiple of the estimated time to the complete response.
    pub first_byte_factor: f64,
    /// Maximum number of token buckets for rate limits.
    pub max_limit_buckets: u32,
    /// How an endpoint is chosen.
    pub routing: Routing,
    /// Whether requests that can't meet their deadline are refused early. Disabled only to measure the
    /// effect of shedding.
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
