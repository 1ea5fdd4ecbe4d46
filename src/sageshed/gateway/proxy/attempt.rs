//! One attempt of a request: the exchange with an endpoint, and the next step that follows from its
//! response or failure.

use std::time as std_time;

use sageshed_fleet::{chooser, config, dialect, entry_peers as wire};
use sageshed_http::reply;
use sageshed_types::{headers, shared_memory, time, verdict};
use sageshed_upstream::{exchange, failure, pool};

use super::{
    AttemptResult, ProxiedRequest,
    kept_runs::{Progress, SentRun},
    records_check::EndpointCheck,
    stream::StreamRun,
    waiting::HeldRetry,
    whole_response::WholeRun,
};
use crate::gateway::{entry_peers, paths, queues, response::ResponseSink};

/// The largest response that is not a stream.
pub(super) const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// The largest body of a rejection that is read so that its connection can be kept.
const MAX_REJECTION_BYTES: usize = 64 * 1024;

/// How long the body of a rejection is waited for, so that its connection can be kept.
const REJECTION_BODY_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(100);

/// How long a pooled connection may have been idle to be used for a request that must not run twice: if
/// the endpoint closes it at the same moment, the request is lost and can't be retried.
const MAX_IDLE_NOT_REPEATABLE: std_time::Duration = std_time::Duration::from_millis(1_500);

/// How long a pooled connection may have been idle to be used for a request that may be retried.
const MAX_IDLE_REPEATABLE: std_time::Duration = std_time::Duration::from_secs(10);

/// An idempotent request is sent to another endpoint after silence for its latency target times this.
const SILENCE_PER_LATENCY_TARGET: u64 = 3;

/// The shortest silence after which an idempotent request is sent to another endpoint.
const MIN_SILENCE: std_time::Duration = std_time::Duration::from_millis(300);

/// Added to the estimated time to response before a request leaves an endpoint that is suspected to be down.
const ESTIMATE_MARGIN: std_time::Duration = std_time::Duration::from_millis(700);

/// The pause after a rejection before the request is sent to another endpoint.
const REJECTION_DELAY: std_time::Duration = std_time::Duration::from_millis(8);

/// How often that pause doubles for a stream that has begun: up to a quarter of a second.
const MAX_REJECTION_DOUBLINGS: u32 = 5;

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Sends the request to the endpoint of `pick` and passes the response on.
    pub(super) fn send<'c>(
        &mut self,
        pick: &chooser::Pick,
        sink: ResponseSink<'c>,
        watch: &reply::Watch,
    ) -> AttemptResult<'c> {
        let sent_at = std_time::Instant::now();
        let resume = sink.last_id().map(str::to_owned);
        entry_peers::report_send(self.shared, pick, self.granted.take());
        self.count_send(pick);
        self.commit_charge();
        let waited = self.req.received.elapsed();
        self.attempt_log.record_attempt(pick, waited.into());
        let opened = match self.open(pick, self.deadline, watch) {
            Ok(opened) => opened,
            Err(failure) => return self.handle_missing_response(pick, sink, failure, watch),
        };
        let check = self.check_endpoint(pick, watch);
        if check != EndpointCheck::Send {
            return self.withdraw(pick, sink, check);
        }
        let path = paths::PathUse::of(&opened);
        let has_started = sink.has_started();
        let stop = || self.should_leave(pick, sent_at, watch, has_started);
        let patience = exchange::Patience {
            until: self.deadline,
            stop: &stop,
        };
        // From here on the request may arrive there, so that the retry is used.
        self.retry.set(HeldRetry::None);
        match self.write_request(pick, opened, resume.as_deref(), &patience) {
            Ok(sent) => {
                let run = SentRun {
                    sent,
                    path,
                    sent_at,
                };
                self.await_head(pick, run, sink, watch)
            }
            Err(failure) => {
                self.shared
                    .record_exchange(pick.address, path, Some(&failure));
                self.handle_missing_response(pick, sink, failure, watch)
            }
        }
    }

    /// Waits for the response to a request that was sent to the endpoint of `pick`, and passes it on.
    pub(super) fn await_head<'c>(
        &mut self,
        pick: &chooser::Pick,
        run: SentRun,
        sink: ResponseSink<'c>,
        watch: &reply::Watch,
    ) -> AttemptResult<'c> {
        let SentRun {
            sent,
            path,
            sent_at,
        } = run;
        let has_started = sink.has_started();
        let stop = || self.should_leave(pick, sent_at, watch, has_started);
        let patience = exchange::Patience {
            until: self.deadline,
            stop: &stop,
        };
        let unanswered = match self.read_head(pick, sent, path, &patience) {
            Ok(exchange) => {
                self.deliveries += 1;
                return self.handle_response(pick, exchange, sink, sent_at, watch);
            }
            Err(unanswered) => unanswered,
        };
        let is_interrupted = unanswered.failure.cause == failure::Cause::Interrupted;
        match unanswered.sent {
            Some(sent) if is_interrupted && !self.is_wait_over(watch, has_started) => {
                let run = SentRun {
                    sent: *sent,
                    path,
                    sent_at,
                };
                self.keep_run(pick, Progress::Sent(run), self.reason_to_keep());
                AttemptResult::Retry(sink)
            }
            _ => self.handle_missing_response(pick, sink, unanswered.failure, watch),
        }
    }

    /// Whether no endpoint is waited for any more: the caller has disconnected or must have, or this process exits.
    /// `has_started` tells whether its caller has received a part of the response.
    pub(super) fn is_wait_over(&self, watch: &reply::Watch, has_started: bool) -> bool {
        let is_abandoned = if has_started {
            self.is_abandoned_stream()
        } else {
            self.is_abandoned()
        };
        watch.caller_gone() || is_abandoned || self.shared.is_exiting()
    }

    /// Whether the response of the latest endpoint is not waited for any more, as in [`Self::is_wait_over`] or since a silent
    /// endpoint goes on.
    pub(super) fn is_unwanted(&self, watch: &reply::Watch, has_started: bool) -> bool {
        self.is_wait_over(watch, has_started) || self.has_kept_run_that_goes_on()
    }

    /// Whether the response to what was sent to the endpoint of `pick` at `sent_at` is not waited for any more, as in
    /// [`Self::is_unwanted`] or since it is late and another endpoint may be tried.
    fn should_leave(
        &self,
        pick: &chooser::Pick,
        sent_at: std_time::Instant,
        watch: &reply::Watch,
        has_started: bool,
    ) -> bool {
        self.is_unwanted(watch, has_started)
            || (self.is_late(pick, sent_at) && self.try_acquire_switch(self.possible_runs + 1))
    }

    /// Whether the response to what was sent to the endpoint of `pick` at `sent_at` is late.
    fn is_late(&self, pick: &chooser::Pick, sent_at: std_time::Instant) -> bool {
        let waited = sent_at.elapsed();
        let expected = std_time::Duration::from(pick.estimate) + ESTIMATE_MARGIN;
        let is_silent = self.silence_limit().is_some_and(|longest| waited > longest);
        is_silent || (waited > expected && self.is_suspected(pick))
    }

    fn is_suspected(&self, pick: &chooser::Pick) -> bool {
        let now = self.shared.clock.now();
        self.shared
            .with_core(|core| core.chooser.is_suspected(now, pick))
    }

    /// Whether the request may be sent to another endpoint now, while it may be running at `runs` of them. Takes the retry
    /// that this needs, since others wait for the same endpoint.
    pub(super) fn try_acquire_switch(&self, runs: u32) -> bool {
        let may_run = self.may_run_after(runs);
        if !may_run || std_time::Instant::now() < self.next_switch {
            return false;
        }
        // A coordinator of slots counts the retry itself.
        if self.has_slot_coordinators() {
            self.can_retry()
        } else {
            self.acquire_retry()
        }
    }

    /// How long an endpoint may be silent before the request is sent to another one; none if it is not idempotent.
    fn silence_limit(&self) -> Option<std_time::Duration> {
        if self.route.kind != config::RequestKind::Idempotent {
            return None;
        }
        let latency_target = std_time::Duration::from(self.route.latency_target);
        let factor = u32::try_from(SILENCE_PER_LATENCY_TARGET).unwrap_or(1);
        Some((latency_target * factor).max(MIN_SILENCE))
    }

    /// Opens a connection to the endpoint of `pick`, or takes a pooled one.
    fn open(
        &self,
        pick: &chooser::Pick,
        until: std_time::Instant,
        watch: &reply::Watch,
    ) -> Result<pool::Opened, failure::Failure> {
        let max_age = if self.route.kind.is_retryable() {
            MAX_IDLE_REPEATABLE
        } else {
            MAX_IDLE_NOT_REPEATABLE
        };
        let connector = paths::Connector {
            shared: self.shared,
            until,
        };
        let opened = self
            .shared
            .pool
            .open(&connector, pick.address, max_age, until)?;
        if watch.caller_gone() {
            return Err(failure::Failure {
                cause: failure::Cause::Interrupted,
                is_sent: false,
                detail: "the caller left before a connection was open".to_owned(),
            });
        }
        Ok(opened)
    }

    fn write_request<S: Fn() -> bool>(
        &self,
        pick: &chooser::Pick,
        opened: pool::Opened,
        resume_after: Option<&str>,
        patience: &exchange::Patience<'_, S>,
    ) -> Result<exchange::Sent, failure::Failure> {
        // The time left is read once the connection is open, which may take long.
        let metadata = dialect::UpstreamMetadata {
            instance: &pick.instance,
            time_left: self.time_left(),
            urgency: Some(self.priority().min(9)),
            resume_after,
            workspace: self.workspace.as_ref().map(|it| it.name.as_str()),
        };
        let set = self.shared.dialect.upstream_headers(&metadata);
        let mut list: Vec<(&str, &[u8])> = Vec::with_capacity(self.req.headers.len() + set.len());
        for header in &self.req.headers {
            let is_set = set
                .iter()
                .any(|(name, _)| header.name.eq_ignore_ascii_case(name));
            // Not forwarded: an endpoint that receives an API key could use it to act as its holder.
            let is_key = self.requires_api_keys && header.is_credential();
            if !is_set && !is_key && self.forwards_header(&header.name) {
                list.push((&header.name, &header.value));
            }
        }
        list.extend(set.iter().map(|(name, value)| (*name, value.as_bytes())));
        let target = match &self.req.query {
            Some(query) => format!("{}?{query}", self.req.path),
            None => self.req.path.clone(),
        };
        let req = exchange::Request {
            method: &self.req.method,
            target: &target,
            headers: list,
            body: self.req.body.clone(),
        };
        let now = self.shared.clock.now();
        let records_age = self.shared.with_core(|core| core.records_age.age(now));
        self.records_age.set(records_age);
        opened.send(&req, patience)
    }

    fn forwards_header(&self, name: &str) -> bool {
        let is = |it: &&str| name.eq_ignore_ascii_case(it);
        let of_connection = headers::HOP_BY_HOP.iter().any(is) && !is(&"host");
        !of_connection
            && !self.req.is_connection_option(name)
            && !self.shared.dialect.strips_header(name)
    }

    /// Reads the head of the response, and discards responses to earlier requests on the same connection.
    fn read_head<S: Fn() -> bool>(
        &self,
        pick: &chooser::Pick,
        mut sent: exchange::Sent,
        path: paths::PathUse,
        patience: &exchange::Patience<'_, S>,
    ) -> Result<exchange::Exchange, exchange::Unanswered> {
        loop {
            let answer = sent.head(patience);
            let failure = answer.as_ref().err().map(|it| &it.failure);
            self.shared.record_exchange(pick.address, path, failure);
            let exchange = answer?;
            let head = &exchange.head;
            let response = self
                .shared
                .dialect
                .response_metadata(head.status, |it| head.value(it));
            self.apply_notice(pick, &response);
            if !self.is_for_another_request(&response) {
                return Ok(exchange);
            }
            ::log::warn!(request = self.id(); "gateway: discarded a response to another request");
            let passed_over = exchange.pass_over(MAX_RESPONSE_BYTES, patience);
            sent = passed_over.map_err(|failure| exchange::Unanswered {
                failure,
                sent: None,
            })?;
        }
    }

    fn is_for_another_request(&self, response: &dialect::ResponseMetadata<'_>) -> bool {
        let id = response.id;
        id.is_some_and(|id| Some(id) != self.metadata.id.as_deref())
    }

    /// Decides by the head of a response whether it is passed on, retried elsewhere or replaced by a refusal.
    fn handle_response<'c>(
        &mut self,
        pick: &chooser::Pick,
        mut exchange: exchange::Exchange,
        sink: ResponseSink<'c>,
        sent_at: std_time::Instant,
        watch: &reply::Watch,
    ) -> AttemptResult<'c> {
        let head = exchange.head.clone();
        let response = self
            .shared
            .dialect
            .response_metadata(head.status, |it| head.value(it));
        let is_rejected = matches!(
            response.execution,
            dialect::ExecutionStatus::NotRun | dialect::ExecutionStatus::Misdirected
        );
        if is_rejected {
            // The head tells that it has not run. The rest is read for the sake of the connection only.
            let until = std_time::Instant::now() + REJECTION_BODY_TIMEOUT;
            let stop = || self.is_unwanted(watch, true);
            let patience = exchange::Patience { until, stop: &stop };
            if exchange.read_whole(MAX_REJECTION_BYTES, &patience).is_ok() {
                self.keep_connection(pick, exchange);
            }
            return self.handle_rejection(pick, sink, &response, head.status);
        }
        self.possible_runs += 1;
        let is_success = (200..300).contains(&head.status);
        let is_verified = response.execution == dialect::ExecutionStatus::Verified;
        if is_success && !is_verified {
            let detail = "a success that the endpoint does not vouch for";
            return self.handle_unusable_response(pick, sink, detail);
        }
        let claims_not_run = matches!(head.status, 408 | 421 | 429 | 503);
        let may_retry = self.may_run_again();
        if !is_success && (claims_not_run || !is_verified) {
            let detail = format!("the endpoint answered with status {}", head.status);
            return self.handle_unusable_response(pick, sink, &detail);
        }
        if head.status >= 500 && (may_retry || !self.kept_runs.is_empty()) {
            let detail = format!("the endpoint failed with status {}", head.status);
            return self.handle_unusable_response(pick, sink, &detail);
        }
        let is_events = head
            .value("content-type")
            .given()
            .is_some_and(|it| it.starts_with("text/event-stream"));
        if is_success && is_events {
            let run = StreamRun::new(exchange, sent_at, response.load, self.reserve_memory());
            return self.stream(pick, run, sink, watch);
        }
        if sink.has_started() {
            let detail = format!("the endpoint resumed a stream with status {}", head.status);
            return self.handle_unusable_response(pick, sink, &detail);
        }
        let run = WholeRun::new(exchange, sent_at, response.load, self.reserve_memory());
        self.receive_whole(pick, run, sink, watch)
    }

    /// Keeps the connection of a whole response for another request, unless the endpoint has sent more than the response.
    pub(super) fn keep_connection(&self, pick: &chooser::Pick, exchange: exchange::Exchange) {
        if exchange.has_surplus() {
            ::log::warn!(request = self.id(), endpoint:% = pick.instance, status = exchange.head.status;
                "gateway: endpoint sent bytes after the end of its response, connection dropped");
            self.shared.metrics.surplus_received(self.service);
            return;
        }
        self.shared.pool.keep(pick.address, exchange);
    }

    fn reserve_memory(&self) -> shared_memory::Reservation {
        shared_memory::SharedMemory::reserve(&self.shared.response_memory)
    }

    /// Records that the endpoint of `pick` has started to respond, so that its prefill is done, and reports this to
    /// entry peers.
    pub(super) fn record_start(
        &self,
        pick: &chooser::Pick,
        sent_at: std_time::Instant,
        load: Option<dialect::Load>,
    ) {
        let now = self.shared.clock.now();
        let took = sent_at.elapsed().into();
        self.note_slot_response(took, load);
        let parts = &self.metadata.parts;
        let prefill = self.wanted.map(|wanted| chooser::Prefill { wanted, parts });
        self.shared.with_core(|core| {
            core.chooser
                .record_response_start(now, pick, prefill, took, load);
            if let Some(wanted) = self.wanted {
                let tokens = self.metadata.prompt_tokens;
                core.backlog.record_prefill(now, &wanted.model, tokens);
            }
        });
        match prefill {
            Some(prefill) => entry_peers::report_prefill(self.shared, pick, prefill, took, load),
            None => entry_peers::report(self.shared, pick),
        }
        self.shared.wake_waiting();
        queues::serve_pick(self.shared, pick);
    }

    /// Records the end of the attempt at the endpoint of `pick`, and reports it to entry peers. `began` tells whether
    /// the response had started.
    pub(super) fn end_attempt(
        &self,
        pick: &chooser::Pick,
        began: bool,
        outcome: chooser::AttemptOutcome,
    ) {
        let now = self.shared.clock.now();
        self.shared.with_core(|core| {
            core.chooser
                .record_end(now, pick, self.wanted, began, outcome);
        });
        let told = self.shared.outcome_for_peers(pick.address, outcome);
        entry_peers::report_end(self.shared, pick, began, self.fault_to_report(told));
        self.release_slot(pick, told);
        self.shared.wake_waiting();
        queues::serve_pick(self.shared, pick);
    }

    /// The fault of the engine that is reported to entry peers after an attempt with this `outcome`.
    fn fault_to_report(&self, outcome: chooser::AttemptOutcome) -> Option<wire::EngineFault> {
        let model = self.wanted.map(|it| wire::name_key(&it.model))?;
        match outcome {
            chooser::AttemptOutcome::Answered | chooser::AttemptOutcome::GivenUp => None,
            chooser::AttemptOutcome::Refused => Some(wire::EngineFault::Rejects(model)),
            chooser::AttemptOutcome::Misdirected if self.is_adapter() => None,
            chooser::AttemptOutcome::Misdirected => Some(wire::EngineFault::Lacks(model)),
            chooser::AttemptOutcome::Failed => Some(wire::EngineFault::Fails),
            chooser::AttemptOutcome::Unreachable => Some(wire::EngineFault::Unreachable),
            chooser::AttemptOutcome::Silent => Some(wire::EngineFault::Silent),
        }
    }

    fn is_adapter(&self) -> bool {
        self.wanted.is_some_and(|it| it.adapter.is_some())
    }

    /// Handles a response that says that the endpoint has not run the request.
    fn handle_rejection<'c>(
        &mut self,
        pick: &chooser::Pick,
        sink: ResponseSink<'c>,
        response: &dialect::ResponseMetadata<'_>,
        status: u16,
    ) -> AttemptResult<'c> {
        ::log::info!(request = self.id(), endpoint:% = pick.instance, status, records_ms = self.records_age.get().0;
            "gateway: endpoint rejected the request without running it");
        self.last_failure = format!(
            "endpoint {} rejected it with status {status}",
            pick.instance
        );
        self.attempt_log
            .record_outcome(verdict::Verdict::NotRun, &self.last_failure);
        self.restore_charge();
        // An address may have been given to another endpoint, which rejects what is not meant for it.
        let is_replaced = response.endpoint.is_some_and(|it| it != pick.instance.name);
        if response.execution == dialect::ExecutionStatus::Misdirected && is_replaced {
            self.end_attempt(pick, false, chooser::AttemptOutcome::GivenUp);
            self.shared.mark_replaced(&pick.instance);
        } else if response.execution == dialect::ExecutionStatus::Misdirected {
            self.end_attempt(pick, false, chooser::AttemptOutcome::Misdirected);
        } else {
            self.end_attempt(pick, false, chooser::AttemptOutcome::Refused);
            self.delay_after_rejection(pick);
        }
        AttemptResult::Retry(sink)
    }

    /// Pauses after a rejection. A stream that has begun can go to few engines and may ask the same one again, after an
    /// exponential delay; other requests go to another engine.
    fn delay_after_rejection(&mut self, pick: &chooser::Pick) {
        self.rejections += 1;
        if !self.kept_runs.is_empty() {
            // The silent endpoint may go on meanwhile.
            self.delay_switch();
            return;
        }
        if !self.is_resumption() {
            self.tried_endpoints.push(pick.key);
            return std::thread::sleep(REJECTION_DELAY);
        }
        let doublings = (self.rejections - 1).min(MAX_REJECTION_DOUBLINGS);
        let delay = REJECTION_DELAY * (1 << doublings);
        std::thread::sleep(delay.min(self.time_left().into()));
    }

    /// Handles a response that can't be passed on; the request may have run.
    fn handle_unusable_response<'c>(
        &mut self,
        pick: &chooser::Pick,
        sink: ResponseSink<'c>,
        detail: &str,
    ) -> AttemptResult<'c> {
        let failure = failure::Failure::malformed(&detail);
        self.handle_failed_run(pick, sink, false, &failure)
    }

    /// Handles an exchange that failed before the head of a response arrived.
    fn handle_missing_response<'c>(
        &mut self,
        pick: &chooser::Pick,
        sink: ResponseSink<'c>,
        mut failure: failure::Failure,
        watch: &reply::Watch,
    ) -> AttemptResult<'c> {
        let began = false;
        let is_interrupted = failure.cause == failure::Cause::Interrupted;
        if is_interrupted && self.has_kept_run_that_goes_on() && !watch.caller_gone() {
            self.deliveries += u32::from(failure.is_sent);
            self.possible_runs += u32::from(failure.is_sent);
            return self.leave_run(pick, sink, began);
        }
        if is_interrupted && self.is_wait_over(watch, sink.has_started()) {
            // A caller that has given up, or has ended only its sending side, may still read the status.
            self.deliveries += u32::from(failure.is_sent);
            self.possible_runs += u32::from(failure.is_sent);
            self.end_attempt(pick, began, chooser::AttemptOutcome::GivenUp);
            return AttemptResult::CallerGone(sink);
        }
        if is_interrupted {
            // The caller is still connected, so the exchange was stopped because the endpoint is silent.
            failure.cause = failure::Cause::Silent;
        }
        if !failure.is_sent {
            ::log::info!(request = self.id(), endpoint:% = pick.instance, error:% = failure;
                "gateway: endpoint could not be reached; the request was not sent");
            self.last_failure = format!("endpoint {} was not reached: {failure}", pick.instance);
            self.attempt_log
                .record_outcome(verdict::Verdict::NotRun, &self.last_failure);
            self.restore_charge();
            self.end_attempt(pick, began, chooser::AttemptOutcome::Unreachable);
            self.shared.pool.forget(pick.address);
            self.tried_endpoints.push(pick.key);
            return AttemptResult::Retry(sink);
        }
        self.deliveries += 1;
        self.possible_runs += 1;
        self.handle_failed_run(pick, sink, began, &failure)
    }

    /// Leaves an endpoint, since one that was silent goes on.
    fn leave_run<'c>(
        &mut self,
        pick: &chooser::Pick,
        sink: ResponseSink<'c>,
        began: bool,
    ) -> AttemptResult<'c> {
        self.last_failure = format!("endpoint {} was left for an earlier one", pick.instance);
        self.attempt_log
            .record_outcome(verdict::Verdict::MayHaveRun, &self.last_failure);
        self.end_attempt(pick, began, chooser::AttemptOutcome::GivenUp);
        AttemptResult::Retry(sink)
    }

    /// Ends a stream whose endpoint sends events at its deadline.
    fn end_at_deadline<'c>(
        &mut self,
        pick: &chooser::Pick,
        sink: ResponseSink<'c>,
        began: bool,
    ) -> AttemptResult<'c> {
        let refusal = self.out_of_time();
        self.attempt_log
            .record_outcome(verdict::Verdict::MayHaveRun, &refusal.detail);
        self.end_attempt(pick, began, chooser::AttemptOutcome::GivenUp);
        AttemptResult::Refuse(sink, refusal)
    }

    /// Handles the failure of a request that may have run and got no complete response.
    pub(super) fn handle_failed_run<'c>(
        &mut self,
        pick: &chooser::Pick,
        sink: ResponseSink<'c>,
        began: bool,
        failure: &failure::Failure,
    ) -> AttemptResult<'c> {
        if failure.cause == failure::Cause::Interrupted && self.has_kept_run_that_goes_on() {
            return self.leave_run(pick, sink, began);
        }
        if failure.cause == failure::Cause::Interrupted {
            self.end_attempt(pick, began, chooser::AttemptOutcome::GivenUp);
            return AttemptResult::CallerGone(sink);
        }
        let is_over = self.time_left() == time::Millis(0);
        if is_over && failure.cause == failure::Cause::Silent && self.timings.is_flowing() {
            return self.end_at_deadline(pick, sink, began);
        }
        ::log::info!(request = self.id(), content:% = self.content, endpoint:% = pick.instance, software = self.software_of(pick),
            error:% = failure, runs = self.possible_runs, begun = sink.has_started(), records_ms = self.records_age.get().0;
            "gateway: endpoint failed, the request may have run");
        self.last_failure = format!("endpoint {} failed: {failure}", pick.instance);
        self.attempt_log
            .record_outcome(verdict::Verdict::MayHaveRun, &self.last_failure);
        self.note_crash(pick, failure.cause);
        let outcome = match failure.cause {
            failure::Cause::Silent => chooser::AttemptOutcome::Silent,
            _ => chooser::AttemptOutcome::Failed,
        };
        self.end_attempt(pick, began, outcome);
        self.tried_endpoints.push(pick.key);
        let may_retry = self.may_run_again();
        // Without the id of an event, no other endpoint can tell where to resume the stream.
        let can_resume = !sink.has_started() || sink.last_id().is_some();
        if may_retry && can_resume && !is_over {
            return AttemptResult::Retry(sink);
        }
        let refusal = if is_over {
            self.out_of_time()
        } else {
            let detail = self.last_failure.clone();
            self.final_refusal(verdict::Reason::EndpointFailed, detail)
        };
        AttemptResult::Refuse(sink, refusal)
    }
}
