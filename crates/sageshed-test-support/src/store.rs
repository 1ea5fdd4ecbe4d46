//! The store of weights that all engines load from: it lets loads begin at a rate, and past a number
//! at once they share its speed.

use std::{
    sync::{self, atomic},
    thread,
    time::{Duration, Instant},
};

use crate::config;

/// The steps in which a load goes on.
const STEP: Duration = Duration::from_millis(5);

/// What is left of a load that counts as nothing, in seconds. Taking off a share of what is left
/// never gets to 0: loads that shared the store's speed went on for good.
const NEGLIGIBLE: f64 = 1e-6;

#[derive(Debug)]
pub(crate) struct Store {
    at_once: u32,
    between_starts: Duration,
    next_start: sync::Mutex<Instant>,
    active: atomic::AtomicU32,
}

impl Store {
    pub(crate) fn new(cfg: &config::Config) -> Self {
        let rate = cfg.store.loads_per_second * cfg.time_scale;
        Self {
            at_once: cfg.store.at_once.max(1),
            between_starts: Duration::from_secs_f64(1.0 / rate.max(0.001)),
            next_start: sync::Mutex::new(Instant::now()),
            active: atomic::AtomicU32::new(0),
        }
    }

    /// Takes as long as a load does that takes `time` at full speed.
    pub(crate) fn load(&self, time: Duration) {
        thread::sleep(self.wait_for_start());
        self.active.fetch_add(1, atomic::Ordering::Relaxed);
        let mut left = time.as_secs_f64();
        while left > NEGLIGIBLE {
            let speed = self.speed();
            let step = STEP.as_secs_f64().min(left / speed);
            thread::sleep(Duration::from_secs_f64(step));
            left -= step * speed;
        }
        self.active.fetch_sub(1, atomic::Ordering::Relaxed);
    }

    fn speed(&self) -> f64 {
        let active = self.active.load(atomic::Ordering::Relaxed).max(1);
        (f64::from(self.at_once) / f64::from(active)).min(1.0)
    }

    fn wait_for_start(&self) -> Duration {
        let mut next = self
            .next_start
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let now = Instant::now();
        let start = (*next).max(now);
        *next = start + self.between_starts;
        start - now
    }
}
