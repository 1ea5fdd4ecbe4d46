//! In which order the requests that wait here for an engine go, and how long that will take.
//!
//! The load pattern: more prompts come than the engines of a model can read, for seconds.
//!
//! # Order
//!
//! First come those that can still be on time, the urgent ones before others, and of equal ones the one
//! that is late first. One that is late already loses nothing more by waiting, and were it first, those
//! behind it would all be late as well. A request for an adapter goes to fewer engines than one for the
//! bare model, so it does not hold that one back.
//!
//! # Time
//!
//! Each process sees what it reads of a model's prompts in a second, and how much waits here before a
//! request. What can't be reached in its time is turned away when that is known, with when to come
//! back, and not at its end.

use std::collections;

use sageshed_types::time;

/// Over this span what is read is counted. Long enough for some prompts of each busy model.
const RATE_WINDOW: time::Millis = time::Millis(2_000);

/// Requests have to wait for so long before what is read meanwhile tells a speed: the time in which an
/// engine reads two large prompts.
const MIN_BUSY_TIME: time::Millis = time::Millis(300);

/// A request with less than this until its answer would be late can't be on time any more: a prompt of
/// two thousand tokens takes an engine a tenth of a second.
const MIN_RESPONSE_TIME: time::Millis = time::Millis(100);

/// A request that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiter {
    /// Tokens of its prompt.
    pub tokens: u64,
    /// Its route's rank, zero being the most urgent.
    pub priority: u8,
    /// Until then its answer is on time.
    pub on_time_until: time::Instant,
    /// The adapter that it needs besides the model.
    pub adapter: Option<String>,
}

/// Where a request stands among those that wait for its model; the lowest goes first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_late: bool,
    priority: u8,
    on_time_until: time::Instant,
    ticket: u64,
}

impl Waiter {
    fn rank(&self, now: time::Instant, ticket: u64) -> Rank {
        Rank {
            is_late: now + MIN_RESPONSE_TIME > self.on_time_until,
            priority: self.priority,
            on_time_until: self.on_time_until,
            ticket,
        }
    }

    /// Whether any engine that serves `other` would serve this one.
    fn can_run_wherever(&self, other: &Self) -> bool {
        self.adapter.is_none() || self.adapter == other.adapter
    }
}

#[derive(Debug, Default)]
struct Queue {
    /// Those that wait, by ticket.
    waiting: collections::BTreeMap<u64, Waiter>,
    /// What was read lately.
    prefilled: collections::VecDeque<(time::Instant, u64)>,
    /// Since when requests have waited without a break; none while none waits.
    busy_since: Option<time::Instant>,
}

/// What waits and what is read, for each model.
#[derive(Debug, Default)]
pub struct Backlog {
    queues: collections::HashMap<String, Queue>,
    last_ticket: u64,
}

impl Backlog {
    /// A request begins to wait. Returns its ticket.
    pub fn enter(&mut self, now: time::Instant, model: &str, waiter: Waiter) -> u64 {
        self.last_ticket += 1;
        let queue = self.queues.entry(model.to_owned()).or_default();
        queue.busy_since.get_or_insert(now);
        queue.waiting.insert(self.last_ticket, waiter);
        self.last_ticket
    }

    /// Whether another request that waits for the model goes before `waiter`. One that has just come
    /// has no ticket.
    #[must_use]
    pub fn is_preceded(
        &self,
        now: time::Instant,
        model: &str,
        waiter: &Waiter,
        ticket: Option<u64>,
    ) -> bool {
        let Some(queue) = self.queues.get(model) else {
            return false;
        };
        let own = waiter.rank(now, ticket.unwrap_or(u64::MAX));
        let mut others = queue.waiting.iter();
        others.any(|(at, it)| it.can_run_wherever(waiter) && it.rank(now, *at) < own)
    }

    /// It waits no longer. Returns whether others still wait for the model.
    pub fn leave(&mut self, model: &str, ticket: u64) -> bool {
        let Some(queue) = self.queues.get_mut(model) else {
            return false;
        };
        queue.waiting.remove(&ticket);
        let others_wait = !queue.waiting.is_empty();
        if !others_wait {
            queue.busy_since = None;
        }
        others_wait
    }

    /// An engine has read a prompt that was sent from here.
    pub fn read(&mut self, now: time::Instant, model: &str, tokens: u64) {
        let queue = self.queues.entry(model.to_owned()).or_default();
        queue.prefilled.push_back((now, tokens));
        while queue
            .prefilled
            .front()
            .is_some_and(|(at, _)| now.since(*at) > RATE_WINDOW)
        {
            queue.prefilled.pop_front();
        }
    }

    /// How long the request with this ticket will wait. None where nothing was read while requests
    /// waited, so that nobody can say.
    ///
    /// What is read while none waits says how much was asked for, not how fast engines read. Right after
    /// a start, or when demand has moved to a model, nearly nothing was: 44 and 59 seconds were told where
    /// six requests waited, and they were turned away.
    #[must_use]
    pub fn expected(&self, now: time::Instant, model: &str, ticket: u64) -> Option<time::Millis> {
        let queue = self.queues.get(model)?;
        let span = now.since(queue.busy_since?).min(RATE_WINDOW);
        if span < MIN_BUSY_TIME {
            return None;
        }
        let recent = queue
            .prefilled
            .iter()
            .filter(|(at, _)| now.since(*at) <= span);
        let read: u64 = recent.map(|(_, tokens)| *tokens).sum();
        let own = queue.waiting.get(&ticket)?.rank(now, ticket);
        let before = queue
            .waiting
            .iter()
            .filter(|(at, it)| it.rank(now, **at) <= own);
        let ahead: u64 = before.map(|(_, it)| it.tokens).sum();
        (ahead * span.0).checked_div(read).map(time::Millis)
    }

    /// How many wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.values().map(|queue| queue.waiting.len()).sum()
    }
}
