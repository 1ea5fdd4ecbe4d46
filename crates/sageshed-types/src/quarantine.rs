//! Requests under which endpoints end, as processes tell each other of them and as the control group keeps them.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::time;

/// Equal for requests that ask the same, and hardly ever for others. The same on all processes of one build.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// A start of an endpoint ended while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// What the request asks.
    pub content: Fingerprint,
    /// The start of the endpoint, by its short name.
    pub endpoint: u64,
    /// How long ago.
    pub age: time::Millis,
    /// The request was answered whole later on: it was not the cause.
    pub is_cleared: bool,
}

/// A request that is passed on no more.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Held {
    /// What it asks.
    pub content: Fingerprint,
    /// The starts of endpoints that have ended under it, by their short names.
    pub endpoints: Vec<u64>,
}
