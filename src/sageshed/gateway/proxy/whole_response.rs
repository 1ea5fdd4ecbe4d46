//! Receives a response that is not a stream, and passes it on once it is complete.

use std::time as std_time;

use sageshed_fleet::{chooser, dialect};
use sageshed_http::reply;
use sageshed_upstream::{exchange, failure};

use super::{
    AttemptResult, ProxiedRequest,
    attempt::MAX_RESPONSE_BYTES,
    kept_runs::{KeptFor, Progress},
};
use crate::gateway::{metrics, response::ResponseSink};

/// A run whose response is not a stream and has begun.
#[derive(Debug)]
pub(super) struct WholeRun {
    pub(super) exchange: exchange::Exchange,
    pub(super) sent_at: std_time::Instant,
    /// The load that the endpoint has reported with the head.
    pub(super) load: Option<dialect::Load>,
    /// What has arrived of the body.
    pub(super) body: Vec<u8>,
}

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Receives the rest of a response, and passes it on. It is kept if nothing comes while a silent endpoint goes on.
    pub(super) fn receive_whole<'c>(
        &mut self,
        pick: &chooser::Pick,
        mut run: WholeRun,
        sink: ResponseSink<'c>,
        watch: &reply::Watch,
    ) -> AttemptResult<'c> {
        let stop = || self.is_unwanted(watch, true);
        let patience = exchange::Patience {
            until: self.deadline,
            stop: &stop,
        };
        let received = run
            .exchange
            .read_rest(&mut run.body, MAX_RESPONSE_BYTES, &patience);
        match received {
            Ok(()) => self.finish_whole(pick, run, sink),
            Err(failure)
                if failure.cause == failure::Cause::Interrupted
                    && !self.is_wait_over(watch, true) =>
            {
                self.keep_run(pick, Progress::Whole(run), KeptFor::EarlierRunGoesOn);
                AttemptResult::Retry(sink)
            }
            Err(failure) => self.handle_failed_run(pick, sink, false, &failure),
        }
    }

    /// Passes on a response that has been received.
    fn finish_whole<'c>(
        &mut self,
        pick: &chooser::Pick,
        run: WholeRun,
        sink: ResponseSink<'c>,
    ) -> AttemptResult<'c> {
        self.end_kept_runs(metrics::SilenceEnd::Replaced);
        self.record_start(pick, run.sent_at, run.load);
        let head = run.exchange.head.clone();
        let outcome = if head.status >= 500 {
            chooser::AttemptOutcome::Failed
        } else {
            chooser::AttemptOutcome::Answered
        };
        self.end_attempt(pick, true, outcome);
        self.shared.pool.keep(pick.address, run.exchange);
        self.shared.metrics.passed_on(run.body.len());
        self.finish_answered(pick, head.status, run.body.len() as u64, run.sent_at);
        AttemptResult::Done(sink.send_whole(&head, &run.body))
    }
}
