//! Keeps the state of an entry process up to date by watching a few control processes.
//!
//! Each link ([`sageshed_fleet::links`]) watches one control process with long polls: a call is answered once there
//! is something new. The link that receives endpoint records also reports the demand of callers. Another thread
//! ([`super::fetch`]) fetches configurations; the links tell it of new versions.

use std::{collections, io, net, sync, thread, time as std_time};

use sageshed_fleet::{call_margin, dialect, directory, links, messages, quarantine, records_age};
use sageshed_types::time;

use super::{config_check, fetch, state};
use crate::{locks, settings};

/// How long a long poll is kept open if nothing changes.
const WATCH_TIMEOUT: time::Millis = time::Millis(800);

/// The same for the link that reports demand: model loads take seconds, and start late if a rise of demand is
/// reported late.
const DEMAND_WATCH_TIMEOUT: time::Millis = time::Millis(250);

/// The interval between two attempts while no control process can be reached. Processes that were stopped together
/// restart within tens of milliseconds of each other, and an attempt at a closed port costs two packets.
const RETRY_INTERVAL: std_time::Duration = std_time::Duration::from_millis(30);

/// The same after a control process has refused the call, since few connections are left there: entry processes that
/// came back after [`RETRY_INTERVAL`] would make thirty connections a second each.
const REFUSED_RETRY_INTERVAL: std_time::Duration = std_time::Duration::from_millis(300);

/// The interval between two reads of the settings file: the seeds may change without a signal.
const SEEDS_RELOAD_INTERVAL: std_time::Duration = std_time::Duration::from_secs(3);

/// The state that the threads of the links share.
#[derive(Debug)]
pub(super) struct WatchState {
    links: sync::Mutex<links::Links>,
    seeds_read: sync::Mutex<std_time::Instant>,
}

/// Starts the threads of the links, which run until the process exits: requests that it has accepted are routed by
/// current endpoint records and the newest configuration also while it stops.
pub(super) fn start<D: dialect::Dialect>(shared: &sync::Arc<state::Shared<D>>) -> io::Result<()> {
    let seeds = &shared.settings.discovery.seeds;
    let seeds = seeds.iter().map(|it| *it.ip()).collect();
    let watching = sync::Arc::new(WatchState {
        links: sync::Mutex::new(links::Links::new(&shared.settings.availability_zone, seeds)),
        seeds_read: sync::Mutex::new(std_time::Instant::now()),
    });
    fetch::start(shared)?;
    config_check::start(shared, sync::Arc::clone(&watching))?;
    for number in 0..links::LINK_COUNT {
        let (shared, watching) = (sync::Arc::clone(shared), sync::Arc::clone(&watching));
        let thread = thread::Builder::new().name(format!("watch-{number}"));
        thread.spawn(move || run(&shared, &watching, number))?;
    }
    Ok(())
}

/// How far this process and one control process have synchronized.
#[derive(Debug, Default)]
struct PeerState {
    /// Up to which change the directory of the control process is known here.
    mark: directory::Cursor,
    /// Whether changes were skipped since the directories were equal but for instances that have ended.
    has_skipped: bool,
    /// Up to which change each knows the crashes that the other has recorded.
    crashes: quarantine::PeerSync,
    /// How long the response to a call is waited for after the time for which the call is held.
    margin: call_margin::CallMargin,
}

fn run<D: dialect::Dialect>(shared: &state::Shared<D>, watching: &WatchState, number: usize) {
    let mut at: Option<net::Ipv4Addr> = None;
    // Kept by control process, so that one that is watched again later sends only what has changed since.
    let mut peers_by_ip: collections::HashMap<net::Ipv4Addr, PeerState> =
        collections::HashMap::new();
    loop {
        watching.read_seeds(shared);
        let draw = shared.with_core(|core| core.chooser.draw());
        let Some(to) = locks::lock(&watching.links).pick(shared.clock.now(), number, draw) else {
            thread::sleep(RETRY_INTERVAL);
            continue;
        };
        if at != Some(to) {
            ::log::info!(link = number, control:% = to; "gateway: watching a control process");
            at = Some(to);
        }
        let known = peers_by_ip.entry(to).or_default();
        let sent_at = shared.clock.now();
        let (crashes_sent, records_age) =
            shared.with_core(|core| (core.quarantine.cursor(), core.records_age.age(sent_at)));
        let call = {
            let links = locks::lock(&watching.links);
            Call::new(&links, sent_at, number, records_age, known.margin)
        };
        let wants = call.wants;
        if wants == messages::DirectoryDetail::News && !call.is_source {
            ::log::debug!(link = number, control:% = to, records_ms = records_age.0;
                "gateway: requesting endpoint records beside the endpoint source");
        }
        match watch(shared, to, known, call) {
            Ok(resp) => {
                let elapsed = shared.clock.now().since(sent_at);
                known.margin.record_response(elapsed, resp.held);
                known.mark = resp.mark;
                known
                    .crashes
                    .record_exchange(crashes_sent, resp.crashes_mark.unwrap_or_default());
                let (digest, digest_mark) = (resp.digest, resp.digest_mark);
                let (has_more, news) = (resp.has_more, resp.news_mark);
                let (reaches_back, held) = (resp.reaches_back, resp.held);
                let routes_compared = resp.routes_compared;
                let peers = apply_response(shared, watching, to, resp);
                let differs = shared.with_core(|core| core.directory.digest()) != digest;
                if let Some(mark) = digest_mark.filter(|_| !differs) {
                    // Equal digests mean equal directories, so records may be received from this position on.
                    known.has_skipped |= known.mark != mark;
                    known.mark = mark;
                }
                let has_records = wants != messages::DirectoryDetail::Digest;
                let is_complete = !differs || (has_records && !has_more);
                shared.record_control_response(sent_at, held, is_complete);
                if has_records && !has_more && !known.has_skipped {
                    let now = shared.clock.now();
                    shared.with_core(|core| {
                        core.directory.extend_back(now, reaches_back);
                        core.routes_compared = core.routes_compared.max(routes_compared);
                    });
                }
                let mut links = locks::lock(&watching.links);
                let answer = links::SyncReply {
                    differs,
                    has_more,
                    news,
                    peers: &peers,
                };
                links.record_reply(shared.clock.now(), number, &answer);
                if links.endpoint_source() == Some(number) {
                    shared.config_fetcher.prefer(to);
                }
            }
            Err(e) => {
                ::log::warn!(link = number, control:% = to, error:% = e;
                    "gateway: lost a control process");
                shared.record_failed_call(sent_at, call.limit().into());
                match e {
                    sageshed_vms::CallError::NoAnswer { .. } => known.margin.record_timeout(),
                    _ => known.margin.record_unreachable(),
                }
                locks::lock(&watching.links).mark_unreachable(shared.clock.now(), number, to);
                at = None;
                thread::sleep(match e {
                    sageshed_vms::CallError::Status { .. } => REFUSED_RETRY_INTERVAL,
                    _ => RETRY_INTERVAL,
                });
            }
        }
    }
}

/// What the next call of a link asks for.
#[derive(Debug, Clone, Copy)]
struct Call {
    wants: messages::DirectoryDetail,
    /// Whether the link delivers endpoint records and reports demand.
    is_source: bool,
    /// How long the control process may hold the call.
    patience: time::Millis,
    /// How long the response is waited for after that.
    margin: time::Millis,
}

impl Call {
    /// The next call of link `number`, which asks for records, to be answered at once, if those held are old.
    fn new(
        links: &links::Links,
        now: time::Instant,
        number: usize,
        records_age: time::Millis,
        margin: call_margin::CallMargin,
    ) -> Self {
        let margin = margin.get();
        let is_source = links.endpoint_source() == Some(number);
        if records_age >= records_age::REFRESH_AGE {
            return Self {
                wants: messages::DirectoryDetail::News,
                is_source,
                patience: time::Millis(0),
                margin,
            };
        }
        Self {
            wants: links.requested_detail(now, number),
            is_source,
            patience: if is_source {
                DEMAND_WATCH_TIMEOUT
            } else {
                WATCH_TIMEOUT
            },
            margin,
        }
    }

    /// The time limit of the call.
    fn limit(&self) -> std_time::Duration {
        (self.patience + self.margin).into()
    }
}

fn watch<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    to: net::Ipv4Addr,
    known: &PeerState,
    call: Call,
) -> Result<messages::WatchResp, sageshed_vms::CallError> {
    let discovery = &shared.settings.discovery;
    let is_source = call.is_source;
    let demand = if is_source {
        shared.with_core(|core| core.unreported_demand.take())
    } else {
        Vec::new()
    };
    let req = messages::WatchReq {
        watcher: messages::Watcher::Entry,
        ip: discovery.ip,
        availability_zone: shared.settings.availability_zone.clone(),
        wants: call.wants,
        config: shared.version(),
        config_told: Some(shared.config_fetcher.newest()),
        mark: known.mark,
        entries_known: shared.entries_known(),
        patience: call.patience,
        entries: Vec::new(),
        demand,
        crashes_known: Some(known.crashes.received),
        crashes: shared.with_core(|core| {
            let now = shared.clock.now();
            let all = quarantine::SyncScope::All;
            core.quarantine.since(now, known.crashes.sent, all)
        }),
        takes_alive: false,
        leaving: shared.leaving(),
        is_stopping: shared.is_stopping(),
    };
    let address = net::SocketAddrV4::new(to, discovery.vms_port).to_string();
    let answer = shared
        .client
        .call(&address, messages::paths::WATCH, &req, call.limit());
    match &answer {
        Ok(_) if is_source => shared.with_core(|core| core.unreported_demand.mark_sent()),
        Ok(_) => {}
        Err(_) => {
            let now = shared.clock.now();
            shared.with_core(|core| core.unreported_demand.restore(now, req.demand));
        }
    }
    answer
}

/// Applies the response of a control process. Returns the positions up to which it knows the other ones.
fn apply_response<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    watching: &WatchState,
    from: net::Ipv4Addr,
    resp: messages::WatchResp,
) -> Vec<(net::Ipv4Addr, directory::Cursor)> {
    match resp.config {
        // The control process runs an earlier version and does not serve chunks.
        Some(document) => fetch::apply_document(shared, document),
        None => shared
            .config_fetcher
            .announce(shared.clock.now(), from, resp.newest_config),
    }
    if resp.leader.is_some() {
        shared.set_leader(resp.leader);
    }
    shared.record_control_contact();
    watching.add_control_vms(resp.control);
    let control = watching.control_vms().into_iter().collect();
    shared.with_core(|core| core.control = control);
    if let Some(entries) = resp.entries {
        shared.set_entries(resp.entries_number, entries);
    }
    shared.merge_records(&resp.records);
    shared.merge_crashes(&resp.crashes);
    resp.peers
}

impl WatchState {
    /// All known control processes.
    pub(super) fn control_vms(&self) -> collections::BTreeSet<net::Ipv4Addr> {
        locks::lock(&self.links).control_vms()
    }

    /// Adds control processes.
    pub(super) fn add_control_vms(&self, control: Vec<messages::ControlVm>) {
        locks::lock(&self.links).add_control_vms(control);
    }

    /// Reloads the seeds from the settings file, at most once per [`SEEDS_RELOAD_INTERVAL`].
    fn read_seeds<D: dialect::Dialect>(&self, shared: &state::Shared<D>) {
        let mut read_at = locks::lock(&self.seeds_read);
        if read_at.elapsed() < SEEDS_RELOAD_INTERVAL {
            return;
        }
        *read_at = std_time::Instant::now();
        drop(read_at);
        match settings::fleet_entry(&shared.settings.file) {
            Ok(read) => {
                let seeds: Vec<_> = read.discovery.seeds.iter().map(|it| *it.ip()).collect();
                if locks::lock(&self.links).set_seeds(seeds.clone()) {
                    ::log::info!(seeds:? = seeds; "gateway: seeds changed in the settings");
                }
            }
            Err(e) => ::log::warn!(error:% = e; "gateway: cannot read settings, the seeds stay"),
        }
    }
}
