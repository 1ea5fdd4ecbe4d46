//! Acquires units of the allowances that all entry processes share, and serves such requests as a coordinator.
//!
//! An allowance is a rate limit over all entry processes together: the quota of a workspace, or the limit that an
//! endpoint reports. Its units are handed out by entry processes that act as its coordinators.

use std::{collections, net, sync, thread, time};

use sageshed_fleet::{allowance, config, dialect, workspaces};

use super::state;

/// The interval between two refills of the buckets of this process: a fraction of [`allowance::COLLECT_INTERVAL`].
const REFILL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// The interval between two checks for buckets while there are none.
const IDLE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The quotas of the workspaces of a configuration, as rate limits.
pub(super) fn limits(config: &config::FleetConfig) -> Vec<(allowance::Key, allowance::RateLimit)> {
    let workspaces = config.workspaces.iter().flat_map(|it| &it.all);
    let quota = |workspace: &config::Workspace| {
        let quota = workspace.quota?;
        let terms = allowance::RateLimit {
            per_s: quota.per_s,
            burst: quota.burst,
        };
        Some((allowance::Key::of_workspace(&workspace.name), terms))
    };
    workspaces.filter_map(quota).collect()
}

/// The units left of the quotas that this process coordinates, by workspace.
pub(super) fn quotas_left<D: dialect::Dialect>(shared: &state::Shared<D>) -> Vec<(String, f64)> {
    let Some(routing) = shared.routing() else {
        return Vec::new();
    };
    let buckets: collections::HashMap<_, _> =
        shared.with_core(|core| core.allowances.buckets().collect());
    let all = routing
        .workspaces
        .iter()
        .flat_map(workspaces::Workspaces::iter);
    let left = all.filter_map(|workspace| {
        let left = buckets.get(&allowance::Key::of_workspace(&workspace.name))?;
        Some((workspace.name.clone(), *left))
    });
    left.collect()
}

/// Acquires units of an allowance from its coordinators. Returns the final step: granted, over the limit or no
/// coordinator reachable.
pub(super) fn acquire<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    request: allowance::AcquireRequest,
) -> allowance::Next {
    let now = shared.clock.now();
    let (mut acquisition, id) = shared.with_core(|core| {
        let table = &mut core.allowances;
        (table.acquisition(now, request.of), table.next_id())
    });
    let request = allowance::AcquireRequest { id, ..request };
    let mut next = acquisition.begin();
    while let allowance::Next::Ask(coordinator, after) = next {
        thread::sleep(after.into());
        next = match acquire_from(shared, coordinator, request) {
            Some(answer) => acquisition.replied(answer),
            None => handle_timeout(shared, &mut acquisition),
        };
    }
    next
}

fn handle_timeout<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    acquisition: &mut allowance::Acquisition,
) -> allowance::Next {
    let (next, lost) = acquisition.timed_out();
    if let Some(coordinator) = lost {
        ::log::debug!(home:% = coordinator; "gateway: coordinator of an allowance does not reply");
        let now = shared.clock.now();
        shared.with_core(|core| core.allowances.mark_unresponsive(now, coordinator));
    }
    next
}

fn acquire_from<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    coordinator: net::Ipv4Addr,
    request: allowance::AcquireRequest,
) -> Option<allowance::AcquireReply> {
    let own = shared.settings.discovery.ip;
    if coordinator == own {
        return Some(serve_acquire(shared, own, &request));
    }
    shared
        .entry_peers
        .as_ref()?
        .acquire(shared.clock.now(), coordinator, request)
}

/// Serves a request for units as the coordinator of the allowance.
pub(super) fn serve_acquire<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    from: net::Ipv4Addr,
    request: &allowance::AcquireRequest,
) -> allowance::AcquireReply {
    let now = shared.clock.now();
    let reply = shared.with_core(|core| core.allowances.acquire(now, from, request));
    if let Some(peers) = &shared.entry_peers {
        peers.collect(reply.collection.into_iter().collect());
    }
    reply.reply
}

/// Returns unused units to the coordinator. They are lost if the datagram is lost.
pub(super) fn release<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    of: allowance::Key,
    units: f64,
) {
    let now = shared.clock.now();
    let (mut acquisition, id) = shared.with_core(|core| {
        let table = &mut core.allowances;
        (table.acquisition(now, of), table.next_id())
    });
    let request = allowance::AcquireRequest {
        id,
        of,
        amount: 0.0,
        returned: units,
        rank: 0,
        reported: None,
    };
    let allowance::Next::Ask(coordinator, _) = acquisition.begin() else {
        return;
    };
    let own = shared.settings.discovery.ip;
    if coordinator == own {
        serve_acquire(shared, own, &request);
    } else if let Some(peers) = &shared.entry_peers {
        peers.release(coordinator, request);
    }
}

/// Starts the thread that refills the buckets that this process coordinates.
pub(super) fn start<D: dialect::Dialect>(shared: &sync::Arc<state::Shared<D>>) {
    let refilled = sync::Arc::clone(shared);
    let spawned = thread::Builder::new()
        .name("allowances".to_owned())
        .spawn(move || {
            loop {
                let now = refilled.clock.now();
                let (has_any, requests) = refilled.with_core(|core| {
                    let table = &mut core.allowances;
                    (table.has_any(), table.tick(now))
                });
                if let Some(peers) = &refilled.entry_peers {
                    peers.collect(requests);
                }
                thread::sleep(if has_any {
                    REFILL_INTERVAL
                } else {
                    IDLE_INTERVAL
                });
            }
        });
    if let Err(e) = spawned {
        ::log::error!(error:% = e; "gateway: cannot start the thread for allowances");
    }
}
