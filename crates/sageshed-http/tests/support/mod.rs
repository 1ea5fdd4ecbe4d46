//! A server with a scripted handler, and a client that sends raw bytes.
#![allow(dead_code, reason = "each test binary uses its own part")]

use std::{
    io::{Read, Write},
    net::{self, TcpStream},
    sync::{Arc, atomic},
    thread,
    time::{Duration, Instant},
};

use sageshed_http::{handler, limits, reply, request, server};
use sageshed_types::{refusal, rules};

/// A test that waits longer than this has failed.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// The revision that early refusals are stamped with.
pub const REVISION: rules::Revision = rules::Revision(7);

/// Answers with a closure.
pub struct Scripted<F> {
    script: F,
    refused: atomic::AtomicU64,
}

impl<F> handler::Handler for Scripted<F>
where
    F: Fn(request::Request, reply::Reply<'_>) -> reply::Sent + Send + Sync + 'static,
{
    fn handle(&self, req: request::Request, reply: reply::Reply<'_>) -> reply::Sent {
        (self.script)(req, reply)
    }

    fn refuse_early(&self, refusal: refusal::Refusal) -> handler::Stamped {
        let id = self.refused.fetch_add(1, atomic::Ordering::Relaxed);
        handler::Stamped {
            request_id: format!("early-{id}"),
            refusal: refusal::Refusal {
                revision: REVISION,
                ..refusal
            },
        }
    }
}

/// Starts a server on a port that the system chooses.
pub fn start<F>(limits: limits::Limits, script: F) -> server::Server
where
    F: Fn(request::Request, reply::Reply<'_>) -> reply::Sent + Send + Sync + 'static,
{
    start_on(listen(), limits, script)
}

/// A listening socket on a port that the system chooses.
pub fn listen() -> net::TcpListener {
    net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).expect("a free port")
}

/// Starts a server on a socket that callers may have reached already.
pub fn start_on<F>(listener: net::TcpListener, limits: limits::Limits, script: F) -> server::Server
where
    F: Fn(request::Request, reply::Reply<'_>) -> reply::Sent + Send + Sync + 'static,
{
    let handler = Arc::new(Scripted {
        script,
        refused: atomic::AtomicU64::new(0),
    });
    server::Server::start(listener, limits, handler).expect("the server starts")
}

/// Waits for something that another thread brings about.
pub fn wait_for(what: &str, holds: impl Fn() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < PATIENCE, "{what} did not come");
        thread::sleep(Duration::from_millis(1));
    }
}

/// The head of a plain answer.
pub const OK: reply::Head<'static> = reply::Head {
    request_id: "r-1",
    status: 200,
    content_type: "text/plain",
    headers: &[],
};

/// Answers with the method, the target and the body.
pub fn echo(req: request::Request, reply: reply::Reply<'_>) -> reply::Sent {
    let query = req.query.map(|query| format!("?{query}"));
    let line = format!("{} {}{}|", req.method, req.path, query.unwrap_or_default());
    reply.whole(&OK, &[line.as_bytes(), &req.body].concat())
}

/// A client on a connection of its own.
pub struct Client {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

/// A parsed answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .filter_map(|line| line.split_once(": "))
            .find_map(|(key, value)| key.eq_ignore_ascii_case(name).then_some(value))
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }

    pub fn text(&self) -> String {
        String::from_utf8(self.body.clone()).expect("the body is text")
    }
}

impl Client {
    pub fn connect(server: &server::Server) -> Self {
        Self::reach(server.local_addr())
    }

    pub fn reach(address: net::SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the system accepts");
        stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
        stream.set_nodelay(true).expect("a socket");
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Sends bytes; the server may have closed already, which the answer then tells.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub fn get(&mut self, path: &str) -> Answer {
        self.send(format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes());
        self.answer().expect("an answer")
    }

    /// Reads one answer that has a length; none if the connection ended before it.
    pub fn answer(&mut self) -> Option<Answer> {
        let head = self.head()?;
        let mut answer = Answer {
            status: head.split(' ').nth(1)?.parse().ok()?,
            head,
            body: Vec::new(),
        };
        let length = answer.header("content-length").map_or(0, |value| {
            value.parse::<usize>().expect("Content-Length is a number")
        });
        answer.body = self.exact(length)?;
        Some(answer)
    }

    /// Reads up to the empty line.
    pub fn head(&mut self) -> Option<String> {
        loop {
            if let Some(at) = find(&self.buf, b"\r\n\r\n") {
                let rest = self.buf.split_off(at + 4);
                let head = std::mem::replace(&mut self.buf, rest);
                return String::from_utf8(head).ok();
            }
            self.fill()?;
        }
    }

    /// Reads one chunk of a stream; empty at its end, none if it was cut.
    pub fn chunk(&mut self) -> Option<Vec<u8>> {
        loop {
            if let Some(at) = find(&self.buf, b"\r\n") {
                let line = self.exact(at + 2)?;
                let line = str::from_utf8(&line[..at]).ok()?.to_owned();
                let size = usize::from_str_radix(&line, 16).expect("a chunk's size");
                let mut chunk = self.exact(size + 2)?;
                chunk.truncate(size);
                return Some(chunk);
            }
            self.fill()?;
        }
    }

    /// Whether the server has closed, with nothing more to read.
    pub fn at_end(&mut self) -> bool {
        self.buf.is_empty() && self.fill().is_none()
    }

    fn exact(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buf.len() < count {
            self.fill()?;
        }
        let rest = self.buf.split_off(count);
        Some(std::mem::replace(&mut self.buf, rest))
    }

    fn fill(&mut self) -> Option<()> {
        let mut chunk = [0; 4096];
        match self.stream.read(&mut chunk) {
            Ok(0) => None,
            Ok(n) => {
                self.buf.extend_from_slice(&chunk[..n]);
                Some(())
            }
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => panic!("no answer came"),
            Err(_) => None,
        }
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|part| part == needle)
}
