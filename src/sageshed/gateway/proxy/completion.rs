//! Ends a request: answered, refused or abandoned by its caller. Logs, counts and traces the result.

use std::time as std_time;

use sageshed_fleet::{chooser, dialect};
use sageshed_http::reply;
use sageshed_types::{refusal, request_trace, time, verdict};

use super::{DEFAULT_RETRY_AFTER, ProxiedRequest};
use crate::{
    gateway::{metrics, refuse, response::ResponseSink},
    sampler,
};

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// The refusal of a request whose deadline has passed.
    pub(super) fn out_of_time(&self) -> refusal::Refusal {
        self.final_refusal(
            verdict::Reason::DeadlinePassed,
            "its time is over".to_owned(),
        )
    }

    /// The refusal of a request that has waited too long for `wait_reason`; `load` is the load time of its model.
    pub(super) fn not_served(
        &self,
        wait_reason: chooser::WaitReason,
        load: time::Millis,
    ) -> refusal::Refusal {
        let detail = match wait_reason {
            chooser::WaitReason::Endpoint => "no endpoint of the service can be reached now",
            chooser::WaitReason::Model => {
                "no engine holds the model, and a load would take too long"
            }
            chooser::WaitReason::Adapter => "no engine holds the adapter yet",
            chooser::WaitReason::Place => "all endpoints of the service are busy",
            chooser::WaitReason::Allowance(_) => {
                "all endpoints that could take it have asked for nothing more for now"
            }
        };
        let refusal = self.final_refusal(verdict::Reason::NoRoute, detail.to_owned());
        match refusal.retry_after {
            // No engine can take the request before the load is done.
            Some(soon) => refusal.with_retry_after(soon.max(load)),
            None => refusal,
        }
    }

    /// The refusal of a request that is not retried any more. Its status states whether the request may have run.
    pub(super) fn final_refusal(
        &self,
        reason: verdict::Reason,
        detail: String,
    ) -> refusal::Refusal {
        if self.possible_runs == 0 {
            return refuse::not_run(reason, detail, DEFAULT_RETRY_AFTER);
        }
        let verdict = verdict::Verdict::MayHaveRun;
        let reason = match reason {
            verdict::Reason::DeadlinePassed => reason,
            _ => verdict::Reason::EndpointFailed,
        };
        refusal::Refusal::new(reason, verdict, detail)
    }

    /// Ends the request with a refusal.
    pub(super) fn refuse(
        &mut self,
        sink: ResponseSink<'_>,
        refusal: &refusal::Refusal,
    ) -> reply::Sent {
        self.refund_charge();
        self.count_refused_work(refusal.reason);
        let is_cut = sink.has_started();
        if is_cut {
            self.shared.metrics.stream_cut(&refusal.reason.to_string());
        }
        ::log::info!(request = self.id(), content:% = self.content, route = self.route.name.as_str(),
            workspace = self.workspace_name(), config = self.shared.version(), routed_by = self.routed_by_version,
            model = self.model_name(), status = refusal.status, begun = is_cut, runs = self.possible_runs,
            reason:% = refusal.reason, detail = refusal.detail.as_str(), verdict:% = refusal.verdict,
            waited_for = self.waited_for_value(), queue = self.attempt_log.latest_queue(), arrivals = self.deliveries,
            repeat = if self.is_retry_budget_spent { "none left" } else { "" }, left_ms = self.time_left().0,
            took_ms = time::Millis::from(self.req.received.elapsed()).0, timeout_ms = self.route.timeout.0;
            "gateway: request refused");
        self.record_end(metrics::End::Refused, refusal.status);
        self.keep_trace(request_trace::RequestOutcome::Refused(refusal.clone()));
        sink.refuse("", refusal)
    }

    /// Ends the request after its caller has disconnected, or has abandoned it by what its route states.
    pub(super) fn finish_caller_gone(
        &mut self,
        sink: ResponseSink<'_>,
        watch: &reply::Watch,
    ) -> reply::Sent {
        if self.shared.is_exiting() && !watch.caller_gone() {
            return self.refuse_at_exit(sink);
        }
        self.refund_charge();
        let is_silent = self.is_abandoned() && !watch.caller_gone();
        if is_silent && sink.has_started() {
            self.shared.metrics.stream_cut("silent");
        }
        ::log::info!(request = self.id(), content:% = self.content, route = self.route.name.as_str(),
            workspace = self.workspace_name(), config = self.shared.version(), routed_by = self.routed_by_version,
            model = self.model_name(), waited_for = self.waited_for_value(), begun = sink.has_started(), arrivals = self.deliveries, left_ms = self.time_left().0, silent = is_silent,
            took_ms = time::Millis::from(self.req.received.elapsed()).0; "gateway: caller left");
        self.record_end(metrics::End::CallerGone, 0);
        self.keep_trace(request_trace::RequestOutcome::CallerGone);
        let detail = "the caller closed its connection";
        let refusal = self.final_refusal(verdict::Reason::DeadlinePassed, detail.to_owned());
        sink.refuse("", &refusal)
    }

    /// Ends a request whose response is not complete when the process exits. Its caller would otherwise see its connection
    /// close and could not know whether the request may have run.
    fn refuse_at_exit(&mut self, sink: ResponseSink<'_>) -> reply::Sent {
        let detail = "this entry process exits before the response is complete";
        let refusal = self.final_refusal(verdict::Reason::Draining, detail.to_owned());
        self.refuse(sink, &refusal)
    }

    /// Ends a request whose response was passed on, and logs it with the estimates by which its endpoint was chosen.
    pub(super) fn finish_answered(
        &mut self,
        pick: &chooser::Pick,
        status: u16,
        bytes: u64,
        sent_at: std_time::Instant,
    ) {
        let took = self.record_end(metrics::End::Answered, status);
        if (200..300).contains(&status) {
            self.clear_crash_suspicion();
        }
        let outcome = self.timings.describe();
        self.attempt_log
            .record_outcome(verdict::Verdict::Ran, &outcome);
        let queue = self.attempt_log.latest_queue().to_owned();
        self.keep_trace(request_trace::RequestOutcome::Answered { status, bytes });
        let line = self.shared.sampler.line(self.shared.clock.now());
        if let sampler::Line::WriteAfter(left_out) = line {
            ::log::info!(left_out; "gateway: successes left out of the log in the last second");
        }
        if line == sampler::Line::LeaveOut {
            return;
        }
        let sent = sent_at.duration_since(self.req.received);
        ::log::info!(request = self.id(), route = self.route.name.as_str(),
            workspace = self.workspace_name(), status, config = self.shared.version(), endpoint:% = pick.instance,
            software = self.software_of(pick), model = self.model_name(), tokens = pick.uncached_tokens, estimate_ms = pick.estimate.0,
            waited_for = self.waited_for_value(), queue, objective_ms = self.route.latency_target.0,
            pause_limit_ms = self.route.event_gap_target.map_or(0, |it| it.0), runs = self.possible_runs,
            sent_ms = time::Millis::from(sent).0, records_ms = self.records_age.get().0,
            first_ms = time::Millis::from(self.timings.first_event).0,
            pause_ms = time::Millis::from(self.timings.longest_pause).0,
            took_ms = time::Millis::from(took).0; "gateway: request answered");
    }

    /// The log value for what the request waited for in this process; empty if it did not wait.
    fn waited_for_value(&self) -> &'static str {
        match self.waited_for {
            None => "",
            Some(chooser::WaitReason::Endpoint) => "endpoint",
            Some(chooser::WaitReason::Model) => "model",
            Some(chooser::WaitReason::Adapter) => "adapter",
            Some(chooser::WaitReason::Place) => "place",
            Some(chooser::WaitReason::Allowance(_)) => "allowance",
        }
    }

    /// The software version of the endpoint of `pick`, for logs; empty if it is not known.
    pub(super) fn software_of(&self, pick: &chooser::Pick) -> String {
        self.shared.with_core(|core| {
            let version = core.chooser.software_version(pick.key);
            version.unwrap_or_default().to_owned()
        })
    }

    /// The name of the model that the request asks for; empty if it asks for none.
    pub(super) fn model_name(&self) -> &str {
        self.wanted.map_or("", |it| it.model.as_str())
    }

    /// Counts the end of the request in the metrics. Returns how long the request took.
    fn record_end(&self, end: metrics::End, status: u16) -> std_time::Duration {
        let took = self.req.received.elapsed();
        self.shared
            .metrics
            .ended(self.service, self.priority(), end, status, took);
        self.shared
            .metrics
            .workspace_ended(self.workspace_name(), end);
        took
    }
}
