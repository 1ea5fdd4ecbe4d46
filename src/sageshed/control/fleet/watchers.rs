//! The long polls that wait for changes, and when they are answered.
//!
//! # Load
//!
//! Hundreds of processes watch one control process, and during a release or after a start an endpoint changes every
//! few milliseconds. Answering change by change would cost one response per watcher and change. So changes are
//! collected and all watchers are answered in rounds, at most one per [`MIN_ROUND_INTERVAL`]. A new configuration and
//! changes of quarantined requests start a round at once. Watchers that time out are answered with the next round.

use std::time;

use sageshed_fleet::messages;

/// The shortest interval between two rounds of answers for changes that may be collected.
pub const MIN_ROUND_INTERVAL: time::Duration = time::Duration::from_millis(30);

/// How soon watchers have to be told of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// With the next round.
    Batched,
    /// At once, even if [`MIN_ROUND_INTERVAL`] has not passed since the last round.
    Immediate,
}

/// A long poll that waits for changes.
#[derive(Debug)]
pub struct Watcher<W> {
    /// The call, which says what its sender knows.
    pub req: messages::WatchReq,
    /// The handle that answers the call.
    pub responder: W,
    /// When it was received.
    pub since: time::Instant,
    until: time::Instant,
}

/// All long polls that wait for changes.
#[derive(Debug)]
pub struct Watchers<W> {
    waiting: Vec<Watcher<W>>,
    /// When the next long poll times out.
    next_timeout: Option<time::Instant>,
    last_round: Option<time::Instant>,
    news: Option<Urgency>,
}

impl<W> Default for Watchers<W> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            next_timeout: None,
            last_round: None,
            news: None,
        }
    }
}

impl<W> Watchers<W> {
    /// Adds a long poll. Returns whether the next round is due sooner because of it.
    pub fn add(&mut self, now: time::Instant, req: messages::WatchReq, responder: W) -> bool {
        let until = now + req.patience.into();
        self.waiting.push(Watcher {
            req,
            responder,
            since: now,
            until,
        });
        let is_sooner = self.next_timeout.is_none_or(|it| until < it);
        if is_sooner {
            self.next_timeout = Some(until);
        }
        is_sooner
    }

    /// Notes a change. Returns whether the next round is due sooner because of it.
    pub fn note_change(&mut self, urgency: Urgency) -> bool {
        let is_sooner = match self.news {
            None => true,
            Some(Urgency::Batched) => urgency == Urgency::Immediate,
            Some(Urgency::Immediate) => false,
        };
        if is_sooner {
            self.news = Some(urgency);
        }
        is_sooner
    }

    /// The time until the next round is due; none while no watcher waits and nothing has changed.
    #[must_use]
    pub fn next_round(&self, now: time::Instant) -> Option<time::Duration> {
        let due = match self.news {
            Some(Urgency::Immediate) => return Some(time::Duration::ZERO),
            Some(Urgency::Batched) => now,
            None => self.next_timeout?,
        };
        let due = self
            .last_round
            .map_or(due, |it| due.max(it + MIN_ROUND_INTERVAL));
        Some(due.saturating_duration_since(now))
    }

    /// Removes and returns the long polls to answer now: if a round is due, those for which `is_newer` holds and those
    /// that have timed out.
    pub fn take_due(
        &mut self,
        now: time::Instant,
        is_newer: impl Fn(&messages::WatchReq) -> bool,
    ) -> Vec<Watcher<W>> {
        if self.next_round(now) != Some(time::Duration::ZERO) {
            return Vec::new();
        }
        let has_news = self.news.take().is_some();
        self.last_round = Some(now);
        let is_due = |it: &mut Watcher<W>| it.until <= now || (has_news && is_newer(&it.req));
        let due = self.waiting.extract_if(.., is_due).collect();
        self.next_timeout = self.waiting.iter().map(|it| it.until).min();
        due
    }
}
