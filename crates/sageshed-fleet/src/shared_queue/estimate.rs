//! Estimates of how long requests wait.

use sageshed_types::time;

use super::{
    SharedQueue, groups, reservations,
    waiting::{Entry, Urgency},
};

/// The retry delay while the drain rate is unknown, and the time between two returns: loads of weights take 2 to
/// 6 s, and waiting requests show sooner whether the model is served.
const UNKNOWN_DELAY_MS: f64 = 1_000.0;
const UNKNOWN_SPREAD_MS: f64 = 2.0;

impl<P> SharedQueue<P> {
    /// How long a request that waits, or is about to, is expected to wait from now on. None if the drain rate is
    /// unknown.
    pub(super) fn expected_wait(
        &self,
        now: time::Instant,
        entry: &Entry<P>,
    ) -> Option<time::Millis> {
        let rate = self.drain.rate(now)?;
        let mut ahead = self.ahead(now, entry, entry.urgency, rate);
        // Those who return meanwhile go first, but nothing is refused for them while nobody waits.
        if !entry.has_reservation && ahead.wait() > 0.0 {
            let until = now + time::Millis::rounded_up(ahead.wait());
            let it = &entry.waiting;
            ahead.own += self
                .reservations
                .work_until(it.workspace, it.priority, until);
        }
        let wait = ahead.wait();
        let on_time_left = entry.on_time_by().since(now).0 as f64;
        if entry.urgency == Urgency::Late || wait <= on_time_left {
            return Some(time::Millis::rounded_up(wait));
        }
        // It will be late before it is granted, with those that still wait before it by then.
        let late = self.ahead(now, entry, Urgency::Late, rate);
        let own = late.own + ahead.own * (1.0 - on_time_left / wait);
        Some(time::Millis::rounded_up(on_time_left + own / late.rest))
    }

    fn ahead(
        &self,
        now: time::Instant,
        entry: &Entry<P>,
        urgency: Urgency,
        rate: f64,
    ) -> groups::Ahead {
        let priority = entry.waiting.priority;
        let mut urgent = self.arrivals.rate_before(now, priority);
        if urgency == Urgency::Late {
            urgent += self.arrivals.rate_of(now, priority);
        }
        let drain = groups::Drain { rate, urgent };
        self.groups.ahead(entry, urgency, drain, &self.policy)
    }

    /// Whether it is known that a request can't begin before its caller gives up.
    pub(super) fn is_hopeless(&self, now: time::Instant, entry: &Entry<P>) -> bool {
        let expected = self.expected_wait(now, entry);
        expected.is_some_and(|wait| wait > entry.begin_by().since(now))
    }

    /// Refuses a request that is not in the queue. Returns the delay after which it should return.
    pub(super) fn refuse(&mut self, now: time::Instant, entry: &Entry<P>) -> time::Millis {
        self.stats.refused += 1;
        let it = &entry.waiting;
        let (booked_ms, own_ms) = match self.drain.rate(now) {
            Some(rate) if rate > 0.0 => {
                let share = self
                    .groups
                    .share_of_workspace(it.priority, it.workspace, it.weight);
                let own = it.work_us as f64 / (rate * share);
                (self.groups.booked(entry) as f64 / rate, own)
            }
            _ => (UNKNOWN_DELAY_MS, UNKNOWN_SPREAD_MS),
        };
        let refusal = reservations::Refusal {
            workspace: it.workspace,
            priority: it.priority,
            content: it.content,
            work_us: it.work_us,
            booked_ms,
            own_ms,
        };
        let max = self.policy.max_reservations;
        self.reservations.book(now, refusal, max)
    }
}
