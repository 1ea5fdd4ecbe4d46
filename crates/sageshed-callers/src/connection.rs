//! The life of one connection: read a request, have it answered, and again.

use std::{net, panic, sync, time};

use sageshed_types::{refusal, verdict};

use crate::{
    body, handler, head, limits,
    link::{self, Fill},
    reply, request, server,
};

/// What a caller that waits for a go-ahead is sent.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// How long a connection is still read from once idle ones are to end.
const LAST_CALL: time::Duration = time::Duration::from_millis(100);

/// Everything that one connection's thread needs.
#[derive(Debug)]
pub(crate) struct Connection<H> {
    pub(crate) link: sync::Arc<link::Link>,
    pub(crate) input: link::Input,
    pub(crate) peer: net::SocketAddr,
    pub(crate) limits: sync::Arc<limits::Limits>,
    pub(crate) shared: sync::Arc<server::Shared>,
    pub(crate) handler: sync::Arc<H>,
}

/// What came of waiting for a request.
enum Arrival {
    /// A whole one, and what the answer needs to know of it.
    Whole(Box<request::Request>, reply::Manner),
    /// One that is refused; the connection ends with it.
    Refused(refusal::Refusal),
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
}

impl<H: handler::Handler> Connection<H> {
    /// Serves requests until the connection ends.
    pub(crate) fn serve(mut self) {
        loop {
            let next = match self.next() {
                Arrival::Whole(req, manner) => self.answer(*req, manner),
                Arrival::Refused(refusal) => self.refuse(refusal),
                Arrival::Ended => Next::Cut,
            };
            match next {
                Next::Again => self.input.shrink(),
                Next::Close => return self.link.close_gently(),
                // Dropping the last hold on the socket closes it.
                Next::Cut => return,
            }
        }
    }

    fn next(&mut self) -> Arrival {
        if !self.wait_for_first_byte() {
            return Arrival::Ended;
        }
        let received = time::Instant::now();
        let head = match self.read_head(received + self.limits.head_timeout) {
            Ok(head) => head,
            Err(cut) => return cut.into(),
        };
        match self.read_body(&head) {
            Ok(body) => self.whole(head, body, received),
            Err(cut) => cut.into(),
        }
    }

    /// Waits between two requests. A connection that ends or stays silent here is just closed: no
    /// request was begun, so there is nothing to refuse.
    fn wait_for_first_byte(&mut self) -> bool {
        if !self.input.buf.is_empty() {
            return true;
        }
        self.link.set_idle(true);
        // A connection that was accepted last may have its request on the way in already: it is not
        // idle, only not read yet, and ending it would cut that request.
        let patience = if self.shared.closes_idle() {
            LAST_CALL
        } else {
            self.limits.idle_timeout
        };
        let filled = self.input.fill_within(&self.link, patience);
        self.link.set_idle(false);
        filled == Fill::More
    }

    fn read_head(&mut self, until: time::Instant) -> Result<head::Head, body::Cut> {
        let mut seen = 0;
        loop {
            // A head grows line by line: parsing only at line ends keeps a caller that sends single
            // bytes from costing a parse for each.
            if seen == 0 || self.input.buf[seen..].contains(&b'\n') {
                match head::parse(&self.input.buf)? {
                    head::Parsed::Head(head, len) if len <= self.limits.head_bytes => {
                        self.input.consume(len);
                        return Ok(*head);
                    }
                    head::Parsed::Head(..) => return Err(self.large_head().into()),
                    head::Parsed::Partial => {}
                }
            }
            if self.input.buf.len() >= self.limits.head_bytes {
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
        let limit = self.limits.head_bytes;
        let line = self.input.buf.iter().position(|&byte| byte == b'\n');
        let (status, what) = match line {
            Some(end) if end < limit => (431, "the head of the request"),
            _ => (414, "the request line"),
        };
        let detail = format!("{what} is larger than {limit} bytes");
        head::with_status(status, verdict::Reason::TooLarge, detail)
    }

    fn slow_head(&self) -> refusal::Refusal {
        let limit = self.limits.head_timeout.as_millis();
        let detail = format!("the head of the request did not arrive within {limit} ms");
        refusal::Refusal::not_run(verdict::Reason::RequestTimeout, detail)
    }

    fn read_body(&mut self, head: &head::Head) -> Result<Vec<u8>, body::Cut> {
        if let head::Framing::Length(length) = head.framing {
            body::within_limit(&self.limits, length)?;
        }
        if head.expects_continue && self.input.buf.is_empty() && head.has_body() {
            self.link
                .write(CONTINUE)
                .map_err(|_unwritable| body::Cut::Broken)?;
        }
        let mut reader = body::Reader {
            link: &self.link,
            input: &mut self.input,
            limits: &self.limits,
            until: time::Instant::now() + self.limits.body_timeout,
        };
        match head.framing {
            head::Framing::Length(length) => reader.by_length(length),
            head::Framing::Chunked => reader.by_chunks(),
        }
    }

    fn whole(&self, head: head::Head, body: Vec<u8>, received: time::Instant) -> Arrival {
        let manner = reply::Manner {
            old: head.old,
            head_only: head.method == "HEAD",
            keep: head.keep_alive,
        };
        let req = request::Request {
            method: head.method,
            path: head.path,
            query: head.query,
            bearer: head.known.bearer,
            idempotency_key: head.known.idempotency_key,
            repeatable: head.known.repeatable,
            deadline: head.known.deadline,
            class: head.known.class,
            content_type: head.known.content_type,
            headers: head.headers,
            body,
            received,
            peer: self.peer,
        };
        Arrival::Whole(req.into(), manner)
    }

    fn exchange(&self, manner: reply::Manner) -> reply::Exchange {
        reply::Exchange {
            link: sync::Arc::clone(&self.link),
            draining: sync::Arc::clone(&self.shared.draining),
            manner,
            progress: reply::Progress::Unanswered,
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
        log::error!(peer:% = self.peer; "callers: handler panicked");
        if ex.progress != reply::Progress::Unanswered {
            return Next::Cut;
        }
        ex.manner.keep = false;
        let refusal = refusal::Refusal::new(
            verdict::Reason::Internal,
            verdict::Verdict::MayHaveRun,
            "a fault inside the system stopped the request",
        );
        self.send_early(ex, refusal)
    }

    fn refuse(&self, refusal: refusal::Refusal) -> Next {
        log::debug!(peer:% = self.peer, reason:% = refusal.reason; "callers: request refused early");
        let mut ex = self.exchange(reply::Manner::LAST);
        self.send_early(&mut ex, refusal)
    }

    fn send_early(&self, ex: &mut reply::Exchange, refusal: refusal::Refusal) -> Next {
        let stamped = self.handler.refuse_early(refusal);
        let reply = reply::Reply { ex };
        let sent = reply.refusal(&stamped.request_id, &stamped.refusal);
        if sent.is_whole() {
            Next::Close
        } else {
            Next::Cut
        }
    }
}

fn after(ex: &reply::Exchange, sent: &reply::Sent) -> Next {
    match (sent.is_whole(), ex.manner.keep) {
        (true, true) => Next::Again,
        (true, false) => Next::Close,
        (false, _) => Next::Cut,
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
