//! Where a request goes next, and how long it waits for that.
//!
//! A request waits here only while what it waits for can come in its time; see
//! [`ProxiedRequest`].

use std::{net, sync::atomic, time as std_time};

use sageshed_fleet::{backlog, chooser, dialect, directory, messages};
use sageshed_http::reply;
use sageshed_types::{refusal, time, verdict};

use super::{DEFAULT_RETRY_AFTER, NextStep, ProxiedRequest, coordinator};
use crate::gateway::state::CALLER_CHECK_INTERVAL;

/// What must be left of the time for a late request to let others go first. Callers leave a stream of
/// which nothing came for two seconds and more.
const MIN_TIME_LEFT_IF_LATE: time::Millis = time::Millis(2_000);

/// What must be left once the requests before it are read, for a request to wait on.
pub(super) const PREFILL_RESERVE: time::Millis = time::Millis(800);

/// Added to the time of a load: room has to be made first, and others may load too.
const LOAD_MARGIN: time::Millis = time::Millis(3_000);

/// The part of its objective that a request waits for an engine that reads little, in hundredths.
const IDLE_ENGINE_WAIT_PERCENT: u64 = 35;

/// How often an adapter is asked for on behalf of one request.
const MAX_ADAPTER_REQUESTS: u32 = 3;

/// How long one such question is given. An adapter is there after some 30 ms.
const ADAPTER_REQUEST_WAIT: std_time::Duration = std_time::Duration::from_millis(80);

/// The part of its objective that a request waits for a place, in hundredths.
const SLOT_WAIT_PERCENT: u64 = 60;

/// Whether a request may be sent to the endpoint that was chosen.
enum Permission {
    /// It may, and what it takes for that is taken.
    Granted,
    /// Not to this one, for now.
    OtherEndpoint,
    /// Nowhere.
    Refused(refusal::Refusal),
}

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Chooses where to send the request next, and waits as long as that makes sense.
    pub(super) fn next(&mut self, watch: &reply::Watch) -> NextStep {
        let mut ticket = None;
        let step = self.next_with(watch, &mut ticket);
        if let Some(ticket) = ticket {
            let model = self.model_name();
            let others_wait = self
                .shared
                .with_core(|core| core.backlog.remove(model, ticket));
            if others_wait {
                self.shared.wake_waiting();
            }
        }
        step
    }

    fn next_with(&mut self, watch: &reply::Watch, ticket: &mut Option<u64>) -> NextStep {
        let arrived = std_time::Instant::now();
        let mut reported_waiting = false;
        let mut queried_at = None;
        let mut adapter_requests = 0;
        // Where the adapter was asked for first. Of engines that are equal another might be chosen the
        // next time, and the adapter be loaded on both.
        let mut adapter_engine: Option<directory::InstanceId> = None;
        loop {
            if watch.caller_gone() {
                return NextStep::CallerGone;
            }
            let left = self.time_left();
            if let Some(refusal) = self.refuse_ended_wait(left) {
                return NextStep::Refuse(refusal);
            }
            let now = self.shared.clock.now();
            let ask = chooser::EndpointQuery {
                service: self.service,
                wanted: self.wanted,
                parts: &self.passing.parts,
                prompt_tokens: self.passing.prompt_tokens,
                tried: &self.tried_endpoints,
                left,
                patience: time::Millis::from(
                    self.idle_engine_wait().saturating_sub(arrived.elapsed()),
                ),
                on_time: self.on_time(),
                may_be_late: left > MIN_TIME_LEFT_IF_LATE,
                may_fetch: adapter_requests < MAX_ADAPTER_REQUESTS,
            };
            let queued_here = self.queued_request(now);
            let place = self.query_coordinator(&ask, &mut queried_at);
            self.count_demand(place);
            let (choice, seen) = self.shared.with_core(|core| {
                let is_preceded = queued_here.as_ref().is_some_and(|it| {
                    let model = self.model_name();
                    core.backlog.is_preceded(now, model, it, *ticket)
                });
                let choice = if is_preceded {
                    chooser::Choice::Wait(chooser::WaitReason::Place)
                } else {
                    coordinator::decide(core, now, &ask, place)
                };
                (choice, core.changes())
            });
            let missing = match choice {
                chooser::Choice::Send(pick) => match self.permission_to_send(&pick) {
                    Permission::Granted => return NextStep::Send(pick),
                    Permission::Refused(refusal) => return NextStep::Refuse(refusal),
                    Permission::OtherEndpoint => {
                        // The home is to name another, and not to be waited for.
                        queried_at = None;
                        continue;
                    }
                },
                chooser::Choice::TooLate { estimate } => {
                    let detail = format!(
                        "the answer would begin in {} ms, and {} ms are left",
                        estimate.0, left.0
                    );
                    return NextStep::Refuse(
                        self.final_refusal(verdict::Reason::DeadlineUnmeetable, detail),
                    );
                }
                chooser::Choice::Fetch { instance } => {
                    adapter_requests += 1;
                    self.request_adapter(now, adapter_engine.get_or_insert(instance).clone());
                    let _changes = self
                        .shared
                        .wait(seen, ADAPTER_REQUEST_WAIT.min(left.into()));
                    continue;
                }
                chooser::Choice::Wait(missing) => missing,
            };
            self.waited_for = Some(missing);
            let waited = arrived.elapsed();
            if missing.is_of_model() && !reported_waiting {
                reported_waiting = true;
                self.report_waiting();
            }
            if self.shared.settings.routing.turn_away {
                let queued = queued_here.filter(|_| missing == chooser::WaitReason::Place);
                let refusal = self
                    .refuse_closed_endpoints(missing, left)
                    .or_else(|| self.refuse_by_coordinator(place, left))
                    .or_else(|| self.refuse_by_local_queue(now, queued?, left, ticket));
                if let Some(refusal) = refusal {
                    return NextStep::Refuse(refusal);
                }
            }
            let load = self.load_time(missing);
            if waited >= self.wait_limit(missing, load) || left <= load {
                return NextStep::Refuse(self.not_served(missing, load));
            }
            let limit = CALLER_CHECK_INTERVAL.min(left.into());
            let waiting = &self.shared.waiting;
            waiting.fetch_add(1, atomic::Ordering::Relaxed);
            let _changes = self.shared.wait(seen, limit);
            waiting.fetch_sub(1, atomic::Ordering::Relaxed);
            if missing == chooser::WaitReason::Adapter {
                // The leader may have been lost with the question.
                adapter_requests = 0;
            }
        }
    }

    /// The refusal of a request that is not to be sent at all any more, whatever it waits for.
    fn refuse_ended_wait(&mut self, left: time::Millis) -> Option<refusal::Refusal> {
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

    /// Whether the request may be sent to `pick` now, by the bounds that all entry processes keep together.
    fn permission_to_send(&mut self, pick: &chooser::Pick) -> Permission {
        let leave = self.acquire_permission(pick);
        if !matches!(leave, Permission::Granted) {
            self.end_attempt(pick, false, chooser::AttemptOutcome::GivenUp);
        }
        leave
    }

    /// The second and each further arrival at an endpoint takes from the budget.
    fn acquire_permission(&mut self, pick: &chooser::Pick) -> Permission {
        if let Some(refusal) = self.charge_quota() {
            return Permission::Refused(refusal);
        }
        if self.deliveries > 0 && !self.acquire_retry() {
            self.is_retry_budget_spent = true;
            let detail = format!("{}, and no repeat is left in the budget", self.last_failure);
            return Permission::Refused(
                self.final_refusal(verdict::Reason::EndpointFailed, detail),
            );
        }
        // Last, since what is taken for an endpoint is lost where the request goes to another.
        if !self.is_within_limit(pick) {
            return Permission::OtherEndpoint;
        }
        self.has_retry_token = false;
        Permission::Granted
    }

    /// The refusal of a request that no endpoint takes before its time is over, as these have asked for nothing
    /// more for longer, unless its model can be loaded elsewhere before.
    fn refuse_closed_endpoints(
        &self,
        missing: chooser::WaitReason,
        left: time::Millis,
    ) -> Option<refusal::Refusal> {
        let chooser::WaitReason::Allowance(opens) = missing else {
            return None;
        };
        let load = self
            .model
            .is_some()
            .then(|| self.load_time(chooser::WaitReason::Model));
        let reading = self.wanted.map_or(time::Millis(0), |_| PREFILL_RESERVE);
        if opens + reading < left || load.is_some_and(|it| it + LOAD_MARGIN < left) {
            return None;
        }
        Some(self.not_served(missing, opens))
    }

    /// Takes a repeat out of the budget, unless one is in hand. Returns whether one is.
    pub(super) fn acquire_retry(&mut self) -> bool {
        if !self.has_retry_token {
            let now = self.shared.clock.now();
            self.has_retry_token = self.shared.with_core(|core| {
                let entries = core.entries.len();
                core.budget.spend(now, self.service, entries)
            });
        }
        self.has_retry_token
    }

    /// Whether a repeat is in hand or could be had.
    pub(super) fn can_retry(&self) -> bool {
        let now = self.shared.clock.now();
        let is_left = || {
            self.shared.with_core(|core| {
                let entries = core.entries.len();
                core.budget.has_token(now, self.service, entries)
            })
        };
        self.has_retry_token || is_left()
    }

    /// The refusal of a request that can't be reached in its time, by those that wait here before it.
    fn refuse_by_local_queue(
        &self,
        now: time::Instant,
        waiter: backlog::QueuedRequest,
        left: time::Millis,
        ticket: &mut Option<u64>,
    ) -> Option<refusal::Refusal> {
        let expected = self.unmeetable_wait(now, waiter, left, ticket)?;
        let detail = format!(
            "those before it take {} ms, and {} ms are left",
            expected.0, left.0
        );
        let refusal = self.final_refusal(verdict::Reason::DeadlineUnmeetable, detail);
        // Before those that wait now are read there is no room.
        Some(refusal.retry_after(expected.max(DEFAULT_RETRY_AFTER)))
    }

    /// Whether a request that waits for an engine to have read can't be reached in its time, by those
    /// that wait here before it. Returns how long it would take.
    fn unmeetable_wait(
        &self,
        now: time::Instant,
        waiter: backlog::QueuedRequest,
        left: time::Millis,
        ticket: &mut Option<u64>,
    ) -> Option<time::Millis> {
        let model = self.model_name();
        let expected = self.shared.with_core(|core| {
            let ticket = ticket.get_or_insert_with(|| core.backlog.push(now, model, waiter));
            core.backlog.expected_wait(now, model, *ticket)
        })?;
        (expected + PREFILL_RESERVE > left).then_some(expected)
    }

    /// This request among those that wait for an engine; none where it needs no model.
    fn queued_request(&self, now: time::Instant) -> Option<backlog::QueuedRequest> {
        let wanted = self.wanted?;
        Some(backlog::QueuedRequest {
            tokens: self.passing.prompt_tokens,
            priority: self.priority(),
            on_time_until: now + self.on_time(),
            adapter: wanted.adapter.clone(),
        })
    }

    /// How long to wait for what is missing.
    fn wait_limit(&self, missing: chooser::WaitReason, load: time::Millis) -> std_time::Duration {
        let objective = self.route.latency_target.0;
        match missing {
            chooser::WaitReason::Model => (load + LOAD_MARGIN).into(),
            chooser::WaitReason::Adapter | chooser::WaitReason::Allowance(_) => {
                self.route.timeout.into()
            }
            // It waits while it has time: an engine that can read it comes free by and by.
            chooser::WaitReason::Place if self.wanted.is_some() => self.route.timeout.into(),
            chooser::WaitReason::Place | chooser::WaitReason::Endpoint => {
                std_time::Duration::from_millis(objective * SLOT_WAIT_PERCENT / 100)
            }
        }
    }

    /// How long what is missing takes to be loaded; zero where it is no model.
    fn load_time(&self, missing: chooser::WaitReason) -> time::Millis {
        match (missing, self.model) {
            (chooser::WaitReason::Model, Some(model)) => self
                .shared
                .with_core(|core| core.chooser.load_time(self.service, model)),
            _ => time::Millis(0),
        }
    }

    /// What is left until the answer would be late.
    fn on_time(&self) -> time::Millis {
        let objective = std_time::Duration::from(self.route.latency_target);
        objective.saturating_sub(self.req.received.elapsed()).into()
    }

    /// How long a request waits for an engine that reads little, before it makes do with any.
    fn idle_engine_wait(&self) -> std_time::Duration {
        std_time::Duration::from_millis(
            self.route.latency_target.0 * IDLE_ENGINE_WAIT_PERCENT / 100,
        )
    }

    /// Lets the leader know of a request that waits for its model.
    fn report_waiting(&self) {
        if let Some(wanted) = self.wanted {
            self.shared
                .with_core(|core| core.tally.add_waiting(self.service, &wanted.model));
        }
    }

    /// Asks the leader to have the adapter of this request loaded on an engine.
    fn request_adapter(&self, now: time::Instant, engine: directory::InstanceId) {
        let Some((model, adapter)) = self
            .wanted
            .and_then(|it| Some((it.model.clone(), it.adapter.clone()?)))
        else {
            return;
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
            return;
        }
        // The near one passes it on; the leader is asked where that is lost or does not know who leads.
        let near = self.shared.fetching.preferred();
        let leader = self.shared.leader().filter(|it| Some(*it) != near);
        for control in near.into_iter().chain(leader) {
            match self.send_adapter_request(control, &want) {
                Ok(messages::AdapterResp::Taken) => {
                    return ::log::debug!(request = self.id(), adapter; "gateway: adapter wanted");
                }
                Ok(messages::AdapterResp::NotLeader { leader }) => self.shared.set_leader(leader),
                Err(e) => {
                    ::log::info!(request = self.id(), adapter, error:% = e; "gateway: adapter wanted in vain");
                }
            }
        }
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
