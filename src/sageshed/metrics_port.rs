//! A port that shows a process's figures, and nothing else.

use sageshed_http::{handler, reply, request};
use sageshed_types::{refusal, verdict};

/// Answers `GET /metrics` with what `text` makes.
#[derive(Debug)]
pub struct Port<F> {
    /// Makes the text of the figures as of now.
    pub text: F,
}

impl<F: Fn() -> String + Send + Sync + 'static> handler::Handler for Port<F> {
    fn handle(&self, req: request::Request, reply: reply::Reply<'_>) -> reply::Sent {
        if req.path != "/metrics" {
            let detail = "only /metrics is served on this port";
            let refusal = refusal::Refusal::not_run(verdict::Reason::NotFound, detail);
            return reply.refusal("", &refusal);
        }
        reply.made(&reply::Whole {
            status: 200,
            content_type: "text/plain; version=0.0.4; charset=utf-8",
            body: (self.text)().into_bytes(),
        })
    }

    fn refuse_early(&self, refusal: refusal::Refusal) -> handler::Stamped {
        log::warn!(reason:% = refusal.reason; "metrics: question refused");
        handler::Stamped {
            request_id: String::new(),
            refusal,
        }
    }
}
