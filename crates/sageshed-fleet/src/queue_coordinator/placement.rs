//! What the requests of a queue wait for, and how they are placed on endpoints.

use std::net;

use sageshed_types::time;
use serde::{Deserialize, Serialize};

use crate::entry_peers::RoutingQuery;

/// What the requests of one queue wait for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueueKey {
    /// An engine that holds this model.
    Model(String),
    /// A slot of an endpoint of this plain service.
    Service(String),
}

impl QueueKey {
    /// The queue that a query is for: that of its service if it names no model.
    pub(super) fn of(query: &RoutingQuery) -> Self {
        if query.model.is_empty() {
            Self::Service(query.service.clone())
        } else {
            Self::Model(query.model.clone())
        }
    }

    /// The name of the model or service.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Model(name) | Self::Service(name) => name,
        }
    }
}

/// A query that waits, and when it was received.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedQuery {
    /// The query by which the request joined.
    pub query: RoutingQuery,
    /// When it arrived.
    pub received_at: time::Instant,
}

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// The endpoint, by [`crate::entry_peers::instance_key`].
    pub endpoint: u64,
    /// Estimated time until the response begins.
    pub estimate: time::Millis,
    /// Tokens of the prompt that the endpoint caches.
    pub cached_tokens: u64,
}

/// Places requests on endpoints. The chooser places those of models on engines; the slots of plain services are
/// another implementation.
pub trait Placement {
    /// Whether an endpoint is known that could take a request once it has room.
    fn is_known(&self, now: time::Instant, query: &RoutingQuery) -> bool;
    /// Reserves a place for a request of the process `to`, if there is one now. The reservation ends with
    /// [`Self::release`], or after the time for which a grant is valid.
    fn place(
        &mut self,
        now: time::Instant,
        to: net::Ipv4Addr,
        queued: &QueuedQuery,
    ) -> Option<Place>;
    /// The engine or slot time that a request takes, in microseconds.
    fn work_us(&self, query: &RoutingQuery) -> u64;
    /// Ends the reservation of a place that is not used, or that is counted otherwise by now.
    fn release(&mut self, to: net::Ipv4Addr, request: u64, endpoint: u64);
    /// Whether requests of `queue` may go to `endpoint`.
    fn serves(&self, endpoint: u64, queue: &QueueKey) -> bool;
}
