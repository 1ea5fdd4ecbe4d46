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

mod applying;
mod leading;
mod snapshots;
mod work;

use std::{
    sync::{self, mpsc},
    thread, time,
};

use derive_more::{Display, Error, From};
use sageshed_disk::{error as disk, files, folder};
use sageshed_quorum::{event, log, node};
use sageshed_state::{codec, command};
use sageshed_types::rules;

use self::work::Ticket;
pub use self::work::Work;
use super::{
    inputs::{Fate, Input, NotDone, Reply},
    links, placing, shared,
};
use crate::locks;

/// Inputs taken in one step at most.
const BATCH: usize = 512;

/// The longest wait for an input, so that a stop is noticed.
const LONGEST_WAIT: time::Duration = time::Duration::from_millis(50);

/// Between two tries of a write that found no room.
const FULL_RETRY: time::Duration = time::Duration::from_secs(1);

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
            self.report_stalls();
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
                Some(event::Event::ReadIndex {
                    correlation_id: ticket,
                })
            }
            Input::Joiner(id) => {
                self.work.joiners.insert(id, self.shared.clock.now());
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
                Some(event::Event::Propose {
                    correlation_id: ticket,
                    payload,
                })
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
                correlation_id: ticket,
                index,
                term,
            } => self.proposed(ticket, index, term),
            event::Action::Rejected {
                correlation_id: ticket,
                reason,
                ..
            } => self.rejected(ticket, reason),
            event::Action::ReadReady {
                correlation_id: ticket,
                index,
            } => self.read_ready(ticket, index),
            event::Action::BecameLeader { term } => self.became_leader(term),
            event::Action::SteppedDown { term } => {
                ::log::warn!(term:% = term; "control: leads no longer");
                drop(self.placing.send(placing::Input::Follow));
            }
        }
        Ok(())
    }

    /// Writes and syncs, and publishes what the log holds now.
    fn persist(&mut self, write: &log::LogWrite) -> Result<(), End> {
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
        view.stalled = self.work.stalls.since().collect();
        view.voters = voters;
        view.required = required;
    }
}

fn answer(reply: Reply, fate: Fate) {
    match reply {
        Reply::Waiter(tx) => drop(tx.send(fate)),
        Reply::Placing(tx) => drop(tx.send(placing::Input::Decided(fate))),
        Reply::Nobody => {}
    }
}
