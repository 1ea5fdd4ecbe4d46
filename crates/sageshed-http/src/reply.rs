//! The answer to one request: whole, refused or streamed.

use std::{
    fmt::Write as _,
    sync::{self, atomic},
};

use derive_more::{Display, Error};
use sageshed_types::{framing, refusal};

use crate::{deferred, handler, link, problem, server};

/// An answer this large, in bytes, is not copied behind its head but written after it.
const COPIED_BYTES: usize = 64 * 1024;

/// What an answer begins with.
#[derive(Debug, Clone, Copy)]
pub struct Head<'a> {
    /// Sent as `Sageshed-Request-Id`; none is sent if it is empty.
    pub request_id: &'a str,
    /// HTTP status, 200 to 599.
    pub status: u16,
    /// `Content-Type`; none is sent if it is empty.
    pub content_type: &'a str,
    /// Further headers. Those about framing and connection are left out, but for the length in an answer to HEAD, and
    /// so is one that holds a control character: it could start an answer of its own.
    pub headers: &'a [(&'a str, &'a str)],
}

/// A whole answer without a request id, for the ports that give none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Whole {
    /// HTTP status, 200 to 599.
    pub status: u16,
    /// `Content-Type`.
    pub content_type: &'static str,
    /// The body.
    pub body: Vec<u8>,
}

impl Whole {
    pub(crate) fn head(&self) -> Head<'static> {
        Head {
            request_id: "",
            status: self.status,
            content_type: self.content_type,
            headers: &[],
        }
    }
}

/// The caller left before the answer was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("writing to the caller: it has left or does not read")]
pub struct CallerGone;

/// Proof that a request was answered, or will be. Only [`Reply`] and [`Stream`] make one.
#[derive(Debug)]
#[must_use = "hand it back from Handler::handle"]
pub struct Sent {
    outcome: Outcome,
}

/// What became of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Its last byte was handed to the connection.
    Whole,
    /// It broke off.
    Cut,
    /// It is given later.
    Deferred,
}

impl Sent {
    /// Whether the last byte was handed to the connection. It does not prove that the caller read it.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.outcome == Outcome::Whole
    }

    pub(crate) fn outcome(&self) -> Outcome {
        self.outcome
    }

    fn written(result: Result<(), CallerGone>) -> Self {
        Self {
            outcome: result.map_or(Outcome::Cut, |()| Outcome::Whole),
        }
    }
}

/// The state of one answer, kept by the connection.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) link: sync::Arc<link::Link>,
    pub(crate) draining: sync::Arc<atomic::AtomicBool>,
    pub(crate) manner: Manner,
    pub(crate) progress: Progress,
    /// Whether only the end of the connection delimits the body.
    pub(crate) until_close: bool,
    /// Where an answer is put that is given later, for this connection.
    pub(crate) deferred: sync::Arc<deferred::Queue>,
    pub(crate) connection: u64,
    pub(crate) gate: sync::Arc<server::Gate>,
}

/// What an answer needs to know of its request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Manner {
    /// Whether the caller speaks HTTP/1.0.
    pub(crate) old: bool,
    /// Whether the answer has no body, since the request was a HEAD or by the status of a stream.
    pub(crate) head_only: bool,
    /// Whether the connection is kept for another request.
    pub(crate) keep: bool,
}

impl Manner {
    /// For a request that was not understood: HTTP/1.1, and the connection ends.
    pub(crate) const LAST: Self = Self {
        old: false,
        head_only: false,
        keep: false,
    };
}

/// How far an answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// No byte of it went out.
    Unanswered,
    /// Some did.
    Begun,
    /// The caller is past reading.
    Gone,
}

impl Exchange {
    fn write(&mut self, bytes: &[u8]) -> Result<(), CallerGone> {
        if self.progress == Progress::Gone {
            return Err(CallerGone);
        }
        self.progress = Progress::Begun;
        if self.link.write(bytes).is_err() {
            self.progress = Progress::Gone;
            self.manner.keep = false;
            return Err(CallerGone);
        }
        Ok(())
    }

    /// Has only the end of the connection delimit the body. Until [`Exchange::end_until_close`], whatever closes the connection
    /// resets it: the system of a process that is killed would otherwise end it in good order, and the caller would take the
    /// part that it has received for the whole.
    fn begin_until_close(&mut self) {
        self.until_close = true;
        self.manner.keep = false;
        self.link.reset_on_close();
    }

    /// Ends a body that only the end of the connection delimits.
    fn end_until_close(&self) {
        if self.until_close && self.progress != Progress::Gone {
            self.link.close_in_good_order();
            self.link.stop_writing();
        }
    }

    /// Connections melt away while the process drains or gets too little processor time: each answer is then the last on
    /// its own.
    fn settle_keep(&mut self) {
        if self.draining.load(atomic::Ordering::Relaxed) || self.gate.is_overloaded() {
            self.manner.keep = false;
        }
    }

    /// The whole answer.
    pub(crate) fn encode(&mut self, head: &Head<'_>, body: &[u8]) -> Vec<u8> {
        let mut bytes = self.encode_head(head, body.len());
        bytes.extend_from_slice(self.body_of(head, body));
        bytes
    }

    fn encode_head(&mut self, head: &Head<'_>, length: usize) -> Vec<u8> {
        self.settle_keep();
        let length = self.told_length(head, length as u64);
        let framing = length.map(|it| format!("Content-Length: {it}\r\n"));
        self.head(head, &framing.unwrap_or_default())
    }

    /// The length that is sent with a body of `length` bytes. An answer to HEAD may tell the length of the answer to
    /// GET (RFC 9110, section 8.6).
    fn told_length(&self, head: &Head<'_>, length: u64) -> Option<u64> {
        match head.status {
            status if is_bodiless(status) || self.until_close => None,
            _ if self.manner.head_only && length == 0 => passed_length(head),
            _ => Some(length),
        }
    }

    /// What of a body is sent.
    fn body_of<'b>(&self, head: &Head<'_>, body: &'b [u8]) -> &'b [u8] {
        if is_bodiless(head.status) || self.manner.head_only {
            &[]
        } else {
            body
        }
    }

    fn head(&self, head: &Head<'_>, framing: &str) -> Vec<u8> {
        let mut text = format!("HTTP/1.1 {} {}\r\n", head.status, phrase(head.status));
        if !head.request_id.is_empty() {
            push(&mut text, "Sageshed-Request-Id", head.request_id);
        }
        if !head.content_type.is_empty() {
            push(&mut text, "Content-Type", head.content_type);
        }
        for (name, value) in head.headers {
            if !is_own(name) {
                push(&mut text, name, value);
            }
        }
        text.push_str(framing);
        match (self.manner.keep, self.manner.old) {
            (false, _) => text.push_str("Connection: close\r\n"),
            (true, true) => text.push_str("Connection: keep-alive\r\n"),
            (true, false) => {}
        }
        text.push_str("\r\n");
        text.into_bytes()
    }
}

/// The way to answer one request.
#[derive(Debug)]
pub struct Reply<'c> {
    pub(crate) ex: &'c mut Exchange,
}

impl<'c> Reply<'c> {
    /// Whether the caller has closed its connection. Cheap, does not block; for a handler that
    /// waits.
    ///
    /// The end of the caller's input counts as gone. A caller might close only its sending half and
    /// read on, but nothing tells that from one that has left, usual clients never do it, and running
    /// a model for nobody costs others their answers. While the next request of the same connection
    /// waits unread, the answer is "no": the end behind it cannot be seen yet.
    #[must_use]
    pub fn caller_gone(&self) -> bool {
        self.ex.progress == Progress::Gone || self.ex.link.is_gone()
    }

    /// A look at the connection for another thread, while this one is blocked elsewhere.
    #[must_use]
    pub fn watch(&self) -> Watch {
        Watch {
            link: sync::Arc::clone(&self.ex.link),
        }
    }

    /// Tells that the request is started: from now on it mostly waits for others. Until then it counts against the
    /// requests that are started at once.
    pub fn end_start(&self) {
        self.ex.gate.end_start(self.ex.connection);
    }

    /// As [`Reply::whole`], for a body that the endpoint has delimited by the end of its connection only. It is delimited
    /// in the same way for the caller: a length would say that it is whole, which nobody knows.
    pub fn whole_until_close(self, head: &Head<'_>, body: &[u8]) -> Sent {
        self.ex.begin_until_close();
        self.whole(head, body)
    }

    /// Answers with a whole body.
    pub fn whole(self, head: &Head<'_>, body: &[u8]) -> Sent {
        let ex = self.ex;
        let sent = Sent::written(if body.len() <= COPIED_BYTES {
            let bytes = ex.encode(head, body);
            ex.write(&bytes)
        } else {
            let bytes = ex.encode_head(head, body.len());
            let body = ex.body_of(head, body);
            ex.write(&bytes).and_then(|()| ex.write(body))
        });
        ex.end_until_close();
        sent
    }

    /// Answers with what was made elsewhere.
    pub fn made(self, answer: &Whole) -> Sent {
        self.whole(&answer.head(), &answer.body)
    }

    /// Answers later, from any thread. The connection holds no thread until then.
    pub fn defer(self) -> (Sent, deferred::Deferred) {
        let queue = sync::Arc::clone(&self.ex.deferred);
        let sent = Sent {
            outcome: Outcome::Deferred,
        };
        (sent, deferred::Deferred::new(queue, self.ex.connection))
    }

    /// Refuses, with the account as the body.
    pub fn refusal(self, request_id: &str, refusal: &refusal::Refusal) -> Sent {
        self.refusal_with(request_id, refusal, &[])
    }

    /// As [`Reply::refusal`], with further headers: a 405 needs an `Allow`, for example.
    pub fn refusal_with(
        self,
        request_id: &str,
        refusal: &refusal::Refusal,
        further: &[(&str, &str)],
    ) -> Sent {
        let body = problem::body(request_id, refusal);
        self.refusal_as(request_id, refusal, further, &body)
    }

    /// Refuses a request that its handler did not see.
    pub(crate) fn early(self, stamped: &handler::Stamped, body: &[u8]) -> Sent {
        self.refusal_as(&stamped.request_id, &stamped.refusal, &[], body)
    }

    fn refusal_as(
        self,
        request_id: &str,
        refusal: &refusal::Refusal,
        further: &[(&str, &str)],
        body: &[u8],
    ) -> Sent {
        let owned = problem::headers(refusal);
        let mut headers: Vec<_> = owned
            .iter()
            .map(|(name, value)| (*name, value.as_str()))
            .collect();
        headers.extend_from_slice(further);
        let head = Head {
            request_id,
            status: refusal.status,
            content_type: problem::CONTENT_TYPE,
            headers: &headers,
        };
        self.whole(&head, body)
    }

    /// Begins a streamed answer: the head goes out at once.
    ///
    /// After it no refusal can be sent, so begin when the first bytes are at hand. If the caller has
    /// left, the first [`Stream::send`] says so.
    #[must_use]
    pub fn stream(self, head: &Head<'_>) -> Stream<'c> {
        let ex = self.ex;
        ex.settle_keep();
        // HTTP/1.0 has no chunks.
        if ex.manner.old {
            ex.begin_until_close();
        }
        let framing = if ex.until_close || is_bodiless(head.status) {
            ""
        } else {
            "Transfer-Encoding: chunked\r\n"
        };
        ex.manner.head_only |= is_bodiless(head.status);
        let bytes = ex.head(head, framing);
        let stream = Stream { ex };
        if stream.ex.write(&bytes).is_err() {
            log::debug!("http: caller left before its stream began");
        }
        stream
    }

    /// As [`Reply::stream`], delimited as in [`Reply::whole_until_close`].
    #[must_use]
    pub fn stream_until_close(self, head: &Head<'_>) -> Stream<'c> {
        self.ex.begin_until_close();
        self.stream(head)
    }
}

/// A look at a caller's connection from another thread.
#[derive(Debug, Clone)]
pub struct Watch {
    link: sync::Arc<link::Link>,
}

impl Watch {
    /// As [`Reply::caller_gone`].
    #[must_use]
    pub fn caller_gone(&self) -> bool {
        self.link.is_gone()
    }
}

/// A streamed answer under way.
///
/// Dropped without [`Stream::finish`], it is aborted.
#[derive(Debug)]
pub struct Stream<'c> {
    ex: &'c mut Exchange,
}

impl Stream<'_> {
    /// Sends one chunk at once. An empty one is left out: it would mean the end.
    pub fn send(&mut self, bytes: &[u8]) -> Result<(), CallerGone> {
        if self.ex.progress == Progress::Gone {
            return Err(CallerGone);
        }
        if bytes.is_empty() || self.ex.manner.head_only {
            return Ok(());
        }
        if self.ex.until_close {
            return self.ex.write(bytes);
        }
        let mut framed = format!("{:x}\r\n", bytes.len()).into_bytes();
        framed.extend_from_slice(bytes);
        framed.extend_from_slice(b"\r\n");
        self.ex.write(&framed)
    }

    /// Whether the caller has closed its connection, as [`Reply::caller_gone`].
    #[must_use]
    pub fn caller_gone(&self) -> bool {
        self.ex.progress == Progress::Gone || self.ex.link.is_gone()
    }

    /// What tells the caller where the answer ends.
    #[must_use]
    pub fn delimiter(&self) -> framing::Delimiter {
        if self.ex.manner.head_only {
            framing::Delimiter::NoBody
        } else if self.ex.until_close {
            framing::Delimiter::Connection
        } else {
            framing::Delimiter::Chunks
        }
    }

    /// Ends the answer: the caller has it whole.
    pub fn finish(self) -> Sent {
        let written = if self.ex.until_close || self.ex.manner.head_only {
            self.ex.write(b"")
        } else {
            self.ex.write(b"0\r\n\r\n")
        };
        self.ex.end_until_close();
        Sent::written(written)
    }

    /// Ends the connection in the middle of the answer, so that the caller cannot take what it has
    /// for the whole.
    ///
    /// The last chunk is missing, which every client reports. Where only the end of the connection delimits the answer,
    /// an orderly close means that it is whole, so there the connection is reset.
    pub fn abort(self) -> Sent {
        Sent {
            outcome: Outcome::Cut,
        }
    }
}

/// The length among the further headers of an answer.
fn passed_length(head: &Head<'_>) -> Option<u64> {
    let lengths = |it: &&(&str, &str)| it.0.eq_ignore_ascii_case("content-length");
    let (_, length) = head.headers.iter().find(lengths)?;
    framing::digits(length.as_bytes())
}

/// Whether answers with this status have no body.
fn is_bodiless(status: u16) -> bool {
    matches!(status, 204 | 304)
}

/// Whether this package writes the header itself.
fn is_own(name: &str) -> bool {
    const OWN: [&str; 6] = [
        "connection",
        "content-length",
        "content-type",
        "keep-alive",
        "sageshed-request-id",
        "transfer-encoding",
    ];
    OWN.iter().any(|own| name.eq_ignore_ascii_case(own))
}

/// Adds a header, unless it holds a control character: a line end in a value that came from an
/// endpoint would let that endpoint write headers, or a whole answer, of its own.
fn push(text: &mut String, name: &str, value: &str) {
    let safe = |part: &str| part.chars().all(|c| c == '\t' || !c.is_control());
    let named = !name.is_empty() && !name.contains([':', ' ', '\t']);
    if !named || !safe(name) || !safe(value) {
        log::warn!(name; "http: header with control characters left out");
        return;
    }
    write!(text, "{name}: {value}\r\n").expect("a string takes all text");
}

/// The reason phrase of a status. Clients ignore it; people read it.
fn phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        304 => "Not Modified",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        414 => "URI Too Long",
        417 => "Expectation Failed",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        507 => "Insufficient Storage",
        _ => "Other",
    }
}
