//! Asking the home of a model where a request is to go, and what becomes of its answer.

use std::time as std_time;

use sageshed_fleet::{chooser, dialect, entry_peers};
use sageshed_types::{refusal, time, verdict};

use super::{BACK_SOON, Life, waiting::READ_RESERVE};
use crate::gateway::{self, state};

/// Between two questions to the home of a model on behalf of one request that waits.
const ASK_AGAIN: std_time::Duration = std_time::Duration::from_millis(40);

/// Follows the advice of the home of the model, where it gave one, and else chooses by what is known here.
pub(super) fn decide(
    core: &mut state::Core,
    now: time::Instant,
    ask: &chooser::EndpointQuery<'_>,
    place: Option<entry_peers::RoutingDecision>,
) -> chooser::Choice {
    let advised = match place {
        Some(entry_peers::RoutingDecision::Engine {
            engine, estimate, ..
        }) => core.chooser.follow_decision(now, engine, estimate, ask),
        Some(entry_peers::RoutingDecision::Wait { .. }) => {
            Some(chooser::Choice::Wait(chooser::WaitReason::Place))
        }
        Some(entry_peers::RoutingDecision::Unknown) | None => None,
    };
    advised.unwrap_or_else(|| core.chooser.choose(now, ask))
}

impl<D: dialect::Dialect> Life<'_, D> {
    /// Asks the home of the model where the request is to go, and not again within [`ASK_AGAIN`].
    pub(super) fn ask_home(
        &self,
        ask: &chooser::EndpointQuery<'_>,
        asked_at: &mut Option<std_time::Instant>,
    ) -> Option<entry_peers::RoutingDecision> {
        if asked_at.is_some_and(|at| at.elapsed() < ASK_AGAIN) {
            return Some(entry_peers::RoutingDecision::Wait { expected: None });
        }
        let request = entry_peers::name_key(self.id());
        let place = gateway::neighbours::ask(self.shared, request, ask);
        *asked_at = place.map(|_| std_time::Instant::now());
        place
    }

    /// Counts what the request asks for, once.
    pub(super) fn count(&self, place: Option<entry_peers::RoutingDecision>) {
        let Some(wanted) = self.wanted.filter(|_| !self.is_counted.replace(true)) else {
            return;
        };
        let kept = match place {
            Some(entry_peers::RoutingDecision::Engine { cached_tokens, .. }) => Some(cached_tokens),
            _ => None,
        };
        self.shared
            .with_core(|core| core.ask(self.service, wanted, self.passing, kept));
    }

    /// The refusal of a request that can't be reached in its time, by all that wait for its model anywhere.
    pub(super) fn hopeless_by_home(
        &self,
        place: Option<entry_peers::RoutingDecision>,
        left: time::Millis,
    ) -> Option<refusal::Refusal> {
        let Some(entry_peers::RoutingDecision::Wait { expected }) = place else {
            return None;
        };
        let expected = expected.unwrap_or_default();
        if expected + READ_RESERVE <= left {
            return None;
        }
        let detail = format!(
            "those that wait for the model take {} ms, and {} ms are left",
            expected.0, left.0
        );
        let refusal = self.give_up(verdict::Reason::DeadlineUnmeetable, detail);
        Some(refusal.retry_after(expected.max(BACK_SOON)))
    }
}
