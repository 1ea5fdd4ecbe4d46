//! One request and its answer.

use std::time;

use sageshed_types::{body::Body, framing, headers, joined_heads, status};

use crate::{
    body::{self, Framing},
    failure::{Cause, Failure},
    pool,
    socket::{Filled, Socket},
    unwritten::Unwritten,
};

pub use crate::{body::Piece, socket::Patience};

/// The longest time for which bytes of a head may arrive without a pause. An endpoint sends a head at once.
const HEAD_TIME: time::Duration = time::Duration::from_secs(1);

/// The most interim responses (RFC 9110, section 15.2) before an answer. None is asked for.
const INTERIM_RESPONSES: usize = 8;

/// A request as it goes out.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Every header but those of the connection and of the body's length.
    pub headers: Vec<(&'a str, &'a [u8])>,
    /// The body. An empty one is sent without a length where the method usually has none.
    pub body: Body,
}

impl Request<'_> {
    pub(crate) fn head(&self) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.target).into_bytes();
        for (name, value) in &self.headers {
            head.extend_from_slice(name.as_bytes());
            head.extend_from_slice(b": ");
            head.extend_from_slice(value);
            head.extend_from_slice(b"\r\n");
        }
        let has_none = matches!(self.method, "GET" | "HEAD" | "DELETE" | "OPTIONS" | "TRACE");
        if !self.body.is_empty() || !has_none {
            let length = format!("Content-Length: {}\r\n", self.body.len());
            head.extend_from_slice(length.as_bytes());
        }
        head.extend_from_slice(b"\r\n");
        head
    }
}

/// The head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The status, 200 to 599.
    pub status: u16,
    /// Its headers, as sent.
    pub headers: Vec<(String, Vec<u8>)>,
}

impl Head {
    /// The value of the header of this name, in any case.
    #[must_use]
    pub fn value(&self, name: &str) -> headers::Value<'_> {
        headers::Value::of(self.values(name))
    }

    /// The values of all headers of this name, in any case.
    fn values<'h>(&'h self, name: &str) -> impl Iterator<Item = &'h [u8]> {
        let named = move |it: &&(String, Vec<u8>)| it.0.eq_ignore_ascii_case(name);
        self.headers.iter().filter(named).map(|it| it.1.as_slice())
    }

    fn has_option(&self, header: &str, option: &str) -> bool {
        self.values(header)
            .flat_map(|value| value.split(|&byte| byte == b','))
            .any(|it| it.trim_ascii().eq_ignore_ascii_case(option.as_bytes()))
    }
}

/// What delimits a body of which nothing was read.
fn delimiter_of(framing: Framing) -> framing::Delimiter {
    match framing {
        Framing::Ended => framing::Delimiter::NoBody,
        Framing::Length(_) => framing::Delimiter::Length,
        Framing::UntilClose => framing::Delimiter::Connection,
        Framing::ChunkSize | Framing::Chunk(_) | Framing::ChunkEnd | Framing::Trailer => {
            framing::Delimiter::Chunks
        }
    }
}

/// An exchange of which the head has come.
#[derive(Debug)]
pub struct Exchange {
    socket: Socket,
    /// The head of the answer.
    pub head: Head,
    framing: Framing,
    delimiter: framing::Delimiter,
    is_head_request: bool,
    keeps: bool,
    /// Whether the connection had carried another request before.
    pub is_reused: bool,
}

/// A request of which a part or all was sent, and whose answer has not begun.
#[derive(Debug)]
pub struct Sent {
    socket: Socket,
    /// The request, until it is written.
    unwritten: Unwritten,
    is_head_request: bool,
    /// The interim responses that have come.
    interim: usize,
    /// Whether the connection may carry another request, if the head of the answer allows it.
    keeps: bool,
    is_reused: bool,
}

/// A head that has not come.
#[derive(Debug)]
pub struct Unanswered {
    /// Why the wait for it has ended.
    pub failure: Failure,
    /// The request, where the wait has only ended by the patience of whoever waits and can go on.
    pub sent: Option<Box<Sent>>,
}

impl Sent {
    /// Sends `req` on a connection. If the patience ends once a part is written, [`Self::head`] writes the rest.
    pub(crate) fn write<S: Fn() -> bool>(
        socket: Socket,
        req: &Request<'_>,
        patience: &Patience<'_, S>,
        is_reused: bool,
    ) -> Result<Self, Failure> {
        let unwritten = Unwritten::new(req);
        let mut socket = socket;
        socket.begin_request();
        let mut sent = Self {
            socket,
            unwritten,
            is_head_request: req.method == "HEAD",
            interim: 0,
            keeps: true,
            is_reused,
        };
        match sent.write_rest(patience) {
            Err(failure) if !failure.is_sent || !failure.is_wait_over() => Err(failure),
            Ok(()) | Err(_) => Ok(sent),
        }
    }

    fn write_rest<S: Fn() -> bool>(&mut self, patience: &Patience<'_, S>) -> Result<(), Failure> {
        let is_read = self.unwritten.write(&mut self.socket, patience)?;
        self.keeps = self.keeps && is_read;
        self.unwritten = Unwritten::default();
        Ok(())
    }

    /// Whether the endpoint has gone on: a part of the answer has arrived, or more of the request can be written. Does
    /// not block.
    #[must_use]
    pub fn goes_on(&self) -> bool {
        self.socket.has_input() || (!self.unwritten.is_empty() && self.socket.is_writable())
    }

    /// Whether nothing was read of the answer for `span`.
    #[must_use]
    pub fn is_pausing(&self, span: time::Duration) -> bool {
        self.socket.is_pausing(span)
    }

    /// Whether the connection is open and nothing has come on it. Does not block.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        self.socket.is_quiet()
    }

    /// Waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Where no head comes.
    pub fn head<S: Fn() -> bool>(
        mut self,
        patience: &Patience<'_, S>,
    ) -> Result<Exchange, Unanswered> {
        let head = self
            .write_rest(patience)
            .and_then(|()| self.read_head(patience));
        if let Ok((_, framing)) = &head {
            self.socket.observes_end = *framing == Framing::UntilClose;
        }
        match head {
            Ok((head, framing)) => Ok(Exchange {
                keeps: self.keeps && !head.has_option("connection", "close"),
                socket: self.socket,
                head,
                framing,
                delimiter: delimiter_of(framing),
                is_head_request: self.is_head_request,
                is_reused: self.is_reused,
            }),
            Err(failure) => {
                let sent = failure.is_wait_over().then(|| Box::new(self));
                Err(Unanswered { failure, sent })
            }
        }
    }

    fn read_head<S: Fn() -> bool>(
        &mut self,
        patience: &Patience<'_, S>,
    ) -> Result<(Head, Framing), Failure> {
        loop {
            match parse(&mut self.socket, self.is_head_request)? {
                // Says only that the body may be sent, which it is.
                Some(Parsed::Interim) => {
                    self.interim += 1;
                    if self.interim > INTERIM_RESPONSES {
                        return Err(Failure::malformed(&"too many interim responses"));
                    }
                    continue;
                }
                Some(Parsed::Final(_, Framing::UntilClose)) if self.socket.is_relayed => {
                    let detail = "a response without a length can't be relayed: its end can't be told from the relay's";
                    return Err(Failure::malformed(&detail));
                }
                Some(Parsed::Final(head, framing)) => return Ok((head, framing)),
                None => {}
            }
            if self.socket.buf.len() > headers::MAX_ANSWER_HEAD_BYTES {
                return Err(Failure::malformed(&"the head of the answer is too large"));
            }
            if self.socket.flowing_for() >= HEAD_TIME {
                return Err(Failure::malformed(&"the head of the answer does not end"));
            }
            if self.socket.fill(patience)? == Filled::End {
                let detail = "the connection ended before the head";
                return Err(Failure::sent(Cause::ClosedBeforeAnswer, &detail));
            }
        }
    }
}

impl Exchange {
    /// Whether it goes through another process.
    #[must_use]
    pub fn is_relayed(&self) -> bool {
        self.socket.is_relayed
    }

    /// Whether nothing was read of the answer for `span`.
    #[must_use]
    pub fn is_pausing(&self, span: time::Duration) -> bool {
        self.socket.is_pausing(span)
    }

    /// Whether more of the answer has arrived than was read. Does not block.
    #[must_use]
    pub fn has_input(&self) -> bool {
        self.socket.has_input()
    }

    /// Reads on in the body.
    ///
    /// # Errors
    ///
    /// Where the body does not come whole. The connection is of no use any more, unless only the `patience` has ended:
    /// then the body may be read on.
    pub fn read<S: Fn() -> bool>(&mut self, patience: &Patience<'_, S>) -> Result<Piece, Failure> {
        let piece = body::read(&mut self.socket, &mut self.framing, patience);
        // A read that has only ended by the patience of whoever waits may be repeated.
        let is_sound = match &piece {
            Ok(_) => true,
            Err(e) => e.is_wait_over(),
        };
        self.keeps = self.keeps && !self.ends_with_connection() && is_sound;
        piece
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// Where it does not come whole, or is larger than `most` bytes.
    pub fn read_whole<S: Fn() -> bool>(
        &mut self,
        most: usize,
        patience: &Patience<'_, S>,
    ) -> Result<Vec<u8>, Failure> {
        let too_large = || Failure::malformed(&format!("the answer is larger than {most} bytes"));
        if self.length().is_some_and(|it| it > most as u64) {
            return Err(too_large());
        }
        let mut body = Vec::new();
        while let Piece::Bytes(bytes) = self.read(patience)? {
            body.extend(bytes);
            if body.len() > most {
                return Err(too_large());
            }
        }
        Ok(body)
    }

    /// Passes over this answer, which belongs to an earlier request. The answer to the request is still to come.
    ///
    /// # Errors
    ///
    /// Where no further one can come.
    pub fn pass_over<S: Fn() -> bool>(
        mut self,
        most: usize,
        patience: &Patience<'_, S>,
    ) -> Result<Sent, Failure> {
        self.read_whole(most, patience)?;
        if !self.keeps {
            let detail = "only the answer to another request came";
            return Err(Failure::sent(Cause::ClosedBeforeAnswer, &detail));
        }
        Ok(Sent {
            unwritten: Unwritten::default(),
            socket: self.socket,
            is_head_request: self.is_head_request,
            interim: 0,
            keeps: true,
            is_reused: self.is_reused,
        })
    }

    /// By what the endpoint delimits the body.
    #[must_use]
    pub fn delimiter(&self) -> framing::Delimiter {
        self.delimiter
    }

    /// Whether the body has neither a length nor chunks and ends with the connection.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.delimiter == framing::Delimiter::Connection
    }

    /// For how long its connection may have been ended before that was read, if only that delimits the body.
    #[must_use]
    pub fn unobserved(&self) -> time::Duration {
        self.socket.unobserved()
    }

    /// Whether the body's length is known before it comes, and what it is.
    #[must_use]
    pub fn length(&self) -> Option<u64> {
        match self.framing {
            Framing::Length(length) => Some(length),
            Framing::Ended => Some(0),
            _ => None,
        }
    }

    /// Whether all of the body was read.
    fn is_whole(&self) -> bool {
        matches!(self.framing, Framing::Ended | Framing::Length(0))
    }

    /// Whether the endpoint has sent bytes right behind the whole body. They belong to no request. Does not block.
    #[must_use]
    pub fn has_surplus(&self) -> bool {
        self.is_whole() && self.socket.has_surplus()
    }

    /// Takes the connection out, if it may carry another request, with how long the endpoint keeps
    /// it open.
    pub(crate) fn into_kept(self) -> Option<(Socket, Option<time::Duration>)> {
        // Each relayed exchange has a connection of its own: a process that stops can then wait for those that it relays.
        if !self.keeps || !self.is_whole() || self.socket.is_relayed || !self.socket.is_quiet() {
            return None;
        }
        let promised = self
            .head
            .value("keep-alive")
            .given()
            .and_then(pool::promised);
        Some((self.socket, promised))
    }
}

/// A head that has arrived.
enum Parsed {
    Interim,
    Final(Head, Framing),
}

/// Takes a head out of the buffer, once all of it has arrived.
fn parse(socket: &mut Socket, is_head_request: bool) -> Result<Option<Parsed>, Failure> {
    let mut slots = [httparse::EMPTY_HEADER; headers::MAX_ANSWER_FIELDS];
    let mut raw = httparse::Response::new(&mut slots);
    let len = match raw.parse(&socket.buf) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(e) => return Err(Failure::malformed(&e)),
    };
    let fields = raw.headers.iter().map(|it| (it.name, it.value));
    joined_heads::check(raw.reason.unwrap_or_default(), &fields)
        .map_err(|e| Failure::malformed(&e))?;
    let code = raw.code.unwrap_or_default();
    let class = status::class(code).map_err(|e| Failure::malformed(&e))?;
    let head = Head {
        status: code,
        headers: raw
            .headers
            .iter()
            .map(|it| (it.name.to_owned(), it.value.trim_ascii().to_vec()))
            .collect(),
    };
    let framing = framing(&head, raw.version == Some(0), is_head_request)?;
    socket.take(len);
    Ok(Some(match class {
        status::Class::Interim => Parsed::Interim,
        status::Class::Final => Parsed::Final(head, framing),
    }))
}

fn framing(head: &Head, is_old_version: bool, is_head_request: bool) -> Result<Framing, Failure> {
    let (lengths, codings) = (
        head.values("content-length"),
        head.values("transfer-encoding"),
    );
    let declared =
        framing::of_fields(lengths, codings, is_old_version).map_err(|e| Failure::malformed(&e))?;
    if is_head_request || matches!(head.status, 100..=199 | 204 | 304) {
        return Ok(Framing::Ended);
    }
    Ok(match declared {
        framing::Framing::None => Framing::UntilClose,
        framing::Framing::Length(length) => Framing::Length(length),
        framing::Framing::Chunked => Framing::ChunkSize,
    })
}
