//! Which endpoint a request goes to, whether it waits here, or is turned away.
//!
//! Each entry process decides for itself by what it knows: what the directory says of each endpoint,
//! what it has sent there itself and what the endpoints said of their load in their latest answers.
//! The measure is the estimated time until the answer, or its first event, comes.
//!
//! # Engines
//!
//! On a model engine it is the reading of prompts that runs out first, not the places: an engine
//! reads some twenty tokens a millisecond, so a request with 1,800 tokens of its own takes a tenth of
//! a second of the whole engine, while sixty others generate beside it. So the estimate counts tokens
//! to be read, less those of prompt parts that the engine was sent before and still keeps.
//!
//! # Failing endpoints
//!
//! Each failure adds to a score that halves every second and a half. The score lengthens the
//! estimate, so an endpoint that fails a part of its requests gets fewer, and one that recovers comes
//! back by itself. One that can't be reached at all is left out for a while that grows.

mod advice;
mod ask;
mod backpressure;
mod endpoint;
pub mod homes;
mod kept;
mod lines;
mod outcomes;
mod pauses;
mod reading;

use std::{collections, net};

use sageshed_types::{arena, arena::Key, time};

use self::endpoint::Endpoint;
pub use self::{
    ask::{Ask, Choice, Ended, Missing, Pick, Policy, Read, Routing},
    backpressure::Change,
};
pub use crate::neighbours::Pauses;
use crate::{config, dialect, directory, neighbours};

/// A request to an engine costs this at least, in milliseconds: one step of its batch.
const STEP_MS: f64 = 10.0;

/// What a way to another availability zone adds, in milliseconds: the way there and back, and a bit
/// so that equal endpoints are taken near by.
const FAR_MS: f64 = 4.0;

/// The same for one that took requests and never answered: each that finds out that it still does not
/// costs its caller the whole time.
const SILENT_EJECTION: time::Millis = time::Millis(5_000);

/// How long an engine that said that it does not hold a model is not asked for it again, unless it
/// announces itself anew.
const DENIAL: time::Millis = time::Millis(500);

/// The longest span that is reckoned with, in milliseconds, of an endpoint that never answers.
const LONGEST_MS: f64 = 1e9;

/// How long an adapter takes to be there once it is asked for, in milliseconds: two calls and a load.
const ADAPTER_MS: f64 = 45.0;

/// By how much an engine without the adapter must be better than the best with it, in milliseconds.
const WORTH_A_LOAD_MS: f64 = 120.0;

/// What was found among engines.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Found {
    /// This one.
    Engine(arena::EndpointKey),
    /// This one, once the adapter is loaded there.
    Fetch(directory::InstanceId),
    /// None now.
    Missing(Missing),
}

/// What one entry process knows of the endpoints.
#[derive(Debug)]
pub struct Chooser {
    availability_zone: String,
    endpoints: Vec<Option<Endpoint>>,
    by_id: collections::HashMap<directory::InstanceId, arena::EndpointKey>,
    by_key: collections::HashMap<u64, arena::EndpointKey>,
    by_service: collections::HashMap<String, Vec<arena::EndpointKey>>,
    /// The engines that hold a model, of all services.
    by_model: collections::HashMap<String, Vec<arena::EndpointKey>>,
    random: u64,
    homes: homes::Homes,
    paces: reading::Paces,
    bounds: pauses::Bounds,
    lines: lines::Lines,
    backpressure: backpressure::Backpressure,
    policy: Policy,
}

impl Chooser {
    /// Knows no endpoint. `seed` is for ties.
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
            homes: homes::Homes::default(),
            paces: reading::Paces::default(),
            bounds: pauses::Bounds::default(),
            lines: lines::Lines::default(),
            backpressure: backpressure::Backpressure::default(),
            policy: Policy::default(),
        }
    }

    /// The same with another policy.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// A random number.
    pub fn draw(&mut self) -> u64 {
        // Marsaglia's xorshift.
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    /// Takes the list of entry processes, of which this one is `own`.
    pub fn join_groups(&mut self, own: net::Ipv4Addr, entries: &[net::Ipv4Addr]) {
        self.homes.set_entries(own, entries);
    }

    /// Takes what the directory says of an endpoint.
    pub fn know(&mut self, instance: &directory::Instance) {
        if !instance.is_present() {
            return self.forget(&instance.id);
        }
        self.homes.know(instance);
        if let Some(key) = self.by_id.get(&instance.id).copied() {
            if let Some(endpoint) = &mut self.endpoints[key.index()] {
                let before = std::mem::replace(&mut endpoint.instance, instance.clone());
                endpoint.denied.clear();
                endpoint.kept.keep_resident(&instance.models);
                if before.models != instance.models {
                    self.drop_models(key, &before);
                    self.hold_models(key, instance);
                }
            }
            return;
        }
        let key = arena::EndpointKey::from_index(self.endpoints.len());
        let endpoint = Endpoint::new(instance.clone());
        self.endpoints.push(Some(endpoint));
        self.by_key
            .insert(neighbours::instance_key(&instance.id), key);
        self.by_id.insert(instance.id.clone(), key);
        let service = self.by_service.entry(instance.service.clone());
        service.or_default().push(key);
        self.hold_models(key, instance);
    }

    fn hold_models(&mut self, key: arena::EndpointKey, instance: &directory::Instance) {
        for resident in &instance.models {
            let holders = self.by_model.entry(resident.model.clone()).or_default();
            if !holders.contains(&key) {
                holders.push(key);
            }
        }
    }

    fn drop_models(&mut self, key: arena::EndpointKey, instance: &directory::Instance) {
        for resident in &instance.models {
            if let Some(holders) = self.by_model.get_mut(&resident.model) {
                holders.retain(|it| *it != key);
            }
        }
    }

    /// An endpoint has gone. Its key is not given to another, since requests may be under way there.
    pub fn forget(&mut self, id: &directory::InstanceId) {
        let Some(key) = self.by_id.remove(id) else {
            return;
        };
        self.by_key.remove(&neighbours::instance_key(id));
        let Some(endpoint) = self.endpoints[key.index()].take() else {
            return;
        };
        if let Some(list) = self.by_service.get_mut(&endpoint.instance.service) {
            list.retain(|it| *it != key);
        }
        self.drop_models(key, &endpoint.instance);
    }

    /// Whether any endpoint is known that takes work.
    #[must_use]
    pub fn knows_any(&self) -> bool {
        let mut known = self.endpoints.iter().flatten();
        known.any(|it| it.instance.is_ready())
    }

    /// How many endpoints are known, and how many of them take work now.
    #[must_use]
    pub fn counts(&self, now: time::Instant) -> (usize, usize) {
        let known = self.endpoints.iter().flatten();
        let is_closed = |it: &Endpoint| self.backpressure.is_closed(now, &it.instance.id);
        let open = known
            .clone()
            .filter(|it| it.instance.is_ready() && now >= it.ejected_until && !is_closed(it));
        (known.count(), open.count())
    }

    /// Decides.
    pub fn choose(&mut self, now: time::Instant, ask: &Ask<'_>) -> Choice {
        let choice = match ask.wanted {
            Some(wanted) => self.choose_holder(now, ask, wanted),
            None => self.choose_plain(now, ask),
        };
        match choice {
            Choice::Wait(missing) => Choice::Wait(self.missing_or_closed(now, ask, missing)),
            choice => choice,
        }
    }

    /// Chooses among the engines that hold a model.
    fn choose_holder(
        &mut self,
        now: time::Instant,
        ask: &Ask<'_>,
        wanted: &dialect::ModelRef,
    ) -> Choice {
        let (with, without) = self.holders(now, ask, wanted);
        if !with.is_empty() || !without.is_empty() {
            return self.choose_engine(now, ask, &with, &without);
        }
        let is_any_open = self.open(now, ask).next().is_some();
        Choice::Wait(if is_any_open {
            Missing::Model
        } else {
            Missing::Endpoint
        })
    }

    /// Whether an endpoint could begin with the request now, as far as is known here.
    #[must_use]
    pub fn has_free(&self, now: time::Instant, ask: &Ask<'_>) -> bool {
        let Some(wanted) = ask.wanted else {
            let mut open = self.open(now, ask).filter_map(|key| self.get(key));
            return open.any(Endpoint::has_place);
        };
        let bound_ms = self.bounds.bound_ms(ask.service);
        let (with, _) = self.holders(now, ask, wanted);
        let mut with = with.into_iter().filter_map(|key| self.get(key));
        with.any(|it| !it.would_pause(now, self.reading_ms(it, ask), bound_ms))
    }

    fn choose_plain(&mut self, now: time::Instant, ask: &Ask<'_>) -> Choice {
        let open: Vec<_> = self.open(now, ask).collect();
        if open.is_empty() {
            return Choice::Wait(Missing::Endpoint);
        }
        let room = |key: &arena::EndpointKey| self.get(*key).is_some_and(Endpoint::has_place);
        let free: Vec<_> = open.into_iter().filter(room).collect();
        match self.best(now, ask, &free) {
            Some((_, key)) => self.send(now, key, ask),
            None => Choice::Wait(Missing::Place),
        }
    }

    /// Chooses among engines `with` the adapter and those `without` it, where it could be loaded.
    fn choose_engine(
        &mut self,
        now: time::Instant,
        ask: &Ask<'_>,
        with: &[arena::EndpointKey],
        without: &[arena::EndpointKey],
    ) -> Choice {
        match self.find_engine(now, ask, with, without) {
            Found::Engine(key) => self.send(now, key, ask),
            Found::Fetch(instance) => Choice::Fetch { instance },
            Found::Missing(missing) => Choice::Wait(missing),
        }
    }

    fn find_engine(
        &mut self,
        now: time::Instant,
        ask: &Ask<'_>,
        with: &[arena::EndpointKey],
        without: &[arena::EndpointKey],
    ) -> Found {
        let bound_ms = self.bounds.bound_ms(ask.service);
        let calm = |list: &[arena::EndpointKey]| -> Vec<_> {
            let is_calm = |key: &arena::EndpointKey| {
                let endpoint = self.get(*key);
                endpoint.is_some_and(|it| !it.would_pause(now, self.reading_ms(it, ask), bound_ms))
            };
            list.iter().copied().filter(is_calm).collect()
        };
        let (calm_with, calm_without) = (calm(with), calm(without));
        let best = self.best(now, ask, &calm_with);
        let other = self.best(now, ask, &calm_without);
        let fetch = other.filter(|(ms, _)| {
            let there = best.map_or(f64::INFINITY, |(least, _)| least);
            ask.may_fetch && ms + ADAPTER_MS + WORTH_A_LOAD_MS < there
        });
        if let Some(endpoint) = fetch.and_then(|(_, key)| self.get(key)) {
            return Found::Fetch(endpoint.instance.id.clone());
        }
        if let Some((_, key)) = best {
            return Found::Engine(key);
        }
        if ask.patience > time::Millis(0) {
            return Found::Missing(Missing::Place);
        }
        let Some((_, key)) = self.best(now, ask, with) else {
            return Found::Missing(Missing::Adapter);
        };
        // One that will be late loses nothing more by waiting, and would make others late.
        if ask.may_be_late && span(self.estimate(now, key, ask)) > ask.on_time {
            return Found::Missing(Missing::Place);
        }
        Found::Engine(key)
    }

    /// The open engines that hold the model of `wanted`, those with and those without its adapter.
    fn holders(
        &self,
        now: time::Instant,
        ask: &Ask<'_>,
        wanted: &dialect::ModelRef,
    ) -> (Vec<arena::EndpointKey>, Vec<arena::EndpointKey>) {
        let base = dialect::ModelRef {
            model: wanted.model.clone(),
            adapter: None,
        };
        let holders = self.by_model.get(&wanted.model).into_iter().flatten();
        holders
            .copied()
            .filter(|key| self.is_of(*key, ask.service) && self.is_open(now, *key, ask))
            .filter(|key| self.holds(now, *key, &base))
            .partition(|key| self.holds(now, *key, wanted))
    }

    /// The one with the least estimate, and that. Of equal ones any.
    fn best(
        &mut self,
        now: time::Instant,
        ask: &Ask<'_>,
        keys: &[arena::EndpointKey],
    ) -> Option<(f64, arena::EndpointKey)> {
        let offset = usize::try_from(self.draw()).unwrap_or(0) % keys.len().max(1);
        let mut best: Option<(f64, arena::EndpointKey)> = None;
        for at in 0..keys.len() {
            let key = keys[(at + offset) % keys.len()];
            // Whole milliseconds: by less than that an endpoint that failed long ago would never be
            // chosen again while the others are idle.
            let ms = self.measure(now, key, ask).floor();
            if best.is_none_or(|(least, _)| ms < least) {
                best = Some((ms, key));
            }
        }
        best
    }

    /// By what endpoints are compared; the least is taken.
    fn measure(&self, now: time::Instant, key: arena::EndpointKey, ask: &Ask<'_>) -> f64 {
        match self.policy.choice {
            Routing::Estimate => {
                let against = self.failures(now, key) + self.stall(now, key, ask);
                self.estimate(now, key, ask) + against
            }
            Routing::LeastLoad => self.get(key).map_or(f64::INFINITY, Endpoint::running),
            Routing::Random => 0.0,
        }
    }

    /// How soon some engine could hold `model`, which none does: by the nearest copy of its weights.
    #[must_use]
    pub fn load_time(&self, service: &str, model: &config::Model) -> time::Millis {
        let engines = self.by_service.get(service).into_iter().flatten();
        let ready = engines.filter_map(|key| Some(&self.get(*key)?.instance));
        let has = |list: &[String]| list.contains(&model.name);
        let near = ready.filter(|it| it.is_ready()).map(|it| {
            if has(&it.in_memory) {
                model.memory_load
            } else if has(&it.on_disk) {
                model.disk_load
            } else {
                model.store_load
            }
        });
        near.min().unwrap_or(model.store_load)
    }

    /// The endpoints of the service that take work now.
    fn open(&self, now: time::Instant, ask: &Ask<'_>) -> impl Iterator<Item = arena::EndpointKey> {
        let all = self.by_service.get(ask.service).into_iter().flatten();
        all.copied().filter(move |key| self.is_open(now, *key, ask))
    }

    fn is_open(&self, now: time::Instant, key: arena::EndpointKey, ask: &Ask<'_>) -> bool {
        self.is_sound(now, key, ask) && self.closed_for(now, key).is_none()
    }

    fn is_of(&self, key: arena::EndpointKey, service: &str) -> bool {
        self.get(key)
            .is_some_and(|it| it.instance.service == service)
    }

    /// Whether an endpoint takes work and could be reached, and was not tried.
    fn is_sound(&self, now: time::Instant, key: arena::EndpointKey, ask: &Ask<'_>) -> bool {
        let takes = |it: &Endpoint| it.instance.is_ready() && now >= it.ejected_until;
        !ask.tried.contains(&key) && self.get(key).is_some_and(takes)
    }

    fn holds(
        &self,
        now: time::Instant,
        key: arena::EndpointKey,
        wanted: &dialect::ModelRef,
    ) -> bool {
        self.get(key).is_some_and(|it| it.holds(now, wanted))
    }

    fn estimate(&self, now: time::Instant, key: arena::EndpointKey, ask: &Ask<'_>) -> f64 {
        let Some(endpoint) = self.get(key) else {
            return f64::INFINITY;
        };
        let work = if ask.wanted.is_some() {
            let is_told = self.homes.is_told(&endpoint.instance);
            endpoint.engine_ms(now, self.reading_ms(endpoint, ask), is_told)
        } else {
            endpoint.service_ms(now)
        };
        let is_far = endpoint.instance.availability_zone != self.availability_zone;
        work + if is_far { FAR_MS } else { 0.0 }
    }

    /// Microseconds that an engine needs to read a prompt: the one that keeps most of it, of those that
    /// hold its model, as far as is known here or the home of the model has `advised`, in tokens. All of it
    /// where none does.
    ///
    /// A leader weighs models by this. Counted in whole prompts, shared beginnings that every engine
    /// keeps made models look four to six times as busy as they were, so that each was short of copies
    /// and copies changed places all the time.
    #[must_use]
    pub fn reading_us(
        &self,
        service: &str,
        wanted: &dialect::ModelRef,
        passing: &dialect::RequestMetadata,
        advised: Option<u64>,
    ) -> u64 {
        let holders = self.by_model.get(&wanted.model).into_iter().flatten();
        let holders = holders
            .filter_map(|key| self.get(*key))
            .filter(|it| it.instance.service == service);
        let kept = holders
            .map(|it| it.kept.tokens(wanted, &passing.parts))
            .max();
        let kept = kept.max(advised).unwrap_or(0);
        let unkept = passing.prompt_tokens.saturating_sub(kept);
        let ms = unkept as f64 * self.paces.ms_per_token(&wanted.model);
        whole(ms * endpoint::MICROS)
    }

    /// Milliseconds that the endpoint takes to read the prompt.
    fn reading_ms(&self, endpoint: &Endpoint, ask: &Ask<'_>) -> f64 {
        let Some(wanted) = ask.wanted else {
            return 0.0;
        };
        let pace = self.paces.ms_per_token(&wanted.model);
        endpoint.unkept(ask) as f64 * pace * endpoint.slowness
    }

    /// What the endpoint's failures count against it.
    fn failures(&self, now: time::Instant, key: arena::EndpointKey) -> f64 {
        let against = |it: &Endpoint| it.failure_ms(now) + it.silence_ms(now);
        self.get(key).map_or(0.0, against)
    }

    /// What the streams that an engine runs count against sending it a prompt that stops them for long.
    fn stall(&self, now: time::Instant, key: arena::EndpointKey, ask: &Ask<'_>) -> f64 {
        let Some(endpoint) = self.get(key).filter(|_| ask.wanted.is_some()) else {
            return 0.0;
        };
        let limit_ms = self.bounds.limit_ms(ask.service);
        endpoint.stall_ms(now, self.reading_ms(endpoint, ask), limit_ms)
    }

    fn send(&mut self, now: time::Instant, key: arena::EndpointKey, ask: &Ask<'_>) -> Choice {
        // Failures say that an answer is less likely, not that it comes later.
        let estimate = span(self.estimate(now, key, ask));
        self.send_by(now, key, ask, estimate)
    }

    /// Sends where the answer is estimated to begin in `estimate`.
    fn send_by(
        &mut self,
        now: time::Instant,
        key: arena::EndpointKey,
        ask: &Ask<'_>,
        estimate: time::Millis,
    ) -> Choice {
        if self.policy.turn_away && estimate >= ask.left {
            return Choice::TooLate { estimate };
        }
        let Some((endpoint, reading)) = self.burden(now, key, ask) else {
            return Choice::Wait(Missing::Endpoint);
        };
        let tokens = endpoint.unkept(ask);
        endpoint.in_flight += 1;
        endpoint.unread += reading;
        if endpoint.owed == 0 {
            endpoint.owed_since = now;
        }
        endpoint.owed += 1;
        Choice::Send(Pick {
            key,
            instance: endpoint.instance.id.clone(),
            address: endpoint.instance.address,
            tokens,
            reading,
            estimate,
        })
    }

    /// The endpoint that a request is about to go to, and the microseconds that it takes to read it. Notes
    /// where that is about as much as its streams bear.
    fn burden(
        &mut self,
        now: time::Instant,
        key: arena::EndpointKey,
        ask: &Ask<'_>,
    ) -> Option<(&mut Endpoint, u64)> {
        let endpoint = self.get(key)?;
        let reading_ms = self.reading_ms(endpoint, ask);
        let ahead_ms = endpoint.unread_by_all(now);
        let is_strained = self.bounds.is_strain(ask.service, ahead_ms + reading_ms);
        let endpoint = self.get_mut(key)?;
        if is_strained {
            endpoint.strained_at = Some(now);
        }
        Some((endpoint, whole(reading_ms * endpoint::MICROS)))
    }

    fn get(&self, key: arena::EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key.index())?.as_ref()
    }

    fn get_mut(&mut self, key: arena::EndpointKey) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(key.index())?.as_mut()
    }
}

fn span(ms: f64) -> time::Millis {
    time::Millis(whole(ms.min(LONGEST_MS)))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is cut to the range of the target"
)]
fn whole(value: f64) -> u64 {
    value.clamp(0.0, 1e12) as u64
}
