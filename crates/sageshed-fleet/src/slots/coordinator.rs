//! The coordinator of plain services: which request gets a slot, and where.

use std::{collections, net};

use sageshed_types::time;

use super::{
    Lease, SlotAttempt, SlotDecision, SlotEndpoint, SlotGrant, SlotRelease, SlotRequest, SlotTable,
};
use crate::{budget, shared_queue};

/// Time that a request holds its slot, in milliseconds, until some were measured.
const INITIAL_HOLD_MS: f64 = 30.0;

/// Weight of a new measurement in the moving average of that time.
const HOLD_GAIN: f64 = 0.05;

/// How long a request is remembered that has ended or was counted in the retry budget. A [`SlotRequest`] that is
/// delayed or doubled and arrives after the release would otherwise take a slot until its lease ends, and one that
/// arrives after a refusal would be counted twice.
const RECENT_TTL: time::Millis = time::Millis(2_000);

/// Requests that are remembered. Some thousand requests per second go to one service at most.
const MAX_RECENT: usize = 8_192;

/// The longest lease that a holder may ask for. A datagram with a wrong value would otherwise block a slot
/// for as long.
const MAX_LEASE: time::Millis = time::Millis(60_000);

/// How long a service without requests is kept.
const IDLE_TTL: time::Millis = time::Millis(60_000);

/// Grants and other replies, with the holder to send each to.
pub type Replies = Vec<(net::Ipv4Addr, SlotGrant)>;

/// Share of the constant part of the retry allowance that a coordinator uses. Like the entry processes, it
/// uses 0.6 of its share: two coordinators at once use 0.3 of the constant part, and the entry processes
/// 0.6. More than two may follow each other within one window, so a coordinator has its share only after it
/// has had requests for one window.
const COORDINATOR_SLACK_SHARE: f64 = 0.25;

/// Counters of a coordinator since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SlotStats {
    /// Slots leased.
    pub granted: u64,
    /// Leases that ended without a release.
    pub expired: u64,
    /// Requests refused.
    pub refused: u64,
}

/// What is needed to place a waiting request.
#[derive(Debug, Clone, PartialEq)]
struct Placement {
    availability_zone: String,
    tried: Vec<u64>,
    lease: time::Millis,
}

/// Requests of the last [`RECENT_TTL`].
#[derive(Debug, Default)]
struct RecentRequests {
    /// Oldest first, each with its time.
    order: collections::VecDeque<(time::Instant, u64)>,
    ids: collections::HashSet<u64>,
}

impl RecentRequests {
    /// Adds a request. Returns false if it is there already.
    fn insert(&mut self, now: time::Instant, request: u64) -> bool {
        let is_new = self.ids.insert(request);
        if is_new {
            self.order.push_back((now, request));
        }
        is_new
    }

    fn contains(&self, request: u64) -> bool {
        self.ids.contains(&request)
    }

    fn expire(&mut self, now: time::Instant) {
        while let Some(&(at, request)) = self.order.front()
            && (now.since(at) >= RECENT_TTL || self.order.len() > MAX_RECENT)
        {
            self.order.pop_front();
            self.ids.remove(&request);
        }
    }
}

/// The slots of one service and the requests that wait for them.
#[derive(Debug)]
struct Service {
    name: String,
    table: SlotTable,
    queue: shared_queue::SharedQueue<Placement>,
    /// The requests in the queue.
    queued: collections::HashSet<u64>,
    ended: RecentRequests,
    /// Requests that were counted in the retry budget, or that asked for a retry there.
    charged: RecentRequests,
    /// Requests for which a retry was taken from the budget.
    retries: collections::HashSet<u64>,
    hold_ms: f64,
    /// When a request for it arrived last.
    used_at: Option<time::Instant>,
}

/// The services that this process coordinates.
///
/// The coordinator also keeps the retry budget for the requests that ask it first. A process among many
/// sees so few requests that its own part of the budget is often too small for one retry, while others
/// leave theirs unused. Each request counts in one place: here, or in the process that holds it if no
/// coordinator was asked. So all budgets together stay within the allowance.
#[derive(Debug)]
pub struct SlotCoordinator {
    services: collections::HashMap<String, Service>,
    budget: budget::RetryBudget,
    /// The window of the retry budget.
    window: time::Millis,
    stats: SlotStats,
}

impl SlotCoordinator {
    /// Creates a coordinator without requests.
    #[must_use]
    pub fn new(allowance: budget::RetryAllowance) -> Self {
        let allowance = budget::RetryAllowance {
            slack: allowance.slack * COORDINATOR_SLACK_SHARE,
            ..allowance
        };
        Self {
            services: collections::HashMap::new(),
            budget: budget::RetryBudget::new(allowance),
            window: allowance.window,
            stats: SlotStats::default(),
        }
    }

    /// Handles a request for a slot from the process `from`. `endpoints` are those of the service that
    /// accept requests now.
    pub fn request(
        &mut self,
        now: time::Instant,
        from: net::Ipv4Addr,
        request: SlotRequest,
        endpoints: &[SlotEndpoint],
    ) -> Replies {
        // Nothing is kept or counted for names that may be wrong.
        if endpoints.is_empty() && !self.services.contains_key(&request.service) {
            return vec![(from, SlotGrant::unknown(request))];
        }
        let stats = &mut self.stats;
        let service = self
            .services
            .entry(request.service.clone())
            .or_insert_with(|| Service::new(&request.service));
        let is_new = service
            .used_at
            .is_none_or(|it| now.since(it) >= self.window);
        if is_new {
            self.budget.withhold_slack(now, &service.name);
        }
        service.used_at = Some(now);
        for ended in &request.released {
            service.end(now, *ended);
        }
        let mut replies = service.expire(now, stats);
        let id = request.request;
        if service.ended.contains(id) {
            return replies;
        }
        let lease = service.table.get(id);
        if lease.is_none() && !service.queued.contains(&id) {
            service.charge(now, id, request.attempt, &mut self.budget);
        }
        // Granted to the queue first, so that a slot which is free after that is for none that waits.
        replies.extend(service.grant(now, endpoints, stats));
        if !replies.iter().any(|(_, it)| it.request == id) {
            let decision = if let Some(lease) = lease {
                // The grant was lost, or the request was doubled.
                SlotDecision::Endpoint(lease.endpoint)
            } else if endpoints.iter().all(|it| request.tried.contains(&it.key)) {
                SlotDecision::Unknown
            } else if let Some(endpoint) = service.lease_free(now, &request, endpoints, stats) {
                SlotDecision::Endpoint(endpoint)
            } else {
                service.join(now, from, request, stats)
            };
            replies.push((from, service.reply(id, decision)));
        }
        set_retries_left(now, &service.name, &mut self.budget, &mut replies);
        replies
    }

    /// Handles the end of a request.
    pub fn release(
        &mut self,
        now: time::Instant,
        release: &SlotRelease,
        endpoints: &[SlotEndpoint],
    ) -> Replies {
        let Some(service) = self.services.get_mut(&release.service) else {
            return Replies::new();
        };
        let lease = service.end(now, release.request);
        let has_response = release.seen.is_some_and(|it| it.took.is_some());
        if let Some(lease) = lease.filter(|_| has_response) {
            service.learn(now, lease);
        }
        let mut replies = service.expire(now, &mut self.stats);
        replies.extend(service.grant(now, endpoints, &mut self.stats));
        set_retries_left(now, &service.name, &mut self.budget, &mut replies);
        replies
    }

    /// Ends what has expired, and grants what has become free. `endpoints_of` returns the endpoints of a
    /// service that accept requests now.
    pub fn tick(
        &mut self,
        now: time::Instant,
        mut endpoints_of: impl FnMut(&str) -> Vec<SlotEndpoint>,
    ) -> Replies {
        let mut replies = Replies::new();
        for (name, service) in &mut self.services {
            let mut due = service.expire(now, &mut self.stats);
            if !service.queue.is_empty() {
                due.extend(service.grant(now, &endpoints_of(name), &mut self.stats));
            }
            set_retries_left(now, name, &mut self.budget, &mut due);
            replies.extend(due);
        }
        let is_used = |it: &Service| {
            it.used_at
                .is_some_and(|used_at| now.since(used_at) < IDLE_TTL)
        };
        self.services.retain(|_, it| !it.is_idle() || is_used(it));
        replies
    }

    /// Whether any request waits or holds a slot.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.services.values().any(|it| !it.is_idle())
    }

    /// The number of requests that wait for a slot.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.services.values().map(|it| it.queue.len()).sum()
    }

    /// The counters since the start.
    #[must_use]
    pub fn stats(&self) -> SlotStats {
        self.stats
    }
}

/// Sets in `replies` whether a retry is left for `service`. A holder takes up what the latest reply says.
fn set_retries_left(
    now: time::Instant,
    service: &str,
    budget: &mut budget::RetryBudget,
    replies: &mut Replies,
) {
    let is_left = !replies.is_empty() && budget.has_token(now, service, 1);
    for (_, reply) in replies {
        reply.retries_left = is_left;
    }
}

impl Service {
    fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            table: SlotTable::default(),
            queue: shared_queue::SharedQueue::new(shared_queue::QueuePolicy::default()),
            queued: collections::HashSet::new(),
            ended: RecentRequests::default(),
            charged: RecentRequests::default(),
            retries: collections::HashSet::new(),
            hold_ms: INITIAL_HOLD_MS,
            used_at: None,
        }
    }

    fn is_idle(&self) -> bool {
        self.table.is_empty() && self.queue.is_empty()
    }

    /// Counts a request that has just arrived in the retry budget, or takes its retry from there.
    fn charge(
        &mut self,
        now: time::Instant,
        request: u64,
        attempt: SlotAttempt,
        budget: &mut budget::RetryBudget,
    ) {
        if attempt == SlotAttempt::Again || !self.charged.insert(now, request) {
            return;
        }
        match attempt {
            SlotAttempt::First => budget.request(now, &self.name),
            SlotAttempt::Again => {}
            SlotAttempt::Retry => {
                if budget.spend(now, &self.name, 1) {
                    self.retries.insert(request);
                }
            }
        }
    }

    /// Leases a free slot to a request that none in the queue can use. The queue may hold requests that can't be
    /// placed now, and would refuse this one for the time that those take.
    fn lease_free(
        &mut self,
        now: time::Instant,
        request: &SlotRequest,
        endpoints: &[SlotEndpoint],
        stats: &mut SlotStats,
    ) -> Option<u64> {
        let zone = &request.availability_zone;
        let endpoint = self.table.choose(endpoints, zone, &request.tried)?;
        if self.queued.remove(&request.request) {
            self.queue.leave(now, request.request);
        }
        let lease = Lease {
            endpoint,
            since: now,
            until: now + request.lease.min(MAX_LEASE),
        };
        self.table.lease(request.request, lease);
        stats.granted += 1;
        Some(endpoint)
    }

    /// Adds a request to the queue, or refreshes it there.
    fn join(
        &mut self,
        now: time::Instant,
        from: net::Ipv4Addr,
        request: SlotRequest,
        stats: &mut SlotStats,
    ) -> SlotDecision {
        let id = request.request;
        let waiting = shared_queue::Waiting {
            request: id,
            holder: from,
            priority: request.priority,
            workspace: request.workspace,
            weight: 1.0,
            content: request.content,
            work_us: self.hold_us(),
            late_at: now + request.late_in,
            abandoned_at: now + request.abandoned_in,
            payload: Placement {
                availability_zone: request.availability_zone,
                tried: request.tried,
                lease: request.lease.min(MAX_LEASE),
            },
        };
        match self.queue.join(now, waiting) {
            shared_queue::JoinOutcome::Queued { .. } => {
                self.queued.insert(id);
                SlotDecision::Wait
            }
            shared_queue::JoinOutcome::Refused { retry_after } => {
                self.queued.remove(&id);
                stats.refused += 1;
                SlotDecision::Refuse { retry_after }
            }
        }
    }

    /// Grants free slots to waiting requests.
    fn grant(
        &mut self,
        now: time::Instant,
        endpoints: &[SlotEndpoint],
        stats: &mut SlotStats,
    ) -> Replies {
        let mut granted = Vec::new();
        let table = &mut self.table;
        while let Some((waiting, endpoint)) = self.queue.grant(now, |it| {
            table.choose(endpoints, &it.payload.availability_zone, &it.payload.tried)
        }) {
            let lease = Lease {
                endpoint,
                since: now,
                until: now + waiting.payload.lease,
            };
            table.lease(waiting.request, lease);
            self.queued.remove(&waiting.request);
            stats.granted += 1;
            let decision = SlotDecision::Endpoint(endpoint);
            granted.push((waiting.holder, waiting.request, decision));
        }
        let replies = granted.into_iter();
        replies
            .map(|(holder, request, decision)| (holder, self.reply(request, decision)))
            .collect()
    }

    /// Ends a request, whether it waits or holds a slot. Returns its lease.
    fn end(&mut self, now: time::Instant, request: u64) -> Option<Lease> {
        self.ended.insert(now, request);
        if self.queued.remove(&request) {
            self.queue.leave(now, request);
        }
        self.retries.remove(&request);
        self.table.release(request)
    }

    fn expire(&mut self, now: time::Instant, stats: &mut SlotStats) -> Replies {
        stats.expired += self.table.expire(now);
        let (table, queued) = (&self.table, &self.queued);
        self.retries
            .retain(|it| table.get(*it).is_some() || queued.contains(it));
        self.ended.expire(now);
        self.charged.expire(now);
        let mut replies = Replies::new();
        for (waiting, removal) in self.queue.expire(now) {
            self.queued.remove(&waiting.request);
            if let shared_queue::Removal::Hopeless { retry_after } = removal {
                stats.refused += 1;
                let decision = SlotDecision::Refuse { retry_after };
                replies.push((waiting.holder, self.reply(waiting.request, decision)));
            }
        }
        replies
    }

    fn learn(&mut self, now: time::Instant, lease: Lease) {
        let held = now.since(lease.since);
        self.hold_ms += HOLD_GAIN * (held.0 as f64 - self.hold_ms);
        // The work of shorter requests is booked as one millisecond as well. Recorded as zero, it would give a drain
        // rate of zero, and all requests that wait would be refused.
        self.queue.record_served(now, held.0.max(1) * 1_000);
    }

    fn reply(&self, request: u64, decision: SlotDecision) -> SlotGrant {
        SlotGrant {
            request,
            service: self.name.clone(),
            decision,
            has_retry: self.retries.contains(&request),
            retries_left: false,
        }
    }

    fn hold_us(&self) -> u64 {
        time::Millis::rounded_up(self.hold_ms).0.max(1) * 1_000
    }
}
