//! Quarantines requests that crash the endpoints that run them.

use sageshed_fleet::{chooser, dialect, entry_peers, fingerprint, quarantine};
use sageshed_types::{refusal, time, verdict};
use sageshed_upstream::failure;

use super::ProxiedRequest;
use crate::gateway::state;

/// The most parts of a prompt that a log record names.
const MAX_NAMED_PARTS: usize = 8;

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Records that the endpoint of `pick` has crashed while it ran this request, if it has.
    ///
    /// A connection closed before the end of a response is no proof of that: networks fail, and endpoints send
    /// malformed responses. An endpoint that has ended, and which did not announce that it stops, has crashed.
    pub(super) fn note_crash(&self, pick: &chooser::Pick, cause: failure::Cause) {
        let is_closed = matches!(
            cause,
            failure::Cause::ClosedBeforeAnswer | failure::Cause::ClosedInAnswer
        );
        let shared = self.shared;
        let is_planned = || shared.with_core(|core| core.directory.is_leaving(&pick.instance));
        if !is_closed || is_planned() || !shared.has_ended(pick.address) {
            return;
        }
        let now = shared.clock.now();
        let mut suspects = vec![self.content];
        shared.with_core(|core| {
            let parts = self.part_fingerprints();
            suspects.extend(parts.filter(|it| !core.quarantine.has_succeeded(now, *it)));
        });
        let crash = |content| quarantine::Crash {
            content,
            endpoint: entry_peers::instance_key(&pick.instance),
            age: time::Millis(0),
            is_cleared: false,
        };
        let crashes: Vec<_> = suspects.into_iter().map(crash).collect();
        shared.merge_crashes(&crashes);
        let ends = shared.with_core(|core| core.quarantine.crash_count(now, self.content));
        ::log::info!(request = self.id(), content:% = self.content, endpoint:% = pick.instance, ends,
            parts = self.named_parts();
            "gateway: endpoint crashed while running the request");
    }

    /// The fingerprints of the shared parts of its prompt.
    fn part_fingerprints(&self) -> impl Iterator<Item = quarantine::Fingerprint> {
        let parts = self.metadata.shared_parts().iter();
        let parts = parts.take(quarantine::MAX_PARTS);
        parts.map(|it| fingerprint::of_prompt_part(it.id))
    }

    /// The ids of the shared parts of its prompt, for logs.
    fn named_parts(&self) -> String {
        let parts = self.metadata.shared_parts().iter().take(MAX_NAMED_PARTS);
        let ids: Vec<_> = parts.map(|it| format!("{:x}", it.id)).collect();
        ids.join(",")
    }

    /// Clears the request and the parts of its prompt of the crashes counted against them: an endpoint has answered it
    /// completely.
    pub(super) fn clear_crash_suspicion(&self) {
        let now = self.shared.clock.now();
        self.shared.with_core(|core| {
            core.quarantine.record_success(now, self.content);
            for part in self.part_fingerprints() {
                core.quarantine.record_success(now, part);
            }
        });
    }

    /// How much longer the request is quarantined, and for what; none if it may be passed on.
    fn quarantined_for(&self) -> Option<(quarantine::FingerprintKind, time::Millis)> {
        let now = self.shared.clock.now();
        self.shared.with_core(|core| {
            if let Some(left) = core.quarantine.quarantined_for(now, self.content) {
                return Some((quarantine::FingerprintKind::Request, left));
            }
            let mut quarantined = self.part_fingerprints().filter_map(|part| {
                let left = core.quarantine.quarantined_for(now, part)?;
                Some((part, left))
            });
            let (part, left) = quarantined.next()?;
            let is_only_one = quarantined.next().is_none();
            if is_only_one && self.may_try(core, now, part) {
                return None;
            }
            Some((quarantine::FingerprintKind::PromptPart, left))
        })
    }

    /// Whether the request may be passed on once as a trial of this part.
    fn may_try(
        &self,
        core: &mut state::Core,
        now: time::Instant,
        part: quarantine::Fingerprint,
    ) -> bool {
        if self.trial.get() == Some(part) {
            return self.deliveries == 0;
        }
        let own = Some(self.shared.settings.discovery.ip);
        let is_taken = entry_peers::owner(part.0, &core.entries) == own
            && core.quarantine.take_trial(now, part);
        if is_taken {
            self.trial.set(Some(part));
        }
        is_taken
    }

    /// Refuses a request that is quarantined.
    ///
    /// Checked before each attempt, not only on arrival: the request may have been quarantined while it waited here
    /// or between two attempts.
    pub(super) fn refuse_quarantined(&self) -> Option<refusal::Refusal> {
        let (kind, left) = self.quarantined_for()?;
        let seconds = left.0 / 1_000;
        let detail = match kind {
            quarantine::FingerprintKind::Request => format!(
                "{} endpoints ended while they ran this request; it is passed on no more for {seconds} s",
                quarantine::CRASH_LIMIT,
            ),
            quarantine::FingerprintKind::PromptPart => format!(
                "{} endpoints ended while they ran requests with a part of its prompt; it is passed on no more for {seconds} s",
                quarantine::PART_CRASH_LIMIT,
            ),
        };
        let refusal = self.final_refusal(verdict::Reason::Quarantined, detail);
        // A request that may have run gets no `Retry-After`.
        Some(match refusal.retry_after {
            Some(_) => refusal.with_retry_after(left),
            None => refusal,
        })
    }
}
