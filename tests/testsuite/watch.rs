//! Reads at every entry process, all the time, by which revision it decides.

use std::{
    sync::{self, atomic},
    thread, time,
};

use sageshed_types::rules;

use crate::{ask, cluster, operator};

/// Between two requests to one entry process.
const PAUSE: time::Duration = time::Duration::from_millis(15);

/// A caller at each entry process whom a rule refuses, so that each answer names a revision.
pub struct Watch {
    shared: sync::Arc<Shared>,
    threads: Vec<thread::JoinHandle<()>>,
}

#[derive(Default)]
struct Shared {
    stop: atomic::AtomicBool,
    /// No answer to a request sent from now on may be decided by an older revision.
    floor: atomic::AtomicU64,
    faults: sync::Mutex<Vec<String>>,
}

impl Watch {
    /// Adds the rule and begins.
    pub fn start(cluster: &cluster::Cluster) -> Self {
        let all: Vec<_> = (0..cluster.controls()).collect();
        let client = operator::client(cluster, &all);
        let probe = operator::add("probe", "beta", rules::Revision::default());
        operator::until_known(&client, &probe);
        let shared = sync::Arc::new(Shared::default());
        let watch = |vm| {
            let shared = sync::Arc::clone(&shared);
            let ask = probe_at(&cluster.callers(vm));
            thread::spawn(move || shared.watch(vm, &ask))
        };
        let threads = (0..cluster.vms()).map(watch).collect();
        Self { shared, threads }
    }

    /// An operator was told that `revision` is in force everywhere.
    pub fn in_force(&self, revision: rules::Revision) {
        self.shared
            .floor
            .fetch_max(revision.0, atomic::Ordering::SeqCst);
    }

    /// Ends, and asserts that no entry process went back.
    pub fn finish(self) {
        self.shared.stop.store(true, atomic::Ordering::Relaxed);
        for thread in self.threads {
            thread.join().unwrap();
        }
        let faults = self.shared.faults.lock().unwrap();
        assert!(faults.is_empty(), "{faults:#?}");
    }
}

impl Shared {
    fn watch(&self, vm: usize, ask: &ask::Ask) {
        let mut newest = 0;
        while !self.stop.load(atomic::Ordering::Relaxed) {
            let floor = self.floor.load(atomic::Ordering::SeqCst);
            if let Some(revision) = revision(ask) {
                let least = newest.max(floor);
                if revision < least {
                    let fault = format!("entry {vm} decided by {revision} after {least}");
                    self.faults.lock().unwrap().push(fault);
                }
                newest = newest.max(revision);
            }
            thread::sleep(PAUSE);
        }
    }
}

/// A request that the rule of [`Watch::start`] refuses.
pub fn probe_at(base: &str) -> ask::Ask {
    let mut probe = ask::Ask::completion(base, "m1", 1);
    probe.headers.retain(|(name, _)| name != "Authorization");
    probe.with("Authorization", "Bearer beta")
}

/// By which revision the entry process decides now; none if it does not serve or run.
pub fn revision(probe: &ask::Ask) -> Option<u64> {
    let answer = probe.send().ok()?;
    (answer.account("reason") == "rule_refused")
        .then(|| answer.account("revision").parse().unwrap())
}
