//! The refusals that this process sends itself.

use sageshed_http::{problem, reply};
use sageshed_types::{refusal, time, verdict};

/// Sends a refusal. `Retry-After` has fractions of a second, since a slot may become free or a load end within a few
/// hundred milliseconds.
pub(super) fn send(
    reply: reply::Reply<'_>,
    request_id: &str,
    refusal: &refusal::Refusal,
) -> reply::Sent {
    let after = refusal.retry_after.map(seconds);
    let mut headers: Vec<(&str, &str)> = Vec::new();
    if let Some(after) = &after {
        headers.push(("Retry-After", after));
    }
    if refusal.reason == verdict::Reason::Unauthorized {
        headers.push(problem::CHALLENGE);
    }
    let head = reply::Head {
        request_id,
        status: refusal.status,
        content_type: problem::CONTENT_TYPE,
        headers: &headers,
    };
    reply.whole(&head, &problem::body(request_id, refusal))
}

fn seconds(span: time::Millis) -> String {
    format!("{}.{:03}", span.0 / 1_000, span.0 % 1_000)
}

/// The refusal, with status 503, of a request that no endpoint has run and that may be retried.
pub(super) fn not_run(
    reason: verdict::Reason,
    detail: impl Into<String>,
    after: time::Millis,
) -> refusal::Refusal {
    refusal::Refusal {
        status: 503,
        ..refusal::Refusal::not_run(reason, detail).with_retry_after(after)
    }
}
