//! What the threads of an entry process share.

use std::{
    collections, net,
    sync::{self, atomic},
    time as std_time,
};

use sageshed_fleet::{
    allowance, backlog, budget, chooser, demand_counter, dialect, directory, entry_peers as words,
    messages, quarantine,
};
use sageshed_types::{document, time};
use sageshed_upstream::pool;

use super::{entry_peers, fetch, metrics, routing};
use crate::{accounts, clock, locks, records, sampler, settings};

/// Shared by all threads of an entry process.
#[derive(Debug)]
pub struct Shared<D> {
    /// The settings.
    pub settings: settings::FleetEntry,
    /// The protocol of callers and endpoints.
    pub dialect: D,
    /// This process's clock.
    pub clock: clock::Clock,
    /// Connections to endpoints.
    pub pool: pool::Pool,
    /// To control processes.
    pub client: sageshed_vms::Client,
    /// To other entry processes; none where the port could not be opened.
    pub entry_peers: Option<entry_peers::EntryPeers>,
    /// What is counted.
    pub metrics: metrics::Metrics,
    /// The accounts of the latest requests, for operators.
    pub accounts: sync::Mutex<accounts::Accounts>,
    /// Which successes are logged.
    pub sampler: sampler::Sampler,
    /// Words of other processes that could not be read.
    pub misread: sampler::Sampler,
    /// Changes of endpoints that are logged.
    endpoint_changes: sampler::Sampler,
    pub(super) routing: sync::RwLock<Option<sync::Arc<routing::Routing>>>,
    /// The newest configuration as its operator sent it, of which control tells changes.
    pub(super) document: sync::Mutex<document::Document>,
    pub(super) fetching: fetch::ConfigFetcher,
    core: sync::Mutex<Core>,
    changed: sync::Condvar,
    /// The control process that leads, as a number; zero if none is known.
    leader: atomic::AtomicU32,
    /// When a control process was heard last, in milliseconds on this process's clock.
    last_control_contact: atomic::AtomicU64,
    /// Requests that wait here for a place, a load or an endpoint.
    pub waiting: atomic::AtomicUsize,
    /// Set when the process is to stop.
    pub stopping: atomic::AtomicBool,
    /// Set when the balancer has had the time to turn callers away, and a new request might not be
    /// done before the process ends.
    pub refusing: atomic::AtomicBool,
    /// Set when the process is about to end, and no request that still waits here can be answered.
    pub ending: atomic::AtomicBool,
}

/// What decisions are made by.
#[derive(Debug)]
pub struct Core {
    /// Chooses endpoints.
    pub chooser: chooser::Chooser,
    /// What waits here for engines.
    pub backlog: backlog::Backlog,
    /// What is known of allowances that all entry processes spend together.
    pub allowances: allowance::AllowanceTable,
    /// Allows repeats.
    pub budget: budget::RetryBudget,
    /// What is known of endpoints.
    pub directory: directory::Directory,
    /// Under which requests endpoints have ended.
    pub quarantine: quarantine::Quarantine,
    /// Endpoints that have said in an answer to this process that they leave, and when.
    leaving: Vec<(directory::InstanceId, time::Instant)>,
    /// The entry processes, this one included.
    pub entries: Vec<net::Ipv4Addr>,
    /// The number of that list.
    entries_number: u64,
    /// What callers asked for and was not told yet.
    pub tally: demand_counter::DemandCounter,
    wanted: collections::HashMap<messages::AdapterReq, time::Instant>,
    /// Counts changes that a waiting request may wait for.
    changes: u64,
}

/// Accounts kept of past requests. Each takes about a kilobyte, and a process of today has some ten
/// requests a second: the last minute.
const MAX_ACCOUNTS: usize = 600;

/// Successes that are logged in a second. At three times that the lines of successes alone would cost
/// more than the requests that they tell of on the smallest VMs.
pub const MAX_SUCCESSES_LOGGED_PER_SECOND: u64 = 20;

/// Lines a second on words of other processes that could not be read.
const MISREAD_LOGGED_PER_SECOND: u64 = 5;

/// Lines a second on endpoints that leave or end. A release of thousands would cost each entry process as many lines.
const ENDPOINT_CHANGES_LOGGED_PER_SECOND: u64 = 10;

/// The longest that a waiting request goes without a look at whether its caller is still there.
pub const CALLER_CHECK_INTERVAL: std_time::Duration = std_time::Duration::from_millis(100);

/// How long control is told that an endpoint leaves: several calls of each link, so that it reaches more than one
/// control process, and one that was just lost.
const LEAVING_REPORT_PERIOD: time::Millis = time::Millis(5_000);

/// How long a want is taken to be under way before it is said again.
const ADAPTER_REQUEST_RESEND_INTERVAL: time::Millis = time::Millis(250);

impl<D: dialect::Dialect> Shared<D> {
    /// What a process with these settings starts with.
    #[must_use]
    pub fn new(settings: settings::FleetEntry, dialect: D) -> Self {
        let retries = settings.retries;
        let start = clock::unix_ms();
        let discovery = &settings.discovery;
        let entry_peers = match entry_peers::EntryPeers::open(discovery.ip, discovery.vms_port) {
            Ok(peers) => Some(peers),
            Err(e) => {
                ::log::warn!(error:% = e; "gateway: goes on without a word of its neighbours");
                None
            }
        };
        let seed = start ^ (u64::from(u32::from(settings.discovery.ip)) << 32);
        let core = Core {
            chooser: chooser::Chooser::new(&settings.availability_zone, seed)
                .with_policy(settings.routing),
            backlog: backlog::Backlog::default(),
            allowances: allowance::AllowanceTable::new(settings.discovery.ip, start),
            budget: budget::RetryBudget::new(budget::RetryAllowance {
                ratio: retries.ratio,
                slack: retries.slack,
                window: retries.window_ms,
            }),
            directory: directory::Directory::new(start),
            quarantine: quarantine::Quarantine::new(start),
            leaving: Vec::new(),
            entries: vec![settings.discovery.ip],
            entries_number: 0,
            tally: demand_counter::DemandCounter::default(),
            wanted: collections::HashMap::new(),
            changes: 0,
        };
        Self {
            settings,
            dialect,
            clock: clock::Clock::start(),
            pool: pool::Pool::new(pool::Settings::default()),
            client: sageshed_vms::Client::new(""),
            entry_peers,
            metrics: metrics::Metrics::default(),
            accounts: sync::Mutex::new(accounts::Accounts::new(MAX_ACCOUNTS)),
            sampler: sampler::Sampler::new(MAX_SUCCESSES_LOGGED_PER_SECOND),
            misread: sampler::Sampler::new(MISREAD_LOGGED_PER_SECOND),
            endpoint_changes: sampler::Sampler::new(ENDPOINT_CHANGES_LOGGED_PER_SECOND),
            routing: sync::RwLock::new(None),
            document: sync::Mutex::default(),
            fetching: fetch::ConfigFetcher::default(),
            core: sync::Mutex::new(core),
            changed: sync::Condvar::new(),
            leader: atomic::AtomicU32::new(0),
            last_control_contact: atomic::AtomicU64::new(0),
            waiting: atomic::AtomicUsize::new(0),
            stopping: atomic::AtomicBool::new(false),
            refusing: atomic::AtomicBool::new(false),
            ending: atomic::AtomicBool::new(false),
        }
    }

    /// The control process that leads, as far as is known.
    #[must_use]
    pub fn leader(&self) -> Option<net::Ipv4Addr> {
        match self.leader.load(atomic::Ordering::Relaxed) {
            0 => None,
            ip => Some(ip.into()),
        }
    }

    /// A control process has answered.
    pub fn record_control_contact(&self) {
        let now = self.clock.now();
        self.last_control_contact
            .store(now.0, atomic::Ordering::Relaxed);
        self.with_core(|core| core.allowances.heard_control(now));
    }

    /// How old what is believed may be: the time since a control process answered.
    #[must_use]
    pub fn control_silence(&self) -> time::Millis {
        let heard = time::Instant(self.last_control_contact.load(atomic::Ordering::Relaxed));
        self.clock.now().since(heard)
    }

    /// Takes note of who leads.
    pub fn set_leader(&self, leader: Option<net::Ipv4Addr>) {
        let ip = leader.map_or(0, u32::from);
        let before = self.leader.swap(ip, atomic::Ordering::Relaxed);
        if before != ip {
            let leader = leader.map(|it| it.to_string()).unwrap_or_default();
            ::log::info!(leader; "gateway: leader changed");
        }
    }

    /// Decides by what is known now.
    pub fn with_core<T>(&self, decide: impl FnOnce(&mut Core) -> T) -> T {
        decide(&mut locks::lock(&self.core))
    }

    /// Takes records of endpoints, and wakes the requests that wait for one.
    pub fn merge_records(&self, packed: &[messages::EncodedRecord]) {
        if packed.is_empty() {
            return;
        }
        let now = self.clock.now();
        let records = records::unpack(packed, &self.misread, now);
        let mut core = locks::lock(&self.core);
        core.directory.forget_ended(now);
        let mut is_news = false;
        for record in records {
            is_news |= self.merge_record(&mut core, now, record);
        }
        if is_news {
            core.changes += 1;
            drop(core);
            self.changed.notify_all();
        }
    }

    /// Takes a neighbour's word, and wakes the requests that wait for an engine to have read.
    pub fn hear(&self, from: net::Ipv4Addr, word: &words::EngineObservation) {
        let now = self.clock.now();
        let has_room = self.with_core(|core| core.chooser.apply_observation(now, from, word));
        if has_room && self.waiting.load(atomic::Ordering::Relaxed) > 0 {
            self.wake_waiting();
        }
    }

    /// The number of the list of entry processes that is known.
    #[must_use]
    pub fn entries_known(&self) -> u64 {
        locks::lock(&self.core).entries_number
    }

    /// Takes the list of entry processes.
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

    /// Another start of an endpoint answers at the address of this one: it has gone, and what control
    /// processes still say of it is old.
    pub fn mark_replaced(&self, id: &directory::InstanceId) {
        let now = self.clock.now();
        let mut core = locks::lock(&self.core);
        core.chooser.remove_instance(id);
        if core.directory.mark_gone(now, id) {
            ::log::info!(endpoint:% = id; "gateway: another start answers at the endpoint's address");
        }
    }

    /// An endpoint has said in an answer that it leaves. Control is told with the next calls.
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
        ::log::info!(endpoint:% = id; "gateway: endpoint says in an answer that it leaves");
    }

    /// Endpoints that have said so lately, for control to be told.
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
                // Connections that were kept are to a start that has ended: where its VM lost power, what is
                // sent on them is lost without a word.
                if instance.has_ended() || offer == directory::MergeOutcome::New {
                    self.pool.forget(instance.address);
                }
                self.log_endpoint_change(now, &instance, offer, age);
                true
            }
        }
    }

    /// Control processes log each change of an endpoint; what ends or leaves explains refusals here as well.
    fn log_endpoint_change(
        &self,
        now: time::Instant,
        instance: &directory::Instance,
        offer: directory::MergeOutcome,
        age: time::Millis,
    ) {
        let state = instance.state;
        if state == directory::State::Ready {
            return ::log::debug!(endpoint:% = instance.id, offer:? = offer, sequence = instance.sequence,
                age_ms = age.0; "gateway: endpoint changed");
        }
        let left_out = match self.endpoint_changes.line(now) {
            sampler::Line::Write => 0,
            sampler::Line::WriteAfter(left_out) => left_out,
            sampler::Line::LeaveOut => return,
        };
        ::log::info!(endpoint:% = instance.id, offer:? = offer, state:? = state,
            sequence = instance.sequence, age_ms = age.0, left_out; "gateway: endpoint changed");
    }

    /// Waits until something changed since `seen`, for `limit` at the most. Returns the count of
    /// changes to wait from next.
    #[must_use]
    pub fn wait(&self, seen: u64, limit: std_time::Duration) -> u64 {
        let (core, _) = self
            .changed
            .wait_timeout_while(locks::lock(&self.core), limit, |core| core.changes == seen)
            .unwrap_or_else(sync::PoisonError::into_inner);
        core.changes
    }

    /// A place has become free: wakes the requests that wait for one.
    pub fn wake_waiting(&self) {
        locks::lock(&self.core).changes += 1;
        self.changed.notify_all();
    }

    /// Whether the process is to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(atomic::Ordering::Relaxed)
    }

    /// Whether the balancer may send callers here: a configuration and endpoints are known.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.version() > 0
            && !self.is_out_of_date()
            && self.with_core(|it| it.chooser.has_ready_endpoint())
    }
}

impl Core {
    /// The count of changes so far.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Counts what a caller asks for, of which an engine keeps so many tokens by the word of others.
    pub fn count_demand(
        &mut self,
        service: &str,
        wanted: &dialect::ModelRef,
        passing: &dialect::RequestMetadata,
        kept: Option<u64>,
    ) {
        let prefill_us = self.chooser.prefill_us(service, wanted, passing, kept);
        let request = demand_counter::RequestDemand {
            prefill_us,
            output_tokens: passing.output_tokens,
            adapter: wanted.adapter.as_deref(),
        };
        self.tally.add_request(service, &wanted.model, &request);
    }

    /// Whether a want has to be said now: requests that wait for the same adapter say it once.
    pub fn should_request_adapter(
        &mut self,
        now: time::Instant,
        want: &messages::AdapterReq,
    ) -> bool {
        self.wanted
            .retain(|_, at| now.since(*at) < ADAPTER_REQUEST_RESEND_INTERVAL);
        if self.wanted.contains_key(want) {
            return false;
        }
        self.wanted.insert(want.clone(), now);
        true
    }
}
