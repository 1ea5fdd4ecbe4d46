//! A bound on the moves made for a model that stays without a route.
//!
//! The planner looks one move ahead. In a tight cluster two such moves can undo each other: a copy
//! made to free one engine is taken down again to free another, and the store is kept busy for
//! good while no model gains a route. So moves made for a model are counted until it has a route;
//! past a bound it rests, each time twice as long, and only loads into free memory are made for it.

use sageshed_types::{
    arena::{Key, ModelKey},
    time,
};

/// Moves for one model before it rests: a family of a base with its adapters takes about 20.
const MOVES_BEFORE_PAUSE: u32 = 24;

/// The first rest.
const FIRST_PAUSE: time::Millis = time::Millis(600_000);

/// The rest doubles at most this often.
const MAX_PAUSE_DOUBLINGS: u32 = 6;

/// What was done for each model without a route.
#[derive(Debug, Clone, Default)]
pub struct MoveLimits {
    models: Vec<ModelMoves>,
}

#[derive(Debug, Clone, Copy, Default)]
struct ModelMoves {
    moves: u32,
    pauses: u32,
    paused_until: time::Instant,
}

impl MoveLimits {
    /// Starts anew for `models` models.
    #[must_use]
    pub fn new(models: usize) -> Self {
        Self {
            models: vec![ModelMoves::default(); models],
        }
    }

    /// Whether copies may be moved for `model`.
    #[must_use]
    pub fn allow(&self, model: ModelKey, now: time::Instant) -> bool {
        now >= self.models[model.index()].paused_until
    }

    /// Counts a plan that moved copies for `model`.
    pub fn count(&mut self, model: ModelKey, now: time::Instant) {
        let model_moves = &mut self.models[model.index()];
        model_moves.moves += 1;
        if model_moves.moves < MOVES_BEFORE_PAUSE {
            return;
        }
        model_moves.paused_until = now + time::Millis(FIRST_PAUSE.0 << model_moves.pauses);
        model_moves.pauses = (model_moves.pauses + 1).min(MAX_PAUSE_DOUBLINGS);
        model_moves.moves = 0;
    }

    /// Forgets what was done for `model`: it has a route.
    pub fn reset(&mut self, model: ModelKey) {
        self.models[model.index()] = ModelMoves::default();
    }
}
