//! HTTP/1.1 messages for the stand-ins: only what the cases need.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived as its framing says.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let word = self.line.split(' ').nth(1);
        word.and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }
}

/// Reads the head of a message. None if the peer closes before its first byte.
pub fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Message>> {
    loop {
        if let Some(at) = buf.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..at]).into_owned();
            buf.drain(..at + 4);
            let mut lines = head.split("\r\n");
            let line = lines.next().unwrap_or_default().to_owned();
            let headers = lines.filter_map(|it| it.split_once(':'));
            let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
            return Ok(Some(Message {
                line,
                headers: headers.collect(),
                ..Message::default()
            }));
        }
        if fill(stream, buf)? == 0 {
            if buf.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Reads the body that follows a head. `is_response` tells whether a missing length means "until the end".
pub fn read_body(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    message: &mut Message,
    is_response: bool,
) -> io::Result<()> {
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|it| it.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        return read_chunks(stream, buf, message);
    }
    match message.length() {
        Some(length) => {
            while buf.len() < length && fill(stream, buf)? > 0 {}
            message.whole = buf.len() >= length;
            message.body = buf.drain(..length.min(buf.len())).collect();
        }
        None if is_response => {
            while fill(stream, buf)? > 0 {}
            message.body = std::mem::take(buf);
            message.whole = true;
        }
        None => message.whole = true,
    }
    Ok(())
}

fn read_chunks(stream: &mut TcpStream, buf: &mut Vec<u8>, message: &mut Message) -> io::Result<()> {
    loop {
        let Some(at) = buf.windows(2).position(|it| it == b"\r\n") else {
            if fill(stream, buf)? == 0 {
                return Ok(());
            }
            continue;
        };
        let size = String::from_utf8_lossy(&buf[..at]).trim().to_owned();
        let Ok(size) = usize::from_str_radix(&size, 16) else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        while buf.len() < at + 2 + size + 2 {
            if fill(stream, buf)? == 0 {
                return Ok(());
            }
        }
        message.body.extend_from_slice(&buf[at + 2..at + 2 + size]);
        buf.drain(..at + 2 + size + 2);
        if size == 0 {
            message.whole = true;
            return Ok(());
        }
    }
}

fn fill(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<usize> {
    let mut chunk = [0; 16 * 1024];
    loop {
        match stream.read(&mut chunk) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
            Ok(n) => {
                buf.extend_from_slice(&chunk[..n]);
                return Ok(n);
            }
        }
    }
}

/// Writes a response with a `Content-Length`.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Makes one call on a connection of its own.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut buf = Vec::new();
    let head = read_head(&mut stream, &mut buf)?;
    let mut message = head.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut stream, &mut buf, &mut message, true)?;
    if Instant::now() > until {
        return Err(io::ErrorKind::TimedOut.into());
    }
    Ok(message)
}
