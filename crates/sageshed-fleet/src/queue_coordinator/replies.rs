//! The replies of a coordinator.

use std::net;

use sageshed_types::time;

use super::{Place, QueuedQuery};
use crate::entry_peers::{RoutingDecision, RoutingReply};

/// A reply to send to the holder of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outgoing {
    /// The holder.
    pub to: net::Ipv4Addr,
    /// The reply.
    pub reply: RoutingReply,
}

pub(super) fn decision_of(place: Place) -> RoutingDecision {
    RoutingDecision::Engine {
        engine: place.endpoint,
        estimate: place.estimate,
        cached_tokens: place.cached_tokens,
    }
}

/// A reply to the holder of a request that has waited since its query was received.
pub(super) fn outgoing(
    now: time::Instant,
    to: net::Ipv4Addr,
    queued: &QueuedQuery,
    decision: RoutingDecision,
) -> Outgoing {
    let waited = now.since(queued.received_at);
    let sent_at = queued.query.queue.map(|it| it.sent_at);
    Outgoing {
        to,
        reply: RoutingReply {
            id: queued.query.id,
            decision,
            decided_at: sent_at.map(|it| it + waited),
        },
    }
}
