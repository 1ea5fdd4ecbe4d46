//! A caller: sends requests to entry processes and reads the answers.

use std::{
    io::{self, BufRead as _, Read, Write as _},
    net, time,
};

use sageshed_test_support::answer_text;

use serde_json::json;

/// How long a caller waits at most. A test that reaches it has failed.
const PATIENCE: time::Duration = time::Duration::from_secs(30);

/// An answer, whole.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// The `Sageshed-Request-Id` header.
    pub request_id: String,
    /// The body.
    pub body: String,
    /// The headers that tests look at, by lower-case name.
    headers: Vec<(String, String)>,
}

impl Answer {
    /// The body as JSON; null if it is none.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// A member of the account of a refusal.
    pub fn account(&self, member: &str) -> String {
        match &self.json()[member] {
            serde_json::Value::String(text) => text.clone(),
            other => other.to_string(),
        }
    }

    /// A header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(it, _)| it == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// The mark of the prompt that [`Ask::completion`] and [`Ask::stream`] send: its last word.
const MARK: &str = "floods";

/// Checks that an answer is whole and its own: plain, or the data of a stream put together.
pub fn check_whole(answer: &Answer) -> Result<(), String> {
    let text = |json: &serde_json::Value| {
        let text = json["choices"][0]["text"].as_str();
        text.unwrap_or_default().to_owned()
    };
    let parts = answer
        .body
        .lines()
        .filter_map(|it| it.strip_prefix("data: "));
    let parts: String = parts
        .filter_map(|it| serde_json::from_str(it).ok())
        .map(|it| text(&it))
        .collect();
    let whole = if parts.is_empty() {
        text(&answer.json())
    } else {
        parts
    };
    answer_text::check(&whole, Some(&answer.request_id), MARK)
}

/// A streamed answer on its way in.
pub struct Streamed {
    /// The `Sageshed-Request-Id` header.
    pub request_id: String,
    lines: io::Lines<io::BufReader<Box<dyn Read + Send + Sync>>>,
    body: String,
}

impl Streamed {
    /// The data of the next event; none at the end. An error is a stream that broke.
    pub fn next(&mut self) -> Result<Option<String>, String> {
        loop {
            let Some(line) = self.lines.next() else {
                return Ok(None);
            };
            let line = line.map_err(|e| format!("{e} after {:?}", self.body.lines().last()))?;
            self.body.push_str(&line);
            self.body.push('\n');
            if let Some(data) = line.strip_prefix("data: ") {
                return Ok(Some(data.to_owned()));
            }
        }
    }

    /// Reads to the end and gives all that came.
    pub fn rest(mut self) -> Result<Answer, String> {
        while self.next()?.is_some() {}
        Ok(Answer {
            status: 200,
            request_id: self.request_id,
            body: self.body,
            headers: Vec::new(),
        })
    }
}

/// Sends bytes as they are, closes this end's output and reads what comes until the other end closes.
pub fn send_raw(base: &str, bytes: &[u8]) -> String {
    let mut socket = connect(base);
    // The other end may answer and close before all is written.
    let _cut = socket.write_all(bytes);
    let _closed = socket.shutdown(net::Shutdown::Write);
    let mut answer = Vec::new();
    let _cut = socket.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Whether a response has begun on a connection, or its other end has closed it.
pub fn has_response(socket: &net::TcpStream) -> bool {
    socket.set_nonblocking(true).unwrap();
    let is_silent = socket
        .peek(&mut [0])
        .is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
    socket.set_nonblocking(false).unwrap();
    !is_silent
}

fn connect(base: &str) -> net::TcpStream {
    let socket = net::TcpStream::connect(base.trim_start_matches("http://")).unwrap();
    socket.set_read_timeout(Some(PATIENCE)).unwrap();
    socket
}

/// A request under way to one entry process.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The base of the URL.
    pub base: String,
    /// The method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: String,
}

impl Ask {
    /// A completion by `model`, plain.
    pub fn completion(base: &str, model: &str, tokens: u32) -> Self {
        let body = json!({ "model": model, "prompt": "a cellar floods", "max_tokens": tokens });
        Self::post(base, "/v1/completions", &body)
    }

    /// A streamed completion by `model`.
    pub fn stream(base: &str, model: &str, tokens: u32) -> Self {
        let body = json!({
            "model": model, "prompt": "a cellar floods", "max_tokens": tokens, "stream": true
        });
        Self::post(base, "/v1/completions", &body)
    }

    /// A call of a plain service.
    pub fn service(base: &str, service: &str, body: &serde_json::Value) -> Self {
        Self::post(base, &format!("/services/{service}/dispatch"), body)
    }

    /// A POST with a JSON body, by the caller `alpha`.
    pub fn post(base: &str, path: &str, body: &serde_json::Value) -> Self {
        let ask = Self {
            base: base.to_owned(),
            method: "POST".to_owned(),
            path: path.to_owned(),
            headers: Vec::new(),
            body: body.to_string(),
        };
        ask.with("Authorization", "Bearer alpha")
            .with("Content-Type", "application/json")
    }

    /// Adds a header.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Under this idempotency key.
    pub fn keyed(self, key: &str) -> Self {
        self.with("Idempotency-Key", key)
    }

    /// Sends it and reads the answer. An error is a connection that broke.
    pub fn send(&self) -> Result<Answer, String> {
        let resp = self.begin()?;
        let status = resp.status();
        let request_id = resp
            .header("Sageshed-Request-Id")
            .unwrap_or_default()
            .to_owned();
        let names = resp.headers_names();
        let header = |name: &String| (name.clone(), resp.header(name).unwrap_or("").to_owned());
        let headers = names.iter().map(header).collect();
        let mut body = String::new();
        resp.into_reader()
            .read_to_string(&mut body)
            .map_err(|e| e.to_string())?;
        Ok(Answer {
            status,
            request_id,
            body,
            headers,
        })
    }

    /// Sends it for a stream, whose events are yet to be read.
    pub fn open(&self) -> Result<Streamed, String> {
        let resp = self.begin()?;
        assert_eq!(resp.status(), 200, "{}", resp.into_string().unwrap());
        Ok(Streamed {
            request_id: resp.header("Sageshed-Request-Id").unwrap().to_owned(),
            lines: io::BufReader::new(resp.into_reader()).lines(),
            body: String::new(),
        })
    }

    /// Sends it on a connection of its own, which the caller may drop at any time.
    pub fn send_only(&self) -> net::TcpStream {
        let mut socket = connect(&self.base);
        socket.write_all(&self.bytes()).unwrap();
        socket
    }

    /// The request as HTTP/1.1.
    pub fn bytes(&self) -> Vec<u8> {
        let head = format!("{} {} HTTP/1.1\r\nHost: entry\r\n", self.method, self.path);
        let headers = self
            .headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"));
        let headers: String = headers.collect();
        let length = self.body.len();
        let text = format!(
            "{head}{headers}Content-Length: {length}\r\n\r\n{}",
            self.body
        );
        text.into_bytes()
    }

    /// Sends it; the body of the answer is yet to be read.
    pub fn begin(&self) -> Result<ureq::Response, String> {
        let agent = ureq::AgentBuilder::new().timeout(PATIENCE).build();
        let mut req = agent.request(&self.method, &format!("{}{}", self.base, self.path));
        for (name, value) in &self.headers {
            req = req.set(name, value);
        }
        match req.send_string(&self.body) {
            Ok(resp) | Err(ureq::Error::Status(_, resp)) => Ok(resp),
            Err(ureq::Error::Transport(e)) => Err(e.to_string()),
        }
    }
}
