//! VMs with nodes of the log, their disks and the messages between them.
//!
//! The clock stands still: the checker raises the timer events, such as
//! [`event::Event::ElectionTimeout`], directly. A message in flight may be delivered at any time, in any
//! order, or never. It is delivered once, unless the budget allows a copy. Some messages are left out,
//! which only reduces the number of possible events: replies to heartbeats (which matter only for reads
//! and the clock), heartbeats that commit nothing, messages of a term earlier than the receiver's (unless
//! their sender still leads in that term), and messages without an effect. There are no snapshots.

use std::{
    collections, fmt,
    hash::{DefaultHasher, Hash, Hasher},
    sync,
};

use sageshed_quorum::{config, event, log, message, node, status};
use sageshed_types::time;

/// The constant clock of all nodes.
const NOW: time::Instant = time::Instant(0);

/// A message in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Envelope {
    /// The sender.
    pub from: log::NodeId,
    /// The message.
    pub message: message::Message,
}

impl fmt::Display for Envelope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { from, message } = self;
        write!(f, "{from} -> {}: term {}, ", message.to, message.term)?;
        match &message.body {
            message::Body::Append {
                prev,
                entries,
                commit,
            } => {
                write!(f, "append after {}/{} ", prev.index, prev.term)?;
                for entry in entries {
                    write!(f, "[{}] ", EntryDisplay(entry))?;
                }
                write!(f, "commit {commit}")
            }
            body => write!(f, "{body:?}"),
        }
    }
}

/// Formats an entry in a few characters.
pub struct EntryDisplay<'e>(pub &'e log::Entry);

impl fmt::Debug for EntryDisplay<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for EntryDisplay<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self(entry) = self;
        write!(f, "{}/{} ", entry.index, entry.term)?;
        match &entry.data {
            log::EntryData::Noop => write!(f, "noop"),
            log::EntryData::Command(bytes) => write!(f, "command {bytes:?}"),
            log::EntryData::Membership(members) => {
                let voters: Vec<_> = members.voters.iter().map(ToString::to_string).collect();
                write!(f, "voters {}", voters.join(" "))
            }
        }
    }
}

/// A VM.
#[derive(Debug, Clone)]
pub struct Vm {
    /// The node that runs on it.
    pub node: sync::Arc<node::Node>,
    /// The synced content of its disk. Between two steps it holds the node's whole state except the commit
    /// index.
    pub disk: sync::Arc<log::PersistedState>,
}

/// The facts that later states must not contradict, and the first contradiction found.
#[derive(Debug, Clone, Default, Hash)]
pub struct History {
    /// The entries applied by any node, with the term in which each was first known to be committed.
    pub committed: Vec<(log::Entry, log::Term)>,
    /// The leader of each term.
    pub leaders: collections::BTreeMap<log::Term, log::NodeId>,
    /// The terms whose leader stepped down.
    pub stepped_down: collections::BTreeSet<log::Term>,
    /// The violated invariant.
    pub violation: Option<String>,
}

impl History {
    fn apply(&mut self, node: &node::Node, entries: Vec<log::Entry>) {
        for entry in entries {
            let at = usize::try_from(entry.index.0).unwrap_or(usize::MAX) - 1;
            match self.committed.get(at) {
                None => self.committed.push((entry, node.status().term)),
                Some((known, _)) if *known == entry => {}
                Some((known, _)) => {
                    let (known, entry) = (EntryDisplay(known), EntryDisplay(&entry));
                    let id = node.id();
                    self.violation =
                        Some(format!("{id} applies [{entry}], and [{known}] was applied"));
                }
            }
        }
    }

    /// Checks a new leader, whose log is `log`.
    fn check_new_leader(&mut self, id: log::NodeId, term: log::Term, log: &[log::Entry]) {
        if let Some(other) = self.leaders.insert(term, id)
            && other != id
        {
            self.violation = Some(format!("{other} and {id} both lead in term {term}"));
        }
        let earlier = self.committed.iter().filter(|(_, known)| *known < term);
        for (entry, known) in earlier {
            let at = usize::try_from(entry.index.0).unwrap_or(usize::MAX) - 1;
            if log.get(at) != Some(entry) {
                let entry = EntryDisplay(entry);
                self.violation = Some(format!(
                    "{id} leads in term {term} without [{entry}], committed in term {known}"
                ));
            }
        }
    }
}

/// All VMs and the messages between them.
#[derive(Debug, Clone)]
pub struct World {
    /// The VMs. The index is the VM's number minus one.
    pub vms: Vec<Vm>,
    /// The messages in flight, by digest, so that states do not differ by the order of sending.
    pub network: collections::BTreeMap<u64, sync::Arc<Envelope>>,
    /// The facts that must not be contradicted.
    pub history: History,
    /// VMs that are partitioned from the others, but not from each other.
    pub partitioned: sync::Arc<[u32]>,
    settings: sync::Arc<Settings>,
}

/// The settings of all VMs.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The guards.
    pub guards: config::Guards,
    /// Whether each message contains only one entry, so that other events can happen between entries.
    pub one_entry: bool,
    /// The voters with which the group is formed.
    pub voters: log::Membership,
}

impl Hash for World {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        for vm in &self.vms {
            vm.node.id().hash(hasher);
            vm.node.state().hash(hasher);
        }
        for digest in self.network.keys() {
            digest.hash(hasher);
        }
        self.history.hash(hasher);
    }
}

/// Up to which action a step is carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Until {
    End,
    /// The process crashes just before its write.
    Write,
}

impl World {
    /// A group of VMs numbered from one. The disks of the voters contain the membership, other disks are
    /// empty.
    #[must_use]
    pub fn new(vms: u32, settings: Settings) -> Self {
        let settings = sync::Arc::new(settings);
        let vms = (1..=vms).map(|vm| {
            let id = log::NodeId { vm, generation: 1 };
            let voter = settings.voters.voters.contains(&id);
            let membership = if voter {
                settings.voters.clone()
            } else {
                log::Membership::default()
            };
            let disk = log::PersistedState {
                membership,
                ..log::PersistedState::default()
            };
            Vm {
                node: sync::Arc::new(start(id, disk.clone(), &settings)),
                disk: sync::Arc::new(disk),
            }
        });
        Self {
            vms: vms.collect(),
            network: collections::BTreeMap::new(),
            history: History::default(),
            partitioned: sync::Arc::default(),
            settings,
        }
    }

    /// The status of a VM's node.
    #[must_use]
    pub fn status(&self, vm: u32) -> status::Status {
        self.vms[vm_index(vm)].node.status()
    }

    /// Whether this VM's node is a leader.
    #[must_use]
    pub fn leads(&self, vm: u32) -> bool {
        self.status(vm).role == status::Role::Leader
    }

    /// Passes `event` to the node of `vm` and carries out its actions.
    pub fn step(&mut self, vm: u32, event: event::Event) {
        self.step_until(vm, event, Until::End);
    }

    /// Like [`Self::step`], but the process crashes before its write and restarts from its disk. None if the
    /// guards prevent actions before the write, since this is then equivalent to a crash before the event.
    #[must_use]
    pub fn step_and_crash(&self, vm: u32, event: event::Event) -> Option<Self> {
        if self.settings.guards.sync {
            return None;
        }
        let mut next = self.clone();
        next.step_until(vm, event, Until::Write);
        next.restart(vm);
        Some(next)
    }

    /// Delivers the message with this digest, and removes it from the network unless `keep` is set. Returns
    /// whether the message had an effect.
    pub fn deliver(&mut self, digest: u64, keep: bool) -> bool {
        let Some(envelope) = self.network.get(&digest).cloned() else {
            return false;
        };
        if !keep {
            self.network.remove(&digest);
        }
        let vm = envelope.message.to.vm;
        let before = sync::Arc::clone(&self.vms[vm_index(vm)].node);
        let sent = self.network.len();
        self.step(vm, delivery_event(&envelope));
        *before.state() != *self.vms[vm_index(vm)].node.state() || self.network.len() != sent
    }

    /// Restarts the process of `vm` from its disk.
    pub fn restart(&mut self, vm: u32) {
        let settings = sync::Arc::clone(&self.settings);
        let vm = &mut self.vms[vm_index(vm)];
        let disk = log::PersistedState::clone(&vm.disk);
        vm.node = sync::Arc::new(start(vm.node.id(), disk, &settings));
        self.prune();
    }

    /// Restarts `vm` with an empty disk and the next generation. Without the guard `generation` it takes the
    /// membership from its settings, as at the first start, and thereby its old id.
    pub fn lose_disk(&mut self, vm: u32) {
        let settings = sync::Arc::clone(&self.settings);
        let vm = &mut self.vms[vm_index(vm)];
        let mut id = vm.node.id();
        id.generation += 1;
        let mut disk = log::PersistedState::default();
        if !settings.guards.generation {
            disk.membership = settings.voters.clone();
        }
        vm.node = sync::Arc::new(start(id, disk.clone(), &settings));
        vm.disk = sync::Arc::new(disk);
        self.prune();
    }

    /// Drops all messages in flight.
    pub fn lose_messages(&mut self) {
        self.network.clear();
    }

    fn step_until(&mut self, vm: u32, event: event::Event, until: Until) {
        let mut node = node::Node::clone(&self.vms[vm_index(vm)].node);
        let actions = node.step(NOW, event);
        let id = node.id();
        self.vms[vm_index(vm)].node = sync::Arc::new(node);
        for action in actions {
            match action {
                event::Action::Persist(_) if until == Until::Write => return,
                event::Action::Persist(write) => self.persist(vm, write),
                event::Action::Send { message, .. } => self.send(id, message),
                event::Action::Apply(entries) => {
                    let node = sync::Arc::clone(&self.vms[vm_index(vm)].node);
                    self.history.apply(&node, entries);
                }
                event::Action::BecameLeader { term } => {
                    let disk = sync::Arc::clone(&self.vms[vm_index(vm)].disk);
                    self.history.check_new_leader(id, term, &disk.entries);
                }
                event::Action::SteppedDown { term } => {
                    self.history.stepped_down.insert(term);
                }
                _ => {}
            }
        }
        self.prune();
    }

    fn persist(&mut self, vm: u32, write: log::LogWrite) {
        let disk = sync::Arc::make_mut(&mut self.vms[vm_index(vm)].disk);
        if let Some(hard_state) = write.hard_state {
            disk.hard_state = hard_state;
        }
        if let Some(from) = write.truncate_from {
            disk.entries.retain(|entry| entry.index < from);
        }
        disk.entries.extend(write.entries);
    }

    fn send(&mut self, from: log::NodeId, message: message::Message) {
        let idle = match &message.body {
            message::Body::HeartbeatReply { .. } => true,
            message::Body::Heartbeat { commit, .. } => commit.0 == 0,
            _ => false,
        };
        let partitioned = |id: log::NodeId| self.partitioned.contains(&id.vm);
        if idle || partitioned(from) != partitioned(message.to) {
            return;
        }
        let envelope = Envelope { from, message };
        let mut hasher = DefaultHasher::new();
        envelope.hash(&mut hasher);
        self.network
            .insert(hasher.finish(), sync::Arc::new(envelope));
    }

    /// Removes messages that cannot have an effect any more.
    fn prune(&mut self) {
        let vms = &self.vms;
        self.network.retain(|_, envelope| {
            let message = &envelope.message;
            let Some(vm) = vms.get(vm_index(message.to.vm)) else {
                return false;
            };
            let status = vm.node.status();
            let pre_vote = matches!(message.body, message::Body::PreVoteReply { .. });
            // The reply to such a message tells its sender, a leader, that its term is outdated.
            let sender = vms
                .get(vm_index(envelope.from.vm))
                .map(|vm| vm.node.status());
            let from_leader = sender.is_some_and(|sender| {
                sender.role == status::Role::Leader && sender.term == message.term
            });
            let current = pre_vote || from_leader || message.term >= status.term;
            let waits = match message.body {
                message::Body::PreVoteReply { .. } => status.role == status::Role::PreCandidate,
                message::Body::VoteReply { .. } => {
                    message.term > status.term || status.role == status::Role::Candidate
                }
                message::Body::Accepted { .. } | message::Body::Rejected { .. } => {
                    message.term > status.term || status.role == status::Role::Leader
                }
                _ => true,
            };
            waits && current && message.to == vm.node.id()
        });
    }
}

/// The event that delivers a message.
#[must_use]
pub fn delivery_event(envelope: &Envelope) -> event::Event {
    event::Event::Message {
        from: envelope.from,
        message: envelope.message.clone(),
    }
}

fn vm_index(vm: u32) -> usize {
    vm as usize - 1
}

fn start(id: log::NodeId, disk: log::PersistedState, settings: &Settings) -> node::Node {
    let mut cfg = config::Config::new(id);
    cfg.guards = settings.guards;
    if settings.one_entry {
        cfg.max_batch_bytes = 0;
    }
    node::Node::new(cfg, disk, u64::from(id.vm))
}
