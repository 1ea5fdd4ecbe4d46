//! The bodies between operators and control processes, as JSON.

use derive_more::Display;
use sageshed_types::rules;
use serde::{Deserialize, Serialize};

/// The path of each request.
pub mod paths {
    /// `GET`: a [`sageshed_types::rules::RuleSet`].
    pub const RULES: &str = "/rules";
    /// `GET` with `after=N`: a list of [`sageshed_types::rules::AcceptedChange`].
    pub const HISTORY: &str = "/rules/history";
    /// `POST` of a [`super::ChangeReq`]: a [`sageshed_types::rules::ChangeOutcome`].
    pub const CHANGES: &str = "/rules/changes";
    /// `GET` with `revision=N`: a [`super::InForce`].
    pub const IN_FORCE: &str = "/rules/in-force";
    /// `GET`: a [`sageshed_types::messages::Status`].
    pub const STATUS: &str = "/status";
    /// `GET`: a list of [`sageshed_types::messages::ModelStatus`].
    pub const MODELS: &str = "/models";
    /// `GET`: a list of [`sageshed_types::endpoints::Report`].
    pub const ENDPOINTS: &str = "/endpoints";
    /// `GET` with a request id after it: a [`sageshed_types::request_trace::RequestTrace`].
    pub const EXPLAIN: &str = "/explain/";
    /// `POST` of a [`super::DrainReq`].
    pub const DRAIN: &str = "/drain";
    /// `POST` of a [`super::PinReq`].
    pub const PIN: &str = "/pin";
    /// `GET`, without a token: whether the process runs.
    pub const HEALTHZ: &str = "/healthz";
    /// `GET`, without a token: metrics in the text format of Prometheus.
    pub const METRICS: &str = "/metrics";
}

/// The content type of a [`Problem`].
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// A change of the rules. Whose it is the server knows by the token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeReq {
    /// Chosen by the client; a resend carries the same one.
    pub change_id: String,
    /// The revision that the operator saw.
    pub base_revision: rules::Revision,
    /// What to change.
    pub edit: rules::Edit,
}

/// Starts or ends the drain of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainReq {
    /// The entry VM.
    pub vm: String,
    /// Whether it is to be drained.
    pub on: bool,
    /// Chosen by the client; a resend carries the same one.
    pub change_id: String,
}

/// Sets a pin or takes it back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PinReq {
    /// Which.
    pub pin: Pin,
    /// Whether it is to hold.
    pub on: bool,
}

/// A model that is kept at a place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pin {
    /// The model or adapter.
    pub model: String,
    /// Where.
    pub place: PinPlace,
}

/// Where a model is pinned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PinPlace {
    /// On this endpoint.
    Endpoint(String),
    /// On some endpoint of this availability zone.
    AvailabilityZone(String),
}

/// Whether a revision is in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Whether no VM can serve by an older one.
    pub everywhere: bool,
    /// The VMs that still may.
    pub missing: Vec<String>,
}

/// What kind of problem it is. A closed set: clients decide by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// No token, or one that belongs to no operator.
    #[display("unauthorized")]
    Unauthorized,
    /// Nothing at this path, or no such request or VM.
    #[display("not_found")]
    NotFound,
    /// The path does not take this method.
    #[display("method_not_allowed")]
    MethodNotAllowed,
    /// The request can't be understood.
    #[display("bad_request")]
    BadRequest,
    /// The body is too large.
    #[display("too_large")]
    TooLarge,
    /// Another process leads.
    #[display("not_leader")]
    NotLeader,
    /// This process cannot take it now.
    #[display("busy")]
    Busy,
    /// No majority of the control group can be reached.
    #[display("no_quorum")]
    NoQuorum,
    /// It may or may not take hold.
    #[display("unknown_fate")]
    UnknownFate,
    /// It can't be done.
    #[display("invalid")]
    Invalid,
    /// A bound is reached.
    #[display("full")]
    Full,
    /// Another change came first.
    #[display("conflict")]
    Conflict,
    /// The change id belongs to another change.
    #[display("change_id_reused")]
    ChangeIdReused,
}

impl Kind {
    /// The HTTP status of an answer with this problem.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::Conflict => 409,
            Self::TooLarge => 413,
            Self::NotLeader => 421,
            Self::Invalid | Self::ChangeIdReused => 422,
            Self::Busy | Self::NoQuorum => 503,
            Self::UnknownFate => 504,
            Self::Full => 507,
        }
    }

    /// Whether what was asked may still take hold.
    #[must_use]
    pub fn fate(self) -> Fate {
        match self {
            Self::UnknownFate => Fate::Unknown,
            _ => Fate::NotDone,
        }
    }

    fn title(self) -> &'static str {
        match self {
            Self::Unauthorized => "The operator is not known",
            Self::NotFound => "There is nothing of this name",
            Self::MethodNotAllowed => "The path does not take this method",
            Self::BadRequest => "The request is not valid",
            Self::TooLarge => "The request is too large",
            Self::NotLeader => "Another control process leads",
            Self::Busy => "This control process cannot take it now",
            Self::NoQuorum => "No majority of the control group can be reached",
            Self::UnknownFate => "The outcome is not known",
            Self::Invalid => "It can't be done",
            Self::Full => "A bound is reached",
            Self::Conflict => "Another change came first",
            Self::ChangeIdReused => "The change id belongs to another change",
        }
    }
}

/// Whether something that got no outcome may still take hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    /// It was not done and will not be.
    NotDone,
    /// It may have been done, or may still be.
    Unknown,
}

/// An answer that is no success, as `application/problem+json` (RFC 9457).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// A URN of the kind.
    #[serde(rename = "type")]
    pub urn: String,
    /// A short title, the same for every problem of the kind.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// One sentence for people: what is wrong and what to do.
    pub detail: String,
    /// What kind it is.
    pub kind: Kind,
    /// Whether what was asked may still take hold.
    pub fate: Fate,
    /// The leader's `IP:port` for operators, where another process leads and it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
    /// The outcome of a change that was not accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<rules::ChangeOutcome>,
}

impl Problem {
    /// A problem of this kind.
    #[must_use]
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            urn: format!("urn:sageshed:problem:{kind}"),
            title: kind.title().to_owned(),
            status: kind.status(),
            detail: detail.into(),
            kind,
            fate: kind.fate(),
            leader: None,
            outcome: None,
        }
    }
}
