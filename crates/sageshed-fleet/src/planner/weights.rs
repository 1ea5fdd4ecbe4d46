//! Placement of weights: which models need another replica, on which engine it is loaded, and which replica is evicted
//! for it.

use std::collections;

use sageshed_types::time;

use super::{FILL_COST, ModelLoad, Planner, Pool, engine};
use crate::{config, dialect, directory};

/// Work in busy engines below which no further work is anticipated for a model.
const MIN_ANTICIPATED_WORK: f64 = 0.15;

/// Share of the work of the model ranked before it below which no further work is anticipated for a model.
const MIN_ANTICIPATED_SHARE: f64 = 0.15;

/// Number of models behind the busiest one for which further work may be anticipated.
const ANTICIPATED_MODELS: usize = 2;

/// Cost of an unload in busy engines: it waits for the model's running requests, and the model's prefix cache is
/// lost.
const UNLOAD_COST: f64 = 0.2;

/// A model's last replica may be evicted for a model without any replica if the first has at most this share of the
/// other's work.
const LAST_REPLICA_MAX_WORK_SHARE: f64 = 0.5;

/// A replica may be evicted if the remaining replicas of its model then have at most this share of the work per replica
/// of the model that replaces it. Without such a relative bound no replica would be evicted under overload, where every
/// replica has much work.
const VICTIM_MAX_LOAD_SHARE: f64 = 0.5;

/// Cost of evicting a last replica in busy engines: the next request for the model waits for a load. It makes any
/// evictable spare replica preferable.
const LAST_REPLICA_COST: f64 = 2.0;

/// Need of a requested model without a replica, in busy engines: above that of any model with one.
const NO_REPLICA_NEED: f64 = 10.0;

/// Need of a model that has no replica and no requests, relative to the threshold above which a model is short of
/// replicas.
const IDLE_NEED_FACTOR: f64 = 1.01;

/// The state of one model at one moment.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ModelState {
    /// Engines that hold it and are not ordered to unload it.
    replicas: usize,
    /// Engines that load it or on which memory is reserved for it.
    pub(super) loading: usize,
    /// Number of engines that its requests keep busy.
    work: f64,
    /// Work that waits or was refused lately, in busy engines; zero unless the planner follows it.
    pub(super) unserved: f64,
    /// Number of busy engines for which replicas are provided: its work, or more where a rise is anticipated.
    provisioned_work: f64,
}

impl ModelState {
    /// The provisioned work for each of `replicas` replicas.
    fn work_per_replica(&self, replicas: usize) -> f64 {
        self.provisioned_work / replicas.max(1) as f64
    }
}

/// The state of all models of one pool at one moment.
pub(super) struct PoolState<'a, 'p> {
    pub(super) planner: &'a Planner,
    pub(super) pool: &'a Pool<'p>,
    pub(super) now: time::Instant,
    models: collections::HashMap<&'p str, ModelState>,
    /// Pending loads from the weight store.
    store_loads: usize,
    /// Engines with memory reserved for a model that has to be loaded from the weight store.
    store_reservations: usize,
}

impl<'a, 'p> PoolState<'a, 'p> {
    /// The state of `pool` as the planner knows it now.
    pub(super) fn new(planner: &'a Planner, now: time::Instant, pool: &'a Pool<'p>) -> Self {
        let mut models: collections::HashMap<&'p str, ModelState> = collections::HashMap::new();
        for model in &pool.settings.models {
            let work = planner.demand.work(now, pool.service, &model.name);
            let state = ModelState {
                work,
                unserved: planner.unserved(now, pool.service, &model.name),
                provisioned_work: work,
                ..ModelState::default()
            };
            models.insert(&model.name, state);
        }
        for instance in &pool.instances {
            count_replicas(planner, instance, &mut models);
            let reservation = planner.reservations.get(&instance.id);
            if let Some(state) = reservation.and_then(|it| models.get_mut(it.model.as_str())) {
                state.loading += 1;
            }
        }
        anticipate(planner.policy.anticipated_share, &mut models);
        let instances = pool.instances.iter();
        Self {
            planner,
            pool,
            now,
            models,
            store_loads: planner
                .engines
                .values()
                .map(engine::Engine::store_loads)
                .sum(),
            store_reservations: instances
                .filter(|it| planner.is_reserved_for_store(it))
                .count(),
        }
    }

    /// The state of a model; zero replicas and no work for one that the configuration doesn't have.
    pub(super) fn model_state(&self, model: &str) -> ModelState {
        self.models.get(model).copied().unwrap_or_default()
    }

    /// The `count` models with the most work.
    pub(super) fn busiest(&self, count: usize) -> Vec<ModelLoad> {
        let models = self.models.iter().map(|(model, it)| ModelLoad {
            model: (*model).to_owned(),
            replicas: it.replicas,
            loading: it.loading,
            work: it.work,
        });
        let mut models: Vec<ModelLoad> = models.collect();
        models.sort_by(|a, b| b.work.total_cmp(&a.work).then(a.model.cmp(&b.model)));
        models.truncate(count);
        models
    }

    /// Models that need another replica, in decreasing order of need.
    pub(super) fn short_of_replicas(&self) -> Vec<&'p config::Model> {
        let mut short: Vec<(f64, &'p config::Model)> = Vec::new();
        for model in &self.pool.settings.models {
            let it = self.model_state(&model.name);
            let need = if it.replicas + it.loading == 0 {
                self.need_without_replica(it)
            } else {
                let need = it.work_per_replica(it.replicas + it.loading);
                self.need_if_unserved(model, it, need).unwrap_or(need)
            };
            if need > self.planner.policy.add_replica_above {
                short.push((need, model));
            }
        }
        short.sort_by(|a, b| b.0.total_cmp(&a.0));
        short.into_iter().map(|(_, model)| model).collect()
    }

    /// Whether `model` could handle its work with one replica less than are loaded, loading or reserved for.
    pub(super) fn has_spare_replica(&self, model: &str) -> bool {
        let it = self.model_state(model);
        let less = (it.replicas + it.loading).saturating_sub(1);
        less > 0
            && it.unserved == 0.0
            && it.work_per_replica(less) <= self.planner.policy.drop_replica_below
    }

    /// The need of a model without a replica, whose requests can't be served at all. While there are none it ranks
    /// behind all models that are short: a load from the store blocks its engine for other orders for nine seconds.
    fn need_without_replica(&self, it: ModelState) -> f64 {
        if it.work > 0.0 {
            NO_REPLICA_NEED + it.work
        } else {
            self.planner.policy.add_replica_above * IDLE_NEED_FACTOR
        }
    }

    /// The next task on the way to another replica of `model`, with its engine: a load where memory is free, otherwise
    /// the unload that frees it.
    pub(super) fn next_step(
        &self,
        model: &config::Model,
    ) -> Option<(directory::InstanceId, dialect::Task)> {
        let mut best: Option<(f64, directory::InstanceId, dialect::Task)> = None;
        for instance in &self.pool.instances {
            let Some((cost, task)) = self.step_at(instance, model) else {
                continue;
            };
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, instance.id.clone(), task));
            }
        }
        best.map(|(_, id, task)| (id, task))
    }

    /// Whether the weight store may begin a load on `instance` in addition to the pending and the reserved ones.
    fn store_is_free(&self, instance: &directory::Instance) -> bool {
        let own = usize::from(self.planner.is_reserved_for_store(instance));
        let reserved = self.store_reservations - own;
        let per_s = self.pool.settings.loads_per_s;
        self.store_loads + reserved < self.planner.max_store_loads()
            && self.planner.store.allows(self.now, per_s, reserved)
    }

    /// The next task on `instance` towards a replica of `model`, with its cost in busy engines; none where the engine
    /// can't take it.
    pub(super) fn step_at(
        &self,
        instance: &directory::Instance,
        model: &config::Model,
    ) -> Option<(f64, dialect::Task)> {
        let reserved = self.planner.reservations.get(&instance.id);
        if reserved.is_some_and(|it| it.model != model.name) {
            return None;
        }
        let engine = self.planner.engines.get(&instance.id)?;
        if !engine.accepts_weight_orders(self.now) || instance.resident(&model.name).is_some() {
            return None;
        }
        let source = engine::source(instance, &model.name);
        if source == engine::Source::Store && !self.store_is_free(instance) {
            return None;
        }
        let used = engine.max_weights_mb(instance, self.pool.settings);
        let has_room = self.pool.settings.weights_mb - used >= model.weights_mb;
        let (task, eviction_cost) = if has_room {
            (dialect::Task::Load(model.name.clone()), 0.0)
        } else {
            let (victim, after) = self.victim(instance, model)?;
            (dialect::Task::Unload(victim), UNLOAD_COST + after)
        };
        // Prefers the engine with more free memory where all else is equal.
        let fill = FILL_COST * used / self.pool.settings.weights_mb;
        let cost =
            eviction_cost + self.source_cost(source, model) + self.engine_work(instance) + fill;
        Some((cost, task))
    }

    /// The model on `instance` to evict for `wanted`, with the cost: the work per remaining replica, and
    /// [`LAST_REPLICA_COST`] if none remains.
    fn victim(
        &self,
        instance: &directory::Instance,
        wanted: &config::Model,
    ) -> Option<(String, f64)> {
        let wanted_state = self.model_state(&wanted.name);
        let needed = wanted_state.work_per_replica(wanted_state.replicas + wanted_state.loading);
        let mut best: Option<(String, f64)> = None;
        for resident in &instance.models {
            let is_configured = self.models.contains_key(resident.model.as_str());
            let it = self.model_state(&resident.model);
            let is_last = it.replicas < 2 && is_configured;
            let is_kept = is_last && !Self::may_evict_last_replica(it, wanted_state);
            if is_kept || resident.model == wanted.name {
                continue;
            }
            let last = if is_last && is_configured {
                LAST_REPLICA_COST
            } else {
                0.0
            };
            let after = it.work_per_replica(it.replicas.saturating_sub(1)) + last;
            let is_better = best.as_ref().is_none_or(|(_, least)| after < *least);
            let is_idle = it.unserved == 0.0 && after <= self.planner.policy.drop_replica_below;
            let can_spare = is_idle || after <= needed * VICTIM_MAX_LOAD_SHARE;
            if (can_spare || is_last) && is_better {
                best = Some((resident.model.clone(), after));
            }
        }
        best
    }

    /// Whether the last replica of a model may be evicted for `wanted`.
    ///
    /// When engines are lost for good, their memory may no longer fit all models. If no last replica were evicted, the
    /// models without one could never be served again. The weights of an evicted model stay on the engine's disk,
    /// from which they are loaded within seconds.
    fn may_evict_last_replica(it: ModelState, wanted: ModelState) -> bool {
        let is_without = wanted.replicas + wanted.loading == 0 && wanted.work > 0.0;
        is_without && it.work <= wanted.work * LAST_REPLICA_MAX_WORK_SHARE
    }

    /// The work on `instance`, if requests are spread evenly over the replicas of each model.
    fn engine_work(&self, instance: &directory::Instance) -> f64 {
        let share = |it: &directory::Resident| {
            let state = self.model_state(&it.model);
            state.work / state.replicas.max(1) as f64
        };
        instance.models.iter().map(share).sum()
    }
}

/// Adds the replicas that `instance` holds and loads to `models`.
fn count_replicas(
    planner: &Planner,
    instance: &directory::Instance,
    models: &mut collections::HashMap<&str, ModelState>,
) {
    let engine = planner.engines.get(&instance.id);
    for resident in &instance.models {
        let is_unloading = engine.is_some_and(|it| it.unloads(&resident.model));
        if let Some(state) = models.get_mut(resident.model.as_str())
            && !is_unloading
        {
            state.replicas += 1;
        }
    }
    let Some(loading) = engine.and_then(engine::Engine::loading_model) else {
        return;
    };
    if let Some(state) = models.get_mut(loading)
        && instance.resident(loading).is_none()
    {
        state.loading += 1;
    }
}

/// Raises the provisioned work of the models behind the busiest one to `share` of the work of the model ranked before
/// each, since demand may move to them next.
fn anticipate(share: f64, models: &mut collections::HashMap<&str, ModelState>) {
    let mut order: Vec<(f64, &str)> = models.iter().map(|(name, it)| (it.work, *name)).collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(b.1)));
    for pair in order.windows(2).take(ANTICIPATED_MODELS) {
        let ((before, _), (work, name)) = (pair[0], pair[1]);
        let is_next = work >= MIN_ANTICIPATED_WORK && work >= before * MIN_ANTICIPATED_SHARE;
        if let Some(state) = models.get_mut(name)
            && is_next
        {
            state.provisioned_work = work.max(before * share);
        }
    }
}
