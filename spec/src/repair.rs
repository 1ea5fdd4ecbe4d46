//! Specification of a group that grows and replaces its voters automatically while disks are lost.
//!
//! The nodes and their messages are those of [`crate::log`], and all membership changes are requested by
//! the production [`repair::Policy`]. The checker chooses which voters a leader considers silent, as far
//! as the group tolerates it: at most `TOLERATED` VMs are lost at once. A VM counts as lost from the
//! loss of its disk, or from the time at which a leader considers it silent, until it votes again or the
//! group is complete without it.
//!
//! Invariant, besides those of the log: once a command is acknowledged, there is a VM that can be elected,
//! and each VM that can be elected holds all acknowledged commands. This can be checked without running
//! elections, which keeps counterexamples short.

use std::{collections, fmt, sync};

use sageshed_quorum::{event, log as quorum_log, repair, status};
use sageshed_types::time;

use crate::{explore, log, log::world};

/// The number of simultaneous losses that the group tolerates.
const TOLERATED: usize = 1;

/// The timeout after which a voter is silent. One that answered at [`NOW`] is not, one that never answered
/// is.
const SILENCE_TIMEOUT: time::Millis = time::Millis(1);

const NOW: time::Instant = time::Instant(10);

/// The mechanisms that the invariant rests on. Each can be turned off.
#[derive(Debug, Clone, Copy)]
pub struct Guards {
    /// The first command waits until the group has all its voters.
    pub complete: bool,
    /// The replaced voter is removed before its replacement is promoted.
    pub remove_first: bool,
    /// Only a learner that lacks no entries replaces a voter.
    pub lag: bool,
}

impl Guards {
    /// All guards except `guard`. None if there is no such guard.
    #[must_use]
    pub fn without(guard: Option<&str>) -> Option<Self> {
        let mut guards = Self {
            complete: true,
            remove_first: true,
            lag: true,
        };
        let off = match guard {
            None => return Some(guards),
            Some("complete") => &mut guards.complete,
            Some("remove_first") => &mut guards.remove_first,
            Some("lag") => &mut guards.lag,
            Some(_) => return None,
        };
        *off = false;
        Some(guards)
    }
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Repair {
    /// The guards.
    pub guards: Guards,
    /// The initial state.
    pub start: State,
}

/// The state of the group.
#[derive(Debug, Clone, Hash)]
pub struct State {
    /// The VMs and their messages.
    pub world: world::World,
    /// How many more commands may be proposed.
    pub proposals: u8,
    /// How many more disks may be lost.
    pub losses: u32,
    /// How many more voters may be considered silent.
    pub silences: u32,
    /// The VMs that currently count as lost.
    pub lost: collections::BTreeSet<u32>,
    /// The indexes of acknowledged commands.
    pub acknowledged: collections::BTreeSet<quorum_log::Index>,
}

/// An event.
#[derive(Debug, Clone)]
pub enum Step {
    /// A message is delivered.
    Deliver(sync::Arc<world::Envelope>),
    /// A disk is lost.
    Lose(u32),
    /// A leader changes the membership and considers this VM silent.
    Change(u32, event::Change, Option<u32>),
    /// A command is proposed to a leader.
    Propose(u32),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deliver(envelope) => write!(f, "{envelope}"),
            Self::Lose(vm) => write!(f, "VM {vm}: disk lost, restarts with an empty one"),
            Self::Change(vm, change, silent) => {
                write!(f, "VM {vm}: {change:?}")?;
                silent.map_or(Ok(()), |it| write!(f, ", VM {it} being silent"))
            }
            Self::Propose(vm) => write!(f, "VM {vm}: a command is proposed"),
        }
    }
}

/// VM 1 has formed a group alone, and two other VMs join.
#[must_use]
pub fn growth(guards: Guards) -> Repair {
    let start = State {
        world: log::scenarios::leading(3, 1),
        proposals: 1,
        losses: 1,
        silences: 0,
        lost: collections::BTreeSet::new(),
        acknowledged: collections::BTreeSet::new(),
    };
    Repair { guards, start }
}

/// Three voters, of which one after the other loses its disk and joins again.
#[must_use]
pub fn wiped(guards: Guards) -> Repair {
    let start = State {
        world: log::scenarios::leading(3, 3),
        losses: 2,
        ..growth(guards).start
    };
    Repair { guards, start }
}

/// Three voters and a new VM, which replaces a voter that is silent for a while.
#[must_use]
pub fn replaced(guards: Guards) -> Repair {
    let start = State {
        world: log::scenarios::leading(4, 3),
        silences: 1,
        ..growth(guards).start
    };
    Repair { guards, start }
}

impl Repair {
    fn policy(&self) -> repair::Policy {
        let lag = if self.guards.lag { 0 } else { u64::MAX };
        repair::Policy::tolerating(TOLERATED, lag, SILENCE_TIMEOUT)
    }

    /// The change that the leader on `vm` requests if it considers the VM `silent` silent.
    fn change(&self, state: &State, vm: u32, silent: Option<u32>) -> Option<event::Change> {
        let mut status = state.world.status(vm);
        let ids: Vec<_> = state.world.vms.iter().map(|it| it.node.id()).collect();
        let heard = ids.iter().filter(|id| Some(id.vm) != silent);
        status.answered = heard.map(|id| (*id, NOW)).collect();
        let joiners = ids.into_iter().collect();
        let view = repair::GroupView {
            now: NOW,
            led_since: time::Instant(0),
            status: &status,
            joiners: &joiners,
        };
        let change = self.policy().next_change(view)?;
        Some(self.apply_order_guard(change, &status, &joiners))
    }

    /// Without the guard `remove_first`, promotes a learner before the voter that it replaces is removed.
    fn apply_order_guard(
        &self,
        change: event::Change,
        status: &status::Status,
        joiners: &collections::BTreeSet<quorum_log::NodeId>,
    ) -> event::Change {
        let event::Change::Remove(old) = change else {
            return change;
        };
        let members = &status.membership;
        let mut ready = members.learners.iter().filter(|it| joiners.contains(it));
        match ready.next() {
            Some(learner) if !self.guards.remove_first && members.voters.contains(&old) => {
                event::Change::Promote(*learner)
            }
            _ => change,
        }
    }

    fn may_acknowledge(&self, state: &State, vm: u32) -> bool {
        let status = state.world.status(vm);
        let known = state.world.vms[vm as usize - 1].disk.entries.iter();
        let mut known = known.filter(|it| it.index <= status.commit);
        let was_complete = !self.guards.complete
            || known.any(|it| matches!(it.data, quorum_log::EntryData::Command(_)));
        self.policy()
            .may_acknowledge(&status.membership, was_complete)
    }

    fn leader_events(&self, state: &State, vm: u32, all: &mut Vec<(Step, State)>) {
        let voters = state.world.status(vm).membership.voters;
        let others = voters.iter().map(|id| id.vm).filter(|it| *it != vm);
        for silent in others.map(Some).chain([None]) {
            let Some(next) = state.with_silent(silent) else {
                continue;
            };
            let Some(change) = self.change(state, vm, silent) else {
                continue;
            };
            let needs_silence = self.change(state, vm, None) != Some(change);
            if silent.is_some() != needs_silence {
                continue;
            }
            let ask = event::Event::ChangeMembership {
                correlation_id: 0,
                change,
            };
            let step = Step::Change(vm, change, silent);
            let last = state.world.status(vm).last;
            let next = next.after(|world| world.step(vm, ask));
            if next.world.status(vm).last > last {
                all.push((step, next));
            }
        }
        if state.proposals > 0 && self.may_acknowledge(state, vm) {
            let propose = event::Event::Propose {
                correlation_id: 0,
                payload: vec![state.proposals],
            };
            let mut next = state.clone();
            next.proposals -= 1;
            all.push((
                Step::Propose(vm),
                next.after(|world| world.step(vm, propose)),
            ));
        }
    }
}

impl State {
    /// The state in which the VM `silent` counts as lost. None if the group does not tolerate that now.
    fn with_silent(&self, silent: Option<u32>) -> Option<Self> {
        let mut next = self.clone();
        let Some(vm) = silent else {
            return Some(next);
        };
        if next.lost.insert(vm) {
            next.silences = next.silences.checked_sub(1)?;
        }
        (next.lost.len() <= TOLERATED).then_some(next)
    }

    fn after(mut self, act: impl FnOnce(&mut world::World)) -> Self {
        act(&mut self.world);
        self.record_acknowledged();
        self.update_lost();
        self
    }

    fn record_acknowledged(&mut self) {
        for vm in &self.world.vms {
            let status = vm.node.status();
            if status.role != status::Role::Leader {
                continue;
            }
            let known = vm
                .disk
                .entries
                .iter()
                .filter(|it| it.index <= status.commit);
            let commands = known.filter(|it| matches!(it.data, quorum_log::EntryData::Command(_)));
            self.acknowledged.extend(commands.map(|it| it.index));
        }
    }

    /// Removes VMs from the lost ones that vote again or are not needed any more by a complete group.
    fn update_lost(&mut self) {
        let committed = &self.world.history.committed;
        let newest = committed
            .iter()
            .rev()
            .find_map(|(entry, _)| match &entry.data {
                quorum_log::EntryData::Membership(members) => Some(members),
                _ => None,
            });
        let Some(members) = newest else {
            return;
        };
        let vms = &self.world.vms;
        // A change completes within milliseconds, while a silent VM counts as lost for seconds after it
        // responds again. So all lost VMs stay lost while a change is in progress.
        if vms.iter().any(|vm| changes_after(vm, committed.len())) {
            return;
        }
        let lives = |id: &quorum_log::NodeId| vms[id.vm as usize - 1].node.id() == *id;
        let is_complete = members.voters.len() > 2 * TOLERATED && members.voters.iter().all(lives);
        let votes = |vm: &u32| members.voters.contains(&vms[*vm as usize - 1].node.id());
        self.lost.retain(|vm| !is_complete && !votes(vm));
    }

    /// Returns a violation if no VM can be elected, or one that lacks acknowledged commands.
    fn acknowledgement_violation(&self) -> Option<String> {
        if self.acknowledged.is_empty() {
            return None;
        }
        let electable = self.world.vms.iter().filter(|vm| self.is_electable(vm));
        let mut any = false;
        for vm in electable {
            any = true;
            let holds =
                |index: &quorum_log::Index| vm.disk.entries.iter().any(|it| it.index == *index);
            if !self.acknowledged.iter().all(holds) {
                let id = vm.node.id();
                return Some(format!(
                    "{id} can be elected and lacks what was acknowledged"
                ));
            }
        }
        (!any).then(|| "something was acknowledged, and nobody can be elected".to_owned())
    }

    /// Whether the voters whose current disk is in the membership could elect this VM.
    fn is_electable(&self, vm: &world::Vm) -> bool {
        let members = membership(vm);
        let own = position(vm);
        members.voters.contains(&vm.node.id())
            && members.has_majority(|id| {
                let voter = &self.world.vms[id.vm as usize - 1];
                voter.node.id() == id && position(voter) <= own
            })
    }
}

/// Whether the log of `vm` contains a membership change after the first `committed` entries.
fn changes_after(vm: &world::Vm, committed: usize) -> bool {
    let mut open = vm.disk.entries.iter().skip(committed);
    open.any(|it| matches!(it.data, quorum_log::EntryData::Membership(_)))
}

fn membership(vm: &world::Vm) -> &quorum_log::Membership {
    let newest = vm.disk.entries.iter().rev().find_map(|it| match &it.data {
        quorum_log::EntryData::Membership(members) => Some(members),
        _ => None,
    });
    newest.unwrap_or(&vm.disk.membership)
}

fn position(vm: &world::Vm) -> quorum_log::Position {
    let last = vm.disk.entries.last();
    last.map_or_else(quorum_log::Position::default, |it| quorum_log::Position {
        term: it.term,
        index: it.index,
    })
}

impl explore::Spec for Repair {
    type State = State;
    type Event = Step;

    fn start(&self) -> State {
        self.start.clone()
    }

    fn next(&self, state: &State) -> Vec<(Step, State)> {
        let mut all = Vec::new();
        for (digest, envelope) in &state.world.network {
            let mut changed = false;
            let next = state
                .clone()
                .after(|world| changed = world.deliver(*digest, false));
            if changed {
                all.push((Step::Deliver(sync::Arc::clone(envelope)), next));
            }
        }
        for vm in 1..=u32::try_from(state.world.vms.len()).unwrap_or(u32::MAX) {
            if state.world.leads(vm) {
                self.leader_events(state, vm, &mut all);
            }
            let may_lose = state.losses > 0 && !state.lost.contains(&vm);
            if may_lose && state.lost.len() < TOLERATED {
                let mut next = state.clone();
                next.losses -= 1;
                next.lost.insert(vm);
                let next = next.after(|world| world.lose_disk(vm));
                all.push((Step::Lose(vm), next));
            }
        }
        all
    }

    fn violation(&self, state: &State) -> Option<String> {
        let history = &state.world.history;
        history
            .violation
            .clone()
            .or_else(|| state.acknowledgement_violation())
    }
}
