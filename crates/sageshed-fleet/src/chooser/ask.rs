//! What is asked of a chooser, and what it says.

use std::net;

use sageshed_types::{arena, time};
use serde::Deserialize;

use crate::{dialect, directory};

/// How an endpoint is chosen among those that could take a request. All but [`Routing::Estimate`] are
/// there to be compared with.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Routing {
    /// The one whose answer is estimated to begin first.
    #[default]
    Estimate,
    /// The one that runs the fewest requests by its latest word.
    LeastLoad,
    /// Any.
    Random,
}

/// How a chooser decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How an endpoint is chosen.
    pub choice: Routing,
    /// Whether a request that can't be answered in its time is turned away when that is known.
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

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a str,
    /// The model, for a service of engines.
    pub wanted: Option<&'a dialect::ModelRef>,
    /// Parts of the prompt.
    pub parts: &'a [dialect::PromptPart],
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Endpoints that were tried and failed.
    pub tried: &'a [arena::EndpointKey],
    /// What is left until nobody waits for the answer.
    pub left: time::Millis,
    /// How much longer it may wait here for an engine that reads little.
    pub patience: time::Millis,
    /// What is left until its answer would be late.
    pub on_time: time::Millis,
    /// Whether it has the time to wait on once it is late anyway.
    pub may_be_late: bool,
    /// Whether an adapter may be loaded for it on another engine.
    pub may_fetch: bool,
}

/// What an engine has read of a request.
#[derive(Debug, Clone, Copy)]
pub struct Read<'a> {
    /// For which model and adapter.
    pub wanted: &'a dialect::ModelRef,
    /// The parts of the prompt.
    pub parts: &'a [dialect::PromptPart],
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// Send it there.
    Send(Pick),
    /// Have the adapter loaded on this engine, and ask again.
    Fetch {
        /// The start of the engine.
        instance: directory::InstanceId,
    },
    /// Wait for a change.
    Wait(Missing),
    /// It could not be answered in time: turn it away, with when there will be room.
    TooLate {
        /// The estimate.
        estimate: time::Millis,
    },
}

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Missing {
    /// No endpoint of the service is known that takes work.
    Endpoint,
    /// No engine holds the model.
    Model,
    /// Engines hold the model, and none of them the adapter.
    Adapter,
    /// A place at one of the endpoints, or an engine that reads little.
    Place,
    /// All endpoints that could take it have asked for nothing more for now. The first of them opens after this span.
    Allowance(time::Millis),
}

impl Missing {
    /// Whether a further copy of the model would help.
    #[must_use]
    pub fn is_of_model(self) -> bool {
        matches!(self, Self::Model | Self::Allowance(_))
    }
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Pick {
    /// The endpoint.
    pub key: arena::EndpointKey,
    /// The start of it that is meant.
    pub instance: directory::InstanceId,
    /// Its address.
    pub address: net::SocketAddrV4,
    /// Tokens that it has to read.
    pub tokens: u64,
    /// Microseconds that this is reckoned to take.
    pub reading: u64,
    /// The estimated time until the answer begins.
    pub estimate: time::Millis,
}

/// How a request at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// With an answer.
    Answered,
    /// The caller left, or it was given up.
    GivenUp,
    /// The endpoint refused it and did not run it.
    Refused,
    /// It does not hold what was asked for, or is another start.
    Misdirected,
    /// It failed.
    Failed,
    /// It could not be reached.
    Unreachable,
    /// It said nothing until the time of the request was over.
    Silent,
}
