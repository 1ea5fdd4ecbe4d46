//! The stand-ins' HTTP/1.1 server side: just enough, and in control of every byte.

use std::{
    io::{self, BufRead as _, Read as _, Write as _},
    net,
};

/// The largest head that is read, in bytes.
const HEAD_LIMIT: usize = 64 * 1024;
/// The largest body that is read, in bytes.
const BODY_LIMIT: usize = 16 << 20;
/// The most headers that are read.
const HEADER_LIMIT: usize = 64;

/// A request, read whole.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// The method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The headers, names as they came.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Request {
    /// The value of a header, if it came.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// One connection from a client.
#[derive(Debug)]
pub struct Connection {
    reader: io::BufReader<net::TcpStream>,
    writer: net::TcpStream,
}

impl Connection {
    /// Takes over an accepted socket.
    ///
    /// # Errors
    ///
    /// The system's, if the socket cannot be set up.
    pub fn new(socket: net::TcpStream) -> io::Result<Self> {
        socket.set_nodelay(true)?;
        Ok(Self {
            writer: socket.try_clone()?,
            reader: io::BufReader::new(socket),
        })
    }

    /// The next request, or none if the client has closed.
    ///
    /// # Errors
    ///
    /// The system's, or invalid data if it is not HTTP.
    pub fn read_request(&mut self) -> io::Result<Option<Request>> {
        let Some(head) = self.read_head()? else {
            return Ok(None);
        };
        let mut req = parse_head(&head)?;
        let length = req.header("Content-Length").map_or(Ok(0), str::parse);
        let length: usize = length.map_err(io::Error::other)?;
        if length > BODY_LIMIT {
            return Err(io::Error::other("the body is too large"));
        }
        req.body = vec![0; length];
        self.reader.read_exact(&mut req.body)?;
        Ok(Some(req))
    }

    fn read_head(&mut self) -> io::Result<Option<Vec<u8>>> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let n = self.reader.read_until(b'\n', &mut head)?;
            if n == 0 || head.len() > HEAD_LIMIT {
                return Ok(None);
            }
        }
        Ok(Some(head))
    }

    /// Writes a whole answer.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn respond(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let length = body.len().to_string();
        let mut out = head_of(status, headers, ("Content-Length", &length));
        out.extend_from_slice(body);
        self.writer.write_all(&out)
    }

    /// Writes an answer that stops after `written` bytes of its body.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn respond_short(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
        written: usize,
    ) -> io::Result<()> {
        let length = body.len().to_string();
        let mut out = head_of(status, headers, ("Content-Length", &length));
        out.extend_from_slice(&body[..written]);
        self.writer.write_all(&out)
    }

    /// Writes the head of an answer with neither a length nor chunks, and some bytes of its body.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn respond_unframed(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut out = head_of(status, headers, ("Connection", "close"));
        out.extend_from_slice(body);
        self.writer.write_all(&out)
    }

    /// Writes the head of an answer whose body follows in chunks.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn begin_chunks(&mut self, status: u16, headers: &[(&str, &str)]) -> io::Result<()> {
        let out = head_of(status, headers, ("Transfer-Encoding", "chunked"));
        self.writer.write_all(&out)
    }

    /// Writes one chunk.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn chunk(&mut self, data: &[u8]) -> io::Result<()> {
        self.writer.write_all(&framed(data))
    }

    /// Writes one chunk and the end of the body.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn last_chunk(&mut self, data: &[u8]) -> io::Result<()> {
        let mut out = framed(data);
        out.extend(framed(b""));
        self.writer.write_all(&out)
    }

    /// Waits until the client closes, and answers nothing.
    pub fn hold(&mut self) {
        let _closed = io::copy(&mut self.reader, &mut io::sink());
    }
}

fn framed(data: &[u8]) -> Vec<u8> {
    let mut out = format!("{:x}\r\n", data.len()).into_bytes();
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
    out
}

fn head_of(status: u16, headers: &[(&str, &str)], framing: (&str, &str)) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers.iter().chain([&framing]) {
        head.push_str(name);
        head.push_str(": ");
        head.push_str(value);
        head.push_str("\r\n");
    }
    head.push_str("\r\n");
    head.into_bytes()
}

fn parse_head(head: &[u8]) -> io::Result<Request> {
    let mut headers = [httparse::EMPTY_HEADER; HEADER_LIMIT];
    let mut parsed = httparse::Request::new(&mut headers);
    parsed.parse(head).map_err(io::Error::other)?;
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    Ok(Request {
        method: parsed.method.unwrap_or_default().to_owned(),
        path: parsed.path.unwrap_or_default().to_owned(),
        headers: parsed
            .headers
            .iter()
            .map(|header| (header.name.to_owned(), text(header.value)))
            .collect(),
        body: Vec::new(),
    })
}
