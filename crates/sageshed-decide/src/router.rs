//! Endpoint selection: which endpoint gets a request, and how long the response will take.
//!
//! # Selection
//!
//! Uses the power of two choices: among the endpoints with room, two are drawn at random and the one
//! with the better score is chosen. Choosing the best of all would make every entry process choose
//! the same one until the next report (the `LeastReported` baseline shows this); two choices keep
//! most of the gain over random selection and spread the load.
//!
//! A third candidate comes from prefix affinity. Rendezvous hashing maps the first part of the prompt
//! to the same endpoint in every entry process, without any messages, so that a cached prefix is
//! reused. This candidate has to win by score like the others, with the saved time counted in, so
//! that a popular prefix can't overload its endpoint.
//!
//! # Estimate
//!
//! The time to the complete response is the wait inside the endpoint plus the service time of the
//! target there. The wait follows from the estimated load (see [`crate::fleet`]) and the mean time
//! for which a request occupies one of the endpoint's slots.
//!
//! # Eligibility
//!
//! A leaving endpoint and one where this request has failed are never eligible. Ejected endpoints and
//! silent ones, which have sent no recent report, are used only if no other holder is left. That all
//! holders of a model look bad at once is more likely due to missing reports, or to a faulty request
//! that fails everywhere, than to the loss of all of them, and refusing everything would be worse. An
//! endpoint that is both ejected and silent is considered dead, since the two signs are independent of
//! each other. A model that is held only there counts as held nowhere, so that its requests wait for a
//! load elsewhere.

use sageshed_types::{
    arena::{self, Key},
    time,
};

use crate::{event, fleet, health, learned, names, queue, random, settings};

/// What a request requires of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Requirements<'a> {
    /// The model, adapter or service to serve.
    pub target: event::Target,
    /// The only pool that may serve the request, if a rule names one.
    pub pool: Option<arena::PoolKey>,
    /// Whether the request may use the headroom for urgent requests.
    pub urgent: bool,
    /// The maximum number of tokens in the response; 0 if unknown.
    pub max_tokens: u32,
    /// A hash of the first part of the prompt; 0 if there is none.
    pub prefix: u64,
    /// Endpoints on which an attempt of this request has failed.
    pub failed_on: &'a [arena::EndpointKey],
}

/// A chosen endpoint with its estimate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pick {
    /// The endpoint.
    pub endpoint: arena::EndpointKey,
    /// Predicted wait inside the endpoint, in milliseconds.
    pub wait: f64,
    /// Predicted service time there, in milliseconds.
    pub service: f64,
}

/// The result of endpoint selection for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Choice {
    /// The request can be sent to this endpoint.
    Pick(Pick),
    /// Endpoints serve the target, but none has room.
    Full,
    /// No endpoint serves the target.
    Cold,
    /// The request has failed on every endpoint that serves the target.
    Exhausted,
}

/// Whether an endpoint is eligible for a request, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eligibility {
    /// The endpoint is eligible.
    Eligible,
    /// The endpoint belongs to a pool other than the required one.
    OtherPool,
    /// The endpoint is draining and takes no new requests.
    Leaving,
    /// An attempt of the request has failed there.
    Failed,
    /// The endpoint is ejected because of failures.
    Ejected,
    /// The endpoint has sent no report for too long.
    Silent,
    /// The endpoint is ejected and silent, and therefore considered dead.
    Gone,
}

/// Selects endpoints, and keeps the state that the selection is based on.
#[derive(Debug)]
pub struct Router {
    /// The known endpoints.
    pub fleet: fleet::Fleet,
    /// The random generator for all draws of the decider.
    pub random: random::Random,
    policy: settings::Policy,
    entries: u32,
    models: Vec<learned::Target>,
    services: Vec<learned::Target>,
}

impl Router {
    /// Creates a router without endpoints.
    #[must_use]
    pub fn new(names: &names::Names, policy: settings::Policy, entries: u32, seed: u64) -> Self {
        Self {
            fleet: fleet::Fleet::new(names),
            random: random::Random::new(seed),
            policy,
            entries,
            models: vec![learned::Target::default(); names.models.len()],
            services: vec![learned::Target::default(); names.services.len()],
        }
    }

    /// The learned estimates for a target.
    #[must_use]
    pub fn learned(&self, target: event::Target) -> &learned::Target {
        match target {
            event::Target::Model(key) => &self.models[key.index()],
            event::Target::Service(key) => &self.services[key.index()],
        }
    }

    /// Mutable access to the learned estimates for a target.
    pub fn learned_mut(&mut self, target: event::Target) -> &mut learned::Target {
        match target {
            event::Target::Model(key) => &mut self.models[key.index()],
            event::Target::Service(key) => &mut self.services[key.index()],
        }
    }

    /// Updates the estimates with a complete response. `span` is its duration in milliseconds without
    /// the predicted wait.
    pub fn learn(
        &mut self,
        requirements: &Requirements<'_>,
        endpoint: arena::EndpointKey,
        span: f64,
        tokens: u32,
    ) {
        let expected = self.service(requirements);
        self.fleet.get_mut(endpoint).learned.add(span, expected);
        let learned = self.learned_mut(requirements.target);
        learned.add(span, tokens, requirements.max_tokens);
    }

    /// Service time on an endpoint of average speed, in milliseconds.
    #[must_use]
    pub fn service(&self, requirements: &Requirements<'_>) -> f64 {
        let learned = self.learned(requirements.target);
        learned.service(requirements.max_tokens, self.policy.initial_service_ms)
    }

    /// Selects an endpoint that has room for one more request.
    pub fn choose(&mut self, now: time::Instant, requirements: &Requirements<'_>) -> Choice {
        let eligible = match self.eligible(now, requirements) {
            Ok(eligible) => eligible,
            Err(choice) => return choice,
        };
        let has_room = |key: &arena::EndpointKey| self.has_room(now, *key, requirements.urgent);
        let room = eligible.into_iter().filter(has_room).collect::<Vec<_>>();
        let chosen = match self.policy.routing {
            settings::Routing::TwoChoices => self.two_choices(requirements, &room),
            settings::Routing::Random => self.draw(&room),
            settings::Routing::LeastReported => self.least_reported(&room),
        };
        chosen.map_or(Choice::Full, |key| {
            Choice::Pick(self.pick(requirements, key))
        })
    }

    /// The endpoints that may take the request, whether they have room or not; or why there is none.
    pub fn eligible(
        &self,
        now: time::Instant,
        requirements: &Requirements<'_>,
    ) -> Result<Vec<arena::EndpointKey>, Choice> {
        let holders = self.fleet.holders(requirements.target);
        let mut eligible = Vec::with_capacity(holders.len());
        let mut doubtful = Vec::new();
        let mut any_failed = false;
        for key in holders {
            match self.eligibility(now, requirements, *key) {
                Eligibility::Eligible => eligible.push(*key),
                Eligibility::Ejected | Eligibility::Silent => doubtful.push(*key),
                Eligibility::Failed => any_failed = true,
                Eligibility::OtherPool | Eligibility::Leaving | Eligibility::Gone => {}
            }
        }
        match (eligible.is_empty(), doubtful.is_empty(), any_failed) {
            (false, _, _) => Ok(eligible),
            (true, false, _) => Ok(doubtful),
            (true, true, true) => Err(Choice::Exhausted),
            (true, true, false) => Err(Choice::Cold),
        }
    }

    /// Whether no eligible endpoint serves the target of a lane.
    #[must_use]
    pub fn is_cold(&self, now: time::Instant, lane: queue::Lane) -> bool {
        let requirements = Requirements {
            target: lane.target,
            pool: lane.pool,
            urgent: false,
            max_tokens: 0,
            prefix: 0,
            failed_on: &[],
        };
        self.eligible(now, &requirements).is_err()
    }

    /// The eligibility of an endpoint that holds the target.
    #[must_use]
    pub fn eligibility(
        &self,
        now: time::Instant,
        requirements: &Requirements<'_>,
        key: arena::EndpointKey,
    ) -> Eligibility {
        let endpoint = self.fleet.get(key);
        let other_pool = requirements
            .pool
            .is_some_and(|pool| matches!(endpoint.kind, fleet::Kind::Engine(own) if own != pool));
        if other_pool {
            return Eligibility::OtherPool;
        }
        if endpoint.leaving {
            return Eligibility::Leaving;
        }
        if requirements.failed_on.contains(&key) {
            return Eligibility::Failed;
        }
        let ejected = endpoint.health.allowance(now, &self.policy) == health::Allowance::Ejected;
        match (ejected, endpoint.has_recent_report(now, &self.policy)) {
            (false, true) => Eligibility::Eligible,
            (true, true) => Eligibility::Ejected,
            (false, false) => Eligibility::Silent,
            (true, false) => Eligibility::Gone,
        }
    }

    /// Whether this process may send one more request to an endpoint.
    #[must_use]
    pub fn has_room(&self, now: time::Instant, key: arena::EndpointKey, urgent: bool) -> bool {
        let endpoint = self.fleet.get(key);
        endpoint.has_room(now, &self.policy, self.entries, urgent)
    }

    /// The rate at which an endpoint is expected to complete requests of this process, per millisecond.
    #[must_use]
    pub fn own_rate(
        &self,
        now: time::Instant,
        key: arena::EndpointKey,
        requirements: &Requirements<'_>,
    ) -> f64 {
        let endpoint = self.fleet.get(key);
        let limit = endpoint.limit(now, &self.policy, self.entries, requirements.urgent);
        let busy = f64::from(limit) / self.policy.in_flight_per_slot.max(1.0);
        let slot_time = endpoint
            .learned
            .slot_time()
            .unwrap_or_else(|| self.service(requirements));
        busy.min(f64::from(endpoint.slots)) / slot_time.max(1.0)
    }

    /// Computes the estimate for a request on an endpoint.
    #[must_use]
    pub fn pick(&self, requirements: &Requirements<'_>, key: arena::EndpointKey) -> Pick {
        let endpoint = self.fleet.get(key);
        let service = self.service(requirements) * endpoint.learned.slowdown();
        let slot_time = endpoint.learned.slot_time().unwrap_or(service);
        let over = (endpoint.load() + 1).saturating_sub(endpoint.slots);
        // Endpoints schedule by priority: an urgent request gets the next free slot.
        let over = if requirements.urgent {
            over.min(1)
        } else {
            over
        };
        Pick {
            endpoint: key,
            wait: f64::from(over) / f64::from(endpoint.slots) * slot_time,
            service,
        }
    }

    fn two_choices(
        &mut self,
        requirements: &Requirements<'_>,
        room: &[arena::EndpointKey],
    ) -> Option<arena::EndpointKey> {
        let first = self.draw(room)?;
        let mut best = first;
        if room.len() > 1 {
            let at = self.random.below(room.len() - 1);
            let second = if room[at] == first {
                room[room.len() - 1]
            } else {
                room[at]
            };
            best = self.better(requirements, first, second);
        }
        let prefix_owner = self.prefix_owner(requirements);
        match prefix_owner.filter(|prefix_owner| room.contains(prefix_owner)) {
            Some(prefix_owner) => Some(self.better(requirements, best, prefix_owner)),
            None => Some(best),
        }
    }

    fn better(
        &self,
        requirements: &Requirements<'_>,
        a: arena::EndpointKey,
        b: arena::EndpointKey,
    ) -> arena::EndpointKey {
        if self.score(requirements, b) < self.score(requirements, a) {
            b
        } else {
            a
        }
    }

    /// The score of an endpoint; lower is better. It is the estimate plus the cost of crossing zones,
    /// less the time saved by a cached prefix, plus a penalty for utilization, which decides between
    /// endpoints that have free slots.
    fn score(&self, requirements: &Requirements<'_>, key: arena::EndpointKey) -> f64 {
        let endpoint = self.fleet.get(key);
        let pick = self.pick(requirements, key);
        let far = endpoint.zone != names::OWN_ZONE;
        let distance = if far {
            self.policy.cross_zone_ms.0 as f64
        } else {
            0.0
        };
        let prefix_owner = self.prefix_owner(requirements);
        let saved = if prefix_owner == Some(key) {
            self.policy.affinity_share
        } else {
            0.0
        };
        let fullness = f64::from(endpoint.load()) / f64::from(endpoint.slots);
        pick.wait + pick.service * (1.0 - saved + FULLNESS_WEIGHT * fullness) + distance
    }

    /// The endpoint that owns a prefix by rendezvous hashing: the holder with the greatest combined
    /// hash. When an endpoint joins or leaves, only the prefixes that it owns move.
    fn prefix_owner(&self, requirements: &Requirements<'_>) -> Option<arena::EndpointKey> {
        if requirements.prefix == 0 {
            return None;
        }
        let holders = self.fleet.holders(requirements.target).iter().copied();
        holders.max_by_key(|key| random::mix(requirements.prefix ^ self.fleet.get(*key).name_hash))
    }

    fn draw(&mut self, room: &[arena::EndpointKey]) -> Option<arena::EndpointKey> {
        room.get(self.random.below(room.len())).copied()
    }

    fn least_reported(&self, room: &[arena::EndpointKey]) -> Option<arena::EndpointKey> {
        let load = |key: &arena::EndpointKey| self.fleet.get(*key).reported_load();
        room.iter().copied().min_by_key(load)
    }
}

/// The penalty in the score for an endpoint whose slots are all busy, as a share of the service time.
const FULLNESS_WEIGHT: f64 = 0.2;

/// The estimated time to the complete response, in whole milliseconds.
#[must_use]
pub fn estimate(pick: Pick) -> time::Millis {
    time::Millis::rounded_up(pick.wait + pick.service)
}
