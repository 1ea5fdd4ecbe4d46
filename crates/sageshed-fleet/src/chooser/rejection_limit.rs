//! Endpoints that fail if they reject too many requests.
//!
//! The endpoints of a service may report in all their responses how many requests per second one of them can reject, of
//! all VMs together, before it fails. No process sees what the others send. So each keeps to its share of an endpoint's
//! slots, which leaves nothing to reject as long as the endpoint keeps its slots, and pauses for as long after a
//! rejection as the rejections of all processes take at that rate.

use std::collections;

use sageshed_types::{
    arena::{self, Key},
    time,
};

use super::{Chooser, LimitChange};
use crate::{dialect, directory};

/// How long a report counts. All responses repeat it while it holds.
const REPORT_TTL: time::Millis = time::Millis(10_000);

/// The shortest pause after a rejection: about the time in which an endpoint with room again has told a process so.
const MIN_PAUSE: time::Millis = time::Millis(200);

/// The longest pause after a rejection. A failed endpoint is back after some seconds, so a longer pause costs more than
/// the failure that it prevents.
const MAX_PAUSE: time::Millis = time::Millis(2_000);

/// A report of the endpoints of one service.
#[derive(Debug, Clone, Copy)]
struct Report {
    /// Rejections per second that one endpoint bears.
    per_s: u32,
    heard_at: time::Instant,
}

/// The reports of all services whose endpoints sent any.
#[derive(Debug, Default)]
pub(super) struct RejectionLimits {
    by_service: collections::HashMap<String, Report>,
}

impl RejectionLimits {
    fn get(&self, now: time::Instant, service: &str) -> Option<u32> {
        let report = self.by_service.get(service)?;
        (now.since(report.heard_at) < REPORT_TTL).then_some(report.per_s)
    }
}

impl Chooser {
    /// Applies what a response says of the rejections that the endpoints of its service bear. Returns the change, if any.
    pub(super) fn apply_rejection_limit(
        &mut self,
        now: time::Instant,
        id: &directory::InstanceId,
        response: &dialect::ResponseMetadata<'_>,
    ) -> Option<LimitChange> {
        let key = *self.by_id.get(id)?;
        let service = &self.endpoints.get(key.index())?.as_ref()?.instance.service;
        let limits = &mut self.rejection_limits;
        let before = limits.get(now, service);
        match response.notice.max_rejections_per_s {
            Some(per_s) => {
                let report = Report {
                    per_s,
                    heard_at: now,
                };
                limits.by_service.insert(service.clone(), report);
                (before != Some(per_s)).then_some(LimitChange::Rejections(per_s))
            }
            // A rejection may be too short to include it.
            None if response.execution != dialect::ExecutionStatus::Verified => None,
            None => {
                limits.by_service.remove(service);
                before.map(|_| LimitChange::RejectionsCleared)
            }
        }
    }

    /// Whether this process has as many requests at an endpoint as it may have while rejections are bounded: its share
    /// of the slots, and at least one.
    pub(super) fn is_rejection_share_used(
        &self,
        now: time::Instant,
        key: arena::EndpointKey,
    ) -> bool {
        if self.rejection_limits.by_service.is_empty() {
            return false;
        }
        self.get(key).is_some_and(|it| {
            let is_limited = self
                .rejection_limits
                .get(now, &it.instance.service)
                .is_some();
            is_limited && it.in_flight >= (it.instance.slots / self.entry_count()).max(1)
        })
    }

    /// Those of `endpoints` at which this process has not used its share.
    pub(super) fn with_rejection_share(
        &self,
        now: time::Instant,
        endpoints: &[arena::EndpointKey],
    ) -> Vec<arena::EndpointKey> {
        let all = endpoints.iter().copied();
        all.filter(|key| !self.is_rejection_share_used(now, *key))
            .collect()
    }

    /// Holds back requests to an endpoint that has rejected one, if its rejections are bounded.
    pub(super) fn pause_after_rejection(&mut self, now: time::Instant, key: arena::EndpointKey) {
        let Some(instance) = self.get(key).map(|it| &it.instance) else {
            return;
        };
        let Some(per_s) = self.rejection_limits.get(now, &instance.service) else {
            return;
        };
        let pause = u64::from(self.entry_count()) * 1_000 / u64::from(per_s.max(1));
        let pause = time::Millis(pause).clamp(MIN_PAUSE, MAX_PAUSE);
        let id = instance.id.clone();
        self.pause_for(now, &id, pause);
    }

    fn entry_count(&self) -> u32 {
        let count = self.coordinators.entry_count().max(1);
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}
