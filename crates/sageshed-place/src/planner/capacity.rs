//! Copies by demand, and copies in a second availability zone.

use std::cmp;

use sageshed_types::arena::{EndpointKey, Key, ModelKey};

use crate::planner;

use planner::{Attempt, Planner};

/// Models that one plan tries to give another copy.
const ATTEMPTS: usize = 32;

/// Engines without room that are looked at closely for one load, those with most to gain first.
const MAX_EVICTION_PLANS: usize = 8;

/// Slots' worth of unserved demand below which nothing is done.
const NEGLIGIBLE_SLOTS: f64 = 0.01;

/// A load that demand speaks for.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    key: EndpointKey,
    /// Slots' worth of requests served in time on top.
    gain: f64,
}

impl Planner<'_> {
    /// Gives more copies to the models that are asked for most beyond what their copies serve.
    pub(super) fn capacity(&mut self) {
        let mut lacking: Vec<(f64, ModelKey)> = (0..self.routes.len())
            .map(ModelKey::from_index)
            .filter(|m| !self.routes[m.index()].is_empty())
            .map(|m| (self.unserved(m), m))
            .filter(|(unserved, _)| *unserved > NEGLIGIBLE_SLOTS)
            .collect();
        lacking.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, model) in lacking.into_iter().take(ATTEMPTS) {
            if !self.inputs.budget.allows() {
                return;
            }
            self.add_replica(model);
        }
    }

    /// Slots' worth of `model`'s demand that its copies can't serve in time.
    fn unserved(&self, model: ModelKey) -> f64 {
        let replicas = self.replicas(model);
        let share = self.slots_wanted(model) / replicas.max(1) as f64;
        let routes = self.routes[model.index()].iter();
        routes
            .map(|key| {
                let most = planner::TARGET_BUSY * f64::from(self.engine(*key).slots);
                let busy_slots = self.busy_slots[key.index()];
                share * (1.0 - (most / busy_slots.max(most)))
            })
            .sum()
    }

    fn add_replica(&mut self, model: ModelKey) -> Attempt {
        let need_mib = self.memory(model);
        if self.await_room(model, need_mib) {
            return Attempt::Waiting;
        }
        let mut candidates = self.candidates(model);
        let with_room = candidates
            .iter()
            .filter(|c| self.room(c.key) >= need_mib + self.awaited_mib[c.key.index()])
            .min_by(|a, b| self.compare(model, a, b));
        if let Some(found) = with_room.copied()
            && self.completions(model, found.gain) > self.inputs.policy.move_cost
        {
            return self.load(found.key, model, "demand exceeds its copies");
        }
        if candidates.len() > MAX_EVICTION_PLANS {
            candidates.select_nth_unstable_by(MAX_EVICTION_PLANS, |a, b| self.compare(model, a, b));
            candidates.truncate(MAX_EVICTION_PLANS);
        }
        self.displace(model, need_mib, &candidates)
    }

    /// The engines where a copy of `model` would bring something.
    fn candidates(&self, model: ModelKey) -> Vec<Candidate> {
        let wanted = self.slots_wanted(model);
        let replicas = self.replicas(model) as f64;
        let share = wanted / (replicas + 1.0);
        let relief = self.relief(model, share - wanted / replicas.max(1.0));
        self.keys()
            .map(|key| Candidate {
                key,
                gain: self.served_change(key, share) + relief,
            })
            .filter(|c| c.gain > NEGLIGIBLE_SLOTS)
            .filter(|c| self.can_host(c.key, model) && self.has_base(c.key, model))
            .collect()
    }

    /// Puts the engine first that gains most, then one in a new availability zone.
    fn compare(&self, model: ModelKey, a: &Candidate, b: &Candidate) -> cmp::Ordering {
        let new_zone = |c: &Candidate| self.is_new_zone(c.key, model);
        b.gain
            .total_cmp(&a.gain)
            .then_with(|| new_zone(b).cmp(&new_zone(a)))
            .then(a.key.cmp(&b.key))
    }

    /// The change on the engines that serve `model` when each gets `less` of its demand.
    fn relief(&self, model: ModelKey, less: f64) -> f64 {
        let routes = self.routes[model.index()].iter();
        routes.map(|k| self.served_change(*k, less)).sum()
    }

    /// Turns slots' worth of requests into completions until the horizon, the load once made.
    fn completions(&self, model: ModelKey, slots: f64) -> f64 {
        let policy = self.inputs.policy;
        let load_ms = self.offer(model).model.load_ms;
        let span_ms = policy.horizon_ms.0.saturating_sub(load_ms.0) as f64;
        slots * span_ms / self.inputs.demand.of(model).service_ms.max(1.0)
    }

    /// Takes copies of less use off an engine, if that pays.
    fn displace(&mut self, model: ModelKey, need_mib: u64, candidates: &[Candidate]) -> Attempt {
        let policy = self.inputs.policy;
        let mut best: Option<(f64, planner::room::EvictionPlan)> = None;
        for candidate in candidates.iter().take(MAX_EVICTION_PLANS) {
            let Some(eviction_plan) = self.eviction_plan(candidate.key, model, need_mib) else {
                continue;
            };
            let moves = 1.0 + eviction_plan.spares.len() as f64;
            let net = candidate.gain - eviction_plan.loss * (1.0 + policy.hysteresis);
            let worth = self.completions(model, net) - policy.move_cost * moves;
            let better = best.as_ref().is_none_or(|(known, _)| worth > *known);
            if worth > 0.0 && better {
                best = Some((worth, eviction_plan));
            }
        }
        let Some((_, eviction_plan)) = best else {
            return Attempt::Impossible;
        };
        if policy.lazy_start
            && self.drain_ms(&eviction_plan) > self.offer(model).model.load_ms.0 as f64
        {
            return Attempt::Waiting;
        }
        self.awaited_mib[eviction_plan.key.index()] += need_mib;
        self.start_evictions(&eviction_plan, "it makes way for a model in greater demand")
    }

    /// How long the copies to be taken off will keep their slots, in milliseconds: the slots that
    /// they use over the rate at which the engine releases slots, taken as proportional to those in
    /// use (Yang et al., IEEE Access 2021, OMO).
    fn drain_ms(&self, eviction_plan: &planner::room::EvictionPlan) -> f64 {
        let mut used = 0.0;
        let mut released_per_ms = 0.0;
        for spare in &eviction_plan.spares {
            let replicas = self.replicas(spare.model).max(1) as f64;
            let slots = self.slots_wanted(spare.model) / replicas;
            used += slots;
            released_per_ms += slots / self.inputs.demand.of(spare.model).service_ms.max(1.0);
        }
        used / f64::max(released_per_ms, f64::MIN_POSITIVE)
    }

    /// Uses free memory so that each model has `min_replicas` copies, and copies in two
    /// availability zones if the policy says so. Nothing is displaced for it.
    pub(super) fn spread(&mut self) {
        let ranking = self.inputs.ranking;
        let wanting = ranking.iter().filter(|m| self.wants_spread(**m));
        let wanting: Vec<ModelKey> = wanting.copied().collect();
        for model in wanting.into_iter().take(ATTEMPTS) {
            if !self.inputs.budget.allows() {
                return;
            }
            let few = self.replicas(model) < self.inputs.policy.min_replicas as usize;
            let need_mib = self.memory(model);
            let found = self
                .keys()
                .filter(|key| {
                    self.room(*key) >= need_mib + self.awaited_mib[key.index()]
                        && self.can_host(*key, model)
                        && self.has_base(*key, model)
                        && (few || self.is_new_zone(*key, model))
                })
                .max_by_key(|key| {
                    (
                        self.is_new_zone(*key, model),
                        self.room(*key),
                        cmp::Reverse(*key),
                    )
                });
            if let Some(key) = found {
                self.load(key, model, "it is alone in its availability zone");
            }
        }
    }

    fn wants_spread(&self, model: ModelKey) -> bool {
        let routes = &self.routes[model.index()];
        let Some(first) = routes.first() else {
            return false;
        };
        if !self.loading_on[model.index()].is_empty() {
            return false;
        }
        let zone = self.engine(*first).zone;
        let alone = routes.iter().all(|key| self.engine(*key).zone == zone);
        routes.len() < self.inputs.policy.min_replicas as usize
            || self.inputs.policy.spread_zones && alone
    }
}
