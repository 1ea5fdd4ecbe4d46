//! Which endpoint takes a request, and how long the answer will take.
//!
//! # Choice
//!
//! Among the endpoints with room, two are drawn at random and the one with the better score is
//! taken. Taking the best of all would make every entry process pick the same one until the next
//! report (the `LeastReported` baseline shows it); two choices keep most of the gain over a random
//! pick and spread by themselves. A third candidate comes from the hash of the prompt's first part:
//! the same prefix names the same endpoint at every entry process, without a message, so that its
//! cache is found again. It has to win by score like the others, with the saving counted in, so that
//! a popular prefix cannot overload its endpoint.
//!
//! # Estimate
//!
//! Time to the whole answer is the wait inside the endpoint, from the load that is taken to be there
//! (see [`crate::fleet`]) and the time that a request holds one of its slots, plus the learned
//! service time of the target there.
//!
//! # Which endpoints count
//!
//! A leaving endpoint never does, nor one where this request has failed. Ejected, silent and stale
//! ones do not count while any other holder is left. When none is left they do: that all holders of
//! a model look bad at once is more likely a fault of what we see (reports cut off, a faulty request
//! that fails everywhere) than the end of all of them, and refusing everything would be worse. One
//! that is ejected and silent at once is dead, by two signs that do not depend on each other: a model
//! held there alone counts as held nowhere, so that its requests wait for a load elsewhere.

use sageshed_types::{
    arena::{self, Key},
    time,
};

use crate::{event, fleet, health, learned, names, queue, random, settings};

/// What a request needs of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// What is asked.
    pub target: event::Target,
    /// The only pool that may serve, by a rule.
    pub pool: Option<arena::PoolKey>,
    /// Whether it may use the slots kept for urgent requests.
    pub urgent: bool,
    /// The most tokens that the answer may have; 0 if that is not known.
    pub max_tokens: u32,
    /// A hash of the prompt's first part; 0: none.
    pub prefix: u64,
    /// Endpoints where it has failed.
    pub failed_on: &'a [arena::EndpointKey],
}

/// The endpoint chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pick {
    /// Which.
    pub endpoint: arena::EndpointKey,
    /// Predicted wait inside it, in milliseconds.
    pub wait: f64,
    /// Predicted service time there, in milliseconds.
    pub service: f64,
}

/// What there is for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Choice {
    /// Send it there.
    Pick(Pick),
    /// Some hold the target, but none has room.
    Full,
    /// None holds the target.
    Cold,
    /// It has failed on each one that holds the target.
    Exhausted,
}

/// How an endpoint stands for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eligibility {
    /// It may take it.
    Eligible,
    /// Another pool.
    OtherPool,
    /// It is leaving.
    Leaving,
    /// The request has failed there.
    Failed,
    /// It fails too often.
    Ejected,
    /// It has not been heard of for too long.
    Silent,
    /// It fails and has not been heard of: both signs together say that it is dead.
    Gone,
}

/// Endpoints and what was learned of them.
#[derive(Debug)]
pub struct Router {
    /// The endpoints.
    pub fleet: fleet::Fleet,
    /// Draws.
    pub random: random::Random,
    policy: settings::Policy,
    entries: u32,
    models: Vec<learned::Target>,
    services: Vec<learned::Target>,
}

impl Router {
    /// A router that knows no endpoint yet.
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

    /// What was learned of a target.
    #[must_use]
    pub fn learned(&self, target: event::Target) -> &learned::Target {
        match target {
            event::Target::Model(key) => &self.models[key.index()],
            event::Target::Service(key) => &self.services[key.index()],
        }
    }

    /// What was learned of a target, to be changed.
    pub fn learned_mut(&mut self, target: event::Target) -> &mut learned::Target {
        match target {
            event::Target::Model(key) => &mut self.models[key.index()],
            event::Target::Service(key) => &mut self.services[key.index()],
        }
    }

    /// Learns from a whole answer that took `span` milliseconds without the predicted wait.
    pub fn learn(
        &mut self,
        requirements: &Ask<'_>,
        endpoint: arena::EndpointKey,
        span: f64,
        tokens: u32,
    ) {
        let expected = self.service(requirements);
        self.fleet.get_mut(endpoint).learned.add(span, expected);
        let learned = self.learned_mut(requirements.target);
        learned.add(span, tokens, requirements.max_tokens);
    }

    /// Service time on an endpoint of mean speed, in milliseconds.
    #[must_use]
    pub fn service(&self, requirements: &Ask<'_>) -> f64 {
        let learned = self.learned(requirements.target);
        learned.service(requirements.max_tokens, self.policy.initial_service_ms)
    }

    /// Chooses an endpoint with room.
    pub fn choose(&mut self, now: time::Instant, requirements: &Ask<'_>) -> Choice {
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

    /// The endpoints that may take the request, with room or without; or why there is none.
    pub fn eligible(
        &self,
        now: time::Instant,
        requirements: &Ask<'_>,
    ) -> Result<Vec<arena::EndpointKey>, Choice> {
        let holders = self.fleet.holders(requirements.target);
        let mut eligible = Vec::with_capacity(holders.len());
        let mut doubtful = Vec::new();
        let mut any_failed = false;
        for key in holders {
            match self.standing(now, requirements, *key) {
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

    /// Whether no endpoint that may take new work holds a target.
    #[must_use]
    pub fn is_cold(&self, now: time::Instant, lane: queue::Lane) -> bool {
        let requirements = Ask {
            target: lane.target,
            pool: lane.pool,
            urgent: false,
            max_tokens: 0,
            prefix: 0,
            failed_on: &[],
        };
        self.eligible(now, &requirements).is_err()
    }

    /// How an endpoint that holds the target stands for the request.
    #[must_use]
    pub fn standing(
        &self,
        now: time::Instant,
        requirements: &Ask<'_>,
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

    /// Whether this process may send one more to an endpoint.
    #[must_use]
    pub fn has_room(&self, now: time::Instant, key: arena::EndpointKey, urgent: bool) -> bool {
        let endpoint = self.fleet.get(key);
        endpoint.has_room(now, &self.policy, self.entries, urgent)
    }

    /// Requests a millisecond that this process may expect an endpoint to finish for it.
    #[must_use]
    pub fn own_rate(
        &self,
        now: time::Instant,
        key: arena::EndpointKey,
        requirements: &Ask<'_>,
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

    /// The pick of an endpoint, with its estimate.
    #[must_use]
    pub fn pick(&self, requirements: &Ask<'_>, key: arena::EndpointKey) -> Pick {
        let endpoint = self.fleet.get(key);
        let service = self.service(requirements) * endpoint.learned.slowdown();
        let slot_time = endpoint.learned.slot_time().unwrap_or(service);
        let over = (endpoint.load() + 1).saturating_sub(endpoint.slots);
        // Endpoints honour priorities: an urgent request takes the next slot that comes free.
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
        requirements: &Ask<'_>,
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
        requirements: &Ask<'_>,
        a: arena::EndpointKey,
        b: arena::EndpointKey,
    ) -> arena::EndpointKey {
        if self.score(requirements, b) < self.score(requirements, a) {
            b
        } else {
            a
        }
    }

    /// Lower is better: the estimate, with what distance costs, what a cached prefix saves, and how
    /// full the endpoint is, which decides between two that have slots free.
    fn score(&self, requirements: &Ask<'_>, key: arena::EndpointKey) -> f64 {
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

    /// The endpoint that a prefix belongs to: the holder with the greatest hash of both. When an
    /// endpoint comes or goes, only the prefixes that belong to it move.
    fn prefix_owner(&self, requirements: &Ask<'_>) -> Option<arena::EndpointKey> {
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

/// How much slower a request is taken to be on an endpoint with all slots busy, in the choice.
const FULLNESS_WEIGHT: f64 = 0.2;

/// The estimate of a pick in whole milliseconds.
#[must_use]
pub fn estimate(pick: Pick) -> time::Millis {
    time::Millis::rounded_up(pick.wait + pick.service)
}
