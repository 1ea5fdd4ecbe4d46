//! Claims on requests that may run at most once.
//!
//! Before any byte of such a request leaves an entry process, the control group commits a claim on
//! its key. Only the holder of the claim may send it, and only once.

use serde::{Deserialize, Serialize};

use crate::{endpoints, time};

/// What a claim is on: the key is the caller's own, so two callers never collide.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The caller's name.
    pub caller: String,
    /// The idempotency key, or the request id where the caller gave none.
    pub key: String,
}

/// Who holds a claim: one arrival of a request at one entry process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The entry VM.
    pub vm: String,
    /// The start of its process.
    pub incarnation: endpoints::Incarnation,
    /// The request id of the arrival.
    pub request_id: String,
}

/// Asks for a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// On what.
    pub key: ClaimKey,
    /// For whom.
    pub holder: Holder,
    /// A digest of method, path and body: the same key with other content is an error.
    pub digest: u64,
    /// How long the claim is kept after it is settled, by the settings of the asker, in milliseconds.
    pub retention: time::Millis,
}

/// Says how a claimed request ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Settle {
    /// Which claim.
    pub key: ClaimKey,
    /// Who holds it; another's word is not taken.
    pub holder: Holder,
    /// How it ended.
    pub end: End,
}

/// How a claimed request ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It ran. The answer is kept if it is small enough.
    Ran {
        /// The answer, or none if it was larger than the bound.
        answer: Option<RecordedAnswer>,
    },
    /// Not a byte of it went out: the claim is given back.
    NotRun,
    /// It went out and its end is unknown.
    Unknown,
}

/// An answer kept for later arrivals of the same key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// What the control group says to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// Committed: this arrival may send the request, once.
    Granted,
    /// Another arrival holds it and has not said how it ended.
    Running {
        /// The other.
        holder: Holder,
    },
    /// It ran; here is the answer, if it was kept.
    Ran {
        /// The answer.
        answer: Option<RecordedAnswer>,
    },
    /// It may have run, and nobody will learn more.
    Unknown,
    /// The key came before with other content.
    OtherContent,
    /// No more claims can be kept. Nothing was recorded.
    Full,
}
