//! A try ended: what was learned, and whether there is another.
//!
//! A request is sent again only if all of these hold: it may be repeated, or no byte of it went out;
//! no part of a streamed answer has reached the caller, since two runs must not be spliced; tries
//! are left; another endpoint could still be on time; and the retry budget has a token. Else the
//! refusal carries the verdict that promises least over all tries.

use sageshed_types::{time, verdict};

use crate::{event, request};

use super::{Actions, Decider, RefusalCause, admit};

/// The status with which an endpoint says that it is full for now, which is no failure.
const TOO_MANY_REQUESTS: u16 = 429;

/// The status with which an endpoint says that it cannot serve for now.
const UNAVAILABLE: u16 = 503;

/// From this status on an answer is the endpoint's own fault.
const FIRST_SERVER_ERROR: u16 = 500;

/// What follows a failed try.
enum Next {
    /// Another try.
    Again(admit::Admission),
    /// No other, for this reason.
    GiveUp(&'static str),
}

impl Decider {
    pub(super) fn mark_answer_started(&mut self, req: event::ReqId) {
        if let Some(request) = self.requests.get_mut(&req) {
            request.answer_started = true;
        }
    }

    pub(super) fn handle_caller_gone(
        &mut self,
        now: time::Instant,
        req: event::ReqId,
        out: &mut Actions,
    ) {
        let Some(request) = self.requests.get(&req) else {
            return;
        };
        let state = request.state;
        self.end_request(now, req);
        if let request::State::Sent(sent) = state {
            let endpoint = sent.endpoint;
            out.push(event::Action::Cancel { req, endpoint });
            self.send_waiting(now, Some(endpoint), out);
        }
    }

    /// The endpoint of a try wants rest. An earlier start of it says nothing of this one.
    pub(super) fn handle_backoff(
        &mut self,
        now: time::Instant,
        req: event::ReqId,
        span: time::Millis,
    ) {
        let Some(request::State::Sent(sent)) = self.requests.get(&req).map(|it| it.state) else {
            return;
        };
        let endpoint = self.router.fleet.get_mut(sent.endpoint);
        if endpoint.incarnation == sent.incarnation {
            endpoint.pause(now + span);
        }
    }

    pub(super) fn handle_attempt_end(
        &mut self,
        now: time::Instant,
        req: event::ReqId,
        outcome: event::AttemptOutcome,
        out: &mut Actions,
    ) {
        let Some(request) = self.requests.get(&req) else {
            return;
        };
        let request::State::Sent(sent) = request.state else {
            return;
        };
        match outcome {
            event::AttemptOutcome::Done { tokens } => {
                self.learn(now, req, sent, tokens);
                self.end_request(now, req);
            }
            event::AttemptOutcome::Refused { status } => {
                self.judge_status(now, sent, status);
                self.end_request(now, req);
            }
            event::AttemptOutcome::Failed { verdict, fault } => {
                self.handle_failure(now, req, sent, verdict, fault, out);
            }
        }
        self.send_waiting(now, Some(sent.endpoint), out);
    }

    /// Judges an endpoint by the status of an answer that was passed on. Its time is not learned: an
    /// instance that answers everything with an error at once would seem the fastest of all and draw
    /// the requests of the others.
    fn judge_status(&mut self, now: time::Instant, sent: request::Sent, status: u16) {
        if status == TOO_MANY_REQUESTS || status >= FIRST_SERVER_ERROR {
            self.record_failure(now, sent, event::Fault::Status(status));
        } else {
            let endpoint = self.router.fleet.get_mut(sent.endpoint);
            endpoint.health.succeeded(now, sent.at);
        }
    }

    fn learn(&mut self, now: time::Instant, req: event::ReqId, sent: request::Sent, tokens: u32) {
        let Some(request) = self.requests.get(&req) else {
            return;
        };
        let took = now.since(sent.at).0 as f64;
        let span = (took - sent.wait).max(took * MIN_SERVICE_SHARE);
        let endpoint = sent.endpoint;
        self.router
            .learn(&request.requirements(), endpoint, span, tokens);
        let health = &mut self.router.fleet.get_mut(endpoint).health;
        health.succeeded(now, sent.at);
    }

    fn handle_failure(
        &mut self,
        now: time::Instant,
        req: event::ReqId,
        sent: request::Sent,
        verdict: verdict::Verdict,
        fault: event::Fault,
        out: &mut Actions,
    ) {
        self.release_slot(now, sent);
        if !self.was_only_late(sent, fault) {
            self.record_failure(now, sent, fault);
        }
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        request.state = request::State::Deciding;
        request.failed_on.push(sent.endpoint);
        request.verdict = request.verdict.and(safe_verdict(fault, verdict));
        match self.next(now, req) {
            Next::Again(admit::Admission::Send(pick)) => self.send(now, req, pick, out),
            Next::Again(_) => self.enqueue(now, req, out),
            Next::GiveUp(why) => self.give_up_failed(now, req, sent, fault, why, out),
        }
    }

    /// Whether a try ran out of the time that its request had, at an endpoint that went on answering
    /// others.
    ///
    /// Under load an endpoint answers later than was estimated. Counted as failures, these would
    /// eject endpoints in good order at the very moment at which all of them are needed.
    fn was_only_late(&self, sent: request::Sent, fault: event::Fault) -> bool {
        let endpoint = self.router.fleet.get(sent.endpoint);
        is_timeout(fault) && sent.limited_by_deadline && endpoint.health.answered_since(sent.at)
    }

    /// Counts a failure against the endpoint. Tries of an earlier start of it say nothing of this
    /// one.
    fn record_failure(&mut self, now: time::Instant, sent: request::Sent, fault: event::Fault) {
        let router = &mut self.router;
        let endpoint = router.fleet.get_mut(sent.endpoint);
        if endpoint.incarnation != sent.incarnation {
            return;
        }
        if matches!(fault, event::Fault::Status(TOO_MANY_REQUESTS | UNAVAILABLE)) {
            endpoint.pause(now + self.policy.busy_pause_ms);
        }
        if fault != event::Fault::Status(TOO_MANY_REQUESTS) {
            let random = &mut router.random;
            endpoint
                .health
                .failed(now, sent.at, fault, &self.policy, random);
        }
    }

    fn next(&mut self, now: time::Instant, req: event::ReqId) -> Next {
        let Some(request) = self.requests.get(&req) else {
            return Next::GiveUp("it is gone");
        };
        if request.not_repeatable && request.verdict != verdict::Verdict::NotRun {
            return Next::GiveUp("it may not be repeated");
        }
        if request.answer_started && request.info.streaming {
            return Next::GiveUp("part of the answer had been passed on");
        }
        if request.attempts >= self.policy.max_attempts {
            return Next::GiveUp("no more tries are allowed");
        }
        if request.left(now).0 == 0 {
            return Next::GiveUp("its deadline has passed");
        }
        let admission = self.assess(now, req);
        if matches!(admission, admit::Admission::Refuse(_)) {
            return Next::GiveUp("no other endpoint can answer in time");
        }
        if !self.budget.spend() {
            return Next::GiveUp("the retry budget is used up");
        }
        Next::Again(admission)
    }

    fn give_up_failed(
        &mut self,
        now: time::Instant,
        req: event::ReqId,
        sent: request::Sent,
        fault: event::Fault,
        why: &str,
        out: &mut Actions,
    ) {
        let Some(request) = self.requests.get(&req) else {
            return;
        };
        let repeatable = !request.not_repeatable || request.verdict == verdict::Verdict::NotRun;
        let endpoint = self.names.endpoints.name(sent.endpoint);
        let overdue = is_timeout(fault) && request.left(now).0 == 0;
        let cause = RefusalCause {
            reason: if overdue {
                verdict::Reason::DeadlinePassed
            } else {
                verdict::Reason::EndpointFailed
            },
            detail: format!(
                "endpoint `{endpoint}` failed on try {}: {}; {why}",
                request.attempts,
                describe_fault(fault)
            ),
            retry_after: repeatable.then_some(self.policy.eject_base_ms),
        };
        self.refuse(now, req, cause, out);
    }
}

/// Whether a fault is that nothing came in time.
fn is_timeout(fault: event::Fault) -> bool {
    matches!(fault, event::Fault::NoFirstByte | event::Fault::Stalled)
}

/// The least share of the time of a try that is taken to be service, whatever wait was predicted.
const MIN_SERVICE_SHARE: f64 = 0.25;

/// The verdict of a failed try. Once a connection stood, bytes may have gone out, and only the
/// endpoint's own answer can say that it did not run: `NotRun` with any other fault is a mistake of
/// the reader of that connection, and believing it would run a request twice.
fn safe_verdict(fault: event::Fault, verdict: verdict::Verdict) -> verdict::Verdict {
    match fault {
        event::Fault::ConnectRefused
        | event::Fault::ConnectTimeout
        | event::Fault::Status(TOO_MANY_REQUESTS | UNAVAILABLE) => verdict,
        event::Fault::SendFailed
        | event::Fault::NoFirstByte
        | event::Fault::Stalled
        | event::Fault::Cut
        | event::Fault::Corrupt
        | event::Fault::Status(_) => verdict.and(verdict::Verdict::MayHaveRun),
    }
}

fn describe_fault(fault: event::Fault) -> String {
    let words = match fault {
        event::Fault::ConnectRefused => "connection refused",
        event::Fault::ConnectTimeout => "no connection in time",
        event::Fault::SendFailed => "the request could not be written",
        event::Fault::NoFirstByte => "no answer began in time",
        event::Fault::Stalled => "the answer stopped",
        event::Fault::Cut => "the connection closed before the answer was whole",
        event::Fault::Corrupt => "the answer made no sense",
        event::Fault::Status(status) => return format!("status {status}"),
    };
    words.to_owned()
}
