//! Records how the bodies of responses end, so that a response which was cut can be told from a short one.

use sageshed_fleet::{chooser, dialect};
use sageshed_types::framing;
use sageshed_upstream::{exchange, failure};

use super::ProxiedRequest;
use crate::gateway::metrics::{BodyEnd, ResponseEnd};

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Counts a response of the endpoint of `pick` whose body has ended, of which `bytes` have arrived. Logs those that did
    /// not end by a length or a last chunk.
    pub(super) fn record_response_end(
        &self,
        pick: &chooser::Pick,
        exchange: &exchange::Exchange,
        bytes: u64,
        passed_by: Option<framing::Delimiter>,
        failure: Option<&failure::Failure>,
    ) {
        let response = ResponseEnd {
            delimiter: exchange.delimiter(),
            end: failure.map_or(BodyEnd::Complete, |it| BodyEnd::Failed(it.cause)),
            passed_by,
        };
        self.shared.metrics.response_ended(response);
        if failure.is_none() && !exchange.ends_with_connection() {
            return;
        }
        let error = failure.map(ToString::to_string).unwrap_or_default();
        ::log::info!(request = self.id(), endpoint:% = pick.instance, delimiter = response.delimiter.label(),
            end = response.end.label(), error, framing = response.framing(), bytes;
            "gateway: body of a response ended");
    }
}
