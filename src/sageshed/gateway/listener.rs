//! Asks who listens at the address of an endpoint.

use std::{net, time as std_time};

use sageshed_fleet::{body_end, dialect, directory};
use sageshed_upstream::{connection::Connect, exchange, failure};

use super::{paths, state};
use crate::outbound;

/// How long a query may take.
const QUERY_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(1);

/// The largest response to a query that is read.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

impl<D: dialect::Dialect> state::Shared<D> {
    /// Who listens at the address of `instance`: asked for its report, and by the health check of its service if that
    /// doesn't tell.
    pub(super) fn listener(
        &self,
        instance: &directory::InstanceId,
        address: net::SocketAddrV4,
    ) -> body_end::Listener {
        let known = self.with_core(|core| core.directory.instance(instance).cloned());
        if known.as_ref().is_some_and(directory::Instance::has_ended) {
            return body_end::Listener::Other;
        }
        let report = self.dialect.report_request(instance);
        let listener = self.query(instance, address, &report);
        if listener != body_end::Listener::Unknown {
            return listener;
        }
        let check = known.and_then(|it| self.health_check_of(&it));
        check.map_or(body_end::Listener::Unknown, |check| {
            self.query(instance, address, &check)
        })
    }

    fn query(
        &self,
        instance: &directory::InstanceId,
        address: net::SocketAddrV4,
        call: &dialect::OutboundRequest,
    ) -> body_end::Listener {
        match self.exchange_query(address, call) {
            Ok((head, body)) => {
                let metadata = self
                    .dialect
                    .response_metadata(head.status, |it| head.value(it));
                let report = self.dialect.report(&body).ok();
                let response = body_end::QueryResponse {
                    status: head.status,
                    name: metadata.endpoint,
                    born: report.and_then(|it| it.born),
                };
                body_end::Listener::of(instance, response)
            }
            Err(e) => {
                ::log::debug!(endpoint:% = instance, address:% = address, error:% = e;
                    "gateway: cannot ask who listens at the address of an endpoint");
                body_end::Listener::Unknown
            }
        }
    }

    fn exchange_query(
        &self,
        address: net::SocketAddrV4,
        call: &dialect::OutboundRequest,
    ) -> Result<(exchange::Head, Vec<u8>), failure::Failure> {
        let until = std_time::Instant::now() + QUERY_TIMEOUT;
        let patience = exchange::Patience {
            until,
            stop: &|| false,
        };
        let connector = paths::Connector {
            shared: self,
            until,
        };
        let host = address.to_string();
        let connection = connector.connect(address, QUERY_TIMEOUT)?;
        let sent = connection.send(&outbound::request(call, &host), &patience)?;
        let mut exchange = sent.head(&patience).map_err(|it| it.failure)?;
        let body = exchange.read_whole(MAX_RESPONSE_BYTES, &patience)?;
        Ok((exchange.head, body))
    }
}
