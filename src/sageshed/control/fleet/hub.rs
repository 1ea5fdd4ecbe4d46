//! What a control process knows of a fleet's endpoints and entry processes, and who waits for news.

use std::{
    collections, net,
    sync::{self, mpsc},
    time as std_time,
};

use sageshed_fleet::{demand_counter, directory, messages, quarantine, versions};
use sageshed_types::time;

use super::{planning, watchers};
use crate::{locks, records, sampler};

/// How long an entry process counts as there after it was heard. It watches without a pause, and a
/// watch lasts a second at the most.
const ENTRY_TIMEOUT: time::Millis = time::Millis(3_000);

/// What is known, and who waits for a change of it. A watcher is answered by a `W`.
#[derive(Debug)]
pub struct Hub<W = sageshed_vms::Later> {
    /// Words of endpoints and of other processes that could not be read.
    pub misread: sampler::Sampler,
    inner: sync::Mutex<Inner<W>>,
    /// A round of answers to watchers is due.
    due: sync::Condvar,
    planning_tx: mpsc::SyncSender<planning::Input>,
    planning_rx: sync::Mutex<Option<mpsc::Receiver<planning::Input>>>,
}

#[derive(Debug)]
struct Inner<W> {
    watchers: watchers::Watchers<W>,
    directory: directory::Directory,
    /// Records of the directory as they travel.
    packed: collections::HashMap<directory::InstanceId, EncodedRecord>,
    /// Configurations that were held here.
    versions: versions::VersionHistory,
    /// Entry processes that this process hears itself.
    entries: collections::BTreeMap<net::Ipv4Addr, Entry>,
    /// Entry processes that another control process hears.
    entries_elsewhere: collections::BTreeMap<net::Ipv4Addr, time::Instant>,
    /// Up to where the directories of the other control processes are known here.
    peers: collections::BTreeMap<net::Ipv4Addr, directory::Cursor>,
    /// Where the other control processes are, as they said.
    control_zones: collections::BTreeMap<net::Ipv4Addr, String>,
    /// What callers asked for and the leader was not told yet.
    tally: demand_counter::DemandCounter,
    quarantine: quarantine::Quarantine,
    is_stopping: bool,
}

/// An entry process that is heard.
#[derive(Debug, Clone, Copy)]
struct Entry {
    at: time::Instant,
    /// The version of the configuration in force there.
    config: u64,
    /// Whether it was behind for [`LAGGING_AFTER`] when it was heard last.
    is_lagging: bool,
}

/// Entry processes whose configuration is not the newest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutdatedEntries {
    /// How many.
    pub count: usize,
    /// For how long the one that is behind most has been.
    pub longest: time::Millis,
}

/// An entry process whose configuration is older than the newest for this long is logged.
const LAGGING_AFTER: time::Millis = time::Millis(1_000);

/// Records in one answer to an entry process. The answers to all watchers that know nothing yet, after a start, have to
/// fit into the memory of the smallest VMs at once, and each into the time that its watcher waits.
const MAX_RECORDS: usize = 200;

/// Bytes of these records, if it is more than one. That of an engine with copies of hundreds of models has 15 KB.
const MAX_RECORD_BYTES: usize = 64 * 1024;

/// How long a record is passed on as it was encoded. It tells how old the word of its endpoint was at that moment; the
/// shortest time that is judged by that is several times as long.
const ENCODED_LIFETIME: time::Millis = time::Millis(500);

/// A record as it travels.
#[derive(Debug)]
struct EncodedRecord {
    /// The change that it tells of.
    number: u64,
    at: time::Instant,
    record: messages::EncodedRecord,
}

/// Lines a second on words that could not be read.
const MISREAD_LOGGED_PER_SECOND: u64 = 5;

/// Inputs for planning that may wait. What entry processes report comes again.
const PLANNING_QUEUE: usize = 4_096;

impl<W> Hub<W> {
    /// Knows nothing. `start` tells this start of the process from others.
    #[must_use]
    pub fn new(start: u64) -> Self {
        let (planning_tx, planning_rx) = mpsc::sync_channel(PLANNING_QUEUE);
        Self {
            misread: sampler::Sampler::new(MISREAD_LOGGED_PER_SECOND),
            inner: sync::Mutex::new(Inner {
                watchers: watchers::Watchers::default(),
                directory: directory::Directory::new(start),
                packed: collections::HashMap::new(),
                versions: versions::VersionHistory::default(),
                entries: collections::BTreeMap::new(),
                entries_elsewhere: collections::BTreeMap::new(),
                peers: collections::BTreeMap::new(),
                control_zones: collections::BTreeMap::new(),
                tally: demand_counter::DemandCounter::default(),
                quarantine: quarantine::Quarantine::new(start),
                is_stopping: false,
            }),
            due: sync::Condvar::new(),
            planning_tx,
            planning_rx: sync::Mutex::new(Some(planning_rx)),
        }
    }

    /// The inputs for the planning thread. Given once.
    pub fn take_planning(&self) -> Option<mpsc::Receiver<planning::Input>> {
        locks::lock(&self.planning_rx).take()
    }

    /// Takes the word of an endpoint.
    pub fn announce(
        &self,
        now: time::Instant,
        instance: directory::Instance,
    ) -> directory::MergeOutcome {
        self.change_directory(|it| it.announce(now, instance))
    }

    /// Takes an endpoint's word that it goes.
    pub fn leave(&self, now: time::Instant, id: &directory::InstanceId) {
        self.change_directory(|it| it.deregister(now, id));
    }

    /// Takes what entry processes were told in answers: that these endpoints leave.
    pub fn mark_leaving(&self, now: time::Instant, ids: &[directory::InstanceId]) {
        if ids.is_empty() {
            return;
        }
        self.change_directory(|it| {
            for id in ids {
                if it.mark_leaving(now, id) {
                    ::log::info!(endpoint:% = id; "control: endpoint leaves, by its answers");
                }
            }
        });
    }

    /// Takes what the leader's orders did to an engine.
    pub fn amend(
        &self,
        now: time::Instant,
        id: &directory::InstanceId,
        amend: impl FnOnce(&mut directory::Instance),
    ) {
        self.change_directory(|it| it.amend(now, id, amend));
    }

    /// Takes what another control process passes on.
    pub fn merge(&self, now: time::Instant, records: Vec<directory::Record>) {
        self.change_directory(|it| {
            for record in records {
                it.merge(now, record);
            }
        });
    }

    /// Takes another control process's word of which endpoints live.
    pub fn confirm(&self, now: time::Instant, alive: &[directory::LivenessRefresh]) {
        if alive.is_empty() {
            return;
        }
        self.change_directory(|it| {
            for one in alive {
                it.confirm(now, *one);
            }
        });
    }

    /// A configuration with this number is held now.
    pub fn set_config(&self, now: time::Instant, version: u64) {
        let is_news = self.change(|inner| {
            let is_news = inner.versions.newest() < version;
            inner.versions.note(now, version);
            is_news
        });
        if is_news {
            self.notify_watchers(watchers::Urgency::Immediate);
        }
    }

    /// Takes those for gone that were silent for too long. Returns their ids.
    pub fn expire(&self, now: time::Instant) -> Vec<directory::InstanceId> {
        self.change(|inner| {
            let recent = |at: &time::Instant| now.since(*at) < ENTRY_TIMEOUT;
            inner.entries.retain(|_, entry| recent(&entry.at));
            inner.entries_elsewhere.retain(|_, at| recent(at));
            let directory = &inner.directory;
            inner
                .packed
                .retain(|id, _| directory.instance(id).is_some());
        });
        self.change_directory(|it| it.expire(now))
    }

    /// The process stops: nobody is kept waiting.
    pub fn stop(&self) {
        self.change(|inner| inner.is_stopping = true);
        self.notify_watchers(watchers::Urgency::Immediate);
    }

    fn notify_watchers(&self, urgency: watchers::Urgency) {
        if self.change(|inner| inner.watchers.note_change(urgency)) {
            self.due.notify_one();
        }
    }

    /// Has `to` answered once something is newer than what `req` knows, or its patience is over.
    pub fn watch(&self, req: messages::WatchReq, responder: W) {
        let is_due_sooner = self.change(|inner| {
            let has_news = inner.has_updates_for(&req);
            let was_noted = has_news && inner.watchers.note_change(watchers::Urgency::Batched);
            inner.watchers.add(std_time::Instant::now(), req, responder) || was_noted
        });
        if is_due_sooner {
            self.due.notify_one();
        }
    }

    /// Waits for the next round of answers, and takes the watchers that are to be answered in it.
    #[must_use]
    pub fn next_round(&self) -> Vec<watchers::Watcher<W>> {
        let mut inner = locks::lock(&self.inner);
        loop {
            let now = std_time::Instant::now();
            let due = inner.take_due(now);
            if !due.is_empty() {
                return due;
            }
            inner = if let Some(wait) = inner.watchers.next_round(now) {
                let woken = self.due.wait_timeout(inner, wait);
                woken.unwrap_or_else(sync::PoisonError::into_inner).0
            } else {
                let woken = self.due.wait(inner);
                woken.unwrap_or_else(sync::PoisonError::into_inner)
            };
        }
    }

    /// Takes note of who watches.
    pub fn note_watcher(&self, now: time::Instant, req: &messages::WatchReq) {
        self.change(|inner| match req.watcher {
            messages::Watcher::Entry => inner.record_entry(now, req),
            messages::Watcher::Control => {
                let zone = req.availability_zone.clone();
                inner.control_zones.insert(req.ip, zone);
                let entries = req.entries.iter().map(|ip| (*ip, now));
                inner.entries_elsewhere.extend(entries);
            }
        });
    }

    /// The entry processes that this process hears itself.
    #[must_use]
    pub fn own_entries(&self) -> Vec<net::Ipv4Addr> {
        locks::lock(&self.inner).entries.keys().copied().collect()
    }

    /// The entry processes heard here whose configuration is not the newest.
    #[must_use]
    pub fn outdated_entries(&self, now: time::Instant) -> OutdatedEntries {
        let inner = locks::lock(&self.inner);
        let entries = inner.entries.values();
        let behind = entries.filter_map(|it| inner.versions.behind(now, it.config));
        behind.fold(OutdatedEntries::default(), |all, one| OutdatedEntries {
            count: all.count + 1,
            longest: all.longest.max(one),
        })
    }

    /// The entry processes that are there, in order.
    #[must_use]
    pub fn entries(&self) -> Vec<net::Ipv4Addr> {
        let inner = locks::lock(&self.inner);
        let own = inner.entries.keys();
        let all: collections::BTreeSet<_> = own.chain(inner.entries_elsewhere.keys()).collect();
        all.into_iter().copied().collect()
    }

    /// What is newer than what `req` knows.
    #[must_use]
    pub fn updates(&self, now: time::Instant, req: &messages::WatchReq) -> Updates {
        let mut inner = locks::lock(&self.inner);
        let passing = match req.wants {
            messages::DirectoryDetail::All => Some(directory::ChangeFilter::All),
            messages::DirectoryDetail::News => Some(directory::ChangeFilter::Updates),
            messages::DirectoryDetail::Digest => None,
        };
        let (most, most_bytes) = match req.watcher {
            messages::Watcher::Entry => (MAX_RECORDS, MAX_RECORD_BYTES),
            // Few, and each needs every sign of life in time: by half of them endpoints seem silent.
            messages::Watcher::Control => (usize::MAX, usize::MAX),
        };
        let portion = passing.map(|it| inner.directory.changes_after(req.mark, it, most));
        let told = portion.map_or_else(
            // Without the records nothing more is known than before.
            || DirectoryUpdate::nothing(req.mark),
            |it| inner.encode_portion(now, req, it, most_bytes),
        );
        Updates {
            mark: told.mark,
            records: told.records,
            alive: told.alive,
            has_more: told.has_more,
            digest: inner.directory.digest(),
            digest_mark: inner.directory.cursor(),
            news_mark: inner.directory.update_cursor(),
            config: inner.versions.newest(),
            crashes_mark: inner.quarantine.cursor(),
            crashes: req.crashes_known.map_or_else(Vec::new, |mark| {
                inner.quarantine.since(now, mark, sync_scope(req))
            }),
        }
    }

    /// The directory of another control process is known up to `mark`.
    pub fn set_peer_cursor(&self, ip: net::Ipv4Addr, mark: directory::Cursor) {
        self.change(|inner| inner.peers.insert(ip, mark));
    }

    /// Up to where the directories of the other control processes are known.
    #[must_use]
    pub fn peers(&self) -> Vec<(net::Ipv4Addr, directory::Cursor)> {
        let inner = locks::lock(&self.inner);
        inner.peers.iter().map(|(ip, mark)| (*ip, *mark)).collect()
    }

    /// Where another control process is, if it has said so.
    #[must_use]
    pub fn control_zone(&self, ip: net::Ipv4Addr) -> Option<String> {
        locks::lock(&self.inner).control_zones.get(&ip).cloned()
    }

    /// The instances that are there, and their latest word.
    #[must_use]
    pub fn present(&self) -> Vec<sync::Arc<directory::Instance>> {
        locks::lock(&self.inner).directory.snapshot()
    }

    /// The instances that are there and followed another start of their endpoint lately.
    #[must_use]
    pub fn restarted(&self) -> Vec<directory::InstanceId> {
        locks::lock(&self.inner).directory.restarted()
    }

    /// Hands what callers asked for to the planning thread.
    pub fn demand(&self, demand: Vec<messages::Demand>) {
        if !demand.is_empty() {
            self.plan(planning::Input::Demand(demand));
        }
    }

    /// What callers asked for and the leader was not told yet.
    pub fn with_demand<T>(&self, tell: impl FnOnce(&mut demand_counter::DemandCounter) -> T) -> T {
        self.change(|inner| tell(&mut inner.tally))
    }

    /// Takes crashes that another process tells of, and wakes those who are to know.
    pub fn merge_crashes(&self, now: time::Instant, crashes: &[quarantine::Crash]) {
        if crashes.is_empty() {
            return;
        }
        let taken = self.change(|inner| inner.quarantine.merge_all(now, crashes));
        for content in &taken.held {
            ::log::warn!(content:% = content, ends = quarantine::CRASH_LIMIT;
                "control: request is held, endpoints ended under it");
        }
        for content in &taken.released {
            ::log::info!(content:% = content; "control: request is held no more, it was answered");
        }
        if taken.has_changes {
            self.notify_watchers(watchers::Urgency::Immediate);
        }
    }

    /// Takes which requests are held by the replicated log.
    pub fn restore_held(&self, now: time::Instant, held: &[quarantine::Held]) {
        let is_news = self.change(|inner| {
            let before = inner.quarantine.cursor();
            inner.quarantine.restore(now, held);
            inner.quarantine.cursor() != before
        });
        if is_news {
            ::log::info!(requests = held.len(); "control: requests are held by the log");
            self.notify_watchers(watchers::Urgency::Immediate);
        }
    }

    /// Looks at which requests endpoints have ended under.
    pub fn with_quarantine<T>(&self, look: impl FnOnce(&mut quarantine::Quarantine) -> T) -> T {
        self.change(|inner| look(&mut inner.quarantine))
    }

    /// Hands a want to the planning thread.
    pub fn request_adapter(&self, want: messages::AdapterReq) {
        self.plan(planning::Input::Want(want));
    }

    /// Hands something to the planning thread.
    pub fn plan(&self, input: planning::Input) {
        if self.planning_tx.try_send(input).is_err() {
            ::log::warn!("control: planning is behind, an input is dropped");
        }
    }

    /// Changes the directory, and wakes those who watch it where there is news by that.
    ///
    /// Signs of life are no news: each would cost an answer to each watcher, mostly with nothing to use.
    fn change_directory<T>(&self, change: impl FnOnce(&mut directory::Directory) -> T) -> T {
        let (made, is_news) = self.change(|inner| {
            let before = inner.directory.cursor();
            let made = change(&mut inner.directory);
            (made, inner.directory.has_updates(before))
        });
        if is_news {
            self.notify_watchers(watchers::Urgency::Batched);
        }
        made
    }

    fn change<T>(&self, change: impl FnOnce(&mut Inner<W>) -> T) -> T {
        change(&mut locks::lock(&self.inner))
    }
}

impl<W> Inner<W> {
    /// Takes the watchers that are to be answered now.
    fn take_due(&mut self, now: std_time::Instant) -> Vec<watchers::Watcher<W>> {
        let mut watchers = std::mem::take(&mut self.watchers);
        let due = watchers.take_due(now, |req| self.has_updates_for(req));
        self.watchers = watchers;
        due
    }

    /// The records of a portion as they travel, as many as so many bytes hold, and one at least.
    fn encode_portion(
        &mut self,
        now: time::Instant,
        req: &messages::WatchReq,
        portion: directory::ChangeBatch,
        most_bytes: usize,
    ) -> DirectoryUpdate {
        let mut told = DirectoryUpdate::nothing(portion.cursor);
        told.has_more = !portion.is_last;
        let mut bytes = 0;
        let mut last = None;
        for change in portion.changes {
            let alive = self.directory.alive(now, &change.id, req.mark);
            if let Some(alive) = alive.filter(|_| req.takes_alive) {
                last = Some(change.number);
                told.alive.push(alive);
                continue;
            }
            let record = self.encode_record(now, &change);
            bytes += record.as_ref().map_or(0, |it| it.0.len());
            if let Some(number) = last.filter(|_| bytes > most_bytes) {
                told.mark.change = number;
                told.has_more = true;
                break;
            }
            last = Some(change.number);
            told.records.extend(record);
        }
        told
    }

    /// The record of a change as it travels, encoded once for all watchers.
    ///
    /// Encoded for each of some hundred watchers anew, the records of a fleet took all of the processor, and the watchers
    /// were answered too late.
    fn encode_record(
        &mut self,
        now: time::Instant,
        change: &directory::Change,
    ) -> Option<messages::EncodedRecord> {
        let known = self.packed.get(&change.id);
        let is_fresh =
            |it: &&EncodedRecord| it.number == change.number && now.since(it.at) < ENCODED_LIFETIME;
        if let Some(packed) = known.filter(is_fresh) {
            return Some(packed.record.clone());
        }
        let record = self.directory.record(now, &change.id);
        let record = record.and_then(|it| records::pack(&it))?;
        let packed = EncodedRecord {
            number: change.number,
            at: now,
            record: record.clone(),
        };
        self.packed.insert(change.id.clone(), packed);
        Some(record)
    }

    /// Takes note of an entry process, and logs when its configuration becomes or no longer is out of date.
    fn record_entry(&mut self, now: time::Instant, req: &messages::WatchReq) {
        let behind = self.versions.behind(now, req.config);
        let is_lagging = behind.is_some_and(|it| it >= LAGGING_AFTER);
        let entry = Entry {
            at: now,
            config: req.config,
            is_lagging,
        };
        let before = self.entries.insert(req.ip, entry);
        if before.is_some_and(|it| it.is_lagging) == is_lagging {
            return;
        }
        let newest = self.versions.newest();
        if is_lagging {
            ::log::warn!(entry:% = req.ip, version = req.config, newest, behind_ms = behind.unwrap_or_default().0;
                "control: configuration of an entry process is out of date");
        } else {
            ::log::info!(entry:% = req.ip, version = req.config;
                "control: configuration of an entry process is up to date again");
        }
    }

    /// Whether a watcher is to be told of a newer configuration. One that was told fetches it, which takes a while.
    fn has_config_for(&self, req: &messages::WatchReq) -> bool {
        self.versions.newest() > req.config.max(req.config_told.unwrap_or(0))
    }

    /// Whether there is something for a watcher.
    fn has_updates_for(&self, req: &messages::WatchReq) -> bool {
        let has_news =
            req.wants != messages::DirectoryDetail::Digest && self.directory.has_updates(req.mark);
        let crashes_known = req.crashes_known;
        let has_crashes =
            crashes_known.is_some_and(|it| self.quarantine.has_news(it, sync_scope(req)));
        has_news || has_crashes || self.has_config_for(req) || self.is_stopping
    }
}

/// What of the crashes a watcher is to be told.
fn sync_scope(req: &messages::WatchReq) -> quarantine::SyncScope {
    match req.watcher {
        messages::Watcher::Control => quarantine::SyncScope::All,
        messages::Watcher::Entry => quarantine::SyncScope::Held,
    }
}

/// What a watcher is told of the directory.
#[derive(Debug)]
struct DirectoryUpdate {
    /// Up to where it knows the directory then.
    mark: directory::Cursor,
    records: Vec<messages::EncodedRecord>,
    alive: Vec<directory::LivenessRefresh>,
    has_more: bool,
}

impl DirectoryUpdate {
    fn nothing(mark: directory::Cursor) -> Self {
        Self {
            mark,
            records: Vec::new(),
            alive: Vec::new(),
            has_more: false,
        }
    }
}

/// What is newer than what a watcher knows.
#[derive(Debug)]
pub struct Updates {
    /// Up to where the directory is known with it.
    pub mark: directory::Cursor,
    /// What changed in the directory, as far as it goes into one answer.
    pub records: Vec<messages::EncodedRecord>,
    /// Of which instances nothing changed but that they were heard.
    pub alive: Vec<directory::LivenessRefresh>,
    /// Whether there is more.
    pub has_more: bool,
    /// The digest of the directory.
    pub digest: u64,
    /// Up to where the directory has that digest.
    pub digest_mark: directory::Cursor,
    /// Its last change that was news.
    pub news_mark: directory::Cursor,
    /// The number of the configuration that is held.
    pub config: u64,
    /// Up to where crashes are known with it.
    pub crashes_mark: quarantine::Cursor,
    /// What was learnt of them.
    pub crashes: Vec<quarantine::Crash>,
}
