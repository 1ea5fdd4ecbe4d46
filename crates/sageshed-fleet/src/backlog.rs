//! How long the requests that wait here for an engine will wait.
//!
//! The load pattern: more prompts come than the engines of a model can read, for seconds. Each process
//! sees what it reads of them in a second, and how much waits here before a request. What can't be
//! reached in its time is turned away when that is known, with when to come back, and not at its end.

use std::collections;

use sageshed_types::time;

/// Over this span what is read is counted. Long enough for some prompts of each busy model.
const SPAN: time::Millis = time::Millis(2_000);

#[derive(Debug, Default)]
struct Queue {
    /// Tokens of those that wait, by ticket: in the order in which they came.
    waiting: collections::BTreeMap<u64, u64>,
    /// What was read lately.
    read: collections::VecDeque<(time::Instant, u64)>,
}

/// What waits and what is read, for each model.
#[derive(Debug, Default)]
pub struct Backlog {
    queues: collections::HashMap<String, Queue>,
    last: u64,
}

impl Backlog {
    /// A request with so many tokens begins to wait. Returns its ticket.
    pub fn enter(&mut self, model: &str, tokens: u64) -> u64 {
        self.last += 1;
        let queue = self.queues.entry(model.to_owned()).or_default();
        queue.waiting.insert(self.last, tokens);
        self.last
    }

    /// It waits no longer.
    pub fn leave(&mut self, model: &str, ticket: u64) {
        if let Some(queue) = self.queues.get_mut(model) {
            queue.waiting.remove(&ticket);
        }
    }

    /// An engine has read a prompt that was sent from here.
    pub fn read(&mut self, now: time::Instant, model: &str, tokens: u64) {
        let queue = self.queues.entry(model.to_owned()).or_default();
        queue.read.push_back((now, tokens));
        while queue
            .read
            .front()
            .is_some_and(|(at, _)| now.since(*at) > SPAN)
        {
            queue.read.pop_front();
        }
    }

    /// How long the request with this ticket will wait. None where nothing was read lately, so that
    /// nobody can say.
    #[must_use]
    pub fn expected(&self, now: time::Instant, model: &str, ticket: u64) -> Option<time::Millis> {
        let queue = self.queues.get(model)?;
        let recent = queue.read.iter().filter(|(at, _)| now.since(*at) <= SPAN);
        let read: u64 = recent.map(|(_, tokens)| *tokens).sum();
        let ahead: u64 = queue
            .waiting
            .range(..=ticket)
            .map(|(_, tokens)| *tokens)
            .sum();
        (ahead * SPAN.0).checked_div(read).map(time::Millis)
    }

    /// How many wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.values().map(|queue| queue.waiting.len()).sum()
    }
}
