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
    /// Whether its endpoint sent bytes that were no progress when it was kept.
    is_noisy: bool,
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
    /// The head of a stream has arrived.
    Stream(StreamRun),
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

impl Progress {
    /// Whether the endpoint has sent something that was not read.
    fn has_input(&self) -> bool {
        match self {
            Self::Sent(run) => run.sent.goes_on(),
            Self::Stream(run) => run.exchange.has_input(),
            Self::Whole(run) => run.exchange.has_input(),
        }
    }

    /// Whether nothing has arrived for so long that the endpoint goes on with its next bytes.
    fn is_pausing(&self) -> bool {
        let span = silence::MIN_PAUSE.into();
        match self {
            Self::Sent(run) => run.sent.is_pausing(span),
            Self::Stream(run) => run.exchange.is_pausing(span),
            Self::Whole(run) => run.exchange.is_pausing(span),
        }
    }
}

impl KeptRun {
    /// Whether its endpoint has gone on since the run was kept.
    fn goes_on(&self) -> bool {
        !self.is_noisy && self.progress.has_input()
    }

    fn has_begun(&self) -> bool {
        matches!(&self.progress, Progress::Stream(run) if run.has_begun)
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
            is_noisy: reason == KeptFor::Silence && !progress.is_pausing(),
            progress,
            reason,
            slot: self.slot.take(),
            charge: self.committed_charge.take(),
        });
    }

    /// Why the run in progress would be kept.
    pub(super) fn reason_to_keep(&self) -> KeptFor {
        if self.has_kept_run_that_goes_on() {
            KeptFor::EarlierRunGoesOn
        } else {
            KeptFor::Silence
        }
    }

    /// Whether the endpoint of a kept run goes on.
    pub(super) fn has_kept_run_that_goes_on(&self) -> bool {
        self.kept_runs.iter().any(KeptRun::goes_on)
    }

    /// Whether the request goes on at a silent endpoint instead of at another one: that one goes on, or no other endpoint
    /// is to be tried now.
    pub(super) fn should_return(&self) -> bool {
        let may_switch = self.may_run_again() && std_time::Instant::now() >= self.next_switch;
        !self.kept_runs.is_empty() && (!may_switch || self.has_kept_run_that_goes_on())
    }

    /// Goes on with a kept run: one whose endpoint goes on, or else one whose endpoint sends something, or the latest one.
    pub(super) fn return_to_kept_run<'c>(
        &mut self,
        sink: ResponseSink<'c>,
        watch: &reply::Watch,
    ) -> AttemptResult<'c> {
        let runs = &self.kept_runs;
        let resumed = runs.iter().position(KeptRun::goes_on);
        let at = resumed
            .or_else(|| runs.iter().position(|it| it.progress.has_input()))
            .unwrap_or(runs.len().saturating_sub(1));
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
            Progress::Stream(stream) => self.stream(&run.pick, stream, sink, watch),
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

    /// When another endpoint is tried for a stream. `has_started` tells whether its caller has received an event.
    pub(super) fn stalls_at(&self, run: &StreamRun, has_started: bool) -> std_time::Instant {
        let since = run.silent_since;
        let left = self.deadline.saturating_duration_since(since).into();
        let patience = self.route.abandoned_after.map_or(left, |it| it.min(left));
        let timeout = if run.is_kept_alive() {
            silence::kept_alive_stall_timeout(patience)
        } else {
            silence::stall_timeout(has_started.then_some(patience))
        };
        since + timeout.into()
    }
}
