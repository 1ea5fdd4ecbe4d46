//! Specification of the replicated log: elections, replication, lost disks and membership changes.
//!
//! Invariants: there is at most one leader in each term, all nodes apply the same entries in the same
//! order, and the leader of a later term holds all entries committed before.
//!
//! Each [`Scenario`] has an initial state and a [`Budget`] of events. A violation that needs many events
//! can only be found from an initial state that is close to it.

pub mod scenarios;
pub mod world;

use std::{fmt, sync};

use sageshed_quorum::{event, log};

use crate::explore;

/// How many more events of each kind may happen.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Election timers that expire.
    pub elections: u32,
    /// Commands that are proposed.
    pub proposals: u8,
    /// Processes that crash and restart.
    pub crashes: u32,
    /// Disks that are lost.
    pub disks: u32,
    /// Messages that are delivered twice.
    pub copies: u32,
    /// Rounds of heartbeats besides the first round of each leader.
    pub heartbeats: u32,
    /// Leaders that step down because they lose contact to a majority.
    pub quorum_losses: u32,
    /// Membership changes that may be requested, each once.
    pub changes: Vec<event::Change>,
}

/// The invariants of a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// The invariants of the log.
    Safety,
    /// No leader steps down. Only for scenarios in which no leader has to.
    NoStepDown,
}

/// An initial state and the events possible from there.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The initial state of the VMs and messages.
    pub world: world::World,
    /// How many events of each kind may happen.
    pub budget: Budget,
    /// The VMs whose election timer may expire.
    pub may_campaign: Vec<u32>,
    /// The VMs that may crash or lose their disk.
    pub may_fail: Vec<u32>,
    /// The invariants.
    pub invariant: Invariant,
}

/// The state of the VMs and messages, with the remaining budget.
#[derive(Debug, Clone, Hash)]
pub struct State {
    /// The VMs and messages.
    pub world: world::World,
    /// How many more events of each kind may happen.
    pub budget: Budget,
}

/// An event.
#[derive(Debug, Clone)]
pub enum Step {
    /// An election timer expires.
    ElectionTimeout(u32),
    /// A leader sends a round of heartbeats.
    Heartbeats(u32),
    /// A leader steps down.
    QuorumLost(u32),
    /// A command is proposed to a leader.
    Propose(u32, u8),
    /// A membership change is requested from a leader.
    Change(u32, event::Change),
    /// A process crashes and restarts.
    Crash(u32),
    /// A disk is lost.
    LoseDisk(u32),
    /// A message is delivered.
    Deliver(sync::Arc<world::Envelope>),
    /// A message is delivered, and a copy of it stays in flight.
    Copy(sync::Arc<world::Envelope>),
    /// A message is delivered, and the process crashes after it has replied and before it has written.
    DeliverAndCrash(sync::Arc<world::Envelope>),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ElectionTimeout(vm) => write!(f, "VM {vm}: election timer expires"),
            Self::Heartbeats(vm) => write!(f, "VM {vm}: sends heartbeats"),
            Self::QuorumLost(vm) => write!(f, "VM {vm}: lost contact to a majority, steps down"),
            Self::Propose(vm, command) => write!(f, "VM {vm}: command {command} proposed"),
            Self::Change(vm, change) => {
                let (what, id) = match change {
                    event::Change::AddLearner(id) => ("add learner", id),
                    event::Change::Promote(id) => ("promote", id),
                    event::Change::Remove(id) => ("remove", id),
                };
                write!(f, "VM {vm}: asked to {what} {id}")
            }
            Self::Crash(vm) => write!(f, "VM {vm}: process crashes and restarts from its disk"),
            Self::LoseDisk(vm) => write!(f, "VM {vm}: disk lost, restarts with an empty one"),
            Self::Deliver(envelope) => write!(f, "{envelope}"),
            Self::Copy(envelope) => write!(f, "{envelope} (a copy stays in flight)"),
            Self::DeliverAndCrash(envelope) => {
                write!(
                    f,
                    "{envelope} (answered, then the process crashes before its write)"
                )
            }
        }
    }
}

impl State {
    /// The possible events with the resulting states. `scenario` names the VMs at which they are possible.
    #[must_use]
    pub fn next(&self, scenario: &Scenario) -> Vec<(Step, Self)> {
        let mut all = Vec::new();
        self.delivery_events(&mut all);
        for vm in 1..=u32::try_from(self.world.vms.len()).unwrap_or(u32::MAX) {
            if self.world.leads(vm) {
                self.leader_events(vm, &mut all);
            } else if scenario.may_campaign.contains(&vm) {
                let spend = |budget: &mut Budget| take(&mut budget.elections);
                let timeout = event::Event::ElectionTimeout;
                self.push(&mut all, Step::ElectionTimeout(vm), spend, |world| {
                    world.step(vm, timeout);
                });
            }
            if scenario.may_fail.contains(&vm) {
                let spend = |budget: &mut Budget| take(&mut budget.crashes);
                self.push(&mut all, Step::Crash(vm), spend, |world| world.restart(vm));
                let spend = |budget: &mut Budget| take(&mut budget.disks);
                self.push(&mut all, Step::LoseDisk(vm), spend, |world| {
                    world.lose_disk(vm);
                });
            }
        }
        all
    }

    fn delivery_events(&self, all: &mut Vec<(Step, Self)>) {
        for (digest, envelope) in &self.world.network {
            let mut next = self.clone();
            if next.world.deliver(*digest, false) {
                all.push((Step::Deliver(sync::Arc::clone(envelope)), next));
            }
            let mut next = self.clone();
            if take(&mut next.budget.copies) && next.world.deliver(*digest, true) {
                all.push((Step::Copy(sync::Arc::clone(envelope)), next));
            }
            let vm = envelope.message.to.vm;
            let mut next = self.clone();
            next.world.network.remove(digest);
            let event = world::delivery_event(envelope);
            if take(&mut next.budget.crashes)
                && let Some(world) = next.world.step_and_crash(vm, event)
            {
                next.world = world;
                all.push((Step::DeliverAndCrash(sync::Arc::clone(envelope)), next));
            }
        }
    }

    fn leader_events(&self, vm: u32, all: &mut Vec<(Step, Self)>) {
        let spend = |budget: &mut Budget| take(&mut budget.heartbeats);
        let heartbeat = event::Event::HeartbeatDue;
        self.push(all, Step::Heartbeats(vm), spend, |world| {
            world.step(vm, heartbeat);
        });
        let spend = |budget: &mut Budget| take(&mut budget.quorum_losses);
        self.push(all, Step::QuorumLost(vm), spend, |world| {
            world.step(vm, event::Event::QuorumLost);
        });
        let command = self.budget.proposals;
        let spend = |budget: &mut Budget| {
            budget.proposals = command.saturating_sub(1);
            command > 0
        };
        let propose = event::Event::Propose {
            correlation_id: 0,
            payload: vec![command],
        };
        self.push(all, Step::Propose(vm, command), spend, |world| {
            world.step(vm, propose);
        });
        for change in &self.budget.changes {
            let spend = |budget: &mut Budget| {
                budget.changes.retain(|other| other != change);
                true
            };
            let event = event::Event::ChangeMembership {
                correlation_id: 0,
                change: *change,
            };
            let last = self.world.status(vm).last;
            let step = Step::Change(vm, *change);
            self.push(all, step, spend, |world| world.step(vm, event));
            let refused = |(_, next): &(Step, Self)| next.world.status(vm).last == last;
            if all.last().is_some_and(refused) {
                all.pop();
            }
        }
    }

    fn push(
        &self,
        all: &mut Vec<(Step, Self)>,
        step: Step,
        spend: impl Fn(&mut Budget) -> bool,
        act: impl FnOnce(&mut world::World),
    ) {
        let mut next = self.clone();
        if spend(&mut next.budget) {
            act(&mut next.world);
            all.push((step, next));
        }
    }
}

impl explore::Spec for Scenario {
    type State = State;
    type Event = Step;

    fn start(&self) -> State {
        State {
            world: self.world.clone(),
            budget: self.budget.clone(),
        }
    }

    fn next(&self, state: &State) -> Vec<(Step, State)> {
        state.next(self)
    }

    fn violation(&self, state: &State) -> Option<String> {
        let history = &state.world.history;
        let begun = &self.world.history.stepped_down;
        match self.invariant {
            Invariant::Safety => history.violation.clone(),
            Invariant::NoStepDown => {
                history.stepped_down.difference(begun).next().map(|term| {
                    format!("the leader of term {term} steps down, though nothing failed")
                })
            }
        }
    }
}

fn take(left: &mut u32) -> bool {
    let some = *left > 0;
    *left = left.saturating_sub(1);
    some
}

/// The id of the node on `vm` with this disk generation.
#[must_use]
pub const fn id(vm: u32, generation: u64) -> log::NodeId {
    log::NodeId { vm, generation }
}
