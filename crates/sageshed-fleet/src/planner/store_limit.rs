//! The limit on concurrent loads from the weight store.
//!
//! The store serves a certain number of loads at full speed, and beyond that each load takes proportionally longer. That
//! number is not configured. It is estimated from how long loads take: while they take about their stated time and the
//! limit was reached, the limit grows by one with each load, which doubles it within one load time. Once they take
//! longer, the limit falls to the concurrency at which they would have taken their stated time, and from then on grows
//! by a tenth within a load time.

use std::collections;

use sageshed_types::time;

/// Lower bound of the limit of a new leader, which knows nothing of the store.
const MIN_INITIAL_LIMIT: f64 = 6.0;

/// Lower bound of the limit. Loads that several engines carry out late at the same time look like a slow store.
const MIN_LIMIT: f64 = 3.0;

/// The limit is adapted only where a load takes at least this long. With shorter loads, [`MIN_INITIAL_LIMIT`] at once are
/// more than one a second, which follows demand that moves within seconds; more would move replicas all the time.
pub(super) const MIN_ADAPTED_LOAD: time::Millis = time::Millis(5_000);

/// Growth of the limit with each load once the store has been slow: a tenth of the limit within one load time. The store
/// may have been slowed down by loads of a previous leader, so the limit has to rise again.
const GROWTH_AFTER_SLOW: f64 = 0.1;

/// A load is slow if it takes longer than its stated time by this factor and by [`DISPLAY_DELAY`].
const SLOW_FACTOR: f64 = 1.15;

/// Time from the end of a load until the leader knows of it: an announcement passes through another control process.
const DISPLAY_DELAY: time::Millis = time::Millis(400);

/// A load that takes less than this share of its stated time was not done by the store.
const MIN_STORE_SHARE: f64 = 0.5;

/// The limit divided by this is the number of loads whose median decides whether the store is slow. The store slows down all
/// loads alike, while an engine that carries out its order late, or announces the model late, delays only its own. Loads
/// that were carried out late end one after the other: with five samples at any limit, a quarter of late loads held the
/// limit at 13 before a store that serves 110.
const LIMIT_PER_SAMPLE: usize = 2;

/// Least number of these loads.
const MIN_SAMPLES: usize = 5;

/// How long the concurrency is remembered; the slowest load that is used as a sample.
const HISTORY: time::Millis = time::Millis(60_000);

/// A load from the store whose beginning and end are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FinishedLoad {
    /// When the engine accepted the order.
    pub(super) begun: time::Instant,
    /// When the engine was seen to hold the model.
    pub(super) ended: time::Instant,
    /// The stated time of the load.
    pub(super) stated: time::Millis,
}

/// The concurrency from one moment to the next change.
#[derive(Debug, Clone, Copy)]
struct Concurrency {
    since: time::Instant,
    /// Loads in progress.
    loads: usize,
    /// Whether no more were allowed.
    is_limited: bool,
}

/// What one load tells about the store.
#[derive(Debug, Clone, Copy)]
struct Sample {
    /// Its time as a multiple of the stated one.
    slowdown: f64,
    /// The concurrency at which it would have taken its stated time.
    full_speed: f64,
    is_slow: bool,
}

/// The limit, and what it is derived from.
#[derive(Debug)]
pub(super) struct StoreLimit {
    limit: f64,
    /// Whether the store has been slow since the leader was elected.
    was_slow: bool,
    /// Whether the stated loads per second have been applied to the initial limit.
    has_begun: bool,
    history: collections::VecDeque<Concurrency>,
    samples: collections::VecDeque<Sample>,
}

impl Default for StoreLimit {
    fn default() -> Self {
        Self {
            limit: MIN_INITIAL_LIMIT,
            was_slow: false,
            has_begun: false,
            history: collections::VecDeque::new(),
            samples: collections::VecDeque::new(),
        }
    }
}

/// The greatest useful number of concurrent loads: those that the store may begin within the time of one load.
pub(super) fn ceiling(loads_per_s: f64, load: time::Millis) -> f64 {
    (loads_per_s * load.0 as f64 / 1_000.0).max(MIN_LIMIT)
}

impl StoreLimit {
    /// Maximum number of concurrent loads.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the limit is bounded below by MIN_LIMIT"
    )]
    pub(super) fn current(&self) -> usize {
        self.limit as usize
    }

    /// Sets the initial limit of a new leader: the store begins `loads_per_s` loads in a second, and each takes longer
    /// than a second, so it serves at least as many at once.
    pub(super) fn begin(&mut self, loads_per_s: f64) {
        if !self.has_begun {
            self.has_begun = true;
            self.limit = self.limit.max(loads_per_s);
        }
    }

    /// Records that `loads` are in progress from `now` on, and `reserved` others wait for memory.
    pub(super) fn record_concurrency(&mut self, now: time::Instant, loads: usize, reserved: usize) {
        let is_limited = loads + reserved >= self.current();
        let is_same = |it: &Concurrency| it.loads == loads && it.is_limited == is_limited;
        if self.history.back().is_some_and(is_same) {
            return;
        }
        self.history.push_back(Concurrency {
            since: now,
            loads,
            is_limited,
        });
        // The first entry holds until the second, so it is kept while the second is recent.
        while self
            .history
            .get(1)
            .is_some_and(|it| now.since(it.since) > HISTORY)
        {
            self.history.pop_front();
        }
    }

    /// Adapts the limit to a load that has ended, up to `ceiling`.
    pub(super) fn record_load(&mut self, load: FinishedLoad, ceiling: f64) {
        let took = load.ended.since(load.begun);
        let slowdown = took.0 as f64 / load.stated.0.max(1) as f64;
        if slowdown < MIN_STORE_SHARE || took > HISTORY {
            return;
        }
        let (mean, was_limited) = self.concurrency_during(load);
        let sample = Sample {
            slowdown,
            full_speed: mean / slowdown,
            is_slow: took.0 as f64 > load.stated.0 as f64 * SLOW_FACTOR + DISPLAY_DELAY.0 as f64,
        };
        self.samples.push_back(sample);
        let needed = (self.current() / LIMIT_PER_SAMPLE).max(MIN_SAMPLES);
        let excess = self.samples.len().saturating_sub(needed);
        self.samples.drain(..excess);
        let slow = self.samples.iter().filter(|it| it.is_slow).count();
        if self.samples.len() == needed && slow * 2 > needed {
            self.lower();
        } else if was_limited && !sample.is_slow {
            self.limit += if self.was_slow {
                GROWTH_AFTER_SLOW
            } else {
                1.0
            };
        }
        self.limit = self.limit.min(ceiling).max(MIN_LIMIT);
    }

    /// Lowers the limit to the concurrency at which the median load would have taken its stated time.
    fn lower(&mut self) {
        let mut samples: Vec<Sample> = self.samples.drain(..).collect();
        samples.sort_by(|a, b| a.slowdown.total_cmp(&b.slowdown));
        self.limit = self.limit.min(samples[samples.len() / 2].full_speed);
        self.was_slow = true;
    }

    /// The mean concurrency during a load, and whether the limit was reached meanwhile.
    fn concurrency_during(&self, load: FinishedLoad) -> (f64, bool) {
        let ends = self.history.iter().skip(1).map(|it| it.since);
        let ends = ends.chain([load.ended]);
        let mut load_ms = 0.0;
        let mut was_limited = false;
        for (it, end) in self.history.iter().zip(ends) {
            let span = end.min(load.ended).since(it.since.max(load.begun));
            load_ms += span.0 as f64 * it.loads as f64;
            was_limited |= it.is_limited && span > time::Millis(0);
        }
        let span = load.ended.since(load.begun).0.max(1);
        (load_ms / span as f64, was_limited)
    }
}
