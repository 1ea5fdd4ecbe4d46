//! Judges and records how the bodies of responses end, so that a response which was cut can be told from a short one.

use sageshed_fleet::{body_end, chooser, dialect};
use sageshed_types::{framing, time};
use sageshed_upstream::{exchange, failure};

use super::ProxiedRequest;
use crate::gateway::metrics::{BodyEnd, ResponseEnd};

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Why a response of the endpoint of `pick` whose body has ended is not passed on as complete, if it isn't. `passed_by` is
    /// what delimits it for its caller, if that has received a part.
    pub(super) fn early_end(
        &self,
        pick: &chooser::Pick,
        exchange: &exchange::Exchange,
        is_inside_event: bool,
        passed_by: Option<framing::Delimiter>,
    ) -> Option<failure::Failure> {
        if !exchange.ends_with_connection() {
            return None;
        }
        let end = || body_end::ConnectionEnd {
            is_inside_event,
            needs_last_chunk: passed_by == Some(framing::Delimiter::Chunks),
            unobserved: exchange.unobserved().into(),
        };
        let early = match end().next_step() {
            body_end::NextStep::Fail(early) => Some(early),
            body_end::NextStep::CheckEndpoint if self.shared.has_ended(pick.address) => {
                Some(body_end::EarlyEnd::EndpointEnded)
            }
            // Looked at again, since this process may have been suspended before it looked at the port.
            body_end::NextStep::CheckEndpoint
                if end().next_step() == body_end::NextStep::CheckEndpoint =>
            {
                None
            }
            body_end::NextStep::CheckEndpoint | body_end::NextStep::CheckInstance => {
                self.check_instance(pick, exchange)
            }
        };
        early.map(|it| failure::Failure::sent(failure::Cause::ClosedInAnswer, &it))
    }

    /// Why a response whose end was read late is not passed on as complete, if it isn't.
    fn check_instance(
        &self,
        pick: &chooser::Pick,
        exchange: &exchange::Exchange,
    ) -> Option<body_end::EarlyEnd> {
        let unobserved = time::Millis::from(exchange.unobserved());
        let listener = self.shared.listener(&pick.instance, pick.address);
        ::log::info!(request = self.id(), endpoint:% = pick.instance, listener:? = listener,
            unobserved_ms = unobserved.0; "gateway: end of a response was read late");
        listener.early_end()
    }

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
