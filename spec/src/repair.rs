//! A group that grows and replaces its voters by itself, while disks are lost.
//!
//! The nodes and their messages are those of [`crate::log`], and each change of membership is one
//! that the real [`repair::Policy`] asks for. Which voters a leader takes for silent is up to the
//! checker, within what the group is to bear: at most [`TOLERATED`] VMs are lost at once. A VM counts as
//! lost from the loss of its disk, or from the moment at which a leader takes it for silent, until it
//! votes again or the group is complete without it.
//!
//! What must hold, besides the promises of the log: once a command was acknowledged, some VM that holds
//! all that was acknowledged can be elected, and none can that does not. Elections themselves need not
//! be played for that, which keeps the way to a fault short.

use std::{collections, fmt, sync};

use sageshed_quorum::{event, log as quorum_log, repair, status};
use sageshed_types::time;

use crate::{explore, log, log::world};

/// Losses that the group bears at once.
const TOLERATED: usize = 1;

/// A voter that answered at [`NOW`] is heard, one that never did is silent.
const SILENCE: time::Millis = time::Millis(1);

const NOW: time::Instant = time::Instant(10);

/// What keeps the promise, each of which can be taken out.
#[derive(Debug, Clone, Copy)]
pub struct Guards {
    /// The first command waits until the group has all its voters.
    pub complete: bool,
    /// The voter that is replaced goes before its successor votes.
    pub remove_first: bool,
    /// Only a learner that lacks nothing goes on.
    pub lag: bool,
}

impl Guards {
    /// All but the one called `guard`; none if there is no such guard.
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
    /// The guards that are in.
    pub guards: Guards,
    /// Where it begins.
    pub start: State,
}

/// Everything in one moment.
#[derive(Debug, Clone, Hash)]
pub struct State {
    /// The VMs.
    pub world: world::World,
    /// Commands that may still be proposed.
    pub proposals: u8,
    /// Disks that may still be lost.
    pub losses: u32,
    /// Voters that may still be taken for silent.
    pub silences: u32,
    /// VMs that are lost now.
    pub lost: collections::BTreeSet<u32>,
    /// Commands that were acknowledged.
    pub acknowledged: collections::BTreeSet<quorum_log::Index>,
}

/// One thing that happens.
#[derive(Debug, Clone)]
pub enum Step {
    /// A message arrives.
    Deliver(sync::Arc<world::Envelope>),
    /// A disk is lost.
    Lose(u32),
    /// A leader changes the membership, with this VM taken for silent.
    Change(u32, event::Change, Option<u32>),
    /// A command is proposed to a leader.
    Propose(u32),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deliver(envelope) => write!(f, "{envelope}"),
            Self::Lose(vm) => write!(f, "VM {vm}: disk lost, starts with an empty one"),
            Self::Change(vm, change, silent) => {
                write!(f, "VM {vm}: {change:?}")?;
                silent.map_or(Ok(()), |it| write!(f, ", VM {it} being silent"))
            }
            Self::Propose(vm) => write!(f, "VM {vm}: a command is proposed"),
        }
    }
}

/// VM 1 has founded a group alone, and two others join.
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

/// Three voters of which one after another loses its disk and comes back.
#[must_use]
pub fn wiped(guards: Guards) -> Repair {
    let start = State {
        world: log::scenarios::leading(3, 3),
        losses: 2,
        ..growth(guards).start
    };
    Repair { guards, start }
}

/// Three voters and an empty VM, which takes the place of one that is silent for a while.
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
        repair::Policy::tolerating(TOLERATED, lag, SILENCE)
    }

    /// The change that the leader on `vm` asks for when it takes `silent` for silent.
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
        Some(self.in_order(change, &status, &joiners))
    }

    /// Without its guard, a caught-up learner votes before the one that it replaces goes.
    fn in_order(
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

    fn by_leader(&self, state: &State, vm: u32, all: &mut Vec<(Step, State)>) {
        let voters = state.world.status(vm).membership.voters;
        let others = voters.iter().map(|id| id.vm).filter(|it| *it != vm);
        for silent in others.map(Some).chain([None]) {
            let Some(next) = state.without(silent) else {
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
    /// The state in which `silent` counts as lost, if the group is to bear that now.
    fn without(&self, silent: Option<u32>) -> Option<Self> {
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
        self.note_acknowledged();
        self.note_returned();
        self
    }

    fn note_acknowledged(&mut self) {
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

    /// VMs that vote again, or that a complete group no longer needs, are no losses any more.
    fn note_returned(&mut self) {
        let committed = &self.world.promises.committed;
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
        // A change is over within milliseconds, and a VM that was silent counts as lost for seconds
        // after it is back.
        if vms.iter().any(|vm| changes_after(vm, committed.len())) {
            return;
        }
        let lives = |id: &quorum_log::NodeId| vms[id.vm as usize - 1].node.id() == *id;
        let is_complete = members.voters.len() > 2 * TOLERATED && members.voters.iter().all(lives);
        let votes = |vm: &u32| members.voters.contains(&vms[*vm as usize - 1].node.id());
        self.lost.retain(|vm| !is_complete && !votes(vm));
    }

    /// Whether each VM that could be elected holds all that was acknowledged, and there is one.
    fn lost_promise(&self) -> Option<String> {
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

    /// Whether the VMs that live could elect this one, all others being silent.
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

/// Whether `vm` holds a change of membership behind the first `committed` entries.
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
                self.by_leader(state, vm, &mut all);
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

    fn broken(&self, state: &State) -> Option<String> {
        let promises = &state.world.promises;
        promises.broken.clone().or_else(|| state.lost_promise())
    }
}
