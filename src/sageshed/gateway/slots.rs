//! Slots of plain services: the messages between this process and the coordinators of the services, of which this
//! process may be one.

use std::{
    collections, net,
    sync::{self, atomic, mpsc},
    thread, time as std_time,
};

use sageshed_fleet::{dialect, entry_peers as wire, slots};

use super::state;
use crate::locks;

/// The interval at which a coordinator ends what has expired and grants what has become free.
const TICK_INTERVAL: std_time::Duration = std_time::Duration::from_millis(20);

/// The interval between two checks for requests while there are none.
const IDLE_INTERVAL: std_time::Duration = std_time::Duration::from_millis(200);

/// How many releases are repeated with the next request for a slot, and for how long. A release that is lost would
/// otherwise block a slot until the lease ends.
const MAX_REPEATED_RELEASES: usize = 4;
const RELEASE_REPEAT_PERIOD: std_time::Duration = std_time::Duration::from_secs(1);

/// The most releases that are remembered, over all coordinators.
const MAX_RELEASES: usize = 64;

/// A decision, with the coordinator that made it.
pub(super) type Decision = (net::Ipv4Addr, slots::SlotGrant);

/// A request of this process that a coordinator knows.
#[derive(Debug)]
enum SlotUse {
    /// It waits for a decision.
    Waits(mpsc::Sender<Decision>),
    /// It has the slot that this coordinator granted.
    HasSlot(net::Ipv4Addr),
}

/// The requests of this process that wait for slots or have one.
#[derive(Debug, Default)]
pub struct SlotClient {
    next_id: atomic::AtomicU64,
    requests: sync::Mutex<collections::HashMap<u64, SlotUse>>,
    /// The latest releases, with the coordinators that they were sent to.
    releases: sync::Mutex<collections::VecDeque<(std_time::Instant, net::Ipv4Addr, u64)>>,
    /// Number of attempts that got a slot from a coordinator.
    pub granted: atomic::AtomicU64,
    /// Number of requests that a coordinator refused.
    pub refused: atomic::AtomicU64,
    /// How often coordinators were asked and this process decided. A request that waits for its share asks again.
    pub local: atomic::AtomicU64,
}

impl SlotClient {
    /// Registers an attempt that will ask for a slot. Returns its id, which differs from those of all other processes
    /// and of earlier starts of this one, and where decisions arrive.
    pub(super) fn register(
        &self,
        own: net::Ipv4Addr,
        started: u64,
    ) -> (u64, mpsc::Receiver<Decision>) {
        let number = self.next_id.fetch_add(1, atomic::Ordering::Relaxed);
        let id = wire::hash(&(own, started, number));
        let (tx, rx) = mpsc::channel();
        locks::lock(&self.requests).insert(id, SlotUse::Waits(tx));
        (id, rx)
    }

    /// Records that the attempt has the slot that `coordinator` granted.
    pub(super) fn set_granted(&self, id: u64, coordinator: net::Ipv4Addr) {
        locks::lock(&self.requests).insert(id, SlotUse::HasSlot(coordinator));
    }

    /// Forgets an attempt whose wait has ended without a slot, or whose slot is returned. Grants that arrive later are
    /// returned.
    pub(super) fn remove(&self, id: u64) {
        locks::lock(&self.requests).remove(&id);
    }

    /// Passes a decision to the request that waits for it. Returns whether a slot was granted that is not used.
    fn deliver(&self, from: net::Ipv4Addr, grant: &slots::SlotGrant) -> bool {
        let requests = locks::lock(&self.requests);
        let is_used = match requests.get(&grant.request) {
            Some(SlotUse::Waits(tx)) => tx.send((from, grant.clone())).is_ok(),
            Some(SlotUse::HasSlot(by)) => *by == from,
            None => false,
        };
        !is_used && matches!(grant.decision, slots::SlotDecision::Endpoint(_))
    }

    /// The latest releases sent to `coordinator`.
    fn latest_releases(&self, coordinator: net::Ipv4Addr) -> Vec<u64> {
        let releases = locks::lock(&self.releases);
        let latest = releases.iter().rev();
        latest
            .filter(|(at, to, _)| *to == coordinator && at.elapsed() < RELEASE_REPEAT_PERIOD)
            .take(MAX_REPEATED_RELEASES)
            .map(|(_, _, id)| *id)
            .collect()
    }

    fn record_release(&self, coordinator: net::Ipv4Addr, id: u64) {
        let mut releases = locks::lock(&self.releases);
        if releases.len() == MAX_RELEASES {
            releases.pop_front();
        }
        releases.push_back((std_time::Instant::now(), coordinator, id));
    }
}

/// Asks `coordinator` for a slot.
pub(super) fn request<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    coordinator: net::Ipv4Addr,
    mut request: slots::SlotRequest,
) {
    request.released = shared.slots.latest_releases(coordinator);
    if coordinator == shared.settings.discovery.ip {
        serve_request(shared, coordinator, request);
    } else if let Some(peers) = &shared.entry_peers {
        peers.begin_query(shared.clock.now(), request.request);
        peers.send(&wire::Datagram::SlotRequest(request), &[coordinator]);
    }
}

/// Tells `coordinators` that a request has ended.
pub(super) fn release<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    coordinators: &[net::Ipv4Addr],
    release: &slots::SlotRelease,
) {
    for coordinator in coordinators {
        shared.slots.record_release(*coordinator, release.request);
        if *coordinator == shared.settings.discovery.ip {
            serve_release(shared, *coordinator, release);
        } else if let Some(peers) = &shared.entry_peers {
            let datagram = wire::Datagram::SlotRelease(release.clone());
            peers.send(&datagram, &[*coordinator]);
        }
    }
}

/// Handles a request for a slot as the coordinator of its service.
pub(super) fn serve_request<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    from: net::Ipv4Addr,
    request: slots::SlotRequest,
) {
    let now = shared.clock.now();
    let replies = if shared.settings.shared_queue.enabled {
        shared.with_core(|core| {
            let endpoints = core.chooser.slot_endpoints(now, &request.service);
            core.slots.request(now, from, request, &endpoints)
        })
    } else {
        vec![(from, slots::SlotGrant::unknown(request))]
    };
    reply(shared, replies);
}

/// Handles the end of a request as the coordinator of its service.
pub(super) fn serve_release<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    from: net::Ipv4Addr,
    release: &slots::SlotRelease,
) {
    let now = shared.clock.now();
    // What this process has seen itself is in its chooser already.
    let is_own = from == shared.settings.discovery.ip;
    let replies = shared.with_core(|core| {
        if let Some(seen) = release.seen.as_ref().filter(|_| !is_own) {
            core.chooser.apply_slot_outcome(now, from, seen);
        }
        let endpoints = core.chooser.slot_endpoints(now, &release.service);
        core.slots.release(now, release, &endpoints)
    });
    reply(shared, replies);
}

/// Handles a coordinator's decision. A slot that no request here uses is returned. The request may have a slot of
/// another coordinator, so it stays registered.
pub(super) fn handle_grant<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    from: net::Ipv4Addr,
    grant: slots::SlotGrant,
) {
    if shared.slots.deliver(from, &grant) {
        let unused = slots::SlotRelease {
            request: grant.request,
            service: grant.service,
            seen: None,
        };
        release(shared, &[from], &unused);
    }
}

fn reply<D: dialect::Dialect>(shared: &state::Shared<D>, replies: slots::coordinator::Replies) {
    let own = shared.settings.discovery.ip;
    for (holder, grant) in replies {
        if holder == own {
            handle_grant(shared, own, grant);
        } else if let Some(peers) = &shared.entry_peers {
            peers.send(&wire::Datagram::SlotGrant(grant), &[holder]);
        }
    }
}

/// Starts the thread that grants what has become free, if slots are shared.
pub(super) fn start<D: dialect::Dialect>(shared: &sync::Arc<state::Shared<D>>) {
    if !shared.settings.shared_queue.enabled {
        return;
    }
    let ticking = sync::Arc::clone(shared);
    let spawned = thread::Builder::new()
        .name("slots".to_owned())
        .spawn(move || {
            loop {
                let now = ticking.clock.now();
                let (replies, is_active) = ticking.with_core(|core| {
                    let state::Core { slots, chooser, .. } = core;
                    let replies = slots.tick(now, |it| chooser.slot_endpoints(now, it));
                    (replies, slots.is_active())
                });
                reply(&ticking, replies);
                thread::sleep(if is_active {
                    TICK_INTERVAL
                } else {
                    IDLE_INTERVAL
                });
            }
        });
    if let Err(e) = spawned {
        ::log::error!(error:% = e; "gateway: cannot start the thread for slots");
    }
}
