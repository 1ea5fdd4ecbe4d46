//! How long requests for a model wait, as the home of the model knows.
//!
//! The load pattern: prompts come faster than the engines of a model read them. Each of some hundred entry
//! processes holds a few of those that wait and can't tell how many there are; held until their callers
//! leave, they cost these the time in which they could have come back. The home is asked for all of them,
//! again and again while they wait, so it knows how many there are and how many it has sent on lately.

use std::collections;

use sageshed_types::time;

/// Over this span it is counted how many requests were sent on. Shorter, single long prompts would make it
/// jump; longer, engines that come or go would show late.
const WINDOW: time::Millis = time::Millis(2_000);

/// A request that was not asked for within this time waits no more. One that waits asks ten times a second.
const WAITING_TTL: time::Millis = time::Millis(300);

/// Requests sent on in a span, below which nothing is foretold.
const MIN_ROUTED: usize = 6;

/// The requests for one model.
#[derive(Debug, Default)]
struct ModelQueue {
    routed: collections::VecDeque<time::Instant>,
    /// By the request, when it was asked for last.
    waiting: collections::HashMap<u64, time::Instant>,
}

/// The requests for all models of which this process is the home.
#[derive(Debug, Default)]
pub(super) struct WaitEstimates {
    by_model: collections::HashMap<String, ModelQueue>,
}

impl WaitEstimates {
    /// A request for `model` is sent on.
    pub(super) fn record_routed(&mut self, now: time::Instant, model: &str, request: u64) {
        let queue = self.queue(now, model);
        queue.waiting.remove(&request);
        queue.routed.push_back(now);
    }

    /// A request for `model` has to wait. Returns how long, where that can be told.
    pub(super) fn record_waiting(
        &mut self,
        now: time::Instant,
        model: &str,
        request: u64,
    ) -> Option<time::Millis> {
        let queue = self.queue(now, model);
        queue.waiting.insert(request, now);
        if queue.routed.len() < MIN_ROUTED {
            return None;
        }
        let each = WINDOW.0 / queue.routed.len() as u64;
        Some(time::Millis(each * queue.waiting.len() as u64))
    }

    fn queue(&mut self, now: time::Instant, model: &str) -> &mut ModelQueue {
        let queue = self.by_model.entry(model.to_owned()).or_default();
        while queue
            .routed
            .front()
            .is_some_and(|at| now.since(*at) > WINDOW)
        {
            queue.routed.pop_front();
        }
        queue.waiting.retain(|_, at| now.since(*at) < WAITING_TTL);
        queue
    }
}
