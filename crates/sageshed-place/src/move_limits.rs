//! Limits the moves that are made for a model without a route.
//!
//! The planner looks one move ahead. In a cluster with little free memory two such moves can undo
//! each other: a replica loaded to free one engine is evicted again to free another, and the weight
//! store stays busy forever without any model gaining a route. Therefore the moves made for a model
//! are counted until it has a route. Beyond a limit they are paused, with the pause doubling each
//! time; during a pause the model is only loaded into free memory.

use sageshed_types::{
    arena::{Key, ModelKey},
    time,
};

/// Moves for one model before a pause. A base model with its adapters needs about 20.
const MOVES_BEFORE_PAUSE: u32 = 24;

/// The length of the first pause.
const FIRST_PAUSE: time::Millis = time::Millis(600_000);

/// The greatest number of times that the pause is doubled.
const MAX_PAUSE_DOUBLINGS: u32 = 6;

/// The moves made for each model while it had no route.
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
    /// Creates the state for `models` models, without any moves.
    #[must_use]
    pub fn new(models: usize) -> Self {
        Self {
            models: vec![ModelMoves::default(); models],
        }
    }

    /// Whether replicas of other models may be moved for `model`.
    #[must_use]
    pub fn allow(&self, model: ModelKey, now: time::Instant) -> bool {
        now >= self.models[model.index()].paused_until
    }

    /// Counts a plan that moved replicas for `model`, and starts a pause at the limit.
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

    /// Resets the state of `model`, since it has a route.
    pub fn reset(&mut self, model: ModelKey) {
        self.models[model.index()] = ModelMoves::default();
    }
}
