//! Records which endpoints this process can open connections to.

use sageshed_fleet::{chooser, dialect};
use sageshed_upstream::{exchange, failure};

use super::state;
use crate::locks;

impl<D: dialect::Dialect> state::Shared<D> {
    /// Records whether a new connection could be opened for an exchange with the endpoint of `pick`. An exchange over a
    /// pooled connection tells nothing of that.
    pub(super) fn record_connection(
        &self,
        pick: &chooser::Pick,
        exchanged: &Result<exchange::Exchange, failure::Failure>,
    ) {
        let now = self.clock.now();
        let (endpoint, address) = (&pick.instance, pick.address);
        let mut paths = locks::lock(&self.paths);
        match exchanged {
            Ok(exchange) if !exchange.is_reused => {
                let Some(failed_for) = paths.record_connected(now, address) else {
                    return;
                };
                let failing = paths.status(now).failing;
                ::log::info!(endpoint:% = endpoint, address:% = address, failed_ms = failed_for.0, failing;
                    "gateway: connects to an endpoint again");
            }
            Err(failure) if failure.is_connect_failure() => {
                if !paths.record_failed(now, address) {
                    return;
                }
                let status = paths.status(now);
                // Since the start of this process if it has not opened any connection yet.
                let connected_ms = status.since_connected.map_or(now.0, |it| it.0);
                ::log::info!(endpoint:% = endpoint, address:% = address, error:% = failure,
                    failing = status.failing, connected_ms; "gateway: cannot connect to an endpoint");
            }
            _ => {}
        }
    }
}
