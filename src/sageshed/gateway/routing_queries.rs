//! Routing queries: asks the coordinators of models where to send requests, and answers such queries as coordinator.

use std::net;

use sageshed_fleet::{chooser, dialect, entry_peers as wire};

use super::{queues, state};

/// The most parts of a prompt that a routing query contains. Later parts count as not cached.
const MAX_PROMPT_PARTS: usize = 8;

/// Decides, as coordinator of its model, where the entry process `from` sends a request.
pub(super) fn answer<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    from: net::Ipv4Addr,
    query: &wire::RoutingQuery,
) {
    if queues::handle_query(shared, from, query) {
        return;
    }
    let now = shared.clock.now();
    let decision = shared.with_core(|core| core.chooser.route_query(now, from, query));
    let reply = wire::RoutingReply {
        id: query.id,
        decision,
        decided_at: None,
    };
    let Some(peers) = &shared.entry_peers else {
        return;
    };
    if from == shared.settings.discovery.ip {
        peers.deliver_routing(from, reply);
    } else {
        peers.send(&wire::Datagram::RoutingReply(reply), &[from]);
    }
}

/// Asks the coordinator of the request's model where to send the request. None if the model has no coordinator or it
/// does not reply.
pub(super) fn query_coordinator<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    request: u64,
    query: &chooser::EndpointQuery<'_>,
) -> Option<wire::RoutingDecision> {
    let peers = shared.entry_peers.as_ref()?;
    let wanted = query.wanted?;
    let coordinators = shared.with_core(|core| core.chooser.coordinators(&wanted.model));
    if coordinators.is_empty() {
        return None;
    }
    peers.query_routing(
        shared.clock.now(),
        &coordinators,
        message(shared, request, query)?,
    )
}

/// The message that asks where to send a request. None if it is for no model.
pub(super) fn message<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    request: u64,
    query: &chooser::EndpointQuery<'_>,
) -> Option<wire::RoutingQuery> {
    let wanted = query.wanted?;
    let now = shared.clock.now();
    let tried = shared.with_core(|core| {
        // Sent as tried endpoints, since the coordinator does not know which ones are closed for this process only.
        let closed = core.chooser.closed_endpoints(now, query.service);
        let tried = query.tried.iter().chain(&closed);
        tried
            .filter_map(|key| core.chooser.instance_key(*key))
            .collect()
    });
    let parts = query.parts.iter().take(MAX_PROMPT_PARTS);
    Some(wire::RoutingQuery {
        id: 0,
        request,
        service: query.service.to_owned(),
        model: wanted.model.clone(),
        adapter: wanted.adapter.clone(),
        parts: parts.map(|it| (it.id, it.tokens)).collect(),
        prompt_tokens: query.prompt_tokens,
        tried,
        time_left: query.time_left,
        patience: query.patience,
        time_until_late: query.time_until_late,
        may_be_late: query.may_be_late,
        software: query.began.version(),
        queue: None,
    })
}
