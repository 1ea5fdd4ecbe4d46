//! The little HTTP/1.1 that the stand-ins need.

use std::{
    io::{self, Read, Write},
    net::{SocketAddrV4, TcpStream},
    time::Duration,
};

/// A request or an answer without its body.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| it.1.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// By what an answer was delimited, and how it ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// All bytes of its Content-Length have come.
    Length,
    /// The last chunk has come.
    LastChunk,
    /// Neither length nor chunks, and the connection was closed in good order: it looks complete.
    ClosedInOrder,
    /// The connection was closed or reset before the end that its head announces.
    CutShort,
    /// The connection was reset.
    Reset,
    /// Nothing came for longer than the client waits.
    TimedOut,
}

impl End {
    /// Whether a client takes the answer for complete.
    pub fn looks_complete(self) -> bool {
        matches!(self, Self::Length | Self::LastChunk | Self::ClosedInOrder)
    }
}

#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    pub end: End,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Head>> {
    let mut chunk = [0; 4096];
    loop {
        if let Some(end) = buf.windows(4).position(|it| it == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buf[..end]).into_owned();
            buf.drain(..end + 4);
            let mut lines = text.split("\r\n");
            let line = lines.next().unwrap_or_default().to_owned();
            let headers = lines
                .filter_map(|it| it.split_once(':'))
                .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
                .collect();
            return Ok(Some(Head { line, headers }));
        }
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(None);
        }
        buf.extend_from_slice(&chunk[..count]);
    }
}

/// Reads a body of a known length; false if it ends early.
pub fn read_length(stream: &mut TcpStream, buf: &mut Vec<u8>, length: usize) -> io::Result<bool> {
    let mut chunk = [0; 4096];
    while buf.len() < length {
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(false);
        }
        buf.extend_from_slice(&chunk[..count]);
    }
    Ok(true)
}

fn end_of(error: &io::Error) -> End {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => End::TimedOut,
        _ => End::Reset,
    }
}

/// Reads an answer to its end.
pub fn read_answer(stream: &mut TcpStream) -> io::Result<Option<Answer>> {
    let mut buf = Vec::new();
    let Some(head) = read_head(stream, &mut buf)? else {
        return Ok(None);
    };
    let (body, end) = read_body(stream, buf, &head);
    Ok(Some(Answer { status: head.status(), head, body, end }))
}

fn read_body(stream: &mut TcpStream, mut buf: Vec<u8>, head: &Head) -> (Vec<u8>, End) {
    if let Some(length) = head.get("content-length").and_then(|it| it.parse().ok()) {
        return match read_length(stream, &mut buf, length) {
            Ok(true) => (buf, End::Length),
            Ok(false) => (buf, End::CutShort),
            Err(e) => (buf, end_of(&e)),
        };
    }
    let is_chunked = head.get("transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked"));
    let mut chunk = [0; 4096];
    let mut body = Vec::new();
    loop {
        if is_chunked {
            while let Some(line) = buf.windows(2).position(|it| it == b"\r\n") {
                let size = String::from_utf8_lossy(&buf[..line]).into_owned();
                let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
                if buf.len() < line + 2 + size + 2 {
                    break;
                }
                if size == 0 {
                    return (body, End::LastChunk);
                }
                body.extend_from_slice(&buf[line + 2..line + 2 + size]);
                buf.drain(..line + 2 + size + 2);
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) if is_chunked => return (body, End::CutShort),
            Ok(0) => return (buf, End::ClosedInOrder),
            Ok(count) => buf.extend_from_slice(&chunk[..count]),
            Err(e) => return (if is_chunked { body } else { buf }, end_of(&e)),
        }
    }
}

pub fn connect(to: SocketAddrV4, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to.into(), Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    Ok(stream)
}

/// Makes one call of an engine or of the operator; follows a redirect twice.
pub fn call(to: SocketAddrV4, method: &str, path: &str, body: &str) -> io::Result<Answer> {
    let mut to = to;
    for _ in 0..3 {
        let answer = call_once(to, method, path, body)?;
        let Some(location) = answer.head.get("location") else {
            return Ok(answer);
        };
        let rest = location.trim_start_matches("http://");
        to = rest.split('/').next().unwrap_or_default().parse().map_err(io::Error::other)?;
    }
    Err(io::Error::other("too many redirects"))
}

/// A client's request on a connection of its own.
pub fn ask(to: SocketAddrV4, path: &str, id: &str, more: &str, deadline_ms: u64) -> io::Result<Option<Answer>> {
    let mut stream = connect(to, Duration::from_millis(deadline_ms))?;
    let body = format!("body of {id}");
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    read_answer(&mut stream)
}

/// Makes one call without following a redirect.
pub fn call_once(to: SocketAddrV4, method: &str, path: &str, body: &str) -> io::Result<Answer> {
    let mut stream = connect(to, Duration::from_secs(3))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    read_answer(&mut stream)?.ok_or_else(|| io::Error::other("no answer"))
}
