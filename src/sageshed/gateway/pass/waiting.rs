//! Where a request goes next, and how long it waits for that.
//!
//! A request waits here only while what it waits for can come in its time; see
//! [`Life`].

use std::{net, sync::atomic, time as std_time};

use sageshed_fleet::{backlog, chooser, dialect, directory, messages};
use sageshed_http::reply;
use sageshed_types::{refusal, time, verdict};

use super::{BACK_SOON, Life, Step, home};
use crate::gateway::state::LOOK;

/// What must be left of the time for a late request to let others go first. Callers leave a stream of
/// which nothing came for two seconds and more.
const LATE_RESERVE: time::Millis = time::Millis(2_000);

/// What must be left once the requests before it are read, for a request to wait on.
pub(super) const READ_RESERVE: time::Millis = time::Millis(800);

/// Added to the time of a load: room has to be made first, and others may load too.
const LOAD_SLACK: time::Millis = time::Millis(3_000);

/// The part of its objective that a request waits for an engine that reads little, in hundredths.
const CALM_PATIENCE: u64 = 35;

/// How often an adapter is asked for on behalf of one request.
const FETCHES: u32 = 3;

/// How long one such question is given. An adapter is there after some 30 ms.
const FETCH_WAIT: std_time::Duration = std_time::Duration::from_millis(80);

/// The part of its objective that a request waits for a place, in hundredths.
const PLACE_PATIENCE: u64 = 60;

/// Whether a request may be sent to the endpoint that was chosen.
enum Leave {
    /// It may, and what it takes for that is taken.
    Given,
    /// Not to this one, for now.
    Elsewhere,
    /// Nowhere.
    Refused(refusal::Refusal),
}

impl<D: dialect::Dialect> Life<'_, D> {
    /// Chooses where to send the request next, and waits as long as that makes sense.
    pub(super) fn next(&mut self, watch: &reply::Watch) -> Step {
        let mut ticket = None;
        let step = self.next_with(watch, &mut ticket);
        if let Some(ticket) = ticket {
            let model = self.model_name();
            let others_wait = self
                .shared
                .with_core(|core| core.backlog.remove(model, ticket));
            if others_wait {
                self.shared.place_freed();
            }
        }
        step
    }

    fn next_with(&mut self, watch: &reply::Watch, ticket: &mut Option<u64>) -> Step {
        let arrived = std_time::Instant::now();
        let mut told_waiting = false;
        let mut asked_at = None;
        let mut fetches = 0;
        // Where the adapter was asked for first. Of engines that are equal another might be chosen the
        // next time, and the adapter be loaded on both.
        let mut fetched_on: Option<directory::InstanceId> = None;
        loop {
            if watch.caller_gone() {
                return Step::Gone;
            }
            let left = self.left_ms();
            if let Some(refusal) = self.may_wait_no_more(left) {
                return Step::Refuse(refusal);
            }
            let now = self.shared.clock.now();
            let ask = chooser::EndpointQuery {
                service: self.service,
                wanted: self.wanted,
                parts: &self.passing.parts,
                prompt_tokens: self.passing.prompt_tokens,
                tried: &self.tried,
                left,
                patience: time::Millis::from(
                    self.calm_patience().saturating_sub(arrived.elapsed()),
                ),
                on_time: self.on_time(),
                may_be_late: left > LATE_RESERVE,
                may_fetch: fetches < FETCHES,
            };
            let in_line = self.waiter(now);
            let place = self.ask_home(&ask, &mut asked_at);
            self.count(place);
            let (choice, seen) = self.shared.with_core(|core| {
                let is_preceded = in_line.as_ref().is_some_and(|it| {
                    let model = self.model_name();
                    core.backlog.is_preceded(now, model, it, *ticket)
                });
                let choice = if is_preceded {
                    chooser::Choice::Wait(chooser::WaitReason::Place)
                } else {
                    home::decide(core, now, &ask, place)
                };
                (choice, core.changes())
            });
            let missing = match choice {
                chooser::Choice::Send(pick) => match self.may_send(&pick) {
                    Leave::Given => return Step::Send(pick),
                    Leave::Refused(refusal) => return Step::Refuse(refusal),
                    Leave::Elsewhere => {
                        // The home is to name another, and not to be waited for.
                        asked_at = None;
                        continue;
                    }
                },
                chooser::Choice::TooLate { estimate } => {
                    let detail = format!(
                        "the answer would begin in {} ms, and {} ms are left",
                        estimate.0, left.0
                    );
                    return Step::Refuse(self.give_up(verdict::Reason::DeadlineUnmeetable, detail));
                }
                chooser::Choice::Fetch { instance } => {
                    fetches += 1;
                    self.want(now, fetched_on.get_or_insert(instance).clone());
                    let _changes = self.shared.wait(seen, FETCH_WAIT.min(left.into()));
                    continue;
                }
                chooser::Choice::Wait(missing) => missing,
            };
            self.waited_for = Some(missing);
            let waited = arrived.elapsed();
            if missing.is_of_model() && !told_waiting {
                told_waiting = true;
                self.tell_waiting();
            }
            if self.shared.settings.routing.turn_away {
                let queued = in_line.filter(|_| missing == chooser::WaitReason::Place);
                let refusal = self
                    .closed_too_long(missing, left)
                    .or_else(|| self.hopeless_by_home(place, left))
                    .or_else(|| self.hopeless_here(now, queued?, left, ticket));
                if let Some(refusal) = refusal {
                    return Step::Refuse(refusal);
                }
            }
            let load = self.load_time(missing);
            if waited >= self.patience(missing, load) || left <= load {
                return Step::Refuse(self.not_served(missing, load));
            }
            let limit = LOOK.min(left.into());
            let waiting = &self.shared.waiting;
            waiting.fetch_add(1, atomic::Ordering::Relaxed);
            let _changes = self.shared.wait(seen, limit);
            waiting.fetch_sub(1, atomic::Ordering::Relaxed);
            if missing == chooser::WaitReason::Adapter {
                // The leader may have been lost with the question.
                fetches = 0;
            }
        }
    }

    /// The refusal of a request that is not to be sent at all any more, whatever it waits for.
    fn may_wait_no_more(&mut self, left: time::Millis) -> Option<refusal::Refusal> {
        if left == time::Millis(0) {
            return Some(self.out_of_time());
        }
        if self.shared.ending.load(atomic::Ordering::Relaxed) {
            let detail = "this entry process ends before the request could be answered";
            return Some(self.give_up(verdict::Reason::Draining, detail.to_owned()));
        }
        self.refuse_held().or_else(|| self.refuse_withdrawn())
    }

    /// Whether the request may be sent to `pick` now, by the bounds that all entry processes keep together.
    fn may_send(&mut self, pick: &chooser::Pick) -> Leave {
        let leave = self.leave_for(pick);
        if !matches!(leave, Leave::Given) {
            self.ended(pick, false, chooser::AttemptOutcome::GivenUp);
        }
        leave
    }

    /// The second and each further arrival at an endpoint takes from the budget.
    fn leave_for(&mut self, pick: &chooser::Pick) -> Leave {
        if let Some(refusal) = self.charge() {
            return Leave::Refused(refusal);
        }
        if self.arrivals > 0 && !self.take_repeat() {
            self.lacks_repeat = true;
            let detail = format!("{}, and no repeat is left in the budget", self.last);
            return Leave::Refused(self.give_up(verdict::Reason::EndpointFailed, detail));
        }
        // Last, since what is taken for an endpoint is lost where the request goes to another.
        if !self.is_within_limit(pick) {
            return Leave::Elsewhere;
        }
        self.repeat_in_hand = false;
        Leave::Given
    }

    /// The refusal of a request that no endpoint takes before its time is over, as these have asked for nothing
    /// more for longer, unless its model can be loaded elsewhere before.
    fn closed_too_long(
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
        let reading = self.wanted.map_or(time::Millis(0), |_| READ_RESERVE);
        if opens + reading < left || load.is_some_and(|it| it + LOAD_SLACK < left) {
            return None;
        }
        Some(self.not_served(missing, opens))
    }

    /// Takes a repeat out of the budget, unless one is in hand. Returns whether one is.
    pub(super) fn take_repeat(&mut self) -> bool {
        if !self.repeat_in_hand {
            let now = self.shared.clock.now();
            self.repeat_in_hand = self.shared.with_core(|core| {
                let entries = core.entries.len();
                core.budget.spend(now, self.service, entries)
            });
        }
        self.repeat_in_hand
    }

    /// Whether a repeat is in hand or could be had.
    pub(super) fn has_repeat(&self) -> bool {
        let now = self.shared.clock.now();
        let is_left = || {
            self.shared.with_core(|core| {
                let entries = core.entries.len();
                core.budget.has_token(now, self.service, entries)
            })
        };
        self.repeat_in_hand || is_left()
    }

    /// The refusal of a request that can't be reached in its time, by those that wait here before it.
    fn hopeless_here(
        &self,
        now: time::Instant,
        waiter: backlog::QueuedRequest,
        left: time::Millis,
        ticket: &mut Option<u64>,
    ) -> Option<refusal::Refusal> {
        let expected = self.hopeless(now, waiter, left, ticket)?;
        let detail = format!(
            "those before it take {} ms, and {} ms are left",
            expected.0, left.0
        );
        let refusal = self.give_up(verdict::Reason::DeadlineUnmeetable, detail);
        // Before those that wait now are read there is no room.
        Some(refusal.retry_after(expected.max(BACK_SOON)))
    }

    /// Whether a request that waits for an engine to have read can't be reached in its time, by those
    /// that wait here before it. Returns how long it would take.
    fn hopeless(
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
        (expected + READ_RESERVE > left).then_some(expected)
    }

    /// This request among those that wait for an engine; none where it needs no model.
    fn waiter(&self, now: time::Instant) -> Option<backlog::QueuedRequest> {
        let wanted = self.wanted?;
        Some(backlog::QueuedRequest {
            tokens: self.passing.prompt_tokens,
            priority: self.priority(),
            on_time_until: now + self.on_time(),
            adapter: wanted.adapter.clone(),
        })
    }

    /// How long to wait for what is missing.
    fn patience(&self, missing: chooser::WaitReason, load: time::Millis) -> std_time::Duration {
        let objective = self.route.objective.0;
        match missing {
            chooser::WaitReason::Model => (load + LOAD_SLACK).into(),
            chooser::WaitReason::Adapter | chooser::WaitReason::Allowance(_) => {
                self.route.timeout.into()
            }
            // It waits while it has time: an engine that can read it comes free by and by.
            chooser::WaitReason::Place if self.wanted.is_some() => self.route.timeout.into(),
            chooser::WaitReason::Place | chooser::WaitReason::Endpoint => {
                std_time::Duration::from_millis(objective * PLACE_PATIENCE / 100)
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
        let objective = std_time::Duration::from(self.route.objective);
        objective.saturating_sub(self.req.received.elapsed()).into()
    }

    /// How long a request waits for an engine that reads little, before it makes do with any.
    fn calm_patience(&self) -> std_time::Duration {
        std_time::Duration::from_millis(self.route.objective.0 * CALM_PATIENCE / 100)
    }

    /// Lets the leader know of a request that waits for its model.
    fn tell_waiting(&self) {
        if let Some(wanted) = self.wanted {
            self.shared
                .with_core(|core| core.tally.wait(self.service, &wanted.model));
        }
    }

    /// Asks the leader to have the adapter of this request loaded on an engine.
    fn want(&self, now: time::Instant, engine: directory::InstanceId) {
        let Some((model, adapter)) = self
            .wanted
            .and_then(|it| Some((it.model.clone(), it.adapter.clone()?)))
        else {
            return;
        };
        let want = messages::WantReq {
            service: self.service.to_owned(),
            model,
            adapter,
            engine: Some(engine),
        };
        let adapter = want.adapter.as_str();
        if !self.shared.with_core(|core| core.says_want(now, &want)) {
            return;
        }
        // The near one passes it on; the leader is asked where that is lost or does not know who leads.
        let near = self.shared.fetching.near();
        let leader = self.shared.leader().filter(|it| Some(*it) != near);
        for control in near.into_iter().chain(leader) {
            match self.want_of(control, &want) {
                Ok(messages::WantResp::Taken) => {
                    return ::log::debug!(request = self.id(), adapter; "gateway: adapter wanted");
                }
                Ok(messages::WantResp::NotLeader { leader }) => self.shared.set_leader(leader),
                Err(e) => {
                    ::log::info!(request = self.id(), adapter, error:% = e; "gateway: adapter wanted in vain");
                }
            }
        }
    }

    fn want_of(
        &self,
        control: net::Ipv4Addr,
        want: &messages::WantReq,
    ) -> Result<messages::WantResp, sageshed_vms::CallError> {
        let port = self.shared.settings.discovery.vms_port;
        let address = net::SocketAddrV4::new(control, port).to_string();
        let client = &self.shared.client;
        client.call(&address, messages::paths::WANT, want, LOOK * 3)
    }
}
