//! Sends one planned request and judges what came back.

use std::{
    io::{self, BufRead as _},
    time::{Duration, Instant},
};

use sageshed_engines::headers;

use crate::{answer_text, load};

/// How one request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// Answered whole, with its own answer.
    Completed,
    /// Refused with an account that gives this reason.
    Refused {
        /// The reason.
        reason: String,
        /// The verdict.
        verdict: String,
    },
    /// Neither an answer nor an account.
    Lost {
        /// What came instead.
        detail: String,
    },
    /// An answer that is not whole or not its own.
    Wrong {
        /// What is wrong with it.
        detail: String,
    },
}

/// What is known of one request after its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// How it ended.
    pub end: End,
    /// From when it was due to its end.
    pub took: Duration,
    /// From when it was due to the first token of a stream.
    pub first_token: Option<Duration>,
    /// The longest time between two tokens of a stream.
    pub longest_gap: Option<Duration>,
    /// Whether it ended within its class's deadline, or has none.
    pub in_time: bool,
    /// How late it was begun, for want of a free worker.
    pub begun_late: Duration,
}

/// Sends requests over connections of its own.
#[derive(Debug)]
pub struct Client {
    agent: ureq::Agent,
    token: String,
}

/// The parts of a stream as they were measured.
#[derive(Debug, Default)]
struct Timing {
    first: Option<Instant>,
    last: Option<Instant>,
    longest_gap: Option<Duration>,
}

impl Timing {
    fn token(&mut self) {
        let now = Instant::now();
        let gap = self.last.map(|last| now - last);
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.longest_gap = self.longest_gap.max(gap);
    }
}

impl Client {
    /// A client for one worker.
    #[must_use]
    pub fn new(load: &load::Load) -> Self {
        let agent = ureq::AgentBuilder::new()
            .timeout(Duration::from_millis(load.give_up_ms))
            .build();
        Self {
            agent,
            token: load.token.clone(),
        }
    }

    /// Sends a request that was due at `due`.
    #[must_use]
    pub fn send(&self, plan: &load::Plan, due: Instant) -> Record {
        let begun_late = due.elapsed();
        let mut timing = Timing::default();
        let end = match self.call(plan) {
            Ok(resp) => judge(plan, resp, &mut timing),
            Err(ureq::Error::Status(_, resp)) => refused(resp),
            Err(ureq::Error::Transport(e)) => End::Lost {
                detail: e.kind().to_string(),
            },
        };
        let took = due.elapsed();
        let deadline = plan.class.as_ref().map(|class| class.deadline_ms);
        Record {
            end,
            took,
            first_token: timing.first.map(|first| first - due),
            longest_gap: timing.longest_gap,
            in_time: deadline.is_none_or(|ms| took <= Duration::from_millis(ms)),
            begun_late,
        }
    }

    // The error is the library's, and as large as its answer.
    #[expect(clippy::result_large_err, reason = "the library's own error type")]
    fn call(&self, plan: &load::Plan) -> Result<ureq::Response, ureq::Error> {
        let path = if plan.is_service {
            format!("/services/{}/load", plan.target)
        } else {
            "/v1/chat/completions".to_owned()
        };
        let mut req = self
            .agent
            .post(&format!("http://{}{path}", plan.address))
            .set("Content-Type", "application/json")
            .set("Authorization", &format!("Bearer {}", self.token));
        if let Some(class) = &plan.class {
            req = req
                .set("Sageshed-Class", &class.name)
                .set(headers::DEADLINE_MS, &class.deadline_ms.to_string());
        }
        if let Some(key) = &plan.key {
            req = req
                .set(headers::IDEMPOTENCY_KEY, key)
                .set("Sageshed-Repeatable", "no");
        }
        let body = serde_json::json!({
            "model": plan.target,
            "stream": plan.streaming,
            "max_tokens": plan.max_tokens,
            "messages": [{ "role": "user", "content": plan.prompt }],
        });
        req.send_bytes(body.to_string().as_bytes())
    }
}

fn judge(plan: &load::Plan, resp: ureq::Response, timing: &mut Timing) -> End {
    let id = resp.header(headers::REQUEST_ID).map(str::to_owned);
    if plan.is_service {
        return judge_service(plan, resp);
    }
    let text = if resp.content_type() == "text/event-stream" {
        match read_stream(resp, timing) {
            Ok(text) => text,
            Err(end) => return end,
        }
    } else {
        match read_plain(resp) {
            Ok(text) => text,
            Err(detail) => return End::Lost { detail },
        }
    };
    match answer_text::check(&text, id.as_deref(), &plan.mark) {
        Ok(()) => End::Completed,
        Err(detail) => End::Wrong { detail },
    }
}

fn judge_service(plan: &load::Plan, resp: ureq::Response) -> End {
    match resp.into_string() {
        Ok(body) if body.contains(&plan.mark) => End::Completed,
        Ok(_) => End::Wrong {
            detail: "the service's answer has another mark".to_owned(),
        },
        Err(e) => End::Lost {
            detail: e.to_string(),
        },
    }
}

fn read_plain(resp: ureq::Response) -> Result<String, String> {
    let body = resp.into_string().map_err(|e| e.to_string())?;
    let body: serde_json::Value = serde_json::from_str(&body).map_err(|e| e.to_string())?;
    let text = &body["choices"][0]["message"]["content"];
    Ok(text.as_str().unwrap_or_default().to_owned())
}

fn read_stream(resp: ureq::Response, timing: &mut Timing) -> Result<String, End> {
    let lost = |detail: String| End::Lost { detail };
    let mut text = String::new();
    for line in io::BufReader::new(resp.into_reader()).lines() {
        let line = line.map_err(|e| lost(format!("in a stream: {e}")))?;
        let Some(data) = line.strip_prefix("data:") else {
            continue;
        };
        if data.trim() == "[DONE]" {
            return Ok(text);
        }
        let data: serde_json::Value =
            serde_json::from_str(data).map_err(|e| lost(format!("in a stream: {e}")))?;
        if let Some(end) = account(&data) {
            return Err(end);
        }
        timing.token();
        let token = &data["choices"][0]["delta"]["content"];
        text.push_str(token.as_str().unwrap_or_default());
    }
    Err(lost("a stream ended without its last event".to_owned()))
}

fn refused(resp: ureq::Response) -> End {
    let status = resp.status();
    let body = resp.into_string().unwrap_or_default();
    serde_json::from_str(&body)
        .ok()
        .and_then(|body| account(&body))
        .unwrap_or_else(|| End::Lost {
            detail: format!("status {status} without an account"),
        })
}

/// The account in a refusal, or in the last event of a stream that failed, which has it one level
/// down.
fn account(body: &serde_json::Value) -> Option<End> {
    let account = match body["reason"] {
        serde_json::Value::Null => &body["error"],
        _ => body,
    };
    let reason = account["reason"].as_str()?.to_owned();
    let verdict = account["verdict"].as_str()?.to_owned();
    Some(End::Refused { reason, verdict })
}
