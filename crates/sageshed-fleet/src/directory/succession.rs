//! Which of several starts of one endpoint lives.
//!
//! An endpoint that crashed may be back within a second under its name. What is believed of the start
//! before must end at once: requests would be sent to it for models that the new start does not hold, and
//! its words, with higher numbers than the new ones, would hide these. And words of the start before
//! may arrive seconds late, at a process that has or hasn't heard of either.
//!
//! The time of birth that an endpoint tells orders its starts, as long as its clock does not jump:
//!
//! * a start born later than the one that is known replaces it by its first word;
//! * any other, one born earlier or one that was replaced before, takes over only once it has spoken for
//!   [`CONTENDING`] while the known one was silent for [`super::RIVAL_SILENCE`]. A start that lives
//!   does both: it announces itself about every second. Words that were held up by a cut arrive in
//!   one burst, and the living start speaks between them.
//!
//! So a clock that was set back keeps a restarted endpoint out for some five seconds, and late words never
//! end a start that lives for longer than that.

use std::cmp;

use sageshed_types::time;

use super::{
    Directory, Entry, FIRST_WORDS, Instance, InstanceId, Offer, RIVAL_SILENCE, Record, State,
    heard_at, instance,
};

/// For how long a start must speak before it takes the place of a silent one that seems later: two
/// announcements, which come every 1.2 s. Those that a cut held up arrive within some milliseconds.
const CONTENDING: time::Millis = time::Millis(2_000);

/// Starts of one endpoint that are kept. One that crashes every second for a while has some more, and the
/// oldest of these are known by their births without being kept.
const STARTS_KEPT: usize = 8;

/// What the first word of a start means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum First {
    /// No other start of its endpoint is there.
    Lives,
    /// It replaces this one.
    Succeeds(InstanceId),
    /// An endpoint goes, and its word names no start: it is this one.
    Ends(InstanceId),
    /// Another start is there that seems to be later.
    Contends,
}

impl Directory {
    /// The start of the endpoint `name` that has not ended, if one is known.
    pub(super) fn current(&self, name: &str) -> Option<&Entry> {
        self.starts(name).find(|it| !it.instance.has_ended())
    }

    fn starts(&self, name: &str) -> impl Iterator<Item = &Entry> {
        let first = InstanceId::new(name, None);
        self.entries
            .range(first..)
            .map(|(_, entry)| entry)
            .take_while(move |it| it.instance.id.name == name)
    }

    /// What the first word of a start means.
    pub(super) fn succeeds(&self, now: time::Instant, record: &Record) -> First {
        let id = &record.instance.id;
        let Some(current) = self.current(&id.name) else {
            return First::Lives;
        };
        if record.instance.has_ended() {
            let meant = self.meant_by(now, record);
            return meant.map_or(First::Lives, First::Ends);
        }
        let known = &current.instance.id;
        match instance::by_birth(id, known) {
            cmp::Ordering::Greater => First::Succeeds(known.clone()),
            cmp::Ordering::Less | cmp::Ordering::Equal => First::Contends,
        }
    }

    /// The start that an endpoint's word means by which it goes, where that is known and has not ended.
    ///
    /// A word without a time of birth means the start that is known, unless that has spoken since or was
    /// just born in the place of another: then the word is of the one before, and came late. Taken for
    /// the new one's, it would keep that out for [`super::GONE_KEPT`].
    pub(super) fn meant_by(&self, now: time::Instant, record: &Record) -> Option<InstanceId> {
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
        let is_young = current.instance.sequence <= FIRST_WORDS;
        let was_replaced = |it: &Entry| it.instance.state == State::Replaced;
        let is_late = is_young && self.starts(&id.name).any(was_replaced);
        (!has_spoken_since && !is_late).then(|| known.clone())
    }

    /// Another start of its endpoint takes the place of `id`.
    pub(super) fn replace(&mut self, now: time::Instant, id: &InstanceId) {
        self.amend(now, id, |it| it.state = State::Replaced);
    }

    /// Keeps a start in mind that seems to have ended before the one that is known. Others are not told.
    pub(super) fn note_contender(&mut self, now: time::Instant, record: Record) {
        let id = record.instance.id.clone();
        if self.starts(&id.name).count() >= STARTS_KEPT {
            return;
        }
        let heard = heard_at(now, record.age);
        let entry = Entry {
            instance: Instance {
                state: State::Replaced,
                ..record.instance
            },
            amended: record.amended,
            heard,
            changed: 0,
            passed_on: now,
            contends_since: Some(heard),
        };
        self.entries.insert(id, entry);
    }

    /// A further word of a start that another has replaced.
    pub(super) fn contend(&mut self, now: time::Instant, record: Record) -> Offer {
        let id = record.instance.id.clone();
        let current = self.current(&id.name);
        let rival = current.map(|it| (it.instance.id.clone(), it.heard));
        let Some(entry) = self.entries.get_mut(&id) else {
            return Offer::Stale;
        };
        if record.instance.state == State::Gone {
            entry.instance.state = State::Gone;
            return Offer::Stale;
        }
        if !record.instance.is_present() || record.instance.sequence <= entry.instance.sequence {
            return Offer::Stale;
        }
        let heard = heard_at(now, record.age);
        let is_before = |since: &time::Instant| {
            let spoke = rival.as_ref().map(|(_, heard)| *heard);
            spoke.is_none_or(|at| *since > at)
        };
        let since = entry.contends_since.filter(is_before).unwrap_or(heard);
        entry.contends_since = Some(since);
        entry.heard = entry.heard.max(heard);
        entry.instance.sequence = record.instance.sequence;
        let has_spoken = heard.since(since) >= CONTENDING;
        let is_silent = rival
            .as_ref()
            .is_none_or(|(_, heard)| now.since(*heard) >= RIVAL_SILENCE);
        if !has_spoken || !is_silent {
            return Offer::Stale;
        }
        if let Some((rival, _)) = rival {
            self.replace(now, &rival);
        }
        self.insert(now, record)
    }
}
