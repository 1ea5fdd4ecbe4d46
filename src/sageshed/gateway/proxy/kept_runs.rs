//! Runs that are kept while another endpoint is tried, since their own has fallen silent.
//!
//! A sound endpoint may send nothing for a second or more and go on. Closing the connection ends the run there, and
//! whether another endpoint takes the request shows only later: all may be full, or no retry may be left. So a run is
//! kept until another endpoint has begun to respond. If the silent one goes on before that, the other one is kept until its
//! response has begun: what it sends may be a rejection.

use std::{sync::atomic, time as std_time};

use sageshed_fleet::{chooser, dialect, silence};
use sageshed_http::reply;
use sageshed_types::verdict;
use sageshed_upstream::exchange;

use super::{
    AttemptResult, ProxiedRequest, quota, slot, stream::StreamRun, whole_response::WholeRun,
};
use crate::gateway::{metrics, paths::PathUse, response::ResponseSink};

/// A run that is kept while another endpoint is tried.
#[derive(Debug)]
pub(super) struct KeptRun {
    pick: chooser::Pick,
    progress: Progress,
    /// Why the request waits for another one.
    reason: KeptFor,
    slot: Option<slot::HeldSlot>,
    charge: Option<quota::Charge>,
}

/// Why a run is kept while another one is waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum KeptFor {
    /// Its endpoint is silent.
    Silence,
    /// An endpoint that was silent goes on.
    EarlierRunGoesOn,
}

/// How far a run has come.
#[derive(Debug)]
pub(super) enum Progress {
    /// The request was sent.
    Sent(SentRun),
    /// The head of a stream has arrived. With the bytes of an event that is not complete.
    Stream(StreamRun, Vec<u8>),
    /// The head of another response has arrived.
    Whole(WholeRun),
}

/// A run whose response has not begun.
#[derive(Debug)]
pub(super) struct SentRun {
    pub(super) sent: exchange::Sent,
    pub(super) path: PathUse,
    pub(super) sent_at: std_time::Instant,
}

impl KeptRun {
    /// Whether its endpoint has sent something since the run was kept.
    fn has_input(&self) -> bool {
        match &self.progress {
            Progress::Sent(run) => run.sent.goes_on(),
            Progress::Stream(run, _) => run.exchange.has_input(),
            Progress::Whole(run) => run.exchange.has_input(),
        }
    }

    fn has_begun(&self) -> bool {
        matches!(&self.progress, Progress::Stream(run, _) if run.has_begun)
    }
}

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Keeps a run. The request goes on at another endpoint.
    pub(super) fn keep_run(&mut self, pick: &chooser::Pick, progress: Progress, reason: KeptFor) {
        if matches!(progress, Progress::Sent(_)) {
            self.deliveries += 1;
            self.possible_runs += 1;
        }
        if reason == KeptFor::Silence {
            ::log::info!(request = self.id(), endpoint:% = pick.instance, runs = self.possible_runs, left_ms = self.time_left().0;
                "gateway: endpoint is silent, trying another one");
            self.last_failure = format!("endpoint {} is silent", pick.instance);
            self.attempt_log
                .record_outcome(verdict::Verdict::MayHaveRun, &self.last_failure);
        }
        self.tried_endpoints.push(pick.key);
        self.kept_runs.push(KeptRun {
            pick: pick.clone(),
            progress,
            reason,
            slot: self.slot.take(),
            charge: self.committed_charge.take(),
        });
    }

    /// Why the run in progress would be kept.
    pub(super) fn reason_to_keep(&self) -> KeptFor {
        if self.has_kept_run_with_input() {
            KeptFor::EarlierRunGoesOn
        } else {
            KeptFor::Silence
        }
    }

    /// Whether the endpoint of a kept run has sent something.
    pub(super) fn has_kept_run_with_input(&self) -> bool {
        self.kept_runs.iter().any(KeptRun::has_input)
    }

    /// Whether the request goes on at a silent endpoint instead of at another one: it has sent something, or no other
    /// endpoint is to be tried now.
    pub(super) fn should_return(&self) -> bool {
        let may_switch = self.may_run_again() && std_time::Instant::now() >= self.next_switch;
        !self.kept_runs.is_empty() && (!may_switch || self.has_kept_run_with_input())
    }

    /// Goes on with a kept run: one that has sent something, or else the latest one.
    pub(super) fn return_to_kept_run<'c>(
        &mut self,
        sink: ResponseSink<'c>,
        watch: &reply::Watch,
    ) -> AttemptResult<'c> {
        let resumed = self.kept_runs.iter().position(KeptRun::has_input);
        let at = resumed.unwrap_or(self.kept_runs.len().saturating_sub(1));
        let run = self.kept_runs.remove(at);
        self.return_retry();
        self.delay_switch();
        self.tried_endpoints.retain(|it| *it != run.pick.key);
        self.slot.set(run.slot);
        self.committed_charge = run.charge;
        if resumed.is_some() {
            ::log::info!(request = self.id(), endpoint:% = run.pick.instance; "gateway: silent endpoint goes on");
            self.shared
                .metrics
                .silence_ended(metrics::SilenceEnd::WentOn);
        }
        match run.progress {
            // Counted as one that may have run while it was kept. Its response says whether it has.
            Progress::Sent(sent) => {
                self.deliveries -= 1;
                self.possible_runs -= 1;
                self.await_head(&run.pick, sent, sink, watch)
            }
            Progress::Stream(stream, pending) => {
                let sink = sink.with_pending(pending);
                self.stream(&run.pick, stream, sink, watch)
            }
            Progress::Whole(whole) => self.receive_whole(&run.pick, whole, sink, watch),
        }
    }

    /// Closes the connections of the silent runs, since another endpoint has begun to respond or the request has ended.
    pub(super) fn end_kept_runs(&mut self, end: metrics::SilenceEnd) {
        for run in std::mem::take(&mut self.kept_runs) {
            let is_replaced = end == metrics::SilenceEnd::Replaced;
            let outcome = if is_replaced && run.reason == KeptFor::Silence {
                chooser::AttemptOutcome::Silent
            } else {
                chooser::AttemptOutcome::GivenUp
            };
            let has_begun = run.has_begun();
            drop(run.progress);
            ::log::info!(request = self.id(), endpoint:% = run.pick.instance, end = end.label(); "gateway: left a silent endpoint");
            self.shared.metrics.silence_ended(end);
            let current = self.slot.replace(run.slot);
            self.end_attempt(&run.pick, has_begun, outcome);
            self.slot.set(current);
        }
    }

    /// Has the request wait for a short time before another endpoint is tried for a silent one.
    pub(super) fn delay_switch(&mut self) {
        self.next_switch = std_time::Instant::now() + silence::SWITCH_INTERVAL.into();
    }

    /// Whether the request may run at one more endpoint than the `runs` that may have run it.
    pub(super) fn may_run_after(&self, runs: u32) -> bool {
        let is_ending = self.shared.ending.load(atomic::Ordering::Relaxed);
        self.route.kind.is_retryable() && runs < self.route.attempts && !is_ending
    }

    /// Whether the request may run at one more endpoint.
    pub(super) fn may_run_again(&self) -> bool {
        self.may_run_after(self.possible_runs)
    }

    /// When another endpoint is tried for a stream that has been silent since `since`. `has_started` tells whether its
    /// caller has received an event.
    pub(super) fn stalls_at(
        &self,
        since: std_time::Instant,
        has_started: bool,
    ) -> std_time::Instant {
        let left = self.deadline.saturating_duration_since(since).into();
        let patience = self.route.abandoned_after.map_or(left, |it| it.min(left));
        since + silence::stall_timeout(has_started.then_some(patience)).into()
    }
}
