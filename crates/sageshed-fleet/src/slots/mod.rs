//! Leases of the slots of a plain service's endpoints, kept by the coordinator of the service.
//!
//! An endpoint of a plain service queues a few requests beyond its slots and rejects any more. With some
//! thirty entry processes, none sees enough requests to know how full an endpoint is, and an endpoint that
//! slows down is overrun before the others have noticed. So the coordinator of the service grants each
//! request a slot of one endpoint, and the process that holds the request sends it there.
//!
//! [`coordinator`] is the coordinator's part and [`holder`] that of the process with the request. Both take
//! messages and the time and return what to send.

pub mod coordinator;
pub mod holder;
pub mod messages;

use std::collections;

use sageshed_types::time;

pub use self::{
    coordinator::SlotCoordinator,
    holder::{HolderStep, SlotWait},
    messages::{SlotAttempt, SlotDecision, SlotGrant, SlotRelease, SlotRequest},
};

/// Cost of sending to another availability zone, in milliseconds.
const CROSS_ZONE_MS: f64 = 4.0;

/// Cost of an endpoint whose slots are all but leased, in milliseconds. It exceeds [`CROSS_ZONE_MS`], so
/// that the endpoint of a busy zone is not filled while others are idle: it has to have room for requests
/// of processes that can't reach the coordinator.
const OCCUPANCY_MS: f64 = 10.0;

/// An endpoint has one lease beyond its slots for each so many slots. Between the end of a request and the
/// arrival of the next one, an endpoint waits for three datagrams and a request: with leases for its slots
/// alone, an endpoint whose requests take 30 ms loses an eighth of its capacity.
const SLOTS_PER_QUEUED: u32 = 3;

/// An endpoint that accepts requests, as the coordinator knows it at one moment.
#[derive(Debug, Clone, PartialEq)]
pub struct SlotEndpoint {
    /// Its key, by [`instance_key`](crate::entry_peers::instance_key).
    pub key: u64,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Where it stands.
    pub availability_zone: String,
    /// Estimated response time at its present speed with a penalty for its failures, in milliseconds.
    pub cost_ms: f64,
}

/// A slot that is leased to one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Key of the endpoint.
    pub endpoint: u64,
    /// When the lease began.
    pub since: time::Instant,
    /// When the lease ends unless it is released before.
    pub until: time::Instant,
}

/// The leases of one service.
#[derive(Debug, Default)]
pub struct SlotTable {
    leases: collections::HashMap<u64, Lease>,
    /// Requests with a lease, by its end.
    ends: collections::BTreeSet<(time::Instant, u64)>,
    /// Number of leased slots of each endpoint with any.
    leased: collections::HashMap<u64, u32>,
}

impl SlotEndpoint {
    /// How many requests have a lease there at once, at most.
    #[must_use]
    pub fn max_leases(&self) -> u32 {
        let queued = self.slots.div_ceil(SLOTS_PER_QUEUED);
        self.slots.saturating_add(queued)
    }
}

impl SlotTable {
    /// Leases a slot to `request`, in place of any that it has.
    pub fn lease(&mut self, request: u64, lease: Lease) {
        self.release(request);
        self.leases.insert(request, lease);
        self.ends.insert((lease.until, request));
        *self.leased.entry(lease.endpoint).or_default() += 1;
    }

    /// The lease of `request`.
    #[must_use]
    pub fn get(&self, request: u64) -> Option<Lease> {
        self.leases.get(&request).copied()
    }

    /// Ends the lease of `request`. Returns it, unless it has ended before.
    pub fn release(&mut self, request: u64) -> Option<Lease> {
        let lease = self.leases.remove(&request)?;
        self.ends.remove(&(lease.until, request));
        if let Some(count) = self.leased.get_mut(&lease.endpoint) {
            *count -= 1;
            if *count == 0 {
                self.leased.remove(&lease.endpoint);
            }
        }
        Some(lease)
    }

    /// Ends the leases that have expired. Returns how many there were.
    pub fn expire(&mut self, now: time::Instant) -> u64 {
        let mut count = 0;
        while let Some(&(until, request)) = self.ends.first()
            && until <= now
        {
            self.release(request);
            count += 1;
        }
        count
    }

    /// Number of leased slots of `endpoint`.
    #[must_use]
    pub fn leased(&self, endpoint: u64) -> u32 {
        self.leased.get(&endpoint).copied().unwrap_or(0)
    }

    /// Whether no slot is leased.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// The best endpoint with a free slot for a request from `availability_zone`, except those `tried`.
    #[must_use]
    pub fn choose(
        &self,
        endpoints: &[SlotEndpoint],
        availability_zone: &str,
        tried: &[u64],
    ) -> Option<u64> {
        let free = endpoints
            .iter()
            .filter(|it| self.leased(it.key) < it.max_leases() && !tried.contains(&it.key));
        let cost_ms = |it: &SlotEndpoint| {
            let is_far = it.availability_zone != availability_zone;
            let (leased, slots) = (f64::from(self.leased(it.key)), f64::from(it.slots));
            let ahead = (leased + 1.0 - slots).max(0.0) / slots;
            let far_ms = if is_far { CROSS_ZONE_MS } else { 0.0 };
            it.cost_ms * (1.0 + ahead) + far_ms + leased / slots * OCCUPANCY_MS
        };
        let best = free.min_by(|a, b| cost_ms(a).total_cmp(&cost_ms(b)).then(a.key.cmp(&b.key)));
        best.map(|it| it.key)
    }
}
