//! Requests that crash endpoints, as processes report them to each other and the control group
//! records them.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::time;

/// A hash of a request's content: equal for requests with the same content, and almost never for
/// others. All processes of one build compute the same value.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// An endpoint terminated while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The fingerprint of the request.
    pub content: Fingerprint,
    /// The hash that identifies the endpoint and its start.
    pub endpoint: u64,
    /// How long ago it happened, in milliseconds.
    pub age: time::Millis,
    /// Whether the same request has since been answered completely, so that it was not the cause.
    pub is_cleared: bool,
}

/// A quarantined request: entry processes no longer forward it to endpoints.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// The fingerprint of the request.
    pub content: Fingerprint,
    /// The hashes that identify the endpoint starts which terminated while they ran it.
    pub endpoints: Vec<u64>,
}
