//! A caller: sends requests to entry processes and reads the answers.

use std::{io::Read, time};

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
