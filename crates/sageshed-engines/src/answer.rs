//! The answer to one request: its head, and its body read with a check that it is whole.

use std::{fmt, io::Read, iter, time::Duration};

use sageshed_types::{framing, status, time};

use crate::{classify, connection, headers, transport};

/// How much of an error's body is kept for its detail, in bytes.
const DETAIL_LIMIT: usize = 512;
/// How much is read from a body at a time, in bytes.
const READ_SIZE: usize = 16 * 1024;

/// The head of an answer, and its body yet to be read.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status, 200 to 599.
    pub status: u16,
    /// The `Content-Type`, or empty.
    pub content_type: String,
    /// The run that the engine names, if it does.
    pub run: Option<String>,
    /// When the endpoint says that coming back can help.
    pub retry_after: Option<time::Millis>,
    /// Whether the endpoint says, in an answer to this very request, that it has not run it.
    pub says_not_run: bool,
    /// All headers, names in lower case, in the order they came.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Body,
}

/// A body on its way in. Dropped before its end, it closes its connection.
pub struct Body {
    address: String,
    // The library's reader is a trait object; there is no other way to its bodies.
    reader: Box<dyn Read + Send + Sync>,
    connection: Option<connection::Connection>,
    watch: connection::Watch,
    keep: Option<transport::Transport>,
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Body")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Answer {
    /// Takes the head of `resp` apart and checks that it answers `req`.
    pub(crate) fn new(
        req: &transport::Request<'_>,
        resp: ureq::Response,
        connection: connection::Connection,
        keep: Option<transport::Transport>,
    ) -> Result<Self, classify::CallError> {
        let malformed = |detail: String| {
            classify::CallError::new(req.address, classify::Failure::Malformed, detail)
        };
        // The library takes an interim response for the answer, and what follows it for a body.
        status::check_final(resp.status()).map_err(|e| malformed(e.to_string()))?;
        check_framing(&resp).map_err(|e| malformed(e.to_string()))?;
        check_single(&resp).map_err(malformed)?;
        let echo = resp.header(headers::REQUEST_ID).map(str::to_owned);
        let echoed = echo.as_deref() == Some(req.request_id);
        // An error may come from a part of the endpoint that never saw the id. It is an error all
        // the same, but without the id it promises nothing about this request.
        let absent_ok = req.id_optional || resp.status() >= 400;
        let left_out = echo.is_none() && absent_ok;
        if !echoed && !left_out {
            let detail = format!(
                "the answer names request `{}`, not `{}`",
                echo.as_deref().unwrap_or(""),
                req.request_id
            );
            return Err(classify::CallError::new(
                req.address,
                classify::Failure::OtherRequest,
                detail,
            ));
        }
        let ran_no = resp.header(headers::RAN) == Some(headers::RAN_NO);
        let says_not_run = echoed && ran_no && resp.status() >= 400;
        let retry_after = resp
            .header("Retry-After")
            .and_then(|value| value.trim().parse::<u64>().ok())
            .map(|seconds| time::Millis(seconds.saturating_mul(1_000)));
        Ok(Self {
            status: resp.status(),
            content_type: resp.header("Content-Type").unwrap_or("").to_owned(),
            run: resp.header(headers::RUN).map(str::to_owned),
            retry_after,
            says_not_run,
            headers: all_headers(&resp),
            body: Body {
                address: req.address.to_owned(),
                watch: connection.watch().clone(),
                reader: resp.into_reader(),
                connection: Some(connection),
                keep,
            },
        })
    }

    /// Whether the body is a stream of server-sent events.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        self.content_type
            .to_ascii_lowercase()
            .starts_with("text/event-stream")
    }

    /// The error that this answer is, for an endpoint whose error statuses are not for the caller.
    #[must_use]
    pub fn into_error(self) -> classify::CallError {
        let failure = classify::Failure::Status {
            status: self.status,
            says_not_run: self.says_not_run,
        };
        let retry_after = self.retry_after;
        let address = self.body.address.clone();
        let body = self.body.read_all(DETAIL_LIMIT).unwrap_or_default();
        let mut e = classify::CallError::new(&address, failure, String::from_utf8_lossy(&body));
        e.retry_after = retry_after;
        e
    }
}

/// The library reads the first length and ignores one that it can't parse.
fn check_framing(resp: &ureq::Response) -> Result<(), framing::FramingError> {
    let (lengths, codings) = (
        field_values(resp, "content-length"),
        field_values(resp, "transfer-encoding"),
    );
    let is_old_version = resp.http_version() == "HTTP/1.0";
    framing::of_fields(lengths, codings, is_old_version).map(drop)
}

/// Two answers that are joined inside a head may repeat what names or vouches for one, alike or not.
fn check_single(resp: &ureq::Response) -> Result<(), String> {
    let names = [headers::REQUEST_ID, headers::RUN, headers::RAN];
    let is_repeated = |name: &&str| field_values(resp, &name.to_ascii_lowercase()).count() > 1;
    match names.iter().find(|it| is_repeated(it)) {
        Some(name) => Err(format!("the answer has more than one {name}")),
        None => Ok(()),
    }
}

/// The values of a header; those that are not text, which the library leaves out, as values that can't be parsed.
fn field_values<'r>(resp: &'r ureq::Response, name: &str) -> impl Iterator<Item = &'r [u8]> {
    let text = resp.all(name);
    let count = resp.headers_names().iter().filter(|it| *it == name).count();
    let not_text = count.saturating_sub(text.len());
    let text = text.into_iter().map(str::as_bytes);
    text.chain(iter::repeat_n(&b"\xff"[..], not_text))
}

fn all_headers(resp: &ureq::Response) -> Vec<(String, String)> {
    let mut all = Vec::new();
    let mut names = resp.headers_names();
    names.sort_unstable();
    names.dedup();
    for name in names {
        for value in resp.all(&name) {
            all.push((name.clone(), value.to_owned()));
        }
    }
    all
}

impl Body {
    /// Reads some bytes; zero means that the body has ended and was whole.
    ///
    /// # Errors
    ///
    /// A [`classify::CallError`] if it fell silent, was cut or is not HTTP. Its connection is closed.
    pub fn read(&mut self, buf: &mut [u8]) -> Result<usize, classify::CallError> {
        match self.reader.read(buf) {
            Ok(0) if !buf.is_empty() => {
                self.ended_whole();
                Ok(0)
            }
            Ok(n) => {
                self.watch.body_begun();
                Ok(n)
            }
            Err(e) => {
                self.connection = None;
                let failure = self.watch.failure_in_body();
                Err(self.error(failure, &e.to_string()))
            }
        }
    }

    /// Reads the rest, up to `limit` bytes.
    ///
    /// # Errors
    ///
    /// As [`Body::read`]; also if the body is larger than `limit`.
    pub fn read_all(mut self, limit: usize) -> Result<Vec<u8>, classify::CallError> {
        let mut all = Vec::new();
        let mut buf = [0; READ_SIZE];
        loop {
            let n = self.read(&mut buf)?;
            if n == 0 {
                return Ok(all);
            }
            all.extend_from_slice(&buf[..n]);
            if all.len() > limit {
                let detail = format!("the answer is larger than {limit} bytes");
                return Err(self.error(classify::Failure::Malformed, &detail));
            }
        }
    }

    /// Sets another limit for the gaps that are still to come.
    pub(crate) fn limit_gap(&self, gap: Duration) {
        self.watch.limit_gap(gap);
    }

    /// The error for a failure seen in this body.
    pub(crate) fn error(&self, failure: classify::Failure, detail: &str) -> classify::CallError {
        classify::CallError::new(&self.address, failure, detail)
    }

    fn ended_whole(&mut self) {
        if let (Some(connection), Some(keep)) = (self.connection.take(), &self.keep) {
            keep.give_back(&self.address, connection);
        }
    }
}
