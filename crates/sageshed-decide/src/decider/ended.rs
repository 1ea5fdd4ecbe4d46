//! The end of an attempt: updates estimates and health, and decides about a retry.
//!
//! A request is retried only if all of these conditions hold:
//!
//! - it is repeatable, or it certainly did not run;
//! - no part of a streamed response has reached the caller, since the output of two runs must not be
//!   mixed;
//! - it has attempts left;
//! - another endpoint can still meet the deadline;
//! - the retry budget has a token.
//!
//! Otherwise it is refused with the most pessimistic verdict of all its attempts.

use sageshed_types::{time, verdict};

use crate::{event, request};

use super::{Actions, Decider, RefusalCause, admit};

/// HTTP status of an endpoint that is at capacity. Pauses the endpoint, but is no failure of it.
const TOO_MANY_REQUESTS: u16 = 429;

/// HTTP status of an endpoint that is temporarily unavailable. Pauses the endpoint and counts as its
/// failure.
const UNAVAILABLE: u16 = 503;

/// The lowest HTTP status that counts as a failure of the endpoint.
const FIRST_SERVER_ERROR: u16 = 500;

/// What follows a failed attempt.
enum NextStep {
    /// Retry as admission control decided.
    Retry(admit::Admission),
    /// Refuse the request for this reason.
    GiveUp(&'static str),
}

impl Decider {
    pub(super) fn mark_response_started(&mut self, req: event::ReqId) {
        if let Some(request) = self.requests.get_mut(&req) {
            request.response_started = true;
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

    /// Handles a backoff that the endpoint of an attempt requested. It applies only to the incarnation
    /// that requested it.
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
                self.record_status(now, sent, status);
                self.end_request(now, req);
            }
            event::AttemptOutcome::Failed { verdict, fault } => {
                self.handle_failure(now, req, sent, verdict, fault, out);
            }
        }
        self.send_waiting(now, Some(sent.endpoint), out);
    }

    /// Updates the health of an endpoint by the status of an error response that was passed on. The
    /// duration is not used for estimates: an instance that fails every request immediately would seem
    /// the fastest and attract the traffic of the others.
    fn record_status(&mut self, now: time::Instant, sent: request::Sent, status: u16) {
        if status == TOO_MANY_REQUESTS || status >= FIRST_SERVER_ERROR {
            self.record_failure(now, sent, event::AttemptError::Status(status));
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
        fault: event::AttemptError,
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
        match self.next_step(now, req) {
            NextStep::Retry(admit::Admission::Send(pick)) => self.send(now, req, pick, out),
            NextStep::Retry(_) => self.enqueue(now, req, out),
            NextStep::GiveUp(why) => self.refuse_failed(now, req, sent, fault, why, out),
        }
    }

    /// Whether an attempt only ran into the deadline of its request, while the endpoint kept answering
    /// other requests.
    ///
    /// Under load an endpoint responds later than estimated. If such timeouts counted as failures,
    /// healthy endpoints would be ejected just when all of them are needed.
    fn was_only_late(&self, sent: request::Sent, fault: event::AttemptError) -> bool {
        let endpoint = self.router.fleet.get(sent.endpoint);
        is_timeout(fault) && sent.limited_by_deadline && endpoint.health.answered_since(sent.at)
    }

    /// Records a failure of the endpoint. Attempts sent to an earlier incarnation don't count for the
    /// current one.
    fn record_failure(
        &mut self,
        now: time::Instant,
        sent: request::Sent,
        fault: event::AttemptError,
    ) {
        let router = &mut self.router;
        let endpoint = router.fleet.get_mut(sent.endpoint);
        if endpoint.incarnation != sent.incarnation {
            return;
        }
        if matches!(
            fault,
            event::AttemptError::Status(TOO_MANY_REQUESTS | UNAVAILABLE)
        ) {
            endpoint.pause(now + self.policy.busy_pause_ms);
        }
        if fault != event::AttemptError::Status(TOO_MANY_REQUESTS) {
            let random = &mut router.random;
            endpoint
                .health
                .failed(now, sent.at, fault, &self.policy, random);
        }
    }

    fn next_step(&mut self, now: time::Instant, req: event::ReqId) -> NextStep {
        let Some(request) = self.requests.get(&req) else {
            return NextStep::GiveUp("it is gone");
        };
        if request.not_repeatable && request.verdict != verdict::Verdict::NotRun {
            return NextStep::GiveUp("it may not be repeated");
        }
        if request.response_started && request.info.streaming {
            return NextStep::GiveUp("part of the answer had been passed on");
        }
        if request.attempts >= self.policy.max_attempts {
            return NextStep::GiveUp("no more tries are allowed");
        }
        if request.left(now).0 == 0 {
            return NextStep::GiveUp("its deadline has passed");
        }
        let admission = self.assess(now, req);
        if matches!(admission, admit::Admission::Refuse(_)) {
            return NextStep::GiveUp("no other endpoint can answer in time");
        }
        if !self.budget.spend() {
            return NextStep::GiveUp("the retry budget is used up");
        }
        NextStep::Retry(admission)
    }

    fn refuse_failed(
        &mut self,
        now: time::Instant,
        req: event::ReqId,
        sent: request::Sent,
        fault: event::AttemptError,
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

/// Whether the fault is a timeout while waiting for response data.
fn is_timeout(fault: event::AttemptError) -> bool {
    matches!(
        fault,
        event::AttemptError::NoFirstByte | event::AttemptError::Stalled
    )
}

/// The least share of an attempt's duration that counts as service time, however long the predicted
/// wait was.
const MIN_SERVICE_SHARE: f64 = 0.25;

/// The verdict that can be relied on after a failed attempt.
///
/// Once a connection was established, bytes may have been sent, and only a response of the endpoint
/// can prove that the request did not run. `NotRun` with any other fault is an error of the client
/// code; trusting it could run a request twice.
fn safe_verdict(fault: event::AttemptError, verdict: verdict::Verdict) -> verdict::Verdict {
    match fault {
        event::AttemptError::ConnectRefused
        | event::AttemptError::ConnectTimeout
        | event::AttemptError::Status(TOO_MANY_REQUESTS | UNAVAILABLE) => verdict,
        event::AttemptError::SendFailed
        | event::AttemptError::NoFirstByte
        | event::AttemptError::Stalled
        | event::AttemptError::Cut
        | event::AttemptError::Corrupt
        | event::AttemptError::Status(_) => verdict.and(verdict::Verdict::MayHaveRun),
    }
}

fn describe_fault(fault: event::AttemptError) -> String {
    let words = match fault {
        event::AttemptError::ConnectRefused => "connection refused",
        event::AttemptError::ConnectTimeout => "no connection in time",
        event::AttemptError::SendFailed => "the request could not be written",
        event::AttemptError::NoFirstByte => "no answer began in time",
        event::AttemptError::Stalled => "the answer stopped",
        event::AttemptError::Cut => "the connection closed before the answer was whole",
        event::AttemptError::Corrupt => "the answer made no sense",
        event::AttemptError::Status(status) => return format!("status {status}"),
    };
    words.to_owned()
}
