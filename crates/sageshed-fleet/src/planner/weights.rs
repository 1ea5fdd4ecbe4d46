//! Where weights are loaded and what makes room for them.

use std::collections;

use sageshed_types::time;

use super::{Busy, FILL_COST, Planner, Pool, engine};
use crate::{config, dialect, directory};

/// A model with less work than this, in engines kept busy, is not taken for the next to rise.
const MIN_ANTICIPATED_WORK: f64 = 0.15;

/// A model with less than this part of the work of the one before it isn't either.
const MIN_ANTICIPATED_SHARE: f64 = 0.15;

/// How far down the order of models work is anticipated.
const ANTICIPATED_MODELS: usize = 2;

/// What an unload weighs, in engines kept busy: its requests are waited for, and what was kept of its
/// prompts is lost.
const UNLOAD_COST: f64 = 0.2;

/// A last copy goes for a model without one if it has at most this part of its work.
const LAST_COPY_MAX_WORK_SHARE: f64 = 0.5;

/// A copy goes where its work is at least so many times less, once it is gone, than that of a copy of
/// the model that takes its place. Under overload no copy has little work, and none would move.
const VICTIM_MAX_LOAD_SHARE: f64 = 0.5;

/// What giving up a last copy weighs, in engines kept busy: whoever asks next waits for a load. Any
/// pause_calls copy that may go goes before.
const LAST_COPY_COST: f64 = 2.0;

/// What a model without any copy weighs that callers ask for: more than any work.
const NO_COPY_NEED: f64 = 10.0;

/// The need of a model without a copy that nobody asks for, in parts of what makes a model short.
const IDLE_NEED_FACTOR: f64 = 1.01;

/// What is known of one model at one moment.
#[derive(Debug, Clone, Copy, Default)]
struct ModelState {
    /// Engines that hold it and are not told to drop it.
    copies: usize,
    /// Engines that load it.
    loading: usize,
    /// Engines that its requests keep busy, as a number of engines.
    work: f64,
    /// Engines that it should be able to keep busy.
    provisioned_work: f64,
}

impl ModelState {
    /// What each copy would bear with `copies` of them.
    fn work_per_copy(&self, copies: usize) -> f64 {
        self.provisioned_work / copies.max(1) as f64
    }
}

/// All models of one pool at one moment.
pub(super) struct PoolState<'a, 'p> {
    planner: &'a Planner,
    pool: &'a Pool<'p>,
    now: time::Instant,
    models: collections::HashMap<&'p str, ModelState>,
    /// Loads from the store under way.
    store_loads: usize,
    /// Engines on which room is kept for a model that the store has to give.
    store_reservations: usize,
}

impl<'a, 'p> PoolState<'a, 'p> {
    pub(super) fn new(planner: &'a Planner, now: time::Instant, pool: &'a Pool<'p>) -> Self {
        let mut models: collections::HashMap<&'p str, ModelState> = collections::HashMap::new();
        for model in &pool.offer.models {
            let work = planner.demand.work(now, pool.service, &model.name);
            let state = ModelState {
                work,
                provisioned_work: work,
                ..ModelState::default()
            };
            models.insert(&model.name, state);
        }
        for instance in &pool.instances {
            count_copies(planner, instance, &mut models);
            let reservation = planner.reservations.get(&instance.id);
            if let Some(state) = reservation.and_then(|it| models.get_mut(it.model.as_str())) {
                state.loading += 1;
            }
        }
        anticipate(planner.policy.anticipated, &mut models);
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

    fn of(&self, model: &str) -> ModelState {
        self.models.get(model).copied().unwrap_or_default()
    }

    /// The `count` models with the most work.
    pub(super) fn busiest(&self, count: usize) -> Vec<Busy> {
        let models = self.models.iter().map(|(model, it)| Busy {
            model: (*model).to_owned(),
            copies: it.copies,
            loading: it.loading,
            work: it.work,
        });
        let mut models: Vec<Busy> = models.collect();
        models.sort_by(|a, b| b.work.total_cmp(&a.work).then(a.model.cmp(&b.model)));
        models.truncate(count);
        models
    }

    /// Models that need another copy, the one that needs it most first.
    pub(super) fn short_of_copies(&self) -> Vec<&'p config::Model> {
        let mut short: Vec<(f64, &'p config::Model)> = Vec::new();
        for model in &self.pool.offer.models {
            let it = self.of(&model.name);
            let need = if it.copies + it.loading == 0 {
                self.need_without_copy(it)
            } else {
                it.work_per_copy(it.copies + it.loading)
            };
            if need > self.planner.policy.high {
                short.push((need, model));
            }
        }
        short.sort_by(|a, b| b.0.total_cmp(&a.0));
        short.into_iter().map(|(_, model)| model).collect()
    }

    /// Whether `model` bears its work with one copy less than are there, under way or planned.
    pub(super) fn has_spare_copy(&self, model: &str) -> bool {
        let it = self.of(model);
        let less = (it.copies + it.loading).saturating_sub(1);
        less > 0 && it.work_per_copy(less) <= self.planner.policy.low
    }

    /// Without a copy its callers get nothing at all. While nobody asks for it it comes behind all that
    /// are short: a load from the store keeps its engine from any other order for nine seconds.
    fn need_without_copy(&self, it: ModelState) -> f64 {
        if it.work > 0.0 {
            NO_COPY_NEED + it.work
        } else {
            self.planner.policy.high * IDLE_NEED_FACTOR
        }
    }

    /// The next order on the way to another copy of `model`: a load where there is room, else the
    /// unload that makes room.
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

    /// Whether the store may begin a load on `instance` besides those for which room is kept elsewhere.
    fn store_is_free(&self, instance: &directory::Instance) -> bool {
        let own = usize::from(self.planner.is_reserved_for_store(instance));
        let reserved = self.store_reservations - own;
        let per_s = self.pool.offer.loads_per_s;
        self.store_loads + reserved < self.planner.policy.loads_at_once
            && self.planner.store.allows(self.now, per_s, reserved)
    }

    /// What `instance` would be told to have `model` there, and what that weighs.
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
        let used = engine.max_weights_mb(instance, self.pool.offer);
        let has_room = self.pool.offer.weights_mb - used >= model.weights_mb;
        let (task, eviction_cost) = if has_room {
            (dialect::Task::Load(model.name.clone()), 0.0)
        } else {
            let (victim, after) = self.victim(instance, model)?;
            (dialect::Task::Unload(victim), UNLOAD_COST + after)
        };
        // Of engines that are equal otherwise, the emptier one.
        let fill = FILL_COST * used / self.pool.offer.weights_mb;
        let cost = eviction_cost + source.cost(model) + self.engine_work(instance) + fill;
        Some((cost, task))
    }

    /// The model on `instance` that can best do with a copy less, and what its copies then bear.
    fn victim(
        &self,
        instance: &directory::Instance,
        wanted: &config::Model,
    ) -> Option<(String, f64)> {
        let wanted_state = self.of(&wanted.name);
        let needed = wanted_state.work_per_copy(wanted_state.copies + wanted_state.loading);
        let mut best: Option<(String, f64)> = None;
        for resident in &instance.models {
            let is_offered = self.models.contains_key(resident.model.as_str());
            let it = self.of(&resident.model);
            let is_last = it.copies < 2 && is_offered;
            let is_kept = is_last && !Self::may_evict_last_copy(it, wanted_state);
            if is_kept || resident.model == wanted.name {
                continue;
            }
            let last = if is_last && is_offered {
                LAST_COPY_COST
            } else {
                0.0
            };
            let after = it.work_per_copy(it.copies.saturating_sub(1)) + last;
            let is_better = best.as_ref().is_none_or(|(_, least)| after < *least);
            let can_spare =
                after <= self.planner.policy.low || after <= needed * VICTIM_MAX_LOAD_SHARE;
            if (can_spare || is_last) && is_better {
                best = Some((resident.model.clone(), after));
            }
        }
        best
    }

    /// Whether the last copy of a model may go for another one.
    ///
    /// When engines are lost for good there may be fewer places than models. Were each last copy kept,
    /// the models without one could not be asked for any more. What is given up stays on the engine's
    /// disk, from which it is back within seconds when it is asked for.
    fn may_evict_last_copy(it: ModelState, wanted: ModelState) -> bool {
        let is_without = wanted.copies + wanted.loading == 0 && wanted.work > 0.0;
        is_without && it.work <= wanted.work * LAST_COPY_MAX_WORK_SHARE
    }

    /// What the requests for the models on `instance` keep busy of it.
    fn engine_work(&self, instance: &directory::Instance) -> f64 {
        let share = |it: &directory::Resident| {
            let state = self.of(&it.model);
            state.work / state.copies.max(1) as f64
        };
        instance.models.iter().map(share).sum()
    }
}

/// Counts what `instance` holds and loads.
fn count_copies(
    planner: &Planner,
    instance: &directory::Instance,
    models: &mut collections::HashMap<&str, ModelState>,
) {
    let engine = planner.engines.get(&instance.id);
    for resident in &instance.models {
        let is_dropped = engine.is_some_and(|it| it.unloads(&resident.model));
        if let Some(state) = models.get_mut(resident.model.as_str())
            && !is_dropped
        {
            state.copies += 1;
        }
    }
    let Some(loads) = engine.and_then(engine::Engine::loading_model) else {
        return;
    };
    if let Some(state) = models.get_mut(loads)
        && instance.resident(loads).is_none()
    {
        state.loading += 1;
    }
}

/// Provides the next of the busy models for a part of the work of the one before it.
fn anticipate(part: f64, models: &mut collections::HashMap<&str, ModelState>) {
    let mut order: Vec<(f64, &str)> = models.iter().map(|(name, it)| (it.work, *name)).collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(b.1)));
    for pair in order.windows(2).take(ANTICIPATED_MODELS) {
        let ((before, _), (work, name)) = (pair[0], pair[1]);
        let is_next = work >= MIN_ANTICIPATED_WORK && work >= before * MIN_ANTICIPATED_SHARE;
        if let Some(state) = models.get_mut(name)
            && is_next
        {
            state.provisioned_work = work.max(before * part);
        }
    }
}
