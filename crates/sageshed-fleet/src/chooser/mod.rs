//! Selects the endpoint of a request, or decides that the request waits in this process or is refused.
//!
//! Each entry process decides on its own, from the directory's records of the endpoints, the requests that
//! it has sent to them and the load that they reported in their latest responses. It compares estimates of
//! the time until the response, or its first event, arrives.
//!
//! # Engines
//!
//! A model engine runs out of prefill throughput before it runs out of slots: it prefills some twenty
//! tokens per millisecond, so that a request with 1,800 uncached tokens occupies the whole engine for a
//! tenth of a second while sixty others generate beside it. The estimate therefore counts the tokens to
//! prefill, less those of prompt parts that the engine has processed before and still holds in its prefix
//! cache.
//!
//! # Failing endpoints
//!
//! Each failure adds to a score with a half-life of 1.5 seconds. The score is a penalty on the estimate, so
//! that an endpoint that fails some of its requests gets fewer of them and recovers its share as the score
//! decays. An endpoint that can't be reached is ejected for a time that grows with each failure. One that is
//! silent is left out until it sends something, but for probes.

mod backpressure;
mod contention;
pub mod coordinators;
mod endpoint;
mod outcomes;
mod prefill_limit;
mod prefill_speed;
mod prefix_cache;
mod query;
mod queueing;
mod rejection_limit;
mod routing;
mod silence;
mod slots;
mod software;
mod wait_estimates;

use std::{collections, net};

use sageshed_types::{arena, arena::Key, time};

use self::endpoint::Endpoint;
pub use self::{
    backpressure::LimitChange,
    query::{
        AttemptOutcome, BeganAt, Choice, EndpointQuery, Pick, Policy, Prefill, Routing, WaitReason,
    },
};
pub use crate::entry_peers::Pauses;
use crate::{config, dialect, directory, entry_peers};

/// Minimum cost of a request to an engine in milliseconds: one step of its batch.
const BATCH_STEP_MS: f64 = 10.0;

/// Cost of sending to another availability zone in milliseconds: the round trip, and a margin by which the
/// local one of two equal endpoints is preferred.
const CROSS_ZONE_MS: f64 = 4.0;

/// How long an engine that denied holding a model is not selected for it, unless a new directory record of
/// it arrives.
const MODEL_DENIAL_TTL: time::Millis = time::Millis(500);

/// Upper bound of an estimate in milliseconds, for endpoints that never respond.
const MAX_ESTIMATE_MS: f64 = 1e9;

/// Time from the request for an adapter until it is loaded, in milliseconds: two calls and the load.
const ADAPTER_LOAD_MS: f64 = 45.0;

/// By how much the estimate of an engine without the adapter must be lower than the best of those with it
/// to load the adapter there, in milliseconds.
const MIN_ADAPTER_LOAD_GAIN_MS: f64 = 120.0;

/// Result of the selection among engines.
#[derive(Debug, Clone, PartialEq, Eq)]
enum EngineSelection {
    /// Send to this engine.
    Engine(arena::EndpointKey),
    /// Load the adapter on this engine first.
    LoadAdapter(directory::InstanceId),
    /// No engine can take the request now.
    Wait(WaitReason),
}

/// The state of all endpoints as known to one entry process.
#[derive(Debug)]
pub struct Chooser {
    availability_zone: String,
    endpoints: Vec<Option<Endpoint>>,
    by_id: collections::HashMap<directory::InstanceId, arena::EndpointKey>,
    by_key: collections::HashMap<u64, arena::EndpointKey>,
    by_service: collections::HashMap<String, Vec<arena::EndpointKey>>,
    /// Engines that hold a model, across all services.
    by_model: collections::HashMap<String, Vec<arena::EndpointKey>>,
    random: u64,
    coordinators: coordinators::Coordinators,
    prefill_speeds: prefill_speed::PrefillSpeeds,
    prefill_limits: prefill_limit::PrefillLimits,
    wait_estimates: wait_estimates::WaitEstimates,
    backpressure: backpressure::Backpressure,
    rejection_limits: rejection_limit::RejectionLimits,
    policy: Policy,
    /// Whether the slots of plain services are shared among all entry processes.
    has_slot_shares: bool,
}

impl Chooser {
    /// Creates a chooser without endpoints. `seed` initializes the generator that breaks ties.
    #[must_use]
    pub fn new(availability_zone: &str, seed: u64) -> Self {
        Self {
            availability_zone: availability_zone.to_owned(),
            endpoints: Vec::new(),
            by_id: collections::HashMap::new(),
            by_key: collections::HashMap::new(),
            by_service: collections::HashMap::new(),
            by_model: collections::HashMap::new(),
            random: seed | 1,
            coordinators: coordinators::Coordinators::default(),
            prefill_speeds: prefill_speed::PrefillSpeeds::default(),
            prefill_limits: prefill_limit::PrefillLimits::default(),
            wait_estimates: wait_estimates::WaitEstimates::default(),
            backpressure: backpressure::Backpressure::default(),
            rejection_limits: rejection_limit::RejectionLimits::default(),
            policy: Policy::default(),
            has_slot_shares: false,
        }
    }

    /// Replaces the policy.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Draws a random number.
    pub fn draw(&mut self) -> u64 {
        // Marsaglia's xorshift.
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    /// Sets the list of entry processes, of which this one is `own`.
    pub fn set_entries(&mut self, own: net::Ipv4Addr, entries: &[net::Ipv4Addr]) {
        self.coordinators.set_entries(own, entries);
    }

    /// Adds or updates an endpoint from its directory record, or removes it if the record says that it is
    /// gone.
    pub fn update_instance(&mut self, instance: &directory::Instance) {
        if !instance.is_present() {
            return self.remove_instance(&instance.id);
        }
        self.coordinators.add_models(instance);
        if let Some(key) = self.by_id.get(&instance.id).copied() {
            if let Some(endpoint) = &mut self.endpoints[key.index()] {
                let before = std::mem::replace(&mut endpoint.instance, instance.clone());
                endpoint.software = instance.software();
                endpoint.denied_models.clear();
                endpoint.prefix_cache.retain_models(&instance.models);
                if before.models != instance.models {
                    self.unindex_models(key, &before);
                    self.index_models(key, instance);
                }
            }
            return;
        }
        let key = arena::EndpointKey::from_index(self.endpoints.len());
        let endpoint = Endpoint::new(instance.clone());
        self.endpoints.push(Some(endpoint));
        self.by_key
            .insert(entry_peers::instance_key(&instance.id), key);
        self.by_id.insert(instance.id.clone(), key);
        let service = self.by_service.entry(instance.service.clone());
        service.or_default().push(key);
        self.index_models(key, instance);
    }

    fn index_models(&mut self, key: arena::EndpointKey, instance: &directory::Instance) {
        for resident in &instance.models {
            let holders = self.by_model.entry(resident.model.clone()).or_default();
            if !holders.contains(&key) {
                holders.push(key);
            }
        }
    }

    fn unindex_models(&mut self, key: arena::EndpointKey, instance: &directory::Instance) {
        for resident in &instance.models {
            if let Some(holders) = self.by_model.get_mut(&resident.model) {
                holders.retain(|it| *it != key);
            }
        }
    }

    /// Removes an endpoint. Its key is not reused, since requests to it may still be in flight.
    pub fn remove_instance(&mut self, id: &directory::InstanceId) {
        let Some(key) = self.by_id.remove(id) else {
            return;
        };
        self.by_key.remove(&entry_peers::instance_key(id));
        let Some(endpoint) = self.endpoints[key.index()].take() else {
            return;
        };
        if let Some(list) = self.by_service.get_mut(&endpoint.instance.service) {
            list.retain(|it| *it != key);
        }
        self.unindex_models(key, &endpoint.instance);
    }

    /// Whether any known endpoint is ready.
    #[must_use]
    pub fn has_ready_endpoint(&self) -> bool {
        let mut known = self.endpoints.iter().flatten();
        known.any(|it| it.instance.is_ready())
    }

    /// Number of known endpoints, and of those that accept requests now.
    #[must_use]
    pub fn endpoint_counts(&self, now: time::Instant) -> (usize, usize) {
        let known = self.endpoints.iter().flatten();
        let is_closed = |it: &Endpoint| self.backpressure.is_closed(now, &it.instance.id);
        let open = known.clone().filter(|it| {
            it.instance.is_ready()
                && !it.is_ejected(now)
                && !it.silence.is_avoided(now)
                && !is_closed(it)
        });
        (known.count(), open.count())
    }

    /// Decides what to do with a request.
    pub fn choose(&mut self, now: time::Instant, query: &EndpointQuery<'_>) -> Choice {
        let choice = match query.wanted {
            Some(wanted) => self.choose_by_model(now, query, wanted),
            None => self.choose_plain_endpoint(now, query),
        };
        match choice {
            Choice::Wait(missing) => Choice::Wait(self.wait_reason(now, query, missing)),
            choice => choice,
        }
    }

    /// Selects among the engines that hold a model.
    fn choose_by_model(
        &mut self,
        now: time::Instant,
        query: &EndpointQuery<'_>,
        wanted: &dialect::ModelRef,
    ) -> Choice {
        let (with_adapter, without_adapter) = self.engines_with_model(now, query, wanted);
        if !with_adapter.is_empty() || !without_adapter.is_empty() {
            return self.choose_among_engines(now, query, &with_adapter, &without_adapter);
        }
        let is_any_open = self.open_endpoints(now, query).next().is_some();
        Choice::Wait(if is_any_open {
            WaitReason::Model
        } else {
            WaitReason::Endpoint
        })
    }

    /// Whether an endpoint could start on the request now, as far as this process knows.
    #[must_use]
    pub fn has_free_endpoint(&self, now: time::Instant, query: &EndpointQuery<'_>) -> bool {
        let Some(wanted) = query.wanted else {
            let mut open = self
                .open_endpoints(now, query)
                .filter_map(|key| self.get(key));
            return open.any(|it| it.has_capacity() && !it.silence.is_avoided(now));
        };
        let prefill_limit_ms = self.prefill_limits.prefill_limit_ms(query.service);
        let (with_adapter, _) = self.engines_with_model(now, query, wanted);
        let mut with_adapter = with_adapter.into_iter().filter_map(|key| self.get(key));
        with_adapter.any(|it| {
            let prefill_ms = self.prefill_ms(now, it, query);
            !it.silence.is_avoided(now) && !it.exceeds_limit(now, prefill_ms, prefill_limit_ms)
        })
    }

    fn choose_plain_endpoint(&mut self, now: time::Instant, query: &EndpointQuery<'_>) -> Choice {
        let open = self.without_silent(now, self.open_endpoints(now, query).collect());
        if open.is_empty() {
            return Choice::Wait(WaitReason::Endpoint);
        }
        if !query.ignores_slot_share && self.is_slot_share_used(query.service) {
            return Choice::Wait(WaitReason::Place);
        }
        let has_capacity = |key: &arena::EndpointKey| {
            self.get(*key).is_some_and(Endpoint::has_capacity)
                && !self.is_rejection_share_used(now, *key)
        };
        let free: Vec<_> = open.into_iter().filter(has_capacity).collect();
        match self.lowest_score(now, query, &free) {
            Some((_, key)) => self.dispatch(now, key, query),
            None => Choice::Wait(WaitReason::Place),
        }
    }

    /// Selects among the engines `with_adapter` and those `without_adapter`, on which it could be loaded.
    fn choose_among_engines(
        &mut self,
        now: time::Instant,
        query: &EndpointQuery<'_>,
        with_adapter: &[arena::EndpointKey],
        without_adapter: &[arena::EndpointKey],
    ) -> Choice {
        let (with_adapter, without_adapter) = (
            self.with_rejection_share(now, with_adapter),
            self.with_rejection_share(now, without_adapter),
        );
        if with_adapter.is_empty() && without_adapter.is_empty() {
            return Choice::Wait(WaitReason::Place);
        }
        match self.select_engine(now, query, &with_adapter, &without_adapter) {
            EngineSelection::Engine(key) => self.dispatch(now, key, query),
            EngineSelection::LoadAdapter(instance) => Choice::LoadAdapter { instance },
            EngineSelection::Wait(missing) => Choice::Wait(missing),
        }
    }

    fn select_engine(
        &mut self,
        now: time::Instant,
        query: &EndpointQuery<'_>,
        with_adapter: &[arena::EndpointKey],
        without_adapter: &[arena::EndpointKey],
    ) -> EngineSelection {
        let prefill_limit_ms = self.prefill_limits.prefill_limit_ms(query.service);
        let within_limit = |list: &[arena::EndpointKey]| -> Vec<_> {
            let is_within_limit = |key: &arena::EndpointKey| {
                let endpoint = self.get(*key);
                endpoint.is_some_and(|it| {
                    !it.exceeds_limit(now, self.prefill_ms(now, it, query), prefill_limit_ms)
                })
            };
            list.iter().copied().filter(is_within_limit).collect()
        };
        let (ready_with, ready_without) =
            (within_limit(with_adapter), within_limit(without_adapter));
        let best = self.lowest_score(now, query, &ready_with);
        let other = self.lowest_score(now, query, &ready_without);
        let worth_loading = other.filter(|(ms, _)| {
            let best_ms = best.map_or(f64::INFINITY, |(least, _)| least);
            query.may_load_adapter && ms + ADAPTER_LOAD_MS + MIN_ADAPTER_LOAD_GAIN_MS < best_ms
        });
        if let Some(endpoint) = worth_loading.and_then(|(_, key)| self.get(key)) {
            return EngineSelection::LoadAdapter(endpoint.instance.id.clone());
        }
        if let Some((_, key)) = best {
            return EngineSelection::Engine(key);
        }
        if query.patience > time::Millis(0) {
            return EngineSelection::Wait(WaitReason::Place);
        }
        let Some((_, key)) = self.lowest_score(now, query, with_adapter) else {
            return EngineSelection::Wait(WaitReason::Adapter);
        };
        // A request that will be late anyway loses nothing by waiting; sent now, it would make others late.
        if query.may_be_late && to_millis(self.estimate_ms(now, key, query)) > query.time_until_late
        {
            return EngineSelection::Wait(WaitReason::Place);
        }
        EngineSelection::Engine(key)
    }

    /// The open engines that hold the model of `wanted`: those with its adapter, and those without.
    fn engines_with_model(
        &self,
        now: time::Instant,
        query: &EndpointQuery<'_>,
        wanted: &dialect::ModelRef,
    ) -> (Vec<arena::EndpointKey>, Vec<arena::EndpointKey>) {
        let base = dialect::ModelRef {
            model: wanted.model.clone(),
            adapter: None,
        };
        let holders = self.by_model.get(&wanted.model).into_iter().flatten();
        let open = holders
            .copied()
            .filter(|key| self.is_in_service(*key, query.service) && self.is_open(now, *key, query))
            .filter(|key| self.holds(now, *key, &base, query.began));
        let (with_adapter, without_adapter): (Vec<_>, Vec<_>) =
            open.partition(|key| self.holds(now, *key, wanted, query.began));
        (
            self.without_silent(now, with_adapter),
            self.without_silent(now, without_adapter),
        )
    }

    /// Whether this endpoint is avoided for its silence, and another one could start on the request now.
    fn has_better_endpoint(
        &self,
        now: time::Instant,
        key: arena::EndpointKey,
        query: &EndpointQuery<'_>,
    ) -> bool {
        let endpoint = self.get(key);
        let is_avoided = endpoint.is_some_and(|it| it.silence.is_avoided(now));
        is_avoided && self.has_free_endpoint(now, query)
    }

    /// Of `keys`, those that are not avoided for their silence, or all if there is no other. A request that has
    /// nowhere else to go is answered soonest by an endpoint that goes on in a second.
    fn without_silent(
        &self,
        now: time::Instant,
        keys: Vec<arena::EndpointKey>,
    ) -> Vec<arena::EndpointKey> {
        let is_avoided = |key: &arena::EndpointKey| {
            let endpoint = self.get(*key);
            endpoint.is_some_and(|it| it.silence.is_avoided(now))
        };
        if keys.iter().all(is_avoided) {
            return keys;
        }
        keys.into_iter().filter(|key| !is_avoided(key)).collect()
    }

    /// The endpoint with the lowest score, and that score. Ties are broken at random.
    fn lowest_score(
        &mut self,
        now: time::Instant,
        query: &EndpointQuery<'_>,
        keys: &[arena::EndpointKey],
    ) -> Option<(f64, arena::EndpointKey)> {
        let offset = usize::try_from(self.draw()).unwrap_or(0) % keys.len().max(1);
        let mut best: Option<(f64, arena::EndpointKey)> = None;
        for at in 0..keys.len() {
            let key = keys[(at + offset) % keys.len()];
            // Compares whole milliseconds. Otherwise the remains of an old failure score would keep an
            // endpoint from ever being selected while others are idle.
            let ms = self.score(now, key, query).floor();
            if best.is_none_or(|(least, _)| ms < least) {
                best = Some((ms, key));
            }
        }
        best
    }

    /// The score by which endpoints are compared; the lowest wins.
    fn score(&self, now: time::Instant, key: arena::EndpointKey, query: &EndpointQuery<'_>) -> f64 {
        match self.policy.choice {
            Routing::Estimate => {
                let penalty_ms =
                    self.failure_penalty_ms(now, key) + self.stall_penalty_ms(now, key, query);
                self.estimate_ms(now, key, query) + penalty_ms
            }
            Routing::LeastLoad => self.get(key).map_or(f64::INFINITY, Endpoint::running),
            Routing::Random => 0.0,
        }
    }

    /// How soon some engine could hold `model`, which none holds now, given where the nearest copy of its
    /// weights is.
    #[must_use]
    pub fn load_time(&self, service: &str, model: &config::Model) -> time::Millis {
        let engines = self.by_service.get(service).into_iter().flatten();
        let ready = engines.filter_map(|key| Some(&self.get(*key)?.instance));
        let has = |list: &[String]| list.contains(&model.name);
        let load_times = ready.filter(|it| it.is_ready()).map(|it| {
            if has(&it.in_memory) {
                model.memory_load
            } else if has(&it.on_disk) {
                model.disk_load
            } else {
                model.store_load
            }
        });
        load_times.min().unwrap_or(model.store_load)
    }

    /// Endpoints of the service that accept requests now.
    fn open_endpoints(
        &self,
        now: time::Instant,
        query: &EndpointQuery<'_>,
    ) -> impl Iterator<Item = arena::EndpointKey> {
        let all = self.by_service.get(query.service).into_iter().flatten();
        all.copied()
            .filter(move |key| self.is_open(now, *key, query))
    }

    fn is_open(
        &self,
        now: time::Instant,
        key: arena::EndpointKey,
        query: &EndpointQuery<'_>,
    ) -> bool {
        self.is_eligible(now, key, query) && self.closed_for(now, key).is_none()
    }

    fn is_in_service(&self, key: arena::EndpointKey, service: &str) -> bool {
        self.get(key)
            .is_some_and(|it| it.instance.service == service)
    }

    /// Whether an endpoint is ready, not ejected, not yet tried for this request, and of the version that it needs.
    fn is_eligible(
        &self,
        now: time::Instant,
        key: arena::EndpointKey,
        query: &EndpointQuery<'_>,
    ) -> bool {
        let accepts = |it: &Endpoint| {
            it.instance.is_ready() && !it.is_ejected(now) && query.began.admits(it.software)
        };
        !query.tried.contains(&key) && self.get(key).is_some_and(accepts)
    }

    fn holds(
        &self,
        now: time::Instant,
        key: arena::EndpointKey,
        wanted: &dialect::ModelRef,
        began: BeganAt,
    ) -> bool {
        self.get(key).is_some_and(|it| it.holds(now, wanted, began))
    }

    fn estimate_ms(
        &self,
        now: time::Instant,
        key: arena::EndpointKey,
        query: &EndpointQuery<'_>,
    ) -> f64 {
        let Some(endpoint) = self.get(key) else {
            return f64::INFINITY;
        };
        let work = if query.wanted.is_some() {
            let is_observer = self.coordinators.is_observer(&endpoint.instance);
            endpoint.engine_estimate_ms(now, self.prefill_ms(now, endpoint, query), is_observer)
        } else {
            endpoint.service_estimate_ms(now)
        };
        let is_far = endpoint.instance.availability_zone != self.availability_zone;
        work + if is_far { CROSS_ZONE_MS } else { 0.0 }
    }

    /// Microseconds of prefill that a prompt costs on the engine that caches most of it, out of those that
    /// hold its model. `coordinator_cached` is the number of cached tokens that the model's coordinator
    /// reported. If no engine caches any, the whole prompt counts.
    ///
    /// The leader weighs models by this. When it counted whole prompts, shared prefixes that every engine
    /// caches made models look four to six times as busy as they were; each model seemed short of replicas,
    /// and replicas moved all the time.
    #[must_use]
    pub fn prefill_us(
        &self,
        service: &str,
        wanted: &dialect::ModelRef,
        request: &dialect::RequestMetadata,
        coordinator_cached: Option<u64>,
    ) -> u64 {
        let holders = self.by_model.get(&wanted.model).into_iter().flatten();
        let holders = holders
            .filter_map(|key| self.get(*key))
            .filter(|it| it.instance.service == service);
        let cached = holders
            .map(|it| it.prefix_cache.cached_tokens(wanted, &request.parts))
            .max();
        let cached = cached.max(coordinator_cached).unwrap_or(0);
        let uncached_tokens = request.prompt_tokens.saturating_sub(cached);
        let ms = uncached_tokens as f64 * self.prefill_speeds.ms_per_token(&wanted.model);
        to_u64(ms * endpoint::MICROS_PER_MS)
    }

    /// Milliseconds that the endpoint needs to prefill the prompt.
    fn prefill_ms(
        &self,
        now: time::Instant,
        endpoint: &Endpoint,
        query: &EndpointQuery<'_>,
    ) -> f64 {
        let Some(wanted) = query.wanted else {
            return 0.0;
        };
        let ms_per_token = self.prefill_speeds.ms_per_token(&wanted.model);
        let slowdown = endpoint.slowdown * endpoint.reported_slowdown.factor(now);
        endpoint.uncached_tokens(query) as f64 * ms_per_token * slowdown
    }

    /// Penalty for the endpoint's failures and silence.
    fn failure_penalty_ms(&self, now: time::Instant, key: arena::EndpointKey) -> f64 {
        let penalty_ms = |it: &Endpoint| it.failure_penalty_ms(now) + it.silence_penalty_ms(now);
        self.get(key).map_or(0.0, penalty_ms)
    }

    /// Penalty for stalling the streams that an engine runs with a long prefill.
    fn stall_penalty_ms(
        &self,
        now: time::Instant,
        key: arena::EndpointKey,
        query: &EndpointQuery<'_>,
    ) -> f64 {
        let Some(endpoint) = self.get(key).filter(|_| query.wanted.is_some()) else {
            return 0.0;
        };
        let pause_limit_ms = self.prefill_limits.pause_limit_ms(query.service);
        endpoint.engine_stall_penalty_ms(now, self.prefill_ms(now, endpoint, query), pause_limit_ms)
    }

    fn dispatch(
        &mut self,
        now: time::Instant,
        key: arena::EndpointKey,
        query: &EndpointQuery<'_>,
    ) -> Choice {
        // Failures make a response less likely, not later, so they don't count here.
        let estimate = to_millis(self.estimate_ms(now, key, query));
        self.dispatch_with_estimate(now, key, query, estimate)
    }

    /// Sends the request if the response is estimated to begin in `estimate`, unless that is too late.
    fn dispatch_with_estimate(
        &mut self,
        now: time::Instant,
        key: arena::EndpointKey,
        query: &EndpointQuery<'_>,
        estimate: time::Millis,
    ) -> Choice {
        if self.policy.turn_away && estimate >= query.time_left {
            return Choice::TooLate { estimate };
        }
        let Some((endpoint, prefill_us)) = self.prepare_dispatch(now, key, query) else {
            return Choice::Wait(WaitReason::Endpoint);
        };
        let uncached_tokens = endpoint.uncached_tokens(query);
        endpoint.in_flight += 1;
        endpoint.pending_prefill_us += prefill_us;
        if endpoint.awaiting == 0 {
            endpoint.awaiting_since = now;
        }
        endpoint.awaiting += 1;
        Choice::Send(Pick {
            key,
            instance: endpoint.instance.id.clone(),
            address: endpoint.instance.address,
            software: endpoint.software,
            uncached_tokens,
            prefill_us,
            estimate,
        })
    }

    /// The endpoint that a request is about to go to, and the prefill time of the request there in
    /// microseconds. Records when this brings the endpoint near its prefill limit.
    fn prepare_dispatch(
        &mut self,
        now: time::Instant,
        key: arena::EndpointKey,
        query: &EndpointQuery<'_>,
    ) -> Option<(&mut Endpoint, u64)> {
        let endpoint = self.get(key)?;
        let prefill_ms = self.prefill_ms(now, endpoint, query);
        let pending_ms = endpoint.total_pending_prefill_ms(now);
        let is_near_limit = self
            .prefill_limits
            .is_near_limit(query.service, pending_ms + prefill_ms);
        let endpoint = self.get_mut(key)?;
        endpoint.silence.record_send(now);
        if is_near_limit {
            endpoint.near_limit_at = Some(now);
        }
        Some((endpoint, to_u64(prefill_ms * endpoint::MICROS_PER_MS)))
    }

    fn get(&self, key: arena::EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key.index())?.as_ref()
    }

    fn get_mut(&mut self, key: arena::EndpointKey) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(key.index())?.as_mut()
    }
}

fn to_millis(ms: f64) -> time::Millis {
    time::Millis(to_u64(ms.min(MAX_ESTIMATE_MS)))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is cut to the range of the target"
)]
fn to_u64(value: f64) -> u64 {
    value.clamp(0.0, 1e12) as u64
}
