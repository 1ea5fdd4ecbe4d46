//! What the fleet needs to know of the protocol that callers, endpoints and operators speak.
//!
//! An implementation holds names, formats and paths, and decides nothing: it turns what came into the
//! types below, and these into what goes out.

use std::{fmt, net};

use derive_more::{Display, Error};
use sageshed_types::time;

use crate::{config, directory};

/// Something that came and can't be understood.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{what}: {problem}")]
pub struct DecodeError {
    /// What it should have been.
    pub what: &'static str,
    /// What is wrong with it.
    pub problem: String,
}

/// What a caller's request says of itself besides method, path and body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The caller's id of this request, echoed in its answer.
    pub id: Option<String>,
    /// How long the caller will wait.
    pub deadline: Option<time::Millis>,
    /// The model that it is for.
    pub model: Option<ModelRef>,
    /// Tokens in its prompt.
    pub prompt_tokens: u64,
    /// Tokens that it may generate.
    pub output_tokens: u64,
    /// The parts of its prompt, in order. Other requests may begin with the same ones.
    pub parts: Vec<PromptPart>,
    /// The last event that the caller has of an earlier answer to this request.
    pub resume_after: Option<String>,
}

/// A model, or an adapter of it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelRef {
    /// The model.
    pub model: String,
    /// The adapter, if one is asked for.
    pub adapter: Option<String>,
}

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Names its content: equal for equal parts.
    pub id: u64,
    /// Its length.
    pub tokens: u64,
}

/// What goes to an endpoint besides what the caller sent.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamMetadata<'a> {
    /// The start of the endpoint that is meant. Another endpoint must refuse, as one that was given the
    /// address of an endpoint that has gone.
    pub instance: &'a directory::InstanceId,
    /// What is left of the time.
    pub time_left: time::Millis,
    /// From 0, first, to 9; none leaves it to the engine.
    pub urgency: Option<u8>,
    /// The last event that came, where an answer goes on.
    pub resume_after: Option<&'a str>,
    /// The name of the workspace that sends it, where that is known.
    pub workspace: Option<&'a str>,
}

/// What the head of an endpoint's answer says.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResponseMetadata<'a> {
    /// The id of the request that it answers.
    pub id: Option<&'a str>,
    /// What it says of the request.
    pub execution: ExecutionStatus,
    /// Its load, where it tells.
    pub load: Option<Load>,
    /// The name of the endpoint that answered, where it tells.
    pub endpoint: Option<&'a str>,
    /// What it says of itself.
    pub notice: Notice,
}

impl ResponseMetadata<'_> {
    /// Whether this is the answer of the start `id`, as far as it can be told.
    #[must_use]
    pub fn is_of(&self, id: &directory::InstanceId) -> bool {
        match self.endpoint {
            Some(name) => name == id.name,
            // One that was not meant answers so, and need not say who it is.
            None => self.execution != ExecutionStatus::Misdirected,
        }
    }
}

/// What an endpoint says of itself in an answer, whatever it answers to.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Notice {
    /// Requests a second that it takes from all VMs together. None where it names no limit.
    pub limit: Option<f64>,
    /// It will stop and takes no new work.
    pub is_leaving: bool,
    /// It has turned a request away and wants none for so long from the VM that sent it.
    pub retry_after: Option<time::Millis>,
}

/// What an endpoint's answer says of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// The endpoint ran it and vouches for the answer.
    Verified,
    /// Nobody vouches for the answer, or its body is not as the endpoint made it.
    Unverified,
    /// The endpoint did not run it and never will.
    NotRun,
    /// The same, since it is not the start of the endpoint that was meant, or does not hold the model.
    Misdirected,
}

/// What an endpoint says of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
}

/// A call that comes to a control process from outside.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlRequest {
    /// An endpoint announces itself.
    Announce {
        /// Its name.
        endpoint: String,
    },
    /// An endpoint says that it stops.
    Leave {
        /// Its name.
        endpoint: String,
    },
    /// The operator replaces the configuration.
    Replace,
    /// The operator reads the configuration.
    Read,
}

/// What an engine is to do.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Task {
    /// Load the weights of a model.
    Load(String),
    /// Drop a model, with its adapters, once its requests are done.
    Unload(String),
    /// Load an adapter of a model that is there.
    LoadAdapter(String, String),
    /// Drop an adapter.
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

    /// Whether it is about weights, of which an engine takes one order at a time.
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
    /// The start of the engine that is meant.
    pub instance: directory::InstanceId,
    /// Where it is.
    pub address: net::SocketAddrV4,
    /// What to do.
    pub task: Task,
    /// Orders that it has accepted so far. It refuses where it has accepted another since, so an
    /// order that was delayed does nothing behind a newer one.
    pub accepted_before: u64,
    /// Who orders.
    pub holder: String,
    /// Grows from leader to leader.
    pub fence: u64,
}

/// A call that goes out.
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

/// What an engine answers to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResponse {
    /// It carries it out.
    Accepted,
    /// It was so already, or is done.
    Done,
    /// It refuses: it carries out another order, or has accepted one that the sender doesn't know.
    Conflict,
    /// It refuses: a later leader has ordered.
    Fenced,
    /// It refuses: another start of the engine is meant.
    OtherInstance,
    /// It refuses for another reason.
    Refused(u16),
}

/// What an engine reports of itself when asked.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// When the start that reports was born, where it says so; see [`directory::InstanceId::born`].
    pub born: Option<u64>,
    /// Orders that it has accepted since its start.
    pub accepted: u64,
    /// Whether it carries out an order about weights.
    pub is_busy: bool,
    /// The models that it holds.
    pub models: Vec<directory::Resident>,
    /// Adapters on their way to it, as model and adapter.
    pub adapters_pending: Vec<(String, String)>,
}

/// The names and formats of one protocol.
pub trait Dialect: Copy + Send + Sync + fmt::Debug + 'static {
    /// Reads a caller's headers, which `get` finds by name.
    ///
    /// # Errors
    ///
    /// If a header has a value that it can't have.
    fn request_metadata<'h>(
        &self,
        get: impl Fn(&str) -> Option<&'h str>,
    ) -> Result<RequestMetadata, DecodeError>;

    /// Whether a caller's header of this name stays here, since the system sets it or since only the
    /// system may use it.
    fn strips_header(&self, name: &str) -> bool;

    /// The headers that go to an endpoint besides the caller's.
    fn upstream_headers(&self, metadata: &UpstreamMetadata<'_>) -> Vec<(&'static str, String)>;

    /// Reads the head of an endpoint's answer.
    fn response_metadata<'h>(
        &self,
        status: u16,
        get: impl Fn(&str) -> Option<&'h str>,
    ) -> ResponseMetadata<'h>;

    /// The id of the last whole event in `events`, which end with a whole one.
    fn last_event_id(&self, events: &[u8]) -> Option<String>;

    /// What a call from outside is, if it is one.
    fn control_request(&self, method: &str, path: &str) -> Option<ControlRequest>;

    /// Reads an announcement.
    ///
    /// # Errors
    ///
    /// If it is not one.
    fn announcement(&self, endpoint: &str, body: &[u8])
    -> Result<directory::Instance, DecodeError>;

    /// Reads which start of an endpoint says that it stops.
    ///
    /// # Errors
    ///
    /// If that can't be told.
    fn leaving(&self, endpoint: &str, body: &[u8]) -> Result<directory::InstanceId, DecodeError>;

    /// Reads a configuration, which may still be invalid by [`config::FleetConfig::check`].
    ///
    /// # Errors
    ///
    /// If it is not one, or not whole.
    fn config(&self, body: &[u8]) -> Result<config::FleetConfig, DecodeError>;

    /// The call that gives an order.
    fn order(&self, order: &Order) -> OutboundRequest;

    /// What the status of the answer to an order means.
    fn order_response(&self, status: u16) -> OrderResponse;

    /// The call that asks an engine for its report.
    fn report_request(&self, instance: &directory::InstanceId) -> OutboundRequest;

    /// Reads a report.
    ///
    /// # Errors
    ///
    /// If it is not one.
    fn report(&self, body: &[u8]) -> Result<Report, DecodeError>;
}
