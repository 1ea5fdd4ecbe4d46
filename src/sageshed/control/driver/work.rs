//! What the driver has under way.

use std::{collections, sync::mpsc};

use sageshed_quorum::{event, log, stalls};
use sageshed_state::command;
use sageshed_types::{endpoints, time};

use crate::control::inputs::{Fate, Reply};

/// What the driver has under way.
#[derive(Debug, Default)]
pub struct Work {
    pub(super) last_ticket: u64,
    pub(super) tickets: collections::HashMap<u64, Ticket>,
    pub(super) proposed: collections::BTreeMap<log::Index, (log::Term, Reply)>,
    pub(super) reads: Vec<(log::Index, mpsc::Sender<Fate>)>,
    pub(super) applied: log::Index,
    pub(super) snapshot: log::Index,
    /// Bytes of the commands applied since the latest snapshot.
    pub(super) bytes_since_snapshot: usize,
    /// The latest snapshot, on disk, with the log not yet cut behind it.
    pub(super) uncut: Option<log::Snapshot>,
    /// Changes of the rules in the log that are not applied yet.
    pub(super) changes: collections::BTreeSet<log::Index>,
    /// Processes that said lately that they are no voters, and when.
    pub(super) joiners: collections::BTreeMap<log::NodeId, time::Instant>,
    /// Members that lack entries and acknowledge none.
    pub(super) stalls: stalls::Stalls,
    /// When this process began to lead.
    pub(super) led_since: time::Instant,
    /// No change of membership is proposed before.
    pub(super) repair_due: time::Instant,
    pub(super) clock_due: u64,
    /// The term in which this process has begun to lead and not proposed so yet.
    pub(super) started: Option<log::Term>,
    /// The starts of entry processes of which the log was told in this term.
    pub(super) told: collections::BTreeMap<String, endpoints::Incarnation>,
}

#[derive(Debug)]
pub(super) enum Ticket {
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

    pub(super) fn note_changes(&mut self, entries: &[log::Entry]) {
        for entry in entries {
            if is_change(entry) {
                self.changes.insert(entry.index);
            }
        }
    }

    pub(super) fn ticket(&mut self, ticket: Ticket) -> u64 {
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
