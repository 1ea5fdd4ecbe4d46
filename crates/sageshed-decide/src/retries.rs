//! Items whose handling has failed, and when each is tried again.
//!
//! Retries and new items take turns: neither do new items that keep arriving put off the retries, nor the other way round.

use std::collections;

use sageshed_types::time;

/// What to handle next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next<T> {
    /// This item, which has failed before.
    Retry(T),
    /// A new item, if there is one.
    New,
}

/// The items that have failed, oldest failure first.
#[derive(Debug)]
pub struct Retries<T> {
    failed: collections::VecDeque<(time::Instant, T)>,
    pause: time::Millis,
    capacity: usize,
    was_retry: bool,
}

impl<T> Retries<T> {
    /// None yet. An item is tried again after `pause` at the earliest, and at most `capacity` are kept.
    #[must_use]
    pub fn new(pause: time::Millis, capacity: usize) -> Self {
        Self {
            failed: collections::VecDeque::new(),
            pause,
            capacity,
            was_retry: false,
        }
    }

    /// Adds an item whose handling has failed at `now`. Returns it if there is no room.
    pub fn add(&mut self, now: time::Instant, item: T) -> Option<T> {
        if self.failed.len() >= self.capacity {
            return Some(item);
        }
        self.failed.push_back((now + self.pause, item));
        None
    }

    /// What to handle at `now`.
    pub fn next(&mut self, now: time::Instant) -> Next<T> {
        let is_due = self.failed.front().is_some_and(|(due, _)| *due <= now);
        self.was_retry = is_due && !self.was_retry;
        let retry = self.was_retry.then(|| self.failed.pop_front()).flatten();
        retry.map_or(Next::New, |(_, item)| Next::Retry(item))
    }

    /// How many items wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.failed.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.failed.is_empty()
    }
}
