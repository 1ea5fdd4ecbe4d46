//! What a control process knows of a fleet's endpoints and entry processes, and who waits for news.

use std::{
    collections, net,
    sync::{self, mpsc},
    time as std_time,
};

use sageshed_fleet::{directory, messages};
use sageshed_types::time;

use super::planning;
use crate::{locks, sampler};

/// How long an entry process counts as there after it was heard. It watches without a pause, and a
/// watch lasts a second at the most.
const ENTRY_KEPT: time::Millis = time::Millis(3_000);

/// What is known, with a way to wait for a change of it.
#[derive(Debug)]
pub struct Hub {
    /// Words of endpoints and of other processes that could not be read.
    pub misread: sampler::Sampler,
    inner: sync::Mutex<Inner>,
    changed: sync::Condvar,
    planning_tx: mpsc::SyncSender<planning::Input>,
    planning_rx: sync::Mutex<Option<mpsc::Receiver<planning::Input>>>,
}

#[derive(Debug)]
struct Inner {
    directory: directory::Directory,
    config: u64,
    /// Entry processes that this process hears itself.
    entries: collections::BTreeMap<net::Ipv4Addr, time::Instant>,
    /// Entry processes that another control process hears.
    entries_elsewhere: collections::BTreeMap<net::Ipv4Addr, time::Instant>,
    is_stopping: bool,
}

/// Lines a second on words that could not be read.
const MISREAD_LOGGED: u64 = 5;

/// Inputs for planning that may wait. What entry processes report comes again.
const PLANNING_QUEUE: usize = 4_096;

impl Hub {
    /// Knows nothing. `start` tells this start of the process from others.
    #[must_use]
    pub fn new(start: u64) -> Self {
        let (planning_tx, planning_rx) = mpsc::sync_channel(PLANNING_QUEUE);
        Self {
            misread: sampler::Sampler::new(MISREAD_LOGGED),
            inner: sync::Mutex::new(Inner {
                directory: directory::Directory::new(start),
                config: 0,
                entries: collections::BTreeMap::new(),
                entries_elsewhere: collections::BTreeMap::new(),
                is_stopping: false,
            }),
            changed: sync::Condvar::new(),
            planning_tx,
            planning_rx: sync::Mutex::new(Some(planning_rx)),
        }
    }

    /// The inputs for the planning thread. Given once.
    pub fn take_planning(&self) -> Option<mpsc::Receiver<planning::Input>> {
        locks::lock(&self.planning_rx).take()
    }

    /// Takes the word of an endpoint.
    pub fn announce(&self, now: time::Instant, instance: directory::Instance) -> directory::Offer {
        let offer = self.change(|inner| inner.directory.announce(now, instance));
        self.changed.notify_all();
        offer
    }

    /// Takes an endpoint's word that it goes.
    pub fn leave(&self, now: time::Instant, id: &directory::InstanceId) {
        self.change(|inner| inner.directory.leave(now, id));
        self.changed.notify_all();
    }

    /// Takes what the leader's orders did to an engine.
    pub fn amend(
        &self,
        now: time::Instant,
        id: &directory::InstanceId,
        amend: impl FnOnce(&mut directory::Instance),
    ) {
        self.change(|inner| inner.directory.amend(now, id, amend));
        self.changed.notify_all();
    }

    /// Takes what another control process passes on.
    pub fn merge(&self, now: time::Instant, records: Vec<directory::Record>) {
        let news = self.change(|inner| {
            let before = inner.directory.mark();
            for record in records {
                inner.directory.merge(now, record);
            }
            inner.directory.mark() != before
        });
        if news {
            self.changed.notify_all();
        }
    }

    /// A configuration with this number is held now.
    pub fn set_config(&self, version: u64) {
        let is_news = self.change(|inner| {
            let is_news = inner.config != version;
            inner.config = version;
            is_news
        });
        if is_news {
            self.changed.notify_all();
        }
    }

    /// Takes those for gone that were silent for too long. Returns their ids.
    pub fn expire(&self, now: time::Instant) -> Vec<directory::InstanceId> {
        let gone = self.change(|inner| {
            let recent = |at: &time::Instant| now.since(*at) < ENTRY_KEPT;
            inner.entries.retain(|_, at| recent(at));
            inner.entries_elsewhere.retain(|_, at| recent(at));
            inner.directory.expire(now)
        });
        if !gone.is_empty() {
            self.changed.notify_all();
        }
        gone
    }

    /// The process stops: nobody is kept waiting.
    pub fn stop(&self) {
        self.change(|inner| inner.is_stopping = true);
        self.changed.notify_all();
    }

    /// Takes note of who watches.
    pub fn heard(&self, now: time::Instant, req: &messages::WatchReq) {
        self.change(|inner| match req.watcher {
            messages::Watcher::Entry => drop(inner.entries.insert(req.ip, now)),
            messages::Watcher::Control => {
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

    /// The entry processes that are there, in order.
    #[must_use]
    pub fn entries(&self) -> Vec<net::Ipv4Addr> {
        let inner = locks::lock(&self.inner);
        let own = inner.entries.keys();
        let all: collections::BTreeSet<_> = own.chain(inner.entries_elsewhere.keys()).collect();
        all.into_iter().copied().collect()
    }

    /// Waits until something is newer than what `req` knows, for its patience at the most, and takes
    /// out what is.
    #[must_use]
    pub fn news(&self, now: time::Instant, req: &messages::WatchReq) -> News {
        let patience: std_time::Duration = req.patience.into();
        let started = std_time::Instant::now();
        let (inner, _) = self
            .changed
            .wait_timeout_while(locks::lock(&self.inner), patience, |inner| {
                inner.directory.mark() == req.mark
                    && inner.config <= req.config
                    && !inner.is_stopping
            })
            .unwrap_or_else(sync::PoisonError::into_inner);
        let now = now + started.elapsed().into();
        News {
            mark: inner.directory.mark(),
            records: inner.directory.since(now, req.mark),
            config: inner.config,
        }
    }

    /// The instances that are there, and their latest word.
    #[must_use]
    pub fn present(&self, now: time::Instant) -> Vec<directory::Instance> {
        let inner = locks::lock(&self.inner);
        let present = inner.directory.present(now);
        present.map(|(instance, _)| instance.clone()).collect()
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

    /// Hands a want to the planning thread.
    pub fn want(&self, want: messages::WantReq) {
        self.plan(planning::Input::Want(want));
    }

    /// Hands something to the planning thread.
    pub fn plan(&self, input: planning::Input) {
        if self.planning_tx.try_send(input).is_err() {
            ::log::warn!("control: planning is behind, an input is dropped");
        }
    }

    fn change<T>(&self, change: impl FnOnce(&mut Inner) -> T) -> T {
        change(&mut locks::lock(&self.inner))
    }
}

/// What is newer than what a watcher knows.
#[derive(Debug)]
pub struct News {
    /// Up to where the directory is known with it.
    pub mark: directory::Mark,
    /// What changed in the directory.
    pub records: Vec<directory::Record>,
    /// The number of the configuration that is held.
    pub config: u64,
}
