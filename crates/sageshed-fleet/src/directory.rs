//! What is believed of each endpoint, by its own announcements.
//!
//! Announcements come to any control process, late and out of order. Each carries a number that grows
//! within one start of an endpoint (an instance), and each start has an id of its own, so the newest
//! word of an instance is known from the word itself, whichever way it came. An instance that has gone
//! never comes back: its id is kept for [`GONE_KEPT`], longer than an announcement may be delayed.
//!
//! A directory counts its changes. A peer that says up to which change it knows this directory gets
//! what came after ([`Directory::since`]).

use std::{collections, net};

use sageshed_types::time;
use serde::{Deserialize, Serialize};

/// How long the id of an instance that has gone is remembered. Announcements were seen to arrive
/// after a cut of the network of about ten seconds; this is several times that.
pub const GONE_KEPT: time::Millis = time::Millis(60_000);

/// How often the word of an instance that says nothing new is passed on, so that others know that it
/// lives.
pub const REFRESH: time::Millis = time::Millis(2_000);

/// An instance whose first word here has at most this number was just started.
const FIRST_WORDS: u64 = 3;

/// How long one instance at an address must be silent before another, whose first words were not
/// heard, takes its place: its own words may have gone to other control processes, which pass them on
/// every [`REFRESH`].
const RIVAL_SILENCE: time::Millis = time::Millis(5_000);

/// How long an instance may be silent before it is taken for gone. Several announcements, which may
/// be late by seconds.
pub const SILENCE: time::Millis = time::Millis(12_000);

/// One start of an endpoint, by its own word.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Its id, never used by another.
    pub id: String,
    /// The service that it is part of.
    pub service: String,
    /// Where it takes requests.
    pub address: net::SocketAddrV4,
    /// Where it stands.
    pub availability_zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// How much longer it is slow after its start.
    pub warming: time::Millis,
    /// Where it will be gone at short notice: how long it had left when it said so.
    pub remaining: Option<time::Millis>,
    /// Counts its announcements.
    pub sequence: u64,
    /// The models in its accelerators' memory.
    pub models: Vec<Resident>,
    /// Models with a copy of their weights in its host's memory.
    pub in_memory: Vec<String>,
    /// Models with a copy of their weights on its disk.
    pub on_disk: Vec<String>,
}

/// A model that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// The model.
    pub model: String,
    /// The version of its weights.
    pub version: u64,
    /// Its adapters there.
    pub adapters: Vec<String>,
}

/// Whether an instance takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It does.
    Ready,
    /// It will stop and takes no new work.
    Leaving,
    /// It has stopped, or says that it is about to.
    Gone,
    /// Nothing was heard of it for long. It may be cut off from control and is back by its next word.
    Silent,
}

impl Instance {
    /// The model that it holds, if it does.
    #[must_use]
    pub fn resident(&self, model: &str) -> Option<&Resident> {
        self.models.iter().find(|it| it.model == model)
    }

    /// Whether it holds `model`, and `adapter` of it if one is asked for.
    #[must_use]
    pub fn holds(&self, model: &str, adapter: Option<&str>) -> bool {
        let Some(resident) = self.resident(model) else {
            return false;
        };
        adapter.is_none_or(|name| resident.adapters.iter().any(|it| it == name))
    }

    /// Whether it is there, as far as is known.
    #[must_use]
    pub fn is_present(&self) -> bool {
        !matches!(self.state, State::Gone | State::Silent)
    }

    /// Whether it takes new work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state == State::Ready
    }
}

/// How far a peer knows a directory.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The start of the process that holds the directory: its counts mean nothing after another.
    pub start: u64,
    /// Changes of it that are known.
    pub change: u64,
}

/// An instance as one directory passes it to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Its latest word.
    pub instance: Instance,
    /// Counts what the leader did to it that its own word does not show yet.
    pub amended: u64,
    /// How old the word is.
    pub age: time::Millis,
}

/// What an announcement or record was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// The first of its instance.
    New,
    /// It changes what is believed.
    Changed,
    /// It confirms what is believed.
    Confirmed,
    /// It is older than what is known, or of an instance that has gone.
    Stale,
}

#[derive(Debug, Clone)]
struct Entry {
    instance: Instance,
    amended: u64,
    heard: time::Instant,
    changed: u64,
    passed_on: time::Instant,
}

/// The instances that one process knows.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    start: u64,
    change: u64,
    entries: collections::BTreeMap<String, Entry>,
}

impl Directory {
    /// An empty directory of the process that was started at `start`.
    #[must_use]
    pub fn new(start: u64) -> Self {
        Self {
            start,
            ..Self::default()
        }
    }

    /// Up to where this directory is known to whom it is shown now.
    #[must_use]
    pub fn mark(&self) -> Mark {
        Mark {
            start: self.start,
            change: self.change,
        }
    }

    /// Takes an instance's own word, that came just now.
    pub fn announce(&mut self, now: time::Instant, instance: Instance) -> Offer {
        let (id, address) = (instance.id.clone(), instance.address);
        let is_first = instance.sequence <= FIRST_WORDS;
        let offer = self.offer(now, instance, None, time::Millis(0));
        if offer != Offer::Stale {
            self.replace_at(now, &id, address, is_first);
        }
        offer
    }

    /// Takes the other instances at `address` for gone: an engine that crashed and started again there
    /// has another id, and its old one says nothing more.
    ///
    /// A word of an instance that died long ago may arrive late and must not end the one that lives
    /// there now. So either it is among the first words of its instance, or the other was silent.
    fn replace_at(
        &mut self,
        now: time::Instant,
        id: &str,
        address: net::SocketAddrV4,
        is_first: bool,
    ) {
        let is_rival = |it: &&Entry| {
            let other = &it.instance;
            let is_silent = now.since(it.heard) >= RIVAL_SILENCE;
            let is_there = other.address == address && other.state != State::Gone;
            is_there && other.id != id && (is_first || is_silent)
        };
        let rivals = self.entries.values().filter(is_rival);
        let rivals: Vec<String> = rivals.map(|it| it.instance.id.clone()).collect();
        for rival in rivals {
            self.gone(now, &rival);
        }
    }

    /// Takes what another directory passes on.
    pub fn merge(&mut self, now: time::Instant, record: Record) -> Offer {
        self.offer(now, record.instance, Some(record.amended), record.age)
    }

    fn offer(
        &mut self,
        now: time::Instant,
        instance: Instance,
        amended: Option<u64>,
        age: time::Millis,
    ) -> Offer {
        let heard = time::Instant(now.0.saturating_sub(age.0));
        let Some(entry) = self.entries.get_mut(&instance.id) else {
            self.change += 1;
            let entry = Entry {
                amended: amended.unwrap_or(0),
                heard,
                changed: self.change,
                passed_on: now,
                instance: instance.clone(),
            };
            self.entries.insert(instance.id.clone(), entry);
            return Offer::New;
        };
        let amended = amended.unwrap_or(entry.amended);
        let known = (entry.instance.sequence, entry.amended);
        let goes = instance.state == State::Gone;
        if entry.instance.state == State::Gone {
            return Offer::Stale;
        }
        entry.heard = entry.heard.max(heard);
        // Two directories that hold different words under the same numbers must not exchange them for
        // ever: only a higher number replaces what is held.
        if (instance.sequence, amended) <= known && !goes {
            let is_same = (instance.sequence, amended) == known;
            return if is_same {
                Offer::Confirmed
            } else {
                Offer::Stale
            };
        }
        let is_news = differs(&entry.instance, &instance) || amended > entry.amended;
        let refresh = now.since(entry.passed_on) >= REFRESH;
        if is_news || refresh {
            self.change += 1;
            entry.changed = self.change;
            entry.passed_on = now;
        }
        entry.amended = entry.amended.max(amended);
        entry.instance = instance;
        if is_news {
            Offer::Changed
        } else {
            Offer::Confirmed
        }
    }

    /// Notes what the instance's own word does not show yet, as an adapter that the leader had it
    /// load. Returns false where the instance is not known or has gone.
    pub fn amend(
        &mut self,
        now: time::Instant,
        id: &str,
        amend: impl FnOnce(&mut Instance),
    ) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        if entry.instance.state == State::Gone {
            return false;
        }
        amend(&mut entry.instance);
        self.change += 1;
        entry.amended += 1;
        entry.changed = self.change;
        entry.passed_on = now;
        true
    }

    /// Notes that an instance has gone. Returns false where it is not known, or has gone already.
    pub fn gone(&mut self, now: time::Instant, id: &str) -> bool {
        self.amend(now, id, |it| it.state = State::Gone)
    }

    /// Takes an instance's own word that it goes. It is passed on also where the instance is not known
    /// here: a control process that was just started knows none, and others still do.
    pub fn leave(&mut self, now: time::Instant, id: &str) {
        if self.gone(now, id) || self.entries.contains_key(id) {
            return;
        }
        let instance = Instance {
            id: id.to_owned(),
            service: String::new(),
            address: net::SocketAddrV4::new(net::Ipv4Addr::UNSPECIFIED, 0),
            availability_zone: String::new(),
            slots: 0,
            state: State::Gone,
            warming: time::Millis(0),
            remaining: None,
            sequence: u64::MAX,
            models: Vec::new(),
            in_memory: Vec::new(),
            on_disk: Vec::new(),
        };
        self.announce(now, instance);
    }

    /// Takes those for gone that were silent for [`SILENCE`], and forgets the long gone. Returns the
    /// ids of the former.
    pub fn expire(&mut self, now: time::Instant) -> Vec<String> {
        self.entries
            .retain(|_, entry| entry.instance.is_present() || now.since(entry.heard) < GONE_KEPT);
        let silent: Vec<String> = self
            .entries
            .values()
            .filter(|it| it.instance.is_present() && now.since(it.heard) >= SILENCE)
            .map(|it| it.instance.id.clone())
            .collect();
        for id in &silent {
            self.amend(now, id, |it| it.state = State::Silent);
        }
        silent
    }

    /// What changed after `mark`; everything where the mark is of another start.
    #[must_use]
    pub fn since(&self, now: time::Instant, mark: Mark) -> Vec<Record> {
        let from = if mark.start == self.start {
            mark.change
        } else {
            0
        };
        self.entries
            .values()
            .filter(|entry| entry.changed > from)
            .map(|entry| Record {
                instance: entry.instance.clone(),
                amended: entry.amended,
                age: now.since(entry.heard),
            })
            .collect()
    }

    /// The instances that have not gone, with how long each was silent.
    pub fn present(&self, now: time::Instant) -> impl Iterator<Item = (&Instance, time::Millis)> {
        self.entries
            .values()
            .filter(|entry| entry.instance.is_present())
            .map(move |entry| (&entry.instance, now.since(entry.heard)))
    }

    /// The instance of this id, if it is known and has not gone.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Instance> {
        let entry = self.entries.get(id)?;
        entry.instance.is_present().then_some(&entry.instance)
    }
}

/// Whether two words of one instance differ in more than their number.
fn differs(a: &Instance, b: &Instance) -> bool {
    let warms = |it: &Instance| it.warming > time::Millis(0);
    a.state != b.state
        || a.models != b.models
        || a.address != b.address
        || a.slots != b.slots
        || a.remaining.is_some() != b.remaining.is_some()
        || a.in_memory != b.in_memory
        || a.on_disk != b.on_disk
        || warms(a) != warms(b)
}
