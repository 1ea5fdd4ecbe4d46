//! What an endpoint says of itself in its answers.

use sageshed_fleet::{chooser, dialect};

use super::Life;

impl<D: dialect::Dialect> Life<'_, D> {
    /// Takes note of what the endpoint of `pick` says of itself in an answer.
    pub(super) fn heed(&self, pick: &chooser::Pick, answered: &dialect::Answered<'_>) {
        if !answered.is_of(&pick.instance) {
            return;
        }
        let now = self.shared.clock.now();
        let limit = answered.notice.limit;
        let change = self
            .shared
            .with_core(|core| core.chooser.limited(now, pick, limit));
        self.log_limit(pick, change);
    }

    /// Counts a request that goes to an endpoint with a limit.
    pub(super) fn count_sending(&self, pick: &chooser::Pick) {
        let now = self.shared.clock.now();
        let change = self.shared.with_core(|core| core.chooser.sends(now, pick));
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
