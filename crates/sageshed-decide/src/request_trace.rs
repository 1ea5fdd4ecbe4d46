//! The decider's part of a request trace, and the values for metrics.

use sageshed_types::{request_trace, rules, time};

/// The part of the trace of a request that the decider contributes.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestTracePart {
    /// The rule that was applied, or `default`; `None` if the rules were not evaluated.
    pub rule: Option<String>,
    /// The revision of the rules that were applied.
    pub revision: rules::Revision,
    /// The class of the request.
    pub class: String,
    /// Whether the request is treated as non-repeatable.
    pub not_repeatable: bool,
    /// The time until its deadline, from its arrival.
    pub deadline: time::Millis,
    /// How long it was queued before its first attempt.
    pub queued: time::Millis,
    /// The endpoints considered for the first attempt.
    pub candidates: Vec<request_trace::Candidate>,
}

/// Values for metrics.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Gauges {
    /// Open requests: queued, waiting for a claim or sent.
    pub open: usize,
    /// Requests in flight to endpoints.
    pub in_flight: usize,
    /// Queued requests by class name.
    pub queued: Vec<(String, usize)>,
    /// Known endpoints.
    pub endpoints: usize,
    /// Known endpoints that are ejected now.
    pub ejected: usize,
    /// Known endpoints that are leaving.
    pub leaving: usize,
    /// Retries that the retry budget would allow now.
    pub retry_tokens: f64,
    /// Whether the process is shutting down.
    pub draining: bool,
}
