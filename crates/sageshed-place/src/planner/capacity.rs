//! Additional replicas by demand, and replicas in a second availability zone.

use std::cmp;

use sageshed_types::arena::{EndpointKey, Key, ModelKey};

use crate::planner;

use planner::{Attempt, Planner};

/// Maximum number of models for which one plan tries to add a replica.
const MAX_MODELS: usize = 32;

/// Maximum number of engines without room for which evictions are planned for one load, those with
/// the greatest gain first.
const MAX_EVICTION_PLANS: usize = 8;

/// Unserved demand that is ignored, in slots.
const NEGLIGIBLE_SLOTS: f64 = 0.01;

/// An engine on which another replica would be useful.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    key: EndpointKey,
    /// Additional load that would be served in time, in slots.
    gain: f64,
}

impl Planner<'_> {
    /// Adds replicas of the models with the most unserved demand.
    pub(super) fn add_capacity(&mut self) {
        let mut underserved: Vec<(f64, ModelKey)> = (0..self.routes.len())
            .map(ModelKey::from_index)
            .filter(|m| !self.routes[m.index()].is_empty())
            .map(|m| (self.unserved(m), m))
            .filter(|(unserved, _)| *unserved > NEGLIGIBLE_SLOTS)
            .collect();
        underserved.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, model) in underserved.into_iter().take(MAX_MODELS) {
            if !self.inputs.budget.allows() {
                return;
            }
            self.add_replica(model);
        }
    }

    /// The demand for `model` that its replicas can't serve in time, in slots.
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
        self.evict_for_demand(model, need_mib, &candidates)
    }

    /// The engines on which another replica of `model` would be useful.
    fn candidates(&self, model: ModelKey) -> Vec<Candidate> {
        let wanted = self.slots_wanted(model);
        let replicas = self.replicas(model) as f64;
        let share = wanted / (replicas + 1.0);
        let change_elsewhere = self.change_on_routes(model, share - wanted / replicas.max(1.0));
        self.keys()
            .map(|key| Candidate {
                key,
                gain: self.served_change(key, share) + change_elsewhere,
            })
            .filter(|c| c.gain > NEGLIGIBLE_SLOTS)
            .filter(|c| self.can_host(c.key, model) && self.has_base(c.key, model))
            .collect()
    }

    /// Orders candidates by gain, then prefers a new availability zone.
    fn compare(&self, model: ModelKey, a: &Candidate, b: &Candidate) -> cmp::Ordering {
        let new_zone = |c: &Candidate| self.is_new_zone(c.key, model);
        b.gain
            .total_cmp(&a.gain)
            .then_with(|| new_zone(b).cmp(&new_zone(a)))
            .then(a.key.cmp(&b.key))
    }

    /// How the load served in time changes on the engines that serve `model` when the load of each
    /// changes by `change`, in slots. Negative or 0, since a new replica takes load from them.
    fn change_on_routes(&self, model: ModelKey, change: f64) -> f64 {
        let routes = self.routes[model.index()].iter();
        routes.map(|k| self.served_change(*k, change)).sum()
    }

    /// Converts load in slots into completed requests, from the end of a load of `model` to the horizon.
    fn completions(&self, model: ModelKey, slots: f64) -> f64 {
        let policy = self.inputs.policy;
        let load_ms = self.offer(model).model.load_ms;
        let span_ms = policy.horizon_ms.0.saturating_sub(load_ms.0) as f64;
        slots * span_ms / self.inputs.demand.of(model).service_ms.max(1.0)
    }

    /// Evicts less useful replicas from one of the candidates, if this is worth the cost.
    fn evict_for_demand(
        &mut self,
        model: ModelKey,
        need_mib: u64,
        candidates: &[Candidate],
    ) -> Attempt {
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

    /// How long the replicas to be evicted keep their slots busy, in milliseconds: the number of busy
    /// slots divided by the rate at which they are released, which is taken as proportional to that
    /// number (Yang et al., IEEE Access 2021, OMO).
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

    /// Uses free memory so that each model has `min_replicas` replicas, and replicas in two
    /// availability zones if the policy requires it. Nothing is evicted for this.
    pub(super) fn spread_replicas(&mut self) {
        let ranking = self.inputs.ranking;
        let wanting = ranking.iter().filter(|m| self.wants_spread(**m));
        let wanting: Vec<ModelKey> = wanting.copied().collect();
        for model in wanting.into_iter().take(MAX_MODELS) {
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
