//! Checks right before a request is sent that its endpoint still takes new work.

use std::{sync::atomic, time as std_time};

use sageshed_fleet::{chooser, dialect, records_age};
use sageshed_http::reply;
use sageshed_types::verdict;

use super::{AttemptResult, ProxiedRequest};
use crate::gateway::{response::ResponseSink, state};

/// How long a request waits for current endpoint records. A call to a control process takes some milliseconds; a
/// process that can't make one in this time lacks processor time, and the caller is better served by another one.
const MAX_WAIT: std_time::Duration = std_time::Duration::from_millis(500);

/// Whether a request may be sent to the endpoint that was chosen for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndpointCheck {
    /// The endpoint takes new work.
    Send,
    /// It has announced that it leaves since it was chosen.
    Leaving,
    /// The endpoint records are out of date.
    Outdated,
    /// The caller has disconnected.
    CallerGone,
}

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Waits for current endpoint records, and checks the endpoint of `pick` by them.
    pub(super) fn check_endpoint(
        &self,
        pick: &chooser::Pick,
        watch: &reply::Watch,
    ) -> EndpointCheck {
        let until = (std_time::Instant::now() + MAX_WAIT).min(self.deadline);
        loop {
            let now = self.shared.clock.now();
            let (seen, freshness, is_leaving) = self.shared.with_core(|core| {
                let is_leaving = core.directory.is_leaving(&pick.instance);
                (core.changes(), core.records_age.freshness(now), is_leaving)
            });
            if is_leaving {
                return EndpointCheck::Leaving;
            }
            if freshness != records_age::Freshness::Outdated {
                return EndpointCheck::Send;
            }
            let left = until.saturating_duration_since(std_time::Instant::now());
            if left.is_zero() {
                return EndpointCheck::Outdated;
            }
            if watch.caller_gone() {
                return EndpointCheck::CallerGone;
            }
            self.shared.waiting.fetch_add(1, atomic::Ordering::Relaxed);
            let _changes = self
                .shared
                .wait(seen, left.min(state::CALLER_CHECK_INTERVAL));
            self.shared.waiting.fetch_sub(1, atomic::Ordering::Relaxed);
        }
    }

    /// Ends an attempt whose request was not sent because of `check`.
    pub(super) fn withdraw<'c>(
        &mut self,
        pick: &chooser::Pick,
        sink: ResponseSink<'c>,
        check: EndpointCheck,
    ) -> AttemptResult<'c> {
        self.last_failure = match check {
            EndpointCheck::Leaving => format!("endpoint {} leaves", pick.instance),
            _ => "the endpoint records are out of date".to_owned(),
        };
        ::log::info!(request = self.id(), endpoint:% = pick.instance, check:? = check;
            "gateway: request was not sent to the endpoint chosen for it");
        self.attempt_log
            .record_outcome(verdict::Verdict::NotRun, &self.last_failure);
        self.restore_charge();
        self.end_attempt(pick, false, chooser::AttemptOutcome::GivenUp);
        match check {
            EndpointCheck::CallerGone => AttemptResult::CallerGone(sink),
            EndpointCheck::Outdated => {
                let detail = self.last_failure.clone();
                let refusal = self.final_refusal(verdict::Reason::NotConfirmed, detail);
                AttemptResult::Refuse(sink, refusal)
            }
            EndpointCheck::Leaving | EndpointCheck::Send => {
                self.tried_endpoints.push(pick.key);
                AttemptResult::Retry(sink)
            }
        }
    }
}
