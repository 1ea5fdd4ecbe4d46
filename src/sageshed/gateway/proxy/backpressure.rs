//! What an endpoint says of itself in its answers, and what that allows.

use sageshed_fleet::{allowance, chooser, dialect};
use sageshed_types::time;

use super::ProxiedRequest;
use crate::gateway::allowances;

/// How long an endpoint with a limit is left alone where no process answers that keeps it.
const UNKNOWN_LIMIT_PAUSE: time::Millis = time::Millis(1_000);

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Takes note of what the endpoint of `pick` says of itself in an answer.
    pub(super) fn apply_notice(
        &self,
        pick: &chooser::Pick,
        answered: &dialect::ResponseMetadata<'_>,
    ) {
        if !answered.is_of(&pick.instance) {
            return;
        }
        if answered.notice.is_leaving {
            self.shared.mark_leaving(&pick.instance);
        }
        if let Some(span) = answered.notice.retry_after {
            ::log::info!(request = self.id(), endpoint:% = pick.instance, rest_ms = span.0;
                "gateway: endpoint asks for rest");
        }
        let now = self.shared.clock.now();
        let change = self
            .shared
            .with_core(|core| core.chooser.apply_notice(now, &pick.instance, answered));
        self.log_limit(pick, change);
    }

    /// Whether one more request may go to the endpoint of `pick`, by the limit that it has named, if any. Where it may
    /// not, the endpoint is left alone for as long as that lasts.
    pub(super) fn is_within_limit(&self, pick: &chooser::Pick) -> bool {
        let now = self.shared.clock.now();
        let limit = self
            .shared
            .with_core(|core| core.chooser.limit(now, &pick.instance));
        let Some(named) = limit else {
            return true;
        };
        let draw = allowance::AcquireRequest {
            id: 0,
            of: allowance::Key::of_endpoint(&pick.instance),
            amount: 1.0,
            returned: 0.0,
            rank: self.priority(),
            reported: Some(named),
        };
        let span = match allowances::ask(self.shared, draw) {
            allowance::Next::Granted | allowance::Next::Ask(..) => return true,
            allowance::Next::Over(span) => span,
            allowance::Next::Unreachable => UNKNOWN_LIMIT_PAUSE,
        };
        ::log::debug!(request = self.id(), endpoint:% = pick.instance, span_ms = span.0;
            "gateway: endpoint is left alone");
        let now = self.shared.clock.now();
        self.shared
            .with_core(|core| core.chooser.close(now, &pick.instance, span));
        false
    }

    /// Counts a request that goes to an endpoint with a limit.
    pub(super) fn count_send(&self, pick: &chooser::Pick) {
        let now = self.shared.clock.now();
        let change = self
            .shared
            .with_core(|core| core.chooser.count_send(now, &pick.instance));
        self.log_limit(pick, change);
    }

    fn log_limit(&self, pick: &chooser::Pick, change: Option<chooser::Change>) {
        match change {
            Some(chooser::Change::Named(per_s)) => {
                ::log::info!(request = self.id(), endpoint:% = pick.instance, per_s;
                    "gateway: endpoint names a limit");
            }
            Some(chooser::Change::Lifted) => {
                ::log::info!(request = self.id(), endpoint:% = pick.instance;
                    "gateway: endpoint names no limit any more");
            }
            Some(chooser::Change::Sent(sent, span)) => {
                ::log::info!(endpoint:% = pick.instance, sent, span_ms = span.0;
                    "gateway: requests sent to an endpoint that names a limit");
            }
            None => {}
        }
    }
}
