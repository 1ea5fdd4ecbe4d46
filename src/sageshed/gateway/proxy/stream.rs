//! Forwards the event stream of an endpoint, and resumes it at another one if it stalls or breaks off.

use std::time as std_time;

use sageshed_fleet::{chooser, dialect};
use sageshed_http::reply;
use sageshed_types::time;
use sageshed_upstream::{exchange, failure};

use super::{AttemptResult, ProxiedRequest};
use crate::gateway::{
    entry_peers,
    response::{EventBuffer, ResponseSink},
};

/// How long a resumable stream may send nothing before it is moved to another endpoint. Callers abandon a
/// stream after two seconds without data.
const STALL_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(1);

/// A silence between two reads of a stream that is logged when it ends.
const LOGGED_SILENCE: std_time::Duration = std_time::Duration::from_millis(700);

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Forwards a stream to the caller event by event.
    pub(super) fn stream<'c>(
        &mut self,
        pick: &chooser::Pick,
        mut exchange: exchange::Exchange,
        sink: ResponseSink<'c>,
        sent_at: std_time::Instant,
        stop: &impl Fn() -> bool,
        load: Option<dialect::Load>,
    ) -> AttemptResult<'c> {
        let can_resume = !sink.has_started() || sink.last_id().is_some();
        let mut chunk = match self.next_chunk(pick, &mut exchange, stop, can_resume) {
            Ok(chunk) => chunk,
            Err(failure) => return self.handle_failed_run(pick, sink, false, &failure),
        };
        if chunk == exchange::Piece::End && exchange.ends_with_connection() && !sink.has_started() {
            return self.handle_failed_run(pick, sink, false, &ended_inside_event());
        }
        self.record_start(pick, sent_at, load);
        self.note_resumption(pick, sink.last_id());
        self.timings.record_start(self.req.received);
        let (mut stream, mut events) = sink.start_stream(&exchange.head);
        let mut passed_on: u64 = 0;
        loop {
            match chunk {
                exchange::Piece::Bytes(bytes) => {
                    let whole = events.push(self.shared.dialect, &bytes);
                    passed_on += whole.len() as u64;
                    if self.timings.record_chunk() {
                        let now = self.shared.clock.now();
                        self.shared
                            .with_core(|core| core.chooser.record_activity(now, pick));
                    }
                    if !whole.is_empty() {
                        self.record_origin(pick);
                    }
                    if stream.send(&whole).is_err() {
                        self.end_attempt(pick, true, chooser::AttemptOutcome::GivenUp);
                        return AttemptResult::CallerGone(ResponseSink::Streaming(stream, events));
                    }
                    self.timings.last_sent = Some(std_time::Instant::now());
                }
                exchange::Piece::End
                    if exchange.ends_with_connection() && events.is_broken_off() =>
                {
                    return self.break_off(pick, exchange, stream, events, &ended_inside_event());
                }
                exchange::Piece::End => {
                    let rest = events.take_rest();
                    let bytes = passed_on + rest.len() as u64;
                    if stream.send(&rest).is_err() {
                        ::log::info!(request = self.id(); "gateway: caller disconnected at the end of its stream");
                    }
                    self.end_attempt(pick, true, chooser::AttemptOutcome::Answered);
                    self.record_pauses(pick);
                    let exchange_status = exchange.head.status;
                    self.shared.pool.keep(pick.address, exchange);
                    self.finish_answered(pick, exchange_status, bytes, sent_at);
                    return AttemptResult::Done(stream.finish());
                }
            }
            let can_resume = events.last_id.is_some();
            chunk = match self.next_chunk(pick, &mut exchange, stop, can_resume) {
                Ok(chunk) => chunk,
                Err(failure) => return self.break_off(pick, exchange, stream, events, &failure),
            };
        }
    }

    /// Handles a stream that the endpoint of `pick` has broken off.
    fn break_off<'c>(
        &mut self,
        pick: &chooser::Pick,
        exchange: exchange::Exchange,
        stream: reply::Stream<'c>,
        mut events: EventBuffer,
        failure: &failure::Failure,
    ) -> AttemptResult<'c> {
        events.drop_rest();
        // Close the connection before the stream is resumed elsewhere, so that this endpoint stops.
        drop(exchange);
        let sink = ResponseSink::Streaming(stream, events);
        self.handle_failed_run(pick, sink, true, failure)
    }

    /// Reads the next chunk of a stream. `can_resume` tells whether another endpoint could resume it.
    ///
    /// A stalled stream is abandoned only if a free endpoint can resume it and a retry is available. Otherwise its
    /// caller would lose the rest of the response, while most often the engine is only busy with the prefill of other
    /// prompts, and the stream continues by itself.
    fn next_chunk<S: Fn() -> bool>(
        &mut self,
        pick: &chooser::Pick,
        exchange: &mut exchange::Exchange,
        stop: &S,
        can_resume: bool,
    ) -> Result<exchange::Piece, failure::Failure> {
        loop {
            let may_retry =
                self.route.kind.is_retryable() && self.possible_runs < self.route.attempts;
            let may_move = may_retry && can_resume;
            let until = if may_move {
                self.deadline.min(std_time::Instant::now() + STALL_TIMEOUT)
            } else {
                self.deadline
            };
            // A stream that has been silent for as long as its caller waits ends as if the caller had disconnected.
            let stop = &|| stop() || self.is_abandoned();
            let began = std_time::Instant::now();
            let read = exchange.read(&exchange::Patience { until, stop });
            self.log_end_of_silence(pick, began.elapsed(), &read);
            let is_silent = matches!(&read, Err(e) if e.cause == failure::Cause::Silent);
            let is_over = self.time_left() == time::Millis(0);
            if !is_silent || is_over || (self.has_free_alternative(pick) && self.acquire_retry()) {
                return read;
            }
        }
    }

    /// Logs that an endpoint which was silent for long has sent something. Of a run that was given up before, nothing
    /// further is heard, so that only the other runs at the endpoint show whether it was down.
    fn log_end_of_silence(
        &self,
        pick: &chooser::Pick,
        silent: std_time::Duration,
        read: &Result<exchange::Piece, failure::Failure>,
    ) {
        if silent < LOGGED_SILENCE || read.is_err() {
            return;
        }
        ::log::info!(request = self.id(), endpoint:% = pick.instance, silent_ms = time::Millis::from(silent).0;
            "gateway: endpoint goes on after a silence");
    }

    /// Whether an endpoint other than that of `pick` could start the request now.
    fn has_free_alternative(&self, pick: &chooser::Pick) -> bool {
        let mut tried = self.tried_endpoints.clone();
        tried.push(pick.key);
        let query = chooser::EndpointQuery {
            tried: &tried,
            time_until_late: time::Millis(0),
            may_be_late: false,
            ..self.endpoint_query(self.time_left())
        };
        let now = self.shared.clock.now();
        self.shared
            .with_core(|core| core.chooser.has_free_endpoint(now, &query))
    }

    /// Reports the gaps between the events of a complete stream to the chooser and to entry peers.
    fn record_pauses(&self, pick: &chooser::Pick) {
        let Some(limit) = self.route.event_gap_target else {
            return;
        };
        let now = self.shared.clock.now();
        let (first, longest) = (self.timings.first_event, self.timings.longest_pause);
        let lasted = self.req.received.elapsed().saturating_sub(first);
        let pauses = chooser::Pauses {
            lasted: lasted.into(),
            longest: longest.into(),
            limit,
        };
        self.shared
            .with_core(|core| core.chooser.record_pauses(now, pick, pauses));
        entry_peers::report_pauses(self.shared, pick, pauses);
    }
}

/// The failure of a stream whose connection ended in good order, but inside an event or before the first one.
fn ended_inside_event() -> failure::Failure {
    failure::Failure {
        cause: failure::Cause::ClosedInAnswer,
        is_sent: true,
        detail: "the connection ended inside an event".to_owned(),
    }
}
