//! Quarantines requests that crash the endpoints that run them.

use sageshed_fleet::{chooser, dialect, entry_peers, quarantine};
use sageshed_types::{refusal, time, verdict};
use sageshed_upstream::{failure, probe};

use super::ProxiedRequest;

/// The most parts of a prompt that a log record names.
const MAX_NAMED_PARTS: usize = 8;

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Records that the endpoint of `pick` has crashed while it ran this request, if it has.
    ///
    /// A connection closed before the end of a response is no proof of that: networks fail, and endpoints send
    /// malformed responses. An endpoint whose port no longer accepts connections, and which did not announce that it
    /// stops, has crashed.
    pub(super) fn note_crash(&self, pick: &chooser::Pick, cause: failure::Cause) {
        let is_closed = matches!(
            cause,
            failure::Cause::ClosedBeforeAnswer | failure::Cause::ClosedInAnswer
        );
        let shared = self.shared;
        let is_planned = || shared.with_core(|core| core.directory.is_leaving(&pick.instance));
        if !is_closed || is_planned() || !probe::is_closed(pick.address) {
            return;
        }
        let crash = quarantine::Crash {
            content: self.content,
            endpoint: entry_peers::instance_key(&pick.instance),
            age: time::Millis(0),
            is_cleared: false,
        };
        let now = shared.clock.now();
        shared.merge_crashes(&[crash]);
        let ends = shared.with_core(|core| core.quarantine.crash_count(now, self.content));
        ::log::info!(request = self.id(), content:% = self.content, endpoint:% = pick.instance, ends,
            parts = self.named_parts();
            "gateway: endpoint crashed while running the request");
    }

    /// The ids of the shared parts of its prompt, for logs.
    fn named_parts(&self) -> String {
        let parts = self.metadata.shared_parts().iter().take(MAX_NAMED_PARTS);
        let ids: Vec<_> = parts.map(|it| format!("{:x}", it.id)).collect();
        ids.join(",")
    }

    /// Clears the request of the crashes counted against it: an endpoint has answered it completely.
    pub(super) fn clear_crash_suspicion(&self) {
        let now = self.shared.clock.now();
        self.shared
            .with_core(|core| core.quarantine.record_success(now, self.content));
    }

    /// Refuses a request that is quarantined.
    ///
    /// Checked before each attempt, not only on arrival: the request may have been quarantined while it waited here
    /// or between two attempts.
    pub(super) fn refuse_quarantined(&self) -> Option<refusal::Refusal> {
        let now = self.shared.clock.now();
        let left = self
            .shared
            .with_core(|core| core.quarantine.quarantined_for(now, self.content))?;
        let detail = format!(
            "{} endpoints ended while they ran this request; it is passed on no more for {} s",
            quarantine::CRASH_LIMIT,
            left.0 / 1_000
        );
        let refusal = self.final_refusal(verdict::Reason::Quarantined, detail);
        // A request that may have run gets no `Retry-After`.
        Some(match refusal.retry_after {
            Some(_) => refusal.with_retry_after(left),
            None => refusal,
        })
    }
}
