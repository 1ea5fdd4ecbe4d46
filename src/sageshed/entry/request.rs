//! The life of one request, on the thread of its connection.
//!
//! [`Open::run`] feeds the arrival to the decider and then does what it says, one action after the
//! other: wait, ask for a claim, send, answer. However it ends, the account is kept, the claim is
//! settled and the decider gets its slot back.

use std::{sync::mpsc, time};

use sageshed_callers::reply;
use sageshed_decide::event;
use sageshed_engines::classify;
use sageshed_types::{
    arena, attempt_error, claims, endpoints, refusal, request_trace, time as types_time, verdict,
};

use super::{completion, service, shared};
use crate::{clock, locks};

/// How often a request that waits looks whether its caller has left.
const LOOK: time::Duration = time::Duration::from_millis(50);

/// What is known of a request besides the decider's facts.
#[derive(Debug, Clone)]
pub struct Meta {
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// Of method, path and body.
    pub digest: u64,
    /// When its first byte was read.
    pub received: time::Instant,
}

/// What is to be sent.
#[derive(Debug)]
pub enum Work {
    /// To an engine.
    Completion(completion::Work),
    /// To a plain service.
    Service(Box<service::Work>),
}

/// One sending, as the decider orders it.
#[derive(Debug, Clone)]
pub struct Order {
    /// The endpoint's name.
    pub endpoint: String,
    /// Its start, as far as it is known.
    pub incarnation: Option<endpoints::Incarnation>,
    /// `IP:port`.
    pub address: String,
    /// The model to ask for.
    pub model: Option<String>,
    /// 0 to 9.
    pub priority: u8,
    /// Time left, with what it may overrun.
    pub total: time::Duration,
    /// How long to wait for the first byte.
    pub first_byte: time::Duration,
    /// Takes a connection of its own.
    pub fresh: bool,
    /// When it began, since the request arrived.
    pub begun: types_time::Millis,
}

/// What came of one sending.
#[derive(Debug)]
pub enum Tried<'c> {
    /// The caller has been answered.
    Answered(reply::Sent),
    /// It failed, and nothing went to the caller yet.
    Failed(reply::Reply<'c>, classify::CallError),
}

/// A request under way.
#[derive(Debug)]
pub struct Open<'s> {
    /// What the process shares.
    pub shared: &'s shared::Shared,
    /// Its number.
    pub req: event::ReqId,
    /// Its id for callers, operators and endpoints.
    pub request_id: String,
    /// The idempotency key, if the caller gave one.
    pub idempotency_key: Option<String>,
    pub(super) facts: event::RequestInfo,
    pub(super) meta: Meta,
    rx: mpsc::Receiver<event::Action>,
    pub(super) account: request_trace::RequestTrace,
    pub(super) claim: Option<claims::Claim>,
    pub(super) answer: Option<claims::RecordedAnswer>,
    pub(super) ended: bool,
}

/// What the decider says next.
enum Next {
    Send(Order),
    Claim,
    Refuse(refusal::Refusal),
    CallerGone,
}

impl<'s> Open<'s> {
    /// A request that has arrived whole.
    #[must_use]
    pub fn new(
        shared: &'s shared::Shared,
        facts: event::RequestInfo,
        caller: String,
        target: String,
        meta: Meta,
    ) -> Self {
        let request_id = shared.request_id(facts.id);
        let account = request_trace::RequestTrace {
            request_id: request_id.clone(),
            arrived_unix_ms: clock::unix_ms(),
            caller: Some(caller),
            class: None,
            target: Some(target),
            rule: None,
            revision: sageshed_types::rules::Revision::default(),
            not_repeatable: facts.not_repeatable,
            deadline: facts.deadline.unwrap_or_default(),
            queued: types_time::Millis(0),
            queues: Vec::new(),
            candidates: Vec::new(),
            tries: Vec::new(),
            end: request_trace::RequestOutcome::Open,
            took: types_time::Millis(0),
        };
        Self {
            shared,
            req: facts.id,
            request_id,
            idempotency_key: meta.idempotency_key.clone(),
            facts,
            rx: shared.waiters.enter(facts.id),
            meta,
            account,
            claim: None,
            answer: None,
            ended: false,
        }
    }

    /// Runs it to its end.
    pub fn run(mut self, mut work: Work, mut reply: reply::Reply<'_>) -> reply::Sent {
        if let Some(refusal) = self.may_not_serve() {
            return self.refuse_or_recall(reply, refusal);
        }
        self.shared.step(event::Event::Arrived(self.facts));
        loop {
            match self.next(&reply) {
                Next::Claim => match self.ask_claim() {
                    Ok(()) => self.shared.step(event::Event::ClaimGranted(self.req)),
                    Err(denied) => return self.deny(reply, denied),
                },
                Next::Send(order) => {
                    if let Some(refusal) = self.may_not_serve() {
                        return self.take_back(reply, refusal);
                    }
                    match self.send(&order, &mut work, reply) {
                        Tried::Answered(sent) => return sent,
                        Tried::Failed(again, e) => {
                            self.note_failure(&order, &e);
                            reply = again;
                        }
                    }
                }
                Next::Refuse(refusal) => return self.refuse_or_recall(reply, refusal),
                Next::CallerGone => return self.caller_gone(reply),
            }
        }
    }

    /// Why this process may not pass the request on now, if it may not.
    ///
    /// Looked at before each sending, too: what waited may be held by what was learnt meanwhile.
    fn may_not_serve(&self) -> Option<refusal::Refusal> {
        self.shared.unconfirmed().or_else(|| self.refuse_held())
    }

    fn send<'c>(&mut self, order: &Order, work: &mut Work, reply: reply::Reply<'c>) -> Tried<'c> {
        log::debug!(request = self.request_id.as_str(), endpoint = order.endpoint.as_str();
            "entry: request sent");
        match work {
            Work::Completion(work) => work.send(self, order, reply),
            Work::Service(work) => work.send(self, order, reply),
        }
    }

    /// Waits for the decider's word on this request.
    fn next(&self, reply: &reply::Reply<'_>) -> Next {
        loop {
            match self.rx.recv_timeout(LOOK) {
                Ok(event::Action::Send {
                    endpoint,
                    model,
                    priority,
                    deadline_left,
                    first_byte_limit,
                    attempt,
                    ..
                }) => {
                    let sending = Sending {
                        endpoint,
                        model,
                        priority,
                        deadline_left,
                        first_byte_limit,
                    };
                    return Next::Send(self.order(&sending, attempt));
                }
                Ok(event::Action::Claim { .. }) => return Next::Claim,
                Ok(event::Action::Refuse { refusal, .. }) => return Next::Refuse(refusal),
                Err(_) if reply.caller_gone() => return Next::CallerGone,
                Ok(event::Action::Queue { .. } | event::Action::Cancel { .. }) | Err(_) => {}
            }
        }
    }

    fn order(&self, sending: &Sending, attempt: u32) -> Order {
        let policy = &self.shared.settings.common.routing;
        let decider = locks::lock(&self.shared.decider);
        let endpoint = decider.endpoint_name(sending.endpoint).to_owned();
        let not_repeatable = self.is_not_repeatable(&decider);
        let overrun = if not_repeatable {
            policy.overrun_share_not_repeatable
        } else {
            policy.overrun_share
        };
        let left: time::Duration = sending.deadline_left.into();
        let address = decider.endpoint_address(sending.endpoint).to_owned();
        let model = sending
            .model
            .map(|key| decider.names().models.name(key).to_owned());
        drop(decider);
        Order {
            incarnation: self.shared.known_incarnation(&endpoint),
            endpoint,
            address,
            model,
            priority: sending.priority,
            total: left.mul_f64(1.0 + overrun.max(0.0)),
            first_byte: sending.first_byte_limit.into(),
            fresh: not_repeatable || attempt > 1,
            begun: types_time::Millis::from(self.meta.received.elapsed()),
        }
    }

    fn is_not_repeatable(&self, decider: &sageshed_decide::decider::Decider) -> bool {
        decider
            .is_not_repeatable(self.req)
            .unwrap_or(self.facts.not_repeatable)
    }

    /// An endpoint that turned a request away gets the rest that it asks for.
    pub fn note_rest(&self, status: u16, retry_after: Option<types_time::Millis>) {
        if let Some(span) = retry_after.filter(|_| matches!(status, 429 | 503)) {
            self.shared.step(event::Event::BackoffRequested {
                req: self.req,
                span,
            });
        }
    }

    fn note_failure(&mut self, order: &Order, e: &classify::CallError) {
        if let attempt_error::AttemptError::Status(status) = e.fault {
            self.note_rest(status, e.retry_after);
        }
        self.note_try(order, e.verdict, &e.to_string());
        self.note_break(order, e.fault, e.verdict);
        let outcome = event::AttemptOutcome::Failed {
            verdict: e.verdict,
            fault: e.fault,
        };
        self.shared.step(event::Event::AttemptEnded {
            req: self.req,
            outcome,
        });
    }

    /// Adds a try to the account.
    pub fn note_try(&mut self, order: &Order, verdict: verdict::Verdict, outcome: &str) {
        self.account.tries.push(request_trace::Attempt {
            endpoint: order.endpoint.clone(),
            started: order.begun,
            verdict,
            outcome: outcome.to_owned(),
        });
    }

    /// Tells the decider that a try ended with an answer.
    pub fn done(&self, outcome: event::AttemptOutcome) {
        if matches!(outcome, event::AttemptOutcome::Done { .. }) {
            self.clear_of_crashes();
        }
        self.shared.step(event::Event::AttemptEnded {
            req: self.req,
            outcome,
        });
    }

    /// The refusal that the decider has left for this request while its thread was busy, if any.
    #[must_use]
    pub fn pending_refusal(&self) -> Option<refusal::Refusal> {
        self.rx.try_iter().find_map(|action| match action {
            event::Action::Refuse { refusal, .. } => Some(refusal),
            _ => None,
        })
    }

    pub(super) fn note_decision(&mut self) {
        let part = locks::lock(&self.shared.decider).request_trace(self.req);
        if let Some(part) = part {
            self.account.rule = part.rule;
            self.account.revision = part.revision;
            self.account.class = Some(part.class);
            self.account.not_repeatable = part.not_repeatable;
            self.account.deadline = part.deadline;
            self.account.queued = part.queued;
            self.account.candidates = part.candidates;
        }
    }
}

/// The decider's words for one sending.
struct Sending {
    endpoint: arena::EndpointKey,
    model: Option<arena::ModelKey>,
    priority: u8,
    deadline_left: types_time::Millis,
    first_byte_limit: types_time::Millis,
}

/// The refusal of a request that an endpoint failed, where the decider was not asked again.
#[must_use]
pub fn endpoint_failed(fault: attempt_error::AttemptError, detail: &str) -> refusal::Refusal {
    let detail = format!("the endpoint failed ({fault}) after its answer had begun: {detail}");
    refusal::Refusal::new(
        verdict::Reason::EndpointFailed,
        verdict::Verdict::MayHaveRun,
        detail,
    )
}
