//! The replicated log: elections, replication, lost disks and changes of membership.
//!
//! What must hold: one leader in each term; what was applied once is applied everywhere, in that
//! order; whoever leads in a later term holds all that was committed before.
//!
//! Each [`Scenario`] starts somewhere and has a [`Budget`] of things that may happen. Deep faults
//! need a start that is deep already, or the search would not come to them.

pub mod scenarios;
pub mod world;

use std::{fmt, sync};

use sageshed_quorum::{event, log};

use crate::explore;

/// How often each thing may still happen.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Election timers that run out.
    pub elections: u32,
    /// Commands.
    pub proposals: u8,
    /// Processes that end and start again.
    pub crashes: u32,
    /// Disks lost.
    pub disks: u32,
    /// Messages delivered twice.
    pub copies: u32,
    /// Rounds of heartbeats besides the first of each leader.
    pub heartbeats: u32,
    /// Leaders that step down by themselves.
    pub quorums: u32,
    /// Changes of membership that may be asked for, each once.
    pub changes: Vec<event::Change>,
}

/// What must hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Promise {
    /// The promises of the log.
    Safety,
    /// No leader steps down. Only for starts from which none has to.
    NoStepDown,
}

/// A start, and what may happen from there.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Where it begins.
    pub world: world::World,
    /// What may happen.
    pub budget: Budget,
    /// The VMs whose election timer may run out.
    pub restless: Vec<u32>,
    /// The VMs that may crash or lose their disk.
    pub frail: Vec<u32>,
    /// What must hold.
    pub promise: Promise,
}

/// A world with what may still happen.
#[derive(Debug, Clone, Hash)]
pub struct State {
    /// The VMs.
    pub world: world::World,
    /// What may happen.
    pub budget: Budget,
}

/// One thing that happens.
#[derive(Debug, Clone)]
pub enum Step {
    /// An election timer runs out.
    ElectionTimeout(u32),
    /// A leader sends a round of heartbeats.
    Heartbeats(u32),
    /// A leader steps down.
    QuorumLost(u32),
    /// A command is proposed to a leader.
    Propose(u32, u8),
    /// A change of membership is asked of a leader.
    Change(u32, event::Change),
    /// A process ends and starts again.
    Crash(u32),
    /// A disk is lost.
    LoseDisk(u32),
    /// A message arrives.
    Deliver(sync::Arc<world::Envelope>),
    /// A message arrives, and a copy of it is still under way.
    Copy(sync::Arc<world::Envelope>),
    /// A message arrives, and the process ends after it has answered and before it has written.
    DeliverAndCrash(sync::Arc<world::Envelope>),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ElectionTimeout(vm) => write!(f, "VM {vm}: election timer runs out"),
            Self::Heartbeats(vm) => write!(f, "VM {vm}: sends heartbeats"),
            Self::QuorumLost(vm) => write!(f, "VM {vm}: hears no majority, leads no longer"),
            Self::Propose(vm, command) => write!(f, "VM {vm}: command {command} proposed"),
            Self::Change(vm, change) => {
                let (what, id) = match change {
                    event::Change::AddLearner(id) => ("add learner", id),
                    event::Change::Promote(id) => ("promote", id),
                    event::Change::Remove(id) => ("remove", id),
                };
                write!(f, "VM {vm}: asked to {what} {id}")
            }
            Self::Crash(vm) => write!(f, "VM {vm}: process ends, starts again from its disk"),
            Self::LoseDisk(vm) => write!(f, "VM {vm}: disk lost, starts with an empty one"),
            Self::Deliver(envelope) => write!(f, "{envelope}"),
            Self::Copy(envelope) => write!(f, "{envelope} (a copy stays under way)"),
            Self::DeliverAndCrash(envelope) => {
                write!(
                    f,
                    "{envelope} (answered, then the process ends before its write)"
                )
            }
        }
    }
}

impl State {
    /// Everything that may happen next. `scenario` names who may do what.
    #[must_use]
    pub fn next(&self, scenario: &Scenario) -> Vec<(Step, Self)> {
        let mut all = Vec::new();
        self.deliveries(&mut all);
        for vm in 1..=u32::try_from(self.world.vms.len()).unwrap_or(u32::MAX) {
            if self.world.leads(vm) {
                self.by_leader(vm, &mut all);
            } else if scenario.restless.contains(&vm) {
                let spend = |budget: &mut Budget| take(&mut budget.elections);
                let timeout = event::Event::ElectionTimeout;
                self.push(&mut all, Step::ElectionTimeout(vm), spend, |world| {
                    world.step(vm, timeout);
                });
            }
            if scenario.frail.contains(&vm) {
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

    fn deliveries(&self, all: &mut Vec<(Step, Self)>) {
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
            let event = world::event_of(envelope);
            if take(&mut next.budget.crashes)
                && let Some(world) = next.world.crash_in(vm, event)
            {
                next.world = world;
                all.push((Step::DeliverAndCrash(sync::Arc::clone(envelope)), next));
            }
        }
    }

    fn by_leader(&self, vm: u32, all: &mut Vec<(Step, Self)>) {
        let spend = |budget: &mut Budget| take(&mut budget.heartbeats);
        let heartbeat = event::Event::HeartbeatDue;
        self.push(all, Step::Heartbeats(vm), spend, |world| {
            world.step(vm, heartbeat);
        });
        let spend = |budget: &mut Budget| take(&mut budget.quorums);
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

    fn broken(&self, state: &State) -> Option<String> {
        let promises = &state.world.promises;
        let begun = &self.world.promises.stepped_down;
        match self.promise {
            Promise::Safety => promises.broken.clone(),
            Promise::NoStepDown => {
                promises.stepped_down.difference(begun).next().map(|term| {
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

/// The node of `vm` with this generation of its disk.
#[must_use]
pub const fn id(vm: u32, generation: u64) -> log::NodeId {
    log::NodeId { vm, generation }
}
