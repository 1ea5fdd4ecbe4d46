//! Carries the messages of the queues that entry processes share: queries and cancellations to the coordinator in this
//! process, and its replies to the holders of requests.

use std::{
    net,
    sync::{self, atomic},
    thread, time as std_time,
};

use sageshed_fleet::{chooser, dialect, entry_peers as wire, queue_coordinator};
use sageshed_types::time;

use super::{routing_queries, state};

/// How long the serving thread sleeps while no request waits, unless one joins.
const IDLE_INTERVAL: std_time::Duration = std_time::Duration::from_millis(500);

/// Handles a routing query of the process `from`, this one included. Returns whether the query was for a queue, and is
/// answered.
pub(super) fn handle_query<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    from: net::Ipv4Addr,
    query: &wire::RoutingQuery,
) -> bool {
    if !shared.settings.shared_queue.enabled || query.queue.is_none() {
        return false;
    }
    let now = shared.clock.now();
    let (was_busy, replies) = shared.with_core(|core| {
        let was_busy = core.queues.is_busy();
        let query = query.clone();
        let replies = core.queues.query(now, from, query, &mut core.chooser);
        (was_busy, replies)
    });
    if !was_busy && let Some(server) = shared.queue_server.get() {
        server.unpark();
    }
    let is_answered = replies.is_some();
    deliver(shared, replies.unwrap_or_default());
    is_answered
}

/// Handles the cancellation of a request by the process `from`, this one included. Without the shared queue there is
/// nothing to cancel, and nothing would remove the record of it.
pub(super) fn handle_cancel<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    from: net::Ipv4Addr,
    cancellation: wire::Cancellation,
) {
    if !shared.settings.shared_queue.enabled {
        return;
    }
    let now = shared.clock.now();
    let request = cancellation.request;
    let replies =
        shared.with_core(|core| core.queues.cancel(now, from, request, &mut core.chooser));
    deliver(shared, replies);
}

/// Records that the process `from` has sent the request whose grant an observation confirms, and serves the requests
/// that wait for its engine if that `has_room`.
pub(super) fn apply_observation<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    from: net::Ipv4Addr,
    observation: &wire::EngineObservation,
    has_room: bool,
) {
    let now = shared.clock.now();
    let replies = shared.with_core(|core| {
        if let Some(request) = observation.granted {
            core.queues.record_sent(now, from, request);
        }
        let engines = has_room.then_some(observation.engine);
        grants_at(core, now, engines.as_slice())
    });
    deliver(shared, replies);
}

/// Serves the requests that wait in queues of this process for `engines`, which have changed.
pub(super) fn serve_engines<D: dialect::Dialect>(shared: &state::Shared<D>, engines: &[u64]) {
    if !shared.settings.shared_queue.enabled {
        return;
    }
    let now = shared.clock.now();
    let replies = shared.with_core(|core| grants_at(core, now, engines));
    deliver(shared, replies);
}

/// Serves the requests that wait in queues of this process for the engine of `pick`, which has less pending.
pub(super) fn serve_pick<D: dialect::Dialect>(shared: &state::Shared<D>, pick: &chooser::Pick) {
    if !shared.settings.shared_queue.enabled {
        return;
    }
    let now = shared.clock.now();
    let replies = shared.with_core(|core| {
        let engine = core.chooser.instance_key(pick.key);
        grants_at(core, now, engine.as_slice())
    });
    deliver(shared, replies);
}

fn grants_at(
    core: &mut state::Core,
    now: time::Instant,
    engines: &[u64],
) -> Vec<queue_coordinator::Outgoing> {
    let mut replies = Vec::new();
    for engine in engines {
        if core.queues.is_empty() {
            break;
        }
        replies.extend(
            core.queues
                .endpoint_changed(now, *engine, &mut core.chooser),
        );
    }
    replies
}

/// Serves all requests that wait in queues of this process, and removes those whose time is over.
fn serve<D: dialect::Dialect>(shared: &state::Shared<D>) {
    if !shared.settings.shared_queue.enabled {
        return;
    }
    let now = shared.clock.now();
    let replies = shared.with_core(|core| {
        let is_busy = core.queues.is_busy();
        is_busy.then(|| core.queues.advance(now, &mut core.chooser))
    });
    deliver(shared, replies.unwrap_or_default());
}

/// Sends `datagram` to an entry process, or handles it here if that is this one.
pub(super) fn send<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    to: net::Ipv4Addr,
    datagram: wire::Datagram,
) {
    match datagram {
        wire::Datagram::RoutingQuery(query) if to == shared.settings.discovery.ip => {
            routing_queries::answer(shared, to, &query);
        }
        wire::Datagram::Cancel(cancellation) if to == shared.settings.discovery.ip => {
            handle_cancel(shared, to, cancellation);
        }
        datagram => {
            if let Some(peers) = &shared.entry_peers {
                peers.send(&datagram, &[to]);
            }
        }
    }
}

fn deliver<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    replies: Vec<queue_coordinator::Outgoing>,
) {
    let Some(peers) = &shared.entry_peers else {
        return;
    };
    for queue_coordinator::Outgoing { to, reply } in replies {
        if to == shared.settings.discovery.ip {
            peers.deliver_routing(to, reply);
        } else {
            peers.send(&wire::Datagram::RoutingReply(reply), &[to]);
        }
    }
}

/// Starts the thread that serves queues at regular intervals while requests wait.
pub(super) fn start<D: dialect::Dialect>(shared: &sync::Arc<state::Shared<D>>) {
    if !shared.settings.shared_queue.enabled {
        return;
    }
    let serving = sync::Arc::clone(shared);
    let spawned = thread::Builder::new()
        .name("queues".to_owned())
        .spawn(move || {
            while !serving.ending.load(atomic::Ordering::Relaxed) {
                let is_busy = serving.with_core(|core| core.queues.is_busy());
                if is_busy {
                    thread::sleep(queue_coordinator::SERVE_INTERVAL.into());
                    serve(&serving);
                } else {
                    thread::park_timeout(IDLE_INTERVAL);
                }
            }
        });
    match spawned {
        Ok(handle) => drop(shared.queue_server.set(handle.thread().clone())),
        Err(e) => {
            ::log::error!(error:% = e; "gateway: cannot start the thread that serves queues");
        }
    }
}
