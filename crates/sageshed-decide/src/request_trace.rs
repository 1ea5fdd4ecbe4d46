//! What is kept of a request for its account, and the figures for metrics.

use sageshed_types::{account, rules, time};

/// The part of a request's account that is decided here.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestTracePart {
    /// The rule that decided, or `default`; none if no rule was asked.
    pub rule: Option<String>,
    /// The revision that decided.
    pub revision: rules::Revision,
    /// The class it was put in.
    pub class: String,
    /// Whether it is treated as one that may not be repeated.
    pub not_repeatable: bool,
    /// Time it had from its arrival.
    pub deadline: time::Millis,
    /// How long it waited here before it was first sent.
    pub queued: time::Millis,
    /// The endpoints weighed for the first try.
    pub candidates: Vec<account::Candidate>,
}

/// Figures for metrics.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Gauges {
    /// Requests known: waiting, claiming or sent.
    pub open: usize,
    /// Requests sent and not ended.
    pub in_flight: usize,
    /// Requests waiting here, by class name.
    pub queued: Vec<(String, usize)>,
    /// Endpoints known and not gone.
    pub endpoints: usize,
    /// Of these, ejected now.
    pub ejected: usize,
    /// Of these, leaving.
    pub leaving: usize,
    /// Retries that the budget would allow now.
    pub retry_tokens: f64,
    /// Whether the process is shutting down.
    pub draining: bool,
}
