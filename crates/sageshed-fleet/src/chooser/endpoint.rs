//! What an entry process knows of one endpoint, and what it reckons of it.

use std::{collections, net};

use sageshed_types::time;

use super::{Ask, STEP_MS, kept};
use crate::{dialect, directory};

/// The time for an answer of a plain service, in milliseconds, until some were measured.
const FIRST_SERVICE_MS: f64 = 30.0;

/// How long what an endpoint said of its load is used, in milliseconds. It weighs less with age.
const LOAD_KEPT_MS: f64 = 1_000.0;

/// In which time a failure counts half, in milliseconds.
const FORGIVEN_HALF: f64 = 1_500.0;

/// What a rejection counts against an endpoint of a plain service, in failures: its request goes
/// elsewhere at once.
const REJECTION_WEIGHT: f64 = 0.2;

/// How long an engine that rejected a request for a model is not asked for it. An unload takes as long
/// as the requests that run, up to seconds; each that finds out costs one repeat.
const REJECTION_REST: time::Millis = time::Millis(500);

/// What one failure adds to the estimate, in milliseconds.
const FAILURE_MS: f64 = 250.0;

/// An engine that owes an answer and says nothing at all for this long, in milliseconds, is suspected.
/// An engine that only has much to read still sends events of its streams.
const SUSPECTED_MS: f64 = 700.0;

/// What each millisecond of silence beyond that adds to the estimate.
const SILENCE_WEIGHT: f64 = 3.0;

/// What is added for an engine whose group this process is not in, in milliseconds: what others send
/// there is not known, and these would not expect it.
const STRANGER_MS: f64 = 40.0;

/// How long another process's word on what it sent to an engine is believed. Prompts are read within
/// that time, but for the largest.
const UNREAD_KEPT: time::Millis = time::Millis(900);

/// How long a request that another process was advised to send counts without a word that it was sent. Such
/// a word comes within some milliseconds, unless a datagram was lost.
const ADVISED_KEPT: time::Millis = time::Millis(150);

/// The part of the pause that streams bear which a prompt may take without one of them being late: the step that
/// was under way and what else waits take the rest.
const BORNE: f64 = 0.5;

/// What each stream that a long prompt stops adds to the engine's estimate, in milliseconds.
const STALL_MS: f64 = 20.0;

/// How long an engine's word on what it runs is used. Most streams last that long.
const CROWD_KEPT: time::Millis = time::Millis(2_000);

/// An endpoint that can't be reached is left out for this long at first, in milliseconds.
const FIRST_EJECTION: time::Millis = time::Millis(300);

/// And this long at the most.
const LONGEST_EJECTION: time::Millis = time::Millis(2_000);

/// Microseconds in a millisecond.
pub(super) const MICROS: f64 = 1_000.0;

/// Requests that one entry process has under way at one endpoint of a plain service, in parts of its
/// places. Some may wait there: an endpoint that is never full is idle between two answers.
const SERVICE_FILL: f64 = 1.5;

/// A request that another process was advised to send.
#[derive(Debug, Clone, Copy)]
pub(super) struct Advised {
    pub(super) to: net::Ipv4Addr,
    /// Microseconds that it takes to be read.
    pub(super) micros: u64,
    pub(super) at: time::Instant,
}

/// One start of an endpoint, with the requests that this process sent there.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) instance: directory::Instance,
    /// Requests of this process that are there.
    pub(super) in_flight: u32,
    /// Microseconds that it takes to read those whose answer has not begun.
    pub(super) unread: u64,
    pub(super) load: Option<(dialect::Load, time::Instant)>,
    /// Requests that an engine runs, by the latest word of its own that any process passed on.
    pub(super) crowd: Option<(u32, time::Instant)>,
    /// How many times as long as others it takes to read.
    pub(super) slowness: f64,
    /// Time for an answer, in milliseconds; of plain services.
    pub(super) answer_ms: f64,
    /// When anything came from it last.
    pub(super) word_at: time::Instant,
    /// Requests of this process whose answer has not begun, and since when there has been one.
    pub(super) owed: u32,
    pub(super) owed_since: time::Instant,
    /// When it had about as much to read as its streams bear.
    pub(super) strained_at: Option<time::Instant>,
    pub(super) failures: f64,
    failed_at: time::Instant,
    pub(super) ejection: time::Millis,
    pub(super) ejected_until: time::Instant,
    pub(super) denied: collections::HashMap<dialect::ModelRef, time::Instant>,
    /// Models for which it rejected requests, with until when it is not asked for them.
    rejects: collections::HashMap<String, time::Instant>,
    pub(super) kept: kept::Kept,
    /// Microseconds that it takes to read what other processes sent there, with when they said so.
    pub(super) others: collections::HashMap<net::Ipv4Addr, (u64, time::Instant)>,
    /// What this process has advised others to send there, until they say that they have.
    pub(super) advised: Vec<Advised>,
    /// Which other process could not reach it last, and when.
    pub(super) missed_by: Option<(net::Ipv4Addr, time::Instant)>,
}

impl Endpoint {
    pub(super) fn new(instance: directory::Instance) -> Self {
        Self {
            instance,
            in_flight: 0,
            unread: 0,
            load: None,
            crowd: None,
            slowness: 1.0,
            answer_ms: FIRST_SERVICE_MS,
            word_at: time::Instant(0),
            owed: 0,
            owed_since: time::Instant(0),
            strained_at: None,
            failures: 0.0,
            failed_at: time::Instant(0),
            ejection: time::Millis(0),
            ejected_until: time::Instant(0),
            denied: collections::HashMap::new(),
            rejects: collections::HashMap::new(),
            kept: kept::Kept::default(),
            others: collections::HashMap::new(),
            advised: Vec::new(),
            missed_by: None,
        }
    }

    pub(super) fn holds(&self, now: time::Instant, wanted: &dialect::ModelRef) -> bool {
        let is_before = |until: &time::Instant| now < *until;
        let denied = self.denied.get(wanted).is_some_and(is_before);
        let rejects = self.rejects.get(&wanted.model).is_some_and(is_before);
        !denied
            && !rejects
            && self
                .instance
                .holds(&wanted.model, wanted.adapter.as_deref())
    }

    /// Tokens of a prompt that are not kept from an earlier one.
    pub(super) fn unkept(&self, ask: &Ask<'_>) -> u64 {
        let kept = ask
            .wanted
            .map_or(0, |wanted| self.kept.tokens(wanted, ask.parts));
        ask.prompt_tokens.saturating_sub(kept)
    }

    /// Its failures, each of which counts less with time.
    fn failures_now(&self, now: time::Instant) -> f64 {
        let age = now.since(self.failed_at).0 as f64;
        self.failures * 0.5_f64.powf(age / FORGIVEN_HALF)
    }

    pub(super) fn failure_ms(&self, now: time::Instant) -> f64 {
        self.failures_now(now) * FAILURE_MS
    }

    /// What its silence counts against it.
    pub(super) fn silence_ms(&self, now: time::Instant) -> f64 {
        if self.owed == 0 {
            return 0.0;
        }
        let silent = now.since(self.word_at.max(self.owed_since)).0 as f64;
        (silent - SUSPECTED_MS).max(0.0) * SILENCE_WEIGHT
    }

    pub(super) fn fail(&mut self, now: time::Instant) {
        self.count_failure(now, 1.0);
    }

    fn count_failure(&mut self, now: time::Instant, weight: f64) {
        self.failures = self.failures_now(now) + weight;
        self.failed_at = now;
    }

    /// It rejected a request without having run it: it is full, or it drops or loads the model.
    ///
    /// An announcement does not lift this, as an engine that drops a model announces it until the
    /// requests that run there are done.
    pub(super) fn reject(&mut self, now: time::Instant, wanted: Option<&dialect::ModelRef>) {
        match wanted {
            Some(wanted) => drop(
                self.rejects
                    .insert(wanted.model.clone(), now + REJECTION_REST),
            ),
            None => self.count_failure(now, REJECTION_WEIGHT),
        }
    }

    /// It reads for this model.
    pub(super) fn accept(&mut self, wanted: &dialect::ModelRef) {
        self.rejects.remove(&wanted.model);
    }

    pub(super) fn eject(&mut self, now: time::Instant) {
        let doubled = time::Millis(self.ejection.0 * 2);
        self.ejection = doubled.clamp(FIRST_EJECTION, LONGEST_EJECTION);
        self.ejected_until = now + self.ejection;
    }

    /// Notes a request that `to` is advised to send.
    pub(super) fn advise(&mut self, now: time::Instant, to: net::Ipv4Addr, micros: u64) {
        self.advised.retain(|it| now.since(it.at) < ADVISED_KEPT);
        self.advised.push(Advised {
            to,
            micros,
            at: now,
        });
    }

    /// Takes another process's word on what it has there. Returns whether that is less than before.
    pub(super) fn hear(&mut self, now: time::Instant, from: net::Ipv4Addr, micros: u64) -> bool {
        let sent = self.advised.iter().position(|it| it.to == from);
        if let Some(at) = sent {
            self.advised.remove(at);
        }
        let before = self.others.insert(from, (micros, now));
        before.is_some_and(|(before, _)| before > micros)
    }

    /// Milliseconds of reading that wait there, by this process and those that tell it.
    pub(super) fn unread_by_all(&self, now: time::Instant) -> f64 {
        let fresh = self
            .others
            .values()
            .filter(|(_, at)| now.since(*at) < UNREAD_KEPT);
        let others: u64 = fresh.map(|(micros, _)| *micros).sum();
        let advised = self.advised.iter();
        let fresh = advised.filter(|it| now.since(it.at) < ADVISED_KEPT);
        let coming: u64 = fresh.map(|it| it.micros).sum();
        (self.unread + others + coming) as f64 / MICROS
    }

    /// Requests that wait there by its own latest word, which weighs less with age.
    fn waiting(&self, now: time::Instant) -> f64 {
        let Some((load, at)) = self.load else {
            return 0.0;
        };
        let age = now.since(at).0 as f64;
        let weight = (1.0 - age / LOAD_KEPT_MS).max(0.0);
        f64::from(load.waiting) * weight
    }

    /// Requests that it runs, by its latest word or, without one, by what this process sent.
    pub(super) fn running(&self) -> f64 {
        let running = self.load.map_or(self.in_flight, |(load, _)| load.running);
        f64::from(running)
    }

    /// What a prompt that takes so many milliseconds to be read costs the streams that run there, in milliseconds of
    /// its own wait: each of them stands still meanwhile, and counts as late beyond `limit_ms`.
    pub(super) fn stall_ms(&self, now: time::Instant, reading: f64, limit_ms: f64) -> f64 {
        let Some((running, at)) = self.crowd else {
            return 0.0;
        };
        if now.since(at) > CROWD_KEPT {
            return 0.0;
        }
        let borne = limit_ms * BORNE;
        let part = ((reading - borne) / borne).clamp(0.0, 1.0);
        part * f64::from(running) * STALL_MS
    }

    /// Milliseconds until an engine has read a prompt that takes it `reading` of them. Of one of which this process
    /// is not told others may have sent more there.
    pub(super) fn engine_ms(&self, now: time::Instant, reading: f64, is_told: bool) -> f64 {
        let stranger = if is_told { 0.0 } else { STRANGER_MS };
        self.unread_by_all(now) + reading + STEP_MS + stranger
    }

    /// Whether it would have more than `bound_ms` to read with so many milliseconds more. One prompt that
    /// is too long by itself has to be read somewhere.
    pub(super) fn would_pause(&self, now: time::Instant, reading: f64, bound_ms: f64) -> bool {
        let ahead = self.unread_by_all(now);
        ahead > 0.0 && ahead + reading > bound_ms
    }

    /// Milliseconds until a plain service has answered.
    pub(super) fn service_ms(&self, now: time::Instant) -> f64 {
        let slots = f64::from(self.instance.slots.max(1));
        let ahead = f64::from(self.in_flight).max(self.waiting(now));
        let turns = 1.0 + (ahead / slots).floor();
        // Of two that have places the emptier one is taken.
        turns * self.answer_ms + ahead / slots
    }

    pub(super) fn has_place(&self) -> bool {
        f64::from(self.in_flight) < f64::from(self.instance.slots.max(1)) * SERVICE_FILL
    }
}
