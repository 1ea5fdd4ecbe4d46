//! Estimates how long requests for a model wait, on the coordinator of the model.
//!
//! Under load, prompts arrive faster than the engines of a model prefill them. Each of some hundred entry
//! processes holds a few waiting requests and can't tell how many there are in all; if it held them until
//! their callers give up, these would lose the time in which they could have retried. The coordinator is
//! queried again and again for each waiting request, so it knows how many there are and how many it has
//! routed lately.

use std::collections;

use sageshed_types::time;

/// Time over which routed requests are counted. With a shorter one, single long prompts would make the
/// estimate jump; with a longer one, it would follow added or removed engines too late.
const WINDOW: time::Millis = time::Millis(2_000);

/// How long a request counts as waiting after its last query. A process repeats the query for a waiting
/// request ten times a second.
const WAITING_TTL: time::Millis = time::Millis(300);

/// Routed requests within [`WINDOW`] below which no estimate is given.
const MIN_ROUTED: usize = 6;

/// Routed and waiting requests for one model.
#[derive(Debug, Default)]
struct ModelQueue {
    routed: collections::VecDeque<time::Instant>,
    /// The time of the last query for each request.
    waiting: collections::HashMap<u64, time::Instant>,
}

/// The requests for all models that this process coordinates.
#[derive(Debug, Default)]
pub(super) struct WaitEstimates {
    by_model: collections::HashMap<String, ModelQueue>,
}

impl WaitEstimates {
    /// Records that a request for `model` was routed.
    pub(super) fn record_routed(&mut self, now: time::Instant, model: &str, request: u64) {
        let queue = self.queue(now, model);
        queue.waiting.remove(&request);
        queue.routed.push_back(now);
    }

    /// Records that a request for `model` has to wait. Returns the expected wait, if it can be estimated.
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
