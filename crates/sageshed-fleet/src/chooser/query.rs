//! Inputs and results of [`Chooser::choose`](super::Chooser::choose).

use std::net;

use sageshed_types::{arena, time};
use serde::Deserialize;

use crate::{dialect, directory};

/// How to select among the endpoints that could take a request. All but [`Routing::Estimate`] exist for
/// comparison.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Routing {
    /// The endpoint whose response is estimated to begin first.
    #[default]
    Estimate,
    /// The endpoint that runs the fewest requests by its latest report.
    LeastLoad,
    /// A random endpoint.
    Random,
}

/// Settings of the selection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How to select an endpoint.
    pub choice: Routing,
    /// Whether to refuse a request as soon as it is clear that its response can't begin before its
    /// deadline.
    pub turn_away: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            choice: Routing::Estimate,
            turn_away: true,
        }
    }
}

/// The software version that began the stream of a request. What two versions write can't be joined.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum BeganAt {
    /// It has not begun.
    #[default]
    NotBegun,
    /// This version began it.
    Version(directory::SoftwareKey),
    /// It has begun at a version that is not known.
    Unknown,
}

impl BeganAt {
    /// The version of the endpoint that begins a stream.
    #[must_use]
    pub fn of(software: Option<directory::SoftwareKey>) -> Self {
        software.map_or(Self::Unknown, Self::Version)
    }

    /// Whether an endpoint of this software version can run the request.
    #[must_use]
    pub fn admits(self, software: Option<directory::SoftwareKey>) -> bool {
        match self {
            Self::NotBegun => true,
            Self::Version(version) => software == Some(version),
            Self::Unknown => false,
        }
    }

    /// The version that began it, if it has begun and the version is known.
    #[must_use]
    pub fn version(self) -> Option<directory::SoftwareKey> {
        match self {
            Self::Version(version) => Some(version),
            Self::NotBegun | Self::Unknown => None,
        }
    }
}

/// A request to select an endpoint for.
#[derive(Debug, Clone, Copy)]
pub struct EndpointQuery<'a> {
    /// Service that the request is for.
    pub service: &'a str,
    /// Model and adapter, for a service of engines.
    pub wanted: Option<&'a dialect::ModelRef>,
    /// Prompt parts by which the prefix cache is looked up.
    pub parts: &'a [dialect::PromptPart],
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Endpoints on which an earlier attempt failed.
    pub tried: &'a [arena::EndpointKey],
    /// Time left until the deadline, after which nobody waits for the response.
    pub time_left: time::Millis,
    /// How much longer the request may be held back for an engine with little prefill pending.
    pub patience: time::Millis,
    /// Time left until the response would be late.
    pub time_until_late: time::Millis,
    /// Whether there is time to keep waiting after the response is late.
    pub may_be_late: bool,
    /// Whether its adapter may be loaded on another engine.
    pub may_load_adapter: bool,
    /// Whether it is not held back by the process's share of the slots of a plain service, since the coordinators
    /// of the service don't grant slots.
    pub ignores_slot_share: bool,
    /// The software version that began its stream: only endpoints of that version can resume it.
    pub began: BeganAt,
}

/// The prompt that an engine has prefilled.
#[derive(Debug, Clone, Copy)]
pub struct Prefill<'a> {
    /// Model and adapter that it was prefilled for.
    pub wanted: &'a dialect::ModelRef,
    /// Its parts.
    pub parts: &'a [dialect::PromptPart],
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// Send it to this endpoint.
    Send(Pick),
    /// Load the adapter on this engine, then choose again.
    LoadAdapter {
        /// Instance of the engine.
        instance: directory::InstanceId,
    },
    /// Hold the request until something changes.
    Wait(WaitReason),
    /// Refuse the request with a retry delay, as its response can't begin in time.
    TooLate {
        /// Estimated time until the response would begin.
        estimate: time::Millis,
    },
}

/// Why a request has to wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitReason {
    /// The service has no known endpoint that accepts requests.
    Endpoint,
    /// No engine holds the model.
    Model,
    /// Engines hold the model, but none of them holds the adapter.
    Adapter,
    /// No endpoint has a free slot, or no engine has room below its prefill limit.
    Place,
    /// All endpoints that could take the request are held back by a limit or a pause. The first of them is
    /// available after this time.
    Allowance(time::Millis),
}

impl WaitReason {
    /// Whether another replica of the model would help.
    #[must_use]
    pub fn is_of_model(self) -> bool {
        matches!(self, Self::Model | Self::Allowance(_))
    }
}

/// The endpoint that a request is sent to.
#[derive(Debug, Clone, PartialEq)]
pub struct Pick {
    /// Key of the endpoint.
    pub key: arena::EndpointKey,
    /// Instance of the endpoint that the request is meant for.
    pub instance: directory::InstanceId,
    /// Its address.
    pub address: net::SocketAddrV4,
    /// Its software version, if that is known.
    pub software: Option<directory::SoftwareKey>,
    /// Tokens that the engine has to prefill.
    pub uncached_tokens: u64,
    /// Estimated prefill time in microseconds.
    pub prefill_us: u64,
    /// Estimated time until the response begins.
    pub estimate: time::Millis,
}

/// Outcome of an attempt at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint responded.
    Answered,
    /// The caller disconnected, or the attempt was abandoned.
    GivenUp,
    /// The endpoint refused the request without running it.
    Refused,
    /// The endpoint doesn't hold the requested model, or is another instance.
    Misdirected,
    /// The endpoint failed.
    Failed,
    /// The endpoint could not be reached.
    Unreachable,
    /// The endpoint sent nothing until the time of the attempt was over.
    Silent,
}
