//! Reservations of engine memory that is being freed for one model.
//!
//! An unload waits for running requests, up to seconds, and the load that needs the memory can begin only then.
//! Other models may be short of replicas meanwhile. Without a reservation the next model that loads quickly would
//! take the memory, and the first one would evict a model elsewhere: when demand moved to one model, the last
//! replicas of seven others were unloaded within 20 ms, and loaded again from the weight store that the first one
//! needed.

use std::collections;

use sageshed_types::time;

use super::{Planner, Pool, engine, weights};
use crate::{dialect, directory};

/// How long a reservation is held. An unload waits for running requests, the longest of which take some seconds.
const RESERVATION_TIMEOUT: time::Millis = time::Millis(8_000);

/// Memory of one engine that is reserved for a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Reservation {
    pub(super) model: String,
    since: time::Instant,
}

/// All reservations, by engine.
pub(super) type Reservations = collections::BTreeMap<directory::InstanceId, Reservation>;

impl Planner {
    /// Releases the reservations that are over, and gives the next order for each of the others.
    ///
    /// One pool state serves all of them: each order goes to another engine, and the store's budget already counts
    /// all reservations.
    pub(super) fn continue_reservations(
        &mut self,
        now: time::Instant,
        pool: &Pool<'_>,
    ) -> Vec<dialect::Order> {
        self.release_reservations(now, pool);
        let state = weights::PoolState::new(self, now, pool);
        let steps = pool.instances.iter().filter_map(|instance| {
            let reserved = self.reservations.get(&instance.id)?;
            let mut models = pool.settings.models.iter();
            let model = models.find(|it| it.name == reserved.model)?;
            let (_, task) = state.step_at(instance, model)?;
            Some((instance.id.clone(), task))
        });
        let steps: Vec<(directory::InstanceId, dialect::Task)> = steps.collect();
        let orders = steps.into_iter();
        orders
            .filter_map(|(id, task)| self.order(now, pool, &id, task))
            .collect()
    }

    /// Reserves the memory that is being freed on engine `id` for `model`.
    pub(super) fn reserve(&mut self, now: time::Instant, id: directory::InstanceId, model: &str) {
        let model = model.to_owned();
        self.reservations
            .insert(id, Reservation { model, since: now });
    }

    /// Whether memory on `instance` is reserved for a model that has to be loaded from the weight store.
    pub(super) fn is_reserved_for_store(&self, instance: &directory::Instance) -> bool {
        let reserved = self.reservations.get(&instance.id);
        reserved.is_some_and(|it| engine::source(instance, &it.model) == engine::Source::Store)
    }

    fn release_reservations(&mut self, now: time::Instant, pool: &Pool<'_>) {
        let state = weights::PoolState::new(self, now, pool);
        let is_over = |instance: &&&directory::Instance| {
            let Some(reservation) = self.reservations.get(&instance.id) else {
                return false;
            };
            let loading = self
                .engines
                .get(&instance.id)
                .and_then(engine::Engine::loading_model);
            let is_loaded = loading == Some(&reservation.model)
                || instance.resident(&reservation.model).is_some();
            is_loaded
                || now.since(reservation.since) > RESERVATION_TIMEOUT
                || state.has_spare_replica(&reservation.model)
        };
        let over: Vec<directory::InstanceId> = pool
            .instances
            .iter()
            .filter(is_over)
            .map(|it| it.id.clone())
            .collect();
        for id in over {
            self.reservations.remove(&id);
        }
        // A reservation on an engine that has gone serves nothing; the model is placed elsewhere.
        let engines = &self.engines;
        self.reservations.retain(|id, _| engines.contains_key(id));
    }
}
