//! Simple planners that serve as baselines for measurements.

use sageshed_types::{
    arena::{EndpointKey, Key, ModelKey},
    endpoints,
};

use crate::{orders::Task, planner};

use planner::{Attempt, Planner};

impl Planner<'_> {
    /// Loads models that are requested and evicts the least recently requested ones, even if this
    /// removes the last route of a model.
    pub(super) fn load_requested(&mut self) {
        let requested = |p: &Self, m: &ModelKey| {
            let estimate = p.inputs.demand.of(*m);
            estimate.waiting > 0
                || estimate
                    .last_request
                    .is_some_and(|t| p.inputs.now.since(t) <= p.inputs.policy.plan_interval_ms)
        };
        let wanted: Vec<ModelKey> = (0..self.routes.len())
            .map(ModelKey::from_index)
            .filter(|m| self.replicas(*m) == 0 && requested(self, m))
            .collect();
        for model in wanted {
            self.load_on_demand(model);
        }
    }

    fn load_on_demand(&mut self, model: ModelKey) -> Attempt {
        let need_mib = self.memory(model);
        if let Some(base) = self.offer(model).base
            && self.replicas(base) == 0
        {
            return self.load_on_demand(base);
        }
        if let Some(key) = self.best_engine_with_room(model, need_mib) {
            return self.load(key, model, "it was asked for");
        }
        if self.await_room(model, need_mib) {
            return Attempt::Waiting;
        }
        let suitable = self
            .keys()
            .filter(|key| self.can_host(*key, model) && self.has_base(*key, model));
        let oldest = suitable
            .filter_map(|key| self.least_recent(key, model).map(|found| (found, key)))
            .min_by_key(|((requested, ..), key)| (*requested, *key));
        let Some(((_, evicted, version), key)) = oldest else {
            return Attempt::Impossible;
        };
        self.evict(key, evicted, version)
    }

    /// The least recently requested replica on `key` that no adapter there depends on: time of the last
    /// request (0 if none), model and version.
    fn least_recent(&self, key: EndpointKey, keep: ModelKey) -> Option<(u64, ModelKey, u32)> {
        let base = self.offer(keep).base;
        let engine = self.engine(key);
        let held = engine.held.iter().filter(|held| {
            held.phase == endpoints::Phase::Ready
                && Some(held.model) != base
                && !engine.unloads(held.model, held.version)
                && !self.inputs.ledger.has_adapter_of(engine, held.model)
        });
        held.map(|held| {
            let requested = self.inputs.demand.of(held.model).last_request;
            (requested.map_or(0, |t| t.0 + 1), held.model, held.version)
        })
        .min()
    }

    fn evict(&mut self, key: EndpointKey, model: ModelKey, version: u32) -> Attempt {
        if let Some(routes) = self.routes.get_mut(model.index()) {
            routes.retain(|k| *k != key);
        }
        let task = Task::Unload { model, version };
        self.propose(key, model, task, "it was asked for least recently")
    }

    /// Gives each model a route, then fills the memory with replicas evenly, regardless of demand.
    pub(super) fn distribute_evenly(&mut self) {
        self.ensure_routes();
        let mut models: Vec<ModelKey> = self.inputs.ranking.to_vec();
        models.sort_by_key(|m| self.replicas(*m));
        for model in models {
            if !self.inputs.budget.allows() || self.replicas(model) == 0 {
                continue;
            }
            if let Some(key) = self.best_engine_with_room(model, self.memory(model)) {
                self.load(key, model, "memory is free");
            }
        }
    }
}
