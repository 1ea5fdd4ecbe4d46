//! Heartbeats with the other processes: one thread for each.
//!
//! To a control process go the reports that came first-hand, and the demand; from it come the lease
//! and newer configuration. From another entry process come its first-hand reports, and newer
//! configuration if it has held some for a while that has not reached this process.
//!
//! Each call is short, and one that runs out of time loses its connection: a connection that went
//! silent is found by the next heartbeat, not by waiting on it.

use std::{net, sync as std_sync, thread, time};

use sageshed_fleet::quarantine;
use sageshed_types::{messages, rules, time as types_time};

use super::shared;
use crate::{directory, locks};

/// How long one heartbeat may take: well within a lease.
const CALL_LIMIT: time::Duration = time::Duration::from_millis(700);

/// Heartbeats to a control process for each one to another entry process. There are more of those,
/// and nothing that they bring is as urgent as a lease.
pub const CONTROL_PER_ENTRY: u64 = 2;

/// The process at the other end.
#[derive(Debug, Clone)]
struct Peer {
    vm: String,
    role: messages::Role,
    address: String,
}

/// Where this process and a peer stand with each other.
#[derive(Debug, Default)]
struct Marks {
    /// How far this process has read the peer's directory.
    read: messages::DirectoryCursor,
    /// How far the peer has confirmed this process's directory.
    sent: messages::DirectoryCursor,
    /// What each knows of the crashes that the other remembers.
    crashes: quarantine::PeerSync,
}

/// Starts a thread for each other process in the settings, and for this VM's control process.
pub fn start(
    shared: &std_sync::Arc<shared::Shared>,
    client: &sageshed_vms::Client,
    own: net::SocketAddr,
) {
    for peer in peers(shared) {
        let (shared, client) = (std_sync::Arc::clone(shared), client.clone());
        let name = format!("sync-{}", peer.vm);
        let own = own.to_string();
        let run = move || run(&shared, &client, &own, &peer);
        if let Err(e) = thread::Builder::new().name(name).spawn(run) {
            log::error!(error:% = e; "entry: no thread for heartbeats");
        }
    }
}

fn peers(shared: &shared::Shared) -> Vec<Peer> {
    let peer = |vm: &str, role, address: net::SocketAddr| Peer {
        vm: vm.to_owned(),
        role,
        address: address.to_string(),
    };
    let mut peers = Vec::new();
    for vm in &shared.settings.common.vms {
        if let Some(address) = vm.control {
            peers.push(peer(&vm.name, messages::Role::Control, address));
        }
        if let Some(address) = vm.entry
            && vm.name != shared.process.vm
        {
            peers.push(peer(&vm.name, messages::Role::Entry, address));
        }
    }
    peers
}

fn run(shared: &shared::Shared, client: &sageshed_vms::Client, own: &str, peer: &Peer) {
    let interval: time::Duration = shared.settings.common.lease.sync_interval_ms.into();
    let interval = match peer.role {
        messages::Role::Control => interval,
        messages::Role::Entry => interval * u32::try_from(CONTROL_PER_ENTRY).unwrap_or(1),
    };
    let mut marks = Marks::default();
    let mut reachable = true;
    while !shared.stage.stops() {
        let begun = time::Instant::now();
        let result = beat(shared, client, own, peer, &mut marks);
        if let Err(e) = &result
            && reachable
        {
            log::warn!(vm = peer.vm.as_str(), role:? = peer.role, error:% = e; "entry: peer is silent");
        } else if result.is_ok() && !reachable {
            log::info!(vm = peer.vm.as_str(), role:? = peer.role; "entry: peer is heard again");
        }
        reachable = result.is_ok();
        thread::sleep(interval.saturating_sub(begun.elapsed()));
    }
}

fn beat(
    shared: &shared::Shared,
    client: &sageshed_vms::Client,
    own: &str,
    peer: &Peer,
    marks: &mut Marks,
) -> Result<(), sageshed_vms::CallError> {
    let sent = shared.clock.now();
    let to_control = peer.role == messages::Role::Control;
    let (reports, mark) = if to_control {
        locks::lock(&shared.directory).since(sent, marks.sent)
    } else {
        (Vec::new(), marks.sent)
    };
    let demand = if to_control {
        take_demand(shared, &peer.vm)
    } else {
        Vec::new()
    };
    let (crashes_mark, crashes) = {
        let known = locks::lock(&shared.crashes);
        let all = quarantine::SyncScope::All;
        let news = known.quarantine.since(sent, marks.crashes.sent, all);
        (known.quarantine.cursor(), news)
    };
    let req = messages::SyncReq {
        from: shared.process.clone(),
        address: own.to_owned(),
        revision: asked_from(shared),
        directory_seen: marks.read,
        reports,
        demand,
        draining: shared.stage.leaves(),
        ready: shared.is_ready(),
        crashes_known: Some(marks.crashes.received),
        crashes,
    };
    let resp = client.call(&peer.address, messages::paths::SYNC, &req, CALL_LIMIT);
    let resp: messages::SyncResp = match resp {
        Ok(resp) => resp,
        Err(e) => {
            put_back_demand(shared, &peer.vm, req.demand);
            return Err(e);
        }
    };
    marks.sent = mark;
    let peer_mark = resp.crashes_mark.unwrap_or_default();
    marks.crashes.record_exchange(crashes_mark, peer_mark);
    locks::lock(&shared.crashes).take(shared.clock.now(), &resp.crashes);
    marks.read = resp.directory;
    take(shared, peer, sent, resp);
    Ok(())
}

/// The revision that is newest here; zero if the whole is wanted.
fn asked_from(shared: &shared::Shared) -> rules::Revision {
    let config = locks::lock(&shared.config);
    if config.wants_whole {
        rules::Revision::default()
    } else {
        config.rules.revision
    }
}

fn take_demand(shared: &shared::Shared, vm: &str) -> Vec<messages::Demand> {
    let mut demand = locks::lock(&shared.demand);
    demand.get_mut(vm).map(std::mem::take).unwrap_or_default()
}

/// A heartbeat that got no answer may have been taken all the same, and its demand is then told
/// twice. That raises an estimate for a moment; losing it would hide a burst.
fn put_back_demand(shared: &shared::Shared, vm: &str, demand: Vec<messages::Demand>) {
    let mut by_vm = locks::lock(&shared.demand);
    let pending = by_vm.entry(vm.to_owned()).or_default();
    for old in demand {
        match pending.iter_mut().find(|known| known.model == old.model) {
            Some(known) => {
                known.arrived = known.arrived.saturating_add(old.arrived);
                known.unserved = known.unserved.saturating_add(old.unserved);
            }
            None => pending.push(old),
        }
    }
}

/// Takes an answer in. The configuration comes before the lease: with the lease first, a request
/// decided in between would be refused as behind for nothing.
fn take(shared: &shared::Shared, peer: &Peer, sent: types_time::Instant, resp: messages::SyncResp) {
    for report in resp.reports {
        if shared.take_report(report, false) == directory::Offer::Full {
            log::error!("entry: directory of endpoints is full");
        }
    }
    if let Some(update) = resp.config {
        shared.take_config(update);
    }
    let now = shared.clock.now();
    let Some(part) = resp.control else {
        let (hears_leader, was_confirmed) = (resp.hears_leader, resp.was_confirmed);
        locks::lock(&shared.freshness).heard(now, &peer.vm, hears_leader, was_confirmed);
        return;
    };
    if part.leader.as_deref() == Some(peer.vm.as_str()) {
        take_from_leader(shared, peer, &part);
    }
    locks::lock(&shared.freshness).granted(sent, now, &peer.vm, &part);
}

/// Takes in what only the leader's word counts for.
///
/// A voter that is cut off from it knows nothing of a drain that came since; with each one's word
/// taken as it comes, `/readyz` would change with every heartbeat, and the balancer would go on
/// sending callers here.
fn take_from_leader(shared: &shared::Shared, peer: &Peer, part: &messages::LeaseInfo) {
    shared.claims.note_leader(&peer.vm);
    let drained = part.draining.contains(&shared.process.vm);
    let flag = &shared.stage.drained;
    flag.store(drained, std_sync::atomic::Ordering::Relaxed);
}
