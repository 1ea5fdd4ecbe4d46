//! Sends a request to a plain service and passes the answer on.

use std::time;

use sageshed_callers::{reply, request as callers_request};
use sageshed_decide::event;
use sageshed_engines::connection;
use sageshed_services::{client, filter};
use sageshed_types::verdict;

use super::request::{self, Tried};

/// The longest silence within an answer's body.
const GAP_LIMIT: time::Duration = time::Duration::from_secs(10);

/// A request to a service.
#[derive(Debug)]
pub struct Work {
    /// Path and query, as the service knows them.
    pub path: String,
    /// The caller's headers that can be passed on.
    pub headers: Vec<(String, String)>,
    /// The request.
    pub req: callers_request::Request,
}

/// The headers of a request that can be passed on: those that are text.
#[must_use]
pub fn headers(req: &callers_request::Request) -> Vec<(String, String)> {
    let text = |header: &callers_request::Header| {
        let value = str::from_utf8(&header.value).ok()?;
        Some((header.name.clone(), value.to_owned()))
    };
    req.forwarded().filter_map(text).collect()
}

impl Work {
    /// Sends it once.
    pub fn send<'c>(
        &self,
        open: &mut request::Open<'_>,
        order: &request::Order,
        reply: reply::Reply<'c>,
    ) -> Tried<'c> {
        let call = client::Call {
            address: &order.address,
            method: &self.req.method,
            path: &self.path,
            headers: &self.headers,
            body: self.body(),
            request_id: &open.request_id,
            fresh: order.fresh,
            limits: connection::Limits {
                first_byte: order.first_byte,
                gap: GAP_LIMIT,
                total: order.total,
            },
        };
        open.shared.watched.enter(open.req, reply.watch());
        let answer = open.shared.services.send(&call);
        let limit = open.shared.settings.limits.answer_bytes;
        let mut rest = None;
        let whole = answer.and_then(|answer| {
            rest = answer.retry_after;
            let head = (
                answer.status,
                answer.content_type.clone(),
                answer.headers.clone(),
            );
            Ok((head, answer.body.read_all(limit)?))
        });
        open.shared.watched.leave(open.req);
        match whole {
            Ok((head, body)) => {
                open.note_rest(head.0, rest);
                Tried::Answered(pass(open, order, &head, &body, reply))
            }
            Err(e) => Tried::Failed(reply, e),
        }
    }

    fn body(&self) -> Option<&[u8]> {
        let bodiless =
            self.req.body.is_empty() && matches!(self.req.method.as_str(), "GET" | "HEAD");
        (!bodiless).then_some(&self.req.body)
    }
}

/// Status, content type and headers of an answer.
type Head = (u16, String, Vec<(String, String)>);

fn pass(
    open: &mut request::Open<'_>,
    order: &request::Order,
    head: &Head,
    body: &[u8],
    reply: reply::Reply<'_>,
) -> reply::Sent {
    let (status, content_type, headers) = head;
    open.note_try(order, verdict::Verdict::Ran, &format!("status {status}"));
    open.done(match status {
        400.. => event::AttemptOutcome::Refused { status: *status },
        _ => event::AttemptOutcome::Done { tokens: 0 },
    });
    open.record(*status, content_type, body);
    let headers = filter::to_caller(headers);
    let request_id = open.request_id.clone();
    let head = reply::Head {
        request_id: &request_id,
        status: *status,
        content_type,
        headers: &headers,
    };
    let sent = reply.whole(&head, body);
    open.answered(*status, body.len(), &sent);
    sent
}
