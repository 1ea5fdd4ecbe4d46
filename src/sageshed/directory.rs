//! What this process knows of the endpoints: the newest report of each, and how old it is.
//!
//! An endpoint reports to whichever entry process the balancer gives it, so each process hears some
//! endpoints first-hand and the others from other processes. Reports of one endpoint are ordered by
//! incarnation and sequence, so they may come by any way, twice or late, and the newest wins.
//!
//! Only first-hand reports are passed on: every entry process asks every other one, so a report
//! reaches all in one hop, and nothing goes round in circles. Reading on from a mark
//! ([`messages::DirectoryCursor`]) gives only what changed since.

use std::collections;

use sageshed_types::{endpoints, messages, time};

/// Endpoints that are kept at most. A fault in an endpoint that announces itself under ever new
/// names must not fill the memory of the system.
pub const ENDPOINTS_MAX: usize = 20_000;

/// The newest reports of all endpoints heard of.
#[derive(Debug)]
pub struct Directory {
    incarnation: endpoints::Incarnation,
    version: u64,
    records: collections::HashMap<String, Record>,
}

#[derive(Debug)]
struct Record {
    report: endpoints::Report,
    heard: time::Instant,
    first_hand: bool,
    version: u64,
}

/// What became of a report that was offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// It is the newest of its endpoint now.
    Newest,
    /// A newer one, or this one, is known.
    Old,
    /// The directory is full and the endpoint is not in it.
    Full,
}

impl Directory {
    /// An empty directory of one start of a process.
    #[must_use]
    pub fn new(incarnation: endpoints::Incarnation) -> Self {
        Self {
            incarnation,
            version: 0,
            records: collections::HashMap::new(),
        }
    }

    /// Takes a report, heard straight from its endpoint or passed on by another process.
    pub fn offer(
        &mut self,
        now: time::Instant,
        report: endpoints::Report,
        first_hand: bool,
    ) -> Offer {
        let name = &report.identity.endpoint;
        match self.records.get(name) {
            Some(known) if order(&known.report) >= order(&report) => return Offer::Old,
            None if self.records.len() >= ENDPOINTS_MAX => return Offer::Full,
            _ => {}
        }
        self.version += 1;
        let version = self.version;
        let name = name.clone();
        self.records.insert(
            name,
            Record {
                report,
                heard: now,
                first_hand,
                version,
            },
        );
        Offer::Newest
    }

    /// First-hand reports after `mark`, each with its age brought up to date, and the new mark.
    #[must_use]
    pub fn since(
        &self,
        now: time::Instant,
        mark: messages::DirectoryCursor,
    ) -> (Vec<endpoints::Report>, messages::DirectoryCursor) {
        let seen = if mark.incarnation == self.incarnation {
            mark.version
        } else {
            0
        };
        let news = self
            .records
            .values()
            .filter(|r| r.first_hand && r.version > seen);
        let reports = news.map(|r| aged(r, now)).collect();
        (reports, self.mark())
    }

    /// Where a reader stands that has read all.
    #[must_use]
    pub fn mark(&self) -> messages::DirectoryCursor {
        messages::DirectoryCursor {
            incarnation: self.incarnation,
            version: self.version,
        }
    }

    /// Every report, each with its age brought up to date, by name of the endpoint.
    #[must_use]
    pub fn all(&self, now: time::Instant) -> Vec<endpoints::Report> {
        let mut reports: Vec<_> = self.records.values().map(|r| aged(r, now)).collect();
        reports.sort_by(|a, b| a.identity.endpoint.cmp(&b.identity.endpoint));
        reports
    }

    /// The newest report of an endpoint, as it came.
    #[must_use]
    pub fn get(&self, endpoint: &str) -> Option<&endpoints::Report> {
        self.records.get(endpoint).map(|record| &record.report)
    }

    /// Forgets endpoints that were not heard of for `silence`, and names them.
    pub fn forget_silent(&mut self, now: time::Instant, silence: time::Millis) -> Vec<String> {
        let gone = |r: &Record| now.since(r.heard) > silence;
        let names = self.records.iter().filter(|(_, r)| gone(r));
        let names: Vec<_> = names.map(|(name, _)| name.clone()).collect();
        self.records.retain(|_, r| !gone(r));
        names
    }
}

fn order(report: &endpoints::Report) -> (endpoints::Incarnation, u64) {
    (report.identity.incarnation, report.sequence)
}

fn aged(record: &Record, now: time::Instant) -> endpoints::Report {
    let mut report = record.report.clone();
    report.age_ms = report.age_ms + now.since(record.heard);
    report
}
