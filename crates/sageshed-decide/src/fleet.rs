//! The endpoints known to this entry process, and how many requests it may send to each.
//!
//! # Sharing endpoints without coordination
//!
//! Several entry processes send to the same endpoints and exchange no messages with each other. What
//! they have in common is the endpoint's report, which arrives with a delay. At the time that a
//! report refers to, this process had `m` requests in flight there (known from a short history), so
//! the other processes had `others = running + waiting - m`. Of the slots that were free then, this
//! process may fill the share `(m + w) / (m + others + w * entries)`. This is proportional to its
//! present traffic, with a prior of `w` requests for each process ([`Policy::share_prior`]).
//!
//! The shares of all processes add up to one, so that together they fill exactly the free slots,
//! however old the report. A process that is the only busy one gets nearly all of them after a few
//! reports. Fractions are rounded with one random number for each report: always rounding up would
//! let seven processes send seven requests to one free slot, and always rounding down would leave it
//! idle.
//!
//! When an endpoint is overcommitted, each process reduces its requests in the same proportion. No
//! process is limited below its even share of the slots (at least one request), so that none is
//! starved by others that came first. Without a fresh report, each process is limited to its even
//! share.
//!
//! [`Policy::share_prior`]: crate::settings::Policy::share_prior

use std::collections;

use sageshed_types::{
    arena::{self, Key},
    endpoints, time,
};

use crate::{bits, event, health, learned, names, random, settings};

/// Length of the history of own requests in flight, for each endpoint.
const HISTORY_LENGTH: usize = 256;

/// The kind of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A model engine in this pool.
    Engine(arena::PoolKey),
    /// An instance of a plain service; `None` if the service is not in the settings.
    Service(Option<arena::ServiceKey>),
}

/// An endpoint, as its reports and the requests of this process show it.
#[derive(Debug)]
pub struct Endpoint {
    /// The newest known incarnation.
    pub incarnation: endpoints::Incarnation,
    /// Its `IP:port`, from the newest report.
    pub address: String,
    /// A hash of its name. Unlike the key, it is the same in every entry process.
    pub name_hash: u64,
    /// Its availability zone.
    pub zone: arena::ZoneKey,
    /// Whether it is an engine or an instance of a plain service.
    pub kind: Kind,
    /// The number of requests that it runs concurrently; at least 1.
    pub slots: u32,
    /// Whether it is draining: it takes no new requests and will stop.
    pub leaving: bool,
    /// Whether the daemon has reported it as silent since its newest report.
    pub silent: bool,
    /// Requests of this process in flight there.
    pub own: u32,
    /// Its health, from the results of attempts of this process.
    pub health: health::Health,
    /// Its speed, learned from completed responses.
    pub learned: learned::Endpoint,
    sequence: u64,
    /// The time that the load figures refer to.
    load_as_of: time::Instant,
    own_at_report: u32,
    /// Requests of the other entry processes in flight at that time.
    others: u32,
    /// The random number from 0 to 1 with which the share is rounded, drawn for each report.
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

    /// Whether it can serve a target now, health and load aside.
    #[must_use]
    pub fn serves(&self, target: event::Target) -> bool {
        match target {
            event::Target::Model(key) => self.ready.contains(key.index()),
            event::Target::Service(key) => self.kind == Kind::Service(Some(key)),
        }
    }

    /// Since when reports have shown it loading a model, if it is.
    #[must_use]
    pub fn loading_since(&self, model: arena::ModelKey) -> Option<time::Instant> {
        let mut loading = self.loading.iter();
        loading.find(|(key, _)| *key == model).map(|(_, at)| *at)
    }

    /// Whether its newest report is recent enough to send it new requests.
    #[must_use]
    pub fn has_recent_report(&self, now: time::Instant, policy: &settings::Policy) -> bool {
        !self.silent && now.since(self.load_as_of) < policy.report_silent_ms
    }

    /// Requests in flight according to the newest report.
    #[must_use]
    pub fn reported_load(&self) -> u32 {
        self.own_at_report + self.others
    }

    /// Estimated requests in flight now: those of this process, and those of others at the last report.
    #[must_use]
    pub fn load(&self) -> u32 {
        self.own + self.others
    }

    /// How many requests this process may have in flight there. See the [module docs](self).
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
            // Happens only if all holders are ejected; they are used as if they were healthy then.
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

    /// Whether this process may send one more request.
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

    /// Excludes the endpoint from new requests until this time, since it responded that it is busy or
    /// requested a backoff.
    pub fn pause(&mut self, until: time::Instant) {
        self.busy_until = self.busy_until.max(until);
    }

    /// Sets the number of own requests in flight, and records it in the history.
    pub fn set_own(&mut self, now: time::Instant, own: u32) {
        self.own = own;
        if self.history.len() == HISTORY_LENGTH {
            self.history.pop_front();
        }
        self.history.push_back((now, own));
    }

    /// The number of own requests that were in flight at a time in the past.
    fn own_at(&self, at: time::Instant) -> u32 {
        let mut newest_first = self.history.iter().rev();
        let then = newest_first.find(|(since, _)| *since <= at);
        // If the report predates the history, the oldest entry is the best approximation.
        let oldest = self.history.front();
        then.or(oldest.filter(|_| self.history.len() == HISTORY_LENGTH))
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
    let floored = value.floor().clamp(1.0, f64::from(u32::MAX)) as u32;
    floored
}

/// Whether a report was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// Ignored, since a newer one was known.
    Outdated,
    /// Applied to this endpoint.
    Applied(arena::EndpointKey),
}

/// All known endpoints, with an index of the holders of each target.
#[derive(Debug)]
pub struct Fleet {
    endpoints: Vec<Endpoint>,
    by_model: Vec<Vec<arena::EndpointKey>>,
    by_service: Vec<Vec<arena::EndpointKey>>,
    /// For each endpoint, the state that the lists of holders reflect.
    indexed: Vec<Option<(Kind, bits::BitSet)>>,
}

impl Fleet {
    /// Creates a fleet without endpoints.
    #[must_use]
    pub fn new(names: &names::Names) -> Self {
        Self {
            endpoints: Vec::new(),
            by_model: vec![Vec::new(); names.models.len()],
            by_service: vec![Vec::new(); names.services.len()],
            indexed: Vec::new(),
        }
    }

    /// Applies a report whose figures are `age` old.
    ///
    /// A report of an earlier incarnation, or one that is not newer than the last, is ignored:
    /// reports arrive over several paths and overtake each other, and an outdated one would bring back
    /// unloaded models or make a leaving endpoint look available. A newer incarnation resets all
    /// state, since the requests of its predecessor ended with it.
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
        let is_newer = known.map(|e| (incarnation, report.sequence) > (e.incarnation, e.sequence));
        match is_newer {
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

    /// Updates the lists of holders for one endpoint, if its kind or its ready models have changed.
    ///
    /// Most reports change no models, and searching the lists takes time in proportion to all holders
    /// of all models: 62 µs for each report at 10,000 endpoints, many times the cost of the rest.
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

    /// The endpoints on which a target is ready, whatever their health and load.
    #[must_use]
    pub fn holders(&self, target: event::Target) -> &[arena::EndpointKey] {
        match target {
            event::Target::Model(key) => &self.by_model[key.index()],
            event::Target::Service(key) => &self.by_service[key.index()],
        }
    }

    /// The endpoint with this key.
    #[must_use]
    pub fn get(&self, key: arena::EndpointKey) -> &Endpoint {
        &self.endpoints[key.index()]
    }

    /// Mutable access to one endpoint.
    pub fn get_mut(&mut self, key: arena::EndpointKey) -> &mut Endpoint {
        &mut self.endpoints[key.index()]
    }

    /// All endpoints that have sent a report.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter()
    }

    /// Advances the time-dependent health state of each endpoint.
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
