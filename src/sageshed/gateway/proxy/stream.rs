//! Forwards the event stream of an endpoint, and resumes it at another one if it stalls or breaks off.

use std::time as std_time;

use sageshed_fleet::{chooser, dialect, silence};
use sageshed_http::reply;
use sageshed_types::time;
use sageshed_upstream::{exchange, failure};

use super::{
    AttemptResult, ProxiedRequest,
    kept_runs::{KeptFor, Progress},
};
use crate::gateway::{entry_peers, metrics, response::ResponseSink};

/// A silence between two reads of a stream that is logged when it ends.
const LOGGED_SILENCE: std_time::Duration = std_time::Duration::from_millis(700);

/// A stream of an endpoint.
#[derive(Debug)]
pub(super) struct StreamRun {
    pub(super) exchange: exchange::Exchange,
    pub(super) sent_at: std_time::Instant,
    /// The load that the endpoint has reported with the head.
    pub(super) load: Option<dialect::Load>,
    /// Whether a part of the body has arrived.
    pub(super) has_begun: bool,
    /// When its endpoint sent something last.
    pub(super) silent_since: std_time::Instant,
}

/// How far the response to the caller has come.
#[derive(Debug, Clone, Copy)]
struct Position {
    has_started: bool,
    /// Whether another endpoint could go on from here.
    can_resume: bool,
}

/// What follows in a stream.
enum Next {
    Chunk(exchange::Piece),
    /// Nothing yet, and another endpoint can be tried or goes on.
    Keep(KeptFor),
    Failed(failure::Failure),
}

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Forwards a stream to the caller event by event.
    pub(super) fn stream<'c>(
        &mut self,
        pick: &chooser::Pick,
        mut run: StreamRun,
        sink: ResponseSink<'c>,
        watch: &reply::Watch,
    ) -> AttemptResult<'c> {
        let position = Position {
            has_started: sink.has_started(),
            can_resume: !sink.has_started() || sink.last_id().is_some(),
        };
        let mut chunk = match self.next_chunk(pick, &mut run, watch, position) {
            Next::Chunk(chunk) => chunk,
            Next::Keep(reason) => return self.keep_stream(pick, run, sink, reason),
            Next::Failed(failure) if run.has_begun => {
                return self.break_off(pick, run, sink, &failure);
            }
            Next::Failed(failure) => return self.handle_failed_run(pick, sink, false, &failure),
        };
        let is_empty = chunk == exchange::Piece::End && !run.has_begun;
        if is_empty && run.exchange.ends_with_connection() {
            return self.handle_failed_run(pick, sink, false, &ended_inside_event());
        }
        self.end_kept_runs(metrics::SilenceEnd::Replaced);
        if !run.has_begun {
            run.has_begun = true;
            self.record_start(pick, run.sent_at, run.load);
            self.note_resumption(pick, sink.last_id());
            self.timings.record_start(self.req.received);
        }
        let (mut stream, mut events) = sink.start_stream(&run.exchange.head);
        loop {
            match chunk {
                exchange::Piece::Bytes(bytes) => {
                    let whole = events.push(self.shared.dialect, &bytes);
                    self.passed_on += whole.len() as u64;
                    self.shared.metrics.passed_on(whole.len());
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
                    if run.exchange.ends_with_connection() && events.is_broken_off() =>
                {
                    let sink = ResponseSink::Streaming(stream, events);
                    return self.break_off(pick, run, sink, &ended_inside_event());
                }
                exchange::Piece::End => {
                    let rest = events.take_rest();
                    let bytes = self.passed_on + rest.len() as u64;
                    if stream.send(&rest).is_err() {
                        ::log::info!(request = self.id(); "gateway: caller disconnected at the end of its stream");
                    }
                    self.end_attempt(pick, true, chooser::AttemptOutcome::Answered);
                    self.record_pauses(pick);
                    let status = run.exchange.head.status;
                    self.shared.pool.keep(pick.address, run.exchange);
                    self.finish_answered(pick, status, bytes, run.sent_at);
                    return AttemptResult::Done(stream.finish());
                }
            }
            let position = Position {
                has_started: true,
                can_resume: events.last_id.is_some(),
            };
            let next = self.next_chunk(pick, &mut run, watch, position);
            chunk = match next {
                Next::Chunk(chunk) => chunk,
                Next::Keep(reason) => {
                    let sink = ResponseSink::Streaming(stream, events);
                    return self.keep_stream(pick, run, sink, reason);
                }
                Next::Failed(failure) => {
                    let sink = ResponseSink::Streaming(stream, events);
                    return self.break_off(pick, run, sink, &failure);
                }
            };
        }
    }

    /// Handles a stream that the endpoint of `pick` has broken off.
    fn break_off<'c>(
        &mut self,
        pick: &chooser::Pick,
        run: StreamRun,
        sink: ResponseSink<'c>,
        failure: &failure::Failure,
    ) -> AttemptResult<'c> {
        let (sink, _incomplete) = sink.without_pending();
        // Close the connection before the stream is resumed elsewhere, so that this endpoint stops.
        drop(run);
        self.handle_failed_run(pick, sink, true, failure)
    }

    /// Keeps a stream, and has the request go on at another endpoint.
    fn keep_stream<'c>(
        &mut self,
        pick: &chooser::Pick,
        run: StreamRun,
        sink: ResponseSink<'c>,
        reason: KeptFor,
    ) -> AttemptResult<'c> {
        let (sink, incomplete) = sink.without_pending();
        self.keep_run(pick, Progress::Stream(run, incomplete), reason);
        AttemptResult::Retry(sink)
    }

    /// Reads the next chunk of a stream.
    ///
    /// A stream that has begun is not ended as soon as its caller should have given it up: the caller closes the connection
    /// then, and may do so later by its own clock.
    fn next_chunk(
        &mut self,
        pick: &chooser::Pick,
        run: &mut StreamRun,
        watch: &reply::Watch,
        position: Position,
    ) -> Next {
        let mut next_try = self.stalls_at(run.silent_since, position.has_started);
        loop {
            // While events arrive without a pause, `stop` is not asked.
            if self.shared.is_exiting() {
                return Next::Failed(cut_at_exit());
            }
            let may_switch = self.may_run_again() && position.can_resume;
            let until = if may_switch {
                self.deadline.min(next_try.max(self.next_switch))
            } else {
                self.deadline
            };
            let stop = || self.is_unwanted(watch, position.has_started);
            let patience = exchange::Patience { until, stop: &stop };
            let failure = match run.exchange.read(&patience) {
                Ok(chunk) => {
                    self.log_end_of_silence(pick, run.silent_since.elapsed());
                    run.silent_since = std_time::Instant::now();
                    return Next::Chunk(chunk);
                }
                Err(failure) => failure,
            };
            let is_over = self.time_left() == time::Millis(0);
            let is_interrupted = failure.cause == failure::Cause::Interrupted;
            if is_interrupted && !self.is_wait_over(watch, position.has_started) {
                return Next::Keep(KeptFor::EarlierRunGoesOn);
            }
            if failure.cause != failure::Cause::Silent || is_over {
                return Next::Failed(failure);
            }
            if self.has_free_alternative(pick) && self.acquire_retry() {
                return Next::Keep(KeptFor::Silence);
            }
            next_try = std_time::Instant::now() + silence::SWITCH_INTERVAL.into();
        }
    }

    /// Logs that an endpoint which was silent for long has sent something.
    fn log_end_of_silence(&self, pick: &chooser::Pick, silent: std_time::Duration) {
        if silent < LOGGED_SILENCE {
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

/// The failure of a stream that this process cuts since it exits.
fn cut_at_exit() -> failure::Failure {
    failure::Failure {
        cause: failure::Cause::Interrupted,
        is_sent: true,
        detail: "this entry process exits".to_owned(),
    }
}
