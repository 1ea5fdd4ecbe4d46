//! How this process opens connections to endpoints: by itself, or through another entry process.
//!
//! An entry VM can lose its network paths to endpoints while callers, control processes and other entry VMs still reach
//! it. A failed connection alone does not tell such a loss from a failed endpoint. What tells them apart is whether
//! another entry process reaches the same endpoint: [`PathTable`] has a connection that failed tried through a relay,
//! and [`RelayTable`] says through which.
//!
//! A lost path is used again once a probe has opened a connection.

use std::{collections, net};

use sageshed_types::time::{Instant, Millis};

/// How long a failed connection is remembered if no request is sent to the endpoint and it has ended.
const FAILURE_TTL: Millis = Millis(30_000);

/// The endpoints with failed connections from which on the VM as a whole may be cut off.
const MIN_FAILED_IF_CUT_OFF: usize = 2;

/// How long a connection may take to open while a path is known to be lost: several round trips between regions.
const SUSPICIOUS_CONNECT_TIMEOUT: Millis = Millis(120);

/// The interval between two probes of a path. It doubles if the path fails again soon after a probe has restored it: a
/// connection can be open over a path on which requests are lost.
const PROBE_INTERVAL: Millis = Millis(1_000);

/// The longest interval between two probes of a path.
const MAX_PROBE_INTERVAL: Millis = Millis(8_000);

/// How soon a path fails again that was not restored after all.
const RELAPSE_TIME: Millis = Millis(10_000);

/// How long a relay that could not be used is avoided.
const RELAY_AVOIDANCE: Millis = Millis(1_000);

/// Relays that one connection is tried through.
const MAX_RELAYS: usize = 3;

/// How long no relay may have been usable before callers are better served by another entry process.
const MAX_ISOLATION: Millis = Millis(1_000);

/// How to open a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// Directly.
    Direct,
    /// Through a relay; directly if there is none.
    Relay,
}

/// What to do after a direct connection has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterFailure {
    /// Try it through a relay: the path of this process may be lost.
    TryRelay,
    /// Report the endpoint as unreachable: others respond to this process, and no path of it is known to be lost.
    Report,
}

/// Failed connections to one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FailedPath {
    since: Instant,
    /// The latest failure.
    failed_at: Instant,
    /// The latest failure or relayed connection, or when the endpoint was last found not to have ended.
    used_at: Instant,
    probed_at: Instant,
    probe_interval: Millis,
    /// What relays have shown since.
    evidence: RelayEvidence,
}

/// What relays have shown of an endpoint that this process can't connect to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RelayEvidence {
    None,
    /// A relay has reached it: the path of this process is lost.
    PathLost,
    /// Relays do not reach it either.
    Unreachable,
}

/// The endpoints that can't be connected to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PathStatus {
    /// Their number.
    pub failing: usize,
    /// How many of them other entry processes reach.
    pub lost: usize,
    /// Whether this process is taken to have lost its paths to all endpoints.
    pub is_cut_off: bool,
    /// The time since an endpoint responded over a path of this process; none if none has.
    pub since_response: Option<Millis>,
}

/// The outcomes of this process's latest attempts to open connections, by endpoint address.
#[derive(Debug, Default)]
pub struct PathTable {
    failed: collections::HashMap<net::SocketAddrV4, FailedPath>,
    /// The paths that work again, since when, and the interval of their probes before.
    restored: collections::HashMap<net::SocketAddrV4, (Instant, Millis)>,
    responded_at: Option<Instant>,
    /// When this process was last found to be cut off.
    cut_off_at: Option<Instant>,
}

impl PathTable {
    /// How to open the next connection to `endpoint`.
    #[must_use]
    pub fn route(&self, endpoint: net::SocketAddrV4) -> Route {
        if self.failed.contains_key(&endpoint) || self.is_cut_off() {
            Route::Relay
        } else {
            Route::Direct
        }
    }

    /// How long a direct connection may take to open, where `limit` is the usual time. Shorter while a path is known to
    /// be lost: then others may be, and relays are at hand.
    #[must_use]
    pub fn connect_timeout(&self, limit: Millis) -> Millis {
        if self.lost().next().is_some() {
            limit.min(SUSPICIOUS_CONNECT_TIMEOUT)
        } else {
            limit
        }
    }

    /// Records a response over a path of this process. Returns for how long connections to `endpoint` had failed, if
    /// the response came over a new connection and they had.
    pub fn record_response(
        &mut self,
        now: Instant,
        endpoint: net::SocketAddrV4,
        is_new_connection: bool,
    ) -> Option<Millis> {
        self.responded_at = Some(now);
        if !is_new_connection {
            return None;
        }
        let failed = self.failed.remove(&endpoint)?;
        self.restored.insert(endpoint, (now, failed.probe_interval));
        Some(now.since(failed.since))
    }

    /// Records that a direct connection to `endpoint` failed, or was closed before a response. Returns whether it is the
    /// first such failure.
    pub fn record_failed(&mut self, now: Instant, endpoint: net::SocketAddrV4) -> bool {
        self.restored
            .retain(|_, (since, _)| now.since(*since) < RELAPSE_TIME);
        let count = self.failed.len();
        let relapsed = self.restored.remove(&endpoint);
        let probe_interval = relapsed.map_or(PROBE_INTERVAL, |(_, interval)| {
            Millis(interval.0 * 2).min(MAX_PROBE_INTERVAL)
        });
        let first = FailedPath {
            since: now,
            failed_at: now,
            used_at: now,
            probed_at: now,
            probe_interval,
            evidence: RelayEvidence::None,
        };
        let failed = self.failed.entry(endpoint).or_insert(first);
        failed.failed_at = now;
        failed.used_at = now;
        let is_first = self.failed.len() > count;
        self.note_cut_off(now);
        is_first
    }

    /// Forgets failed connections to `endpoint`: another instance has its address, or none.
    pub fn forget(&mut self, endpoint: net::SocketAddrV4) {
        self.failed.remove(&endpoint);
    }

    /// What to do after a direct connection has failed that was begun at `begun`.
    #[must_use]
    pub fn after_failure(&self, begun: Instant) -> AfterFailure {
        let responds = self.responded_at.is_some_and(|it| it > begun);
        if responds && self.lost().next().is_none() {
            AfterFailure::Report
        } else {
            AfterFailure::TryRelay
        }
    }

    /// Records that a relay has reached `endpoint`. Returns whether this shows for the first time that the path of this
    /// process is lost.
    pub fn record_relayed(&mut self, now: Instant, endpoint: net::SocketAddrV4) -> bool {
        let Some(failed) = self.failed.get_mut(&endpoint) else {
            return false;
        };
        failed.used_at = now;
        let evidence = std::mem::replace(&mut failed.evidence, RelayEvidence::PathLost);
        self.note_cut_off(now);
        evidence != RelayEvidence::PathLost
    }

    /// Records that relays do not reach `endpoint` either.
    pub fn record_unreachable(&mut self, endpoint: net::SocketAddrV4) {
        if let Some(failed) = self.failed.get_mut(&endpoint) {
            failed.evidence = RelayEvidence::Unreachable;
        }
    }

    /// Whether a failed connection to `endpoint` says something of the endpoint to other processes: relays have not
    /// reached it either, or this process knows of no lost path of its own.
    #[must_use]
    pub fn is_evidence(&self, endpoint: net::SocketAddrV4) -> bool {
        let failed = self.failed.get(&endpoint);
        failed.is_some_and(|it| it.evidence == RelayEvidence::Unreachable)
            || self.lost().next().is_none()
    }

    /// The endpoints with failed connections to which no request was sent for long.
    #[must_use]
    pub fn unused(&self, now: Instant) -> Vec<net::SocketAddrV4> {
        let failed = self.failed.iter();
        let unused = failed.filter(|(_, it)| now.since(it.used_at) >= FAILURE_TTL);
        unused.map(|(endpoint, _)| *endpoint).collect()
    }

    /// Remembers failed connections to `endpoint`, which has not ended, though no request is sent to it.
    pub fn keep(&mut self, now: Instant, endpoint: net::SocketAddrV4) {
        if let Some(failed) = self.failed.get_mut(&endpoint) {
            failed.used_at = now;
        }
    }

    /// The endpoint to which a connection is to be opened as a probe, if one is due.
    pub fn next_probe(&mut self, now: Instant) -> Option<net::SocketAddrV4> {
        let due = self
            .failed
            .iter_mut()
            .filter(|(_, it)| now.since(it.probed_at) >= it.probe_interval);
        let (endpoint, failed) = due.min_by_key(|(endpoint, it)| (it.probed_at, **endpoint))?;
        failed.probed_at = now;
        Some(*endpoint)
    }

    /// The endpoints that can't be connected to.
    #[must_use]
    pub fn status(&self, now: Instant) -> PathStatus {
        PathStatus {
            failing: self.failed.len(),
            lost: self.lost().count(),
            is_cut_off: self.is_cut_off(),
            since_response: self.responded_at.map(|it| now.since(it)),
        }
    }

    /// The endpoints that only relays reach.
    fn lost(&self) -> impl Iterator<Item = &FailedPath> {
        let failed = self.failed.values();
        failed.filter(|it| it.evidence == RelayEvidence::PathLost)
    }

    /// Whether this process is taken to have lost its paths to all endpoints. Holds until an endpoint responds over a path
    /// of this process.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        let responded_at = self.responded_at;
        self.cut_off_at
            .is_some_and(|at| responded_at.is_none_or(|it| it <= at))
    }

    /// Records that this process is cut off if connections to several endpoints have failed since any has responded to it,
    /// and a relay has reached one of them.
    fn note_cut_off(&mut self, now: Instant) {
        let is_after = |at: Instant| self.responded_at.is_none_or(|it| at > it);
        let failed = self.failed.values().filter(|it| is_after(it.failed_at));
        let is_cut_off = failed.clone().count() >= MIN_FAILED_IF_CUT_OFF
            && failed
                .clone()
                .any(|it| it.evidence == RelayEvidence::PathLost);
        if is_cut_off {
            self.cut_off_at = Some(now);
        }
    }

    /// Whether this process is cut off and no failed path is left whose probes could show that it no longer is.
    #[must_use]
    pub fn needs_probe(&self) -> bool {
        self.is_cut_off() && self.failed.is_empty()
    }
}

/// How an attempt to open a connection through a relay ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayOutcome {
    /// The relay has reached the endpoint.
    Connected,
    /// The relay has tried and not reached the endpoint.
    EndpointUnreachable,
    /// The relay could not be reached, or relays nothing now.
    Unusable,
}

/// The entry processes through which connections can be opened.
#[derive(Debug, Default)]
pub struct RelayTable {
    avoided_until: collections::HashMap<net::Ipv4Addr, Instant>,
    /// Since when no relay has been usable.
    unusable_since: Option<Instant>,
}

impl RelayTable {
    /// The relays to try in turn, out of `entries` without `own`. `draw` spreads the connections over them.
    #[must_use]
    pub fn candidates(
        &self,
        now: Instant,
        entries: &[net::Ipv4Addr],
        own: net::Ipv4Addr,
        draw: u64,
    ) -> Vec<net::Ipv4Addr> {
        let usable: Vec<_> = entries
            .iter()
            .copied()
            .filter(|it| *it != own && self.is_usable(now, *it))
            .collect();
        let begin = usize::try_from(draw % usable.len().max(1) as u64).unwrap_or(0);
        let (before, from) = usable.split_at(begin);
        from.iter()
            .chain(before)
            .copied()
            .take(MAX_RELAYS)
            .collect()
    }

    /// Records how an attempt through `relay` ended.
    pub fn record(&mut self, now: Instant, relay: net::Ipv4Addr, outcome: RelayOutcome) {
        match outcome {
            RelayOutcome::Connected => {
                self.unusable_since = None;
                self.avoided_until.remove(&relay);
            }
            RelayOutcome::EndpointUnreachable => {}
            RelayOutcome::Unusable => {
                self.avoided_until.retain(|_, until| *until > now);
                self.avoided_until.insert(relay, now + RELAY_AVOIDANCE);
                self.unusable_since.get_or_insert(now);
            }
        }
    }

    /// Whether no relay has been usable for so long that a process that is cut off had better get no callers.
    #[must_use]
    pub fn is_isolated(&self, now: Instant) -> bool {
        self.unusable_since
            .is_some_and(|it| now.since(it) >= MAX_ISOLATION)
    }

    fn is_usable(&self, now: Instant, relay: net::Ipv4Addr) -> bool {
        let avoided = self.avoided_until.get(&relay);
        avoided.is_none_or(|until| now >= *until)
    }
}
