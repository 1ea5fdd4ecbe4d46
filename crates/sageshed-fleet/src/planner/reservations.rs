//! Room that is made on an engine for one model.
//!
//! An unload takes as long as the requests that run, up to seconds, and the load that it makes room for
//! can begin only then. Meanwhile other models are short as well. Were the room not kept, the next model
//! that loads quickly would take it, and the first would make room elsewhere: with demand moved to one
//! model the last copies of seven others were dropped within 20 ms, and loaded again from the store
//! that the first one needed.

use std::collections;

use sageshed_types::time;

use super::{Planner, Pool, engine, weights};
use crate::{dialect, directory};

/// How long room is kept. An unload waits for requests that run, of which the longest take some seconds.
const RESERVATION_TIMEOUT: time::Millis = time::Millis(8_000);

/// Room that is kept for a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Reservation {
    pub(super) model: String,
    since: time::Instant,
}

/// Room kept, by engine.
pub(super) type Reservations = collections::BTreeMap<directory::InstanceId, Reservation>;

impl Planner {
    /// Forgets the moves that have ended, and goes on with the others.
    ///
    /// One state serves all steps: each is on an engine of its own, and the store counts the room that
    /// is kept on every other.
    pub(super) fn continue_reservations(
        &mut self,
        now: time::Instant,
        pool: &Pool<'_>,
    ) -> Vec<dialect::Order> {
        self.release_reservations(now, pool);
        let state = weights::PoolState::new(self, now, pool);
        let steps = pool.instances.iter().filter_map(|instance| {
            let reserved = self.reservations.get(&instance.id)?;
            let mut models = pool.offer.models.iter();
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

    /// Room is made on `id` for `model`.
    pub(super) fn reserve(&mut self, now: time::Instant, id: directory::InstanceId, model: &str) {
        let model = model.to_owned();
        self.reservations
            .insert(id, Reservation { model, since: now });
    }

    /// Whether room is kept on `instance` for a model that the store has to give.
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
                || state.has_spare_copy(&reservation.model)
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
        // What an engine was to load that has gone is loaded elsewhere.
        let engines = &self.engines;
        self.reservations.retain(|id, _| engines.contains_key(id));
    }
}
