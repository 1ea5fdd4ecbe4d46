//! Moves of models to other engines, to make room for a model without a route.

use std::cmp;

use sageshed_types::{
    arena::{EndpointKey, Key, ModelKey},
    endpoints,
};

use crate::{
    engine,
    planner::{self, room},
};

use planner::{Attempt, Planner};

/// The next step towards a replica on another engine for a model that is in the way.
#[derive(Debug, Clone)]
enum MoveStep {
    Load(ModelKey, EndpointKey),
    Evict(room::EvictionPlan),
}

/// Maximum number of engines that are examined for one model that needs others to be moved.
const MOVE_CANDIDATES: usize = 16;

/// Maximum number of engines scanned by all such attempts of one plan. Bounds the planning time in
/// large clusters.
const MOVE_SCAN_LIMIT: usize = 4_096;

/// The number of attempts at moving models out of the way in one plan.
pub(super) fn move_attempts(engines: usize) -> usize {
    (MOVE_SCAN_LIMIT / engines.max(1)).max(1)
}

impl Planner<'_> {
    /// Starts to move another model whose only route occupies memory that `model` needs. The other model
    /// is loaded on a second engine, so that a later plan can evict it from the first. If the second
    /// engine has no room, spare replicas are evicted there first. Longer chains of moves are not
    /// considered.
    pub(super) fn move_away(&mut self, model: ModelKey, need_mib: u64) -> Attempt {
        if self.moves_paused {
            return Attempt::Impossible;
        }
        if self.move_attempts == 0 {
            return Attempt::Waiting;
        }
        self.move_attempts -= 1;
        let attempt = self.move_blocking_model(model, need_mib);
        self.evictions += usize::from(attempt == Attempt::Started);
        attempt
    }

    fn move_blocking_model(&mut self, model: ModelKey, need_mib: u64) -> Attempt {
        let mut best: Option<(u64, MoveStep)> = None;
        for key in self.move_candidates(model) {
            for (moved, memory_mib) in self.movable(key, model, need_mib) {
                if !self.loading_on[moved.index()].is_empty() || self.await_room(moved, memory_mib)
                {
                    return Attempt::Waiting;
                }
                if best.as_ref().is_some_and(|(mib, _)| *mib <= memory_mib) {
                    continue;
                }
                if let Some(step) = self.plan_move(key, moved, memory_mib) {
                    best = Some((memory_mib, step));
                }
            }
        }
        match best {
            Some((_, MoveStep::Load(moved, to))) => {
                self.load(to, moved, "it makes way for a model elsewhere")
            }
            Some((_, MoveStep::Evict(eviction_plan))) => self.start_evictions(
                &eviction_plan,
                "it makes way for a model that makes way for another",
            ),
            None => Attempt::Impossible,
        }
    }

    /// The engines that could hold `model` if there were enough memory, those with the most memory to be
    /// gained first.
    fn move_candidates(&self, model: ModelKey) -> Vec<EndpointKey> {
        let keep = self.offer(model).base;
        let mut suitable: Vec<(u64, EndpointKey)> = self
            .keys()
            .filter(|key| self.can_host(*key, model) && self.has_base(*key, model))
            .map(|key| (self.room(key) + self.redundant_mib(key, keep), key))
            .collect();
        suitable.sort_by_key(|(mib, key)| (cmp::Reverse(*mib), *key));
        suitable.truncate(MOVE_CANDIDATES);
        suitable.into_iter().map(|(_, key)| key).collect()
    }

    /// The memory on `key` of the redundant replicas, whose models have a route elsewhere, in MiB. Some
    /// of them may be the base of adapters that have no other route.
    fn redundant_mib(&self, key: EndpointKey, keep: Option<ModelKey>) -> u64 {
        let held = self.engine(key).held.iter();
        held.filter(|held| Some(held.model) != keep && self.is_redundant(key, held))
            .map(|held| held.memory_mib)
            .sum()
    }

    fn is_redundant(&self, key: EndpointKey, held: &engine::HeldModel) -> bool {
        held.phase == endpoints::Phase::Ready
            && !self.is_pinned(held.model, key)
            && !self.engine(key).unloads(held.model, held.version)
            && self.stays_reachable(key, held.model, held.version)
            && self.adapters_fit_elsewhere(key, held.model)
    }

    /// Whether all adapters of `base` that are only on `key` fit together on another engine where `base`
    /// serves. Without this check the last of them could evict the first.
    fn adapters_fit_elsewhere(&self, key: EndpointKey, base: ModelKey) -> bool {
        let only_here = self.engine(key).held.iter().filter(|held| {
            let routes = self.routes.get(held.model.index());
            self.is_adapter_of(held.model, base) && routes.is_some_and(|routes| *routes == [key])
        });
        let need_mib: u64 = only_here.map(|held| held.memory_mib).sum();
        let mut routes = self.routes.get(base.index()).into_iter().flatten();
        need_mib == 0 || routes.any(|k| *k != key && self.room(*k) >= need_mib)
    }

    /// Finds a way to load `moved` and its adapters on another engine.
    fn plan_move(&self, from: EndpointKey, moved: ModelKey, memory_mib: u64) -> Option<MoveStep> {
        if let Some(to) = self.best_engine_with_room(moved, memory_mib) {
            return Some(MoveStep::Load(moved, to));
        }
        if self.is_adapter_of_redundant(from, moved) {
            return None;
        }
        let eviction_plans = self
            .keys()
            .filter(|key| self.can_host(*key, moved) && self.has_base(*key, moved))
            .filter_map(|key| self.eviction_plan(key, moved, memory_mib))
            .filter(|eviction_plan| !eviction_plan.spares.is_empty());
        eviction_plans
            .min_by(|a, b| a.loss.total_cmp(&b.loss))
            .map(MoveStep::Evict)
    }

    /// The models on `key` whose move to another engine would make room for `model`, each with the
    /// memory that it and its adapters use on `key`, in MiB. If evicting the redundant replicas would
    /// free enough memory, only the adapters that depend on them have to be moved.
    fn movable(&self, key: EndpointKey, model: ModelKey, need_mib: u64) -> Vec<(ModelKey, u64)> {
        let keep = self.offer(model).base;
        let obtainable_mib = self.room(key) + self.redundant_mib(key, keep);
        let missing_mib = need_mib.saturating_sub(obtainable_mib);
        let engine = self.engine(key);
        let only_here = engine.held.iter().filter(|held| {
            let routes = self.routes.get(held.model.index());
            held.phase == endpoints::Phase::Ready
                && Some(held.model) != keep
                && !self.is_pinned(held.model, key)
                && routes.is_some_and(|routes| *routes == [key])
        });
        only_here
            .map(|held| (held.model, self.local_family_mib(key, held)))
            .filter(|(moved, mib)| {
                if missing_mib == 0 {
                    return self.is_adapter_of_redundant(key, *moved);
                }
                *mib >= missing_mib
            })
            .collect()
    }

    /// The memory that a replica and its adapters use on `key`, in MiB.
    fn local_family_mib(&self, key: EndpointKey, replica: &engine::HeldModel) -> u64 {
        let held = self.engine(key).held.iter();
        let adapters = held.filter(|other| self.is_adapter_of(other.model, replica.model));
        replica.memory_mib + adapters.map(|other| other.memory_mib).sum::<u64>()
    }

    fn is_adapter_of_redundant(&self, key: EndpointKey, adapter: ModelKey) -> bool {
        let mut held = self.engine(key).held.iter();
        held.any(|held| self.is_adapter_of(adapter, held.model) && self.is_redundant(key, held))
    }
}
