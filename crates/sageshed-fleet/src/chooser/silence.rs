//! Silence of an endpoint: requests got nothing from it, and nothing has arrived from it since.
//!
//! A sound endpoint may be silent for a second or two and go on. Silence is therefore a state of the endpoint and
//! not a failure of each request that leaves it: reports are merged, and the next response or event ends the state
//! with all that it cost. A dead endpoint sends nothing, so it is left out but for probes: single requests, at
//! intervals that grow with the silence. Announcements don't end the state, since an endpoint that accepts requests
//! and never responds may go on announcing itself.

use std::net;

use sageshed_types::time;

use super::endpoint;

/// The least time for which a request has been without an event when it leaves an endpoint for its silence.
const MIN_REPORTED_SILENCE: time::Millis = time::Millis(700);

/// Shortest time between a report and a probe, or two probes.
const MIN_PROBE_INTERVAL: time::Millis = time::Millis(500);

/// Longest time between two probes. A probe to a dead endpoint costs its caller about a second.
const MAX_PROBE_INTERVAL: time::Millis = time::Millis(5_000);

/// Silence from which an endpoint gets nothing but probes, even if no other could take a request.
const MIN_EJECTED_SILENCE: time::Millis = time::Millis(5_000);

/// What the report of a request that left an endpoint stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reported {
    /// The endpoint is silent, or was until a moment ago.
    Silence,
    /// The endpoint responds to others; this request failed.
    Failure,
    /// As before, and such a failure was counted a moment ago.
    CountedFailure,
}

/// The process that reports a silence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reporter {
    This,
    Peer(net::Ipv4Addr),
}

/// What a silence counts for when endpoints are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Cost {
    Nothing,
    /// A failure at that time.
    Failure(time::Instant),
    /// The risk that a probe gets no response.
    Probe,
}

#[derive(Debug, Clone, Copy)]
struct Silence {
    since: time::Instant,
    first_reporter: Reporter,
    reported_at: time::Instant,
    /// When the next request may be sent there. None while a single peer reports the silence: one that is cut off
    /// gets nothing from any endpoint.
    next_probe: Option<time::Instant>,
}

/// The current silence of an endpoint, and the end of the one before.
#[derive(Debug, Default)]
pub(super) struct SilenceState {
    current: Option<Silence>,
    ended_at: Option<time::Instant>,
    failure_counted_at: Option<time::Instant>,
}

impl SilenceState {
    /// Applies the report of a request that left the endpoint at `now`. The endpoint last sent something at
    /// `last_activity`, and has been silent since `silent_since` as far as this process knows.
    pub(super) fn report(
        &mut self,
        now: time::Instant,
        last_activity: time::Instant,
        silent_since: time::Instant,
        reporter: Reporter,
    ) -> Reported {
        if let Some(current) = &mut self.current {
            current.add_report(now, reporter);
            return Reported::Silence;
        }
        let is_recent = |at: time::Instant| now.since(at) < MIN_REPORTED_SILENCE;
        // The request was already waiting when the silence ended.
        if self.ended_at.is_some_and(is_recent) {
            return Reported::Silence;
        }
        if is_recent(last_activity) {
            return self.count_failure(now);
        }
        let latest_start = time::Instant(now.0.saturating_sub(MIN_REPORTED_SILENCE.0));
        let mut silence = Silence {
            since: silent_since.min(latest_start),
            first_reporter: reporter,
            reported_at: now,
            next_probe: None,
        };
        if reporter == Reporter::This {
            silence.postpone_probe(now);
        }
        self.current = Some(silence);
        Reported::Silence
    }

    /// Requests that leave an endpoint at the same time count as one failure.
    fn count_failure(&mut self, now: time::Instant) -> Reported {
        let is_counted = self
            .failure_counted_at
            .is_some_and(|at| now.since(at) < MIN_REPORTED_SILENCE);
        if is_counted {
            return Reported::CountedFailure;
        }
        self.failure_counted_at = Some(now);
        Reported::Failure
    }

    /// Ends the silence, since the endpoint has sent something.
    pub(super) fn end(&mut self, now: time::Instant) {
        if self.current.take().is_some() {
            self.ended_at = Some(now);
        }
    }

    /// Whether no request is to be sent there now if another endpoint can take it.
    pub(super) fn is_avoided(&self, now: time::Instant) -> bool {
        let next_probe = self.current.and_then(|it| it.next_probe);
        next_probe.is_some_and(|at| now < at)
    }

    /// Whether no request is to be sent there now, even if no other endpoint can take it.
    pub(super) fn is_ejected(&self, now: time::Instant) -> bool {
        let is_long = |it: Silence| now.since(it.since) >= MIN_EJECTED_SILENCE;
        self.is_avoided(now) && self.current.is_some_and(is_long)
    }

    /// What the silence counts for when endpoints are compared.
    pub(super) fn cost(&self, now: time::Instant) -> Cost {
        let Some(current) = self.current else {
            return Cost::Nothing;
        };
        match current.next_probe {
            None => Cost::Failure(current.reported_at),
            Some(at) if now < at => Cost::Failure(now),
            Some(_) => Cost::Probe,
        }
    }

    /// Records that a request is sent there. If that is a probe, the next one may follow after an interval.
    pub(super) fn record_send(&mut self, now: time::Instant) {
        if let Some(current) = &mut self.current {
            current.postpone_due_probe(now);
        }
    }
}

impl Silence {
    fn add_report(&mut self, now: time::Instant, reporter: Reporter) {
        self.reported_at = now;
        let is_confirmed = reporter == Reporter::This || reporter != self.first_reporter;
        if self.next_probe.is_none() && is_confirmed {
            self.postpone_probe(now);
        }
        self.postpone_due_probe(now);
    }

    fn postpone_due_probe(&mut self, now: time::Instant) {
        if self.next_probe.is_some_and(|at| now >= at) {
            self.postpone_probe(now);
        }
    }

    /// The interval is the length of the silence, less half a second: 0.5 s after a silence of a second, and twice
    /// as long after each probe.
    fn postpone_probe(&mut self, now: time::Instant) {
        let lasted = now.since(self.since);
        let interval = time::Millis(lasted.0.saturating_sub(MIN_PROBE_INTERVAL.0));
        self.next_probe = Some(now + interval.clamp(MIN_PROBE_INTERVAL, MAX_PROBE_INTERVAL));
    }
}

impl endpoint::Endpoint {
    /// Records that the endpoint has sent something.
    pub(super) fn record_activity(&mut self, now: time::Instant) {
        self.last_activity = now;
        self.silence.end(now);
    }

    /// Records that a request left the endpoint, which sent it nothing for too long.
    pub(super) fn record_silence(&mut self, now: time::Instant, reporter: Reporter) {
        let silent_since = match reporter {
            Reporter::This => self.last_activity.max(self.awaiting_since),
            // Without requests of its own, this process doesn't know since when.
            Reporter::Peer(_) => now,
        };
        let outcome = self
            .silence
            .report(now, self.last_activity, silent_since, reporter);
        if outcome == Reported::Failure {
            self.record_failure(now);
        }
    }

    /// Whether it can't be reached, or has been silent for too long to be sent anything.
    pub(super) fn is_ejected(&self, now: time::Instant) -> bool {
        now < self.ejected_until || self.silence.is_ejected(now)
    }
}
