//! Prefill speed of engines, learned from when their responses began.
//!
//! Models of one service differ: on the same engine, a small model prefills three times as many tokens per
//! millisecond as a large one. With a single speed for each engine, the prompts of the small model would
//! make those of the large one look short, and streams of the engine would pause for longer than intended.
//! So the time per token is learned for each model, and for each engine the factor by which it is slower
//! than others.

use std::collections;

/// Milliseconds per token until some were measured. The slowest known engine prefills 19 tokens per
/// millisecond.
const DEFAULT_MS_PER_TOKEN: f64 = 1.0 / 19.0;

/// Share of a measured deviation that is attributed to the model, and likewise to the engine. Together they
/// are a tenth, since single measurements deviate by half in either direction.
const GAIN: f64 = 0.05;

/// The largest deviation of a single measurement that counts, as a factor. A larger one is caused by
/// something else than the engine's speed.
const MAX_DEVIATION: f64 = 4.0;

/// Range of the time per token in milliseconds: between sixty and two tokens per millisecond.
const MS_PER_TOKEN_RANGE: (f64, f64) = (1.0 / 60.0, 1.0 / 2.0);

/// Range of the factor by which one engine is slower than others.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 8.0);

/// The time per token of each model.
#[derive(Debug, Default)]
pub(super) struct PrefillSpeeds {
    ms_per_token: collections::HashMap<String, f64>,
}

impl PrefillSpeeds {
    /// Milliseconds per token of `model` on an average engine.
    pub(super) fn ms_per_token(&self, model: &str) -> f64 {
        let learnt = self.ms_per_token.get(model).copied();
        learnt.unwrap_or(DEFAULT_MS_PER_TOKEN)
    }

    /// Adjusts the speed of `model` by a prefill that took `factor` times the estimate.
    pub(super) fn learn(&mut self, model: &str, factor: f64) {
        let (least, most) = MS_PER_TOKEN_RANGE;
        let learnt = (self.ms_per_token(model) * damped(factor)).clamp(least, most);
        self.ms_per_token.insert(model.to_owned(), learnt);
    }
}

/// The new slowdown of an engine after a prefill that took `factor` times the estimate.
pub(super) fn update_slowdown(slowdown: f64, factor: f64) -> f64 {
    let (least, most) = SLOWDOWN_RANGE;
    (slowdown * damped(factor)).clamp(least, most)
}

fn damped(factor: f64) -> f64 {
    factor.clamp(1.0 / MAX_DEVIATION, MAX_DEVIATION).powf(GAIN)
}
