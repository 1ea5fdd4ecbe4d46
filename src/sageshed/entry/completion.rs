//! Sends a completion to an engine and passes the answer on, whole or as it comes.
//!
//! # A stream that breaks
//!
//! Before its first event a stream is a try like any other, and the decider may have it tried
//! elsewhere. After that the caller has part of one run. Another run of the same prompt would give
//! other tokens, so the only way on is the same run: a new connection to the same engine, from the
//! event after the last whole one. Where the engine cannot, the stream ends with an event that says
//! so, and the connection is cut, so that no client takes the part for the whole.

use std::time;

use sageshed_callers::{openai, problem, reply};
use sageshed_decide::event;
use sageshed_engines::{answer, classify, client, events, paths};
use sageshed_types::{attempt_error, body::Body};

use super::request::{self, Tried};

/// The longest silence within a stream. Many times the gap between two tokens; a connection that is
/// silent for longer is given up, and the run is gone on with on another.
const GAP_LIMIT: time::Duration = time::Duration::from_secs(3);

/// How often one stream is resumed at most.
const RESUMES: u32 = 3;

/// A completion to be sent.
#[derive(Debug)]
pub struct Work {
    /// Which API.
    pub api: openai::Api,
    /// What was read of the body.
    pub parsed: openai::Completion,
    /// The body.
    pub body: Body,
}

impl Work {
    /// Sends it once.
    pub fn send<'c>(
        &mut self,
        open: &mut request::Open<'_>,
        order: &request::Order,
        reply: reply::Reply<'c>,
    ) -> Tried<'c> {
        self.rename(order);
        let (request_id, key) = (open.request_id.clone(), open.idempotency_key.clone());
        let call = self.call(&request_id, key.as_deref(), order);
        if self.parsed.stream {
            stream(open, order, &call, reply)
        } else {
            whole(open, order, &call, reply)
        }
    }

    /// Names the model that a rule chose. The body was parsed before, so this cannot fail.
    fn rename(&mut self, order: &request::Order) {
        let Some(model) = &order.model else { return };
        if *model == self.parsed.model {
            return;
        }
        if let Ok(body) = openai::with_model(&self.body, model) {
            self.body = body.into();
            self.parsed.model.clone_from(model);
        }
    }

    fn call<'a>(
        &'a self,
        request_id: &'a str,
        idempotency_key: Option<&'a str>,
        order: &'a request::Order,
    ) -> client::Call<'a> {
        client::Call {
            address: &order.address,
            path: match self.api {
                openai::Api::Chat => paths::CHAT_COMPLETIONS,
                openai::Api::Completions => paths::COMPLETIONS,
            },
            body: &self.body,
            streaming: self.parsed.stream,
            fresh: order.fresh,
            request_id,
            idempotency_key,
            priority: order.priority,
            deadline_left: order.total,
            first_byte_limit: order.first_byte,
            gap_limit: if self.parsed.stream {
                GAP_LIMIT
            } else {
                order.first_byte
            },
            resume: None,
        }
    }
}

fn whole<'c>(
    open: &mut request::Open<'_>,
    order: &request::Order,
    call: &client::Call<'_>,
    reply: reply::Reply<'c>,
) -> Tried<'c> {
    // This thread is blocked on the engine, so another one watches the caller.
    open.shared.watched.enter(open.req, reply.watch());
    let answer = open.shared.engines.send(call);
    let tried = match answer {
        Ok(answer) => plain(open, order, answer, reply),
        Err(e) => Tried::Failed(reply, e),
    };
    open.shared.watched.leave(open.req);
    tried
}

/// Passes on an answer that is not a stream.
fn plain<'c>(
    open: &mut request::Open<'_>,
    order: &request::Order,
    answer: answer::Answer,
    reply: reply::Reply<'c>,
) -> Tried<'c> {
    let (status, content_type) = (answer.status, answer.content_type.clone());
    let limit = open.shared.settings.limits.answer_bytes;
    let body = match answer.body.read_all(limit) {
        Ok(body) => body,
        Err(e) => return Tried::Failed(reply, e),
    };
    open.note_try(
        order,
        sageshed_types::verdict::Verdict::Ran,
        &format!("status {status}"),
    );
    open.note_rest(status, answer.retry_after);
    open.done(match status {
        400.. => event::AttemptOutcome::Refused { status },
        _ => event::AttemptOutcome::Done {
            tokens: tokens_of(&body),
        },
    });
    open.record(status, &content_type, &body);
    let head = reply::Head {
        request_id: &open.request_id,
        status,
        content_type: &content_type,
        headers: &[],
    };
    let sent = reply.whole(&head, &body);
    open.answered(status, body.len(), &sent);
    Tried::Answered(sent)
}

/// The tokens that the engine says it generated, or zero.
fn tokens_of(body: &[u8]) -> u32 {
    #[derive(serde::Deserialize)]
    struct Body {
        usage: Option<Usage>,
    }
    #[derive(serde::Deserialize)]
    struct Usage {
        completion_tokens: Option<u32>,
    }
    let usage = serde_json::from_slice::<Body>(body)
        .ok()
        .and_then(|body| body.usage);
    usage.and_then(|usage| usage.completion_tokens).unwrap_or(0)
}

fn stream<'c>(
    open: &mut request::Open<'_>,
    order: &request::Order,
    call: &client::Call<'_>,
    reply: reply::Reply<'c>,
) -> Tried<'c> {
    open.shared.watched.enter(open.req, reply.watch());
    let begun = begin(open, call);
    open.shared.watched.leave(open.req);
    let (run, mut events, first) = match begun {
        Ok(Begun::Stream(run, events, first)) => (run, events, first),
        Ok(Begun::Plain(answer)) => return plain(open, order, answer, reply),
        Err(e) => return Tried::Failed(reply, e),
    };
    open.shared.step(event::Event::FirstToken { req: open.req });
    let request_id = open.request_id.clone();
    let head = reply::Head {
        request_id: &request_id,
        status: 200,
        content_type: "text/event-stream",
        headers: &[("Cache-Control", "no-cache")],
    };
    let mut pump = Pump {
        stream: reply.stream(&head),
        bytes: 0,
        resumes: 0,
        run,
    };
    let result = pump.run(open, call, &mut events, first);
    Tried::Answered(pump.end(open, order, &events, result))
}

enum Begun {
    Stream(Option<String>, Box<events::Events>, Option<events::Event>),
    Plain(answer::Answer),
}

fn begin(open: &request::Open<'_>, call: &client::Call<'_>) -> Result<Begun, classify::CallError> {
    match open.shared.engines.stream(call)? {
        client::Streamed::Plain(answer) => Ok(Begun::Plain(answer)),
        client::Streamed::Events { run, mut events } => {
            let first = events.next_event()?;
            Ok(Begun::Stream(run, Box::new(events), first))
        }
    }
}

/// Moves the events of one run to its caller.
struct Pump<'c> {
    stream: reply::Stream<'c>,
    bytes: usize,
    resumes: u32,
    run: Option<String>,
}

/// Why a stream ended before its end.
enum Broken {
    CallerGone,
    Engine(classify::CallError),
}

impl Pump<'_> {
    fn run(
        &mut self,
        open: &request::Open<'_>,
        call: &client::Call<'_>,
        events: &mut Box<events::Events>,
        first: Option<events::Event>,
    ) -> Result<(), Broken> {
        let mut next = Ok(first);
        loop {
            match next {
                Ok(Some(event)) => self.pass(&event)?,
                Ok(None) => return Ok(()),
                Err(e) => **events = self.resume(open, call, events.data_seen(), e)?,
            }
            next = events.next_event();
        }
    }

    fn pass(&mut self, event: &events::Event) -> Result<(), Broken> {
        self.bytes += event.bytes.len();
        self.stream
            .send(&event.bytes)
            .map_err(|_gone| Broken::CallerGone)
    }

    fn resume(
        &mut self,
        open: &request::Open<'_>,
        call: &client::Call<'_>,
        from: u64,
        e: classify::CallError,
    ) -> Result<events::Events, Broken> {
        let Some(run) = self.run.clone() else {
            return Err(Broken::Engine(e));
        };
        if self.stream.caller_gone() {
            return Err(Broken::CallerGone);
        }
        let silent = matches!(
            e.fault,
            attempt_error::AttemptError::Stalled | attempt_error::AttemptError::Cut
        );
        if !silent || self.resumes >= RESUMES {
            return Err(Broken::Engine(e));
        }
        self.resumes += 1;
        log::info!(request = open.request_id.as_str(), from, fault:% = e.fault; "entry: stream resumed");
        let resume = Some(client::Resume { from, run: &run });
        match open
            .shared
            .engines
            .stream(&client::Call { resume, ..*call })
        {
            Ok(client::Streamed::Events { events, .. }) => Ok(events),
            Ok(client::Streamed::Plain(_)) => Err(Broken::Engine(e)),
            // A resume that was refused did not run, and the run that it was to go on with did: said
            // of the request, `not_run` would be false, and its claim would be given back.
            Err(again) => Err(Broken::Engine(classify::CallError {
                verdict: again.verdict.and(e.verdict),
                ..again
            })),
        }
    }

    fn end(
        mut self,
        open: &mut request::Open<'_>,
        order: &request::Order,
        events: &events::Events,
        result: Result<(), Broken>,
    ) -> reply::Sent {
        match result {
            Ok(()) => {
                let tokens = u32::try_from(events.data_seen()).unwrap_or(u32::MAX);
                open.note_try(order, sageshed_types::verdict::Verdict::Ran, "streamed");
                open.done(event::AttemptOutcome::Done { tokens });
                let sent = self.stream.finish();
                open.answered(200, self.bytes, &sent);
                sent
            }
            Err(Broken::CallerGone) => {
                open.note_try(
                    order,
                    sageshed_types::verdict::Verdict::MayHaveRun,
                    "caller left",
                );
                open.shared.step(event::Event::CallerGone(open.req));
                open.left();
                self.stream.abort()
            }
            Err(Broken::Engine(e)) => {
                open.note_try(order, e.verdict, &e.to_string());
                open.note_break(order, e.fault, e.verdict);
                let outcome = event::AttemptOutcome::Failed {
                    verdict: e.verdict,
                    fault: e.fault,
                };
                open.done(outcome);
                let refusal = open
                    .pending_refusal()
                    .unwrap_or_else(|| request::endpoint_failed(e.fault, &e.detail));
                open.refused(&refusal);
                let event = problem::stream_event(&open.request_id, &refusal);
                if self.stream.send(&event).is_err() {
                    log::debug!(request = open.request_id.as_str(); "entry: caller left");
                }
                self.stream.abort()
            }
        }
    }
}
