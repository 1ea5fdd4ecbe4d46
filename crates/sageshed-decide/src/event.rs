//! What goes into [`crate::decider::Decider::step`] and what comes out of it.
//!
//! For each [`Event::Arrived`] the same step says one of [`Action::Send`], [`Action::Claim`],
//! [`Action::Queue`] and [`Action::Refuse`] for that request; what it queues it may send in the same
//! step. Every step may also return actions for other requests. [`Action::Refuse`] is always the
//! last word on a request. After it, after a try that ended with [`AttemptOutcome::Done`] or
//! [`AttemptOutcome::Refused`], and after [`Event::CallerGone`] and [`Event::ClaimDenied`] the request is
//! forgotten, and later events about it change nothing.

pub use sageshed_types::fault::Fault;
use sageshed_types::{arena, endpoints, refusal, time, verdict};

/// A request, by a number that the daemon chooses and uses once in the life of its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReqId(pub u64);

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    /// A model or an adapter.
    Model(arena::ModelKey),
    /// A plain service.
    Service(arena::ServiceKey),
}

/// What is known of a request when it has arrived whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestInfo {
    /// Which request.
    pub id: ReqId,
    /// Who asks.
    pub caller: arena::CallerKey,
    /// The class that the request names; none: the caller's own.
    pub class: Option<arena::ClassKey>,
    /// What it asks for.
    pub target: Target,
    /// Whether the answer is streamed.
    pub streaming: bool,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens that the answer may have; 0 if that is not known.
    pub max_tokens: u32,
    /// Whether it is one that may not be repeated: the caller marked it so, or it is a `POST` to a
    /// plain service and the caller did not say otherwise.
    pub not_repeatable: bool,
    /// Whether [`Self::not_repeatable`] comes from the method alone. Only then may a rule lift it;
    /// a caller's own mark always holds.
    pub not_repeatable_by_default: bool,
    /// Time from its arrival that the caller gives it, in milliseconds.
    pub deadline: Option<time::Millis>,
    /// A hash of the first part of the prompt, for requests that share it; 0: none.
    pub prefix: u64,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request arrived whole.
    Arrived(RequestInfo),
    /// The claim of a request that may not be repeated is granted: it may be sent.
    ClaimGranted(ReqId),
    /// The claim was not granted and the daemon has answered; the request is forgotten.
    ClaimDenied(ReqId),
    /// A try ended.
    AttemptEnded {
        /// Of which request.
        req: ReqId,
        /// How.
        outcome: AttemptOutcome,
    },
    /// The endpoint has turned a try away and wants no request from this process for a while. Comes before the try's
    /// [`Self::AttemptEnded`].
    BackoffRequested {
        /// Of which request.
        req: ReqId,
        /// For how long.
        span: time::Millis,
    },
    /// The first byte of the answer came. From here on a streamed answer is not sent elsewhere.
    FirstToken {
        /// Of which request.
        req: ReqId,
    },
    /// More of the answer came.
    Progress {
        /// Of which request.
        req: ReqId,
        /// Tokens so far.
        tokens: u32,
    },
    /// The caller closed its connection.
    CallerGone(ReqId),
    /// An endpoint's report, with the age of its figures when this process got it: `age_ms` of the
    /// report plus the time it spent on the way, as far as that is known. In a box, since a report
    /// is several times the size of every other event.
    Report(Box<endpoints::Report>, time::Millis),
    /// The daemon has heard nothing of this endpoint for too long.
    EndpointSilent(arena::EndpointKey),
    /// Time went on. Sent every 10 to 50 ms, so that queued requests are shed in time.
    Tick,
    /// The process will shut down. Arrivals are still taken: the balancer may send some for a while.
    Drain,
    /// From now on each arrival is refused with `draining`.
    RefuseNew,
}

/// How one try ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer came.
    Done {
        /// Tokens of the answer; 0 from a plain service.
        tokens: u32,
    },
    /// The endpoint answered with an error of its own, and that answer went to the caller as it was.
    /// The request is not sent again. A status of 429 or from 500 on counts against the endpoint, any
    /// other only against the request.
    Refused {
        /// The status.
        status: u16,
    },
    /// It failed.
    Failed {
        /// Whether it may have run there, as the connection shows it.
        verdict: verdict::Verdict,
        /// What went wrong.
        fault: Fault,
    },
}

/// What to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request now.
    Send {
        /// Which request.
        req: ReqId,
        /// To whom.
        endpoint: arena::EndpointKey,
        /// Counts the tries of this request from 1.
        attempt: u32,
        /// The model or adapter to ask for there; none for a plain service.
        model: Option<arena::ModelKey>,
        /// 0 is the least urgent, 9 the most.
        priority: u8,
        /// Time left to the deadline, in milliseconds.
        deadline_left: time::Millis,
        /// How long to wait for the first byte of the answer, in milliseconds.
        first_byte_limit: time::Millis,
    },
    /// Ask the control group for a claim, then feed [`Event::ClaimGranted`] or [`Event::ClaimDenied`].
    Claim {
        /// Which request.
        req: ReqId,
    },
    /// The request waits here. A later step sends or refuses it.
    Queue {
        /// Which request.
        req: ReqId,
    },
    /// Answer with this refusal, at once.
    Refuse {
        /// Which request.
        req: ReqId,
        /// The account.
        refusal: refusal::Refusal,
    },
    /// Stop the try that is under way and tell the endpoint, if it takes that. No
    /// [`Event::AttemptEnded`] is expected for it.
    Cancel {
        /// Which request.
        req: ReqId,
        /// Where it runs.
        endpoint: arena::EndpointKey,
    },
}
