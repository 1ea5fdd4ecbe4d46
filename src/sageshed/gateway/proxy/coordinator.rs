//! Asks the coordinator of a model, the entry process that routes all requests for it, which engine to use.

use std::time as std_time;

use sageshed_fleet::{backlog, chooser, dialect, entry_peers, messages};
use sageshed_types::{refusal, time, verdict};

use super::{DEFAULT_RETRY_AFTER, ProxiedRequest, waiting::PREFILL_RESERVE};
use crate::gateway::{self, state};

/// The interval between two queries to the coordinator for one waiting request.
const QUERY_INTERVAL: std_time::Duration = std_time::Duration::from_millis(40);

/// What is counted already of a request that waits.
#[derive(Debug, Default)]
pub(super) struct CountedWait {
    is_request_counted: bool,
    /// Intervals for which its engine time was counted.
    intervals: u64,
}

/// Follows the decision of the model's coordinator if there is one, and otherwise chooses by local state.
fn decide(
    core: &mut state::Core,
    now: time::Instant,
    query: &chooser::EndpointQuery<'_>,
    decision: Option<entry_peers::RoutingDecision>,
) -> chooser::Choice {
    let advised = match decision {
        Some(entry_peers::RoutingDecision::Engine {
            engine, estimate, ..
        }) => core.chooser.follow_decision(now, engine, estimate, query),
        Some(entry_peers::RoutingDecision::Wait { .. }) => {
            Some(chooser::Choice::Wait(chooser::WaitReason::Place))
        }
        Some(
            entry_peers::RoutingDecision::Unknown | entry_peers::RoutingDecision::Refuse { .. },
        )
        | None => None,
    };
    advised.unwrap_or_else(|| core.chooser.choose(now, query))
}

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Follows the coordinator's decision, or chooses by local state. Returns the choice with the number of changes
    /// that it is based on.
    pub(super) fn choose(
        &self,
        now: time::Instant,
        query: &chooser::EndpointQuery<'_>,
        decision: Option<entry_peers::RoutingDecision>,
        queued_here: Option<&backlog::QueuedRequest>,
        ticket: Option<u64>,
    ) -> (chooser::Choice, u64) {
        self.shared.with_core(|core| {
            let is_preceded = queued_here.is_some_and(|it| {
                let model = self.model_name();
                core.backlog.is_preceded(now, model, it, ticket)
            });
            let choice = if is_preceded {
                chooser::Choice::Wait(chooser::WaitReason::Place)
            } else {
                decide(core, now, query, decision)
            };
            (choice, core.changes())
        })
    }

    /// Asks the coordinator of the model where to send the request, at most once per [`QUERY_INTERVAL`].
    pub(super) fn query_coordinator(
        &self,
        query: &chooser::EndpointQuery<'_>,
        queried_at: &mut Option<std_time::Instant>,
    ) -> Option<entry_peers::RoutingDecision> {
        if queried_at.is_some_and(|at| at.elapsed() < QUERY_INTERVAL) {
            return Some(entry_peers::RoutingDecision::Wait { expected: None });
        }
        let request = entry_peers::name_key(self.id());
        let decision = gateway::routing_queries::query_coordinator(self.shared, request, query);
        *queried_at = decision.map(|_| std_time::Instant::now());
        decision
    }

    /// Counts the request in the demand reported to the leader, once.
    pub(super) fn count_demand(&self, decision: Option<entry_peers::RoutingDecision>) {
        let Some(wanted) = self.wanted.filter(|_| self.counted_us.get().is_none()) else {
            return;
        };
        let cached = match decision {
            Some(entry_peers::RoutingDecision::Engine { cached_tokens, .. }) => Some(cached_tokens),
            _ => None,
        };
        let work_us = self
            .shared
            .with_core(|core| core.count_demand(self.service, wanted, self.metadata, cached));
        self.counted_us.set(Some(work_us));
    }

    /// Counts the request as waiting in the demand reported to the leader: once if it waits for its model, and its engine
    /// time for each interval that it waits for an engine.
    pub(super) fn count_waiting(
        &self,
        wait_reason: chooser::WaitReason,
        waited: std_time::Duration,
        counted: &mut CountedWait,
    ) {
        if let Some(wanted) = self.wanted.filter(|_| wait_reason.is_of_model())
            && !counted.is_request_counted
        {
            counted.is_request_counted = true;
            self.shared.with_core(|core| {
                core.unreported_demand
                    .add_waiting(self.service, &wanted.model);
            });
        }
        let is_of_engines = matches!(
            wait_reason,
            chooser::WaitReason::Model | chooser::WaitReason::Place
        );
        let waited = time::Millis::from(waited);
        let intervals = waited.0 / messages::WAITING_INTERVAL.0;
        let new = intervals.saturating_sub(counted.intervals);
        counted.intervals = intervals;
        if let (Some(wanted), Some(work_us)) = (self.wanted, self.counted_us.get())
            && is_of_engines
            && new > 0
        {
            self.shared.with_core(|core| {
                core.unreported_demand.add_waiting_work(
                    self.service,
                    &wanted.model,
                    work_us.saturating_mul(new),
                    waited,
                );
            });
        }
    }

    /// Counts the engine time of a refused request, if it was refused since no engine could take it in time.
    pub(super) fn count_refused_work(&self, reason: verdict::Reason) {
        let is_of_engines = matches!(
            reason,
            verdict::Reason::NoRoute
                | verdict::Reason::DeadlineUnmeetable
                | verdict::Reason::DeadlinePassed
        ) && matches!(
            self.waited_for,
            None | Some(chooser::WaitReason::Model | chooser::WaitReason::Place)
        ) && self.possible_runs == 0;
        if let (Some(wanted), Some(work_us)) = (self.wanted, self.counted_us.get())
            && is_of_engines
        {
            let waited = time::Millis::from(self.req.received.elapsed());
            self.shared.with_core(|core| {
                core.unreported_demand
                    .add_refused(self.service, &wanted.model, work_us, waited);
            });
        }
    }

    /// Refuses a request that can't start before its deadline because of all those that wait for its model at any
    /// entry process.
    pub(super) fn refuse_by_coordinator(
        &self,
        decision: Option<entry_peers::RoutingDecision>,
        left: time::Millis,
    ) -> Option<refusal::Refusal> {
        let Some(entry_peers::RoutingDecision::Wait { expected }) = decision else {
            return None;
        };
        let expected = expected.unwrap_or_default();
        if expected + PREFILL_RESERVE <= left {
            return None;
        }
        let detail = format!(
            "those that wait for the model take {} ms, and {} ms are left",
            expected.0, left.0
        );
        let refusal = self.final_refusal(verdict::Reason::DeadlineUnmeetable, detail);
        Some(refusal.with_retry_after(expected.max(DEFAULT_RETRY_AFTER)))
    }
}
