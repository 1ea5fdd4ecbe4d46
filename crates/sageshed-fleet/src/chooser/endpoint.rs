//! The state of one endpoint as known to an entry process, and the estimates derived from it.

use std::{collections, net};

use sageshed_types::time;

use super::{BATCH_STEP_MS, BeganAt, EndpointQuery, contention, prefix_cache, silence};
use crate::{dialect, directory};

/// Assumed response time of a plain service in milliseconds, until some were measured.
const INITIAL_RESPONSE_MS: f64 = 30.0;

/// How long a load report of an endpoint is used, in milliseconds. Its weight falls linearly over that
/// time.
const LOAD_TTL_MS: f64 = 1_000.0;

/// Half-life of a failure in milliseconds.
const FAILURE_HALF_LIFE_MS: f64 = 1_500.0;

/// Weight of a rejection by an endpoint of a plain service, relative to a failure. The request goes
/// elsewhere at once.
const REJECTION_FAILURE_WEIGHT: f64 = 0.2;

/// How long an engine that rejected a request for a model is not selected for that model. Unloading a model
/// takes as long as its running requests, up to seconds, and each request that runs into it costs one
/// retry.
const REJECTION_TTL: time::Millis = time::Millis(500);

/// Penalty of one failure on the estimate in milliseconds.
const FAILURE_PENALTY_MS: f64 = 250.0;

/// Penalty on the estimate while a probe of a silent endpoint is due, in milliseconds. Where other engines are idle, no
/// caller has to take the risk.
const PROBE_PENALTY_MS: f64 = 40.0;

/// Silence after which an engine with outstanding responses is suspected, in milliseconds. An engine that
/// is merely busy with prefills still sends events of its streams.
const SILENCE_THRESHOLD_MS: f64 = 700.0;

/// Penalty on the estimate for each further millisecond of silence.
const SILENCE_PENALTY_FACTOR: f64 = 3.0;

/// Added for an engine of which this process receives no observations, in milliseconds: what others send
/// there is unknown here, and they don't expect this process to send there.
const UNOBSERVED_LOAD_MS: f64 = 40.0;

/// How long another process's pending prefill counts. All but the largest prompts are prefilled
/// within that time.
const PENDING_PREFILL_TTL: time::Millis = time::Millis(900);

/// How long a request that was routed for another process counts as pending, unless an observation of that
/// process replaces it earlier. This arrives within milliseconds, unless its datagram is lost.
const ROUTED_TTL: time::Millis = time::Millis(150);

/// Share of the allowed pause of streams that a prefill may take without penalty. The step in progress and
/// other pending prefills take up the rest.
const FREE_STALL_SHARE: f64 = 0.5;

/// Penalty for each stream that a long prefill stalls, in milliseconds.
const STALL_PENALTY_MS: f64 = 20.0;

/// How long an engine's report of its running requests is used. Most streams last that long.
const RUNNING_TTL: time::Millis = time::Millis(2_000);

/// First ejection time of an endpoint that can't be reached. It doubles each time until the endpoint
/// responds.
const MIN_EJECTION: time::Millis = time::Millis(300);

/// Longest ejection time of an endpoint that can't be reached.
const MAX_EJECTION: time::Millis = time::Millis(2_000);

/// Microseconds per millisecond.
pub(super) const MICROS_PER_MS: f64 = 1_000.0;

/// Requests that one entry process keeps in flight at an endpoint of a plain service, per slot. Some of
/// them may queue there, since an endpoint that is never full idles between two requests.
const MAX_IN_FLIGHT_PER_SLOT: f64 = 1.5;

/// A request that this process routed to an engine for another process.
#[derive(Debug, Clone, Copy)]
pub(super) struct RoutedRequest {
    pub(super) request: u64,
    pub(super) to: net::Ipv4Addr,
    /// Prefill time in microseconds.
    pub(super) prefill_us: u64,
    pub(super) at: time::Instant,
}

/// One instance of an endpoint, with the requests that this process has sent to it.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) instance: directory::Instance,
    /// The key of its software version, if that is known.
    pub(super) software: Option<directory::SoftwareKey>,
    /// Requests of this process in flight.
    pub(super) in_flight: u32,
    /// Prefill time of those whose response has not begun, in microseconds.
    pub(super) pending_prefill_us: u64,
    pub(super) load: Option<(dialect::Load, time::Instant)>,
    /// Requests that an engine runs by its latest report to any process, and when that arrived.
    pub(super) reported_running: Option<(u32, time::Instant)>,
    /// The slowdown that it reports.
    pub(super) reported_slowdown: contention::ReportedSlowdown,
    /// Factor by which its prefill is slower than that of other engines, beyond the reported slowdown.
    pub(super) slowdown: f64,
    /// Response time in milliseconds without the reported slowdown, for plain services.
    pub(super) response_ms: f64,
    /// When it last sent anything.
    pub(super) last_activity: time::Instant,
    /// Requests of this process whose response has not begun, and since when there has been at least one.
    pub(super) awaiting: u32,
    pub(super) awaiting_since: time::Instant,
    /// When its pending prefill was last near the limit.
    pub(super) near_limit_at: Option<time::Instant>,
    pub(super) failures: f64,
    failed_at: time::Instant,
    pub(super) ejection_time: time::Millis,
    pub(super) ejected_until: time::Instant,
    pub(super) silence: silence::SilenceState,
    pub(super) denied_models: collections::HashMap<dialect::ModelRef, time::Instant>,
    /// Models for which it rejected requests, and until when it is not selected for them.
    rejected_models: collections::HashMap<String, time::Instant>,
    pub(super) prefix_cache: prefix_cache::PrefixCache,
    /// Pending prefill of other processes in microseconds, by their observations, and when these arrived.
    pub(super) peer_prefill: collections::HashMap<net::Ipv4Addr, (u64, time::Instant)>,
    /// Requests routed there for other processes of which these have not yet sent an observation.
    pub(super) routed: Vec<RoutedRequest>,
    /// The last other process that could not reach it, and when that was.
    pub(super) unreachable_from: Option<(net::Ipv4Addr, time::Instant)>,
}

impl Endpoint {
    pub(super) fn new(instance: directory::Instance) -> Self {
        Self {
            software: instance.software(),
            instance,
            in_flight: 0,
            pending_prefill_us: 0,
            load: None,
            reported_running: None,
            reported_slowdown: contention::ReportedSlowdown::default(),
            slowdown: 1.0,
            response_ms: INITIAL_RESPONSE_MS,
            last_activity: time::Instant(0),
            awaiting: 0,
            awaiting_since: time::Instant(0),
            near_limit_at: None,
            failures: 0.0,
            failed_at: time::Instant(0),
            ejection_time: time::Millis(0),
            ejected_until: time::Instant(0),
            silence: silence::SilenceState::default(),
            denied_models: collections::HashMap::new(),
            rejected_models: collections::HashMap::new(),
            prefix_cache: prefix_cache::PrefixCache::default(),
            peer_prefill: collections::HashMap::new(),
            routed: Vec::new(),
            unreachable_from: None,
        }
    }

    /// Whether it holds the model and adapter of `wanted`, and a request whose stream `began` may try it.
    pub(super) fn holds(
        &self,
        now: time::Instant,
        wanted: &dialect::ModelRef,
        began: BeganAt,
    ) -> bool {
        let is_before = |until: &time::Instant| now < *until;
        let is_denied = self.denied_models.get(wanted).is_some_and(is_before);
        let is_rejected = self
            .rejected_models
            .get(&wanted.model)
            .is_some_and(is_before);
        // A stream that has begun can go to few engines, and retries a rejection after a delay of its own.
        let is_resumption = began != BeganAt::NotBegun;
        !is_denied
            && (!is_rejected || is_resumption)
            && self
                .instance
                .holds(&wanted.model, wanted.adapter.as_deref())
    }

    /// Tokens of a prompt that are not in the prefix cache.
    pub(super) fn uncached_tokens(&self, query: &EndpointQuery<'_>) -> u64 {
        let cached = query.wanted.map_or(0, |wanted| {
            self.prefix_cache.cached_tokens(wanted, query.parts)
        });
        query.prompt_tokens.saturating_sub(cached)
    }

    /// The failure score, decayed to `now`.
    fn decayed_failures(&self, now: time::Instant) -> f64 {
        self.failures * decay(now, self.failed_at)
    }

    pub(super) fn failure_penalty_ms(&self, now: time::Instant) -> f64 {
        let silence_ms = match self.silence.cost(now) {
            silence::Cost::Nothing => 0.0,
            silence::Cost::Failure(at) => decay(now, at) * FAILURE_PENALTY_MS,
            silence::Cost::Probe => PROBE_PENALTY_MS,
        };
        self.decayed_failures(now) * FAILURE_PENALTY_MS + silence_ms
    }

    /// Penalty for its silence.
    pub(super) fn silence_penalty_ms(&self, now: time::Instant) -> f64 {
        if self.awaiting == 0 {
            return 0.0;
        }
        let silent = now.since(self.last_activity.max(self.awaiting_since)).0 as f64;
        (silent - SILENCE_THRESHOLD_MS).max(0.0) * SILENCE_PENALTY_FACTOR
    }

    pub(super) fn record_failure(&mut self, now: time::Instant) {
        self.add_failure(now, 1.0);
    }

    fn add_failure(&mut self, now: time::Instant, weight: f64) {
        self.failures = self.decayed_failures(now) + weight;
        self.failed_at = now;
    }

    /// Records that the endpoint rejected a request without running it: it is full, or it is loading or
    /// unloading the model.
    ///
    /// A new directory record doesn't lift this, since an engine that unloads a model keeps announcing it
    /// until the requests for it are done.
    pub(super) fn record_rejection(
        &mut self,
        now: time::Instant,
        wanted: Option<&dialect::ModelRef>,
    ) {
        match wanted {
            Some(wanted) => drop(
                self.rejected_models
                    .insert(wanted.model.clone(), now + REJECTION_TTL),
            ),
            None => self.add_failure(now, REJECTION_FAILURE_WEIGHT),
        }
    }

    /// Records that the engine accepts requests for this model.
    pub(super) fn clear_rejection(&mut self, wanted: &dialect::ModelRef) {
        self.rejected_models.remove(&wanted.model);
    }

    pub(super) fn eject(&mut self, now: time::Instant) {
        let doubled = time::Millis(self.ejection_time.0 * 2);
        self.ejection_time = doubled.clamp(MIN_EJECTION, MAX_EJECTION);
        self.ejected_until = now + self.ejection_time;
    }

    /// Records a request that was routed here for the process `to`.
    pub(super) fn add_routed(
        &mut self,
        now: time::Instant,
        to: net::Ipv4Addr,
        request: u64,
        prefill_us: u64,
    ) {
        self.routed.retain(|it| now.since(it.at) < ROUTED_TTL);
        self.routed.push(RoutedRequest {
            request,
            to,
            prefill_us,
            at: now,
        });
    }

    /// Removes a routed request that will not be sent, or that is counted otherwise.
    pub(super) fn remove_routed(&mut self, to: net::Ipv4Addr, request: u64) {
        self.routed
            .retain(|it| it.to != to || it.request != request);
    }

    /// Replaces the pending prefill of the process `from`. Returns whether it has shrunk.
    pub(super) fn set_peer_prefill(
        &mut self,
        now: time::Instant,
        from: net::Ipv4Addr,
        prefill_us: u64,
    ) -> bool {
        let sent = self.routed.iter().position(|it| it.to == from);
        if let Some(at) = sent {
            self.routed.remove(at);
        }
        let before = self.peer_prefill.insert(from, (prefill_us, now));
        before.is_some_and(|(before, _)| before > prefill_us)
    }

    /// Pending prefill in milliseconds, of this process and of all others whose observations it receives.
    pub(super) fn total_pending_prefill_ms(&self, now: time::Instant) -> f64 {
        let fresh = self
            .peer_prefill
            .values()
            .filter(|(_, at)| now.since(*at) < PENDING_PREFILL_TTL);
        let peers_us: u64 = fresh.map(|(prefill_us, _)| *prefill_us).sum();
        let routed = self.routed.iter();
        let fresh = routed.filter(|it| now.since(it.at) < ROUTED_TTL);
        let routed_us: u64 = fresh.map(|it| it.prefill_us).sum();
        (self.pending_prefill_us + peers_us + routed_us) as f64 / MICROS_PER_MS
    }

    /// Requests queued there by its latest load report, whose weight falls with age.
    fn decayed_waiting(&self, now: time::Instant) -> f64 {
        let Some((load, at)) = self.load else {
            return 0.0;
        };
        let age = now.since(at).0 as f64;
        let weight = (1.0 - age / LOAD_TTL_MS).max(0.0);
        f64::from(load.waiting) * weight
    }

    /// Requests running there by its latest load report, or those sent by this process if there is none.
    pub(super) fn running(&self) -> f64 {
        let running = self.load.map_or(self.in_flight, |(load, _)| load.running);
        f64::from(running)
    }

    /// Penalty in milliseconds for a prefill of `prefill_ms`, which stalls each running stream meanwhile. A
    /// stream counts as late when it pauses for more than `pause_limit_ms`.
    pub(super) fn engine_stall_penalty_ms(
        &self,
        now: time::Instant,
        prefill_ms: f64,
        pause_limit_ms: f64,
    ) -> f64 {
        let Some((running, at)) = self.reported_running else {
            return 0.0;
        };
        if now.since(at) > RUNNING_TTL {
            return 0.0;
        }
        let free_ms = pause_limit_ms * FREE_STALL_SHARE;
        let part = ((prefill_ms - free_ms) / free_ms).clamp(0.0, 1.0);
        part * f64::from(running) * STALL_PENALTY_MS
    }

    /// Estimated milliseconds until an engine has finished a prefill that takes `prefill_ms` by itself.
    /// Unless this process receives the observations of the engine (`is_observer`),
    /// [`UNOBSERVED_LOAD_MS`] is added for what others may have sent there.
    pub(super) fn engine_estimate_ms(
        &self,
        now: time::Instant,
        prefill_ms: f64,
        is_observer: bool,
    ) -> f64 {
        let unobserved_ms = if is_observer { 0.0 } else { UNOBSERVED_LOAD_MS };
        self.total_pending_prefill_ms(now) + prefill_ms + BATCH_STEP_MS + unobserved_ms
    }

    /// Whether another `prefill_ms` would raise the pending prefill above `prefill_limit_ms`. A single
    /// prompt that is above the limit by itself is allowed, as it has to run somewhere.
    pub(super) fn exceeds_limit(
        &self,
        now: time::Instant,
        prefill_ms: f64,
        prefill_limit_ms: f64,
    ) -> bool {
        let ahead = self.total_pending_prefill_ms(now);
        ahead > 0.0 && ahead + prefill_ms > prefill_limit_ms
    }

    /// Estimated milliseconds until a plain service responds.
    pub(super) fn service_estimate_ms(&self, now: time::Instant) -> f64 {
        let slots = f64::from(self.instance.slots.max(1));
        let ahead = f64::from(self.in_flight).max(self.decayed_waiting(now));
        let turns = 1.0 + (ahead / slots).floor();
        // The last term prefers the emptier one of two endpoints with free slots.
        turns * self.response_estimate_ms(now) + ahead / slots
    }

    /// Estimated response time of a plain service without a queue, in milliseconds.
    pub(super) fn response_estimate_ms(&self, now: time::Instant) -> f64 {
        self.response_ms * self.reported_slowdown.factor(now)
    }

    pub(super) fn has_capacity(&self) -> bool {
        f64::from(self.in_flight) < f64::from(self.instance.slots.max(1)) * MAX_IN_FLIGHT_PER_SLOT
    }
}

/// Weight of a failure at `at`, between zero and one.
fn decay(now: time::Instant, at: time::Instant) -> f64 {
    let age = now.since(at).0 as f64;
    0.5_f64.powf(age / FAILURE_HALF_LIFE_MS)
}
