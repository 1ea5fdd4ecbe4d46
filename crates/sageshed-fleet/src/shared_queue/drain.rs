//! The rate at which the queue drains, and the rate at which work arrives.

use std::collections;

use sageshed_types::time;

const SLOT_MS: u64 = 50;

/// Time over which work is counted, in slots: 2 s, long enough for some prompts of each busy model.
const SLOTS: u64 = 40;

/// Requests have to wait this long before the work done meanwhile counts as a rate: the time in which an engine
/// prefills two large prompts.
const MIN_BUSY_TIME: time::Millis = time::Millis(300);

/// If nothing is served for this long, the measurement starts over. While the weights of a model are loaded, its
/// rate is zero; counted as a part of the rate after the load, that time had requests refused which were served
/// within half a second.
const STALL: time::Millis = time::Millis(500);

/// Requests that have to be served before their work counts as a rate.
const MIN_SERVED: u64 = 3;

/// How long a rate holds after the queue became empty. Later, engines may have been added or removed.
const RATE_TTL: time::Millis = time::Millis(2_000);

/// Work in the last two seconds.
#[derive(Debug, Default)]
struct WorkWindow {
    /// Slot of time, work and number of requests.
    slots: collections::VecDeque<(u64, u64, u64)>,
}

impl WorkWindow {
    fn record(&mut self, now: time::Instant, work_us: u64) {
        let slot = now.0 / SLOT_MS;
        while let Some((oldest, _, _)) = self.slots.front()
            && oldest + SLOTS <= slot
        {
            self.slots.pop_front();
        }
        match self.slots.back_mut() {
            Some((newest, work, count)) if *newest == slot => {
                *work += work_us;
                *count += 1;
            }
            _ => self.slots.push_back((slot, work_us, 1)),
        }
    }

    /// Work in a millisecond that has arrived both in the older and in the newer half of the window. A burst is in
    /// one of them, and says nothing about what arrives later.
    fn sustained_rate(&self, now: time::Instant) -> f64 {
        let newer = (now.0 / SLOT_MS + 1).saturating_sub(SLOTS / 2);
        let half = (SLOTS / 2 * SLOT_MS) as f64;
        let (all, _) = self.totals(now);
        let recent = self.slots.iter().filter(|(slot, _, _)| *slot >= newer);
        let recent: u64 = recent.map(|(_, work, _)| work).sum();
        recent.min(all - recent) as f64 / half
    }

    /// Work and number of requests in the window, which begins at [`window_start`].
    fn totals(&self, now: time::Instant) -> (u64, u64) {
        let start = window_start(now).0 / SLOT_MS;
        let recent = self.slots.iter().filter(|(slot, _, _)| *slot >= start);
        recent.fold((0, 0), |(work, count), (_, w, n)| (work + w, count + n))
    }
}

fn window_start(now: time::Instant) -> time::Instant {
    time::Instant((now.0 / SLOT_MS).saturating_sub(SLOTS - 1) * SLOT_MS)
}

/// Measures how fast the queue drains.
///
/// Only the work that is done while requests wait tells the speed of the engines; otherwise it tells the demand.
#[derive(Debug, Default)]
pub(super) struct DrainRate {
    served: WorkWindow,
    /// Since when at least one request has been waiting, or when the first one was served after a stall.
    busy_since: Option<time::Instant>,
    last_served: Option<time::Instant>,
    /// The rate when the queue became empty, and when that was.
    last: Option<(time::Instant, f64)>,
}

impl DrainRate {
    /// Records whether requests wait now.
    pub(super) fn record_busy(&mut self, now: time::Instant, is_busy: bool) {
        match (self.busy_since, is_busy) {
            (None, true) => {
                self.busy_since = Some(now);
                self.served = WorkWindow::default();
            }
            (Some(_), false) => {
                self.last = self.measured(now).map(|rate| (now, rate)).or(self.last);
                self.busy_since = None;
            }
            _ => {}
        }
    }

    pub(super) fn record_served(&mut self, now: time::Instant, work_us: u64) {
        let Some(busy_since) = self.busy_since else {
            return;
        };
        if self.is_stalled(now, busy_since) {
            self.busy_since = Some(now);
            self.served = WorkWindow::default();
        } else {
            self.served.record(now, work_us);
        }
        self.last_served = Some(now);
    }

    /// Work done in a millisecond, in microseconds, or none if it is unknown.
    pub(super) fn rate(&self, now: time::Instant) -> Option<f64> {
        let last = self.last.filter(|(at, _)| now.since(*at) < RATE_TTL);
        self.measured(now).or(last.map(|(_, rate)| rate))
    }

    fn is_stalled(&self, now: time::Instant, busy_since: time::Instant) -> bool {
        let last = self.last_served.unwrap_or(busy_since).max(busy_since);
        now.since(last) >= STALL
    }

    fn measured(&self, now: time::Instant) -> Option<f64> {
        let busy_since = self.busy_since?;
        if self.is_stalled(now, busy_since) {
            return None;
        }
        let start = busy_since.max(window_start(now));
        let span = now.since(start);
        let (work, count) = self.served.totals(now);
        let is_known = now.since(busy_since) >= MIN_BUSY_TIME && count >= MIN_SERVED;
        // With a rate of zero, expected waits would be infinite.
        (is_known && span.0 > 0 && work > 0).then(|| work as f64 / span.0 as f64)
    }
}

/// The work that joins the queue, by priority.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    by_priority: collections::BTreeMap<u8, WorkWindow>,
}

impl Arrivals {
    pub(super) fn record(&mut self, now: time::Instant, priority: u8, work_us: u64) {
        let window = self.by_priority.entry(priority).or_default();
        window.record(now, work_us);
    }

    /// Work of more urgent priorities that keeps joining in a millisecond, in microseconds.
    pub(super) fn rate_before(&self, now: time::Instant, priority: u8) -> f64 {
        let urgent = self.by_priority.range(..priority);
        urgent.map(|(_, window)| window.sustained_rate(now)).sum()
    }

    /// Work of a priority that keeps joining in a millisecond, in microseconds.
    pub(super) fn rate_of(&self, now: time::Instant, priority: u8) -> f64 {
        let window = self.by_priority.get(&priority);
        window.map_or(0.0, |it| it.sustained_rate(now))
    }
}
