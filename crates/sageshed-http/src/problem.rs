//! Refusals as bytes: problem documents (RFC 9457) that clients of the `OpenAI` API can read too.
//!
//! Usual client libraries repeat a request by themselves after 408, 409, 429 and 5xx. For a request
//! that may have run this could mean two crews for one callout, so such an answer carries
//! `x-should-retry: false`, which these libraries obey.

use sageshed_types::{refusal, verdict};

/// The media type of a refusal.
pub const CONTENT_TYPE: &str = "application/problem+json";

/// What a refusal with status 401 asks for (RFC 9110, section 15.5.2; RFC 6750, section 3).
pub const CHALLENGE: (&str, &str) = ("WWW-Authenticate", "Bearer realm=\"sageshed\"");

/// The beginning of the `type` member; the reason follows.
const TYPE_PREFIX: &str = "urn:sageshed:reason:";

/// The body of a refusal, in the order in which its members are written.
#[derive(Debug, serde::Serialize)]
struct Problem<'a> {
    r#type: String,
    title: &'static str,
    status: u16,
    detail: &'a str,
    request_id: &'a str,
    verdict: verdict::Verdict,
    #[serde(serialize_with = "displayed")]
    reason: verdict::Reason,
    rule: Option<&'a str>,
    revision: u64,
    retry_after_ms: Option<u64>,
    error: Error,
}

/// The member that `OpenAI` clients read.
#[derive(Debug, serde::Serialize)]
struct Error {
    message: String,
    r#type: &'static str,
    #[serde(serialize_with = "displayed")]
    code: verdict::Reason,
}

/// The event that ends a stream with an account.
#[derive(Debug, serde::Serialize)]
struct Event<'a> {
    error: EventError<'a>,
}

/// As [`Error`], with the account inside, since an event has no members beside it.
#[derive(Debug, serde::Serialize)]
struct EventError<'a> {
    message: String,
    r#type: &'static str,
    #[serde(serialize_with = "displayed")]
    code: verdict::Reason,
    request_id: &'a str,
    verdict: verdict::Verdict,
    #[serde(serialize_with = "displayed")]
    reason: verdict::Reason,
    rule: Option<&'a str>,
    revision: u64,
    retry_after_ms: Option<u64>,
}

/// The JSON body of a refusal.
#[must_use]
pub fn body(request_id: &str, refusal: &refusal::Refusal) -> Vec<u8> {
    let problem = Problem {
        r#type: format!("{TYPE_PREFIX}{}", refusal.reason),
        title: refusal.reason.title(),
        status: refusal.status,
        detail: &refusal.detail,
        request_id,
        verdict: refusal.verdict,
        reason: refusal.reason,
        rule: refusal.rule.as_deref(),
        revision: refusal.revision.0,
        retry_after_ms: refusal.retry_after.map(|span| span.0),
        error: Error {
            message: message(refusal),
            r#type: error_type(refusal.reason),
            code: refusal.reason,
        },
    };
    json(&problem)
}

/// The server-sent event that ends a stream for which no more can come.
///
/// No `[DONE]` follows it: a client must not take what it has for the whole answer.
#[must_use]
pub fn stream_event(request_id: &str, refusal: &refusal::Refusal) -> Vec<u8> {
    let event = Event {
        error: EventError {
            message: message(refusal),
            r#type: error_type(refusal.reason),
            code: refusal.reason,
            request_id,
            verdict: refusal.verdict,
            reason: refusal.reason,
            rule: refusal.rule.as_deref(),
            revision: refusal.revision.0,
            retry_after_ms: refusal.retry_after.map(|span| span.0),
        },
    };
    let mut bytes = b"data: ".to_vec();
    bytes.extend(json(&event));
    bytes.extend_from_slice(b"\n\n");
    bytes
}

/// The headers that tell usual clients whether and when to come back.
#[must_use]
pub fn headers(refusal: &refusal::Refusal) -> Vec<(&'static str, String)> {
    let mut headers = Vec::new();
    if let Some(span) = refusal.retry_after {
        headers.push(("Retry-After", span.0.div_ceil(1000).to_string()));
        headers.push(("retry-after-ms", span.0.to_string()));
    }
    if refusal.status == 401 {
        headers.push((CHALLENGE.0, CHALLENGE.1.to_owned()));
    }
    match retry(refusal) {
        Retry::Never => headers.push(("x-should-retry", "false".to_owned())),
        Retry::Later => headers.push(("x-should-retry", "true".to_owned())),
        Retry::AsUsual => {}
    }
    headers
}

/// What a client library should do by itself after a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// Leave it: it may have run, or the same request will be refused again.
    Never,
    /// Come back after the time given.
    Later,
    /// What it does without a hint.
    AsUsual,
}

/// What a client library should do by itself after `refusal`.
#[must_use]
pub fn retry(refusal: &refusal::Refusal) -> Retry {
    if refusal.verdict != verdict::Verdict::NotRun || is_lasting(refusal.reason) {
        return Retry::Never;
    }
    match refusal.retry_after {
        Some(_) => Retry::Later,
        None if refusal.reason == verdict::Reason::RuleRefused => Retry::Never,
        None => Retry::AsUsual,
    }
}

/// Whether the same request would be refused again, whenever it comes.
fn is_lasting(reason: verdict::Reason) -> bool {
    matches!(
        reason,
        verdict::Reason::BadRequest
            | verdict::Reason::Unauthorized
            | verdict::Reason::TooLarge
            | verdict::Reason::NotFound
            | verdict::Reason::UnknownModel
            | verdict::Reason::Duplicate
            | verdict::Reason::KeyReused
    )
}

/// Writes a reason as it is displayed everywhere else, so that `type`, `code` and `reason` agree and
/// can be searched for.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde calls it with a reference"
)]
fn displayed<S: serde::Serializer>(reason: &verdict::Reason, out: S) -> Result<S::Ok, S::Error> {
    out.collect_str(reason)
}

/// Writes a body made of structs with string keys, which always serialise.
///
/// # Panics
///
/// On what JSON has no form for, as a map whose keys are no strings.
pub fn json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("structs with string keys always serialise")
}

fn message(refusal: &refusal::Refusal) -> String {
    format!("{}: {}", refusal.reason, refusal.detail)
}

fn error_type(reason: verdict::Reason) -> &'static str {
    match reason {
        verdict::Reason::BadRequest
        | verdict::Reason::TooLarge
        | verdict::Reason::RequestTimeout
        | verdict::Reason::NotFound
        | verdict::Reason::UnknownModel
        | verdict::Reason::Duplicate
        | verdict::Reason::KeyReused => "invalid_request_error",
        verdict::Reason::Unauthorized => "authentication_error",
        verdict::Reason::RuleRefused => "permission_error",
        verdict::Reason::RuleLimit | verdict::Reason::CallerLimit | verdict::Reason::QueueFull => {
            "rate_limit_error"
        }
        verdict::Reason::NoRoute
        | verdict::Reason::NotResumable
        | verdict::Reason::DeadlineUnmeetable
        | verdict::Reason::DeadlinePassed
        | verdict::Reason::EndpointFailed
        | verdict::Reason::EndpointRefused
        | verdict::Reason::NotConfirmed
        | verdict::Reason::ClaimUnavailable
        | verdict::Reason::Quarantined
        | verdict::Reason::Draining
        | verdict::Reason::TooManyOpen
        | verdict::Reason::Internal => "server_error",
    }
}
