//! Collects the attempts of one request for its request trace, which `sageshed explain` shows.

use sageshed_fleet::{chooser, config, dialect};
use sageshed_types::{request_trace, rules, time, verdict};

use super::ProxiedRequest;
use crate::{clock, locks};

/// The outcome of an attempt that has not ended.
const IN_PROGRESS: &str = "under way";

/// The chosen endpoints and the attempts of one request so far.
#[derive(Debug, Default)]
pub(super) struct AttemptLog {
    chosen: Vec<request_trace::Candidate>,
    attempts: Vec<request_trace::Attempt>,
    queues: Vec<String>,
}

impl AttemptLog {
    /// Adds an attempt at the endpoint of `pick`, `started` after the arrival of the request.
    pub(super) fn record_attempt(&mut self, pick: &chooser::Pick, started: time::Millis) {
        self.chosen.push(request_trace::Candidate {
            endpoint: pick.instance.to_string(),
            estimate: pick.estimate,
            passed_over: None,
        });
        self.attempts.push(request_trace::Attempt {
            endpoint: pick.instance.to_string(),
            started,
            verdict: verdict::Verdict::MayHaveRun,
            outcome: IN_PROGRESS.to_owned(),
        });
    }

    /// Adds a wait in the queues of coordinators that has ended.
    pub(super) fn record_queue(&mut self, wait: String) {
        self.queues.push(wait);
    }

    /// The latest wait in queues; empty if there was none.
    pub(super) fn latest_queue(&self) -> &str {
        self.queues.last().map_or("", String::as_str)
    }

    /// Sets the result of the latest attempt.
    pub(super) fn record_outcome(&mut self, verdict: verdict::Verdict, outcome: &str) {
        if let Some(last) = self.attempts.last_mut() {
            last.verdict = verdict;
            outcome.clone_into(&mut last.outcome);
        }
    }
}

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Stores the trace of this request, which has ended.
    pub(super) fn keep_trace(&mut self, end: request_trace::RequestOutcome) {
        let took = time::Millis::from(self.req.received.elapsed());
        let log = std::mem::take(&mut self.attempt_log);
        let queued = log.attempts.first().map_or(took, |it| it.started);
        let span = self.deadline.saturating_duration_since(self.req.received);
        let not_repeatable = matches!(
            self.route.kind,
            config::RequestKind::NonIdempotent | config::RequestKind::Stream
        );
        let trace = request_trace::RequestTrace {
            request_id: self.id().to_owned(),
            arrived_unix_ms: clock::unix_ms().saturating_sub(took.0),
            caller: self.workspace.as_ref().map(|it| it.name.clone()),
            class: Some(self.route.name.clone()),
            target: Some(
                self.wanted
                    .map_or_else(|| self.service.to_owned(), target_name),
            ),
            rule: Some(format!("route {}", self.route.name)),
            revision: rules::Revision(self.shared.version()),
            not_repeatable,
            deadline: span.into(),
            queued,
            queues: log.queues,
            candidates: log.chosen,
            tries: log.attempts,
            end,
            took,
        };
        locks::lock(&self.shared.traces).keep(trace);
    }
}

fn target_name(wanted: &dialect::ModelRef) -> String {
    match &wanted.adapter {
        Some(adapter) => format!("{}/{adapter}", wanted.model),
        None => wanted.model.clone(),
    }
}
