//! Applies what is committed, and answers those who wait for it.

use sageshed_disk::files;
use sageshed_quorum::log;
use sageshed_state::{command, control};
use sageshed_types::rules;

use super::{Driver, End, answer};
use crate::{
    control::{
        inputs::{Fate, NotDone},
        placing,
    },
    locks,
};

impl<F: files::Files> Driver<F> {
    pub(super) fn apply(&mut self, entries: Vec<log::Entry>) -> Result<(), End> {
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

    fn apply_command(
        &mut self,
        index: log::Index,
        bytes: &[u8],
    ) -> Result<Box<command::Outcome>, End> {
        self.work.bytes_since_snapshot += bytes.len();
        let command =
            command::Command::from_bytes(bytes).map_err(|source| End::Command { index, source })?;
        let outcome = locks::write(&self.shared.state).apply(index.0, command);
        self.note(&outcome);
        Ok(Box::new(outcome))
    }

    /// Notes the revision of a snapshot as committed now at the latest. Without it this process would
    /// take a change that was accepted a moment ago elsewhere for older than every lease, and tell
    /// operators that it is in force where it is not.
    pub(super) fn note_restored(&self) {
        // Entry processes serve as soon as they have a configuration, and must not pass these requests on then.
        self.shared.restore_held();
        self.shared.note_config();
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
            command::Outcome::Fleet { .. } => self.shared.note_config(),
            command::Outcome::RequestsHeld => self.shared.restore_held(),
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

    pub(super) fn restore(&mut self, snapshot: &log::Snapshot) -> Result<(), End> {
        let state = control::ControlState::from_bytes(&snapshot.data)?;
        *locks::write(&self.shared.state) = state;
        self.note_restored();
        self.send_pins();
        self.work.applied = snapshot.index;
        self.work.snapshot = snapshot.index;
        self.work.bytes_since_snapshot = 0;
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
}
