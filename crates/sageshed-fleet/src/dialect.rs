//! The interface to the protocol that callers, endpoints and operators use.
//!
//! An implementation of [`Dialect`] knows the protocol's names, formats and paths and makes no decisions: it decodes
//! requests and responses into the types below, and encodes these.

use std::{fmt, net};

use derive_more::{Display, Error};
use sageshed_types::{headers, time};

use crate::{config, directory};

/// A request, response or body that can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{what}: {problem}")]
pub struct DecodeError {
    /// What was to be decoded.
    pub what: &'static str,
    /// Why it can't be decoded.
    pub problem: String,
}

/// What the headers of a caller's request say, besides those of HTTP.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The caller's id of this request, echoed in the response.
    pub id: Option<String>,
    /// How long the caller will wait for the response.
    pub deadline: Option<time::Millis>,
    /// The model that the request is for.
    pub model: Option<ModelRef>,
    /// Tokens in its prompt.
    pub prompt_tokens: u64,
    /// Tokens that it may generate at most.
    pub output_tokens: u64,
    /// The parts of its prompt, in order. Requests that begin with the same parts can share a cached prefix.
    pub parts: Vec<PromptPart>,
    /// Id of the last event that the caller has received of an earlier response to this request.
    pub resume_after: Option<String>,
    /// Id of the caller's request whose response brought the first event of the stream that it resumes.
    pub resumes: Option<String>,
}

impl RequestMetadata {
    /// The parts of its prompt that other prompts may share: all but the last, which belongs to this request or its
    /// session.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// A reference to a model, or to an adapter of it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelRef {
    /// The model.
    pub model: String,
    /// The adapter, if one is requested.
    pub adapter: Option<String>,
}

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies its content: equal for equal parts.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// What the system adds to a request that it sends to an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamMetadata<'a> {
    /// The instance that the request is meant for. Another endpoint must refuse it, such as one that got the address
    /// of an endpoint that has gone.
    pub instance: &'a directory::InstanceId,
    /// Time left until the request's deadline.
    pub time_left: time::Millis,
    /// Urgency from 0, the most urgent, to 9; none leaves it to the engine.
    pub urgency: Option<u8>,
    /// Id of the last event that was received, where a stream is resumed.
    pub resume_after: Option<&'a str>,
    /// The name of the workspace that sends the request, if known.
    pub workspace: Option<&'a str>,
}

/// What the head of an endpoint's response says.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResponseMetadata<'a> {
    /// The id of the request that it responds to.
    pub id: Option<&'a str>,
    /// Whether the endpoint has run the request.
    pub execution: ExecutionStatus,
    /// The endpoint's load, if it tells.
    pub load: Option<Load>,
    /// The name of the endpoint that responded, if it tells.
    pub endpoint: Option<&'a str>,
    /// What the endpoint says about itself.
    pub notice: Notice,
}

impl ResponseMetadata<'_> {
    /// Whether the response comes from the endpoint of instance `id`, as far as it tells.
    #[must_use]
    pub fn is_of(&self, id: &directory::InstanceId) -> bool {
        match self.endpoint {
            Some(name) => name == id.name,
            // Another endpoint responds with this status, and need not give its name.
            None => self.execution != ExecutionStatus::Misdirected,
        }
    }
}

/// What an endpoint says about itself in any response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Notice {
    /// Its rate limit in requests a second, over all VMs together; none where it announces none.
    pub limit: Option<f64>,
    /// Rejections per second that each endpoint of its service can make before it fails; none where they are not bounded.
    pub max_rejections_per_s: Option<u32>,
    /// It is about to stop and takes no new work.
    pub is_leaving: bool,
    /// It has rejected a request and asks the VM that sent it for a pause of this length.
    pub retry_after: Option<time::Millis>,
}

/// What a response says about the execution of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// The endpoint has run it and signed the response.
    Verified,
    /// The response is not signed, or its body is not as the endpoint has made it.
    Unverified,
    /// The endpoint has not run it and never will.
    NotRun,
    /// The same, because the request was meant for another instance, or the endpoint doesn't hold the model.
    Misdirected,
}

/// The load that an endpoint reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Number of requests that it runs.
    pub running: u32,
    /// Number of requests that wait there.
    pub waiting: u32,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// How long its work takes at present, in percent of its normal time; none if it does not tell.
    pub slowdown_percent: Option<u32>,
}

/// The largest slowdown that is believed, in percent.
const MAX_SLOWDOWN_PERCENT: u32 = 10_000;

/// A reported slowdown in percent; none if it can't be one.
#[must_use]
pub fn valid_slowdown(percent: u32) -> Option<u32> {
    (1..=MAX_SLOWDOWN_PERCENT)
        .contains(&percent)
        .then_some(percent)
}

/// A request to a control process by an endpoint or operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlRequest {
    /// An endpoint announces itself.
    Announce {
        /// Its name.
        endpoint: String,
    },
    /// An endpoint deregisters.
    Leave {
        /// Its name.
        endpoint: String,
    },
    /// The operator replaces the configuration.
    Replace,
    /// The operator reads the configuration.
    Read,
}

/// What an engine is ordered to do.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Task {
    /// Load the weights of a model.
    Load(String),
    /// Unload a model with its adapters, once its requests are done.
    Unload(String),
    /// Load an adapter of a loaded model, given as model and adapter.
    LoadAdapter(String, String),
    /// Unload an adapter, given as model and adapter.
    UnloadAdapter(String, String),
}

impl Task {
    /// The model that it is about.
    #[must_use]
    pub fn model(&self) -> &str {
        match self {
            Self::Load(model)
            | Self::Unload(model)
            | Self::LoadAdapter(model, _)
            | Self::UnloadAdapter(model, _) => model,
        }
    }

    /// Whether it is about weights, for which an engine executes one order at a time.
    #[must_use]
    pub fn is_weights(&self) -> bool {
        matches!(self, Self::Load(_) | Self::Unload(_))
    }
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load(model) => write!(f, "load {model}"),
            Self::Unload(model) => write!(f, "unload {model}"),
            Self::LoadAdapter(model, adapter) => write!(f, "load {model}/{adapter}"),
            Self::UnloadAdapter(model, adapter) => write!(f, "unload {model}/{adapter}"),
        }
    }
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The engine's instance.
    pub instance: directory::InstanceId,
    /// Its address.
    pub address: net::SocketAddrV4,
    /// What to do.
    pub task: Task,
    /// Number of orders that the engine has accepted before this one. It refuses the order if it has accepted another
    /// one since, so a delayed order has no effect after a newer one.
    pub accepted_before: u64,
    /// The process that gives the order.
    pub holder: String,
    /// Fencing token, which grows from leader to leader.
    pub fence: u64,
}

/// A request that a process of this system makes of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutboundRequest {
    /// The method.
    pub method: &'static str,
    /// The path.
    pub path: String,
    /// Its headers.
    pub headers: Vec<(&'static str, String)>,
    /// Its body.
    pub body: Vec<u8>,
}

/// An engine's response to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResponse {
    /// It executes the order.
    Accepted,
    /// It has executed the order, or there was nothing to do.
    Done,
    /// Refused: it executes another order, or has accepted one that the sender doesn't know of.
    Conflict,
    /// Refused: a later leader has given orders.
    Fenced,
    /// Refused: another instance is meant.
    OtherInstance,
    /// Refused for another reason, with this status.
    Refused(u16),
}

/// An engine's report of itself, on request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// The start time of the reporting instance, if it tells; see [`directory::InstanceId::born`].
    pub born: Option<u64>,
    /// Number of orders that it has accepted since its start.
    pub accepted: u64,
    /// Whether it executes an order about weights.
    pub is_busy: bool,
    /// The loaded models with their adapters.
    pub models: Vec<directory::Resident>,
    /// The adapters that it is loading, as model and adapter.
    pub adapters_pending: Vec<(String, String)>,
}

/// The names and formats of one protocol.
pub trait Dialect: Copy + Send + Sync + fmt::Debug + 'static {
    /// Decodes the headers of a caller's request, which `get` returns by name.
    ///
    /// # Errors
    ///
    /// If the value of a header is invalid or ambiguous.
    fn request_metadata<'h>(
        &self,
        get: impl Fn(&str) -> headers::Value<'h>,
    ) -> Result<RequestMetadata, DecodeError>;

    /// Whether a header of this name is removed from a caller's request, because only the system may set it.
    fn strips_header(&self, name: &str) -> bool;

    /// The headers that the system adds to a request to an endpoint.
    fn upstream_headers(&self, metadata: &UpstreamMetadata<'_>) -> Vec<(&'static str, String)>;

    /// Decodes the head of an endpoint's response. One that is ambiguous in a header by which it is identified or vouched
    /// for, or repeats it, counts as [`ExecutionStatus::Unverified`], and says nothing else.
    fn response_metadata<'h>(
        &self,
        status: u16,
        get: impl Fn(&str) -> headers::Value<'h>,
    ) -> ResponseMetadata<'h>;

    /// The last id in `events`, which consist of complete events only; none if no event has an id, or the last one is not
    /// text.
    fn last_event_id<'e>(&self, events: &'e [u8]) -> Option<&'e str>;

    /// The request to a control process that this method and path stand for, if any.
    fn control_request(&self, method: &str, path: &str) -> Option<ControlRequest>;

    /// Decodes the announcement of an endpoint.
    ///
    /// # Errors
    ///
    /// If the name of the endpoint or the body is invalid.
    fn announcement(&self, endpoint: &str, body: &[u8])
    -> Result<directory::Instance, DecodeError>;

    /// Decodes a deregistration: the instance that stops.
    ///
    /// # Errors
    ///
    /// If the name of the endpoint or the body is invalid.
    fn leaving(&self, endpoint: &str, body: &[u8]) -> Result<directory::InstanceId, DecodeError>;

    /// Decodes a configuration, which may still be invalid by [`config::FleetConfig::check`].
    ///
    /// # Errors
    ///
    /// If the body is not a complete configuration.
    fn config(&self, body: &[u8]) -> Result<config::FleetConfig, DecodeError>;

    /// The request that gives an order.
    fn order(&self, order: &Order) -> OutboundRequest;

    /// The meaning of the status of a response to an order.
    fn order_response(&self, status: u16) -> OrderResponse;

    /// The request for an engine's report.
    fn report_request(&self, instance: &directory::InstanceId) -> OutboundRequest;

    /// The request for a health check of an endpoint, at the path that its service has for it. Any response shows that the
    /// endpoint can be reached.
    fn health_check(&self, path: &str, instance: &directory::InstanceId) -> OutboundRequest;

    /// Decodes an engine's report.
    ///
    /// # Errors
    ///
    /// If the body is not a report.
    fn report(&self, body: &[u8]) -> Result<Report, DecodeError>;
}
