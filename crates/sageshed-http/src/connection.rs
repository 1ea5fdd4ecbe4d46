//! The life of one connection: read a request, have it answered, and again.

use std::{net, panic, sync, time};

use sageshed_types::{body::Body, refusal, shared_memory::SharedMemory, verdict};

use crate::{
    body, handler, head, limits,
    link::{self, Fill},
    overflow, reply, request, server,
};

/// What a caller that waits for a go-ahead is sent.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The shortest time in which a body has to arrive.
const MIN_BODY_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// What a caller is told of a handler that panicked.
const FAULT: &str = "a fault inside the system stopped the request";

/// A connection, and everything that a thread needs to serve it.
#[derive(Debug)]
pub(crate) struct Connection<H> {
    pub(crate) link: sync::Arc<link::Link>,
    pub(crate) input: link::Input,
    pub(crate) peer: net::SocketAddr,
    pub(crate) limits: sync::Arc<limits::Limits>,
    /// The limits that its latest request goes by.
    pub(crate) callers: limits::CallerLimits,
    pub(crate) shared: sync::Arc<server::Shared>,
    pub(crate) handler: sync::Arc<H>,
    /// Whether no request has begun on it.
    pub(crate) is_new: bool,
    /// When its next request has arrived, if that waits for its start.
    pub(crate) arrived: Option<time::Instant>,
    /// Dropped with the connection.
    pub(crate) place: server::Place,
}

/// What becomes of a connection once its thread has nothing more to do for it.
#[derive(Debug)]
pub(crate) enum After<H> {
    /// It waits for the next request.
    Idle(Connection<H>),
    /// It waits for a deferred answer.
    Deferred(Connection<H>, reply::Manner),
    /// It has ended.
    Ended,
}

/// What the head says of the body and the answer.
struct Incoming {
    framing: head::Framing,
    /// Whether the caller waits for a go-ahead before it sends the body.
    expects_continue: bool,
    manner: reply::Manner,
}

impl Incoming {
    fn of(head: &head::Head) -> Self {
        Self {
            framing: head.framing,
            expects_continue: head.expects_continue,
            manner: reply::Manner {
                old: head.old,
                head_only: head.method == "HEAD",
                keep: head.keep_alive,
            },
        }
    }

    /// Whether the body is among the `buffered` bytes that have been read after the head.
    fn has_arrived(&self, buffered: usize) -> bool {
        matches!(self.framing, head::Framing::Length(length) if length <= buffered as u64)
    }

    fn has_body(&self) -> bool {
        self.framing != head::Framing::Length(0)
    }
}

/// What came of waiting for a request.
enum Arrival {
    /// A whole one, and what the answer needs to know of it.
    Whole(Box<request::Request>, reply::Manner),
    /// One that is refused; the connection ends with it.
    Refused(refusal::Refusal),
    /// One that the handler answered by its head; the connection ends with it.
    Answered(reply::Whole),
    /// None: the connection ends.
    Ended,
}

/// What to do with a connection after an answer.
enum Next {
    /// Read another request.
    Again,
    /// Close it once the caller has read the answer.
    Close,
    /// Close it at once: the answer is cut, or nobody reads it.
    Cut,
    /// Keep it until the answer is given.
    Defer(reply::Manner),
}

impl<H: handler::Handler> Connection<H> {
    /// Serves requests until no more has come, an answer is deferred or the connection ends.
    pub(crate) fn serve(mut self) -> After<H> {
        loop {
            let next = match self.next() {
                Arrival::Whole(req, manner) => self.answer(*req, manner),
                Arrival::Refused(refusal) => self.refuse(refusal),
                Arrival::Answered(answer) => self.answer_early(&answer),
                Arrival::Ended => Next::Cut,
            };
            self.shared.gate.end_start(self.place.id);
            match next {
                Next::Again => self.input.shrink(),
                Next::Close => {
                    self.link.close_gently();
                    return After::Ended;
                }
                // Dropping the last hold on the socket closes it.
                Next::Cut => return After::Ended,
                Next::Defer(manner) => return After::Deferred(self, manner),
            }
            if self.input.buf.is_empty() {
                return After::Idle(self);
            }
        }
    }

    /// The bytes of a deferred answer, and whether the connection is kept after it.
    pub(crate) fn encode(&self, manner: reply::Manner, answer: &reply::Whole) -> (Vec<u8>, bool) {
        let mut ex = self.exchange(manner);
        let bytes = ex.encode(&answer.head(), &answer.body);
        (bytes, ex.manner.keep)
    }

    /// Sends the rest of a deferred answer.
    pub(crate) fn send_rest(mut self, bytes: &[u8], keep: bool) -> After<H> {
        if self.link.write(bytes).is_err() {
            return After::Ended;
        }
        if !keep {
            self.link.close_gently();
            return After::Ended;
        }
        self.input.shrink();
        if self.input.buf.is_empty() {
            return After::Idle(self);
        }
        self.serve()
    }

    fn next(&mut self) -> Arrival {
        self.callers = self.shared.caller_limits();
        if !self.wait_for_first_byte() {
            return Arrival::Ended;
        }
        let received = self.arrived.take().unwrap_or_else(time::Instant::now);
        self.shared.counters.record_wait(received.elapsed());
        let head = match self.read_head(time::Instant::now() + self.callers.head_timeout) {
            Ok(head) => head,
            Err(cut) => return cut.into(),
        };
        let incoming = Incoming::of(&head);
        let mut req = self.request(head, received);
        if self.place.is_reserved && self.handler.yields(&req) {
            return Arrival::Refused(overflow::refusal(self.limits.connections));
        }
        let most = match self.admit(&req) {
            Ok(handler::Admission::Read) => self.callers.body_bytes,
            Ok(handler::Admission::ReadUpTo(most)) => most.min(self.callers.body_bytes),
            Ok(handler::Admission::Answer(answer)) => return Arrival::Answered(answer),
            Err(refusal) => return Arrival::Refused(refusal),
        };
        // Most bodies come with the head: the handler is asked for the time and priority of the others only.
        let (timeout, priority) = if incoming.has_arrived(self.input.buf.len()) {
            (self.limits.body_timeout, 0)
        } else {
            (self.body_timeout(&req), self.handler.body_priority(&req))
        };
        match self.read_body(&incoming, most, timeout, priority) {
            Ok(body) => req.body = body,
            Err(cut) => return cut.into(),
        }
        Arrival::Whole(req.into(), incoming.manner)
    }

    /// The time from now in which the body of `req` has to arrive. What has arrived already is read in any case.
    fn body_timeout(&self, req: &request::Request) -> time::Duration {
        let limit = self.limits.body_timeout;
        let given = self.handler.body_timeout(req).map(|it| {
            let left = it.saturating_sub(req.received.elapsed());
            left.max(MIN_BODY_TIMEOUT)
        });
        given.map_or(limit, |it| it.min(limit))
    }

    /// As with an answer, a panic must not leave the caller without a cause.
    fn admit(&self, req: &request::Request) -> Result<handler::Admission, refusal::Refusal> {
        let call = panic::AssertUnwindSafe(|| self.handler.admit(req));
        panic::catch_unwind(call).map_err(|_reported_by_the_panic_hook| {
            log::error!(peer:% = self.peer; "http: handler panicked");
            refusal::Refusal::not_run(verdict::Reason::Internal, FAULT)
        })
    }

    /// Reads the first bytes of a request. A connection that ends here is just closed: no request was
    /// begun, so there is nothing to refuse.
    fn wait_for_first_byte(&mut self) -> bool {
        let has_come = !self.input.buf.is_empty()
            || self
                .input
                .fill_within(&self.link, self.callers.head_timeout)
                == Fill::More;
        has_come && !self.shared.is_stopped()
    }

    fn read_head(&mut self, until: time::Instant) -> Result<head::Head, body::Cut> {
        let mut seen = 0;
        loop {
            // A head grows line by line: parsing only at line ends keeps a caller that sends single
            // bytes from costing a parse for each.
            if seen == 0 || self.input.buf[seen..].contains(&b'\n') {
                match head::parse(&self.input.buf)? {
                    head::Parsed::Head(head, len) if len <= self.callers.head_bytes => {
                        self.input.consume(len);
                        return Ok(*head);
                    }
                    head::Parsed::Head(..) => return Err(self.large_head().into()),
                    head::Parsed::Partial => {}
                }
            }
            if self.input.buf.len() >= self.callers.head_bytes {
                return Err(self.large_head().into());
            }
            seen = self.input.buf.len();
            match self.input.fill(&self.link, until) {
                Fill::More => {}
                Fill::Broken => return Err(body::Cut::Broken),
                Fill::Eof => return Err(head::bad("the connection ended inside the head").into()),
                Fill::TimedOut => return Err(self.slow_head().into()),
            }
        }
    }

    fn large_head(&self) -> refusal::Refusal {
        let limit = self.callers.head_bytes;
        let line = self.input.buf.iter().position(|&byte| byte == b'\n');
        let (status, what) = match line {
            Some(end) if end < limit => (431, "the head of the request"),
            _ => (414, "the request line"),
        };
        let detail = format!("{what} is larger than {limit} bytes");
        head::with_status(status, verdict::Reason::TooLarge, detail)
    }

    fn slow_head(&self) -> refusal::Refusal {
        let limit = self.callers.head_timeout.as_millis();
        let detail = format!("the head of the request did not arrive within {limit} ms");
        refusal::Refusal::not_run(verdict::Reason::RequestTimeout, detail)
    }

    fn read_body(
        &mut self,
        incoming: &Incoming,
        most: usize,
        timeout: time::Duration,
        priority: u8,
    ) -> Result<Body, body::Cut> {
        if let head::Framing::Length(length) = incoming.framing {
            body::within_limit(most, length)?;
        }
        if incoming.expects_continue && self.input.buf.is_empty() && incoming.has_body() {
            self.link
                .write(CONTINUE)
                .map_err(|_unwritable| body::Cut::Broken)?;
        }
        let reader = body::Reader {
            link: &self.link,
            input: &mut self.input,
            timeout,
            until: time::Instant::now() + timeout,
            most,
            memory: SharedMemory::reserve(&self.shared.bodies),
            priority,
        };
        match incoming.framing {
            head::Framing::Length(length) => reader.by_length(length),
            head::Framing::Chunked => reader.by_chunks(),
        }
    }

    /// The request without its body.
    fn request(&self, head: head::Head, received: time::Instant) -> request::Request {
        request::Request {
            method: head.method,
            path: head.path,
            query: head.query,
            credential: head.known.credential,
            idempotency_key: head.known.idempotency_key,
            repeatable: head.known.repeatable,
            deadline: head.known.deadline,
            class: head.known.class,
            content_type: head.known.content_type,
            headers: head.headers,
            body: Body::default(),
            received,
            peer: self.peer,
        }
    }

    fn exchange(&self, manner: reply::Manner) -> reply::Exchange {
        reply::Exchange {
            link: sync::Arc::clone(&self.link),
            draining: sync::Arc::clone(&self.shared.draining),
            manner,
            progress: reply::Progress::Unanswered,
            until_close: false,
            deferred: sync::Arc::clone(&self.shared.deferred),
            connection: self.place.id,
            gate: sync::Arc::clone(&self.shared.gate),
        }
    }

    /// A handler that panics must not leave its caller without an answer and without a cause: as far
    /// as nothing went out yet, the caller gets an account. What the handler had done by then is
    /// unknown, so the request may have run.
    fn answer(&self, req: request::Request, manner: reply::Manner) -> Next {
        let mut ex = self.exchange(manner);
        let reply = reply::Reply { ex: &mut ex };
        let call = panic::AssertUnwindSafe(|| self.handler.handle(req, reply));
        match panic::catch_unwind(call) {
            Ok(sent) => after(&ex, &sent),
            Err(_) => self.panicked(&mut ex),
        }
    }

    fn panicked(&self, ex: &mut reply::Exchange) -> Next {
        log::error!(peer:% = self.peer; "http: handler panicked");
        if ex.progress != reply::Progress::Unanswered {
            return Next::Cut;
        }
        ex.manner.keep = false;
        let refusal = refusal::Refusal::new(
            verdict::Reason::Internal,
            verdict::Verdict::MayHaveRun,
            FAULT,
        );
        self.send_early(ex, refusal)
    }

    fn refuse(&self, refusal: refusal::Refusal) -> Next {
        log::debug!(peer:% = self.peer, reason:% = refusal.reason; "http: request refused early");
        let mut ex = self.exchange(reply::Manner::LAST);
        self.send_early(&mut ex, refusal)
    }

    fn answer_early(&self, answer: &reply::Whole) -> Next {
        let mut ex = self.exchange(reply::Manner::LAST);
        let sent = reply::Reply { ex: &mut ex }.made(answer);
        after(&ex, &sent)
    }

    fn send_early(&self, ex: &mut reply::Exchange, refusal: refusal::Refusal) -> Next {
        let stamped = self.handler.refuse_early(refusal);
        let reply = reply::Reply { ex };
        let sent = reply.early(&stamped, &self.handler.early_body(&stamped));
        if sent.is_whole() {
            Next::Close
        } else {
            Next::Cut
        }
    }
}

fn after(ex: &reply::Exchange, sent: &reply::Sent) -> Next {
    match (sent.outcome(), ex.manner.keep) {
        (reply::Outcome::Whole, true) => Next::Again,
        (reply::Outcome::Whole, false) => Next::Close,
        (reply::Outcome::Cut, _) => Next::Cut,
        (reply::Outcome::Deferred, _) => Next::Defer(ex.manner),
    }
}

impl From<body::Cut> for Arrival {
    fn from(cut: body::Cut) -> Self {
        match cut {
            body::Cut::Refused(refusal) => Self::Refused(refusal),
            body::Cut::Broken => Self::Ended,
        }
    }
}
