//! Answers the long polls of watchers, and watches the other control processes.

use std::{
    collections::{self, hash_map},
    hash::{Hash, Hasher},
    net,
    sync::{self, atomic},
    thread, time as std_time,
};

use sageshed_fleet::{
    call_margin, config_history, demand_counter, directory, messages, quarantine, transfer,
};
use sageshed_types::{document, time};

use crate::{control::shared, locks, records};

/// How long a long poll is kept open if nothing changes. The watcher takes the connection for lost soon after that.
const WATCH_TIMEOUT: time::Millis = time::Millis(800);

/// The same for calls to the leader, which report the demand of callers: model loads take seconds, and start late if
/// a rise of demand is reported late.
const LEADER_WATCH_TIMEOUT: time::Millis = time::Millis(200);

/// The interval between two checks for control processes that are not watched yet.
const PEER_CHECK_INTERVAL: std_time::Duration = std_time::Duration::from_millis(200);

/// The delay after a failed call to another control process.
const RETRY_INTERVAL: std_time::Duration = std_time::Duration::from_millis(300);

/// A control process that has been unreachable for this long is no longer watched, until another process reports it
/// again.
const PEER_LOST_AFTER: std_time::Duration = std_time::Duration::from_secs(30);

/// Accepts a long poll, which [`answer_watchers`] answers once there is something new.
pub fn accept_watch(
    shared: &shared::Shared,
    mut req: messages::WatchReq,
    later: sageshed_vms::Later,
) {
    let now = shared.clock.now();
    shared.hub.note_watcher(now, &req);
    route_demand(shared, &mut req);
    shared.hub.merge_crashes(now, &req.crashes);
    shared.hub.mark_leaving(now, &req.leaving);
    if req.watcher == messages::Watcher::Control {
        shared.hear_of([req.ip]);
    }
    req.patience = req.patience.min(WATCH_TIMEOUT);
    shared.hub.watch(req, later);
}

/// Answers watchers in rounds, for as long as the process runs.
pub fn answer_watchers(shared: &shared::Shared) {
    loop {
        let due = shared.hub.next_round();
        let common = RoundData::of(shared);
        for watcher in due {
            let held = watcher.since.elapsed().into();
            let resp = messages::WatchResp {
                held,
                ..common.answer(shared, &watcher.req)
            };
            watcher
                .responder
                .answer(sageshed_vms::Answer::message(&resp));
        }
    }
}

/// The data that all answers of one round share.
struct RoundData {
    control: Vec<messages::ControlVm>,
    leader: Option<net::Ipv4Addr>,
    entries: Vec<net::Ipv4Addr>,
    entries_number: u64,
    /// Read before the changes of the directory, which then include at least these positions.
    peers: Vec<(net::Ipv4Addr, directory::Cursor)>,
}

impl RoundData {
    fn of(shared: &shared::Shared) -> Self {
        let entries = shared.hub.entries();
        Self {
            control: control_vms(shared),
            leader: shared.leader().and_then(|it| it.parse().ok()),
            entries_number: entries_hash(&entries),
            entries,
            peers: shared.hub.peers(),
        }
    }

    fn answer(&self, shared: &shared::Shared, req: &messages::WatchReq) -> messages::WatchResp {
        let updates = shared.hub.updates(shared.clock.now(), req);
        // Only the link that receives endpoint records receives the list of entry processes too.
        let takes_entries = req.wants == messages::DirectoryDetail::News;
        let entries_number = if takes_entries {
            self.entries_number
        } else {
            req.entries_known
        };
        messages::WatchResp {
            control: self.control.clone(),
            leader: self.leader,
            entries_number,
            entries: (entries_number != req.entries_known).then(|| self.entries.clone()),
            newest_config: updates.config,
            config: newer_config(shared, req),
            mark: updates.mark,
            digest: updates.digest,
            digest_mark: Some(updates.digest_mark),
            news_mark: Some(updates.news_mark),
            reaches_back: updates.reaches_back,
            routes_compared: updates.routes_compared,
            peers: if takes_entries {
                self.peers.clone()
            } else {
                Vec::new()
            },
            records: updates.records,
            alive: updates.alive,
            held: time::Millis(0),
            has_more: updates.has_more,
            crashes_mark: Some(updates.crashes_mark),
            crashes: updates.crashes,
        }
    }
}

/// The newest configuration, for a watcher that has an older one and does not fetch it in chunks.
fn newer_config(shared: &shared::Shared, req: &messages::WatchReq) -> Option<document::Document> {
    if req.config_told.is_some() {
        return None;
    }
    let state = locks::read(&shared.state);
    let newest = state.fleet();
    (newest.version > req.config).then(|| newest.clone())
}

/// Answers the request for a chunk of the newest configuration, or of the one whose fetch is in progress.
#[must_use]
pub fn chunk(shared: &shared::Shared, req: &messages::ConfigReq) -> messages::ConfigResp {
    let chunk = match lookup_chunk(shared, req) {
        config_history::FetchReply::Chunk(chunk) => Some(chunk),
        config_history::FetchReply::Nothing => None,
        config_history::FetchReply::Compress(_) => {
            // One thread at a time: many processes request the same payload at once, and the driver of the log must
            // not wait for the compression.
            let _one = locks::lock(&shared.compressing);
            compress(shared, req)
        }
    };
    messages::ConfigResp { chunk }
}

fn lookup_chunk(shared: &shared::Shared, req: &messages::ConfigReq) -> config_history::FetchReply {
    locks::lock(&shared.config_history).reply(shared.clock.now(), req)
}

/// Compresses the payload unless another thread has done so meanwhile, and returns the requested chunk.
fn compress(shared: &shared::Shared, req: &messages::ConfigReq) -> Option<transfer::Chunk> {
    if let config_history::FetchReply::Compress(job) = lookup_chunk(shared, req) {
        match job.run() {
            Ok(bytes) => {
                let mut history = locks::lock(&shared.config_history);
                history.keep_payload(shared.clock.now(), &job, bytes);
            }
            Err(e) => ::log::error!(error:% = e; "control: cannot compress the configuration"),
        }
    }
    match lookup_chunk(shared, req) {
        config_history::FetchReply::Chunk(chunk) => Some(chunk),
        config_history::FetchReply::Nothing | config_history::FetchReply::Compress(_) => None,
    }
}

/// Hands the reported demand to the planner if this process leads. Otherwise the demand of an entry process is added to
/// what this process reports to the leader.
fn route_demand(shared: &shared::Shared, req: &mut messages::WatchReq) {
    let demand = std::mem::take(&mut req.demand);
    if shared.leads() {
        shared.hub.demand(demand);
    } else if req.watcher == messages::Watcher::Entry {
        shared.hub.with_demand(|it| it.add(demand));
    }
}

/// All known control processes, this one included.
pub(super) fn control_vms(shared: &shared::Shared) -> Vec<messages::ControlVm> {
    let own = messages::ControlVm {
        ip: shared.node.vm.into(),
        availability_zone: Some(shared.settings.vm.availability_zone.clone()),
    };
    let peers = shared.control_peers().into_iter().map(|vm| {
        let ip = vm.into();
        let availability_zone = shared.hub.control_zone(ip);
        messages::ControlVm {
            ip,
            availability_zone,
        }
    });
    peers.chain([own]).collect()
}

/// A hash that identifies a list of entry processes.
fn entries_hash(entries: &[net::Ipv4Addr]) -> u64 {
    let mut hasher = hash_map::DefaultHasher::new();
    entries.hash(&mut hasher);
    hasher.finish()
}

/// Watches each other control process in a thread of its own, for as long as this process runs.
pub fn watch_peers(shared: &sync::Arc<shared::Shared>, client: &sageshed_vms::Client) {
    let watched: sync::Arc<sync::Mutex<collections::BTreeSet<u32>>> = sync::Arc::default();
    while !shared.is_stopping() {
        for vm in shared.control_peers() {
            if !locks::lock(&watched).insert(vm) {
                continue;
            }
            let (shared, client) = (sync::Arc::clone(shared), client.clone());
            let watched = sync::Arc::clone(&watched);
            let spawned = thread::Builder::new()
                .name("watch".to_owned())
                .spawn(move || {
                    watch(&shared, &client, vm);
                    locks::lock(&watched).remove(&vm);
                });
            if let Err(e) = spawned {
                ::log::error!(error:% = e; "control: cannot start a thread to watch another control process");
            }
        }
        thread::sleep(PEER_CHECK_INTERVAL);
    }
}

fn watch(shared: &shared::Shared, client: &sageshed_vms::Client, vm: u32) {
    let Some(address) = shared.control_address(vm) else {
        return;
    };
    let address = address.to_string();
    let mut margin = call_margin::CallMargin::default();
    let mut mark = directory::Cursor::default();
    let mut crashes_known = quarantine::Cursor::default();
    let mut last_response = std_time::Instant::now();
    let mut is_lost = false;
    while !shared.stopping.load(atomic::Ordering::Relaxed)
        && last_response.elapsed() < PEER_LOST_AFTER
    {
        let is_leader = shared.leader().and_then(|it| shared.vm_number(&it)) == Some(vm);
        let demand = if is_leader {
            shared.hub.with_demand(demand_counter::DemandCounter::take)
        } else {
            Vec::new()
        };
        let req = messages::WatchReq {
            watcher: messages::Watcher::Control,
            ip: shared.node.vm.into(),
            availability_zone: shared.settings.vm.availability_zone.clone(),
            wants: messages::DirectoryDetail::All,
            // Control processes receive the configuration by the replicated log.
            config: u64::MAX,
            config_told: None,
            mark,
            entries_known: 0,
            patience: if is_leader {
                LEADER_WATCH_TIMEOUT
            } else {
                WATCH_TIMEOUT
            },
            entries: shared.hub.own_entries(),
            demand,
            crashes_known: Some(crashes_known),
            crashes: Vec::new(),
            takes_alive: true,
            leaving: Vec::new(),
            is_stopping: false,
        };
        let limit = std_time::Duration::from(WATCH_TIMEOUT + margin.get());
        let sent = std_time::Instant::now();
        let answer: Result<messages::WatchResp, _> =
            client.call(&address, messages::paths::WATCH, &req, limit);
        match answer {
            Ok(resp) => {
                margin.record_response(sent.elapsed().into(), resp.held);
                if std::mem::take(&mut is_lost) {
                    let silence = time::Millis::from(last_response.elapsed());
                    ::log::info!(control:% = address, silent_ms = silence.0; "control: another control process responds again");
                }
                last_response = std_time::Instant::now();
                mark = resp.mark;
                if is_leader {
                    shared
                        .hub
                        .with_demand(demand_counter::DemandCounter::mark_sent);
                }
                shared.hear_of(resp.control.iter().map(|it| it.ip));
                let records =
                    records::unpack(&resp.records, &shared.hub.misread, shared.clock.now());
                shared.hub.merge(shared.clock.now(), records);
                shared.hub.confirm(shared.clock.now(), &resp.alive);
                if !resp.has_more {
                    let now = shared.clock.now();
                    let span = resp.reaches_back;
                    shared.hub.set_peer_cursor(now, vm.into(), resp.mark, span);
                }
                shared.hub.merge_crashes(shared.clock.now(), &resp.crashes);
                crashes_known = resp.crashes_mark.unwrap_or_default();
            }
            Err(e) => {
                match e {
                    sageshed_vms::CallError::NoAnswer { .. } => margin.record_timeout(),
                    _ => margin.record_unreachable(),
                }
                if !std::mem::replace(&mut is_lost, true) {
                    ::log::warn!(control:% = address, error:% = e; "control: lost another control process");
                }
                let now = shared.clock.now();
                shared.hub.with_demand(|it| it.restore(now, req.demand));
                thread::sleep(RETRY_INTERVAL);
            }
        }
    }
}
