//! The state of all allowances in one process: its shares as a producer, and the buckets that it
//! coordinates.

use std::{collections, net};

use sageshed_types::time;

use super::{
    AcquireReply, AcquireRequest, Acquisition, Bucket, COORDINATORS, CollectReply, CollectRequest,
    Key, LISTING_TIMEOUT, PRODUCERS, RateLimit, SETTLE_TIME, Share, UNRESPONSIVE_TIME, producers,
    reported,
};

/// Allowances in one collection message. The reply takes some 20 bytes for each and has to fit into one
/// datagram of 1,200 bytes.
const MAX_COLLECTED: usize = 40;

/// The same if some of the allowances are not configured: with rate and burst, each takes some 70 bytes.
const MAX_COLLECTED_REPORTED: usize = 14;

/// A reply to an acquisition, and a collection to send along with it.
#[derive(Debug, Clone, PartialEq)]
pub struct AcquireOutcome {
    /// Goes to the process that asked.
    pub reply: AcquireReply,
    /// Goes to the producers, if more units are needed.
    pub collection: Option<(CollectRequest, Vec<net::Ipv4Addr>)>,
}

/// The allowances as known to one entry process.
#[derive(Debug, Clone)]
pub struct AllowanceTable {
    own: net::Ipv4Addr,
    limits: collections::HashMap<Key, RateLimit>,
    /// Limits that endpoints have reported.
    reported: reported::ReportedLimits,
    shares: collections::HashMap<Key, Share>,
    buckets: collections::HashMap<Key, Bucket>,
    /// All entry processes that still count as such, and when each was last listed.
    last_listed: collections::BTreeMap<net::Ipv4Addr, time::Instant>,
    /// The entry processes in the latest list.
    current: Vec<net::Ipv4Addr>,
    /// Cache of the producers of each allowance, valid for `last_listed`.
    ranked: collections::HashMap<Key, Vec<net::Ipv4Addr>>,
    /// Coordinators that did not respond, and when.
    unresponsive: collections::HashMap<net::Ipv4Addr, time::Instant>,
    /// The number of entry processes after the list last grew considerably, and when that was.
    last_growth: (usize, time::Instant),
    /// When a control process last responded.
    control_heard_at: time::Instant,
    next_id: u64,
}

impl AllowanceTable {
    /// Creates the state of the process at `own`. `start` differs between starts of the process, so that
    /// replies to an earlier start are not taken for replies to this one.
    #[must_use]
    pub fn new(own: net::Ipv4Addr, start: u64) -> Self {
        Self {
            own,
            limits: collections::HashMap::new(),
            reported: reported::ReportedLimits::default(),
            shares: collections::HashMap::new(),
            buckets: collections::HashMap::new(),
            last_listed: collections::BTreeMap::new(),
            current: Vec::new(),
            ranked: collections::HashMap::new(),
            unresponsive: collections::HashMap::new(),
            last_growth: (0, time::Instant(0)),
            control_heard_at: time::Instant(0),
            next_id: start,
        }
    }

    /// Replaces the configured allowances.
    pub fn set_limits(&mut self, limits: impl IntoIterator<Item = (Key, RateLimit)>) {
        self.limits = limits.into_iter().collect();
        self.remove_unknown();
    }

    /// Removes the state of allowances that no longer exist.
    fn remove_unknown(&mut self) {
        let (configured, reported) = (&self.limits, &self.reported);
        let is_known = |key: &Key| configured.contains_key(key) || reported.get(*key).is_some();
        self.buckets.retain(|key, _| is_known(key));
        self.shares.retain(|key, _| is_known(key));
        self.ranked.retain(|key, _| is_known(key));
    }

    /// Sets the list of entry processes.
    pub fn set_entries(&mut self, now: time::Instant, entries: &[net::Ipv4Addr]) {
        for ip in &self.current {
            self.last_listed.insert(*ip, now);
        }
        self.heard_control(now);
        self.current = entries.to_vec();
        for ip in entries {
            self.last_listed.insert(*ip, now);
        }
        self.expire_entries(now);
        let count = self.last_listed.len();
        if count * 10 > self.last_growth.0 * 11 {
            self.last_growth = (count, now);
        }
        self.ranked.clear();
    }

    /// Records that a control process responded.
    pub fn heard_control(&mut self, now: time::Instant) {
        self.control_heard_at = now;
    }

    /// Removes entry processes that have not been listed for a long time.
    fn expire_entries(&mut self, now: time::Instant) {
        if self.last_listed.len() == self.current.len() {
            return;
        }
        let before = self.last_listed.len();
        let current: collections::HashSet<_> = self.current.iter().collect();
        self.last_listed
            .retain(|ip, at| current.contains(ip) || now.since(*at) <= LISTING_TIMEOUT);
        if self.last_listed.len() != before {
            self.last_growth.0 = self.last_growth.0.min(self.last_listed.len());
            self.ranked.clear();
        }
    }

    /// Whether there is any allowance.
    #[must_use]
    pub fn has_any(&self) -> bool {
        !self.limits.is_empty() || !self.reported.is_empty()
    }

    /// Rate and burst of an allowance, if it exists.
    #[must_use]
    pub fn limit(&self, of: Key) -> Option<RateLimit> {
        let configured = self.limits.get(&of).copied();
        configured.or_else(|| self.reported.get(of))
    }

    /// Starts an acquisition from the coordinators of an allowance, skipping those that recently did not
    /// respond.
    pub fn acquisition(&mut self, now: time::Instant, of: Key) -> Acquisition {
        self.unresponsive
            .retain(|_, at| now.since(*at) < UNRESPONSIVE_TIME);
        // Processes that are gone count as producers for a while but don't respond. During a rolling
        // replacement of VMs, all three coordinators of a workspace were gone for seconds.
        let ranked = self.producers(of).to_vec();
        // A list of less than half of the processes comes from a control process that has just started; the
        // others still run.
        let is_whole = self.current.len() * 2 >= self.last_listed.len();
        let is_there = |it: &net::Ipv4Addr| !is_whole || self.current.contains(it);
        let coordinators = ranked.into_iter().filter(is_there).take(COORDINATORS);
        let there = coordinators.filter(|it| !self.unresponsive.contains_key(it));
        Acquisition::new(there.collect())
    }

    /// Records that a coordinator did not respond.
    pub fn mark_unresponsive(&mut self, now: time::Instant, coordinator: net::Ipv4Addr) {
        self.unresponsive.insert(coordinator, now);
    }

    /// Returns an id for an acquisition that is unique in this process.
    pub fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn producers(&mut self, of: Key) -> &[net::Ipv4Addr] {
        let listed = &self.last_listed;
        self.ranked.entry(of).or_insert_with(|| {
            let entries: Vec<_> = listed.keys().copied().collect();
            producers(of, &entries)
        })
    }

    /// Replies, as the coordinator, to an acquisition of `from`.
    pub fn acquire(
        &mut self,
        now: time::Instant,
        from: net::Ipv4Addr,
        request: &AcquireRequest,
    ) -> AcquireOutcome {
        if let Some(reported) = &request.reported {
            self.reported.learn(now, request.of, reported);
        }
        let Some(limit) = self.limit(request.of) else {
            // The configuration in force here has no such limit.
            return AcquireOutcome {
                reply: AcquireReply::Granted,
                collection: None,
            };
        };
        let producers = self.producers(request.of).len();
        let bucket = self.buckets.entry(request.of);
        let bucket = bucket.or_insert_with(|| Bucket::empty(now));
        let reply = bucket.acquire(now, &limit, producers, from, request);
        let needs_more = matches!(reply, AcquireReply::Soon(_)) && bucket.may_collect_again(now);
        let is_due = needs_more || bucket.is_collection_due(now, &limit, producers);
        let collection = is_due.then(|| self.start_collection(now, vec![request.of]).pop());
        AcquireOutcome {
            reply,
            collection: collection.flatten(),
        }
    }

    fn is_due(&mut self, now: time::Instant, of: Key) -> bool {
        let Some(limit) = self.limit(of) else {
            return false;
        };
        let producers = self.producers(of).len();
        let bucket = self.buckets.entry(of).or_insert_with(|| Bucket::empty(now));
        bucket.is_collection_due(now, &limit, producers)
    }

    /// Starts the due collections of all allowances that this process coordinates as the first producer.
    /// Returns the messages to send, with their recipients.
    pub fn tick(&mut self, now: time::Instant) -> Vec<(CollectRequest, Vec<net::Ipv4Addr>)> {
        self.expire_entries(now);
        let own = self.own;
        if self.reported.expire(now) {
            self.remove_unknown();
        }
        // A limit that an endpoint reported is only coordinated by a process that was asked for units of
        // it.
        let buckets = &self.buckets;
        let asked = self.reported.keys().filter(|key| buckets.contains_key(key));
        let keys: Vec<Key> = self.limits.keys().copied().chain(asked).collect();
        let due = keys.into_iter().filter(|of| {
            let is_first = self.producers(*of).first() == Some(&own);
            is_first && self.is_due(now, *of)
        });
        let due = due.collect();
        self.start_collection(now, due)
    }

    /// Starts a collection of these allowances, with one message to each producer for all allowances that
    /// it has a share of.
    fn start_collection(
        &mut self,
        now: time::Instant,
        due: Vec<Key>,
    ) -> Vec<(CollectRequest, Vec<net::Ipv4Addr>)> {
        let id = self.next_id();
        let mut by_producer: collections::BTreeMap<net::Ipv4Addr, Vec<Key>> =
            collections::BTreeMap::new();
        for of in due {
            let own = self.own;
            let all = self.producers(of).to_vec();
            let others: Vec<_> = all.iter().copied().filter(|it| *it != own).collect();
            if let Some(bucket) = self.buckets.get_mut(&of) {
                bucket.start_collection(now, id, &others);
            }
            if others.len() < all.len() {
                self.collect_own(now, of);
            }
            for other in others {
                by_producer.entry(other).or_default().push(of);
            }
        }
        let mut requests: Vec<(CollectRequest, Vec<net::Ipv4Addr>)> = Vec::new();
        for (to, all) in by_producer {
            let has_reported = all.iter().any(|key| self.reported.get(*key).is_some());
            let most = if has_reported {
                MAX_COLLECTED_REPORTED
            } else {
                MAX_COLLECTED
            };
            for of in all.chunks(most) {
                match requests.iter_mut().find(|(request, _)| request.of == of) {
                    Some((_, group)) => group.push(to),
                    None => requests.push((self.collect_request(now, id, of), vec![to])),
                }
            }
        }
        requests
    }

    fn collect_request(&self, now: time::Instant, id: u64, of: &[Key]) -> CollectRequest {
        let reported = of.iter();
        let reported =
            reported.filter_map(|key| Some((*key, self.reported.to_reported(now, *key)?)));
        CollectRequest {
            id,
            of: of.to_vec(),
            reported: reported.collect(),
        }
    }

    fn collect_own(&mut self, now: time::Instant, of: Key) {
        let units = self.take_own_share(now, of);
        let producers = self.producers(of).len();
        let own = self.own;
        if let (Some(limit), Some(bucket)) = (self.limit(of), self.buckets.get_mut(&of)) {
            bucket.add_units(now, &limit, producers, own, units);
        }
    }

    /// Takes the units that this process has produced as its share of an allowance. Produces nothing until
    /// its list of entry processes has settled, nor when the others may have dropped this process from
    /// their lists.
    fn take_own_share(&mut self, now: time::Instant, of: Key) -> f64 {
        let own = self.own;
        let ranked = self.producers(of);
        let (count, yields) = (ranked.len(), ranked.contains(&own));
        let listed = self.last_listed.len();
        let is_settled =
            listed >= PRODUCERS || (listed > 0 && now.since(self.last_growth.1) >= SETTLE_TIME);
        // Control assumes that a process which it can't reach is gone, and the others replace it as a
        // producer once it has expired from their lists. By then it must have stopped producing: in a
        // partition of half a minute, two fifths of 73 processes produced two fifths of a quota on top of
        // the whole.
        let is_listed = now.since(self.control_heard_at) <= LISTING_TIMEOUT;
        let yields = yields && is_settled && is_listed;
        let Some(limit) = self.limit(of).filter(|_| yields) else {
            return 0.0;
        };
        let share = self.shares.entry(of).or_default();
        share.take(now, &limit, count)
    }

    /// Replies, as a producer, to a collection.
    pub fn release_share(&mut self, now: time::Instant, request: &CollectRequest) -> CollectReply {
        for (of, reported) in &request.reported {
            self.reported.learn(now, *of, reported);
        }
        let units = request.of.iter();
        let units = units.map(|of| (*of, self.take_own_share(now, *of)));
        CollectReply {
            units: units.collect(),
            id: request.id,
        }
    }

    /// Adds the units that `from` gave to a collection.
    pub fn add_collected(&mut self, now: time::Instant, from: net::Ipv4Addr, reply: &CollectReply) {
        for (of, units) in &reply.units {
            let producers = self.producers(*of).len();
            if let (Some(limit), Some(bucket)) = (self.limit(*of), self.buckets.get_mut(of)) {
                bucket.add_collected(now, &limit, producers, (from, reply.id, *units));
            }
        }
    }

    /// The allowances that this process coordinates, with the units in the bucket of each.
    pub fn buckets(&self) -> impl Iterator<Item = (Key, f64)> {
        self.buckets
            .iter()
            .map(|(key, bucket)| (*key, bucket.units()))
    }
}
