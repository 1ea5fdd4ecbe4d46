//! A stream of server-sent events, read event by event with a check that it is whole.
//!
//! A stream is whole when its `data: [DONE]` has come. An end without it is a cut, even where the
//! connection ended in good order: a process that dies may still close its sockets properly.

use std::time::Duration;

use crate::{answer, classify};

/// The largest event that is taken, in bytes.
const EVENT_LIMIT: usize = 1 << 20;
/// How much is read at a time, in bytes.
const READ_SIZE: usize = 8 * 1024;
/// How long the end of the body may take after `[DONE]`. It matters only for using the connection
/// again, so it must not hold the caller's answer.
const END_LIMIT: Duration = Duration::from_millis(100);
/// The data of the last event.
const DONE: &[u8] = b"[DONE]";

/// What an event is for the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It carries data: for an engine, the next token.
    Data,
    /// The end of the answer.
    Done,
    /// A comment, or a field without data; keeps the stream alive.
    Other,
}

/// One event, whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// What it is.
    pub kind: Kind,
    /// Its bytes as they came, with the empty line that ends it.
    pub bytes: Vec<u8>,
}

/// The events of one answer.
#[derive(Debug)]
pub struct Events {
    body: answer::Body,
    buf: Vec<u8>,
    /// Where the first line of `buf` begins that has not been looked at whole.
    line: usize,
    /// Up to where that line was looked at.
    looked: usize,
    data: u64,
    done: bool,
}

impl Events {
    /// Reads `body` as events; `data_before` events with data came in earlier parts of the run.
    #[must_use]
    pub fn new(body: answer::Body, data_before: u64) -> Self {
        Self {
            body,
            buf: Vec::new(),
            line: 0,
            looked: 0,
            data: data_before,
            done: false,
        }
    }

    /// How many events with data have come whole: where a resumed stream goes on.
    #[must_use]
    pub fn data_seen(&self) -> u64 {
        self.data
    }

    /// The next event, or none after the last.
    ///
    /// # Errors
    ///
    /// A [`classify::CallError`] if the stream stalls, is cut or is malformed.
    pub fn next_event(&mut self) -> Result<Option<Event>, classify::CallError> {
        if self.done {
            self.read_end();
            return Ok(None);
        }
        loop {
            if let Some(event) = self.take_event() {
                return Ok(Some(event));
            }
            if self.buf.len() > EVENT_LIMIT {
                let detail = format!("an event is larger than {EVENT_LIMIT} bytes");
                return Err(self.body.error(classify::Failure::Malformed, &detail));
            }
            self.fill()?;
        }
    }

    fn fill(&mut self) -> Result<(), classify::CallError> {
        let mut buf = [0; READ_SIZE];
        let n = self.body.read(&mut buf)?;
        if n == 0 {
            let detail = "the stream ended without its last event";
            return Err(self.body.error(classify::Failure::Short, detail));
        }
        self.buf.extend_from_slice(&buf[..n]);
        Ok(())
    }

    fn take_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes: Vec<u8> = self.buf.drain(..end).collect();
        self.line = 0;
        self.looked = 0;
        let kind = kind_of(&bytes);
        match kind {
            Kind::Data => self.data += 1,
            Kind::Done => self.done = true,
            Kind::Other => {}
        }
        Some(Event { kind, bytes })
    }

    /// Where the first event ends, its empty line included. Goes on where it last stopped: a large
    /// event that comes in small pieces would otherwise be looked through anew with each of them.
    fn find_end(&mut self) -> Option<usize> {
        while let Some(at) = self.buf[self.looked..].iter().position(|b| *b == b'\n') {
            let newline = self.looked + at;
            let line = &self.buf[self.line..newline];
            let empty = line.is_empty() || line == b"\r";
            self.line = newline + 1;
            self.looked = self.line;
            if empty {
                return Some(self.line);
            }
        }
        self.looked = self.buf.len();
        None
    }

    /// Reads what follows the last event, so that the connection can be used again. Whatever goes
    /// wrong here costs only the connection.
    fn read_end(&mut self) {
        self.body.limit_gap(END_LIMIT);
        let mut buf = [0; 64];
        let _ended = self.body.read(&mut buf);
    }
}

fn kind_of(event: &[u8]) -> Kind {
    let mut kind = Kind::Other;
    for line in event.split(|b| *b == b'\n') {
        if let Some(data) = line.strip_prefix(b"data:") {
            if data.trim_ascii() == DONE {
                return Kind::Done;
            }
            kind = Kind::Data;
        }
    }
    kind
}
