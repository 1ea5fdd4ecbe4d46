//! What a stand-in engine does with a request.

use std::{
    io, sync, thread,
    time::{Duration, Instant},
};

use sageshed_engines::{headers, paths};
use serde::Deserialize;

use crate::{
    answer_text,
    endpoint::{self, After},
    fault, http, orders,
};

/// How often a run looks whether it was cancelled.
pub(crate) const LOOK: Duration = Duration::from_millis(20);
/// The id of a request that came without one.
const NO_ID: &str = "none";
/// The id and the mark in an answer that is another request's.
const OTHER_REQUEST: &str = "of-another-request";
const OTHER_MARK: &str = "of-another-caller";

/// The members of a completion's body that matter here.
#[derive(Debug, Deserialize)]
struct Body {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<Message>,
}

impl Body {
    /// The prompt, or the last message of a chat.
    fn prompt(&self) -> &str {
        let last = self.messages.last().map(|it| it.content.as_str());
        self.prompt.as_deref().or(last).unwrap_or("")
    }
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

#[derive(Debug, Deserialize)]
struct Cancel {
    request_id: String,
}

/// What a wait within a run ended with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flow {
    GoOn,
    /// The run was cancelled, or its process has died.
    Stop,
}

/// A request that runs.
struct Running<'a> {
    engine: &'a endpoint::Endpoint,
    incarnation: u64,
    request_id: String,
    model: String,
    chat: bool,
    fault: fault::Fault,
}

pub(crate) fn handle(
    engine: &sync::Arc<endpoint::Endpoint>,
    conn: &mut http::Connection,
    req: &http::Request,
) -> io::Result<After> {
    match (req.method.as_str(), req.path.as_str()) {
        ("POST", paths::CHAT_COMPLETIONS | paths::COMPLETIONS) => complete(engine, conn, req),
        ("POST", paths::CANCEL) => cancel(engine, conn, req),
        ("POST", paths::ORDERS) => orders::handle(engine, conn, req),
        _ => endpoint::respond_json(conn, 404, id_of(req), &[], r#"{"error":"no such path"}"#),
    }
}

pub(crate) fn id_of(req: &http::Request) -> &str {
    req.header(headers::REQUEST_ID).unwrap_or(NO_ID)
}

fn complete(
    engine: &endpoint::Endpoint,
    conn: &mut http::Connection,
    req: &http::Request,
) -> io::Result<After> {
    let id = id_of(req);
    let not_run = [(headers::RAN, headers::RAN_NO)];
    engine.count_request();
    let body: Body = match serde_json::from_slice(&req.body) {
        Ok(body) => body,
        Err(e) => {
            let words = serde_json::json!({ "error": e.to_string() }).to_string();
            return endpoint::respond_json(conn, 400, id, &[], &words);
        }
    };
    let Some(_admitted) = Admitted::new(engine, &body.model) else {
        let words = r#"{"error":"the model is not held here"}"#;
        return endpoint::respond_json(conn, 404, id, &not_run, words);
    };
    let incarnation = engine.lock().incarnation;
    let mut running = Running {
        engine,
        incarnation,
        request_id: id.to_owned(),
        model: body.model.clone(),
        chat: req.path == paths::CHAT_COMPLETIONS,
        fault: engine.fault_for_request(),
    };
    if let fault::Fault::Busy { rest_s } = running.fault {
        let rest = rest_s.to_string();
        let headers = [not_run[0], ("Retry-After", rest.as_str())];
        return endpoint::respond_json(conn, 503, id, &headers, r#"{"error":"busy"}"#);
    }
    if let fault::Fault::Late { delay_ms } = running.fault {
        thread::sleep(Duration::from_millis(delay_ms));
    }
    let priority = req.header(headers::PRIORITY).and_then(|p| p.parse().ok());
    let _slot = engine.slots.take(priority.unwrap_or(0));
    let resume: Option<usize> = req
        .header(headers::RESUME_TOKEN)
        .and_then(|from| from.parse().ok());
    let (run, from) = match resume {
        None => (running.begin(&body, req), 0),
        Some(from) => match running.resumable(from) {
            Some(run) => (run, from),
            None => {
                return endpoint::respond_json(conn, 409, id, &[], r#"{"error":"no such run"}"#);
            }
        },
    };
    let first = engine.shared.cfg.scaled(engine.cfg.first_token_ms);
    if from == 0 && running.wait_until(Instant::now() + first) == Flow::Stop {
        return Ok(After::Close);
    }
    if body.prompt().contains(fault::DEADLY) {
        engine.lock().stats.crashes += 1;
        engine.set_fault(fault::Fault::Crash, None);
        return Ok(After::Close);
    }
    if running.fault == fault::Fault::Swap {
        OTHER_REQUEST.clone_into(&mut running.request_id);
    }
    if body.stream {
        running.stream(conn, &run, from)
    } else {
        running.answer(conn, &run)
    }
}

/// A request that counts as running on its model, so that the model is not unloaded under it.
struct Admitted<'a> {
    engine: &'a endpoint::Endpoint,
    model: &'a str,
}

impl<'a> Admitted<'a> {
    fn new(engine: &'a endpoint::Endpoint, model: &'a str) -> Option<Self> {
        let mut state = engine.lock();
        if !state.memory.serves(model) {
            return None;
        }
        *state.memory.running.entry(model.to_owned()).or_default() += 1;
        Some(Self { engine, model })
    }
}

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        if let Some(running) = state.memory.running.get_mut(self.model) {
            *running = running.saturating_sub(1);
        }
    }
}

impl Running<'_> {
    fn begin(&self, body: &Body, req: &http::Request) -> endpoint::Run {
        let count = body.max_tokens.unwrap_or(self.engine.cfg.answer_tokens);
        let key = req.header(headers::IDEMPOTENCY_KEY);
        self.engine
            .shared
            .ledger
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .run(&self.request_id, key);
        let mut state = self.engine.lock();
        state.stats.runs += 1;
        let id = format!(
            "{}-{}-{}",
            self.engine.cfg.name, self.incarnation, state.stats.runs
        );
        let mark = answer_text::mark_of(body.prompt());
        let (named, mark) = match self.fault {
            fault::Fault::Swap => (OTHER_REQUEST, OTHER_MARK),
            _ => (self.request_id.as_str(), mark),
        };
        let tokens = answer_text::tokens(named, mark, &id, count.max(2));
        let run = endpoint::Run {
            id,
            tokens: sync::Arc::new(tokens),
            cancelled: false,
        };
        state.runs.insert(self.request_id.clone(), run.clone());
        run
    }

    fn resumable(&self, from: usize) -> Option<endpoint::Run> {
        let mut state = self.engine.lock();
        let run = state.runs.get(&self.request_id)?.clone();
        if run.cancelled || from > run.tokens.len() {
            return None;
        }
        state.stats.resumed += 1;
        Some(run)
    }

    /// Waits, and says whether the run still goes on.
    fn wait_until(&self, when: Instant) -> Flow {
        loop {
            let state = self.engine.lock();
            let cancelled = state
                .runs
                .get(&self.request_id)
                .is_some_and(|run| run.cancelled);
            let dead = state.incarnation != self.incarnation;
            drop(state);
            if cancelled || dead || self.engine.shared.stopping() {
                return Flow::Stop;
            }
            let left = when.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Flow::GoOn;
            }
            thread::sleep(left.min(LOOK));
        }
    }

    fn pace(&self) -> f64 {
        1.0 / (self.engine.cfg.tokens_per_second * self.engine.shared.cfg.time_scale)
    }

    fn stream(
        &self,
        conn: &mut http::Connection,
        run: &endpoint::Run,
        from: usize,
    ) -> io::Result<After> {
        let sent = [
            ("Content-Type", "text/event-stream"),
            (headers::REQUEST_ID, self.request_id.as_str()),
            (headers::RUN, &run.id),
        ];
        if let fault::Fault::EndsUnframed { after } = self.fault {
            let tokens = run.tokens.iter().take(after as usize).skip(from);
            let events: String = tokens.map(|it| self.event(run, it)).collect();
            conn.respond_unframed(200, &sent, events.as_bytes())?;
            return Ok(After::Close);
        }
        conn.begin_chunks(200, &sent)?;
        let begun = Instant::now();
        for (i, token) in run.tokens.iter().enumerate().skip(from) {
            let due = self.pace() * (i - from) as f64;
            if self.wait_until(begun + Duration::from_secs_f64(due)) == Flow::Stop {
                return Ok(After::Close);
            }
            if let Some(after) = self.stops_at(conn, i) {
                return Ok(after);
            }
            conn.chunk(self.event(run, token).as_bytes())?;
            self.engine.lock().stats.tokens += 1;
        }
        if let Some(after) = self.stops_at(conn, run.tokens.len()) {
            return Ok(after);
        }
        conn.last_chunk(b"data: [DONE]\n\n")?;
        self.finish();
        Ok(After::Keep)
    }

    /// Shows a stall or a cut, if it is due before token `i`.
    fn stops_at(&self, conn: &mut http::Connection, i: usize) -> Option<After> {
        match self.fault {
            fault::Fault::Stall { after } if after as usize == i => conn.hold(),
            fault::Fault::Cut { after } if after as usize == i => {}
            _ => return None,
        }
        Some(After::Close)
    }

    fn event(&self, run: &endpoint::Run, token: &str) -> String {
        let choice = if self.chat {
            serde_json::json!({ "index": 0, "delta": { "content": token } })
        } else {
            serde_json::json!({ "index": 0, "text": token })
        };
        let data = serde_json::json!({ "id": run.id, "model": self.model, "choices": [choice] });
        format!("data: {data}\n\n")
    }

    fn answer(&self, conn: &mut http::Connection, run: &endpoint::Run) -> io::Result<After> {
        let time = Duration::from_secs_f64(self.pace() * run.tokens.len() as f64);
        if self.wait_until(Instant::now() + time) == Flow::Stop {
            return Ok(After::Close);
        }
        let text = run.tokens.concat();
        let choice = if self.chat {
            serde_json::json!({ "index": 0, "finish_reason": "stop",
                "message": { "role": "assistant", "content": text } })
        } else {
            serde_json::json!({ "index": 0, "finish_reason": "stop", "text": text })
        };
        let body = serde_json::json!({ "id": run.id, "model": self.model, "choices": [choice],
            "usage": { "completion_tokens": run.tokens.len() } })
        .to_string();
        let sent = [
            ("Content-Type", "application/json"),
            (headers::REQUEST_ID, &self.request_id),
            (headers::RUN, &run.id),
        ];
        if let fault::Fault::Stall { .. } | fault::Fault::Cut { .. } = self.fault {
            conn.respond_short(200, &sent, body.as_bytes(), body.len() / 2)?;
            if let fault::Fault::Stall { .. } = self.fault {
                conn.hold();
            }
            return Ok(After::Close);
        }
        if let fault::Fault::EndsUnframed { .. } = self.fault {
            conn.respond_unframed(200, &sent, &body.as_bytes()[..body.len() / 2])?;
            return Ok(After::Close);
        }
        conn.respond(200, &sent, body.as_bytes())?;
        self.engine.lock().stats.tokens += run.tokens.len() as u64;
        self.finish();
        Ok(After::Keep)
    }

    fn finish(&self) {
        let mut state = self.engine.lock();
        state.stats.answered += 1;
        // A whole answer is never resumed, and a long load run must not fill memory with runs.
        state.runs.remove(&self.request_id);
    }
}

fn cancel(
    engine: &endpoint::Endpoint,
    conn: &mut http::Connection,
    req: &http::Request,
) -> io::Result<After> {
    if let Ok(named) = serde_json::from_slice::<Cancel>(&req.body) {
        let mut state = engine.lock();
        if let Some(run) = state.runs.get_mut(&named.request_id) {
            run.cancelled = true;
            state.stats.cancelled += 1;
        }
    }
    endpoint::respond_json(conn, 200, id_of(req), &[], r#"{"ok":true}"#)
}
