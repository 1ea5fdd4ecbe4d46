//! Allowances that all entry processes spend together: asking their homes, and being one.

use std::{collections, net, sync, thread, time};

use sageshed_fleet::{allowance, config, dialect, workspaces};

use super::state;

/// Between two looks at the pots of this process: a part of [`allowance::COLLECT_INTERVAL`].
const REFILL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// The same where the configuration has no allowance.
const IDLE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The allowances of a configuration.
pub(super) fn terms(config: &config::FleetConfig) -> Vec<(allowance::Key, allowance::RateLimit)> {
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
pub(super) fn pots<D: dialect::Dialect>(shared: &state::Shared<D>) -> Vec<(String, f64)> {
    let Some(routing) = shared.routing() else {
        return Vec::new();
    };
    let pots: collections::HashMap<_, _> =
        shared.with_core(|core| core.allowances.buckets().collect());
    let all = routing
        .workspaces
        .iter()
        .flat_map(workspaces::Workspaces::iter);
    let left = all.filter_map(|workspace| {
        let left = pots.get(&allowance::Key::of_workspace(&workspace.name))?;
        Some((workspace.name.clone(), *left))
    });
    left.collect()
}

/// Asks the homes of an allowance for units. Returns how it ended.
pub(super) fn ask<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    draw: allowance::AcquireRequest,
) -> allowance::Next {
    let now = shared.clock.now();
    let (mut question, id) = shared.with_core(|core| {
        let book = &mut core.allowances;
        (book.acquisition(now, draw.of), book.next_id())
    });
    let draw = allowance::AcquireRequest { id, ..draw };
    let mut next = question.begin();
    while let allowance::Next::Ask(home, after) = next {
        thread::sleep(after.into());
        next = match put(shared, home, draw) {
            Some(answer) => question.replied(answer),
            None => unanswered(shared, &mut question),
        };
    }
    next
}

fn unanswered<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    question: &mut allowance::Acquisition,
) -> allowance::Next {
    let (next, lost) = question.timed_out();
    if let Some(home) = lost {
        ::log::debug!(home:% = home; "gateway: home of an allowance does not answer");
        let now = shared.clock.now();
        shared.with_core(|core| core.allowances.mark_unresponsive(now, home));
    }
    next
}

fn put<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    home: net::Ipv4Addr,
    question: allowance::AcquireRequest,
) -> Option<allowance::AcquireReply> {
    let own = shared.settings.discovery.ip;
    if home == own {
        return Some(draw(shared, own, &question));
    }
    shared.entry_peers.as_ref()?.draw(home, question)
}

/// Answers as the home of an allowance.
pub(super) fn draw<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    from: net::Ipv4Addr,
    question: &allowance::AcquireRequest,
) -> allowance::AcquireReply {
    let now = shared.clock.now();
    let reply = shared.with_core(|core| core.allowances.acquire(now, from, question));
    if let Some(peers) = &shared.entry_peers {
        peers.pull(reply.collection.into_iter().collect());
    }
    reply.reply
}

/// Gives units back that were taken and not used. A lost word costs them.
pub(super) fn give_back<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    of: allowance::Key,
    units: f64,
) {
    let now = shared.clock.now();
    let (mut question, id) = shared.with_core(|core| {
        let book = &mut core.allowances;
        (book.acquisition(now, of), book.next_id())
    });
    let word = allowance::AcquireRequest {
        id,
        of,
        amount: 0.0,
        returned: units,
        rank: 0,
        reported: None,
    };
    let allowance::Next::Ask(home, _) = question.begin() else {
        return;
    };
    let own = shared.settings.discovery.ip;
    if home == own {
        draw(shared, own, &word);
    } else if let Some(peers) = &shared.entry_peers {
        peers.give_back(home, word);
    }
}

/// Starts the thread that fills the pots of which this process is the home.
pub(super) fn start<D: dialect::Dialect>(shared: &sync::Arc<state::Shared<D>>) {
    let filling = sync::Arc::clone(shared);
    let spawned = thread::Builder::new()
        .name("allowances".to_owned())
        .spawn(move || {
            while !filling.is_stopping() {
                let now = filling.clock.now();
                let (has_any, pulls) = filling.with_core(|core| {
                    let book = &mut core.allowances;
                    (book.has_any(), book.tick(now))
                });
                if let Some(peers) = &filling.entry_peers {
                    peers.pull(pulls);
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
