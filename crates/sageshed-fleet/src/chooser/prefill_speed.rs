//! How long engines take to read prompts, as learnt from when answers began.
//!
//! Models of one service differ: a small one reads three times as many tokens in a millisecond as a large
//! one on the same engine. Were one speed learnt for each engine, the prompts of the small model would
//! make those of the large one look short, and the streams of that engine would pause for longer than
//! meant. So the time for a token is learnt for each model, and for each engine by how much it is
//! slower than others.

use std::collections;

/// Milliseconds for a token until some were measured: the slowest that was told of the engines reads
/// 19 in a millisecond.
const DEFAULT_MS_PER_TOKEN: f64 = 1.0 / 19.0;

/// The part of a measured deviation that is learnt of the model, and the same of the engine. Together
/// a tenth: single answers deviate by a half in either direction.
const GAIN: f64 = 0.05;

/// One measurement counts as this far off at the most, as a factor: what is beyond says something else
/// than how fast an engine reads.
const MAX_DEVIATION: f64 = 4.0;

/// Bounds of the time for a token, in milliseconds: between sixty and two tokens in a millisecond.
const MS_PER_TOKEN_RANGE: (f64, f64) = (1.0 / 60.0, 1.0 / 2.0);

/// Bounds of how much slower one engine is than others, as a factor.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 8.0);

/// The time that each model takes for a token.
#[derive(Debug, Default)]
pub(super) struct PrefillSpeeds {
    ms_per_token: collections::HashMap<String, f64>,
}

impl PrefillSpeeds {
    /// Milliseconds for a token of `model` on a usual engine.
    pub(super) fn ms_per_token(&self, model: &str) -> f64 {
        let learnt = self.ms_per_token.get(model).copied();
        learnt.unwrap_or(DEFAULT_MS_PER_TOKEN)
    }

    /// A prompt of `model` took `factor` times as long as was reckoned.
    pub(super) fn learn(&mut self, model: &str, factor: f64) {
        let (least, most) = MS_PER_TOKEN_RANGE;
        let learnt = (self.ms_per_token(model) * damped(factor)).clamp(least, most);
        self.ms_per_token.insert(model.to_owned(), learnt);
    }
}

/// The slowness of an engine once a prompt took `factor` times as long there as was reckoned.
pub(super) fn update_slowdown(slowdown: f64, factor: f64) -> f64 {
    let (least, most) = SLOWDOWN_RANGE;
    (slowdown * damped(factor)).clamp(least, most)
}

fn damped(factor: f64) -> f64 {
    factor.clamp(1.0 / MAX_DEVIATION, MAX_DEVIATION).powf(GAIN)
}
