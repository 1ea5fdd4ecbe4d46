//! Request traces: what is recorded of one request for `sageshed explain`.

use serde::{Deserialize, Serialize};

use crate::{refusal, rules, time, verdict};

/// The trace of one request, from its arrival to the end of its response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestTrace {
    /// The request id returned in the response. Begins with the name of the entry VM.
    pub request_id: String,
    /// Arrival time, in milliseconds since 1970.
    pub arrived_unix_ms: u64,
    /// The caller's name, or none if it could not be identified.
    pub caller: Option<String>,
    /// The class assigned to the request.
    pub class: Option<String>,
    /// The model, adapter or service named in the request.
    pub target: Option<String>,
    /// The rule that decided, or `default`.
    pub rule: Option<String>,
    /// The revision of the rules that were applied.
    pub revision: rules::Revision,
    /// Whether the request was treated as not repeatable.
    pub not_repeatable: bool,
    /// The deadline, in milliseconds after arrival.
    pub deadline: time::Millis,
    /// How long it waited in this entry process before the first attempt, in milliseconds.
    pub queued: time::Millis,
    /// How it stood in the queues of coordinators, one entry for each wait; empty if it did not.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub queues: Vec<String>,
    /// The endpoints considered for the first attempt.
    pub candidates: Vec<Candidate>,
    /// The attempts, in order.
    pub tries: Vec<Attempt>,
    /// How it ended.
    pub end: RequestOutcome,
    /// Time from arrival to the end of the response, in milliseconds.
    pub took: time::Millis,
}

/// An endpoint that was considered for a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// The endpoint's name.
    pub endpoint: String,
    /// Estimated time to the complete response, in milliseconds.
    pub estimate: time::Millis,
    /// Why it was not chosen, or none if it was.
    pub passed_over: Option<String>,
}

/// One attempt to run a request on an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// The endpoint's name.
    pub endpoint: String,
    /// When the attempt began, in milliseconds after the request's arrival.
    pub started: time::Millis,
    /// Whether the endpoint may have run the request.
    pub verdict: verdict::Verdict,
    /// A short description of the result.
    pub outcome: String,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// Still in progress.
    Open,
    /// The complete response was sent to the caller.
    Answered {
        /// HTTP status.
        status: u16,
        /// Bytes of the body.
        bytes: u64,
    },
    /// Refused or abandoned, for the reason given here.
    Refused(refusal::Refusal),
    /// The caller disconnected before the response was complete.
    CallerGone,
}
