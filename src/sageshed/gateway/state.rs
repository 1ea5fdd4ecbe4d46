//! The state that the threads of an entry process share.

use std::{
    collections, net,
    sync::{self, atomic},
    thread, time as std_time,
};

use sageshed_fleet::{
    allowance, backlog, budget, chooser, config_check as wire_check, demand_counter, dialect,
    directory, entry_peers as wire, messages, origin_backup, paths, quarantine, queue_coordinator,
    records_age::{Freshness, RecordsAge},
    route_history, shared_queue,
    slots::SlotCoordinator,
    stream_origins,
};
use sageshed_http::{server, stats};
use sageshed_types::{document, shared_memory::SharedMemory, time};
use sageshed_upstream::{pool, relay};

use super::{config_check, entry_peers, fetch, metrics, queues, routing, slots};
use crate::{accounts, clock, locks, records, sampler, settings};

/// The shared state of an entry process.
#[derive(Debug)]
pub struct Shared<D> {
    /// The settings read at start.
    pub settings: settings::FleetEntry,
    /// The protocol spoken with callers and endpoints.
    pub dialect: D,
    /// The monotonic clock of this process.
    pub clock: clock::Clock,
    /// Pooled connections to endpoints.
    pub pool: pool::Pool,
    /// The memory for parts of responses that are held until more arrives.
    pub(super) response_memory: sync::Arc<SharedMemory>,
    /// Which endpoints this process can open connections to.
    pub(super) paths: sync::Mutex<paths::PathTable>,
    /// The entry processes through which connections can be opened.
    pub(super) relays: sync::Mutex<paths::RelayTable>,
    /// Opens connections for other entry processes, once it is started.
    pub(super) relay: sync::OnceLock<relay::Relay>,
    /// The client for calls to control processes.
    pub client: sageshed_vms::Client,
    /// The client for calls that fetch and check the configuration. Its connections are closed after each call: these
    /// calls do not yield to those of control processes, and idle connections would hold places that they need.
    pub config_client: sageshed_vms::Client,
    /// The socket to the other entry processes; none if it could not be opened.
    pub entry_peers: Option<entry_peers::EntryPeers>,
    /// The thread that serves the queues of this process, once it is started.
    pub(super) queue_server: sync::OnceLock<thread::Thread>,
    /// The requests of this process that wait for slots of plain services or have one.
    pub slots: slots::SlotClient,
    /// The time of the start of this process, in milliseconds since 1970.
    pub started: u64,
    /// The metrics of this process.
    pub metrics: metrics::Metrics,
    /// The load of the port for callers, once that is open.
    pub(super) callers_load: sync::OnceLock<server::Load>,
    /// Changes the limits on callers, once their port is open.
    pub(super) caller_limits: sync::OnceLock<server::CallerLimits>,
    /// The figures of the port for callers in the latest second.
    pub(super) port_stats: sync::Mutex<stats::Stats>,
    /// The traces of the latest requests, for operators.
    pub traces: sync::Mutex<accounts::Accounts>,
    /// Limits the log records about successful requests.
    pub sampler: sampler::Sampler,
    /// Limits the log records about messages of other processes that could not be decoded.
    pub misread: sampler::Sampler,
    /// Limits the log records about endpoint changes.
    endpoint_changes: sampler::Sampler,
    pub(super) routing: sync::RwLock<Option<sync::Arc<routing::Routing>>>,
    /// The services that routes have led to lately.
    pub(super) routes: sync::Mutex<route_history::RouteHistory>,
    /// The newest configuration as the operator sent it, the base of the deltas that control sends.
    pub(super) document: sync::Mutex<document::Document>,
    pub(super) config_fetcher: fetch::ConfigFetcher,
    core: sync::Mutex<Core>,
    changed: sync::Condvar,
    /// The IP address of the leading control process as a number; zero if none is known.
    leader: atomic::AtomicU32,
    /// When a control process responded last, in milliseconds on this process's clock.
    last_control_contact: atomic::AtomicU64,
    /// The number of requests that wait for a free slot, a model load or an endpoint.
    pub waiting: atomic::AtomicUsize,
    /// Set when the process has been told to stop.
    pub stopping: atomic::AtomicBool,
    /// Set when the load balancer has had time to stop sending callers here, and a new request might not be
    /// done before the process exits.
    pub refusing: atomic::AtomicBool,
    /// Set shortly before the process exits, when no waiting request can be served any more.
    pub ending: atomic::AtomicBool,
    /// Set when the process exits as soon as the last responses are written.
    pub exiting: atomic::AtomicBool,
}

/// The state that routing decisions are based on.
#[derive(Debug)]
pub struct Core {
    /// Chooses endpoints.
    pub chooser: chooser::Chooser,
    /// The queues that this process keeps as coordinator.
    pub queues: queue_coordinator::QueueCoordinator,
    /// The requests that wait in this process for engines.
    pub backlog: backlog::Backlog,
    /// The allowances that all entry processes share.
    pub allowances: allowance::AllowanceTable,
    /// The slots of the plain services that this process coordinates.
    pub slots: SlotCoordinator,
    /// The budget for retries.
    pub budget: budget::RetryBudget,
    /// Which software version began each stream that callers may still take up.
    pub origins: stream_origins::StreamOrigins,
    /// Those of its records that control processes do not have.
    pub unsent_origins: origin_backup::UnsentOrigins,
    /// The software versions whose records control processes need.
    pub contested: collections::BTreeSet<directory::SoftwareKey>,
    /// The known control processes.
    pub control: Vec<net::Ipv4Addr>,
    /// The version of the configuration up to which control processes have compared routes.
    pub routes_compared: u64,
    /// The known endpoints.
    pub directory: directory::Directory,
    /// How old the records of these are.
    pub records_age: RecordsAge,
    /// The crashes of endpoints, by the request that they were running.
    pub quarantine: quarantine::Quarantine,
    /// The endpoints that have reported to this process that they are leaving, and when.
    leaving: Vec<(directory::InstanceId, time::Instant)>,
    /// The addresses of all entry processes, this one included.
    pub entries: Vec<net::Ipv4Addr>,
    /// The hash that identifies that list.
    entries_number: u64,
    /// The demand of callers that was not reported to the leader yet.
    pub unreported_demand: demand_counter::DemandCounter,
    /// The adapters requested from control lately, and when.
    requested_adapters: collections::HashMap<messages::AdapterReq, time::Instant>,
    /// Counts the changes that may let a waiting request proceed.
    changes: u64,
}

/// The number of request traces kept. Each takes about one kilobyte; at ten requests per second they cover
/// the last minute.
const MAX_TRACES: usize = 600;

/// The most log records per second about successful requests. On the smallest VMs, logging three times as many
/// would cost more than serving them.
pub const MAX_SUCCESSES_LOGGED_PER_SECOND: u64 = 20;

/// The most log records per second about messages of other processes that could not be decoded.
const MISREAD_LOGGED_PER_SECOND: u64 = 5;

/// The most log records per second about endpoints that leave or end. A release of thousands of endpoints would
/// otherwise make each entry process write as many lines.
const ENDPOINT_CHANGES_LOGGED_PER_SECOND: u64 = 10;

/// The longest interval between two checks whether the caller of a waiting request is still connected.
pub const CALLER_CHECK_INTERVAL: std_time::Duration = std_time::Duration::from_millis(100);

/// The share of the memory of this process that parts of responses may take: connections and threads take half of it.
const RESPONSES_PER_MEMORY: usize = 4;

const BYTES_PER_MB: usize = 1_024 * 1_024;

/// How long control is told that an endpoint is leaving. It covers several calls of each link, so that the report
/// reaches more than one control process even if one has just failed.
const LEAVING_REPORT_PERIOD: time::Millis = time::Millis(5_000);

/// The interval after which a request for an adapter is sent to control again.
const ADAPTER_REQUEST_RESEND_INTERVAL: time::Millis = time::Millis(250);

impl<D: dialect::Dialect> Shared<D> {
    /// The initial state of a process with these settings.
    #[must_use]
    pub fn new(settings: settings::FleetEntry, dialect: D) -> Self {
        let retries = settings.retries;
        let start = clock::unix_ms();
        let discovery = &settings.discovery;
        let entry_peers = match entry_peers::EntryPeers::open(discovery.ip, discovery.vms_port) {
            Ok(peers) => Some(peers),
            Err(e) => {
                ::log::warn!(error:% = e; "gateway: cannot open the UDP socket, continuing without entry peers");
                None
            }
        };
        let seed = start ^ (u64::from(u32::from(settings.discovery.ip)) << 32);
        let allowance = budget::RetryAllowance {
            ratio: retries.ratio,
            slack: retries.slack,
            window: retries.window_ms,
        };
        let core = Core {
            chooser: chooser::Chooser::new(&settings.availability_zone, seed)
                .with_policy(settings.routing)
                .with_slot_shares(settings.shared_queue.enabled),
            queues: queue_coordinator::QueueCoordinator::new(shared_queue::QueuePolicy::default()),
            backlog: backlog::Backlog::default(),
            allowances: allowance::AllowanceTable::new(settings.discovery.ip, start),
            slots: SlotCoordinator::new(allowance),
            budget: budget::RetryBudget::new(allowance),
            origins: stream_origins::StreamOrigins::default(),
            unsent_origins: origin_backup::UnsentOrigins::default(),
            contested: collections::BTreeSet::new(),
            control: settings.discovery.seeds.iter().map(|it| *it.ip()).collect(),
            routes_compared: 0,
            directory: directory::Directory::new(start),
            records_age: RecordsAge::default(),
            quarantine: quarantine::Quarantine::new(start),
            leaving: Vec::new(),
            entries: vec![settings.discovery.ip],
            entries_number: 0,
            unreported_demand: demand_counter::DemandCounter::default(),
            requested_adapters: collections::HashMap::new(),
            changes: 0,
        };
        let response_memory = settings.resources.memory_mb * BYTES_PER_MB / RESPONSES_PER_MEMORY;
        Self {
            settings,
            dialect,
            clock: clock::Clock::start(),
            pool: pool::Pool::new(pool::Settings::default()),
            response_memory: sync::Arc::new(SharedMemory::new(response_memory)),
            paths: sync::Mutex::default(),
            relays: sync::Mutex::default(),
            relay: sync::OnceLock::new(),
            client: sageshed_vms::Client::new(""),
            config_client: sageshed_vms::Client::unpooled(""),
            entry_peers,
            queue_server: sync::OnceLock::new(),
            slots: slots::SlotClient::default(),
            started: start,
            metrics: metrics::Metrics::default(),
            callers_load: sync::OnceLock::new(),
            caller_limits: sync::OnceLock::new(),
            port_stats: sync::Mutex::default(),
            traces: sync::Mutex::new(accounts::Accounts::new(MAX_TRACES)),
            sampler: sampler::Sampler::new(MAX_SUCCESSES_LOGGED_PER_SECOND),
            misread: sampler::Sampler::new(MISREAD_LOGGED_PER_SECOND),
            endpoint_changes: sampler::Sampler::new(ENDPOINT_CHANGES_LOGGED_PER_SECOND),
            routing: sync::RwLock::new(None),
            routes: sync::Mutex::default(),
            document: sync::Mutex::default(),
            config_fetcher: fetch::ConfigFetcher::default(),
            core: sync::Mutex::new(core),
            changed: sync::Condvar::new(),
            leader: atomic::AtomicU32::new(0),
            last_control_contact: atomic::AtomicU64::new(0),
            waiting: atomic::AtomicUsize::new(0),
            stopping: atomic::AtomicBool::new(false),
            refusing: atomic::AtomicBool::new(false),
            ending: atomic::AtomicBool::new(false),
            exiting: atomic::AtomicBool::new(false),
        }
    }

    /// The leading control process, if it is known.
    #[must_use]
    pub fn leader(&self) -> Option<net::Ipv4Addr> {
        match self.leader.load(atomic::Ordering::Relaxed) {
            0 => None,
            ip => Some(ip.into()),
        }
    }

    /// Records that a control process has responded.
    pub fn record_control_contact(&self) {
        let now = self.clock.now();
        self.last_control_contact
            .store(now.0, atomic::Ordering::Relaxed);
        self.with_core(|core| core.allowances.heard_control(now));
    }

    /// Records the response to a call that was sent at `sent_at` and held for `held`. Wakes the requests that wait for
    /// current endpoint records if it has completed them.
    pub fn record_control_response(
        &self,
        sent_at: time::Instant,
        held: time::Millis,
        is_complete: bool,
    ) {
        let now = self.clock.now();
        let is_current_again = self.with_core(|core| {
            let age = &mut core.records_age;
            let before = age.freshness(now);
            age.record_response();
            if is_complete {
                age.confirm(now, sent_at, held);
            }
            before == Freshness::Outdated && age.freshness(now) == Freshness::Current
        });
        if is_current_again {
            self.wake_waiting();
        }
    }

    /// Records that a call to a control process that was sent at `sent_at` with this time limit has failed.
    pub fn record_failed_call(&self, sent_at: time::Instant, limit: time::Millis) {
        let now = self.clock.now();
        self.with_core(|core| core.records_age.record_failure(now, sent_at, limit));
    }

    /// The time since a control process responded last, which bounds the age of the known state.
    #[must_use]
    pub fn control_silence(&self) -> time::Millis {
        let heard = time::Instant(self.last_control_contact.load(atomic::Ordering::Relaxed));
        self.clock.now().since(heard)
    }

    /// Sets the leading control process.
    pub fn set_leader(&self, leader: Option<net::Ipv4Addr>) {
        let ip = leader.map_or(0, u32::from);
        let before = self.leader.swap(ip, atomic::Ordering::Relaxed);
        if before != ip {
            let leader = leader.map(|it| it.to_string()).unwrap_or_default();
            ::log::info!(leader; "gateway: leader changed");
        }
    }

    /// Runs `decide` on the core state, under its lock.
    pub fn with_core<T>(&self, decide: impl FnOnce(&mut Core) -> T) -> T {
        decide(&mut locks::lock(&self.core))
    }

    /// Merges endpoint records, and wakes waiting requests if something changed.
    pub fn merge_records(&self, packed: &[messages::EncodedRecord]) {
        if packed.is_empty() {
            return;
        }
        let now = self.clock.now();
        let records = records::unpack(packed, &self.misread, now);
        let mut core = locks::lock(&self.core);
        core.directory.forget_ended(now);
        let mut changed = Vec::new();
        for record in records {
            let engine = wire::instance_key(&record.instance.id);
            if self.merge_record(&mut core, now, record) {
                changed.push(engine);
            }
        }
        if !changed.is_empty() {
            core.changes += 1;
            drop(core);
            self.changed.notify_all();
            queues::serve_engines(self, &changed);
        }
    }

    /// Applies the observation of an entry peer, and wakes waiting requests if it shows that an engine has room.
    pub fn apply_observation(&self, from: net::Ipv4Addr, observation: &wire::EngineObservation) {
        let now = self.clock.now();
        let has_room =
            self.with_core(|core| core.chooser.apply_observation(now, from, observation));
        if self.settings.shared_queue.enabled {
            queues::apply_observation(self, from, observation, has_room);
        }
        if has_room && self.waiting.load(atomic::Ordering::Relaxed) > 0 {
            self.wake_waiting();
        }
    }

    /// The hash of the known list of entry processes.
    #[must_use]
    pub fn entries_known(&self) -> u64 {
        locks::lock(&self.core).entries_number
    }

    /// Replaces the list of entry processes by the one with this hash.
    pub fn set_entries(&self, number: u64, entries: Vec<net::Ipv4Addr>) {
        let mut core = locks::lock(&self.core);
        if entries.is_empty() || core.entries_number == number {
            return;
        }
        ::log::info!(count = entries.len(); "gateway: entry processes changed");
        let own = self.settings.discovery.ip;
        core.chooser.set_entries(own, &entries);
        let now = self.clock.now();
        core.allowances.set_entries(now, &entries);
        core.entries_number = number;
        core.entries = entries;
    }

    /// Marks an endpoint as gone, since another instance answers at its address. Records of it that control
    /// processes still hold are out of date.
    pub fn mark_replaced(&self, id: &directory::InstanceId) {
        let now = self.clock.now();
        let mut core = locks::lock(&self.core);
        core.chooser.remove_instance(id);
        if core.directory.mark_gone(now, id) {
            ::log::info!(endpoint:% = id; "gateway: another instance answers at the endpoint's address");
        }
    }

    /// Marks an endpoint as leaving, since it has reported so in a response. The next calls to control pass this on.
    pub fn mark_leaving(&self, id: &directory::InstanceId) {
        let now = self.clock.now();
        let mut core = locks::lock(&self.core);
        if !core.directory.mark_leaving(now, id) {
            return;
        }
        if let Some(instance) = core.directory.instance(id).cloned() {
            core.chooser.update_instance(&instance);
        }
        core.leaving.push((id.clone(), now));
        core.changes += 1;
        drop(core);
        self.changed.notify_all();
        ::log::info!(endpoint:% = id; "gateway: endpoint reports in a response that it is leaving");
    }

    /// The endpoints that were marked as leaving lately, to be reported to control.
    #[must_use]
    pub fn leaving(&self) -> Vec<directory::InstanceId> {
        let now = self.clock.now();
        let mut core = locks::lock(&self.core);
        core.leaving
            .retain(|(_, at)| now.since(*at) < LEAVING_REPORT_PERIOD);
        core.leaving.iter().map(|(id, _)| id.clone()).collect()
    }

    fn merge_record(&self, core: &mut Core, now: time::Instant, record: directory::Record) -> bool {
        let (id, age) = (record.instance.id.clone(), record.age);
        match core.directory.merge(now, record) {
            directory::MergeOutcome::Confirmed
            | directory::MergeOutcome::Stale
            | directory::MergeOutcome::Full => false,
            offer @ (directory::MergeOutcome::New | directory::MergeOutcome::Changed) => {
                let Some(instance) = core.directory.instance(&id).cloned() else {
                    return false;
                };
                core.chooser.update_instance(&instance);
                // Pooled connections lead to an instance that has ended. If its VM lost power, requests sent on
                // them would be lost without an error.
                if instance.has_ended() || offer == directory::MergeOutcome::New {
                    self.pool.forget(instance.address);
                    locks::lock(&self.paths).forget(instance.address);
                }
                self.log_endpoint_change(now, &instance, offer, age);
                true
            }
        }
    }

    /// Logs the change of an endpoint. Control processes log every change; here, only an endpoint that ends or
    /// leaves is logged above debug level, since it explains refusals.
    fn log_endpoint_change(
        &self,
        now: time::Instant,
        instance: &directory::Instance,
        offer: directory::MergeOutcome,
        age: time::Millis,
    ) {
        let state = instance.state;
        let software = instance.software_version.as_deref().unwrap_or_default();
        if state == directory::State::Ready {
            return ::log::debug!(endpoint:% = instance.id, software, offer:? = offer, sequence = instance.sequence,
                age_ms = age.0; "gateway: endpoint changed");
        }
        let left_out = match self.endpoint_changes.line(now) {
            sampler::Line::Write => 0,
            sampler::Line::WriteAfter(left_out) => left_out,
            sampler::Line::LeaveOut => return,
        };
        ::log::info!(endpoint:% = instance.id, software, offer:? = offer, state:? = state,
            sequence = instance.sequence, age_ms = age.0, left_out; "gateway: endpoint changed");
    }

    /// Waits up to `limit` for a change after the change count `seen`. Returns the current change count.
    #[must_use]
    pub fn wait(&self, seen: u64, limit: std_time::Duration) -> u64 {
        let (core, _) = self
            .changed
            .wait_timeout_while(locks::lock(&self.core), limit, |core| core.changes == seen)
            .unwrap_or_else(sync::PoisonError::into_inner);
        core.changes
    }

    /// Counts a change and wakes all waiting requests. Those in queues are served at regular intervals, and by
    /// [`queues::serve_engines`] where an engine has room.
    pub fn wake_waiting(&self) {
        locks::lock(&self.core).changes += 1;
        self.changed.notify_all();
    }

    /// Whether the process has been told to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(atomic::Ordering::Relaxed)
    }

    /// Whether the process exits as soon as the last responses are written, so that no endpoint is waited for any more.
    #[must_use]
    pub fn is_exiting(&self) -> bool {
        self.exiting.load(atomic::Ordering::Relaxed)
    }

    /// For how long no configuration has been in force, and what this process waits for; none if one is in force.
    #[must_use]
    pub fn config_wait(&self) -> Option<config_check::ConfigWait> {
        if self.version() > 0 {
            return None;
        }
        let has_response = self.last_control_contact.load(atomic::Ordering::Relaxed) > 0;
        let newest = self.config_fetcher.newest();
        Some(config_check::ConfigWait {
            waited: self.clock.now().since(time::Instant(0)),
            waits_for: wire_check::WaitsFor::of(has_response, newest),
        })
    }

    /// Whether the load balancer may send callers here: the process is not stopping, its configuration is up to
    /// date and endpoints are known.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.version() > 0
            && !self.is_out_of_date()
            && !self.is_isolated()
            && self.with_core(|it| it.chooser.has_ready_endpoint())
    }
}

impl Core {
    /// The number of changes so far, for [`Shared::wait`].
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Counts the demand of a request, and returns its engine time in microseconds. `cached_tokens` is the number of its prompt tokens that the chosen engine has
    /// cached according to the model's coordinator.
    pub fn count_demand(
        &mut self,
        service: &str,
        wanted: &dialect::ModelRef,
        metadata: &dialect::RequestMetadata,
        cached_tokens: Option<u64>,
    ) -> u64 {
        let prefill_us = self
            .chooser
            .prefill_us(service, wanted, metadata, cached_tokens);
        let request = demand_counter::RequestDemand {
            prefill_us,
            output_tokens: metadata.output_tokens,
            adapter: wanted.adapter.as_deref(),
        };
        self.unreported_demand
            .add_request(service, &wanted.model, &request);
        prefill_us
    }

    /// Whether control has to be asked for an adapter now: requests that wait for the same one ask once.
    pub fn should_request_adapter(
        &mut self,
        now: time::Instant,
        want: &messages::AdapterReq,
    ) -> bool {
        self.requested_adapters
            .retain(|_, at| now.since(*at) < ADAPTER_REQUEST_RESEND_INTERVAL);
        if self.requested_adapters.contains_key(want) {
            return false;
        }
        self.requested_adapters.insert(want.clone(), now);
        true
    }
}
