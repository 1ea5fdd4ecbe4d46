//! Calls that wait for news, and when they are answered.
//!
//! # The load pattern
//!
//! Hundreds of processes watch one control process, and in a release or after a start an endpoint changes every
//! few milliseconds. Answered change by change, each watcher would cost an answer for each change. So news is
//! collected and all watchers are answered in rounds, at most one in [`MIN_ROUND_INTERVAL`]; a new configuration and what
//! concerns held requests begin a round at once. Watchers whose patience is over are answered with the next round.

use std::time;

use sageshed_fleet::messages;

/// At least this long between two rounds of answers that could be collected.
pub const MIN_ROUND_INTERVAL: time::Duration = time::Duration::from_millis(30);

/// How soon watchers have to know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// With the next round.
    Batched,
    /// At once.
    Immediate,
}

/// A call that waits.
#[derive(Debug)]
pub struct Watcher<W> {
    /// What it knows.
    pub req: messages::WatchReq,
    /// The means to answer it.
    pub responder: W,
    until: time::Instant,
}

/// All calls that wait.
#[derive(Debug)]
pub struct Watchers<W> {
    waiting: Vec<Watcher<W>>,
    /// The end of the shortest patience.
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
    /// Adds a call. Returns whether the next round is sooner by that.
    pub fn add(&mut self, now: time::Instant, req: messages::WatchReq, responder: W) -> bool {
        let until = now + req.patience.into();
        self.waiting.push(Watcher {
            req,
            responder,
            until,
        });
        let is_sooner = self.next_timeout.is_none_or(|it| until < it);
        if is_sooner {
            self.next_timeout = Some(until);
        }
        is_sooner
    }

    /// Something changed. Returns whether the next round is sooner by that.
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

    /// How long it is to the next round; none while nobody waits for anything.
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

    /// Takes the calls that are to be answered now: where a round is due, those for which `is_newer` holds and
    /// those whose patience is over.
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
