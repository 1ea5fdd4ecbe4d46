//! The order of the requests that wait in this process for an engine, and estimates of how long they wait.
//!
//! Under load, more prompts arrive than the engines of a model can prefill, for seconds at a time.
//!
//! # Order
//!
//! Requests that can still be on time go first, urgent ones before others, and among equals the one that
//! would be late first. A request that is already late loses nothing more by waiting; if it went first,
//! those behind it would all be late as well. A request for an adapter can go to fewer engines than one for
//! the base model, so it does not hold that one back.
//!
//! # Time
//!
//! Each process sees how many tokens of a model's prompts are prefilled per second, and how many wait here
//! before a request. A request that can't be served in time is refused with a retry delay as soon as that
//! is known, and not at its deadline.

use std::collections;

use sageshed_types::time;

/// Time over which prefilled tokens are counted. Long enough for some prompts of each busy model.
const RATE_WINDOW: time::Millis = time::Millis(2_000);

/// Requests have to wait this long before the tokens prefilled meanwhile count as a rate: the time in which
/// an engine prefills two large prompts.
const MIN_BUSY_TIME: time::Millis = time::Millis(300);

/// A request with less time than this left until it is late can't be on time any more: a prompt of two
/// thousand tokens takes an engine a tenth of a second.
const MIN_RESPONSE_TIME: time::Millis = time::Millis(100);

/// A waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Tokens of its prompt.
    pub tokens: u64,
    /// Priority of its route; zero is the most urgent.
    pub priority: u8,
    /// When its response would be late.
    pub on_time_until: time::Instant,
    /// The adapter that it needs besides the model.
    pub adapter: Option<String>,
}

/// When the response to a request would be late that arrived `elapsed` ago and is to be answered within `target`. It
/// does not change while the request waits.
#[must_use]
pub fn late_at(now: time::Instant, elapsed: time::Millis, target: time::Millis) -> time::Instant {
    time::Instant((now + target).0.saturating_sub(elapsed.0))
}

/// The position of a request among those that wait for its model; the lowest goes first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_late: bool,
    priority: u8,
    on_time_until: time::Instant,
    ticket: u64,
}

impl QueuedRequest {
    fn rank(&self, now: time::Instant, ticket: u64) -> Rank {
        Rank {
            is_late: now + MIN_RESPONSE_TIME > self.on_time_until,
            priority: self.priority,
            on_time_until: self.on_time_until,
            ticket,
        }
    }

    /// Whether any engine that can run `other` can run this request.
    fn can_run_wherever(&self, other: &Self) -> bool {
        self.adapter.is_none() || self.adapter == other.adapter
    }
}

#[derive(Debug, Default)]
struct Queue {
    /// Waiting requests by ticket.
    waiting: collections::BTreeMap<u64, QueuedRequest>,
    /// Recently prefilled prompts, with their tokens.
    prefilled: collections::VecDeque<(time::Instant, u64)>,
    /// Since when at least one request has been waiting; none while none waits.
    busy_since: Option<time::Instant>,
}

/// Waiting requests and recent prefill, for each model.
#[derive(Debug, Default)]
pub struct Backlog {
    queues: collections::HashMap<String, Queue>,
    last_ticket: u64,
}

impl Backlog {
    /// Adds a waiting request. Returns its ticket.
    pub fn push(&mut self, now: time::Instant, model: &str, request: QueuedRequest) -> u64 {
        self.last_ticket += 1;
        let queue = self.queues.entry(model.to_owned()).or_default();
        queue.busy_since.get_or_insert(now);
        queue.waiting.insert(self.last_ticket, request);
        self.last_ticket
    }

    /// Whether another request that waits for the model goes before `request`. A request that has just
    /// arrived has no ticket.
    #[must_use]
    pub fn is_preceded(
        &self,
        now: time::Instant,
        model: &str,
        request: &QueuedRequest,
        ticket: Option<u64>,
    ) -> bool {
        let Some(queue) = self.queues.get(model) else {
            return false;
        };
        // The request's own entry counts in place of `request`: a caller computes `on_time_until` from the current
        // time once the response is late, so that it would rank behind its own entry and all other late ones.
        let own_entry = ticket.and_then(|it| queue.waiting.get(&it));
        let own = own_entry
            .unwrap_or(request)
            .rank(now, ticket.unwrap_or(u64::MAX));
        let mut others = queue.waiting.iter();
        others.any(|(at, it)| it.can_run_wherever(request) && it.rank(now, *at) < own)
    }

    /// Removes a request. Returns whether others still wait for the model.
    pub fn remove(&mut self, model: &str, ticket: u64) -> bool {
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

    /// Records that an engine has prefilled a prompt that was sent from here.
    pub fn record_prefill(&mut self, now: time::Instant, model: &str, tokens: u64) {
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

    /// How long the request with this ticket is expected to wait. None if nothing was prefilled while
    /// requests waited.
    ///
    /// What is prefilled while none waits reflects the demand and not the speed of the engines. Right after
    /// a start, or when demand has moved to a model, that was next to nothing: six waiting requests were
    /// given estimates of 44 and 59 seconds, and refused.
    #[must_use]
    pub fn expected_wait(
        &self,
        now: time::Instant,
        model: &str,
        ticket: u64,
    ) -> Option<time::Millis> {
        let queue = self.queues.get(model)?;
        let span = now.since(queue.busy_since?).min(RATE_WINDOW);
        if span < MIN_BUSY_TIME {
            return None;
        }
        let recent = queue
            .prefilled
            .iter()
            .filter(|(at, _)| now.since(*at) <= span);
        let prefilled_tokens: u64 = recent.map(|(_, tokens)| *tokens).sum();
        let own = queue.waiting.get(&ticket)?.rank(now, ticket);
        let before = queue
            .waiting
            .iter()
            .filter(|(at, it)| it.rank(now, **at) <= own);
        let ahead: u64 = before.map(|(_, it)| it.tokens).sum();
        (ahead * span.0)
            .checked_div(prefilled_tokens)
            .map(time::Millis)
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.values().map(|queue| queue.waiting.len()).sum()
    }
}
