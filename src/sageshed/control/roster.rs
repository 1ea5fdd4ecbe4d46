//! The system's processes, as this control process hears them.

use std::collections;

use sageshed_types::{endpoints, messages, rules, time};

/// How long the word of a process counts as recent, in milliseconds: several heartbeats.
pub const RECENT: time::Millis = time::Millis(2_000);

/// Who was heard, when, and with what revision.
#[derive(Debug, Default)]
pub struct Roster {
    heard: collections::BTreeMap<(String, messages::Role), Heard>,
}

#[derive(Debug)]
struct Heard {
    process: messages::Process,
    address: String,
    revision: rules::Revision,
    at: time::Instant,
    ready: bool,
    draining: bool,
}

/// Whether a process is one that was heard before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// The same start as before.
    Known,
    /// Its first word to this process, or a new start of it.
    New,
    /// An earlier start than the one heard last: a late message.
    Stale,
}

impl Roster {
    /// Takes note of a heartbeat.
    pub fn heard(&mut self, now: time::Instant, req: &messages::SyncReq) -> Arrival {
        let key = (req.from.vm.clone(), req.from.role);
        let arrival = match self.heard.get(&key) {
            Some(known) if known.process.incarnation > req.from.incarnation => {
                return Arrival::Stale;
            }
            Some(known) if known.process.incarnation == req.from.incarnation => Arrival::Known,
            _ => Arrival::New,
        };
        let heard = Heard {
            process: req.from.clone(),
            address: req.address.clone(),
            revision: req.revision,
            at: now,
            ready: req.ready,
            draining: req.draining,
        };
        self.heard.insert(key, heard);
        arrival
    }

    /// The address of an entry process for our own messages.
    #[must_use]
    pub fn entry_address(&self, vm: &str) -> Option<String> {
        let key = (vm.to_owned(), messages::Role::Entry);
        self.heard.get(&key).map(|heard| heard.address.clone())
    }

    /// The latest start of each entry process that was heard.
    #[must_use]
    pub fn entry_starts(&self) -> Vec<(String, endpoints::Incarnation)> {
        let start = |heard: &Heard| (heard.process.vm.clone(), heard.process.incarnation);
        self.entries().map(start).collect()
    }

    /// Entry VMs that were heard lately.
    #[must_use]
    pub fn entries_heard(&self, now: time::Instant) -> usize {
        self.entries()
            .filter(|heard| now.since(heard.at) <= RECENT)
            .count()
    }

    /// Entry VMs that have confirmed `revision` or a later one.
    #[must_use]
    pub fn confirmed(&self, revision: rules::Revision) -> Vec<&str> {
        let confirmed = self.entries().filter(|heard| heard.revision >= revision);
        confirmed.map(|heard| heard.process.vm.as_str()).collect()
    }

    /// All processes, for operators.
    #[must_use]
    pub fn status(&self, now: time::Instant) -> Vec<messages::VmStatus> {
        let status = |heard: &Heard| messages::VmStatus {
            process: heard.process.clone(),
            revision: heard.revision,
            silent: now.since(heard.at),
            ready: heard.ready,
            draining: heard.draining,
        };
        self.heard.values().map(status).collect()
    }

    fn entries(&self) -> impl Iterator<Item = &Heard> {
        self.heard
            .values()
            .filter(|heard| heard.process.role == messages::Role::Entry)
    }
}
