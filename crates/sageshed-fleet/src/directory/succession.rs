//! Which of several instances of one endpoint is running.
//!
//! An endpoint that crashed may be back within a second under the same name. What is known of the previous instance
//! must be dropped at once: otherwise requests would be sent for models that the new instance doesn't hold, and the
//! old announcements, which have higher sequence numbers, would hide the new ones. Announcements of the previous
//! instance may also arrive seconds late, at processes that know both instances, one of them or none.
//!
//! Instances are ordered by rank, then by the start time that they announce; one without a start time comes first.
//! Of the instances that a directory hears of, the last one in this order is the running one, in whatever order
//! their announcements and records arrive. Start times order instances correctly as long as the clock of their VM
//! doesn't jump. If it was set back, the running instance seems to be the earlier one. A control process that
//! receives its announcements then raises its rank, once
//!
//! * it has announced itself for [`CONTENTION_TIME`], and
//! * the seemingly later one has been silent for [`super::RIVAL_SILENCE`], and for all of the contention time.
//!
//! A running instance passes this test, since it announces itself about every second. Announcements that were held
//! up by a network partition arrive in one burst, and the running instance announces itself between them. So a clock
//! that was set back excludes a restarted endpoint for some five seconds, and late announcements never exclude a
//! running instance for longer.
//!
//! # Endpoints at one address
//!
//! An endpoint may also be started again under another name, or another one at its address. Instances of several names at one
//! address are ordered in the same way if both tell their start times. Otherwise nothing orders them: the one that begins to
//! announce itself is taken for the later one. Either way the other one is marked as replaced and not as gone, since it hasn't
//! said that it ends, and is reinstated as above if it outlives its successor.

use std::{cmp, net, sync};

use sageshed_types::time;

use super::{
    Directory, Entry, FIRST_ANNOUNCEMENTS, Instance, InstanceId, MAX_INSTANCES, MergeOutcome,
    RIVAL_SILENCE, Record, State, heard_at,
};

/// How long an instance must announce itself before it takes the place of a silent one that seems later: two
/// announcements, which come every 1.2 s. Those held up by a network partition arrive within milliseconds.
const CONTENTION_TIME: time::Millis = time::Millis(2_000);

/// Maximum number of instances of one endpoint that are kept as contenders. An endpoint that crashes every second for
/// a while has more of them, but the older ones are recognized by their start times without being kept.
const MAX_INSTANCES_PER_ENDPOINT: usize = 8;

/// What the first record of an instance means for the other instances of its endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum FirstRecord {
    /// It concerns no other running instance: there is none, or the record only tells that its own instance has ended.
    NoRival,
    /// The instance replaces this one.
    Succeeds(InstanceId),
    /// It is a deregistration without a start time, which means this instance.
    Ends(InstanceId),
    /// Another instance is running that seems to be later, or the endpoint has just deregistered.
    Preceded,
}

impl Directory {
    /// The instance of the endpoint `name` that has not ended, if one is known.
    pub(super) fn current(&self, name: &str) -> Option<&Entry> {
        self.instances_of(name).find(|it| !it.instance.has_ended())
    }

    /// All known instances of the endpoint `name`.
    fn instances_of(&self, name: &str) -> impl Iterator<Item = &Entry> {
        let first = InstanceId::new(name, None);
        self.entries
            .range(first..)
            .map(|(_, entry)| entry)
            .take_while(move |it| it.instance.id.name == name)
    }

    /// Compares the first record of an instance with the other instances of its endpoint.
    pub(super) fn compare_first(&self, now: time::Instant, record: &Record) -> FirstRecord {
        let Some(current) = self.current(&record.instance.id.name) else {
            return if self.was_just_deregistered(now, record) {
                FirstRecord::Preceded
            } else {
                FirstRecord::NoRival
            };
        };
        if record.instance.has_ended() {
            let meant = self.deregistered_instance(now, record);
            return meant.map_or(FirstRecord::NoRival, FirstRecord::Ends);
        }
        if is_later(record, current) {
            FirstRecord::Succeeds(current.instance.id.clone())
        } else {
            FirstRecord::Preceded
        }
    }

    /// The instance that a deregistration means, if it is known and has not ended.
    ///
    /// A deregistration without a start time means the known instance, unless that one has announced itself since or
    /// has just replaced another one: then it is a late deregistration of the previous instance. If it were applied
    /// to the new instance, it would exclude that one for [`super::ENDED_RETENTION`].
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
        let has_announced_since = current.heard > heard_at(now, record.age);
        let is_young = current.instance.sequence <= FIRST_ANNOUNCEMENTS;
        let was_replaced = |it: &Entry| it.instance.state == State::Replaced;
        let is_late = is_young && self.instances_of(&id.name).any(was_replaced);
        (!has_announced_since && !is_late).then(|| known.clone())
    }

    /// Whether an instance that is not known yet may be the one that has just deregistered. The deregistration named no start
    /// time, and no instance of the endpoint was known then. An endpoint serves for some seconds after it has deregistered,
    /// so an announcement that arrives meanwhile is rather a late one of the same instance than one of the next.
    fn was_just_deregistered(&self, now: time::Instant, record: &Record) -> bool {
        let id = &record.instance.id;
        let deregistered = self.entries.get(&InstanceId::new(&id.name, None));
        let is_recent =
            |it: &Entry| it.instance.state == State::Gone && now.since(it.heard) < RIVAL_SILENCE;
        !record.instance.has_ended()
            && deregistered.is_some_and(is_recent)
            && self.instances_of(&id.name).count() == 1
    }

    /// Marks `id` as replaced by another instance of its endpoint.
    pub(super) fn replace(&mut self, now: time::Instant, id: &InstanceId) {
        self.amend(now, id, |it| it.state = State::Replaced);
    }

    /// Merges a further record of a replaced instance.
    pub(super) fn merge_replaced(&mut self, now: time::Instant, record: Record) -> MergeOutcome {
        let id = record.instance.id.clone();
        let rival = self.current(&id.name);
        let is_running_again = match rival {
            Some(rival) => is_later(&record, rival),
            None => self
                .entries
                .get(&id)
                .is_some_and(|it| record.rank > it.rank),
        };
        if is_running_again && record.instance.is_present() {
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

    /// Whether an instance that has just announced itself, and that is replaced or seems earlier than another one,
    /// has announced itself for long enough while the other was silent.
    pub(super) fn has_outlived(&mut self, now: time::Instant, record: &Record) -> bool {
        let id = &record.instance.id;
        if !record.instance.is_present() || !self.track_contender(now, record) {
            return false;
        }
        let address = record.instance.address;
        let rival = self.rivals(id, address).map(|it| it.heard).max();
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

    /// Keeps an instance that seems to be earlier than the known one, unless many are kept. It is not passed on to
    /// peers. Returns whether it is kept.
    fn track_contender(&mut self, now: time::Instant, record: &Record) -> bool {
        let id = &record.instance.id;
        if self.entries.contains_key(id) {
            return true;
        }
        let is_full = self.entries.len() >= MAX_INSTANCES;
        if is_full || self.instances_of(&id.name).count() >= MAX_INSTANCES_PER_ENDPOINT {
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

    /// Makes a replaced instance the running one again, with a rank by which all peers accept it.
    pub(super) fn reinstate(&mut self, now: time::Instant, record: Record) -> MergeOutcome {
        let (id, address) = (&record.instance.id, record.instance.address);
        let at_address = self.others_at(id, address);
        let highest = self.instances_of(&id.name).chain(at_address);
        let highest = highest.map(|it| it.rank).max().unwrap_or(0);
        let rivals = self.rivals(id, address);
        let rivals: Vec<InstanceId> = rivals.map(|it| it.instance.id.clone()).collect();
        for rival in rivals {
            self.replace(now, &rival);
        }
        let rank = highest.saturating_add(1);
        self.insert(now, Record { rank, ..record })
    }

    /// The instances of other endpoints at an address.
    fn others_at(
        &self,
        id: &InstanceId,
        address: net::SocketAddrV4,
    ) -> impl Iterator<Item = &Entry> {
        let there = self.index.by_address(address).iter();
        let there = there.filter_map(|it| self.entries.get(it));
        there.filter(|it| it.instance.id.name != id.name)
    }

    /// The other instances that may be running in the place of `id`: of the same endpoint, or at the same address.
    fn rivals(&self, id: &InstanceId, address: net::SocketAddrV4) -> impl Iterator<Item = &Entry> {
        let at_address = self.others_at(id, address);
        let at_address = at_address.filter(|it| !it.instance.has_ended());
        let same_name = self.current(&id.name).filter(|it| it.instance.id != *id);
        same_name.into_iter().chain(at_address)
    }

    /// Whether an instance that is not known yet is an earlier one than that which runs at its address. Its announcement may
    /// have been held up until after its end.
    pub(super) fn is_preceded_at_address(&self, record: &Record) -> bool {
        let id = &record.instance.id;
        if record.instance.has_ended() || self.entries.contains_key(id) {
            return false;
        }
        let rivals = self.others_at(id, record.instance.address);
        let mut rivals = rivals.filter(|it| it.instance.is_present());
        let order = |rival: &Entry| order_at_address((record.rank, id), rival);
        rivals.any(|rival| order(rival) == Some(cmp::Ordering::Less))
    }

    /// Marks the other endpoints at `address` as replaced. An endpoint that crashed and was started again at its address
    /// under another name doesn't deregister the old name.
    ///
    /// The start times tell which instance is the later one. Where one of them is not told, the announcement must be among the
    /// first ones of its instance, since a late announcement of an instance that ended long ago must not replace the one that
    /// runs there now. The latter is also replaced if it has been silent.
    pub(super) fn replace_rivals_at(
        &mut self,
        now: time::Instant,
        id: &InstanceId,
        address: net::SocketAddrV4,
        is_first: bool,
    ) {
        let Some(rank) = self.entries.get(id).map(|it| it.rank) else {
            return;
        };
        let is_replaced = |it: &&Entry| {
            let is_silent = now.since(it.heard) >= RIVAL_SILENCE;
            let is_earlier = match order_at_address((rank, id), it) {
                Some(order) => order == cmp::Ordering::Greater,
                None => is_first,
            };
            !it.instance.has_ended() && (is_earlier || is_silent)
        };
        let replaced = self.others_at(id, address).filter(is_replaced);
        let replaced: Vec<InstanceId> = replaced.map(|it| it.instance.id.clone()).collect();
        for rival in replaced {
            self.replace(now, &rival);
        }
    }
}

/// The order of an instance with this rank and id and another one at the same address. None where it can't be told, since
/// one of them doesn't tell its start time.
fn order_at_address((rank, id): (u32, &InstanceId), rival: &Entry) -> Option<cmp::Ordering> {
    let (born, rival_born) = (id.born?, rival.instance.id.born?);
    Some((rank, born).cmp(&(rival.rank, rival_born)))
}

/// Whether the instance of `record` comes after a known one in the order of instances.
fn is_later(record: &Record, known: &Entry) -> bool {
    let known = (known.rank, known.instance.id.born);
    (record.rank, record.instance.id.born) > known
}
