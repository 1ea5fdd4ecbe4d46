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
//! and other threads go on answering reads.

use std::{
    collections,
    sync::{self, mpsc},
    thread, time,
};

use sageshed_disk::{error as disk, folder};
use sageshed_quorum::{event, log, node, status};
use sageshed_state::{command, control};
use sageshed_types::rules;

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

/// Entries that stay in the log behind a new snapshot: a member that is a little slow is brought up
/// to date from the log and not by a whole snapshot.
const KEPT_BEHIND_SNAPSHOT: u64 = 200;

/// Everything that the driver thread owns.
#[derive(Debug)]
pub struct Driver {
    /// What other threads read.
    pub shared: sync::Arc<shared::Shared>,
    /// The log.
    pub node: node::Node,
    /// Its disk.
    pub folder: Box<folder::Folder>,
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
    /// Changes of the rules in the log that are not applied yet.
    changes: collections::BTreeSet<log::Index>,
    joiner: Option<log::NodeId>,
    clock_due: u64,
    /// The term in which this process has begun to lead and not proposed so yet.
    started: Option<log::Term>,
}

#[derive(Debug)]
enum Ticket {
    Command(Reply),
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

impl Driver {
    /// Runs until the process stops. Returns an error if the disk failed.
    pub fn run(mut self) -> Result<(), disk::Error> {
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
        match command.to_bytes() {
            Ok(payload) => {
                let ticket = self.work.ticket(Ticket::Command(reply));
                Some(event::Event::Propose { ticket, payload })
            }
            Err(e) => {
                ::log::error!(error:% = e; "control: command not proposed");
                answer(reply, Fate::NotDone(NotDone::Busy));
                None
            }
        }
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
            events.extend(self.propose(&command, reply));
        }
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
        } else if lag > KEPT_BEHIND_SNAPSHOT / 4 {
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
        if pending || status.commit < status.last {
            return None;
        }
        let ticket = self.work.ticket(Ticket::Membership(change));
        Some(event::Event::ChangeMembership { ticket, change })
    }

    fn carry_out(&mut self, actions: Vec<event::Action>) -> Result<(), disk::Error> {
        for action in actions {
            self.carry_out_one(action)?;
        }
        Ok(())
    }

    fn carry_out_one(&mut self, action: event::Action) -> Result<(), disk::Error> {
        match action {
            event::Action::Persist(write) => self.persist(&write)?,
            event::Action::Send { to, message } => self.links.send(to, &message),
            event::Action::Apply(entries) => self.apply(entries),
            event::Action::Restore(snapshot) => self.restore(&snapshot),
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
    fn persist(&mut self, write: &log::Write) -> Result<(), disk::Error> {
        loop {
            match self.folder.write(write) {
                Ok(()) => break,
                Err(e) if e.is_retryable() => self.wait_for_room(&e),
                Err(e) => return Err(e),
            }
            if self.shared.is_stopping() {
                return Ok(());
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
        if let Some(Ticket::Command(reply)) = self.work.tickets.remove(&ticket) {
            self.work.proposed.insert(index, (term, reply));
        }
    }

    fn rejected(&mut self, ticket: u64, reason: event::Reason) {
        match self.work.tickets.remove(&ticket) {
            Some(Ticket::Command(reply)) => answer(reply, Fate::NotDone(reason.into())),
            Some(Ticket::Read(reply)) => drop(reply.send(Fate::NotDone(reason.into()))),
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

    fn apply(&mut self, entries: Vec<log::Entry>) {
        for entry in entries {
            self.apply_one(entry);
        }
        self.answer_reads();
    }

    fn apply_one(&mut self, entry: log::Entry) {
        let (index, term) = (entry.index, entry.term);
        self.work.applied = index;
        let outcome = match entry.data {
            log::EntryData::Command(bytes) => self.apply_command(index, &bytes),
            log::EntryData::Membership(members) => {
                ::log::info!(index:% = index, members:? = members; "control: membership committed");
                None
            }
            log::EntryData::Noop => None,
        };
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
    }

    fn apply_command(&self, index: log::Index, bytes: &[u8]) -> Option<Box<command::Outcome>> {
        let command = match command::Command::from_bytes(bytes) {
            Ok(command) => command,
            Err(e) => {
                // Passing over it would make this replica differ from the others for good.
                ::log::error!(index:% = index, error:% = e; "control: committed command not understood, stopping");
                self.shared
                    .stopping
                    .store(true, sync::atomic::Ordering::Relaxed);
                return None;
            }
        };
        let outcome = locks::write(&self.shared.state).apply(index.0, command);
        self.note(&outcome);
        Some(Box::new(outcome))
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

    fn restore(&mut self, snapshot: &log::Snapshot) {
        match control::ControlState::from_bytes(&snapshot.data) {
            Ok(state) => *locks::write(&self.shared.state) = state,
            Err(e) => {
                ::log::error!(error:% = e; "control: snapshot not understood, stopping");
                self.shared
                    .stopping
                    .store(true, sync::atomic::Ordering::Relaxed);
                return;
            }
        }
        self.work.applied = snapshot.index;
        self.work.snapshot = snapshot.index;
        let kept = self.work.proposed.split_off(&snapshot.index.next());
        for (_, reply) in std::mem::replace(&mut self.work.proposed, kept).into_values() {
            answer(reply, Fate::Unknown);
        }
        self.work.changes = self.work.changes.split_off(&snapshot.index.next());
        ::log::info!(index:% = snapshot.index; "control: caught up by snapshot");
        self.answer_reads();
    }

    fn became_leader(&mut self, term: log::Term) {
        ::log::info!(term:% = term; "control: leads");
        self.work.clock_due = 0;
        self.work.started = Some(term);
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

    fn take_snapshot(&mut self) -> Result<(), disk::Error> {
        let after = self.shared.settings.common.control.snapshot_after;
        if self.work.applied.0 < self.work.snapshot.0 + after + KEPT_BEHIND_SNAPSHOT {
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
            Err(e) => return Err(e),
        }
        self.work.snapshot = snapshot.index;
        ::log::info!(index:% = snapshot.index; "control: snapshot taken");
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
