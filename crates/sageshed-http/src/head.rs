//! From the bytes of a head to a typed one, or to the refusal that says what is wrong with it.
//!
//! Framing is judged strictly, since the platform's balancer stands in between: if it and this
//! process disagreed on where a request ends, one caller's bytes would be read as another's request.
//! Whatever is ambiguous (a length beside a chunked coding, two lengths, a folded header) is refused
//! and the connection is closed.

use sageshed_types::{framing, headers, refusal, secret, time, verdict};

use crate::request;

/// The most headers that a request may have.
const HEADERS: usize = 100;

/// How the body is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By its length, in bytes. Zero where there is none.
    Length(u64),
    /// By chunks.
    Chunked,
}

/// A parsed head.
#[derive(Debug)]
pub(crate) struct Head {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) query: Option<String>,
    pub(crate) headers: Vec<request::Header>,
    /// Whether it is HTTP/1.0 and not 1.1.
    pub(crate) old: bool,
    pub(crate) framing: Framing,
    /// Whether the caller wants the connection kept.
    pub(crate) keep_alive: bool,
    /// Whether the caller waits for a go-ahead before it sends the body.
    pub(crate) expects_continue: bool,
    pub(crate) known: Known,
}

/// The headers that the system knows.
#[derive(Debug, Default)]
pub(crate) struct Known {
    pub(crate) credential: secret::Credential,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) repeatable: Option<bool>,
    pub(crate) deadline: Option<time::Millis>,
    pub(crate) class: Option<String>,
    pub(crate) content_type: Option<String>,
}

/// What the bytes so far amount to.
#[derive(Debug)]
pub(crate) enum Parsed {
    /// A whole head of this many bytes.
    Head(Box<Head>, usize),
    /// More bytes are needed.
    Partial,
}

/// Parses the head at the beginning of `buf`.
pub(crate) fn parse(buf: &[u8]) -> Result<Parsed, refusal::Refusal> {
    let mut slots = [httparse::EMPTY_HEADER; HEADERS];
    let mut raw = httparse::Request::new(&mut slots);
    match raw.parse(buf) {
        Ok(httparse::Status::Complete(len)) => {
            typed(&raw).map(|head| Parsed::Head(head.into(), len))
        }
        Ok(httparse::Status::Partial) => Ok(Parsed::Partial),
        Err(e) => Err(malformed(e, buf)),
    }
}

fn malformed(e: httparse::Error, buf: &[u8]) -> refusal::Refusal {
    match e {
        httparse::Error::TooManyHeaders => with_status(
            431,
            verdict::Reason::TooLarge,
            format!("the request has more than {HEADERS} headers"),
        ),
        httparse::Error::Version if names_http(buf) => with_status(
            505,
            verdict::Reason::BadRequest,
            "only HTTP/1.0 and HTTP/1.1 are spoken here",
        ),
        e => bad(format!("the head of the request cannot be parsed: {e}")),
    }
}

/// Whether the request line names some version of HTTP.
fn names_http(buf: &[u8]) -> bool {
    let line = buf.split(|&byte| byte == b'\n').find(|line| line.len() > 1);
    line.is_some_and(|line| line.windows(6).any(|part| part == b" HTTP/"))
}

fn typed(raw: &httparse::Request<'_, '_>) -> Result<Head, refusal::Refusal> {
    let headers: Vec<_> = raw.headers.iter().map(owned).collect();
    let old = raw.version == Some(0);
    let (path, query) = target(raw.path.unwrap_or_default())?;
    host(&headers, old)?;
    let method = raw.method.unwrap_or_default().to_owned();
    Ok(Head {
        framing: framing(&headers, old, &method)?,
        keep_alive: keep_alive(&headers, old),
        expects_continue: expects_continue(&headers, old)?,
        known: known(&headers)?,
        method,
        path,
        query,
        headers,
        old,
    })
}

fn owned(header: &httparse::Header<'_>) -> request::Header {
    request::Header {
        name: header.name.to_owned(),
        value: header.value.trim_ascii().to_vec(),
    }
}

/// Splits a target into path and query. Takes the absolute form too, as RFC 9112 asks.
fn target(target: &str) -> Result<(String, Option<String>), refusal::Refusal> {
    let origin = match target.split_once("://") {
        Some((scheme, rest)) if is_http(scheme) => rest.find('/').map_or("/", |at| &rest[at..]),
        _ => target,
    };
    if !origin.starts_with('/') && origin != "*" {
        return Err(bad("the request target is neither a path nor an http URL"));
    }
    match origin.split_once('?') {
        Some((path, query)) => Ok((path.to_owned(), Some(query.to_owned()))),
        None => Ok((origin.to_owned(), None)),
    }
}

fn is_http(scheme: &str) -> bool {
    scheme.eq_ignore_ascii_case("http") || scheme.eq_ignore_ascii_case("https")
}

fn host(headers: &[request::Header], old: bool) -> Result<(), refusal::Refusal> {
    match values(headers, "host").count() {
        1 => Ok(()),
        0 if old => Ok(()),
        0 => Err(bad("an HTTP/1.1 request needs a Host header")),
        _ => Err(bad("the request has more than one Host header")),
    }
}

fn framing(
    headers: &[request::Header],
    old: bool,
    method: &str,
) -> Result<Framing, refusal::Refusal> {
    let (lengths, codings) = (
        values(headers, "content-length"),
        values(headers, "transfer-encoding"),
    );
    match framing::of_fields(lengths, codings, old) {
        Ok(framing::Framing::None) => length_framing(None, old, method),
        Ok(framing::Framing::Length(length)) => length_framing(Some(length), old, method),
        Ok(framing::Framing::Chunked) => Ok(Framing::Chunked),
        Err(e) => Err(unframed(e)),
    }
}

/// The refusal of a request whose end can't be told.
pub(crate) fn unframed(e: framing::FramingError) -> refusal::Refusal {
    match e {
        framing::FramingError::Coding => {
            with_status(501, verdict::Reason::BadRequest, e.to_string())
        }
        framing::FramingError::TrailerSize => {
            with_status(431, verdict::Reason::TooLarge, e.to_string())
        }
        e => bad(e.to_string()),
    }
}

/// A missing length means an empty body in HTTP/1.1, and usual clients rely on it. In HTTP/1.0 it may
/// also mean "until I close", which cannot be told from a request that was cut.
fn length_framing(
    length: Option<u64>,
    old: bool,
    method: &str,
) -> Result<Framing, refusal::Refusal> {
    if length.is_none() && old && matches!(method, "POST" | "PUT" | "PATCH") {
        return Err(with_status(
            411,
            verdict::Reason::BadRequest,
            "an HTTP/1.0 request with a body needs a Content-Length",
        ));
    }
    Ok(Framing::Length(length.unwrap_or(0)))
}

fn keep_alive(headers: &[request::Header], old: bool) -> bool {
    let option = |wanted: &[u8]| {
        values(headers, "connection")
            .flat_map(|value| value.split(|&byte| byte == b','))
            .any(|option| option.trim_ascii().eq_ignore_ascii_case(wanted))
    };
    if old {
        option(b"keep-alive")
    } else {
        !option(b"close")
    }
}

fn expects_continue(headers: &[request::Header], old: bool) -> Result<bool, refusal::Refusal> {
    let Some(value) = values(headers, "expect").next() else {
        return Ok(false);
    };
    if value.eq_ignore_ascii_case(b"100-continue") {
        return Ok(!old);
    }
    Err(with_status(
        417,
        verdict::Reason::BadRequest,
        "the only expectation known here is 100-continue",
    ))
}

fn known(headers: &[request::Header]) -> Result<Known, refusal::Refusal> {
    Ok(Known {
        credential: credential(headers),
        idempotency_key: single(headers, "Idempotency-Key")?,
        repeatable: repeatable(headers)?,
        deadline: deadline(headers)?,
        class: single(headers, "Sageshed-Class")?,
        content_type: single(headers, "Content-Type")?,
    })
}

/// A doubled header leaves open who asks, even where both are the same: a proxy in between may have checked
/// one and not the other.
fn credential(list: &[request::Header]) -> secret::Credential {
    let mut found = values(list, headers::AUTHORIZATION);
    let (first, second) = (found.next(), found.next());
    match (first, second) {
        (None, _) => secret::Credential::Missing,
        (Some(_), Some(_)) => secret::Credential::Malformed("Authorization is given twice"),
        (Some(value), None) => bearer(value),
    }
}

fn bearer(value: &[u8]) -> secret::Credential {
    let end = value.iter().position(|&byte| byte == b' ');
    let (scheme, key) = value.split_at(end.unwrap_or(value.len()));
    let key = key.trim_ascii();
    if !scheme.eq_ignore_ascii_case(b"bearer") || key.is_empty() {
        return secret::Credential::Malformed("Authorization is not `Bearer KEY`");
    }
    secret::Credential::Bearer(secret::KeyDigest::of(key))
}

/// What cannot be understood is refused and not ignored: a request that its caller marked as not
/// repeatable with a slip of the pen would otherwise be repeated.
fn repeatable(headers: &[request::Header]) -> Result<Option<bool>, refusal::Refusal> {
    match single(headers, "Sageshed-Repeatable")?.as_deref() {
        None => Ok(None),
        Some(value) if value.eq_ignore_ascii_case("yes") => Ok(Some(true)),
        Some(value) if value.eq_ignore_ascii_case("no") => Ok(Some(false)),
        Some(_) => Err(bad("Sageshed-Repeatable is neither yes nor no")),
    }
}

fn deadline(headers: &[request::Header]) -> Result<Option<time::Millis>, refusal::Refusal> {
    let Some(value) = single(headers, "Sageshed-Deadline-Ms")? else {
        return Ok(None);
    };
    framing::digits(value.as_bytes())
        .map(|ms| Some(time::Millis(ms)))
        .ok_or_else(|| bad("Sageshed-Deadline-Ms is not a number of milliseconds"))
}

/// The value of a header that may come once. Two that differ are refused: two idempotency keys, say,
/// leave open which request this is.
fn single(headers: &[request::Header], name: &str) -> Result<Option<String>, refusal::Refusal> {
    let mut found = values(headers, name);
    let Some(first) = found.next() else {
        return Ok(None);
    };
    if found.any(|other| other != first) {
        return Err(bad(format!("{name} is given twice with different values")));
    }
    if first.is_empty() {
        return Err(bad(format!("{name} is empty")));
    }
    match str::from_utf8(first) {
        Ok(value) => Ok(Some(value.to_owned())),
        Err(e) => Err(bad(format!("{name} is not UTF-8: {e}"))),
    }
}

/// The values of all headers called `name`, in any case.
pub(crate) fn values<'h>(
    headers: &'h [request::Header],
    name: &str,
) -> impl Iterator<Item = &'h [u8]> {
    headers
        .iter()
        .filter(move |header| header.name.eq_ignore_ascii_case(name))
        .map(|header| header.value.as_slice())
}

/// The refusal of a request that is not valid.
pub(crate) fn bad(detail: impl Into<String>) -> refusal::Refusal {
    refusal::Refusal::not_run(verdict::Reason::BadRequest, detail)
}

/// A refusal whose HTTP status says more than its reason's own.
pub(crate) fn with_status(
    status: u16,
    reason: verdict::Reason,
    detail: impl Into<String>,
) -> refusal::Refusal {
    refusal::Refusal {
        status,
        ..refusal::Refusal::not_run(reason, detail)
    }
}
