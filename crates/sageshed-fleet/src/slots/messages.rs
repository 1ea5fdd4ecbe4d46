//! Messages between the holders of requests for a plain service and its coordinator. Each may be lost,
//! doubled or late.

use sageshed_types::time;
use serde::{Deserialize, Serialize};

use crate::entry_peers;

/// Which attempt of its request a [`SlotRequest`] is for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotAttempt {
    /// The first that asks for a slot.
    First,
    /// A later one, of a request that no endpoint has received yet or that holds a retry.
    #[default]
    Again,
    /// A retry, which takes one from the budget.
    Retry,
}

/// Asks the coordinator of a plain service for a slot. Sent again, it shows that the request still waits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Identifies one attempt of a request, over all entry processes.
    pub request: u64,
    /// The service.
    pub service: String,
    /// Which attempt it is.
    #[serde(default)]
    pub attempt: SlotAttempt,
    /// Where the holder stands.
    pub availability_zone: String,
    /// Endpoints that the request may not go to, by [`instance_key`](entry_peers::instance_key).
    #[serde(default)]
    pub tried: Vec<u64>,
    /// Its priority; zero is the most urgent.
    pub priority: u8,
    /// The workspace that sends it, as a hash; zero for none.
    #[serde(default)]
    pub workspace: u64,
    /// A hash of the request's content, which stays the same when its caller retries it.
    pub content: u64,
    /// How long the slot may be in use at most.
    pub lease: time::Millis,
    /// Time left until the response would be late.
    pub late_in: time::Millis,
    /// Time left until the caller gives up.
    pub abandoned_in: time::Millis,
    /// Requests of the holder that have ended lately, in case a [`SlotRelease`] was lost.
    #[serde(default)]
    pub released: Vec<u64>,
}

/// Reply to a [`SlotRequest`], at once or when a slot is free.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// The request.
    pub request: u64,
    /// The service, so that a holder that no longer has the request can return the slot.
    pub service: String,
    /// What becomes of it.
    pub decision: SlotDecision,
    /// Whether a retry was taken for it from the budget over all entry processes.
    #[serde(default)]
    pub has_retry: bool,
    /// Whether a retry is left there.
    #[serde(default)]
    pub retries_left: bool,
}

impl SlotGrant {
    /// The reply of a process that can't tell.
    #[must_use]
    pub fn unknown(request: SlotRequest) -> Self {
        Self {
            request: request.request,
            service: request.service,
            decision: SlotDecision::Unknown,
            has_retry: false,
            retries_left: false,
        }
    }
}

/// Result of a [`SlotRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotDecision {
    /// It has a slot of this endpoint.
    Endpoint(u64),
    /// It waits, and a grant will follow.
    Wait,
    /// It can't begin in time.
    Refuse {
        /// When the caller should return.
        retry_after: time::Millis,
    },
    /// The coordinator knows no endpoint that the request could go to.
    Unknown,
}

/// Ends a request at the coordinator: returns its slot, or cancels its wait.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRelease {
    /// The request.
    pub request: u64,
    /// The service.
    pub service: String,
    /// What the holder has seen of the endpoint, if the request was sent.
    #[serde(default)]
    pub seen: Option<SlotOutcome>,
}

/// What an attempt has shown of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotOutcome {
    /// The endpoint, by [`instance_key`](entry_peers::instance_key).
    pub endpoint: u64,
    /// Its response time, if it responded.
    #[serde(default)]
    pub took: Option<time::Millis>,
    /// Its slowdown in percent, if it reported one.
    #[serde(default)]
    pub slowdown_percent: Option<u32>,
    /// Its fault, if it had one.
    #[serde(default)]
    pub fault: Option<entry_peers::EngineFault>,
}
