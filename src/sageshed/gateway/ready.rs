//! The port for the health checks of the load balancer.

use std::sync;

use sageshed_fleet::dialect;
use sageshed_http::{handler, reply, request};
use sageshed_types::refusal;

use super::state;

/// Responds with 200 while this process takes callers, and with 503 otherwise.
#[derive(Debug)]
pub(super) struct ReadinessHandler<D> {
    pub(super) shared: sync::Arc<state::Shared<D>>,
}

impl<D: dialect::Dialect> handler::Handler for ReadinessHandler<D> {
    fn handle(&self, _req: request::Request, reply: reply::Reply<'_>) -> reply::Sent {
        let (status, text) = if self.shared.is_ready() {
            (200, "ready\n".to_owned())
        } else if self.shared.is_stopping() {
            (503, "stopping\n".to_owned())
        } else if let Some(wait) = self.shared.config_wait() {
            let (waited, waits_for) = (wait.waited.0, wait.waits_for);
            (
                503,
                format!("no configuration is known yet, for {waited} ms: waits for {waits_for}\n"),
            )
        } else if self.shared.is_out_of_date() {
            (503, "a newer configuration is not known yet\n".to_owned())
        } else if self.shared.is_isolated() {
            (503, "no endpoint can be reached\n".to_owned())
        } else {
            (503, "no endpoint is known\n".to_owned())
        };
        reply.made(&reply::Whole {
            status,
            content_type: "text/plain; charset=utf-8",
            body: text.into_bytes(),
        })
    }

    fn refuse_early(&self, refusal: refusal::Refusal) -> handler::Stamped {
        ::log::debug!(reason:% = refusal.reason; "gateway: health check refused");
        handler::Stamped {
            request_id: String::new(),
            refusal,
        }
    }
}
