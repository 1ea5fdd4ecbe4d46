//! Requests under which endpoints end, and which are passed on no more.

use sageshed_fleet::{chooser, dialect, entry_peers, quarantine};
use sageshed_types::{refusal, time, verdict};
use sageshed_upstream::{failure, probe};

use super::ProxiedRequest;

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Remembers that the endpoint of `pick` has ended under this request, if it has.
    ///
    /// A connection that is closed inside an answer says little: links break, and endpoints spoil answers. An
    /// endpoint at whose port nobody listens any more, and which did not say that it stops, has crashed.
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
        ::log::info!(request = self.id(), content:% = self.content, endpoint:% = pick.instance, ends;
            "gateway: endpoint ended under the request");
    }

    /// The request was answered whole: it is not what has ended endpoints that it ran at.
    pub(super) fn clear_crash_suspicion(&self) {
        let now = self.shared.clock.now();
        self.shared
            .with_core(|core| core.quarantine.record_success(now, self.content));
    }

    /// The refusal of a request that is held.
    ///
    /// Looked at before each sending, not only when the request comes: what waits here or goes on elsewhere may
    /// be held by what was learnt meanwhile.
    pub(super) fn refuse_quarantined(&self) -> Option<refusal::Refusal> {
        let now = self.shared.clock.now();
        let left = self
            .shared
            .with_core(|core| core.quarantine.held_for(now, self.content))?;
        let detail = format!(
            "{} endpoints ended while they ran this request; it is passed on no more for {} s",
            quarantine::CRASH_LIMIT,
            left.0 / 1_000
        );
        let refusal = self.final_refusal(verdict::Reason::Quarantined, detail);
        // One that has run here is told nothing of when to come back: it may have run.
        Some(match refusal.retry_after {
            Some(_) => refusal.retry_after(left),
            None => refusal,
        })
    }
}
