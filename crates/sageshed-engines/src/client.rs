//! Requests to model engines.

use std::time::Duration;

use sageshed_types::time;

use crate::{answer, classify, connection, events, headers, paths, transport};

/// How long cancelling may take in each of its parts.
const CANCEL_LIMIT: Duration = Duration::from_secs(1);

/// Where a stream that is resumed goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Resume<'a> {
    /// How many events with data were received whole.
    pub from: u64,
    /// The run that they belong to, by the `Sageshed-Run` of the first answer.
    pub run: &'a str,
}

/// A request to an engine.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    /// `IP:port` of the engine.
    pub address: &'a str,
    /// One of [`paths`].
    pub path: &'a str,
    /// The JSON body.
    pub body: &'a [u8],
    /// Whether the body asks for a stream.
    pub streaming: bool,
    /// Takes a connection of its own: for what may not be repeated, and for retries.
    pub fresh: bool,
    /// The request id.
    pub request_id: &'a str,
    /// The idempotency key, if the caller gave one.
    pub idempotency_key: Option<&'a str>,
    /// 0 is the least urgent, 9 the most.
    pub priority: u8,
    /// Time left for all of it.
    pub deadline_left: Duration,
    /// Time to the first byte of the answer; from its head to its body the same again.
    pub first_byte_limit: Duration,
    /// Time between two reads of the body.
    pub gap_limit: Duration,
    /// Goes on with an earlier run.
    pub resume: Option<Resume<'a>>,
}

/// Talks to model engines.
#[derive(Debug, Clone)]
pub struct Client {
    transport: transport::Transport,
}

impl Client {
    /// A client with connections of its own.
    #[must_use]
    pub fn new(settings: transport::Settings) -> Self {
        Self {
            transport: transport::Transport::new(settings),
        }
    }

    /// The connections, to share them with another peer's client.
    #[must_use]
    pub fn transport(&self) -> &transport::Transport {
        &self.transport
    }

    /// Sends a request and reads the head of the answer.
    ///
    /// An answer with a status under 400, or one that blames the request (4xx without
    /// `Sageshed-Ran: no`, but for 408, 409 and 429), is for the caller. Any other is an error.
    ///
    /// # Errors
    ///
    /// A [`classify::CallError`], with the verdict on whether the request may have run.
    pub fn send(&self, call: &Call<'_>) -> Result<answer::Answer, classify::CallError> {
        let deadline_ms = time::Millis::from(call.deadline_left).0.to_string();
        let priority = call.priority.to_string();
        let from = call.resume.map(|resume| resume.from.to_string());
        let mut sent = vec![
            ("Content-Type", "application/json"),
            (headers::DEADLINE_MS, &deadline_ms),
            (headers::PRIORITY, &priority),
        ];
        if let Some(key) = call.idempotency_key {
            sent.push((headers::IDEMPOTENCY_KEY, key));
        }
        if let Some(from) = &from {
            sent.push((headers::RESUME_TOKEN, from));
        }
        if call.streaming {
            sent.push(("Accept", "text/event-stream"));
        }
        let answer = self.transport.exchange(&transport::Request {
            method: "POST",
            address: call.address,
            path: call.path,
            headers: &sent,
            body: Some(call.body),
            request_id: call.request_id,
            id_optional: false,
            // A resumed stream follows on silence, so its connection is always a new one.
            fresh: call.fresh || call.resume.is_some(),
            limits: connection::Limits {
                first_byte: call.first_byte_limit,
                gap: call.gap_limit,
                total: call.deadline_left,
            },
        })?;
        if is_error(&answer) {
            return Err(answer.into_error());
        }
        check_run(call, answer)
    }

    /// Sends a request that streams and gives its events, or the plain answer that came instead.
    ///
    /// # Errors
    ///
    /// As [`Client::send`].
    pub fn stream(&self, call: &Call<'_>) -> Result<Streamed, classify::CallError> {
        let answer = self.send(call)?;
        if !answer.is_stream() {
            return Ok(Streamed::Plain(answer));
        }
        let data_before = call.resume.map_or(0, |resume| resume.from);
        Ok(Streamed::Events {
            run: answer.run,
            events: events::Events::new(answer.body, data_before),
        })
    }

    /// Asks an engine to stop the run of a request whose caller has gone. The request may have run
    /// to its end by then.
    ///
    /// # Errors
    ///
    /// A [`classify::CallError`] if the engine does not confirm.
    pub fn cancel(&self, address: &str, request_id: &str) -> Result<(), classify::CallError> {
        let body = serde_json::json!({ "request_id": request_id }).to_string();
        let answer = self.transport.exchange(&transport::Request {
            method: "POST",
            address,
            path: paths::CANCEL,
            headers: &[("Content-Type", "application/json")],
            body: Some(body.as_bytes()),
            request_id,
            id_optional: true,
            fresh: true,
            limits: connection::Limits {
                first_byte: CANCEL_LIMIT,
                gap: CANCEL_LIMIT,
                total: CANCEL_LIMIT,
            },
        })?;
        if answer.status >= 400 {
            return Err(answer.into_error());
        }
        Ok(())
    }
}

/// What came of a request for a stream.
#[derive(Debug)]
pub enum Streamed {
    /// Events.
    Events {
        /// The run that they belong to.
        run: Option<String>,
        /// The events.
        events: events::Events,
    },
    /// A plain answer, such as one that blames the request.
    Plain(answer::Answer),
}

fn is_error(answer: &answer::Answer) -> bool {
    let about_the_engine = matches!(answer.status, 408 | 409 | 429 | 500..);
    answer.says_not_run || about_the_engine
}

/// Two runs of one request may give different tokens, so the rest of another run is never taken for
/// the rest of this one. Its connection is closed with it.
fn check_run(
    call: &Call<'_>,
    answer: answer::Answer,
) -> Result<answer::Answer, classify::CallError> {
    let Some(resume) = call.resume else {
        return Ok(answer);
    };
    if answer.run.as_deref() == Some(resume.run) {
        return Ok(answer);
    }
    let detail = format!(
        "the stream was of run `{}` and goes on as run `{}`",
        resume.run,
        answer.run.as_deref().unwrap_or("")
    );
    Err(classify::CallError::new(
        call.address,
        classify::Failure::OtherRun,
        detail,
    ))
}
