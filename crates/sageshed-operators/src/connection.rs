//! One connection to the operators' port: one request, one answer, a bounded time.
//!
//! `rouille` supplies the request and the answer, but not the server. Its server has no read
//! timeout, and when it drops a request it reads the rest of the announced body first: a stranger
//! who announces a body and sends none of it holds a thread of the pool for good, after the
//! refusal. A few of them would keep all operators out. Here every read and write ends with the
//! connection's own deadline, a connection carries one request, and what follows a refusal is
//! thrown away for a moment only.

use std::{
    io::{self, Read, Write},
    net, time,
};

use crate::wire::{Kind, Problem};

/// The longest request head, in bytes.
const MAX_HEAD: usize = 16 * 1024;
/// The most header fields.
const MAX_FIELDS: usize = 64;
/// How long unread bytes are thrown away after the answer. Closing with bytes unread resets the
/// connection, and the reset can overtake the answer.
const LINGER: time::Duration = time::Duration::from_millis(500);

/// A request whose body has not been read yet.
#[derive(Debug)]
pub(crate) struct Head {
    method: String,
    url: String,
    fields: Vec<(String, String)>,
    length: u64,
    /// Bytes of the body that came with the head.
    early: Vec<u8>,
    expects_continue: bool,
}

/// A connection with a deadline.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: net::TcpStream,
    peer: net::SocketAddr,
    deadline: time::Instant,
}

impl Connection {
    /// A connection that must be through by `limit` from now.
    pub fn new(stream: net::TcpStream, peer: net::SocketAddr, limit: time::Duration) -> Self {
        Self {
            stream,
            peer,
            deadline: time::Instant::now() + limit,
        }
    }

    /// Reads the head. None if the peer went away or was too slow, which needs no answer.
    pub fn head(&mut self) -> Option<Result<Head, Problem>> {
        let mut buf = Vec::new();
        loop {
            match parse(&buf) {
                Parsed::Head(head) => return Some(Ok(head)),
                Parsed::Bad(detail) => return Some(Err(Problem::new(Kind::BadRequest, detail))),
                Parsed::More if buf.len() >= MAX_HEAD => {
                    let detail = format!("the head is longer than {MAX_HEAD} bytes");
                    return Some(Err(Problem::new(Kind::TooLarge, detail)));
                }
                Parsed::More => {}
            }
            let mut part = [0; 4096];
            match self.read(&mut part) {
                Ok(0) | Err(_) => return None,
                Ok(n) => buf.extend_from_slice(&part[..n]),
            }
        }
    }

    /// Reads the body of `head`, at most `max` bytes, and makes the whole request of both.
    pub fn request(&mut self, head: Head, max: u64) -> Result<rouille::Request, Box<Problem>> {
        if head.length > max {
            let detail = format!("the body is longer than {max} bytes");
            return Err(Box::new(Problem::new(Kind::TooLarge, detail)));
        }
        let broke = |e: io::Error| {
            let detail = format!("the body did not arrive whole in time: {e}");
            Box::new(Problem::new(Kind::BadRequest, detail))
        };
        if head.expects_continue {
            self.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .map_err(broke)?;
        }
        let mut body = head.early;
        let rest = head.length.saturating_sub(body.len() as u64);
        Read::by_ref(self)
            .take(rest)
            .read_to_end(&mut body)
            .map_err(broke)?;
        if (body.len() as u64) < head.length {
            return Err(broke(io::ErrorKind::UnexpectedEof.into()));
        }
        let peer = self.peer;
        Ok(rouille::Request::fake_http_from(
            peer,
            head.method,
            head.url,
            head.fields,
            body,
        ))
    }

    /// Sends the answer and closes.
    pub fn respond(mut self, resp: rouille::Response) -> io::Result<()> {
        let (mut reader, _) = resp.data.into_reader_and_size();
        let mut body = Vec::new();
        reader.read_to_end(&mut body)?;
        let mut head = Vec::new();
        write!(head, "HTTP/1.1 {} \r\n", resp.status_code)?;
        for (name, value) in &resp.headers {
            write!(head, "{name}: {value}\r\n")?;
        }
        write!(head, "Content-Length: {}\r\n", body.len())?;
        write!(head, "Connection: close\r\n\r\n")?;
        self.write_all(&head)?;
        self.write_all(&body)?;
        self.stream.shutdown(net::Shutdown::Write)?;
        self.deadline = self.deadline.min(time::Instant::now() + LINGER);
        let mut unread = [0; 4096];
        while self.read(&mut unread)? > 0 {}
        Ok(())
    }

    /// Gives the answer its own time, whatever the backend took.
    pub fn restart(&mut self, limit: time::Duration) {
        self.deadline = time::Instant::now() + limit;
    }

    fn left(&self) -> io::Result<Option<time::Duration>> {
        let left = self
            .deadline
            .saturating_duration_since(time::Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(Some(left))
    }
}

impl Read for Connection {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        self.stream.set_read_timeout(self.left()?)?;
        self.stream.read(buf)
    }
}

impl Write for Connection {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.stream.set_write_timeout(self.left()?)?;
        self.stream.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.stream.flush()
    }
}

impl Head {
    /// The method.
    pub fn method(&self) -> &str {
        &self.method
    }

    /// The path, without the query.
    pub fn path(&self) -> &str {
        self.url.split('?').next().unwrap_or_default()
    }

    /// The value of the first field of this name.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = |(field, _): &&(String, String)| field.eq_ignore_ascii_case(name);
        self.fields.iter().find(found).map(|(_, value)| &**value)
    }
}

/// What is made of the bytes so far.
enum Parsed {
    Head(Head),
    More,
    Bad(String),
}

fn parse(buf: &[u8]) -> Parsed {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut req = httparse::Request::new(&mut fields);
    let end = match req.parse(buf) {
        Ok(httparse::Status::Complete(end)) => end,
        Ok(httparse::Status::Partial) => return Parsed::More,
        Err(e) => return Parsed::Bad(format!("the head is not HTTP/1.1: {e}")),
    };
    let mut head = Head {
        method: req.method.unwrap_or_default().to_owned(),
        url: req.path.unwrap_or_default().to_owned(),
        fields: Vec::new(),
        length: 0,
        early: buf[end..].to_vec(),
        expects_continue: false,
    };
    for field in req.headers.iter() {
        let value = String::from_utf8_lossy(field.value).into_owned();
        head.fields.push((field.name.to_owned(), value));
    }
    if head.field("Transfer-Encoding").is_some() {
        return Parsed::Bad("send the body with a Content-Length, not in chunks".to_owned());
    }
    match head.field("Content-Length").unwrap_or("0").trim().parse() {
        Ok(length) => head.length = length,
        Err(e) => return Parsed::Bad(format!("the Content-Length is no number: {e}")),
    }
    head.expects_continue = head
        .field("Expect")
        .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"));
    Parsed::Head(head)
}
