//! Requests, and parts of their prompts, that crash endpoints, as processes report them to each other and the control group
//! records them.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::time;

/// What a [`Fingerprint`] identifies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum FingerprintKind {
    /// The content of a request.
    #[display("request")]
    Request,
    /// A part of prompts.
    #[display("prompt part")]
    PromptPart,
}

/// A hash of a request's content, or of a part of its prompt: equal for equal ones, and almost never for others. All
/// processes of one build compute the same value. The highest bit tells which of the two it identifies, so that messages
/// and the log hold both alike.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    const PROMPT_PART: u64 = 1 << 63;

    /// The fingerprint of a request whose content has this hash.
    #[must_use]
    pub fn of_request(hash: u64) -> Self {
        Self(hash & !Self::PROMPT_PART)
    }

    /// The fingerprint of a part of prompts that has this hash.
    #[must_use]
    pub fn of_prompt_part(hash: u64) -> Self {
        Self(hash | Self::PROMPT_PART)
    }

    /// What it identifies.
    #[must_use]
    pub fn kind(self) -> FingerprintKind {
        if self.0 & Self::PROMPT_PART == 0 {
            FingerprintKind::Request
        } else {
            FingerprintKind::PromptPart
        }
    }
}

/// An endpoint terminated while it ran a request, or one with this part in its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The fingerprint of the request or of the part of its prompt.
    pub content: Fingerprint,
    /// The hash that identifies the endpoint and its start.
    pub endpoint: u64,
    /// How long ago it happened, in milliseconds.
    pub age: time::Millis,
    /// Whether the same request has since been answered completely, so that it was not the cause.
    pub is_cleared: bool,
}

/// A quarantined request or part of prompts: entry processes no longer forward it to endpoints.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// The fingerprint of the request or of the part of its prompt.
    pub content: Fingerprint,
    /// The hashes that identify the endpoint starts which terminated while they ran it.
    pub endpoints: Vec<u64>,
}
