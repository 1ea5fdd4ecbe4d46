//! Receives a response that is not a stream, and passes it on once it is complete.

use std::time as std_time;

use sageshed_fleet::{chooser, dialect, silence};
use sageshed_http::reply;
use sageshed_types::{framing, shared_memory::Reservation, time};
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
    load: Option<dialect::Load>,
    /// When the head arrived.
    began_at: std_time::Instant,
    /// What has arrived of the body.
    body: Vec<u8>,
    /// The memory for it.
    memory: Reservation,
}

impl WholeRun {
    /// A response of which the head has arrived.
    pub(super) fn new(
        exchange: exchange::Exchange,
        sent_at: std_time::Instant,
        load: Option<dialect::Load>,
        memory: Reservation,
    ) -> Self {
        Self {
            exchange,
            sent_at,
            load,
            began_at: std_time::Instant::now(),
            body: Vec::new(),
            memory,
        }
    }

    /// Takes what has arrived of the body.
    fn push(&mut self, bytes: &[u8]) -> Result<(), failure::Failure> {
        self.body.extend_from_slice(bytes);
        let left = self.exchange.length().unwrap_or(0);
        let length = left.saturating_add(self.body.len() as u64);
        if length > MAX_RESPONSE_BYTES as u64 {
            let detail = format!("the response is larger than {MAX_RESPONSE_BYTES} bytes");
            return Err(failure::Failure::malformed(&detail));
        }
        let held = self.memory.resize(self.body.len());
        held.map_err(|e| failure::Failure::malformed(&e))
    }

    fn progress(&self, time_left: time::Millis) -> silence::BodyProgress {
        silence::BodyProgress {
            received: self.body.len() as u64,
            left: self.exchange.length(),
            elapsed: self.began_at.elapsed().into(),
            time_left,
        }
    }
}

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Receives the rest of a response, and passes it on. It is kept while another endpoint is tried, if it will not be
    /// complete in time or a silent endpoint goes on.
    pub(super) fn receive_whole<'c>(
        &mut self,
        pick: &chooser::Pick,
        mut run: WholeRun,
        sink: ResponseSink<'c>,
        watch: &reply::Watch,
    ) -> AttemptResult<'c> {
        let mut next_look = std_time::Instant::now() + silence::SWITCH_INTERVAL.into();
        let reason = loop {
            let stop = || self.is_unwanted(watch, true);
            let patience = exchange::Patience {
                until: self.deadline.min(next_look),
                stop: &stop,
            };
            let received = run.exchange.read(&patience).and_then(|piece| match piece {
                exchange::Piece::Bytes(bytes) => run.push(&bytes).map(|()| false),
                exchange::Piece::End => Ok(true),
            });
            let failure = match received {
                Ok(false) => continue,
                Ok(true) => match self.early_end(pick, &run.exchange, false, None) {
                    None => return self.finish_whole(pick, run, sink),
                    Some(failure) => failure,
                },
                Err(failure) => failure,
            };
            let time_left = self.time_left();
            match failure.cause {
                failure::Cause::Interrupted if !self.is_wait_over(watch, true) => {
                    break KeptFor::EarlierRunGoesOn;
                }
                failure::Cause::Silent if time_left > time::Millis(0) => {
                    let is_late = run.progress(time_left).is_late();
                    if is_late && self.try_acquire_switch(self.possible_runs) {
                        break KeptFor::Silence;
                    }
                    next_look = std_time::Instant::now() + silence::SWITCH_INTERVAL.into();
                }
                _ => {
                    let bytes = run.body.len() as u64;
                    self.record_response_end(pick, &run.exchange, bytes, None, Some(&failure));
                    return self.handle_failed_run(pick, sink, false, &failure);
                }
            }
        };
        self.keep_run(pick, Progress::Whole(run), reason);
        AttemptResult::Retry(sink)
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
        let passed_by = match run.exchange.delimiter() {
            framing::Delimiter::Chunks => framing::Delimiter::Length,
            delimiter => delimiter,
        };
        let bytes = run.body.len() as u64;
        self.record_response_end(pick, &run.exchange, bytes, Some(passed_by), None);
        self.keep_connection(pick, run.exchange);
        self.shared.metrics.passed_on(run.body.len());
        self.finish_answered(pick, head.status, run.body.len() as u64, run.sent_at);
        AttemptResult::Done(sink.send_whole(&head, passed_by, &run.body))
    }
}
