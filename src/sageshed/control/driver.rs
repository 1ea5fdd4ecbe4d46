//! The thread that owns the replicated log.
//!
//! It gathers what has come in, steps the log over all of it and carries out the actions in order:
//! writes are synced before any message goes out, and what the log holds is published in
//! [`shared::View`] before the message that acknowledges it, since leases rest on that.
//!
//! # The fate of a command
//!
//! A command is proposed at some index and term. It is committed if an entry with both is applied
//! here; it is lost if another term's entry takes its index. Until then its fate is open, also after
//! this process stopped leading. Whoever waits gives up after a while and says so.
//!
//! # A full disk
//!
//! A write that finds no room is tried again each second. Nothing after it in the list of actions is
//! done before it succeeded, so to the group this voter is just slow; meanwhile commands are refused
//! and other threads go on answering reads. If the process is told to stop while it waits, it ends
//! there: to go on would acknowledge what is not on disk.
//!
//! # Snapshots
//!
//! A snapshot goes to disk at once, and the log is cut behind it only some entries later: a member
//! that is a little slow is then brought up to date from the log, and not by a whole snapshot.

use std::{
    collections,
    sync::{self, mpsc},
    thread, time,
};

use derive_more::{Display, Error, From};
use sageshed_disk::{error as disk, files, folder};
use sageshed_quorum::{event, log, node, status};
use sageshed_state::{codec, command, control};
use sageshed_types::{endpoints, rules, time as types_time};

use super::{
    inputs::{Fate, Input, NotDone, Reply},
    links, placing, shared,
};
use crate::{clock, locks};

/// Inputs taken in one step at most.
const BATCH: usize = 512;

/// The longest wait for an input, so that a stop is noticed.
const LONGEST_WAIT: time::Duration = time::Duration::from_millis(50);

/// Between two proposals of the leader's wall clock, in milliseconds.
const CLOCK_INTERVAL_MS: u64 = 5_000;

/// Between two tries of a write that found no room.
const FULL_RETRY: time::Duration = time::Duration::from_secs(1);

/// Entries past a new snapshot after which the log is cut behind it.
const KEPT_BEHIND_SNAPSHOT: u64 = 200;

/// Entries that a learner may lack when its repair goes on. Below what the log asks of one that is
/// promoted, so that it does not refuse.
const REPAIR_LAG: u64 = 50;

/// Between two tries of a change of membership that the log refused, in milliseconds.
const REPAIR_RETRY_MS: types_time::Millis = types_time::Millis(200);

/// Why a driver ended.
#[derive(Debug, Display, Error, From)]
pub enum End {
    /// The process is to stop.
    #[display("told to stop")]
    Stopped,
    /// The disk failed.
    #[display("cannot use the data folder: {_0}")]
    Disk(disk::Error),
    /// Passing over the command would make this replica differ from the others for good.
    #[display(
        "the committed command at {index} is not understood, the others may be newer: {source}"
    )]
    #[from(skip)]
    Command {
        /// Where it is in the log.
        index: log::Index,
        /// What is wrong with it.
        source: codec::Error,
    },
    /// A snapshot that the leader sent.
    #[display("the leader's snapshot is not understood, it may be newer: {_0}")]
    Snapshot(codec::Error),
}

/// Everything that the driver thread owns.
#[derive(Debug)]
pub struct Driver<F = files::Disk> {
    /// What other threads read.
    pub shared: sync::Arc<shared::Shared>,
    /// The log.
    pub node: node::Node,
    /// Its disk.
    pub folder: Box<folder::Folder<F>>,
    /// To the other members.
    pub links: links::Links,
    /// To the placing thread.
    pub placing: mpsc::Sender<placing::Input>,
    /// From all other threads.
    pub rx: mpsc::Receiver<Input>,
    /// What is under way.
    pub work: Work,
}

/// What the driver has under way.
#[derive(Debug, Default)]
pub struct Work {
    last_ticket: u64,
    tickets: collections::HashMap<u64, Ticket>,
    proposed: collections::BTreeMap<log::Index, (log::Term, Reply)>,
    reads: Vec<(log::Index, mpsc::Sender<Fate>)>,
    applied: log::Index,
    snapshot: log::Index,
    /// The latest snapshot, on disk, with the log not yet cut behind it.
    uncut: Option<log::Snapshot>,
    /// Changes of the rules in the log that are not applied yet.
    changes: collections::BTreeSet<log::Index>,
    joiner: Option<log::NodeId>,
    /// No change of membership is proposed before.
    repair_due: types_time::Instant,
    clock_due: u64,
    /// The term in which this process has begun to lead and not proposed so yet.
    started: Option<log::Term>,
    /// The starts of entry processes of which the log was told in this term.
    told: collections::BTreeMap<String, endpoints::Incarnation>,
}

#[derive(Debug)]
enum Ticket {
    Command(Reply),
    Started(log::Term, Reply),
    Holders,
    Read(mpsc::Sender<Fate>),
    Membership(event::Change),
}

impl Work {
    /// Work of a log restored with these entries behind a snapshot at `snapshot`.
    #[must_use]
    pub fn restored(snapshot: log::Index, entries: &[log::Entry]) -> Self {
        let mut work = Self {
            applied: snapshot,
            snapshot,
            ..Self::default()
        };
        work.note_changes(entries);
        work
    }

    fn note_changes(&mut self, entries: &[log::Entry]) {
        for entry in entries {
            if is_change(entry) {
                self.changes.insert(entry.index);
            }
        }
    }

    fn ticket(&mut self, ticket: Ticket) -> u64 {
        self.last_ticket += 1;
        self.tickets.insert(self.last_ticket, ticket);
        self.last_ticket
    }
}

fn is_change(entry: &log::Entry) -> bool {
    let log::EntryData::Command(bytes) = &entry.data else {
        return false;
    };
    matches!(
        command::Command::from_bytes(bytes),
        Ok(command::Command::Change(_))
    )
}

impl<F: files::Files> Driver<F> {
    /// Runs until the process stops.
    pub fn run(mut self) -> Result<(), End> {
        match self.run_on() {
            Err(End::Stopped) => Ok(()),
            result => result,
        }
    }

    fn run_on(&mut self) -> Result<(), End> {
        self.note_restored();
        self.publish();
        while !self.shared.is_stopping() {
            let inputs = self.gather();
            let mut events: Vec<_> = inputs
                .into_iter()
                .filter_map(|input| self.event(input))
                .collect();
            events.push(event::Event::Tick);
            events.extend(self.own_events());
            let actions = self.node.step_all(self.shared.clock.now(), events);
            self.carry_out(actions)?;
            self.publish();
            self.take_snapshot()?;
        }
        Ok(())
    }

    fn gather(&self) -> Vec<Input> {
        let now = self.shared.clock.now();
        let due = self
            .node
            .next_deadline()
            .map_or(time::Duration::ZERO, |at| at.since(now).into());
        let mut inputs = Vec::new();
        if let Ok(first) = self.rx.recv_timeout(due.min(LONGEST_WAIT)) {
            inputs.push(first);
            inputs.extend(self.rx.try_iter().take(BATCH - 1));
        }
        inputs
    }

    fn event(&mut self, input: Input) -> Option<event::Event> {
        match input {
            Input::Message { from, message } => Some(event::Event::Message { from, message }),
            Input::Submit { command, reply } => self.propose(&command, reply),
            Input::Read { reply } => {
                let ticket = self.work.ticket(Ticket::Read(reply));
                Some(event::Event::ReadIndex { ticket })
            }
            Input::Joiner(id) => {
                self.work.joiner = Some(id);
                None
            }
        }
    }

    fn propose(&mut self, command: &command::Command, reply: Reply) -> Option<event::Event> {
        self.propose_as(command, Ticket::Command(reply))
    }

    fn propose_as(&mut self, command: &command::Command, ticket: Ticket) -> Option<event::Event> {
        match command.to_bytes() {
            Ok(payload) => {
                let ticket = self.work.ticket(ticket);
                Some(event::Event::Propose { ticket, payload })
            }
            Err(e) => {
                ::log::error!(error:% = e; "control: command not proposed");
                if let Ticket::Command(reply) = ticket {
                    answer(reply, Fate::NotDone(NotDone::Busy));
                }
                None
            }
        }
    }

    /// Tells the log of entry processes that were started anew: what an earlier start had claimed is
    /// settled by nobody, and its callers would be told that it still runs for as long as claims are
    /// kept. Whoever led when the start was heard may not have got as far, so each leader tells all
    /// that it has heard.
    fn tell_holders(&mut self) -> Vec<event::Event> {
        let starts = locks::read(&self.shared.roster).entry_starts();
        let mut events = Vec::new();
        for (vm, incarnation) in starts {
            if self.work.told.get(&vm) == Some(&incarnation) {
                continue;
            }
            let gone = command::Command::HolderGone {
                vm: vm.clone(),
                incarnation_below: incarnation,
            };
            events.extend(self.propose_as(&gone, Ticket::Holders));
            self.work.told.insert(vm, incarnation);
        }
        events
    }

    /// What the leader proposes by itself: its wall clock, and the repair of the membership.
    fn own_events(&mut self) -> Vec<event::Event> {
        let mut events = Vec::new();
        if self.node.status().role != status::Role::Leader {
            return events;
        }
        if let Some(term) = self.work.started.take() {
            // Orders of an earlier leader may still be on their way to being committed. This
            // command comes after all of them, so once it is applied the table of open orders is
            // complete.
            let command = command::Command::LeaderStarted { term: term.0 };
            let reply = Reply::Placing(self.placing.clone());
            events.extend(self.propose_as(&command, Ticket::Started(term, reply)));
        }
        events.extend(self.tell_holders());
        let now = self.shared.clock.now();
        if now.0 >= self.work.clock_due {
            self.work.clock_due = now.0 + CLOCK_INTERVAL_MS;
            let command = command::Command::Clock {
                unix_ms: clock::unix_ms(),
            };
            events.extend(self.propose(&command, Reply::Nobody));
        }
        events.extend(self.repair());
        events
    }

    /// The next step by which a member that came back under a new disk generation, or a new one,
    /// gets its vote: added as a learner, then the old generation of its VM removed, then promoted
    /// once it has caught up.
    ///
    /// The old generation goes before the new one is promoted, so that there are never four voters
    /// of whom three must answer while one is known to be gone. It goes only once the learner has
    /// caught up: until then a vote less would gain nothing.
    fn repair(&mut self) -> Option<event::Event> {
        let joiner = self.work.joiner?;
        let now = self.shared.clock.now();
        if now < self.work.repair_due {
            return None;
        }
        let status = self.node.status();
        let members = &status.membership;
        if members.voters.contains(&joiner) {
            self.work.joiner = None;
            return None;
        }
        let newer = members
            .members()
            .any(|id| id.vm == joiner.vm && id > joiner);
        if newer {
            self.work.joiner = None;
            return None;
        }
        let matched = status.matched.get(&joiner).copied().unwrap_or_default();
        let lag = status.last.0.saturating_sub(matched.0);
        let old = members
            .members()
            .find(|id| id.vm == joiner.vm && *id != joiner);
        let change = if !members.learners.contains(&joiner) {
            event::Change::AddLearner(joiner)
        } else if lag > REPAIR_LAG {
            return None;
        } else if let Some(old) = old {
            event::Change::Remove(old)
        } else {
            event::Change::Promote(joiner)
        };
        let pending = self
            .work
            .tickets
            .values()
            .any(|it| matches!(it, Ticket::Membership(_)));
        if pending {
            return None;
        }
        // Refused by the log while the change before is not committed.
        self.work.repair_due = now + REPAIR_RETRY_MS;
        let ticket = self.work.ticket(Ticket::Membership(change));
        Some(event::Event::ChangeMembership { ticket, change })
    }

    fn carry_out(&mut self, actions: Vec<event::Action>) -> Result<(), End> {
        for action in actions {
            self.carry_out_one(action)?;
        }
        Ok(())
    }

    fn carry_out_one(&mut self, action: event::Action) -> Result<(), End> {
        match action {
            event::Action::Persist(write) => self.persist(&write)?,
            event::Action::Send { to, message } => self.links.send(to, &message),
            event::Action::Apply(entries) => self.apply(entries)?,
            event::Action::Restore(snapshot) => self.restore(&snapshot)?,
            event::Action::Compacted { index } => self.folder.compact(index)?,
            event::Action::Proposed {
                ticket,
                index,
                term,
            } => self.proposed(ticket, index, term),
            event::Action::Rejected { ticket, reason, .. } => self.rejected(ticket, reason),
            event::Action::ReadReady { ticket, index } => self.read_ready(ticket, index),
            event::Action::BecameLeader { term } => self.became_leader(term),
            event::Action::SteppedDown { term } => {
                ::log::warn!(term:% = term; "control: leads no longer");
                drop(self.placing.send(placing::Input::Follow));
            }
        }
        Ok(())
    }

    /// Writes and syncs, and publishes what the log holds now.
    fn persist(&mut self, write: &log::Write) -> Result<(), End> {
        loop {
            match self.folder.write(write) {
                Ok(()) => break,
                Err(e) if e.is_retryable() => self.wait_for_room(&e),
                Err(e) => return Err(e.into()),
            }
            if self.shared.is_stopping() {
                return Err(End::Stopped);
            }
        }
        if locks::read(&self.shared.view).disk_full {
            ::log::info!("control: disk has room again");
            locks::write(&self.shared.view).disk_full = false;
        }
        if let Some(from) = write.truncate_from {
            self.work.changes.split_off(&from);
        }
        self.work.note_changes(&write.entries);
        self.publish();
        Ok(())
    }

    fn wait_for_room(&self, error: &disk::Error) {
        ::log::error!(error:% = error; "control: no room in the data folder, nothing is accepted here");
        locks::write(&self.shared.view).disk_full = true;
        thread::sleep(FULL_RETRY);
        for input in self.rx.try_iter() {
            match input {
                Input::Submit { reply, .. } => answer(reply, Fate::NotDone(NotDone::DiskFull)),
                Input::Read { reply } => drop(reply.send(Fate::NotDone(NotDone::DiskFull))),
                Input::Message { .. } | Input::Joiner(_) => {}
            }
        }
    }

    fn proposed(&mut self, ticket: u64, index: log::Index, term: log::Term) {
        let reply = match self.work.tickets.remove(&ticket) {
            Some(Ticket::Command(reply) | Ticket::Started(_, reply)) => reply,
            Some(Ticket::Holders | Ticket::Membership(_) | Ticket::Read(_)) | None => return,
        };
        self.work.proposed.insert(index, (term, reply));
    }

    fn rejected(&mut self, ticket: u64, reason: event::Reason) {
        match self.work.tickets.remove(&ticket) {
            Some(Ticket::Command(reply)) => answer(reply, Fate::NotDone(reason.into())),
            Some(Ticket::Read(reply)) => drop(reply.send(Fate::NotDone(reason.into()))),
            // Without it this leader would place nothing for as long as it leads. Where it leads no
            // longer this is put off until it does, and then there is a later term.
            Some(Ticket::Started(term, _)) => self.work.started = Some(term),
            Some(Ticket::Holders) => self.work.told.clear(),
            Some(Ticket::Membership(change)) => {
                ::log::debug!(change:? = change, reason:? = reason; "control: membership unchanged");
            }
            None => {}
        }
    }

    fn read_ready(&mut self, ticket: u64, index: log::Index) {
        if let Some(Ticket::Read(reply)) = self.work.tickets.remove(&ticket) {
            self.work.reads.push((index, reply));
            self.answer_reads();
        }
    }

    fn answer_reads(&mut self) {
        let applied = self.work.applied;
        self.work.reads.retain(|(index, reply)| {
            let wait = *index > applied;
            if !wait {
                drop(reply.send(Fate::Applied(None)));
            }
            wait
        });
    }

    fn apply(&mut self, entries: Vec<log::Entry>) -> Result<(), End> {
        for entry in entries {
            self.apply_one(entry)?;
        }
        self.answer_reads();
        Ok(())
    }

    fn apply_one(&mut self, entry: log::Entry) -> Result<(), End> {
        let (index, term) = (entry.index, entry.term);
        let outcome = match entry.data {
            log::EntryData::Command(bytes) => Some(self.apply_command(index, &bytes)?),
            log::EntryData::Membership(members) => {
                ::log::info!(index:% = index, members:? = members; "control: membership committed");
                None
            }
            log::EntryData::Noop => None,
        };
        self.work.applied = index;
        self.work.changes.remove(&index);
        if let Some((proposed, reply)) = self.work.proposed.remove(&index) {
            // Another term's entry stands where the proposal stood: it is gone for good.
            let lost = proposed != term;
            let fate = if lost {
                Fate::NotDone(NotDone::NotLeader)
            } else {
                Fate::Applied(outcome)
            };
            answer(reply, fate);
        }
        Ok(())
    }

    fn apply_command(&self, index: log::Index, bytes: &[u8]) -> Result<Box<command::Outcome>, End> {
        let command =
            command::Command::from_bytes(bytes).map_err(|source| End::Command { index, source })?;
        let outcome = locks::write(&self.shared.state).apply(index.0, command);
        self.note(&outcome);
        Ok(Box::new(outcome))
    }

    /// Notes the revision of a snapshot as committed now at the latest. Without it this process would
    /// take a change that was accepted a moment ago elsewhere for older than every lease, and tell
    /// operators that it is in force where it is not.
    fn note_restored(&self) {
        let revision = locks::read(&self.shared.state).rules().current().revision;
        let now = self.shared.clock.now();
        locks::write(&self.shared.view).note_commit(revision, now);
    }

    fn note(&self, outcome: &command::Outcome) {
        match outcome {
            command::Outcome::Change(rules::ChangeOutcome::Accepted { revision }) => {
                let now = self.shared.clock.now();
                locks::write(&self.shared.view).note_commit(*revision, now);
                ::log::info!(revision:% = revision; "control: rules changed");
            }
            command::Outcome::Pin { changed: true } => self.send_pins(),
            _ => {}
        }
    }

    fn send_pins(&self) {
        let state = locks::read(&self.shared.state);
        drop(
            self.placing
                .send(placing::Input::Pins(placing::pins(&state))),
        );
    }

    fn restore(&mut self, snapshot: &log::Snapshot) -> Result<(), End> {
        let state = control::ControlState::from_bytes(&snapshot.data)?;
        *locks::write(&self.shared.state) = state;
        self.note_restored();
        self.send_pins();
        self.work.applied = snapshot.index;
        self.work.snapshot = snapshot.index;
        self.work.uncut = None;
        let kept = self.work.proposed.split_off(&snapshot.index.next());
        for (_, reply) in std::mem::replace(&mut self.work.proposed, kept).into_values() {
            answer(reply, Fate::Unknown);
        }
        self.work.changes = self.work.changes.split_off(&snapshot.index.next());
        ::log::info!(index:% = snapshot.index; "control: caught up by snapshot");
        // The leader is told next, and counts on what leases then ask for.
        self.publish();
        self.answer_reads();
        Ok(())
    }

    fn became_leader(&mut self, term: log::Term) {
        ::log::info!(term:% = term; "control: leads");
        self.work.clock_due = 0;
        self.work.started = Some(term);
        self.work.told.clear();
    }

    /// Publishes what the log says of itself.
    fn publish(&self) {
        let status = self.node.status();
        let members = &status.membership.voters;
        let voters = members.iter().map(|id| self.shared.voter(*id)).collect();
        let current = locks::read(&self.shared.state).rules().current().revision;
        // Each change that waits may make one revision. Some may turn out to be conflicts, and then
        // this is too high for a moment: entry processes wait, which is safe.
        let pending = u64::try_from(self.work.changes.len()).unwrap_or(u64::MAX);
        let required = rules::Revision(current.0 + pending);
        let mut view = locks::write(&self.shared.view);
        view.status = status;
        view.voters = voters;
        view.required = required;
    }

    /// Makes a snapshot if it is time, and cuts the log behind the latest.
    fn take_snapshot(&mut self) -> Result<(), End> {
        let after = self.shared.settings.common.control.snapshot_after;
        if self.work.uncut.is_some() {
            return self.cut_log(after);
        }
        if self.work.applied.0 < self.work.snapshot.0 + after {
            return Ok(());
        }
        let data = match locks::read(&self.shared.state).to_bytes() {
            Ok(data) => data,
            Err(e) => {
                ::log::error!(error:% = e; "control: no snapshot taken");
                return Ok(());
            }
        };
        let Some(snapshot) = self.node.snapshot_of(self.work.applied, data) else {
            return Ok(());
        };
        match self.folder.save_snapshot(&snapshot) {
            Ok(()) => {}
            Err(e) if e.is_retryable() => {
                ::log::warn!(error:% = e; "control: no room for a snapshot");
                return Ok(());
            }
            Err(e) => return Err(e.into()),
        }
        ::log::info!(index:% = snapshot.index; "control: snapshot taken");
        self.work.snapshot = snapshot.index;
        self.work.uncut = Some(snapshot);
        Ok(())
    }

    fn cut_log(&mut self, after: u64) -> Result<(), End> {
        let kept = KEPT_BEHIND_SNAPSHOT.min(after);
        if self.work.applied.0 < self.work.snapshot.0 + kept {
            return Ok(());
        }
        let Some(snapshot) = self.work.uncut.take() else {
            return Ok(());
        };
        let compact = event::Event::Compact { snapshot };
        let actions = self.node.step(self.shared.clock.now(), compact);
        self.carry_out(actions)
    }
}

fn answer(reply: Reply, fate: Fate) {
    match reply {
        Reply::Waiter(tx) => drop(tx.send(fate)),
        Reply::Placing(tx) => drop(tx.send(placing::Input::Decided(fate))),
        Reply::Nobody => {}
    }
}
