//! The endpoints that announce themselves, as one process knows them.
//!
//! Announcements may reach any control process, late and out of order. Each carries a sequence number that grows
//! within one instance of an endpoint (one run of its process, an [`Instance`]), so the newest announcement of an
//! instance is known whichever way it came. An instance that deregisters never comes back: its id is kept for
//! [`ENDED_RETENTION`], longer than an announcement may be delayed. Which of several instances of one endpoint is
//! running is decided in [`succession`].
//!
//! A directory numbers its changes. A peer that names the change up to which it knows this directory, its
//! [`Cursor`], gets the later ones ([`Directory::records_after`]). Changes are of two kinds: updates, which change
//! what is known of an instance, and refreshes, which only tell that it is still alive.

mod index;
mod instance;
mod succession;

use std::{collections, net, sync};

use sageshed_types::time;

pub use sageshed_types::cursor::SyncCursor as Cursor;

pub use self::instance::{
    Instance, InstanceId, LivenessRefresh, MergeOutcome, Record, Resident, SoftwareKey, State,
};

/// How long an instance that has ended is remembered. Announcements have arrived after a network partition of about
/// ten seconds; this is several times that.
pub const ENDED_RETENTION: time::Millis = time::Millis(60_000);

/// How often an instance whose announcements bring no update is passed on, so that others know that it is alive.
pub const REFRESH_INTERVAL: time::Millis = time::Millis(2_000);

/// Sequence number up to which the first announcement received of an instance shows that it has just started.
const FIRST_ANNOUNCEMENTS: u64 = 3;

/// How long an instance must be silent before another one that announces itself replaces it. The announcement may be a
/// late one of an instance that ended earlier, and a shorter silence doesn't show that the first one has ended: its
/// announcements may have gone to other control processes, which pass them on every [`REFRESH_INTERVAL`].
const RIVAL_SILENCE: time::Millis = time::Millis(5_000);

/// How long an instance may be silent before it is marked as [`State::Silent`] and is no longer present: several
/// announcements, which may be late by seconds.
pub const SILENCE_TIMEOUT: time::Millis = time::Millis(12_000);

/// Maximum number of instances that are kept: twice the endpoints of the largest intended fleet. Each takes about a
/// kilobyte, and anyone who can reach the port can announce any number of them.
pub const MAX_INSTANCES: usize = 20_000;

/// What is known of one instance; see [`Record`] for the fields that both have.
#[derive(Debug, Clone)]
struct Entry {
    instance: sync::Arc<Instance>,
    amended: u64,
    rank: u32,
    /// When its newest announcement was received.
    heard: time::Instant,
    /// Number of its latest change, be it an update or a refresh.
    changed: u64,
    /// Number of its latest update.
    update: u64,
    /// When its latest change was numbered.
    published: time::Instant,
    /// Whether it has ever said that it is leaving. It gets no new work from then on, whatever it announces later.
    leaving: bool,
    /// Of a replaced instance: since when it has announced itself while the other one was silent.
    contends_since: Option<time::Instant>,
}

/// The instances that one process knows.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    /// When this process was started; tells its cursors from those of an earlier one.
    start: u64,
    /// Number of the latest change.
    change: u64,
    /// Number of the latest update.
    last_update: u64,
    /// XOR of the digests of all instances.
    digest: u64,
    entries: collections::BTreeMap<InstanceId, Entry>,
    index: index::Index,
    /// For how long before the start of this process all instances are known, by the directories merged into this one.
    known_before_start: time::Millis,
}

/// A change of a directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The instance that changed.
    pub id: InstanceId,
    /// The number of the change, unique within this directory.
    pub number: u64,
}

/// A bounded number of changes that a peer doesn't know yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeBatch {
    /// The changes, in the order of their numbers.
    pub changes: Vec<Change>,
    /// The cursor of a peer that has received them.
    pub cursor: Cursor,
    /// Whether no changes follow.
    pub is_last: bool,
}

/// Services with the software versions of their instances, none for an unknown one.
pub type SoftwareVersions = collections::BTreeSet<(String, Option<String>)>;

/// Which changes a peer is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeFilter {
    /// Updates and refreshes.
    All,
    /// Updates only.
    Updates,
}

impl Directory {
    /// An empty directory of a process that was started at `start`.
    #[must_use]
    pub fn new(start: u64) -> Self {
        Self {
            start,
            ..Self::default()
        }
    }

    /// The cursor of a peer that knows the whole directory.
    #[must_use]
    pub fn cursor(&self) -> Cursor {
        Cursor {
            start: self.start,
            change: self.change,
        }
    }

    /// The cursor of the latest update.
    #[must_use]
    pub fn update_cursor(&self) -> Cursor {
        Cursor {
            start: self.start,
            change: self.last_update,
        }
    }

    /// Whether there are updates for a peer at `cursor`.
    #[must_use]
    pub fn has_updates(&self, cursor: Cursor) -> bool {
        cursor.start != self.start || self.last_update > cursor.change
    }

    /// A digest of the present instances and what they hold. Equal for directories that agree on these, and almost
    /// never for others.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Applies an announcement that an instance has just sent.
    pub fn announce(&mut self, now: time::Instant, instance: Instance) -> MergeOutcome {
        let (id, address) = (instance.id.clone(), instance.address);
        let is_first = instance.sequence <= FIRST_ANNOUNCEMENTS;
        let outcome = self.apply_announcement(now, instance);
        if !matches!(outcome, MergeOutcome::Stale | MergeOutcome::Full) {
            self.replace_rivals_at(now, &id, address, is_first);
        }
        outcome
    }

    fn apply_announcement(&mut self, now: time::Instant, instance: Instance) -> MergeOutcome {
        let mut record = Record::announced_now(instance);
        if let Some(entry) = self.entries.get(&record.instance.id) {
            record.amended = entry.amended;
            record.rank = entry.rank;
        }
        let outcome = if self.is_preceded_at_address(&record) {
            MergeOutcome::Stale
        } else {
            self.merge(now, record.clone())
        };
        if outcome == MergeOutcome::Stale && self.has_outlived(now, &record) {
            return self.reinstate(now, record);
        }
        outcome
    }

    /// Applies another directory's refresh of an instance.
    pub fn apply_refresh(&mut self, now: time::Instant, refresh: LivenessRefresh) {
        let Some(id) = self.index.by_short_key(refresh.key).cloned() else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if entry.instance.has_ended() || refresh.sequence < entry.instance.sequence {
            return;
        }
        if entry.instance.state == State::Silent {
            return self.revive(now, &id, refresh);
        }
        entry.heard = entry.heard.max(heard_at(now, refresh.age));
        if refresh.sequence == entry.instance.sequence {
            return;
        }
        sync::Arc::make_mut(&mut entry.instance).sequence = refresh.sequence;
        if now.since(entry.published) >= REFRESH_INTERVAL {
            self.record_refresh(now, &id);
        }
    }

    /// Makes a silent instance present again.
    fn revive(&mut self, now: time::Instant, id: &InstanceId, refresh: LivenessRefresh) {
        let Some(mut record) = self.record(now, id) else {
            return;
        };
        record.instance.state = State::Ready;
        record.instance.sequence = refresh.sequence;
        record.age = refresh.age;
        self.merge(now, record);
    }

    /// The refresh of an instance for a peer at `cursor`; none where the peer needs its record, or the instance
    /// isn't ready.
    #[must_use]
    pub fn liveness_refresh(
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

    /// Merges a record of another directory.
    pub fn merge(&mut self, now: time::Instant, record: Record) -> MergeOutcome {
        let Some(entry) = self.entries.get(&record.instance.id) else {
            return self.merge_first(now, record);
        };
        match entry.instance.state {
            State::Gone => MergeOutcome::Stale,
            State::Replaced => self.merge_replaced(now, record),
            State::Ready | State::Leaving | State::Silent => self.merge_known(now, record),
        }
    }

    /// Merges the first record of an instance.
    fn merge_first(&mut self, now: time::Instant, record: Record) -> MergeOutcome {
        if self.entries.len() >= MAX_INSTANCES {
            return MergeOutcome::Full;
        }
        match self.compare_first(now, &record) {
            succession::FirstRecord::NoRival => self.insert(now, record),
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

    /// Inserts an entry whose change has no number yet. Returns the one that it replaces.
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

    /// Numbers an update of an instance.
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

    /// Numbers a refresh of an instance.
    fn record_refresh(&mut self, now: time::Instant, id: &InstanceId) {
        self.change += 1;
        if let Some(entry) = self.entries.get_mut(id) {
            self.index.record_change(id, entry.changed, self.change);
            entry.changed = self.change;
            entry.published = now;
        }
    }

    /// Merges a further record of an instance that has not ended.
    fn merge_known(&mut self, now: time::Instant, mut record: Record) -> MergeOutcome {
        let id = record.instance.id.clone();
        let Some(entry) = self.entries.get_mut(&id) else {
            return MergeOutcome::Stale;
        };
        let known = (entry.instance.sequence, entry.amended);
        if record.instance.state == State::Leaving && record.version() <= known {
            // The instance is leaving even if a newer announcement says otherwise: it may have said so in a response,
            // and announce it only later.
            let is_new = self.mark_leaving(now, &id);
            return if is_new {
                MergeOutcome::Changed
            } else {
                MergeOutcome::Stale
            };
        }
        if record.instance.state == State::Replaced {
            if record.rank < entry.rank {
                return MergeOutcome::Stale;
            }
            if record.version() <= known {
                // Another process receives the announcements of the instance that runs at its address now.
                self.replace(now, &id);
                return MergeOutcome::Changed;
            }
        }
        entry.leaving |= record.instance.state == State::Leaving;
        if entry.leaving && record.instance.state == State::Ready {
            record.instance.state = State::Leaving;
        }
        let is_gone = record.instance.state == State::Gone;
        if record.instance.sequence >= entry.instance.sequence {
            entry.heard = entry.heard.max(heard_at(now, record.age));
        }
        entry.rank = entry.rank.max(record.rank);
        // Only a higher version replaces the known record. Otherwise two directories with different records of the
        // same version would exchange them forever.
        if record.version() <= known && !is_gone {
            let is_same = record.version() == known;
            return if is_same {
                MergeOutcome::Confirmed
            } else {
                MergeOutcome::Stale
            };
        }
        // A process that does not know of versions passes records on without them. The version of an instance is fixed.
        if record.instance.software_version.is_none() {
            let known = &entry.instance.software_version;
            record.instance.software_version.clone_from(known);
        }
        let is_update = entry.instance.differs(&record.instance) || record.amended > entry.amended;
        let is_due = now.since(entry.published) >= REFRESH_INTERVAL;
        entry.amended = entry.amended.max(record.amended);
        self.digest ^= entry.instance.digest() ^ record.instance.digest();
        let (before, address) = (entry.instance.address, record.instance.address);
        if before != address {
            self.index.remove_address(&id, before);
            self.index.add_address(&id, address);
        }
        entry.instance = sync::Arc::new(record.instance);
        if is_update {
            self.record_update(now, &id);
            return MergeOutcome::Changed;
        }
        if is_due {
            self.record_refresh(now, &id);
        }
        MergeOutcome::Confirmed
    }

    /// Amends an instance by what its announcements don't show yet, such as an adapter that the leader has ordered
    /// it to load. Returns false where the instance is unknown or has ended.
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

    /// Marks an instance as leaving, as it has said in an announcement or in a response. Returns whether that is
    /// new.
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

    /// Marks an instance as gone. Returns false where it is unknown or has already ended.
    pub fn mark_gone(&mut self, now: time::Instant, id: &InstanceId) -> bool {
        self.amend(now, id, |it| it.state = State::Gone)
    }

    /// Deregisters the instance `id` at its own request. Without a start time it means the known instance of the
    /// endpoint.
    ///
    /// A deregistration of an unknown instance is passed on as well: a control process that has just started knows
    /// no instances, while others still do.
    pub fn deregister(&mut self, now: time::Instant, id: &InstanceId) {
        let record = Record::announced_now(Instance::tombstone(id.clone()));
        match self.deregistered_instance(now, &record) {
            Some(meant) => drop(self.mark_gone(now, &meant)),
            None if self
                .instance(id)
                .is_some_and(|it| it.state != State::Replaced) => {}
            None => drop(self.merge(now, record)),
        }
    }

    /// Marks the instances as silent that have not announced themselves for [`SILENCE_TIMEOUT`], and removes those
    /// that ended long ago. Returns the ids of the former.
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

    /// Removes the instances that have been absent for [`ENDED_RETENTION`].
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

    /// The records that changed after `cursor`; all of them where the cursor belongs to an earlier process.
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

    /// At most `limit` changes after `cursor`, the first ones by number.
    #[must_use]
    pub fn changes_after(&self, cursor: Cursor, filter: ChangeFilter, limit: usize) -> ChangeBatch {
        let from = if cursor.start == self.start {
            cursor.change
        } else {
            0
        };
        let mut changes: Vec<_> = self
            .index
            .changes_after(from, filter)
            .take(limit.saturating_add(1))
            .collect();
        let is_last = changes.len() <= limit;
        changes.truncate(limit);
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

    /// The record of an instance that is passed on to other directories.
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

    /// The present instances, with the time since each was last heard from.
    pub fn present(&self, now: time::Instant) -> impl Iterator<Item = (&Instance, time::Millis)> {
        self.entries
            .values()
            .filter(|entry| entry.instance.is_present())
            .map(move |entry| (&*entry.instance, now.since(entry.heard)))
    }

    /// The instance at an address that has not ended. If there are several, the present one.
    #[must_use]
    pub fn instance_at(&self, address: net::SocketAddrV4) -> Option<&Instance> {
        let ids = self.index.by_address(address).iter();
        let instances = ids.filter_map(|id| self.instance(id));
        let instances = instances.filter(|it| !it.has_ended());
        instances.max_by_key(|it| it.is_present())
    }

    /// The present instances, for reading while the directory changes.
    #[must_use]
    pub fn snapshot(&self) -> Vec<sync::Arc<Instance>> {
        let instances = self.entries.values().map(|it| &it.instance);
        let present = instances.filter(|it| it.is_present());
        present.map(sync::Arc::clone).collect()
    }

    /// The present instance of the endpoint `name`, if one is known.
    #[must_use]
    pub fn current_instance(&self, name: &str) -> Option<&Instance> {
        let entry = self.current(name)?;
        entry.instance.is_present().then_some(&*entry.instance)
    }

    /// The instance with this id, whether it is present or not.
    #[must_use]
    pub fn instance(&self, id: &InstanceId) -> Option<&Instance> {
        self.entries.get(id).map(|it| &*it.instance)
    }

    /// Whether this instance has said that it is leaving, or has deregistered.
    #[must_use]
    pub fn is_leaving(&self, id: &InstanceId) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|it| it.leaving || it.instance.state == State::Gone)
    }

    /// For how long back this directory has all instances, up to [`ENDED_RETENTION`].
    #[must_use]
    pub fn reaches_back(&self, now: time::Instant) -> time::Millis {
        let since_start = now.since(time::Instant(0));
        (since_start + self.known_before_start).min(ENDED_RETENTION)
    }

    /// Records that another directory, of which this one has all changes, reaches back for `span`.
    pub fn extend_back(&mut self, now: time::Instant, span: time::Millis) {
        let since_start = now.since(time::Instant(0));
        let before = time::Millis(span.0.saturating_sub(since_start.0));
        self.known_before_start = self.known_before_start.max(before);
    }

    /// The software versions of all services' instances, present or ended; none while the directory has not all of them.
    #[must_use]
    pub fn software_versions(&self, now: time::Instant) -> Option<SoftwareVersions> {
        if self.reaches_back(now) < ENDED_RETENTION {
            return None;
        }
        let instances = self.entries.values().map(|it| &it.instance);
        let versions: collections::BTreeSet<_> = instances
            .map(|it| (&it.service, &it.software_version))
            .collect();
        let versions = versions.into_iter();
        Some(
            versions
                .map(|(service, version)| (service.clone(), version.clone()))
                .collect(),
        )
    }

    /// Adds the software versions that were known before a restart, each as an ended instance. Like other ended instances
    /// they are passed on and kept for [`ENDED_RETENTION`].
    pub fn remember_versions(&mut self, now: time::Instant, versions: SoftwareVersions) {
        for (service, software_version) in versions {
            // The name of an endpoint has no space.
            let name = format!(
                "{service} {}",
                software_version.as_deref().unwrap_or_default()
            );
            let instance = Instance {
                service,
                software_version,
                ..Instance::tombstone(InstanceId::new(&name, None))
            };
            self.merge(now, Record::announced_now(instance));
        }
        self.extend_back(now, ENDED_RETENTION);
    }

    /// Records that streams which the configuration `version` leads to `service` may have begun at another service: for as
    /// long as ended instances are kept, the service counts as one of several software versions.
    pub fn mark_mixed(&mut self, now: time::Instant, service: &str, version: u64) {
        // The name of an endpoint has no space.
        let name = format!("{service} before configuration {version}");
        let instance = Instance {
            service: service.to_owned(),
            software_version: Some(name.clone()),
            ..Instance::tombstone(InstanceId::new(&name, None))
        };
        self.merge(now, Record::announced_now(instance));
    }

    /// The software version of a service's instances, present or ended, if all have the same one.
    #[must_use]
    pub fn sole_version(&self, service: &str) -> Option<SoftwareKey> {
        let instances = self.entries.values().map(|it| &it.instance);
        // The service of an instance of which nothing but its end is known may be any.
        let mut of_service = instances.filter(|it| it.service == service || it.service.is_empty());
        let first = of_service.next()?;
        let software = first.software()?;
        let is_same = |it: &sync::Arc<Instance>| it.software_version == first.software_version;
        of_service.all(is_same).then_some(software)
    }

    /// The software versions of the instances of `services`, present or ended.
    #[must_use]
    pub fn software_of(
        &self,
        services: &collections::BTreeSet<&str>,
    ) -> collections::BTreeSet<SoftwareKey> {
        let instances = self.entries.values().map(|it| &it.instance);
        let of_services = instances.filter(|it| services.contains(it.service.as_str()));
        let versions: collections::BTreeSet<_> = of_services
            .filter_map(|it| Some((it.service.as_str(), it.software_version.as_deref()?)))
            .collect();
        let keys = versions.into_iter();
        keys.map(|(service, version)| SoftwareKey::new(service, version))
            .collect()
    }

    /// The present instances of endpoints that have recently been restarted.
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

/// When an announcement of this age was received.
fn heard_at(now: time::Instant, age: time::Millis) -> time::Instant {
    time::Instant(now.0.saturating_sub(age.0))
}
