//! Allowances that all entry processes spend together: asking their homes, and being one.

use std::{collections, net, sync, thread, time};

use sageshed_fleet::{allowance, config, dialect, workspaces};

use super::state;

/// Between two looks at the buckets of this process: a part of [`allowance::COLLECT_INTERVAL`].
const REFILL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// The same where the configuration has no allowance.
const IDLE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The allowances of a configuration.
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

/// What is left of the quotas that this process keeps, by workspace.
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

/// Asks the homes of an allowance for units. Returns how it ended.
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
        ::log::debug!(home:% = coordinator; "gateway: coordinator of an allowance does not answer");
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
    shared.entry_peers.as_ref()?.acquire(coordinator, request)
}

/// Answers as the coordinator of an allowance.
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

/// Gives units back that were taken and not used. A lost word costs them.
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

/// Starts the thread that fills the buckets of which this process is the coordinator.
pub(super) fn start<D: dialect::Dialect>(shared: &sync::Arc<state::Shared<D>>) {
    let refilled = sync::Arc::clone(shared);
    let spawned = thread::Builder::new()
        .name("allowances".to_owned())
        .spawn(move || {
            while !refilled.is_stopping() {
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
        ::log::error!(error:% = e; "gateway: no thread for allowances");
    }
}
