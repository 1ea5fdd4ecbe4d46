//! A deterministic simulation of a group of nodes, with faults of network and disks, from one seed.

use std::collections;

use sageshed_quorum::{config, event, log, message, node, status};
use sageshed_types::time;

/// An error describes the property that was violated.
pub type CheckResult = Result<(), String>;

/// A `SplitMix64` generator.
pub struct Rng(pub u64);

impl Rng {
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut word = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (word ^ (word >> 31)) % bound
    }
}

/// A VM: its disk, its process if it runs, and its state machine, whose state is a hash over the applied
/// entries.
pub struct Vm {
    pub id: log::NodeId,
    pub node: Option<node::Node>,
    pub disk: log::PersistedState,
    pub applied: (log::Index, u64),
}

/// A committed entry as first applied by some node: the entry, the state after it, and the node's term.
pub type Committed = (log::Entry, u64, log::Term);

pub struct Sim {
    pub now: u64,
    pub rng: Rng,
    pub guards: config::Guards,
    pub vms: collections::BTreeMap<u32, Vm>,
    pub partitioned: collections::BTreeSet<u32>,
    /// On average one in this many messages is lost, one is duplicated and one is very late. Zero for no
    /// faults.
    pub fault_every: u64,
    pub committed: collections::BTreeMap<log::Index, Committed>,
    pub answers: Vec<event::Action>,
    pub wire: Vec<(u64, log::NodeId, message::Message)>,
    leaders: collections::BTreeMap<log::Term, log::NodeId>,
    reads: collections::BTreeMap<u64, log::Index>,
    first: log::Membership,
}

pub fn id(vm: u32, generation: u64) -> log::NodeId {
    log::NodeId { vm, generation }
}

impl Sim {
    pub fn new(seed: u64, voters: u32, guards: config::Guards) -> Self {
        let first = log::Membership::of_voters((1..=voters).map(|vm| id(vm, 1)));
        let mut sim = Self {
            now: 0,
            rng: Rng(seed),
            guards,
            fault_every: 0,
            first,
            vms: collections::BTreeMap::new(),
            partitioned: collections::BTreeSet::new(),
            committed: collections::BTreeMap::new(),
            answers: Vec::new(),
            wire: Vec::new(),
            leaders: collections::BTreeMap::new(),
            reads: collections::BTreeMap::new(),
        };
        for vm in 1..=voters {
            let disk = log::PersistedState {
                membership: sim.first.clone(),
                ..Default::default()
            };
            let applied = Default::default();
            sim.vms.insert(
                vm,
                Vm {
                    id: id(vm, 1),
                    node: None,
                    disk,
                    applied,
                },
            );
            sim.start(vm);
        }
        sim
    }

    pub fn start(&mut self, vm: u32) {
        let seed = self.rng.below(u64::MAX);
        let vm = self.vms.get_mut(&vm).unwrap();
        let mut cfg = config::Config::new(vm.id);
        cfg.election_timeout = time::Millis(200);
        cfg.heartbeat_interval = time::Millis(40);
        cfg.drift_margin = time::Millis(0);
        cfg.max_batch_bytes = 200;
        cfg.restart_check_enabled = true;
        cfg.guards = self.guards;
        let state = |s: &log::Snapshot| {
            (
                s.index,
                u64::from_le_bytes(s.data.as_slice().try_into().unwrap()),
            )
        };
        vm.applied = vm.disk.snapshot.as_ref().map(state).unwrap_or_default();
        let mut node = node::Node::new(cfg, vm.disk.clone(), seed);
        let actions = node.step(time::Instant(self.now), event::Event::Tick);
        assert_eq!(actions, [], "a node that starts does nothing yet");
        vm.node = Some(node);
    }

    /// Adds a VM with an empty disk that is not a member.
    pub fn join(&mut self, vm: u32) {
        let disk = log::PersistedState::default();
        self.vms.insert(
            vm,
            Vm {
                id: id(vm, 1),
                node: None,
                disk,
                applied: Default::default(),
            },
        );
        self.start(vm);
    }

    pub fn start_all(&mut self) {
        for vm in self.vms.keys().copied().collect::<Vec<_>>() {
            if self.vms[&vm].node.is_none() {
                self.start(vm);
            }
        }
    }

    pub fn any_vm(&mut self) -> u32 {
        let nth = usize::try_from(self.rng.below(self.vms.len() as u64)).unwrap();
        *self.vms.keys().nth(nth).unwrap()
    }

    pub fn crash(&mut self, vm: u32) {
        self.vms.get_mut(&vm).unwrap().node = None;
    }

    /// Restarts the VM with an empty disk, and so with a new generation.
    pub fn lose_disk(&mut self, vm: u32) {
        let host = self.vms.get_mut(&vm).unwrap();
        host.id.generation += 1;
        host.disk = log::PersistedState::default();
        if !self.guards.generation {
            host.disk.membership = self.first.clone();
        }
        self.start(vm);
    }

    pub fn status(&self, vm: u32) -> Option<status::Status> {
        self.vms[&vm].node.as_ref().map(node::Node::status)
    }

    /// The node with the latest term among those that consider themselves leader.
    pub fn leader(&self) -> Option<u32> {
        let nodes = self
            .vms
            .iter()
            .filter_map(|(vm, host)| Some((*vm, host.node.as_ref()?.status())));
        let leaders = nodes.filter(|(_, status)| status.role == status::Role::Leader);
        leaders
            .max_by_key(|(_, status)| status.term)
            .map(|(vm, _)| vm)
    }

    /// Passes one event to a VM, which crashes after `crash_after` actions, if given.
    pub fn step_until(
        &mut self,
        vm: u32,
        event: event::Event,
        crash_after: Option<u64>,
    ) -> CheckResult {
        if let event::Event::ReadIndex { correlation_id } = event {
            self.reads.insert(correlation_id, self.last_committed());
        }
        let Some(node) = self.vms.get_mut(&vm).and_then(|host| host.node.as_mut()) else {
            return Ok(());
        };
        let actions = node.step(time::Instant(self.now), event);
        for (done, action) in actions.into_iter().enumerate() {
            if crash_after.is_some_and(|after| done as u64 >= after) {
                break;
            }
            self.act(vm, action)?;
        }
        if crash_after.is_some() {
            self.crash(vm);
        }
        Ok(())
    }

    pub fn step(&mut self, vm: u32, event: event::Event) -> CheckResult {
        self.step_until(vm, event, None)
    }

    /// Advances the time in steps of 10 ms.
    pub fn run(&mut self, millis: u64) -> CheckResult {
        for _ in 0..millis / 10 {
            self.now += 10;
            for vm in self.vms.keys().copied().collect::<Vec<_>>() {
                self.step(vm, event::Event::Tick)?;
            }
            self.deliver()?;
        }
        Ok(())
    }

    /// Lets a VM campaign after the election timeouts of all nodes, and delivers all messages.
    pub fn elect(&mut self, vm: u32) -> CheckResult {
        self.now += 1000;
        self.step(vm, event::Event::ElectionTimeout)?;
        self.deliver()
    }

    pub fn propose(&mut self, vm: u32, payload: &[u8]) -> CheckResult {
        self.step(
            vm,
            event::Event::Propose {
                correlation_id: 0,
                payload: payload.to_vec(),
            },
        )
    }

    pub fn change(&mut self, vm: u32, change: event::Change) -> CheckResult {
        self.step(
            vm,
            event::Event::ChangeMembership {
                correlation_id: 0,
                change,
            },
        )
    }

    /// Delivers all messages that are due, and those sent in response.
    pub fn deliver(&mut self) -> CheckResult {
        self.deliver_until(|_| false)
    }

    /// Like [`Self::deliver`], but stops as soon as `done` holds.
    pub fn deliver_until(&mut self, done: impl Fn(&Self) -> bool) -> CheckResult {
        while !done(self)
            && let Some(at) = self.wire.iter().position(|(due, ..)| *due <= self.now)
        {
            let (_, from, message) = self.wire.remove(at);
            let is_partitioned =
                self.partitioned.contains(&from.vm) != self.partitioned.contains(&message.to.vm);
            if !is_partitioned {
                let crashes = self.fault_every > 0 && self.rng.below(300) == 0;
                let crash_after = crashes.then(|| self.rng.below(4));
                let vm = message.to.vm;
                self.step_until(vm, event::Event::Message { from, message }, crash_after)?;
            }
        }
        Ok(())
    }

    pub fn last_committed(&self) -> log::Index {
        self.committed
            .keys()
            .next_back()
            .copied()
            .unwrap_or_default()
    }

    fn act(&mut self, vm: u32, action: event::Action) -> CheckResult {
        match action {
            event::Action::Persist(write) => {
                persist(&mut self.vms.get_mut(&vm).unwrap().disk, write);
            }
            event::Action::Send { message, .. } => self.send(vm, message),
            event::Action::Apply(entries) => {
                for entry in entries {
                    self.apply(vm, &entry)?;
                }
            }
            event::Action::Restore(snapshot) => {
                let state = u64::from_le_bytes(snapshot.data.as_slice().try_into().unwrap());
                let known = self
                    .committed
                    .get(&snapshot.index)
                    .map(|(_, state, _)| *state);
                check(known == Some(state), || {
                    format!("snapshot differs at {}", snapshot.index)
                })?;
                self.vms.get_mut(&vm).unwrap().applied = (snapshot.index, state);
            }
            event::Action::BecameLeader { term } => self.check_leader(vm, term)?,
            event::Action::ReadReady {
                correlation_id,
                index,
            } => {
                let least = self.reads[&correlation_id];
                check(index >= least, || format!("stale read: {index} of {least}"))?;
                self.answers.push(action);
            }
            event::Action::Compacted { index } => {
                self.vms
                    .get_mut(&vm)
                    .unwrap()
                    .disk
                    .entries
                    .retain(|entry| entry.index > index);
            }
            other => self.answers.push(other),
        }
        Ok(())
    }

    fn send(&mut self, vm: u32, message: message::Message) {
        let Some(node) = &self.vms[&vm].node else {
            return;
        };
        let from = node.id();
        let fault = if self.fault_every > 0 {
            self.rng.below(self.fault_every)
        } else {
            u64::MAX
        };
        let delay = if self.fault_every > 0 {
            self.rng.below(30)
        } else {
            0
        };
        match fault {
            0 => return,
            1 => self
                .wire
                .push((self.now + self.rng.below(500), from, message.clone())),
            _ => {}
        }
        let late = if fault == 2 { self.rng.below(1000) } else { 0 };
        self.wire.push((self.now + delay + late, from, message));
    }

    fn apply(&mut self, vm: u32, entry: &log::Entry) -> CheckResult {
        let host = self.vms.get_mut(&vm).unwrap();
        let term = host.node.as_ref().unwrap().status().term;
        check(entry.index == host.applied.0.next(), || {
            format!("gap at {}", entry.index)
        })?;
        let sum = match &entry.data {
            log::EntryData::Command(payload) => payload.iter().map(|b| u64::from(*b)).sum(),
            _ => entry.term.0,
        };
        let state = host.applied.1.wrapping_mul(31).wrapping_add(sum + 1);
        host.applied = (entry.index, state);
        let known = self
            .committed
            .entry(entry.index)
            .or_insert((entry.clone(), state, term));
        check(known.0 == *entry && known.1 == state, || {
            format!(
                "committed entry changed at {}: {:?} to {entry:?}",
                entry.index, known.0
            )
        })
    }

    /// Checks a new leader: it is the only one in its term, it holds all entries that were committed before,
    /// and no other node has a valid lease.
    fn check_leader(&mut self, vm: u32, term: log::Term) -> CheckResult {
        let host = &self.vms[&vm];
        let id = host.node.as_ref().unwrap().id();
        let first = *self.leaders.entry(term).or_insert(id);
        check(first == id, || {
            format!("two leaders in term {term}: {first} and {id}")
        })?;
        let covered = host
            .disk
            .snapshot
            .as_ref()
            .map(|s| s.index)
            .unwrap_or_default();
        for (index, (entry, _, by)) in self.committed.range(covered.next()..) {
            let held = host.disk.entries.iter().find(|held| held.index == *index);
            let kept = *by >= term || held == Some(entry);
            check(kept, || {
                format!("leader {id} of term {term} lacks committed entry {index}")
            })?;
        }
        let others = self.vms.values().filter_map(|other| other.node.as_ref());
        let lease = others.filter(|other| other.id() != id).find_map(|other| {
            other
                .has_quorum_until()
                .filter(|until| until.0 > self.now)
                .map(|_| other.id())
        });
        check(lease.is_none(), || {
            format!("{id} elected within the lease of {lease:?}")
        })
    }
}

fn check(holds: bool, broken: impl Fn() -> String) -> CheckResult {
    if holds { Ok(()) } else { Err(broken()) }
}

fn persist(disk: &mut log::PersistedState, write: log::LogWrite) {
    disk.hard_state = write.hard_state.unwrap_or(disk.hard_state);
    if let Some(from) = write.truncate_from {
        disk.entries.retain(|entry| entry.index < from);
    }
    if let Some(snapshot) = write.snapshot {
        disk.entries.retain(|entry| entry.index > snapshot.index);
        disk.snapshot = Some(snapshot);
    }
    disk.entries.extend(write.entries);
}
