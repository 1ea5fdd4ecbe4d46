//! How a request ends: answered, refused or left, with its account kept and its claim settled.

use sageshed_callers::reply;
use sageshed_decide::event;
use sageshed_types::{claims, refusal, request_trace, time as types_time, verdict};

use super::request;
use crate::locks;

impl request::Open<'_> {
    /// Keeps the answer for later arrivals of the same key.
    pub fn record(&mut self, status: u16, content_type: &str, body: &[u8]) {
        let fits = body.len() <= self.shared.settings.common.claims.answer_bytes;
        if self.claim.is_some() && fits {
            self.answer = Some(claims::RecordedAnswer {
                status,
                content_type: content_type.to_owned(),
                body: body.to_vec(),
            });
        }
    }

    /// Ends it with an answer that went out whole, or to a caller who had left.
    pub fn answered(&mut self, status: u16, bytes: usize, sent: &reply::Sent) {
        let end = if sent.is_whole() {
            request_trace::RequestOutcome::Answered {
                status,
                bytes: bytes as u64,
            }
        } else {
            request_trace::RequestOutcome::CallerGone
        };
        let answer = self.answer.take();
        self.end(end, claims::ExecutionOutcome::Ran { answer });
    }

    /// Ends it with a refusal.
    ///
    /// The refusal speaks for all tries under the key, the claim for this arrival alone. One that sent
    /// nothing gives its claim back whatever the refusal says: settled as unknown, a claim that is
    /// committed late would keep the order from ever being sent.
    pub fn refused(&mut self, refusal: &refusal::Refusal) {
        let sent = self.account.tries.iter();
        let may_have_run = sent
            .map(|it| it.verdict)
            .any(|it| it != verdict::Verdict::NotRun);
        let end = match refusal.verdict {
            verdict::Verdict::Ran => claims::ExecutionOutcome::Ran { answer: None },
            verdict::Verdict::MayHaveRun if may_have_run => claims::ExecutionOutcome::Unknown,
            verdict::Verdict::MayHaveRun | verdict::Verdict::NotRun => {
                claims::ExecutionOutcome::NotRun
            }
        };
        self.end(request_trace::RequestOutcome::Refused(refusal.clone()), end);
    }

    /// Ends it with a caller who has left; whether it ran is as the tries show.
    pub fn left(&mut self) {
        let end = match self.verdict() {
            verdict::Verdict::NotRun => claims::ExecutionOutcome::NotRun,
            verdict::Verdict::MayHaveRun | verdict::Verdict::Ran => {
                claims::ExecutionOutcome::Unknown
            }
        };
        self.end(request_trace::RequestOutcome::CallerGone, end);
    }

    pub(super) fn refuse(
        &mut self,
        reply: reply::Reply<'_>,
        mut refusal: refusal::Refusal,
    ) -> reply::Sent {
        if refusal.rule.is_none() && refusal.revision.0 == 0 {
            refusal.revision = locks::lock(&self.shared.config).rules.revision;
        }
        self.refused(&refusal);
        reply.refusal(&self.request_id, &refusal)
    }

    /// Refuses what the decider was ready to send.
    pub(super) fn take_back(
        &mut self,
        reply: reply::Reply<'_>,
        refusal: refusal::Refusal,
    ) -> reply::Sent {
        self.shared.step(event::Event::CallerGone(self.req));
        let verdict = refusal.verdict.and(self.verdict());
        self.refuse(reply, refusal::Refusal { verdict, ..refusal })
    }

    pub(super) fn caller_gone(&mut self, reply: reply::Reply<'_>) -> reply::Sent {
        self.shared.step(event::Event::CallerGone(self.req));
        // Read by a caller that has ended only its sending side. The connection ends with it.
        let gone = refusal::Refusal {
            verdict: self.verdict(),
            ..refusal::Refusal::not_run(verdict::Reason::Internal, "the caller has left")
        };
        self.left();
        reply.refusal(&self.request_id, &gone)
    }

    /// Whether the request may have run, by its tries.
    fn verdict(&self) -> verdict::Verdict {
        let tries = self.account.tries.iter().map(|it| it.verdict);
        tries.max().unwrap_or(verdict::Verdict::NotRun)
    }

    fn end(&mut self, end: request_trace::RequestOutcome, claim: claims::ExecutionOutcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        self.note_decision();
        self.account.end = end;
        self.account.took = types_time::Millis::from(self.meta.received.elapsed());
        if let Some(held) = self.claim.take() {
            let settle = claims::Settle {
                key: held.key,
                holder: held.holder,
                end: claim,
            };
            self.shared.claims.settle(settle);
        }
        self.shared.metrics.ended(&self.account);
        log_end(&self.account);
        locks::lock(&self.shared.accounts).keep(self.account.clone());
    }
}

/// A thread that panicked leaves neither a slot taken nor a claim open.
impl Drop for request::Open<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.shared.step(event::Event::CallerGone(self.req));
            self.end(
                request_trace::RequestOutcome::CallerGone,
                claims::ExecutionOutcome::Unknown,
            );
        }
        self.shared.waiters.leave(self.req);
        self.shared.watched.leave(self.req);
    }
}

fn log_end(account: &request_trace::RequestTrace) {
    let request = account.request_id.as_str();
    let caller = account.caller.as_deref().unwrap_or("");
    let took = account.took.0;
    match &account.end {
        request_trace::RequestOutcome::Answered { status, .. } => {
            log::debug!(request, caller, status, took; "entry: request answered");
        }
        request_trace::RequestOutcome::Refused(refusal) => {
            let rule = refusal.rule.as_deref().unwrap_or("");
            log::info!(request, caller, reason:% = refusal.reason, verdict:% = refusal.verdict, rule,
                revision:% = refusal.revision, took; "entry: request refused");
        }
        request_trace::RequestOutcome::CallerGone | request_trace::RequestOutcome::Open => {
            log::info!(request, caller, took; "entry: caller left");
        }
    }
}
