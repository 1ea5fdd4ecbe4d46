//! Applies the backpressure notices that endpoints add to their responses: drain, back-off and rate limit.

use sageshed_fleet::{allowance, chooser, dialect};
use sageshed_types::time;

use super::ProxiedRequest;
use crate::gateway::allowances;

/// How long an endpoint with a rate limit gets no requests if no coordinator of that limit can be reached.
const UNKNOWN_LIMIT_PAUSE: time::Millis = time::Millis(1_000);

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Applies the notice in a response of the endpoint of `pick`.
    pub(super) fn apply_notice(
        &self,
        pick: &chooser::Pick,
        response: &dialect::ResponseMetadata<'_>,
    ) {
        if !response.is_of(&pick.instance) {
            return;
        }
        if response.notice.is_leaving {
            self.shared.mark_leaving(&pick.instance);
        }
        if let Some(span) = response.notice.retry_after {
            ::log::info!(request = self.id(), endpoint:% = pick.instance, rest_ms = span.0;
                "gateway: endpoint asks for a back-off");
        }
        let now = self.shared.clock.now();
        let change = self
            .shared
            .with_core(|core| core.chooser.apply_notice(now, &pick.instance, response));
        self.log_limit(pick, change);
    }

    /// Whether the rate limit that the endpoint of `pick` has reported, if any, allows one more request. If not, the
    /// endpoint is closed until it does.
    pub(super) fn is_within_limit(&self, pick: &chooser::Pick) -> bool {
        let now = self.shared.clock.now();
        let limit = self
            .shared
            .with_core(|core| core.chooser.limit(now, &pick.instance));
        let Some(named) = limit else {
            return true;
        };
        let acquire_request = allowance::AcquireRequest {
            id: 0,
            of: allowance::Key::of_endpoint(&pick.instance),
            amount: 1.0,
            returned: 0.0,
            rank: self.priority(),
            reported: Some(named),
        };
        let span = match allowances::acquire(self.shared, acquire_request) {
            allowance::Next::Granted | allowance::Next::Ask(..) => return true,
            allowance::Next::Over(span) => span,
            allowance::Next::Unreachable => UNKNOWN_LIMIT_PAUSE,
        };
        ::log::debug!(request = self.id(), endpoint:% = pick.instance, span_ms = span.0;
            "gateway: endpoint closed by its rate limit");
        let now = self.shared.clock.now();
        self.shared
            .with_core(|core| core.chooser.close_for(now, &pick.instance, span));
        false
    }

    /// Counts a request that is sent to an endpoint with a rate limit.
    pub(super) fn count_send(&self, pick: &chooser::Pick) {
        let now = self.shared.clock.now();
        let change = self
            .shared
            .with_core(|core| core.chooser.count_send(now, &pick.instance));
        self.log_limit(pick, change);
    }

    fn log_limit(&self, pick: &chooser::Pick, change: Option<chooser::LimitChange>) {
        match change {
            Some(chooser::LimitChange::Reported(per_s)) => {
                ::log::info!(request = self.id(), endpoint:% = pick.instance, per_s;
                    "gateway: endpoint reports a rate limit");
            }
            Some(chooser::LimitChange::Cleared) => {
                ::log::info!(request = self.id(), endpoint:% = pick.instance;
                    "gateway: endpoint no longer reports a rate limit");
            }
            Some(chooser::LimitChange::Sent(sent, span)) => {
                ::log::info!(endpoint:% = pick.instance, sent, span_ms = span.0;
                    "gateway: requests sent to an endpoint with a rate limit");
            }
            Some(chooser::LimitChange::Rejections(per_s)) => {
                ::log::info!(request = self.id(), endpoint:% = pick.instance, service = self.service, per_s;
                    "gateway: endpoints of the service report a bound on their rejections");
            }
            Some(chooser::LimitChange::RejectionsCleared) => {
                ::log::info!(request = self.id(), endpoint:% = pick.instance, service = self.service;
                    "gateway: endpoints of the service no longer report a bound on their rejections");
            }
            None => {}
        }
    }
}
