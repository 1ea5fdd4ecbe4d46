//! How long the caller of a request waits for the first or the next event.
//!
//! Callers abandon a stream after a gap that their route states, whatever their deadline is. What a request waits for,
//! and a stream that has fallen silent, is bounded by it. The deadline that endpoints are given stays the caller's.

use std::time as std_time;

use sageshed_fleet::{chooser, dialect};
use sageshed_types::{refusal, time, verdict};

use super::{DEFAULT_RETRY_AFTER, ProxiedRequest, slot, waiting::MIN_TIME_LEFT_IF_LATE};

/// How long after its caller should have left a stream that has begun is ended. The caller's wait begins when it receives
/// an event, and its close takes as long to arrive.
const ABANDONED_STREAM_MARGIN: std_time::Duration = std_time::Duration::from_secs(1);

/// Microseconds per millisecond.
const MICROS_PER_MS: u64 = 1_000;

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// When the caller abandons the request unless an event arrives before; none if it waits until its deadline.
    pub(super) fn abandoned_at(&self) -> Option<std_time::Instant> {
        let is_enabled = self.shared.settings.shared_queue.enabled;
        self.silent_until().filter(|_| is_enabled)
    }

    /// How long the caller waits for the next event of its stream, or else for the whole response.
    pub(super) fn silence_left(&self) -> time::Millis {
        let left = self.time_left();
        self.silent_until().map_or(left, |it| {
            let span = it.saturating_duration_since(std_time::Instant::now());
            left.min(span.into())
        })
    }

    /// When the caller gives the stream up if it receives nothing before.
    fn silent_until(&self) -> Option<std_time::Instant> {
        let since = self.timings.last_sent.unwrap_or(self.req.received);
        self.route.abandoned_after.map(|it| since + it.into())
    }

    /// Whether the caller has abandoned the request.
    pub(super) fn is_abandoned(&self) -> bool {
        let at = self.abandoned_at();
        at.is_some_and(|it| std_time::Instant::now() >= it)
    }

    /// Whether the caller of a stream that has begun has abandoned it for so long that its connection must be lost.
    pub(super) fn is_abandoned_stream(&self) -> bool {
        let at = self.abandoned_at();
        at.is_some_and(|it| std_time::Instant::now() >= it + ABANDONED_STREAM_MARGIN)
    }

    /// The time until which the request may wait before it is sent.
    pub(super) fn wait_left(&self) -> time::Millis {
        match self.abandoned_at() {
            Some(_) => self.silence_left(),
            None => self.time_left(),
        }
    }

    /// The query for an endpoint of a request that may wait for `left`.
    pub(super) fn endpoint_query(&self, left: time::Millis) -> chooser::EndpointQuery<'_> {
        chooser::EndpointQuery {
            service: self.service,
            wanted: self.wanted,
            parts: &self.metadata.parts,
            prompt_tokens: self.metadata.prompt_tokens,
            tried: &self.tried_endpoints,
            time_left: left,
            patience: time::Millis(0),
            time_until_late: self.on_time(),
            may_be_late: left > MIN_TIME_LEFT_IF_LATE && !self.is_resumption(),
            may_load_adapter: false,
            ignores_slot_share: self.local_limit == slot::LocalLimit::Unshared,
            began: self.began,
        }
    }

    /// The refusal of a request whose response would begin too late.
    pub(super) fn too_late(&self, estimate: time::Millis, left: time::Millis) -> refusal::Refusal {
        let detail = format!(
            "the answer would begin in {} ms, and {} ms are left",
            estimate.0, left.0
        );
        let refusal = self.final_refusal(verdict::Reason::DeadlineUnmeetable, detail);
        match refusal.retry_after {
            // By then, what is pending at the endpoint has shrunk to what the caller waits for.
            Some(soon) if self.shared.settings.shared_queue.enabled => {
                let excess = time::Millis(estimate.0.saturating_sub(left.0));
                refusal.with_retry_after(soon.max(excess))
            }
            _ => refusal,
        }
    }

    /// Refuses a request whose prefill alone takes longer than its caller still waits.
    pub(super) fn refuse_hopeless(&self, left: time::Millis) -> Option<refusal::Refusal> {
        self.abandoned_at()?;
        let wanted = self.wanted?;
        let prefill_us = self.shared.with_core(|core| {
            core.chooser
                .prefill_us(self.service, wanted, self.metadata, None)
        });
        let prefill = time::Millis(prefill_us / MICROS_PER_MS);
        if left > prefill {
            return None;
        }
        let detail = format!(
            "its prompt takes {} ms, and its caller waits for {} ms more",
            prefill.0, left.0
        );
        let refusal = self.final_refusal(verdict::Reason::DeadlineUnmeetable, detail);
        match refusal.retry_after {
            Some(_) => Some(refusal.with_retry_after(DEFAULT_RETRY_AFTER)),
            None => Some(refusal),
        }
    }
}
