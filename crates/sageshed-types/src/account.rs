//! What happened to one request, kept for `sageshed explain`.

use serde::{Deserialize, Serialize};

use crate::{refusal, rules, time, verdict};

/// The account of one request, from arrival to answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// The id that the answer carried. Begins with the name of the entry VM.
    pub request_id: String,
    /// When it came, in milliseconds since 1970.
    pub arrived_unix_ms: u64,
    /// The caller's name, or none if it was not known.
    pub caller: Option<String>,
    /// The class it was put in.
    pub class: Option<String>,
    /// The model, adapter or service it named.
    pub target: Option<String>,
    /// The rule that decided, or `default`.
    pub rule: Option<String>,
    /// The revision of the rules that decided.
    pub revision: rules::Revision,
    /// Whether it was treated as one that may not be repeated.
    pub not_repeatable: bool,
    /// Time it had from its arrival, in milliseconds.
    pub deadline: time::Millis,
    /// How long it waited in this entry process before it was first sent, in milliseconds.
    pub queued: time::Millis,
    /// The endpoints that were weighed for the first try.
    pub candidates: Vec<Candidate>,
    /// Each time it was sent, in order.
    pub tries: Vec<Try>,
    /// How it ended.
    pub end: End,
    /// From arrival to the end of the answer, in milliseconds.
    pub took: time::Millis,
}

/// An endpoint that was weighed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Its name.
    pub endpoint: String,
    /// Estimated time to the full answer, in milliseconds.
    pub estimate: time::Millis,
    /// Why it was not taken, or none if it was.
    pub passed_over: Option<String>,
}

/// One sending of a request to an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Try {
    /// To whom.
    pub endpoint: String,
    /// Milliseconds after arrival.
    pub started: time::Millis,
    /// Whether it may have run there.
    pub verdict: verdict::Verdict,
    /// What came of it, in a few words.
    pub outcome: String,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// Still under way.
    Open,
    /// Answered whole.
    Answered {
        /// HTTP status.
        status: u16,
        /// Bytes of the body.
        bytes: u64,
    },
    /// Refused or given up on, with this account.
    Refused(refusal::Refusal),
    /// The caller went away first.
    CallerGone,
}
