//! Evictions: which replicas are unloaded to make room for a load.

use sageshed_types::{
    arena::{EndpointKey, Key, ModelKey},
    endpoints,
};

use crate::{engine, orders::Task, planner};

use planner::{Attempt, Planner};

/// A replica that may be evicted from an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Spare {
    pub(super) model: ModelKey,
    pub(super) version: u32,
    pub(super) memory_mib: u64,
    /// Load that would no longer be served in time, in slots.
    pub(super) loss: f64,
}

/// Replicas of an engine that together free enough memory.
#[derive(Debug, Clone)]
pub(super) struct EvictionPlan {
    pub(super) key: EndpointKey,
    pub(super) spares: Vec<Spare>,
    pub(super) loss: f64,
}

impl Planner<'_> {
    /// Evicts spare replicas from one engine so that `model` fits.
    pub(super) fn make_room(&mut self, model: ModelKey, need_mib: u64) -> Attempt {
        if self.moves_paused {
            return Attempt::Impossible;
        }
        if self.await_room(model, need_mib) {
            return Attempt::Waiting;
        }
        let eviction_plans = self
            .keys()
            .filter(|key| self.can_host(*key, model) && self.has_base(*key, model))
            .filter_map(|key| self.eviction_plan(key, model, need_mib));
        let best = eviction_plans.min_by(|a, b| {
            a.loss
                .total_cmp(&b.loss)
                .then(a.spares.len().cmp(&b.spares.len()))
        });
        match best {
            Some(eviction_plan) => {
                self.start_evictions(&eviction_plan, "it makes way for a model without a route")
            }
            None => Attempt::Impossible,
        }
    }

    /// Whether unloads in progress on any engine will make room for `model`. If so, sets the memory aside.
    pub(super) fn await_room(&mut self, model: ModelKey, need_mib: u64) -> bool {
        let found = self.keys().find(|key| {
            let engine = self.engine(*key);
            let freed = self.freed_mib(*key);
            freed > 0
                && self.room(*key) + freed >= need_mib + self.awaited_mib[key.index()]
                && !engine.leaving
                && self.inputs.ledger.is_fresh(self.inputs.now, engine)
                && self.inputs.ledger.admits(engine, model)
                && !engine.has_or_awaits(model)
                && self.has_base(*key, model)
        });
        if let Some(key) = found {
            self.awaited_mib[key.index()] += need_mib;
        }
        found.is_some()
    }

    /// The free memory of `key` without what is set aside for models that await unloads there, in MiB. What those unloads
    /// free is used for these models first.
    pub(super) fn unreserved_room(&self, key: EndpointKey) -> u64 {
        let awaited = self.awaited_mib[key.index()];
        let room = self.room(key);
        room.saturating_sub(awaited.saturating_sub(self.freed_mib(key)))
    }

    /// The memory on `key` that unloads in progress will free, in MiB. Orders that count as lost don't,
    /// since waiting for them might never end.
    fn freed_mib(&self, key: EndpointKey) -> u64 {
        let engine = self.engine(key);
        let freeing: Vec<Task> = self.expected_tasks(engine).collect();
        let frees = |held: &&engine::HeldModel| {
            let (model, version) = (held.model, held.version);
            held.phase == endpoints::Phase::Unloading
                || freeing.contains(&Task::Unload { model, version })
        };
        let held = engine.held.iter().filter(frees);
        held.map(|held| held.memory_mib).sum()
    }

    /// The replicas on `key` with the least loss whose eviction frees `need_mib`, if there are enough.
    pub(super) fn eviction_plan(
        &self,
        key: EndpointKey,
        model: ModelKey,
        need_mib: u64,
    ) -> Option<EvictionPlan> {
        let room = self.room(key)
            + self
                .freed_mib(key)
                .saturating_sub(self.awaited_mib[key.index()]);
        let mut missing = need_mib.saturating_sub(room);
        let mut eviction_plan = EvictionPlan {
            key,
            spares: Vec::new(),
            loss: 0.0,
        };
        let keep = self.offer(model).base;
        let mut spares = self.spares(key, keep);
        spares.sort_by(|a, b| {
            a.loss
                .total_cmp(&b.loss)
                .then(b.memory_mib.cmp(&a.memory_mib))
        });
        for spare in spares {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(spare.memory_mib);
            eviction_plan.loss += spare.loss;
            eviction_plan.spares.push(spare);
        }
        (missing == 0).then_some(eviction_plan)
    }

    /// The replicas on `key` that may be evicted: not the last route, not pinned, not `keep`. A base may
    /// be evicted only if all its adapters on the engine may; they are unloaded first.
    fn spares(&self, key: EndpointKey, keep: Option<ModelKey>) -> Vec<Spare> {
        let engine = self.engine(key);
        let single: Vec<Spare> = engine
            .held
            .iter()
            .filter(|held| held.phase == endpoints::Phase::Ready && Some(held.model) != keep)
            .filter(|held| !engine.unloads(held.model, held.version))
            .filter(|held| !self.is_pinned(held.model, key))
            .filter(|held| self.stays_reachable(key, held.model, held.version))
            .map(|held| Spare {
                model: held.model,
                version: held.version,
                memory_mib: held.memory_mib,
                loss: self.loss(key, held.model),
            })
            .collect();
        let may_evict = |spare: &Spare| {
            let adapters = engine.held.iter().map(|held| held.model);
            let awaited = engine.pending().filter_map(Task::loaded);
            adapters
                .filter(|m| self.is_adapter_of(*m, spare.model))
                .all(|m| single.iter().any(|s| s.model == m))
                && awaited
                    .into_iter()
                    .all(|m| !self.is_adapter_of(m, spare.model))
        };
        let mut spares: Vec<Spare> = single.iter().filter(|s| may_evict(s)).copied().collect();
        let losses: Vec<f64> = spares
            .iter()
            .map(|s| s.loss + self.adapter_loss(s.model, &single))
            .collect();
        for (spare, loss) in spares.iter_mut().zip(losses) {
            spare.loss = loss;
        }
        spares
    }

    /// The loss of the adapters of `base`, which are evicted before it.
    fn adapter_loss(&self, base: ModelKey, spares: &[Spare]) -> f64 {
        let adapters = spares.iter().filter(|s| self.is_adapter_of(s.model, base));
        adapters.map(|s| s.loss).sum()
    }

    pub(super) fn is_adapter_of(&self, adapter: ModelKey, base: ModelKey) -> bool {
        let offer = self.inputs.ledger.offer(adapter);
        offer.is_some_and(|offer| offer.base == Some(base))
    }

    /// Whether `model` has a route besides this replica. A model that is not in the catalog needs none.
    pub(super) fn stays_reachable(&self, key: EndpointKey, model: ModelKey, version: u32) -> bool {
        let Some(routes) = self.routes.get(model.index()) else {
            return true;
        };
        routes.iter().any(|k| *k != key) || self.engine(key).serves_besides(model, version)
    }

    /// The load that would no longer be served in time without the replica on `key`, in slots.
    pub(super) fn loss(&self, key: EndpointKey, model: ModelKey) -> f64 {
        let Some(routes) = self.routes.get(model.index()) else {
            return 0.0;
        };
        let replicas = self.replicas(model);
        if !routes.contains(&key) || replicas < 2 {
            return 0.0;
        }
        let wanted = self.slots_wanted(model);
        let less = wanted / replicas as f64;
        let more = wanted / (replicas - 1) as f64 - less;
        let here = self.served_change(key, -less);
        let elsewhere: f64 = routes
            .iter()
            .filter(|k| **k != key)
            .map(|k| self.served_change(*k, more))
            .sum();
        (-here - elsewhere).max(0.0)
    }

    /// How the load served in time on `key` changes when its load changes by `change`, in slots.
    pub(super) fn served_change(&self, key: EndpointKey, change: f64) -> f64 {
        let most = planner::TARGET_BUSY * f64::from(self.engine(key).slots);
        let before = self.busy_slots[key.index()];
        (before + change).min(most) - before.min(most)
    }

    /// Proposes the unloads of `eviction_plan` that may start now, adapters before their base.
    pub(super) fn start_evictions(
        &mut self,
        eviction_plan: &EvictionPlan,
        reason: &'static str,
    ) -> Attempt {
        let mut result = Attempt::Impossible;
        let mut order = Vec::new();
        for spare in &eviction_plan.spares {
            order.extend(self.adapters_on(eviction_plan.key, spare.model));
            order.push((spare.model, spare.version));
        }
        for (model, version) in order {
            if self.unload(eviction_plan.key, model, version, reason) == Attempt::Started {
                result = Attempt::Started;
                self.evictions += 1;
            }
        }
        result
    }

    fn adapters_on(&self, key: EndpointKey, base: ModelKey) -> Vec<(ModelKey, u32)> {
        let held = self.engine(key).held.iter();
        held.filter(|held| self.is_adapter_of(held.model, base))
            .map(|held| (held.model, held.version))
            .collect()
    }

    /// Whether an unload is in progress on `key`.
    pub(super) fn is_evicting(&self, key: EndpointKey) -> bool {
        let mut pending = self.engine(key).pending();
        pending.any(|task| matches!(task, Task::Unload { .. }))
    }
}
