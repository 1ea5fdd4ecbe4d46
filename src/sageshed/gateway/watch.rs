//! Keeps an entry process up to date by a few control processes.
//!
//! Each link watches one of them: a call that is kept until there is something new. The first link
//! goes to the leader, and brings it what callers ask for. The others go to any two: with the group
//! cut in two, three links reach the larger part, which is the one where changes are accepted.

use std::{
    collections, net,
    sync::{self, atomic},
    thread, time as std_time,
};

use sageshed_fleet::{dialect, directory, messages};
use sageshed_types::time;

use super::state;
use crate::{locks, settings};

/// Links that are kept.
const LINKS: usize = 3;

/// How long a watch is kept where nothing is new.
const PATIENCE: time::Millis = time::Millis(800);

/// The same at the leader, who has to learn of a rise in demand at once: loads take seconds.
const LEADER_PATIENCE: time::Millis = time::Millis(250);

/// Added to the patience of a call: the way there and back, and a pause of either process.
const CALL_MARGIN: std_time::Duration = std_time::Duration::from_millis(400);

/// Between two tries while nobody can be reached. Processes that were stopped together come back within
/// some ten milliseconds of each other, and each try at a closed port costs two packets.
const RETRY: std_time::Duration = std_time::Duration::from_millis(30);

/// How long a control process that could not be reached is left out while there are others.
const AVOIDED: std_time::Duration = std_time::Duration::from_secs(2);

/// Between two looks into the settings file: the seeds may change without a signal.
const SEEDS_KEPT: std_time::Duration = std_time::Duration::from_secs(3);

/// What the links share.
#[derive(Debug)]
pub(super) struct Links {
    inner: sync::Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    seeds: Vec<net::Ipv4Addr>,
    seeds_read: std_time::Instant,
    known: collections::BTreeSet<net::Ipv4Addr>,
    held: [Option<net::Ipv4Addr>; LINKS],
    avoided: collections::HashMap<net::Ipv4Addr, std_time::Instant>,
}

/// Starts the links, which run until the process stops.
pub(super) fn start<D: dialect::Dialect>(shared: &sync::Arc<state::Shared<D>>) {
    let seeds = &shared.settings.discovery.seeds;
    let links = sync::Arc::new(Links {
        inner: sync::Mutex::new(Inner {
            seeds: seeds.iter().map(|it| *it.ip()).collect(),
            seeds_read: std_time::Instant::now(),
            known: collections::BTreeSet::new(),
            held: [None; LINKS],
            avoided: collections::HashMap::new(),
        }),
    });
    for number in 0..LINKS {
        let (shared, links) = (sync::Arc::clone(shared), sync::Arc::clone(&links));
        let spawned = thread::Builder::new()
            .name(format!("watch-{number}"))
            .spawn(move || run(&shared, &links, number));
        if let Err(e) = spawned {
            ::log::error!(error:% = e; "gateway: no thread for a link to control");
        }
    }
}

fn run<D: dialect::Dialect>(shared: &state::Shared<D>, links: &Links, number: usize) {
    let mut at: Option<net::Ipv4Addr> = None;
    let mut mark = directory::Mark::default();
    while !shared.stopping.load(atomic::Ordering::Relaxed) {
        links.read_seeds(shared);
        let Some(to) = links.pick(shared, number) else {
            thread::sleep(RETRY);
            continue;
        };
        if at != Some(to) {
            ::log::info!(link = number, control:% = to; "gateway: watches a control process");
            at = Some(to);
            mark = directory::Mark::default();
        }
        match watch(shared, to, mark) {
            Ok(resp) => {
                mark = resp.mark;
                take(shared, links, resp);
            }
            Err(e) => {
                ::log::warn!(link = number, control:% = to, error:% = e;
                    "gateway: control process lost");
                links.avoid(number, to);
                at = None;
                thread::sleep(RETRY);
            }
        }
    }
}

fn watch<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    to: net::Ipv4Addr,
    mark: directory::Mark,
) -> Result<messages::WatchResp, sageshed_vms::CallError> {
    let discovery = &shared.settings.discovery;
    let is_leader = shared.leader() == Some(to);
    let patience = if is_leader { LEADER_PATIENCE } else { PATIENCE };
    let demand = if is_leader {
        shared.with_core(state::Core::take_demand)
    } else {
        Vec::new()
    };
    let req = messages::WatchReq {
        watcher: messages::Watcher::Entry,
        ip: discovery.ip,
        config: shared.version(),
        mark,
        entries_known: shared.entries_known(),
        patience,
        entries: Vec::new(),
        demand,
    };
    let address = net::SocketAddrV4::new(to, discovery.vms_port).to_string();
    let limit = std_time::Duration::from(patience) + CALL_MARGIN;
    let answer = shared
        .client
        .call(&address, messages::paths::WATCH, &req, limit);
    if answer.is_err() {
        shared.with_core(|core| core.put_back(req.demand));
    }
    answer
}

fn take<D: dialect::Dialect>(shared: &state::Shared<D>, links: &Links, resp: messages::WatchResp) {
    if let Some(document) = resp.config {
        match shared.dialect.config(document.text.as_bytes()) {
            Ok(config) => shared.put_in_force(config),
            Err(e) => ::log::error!(version = document.version, error:% = e;
                "gateway: configuration not understood, the one before stays in force"),
        }
    }
    if resp.leader.is_some() {
        shared.set_leader(resp.leader);
    }
    shared.heard_control();
    links.know(resp.control);
    if let Some(entries) = resp.entries {
        shared.take_entries(resp.entries_number, entries);
    }
    shared.take_records(resp.records);
}

impl Links {
    /// Which control process link `number` goes to.
    fn pick<D: dialect::Dialect>(
        &self,
        shared: &state::Shared<D>,
        number: usize,
    ) -> Option<net::Ipv4Addr> {
        let draw = shared.with_core(|core| core.chooser.draw());
        let leader = shared.leader();
        let mut inner = locks::lock(&self.inner);
        inner.avoided.retain(|_, since| since.elapsed() < AVOIDED);
        let avoided = |ip: &net::Ipv4Addr| inner.avoided.contains_key(ip);
        let others = |ip: &net::Ipv4Addr| {
            let mut held = inner.held.iter().enumerate();
            held.any(|(at, it)| at != number && *it == Some(*ip))
        };
        // The first link follows the leader, and the others leave the leader to it.
        if number == 0
            && let Some(leader) = leader.filter(|it| !avoided(it))
        {
            inner.held[0] = Some(leader);
            return Some(leader);
        }
        let takes = |ip: &net::Ipv4Addr| !avoided(ip) && !others(ip) && leader != Some(*ip);
        if let Some(held) = inner.held[number].filter(|it| takes(it)) {
            return Some(held);
        }
        let all: Vec<net::Ipv4Addr> = inner.known.iter().chain(&inner.seeds).copied().collect();
        let free: Vec<_> = all.iter().copied().filter(|it| takes(it)).collect();
        let reachable: Vec<_> = all.iter().copied().filter(|it| !avoided(it)).collect();
        let from = [free, reachable, all]
            .into_iter()
            .find(|it| !it.is_empty())?;
        let at = usize::try_from(draw).unwrap_or_default() % from.len();
        inner.held[number] = Some(from[at]);
        Some(from[at])
    }

    /// A control process could not be reached.
    fn avoid(&self, number: usize, ip: net::Ipv4Addr) {
        let mut inner = locks::lock(&self.inner);
        inner.avoided.insert(ip, std_time::Instant::now());
        inner.held[number] = None;
    }

    fn know(&self, control: Vec<net::Ipv4Addr>) {
        locks::lock(&self.inner).known.extend(control);
    }

    /// Reads the seeds anew from the settings file, now and then.
    fn read_seeds<D: dialect::Dialect>(&self, shared: &state::Shared<D>) {
        let mut inner = locks::lock(&self.inner);
        if inner.seeds_read.elapsed() < SEEDS_KEPT {
            return;
        }
        inner.seeds_read = std_time::Instant::now();
        match settings::fleet_entry(&shared.settings.file) {
            Ok(read) => {
                let seeds: Vec<_> = read.discovery.seeds.iter().map(|it| *it.ip()).collect();
                if seeds != inner.seeds {
                    ::log::info!(seeds:? = seeds; "gateway: settings changed, new seeds");
                    inner.seeds = seeds;
                }
            }
            Err(e) => ::log::warn!(error:% = e; "gateway: settings not read, the old seeds stay"),
        }
    }
}
