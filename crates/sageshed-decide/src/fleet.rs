//! Endpoints as this entry process knows them, and how much it may send to each.
//!
//! # Sharing an endpoint without a round trip
//!
//! Several entry processes send to the same endpoints and do not ask each other. What they have in
//! common is the endpoint's report, which comes late. At the moment that a report speaks of, this
//! process had `m` requests there (kept in a short history), so `others = running + waiting - m` is
//! what the others had. Of the slots that were free then, this process may fill
//! `(m + w) / (m + others + w * entries)`: in proportion to what it already sends there, where each
//! process is given `w` requests in advance. The shares of all processes add up to one, so that
//! together they fill what was free and no more, however late the report; a process that alone is
//! busy has nearly all of it after a few reports. Fractions are rounded by one draw a report: always
//! rounding up would let seven processes send seven requests to one free slot, always rounding down
//! would leave it free.
//!
//! An endpoint that is overfull is given back in the same proportion. Below its even share of the
//! slots (at least one request) no process is ever held, so that none is starved by others that came
//! first. Without a fresh report the even share is all that is left.

use std::collections;

use sageshed_types::{
    arena::{self, Key},
    endpoints, time,
};

use crate::{bits, event, health, learned, names, random, settings};

/// Entries of an endpoint's history of own requests in flight.
const HISTORY: usize = 256;

/// What an endpoint is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A model engine of this pool.
    Engine(arena::PoolKey),
    /// An instance of a plain service; none if the settings do not offer it.
    Service(Option<arena::ServiceKey>),
}

/// One endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// The start that is known.
    pub incarnation: endpoints::Incarnation,
    /// `IP:port`.
    pub address: String,
    /// A hash of its name, the same in every process, where the key is not.
    pub name_hash: u64,
    /// Where it stands.
    pub zone: arena::ZoneKey,
    /// What it is.
    pub kind: Kind,
    /// Requests that it runs at once; at least 1.
    pub slots: u32,
    /// It takes no new work and will go.
    pub leaving: bool,
    /// The daemon hears nothing of it.
    pub silent: bool,
    /// Requests of this process there.
    pub own: u32,
    /// How it has done.
    pub health: health::Health,
    /// How fast it is.
    pub learned: learned::Endpoint,
    sequence: u64,
    /// The moment that the load figures speak of.
    load_as_of: time::Instant,
    own_at_report: u32,
    others: u32,
    dither: f64,
    busy_until: time::Instant,
    ready: bits::BitSet,
    loading: Vec<(arena::ModelKey, time::Instant)>,
    history: collections::VecDeque<(time::Instant, u32)>,
}

impl Endpoint {
    fn new(now: time::Instant, identity: &endpoints::Identity, names: &mut names::Names) -> Self {
        let kind = match &identity.kind {
            endpoints::Kind::Engine { pool, .. } => Kind::Engine(names.pools.intern(pool)),
            endpoints::Kind::Service { service } => Kind::Service(names.services.get(service)),
        };
        Self {
            incarnation: identity.incarnation,
            address: identity.address.clone(),
            name_hash: random::hash(&identity.endpoint),
            zone: names.zones.intern(&identity.availability_zone),
            kind,
            slots: identity.slots.max(1),
            leaving: false,
            silent: false,
            own: 0,
            health: health::Health::new(now),
            learned: learned::Endpoint::default(),
            sequence: 0,
            load_as_of: now,
            own_at_report: 0,
            others: 0,
            dither: 0.0,
            busy_until: time::Instant(0),
            ready: bits::BitSet::empty(names.models.len()),
            loading: Vec::new(),
            history: collections::VecDeque::new(),
        }
    }

    /// Whether it can serve a target now.
    #[must_use]
    pub fn serves(&self, target: event::Target) -> bool {
        match target {
            event::Target::Model(key) => self.ready.contains(key.index()),
            event::Target::Service(key) => self.kind == Kind::Service(Some(key)),
        }
    }

    /// Since when it has been seen loading a model.
    #[must_use]
    pub fn loading_since(&self, model: arena::ModelKey) -> Option<time::Instant> {
        let mut loading = self.loading.iter();
        loading.find(|(key, _)| *key == model).map(|(_, at)| *at)
    }

    /// Whether its newest report is fresh enough to give it new work.
    #[must_use]
    pub fn has_recent_report(&self, now: time::Instant, policy: &settings::Policy) -> bool {
        !self.silent && now.since(self.load_as_of) < policy.report_silent_ms
    }

    /// Requests there as the report showed them.
    #[must_use]
    pub fn reported_load(&self) -> u32 {
        self.own_at_report + self.others
    }

    /// Requests that are taken to be there now.
    #[must_use]
    pub fn load(&self) -> u32 {
        self.own + self.others
    }

    /// How many requests this process may have there.
    #[must_use]
    pub fn limit(
        &self,
        now: time::Instant,
        policy: &settings::Policy,
        entries: u32,
        urgent: bool,
    ) -> u32 {
        let slots = f64::from(self.slots);
        let headroom = if urgent { policy.urgent_headroom } else { 0.0 };
        let share = match self.health.allowance(now, policy) {
            health::Allowance::Share(share) => share,
            // Only asked when all holders are ejected: then it is used as if it were not.
            health::Allowance::Ejected => 1.0,
        };
        let cap = slots * (policy.in_flight_per_slot + headroom) * share;
        let entries = f64::from(entries.max(1));
        let even = (cap / entries).floor().max(1.0);
        if now.since(self.load_as_of) > policy.report_stale_ms {
            return floor_to_u32(even);
        }
        floor_to_u32(self.proportional(cap, entries, policy).max(even))
    }

    fn proportional(&self, cap: f64, entries: f64, policy: &settings::Policy) -> f64 {
        let own = f64::from(self.own_at_report);
        let others = f64::from(self.others);
        let free = cap - own - others;
        if free < 0.0 {
            return own + free * own / (own + others).max(1.0);
        }
        let prior = policy.share_prior.max(f64::MIN_POSITIVE);
        let share = (own + prior) / (own + others + prior * entries);
        own + (free * share + self.dither).floor()
    }

    /// Whether this process may send one more there.
    #[must_use]
    pub fn has_room(
        &self,
        now: time::Instant,
        policy: &settings::Policy,
        entries: u32,
        urgent: bool,
    ) -> bool {
        now >= self.busy_until && self.own < self.limit(now, policy, entries, urgent)
    }

    /// Leaves it alone until a moment, since it said that it is busy.
    pub fn pause(&mut self, until: time::Instant) {
        self.busy_until = self.busy_until.max(until);
    }

    /// Notes that one more, or one less, of this process's requests is there.
    pub fn set_own(&mut self, now: time::Instant, own: u32) {
        self.own = own;
        if self.history.len() == HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((now, own));
    }

    /// Requests of this process that were there at a moment in the past.
    fn own_at(&self, at: time::Instant) -> u32 {
        let mut newest_first = self.history.iter().rev();
        let then = newest_first.find(|(since, _)| *since <= at);
        // The history is shorter than the report is old: its oldest entry is the nearest known.
        let oldest = self.history.front();
        then.or(oldest.filter(|_| self.history.len() == HISTORY))
            .map_or(0, |(_, own)| *own)
    }

    fn apply_load(&mut self, at: time::Instant, report: &endpoints::Report, dither: f64) {
        self.sequence = report.sequence;
        self.load_as_of = at;
        self.own_at_report = self.own_at(at);
        self.others = (report.running + report.waiting).saturating_sub(self.own_at_report);
        self.dither = dither;
        self.slots = report.identity.slots.max(1);
        self.address.clone_from(&report.identity.address);
        self.leaving |= report.leaving;
        self.silent = false;
    }

    fn apply_models(
        &mut self,
        now: time::Instant,
        resident: &[endpoints::Resident],
        names: &names::Names,
    ) {
        let mut ready = bits::BitSet::empty(names.models.len());
        let mut loading = Vec::new();
        for held in resident {
            let Some(key) = names.models.get(&held.model) else {
                continue;
            };
            match held.phase {
                endpoints::Phase::Ready => ready.insert(key.index()),
                endpoints::Phase::Loading => {
                    loading.push((key, self.loading_since(key).unwrap_or(now)));
                }
                endpoints::Phase::Unloading => {}
            }
        }
        self.ready = ready;
        self.loading = loading;
    }
}

fn floor_to_u32(value: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is clamped to what fits"
    )]
    let floor_to_u32 = value.floor().clamp(1.0, f64::from(u32::MAX)) as u32;
    floor_to_u32
}

/// What a report changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// It is older than what is known.
    Outdated,
    /// It is the newest of this endpoint.
    Applied(arena::EndpointKey),
}

/// All endpoints, by key, with the holders of each target.
#[derive(Debug)]
pub struct Fleet {
    endpoints: Vec<Endpoint>,
    by_model: Vec<Vec<arena::EndpointKey>>,
    by_service: Vec<Vec<arena::EndpointKey>>,
    /// What the lists of holders show of each endpoint.
    indexed: Vec<Option<(Kind, bits::BitSet)>>,
}

impl Fleet {
    /// No endpoint yet.
    #[must_use]
    pub fn new(names: &names::Names) -> Self {
        Self {
            endpoints: Vec::new(),
            by_model: vec![Vec::new(); names.models.len()],
            by_service: vec![Vec::new(); names.services.len()],
            indexed: Vec::new(),
        }
    }

    /// Takes a report whose figures are `age` old.
    ///
    /// A report of an earlier incarnation, or one that is not newer than the last, changes nothing:
    /// reports come by several ways and overtake each other, and an old one would bring back models
    /// that are gone and an endpoint that is leaving. A later incarnation starts anew in everything:
    /// its predecessor's requests are gone with it.
    pub fn report(
        &mut self,
        now: time::Instant,
        report: &endpoints::Report,
        age: time::Millis,
        names: &mut names::Names,
        random: &mut random::Random,
    ) -> ReportOutcome {
        let key = names.endpoints.intern(&report.identity.endpoint);
        let incarnation = report.identity.incarnation;
        let known = self.endpoints.get(key.index());
        let news = known.map(|e| (incarnation, report.sequence) > (e.incarnation, e.sequence));
        match news {
            Some(false) => return ReportOutcome::Outdated,
            Some(true) if self.endpoints[key.index()].incarnation == incarnation => {}
            Some(true) => {
                self.endpoints[key.index()] = Endpoint::new(now, &report.identity, names);
            }
            None => self
                .endpoints
                .push(Endpoint::new(now, &report.identity, names)),
        }
        let endpoint = &mut self.endpoints[key.index()];
        let at = time::Instant(now.0.saturating_sub(age.0));
        endpoint.apply_load(at, report, random.unit());
        if let endpoints::Kind::Engine { pool, .. } = &report.identity.kind {
            endpoint.kind = Kind::Engine(names.pools.intern(pool));
        }
        endpoint.apply_models(now, &report.resident, names);
        self.index(key);
        ReportOutcome::Applied(key)
    }

    /// Brings the lists of holders up to date for one endpoint.
    ///
    /// Most reports change nothing of what an endpoint holds, and searching the lists costs in
    /// proportion to all holders of all models: 62 µs a report at 10,000 endpoints, many times the
    /// rest of it.
    fn index(&mut self, key: arena::EndpointKey) {
        let endpoint = &self.endpoints[key.index()];
        if self.indexed.len() <= key.index() {
            self.indexed.resize(key.index() + 1, None);
        }
        let holds = Some((endpoint.kind, endpoint.ready.clone()));
        if self.indexed[key.index()] == holds {
            return;
        }
        self.indexed[key.index()] = holds;
        for (i, holders) in self.by_model.iter_mut().enumerate() {
            let target = event::Target::Model(arena::ModelKey::from_index(i));
            set_member(holders, key, endpoint.serves(target));
        }
        for (i, holders) in self.by_service.iter_mut().enumerate() {
            let target = event::Target::Service(arena::ServiceKey::from_index(i));
            set_member(holders, key, endpoint.serves(target));
        }
    }

    /// The endpoints that hold a target ready, whatever else is wrong with them.
    #[must_use]
    pub fn holders(&self, target: event::Target) -> &[arena::EndpointKey] {
        match target {
            event::Target::Model(key) => &self.by_model[key.index()],
            event::Target::Service(key) => &self.by_service[key.index()],
        }
    }

    /// One endpoint.
    #[must_use]
    pub fn get(&self, key: arena::EndpointKey) -> &Endpoint {
        &self.endpoints[key.index()]
    }

    /// One endpoint, to be changed.
    pub fn get_mut(&mut self, key: arena::EndpointKey) -> &mut Endpoint {
        &mut self.endpoints[key.index()]
    }

    /// Every endpoint heard of.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter()
    }

    /// Moves the health of each endpoint on with time.
    pub fn advance(&mut self, now: time::Instant, policy: &settings::Policy) {
        for endpoint in &mut self.endpoints {
            endpoint.health.advance(now, policy);
        }
    }
}

fn set_member(list: &mut Vec<arena::EndpointKey>, key: arena::EndpointKey, member: bool) {
    match (list.iter().position(|other| *other == key), member) {
        (None, true) => list.push(key),
        (Some(at), false) => {
            list.remove(at);
        }
        _ => {}
    }
}
