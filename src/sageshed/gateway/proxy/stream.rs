//! Forwards the event stream of an endpoint, and resumes it at another one if it stalls or breaks off.
//!
//! Only events are progress. An endpoint whose bytes never become one is left like a silent one.

use std::time as std_time;

use sageshed_fleet::{chooser, dialect, event_order, events, silence};
use sageshed_http::reply;
use sageshed_types::{shared_memory::Reservation, time};
use sageshed_upstream::{exchange, failure};

use super::{
    AttemptResult, ProxiedRequest,
    kept_runs::{KeptFor, Progress},
};
use crate::gateway::{entry_peers, metrics, response::ResponseSink};

/// A silence between two events of a stream that is logged when it ends.
const LOGGED_SILENCE: std_time::Duration = std_time::Duration::from_millis(700);

/// A stream of an endpoint.
#[derive(Debug)]
pub(super) struct StreamRun {
    pub(super) exchange: exchange::Exchange,
    pub(super) sent_at: std_time::Instant,
    /// The load that the endpoint has reported with the head.
    load: Option<dialect::Load>,
    /// The bytes of its body that have arrived.
    received: u64,
    /// What has arrived after the latest complete event.
    events: events::Splitter,
    /// Comments that have arrived before the first event.
    comments: Vec<u8>,
    /// The memory for both.
    memory: Reservation,
    /// Whether an event has arrived.
    pub(super) has_begun: bool,
    /// When the latest event arrived, or else the head.
    pub(super) silent_since: std_time::Instant,
    /// When the latest comment arrived.
    commented_at: Option<std_time::Instant>,
    /// What is wrong with the event that follows those that were passed on.
    failure: Option<failure::Failure>,
}

impl StreamRun {
    /// A stream of which the head has arrived.
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
            received: 0,
            events: events::Splitter::default(),
            comments: Vec::new(),
            memory,
            has_begun: false,
            silent_since: std_time::Instant::now(),
            commented_at: None,
            failure: None,
        }
    }

    /// Whether its endpoint has lately sent a comment.
    pub(super) fn is_kept_alive(&self) -> bool {
        self.commented_at
            .is_some_and(|it| it.elapsed() < silence::MIN_PAUSE.into())
    }

    /// Takes what has arrived. Returns what can be passed on: complete events, and comments after the first event.
    fn push(&mut self, bytes: &[u8]) -> Result<events::Events, failure::Failure> {
        self.received += bytes.len() as u64;
        let mut events = self
            .events
            .push(bytes)
            .map_err(|e| failure::Failure::malformed(&e))?;
        if events.content == events::Content::Comments {
            self.commented_at = Some(std_time::Instant::now());
        }
        let is_event = events.content == events::Content::Event;
        if self.has_begun || is_event {
            events.prepend_comments(&mut self.comments);
        } else {
            self.comments.append(&mut std::mem::take(&mut events).bytes);
        }
        if self.comments.len() > events::MAX_EVENT_BYTES {
            return Err(failure::Failure::malformed(&events::TooLarge));
        }
        let held = self.events.pending().len() + self.comments.len();
        self.memory
            .resize(held)
            .map_err(|e| failure::Failure::malformed(&e))?;
        Ok(events)
    }
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
    /// With the id of the last event, if it has one.
    Events(events::Events, Option<String>),
    End,
    /// No event yet, and another endpoint can be tried or goes on.
    Keep(KeptFor),
    Failed(failure::Failure),
}

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Forwards a stream to the caller event by event.
    pub(super) fn stream<'c>(
        &mut self,
        pick: &chooser::Pick,
        mut run: StreamRun,
        mut sink: ResponseSink<'c>,
        watch: &reply::Watch,
    ) -> AttemptResult<'c> {
        loop {
            let position = Position {
                has_started: sink.has_started(),
                can_resume: !sink.has_started() || sink.last_id().is_some(),
            };
            let (events, id) = match self.next_events(pick, &mut run, watch, position) {
                Next::Events(events, id) => (events, id),
                Next::End => return self.finish_stream(pick, run, sink),
                Next::Keep(reason) => {
                    self.keep_run(pick, Progress::Stream(run), reason);
                    return AttemptResult::Retry(sink);
                }
                Next::Failed(failure) => return self.break_off(pick, run, sink, &failure),
            };
            if events.content == events::Content::Event {
                self.record_events(pick, &mut run, sink.last_id());
            }
            let (mut stream, mut last_id) = sink.start_stream(&run.exchange);
            // An endpoint that resumes the stream after an earlier event would repeat one without an id.
            if events.content == events::Content::Event {
                last_id = id;
            }
            let is_sent = self.send_part(&mut stream, &events.bytes);
            sink = ResponseSink::Streaming(stream, last_id);
            if !is_sent {
                self.end_attempt(pick, true, chooser::AttemptOutcome::GivenUp);
                return AttemptResult::CallerGone(sink);
            }
        }
    }

    /// Records that events of a stream have arrived. `last_id` is the id of the last event that was sent to the caller.
    fn record_events(&mut self, pick: &chooser::Pick, run: &mut StreamRun, last_id: Option<&str>) {
        self.log_end_of_silence(pick, run.silent_since.elapsed());
        run.silent_since = std_time::Instant::now();
        self.end_kept_runs(metrics::SilenceEnd::Replaced);
        if !run.has_begun {
            self.begin_stream(pick, run, last_id);
        }
        if self.timings.record_events() {
            let now = self.shared.clock.now();
            self.shared
                .with_core(|core| core.chooser.record_activity(now, pick));
        }
        self.record_origin(pick);
    }

    fn begin_stream(&mut self, pick: &chooser::Pick, run: &mut StreamRun, last_id: Option<&str>) {
        run.has_begun = true;
        self.record_start(pick, run.sent_at, run.load);
        self.note_resumption(pick, last_id);
        self.timings.record_start(self.req.received);
    }

    /// Sends a part of a stream. Returns whether the caller is connected.
    fn send_part(&mut self, stream: &mut reply::Stream<'_>, bytes: &[u8]) -> bool {
        self.passed_on += bytes.len() as u64;
        self.shared.metrics.passed_on(bytes.len());
        let is_sent = stream.send(bytes).is_ok();
        self.timings.last_sent = Some(std_time::Instant::now());
        is_sent
    }

    /// Ends a stream whose last byte has arrived.
    fn finish_stream<'c>(
        &mut self,
        pick: &chooser::Pick,
        mut run: StreamRun,
        sink: ResponseSink<'c>,
    ) -> AttemptResult<'c> {
        if self.misses_event && !run.has_begun {
            let detail = "the stream was broken off inside an event, and no event followed";
            let failure = failure::Failure::malformed(&detail);
            return self.break_off(pick, run, sink, &failure);
        }
        let is_inside_event = !run.has_begun || run.events.is_inside_event();
        let passed_by = sink.delimiter();
        if let Some(failure) = self.early_end(pick, &run.exchange, is_inside_event, passed_by) {
            return self.break_off(pick, run, sink, &failure);
        }
        self.end_kept_runs(metrics::SilenceEnd::Replaced);
        if !run.has_begun {
            self.begin_stream(pick, &mut run, sink.last_id());
        }
        let (mut stream, _) = sink.start_stream(&run.exchange);
        let rest = [run.comments.as_slice(), run.events.pending()].concat();
        if !self.send_part(&mut stream, &rest) {
            ::log::info!(request = self.id(); "gateway: caller disconnected at the end of its stream");
        }
        self.end_attempt(pick, true, chooser::AttemptOutcome::Answered);
        self.record_pauses(pick);
        let passed_by = Some(stream.delimiter());
        self.record_response_end(pick, &run.exchange, run.received, passed_by, None);
        let status = run.exchange.head.status;
        self.keep_connection(pick, run.exchange);
        self.finish_answered(pick, status, self.passed_on, run.sent_at);
        AttemptResult::Done(stream.finish())
    }

    /// Handles a stream that the endpoint of `pick` has broken off.
    fn break_off<'c>(
        &mut self,
        pick: &chooser::Pick,
        run: StreamRun,
        sink: ResponseSink<'c>,
        failure: &failure::Failure,
    ) -> AttemptResult<'c> {
        let has_begun = run.has_begun;
        let is_comment = run.events.pending().first() == Some(&b':');
        let begins_event = run.events.is_inside_event() && !is_comment;
        self.misses_event = begins_event || (self.misses_event && !run.has_begun);
        let passed_by = sink.delimiter();
        self.record_response_end(pick, &run.exchange, run.received, passed_by, Some(failure));
        // Close the connection before the stream is resumed elsewhere, so that this endpoint stops.
        drop(run);
        self.handle_failed_run(pick, sink, has_begun, failure)
    }

    /// Reads the next events of a stream. Bytes that complete none are no reason to wait for longer.
    ///
    /// A stream that has begun is not ended as soon as its caller should have given it up: the caller closes the connection
    /// then, and may do so later by its own clock.
    fn next_events(
        &mut self,
        pick: &chooser::Pick,
        run: &mut StreamRun,
        watch: &reply::Watch,
        position: Position,
    ) -> Next {
        if let Some(failure) = run.failure.take() {
            return Next::Failed(failure);
        }
        let mut next_try = self.stalls_at(run, position.has_started);
        loop {
            // While bytes arrive without a pause, `stop` is asked at intervals only.
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
                Ok(exchange::Piece::End) => return self.check_rest(pick, run),
                Ok(exchange::Piece::Bytes(bytes)) => match run.push(&bytes) {
                    Ok(events) if events.bytes.is_empty() => {
                        next_try = next_try.max(self.stalls_at(run, position.has_started));
                        continue;
                    }
                    Ok(events) => return self.check_events(pick, run, events),
                    Err(failure) => return Next::Failed(failure),
                },
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

    /// Drops the first event that is out of order and those that follow it. The stream fails once the ones before it are
    /// passed on.
    fn check_events(
        &mut self,
        pick: &chooser::Pick,
        run: &mut StreamRun,
        mut events: events::Events,
    ) -> Next {
        let (mut last_id, mut found) = (None, None);
        for (at, (event, content)) in events.iter().enumerate() {
            if content != events::Content::Event {
                continue;
            }
            let id = self.shared.dialect.last_event_id(event);
            if let Err(e) = id.map_or(Ok(()), |it| self.push_id(it)) {
                found = Some((at, e));
                break;
            }
            last_id = id.filter(|it| !it.is_empty());
        }
        let last_id = last_id.map(str::to_owned);
        let Some((at, error)) = found else {
            return Next::Events(events, last_id);
        };
        let failure = self.out_of_order(pick, &error);
        events.truncate(at);
        if events.content != events::Content::Event {
            return Next::Failed(failure);
        }
        run.failure = Some(failure);
        Next::Events(events, last_id)
    }

    /// Adds the id of an event that is passed on, where ids are known to increase.
    fn push_id(&mut self, id: &str) -> Result<(), event_order::OutOfOrder> {
        if self.route.kind.is_stream() {
            self.event_order.push(id)?;
        }
        Ok(())
    }

    /// Checks the event that a stream ends with, if no empty line follows it. It may not be passed on.
    fn check_rest(&self, pick: &chooser::Pick, run: &StreamRun) -> Next {
        let id = self.shared.dialect.last_event_id(run.events.pending());
        match id.filter(|_| self.route.kind.is_stream()) {
            Some(id) => match self.event_order.check(id) {
                Ok(()) => Next::End,
                Err(e) => Next::Failed(self.out_of_order(pick, &e)),
            },
            None => Next::End,
        }
    }

    /// Logs that the endpoint of `pick` has sent an event out of order.
    fn out_of_order(
        &self,
        pick: &chooser::Pick,
        error: &event_order::OutOfOrder,
    ) -> failure::Failure {
        ::log::warn!(request = self.id(), endpoint:% = pick.instance, last = error.last.as_str(), event = error.id.as_str();
            "gateway: endpoint sent an event out of order");
        failure::Failure::malformed(error)
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

/// The failure of a stream that this process cuts since it exits.
fn cut_at_exit() -> failure::Failure {
    failure::Failure::sent(failure::Cause::Interrupted, &"this entry process exits")
}
