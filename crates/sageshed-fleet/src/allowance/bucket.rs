//! The token bucket that the coordinator of an allowance keeps.

use std::{collections, net};

use sageshed_types::time;

use super::{
    AcquireReply, AcquireRequest, COLLECT_INTERVAL, CONTACT_TIMEOUT, IDLE_COLLECT_INTERVAL,
    RateLimit, SHARE_WINDOW, STARVED_COLLECT_INTERVAL,
};

/// How long the coordinator waits for replies to a collection: several round trips between availability
/// zones.
const COLLECT_TIMEOUT: time::Millis = time::Millis(15);

/// Delay after which a process retries that got [`AcquireReply::Soon`].
const RETRY_DELAY: time::Millis = time::Millis(8);

/// How long granted acquisitions are remembered. If the reply is lost, the retry arrives within some ten
/// milliseconds.
const GRANT_MEMORY: time::Millis = time::Millis(500);

/// Granted acquisitions that are remembered.
const MAX_REMEMBERED_GRANTS: usize = 256;

/// Share of the bucket that is reserved for more urgent requests while such requests arrive.
const URGENT_RESERVE: f64 = 0.25;

/// How long the reserve is kept after the last more urgent request.
const URGENT_WINDOW: time::Millis = time::Millis(1_000);

/// The longest retry delay that is returned. The demand after that can't be predicted.
const MAX_RETRY_DELAY: time::Millis = time::Millis(10_000);

/// Units that a coordinator has collected and not granted.
#[derive(Debug, Clone, PartialEq)]
pub struct Bucket {
    /// Negative if the last grant exceeded what was there.
    units: f64,
    /// When each producer last gave units.
    last_given: collections::HashMap<net::Ipv4Addr, time::Instant>,
    /// The current collection, and the producers that have not replied to it.
    collection: u64,
    awaited: Vec<net::Ipv4Addr>,
    collected_at: Option<time::Instant>,
    /// When units were last requested at each rank.
    asked_at: [Option<time::Instant>; RANKS],
    /// Until when future units are scheduled for processes that got a retry delay.
    scheduled_until: time::Instant,
    granted: collections::VecDeque<(time::Instant, (net::Ipv4Addr, u64))>,
}

/// Number of distinct ranks; higher ones count as the last.
const RANKS: usize = 4;

impl Bucket {
    /// Creates an empty bucket. For all that this process knows, the previous coordinator has spent what
    /// there was.
    #[must_use]
    pub fn empty(now: time::Instant) -> Self {
        Self {
            units: 0.0,
            last_given: collections::HashMap::new(),
            collection: 0,
            awaited: Vec::new(),
            collected_at: None,
            asked_at: [None; RANKS],
            scheduled_until: now,
            granted: collections::VecDeque::new(),
        }
    }

    /// Replies to the acquisition `request` of the process `from`. `producers` is the number of producers
    /// of the allowance.
    pub fn acquire(
        &mut self,
        now: time::Instant,
        limit: &RateLimit,
        producers: usize,
        from: net::Ipv4Addr,
        request: &AcquireRequest,
    ) -> AcquireReply {
        // Callers may declare any amount. A debt of that size would never be paid off, and an infinite one
        // would turn the balance into NaN.
        if !request.amount.is_finite() || request.amount > limit.max_amount() {
            return AcquireReply::Over(MAX_RETRY_DELAY);
        }
        let capacity = self.capacity(now, limit, producers);
        self.units = (self.units + request.returned.max(0.0)).min(capacity);
        if request.amount <= 0.0 || self.is_granted(now, from, request.id) {
            return AcquireReply::Granted;
        }
        let rank = usize::from(request.rank).min(RANKS - 1);
        self.asked_at[rank] = Some(now);
        let has_urgent = self.asked_at[..rank].iter().flatten();
        let has_urgent = has_urgent
            .into_iter()
            .any(|at| now.since(*at) < URGENT_WINDOW);
        let reserved = if has_urgent {
            capacity * URGENT_RESERVE
        } else {
            0.0
        };
        // An amount larger than the bucket is granted by a full one, and the debt is paid off before the
        // next grant.
        let needed = request.amount.min(capacity - reserved);
        if self.units > 0.0 && self.units - reserved >= needed {
            self.units -= request.amount;
            self.granted.push_back((now, (from, request.id)));
            return AcquireReply::Granted;
        }
        if self.is_collecting(now) || self.may_collect_again(now) {
            return AcquireReply::Soon(RETRY_DELAY);
        }
        AcquireReply::Over(self.schedule_retry(
            now,
            limit,
            producers,
            request.amount,
            needed + reserved,
        ))
    }

    /// Whether this acquisition was granted before, so that its reply was lost.
    fn is_granted(&mut self, now: time::Instant, from: net::Ipv4Addr, id: u64) -> bool {
        let is_old = |at: time::Instant| now.since(at) > GRANT_MEMORY;
        while self.granted.front().is_some_and(|(at, _)| is_old(*at))
            || self.granted.len() > MAX_REMEMBERED_GRANTS
        {
            self.granted.pop_front();
        }
        self.granted.iter().any(|(_, it)| *it == (from, id))
    }

    /// The delay after which a refused request finds `needed` units, and schedules them for it after those of
    /// earlier refused requests. If a hundred were retried at the same time, they would find the units that
    /// one of them needs.
    fn schedule_retry(
        &mut self,
        now: time::Instant,
        limit: &RateLimit,
        producers: usize,
        amount: f64,
        needed: f64,
    ) -> time::Millis {
        let per_ms = limit.per_s / 1_000.0 * self.reachable_share(now, producers);
        if per_ms <= 0.0 {
            return MAX_RETRY_DELAY;
        }
        let time_to_accrue = time::Millis::rounded_up((needed - self.units).max(0.0) / per_ms);
        let due = (now + time_to_accrue).max(self.scheduled_until);
        let wait = due.since(now).min(MAX_RETRY_DELAY);
        if wait < MAX_RETRY_DELAY {
            self.scheduled_until = due + time::Millis::rounded_up(amount / per_ms);
        }
        wait.max(RETRY_DELAY)
    }

    /// The most that the bucket holds: the burst, less what has accrued at the producers since the last
    /// collection, so that both together never hold more than the burst. It is reduced in proportion if
    /// only some of the producers are in contact: a partitioned coordinator has just what its own share
    /// yields.
    fn capacity(&mut self, now: time::Instant, limit: &RateLimit, producers: usize) -> f64 {
        let since = self
            .collected_at
            .map_or(SHARE_WINDOW, |at| now.since(at).min(SHARE_WINDOW));
        let capacity =
            (limit.total_capacity() - limit.accrued(since)) * self.reachable_share(now, producers);
        self.units = self.units.min(capacity);
        capacity
    }

    /// The share of the producers that gave units recently.
    fn reachable_share(&self, now: time::Instant, producers: usize) -> f64 {
        let last_given = self.last_given.values();
        let count = last_given
            .filter(|at| now.since(**at) <= CONTACT_TIMEOUT)
            .count();
        (count as f64 / producers.max(1) as f64).min(1.0)
    }

    fn is_collecting(&self, now: time::Instant) -> bool {
        let is_young = |at: time::Instant| now.since(at) <= COLLECT_TIMEOUT;
        !self.awaited.is_empty() && self.collected_at.is_some_and(is_young)
    }

    /// Whether a coordinator that is short of units may collect again.
    #[must_use]
    pub fn may_collect_again(&self, now: time::Instant) -> bool {
        self.collected_at
            .is_none_or(|at| now.since(at) >= STARVED_COLLECT_INTERVAL)
    }

    /// Whether a collection is due. Collections are rare while the bucket is full.
    #[must_use]
    pub fn is_collection_due(
        &mut self,
        now: time::Instant,
        limit: &RateLimit,
        producers: usize,
    ) -> bool {
        let Some(collected_at) = self.collected_at else {
            return true;
        };
        let is_full = self.units >= self.capacity(now, limit, producers)
            && self.reachable_share(now, producers) >= 1.0;
        let every = if is_full {
            IDLE_COLLECT_INTERVAL
        } else {
            COLLECT_INTERVAL
        };
        now.since(collected_at) >= every
    }

    /// Starts the collection `id` from `others`.
    pub fn start_collection(&mut self, now: time::Instant, id: u64, others: &[net::Ipv4Addr]) {
        self.collection = id;
        self.awaited = others.to_vec();
        self.collected_at = Some(now);
    }

    /// Adds the units that a producer gave to a collection. A second reply, or one to an earlier
    /// collection, is dropped: the network may duplicate datagrams, and it is safe to lose units but not to
    /// count them twice.
    pub fn add_collected(
        &mut self,
        now: time::Instant,
        limit: &RateLimit,
        producers: usize,
        given: (net::Ipv4Addr, u64, f64),
    ) {
        let (from, id, units) = given;
        let Some(at) = self.awaited.iter().position(|it| *it == from) else {
            return;
        };
        if id != self.collection {
            return;
        }
        self.awaited.swap_remove(at);
        self.add_units(now, limit, producers, from, units);
    }

    /// Adds the units of `from`, which is this process itself or a producer that replied.
    pub fn add_units(
        &mut self,
        now: time::Instant,
        limit: &RateLimit,
        producers: usize,
        from: net::Ipv4Addr,
        units: f64,
    ) {
        self.last_given
            .retain(|_, at| now.since(*at) <= CONTACT_TIMEOUT);
        self.last_given.insert(from, now);
        self.units += units.max(0.0);
        self.capacity(now, limit, producers);
    }

    /// Units that can be spent; negative if the last grant exceeded what was there.
    #[must_use]
    pub fn units(&self) -> f64 {
        self.units
    }
}
