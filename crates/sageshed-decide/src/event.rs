//! Input events and output actions of [`crate::decider::Decider::step`].
//!
//! The step for an [`Event::Arrived`] returns one of [`Action::Send`], [`Action::Claim`],
//! [`Action::Queue`] and [`Action::Refuse`] for that request; a queued request may be sent in the
//! same step. Every step may also return actions for other requests.
//!
//! A request ends with [`Action::Refuse`], with an attempt that ended with [`AttemptOutcome::Done`]
//! or [`AttemptOutcome::Refused`], or with [`Event::CallerGone`] or [`Event::ClaimDenied`]. Later
//! events about it have no effect.

pub use sageshed_types::attempt_error::AttemptError;
use sageshed_types::{arena, endpoints, refusal, time, verdict};

/// Identifies a request. Assigned by the daemon and unique within its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReqId(pub u64);

/// What a request is addressed to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    /// A model or an adapter.
    Model(arena::ModelKey),
    /// A plain service.
    Service(arena::ServiceKey),
}

/// What is known about a request once it has been received completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestInfo {
    /// The id under which later events refer to the request.
    pub id: ReqId,
    /// The caller that sent it.
    pub caller: arena::CallerKey,
    /// The class named in the request; if `None`, the class of the caller applies.
    pub class: Option<arena::ClassKey>,
    /// The model, adapter or service that it asks for.
    pub target: Target,
    /// Whether the response is streamed.
    pub streaming: bool,
    /// Estimated number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// The maximum number of tokens in the response; 0 if unknown.
    pub max_tokens: u32,
    /// Whether the request is non-repeatable: the caller marked it so, or it is a `POST` to a plain
    /// service and the caller did not mark it as repeatable.
    pub not_repeatable: bool,
    /// Whether [`Self::not_repeatable`] comes from the HTTP method alone. Only then may a rule
    /// override it; a mark set by the caller always holds.
    pub not_repeatable_by_default: bool,
    /// The deadline set by the caller, in milliseconds from the arrival.
    pub deadline: Option<time::Millis>,
    /// A hash of the first part of the prompt, for prefix affinity; 0 if there is none.
    pub prefix: u64,
}

/// An input of the decider.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request was received completely.
    Arrived(RequestInfo),
    /// The claim of a non-repeatable request was granted: the request may be sent.
    ClaimGranted(ReqId),
    /// The claim was not granted, and the daemon has responded to the caller. The request ends.
    ClaimDenied(ReqId),
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        req: ReqId,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// The endpoint rejected an attempt and requested a backoff: it wants no requests from this process
    /// for a while. Precedes the [`Self::AttemptEnded`] of the attempt.
    BackoffRequested {
        /// The request.
        req: ReqId,
        /// The duration of the backoff.
        span: time::Millis,
    },
    /// The first byte of the response was received. From now on a streamed request is not retried.
    FirstToken {
        /// The request.
        req: ReqId,
    },
    /// More of the response was received.
    Progress {
        /// The request.
        req: ReqId,
        /// Number of tokens received so far.
        tokens: u32,
    },
    /// The caller closed its connection.
    CallerGone(ReqId),
    /// A report of an endpoint, with the age of its figures on receipt: `age_ms` of the report plus
    /// the transmission time, as far as it is known. Boxed, since a report is several times the size
    /// of every other event.
    Report(Box<endpoints::Report>, time::Millis),
    /// The daemon has received no report of this endpoint for too long.
    EndpointSilent(arena::EndpointKey),
    /// Time has passed. Sent every 10 to 50 ms, so that queued requests are shed in time.
    Tick,
    /// The process is about to shut down. Requests are still accepted, since the load balancer may send
    /// some for a while.
    Drain,
    /// From now on every new request is refused with the reason `draining`.
    RefuseNew,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The response was received completely.
    Done {
        /// Number of tokens in the response; 0 for a plain service.
        tokens: u32,
    },
    /// The endpoint responded with an error, which was passed on to the caller unchanged. The request
    /// is not retried. A status of 429 or 503 pauses the endpoint, and one of 500 or above counts as
    /// its failure. Any other status is attributed to the request.
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The attempt failed.
    Failed {
        /// Whether the request may have run, as far as the connection shows.
        verdict: verdict::Verdict,
        /// The cause of the failure.
        fault: AttemptError,
    },
}

/// An instruction to the daemon.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to an endpoint now.
    Send {
        /// The request.
        req: ReqId,
        /// The endpoint to send it to.
        endpoint: arena::EndpointKey,
        /// The number of this attempt, counted from 1.
        attempt: u32,
        /// The model or adapter to ask for; `None` for a plain service.
        model: Option<arena::ModelKey>,
        /// The priority of the request: 0 is the lowest, 9 the highest.
        priority: u8,
        /// Time left to the deadline, in milliseconds.
        deadline_left: time::Millis,
        /// How long to wait for the first byte of the response, in milliseconds.
        first_byte_limit: time::Millis,
    },
    /// Request a claim from the control group, then pass in [`Event::ClaimGranted`] or
    /// [`Event::ClaimDenied`].
    Claim {
        /// The request.
        req: ReqId,
    },
    /// The request is queued. A later step sends or refuses it.
    Queue {
        /// The request.
        req: ReqId,
    },
    /// Respond to the caller with this refusal now.
    Refuse {
        /// The request.
        req: ReqId,
        /// The refusal to return.
        refusal: refusal::Refusal,
    },
    /// Cancel the current attempt, and notify the endpoint if it supports that. No
    /// [`Event::AttemptEnded`] is expected for it.
    Cancel {
        /// The request.
        req: ReqId,
        /// The endpoint that it was sent to.
        endpoint: arena::EndpointKey,
    },
}
