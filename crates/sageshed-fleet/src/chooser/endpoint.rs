//! What an entry process knows of one endpoint, and what it reckons of it.

use std::{collections, net};

use sageshed_types::time;

use super::{Ask, BATCH_STEP_MS, prefix_cache};
use crate::{dialect, directory};

/// The time for an answer of a plain service, in milliseconds, until some were measured.
const INITIAL_RESPONSE_MS: f64 = 30.0;

/// How long what an endpoint said of its load is used, in milliseconds. It weighs less with age.
const LOAD_TTL_MS: f64 = 1_000.0;

/// In which time a failure counts half, in milliseconds.
const FAILURE_HALF_LIFE_MS: f64 = 1_500.0;

/// What a rejection counts against an endpoint of a plain service, in failures: its request goes
/// elsewhere at once.
const REJECTION_FAILURE_WEIGHT: f64 = 0.2;

/// How long an engine that rejected a request for a model is not asked for it. An unload takes as long
/// as the requests that run, up to seconds; each that finds out costs one repeat.
const REJECTION_TTL: time::Millis = time::Millis(500);

/// What one failure adds to the estimate, in milliseconds.
const FAILURE_PENALTY_MS: f64 = 250.0;

/// An engine that owes an answer and says nothing at all for this long, in milliseconds, is suspected.
/// An engine that only has much to read still sends events of its streams.
const SILENCE_THRESHOLD_MS: f64 = 700.0;

/// What each millisecond of silence beyond that adds to the estimate.
const SILENCE_PENALTY_FACTOR: f64 = 3.0;

/// What is added for an engine whose group this process is not in, in milliseconds: what others send
/// there is not known, and these would not expect it.
const UNREPORTED_LOAD_MS: f64 = 40.0;

/// How long another process's word on what it sent to an engine is believed. Prompts are read within
/// that time, but for the largest.
const PENDING_PREFILL_TTL: time::Millis = time::Millis(900);

/// How long a request that another process was advised to send counts without a word that it was sent. Such
/// a word comes within some milliseconds, unless a datagram was lost.
const ROUTED_TTL: time::Millis = time::Millis(150);

/// The part of the pause that streams bear which a prompt may take without one of them being late: the step that
/// was under way and what else waits take the rest.
const FREE_STALL_SHARE: f64 = 0.5;

/// What each stream that a long prompt stops adds to the engine's estimate, in milliseconds.
const STALL_PENALTY_MS: f64 = 20.0;

/// How long an engine's word on what it runs is used. Most streams last that long.
const RUNNING_TTL: time::Millis = time::Millis(2_000);

/// An endpoint that can't be reached is left out for this long at first, in milliseconds.
const MIN_EJECTION: time::Millis = time::Millis(300);

/// And this long at the most.
const MAX_EJECTION: time::Millis = time::Millis(2_000);

/// Microseconds in a millisecond.
pub(super) const MICROS_PER_MS: f64 = 1_000.0;

/// Requests that one entry process has under way at one endpoint of a plain service, in parts of its
/// places. Some may wait there: an endpoint that is never full is idle between two answers.
const MAX_IN_FLIGHT_PER_SLOT: f64 = 1.5;

/// A request that another process was advised to send.
#[derive(Debug, Clone, Copy)]
pub(super) struct RoutedRequest {
    pub(super) to: net::Ipv4Addr,
    /// Microseconds that it takes to be read.
    pub(super) prefill_us: u64,
    pub(super) at: time::Instant,
}

/// One start of an endpoint, with the requests that this process sent there.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) instance: directory::Instance,
    /// Requests of this process that are there.
    pub(super) in_flight: u32,
    /// Microseconds that it takes to read those whose answer has not begun.
    pub(super) pending_prefill_us: u64,
    pub(super) load: Option<(dialect::Load, time::Instant)>,
    /// Requests that an engine runs, by the latest word of its own that any process passed on.
    pub(super) reported_running: Option<(u32, time::Instant)>,
    /// How many times as long as others it takes to read.
    pub(super) slowdown: f64,
    /// Time for an answer, in milliseconds; of plain services.
    pub(super) response_ms: f64,
    /// When anything came from it last.
    pub(super) last_activity: time::Instant,
    /// Requests of this process whose answer has not begun, and since when there has been one.
    pub(super) awaiting: u32,
    pub(super) awaiting_since: time::Instant,
    /// When it had about as much to read as its streams bear.
    pub(super) near_limit_at: Option<time::Instant>,
    pub(super) failures: f64,
    failed_at: time::Instant,
    pub(super) ejection: time::Millis,
    pub(super) ejected_until: time::Instant,
    pub(super) denied_models: collections::HashMap<dialect::Wanted, time::Instant>,
    /// Models for which it rejected requests, with until when it is not asked for them.
    rejected_models: collections::HashMap<String, time::Instant>,
    pub(super) prefix_cache: prefix_cache::PrefixCache,
    /// Microseconds that it takes to read what other processes sent there, with when they said so.
    pub(super) reported_prefill: collections::HashMap<net::Ipv4Addr, (u64, time::Instant)>,
    /// What this process has advised others to send there, until they say that they have.
    pub(super) routed: Vec<RoutedRequest>,
    /// Which other process could not reach it last, and when.
    pub(super) unreachable_from: Option<(net::Ipv4Addr, time::Instant)>,
}

impl Endpoint {
    pub(super) fn new(instance: directory::Instance) -> Self {
        Self {
            instance,
            in_flight: 0,
            pending_prefill_us: 0,
            load: None,
            reported_running: None,
            slowdown: 1.0,
            response_ms: INITIAL_RESPONSE_MS,
            last_activity: time::Instant(0),
            awaiting: 0,
            awaiting_since: time::Instant(0),
            near_limit_at: None,
            failures: 0.0,
            failed_at: time::Instant(0),
            ejection: time::Millis(0),
            ejected_until: time::Instant(0),
            denied_models: collections::HashMap::new(),
            rejected_models: collections::HashMap::new(),
            prefix_cache: prefix_cache::PrefixCache::default(),
            reported_prefill: collections::HashMap::new(),
            routed: Vec::new(),
            unreachable_from: None,
        }
    }

    pub(super) fn holds(&self, now: time::Instant, wanted: &dialect::Wanted) -> bool {
        let is_before = |until: &time::Instant| now < *until;
        let is_denied = self.denied_models.get(wanted).is_some_and(is_before);
        let is_rejected = self
            .rejected_models
            .get(&wanted.model)
            .is_some_and(is_before);
        !is_denied
            && !is_rejected
            && self
                .instance
                .holds(&wanted.model, wanted.adapter.as_deref())
    }

    /// Tokens of a prompt that are not kept from an earlier one.
    pub(super) fn uncached_tokens(&self, ask: &Ask<'_>) -> u64 {
        let cached = ask.wanted.map_or(0, |wanted| {
            self.prefix_cache.cached_tokens(wanted, ask.parts)
        });
        ask.prompt_tokens.saturating_sub(cached)
    }

    /// Its failures, each of which counts less with time.
    fn decayed_failures(&self, now: time::Instant) -> f64 {
        let age = now.since(self.failed_at).0 as f64;
        self.failures * 0.5_f64.powf(age / FAILURE_HALF_LIFE_MS)
    }

    pub(super) fn failures_ms(&self, now: time::Instant) -> f64 {
        self.decayed_failures(now) * FAILURE_PENALTY_MS
    }

    /// What its silence counts against it.
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

    /// It rejected a request without having run it: it is full, or it drops or loads the model.
    ///
    /// An announcement does not lift this, as an engine that drops a model announces it until the
    /// requests that run there are done.
    pub(super) fn record_rejection(
        &mut self,
        now: time::Instant,
        wanted: Option<&dialect::Wanted>,
    ) {
        match wanted {
            Some(wanted) => drop(
                self.rejected_models
                    .insert(wanted.model.clone(), now + REJECTION_TTL),
            ),
            None => self.add_failure(now, REJECTION_FAILURE_WEIGHT),
        }
    }

    /// It reads for this model.
    pub(super) fn clear_rejection(&mut self, wanted: &dialect::Wanted) {
        self.rejected_models.remove(&wanted.model);
    }

    pub(super) fn eject(&mut self, now: time::Instant) {
        let doubled = time::Millis(self.ejection.0 * 2);
        self.ejection = doubled.clamp(MIN_EJECTION, MAX_EJECTION);
        self.ejected_until = now + self.ejection;
    }

    /// Notes a request that `to` is advised to send.
    pub(super) fn add_routed(&mut self, now: time::Instant, to: net::Ipv4Addr, prefill_us: u64) {
        self.routed.retain(|it| now.since(it.at) < ROUTED_TTL);
        self.routed.push(RoutedRequest {
            to,
            prefill_us,
            at: now,
        });
    }

    /// Takes another process's word on what it has there. Returns whether that is less than before.
    pub(super) fn set_reported_prefill(
        &mut self,
        now: time::Instant,
        from: net::Ipv4Addr,
        prefill_us: u64,
    ) -> bool {
        let sent = self.routed.iter().position(|it| it.to == from);
        if let Some(at) = sent {
            self.routed.remove(at);
        }
        let before = self.reported_prefill.insert(from, (prefill_us, now));
        before.is_some_and(|(before, _)| before > prefill_us)
    }

    /// Milliseconds of reading that wait there, by this process and those that tell it.
    pub(super) fn total_pending_prefill_ms(&self, now: time::Instant) -> f64 {
        let fresh = self
            .reported_prefill
            .values()
            .filter(|(_, at)| now.since(*at) < PENDING_PREFILL_TTL);
        let reported_us: u64 = fresh.map(|(prefill_us, _)| *prefill_us).sum();
        let routed = self.routed.iter();
        let fresh = routed.filter(|it| now.since(it.at) < ROUTED_TTL);
        let routed_us: u64 = fresh.map(|it| it.prefill_us).sum();
        (self.pending_prefill_us + reported_us + routed_us) as f64 / MICROS_PER_MS
    }

    /// Requests that wait there by its own latest word, which weighs less with age.
    fn decayed_waiting(&self, now: time::Instant) -> f64 {
        let Some((load, at)) = self.load else {
            return 0.0;
        };
        let age = now.since(at).0 as f64;
        let weight = (1.0 - age / LOAD_TTL_MS).max(0.0);
        f64::from(load.waiting) * weight
    }

    /// Requests that it runs, by its latest word or, without one, by what this process sent.
    pub(super) fn running(&self) -> f64 {
        let running = self.load.map_or(self.in_flight, |(load, _)| load.running);
        f64::from(running)
    }

    /// What a prompt that takes so many milliseconds to be read costs the streams that run there, in milliseconds of
    /// its own wait: each of them stands still meanwhile, and counts as late beyond `pause_limit_ms`.
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

    /// Milliseconds until an engine has read a prompt that takes it `prefill_ms` of them. Of one of which this process
    /// is not told others may have sent more there.
    pub(super) fn engine_estimate_ms(
        &self,
        now: time::Instant,
        prefill_ms: f64,
        is_told: bool,
    ) -> f64 {
        let unreported = if is_told { 0.0 } else { UNREPORTED_LOAD_MS };
        self.total_pending_prefill_ms(now) + prefill_ms + BATCH_STEP_MS + unreported
    }

    /// Whether it would have more than `prefill_limit_ms` to read with so many milliseconds more. One prompt that
    /// is too long by itself has to be read somewhere.
    pub(super) fn exceeds_limit(
        &self,
        now: time::Instant,
        prefill_ms: f64,
        prefill_limit_ms: f64,
    ) -> bool {
        let ahead = self.total_pending_prefill_ms(now);
        ahead > 0.0 && ahead + prefill_ms > prefill_limit_ms
    }

    /// Milliseconds until a plain service has answered.
    pub(super) fn service_estimate_ms(&self, now: time::Instant) -> f64 {
        let slots = f64::from(self.instance.slots.max(1));
        let ahead = f64::from(self.in_flight).max(self.decayed_waiting(now));
        let turns = 1.0 + (ahead / slots).floor();
        // Of two that have places the emptier one is taken.
        turns * self.response_ms + ahead / slots
    }

    pub(super) fn has_capacity(&self) -> bool {
        f64::from(self.in_flight) < f64::from(self.instance.slots.max(1)) * MAX_IN_FLIGHT_PER_SLOT
    }
}
