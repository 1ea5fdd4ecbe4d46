//! Limits and pauses that endpoints request from those that send to them.
//!
//! An overloaded endpoint reports in its responses how many requests per second it accepts from all VMs
//! together. No process sees all of these requests, so the limit is enforced as an
//! [`allowance`](crate::allowance): each process that knows of the limit acquires a unit before each
//! request, and sends nothing to the endpoint for as long as it is told.
//!
//! An endpoint that rejects a request may ask the sending VM to pause. Only that VM pauses; no other
//! process is told.
//!
//! This state is kept by instance, apart from the other state of an endpoint. An endpoint that control
//! loses sight of for a while is removed together with everything learned about it, but its limit still
//! applies.

use std::collections;

use sageshed_types::{arena, time};

use super::{Chooser, EndpointQuery, WaitReason};
use crate::{allowance, dialect, directory};

/// The lowest limit that is applied, in requests per second. With a limit of zero nothing would be sent,
/// and no response could ever lift the limit.
const MIN_RATE_PER_S: f64 = 0.25;

/// Requests that may go to a limited endpoint at once. Half of the requests that are seconds apart on
/// average arrive in pairs or small bursts, and capacity that is not used meanwhile is lost.
const BURST: f64 = 2.0;

/// Interval at which the requests sent to a limited endpoint are reported.
const COUNT_INTERVAL: time::Millis = time::Millis(4_000);

/// How long the state of an instance is kept after the endpoint is gone.
const RETENTION: time::Millis = time::Millis(60_000);

/// A change of an endpoint's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// It reported this limit in requests per second, and none or another one before.
    Reported(f64),
    /// It no longer reports a limit.
    Cleared,
    /// This process has sent it so many requests in the time since the last count.
    Sent(u64, time::Millis),
    /// Each endpoint of its service bears this number of rejections per second.
    Rejections(u32),
    /// The endpoints of its service no longer report a bound on rejections.
    RejectionsCleared,
}

/// A limit that an endpoint reported, and the requests that this process has sent since.
#[derive(Debug, Clone, Copy)]
struct Limit {
    /// Requests per second.
    per_s: f64,
    heard_at: time::Instant,
    /// Requests sent since `counted_from`.
    sent: u64,
    counted_from: time::Instant,
}

/// Limit and pauses of one instance of an endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct InstanceState {
    limit: Option<Limit>,
    /// By the limit, this process may not send before this time.
    closed_until: time::Instant,
    /// The endpoint asked this process to pause until this time.
    paused_until: time::Instant,
    heard_at: time::Instant,
}

/// Limits and pauses of all instances that requested any.
#[derive(Debug, Default)]
pub(super) struct Backpressure {
    by_instance: collections::HashMap<directory::InstanceId, InstanceState>,
}

impl Backpressure {
    /// How much longer nothing may be sent to this instance.
    fn closed_for(&self, now: time::Instant, id: &directory::InstanceId) -> Option<time::Millis> {
        if self.by_instance.is_empty() {
            return None;
        }
        let state = self.by_instance.get(id)?;
        let until = state.closed_until.max(state.paused_until);
        (now < until).then(|| until.since(now))
    }

    pub(super) fn is_closed(&self, now: time::Instant, id: &directory::InstanceId) -> bool {
        self.closed_for(now, id).is_some()
    }

    fn limit(&mut self, id: &directory::InstanceId) -> Option<&mut Limit> {
        if self.by_instance.is_empty() {
            return None;
        }
        self.by_instance.get_mut(id)?.limit.as_mut()
    }
}

impl Chooser {
    /// Applies the limit and the pause that a response asks for, if it comes from the instance `id` that the
    /// request was sent to. Returns the change of its limit, if any.
    pub fn apply_notice(
        &mut self,
        now: time::Instant,
        id: &directory::InstanceId,
        response: &dialect::ResponseMetadata<'_>,
    ) -> Option<LimitChange> {
        if !response.is_of(id) {
            return None;
        }
        if let Some(span) = response.notice.retry_after {
            self.pause_for(now, id, span);
        }
        let rejections = self.apply_rejection_limit(now, id, response);
        let limit = match response.notice.limit {
            Some(per_s) => self.set_limit(now, id, per_s),
            // A rejection may be too short to include the limit.
            None if response.execution != dialect::ExecutionStatus::Verified => None,
            None => self.clear_limit(id),
        };
        limit.or(rejections)
    }

    /// Records the limit that an instance reported in a response. Returns the change, if any.
    pub fn set_limit(
        &mut self,
        now: time::Instant,
        id: &directory::InstanceId,
        per_s: f64,
    ) -> Option<LimitChange> {
        self.expire(now);
        let state = self.backpressure.by_instance.entry(id.clone()).or_default();
        state.heard_at = now;
        let before = state.limit.map(|it| it.per_s);
        let limit = state.limit.get_or_insert(Limit {
            per_s,
            heard_at: now,
            sent: 0,
            counted_from: now,
        });
        limit.per_s = per_s;
        limit.heard_at = now;
        (before != Some(per_s)).then_some(LimitChange::Reported(per_s))
    }

    /// Records that an instance responded without a limit. Returns the change, if any.
    pub fn clear_limit(&mut self, id: &directory::InstanceId) -> Option<LimitChange> {
        if self.backpressure.by_instance.is_empty() {
            return None;
        }
        let state = self.backpressure.by_instance.get_mut(id)?;
        state.limit.take()?;
        state.closed_until = time::Instant(0);
        Some(LimitChange::Cleared)
    }

    /// Rate and burst at which requests may go to this instance, if it reported a limit.
    pub fn limit(
        &mut self,
        now: time::Instant,
        id: &directory::InstanceId,
    ) -> Option<allowance::ReportedLimit> {
        let limit = self.backpressure.limit(id)?;
        Some(allowance::ReportedLimit {
            limit: allowance::RateLimit {
                per_s: limit.per_s.max(MIN_RATE_PER_S),
                burst: BURST,
            },
            age: now.since(limit.heard_at),
        })
    }

    /// Holds back requests to this instance for `span`, the retry delay of a refused acquisition. The
    /// shortest of several delays counts.
    pub fn close_for(
        &mut self,
        now: time::Instant,
        id: &directory::InstanceId,
        span: time::Millis,
    ) {
        let state = self.backpressure.by_instance.entry(id.clone()).or_default();
        state.heard_at = now;
        let is_closed = now < state.closed_until;
        let until = now + span;
        state.closed_until = if is_closed {
            until.min(state.closed_until)
        } else {
            until
        };
    }

    /// Holds back requests to this instance for `span`, as it rejected one and asked this process to pause.
    /// The longest of several pauses counts: a later response does not shorten an earlier one.
    pub fn pause_for(
        &mut self,
        now: time::Instant,
        id: &directory::InstanceId,
        span: time::Millis,
    ) {
        self.expire(now);
        let state = self.backpressure.by_instance.entry(id.clone()).or_default();
        state.heard_at = now;
        state.paused_until = state.paused_until.max(now + span);
    }

    /// Counts a request that is sent to this instance. Returns the count if the instance is limited and a
    /// report is due.
    pub fn count_send(
        &mut self,
        now: time::Instant,
        id: &directory::InstanceId,
    ) -> Option<LimitChange> {
        let limit = self.backpressure.limit(id)?;
        limit.sent += 1;
        let span = now.since(limit.counted_from);
        if span < COUNT_INTERVAL {
            return None;
        }
        let sent = limit.sent;
        limit.sent = 0;
        limit.counted_from = now;
        Some(LimitChange::Sent(sent, span))
    }

    /// Number of known endpoints that reported a limit.
    #[must_use]
    pub fn count_limited(&self) -> usize {
        let all = self.backpressure.by_instance.iter();
        let limited = all.filter(|(id, it)| it.limit.is_some() && self.by_id.contains_key(*id));
        limited.count()
    }

    /// Endpoints of the service that nothing may be sent to now, because they asked for it.
    #[must_use]
    pub fn closed_endpoints(&self, now: time::Instant, service: &str) -> Vec<arena::EndpointKey> {
        if self.backpressure.by_instance.is_empty() {
            return Vec::new();
        }
        let all = self.by_service.get(service).into_iter().flatten().copied();
        all.filter(|key| self.closed_for(now, *key).is_some())
            .collect()
    }

    pub(super) fn closed_for(
        &self,
        now: time::Instant,
        key: arena::EndpointKey,
    ) -> Option<time::Millis> {
        let endpoint = self.get(key)?;
        self.backpressure.closed_for(now, &endpoint.instance.id)
    }

    /// Why a request has to wait: [`WaitReason::Allowance`] if limits and pauses alone hold back endpoints
    /// that could take it, otherwise `missing`.
    pub(super) fn wait_reason(
        &self,
        now: time::Instant,
        query: &EndpointQuery<'_>,
        missing: WaitReason,
    ) -> WaitReason {
        if !matches!(missing, WaitReason::Endpoint | WaitReason::Model) {
            return missing;
        }
        let closed = self.closed_endpoints(now, query.service).into_iter();
        let fitting = closed.filter(|key| {
            self.is_eligible(now, *key, query)
                && query
                    .wanted
                    .is_none_or(|wanted| self.holds(now, *key, wanted, query.began))
        });
        let opens = fitting.filter_map(|key| self.closed_for(now, key)).min();
        opens.map_or(missing, WaitReason::Allowance)
    }

    fn expire(&mut self, now: time::Instant) {
        let known = &self.by_id;
        self.backpressure
            .by_instance
            .retain(|id, it| known.contains_key(id) || now.since(it.heard_at) < RETENTION);
    }
}
