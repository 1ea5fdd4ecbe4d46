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
const KEPT: time::Millis = time::Millis(8_000);

/// Room that is kept for a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Move {
    pub(super) model: String,
    since: time::Instant,
}

/// Room kept, by engine.
pub(super) type Moves = collections::BTreeMap<String, Move>;

impl Planner {
    /// Forgets the moves that have ended, and goes on with the others.
    pub(super) fn go_on_with_moves(
        &mut self,
        now: time::Instant,
        pool: &Pool<'_>,
    ) -> Vec<dialect::Order> {
        self.end_moves(now, pool);
        let open: Vec<(String, Move)> = self.moves.clone().into_iter().collect();
        let mut orders = Vec::new();
        for (id, open) in open {
            let Some(instance) = pool.instances.iter().find(|it| it.id == id) else {
                continue;
            };
            let model = pool.offer.models.iter().find(|it| it.name == open.model);
            let survey = weights::Survey::new(self, now, pool);
            let step = model.and_then(|it| survey.step_at(instance, it));
            if let Some((_, task)) = step {
                orders.extend(self.order(now, pool, &id, task));
            }
        }
        orders
    }

    /// Room is made on `id` for `model`.
    pub(super) fn begin_move(&mut self, now: time::Instant, id: String, model: &str) {
        let model = model.to_owned();
        self.moves.insert(id, Move { model, since: now });
    }

    fn end_moves(&mut self, now: time::Instant, pool: &Pool<'_>) {
        let survey = weights::Survey::new(self, now, pool);
        let ended = |(id, open): &(&String, &Move)| {
            let Some(instance) = pool.instances.iter().find(|it| it.id == **id) else {
                // Of another service, unless the engine is gone.
                return !self.engines.contains_key(*id);
            };
            let is_loaded = instance.resident(&open.model).is_some() || self.loads(instance, open);
            is_loaded || now.since(open.since) > KEPT || survey.is_needless(&open.model)
        };
        let ended: Vec<String> = self
            .moves
            .iter()
            .filter(ended)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended {
            self.moves.remove(&id);
        }
    }

    fn loads(&self, instance: &directory::Instance, open: &Move) -> bool {
        let engine = self.engines.get(&instance.id);
        engine.and_then(engine::Engine::loads) == Some(&open.model)
    }
}
