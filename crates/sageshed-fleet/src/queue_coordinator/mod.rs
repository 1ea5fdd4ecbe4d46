//! The queues that a process keeps as the coordinator of models, and the grants that it gives from them.
//!
//! A request joins by its routing query. It is granted an endpoint as soon as the [`Placement`] has one for it, in the
//! order of the [`SharedQueue`](shared_queue::SharedQueue). The grant is sent to the holder once; the holder repeats
//! its query, and receives the same grant again while it is valid. A grant that no observation of the holder follows
//! expires, and what it has reserved goes to the next request.
//!
//! Nothing here is stored. A coordinator that starts with no queue is filled by the repeated queries of holders.

mod placement;
mod replies;
mod requests;
mod status;

use std::{collections, net};

use sageshed_types::time;

pub use self::{
    placement::{Place, Placement, QueueKey, QueuedQuery},
    replies::Outgoing,
    status::{Counters, QueueStatus},
};
use self::{
    replies::{decision_of, outgoing},
    requests::{FinishedRequests, Grant, Request},
};
use crate::{
    entry_peers::{QueueMembership, RoutingDecision, RoutingQuery, RoutingReply},
    queue_holder::GRANT_TTL,
    shared_queue::{self, JoinOutcome, Removal, SharedQueue, Waiting},
};

/// The most requests in one queue. With under one kilobyte each, a full queue takes 4 MB.
pub const MAX_QUEUE_LENGTH: usize = 4_096;

/// The most requests in all queues of a process, whose memory may be 160 MB.
pub const MAX_WAITING: usize = 8_192;

/// How long a queue without requests is kept, for its drain rate, the credit of its workspaces and its reservations.
const IDLE_QUEUE_TTL: time::Millis = time::Millis(30_000);

/// The interval at which queues are served while requests wait.
pub const SERVE_INTERVAL: time::Millis = time::Millis(20);

#[derive(Debug)]
struct Queue {
    waiting: SharedQueue<()>,
    used_at: time::Instant,
}

/// The queues of one process.
#[derive(Debug)]
pub struct QueueCoordinator {
    policy: shared_queue::QueuePolicy,
    queues: collections::HashMap<QueueKey, Queue>,
    /// All waiting requests.
    requests: collections::HashMap<u64, Request>,
    grants: collections::HashMap<u64, Grant>,
    finished: FinishedRequests,
    counters: Counters,
}

impl QueueCoordinator {
    /// Creates a coordinator without queues.
    #[must_use]
    pub fn new(policy: shared_queue::QueuePolicy) -> Self {
        Self {
            policy,
            queues: collections::HashMap::new(),
            requests: collections::HashMap::new(),
            grants: collections::HashMap::new(),
            finished: FinishedRequests::default(),
            counters: Counters::default(),
        }
    }

    /// Handles a query of the process `from` that joins a queue, or repeats to do so. Returns the replies to send, with
    /// those to other holders that it has caused. None if the query has to be answered without a queue.
    pub fn query<P: Placement>(
        &mut self,
        now: time::Instant,
        from: net::Ipv4Addr,
        query: RoutingQuery,
        placement: &mut P,
    ) -> Option<Vec<Outgoing>> {
        let membership = query.queue?;
        let (request, id) = (query.request, query.id);
        let reply = |decision| Outgoing {
            to: from,
            reply: RoutingReply {
                id,
                decision,
                decided_at: Some(membership.sent_at),
            },
        };
        if self.finished.is_outdated(request, membership.sent_at) {
            return Some(Vec::new());
        }
        if let Some(retry_after) = self.finished.refused(now, request) {
            // The refusal was lost, or this repeat has crossed it.
            return Some(vec![reply(RoutingDecision::Refuse { retry_after })]);
        }
        self.expire_grants(now, placement);
        if let Some(grant) = self.grants.get_mut(&request).filter(|it| it.to == from) {
            grant.last_query = grant.last_query.max(membership.sent_at);
            // The grant may have been lost. It is not valid for longer than the first time it was sent.
            let age = now.since(grant.at);
            let mut again = reply(decision_of(grant.place));
            again.reply.decided_at =
                Some(time::Instant(membership.sent_at.0.saturating_sub(age.0)));
            return Some(vec![again]);
        }
        if !placement.is_known(now, &query) {
            self.leave(now, request);
            return Some(vec![reply(RoutingDecision::Unknown)]);
        }
        let key = QueueKey::of(&query);
        if !self.requests.contains_key(&request) && self.is_full(&key) {
            self.counters.overflowed += 1;
            return None;
        }
        let expected = match self.join(now, from, &key, query, &membership, placement) {
            JoinOutcome::Refused { retry_after } => {
                self.counters.refused_on_arrival += 1;
                self.requests.remove(&request);
                self.finished.insert_refused(now, request, retry_after);
                return Some(vec![reply(RoutingDecision::Refuse { retry_after })]);
            }
            JoinOutcome::Queued { expected } => expected,
        };
        let mut out = self.serve(now, &key, placement);
        if self.requests.contains_key(&request) {
            out.push(reply(RoutingDecision::Wait { expected }));
        }
        Some(out)
    }

    /// Handles the withdrawal of a request by the process `from`: it leaves its queue, or its grant is not used.
    pub fn cancel<P: Placement>(
        &mut self,
        now: time::Instant,
        from: net::Ipv4Addr,
        request: u64,
        placement: &mut P,
    ) -> Vec<Outgoing> {
        // The holder uses another id if it queries again.
        self.finished.insert(now, request, time::Instant(u64::MAX));
        if self.grants.get(&request).is_some_and(|it| it.to == from) {
            let queue = self.end_unused(request, placement);
            return queue.map_or_else(Vec::new, |key| self.serve(now, &key, placement));
        }
        self.leave(now, request);
        Vec::new()
    }

    /// Records that the process `from` has sent its granted `request`, as its observation shows.
    pub fn record_sent(&mut self, now: time::Instant, from: net::Ipv4Addr, request: u64) {
        if self.grants.get(&request).is_some_and(|it| it.to == from) {
            self.end_used(now, request);
        }
    }

    /// Records that this process has used the grant of its own `request`, and counts it by itself from now on.
    pub fn record_used<P: Placement>(
        &mut self,
        now: time::Instant,
        request: u64,
        placement: &mut P,
    ) {
        if let Some((to, endpoint)) = self.end_used(now, request) {
            placement.release(to, request, endpoint);
        }
    }

    /// Ends a grant that was used. Returns its holder and endpoint.
    fn end_used(&mut self, now: time::Instant, request: u64) -> Option<(net::Ipv4Addr, u64)> {
        let grant = self.grants.remove(&request)?;
        self.finished.insert(now, request, grant.last_query);
        if let Some(queue) = self.queues.get_mut(&grant.queue) {
            queue.waiting.record_served(now, grant.work_us);
        }
        Some((grant.to, grant.place.endpoint))
    }

    /// Serves the queues whose requests may go to `endpoint`, which has less work pending.
    pub fn endpoint_changed<P: Placement>(
        &mut self,
        now: time::Instant,
        endpoint: u64,
        placement: &mut P,
    ) -> Vec<Outgoing> {
        let waiting = self.queues.iter().filter(|(_, it)| !it.waiting.is_empty());
        let affected = waiting.filter(|(key, _)| placement.serves(endpoint, key));
        let keys: Vec<_> = affected.map(|(key, _)| key.clone()).collect();
        keys.iter()
            .flat_map(|key| self.serve(now, key, placement))
            .collect()
    }

    /// Removes requests and grants whose time is over, and serves all queues.
    pub fn advance<P: Placement>(
        &mut self,
        now: time::Instant,
        placement: &mut P,
    ) -> Vec<Outgoing> {
        self.expire_grants(now, placement);
        self.finished.expire(now);
        let mut out = Vec::new();
        let keys: Vec<_> = self.queues.keys().cloned().collect();
        for key in &keys {
            self.expire_waiting(now, key, &mut out);
            out.extend(self.serve(now, key, placement));
        }
        let counters = &mut self.counters;
        self.queues.retain(|_, it| {
            let is_used = !it.waiting.is_empty() || now.since(it.used_at) < IDLE_QUEUE_TTL;
            if !is_used {
                let stats = it.waiting.stats();
                counters.reservations_kept += stats.reservations_kept;
                counters.reservations_missed += stats.reservations_missed;
            }
            is_used
        });
        out
    }

    /// Whether there is anything that ends with time, so that [`Self::advance`] has to be called.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.requests.is_empty() || !self.grants.is_empty() || !self.finished.is_empty()
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// The counters over all queues since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        let mut counters = self.counters;
        for queue in self.queues.values() {
            let stats = queue.waiting.stats();
            counters.reservations_kept += stats.reservations_kept;
            counters.reservations_missed += stats.reservations_missed;
        }
        counters
    }

    /// The state of each queue, the longest first.
    #[must_use]
    pub fn status(&self, now: time::Instant) -> Vec<QueueStatus> {
        let queues = self.queues.iter();
        let mut all: Vec<_> = queues
            .map(|(key, it)| QueueStatus {
                queue: key.clone(),
                waiting: it.waiting.len(),
                oldest_ms: it.waiting.oldest_wait(now),
                granted: it.waiting.stats().granted,
                refused: it.waiting.stats().refused,
            })
            .collect();
        all.sort_by(|a, b| (b.waiting, a.queue.name()).cmp(&(a.waiting, b.queue.name())));
        all
    }

    /// Adds a request to its queue, or replaces its query by a later one.
    fn join<P: Placement>(
        &mut self,
        now: time::Instant,
        from: net::Ipv4Addr,
        key: &QueueKey,
        query: RoutingQuery,
        membership: &QueueMembership,
        placement: &mut P,
    ) -> JoinOutcome {
        let request = query.request;
        let work_us = placement.work_us(&query);
        let known = requests::refresh(&mut self.requests, now, key, query, membership);
        let waiting = Waiting {
            request,
            holder: from,
            priority: membership.priority,
            workspace: membership.workspace,
            weight: membership.weight,
            content: membership.content,
            work_us,
            late_at: known.late_at,
            abandoned_at: known.abandoned_at,
            payload: (),
        };
        let queue = self.queues.entry(key.clone()).or_insert_with(|| Queue {
            waiting: SharedQueue::new(self.policy),
            used_at: now,
        });
        queue.used_at = now;
        queue.waiting.join_with_place(now, waiting, |_| {
            let place = placement.place(now, from, &known.queued);
            place.is_some_and(|it| {
                placement.release(from, request, it.endpoint);
                true
            })
        })
    }

    fn is_full(&self, key: &QueueKey) -> bool {
        let waiting = self.queues.get(key).map_or(0, |it| it.waiting.len());
        waiting >= MAX_QUEUE_LENGTH || self.requests.len() >= MAX_WAITING
    }

    fn leave(&mut self, now: time::Instant, request: u64) {
        let known = self.requests.remove(&request);
        if let Some(queue) = known.and_then(|it| self.queues.get_mut(&it.queue)) {
            queue.waiting.leave(now, request);
        }
    }

    /// Grants requests of a queue until none can be placed. Returns the grants.
    fn serve<P: Placement>(
        &mut self,
        now: time::Instant,
        key: &QueueKey,
        placement: &mut P,
    ) -> Vec<Outgoing> {
        let mut out = Vec::new();
        let Some(queue) = self.queues.get_mut(key) else {
            return out;
        };
        let requests = &mut self.requests;
        while let Some((waiting, place)) = queue.waiting.grant(now, |it| {
            let known = requests.get(&it.request)?;
            placement.place(now, it.holder, &known.queued)
        }) {
            queue.used_at = now;
            self.counters.granted += 1;
            let mut last_query = time::Instant(0);
            if let Some(known) = requests.remove(&waiting.request) {
                let decision = decision_of(place);
                out.push(outgoing(now, waiting.holder, &known.queued, decision));
                last_query = known.sent_at;
            }
            let grant = Grant {
                queue: key.clone(),
                to: waiting.holder,
                at: now,
                last_query,
                work_us: waiting.work_us,
                place,
            };
            self.grants.insert(waiting.request, grant);
        }
        out
    }

    fn expire_waiting(&mut self, now: time::Instant, key: &QueueKey, out: &mut Vec<Outgoing>) {
        let Some(queue) = self.queues.get_mut(key) else {
            return;
        };
        for (waiting, removal) in queue.waiting.expire(now) {
            let (to, request) = (waiting.holder, waiting.request);
            let known = self.requests.remove(&request);
            match removal {
                Removal::Hopeless { retry_after } => {
                    self.counters.refused_later += 1;
                    self.finished.insert_refused(now, request, retry_after);
                    let decision = RoutingDecision::Refuse { retry_after };
                    out.extend(known.map(|it| outgoing(now, to, &it.queued, decision)));
                }
                Removal::Abandoned => self.counters.abandoned += 1,
                Removal::HolderSilent => {
                    self.counters.holder_silent += 1;
                    // A later query shows that the holder is alive; a delayed one does not.
                    let last_query = known.map_or(time::Instant(0), |it| it.sent_at);
                    self.finished.insert(now, request, last_query);
                }
            }
        }
    }

    fn expire_grants<P: Placement>(&mut self, now: time::Instant, placement: &mut P) {
        let grants = self.grants.iter();
        let expired: Vec<u64> = grants
            .filter(|(_, it)| now.since(it.at) > GRANT_TTL)
            .map(|(request, _)| *request)
            .collect();
        for request in expired {
            self.end_unused(request, placement);
        }
    }

    /// Ends a grant that was not used. Returns its queue.
    fn end_unused<P: Placement>(&mut self, request: u64, placement: &mut P) -> Option<QueueKey> {
        let grant = self.grants.remove(&request)?;
        self.counters.unused += 1;
        placement.release(grant.to, request, grant.place.endpoint);
        Some(grant.queue)
    }
}
