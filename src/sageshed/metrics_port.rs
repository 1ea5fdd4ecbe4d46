//! A port that shows what a process knows of itself: its figures, and accounts of past requests.

use sageshed_http::{handler, reply, request};
use sageshed_types::{refusal, request_trace, verdict};

/// The path of the figures.
const METRICS: &str = "/metrics";

/// What the path of an account begins with; the id of the request follows.
pub const EXPLAIN: &str = "/explain/";

/// Answers `GET /metrics` with what `text` makes, and `GET /explain/ID` with what `account` finds.
#[derive(Debug)]
pub struct Port<F, A> {
    /// Makes the text of the figures as of now.
    pub text: F,
    /// Finds the account of a request.
    pub account: A,
}

impl<F, A> handler::Handler for Port<F, A>
where
    F: Fn() -> String + Send + Sync + 'static,
    A: Fn(&str) -> Option<request_trace::RequestTrace> + Send + Sync + 'static,
{
    fn handle(&self, req: request::Request, reply: reply::Reply<'_>) -> reply::Sent {
        if req.path == METRICS {
            let text = (self.text)();
            return whole(reply, "text/plain; version=0.0.4; charset=utf-8", text);
        }
        let Some(id) = req.path.strip_prefix(EXPLAIN) else {
            return not_found(
                reply,
                "only /metrics and /explain/ID are served on this port",
            );
        };
        let Some(account) = (self.account)(id) else {
            return not_found(reply, "no account of this request is kept here");
        };
        match serde_json::to_string(&account) {
            Ok(text) => whole(reply, "application/json", text),
            Err(e) => {
                log::error!(request = id, error:% = e; "metrics: account can't be written");
                not_found(reply, "the account of this request can't be written")
            }
        }
    }

    fn refuse_early(&self, refusal: refusal::Refusal) -> handler::Stamped {
        log::warn!(reason:% = refusal.reason; "metrics: question refused");
        handler::Stamped {
            request_id: String::new(),
            refusal,
        }
    }
}

fn whole(reply: reply::Reply<'_>, content_type: &'static str, text: String) -> reply::Sent {
    reply.made(&reply::Whole {
        status: 200,
        content_type,
        body: text.into_bytes(),
    })
}

fn not_found(reply: reply::Reply<'_>, detail: &str) -> reply::Sent {
    let refusal = refusal::Refusal::not_run(verdict::Reason::NotFound, detail);
    reply.refusal("", &refusal)
}
