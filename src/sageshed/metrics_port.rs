//! A port that shows what a process knows of itself: its figures, and accounts of past requests.

use sageshed_fleet::queue_coordinator;
use sageshed_http::{handler, reply, request};
use sageshed_types::{refusal, request_trace, verdict};
use serde::Serialize;

/// The path of the figures.
const METRICS: &str = "/metrics";

/// What the path of an account begins with; the id of the request follows.
pub const EXPLAIN: &str = "/explain/";

/// The path of the queues that the process keeps.
pub const QUEUES: &str = "/queues";

/// Answers `GET /metrics` with what `text` makes, `GET /explain/ID` with what `account` finds, and `GET /queues` with
/// what `queues` lists.
#[derive(Debug)]
pub struct Port<F, A, Q> {
    /// Makes the text of the figures as of now.
    pub text: F,
    /// Finds the account of a request.
    pub account: A,
    /// Lists the queues that the process keeps.
    pub queues: Q,
}

impl<F, A, Q> handler::Handler for Port<F, A, Q>
where
    F: Fn() -> String + Send + Sync + 'static,
    A: Fn(&str) -> Option<request_trace::RequestTrace> + Send + Sync + 'static,
    Q: Fn() -> Vec<queue_coordinator::QueueStatus> + Send + Sync + 'static,
{
    fn handle(&self, req: request::Request, reply: reply::Reply<'_>) -> reply::Sent {
        if req.path == METRICS {
            let text = (self.text)();
            return whole(reply, "text/plain; version=0.0.4; charset=utf-8", text);
        }
        if req.path == QUEUES {
            return json(reply, &(self.queues)());
        }
        let Some(id) = req.path.strip_prefix(EXPLAIN) else {
            return not_found(
                reply,
                "only /metrics, /queues and /explain/ID are served on this port",
            );
        };
        let Some(account) = (self.account)(id) else {
            return not_found(reply, "no account of this request is kept here");
        };
        json(reply, &account)
    }

    fn refuse_early(&self, refusal: refusal::Refusal) -> handler::Stamped {
        log::warn!(reason:% = refusal.reason; "metrics: question refused");
        handler::Stamped {
            request_id: String::new(),
            refusal,
        }
    }
}

fn json<T: Serialize>(reply: reply::Reply<'_>, value: &T) -> reply::Sent {
    match serde_json::to_string(value) {
        Ok(text) => whole(reply, "application/json", text),
        Err(e) => {
            log::error!(error:% = e; "metrics: answer can't be written");
            not_found(reply, "the answer can't be written")
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
