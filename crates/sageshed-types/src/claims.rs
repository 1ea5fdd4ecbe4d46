//! Claims on requests that may run at most once.
//!
//! Before an entry process sends any byte of such a request to an endpoint, the control group
//! commits a claim on the request's key. Only the holder of the claim may send the request, and only
//! once.

use serde::{Deserialize, Serialize};

use crate::{endpoints, time};

/// The key of a claim. It includes the caller, so that the keys of two callers never collide.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The caller's name.
    pub caller: String,
    /// The idempotency key, or the request id if the caller gave none.
    pub key: String,
}

/// The holder of a claim: one arrival of a request at one entry process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The entry VM.
    pub vm: String,
    /// The incarnation of the entry process.
    pub incarnation: endpoints::Incarnation,
    /// The id assigned to the request on this arrival.
    pub request_id: String,
}

/// The request of an entry process for a claim on a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// The key to claim.
    pub key: ClaimKey,
    /// Who will hold the claim.
    pub holder: Holder,
    /// A digest of method, path and body. The same key with a different digest is an error.
    pub digest: u64,
    /// How long the claim is kept after it is settled, in milliseconds. Taken from the settings of the
    /// entry process that requests the claim.
    pub retention: time::Millis,
}

/// The report of a claim's holder on how the request ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Settle {
    /// The key of the claim.
    pub key: ClaimKey,
    /// The holder. A message that names another holder than the claim's does not change the claim.
    pub holder: Holder,
    /// How it ended.
    pub end: ExecutionOutcome,
}

/// How a claimed request ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionOutcome {
    /// It ran. The response is stored if it is small enough.
    Ran {
        /// The response, or none if it exceeds the size limit.
        answer: Option<RecordedAnswer>,
    },
    /// No byte of it was sent: the claim is released.
    NotRun,
    /// It was sent, and whether it ran is not known.
    Unknown,
}

/// A response stored for later arrivals of the same key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// The control group's reply to a [`Claim`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// The claim is committed: this arrival may send the request, once.
    Granted,
    /// Another arrival holds the claim and has not settled it.
    Running {
        /// The arrival that holds the claim.
        holder: Holder,
    },
    /// The request ran.
    Ran {
        /// The response, if it was stored.
        answer: Option<RecordedAnswer>,
    },
    /// The request may have run: its holder could not tell, or was declared gone before it reported.
    Unknown,
    /// The key was used before with a different digest.
    OtherContent,
    /// The claim table is full. Nothing was recorded.
    Full,
}
