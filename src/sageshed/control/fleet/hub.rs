//! The state of a fleet at a control process: its endpoints, its entry processes, and the watchers that wait for
//! changes.

use std::{
    collections, net,
    sync::{self, mpsc},
    time as std_time,
};

use sageshed_fleet::{demand_counter, directory, messages, quarantine, replication, versions};
use sageshed_types::time;

use super::{planning, planning_queue, watchers};
use crate::{locks, records, sampler};

/// How long an entry process counts as present after its last call. It watches without a pause, and a long poll
/// lasts one second at most.
const ENTRY_TIMEOUT: time::Millis = time::Millis(3_000);

/// The known state, and the watchers that wait for a change of it. `W` is the handle that answers a watcher.
#[derive(Debug)]
pub struct Hub<W = sageshed_vms::Later> {
    /// Limits the log records about messages of endpoints and of other processes that could not be decoded.
    pub misread: sampler::Sampler,
    inner: sync::Mutex<Inner<W>>,
    /// Notified when a round of answers to watchers becomes due sooner.
    due: sync::Condvar,
    /// Notified when another control process reports up to where it knows the directory.
    followed: sync::Condvar,
    planning_tx: mpsc::SyncSender<planning::Input>,
    results_tx: mpsc::Sender<planning::Input>,
    planning_rx: sync::Mutex<Option<planning_queue::Inputs>>,
}

#[derive(Debug)]
struct Inner<W> {
    watchers: watchers::Watchers<W>,
    directory: directory::Directory,
    /// Encoded records of the directory.
    packed: collections::HashMap<directory::InstanceId, EncodedRecord>,
    /// The versions of the configuration that this process has held.
    versions: versions::VersionHistory,
    /// The entry processes that watch this process.
    entries: collections::BTreeMap<net::Ipv4Addr, Entry>,
    /// The entry processes that have been told to stop, and when each called last. They are not listed, though other
    /// control processes may still report them.
    entries_stopping: collections::BTreeMap<net::Ipv4Addr, time::Instant>,
    /// The entry processes that watch other control processes, and when those reported them.
    entries_elsewhere: collections::BTreeMap<net::Ipv4Addr, time::Instant>,
    /// Up to which change the directories of the other control processes are known here.
    peers: replication::Positions,
    /// Up to which change the other control processes know the directory of this one.
    followers: replication::Positions,
    /// The availability zones that the other control processes have reported.
    control_zones: collections::BTreeMap<net::Ipv4Addr, String>,
    /// The demand of callers that was not reported to the leader yet.
    unreported_demand: demand_counter::DemandCounter,
    quarantine: quarantine::Quarantine,
    /// The version of the configuration up to which routes were compared.
    routes_compared: u64,
    is_stopping: bool,
}

/// An entry process that watches this process.
#[derive(Debug, Clone, Copy)]
struct Entry {
    at: time::Instant,
    /// The version of the configuration in force there.
    config: u64,
    /// Whether its configuration had been out of date for [`LAGGING_AFTER`] at its last call.
    is_lagging: bool,
}

/// The entry processes whose configuration is not the newest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutdatedEntries {
    /// How many there are.
    pub count: usize,
    /// The longest time that one of them has been out of date.
    pub longest: time::Millis,
}

/// How far this process and another control process know each other's directories.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerSync {
    /// The number of changes of this process's directory that the other one does not know.
    pub lag: u64,
    /// The time since this process received all changes of the other one's directory.
    pub silence: time::Millis,
}

/// An entry process whose configuration has been out of date for this long is logged.
const LAGGING_AFTER: time::Millis = time::Millis(1_000);

/// The most records in one response to an entry process. After a start, the responses to all watchers, which know
/// nothing yet, have to fit into the memory of the smallest VMs at once, and each has to arrive before its watcher
/// times out.
const MAX_RECORDS: usize = 200;

/// The most bytes of these records, unless a single record is larger. The record of an engine with cached weights of
/// hundreds of models takes 15 KB.
const MAX_RECORD_BYTES: usize = 64 * 1024;

/// How long an encoded record is reused. It contains the age of the endpoint's announcement at the time of encoding, so
/// reuse makes the announcement seem younger. The shortest timeout that is checked against this age is several times as
/// long.
const ENCODED_LIFETIME: time::Millis = time::Millis(500);

/// A record encoded for the wire.
#[derive(Debug)]
struct EncodedRecord {
    /// The number of the change that it contains.
    number: u64,
    at: time::Instant,
    record: messages::EncodedRecord,
}

/// The most log records per second about messages that could not be decoded.
const MISREAD_LOGGED_PER_SECOND: u64 = 5;

/// The most inputs that wait for the planning thread. Further ones are dropped; what entry processes report, they
/// report again.
const MAX_QUEUED_INPUTS: usize = 4_096;

impl<W> Hub<W> {
    /// Creates an empty hub. `start` distinguishes this start of the process from others.
    #[must_use]
    pub fn new(start: u64) -> Self {
        let (planning_tx, reported) = mpsc::sync_channel(MAX_QUEUED_INPUTS);
        let (results_tx, results) = mpsc::channel();
        Self {
            misread: sampler::Sampler::new(MISREAD_LOGGED_PER_SECOND),
            inner: sync::Mutex::new(Inner {
                watchers: watchers::Watchers::default(),
                directory: directory::Directory::new(start),
                packed: collections::HashMap::new(),
                versions: versions::VersionHistory::default(),
                entries: collections::BTreeMap::new(),
                entries_stopping: collections::BTreeMap::new(),
                entries_elsewhere: collections::BTreeMap::new(),
                peers: replication::Positions::default(),
                followers: replication::Positions::default(),
                control_zones: collections::BTreeMap::new(),
                unreported_demand: demand_counter::DemandCounter::default(),
                quarantine: quarantine::Quarantine::new(start),
                routes_compared: 0,
                is_stopping: false,
            }),
            due: sync::Condvar::new(),
            followed: sync::Condvar::new(),
            planning_tx,
            results_tx,
            planning_rx: sync::Mutex::new(Some(planning_queue::Inputs { reported, results })),
        }
    }

    /// Takes the planning thread's inputs; none if it was taken before.
    pub fn take_planning(&self) -> Option<planning_queue::Inputs> {
        locks::lock(&self.planning_rx).take()
    }

    /// Merges the announcement of an endpoint. Also returns the position of a process that knows it.
    pub fn announce(
        &self,
        now: time::Instant,
        instance: directory::Instance,
    ) -> (directory::MergeOutcome, directory::Cursor) {
        self.change_directory(|it| (it.announce(now, instance), it.update_cursor()))
    }

    /// Records that an endpoint has announced its end. Returns the position of a process that knows it.
    pub fn leave(&self, now: time::Instant, id: &directory::InstanceId) -> directory::Cursor {
        self.change_directory(|it| {
            it.deregister(now, id);
            it.update_cursor()
        })
    }

    /// Waits until `is_enough` holds for the positions of the other control processes in this directory, for `timeout`
    /// at most. Returns whether it holds.
    pub fn wait_for_followers(
        &self,
        timeout: std_time::Duration,
        is_enough: impl Fn(&replication::Positions) -> bool,
    ) -> bool {
        let inner = locks::lock(&self.inner);
        let waited = self
            .followed
            .wait_timeout_while(inner, timeout, |inner| !is_enough(&inner.followers));
        let (_inner, result) = waited.unwrap_or_else(sync::PoisonError::into_inner);
        !result.timed_out()
    }

    /// Marks endpoints as leaving that have reported so in their responses to other processes.
    pub fn mark_leaving(&self, now: time::Instant, ids: &[directory::InstanceId]) {
        if ids.is_empty() {
            return;
        }
        self.change_directory(|it| {
            for id in ids {
                if it.mark_leaving(now, id) {
                    ::log::info!(endpoint:% = id; "control: endpoint is leaving, by its responses");
                }
            }
        });
    }

    /// Amends the record of an engine by the effect of the leader's orders.
    pub fn amend(
        &self,
        now: time::Instant,
        id: &directory::InstanceId,
        amend: impl FnOnce(&mut directory::Instance),
    ) {
        self.change_directory(|it| it.amend(now, id, amend));
    }

    /// Merges records that another control process has sent.
    pub fn merge(&self, now: time::Instant, records: Vec<directory::Record>) {
        self.change_directory(|it| {
            for record in records {
                it.merge(now, record);
            }
        });
    }

    /// Applies signs of life that another control process has received from endpoints.
    pub fn confirm(&self, now: time::Instant, alive: &[directory::LivenessRefresh]) {
        if alive.is_empty() {
            return;
        }
        self.change_directory(|it| {
            for one in alive {
                it.apply_refresh(now, *one);
            }
        });
    }

    /// Records that this process holds the configuration of this version, and tells watchers if it is newer.
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

    /// The version of the configuration that watchers are told of; zero for none.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        locks::lock(&self.inner).versions.newest()
    }

    /// Removes entry processes and endpoints that were silent for too long. Returns the ids of the endpoints.
    pub fn expire(&self, now: time::Instant) -> Vec<directory::InstanceId> {
        self.change(|inner| {
            let recent = |at: &time::Instant| now.since(*at) < ENTRY_TIMEOUT;
            inner.entries.retain(|_, entry| recent(&entry.at));
            inner.entries_stopping.retain(|_, at| recent(at));
            inner.entries_elsewhere.retain(|_, at| recent(at));
            let directory = &inner.directory;
            inner
                .packed
                .retain(|id, _| directory.instance(id).is_some());
        });
        self.change_directory(|it| it.expire(now))
    }

    /// Has all watchers answered, since the process stops.
    pub fn stop(&self) {
        self.change(|inner| inner.is_stopping = true);
        self.notify_watchers(watchers::Urgency::Immediate);
    }

    fn notify_watchers(&self, urgency: watchers::Urgency) {
        if self.change(|inner| inner.watchers.note_change(urgency)) {
            self.due.notify_one();
        }
    }

    /// Adds a watcher, which is answered once there is a change that `req` does not know, or its timeout has passed.
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

    /// Waits for the next round of answers, and returns the watchers to answer in it.
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

    /// Records the process that sends `req`, and the entry processes that it reports.
    pub fn note_watcher(&self, now: time::Instant, req: &messages::WatchReq) {
        self.change(|inner| match req.watcher {
            messages::Watcher::Entry => inner.record_entry(now, req),
            messages::Watcher::Control => {
                let zone = req.availability_zone.clone();
                inner.control_zones.insert(req.ip, zone);
                inner.followers.record(now, req.ip, req.mark);
                let entries = req.entries.iter().map(|ip| (*ip, now));
                inner.entries_elsewhere.extend(entries);
                self.followed.notify_all();
            }
        });
    }

    /// The entry processes that watch this process.
    #[must_use]
    pub fn own_entries(&self) -> Vec<net::Ipv4Addr> {
        locks::lock(&self.inner).entries.keys().copied().collect()
    }

    /// Counts the entry processes that watch this process and whose configuration is not the newest.
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

    /// All present entry processes that have not been told to stop, in the order of their addresses.
    #[must_use]
    pub fn entries(&self) -> Vec<net::Ipv4Addr> {
        let inner = locks::lock(&self.inner);
        let own = inner.entries.keys();
        let all: collections::BTreeSet<_> = own.chain(inner.entries_elsewhere.keys()).collect();
        let stopping = &inner.entries_stopping;
        let listed = all.into_iter().filter(|it| !stopping.contains_key(it));
        listed.copied().collect()
    }

    /// The changes that the sender of `req` does not know.
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
            // Control processes are few, and each needs every sign of life in time: with only a part of them,
            // endpoints would seem silent.
            messages::Watcher::Control => (usize::MAX, usize::MAX),
        };
        let portion = passing.map(|it| inner.directory.changes_after(req.mark, it, most));
        let update = portion.map_or_else(
            // Without records the position of the watcher does not advance.
            || DirectoryUpdate::nothing(req.mark),
            |it| inner.encode_portion(now, req, it, most_bytes),
        );
        Updates {
            mark: update.mark,
            records: update.records,
            alive: update.alive,
            has_more: update.has_more,
            digest: inner.directory.digest(),
            digest_mark: inner.directory.cursor(),
            news_mark: inner.directory.update_cursor(),
            reaches_back: inner.directory.reaches_back(now),
            routes_compared: inner.routes_compared,
            config: inner.versions.newest(),
            crashes_mark: inner.quarantine.cursor(),
            crashes: req.crashes_known.map_or_else(Vec::new, |mark| {
                inner.quarantine.since(now, mark, sync_scope(req))
            }),
        }
    }

    /// Records that the directory of another control process, which has all endpoints of the time `reaches_back`, is
    /// known up to `mark`.
    pub fn set_peer_cursor(
        &self,
        now: time::Instant,
        ip: net::Ipv4Addr,
        mark: directory::Cursor,
        reaches_back: time::Millis,
    ) {
        self.change(|inner| {
            inner.directory.extend_back(now, reaches_back);
            inner.peers.record(now, ip, mark);
        });
    }

    /// Up to which change the directories of the other control processes are known.
    #[must_use]
    pub fn peers(&self) -> Vec<(net::Ipv4Addr, directory::Cursor)> {
        locks::lock(&self.inner).peers.iter().collect()
    }

    /// How far the control process at `ip` and this one know each other's directories; none before they have exchanged
    /// them.
    #[must_use]
    pub fn peer_sync(&self, now: time::Instant, ip: net::Ipv4Addr) -> Option<PeerSync> {
        let inner = locks::lock(&self.inner);
        Some(PeerSync {
            lag: inner.followers.lag(ip, inner.directory.update_cursor())?,
            silence: inner.peers.silence(now, ip)?,
        })
    }

    /// The availability zone of another control process, if it has reported one.
    #[must_use]
    pub fn control_zone(&self, ip: net::Ipv4Addr) -> Option<String> {
        locks::lock(&self.inner).control_zones.get(&ip).cloned()
    }

    /// Records that the configuration `version` leads streams of other services to `services`; see
    /// [`directory::Directory::mark_mixed`].
    pub fn mark_mixed<'s>(
        &self,
        now: time::Instant,
        services: impl IntoIterator<Item = &'s String>,
        version: u64,
    ) {
        self.change_directory(|it| {
            for service in services {
                it.mark_mixed(now, service, version);
            }
        });
    }

    /// Records that the routes of the configuration `version` were compared with those before.
    pub fn set_routes_compared(&self, version: u64) {
        self.change(|inner| inner.routes_compared = version);
    }

    /// The software versions of endpoints; see [`directory::Directory::software_versions`].
    #[must_use]
    pub fn software_versions(&self, now: time::Instant) -> Option<directory::SoftwareVersions> {
        locks::lock(&self.inner).directory.software_versions(now)
    }

    /// Adds the software versions that were known before the start; see [`directory::Directory::remember_versions`].
    pub fn remember_versions(&self, now: time::Instant, versions: directory::SoftwareVersions) {
        self.change_directory(|it| it.remember_versions(now, versions));
    }

    /// All present instances, as they were announced last.
    #[must_use]
    pub fn present(&self) -> Vec<sync::Arc<directory::Instance>> {
        locks::lock(&self.inner).directory.snapshot()
    }

    /// The present instances that have recently replaced another one of the same endpoint.
    #[must_use]
    pub fn restarted(&self) -> Vec<directory::InstanceId> {
        locks::lock(&self.inner).directory.restarted()
    }

    /// Hands the demand of callers to the planning thread.
    pub fn demand(&self, demand: Vec<messages::Demand>) {
        if !demand.is_empty() {
            self.plan(planning::Input::Demand(demand));
        }
    }

    /// Runs `tell` on the demand that was not reported to the leader yet.
    pub fn with_demand<T>(&self, tell: impl FnOnce(&mut demand_counter::DemandCounter) -> T) -> T {
        self.change(|inner| tell(&mut inner.unreported_demand))
    }

    /// Merges crashes that another process reports, and answers watchers at once if they have to know.
    pub fn merge_crashes(&self, now: time::Instant, crashes: &[quarantine::Crash]) {
        if crashes.is_empty() {
            return;
        }
        let taken = self.change(|inner| inner.quarantine.merge_all(now, crashes));
        for content in &taken.quarantined {
            ::log::warn!(content:% = content, kind:% = content.kind();
                "control: request is quarantined, endpoints crashed while running it");
        }
        for content in &taken.released {
            ::log::info!(content:% = content, kind:% = content.kind(); "control: request is no longer quarantined, it was answered");
        }
        if taken.has_changes {
            self.notify_watchers(watchers::Urgency::Immediate);
        }
    }

    /// Applies the quarantined requests that the replicated log has stored.
    pub fn restore_held(&self, now: time::Instant, held: &[quarantine::QuarantinedRequest]) {
        let is_news = self.change(|inner| {
            let before = inner.quarantine.cursor();
            inner.quarantine.restore(now, held);
            inner.quarantine.cursor() != before
        });
        if is_news {
            ::log::info!(requests = held.len(); "control: quarantined requests restored from the log");
            self.notify_watchers(watchers::Urgency::Immediate);
        }
    }

    /// Runs `look` on the recorded crashes and quarantined requests.
    pub fn with_quarantine<T>(&self, look: impl FnOnce(&mut quarantine::Quarantine) -> T) -> T {
        self.change(|inner| look(&mut inner.quarantine))
    }

    /// Hands the request for an adapter to the planning thread.
    pub fn request_adapter(&self, want: messages::AdapterReq) {
        self.plan(planning::Input::AdapterRequest(want));
    }

    /// Hands an input to the planning thread. It is dropped if the queue is full.
    pub fn plan(&self, input: planning::Input) {
        if self.planning_tx.try_send(input).is_err() {
            ::log::warn!("control: planning queue is full, dropped an input");
        }
    }

    /// Hands the result of an order or a report query to the planning thread. It is never dropped.
    pub fn plan_result(&self, result: planning::Input) {
        if self.results_tx.send(result).is_err() {
            return ::log::info!(
                "control: planning has ended, a result of an order or query is left out"
            );
        }
        // Where the queue is full, the planning thread doesn't wait.
        let _ = self.planning_tx.try_send(planning::Input::Wake);
    }

    /// Changes the directory, and tells watchers if the change concerns them.
    ///
    /// Signs of life do not: each would cost a response to each watcher, mostly without useful content.
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
    /// Removes and returns the watchers to answer now.
    fn take_due(&mut self, now: std_time::Instant) -> Vec<watchers::Watcher<W>> {
        let mut watchers = std::mem::take(&mut self.watchers);
        let due = watchers.take_due(now, |req| self.has_updates_for(req));
        self.watchers = watchers;
        due
    }

    /// Encodes the records of a portion: as many as fit into `most_bytes`, and at least one.
    fn encode_portion(
        &mut self,
        now: time::Instant,
        req: &messages::WatchReq,
        portion: directory::ChangeBatch,
        most_bytes: usize,
    ) -> DirectoryUpdate {
        let mut update = DirectoryUpdate::nothing(portion.cursor);
        update.has_more = !portion.is_last;
        let mut bytes = 0;
        let mut last = None;
        for change in portion.changes {
            let alive = self.directory.liveness_refresh(now, &change.id, req.mark);
            if let Some(alive) = alive.filter(|_| req.takes_alive) {
                last = Some(change.number);
                update.alive.push(alive);
                continue;
            }
            let record = self.encode_record(now, &change);
            bytes += record.as_ref().map_or(0, |it| it.0.len());
            if let Some(number) = last.filter(|_| bytes > most_bytes) {
                update.mark.change = number;
                update.has_more = true;
                break;
            }
            last = Some(change.number);
            update.records.extend(record);
        }
        update
    }

    /// Returns the encoded record of a change, encoded once for all watchers.
    ///
    /// Encoding the records of a fleet for each of several hundred watchers took all of the CPU, and the watchers were
    /// answered too late.
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

    /// Records an entry process, and logs when its configuration becomes out of date or is up to date again.
    fn record_entry(&mut self, now: time::Instant, req: &messages::WatchReq) {
        if req.is_stopping {
            return self.record_stopping_entry(now, req.ip);
        }
        self.entries_stopping.remove(&req.ip);
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

    /// Records an entry process that has been told to stop: the others must not count on it as a coordinator.
    fn record_stopping_entry(&mut self, now: time::Instant, ip: net::Ipv4Addr) {
        self.entries.remove(&ip);
        if self.entries_stopping.insert(ip, now).is_none() {
            ::log::info!(entry:% = ip; "control: entry process is stopping");
        }
    }

    /// Whether a watcher has to be told of a newer configuration. One that was told of it needs a while to fetch it.
    fn has_config_for(&self, req: &messages::WatchReq) -> bool {
        self.versions.newest() > req.config.max(req.config_told.unwrap_or(0))
    }

    /// Whether there is something to answer a watcher with.
    fn has_updates_for(&self, req: &messages::WatchReq) -> bool {
        let has_news =
            req.wants != messages::DirectoryDetail::Digest && self.directory.has_updates(req.mark);
        let crashes_known = req.crashes_known;
        let has_crashes =
            crashes_known.is_some_and(|it| self.quarantine.has_news(it, sync_scope(req)));
        has_news || has_crashes || self.has_config_for(req) || self.is_stopping
    }
}

/// Which crashes a watcher is sent.
fn sync_scope(req: &messages::WatchReq) -> quarantine::SyncScope {
    match req.watcher {
        messages::Watcher::Control => quarantine::SyncScope::All,
        messages::Watcher::Entry => quarantine::SyncScope::Quarantined,
    }
}

/// The changes of the directory that a watcher is sent.
#[derive(Debug)]
struct DirectoryUpdate {
    /// Up to which change it knows the directory with them.
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

/// The changes that a watcher does not know.
#[derive(Debug)]
pub struct Updates {
    /// Up to which change the watcher knows the directory with them.
    pub mark: directory::Cursor,
    /// The changed records of the directory that fit into one response.
    pub records: Vec<messages::EncodedRecord>,
    /// The instances of which only a sign of life is new.
    pub alive: Vec<directory::LivenessRefresh>,
    /// Whether more changes are to be fetched.
    pub has_more: bool,
    /// The digest of the directory.
    pub digest: u64,
    /// The last change that the digest includes.
    pub digest_mark: directory::Cursor,
    /// The last change of the directory other than a sign of life.
    pub news_mark: directory::Cursor,
    /// For how long back the directory has all endpoints.
    pub reaches_back: time::Millis,
    /// The version of the configuration up to which routes were compared.
    pub routes_compared: u64,
    /// The version of the configuration that this process holds.
    pub config: u64,
    /// Up to which change the watcher knows the crashes with them.
    pub crashes_mark: quarantine::Cursor,
    /// The crashes that are new to the watcher.
    pub crashes: Vec<quarantine::Crash>,
}
