//! Chooses the endpoint of the next attempt, and waits until one can take the request.
//!
//! A request waits only while what it waits for (a free slot, a model, an adapter or an endpoint) can
//! become available before its deadline.

use std::{net, sync::atomic, time as std_time};

use sageshed_fleet::{backlog, chooser, dialect, directory, entry_peers, messages};
use sageshed_http::reply;
use sageshed_types::{refusal, time, verdict};

use super::{DEFAULT_RETRY_AFTER, NextStep, ProxiedRequest, coordinator, queue_wait::QueueWait};
use crate::gateway::state::CALLER_CHECK_INTERVAL;

/// The time that must be left for a request that misses its latency target anyway to let others go first. Callers
/// abandon a stream only after two seconds or more without data.
pub(super) const MIN_TIME_LEFT_IF_LATE: time::Millis = time::Millis(2_000);

/// The time that a request must have left after the prefill of those queued before it, to keep waiting.
pub(super) const PREFILL_RESERVE: time::Millis = time::Millis(800);

/// Added to the load time of a model: memory has to be freed first, and other loads may be in progress.
const LOAD_MARGIN: time::Millis = time::Millis(3_000);

/// The share of its latency target that a request waits for an engine with little pending prefill, in percent.
const IDLE_ENGINE_WAIT_PERCENT: u64 = 35;

/// How many times one request asks the leader for its adapter.
const MAX_ADAPTER_REQUESTS: u32 = 3;

/// How long a request waits for its adapter before it asks again. An adapter is loaded in about 30 ms.
const ADAPTER_REQUEST_WAIT: std_time::Duration = std_time::Duration::from_millis(80);

/// The share of its latency target that a request waits for a free slot, in percent.
const SLOT_WAIT_PERCENT: u64 = 60;

/// A request waits for the time of its route, divided by this, while this process has used its share of the slots of a
/// plain service. The share is often a single slot, and becomes free with the next response.
const SLOT_SHARE_WAIT_DIVISOR: u32 = 2;

/// The interval between two checks whether a retry is left for a stream that has begun.
const RETRY_CHECK_INTERVAL: std_time::Duration = std_time::Duration::from_millis(20);

/// How the wait of a stream for a retry ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryWait {
    /// It holds a retry or needs none.
    Ended,
    /// No retry is expected before its caller gives the stream up.
    NoneInTime,
    /// A silent endpoint goes on.
    Resumed,
    /// Its caller has disconnected.
    CallerGone,
}

/// The retry that a request holds for its next attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeldRetry {
    None,
    /// From the budget of this process.
    FromBudget,
    /// From the coordinator of the service, with a slot.
    FromCoordinator,
}

/// Whether a request may be sent to the chosen endpoint.
enum Permission {
    /// It may; quota, retry and rate limit are charged.
    Granted,
    /// It may not be sent to this endpoint for now.
    OtherEndpoint,
    /// It may not be sent to any endpoint.
    Refused(refusal::Refusal),
}

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Chooses the next endpoint, and waits for one while it can still respond in time.
    pub(super) fn next(&mut self, watch: &reply::Watch) -> NextStep {
        if self.should_return() {
            return NextStep::Return;
        }
        match self.await_retry(watch) {
            RetryWait::Ended => {}
            RetryWait::Resumed => return NextStep::Return,
            RetryWait::NoneInTime => return NextStep::Refuse(self.refuse_without_retry()),
            RetryWait::CallerGone => return NextStep::CallerGone,
        }
        let mut waited = std_time::Duration::ZERO;
        loop {
            if let Some(step) = self.next_by_slot(watch) {
                return step;
            }
            let begun = std_time::Instant::now();
            let mut ticket = None;
            let mut queue_wait = self.begin_queue_wait();
            let arrived = begun.checked_sub(waited).unwrap_or(begun);
            let step = self.next_with(watch, arrived, &mut ticket, &mut queue_wait);
            if let Some(wait) = queue_wait {
                self.end_queue_wait(wait);
            }
            if let Some(ticket) = ticket {
                let model = self.model_name();
                let others_wait = self
                    .shared
                    .with_core(|core| core.backlog.remove(model, ticket));
                if others_wait {
                    self.shared.wake_waiting();
                }
            }
            if let Some(step) = step {
                return step;
            }
            waited += begun.elapsed();
        }
    }

    /// The next step by the choice of this process; none if a coordinator is to be asked for a slot again. `arrived` is
    /// earlier than now by the time that the request has waited here before.
    fn next_with(
        &mut self,
        watch: &reply::Watch,
        arrived: std_time::Instant,
        ticket: &mut Option<u64>,
        queue_wait: &mut Option<QueueWait>,
    ) -> Option<NextStep> {
        let begun = std_time::Instant::now();
        let mut counted = coordinator::CountedWait::default();
        let mut queried_at = None;
        let mut adapter_requests = 0;
        // The engine for which the adapter was requested first. The next choice among equal engines might
        // be another one, and the adapter would be loaded on both.
        let mut adapter_engine: Option<directory::InstanceId> = None;
        loop {
            if let Some(step) = self.interruption(watch) {
                return Some(step);
            }
            let left = self.wait_left();
            let refusal = self
                .refuse_ended_wait(left)
                .or_else(|| self.refuse_not_resumable());
            if let Some(refusal) = refusal {
                return Some(NextStep::Refuse(refusal));
            }
            let now = self.shared.clock.now();
            let patience = self.idle_engine_wait().saturating_sub(arrived.elapsed());
            let query = chooser::EndpointQuery {
                patience: time::Millis::from(patience),
                may_load_adapter: adapter_requests < MAX_ADAPTER_REQUESTS,
                ..self.endpoint_query(left)
            };
            let decision = match queue_wait {
                Some(wait) => self.ask_queue(&query, wait),
                None => self.query_coordinator(&query, &mut queried_at),
            };
            // Counted before a refusal as well: the leader places replicas by the demand that is refused.
            self.count_demand(decision);
            if let Some(entry_peers::RoutingDecision::Refuse { retry_after }) = decision {
                return Some(NextStep::Refuse(self.refused_by_queue(retry_after)));
            }
            // The coordinator's queue has the requests of this process in its order.
            let is_ordered_here = queue_wait.is_none() || decision.is_none();
            let queued_here = self.queued_request(now).filter(|_| is_ordered_here);
            let (choice, seen) = self.choose(now, &query, decision, queued_here.as_ref(), *ticket);
            if let Some(wait) = queue_wait {
                self.settle_grant(wait, decision, &choice);
            }
            let wait_reason = match choice {
                chooser::Choice::Send(pick) => {
                    if let Some(step) = self.send_if_permitted(pick) {
                        return Some(step);
                    }
                    // Ask the coordinator for another engine at once instead of waiting.
                    queried_at = None;
                    self.return_grant(queue_wait.as_mut());
                    continue;
                }
                chooser::Choice::TooLate { estimate } => {
                    return Some(NextStep::Refuse(self.too_late(estimate, left)));
                }
                chooser::Choice::LoadAdapter { instance } => {
                    adapter_requests += 1;
                    if !self.request_adapter(now, adapter_engine.get_or_insert(instance).clone()) {
                        // Without a leader no adapter is loaded: an engine that holds it is not given up for another.
                        adapter_requests = MAX_ADAPTER_REQUESTS;
                    }
                    let _changes = self
                        .shared
                        .wait(seen, ADAPTER_REQUEST_WAIT.min(left.into()));
                    continue;
                }
                chooser::Choice::Wait(wait_reason) => wait_reason,
            };
            self.waited_for = Some(wait_reason);
            let waited = arrived.elapsed();
            self.count_waiting(wait_reason, waited, &mut counted);
            if self.shared.settings.routing.turn_away {
                let queued = queued_here.filter(|_| wait_reason == chooser::WaitReason::Place);
                let is_queued = queue_wait.as_ref().is_some_and(QueueWait::is_queued);
                // The queue refuses by itself what it can't serve in time.
                let polled = decision.filter(|_| !is_queued);
                let refusal = self
                    .refuse_closed_endpoints(wait_reason, left)
                    .or_else(|| self.refuse_hopeless(left))
                    .or_else(|| self.refuse_by_coordinator(polled, left))
                    .or_else(|| self.refuse_by_local_queue(now, queued?, left, ticket));
                if let Some(refusal) = refusal {
                    return Some(NextStep::Refuse(refusal));
                }
            }
            let load = self.load_time(wait_reason);
            if waited >= self.wait_limit(wait_reason, load) || left <= load {
                return Some(NextStep::Refuse(self.not_served(wait_reason, load)));
            }
            let until_asked = self.until_asked_again(wait_reason, begun);
            if until_asked.is_some_and(|it| it.is_zero()) {
                return None;
            }
            let limit = until_asked.unwrap_or(CALLER_CHECK_INTERVAL);
            let limit = limit.min(CALLER_CHECK_INTERVAL).min(left.into());
            let waiting = &self.shared.waiting;
            waiting.fetch_add(1, atomic::Ordering::Relaxed);
            match queue_wait {
                Some(wait) if wait.is_queued() => self.block_in_queue(wait, left),
                _ => drop(self.shared.wait(seen, limit)),
            }
            waiting.fetch_sub(1, atomic::Ordering::Relaxed);
            if wait_reason == chooser::WaitReason::Adapter {
                // The leader may have failed before it acted on the request for the adapter.
                adapter_requests = 0;
            }
        }
    }

    /// What ends the wait for another endpoint at once.
    pub(super) fn interruption(&self, watch: &reply::Watch) -> Option<NextStep> {
        if watch.caller_gone() {
            return Some(NextStep::CallerGone);
        }
        self.has_kept_run_that_goes_on().then_some(NextStep::Return)
    }

    /// Sends the request to `pick`, or refuses it, by the limits that all entry processes enforce together. None if
    /// it may not be sent to this endpoint for now.
    pub(super) fn send_if_permitted(&mut self, pick: chooser::Pick) -> Option<NextStep> {
        match self.permission_to_send(&pick) {
            Permission::Granted => Some(NextStep::Send(pick)),
            Permission::Refused(refusal) => Some(NextStep::Refuse(refusal)),
            Permission::OtherEndpoint => None,
        }
    }

    /// Refuses a request that may not be sent any more, whatever it waits for.
    pub(super) fn refuse_ended_wait(&mut self, left: time::Millis) -> Option<refusal::Refusal> {
        if left == time::Millis(0) {
            return Some(self.out_of_time());
        }
        if self.shared.ending.load(atomic::Ordering::Relaxed) {
            let detail = "this entry process ends before the request could be answered";
            return Some(self.final_refusal(verdict::Reason::Draining, detail.to_owned()));
        }
        self.refuse_quarantined()
            .or_else(|| self.refuse_revoked_key())
    }

    /// Whether the request may be sent to `pick` now, by the limits that all entry processes enforce together.
    fn permission_to_send(&mut self, pick: &chooser::Pick) -> Permission {
        let permission = self.acquire_permission(pick);
        if !matches!(permission, Permission::Granted) {
            self.end_attempt(pick, false, chooser::AttemptOutcome::GivenUp);
        }
        permission
    }

    /// Charges quota, retry budget and the endpoint's rate limit for the next attempt.
    ///
    /// A retry is charged once an endpoint has received the request.
    fn acquire_permission(&mut self, pick: &chooser::Pick) -> Permission {
        if let Some(refusal) = self.charge_quota() {
            return Permission::Refused(refusal);
        }
        if self.deliveries > 0 && !self.acquire_retry() {
            return Permission::Refused(self.refuse_without_retry());
        }
        // Checked last, since a unit charged for this endpoint is lost if the request goes to another one.
        if !self.is_within_limit(pick) {
            return Permission::OtherEndpoint;
        }
        Permission::Granted
    }

    /// Refuses a request that would have to be sent again.
    fn refuse_without_retry(&mut self) -> refusal::Refusal {
        self.is_retry_budget_spent = true;
        let detail = format!("{}, and no repeat is left in the budget", self.last_failure);
        self.final_refusal(verdict::Reason::EndpointFailed, detail)
    }

    /// Refuses a request if all endpoints stay closed beyond its deadline and its model can't be loaded
    /// elsewhere before that.
    fn refuse_closed_endpoints(
        &self,
        wait_reason: chooser::WaitReason,
        left: time::Millis,
    ) -> Option<refusal::Refusal> {
        let chooser::WaitReason::Allowance(opens) = wait_reason else {
            return None;
        };
        let load = self
            .model
            .is_some()
            .then(|| self.load_time(chooser::WaitReason::Model));
        let prefill = self.wanted.map_or(time::Millis(0), |_| PREFILL_RESERVE);
        if opens + prefill < left || load.is_some_and(|it| it + LOAD_MARGIN < left) {
            return None;
        }
        Some(self.not_served(wait_reason, opens))
    }

    /// Takes a retry from the budget, unless the request holds one. Returns whether it holds one now.
    pub(super) fn acquire_retry(&self) -> bool {
        if self.retry.get() == HeldRetry::None {
            let now = self.shared.clock.now();
            let is_left = self.shared.with_core(|core| {
                let entries = core.entries.len();
                if self.is_resumption() {
                    core.budget.spend_for_stream(now, self.service, entries)
                } else {
                    core.budget.spend(now, self.service, entries)
                }
            });
            if is_left {
                self.retry.set(HeldRetry::FromBudget);
            }
        }
        self.retry.get() != HeldRetry::None
    }

    /// Returns a retry that was taken from the budget of this process and is not used.
    pub(super) fn return_retry(&self) {
        if self.retry.get() == HeldRetry::FromBudget {
            self.retry.set(HeldRetry::None);
            let now = self.shared.clock.now();
            self.shared
                .with_core(|core| core.budget.refund(now, self.service));
        }
    }

    /// Waits until a stream that has begun and has to be retried holds a retry, while one is expected in time.
    fn await_retry(&mut self, watch: &reply::Watch) -> RetryWait {
        let needs_retry = self.is_resumption() && self.deliveries > 0;
        if !needs_retry || self.has_coordinator_retries.get() || self.acquire_retry() {
            return RetryWait::Ended;
        }
        let shared = self.shared;
        let now = shared.clock.now();
        let ticket = shared.with_core(|core| core.budget.begin_wait(now, self.service));
        let ended = loop {
            if watch.caller_gone() {
                break RetryWait::CallerGone;
            }
            if self.has_kept_run_that_goes_on() {
                break RetryWait::Resumed;
            }
            if self.acquire_retry() {
                break RetryWait::Ended;
            }
            if shared.ending.load(atomic::Ordering::Relaxed) || !self.expects_retry(ticket) {
                break RetryWait::NoneInTime;
            }
            std::thread::sleep(RETRY_CHECK_INTERVAL);
        };
        let now = shared.clock.now();
        shared.with_core(|core| core.budget.end_wait(now, self.service, ticket));
        ended
    }

    /// Whether the stream that waits with `ticket` can expect a retry early enough for its next event to arrive before its
    /// caller gives it up.
    fn expects_retry(&self, ticket: u64) -> bool {
        let left = self.silence_left().0;
        let wait = time::Millis(left.saturating_sub(PREFILL_RESERVE.0));
        let now = self.shared.clock.now();
        self.shared.with_core(|core| {
            let entries = core.entries.len();
            let budget = &mut core.budget;
            budget.expects_token(now, self.service, entries, ticket, wait)
        })
    }

    /// Whether the request holds a retry or could take one from the budget.
    pub(super) fn can_retry(&self) -> bool {
        let now = self.shared.clock.now();
        let is_left = || {
            self.shared.with_core(|core| {
                let entries = core.entries.len();
                core.budget.has_token(now, self.service, entries)
            })
        };
        self.retry.get() != HeldRetry::None || self.has_coordinator_retries.get() || is_left()
    }

    /// Refuses a request that can't start before its deadline because of those queued here before it.
    fn refuse_by_local_queue(
        &self,
        now: time::Instant,
        queued: backlog::QueuedRequest,
        left: time::Millis,
        ticket: &mut Option<u64>,
    ) -> Option<refusal::Refusal> {
        let expected = self.unmeetable_wait(now, queued, left, ticket)?;
        let detail = format!(
            "those before it take {} ms, and {} ms are left",
            expected.0, left.0
        );
        let refusal = self.final_refusal(verdict::Reason::DeadlineUnmeetable, detail);
        // No engine is free before the prefill of the queued requests is done.
        Some(refusal.with_retry_after(expected.max(DEFAULT_RETRY_AFTER)))
    }

    /// The expected wait behind the requests queued here, if less than [`PREFILL_RESERVE`] would be left after it.
    fn unmeetable_wait(
        &self,
        now: time::Instant,
        queued: backlog::QueuedRequest,
        left: time::Millis,
        ticket: &mut Option<u64>,
    ) -> Option<time::Millis> {
        let model = self.model_name();
        let expected = self.shared.with_core(|core| {
            let ticket = ticket.get_or_insert_with(|| core.backlog.push(now, model, queued));
            core.backlog.expected_wait(now, model, *ticket)
        })?;
        (expected + PREFILL_RESERVE > left).then_some(expected)
    }

    /// The queue entry of this request; none if it needs no model, or resumes a stream.
    fn queued_request(&self, now: time::Instant) -> Option<backlog::QueuedRequest> {
        let wanted = self.wanted.filter(|_| !self.is_resumption())?;
        Some(backlog::QueuedRequest {
            tokens: self.metadata.prompt_tokens,
            priority: self.priority(),
            on_time_until: backlog::late_at(
                now,
                self.req.received.elapsed().into(),
                self.route.latency_target,
            ),
            adapter: wanted.adapter.clone(),
        })
    }

    /// How long the request may wait for what is missing.
    fn wait_limit(
        &self,
        wait_reason: chooser::WaitReason,
        load: time::Millis,
    ) -> std_time::Duration {
        let latency_target = self.route.latency_target.0;
        match wait_reason {
            chooser::WaitReason::Model => (load + LOAD_MARGIN).into(),
            chooser::WaitReason::Adapter | chooser::WaitReason::Allowance(_) => {
                self.route.timeout.into()
            }
            // Engines finish their prefill steadily, so the request may wait until its deadline.
            chooser::WaitReason::Place if self.wanted.is_some() => self.route.timeout.into(),
            chooser::WaitReason::Place if self.has_slot_coordinators() => {
                std_time::Duration::from(self.route.timeout) / SLOT_SHARE_WAIT_DIVISOR
            }
            chooser::WaitReason::Place | chooser::WaitReason::Endpoint => {
                std_time::Duration::from_millis(latency_target * SLOT_WAIT_PERCENT / 100)
            }
        }
    }

    /// The load time of the missing model; zero if no model is missing.
    fn load_time(&self, wait_reason: chooser::WaitReason) -> time::Millis {
        match (wait_reason, self.model) {
            (chooser::WaitReason::Model, Some(model)) => self
                .shared
                .with_core(|core| core.chooser.load_time(self.service, model)),
            _ => time::Millis(0),
        }
    }

    /// The time left until the response would miss the latency target.
    pub(super) fn on_time(&self) -> time::Millis {
        let latency_target = std_time::Duration::from(self.route.latency_target);
        latency_target
            .saturating_sub(self.req.received.elapsed())
            .into()
    }

    /// How long a request waits for an engine with little pending prefill before it accepts any engine.
    fn idle_engine_wait(&self) -> std_time::Duration {
        if self.is_resumption() {
            return std_time::Duration::ZERO;
        }
        std_time::Duration::from_millis(
            self.route.latency_target.0 * IDLE_ENGINE_WAIT_PERCENT / 100,
        )
    }

    /// Asks the leader to have the adapter of this request loaded on `engine`. Returns false if no leader has taken the
    /// request.
    fn request_adapter(&self, now: time::Instant, engine: directory::InstanceId) -> bool {
        let Some((model, adapter)) = self
            .wanted
            .and_then(|it| Some((it.model.clone(), it.adapter.clone()?)))
        else {
            return true;
        };
        let want = messages::AdapterReq {
            service: self.service.to_owned(),
            model,
            adapter,
            engine: Some(engine),
        };
        let adapter = want.adapter.as_str();
        if !self
            .shared
            .with_core(|core| core.should_request_adapter(now, &want))
        {
            return true;
        }
        // The preferred control process forwards it to the leader. The leader is asked directly if that one
        // can't be reached or knows no leader.
        let preferred = self.shared.config_fetcher.preferred();
        let leader = self.shared.leader().filter(|it| Some(*it) != preferred);
        for control in preferred.into_iter().chain(leader) {
            match self.send_adapter_request(control, &want) {
                Ok(messages::AdapterResp::Taken) => {
                    ::log::debug!(request = self.id(), adapter; "gateway: requested the adapter");
                    return true;
                }
                Ok(messages::AdapterResp::NotLeader { leader }) => self.shared.set_leader(leader),
                Err(e) => {
                    ::log::info!(request = self.id(), adapter, error:% = e; "gateway: request for the adapter failed");
                }
            }
        }
        false
    }

    fn send_adapter_request(
        &self,
        control: net::Ipv4Addr,
        want: &messages::AdapterReq,
    ) -> Result<messages::AdapterResp, sageshed_vms::CallError> {
        let port = self.shared.settings.discovery.vms_port;
        let address = net::SocketAddrV4::new(control, port).to_string();
        let client = &self.shared.client;
        client.call(
            &address,
            messages::paths::ADAPTER,
            want,
            CALLER_CHECK_INTERVAL * 3,
        )
    }
}
