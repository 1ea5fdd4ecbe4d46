//! The slot of a request for a plain service: asked for at the coordinator of the service, and released when the
//! attempt ends.

use std::{net, sync::atomic, sync::mpsc, time as std_time};

use sageshed_fleet::{chooser, dialect, entry_peers as wire, reply_times, slots};
use sageshed_http::reply;
use sageshed_types::{time, verdict};

use super::{DEFAULT_RETRY_AFTER, NextStep, ProxiedRequest, waiting::HeldRetry};
use crate::gateway::{self, state::CALLER_CHECK_INTERVAL};

/// A slot that an attempt has, and what the attempt has shown of the endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeldSlot {
    id: u64,
    coordinator: net::Ipv4Addr,
    took: Option<time::Millis>,
    slowdown_percent: Option<u32>,
}

/// What limits the requests that this process sends to a plain service without a coordinator.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum LocalLimit {
    /// The process's share of the slots.
    #[default]
    Share,
    /// No share, since the coordinators of the service don't grant slots.
    Unshared,
}

/// How a wait for a slot ended.
enum SlotResult {
    /// The coordinator has granted this endpoint.
    Granted(net::Ipv4Addr, u64),
    /// The request ends without an attempt.
    Ended(NextStep),
    /// This process decides.
    DecideLocally(LocalLimit),
}

/// What follows from a grant.
enum FollowedGrant {
    /// The request is sent or ends.
    Step(NextStep),
    /// The endpoint is closed for this process; another slot is asked for.
    OtherEndpoint,
    /// The endpoint is not known here, or not open.
    UnknownHere,
}

/// The most endpoints that a request for a slot excludes, to bound the size of a datagram.
const MAX_TRIED: usize = 64;

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Waits for a slot of the plain service and follows the grant of its coordinator. None if the service has no
    /// coordinator that replies; then this process decides by itself.
    pub(super) fn next_by_slot(&mut self, watch: &reply::Watch) -> Option<NextStep> {
        if self.engines.is_some() {
            return None;
        }
        loop {
            let coordinators = self.slot_coordinators();
            if coordinators.is_empty() {
                self.count_for_retries(self.shared.clock.now());
                return None;
            }
            let own = self.shared.settings.discovery.ip;
            let client = &self.shared.slots;
            let (id, decisions) = client.register(own, self.shared.started);
            let now = self.shared.clock.now();
            let timeout = match &self.shared.entry_peers {
                Some(peers) => peers.reply_timeout(now),
                None => reply_times::REPLY_TIMEOUT,
            };
            let (mut wait, step) = slots::SlotWait::begin(now, coordinators, timeout);
            let result = self.wait_for_slot(id, &decisions, &mut wait, step, watch);
            let granted = match result {
                SlotResult::Granted(by, endpoint) => Some((by, endpoint)),
                SlotResult::Ended(_) | SlotResult::DecideLocally(_) => None,
            };
            let others = wait.asked().iter().copied();
            let others: Vec<_> = others
                .filter(|it| granted.is_none_or(|(by, _)| by != *it))
                .collect();
            if granted.is_none() {
                client.remove(id);
            }
            self.release_at(&others, id, None);
            self.local_limit = match result {
                SlotResult::DecideLocally(limit) => limit,
                SlotResult::Granted(..) | SlotResult::Ended(_) => LocalLimit::Share,
            };
            match (result, granted) {
                (SlotResult::Ended(step), _) => return Some(step),
                (_, Some((by, endpoint))) => {
                    client.set_granted(id, by);
                    client.granted.fetch_add(1, atomic::Ordering::Relaxed);
                    match self.follow_grant(id, by, endpoint) {
                        FollowedGrant::Step(step) => return Some(step),
                        FollowedGrant::OtherEndpoint => {}
                        FollowedGrant::UnknownHere => return None,
                    }
                }
                (_, None) => {
                    client.local.fetch_add(1, atomic::Ordering::Relaxed);
                    return None;
                }
            }
        }
    }

    /// Whether coordinators grant the slots of the service, if they reply.
    pub(super) fn has_slot_coordinators(&self) -> bool {
        let are_used = || {
            self.shared
                .with_core(|core| core.chooser.has_slot_coordinators())
        };
        self.engines.is_none() && are_used()
    }

    /// The time after which a request that has waited since `since` for this process's share of the slots asks a
    /// coordinator again; none if it does not wait for a share.
    pub(super) fn until_asked_again(
        &self,
        wait_reason: chooser::WaitReason,
        since: std_time::Instant,
    ) -> Option<std_time::Duration> {
        let is_held = wait_reason == chooser::WaitReason::Place
            && self.local_limit == LocalLimit::Share
            && self.has_slot_coordinators();
        let interval = std_time::Duration::from(slots::holder::RETURN_INTERVAL);
        is_held.then(|| interval.saturating_sub(since.elapsed()))
    }

    /// The coordinators of the service that reply, in the order in which they are asked.
    fn slot_coordinators(&self) -> Vec<net::Ipv4Addr> {
        let Some(peers) = &self.shared.entry_peers else {
            return Vec::new();
        };
        let all = self
            .shared
            .with_core(|core| core.chooser.slot_coordinators(self.service));
        peers.responsive(&all)
    }

    fn wait_for_slot(
        &mut self,
        id: u64,
        decisions: &mpsc::Receiver<gateway::slots::Decision>,
        wait: &mut slots::SlotWait,
        mut step: slots::HolderStep,
        watch: &reply::Watch,
    ) -> SlotResult {
        loop {
            match step {
                slots::HolderStep::Ask(to) => {
                    gateway::slots::request(self.shared, to, self.slot_request(id));
                }
                slots::HolderStep::Hold => {}
                slots::HolderStep::Granted(by, endpoint) => {
                    return SlotResult::Granted(by, endpoint);
                }
                slots::HolderStep::Refused { retry_after } => {
                    return SlotResult::Ended(self.refuse_by_slots(retry_after));
                }
                slots::HolderStep::DecideLocally => {
                    return SlotResult::DecideLocally(LocalLimit::Share);
                }
                slots::HolderStep::DecideUnshared => {
                    return SlotResult::DecideLocally(LocalLimit::Unshared);
                }
            }
            let left = self.wait_left();
            if let Some(refusal) = self.refuse_ended_wait(left) {
                return SlotResult::Ended(NextStep::Refuse(refusal));
            }
            if let Some(step) = self.interruption(watch) {
                return SlotResult::Ended(step);
            }
            let until_wake = wait.wake_at().since(self.shared.clock.now());
            let limit = CALLER_CHECK_INTERVAL
                .min(left.into())
                .min(until_wake.into());
            let waiting = &self.shared.waiting;
            waiting.fetch_add(1, atomic::Ordering::Relaxed);
            let reply = decisions.recv_timeout(limit);
            waiting.fetch_sub(1, atomic::Ordering::Relaxed);
            let now = self.shared.clock.now();
            step = match reply {
                Ok((from, reply)) => {
                    if reply.decision == slots::SlotDecision::Wait {
                        self.waited_for = Some(chooser::WaitReason::Place);
                    }
                    if reply.has_retry {
                        self.retry.set(HeldRetry::FromCoordinator);
                    }
                    self.has_coordinator_retries.set(reply.retries_left);
                    if !wait.is_asked(from)
                        && let Some(peers) = &self.shared.entry_peers
                    {
                        peers.count_late_reply();
                    }
                    wait.on_reply(now, from, reply.decision)
                }
                Err(_) if now < wait.wake_at() => slots::HolderStep::Hold,
                Err(_) => {
                    if let Some(lost) = wait.unresponsive(now)
                        && let Some(peers) = &self.shared.entry_peers
                    {
                        ::log::debug!(home:% = lost; "gateway: coordinator of a service does not reply");
                        peers.mark_unresponsive(lost);
                    }
                    wait.on_timeout(now)
                }
            };
        }
    }

    fn slot_request(&self, id: u64) -> slots::SlotRequest {
        let now = self.shared.clock.now();
        let tried = self.shared.with_core(|core| {
            let closed = core.chooser.closed_endpoints(now, self.service);
            let tried = self.tried_endpoints.iter().chain(&closed);
            tried
                .filter_map(|key| core.chooser.instance_key(*key))
                .take(MAX_TRIED)
                .collect()
        });
        let name = self.workspace_name();
        slots::SlotRequest {
            request: id,
            service: self.service.to_owned(),
            attempt: self.slot_attempt(),
            availability_zone: self.shared.settings.availability_zone.clone(),
            tried,
            priority: self.priority(),
            workspace: if name.is_empty() {
                0
            } else {
                wire::name_key(name)
            },
            content: wire::name_key(&self.content.to_string()),
            lease: self.time_left(),
            late_in: self.on_time(),
            abandoned_in: self.wait_left(),
            released: Vec::new(),
        }
    }

    /// Which attempt the next request for a slot is for, as the coordinator counts it in the retry budget.
    fn slot_attempt(&self) -> slots::SlotAttempt {
        let is_first = !self.is_counted_for_retries.replace(true);
        if is_first {
            slots::SlotAttempt::First
        } else if self.deliveries > 0 && self.retry.get() == HeldRetry::None {
            slots::SlotAttempt::Retry
        } else {
            slots::SlotAttempt::Again
        }
    }

    /// Takes the granted slot.
    fn follow_grant(
        &mut self,
        id: u64,
        coordinator: net::Ipv4Addr,
        endpoint: u64,
    ) -> FollowedGrant {
        let now = self.shared.clock.now();
        let left = self.time_left();
        let query = self.endpoint_query(left);
        let choice = self
            .shared
            .with_core(|core| core.chooser.follow_slot(now, endpoint, &query));
        match choice {
            Some(chooser::Choice::Send(pick)) => {
                self.slot.set(Some(HeldSlot {
                    id,
                    coordinator,
                    took: None,
                    slowdown_percent: None,
                }));
                let step = self.send_if_permitted(pick);
                step.map_or(FollowedGrant::OtherEndpoint, FollowedGrant::Step)
            }
            Some(chooser::Choice::TooLate { estimate }) => {
                self.return_slot(coordinator, id);
                FollowedGrant::Step(NextStep::Refuse(self.too_late(estimate, left)))
            }
            _ => {
                self.return_slot(coordinator, id);
                FollowedGrant::UnknownHere
            }
        }
    }

    fn refuse_by_slots(&self, retry_after: time::Millis) -> NextStep {
        self.shared
            .slots
            .refused
            .fetch_add(1, atomic::Ordering::Relaxed);
        let detail = format!(
            "those that wait for the service take {} ms, and {} ms are left",
            retry_after.0,
            self.time_left().0
        );
        let refusal = self.final_refusal(verdict::Reason::DeadlineUnmeetable, detail);
        if refusal.retry_after.is_none() {
            return NextStep::Refuse(refusal);
        }
        NextStep::Refuse(refusal.with_retry_after(retry_after.max(DEFAULT_RETRY_AFTER)))
    }

    /// Notes what the response that has begun shows of the endpoint, for the release of the slot.
    pub(super) fn note_slot_response(&self, took: time::Millis, load: Option<dialect::Load>) {
        self.slot.set(self.slot.get().map(|slot| HeldSlot {
            took: Some(took),
            slowdown_percent: load.and_then(|it| it.slowdown_percent),
            ..slot
        }));
    }

    /// Releases the slot of the attempt that has ended, if it has one.
    pub(super) fn release_slot(&self, pick: &chooser::Pick, outcome: chooser::AttemptOutcome) {
        let Some(slot) = self.slot.take() else {
            return;
        };
        let seen = slots::messages::SlotOutcome {
            endpoint: wire::instance_key(&pick.instance),
            took: slot.took,
            slowdown_percent: slot.slowdown_percent,
            fault: fault_of(outcome),
        };
        self.shared.slots.remove(slot.id);
        self.release_at(&[slot.coordinator], slot.id, Some(seen));
    }

    /// Returns a granted slot that is not used.
    fn return_slot(&self, coordinator: net::Ipv4Addr, id: u64) {
        self.shared.slots.remove(id);
        self.release_at(&[coordinator], id, None);
    }

    fn release_at(
        &self,
        coordinators: &[net::Ipv4Addr],
        id: u64,
        seen: Option<slots::messages::SlotOutcome>,
    ) {
        if coordinators.is_empty() {
            return;
        }
        let release = slots::SlotRelease {
            request: id,
            service: self.service.to_owned(),
            seen,
        };
        gateway::slots::release(self.shared, coordinators, &release);
    }
}

fn fault_of(outcome: chooser::AttemptOutcome) -> Option<wire::EngineFault> {
    match outcome {
        chooser::AttemptOutcome::Answered
        | chooser::AttemptOutcome::GivenUp
        | chooser::AttemptOutcome::Misdirected => None,
        chooser::AttemptOutcome::Refused => Some(wire::EngineFault::Rejects(0)),
        chooser::AttemptOutcome::Failed => Some(wire::EngineFault::Fails),
        chooser::AttemptOutcome::Unreachable => Some(wire::EngineFault::Unreachable),
        chooser::AttemptOutcome::Silent => Some(wire::EngineFault::Silent),
    }
}
