//! The metrics of an entry process.

use std::{
    collections,
    sync::{self, atomic},
    time,
};

use opentelemetry::{KeyValue, metrics as instruments};
use sageshed_http::stats;
use sageshed_types::framing;
use sageshed_upstream::{failure, relay};

use super::{allowances, entry_peers, state};
use crate::{locks, metrics};

/// The upper bounds of the histogram buckets for durations, in seconds.
const DURATION_BUCKETS_S: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 2.0, 5.0, 10.0, 20.0,
];

/// The most workspaces that are counted by name: the first ones that send requests. With three results each they
/// take 200 lines of output, as many as all other metrics.
const MAX_NAMED_WORKSPACES: usize = 64;

/// The label of all other workspaces.
const OTHER_WORKSPACES: &str = "(others)";

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With the response of an endpoint.
    Answered,
    /// With a refusal by this process.
    Refused,
    /// Its caller disconnected.
    CallerGone,
}

impl End {
    fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::CallerGone => "caller_gone",
        }
    }
}

/// Who resumed a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumedBy {
    /// This process, within one response.
    Process,
    /// Its caller, with another request.
    Caller,
}

impl ResumedBy {
    /// Its label in metrics and logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Process => "process",
            Self::Caller => "caller",
        }
    }
}

/// The software versions that began and resumed a stream, compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Versions {
    /// One version did both.
    Same,
    /// Two versions did.
    Different,
    /// One of them is not known.
    Unknown,
}

impl Versions {
    /// Its label in metrics and logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Same => "same",
            Self::Different => "different",
            Self::Unknown => "unknown",
        }
    }
}

/// What became of a run whose endpoint was silent when another one was tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceEnd {
    /// Its endpoint went on.
    WentOn,
    /// Another endpoint responded first.
    Replaced,
    /// The request ended before.
    RequestEnded,
}

impl SilenceEnd {
    /// Its label in metrics and logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::WentOn => "went_on",
            Self::Replaced => "replaced",
            Self::RequestEnded => "request_ended",
        }
    }
}

/// How the body of a response has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// As its endpoint delimits it.
    Complete,
    /// Early, by this failure.
    Failed(failure::Cause),
}

impl BodyEnd {
    /// Its label in metrics and logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Failed(failure::Cause::ClosedInAnswer | failure::Cause::ClosedBeforeAnswer) => {
                "closed"
            }
            Self::Failed(failure::Cause::Silent) => "silent",
            Self::Failed(failure::Cause::Malformed) => "malformed",
            Self::Failed(_) => "left",
        }
    }
}

/// How a response has ended, and what its caller was told of that.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseEnd {
    /// By what the endpoint delimits its body.
    pub delimiter: framing::Delimiter,
    /// How the body has ended.
    pub end: BodyEnd,
    /// By what the body is delimited for the caller; none if the caller has received nothing of it.
    pub passed_by: Option<framing::Delimiter>,
}

impl ResponseEnd {
    /// The label of what delimits the body for the caller.
    #[must_use]
    pub fn framing(self) -> &'static str {
        self.passed_by
            .map_or("not_passed_on", framing::Delimiter::label)
    }
}

/// The instruments of an entry process.
#[derive(Debug)]
pub struct Metrics {
    registry: metrics::Registry,
    took: instruments::Histogram<f64>,
    ended: instruments::Counter<u64>,
    by_workspace: instruments::Counter<u64>,
    resumed: instruments::Counter<u64>,
    cut: instruments::Counter<u64>,
    silences: instruments::Counter<u64>,
    responses: instruments::Counter<u64>,
    surplus: instruments::Counter<u64>,
    /// The workspaces that are counted by name.
    workspaces: sync::Mutex<collections::HashSet<String>>,
    /// The bytes of endpoints' responses that were passed on to callers.
    passed_on: atomic::AtomicU64,
    gauges: Gauges,
}

/// The gauges, which are set when the metrics are scraped.
#[derive(Debug)]
struct Gauges {
    ready: metrics::Gauge,
    version: metrics::Gauge,
    behind: metrics::Gauge,
    entries: metrics::Gauge,
    endpoints: metrics::Gauge,
    open_endpoints: metrics::Gauge,
    limited_endpoints: metrics::Gauge,
    unconnectable: metrics::Gauge,
    lost_paths: metrics::Gauge,
    relayed: metrics::Gauge,
    connections: metrics::Gauge,
    endpoint_bytes: metrics::Gauge,
    silence: metrics::Gauge,
    records_age: metrics::Gauge,
    config_wait: metrics::Gauge,
    waiting: metrics::Gauge,
    port: PortGauges,
    repeats: metrics::Gauge,
    quotas: metrics::Gauge,
    idle: metrics::Gauge,
    quarantined: metrics::Gauge,
    stream_records: metrics::Gauge,
    dropped_stream_records: metrics::Gauge,
    queues: QueueGauges,
}

/// The gauges of the port for callers, and of coordinators that did not reply in time.
#[derive(Debug)]
struct PortGauges {
    open: metrics::Gauge,
    refused: metrics::Gauge,
    unread: metrics::Gauge,
    expired: metrics::Gauge,
    longest_wait: metrics::Gauge,
    threads: metrics::Gauge,
    threads_started: metrics::Gauge,
    timeouts: metrics::Gauge,
}

/// The gauges of the queues and slots that this process keeps.
#[derive(Debug)]
struct QueueGauges {
    queue_length: metrics::Gauge,
    queue_oldest: metrics::Gauge,
    queue_grants: metrics::Gauge,
    queue_removals: metrics::Gauge,
    queue_reservations: metrics::Gauge,
    slot_requests: metrics::Gauge,
    slot_waiting: metrics::Gauge,
    slot_leases: metrics::Gauge,
}

impl Gauges {
    fn new(registry: &metrics::Registry) -> Self {
        let gauge = |name, help| registry.gauge(name, help);
        Self {
            ready: gauge(
                "sageshed_gateway_ready",
                "1 while callers are taken, else 0",
            ),
            version: gauge("sageshed_gateway_config", "Configuration in force here"),
            behind: gauge(
                "sageshed_gateway_config_behind",
                "Seconds for which a newer configuration has been known",
            ),
            entries: gauge(
                "sageshed_gateway_entries",
                "Entry processes that share budgets",
            ),
            endpoints: gauge("sageshed_gateway_endpoints", "Endpoints known"),
            open_endpoints: gauge(
                "sageshed_gateway_endpoints_open",
                "Endpoints that take work",
            ),
            limited_endpoints: gauge(
                "sageshed_gateway_endpoints_limited",
                "Endpoints that have named a limit",
            ),
            unconnectable: gauge(
                "sageshed_gateway_endpoints_unconnectable",
                "Endpoints to which no connection can be opened",
            ),
            lost_paths: gauge(
                "sageshed_gateway_paths_lost",
                "Endpoints that only other entry processes reach",
            ),
            relayed: gauge(
                "sageshed_gateway_relayed",
                "Connections opened for other entry processes",
            ),
            connections: gauge("sageshed_gateway_connects", "Connections made to endpoints"),
            endpoint_bytes: gauge(
                "sageshed_gateway_endpoint_bytes",
                "Bytes received from endpoints since the start, those passed on to callers, and those held now",
            ),
            config_wait: gauge(
                "sageshed_gateway_config_wait",
                "Seconds since the start for which no configuration has been in force",
            ),
            silence: gauge(
                "sageshed_gateway_control_silence",
                "Since a control process answered",
            ),
            records_age: gauge(
                "sageshed_gateway_endpoint_records_age",
                "Seconds since the endpoint records were complete",
            ),
            waiting: gauge("sageshed_gateway_waiting", "Requests that wait here"),
            port: PortGauges::new(registry),
            repeats: gauge(
                "sageshed_gateway_repeats_left",
                "Repeats left in the budget",
            ),
            quotas: gauge(
                "sageshed_gateway_quota_left",
                "What is left at once of a quota that this process keeps",
            ),
            idle: gauge("sageshed_gateway_idle", "Idle connections to endpoints"),
            quarantined: gauge(
                "sageshed_gateway_requests_held",
                "Requests that are passed on no more since endpoints ended under them",
            ),
            stream_records: gauge(
                "sageshed_gateway_stream_records",
                "Streams whose software version is known here",
            ),
            dropped_stream_records: gauge(
                "sageshed_gateway_stream_records_dropped",
                "Of these, dropped before their time since the start",
            ),
            queues: QueueGauges::new(registry),
        }
    }
}

impl PortGauges {
    fn new(registry: &metrics::Registry) -> Self {
        let gauge = |name, help| registry.gauge(name, help);
        Self {
            open: gauge(
                "sageshed_gateway_callers_connected",
                "Connections of callers",
            ),
            refused: gauge(
                "sageshed_gateway_callers_refused",
                "Connections refused since the start, since too many were open",
            ),
            unread: gauge(
                "sageshed_gateway_callers_unread",
                "Connections closed unread since the start, since their requests could not be started in time",
            ),
            expired: gauge(
                "sageshed_gateway_callers_expired",
                "Connections closed since the start, since they were idle for too long",
            ),
            longest_wait: gauge(
                "sageshed_gateway_start_wait",
                "The longest time in seconds that a request has waited for its start in the latest second",
            ),
            threads: gauge(
                "sageshed_gateway_threads",
                "Threads that serve callers or wait for the next one",
            ),
            threads_started: gauge(
                "sageshed_gateway_threads_started",
                "Threads started for callers since the start",
            ),
            timeouts: gauge(
                "sageshed_gateway_coordinator_timeouts",
                "Coordinators that did not reply in time since the start",
            ),
        }
    }

    fn set(&self, port: stats::Stats, (timeouts, late_replies): (u64, u64)) {
        self.open.set(port.open as f64);
        self.refused.set(port.refused as f64);
        self.unread.set(port.unread as f64);
        let expired = [
            ("none", port.expired - port.expired_with_input),
            ("unread", port.expired_with_input),
        ];
        for (input, count) in expired {
            self.expired.set_for("input", input, count as f64);
        }
        self.longest_wait.set(port.longest_wait.as_secs_f64());
        self.threads.set(port.threads as f64);
        self.threads_started.set(port.threads_started as f64);
        self.timeouts.set_for("reply", "none", timeouts as f64);
        self.timeouts.set_for("reply", "late", late_replies as f64);
    }
}

impl QueueGauges {
    fn new(registry: &metrics::Registry) -> Self {
        let gauge = |name, help| registry.gauge(name, help);
        Self {
            queue_length: gauge(
                "sageshed_gateway_queue_length",
                "Requests in the queues that this process keeps",
            ),
            queue_oldest: gauge(
                "sageshed_gateway_queue_oldest",
                "Seconds for which the oldest of these has waited",
            ),
            queue_grants: gauge(
                "sageshed_gateway_queue_grants",
                "Grants of these queues since the start",
            ),
            queue_removals: gauge(
                "sageshed_gateway_queue_removals",
                "Requests that left these queues without a grant since the start",
            ),
            queue_reservations: gauge(
                "sageshed_gateway_queue_reservations",
                "Reservations of refused requests that have ended since the start",
            ),
            slot_requests: gauge(
                "sageshed_gateway_slot_requests",
                "Requests for slots of plain services since the start",
            ),
            slot_waiting: gauge(
                "sageshed_gateway_slot_waiting",
                "Requests of all processes that wait for slots that this process grants",
            ),
            slot_leases: gauge(
                "sageshed_gateway_slot_leases",
                "Slots that this process has granted since the start",
            ),
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = metrics::Registry::new();
        let meter = registry.meter();
        let took = meter
            .f64_histogram("sageshed_gateway_request")
            .with_description("From arrival to the end of the answer")
            .with_unit("s")
            .with_boundaries(DURATION_BUCKETS_S.to_vec())
            .build();
        let ended = meter
            .u64_counter("sageshed_gateway_requests")
            .with_description("Requests that ended")
            .build();
        let by_workspace = meter
            .u64_counter("sageshed_gateway_workspace_requests")
            .with_description("Requests that ended, by who sent them")
            .build();
        let resumed = meter
            .u64_counter("sageshed_gateway_streams_resumed")
            .with_description("Streams that were resumed")
            .build();
        let cut = meter
            .u64_counter("sageshed_gateway_streams_cut")
            .with_description("Streams that had begun and were ended here before their last event")
            .build();
        let silences = meter
            .u64_counter("sageshed_gateway_silent_runs")
            .with_description("Runs at silent endpoints that were kept while another one was tried")
            .build();
        let responses = meter
            .u64_counter("sageshed_gateway_responses")
            .with_description("Responses of endpoints whose body has ended")
            .build();
        let surplus = meter
            .u64_counter("sageshed_gateway_responses_with_surplus")
            .with_description("Responses behind whose end their endpoint sent more bytes")
            .build();
        let gauges = Gauges::new(&registry);
        Self {
            registry,
            took,
            ended,
            by_workspace,
            resumed,
            cut,
            silences,
            responses,
            surplus,
            workspaces: sync::Mutex::default(),
            passed_on: atomic::AtomicU64::default(),
            gauges,
        }
    }
}

impl Metrics {
    /// Counts a request that has ended, and records how long it took.
    pub fn ended(&self, service: &str, priority: u8, end: End, status: u16, took: time::Duration) {
        let of = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("priority", i64::from(priority)),
            KeyValue::new("end", end.label()),
            KeyValue::new("status", i64::from(status)),
        ];
        self.ended.add(1, &of);
        self.took.record(took.as_secs_f64(), &of[..3]);
    }

    /// Counts a stream that was resumed.
    pub fn stream_resumed(&self, by: ResumedBy, versions: Versions) {
        let of = [
            KeyValue::new("by", by.label()),
            KeyValue::new("versions", versions.label()),
        ];
        self.resumed.add(1, &of);
    }

    /// Counts a run at a silent endpoint that is kept no longer.
    pub fn silence_ended(&self, end: SilenceEnd) {
        self.silences.add(1, &[KeyValue::new("end", end.label())]);
    }

    /// Counts a response whose body has ended.
    pub fn response_ended(&self, response: ResponseEnd) {
        let of = [
            KeyValue::new("delimiter", response.delimiter.label()),
            KeyValue::new("end", response.end.label()),
            KeyValue::new("framing", response.framing()),
        ];
        self.responses.add(1, &of);
    }

    /// Counts a response behind whose end the endpoint sent more bytes.
    pub fn surplus_received(&self, service: &str) {
        let of = [KeyValue::new("service", service.to_owned())];
        self.surplus.add(1, &of);
    }

    /// Counts bytes of a response that were passed on to its caller.
    pub fn passed_on(&self, bytes: usize) {
        self.passed_on
            .fetch_add(bytes as u64, atomic::Ordering::Relaxed);
    }

    /// Counts a stream that this process ended after its first event and before its last, while its caller was connected.
    pub fn stream_cut(&self, reason: &str) {
        self.cut
            .add(1, &[KeyValue::new("reason", reason.to_owned())]);
    }

    /// Counts a request of a workspace that has ended; does nothing if `name` is empty.
    pub fn workspace_ended(&self, name: &str, end: End) {
        if name.is_empty() {
            return;
        }
        let mut named = locks::lock(&self.workspaces);
        let is_named = named.contains(name) || {
            let has_room = named.len() < MAX_NAMED_WORKSPACES;
            has_room && named.insert(name.to_owned())
        };
        drop(named);
        let name = if is_named { name } else { OTHER_WORKSPACES };
        let of = [
            KeyValue::new("workspace", name.to_owned()),
            KeyValue::new("end", end.label()),
        ];
        self.by_workspace.add(1, &of);
    }

    fn set_slots<D: sageshed_fleet::dialect::Dialect>(&self, shared: &state::Shared<D>) {
        let (waiting, stats) = shared.with_core(|core| (core.slots.waiting(), core.slots.stats()));
        self.gauges.queues.slot_waiting.set(waiting as f64);
        let client = &shared.slots;
        for (result, count) in [
            ("granted", &client.granted),
            ("refused", &client.refused),
            ("local", &client.local),
        ] {
            let count = count.load(std::sync::atomic::Ordering::Relaxed);
            self.gauges
                .queues
                .slot_requests
                .set_for("result", result, count as f64);
        }
        for (end, count) in [("granted", stats.granted), ("expired", stats.expired)] {
            self.gauges
                .queues
                .slot_leases
                .set_for("what", end, count as f64);
        }
    }

    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn text<D: sageshed_fleet::dialect::Dialect>(&self, shared: &state::Shared<D>) -> String {
        let now = shared.clock.now();
        let ((known, open), entries) =
            shared.with_core(|core| (core.chooser.endpoint_counts(now), core.entries.len()));
        let left = shared.with_core(|core| {
            let entries = core.entries.len();
            core.budget.left(now, entries)
        });
        for (service, left) in left {
            self.gauges.repeats.set_for("service", &service, left);
        }
        for (workspace, left) in allowances::quotas_left(shared)
            .into_iter()
            .take(MAX_NAMED_WORKSPACES)
        {
            self.gauges.quotas.set_for("workspace", &workspace, left);
        }
        let waiting = shared.waiting.load(std::sync::atomic::Ordering::Relaxed);
        self.gauges.waiting.set(waiting as f64);
        self.gauges
            .silence
            .set(shared.control_silence().0 as f64 / 1_000.0);
        let records_age = shared.with_core(|core| core.records_age.age(now));
        self.gauges.records_age.set(records_age.0 as f64 / 1_000.0);
        let wait = shared.config_wait().map(|it| it.waited).unwrap_or_default();
        self.gauges.config_wait.set(wait.0 as f64 / 1_000.0);
        self.gauges
            .ready
            .set(f64::from(u8::from(shared.is_ready())));
        self.gauges.version.set(shared.version() as f64);
        let behind = shared.behind().unwrap_or_default();
        self.gauges.behind.set(behind.0 as f64 / 1_000.0);
        self.gauges.entries.set(entries as f64);
        self.gauges.endpoints.set(known as f64);
        self.gauges.open_endpoints.set(open as f64);
        let limited = shared.with_core(|core| core.chooser.count_limited());
        self.gauges.limited_endpoints.set(limited as f64);
        let paths = locks::lock(&shared.paths).status(now);
        self.gauges.unconnectable.set(paths.failing as f64);
        self.gauges.lost_paths.set(paths.lost as f64);
        let relayed = shared.relay.get().map_or(0, relay::Relay::relayed);
        self.gauges.relayed.set(relayed as f64);
        self.gauges.connections.set(shared.pool.opened() as f64);
        self.gauges.idle.set(shared.pool.idle() as f64);
        let passed_on = self.passed_on.load(atomic::Ordering::Relaxed);
        for (kind, bytes) in [
            ("received", shared.pool.received()),
            ("passed_on", passed_on),
            ("held", shared.response_memory.held() as u64),
        ] {
            self.gauges
                .endpoint_bytes
                .set_for("kind", kind, bytes as f64);
        }
        let quarantined = shared.with_core(|core| core.quarantine.count_quarantined(now));
        self.gauges.quarantined.set(quarantined as f64);
        let (records, dropped) =
            shared.with_core(|core| (core.origins.len(), core.origins.dropped()));
        self.gauges.stream_records.set(records as f64);
        self.gauges.dropped_stream_records.set(dropped as f64);
        let peers = shared.entry_peers.as_ref();
        let timeouts = peers.map_or((0, 0), entry_peers::EntryPeers::timeouts);
        self.gauges
            .port
            .set(*locks::lock(&shared.port_stats), timeouts);
        self.set_queues(shared);
        self.set_slots(shared);
        self.registry.text()
    }

    fn set_queues<D: sageshed_fleet::dialect::Dialect>(&self, shared: &state::Shared<D>) {
        if !shared.settings.shared_queue.enabled {
            return;
        }
        let now = shared.clock.now();
        let (length, queues, counters) = shared.with_core(|core| {
            let queues = &core.queues;
            (queues.len(), queues.status(now), queues.counters())
        });
        let oldest = queues.iter().map(|it| it.oldest_ms).max();
        let gauges = &self.gauges;
        gauges.queues.queue_length.set(length as f64);
        gauges
            .queues
            .queue_oldest
            .set(oldest.unwrap_or_default().0 as f64 / 1_000.0);
        let sets = [
            (&gauges.queues.queue_grants, "given", counters.granted),
            (&gauges.queues.queue_grants, "unused", counters.unused),
            (
                &gauges.queues.queue_removals,
                "refused_on_arrival",
                counters.refused_on_arrival,
            ),
            (
                &gauges.queues.queue_removals,
                "refused_later",
                counters.refused_later,
            ),
            (
                &gauges.queues.queue_removals,
                "queue_full",
                counters.overflowed,
            ),
            (
                &gauges.queues.queue_removals,
                "abandoned",
                counters.abandoned,
            ),
            (
                &gauges.queues.queue_removals,
                "holder_silent",
                counters.holder_silent,
            ),
            (
                &gauges.queues.queue_reservations,
                "kept",
                counters.reservations_kept,
            ),
            (
                &gauges.queues.queue_reservations,
                "missed",
                counters.reservations_missed,
            ),
        ];
        for (gauge, outcome, count) in sets {
            gauge.set_for("outcome", outcome, count as f64);
        }
    }
}
