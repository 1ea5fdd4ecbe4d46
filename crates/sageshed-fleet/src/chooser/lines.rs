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
const SPAN: time::Millis = time::Millis(2_000);

/// A request that was not asked for within this time waits no more. One that waits asks ten times a second.
const ASKED_KEPT: time::Millis = time::Millis(300);

/// Requests sent on in a span, below which nothing is foretold.
const FEW: usize = 6;

/// The requests for one model.
#[derive(Debug, Default)]
struct Line {
    sent: collections::VecDeque<time::Instant>,
    /// By the request, when it was asked for last.
    waiting: collections::HashMap<u64, time::Instant>,
}

/// The requests for all models of which this process is the home.
#[derive(Debug, Default)]
pub(super) struct Lines {
    by_model: collections::HashMap<String, Line>,
}

impl Lines {
    /// A request for `model` is sent on.
    pub(super) fn sent(&mut self, now: time::Instant, model: &str, request: u64) {
        let line = self.line(now, model);
        line.waiting.remove(&request);
        line.sent.push_back(now);
    }

    /// A request for `model` has to wait. Returns how long, where that can be told.
    pub(super) fn waits(
        &mut self,
        now: time::Instant,
        model: &str,
        request: u64,
    ) -> Option<time::Millis> {
        let line = self.line(now, model);
        line.waiting.insert(request, now);
        if line.sent.len() < FEW {
            return None;
        }
        let each = SPAN.0 / line.sent.len() as u64;
        Some(time::Millis(each * line.waiting.len() as u64))
    }

    fn line(&mut self, now: time::Instant, model: &str) -> &mut Line {
        let line = self.by_model.entry(model.to_owned()).or_default();
        while line.sent.front().is_some_and(|at| now.since(*at) > SPAN) {
            line.sent.pop_front();
        }
        line.waiting.retain(|_, at| now.since(*at) < ASKED_KEPT);
        line
    }
}
