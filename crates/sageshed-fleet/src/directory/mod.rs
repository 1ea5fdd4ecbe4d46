//! What is believed of each endpoint, by its own announcements.
//!
//! Announcements come to any control process, late and out of order. Each carries a number that grows
//! within one start of an endpoint (an [`Instance`]), so the newest word of an instance is known from the
//! word itself, whichever way it came. An instance that says that it goes never comes back: its id is
//! kept for [`ENDED_RETENTION`], longer than an announcement may be delayed. Which of several starts of one
//! endpoint lives is decided by [`succession`].
//!
//! A directory counts its changes. A peer that says up to which change it knows this directory gets
//! what came after ([`Directory::records_after`]).

mod index;
mod instance;
mod succession;

use std::{collections, net, sync};

use sageshed_types::time;

pub use sageshed_types::mark::Mark as Cursor;

pub use self::instance::{
    Instance, InstanceId, LivenessRefresh, MergeOutcome, Record, Resident, State,
};

/// How long the id of an instance that has ended is remembered. Announcements were seen to arrive
/// after a cut of the network of about ten seconds; this is several times that.
pub const ENDED_RETENTION: time::Millis = time::Millis(60_000);

/// How often the word of an instance that says nothing new is passed on, so that others know that it
/// lives.
pub const REFRESH_INTERVAL: time::Millis = time::Millis(2_000);

/// An instance whose first word here has at most this number was just started.
const FIRST_ANNOUNCEMENTS: u64 = 3;

/// How long one instance must be silent before another, which may have died before it, takes its place:
/// its own words may have gone to other control processes, which pass them on every [`REFRESH_INTERVAL`].
const RIVAL_SILENCE: time::Millis = time::Millis(5_000);

/// How long an instance may be silent before it is taken for gone. Several announcements, which may
/// be late by seconds.
pub const SILENCE_TIMEOUT: time::Millis = time::Millis(12_000);

/// Instances that are kept at the most: twice the endpoints of the largest fleet that is aimed for. One
/// takes about a kilobyte, and whoever can reach the port can announce any number of them.
pub const MAX_INSTANCES: usize = 20_000;

#[derive(Debug, Clone)]
struct Entry {
    instance: sync::Arc<Instance>,
    amended: u64,
    rank: u32,
    heard: time::Instant,
    /// The change by which it was passed on last, be it as a sign of life.
    changed: u64,
    /// The change by which there was news of it last.
    update: u64,
    published: time::Instant,
    /// Whether it has ever said that it leaves. It takes no work again, whatever comes later.
    leaving: bool,
    /// Of one that another start has replaced: since when it has spoken while the other was silent.
    contends_since: Option<time::Instant>,
}

/// The instances that one process knows.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    start: u64,
    change: u64,
    /// The change by which there was news last.
    last_update: u64,
    digest: u64,
    entries: collections::BTreeMap<InstanceId, Entry>,
    index: index::Index,
}

/// A change of a directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Of which instance.
    pub id: InstanceId,
    /// Its number, which no other change has.
    pub number: u64,
}

/// Some of what a peer does not know yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeBatch {
    /// The changes, in their order.
    pub changes: Vec<Change>,
    /// Up to where the directory is known with them.
    pub cursor: Cursor,
    /// Whether there are no more.
    pub is_last: bool,
}

/// What a peer is to be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeFilter {
    /// What is new, and which instances live.
    All,
    /// What is new.
    Updates,
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
    pub fn cursor(&self) -> Cursor {
        Cursor {
            start: self.start,
            change: self.change,
        }
    }

    /// The last change that was news.
    #[must_use]
    pub fn update_cursor(&self) -> Cursor {
        Cursor {
            start: self.start,
            change: self.last_update,
        }
    }

    /// Whether there is news for a peer that knows this directory up to `cursor`.
    #[must_use]
    pub fn has_updates(&self, cursor: Cursor) -> bool {
        cursor.start != self.start || self.last_update > cursor.change
    }

    /// Equal for directories in which the same instances are there and hold the same, and hardly ever for
    /// others.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Takes an instance's own word, that came just now.
    pub fn announce(&mut self, now: time::Instant, instance: Instance) -> MergeOutcome {
        let (id, address) = (instance.id.clone(), instance.address);
        let is_first = instance.sequence <= FIRST_ANNOUNCEMENTS;
        let outcome = self.apply_announcement(now, instance);
        if !matches!(outcome, MergeOutcome::Stale | MergeOutcome::Full) {
            self.end_rivals_at(now, &id, address, is_first);
        }
        outcome
    }

    fn apply_announcement(&mut self, now: time::Instant, instance: Instance) -> MergeOutcome {
        let mut record = Record::announced_now(instance);
        if let Some(entry) = self.entries.get(&record.instance.id) {
            record.amended = entry.amended;
            record.rank = entry.rank;
        }
        let outcome = self.merge(now, record.clone());
        if outcome == MergeOutcome::Stale && self.has_outlived(now, &record) {
            return self.reinstate(now, record);
        }
        outcome
    }

    /// Takes the other endpoints at `address` for gone: one that crashed and was started anew there under
    /// another name says nothing more.
    ///
    /// A word of an instance that died long ago may arrive late and must not end the one that lives
    /// there now. So either it is among the first words of its instance, or the other was silent.
    fn end_rivals_at(
        &mut self,
        now: time::Instant,
        id: &InstanceId,
        address: net::SocketAddrV4,
        is_first: bool,
    ) {
        let is_rival = |it: &&Entry| {
            let other = &it.instance;
            let is_silent = now.since(it.heard) >= RIVAL_SILENCE;
            let is_there = other.address == address && !other.has_ended();
            is_there && other.id.name != id.name && (is_first || is_silent)
        };
        let there = self.index.by_address(address).iter();
        let there = there.filter_map(|it| self.entries.get(it));
        let rivals = there.filter(is_rival);
        let rivals: Vec<InstanceId> = rivals.map(|it| it.instance.id.clone()).collect();
        for rival in rivals {
            self.mark_gone(now, &rival);
        }
    }

    /// Takes another directory's word that an instance is alive and has said nothing new.
    pub fn confirm(&mut self, now: time::Instant, alive: LivenessRefresh) {
        let Some(id) = self.index.by_short_key(alive.key).cloned() else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if entry.instance.has_ended() || alive.sequence < entry.instance.sequence {
            return;
        }
        if entry.instance.state == State::Silent {
            return self.revive(now, &id, alive);
        }
        entry.heard = entry.heard.max(heard_at(now, alive.age));
        if alive.sequence == entry.instance.sequence {
            return;
        }
        sync::Arc::make_mut(&mut entry.instance).sequence = alive.sequence;
        if now.since(entry.published) >= REFRESH_INTERVAL {
            self.record_refresh(now, &id);
        }
    }

    /// An instance that was taken for gone lives.
    fn revive(&mut self, now: time::Instant, id: &InstanceId, alive: LivenessRefresh) {
        let Some(mut record) = self.record(now, id) else {
            return;
        };
        record.instance.state = State::Ready;
        record.instance.sequence = alive.sequence;
        record.age = alive.age;
        self.merge(now, record);
    }

    /// The word that an instance is alive, for a peer that knows all else of it: one with this mark, if it takes new
    /// work.
    #[must_use]
    pub fn alive(
        &self,
        now: time::Instant,
        id: &InstanceId,
        cursor: Cursor,
    ) -> Option<LivenessRefresh> {
        let entry = self.entries.get(id)?;
        let is_known = cursor.start == self.start && entry.update <= cursor.change;
        (is_known && entry.instance.is_ready()).then(|| LivenessRefresh {
            key: id.short_key(),
            sequence: entry.instance.sequence,
            age: now.since(entry.heard),
        })
    }

    /// Takes what another directory passes on.
    pub fn merge(&mut self, now: time::Instant, record: Record) -> MergeOutcome {
        let Some(entry) = self.entries.get(&record.instance.id) else {
            return self.merge_first(now, record);
        };
        match entry.instance.state {
            State::Gone => MergeOutcome::Stale,
            State::Replaced => self.merge_replaced(now, record),
            State::Ready | State::Leaving | State::Silent => self.update(now, record),
        }
    }

    /// The first word of an instance.
    fn merge_first(&mut self, now: time::Instant, record: Record) -> MergeOutcome {
        if self.entries.len() >= MAX_INSTANCES {
            return MergeOutcome::Full;
        }
        match self.compare_first(now, &record) {
            succession::FirstRecord::Lives => self.insert(now, record),
            succession::FirstRecord::Succeeds(before) => {
                self.replace(now, &before);
                self.insert(now, record)
            }
            succession::FirstRecord::Ends(current) => {
                self.mark_gone(now, &current);
                MergeOutcome::Changed
            }
            succession::FirstRecord::Preceded => MergeOutcome::Stale,
        }
    }

    fn insert(&mut self, now: time::Instant, mut record: Record) -> MergeOutcome {
        let id = record.instance.id.clone();
        let leaving = self.is_leaving(&id) || record.instance.state == State::Leaving;
        if leaving && record.instance.state == State::Ready {
            record.instance.state = State::Leaving;
        }
        let entry = Entry {
            amended: record.amended,
            rank: record.rank,
            heard: heard_at(now, record.age),
            changed: 0,
            update: 0,
            published: now,
            leaving,
            contends_since: None,
            instance: sync::Arc::new(record.instance),
        };
        self.digest ^= entry.instance.digest();
        if let Some(before) = self.insert_entry(&id, entry) {
            self.digest ^= before.instance.digest();
        }
        self.record_update(now, &id);
        MergeOutcome::New
    }

    /// Keeps an entry that has no number of a change yet.
    fn insert_entry(&mut self, id: &InstanceId, entry: Entry) -> Option<Entry> {
        let address = entry.instance.address;
        let before = self.entries.insert(id.clone(), entry);
        if let Some(it) = &before {
            let address = it.instance.address;
            self.index.forget(id, address, it.changed, it.update);
        }
        self.index.add_address(id, address);
        before
    }

    /// Passes an instance on as news.
    fn record_update(&mut self, now: time::Instant, id: &InstanceId) {
        self.change += 1;
        self.last_update = self.change;
        if let Some(entry) = self.entries.get_mut(id) {
            self.index.record_change(id, entry.changed, self.change);
            self.index.record_update(id, entry.update, self.change);
            entry.changed = self.change;
            entry.update = self.change;
            entry.published = now;
        }
    }

    /// Passes on that an instance is alive.
    fn record_refresh(&mut self, now: time::Instant, id: &InstanceId) {
        self.change += 1;
        if let Some(entry) = self.entries.get_mut(id) {
            self.index.record_change(id, entry.changed, self.change);
            entry.changed = self.change;
            entry.published = now;
        }
    }

    /// A further word of an instance that has not ended.
    fn update(&mut self, now: time::Instant, mut record: Record) -> MergeOutcome {
        let id = record.instance.id.clone();
        let Some(entry) = self.entries.get_mut(&id) else {
            return MergeOutcome::Stale;
        };
        let known = (entry.instance.sequence, entry.amended);
        if record.instance.state == State::Leaving && record.version() <= known {
            // A later word, which went elsewhere, does not undo it: it was said in an answer, and the
            // announcement of it is still to come.
            let outcome = self.mark_leaving(now, &id);
            return if outcome {
                MergeOutcome::Changed
            } else {
                MergeOutcome::Stale
            };
        }
        entry.leaving |= record.instance.state == State::Leaving;
        if entry.leaving && record.instance.state == State::Ready {
            record.instance.state = State::Leaving;
        }
        let goes = record.instance.state == State::Gone;
        if record.instance.sequence >= entry.instance.sequence {
            entry.heard = entry.heard.max(heard_at(now, record.age));
        }
        entry.rank = entry.rank.max(record.rank);
        // Two directories that hold different words under the same numbers must not exchange them for
        // ever: only a higher number replaces what is held.
        if record.version() <= known && !goes {
            let is_same = record.version() == known;
            return if is_same {
                MergeOutcome::Confirmed
            } else {
                MergeOutcome::Stale
            };
        }
        let is_news = entry.instance.differs(&record.instance) || record.amended > entry.amended;
        let is_due = now.since(entry.published) >= REFRESH_INTERVAL;
        entry.amended = entry.amended.max(record.amended);
        self.digest ^= entry.instance.digest() ^ record.instance.digest();
        let (before, address) = (entry.instance.address, record.instance.address);
        if before != address {
            self.index.remove_address(&id, before);
            self.index.add_address(&id, address);
        }
        entry.instance = sync::Arc::new(record.instance);
        if is_news {
            self.record_update(now, &id);
            return MergeOutcome::Changed;
        }
        if is_due {
            self.record_refresh(now, &id);
        }
        MergeOutcome::Confirmed
    }

    /// Notes what the instance's own word does not show yet, as an adapter that the leader had it
    /// load. Returns false where the instance is not known or has ended.
    pub fn amend(
        &mut self,
        now: time::Instant,
        id: &InstanceId,
        amend: impl FnOnce(&mut Instance),
    ) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        if entry.instance.has_ended() {
            return false;
        }
        self.digest ^= entry.instance.digest();
        amend(sync::Arc::make_mut(&mut entry.instance));
        self.digest ^= entry.instance.digest();
        entry.amended += 1;
        self.record_update(now, id);
        true
    }

    /// Notes that an instance has said that it leaves, be it in an announcement or in an answer. Returns whether
    /// that is new.
    pub fn mark_leaving(&mut self, now: time::Instant, id: &InstanceId) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        if entry.leaving || entry.instance.state == State::Gone {
            return false;
        }
        entry.leaving = true;
        if entry.instance.state == State::Ready {
            self.amend(now, id, |it| it.state = State::Leaving);
        }
        true
    }

    /// Notes that an instance has gone. Returns false where it is not known, or has ended already.
    pub fn mark_gone(&mut self, now: time::Instant, id: &InstanceId) -> bool {
        self.amend(now, id, |it| it.state = State::Gone)
    }

    /// Takes an endpoint's own word that the start `id` of it goes. One without a time of birth means the
    /// start that is known.
    ///
    /// It is passed on also where the instance is not known here: a control process that was just started
    /// knows none, and others still do.
    pub fn deregister(&mut self, now: time::Instant, id: &InstanceId) {
        let record = Record::announced_now(Instance::tombstone(id.clone()));
        match self.deregistered_instance(now, &record) {
            Some(meant) => drop(self.mark_gone(now, &meant)),
            None if self.entries.contains_key(id) => {}
            None => drop(self.merge(now, record)),
        }
    }

    /// Takes those for gone that were silent for [`SILENCE_TIMEOUT`], and forgets those that ended long ago.
    /// Returns the ids of the former.
    pub fn expire(&mut self, now: time::Instant) -> Vec<InstanceId> {
        self.forget_ended(now);
        let silent: Vec<InstanceId> = self
            .entries
            .values()
            .filter(|it| it.instance.is_present() && now.since(it.heard) >= SILENCE_TIMEOUT)
            .map(|it| it.instance.id.clone())
            .collect();
        for id in &silent {
            self.amend(now, id, |it| it.state = State::Silent);
        }
        silent
    }

    /// Forgets the instances that are not there for long.
    pub fn forget_ended(&mut self, now: time::Instant) {
        let index = &mut self.index;
        self.entries.retain(|id, entry| {
            let is_kept = entry.instance.is_present() || now.since(entry.heard) < ENDED_RETENTION;
            if !is_kept {
                index.forget(id, entry.instance.address, entry.changed, entry.update);
            }
            is_kept
        });
    }

    /// What changed after `cursor`; everything where the mark is of another start.
    #[must_use]
    pub fn records_after(
        &self,
        now: time::Instant,
        cursor: Cursor,
        filter: ChangeFilter,
    ) -> Vec<Record> {
        let all = self.changes_after(cursor, filter, usize::MAX).changes;
        let records = all.iter().filter_map(|it| self.record(now, &it.id));
        records.collect()
    }

    /// The first `most` changes after `cursor`, and up to where the directory is known with them.
    #[must_use]
    pub fn changes_after(&self, cursor: Cursor, filter: ChangeFilter, most: usize) -> ChangeBatch {
        let from = if cursor.start == self.start {
            cursor.change
        } else {
            0
        };
        let mut changes: Vec<_> = self
            .index
            .changes_after(from, filter)
            .take(most.saturating_add(1))
            .collect();
        let is_last = changes.len() <= most;
        changes.truncate(most);
        let last = changes.last().filter(|_| !is_last);
        let cursor = Cursor {
            start: self.start,
            change: last.map_or(self.change, |(number, _)| *number),
        };
        let changes = changes.into_iter().map(|(number, id)| Change {
            id: id.clone(),
            number,
        });
        ChangeBatch {
            changes: changes.collect(),
            cursor,
            is_last,
        }
    }

    /// What is passed on of an instance.
    #[must_use]
    pub fn record(&self, now: time::Instant, id: &InstanceId) -> Option<Record> {
        let entry = self.entries.get(id)?;
        Some(Record {
            instance: Instance::clone(&entry.instance),
            amended: entry.amended,
            rank: entry.rank,
            age: now.since(entry.heard),
        })
    }

    /// The instances that have not gone, with how long each was silent.
    pub fn present(&self, now: time::Instant) -> impl Iterator<Item = (&Instance, time::Millis)> {
        self.entries
            .values()
            .filter(|entry| entry.instance.is_present())
            .map(move |entry| (&*entry.instance, now.since(entry.heard)))
    }

    /// The instances that have not gone, to be looked at while the directory goes on to change.
    #[must_use]
    pub fn snapshot(&self) -> Vec<sync::Arc<Instance>> {
        let instances = self.entries.values().map(|it| &it.instance);
        let present = instances.filter(|it| it.is_present());
        present.map(sync::Arc::clone).collect()
    }

    /// The start of the endpoint `name` that is there, if one is known.
    #[must_use]
    pub fn current_instance(&self, name: &str) -> Option<&Instance> {
        let entry = self.current(name)?;
        entry.instance.is_present().then_some(&*entry.instance)
    }

    /// What is known of this start.
    #[must_use]
    pub fn instance(&self, id: &InstanceId) -> Option<&Instance> {
        self.entries.get(id).map(|it| &*it.instance)
    }

    /// Whether this start said that it stops.
    #[must_use]
    pub fn is_leaving(&self, id: &InstanceId) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|it| it.leaving || it.instance.state == State::Gone)
    }

    /// The starts that are there of endpoints that ended and were started again lately.
    #[must_use]
    pub fn restarted(&self) -> Vec<InstanceId> {
        let ended = self.entries.values().filter(|it| it.instance.has_ended());
        let names: collections::BTreeSet<&str> =
            ended.map(|it| it.instance.id.name.as_str()).collect();
        let there = names
            .into_iter()
            .filter_map(|name| self.current_instance(name));
        there.map(|it| it.id.clone()).collect()
    }
}

/// When a word that is so old now was heard.
fn heard_at(now: time::Instant, age: time::Millis) -> time::Instant {
    time::Instant(now.0.saturating_sub(age.0))
}
