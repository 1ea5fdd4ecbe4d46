//! Whether a request may have run, and why a request was refused.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a request that got no complete response was run.
///
/// `NotRun` is a guarantee: no endpoint has run the request and none will. Where that cannot be
/// guaranteed, the verdict is `MayHaveRun`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No endpoint ran it and none will.
    #[display("not_run")]
    NotRun,
    /// Bytes of it were sent to an endpoint and the outcome is unknown.
    #[display("may_have_run")]
    MayHaveRun,
    /// An endpoint ran it.
    #[display("ran")]
    Ran,
}

impl Verdict {
    /// The combined verdict of two attempts of one request: the one further from `NotRun`.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        self.max(other)
    }
}

/// Why a request was refused or abandoned. A closed set: the operators' guide documents each reason.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request itself is not valid.
    #[display("bad_request")]
    BadRequest,
    /// There is no bearer token, or it belongs to no caller.
    #[display("unauthorized")]
    Unauthorized,
    /// The body or the header section is larger than the limit.
    #[display("too_large")]
    TooLarge,
    /// The request did not arrive completely in time.
    #[display("request_timeout")]
    RequestTimeout,
    /// The path does not exist or does not support the method.
    #[display("not_found")]
    NotFound,
    /// No model, adapter or service has this name.
    #[display("unknown_model")]
    UnknownModel,
    /// A rule refuses it.
    #[display("rule_refused")]
    RuleRefused,
    /// A rule's rate limit is exhausted.
    #[display("rule_limit")]
    RuleLimit,
    /// The caller's own rate limit is exhausted.
    #[display("caller_limit")]
    CallerLimit,
    /// No endpoint that may serve it is known, or no engine has the model and none can load it in time.
    #[display("no_route")]
    NoRoute,
    /// Its stream began at a software version that is not known, or of which no endpoint is left.
    #[display("not_resumable")]
    NotResumable,
    /// The queue of its class is full.
    #[display("queue_full")]
    QueueFull,
    /// It could not have been completed by its deadline.
    #[display("deadline_unmeetable")]
    DeadlineUnmeetable,
    /// Its deadline passed while it ran.
    #[display("deadline_passed")]
    DeadlinePassed,
    /// The endpoint failed, and no further attempt was allowed or possible.
    #[display("endpoint_failed")]
    EndpointFailed,
    /// Endpoints crashed while they ran the same request, so that it is no longer forwarded.
    #[display("quarantined")]
    Quarantined,
    /// The endpoint returned an error response.
    #[display("endpoint_refused")]
    EndpointRefused,
    /// This entry process cannot confirm that its configuration is in force.
    #[display("not_confirmed")]
    NotConfirmed,
    /// The control group could not commit the claim of a request that may not be repeated.
    #[display("claim_unavailable")]
    ClaimUnavailable,
    /// A request with the same idempotency key is running or has run.
    #[display("duplicate")]
    Duplicate,
    /// The idempotency key was used before for a request with other content.
    #[display("key_reused")]
    KeyReused,
    /// This entry process is shutting down.
    #[display("draining")]
    Draining,
    /// This entry process has reached its limit of open requests.
    #[display("too_many_requests_open")]
    #[serde(rename = "too_many_requests_open")]
    TooManyOpen,
    /// An internal error of the system.
    #[display("internal")]
    Internal,
}

impl Reason {
    /// The HTTP status of a response with this reason.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::RuleRefused => 403,
            Self::NotFound | Self::UnknownModel => 404,
            Self::RequestTimeout => 408,
            Self::Duplicate => 409,
            Self::TooLarge => 413,
            Self::KeyReused => 422,
            Self::RuleLimit | Self::CallerLimit | Self::QueueFull => 429,
            Self::Internal => 500,
            Self::EndpointFailed | Self::EndpointRefused => 502,
            Self::NoRoute
            | Self::NotResumable
            | Self::DeadlineUnmeetable
            | Self::NotConfirmed
            | Self::ClaimUnavailable
            | Self::Quarantined
            | Self::Draining
            | Self::TooManyOpen => 503,
            Self::DeadlinePassed => 504,
        }
    }

    /// A short human-readable title, the same for every refusal with this reason.
    #[must_use]
    pub fn title(self) -> &'static str {
        match self {
            Self::BadRequest => "The request is not valid",
            Self::Unauthorized => "The caller is not known",
            Self::TooLarge => "The request is too large",
            Self::RequestTimeout => "The request did not arrive in time",
            Self::NotFound => "There is nothing at this path",
            Self::UnknownModel => "No model or service of this name is offered",
            Self::RuleRefused => "A rule refuses the request",
            Self::RuleLimit => "A rule's limit is used up",
            Self::CallerLimit => "The caller's limit is used up",
            Self::NoRoute => "No endpoint can serve the request",
            Self::NotResumable => "The stream can't be resumed",
            Self::QueueFull => "The queue is full",
            Self::DeadlineUnmeetable => "The request could not be finished in time",
            Self::DeadlinePassed => "The request was not finished in time",
            Self::EndpointFailed => "The endpoint failed",
            Self::Quarantined => "Endpoints ended under this request",
            Self::EndpointRefused => "The endpoint refused the request",
            Self::NotConfirmed => "The configuration in force cannot be confirmed here",
            Self::ClaimUnavailable => "The request cannot be recorded as run once",
            Self::Duplicate => "The request was received before",
            Self::KeyReused => "The idempotency key belongs to another request",
            Self::Draining => "This entry process is shutting down",
            Self::TooManyOpen => "Too many requests are open",
            Self::Internal => "The system failed",
        }
    }
}
