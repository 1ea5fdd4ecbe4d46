//! Which of several starts of one endpoint lives.
//!
//! An endpoint that crashed may be back within a second under its name. What is believed of the start
//! before must end at once: requests would be sent to it for models that the new start does not hold, and
//! its words, with higher numbers than the new ones, would hide these. And words of the start before
//! may arrive seconds late, at a process that has or hasn't heard of either.
//!
//! Starts are ordered by their rank, then by the time of birth that they tell; one that tells none comes
//! first. Of the starts that a directory hears of, the last in this order lives, in whatever order their
//! words and records come. Births order starts as long as the clock of their VM does not jump. Where it was
//! set back, the start that lives seems to be the earlier one; a control process that hears it itself
//! then raises its rank, once
//!
//! * it has spoken for [`CONTENTION_TIME`], and
//! * the one that seems later was silent for [`super::RIVAL_SILENCE`] all the while.
//!
//! A start that lives does both: it announces itself about every second. Words that were held up by a
//! cut arrive in one burst, and the living start speaks between them. So a clock that was set back keeps a
//! restarted endpoint out for some five seconds, and late words never end a start that lives for longer.

use std::sync;

use sageshed_types::time;

use super::{
    Directory, Entry, FIRST_ANNOUNCEMENTS, Instance, InstanceId, MergeOutcome, RIVAL_SILENCE,
    Record, State, heard_at,
};

/// For how long a start must speak before it takes the place of a silent one that seems later: two
/// announcements, which come every 1.2 s. Those that a cut held up arrive within some milliseconds.
const CONTENTION_TIME: time::Millis = time::Millis(2_000);

/// Starts of one endpoint that are kept. One that crashes every second for a while has some more, and the
/// oldest of these are known by their births without being kept.
const MAX_INSTANCES_PER_ENDPOINT: usize = 8;

/// What the first word of a start means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum FirstRecord {
    /// No other start of its endpoint is there.
    Lives,
    /// It replaces this one.
    Succeeds(InstanceId),
    /// An endpoint goes, and its word names no start: it is this one.
    Ends(InstanceId),
    /// Another start is there that seems to be later.
    Preceded,
}

impl Directory {
    /// The start of the endpoint `name` that has not ended, if one is known.
    pub(super) fn current(&self, name: &str) -> Option<&Entry> {
        self.instances_of(name).find(|it| !it.instance.has_ended())
    }

    fn instances_of(&self, name: &str) -> impl Iterator<Item = &Entry> {
        let first = InstanceId::new(name, None);
        self.entries
            .range(first..)
            .map(|(_, entry)| entry)
            .take_while(move |it| it.instance.id.name == name)
    }

    /// What the first word of a start means.
    pub(super) fn compare_first(&self, now: time::Instant, record: &Record) -> FirstRecord {
        let Some(current) = self.current(&record.instance.id.name) else {
            return FirstRecord::Lives;
        };
        if record.instance.has_ended() {
            let meant = self.deregistered_instance(now, record);
            return meant.map_or(FirstRecord::Lives, FirstRecord::Ends);
        }
        if is_later(record, current) {
            FirstRecord::Succeeds(current.instance.id.clone())
        } else {
            FirstRecord::Preceded
        }
    }

    /// The start that an endpoint's word means by which it goes, where that is known and has not ended.
    ///
    /// A word without a time of birth means the start that is known, unless that has spoken since or was
    /// just born in the place of another: then the word is of the one before, and came late. Taken for
    /// the new one's, it would keep that out for [`super::ENDED_RETENTION`].
    pub(super) fn deregistered_instance(
        &self,
        now: time::Instant,
        record: &Record,
    ) -> Option<InstanceId> {
        let id = &record.instance.id;
        let current = self.current(&id.name)?;
        let known = &current.instance.id;
        if record.instance.state != State::Gone {
            return None;
        }
        if id.born.is_some() || known.born.is_none() {
            return (id == known).then(|| known.clone());
        }
        let has_spoken_since = current.heard > heard_at(now, record.age);
        let is_young = current.instance.sequence <= FIRST_ANNOUNCEMENTS;
        let was_replaced = |it: &Entry| it.instance.state == State::Replaced;
        let is_late = is_young && self.instances_of(&id.name).any(was_replaced);
        (!has_spoken_since && !is_late).then(|| known.clone())
    }

    /// Another start of its endpoint takes the place of `id`.
    pub(super) fn replace(&mut self, now: time::Instant, id: &InstanceId) {
        self.amend(now, id, |it| it.state = State::Replaced);
    }

    /// A further word of a start that another has replaced.
    pub(super) fn merge_replaced(&mut self, now: time::Instant, record: Record) -> MergeOutcome {
        let id = record.instance.id.clone();
        let rival = self.current(&id.name);
        let comes_back = match rival {
            Some(rival) => is_later(&record, rival),
            None => self
                .entries
                .get(&id)
                .is_some_and(|it| record.rank > it.rank),
        };
        if comes_back && record.instance.is_present() {
            if let Some(rival) = rival.map(|it| it.instance.id.clone()) {
                self.replace(now, &rival);
            }
            return self.insert(now, record);
        }
        if record.instance.state == State::Gone
            && let Some(entry) = self.entries.get_mut(&id)
        {
            sync::Arc::make_mut(&mut entry.instance).state = State::Gone;
        }
        MergeOutcome::Stale
    }

    /// Whether a start whose word came just now, and that another has replaced or precedes, has spoken for
    /// long enough while the other was silent.
    pub(super) fn has_outlived(&mut self, now: time::Instant, record: &Record) -> bool {
        let id = &record.instance.id;
        if !record.instance.is_present() || !self.track_contender(now, record) {
            return false;
        }
        let rival = self.current(&id.name).map(|it| it.heard);
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        if entry.instance.state != State::Replaced
            || record.instance.sequence <= entry.instance.sequence
        {
            return false;
        }
        let is_after_rival = |since: &time::Instant| rival.is_none_or(|heard| *since > heard);
        let since = entry.contends_since.filter(is_after_rival).unwrap_or(now);
        entry.contends_since = Some(since);
        entry.heard = now;
        sync::Arc::make_mut(&mut entry.instance).sequence = record.instance.sequence;
        let is_silent = rival.is_none_or(|heard| now.since(heard) >= RIVAL_SILENCE);
        is_silent && now.since(since) >= CONTENTION_TIME
    }

    /// Keeps a start in mind that seems to have ended before the one that is known, unless many are kept.
    /// Others are not told.
    fn track_contender(&mut self, now: time::Instant, record: &Record) -> bool {
        let id = &record.instance.id;
        if self.entries.contains_key(id) {
            return true;
        }
        if self.instances_of(&id.name).count() >= MAX_INSTANCES_PER_ENDPOINT {
            return false;
        }
        let entry = Entry {
            instance: sync::Arc::new(Instance {
                state: State::Replaced,
                ..record.instance.clone()
            }),
            amended: record.amended,
            rank: record.rank,
            heard: now,
            changed: 0,
            update: 0,
            published: now,
            leaving: record.instance.state == State::Leaving,
            contends_since: Some(now),
        };
        self.insert_entry(id, entry);
        true
    }

    /// Puts a start that was replaced back into its place, with a rank by which all others take it in.
    pub(super) fn reinstate(&mut self, now: time::Instant, record: Record) -> MergeOutcome {
        let name = record.instance.id.name.clone();
        let highest = self
            .instances_of(&name)
            .map(|it| it.rank)
            .max()
            .unwrap_or(0);
        if let Some(rival) = self.current(&name).map(|it| it.instance.id.clone()) {
            self.replace(now, &rival);
        }
        let rank = highest.saturating_add(1);
        self.insert(now, Record { rank, ..record })
    }
}

/// Whether the start of `record` comes behind a known one.
fn is_later(record: &Record, known: &Entry) -> bool {
    let known = (known.rank, known.instance.id.born);
    (record.rank, record.instance.id.born) > known
}
