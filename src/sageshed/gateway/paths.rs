//! Opens connections to endpoints, through another entry process where the own path is lost, and for other entry
//! processes.

use std::{
    net,
    sync::{self, Arc},
    time as std_time,
};

use sageshed_fleet::{chooser, dialect, directory, paths};
use sageshed_types::time;
use sageshed_upstream::{
    connection::{Connect, Connection, RelayError},
    exchange, failure, pool, probe, relay,
};

use super::state;
use crate::{locks, outbound};

/// The relays that must fail to reach an endpoint before it counts as unreachable. One of them may have lost its own
/// path, and not know it yet.
const UNREACHABLE_WITNESSES: usize = 2;

/// A relay takes its failed connection for a failure of the endpoint if another endpoint has responded to it within this
/// time.
const WITNESS_SPAN: time::Millis = time::Millis(300);

/// How long an attempt through one relay may take.
const RELAY_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(350);

/// How long a probe may take to connect.
const PROBE_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(250);

/// How long an endpoint may take to respond to the health check of a probe: it may wait for a slot there.
const CHECK_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(4);

/// The time that the probes of one pass may take.
const PROBE_PASS: std_time::Duration = std_time::Duration::from_millis(500);

/// The most connections that are opened for other entry processes at once. Each has a thread and two descriptors.
const MAX_RELAYED: usize = 256;

/// The descriptors of a process for each connection that it opens for another one at once.
const DESCRIPTORS_PER_RELAYED: usize = 16;

/// Opens connections to endpoints by the paths that work.
#[derive(Debug)]
pub(super) struct Connector<'a, D> {
    pub(super) shared: &'a state::Shared<D>,
    /// The deadline of the request that the connection is for.
    pub(super) until: std_time::Instant,
}

/// How a connection leads to its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PathUse {
    /// Over a path of this process, on a connection that was just opened.
    NewDirect,
    /// Over a path of this process, on a connection that carried other requests.
    ReusedDirect,
    /// Through another entry process.
    Relayed,
}

impl PathUse {
    pub(super) fn of(opened: &pool::Opened) -> Self {
        if opened.is_relayed() {
            Self::Relayed
        } else if opened.is_reused() {
            Self::ReusedDirect
        } else {
            Self::NewDirect
        }
    }
}

impl<D: dialect::Dialect> Connect for Connector<'_, D> {
    fn connect(
        &self,
        endpoint: net::SocketAddrV4,
        limit: std_time::Duration,
    ) -> Result<Connection, failure::Failure> {
        let route = locks::lock(&self.shared.paths).route(endpoint);
        if route == paths::Route::Relay
            && let Some(relayed) = self.connect_by_relay(endpoint, limit)
        {
            return relayed;
        }
        let begun = self.shared.clock.now();
        let direct_limit = locks::lock(&self.shared.paths).connect_timeout(limit.into());
        let failure = match Connection::direct(endpoint, direct_limit.into()) {
            Ok(connection) => return Ok(connection),
            Err(failure) => failure,
        };
        self.shared.record_failed_path(endpoint, &failure);
        let after = locks::lock(&self.shared.paths).after_failure(begun);
        if route == paths::Route::Direct
            && after == paths::AfterFailure::TryRelay
            && let Some(relayed) = self.connect_by_relay(endpoint, limit)
        {
            return relayed;
        }
        Err(failure)
    }
}

impl<D: dialect::Dialect> Connector<'_, D> {
    /// Opens a connection through another entry process. None if there is no process to do so.
    fn connect_by_relay(
        &self,
        endpoint: net::SocketAddrV4,
        limit: std_time::Duration,
    ) -> Option<Result<Connection, failure::Failure>> {
        let shared = self.shared;
        if !shared.settings.relays.enabled {
            return None;
        }
        let discovery = &shared.settings.discovery;
        let (entries, draw) = shared.with_core(|core| (core.entries.clone(), core.chooser.draw()));
        let now = shared.clock.now();
        let relays = locks::lock(&shared.relays).candidates(now, &entries, discovery.ip, draw);
        let mut witnesses = 0;
        for relay in relays {
            let left = self
                .until
                .saturating_duration_since(std_time::Instant::now());
            if left.is_zero() {
                break;
            }
            let address = net::SocketAddrV4::new(relay, discovery.vms_port);
            let limit = limit.min(RELAY_TIMEOUT).min(left);
            let opened = Connection::through(address, endpoint, limit);
            let outcome = match &opened {
                Ok(_) => paths::RelayOutcome::Connected,
                Err(RelayError::EndpointUnreachable) => paths::RelayOutcome::EndpointUnreachable,
                Err(RelayError::Unusable(_)) => paths::RelayOutcome::Unusable,
            };
            let now = shared.clock.now();
            locks::lock(&shared.relays).record(now, relay, outcome);
            match opened {
                Ok(connection) => {
                    shared.record_relayed_path(endpoint, relay);
                    return Some(Ok(connection));
                }
                Err(RelayError::EndpointUnreachable) => {
                    witnesses += 1;
                    if witnesses == UNREACHABLE_WITNESSES {
                        break;
                    }
                }
                Err(e) => {
                    ::log::debug!(relay:% = relay, error:% = e; "gateway: relay can't be used");
                }
            }
        }
        if witnesses == 0 {
            return None;
        }
        locks::lock(&shared.paths).record_unreachable(endpoint);
        Some(Err(RelayError::EndpointUnreachable.into()))
    }
}

impl<D: dialect::Dialect> state::Shared<D> {
    /// Whether the endpoint at this address has ended: connections to it are refused, and no other entry process opens one. A
    /// path that is lost may refuse connections too, while those that are open live on.
    pub(super) fn has_ended(&self, endpoint: net::SocketAddrV4) -> bool {
        if !probe::is_closed(endpoint) {
            return false;
        }
        let connector = Connector {
            shared: self,
            until: std_time::Instant::now() + RELAY_TIMEOUT,
        };
        match connector.connect_by_relay(endpoint, RELAY_TIMEOUT) {
            Some(opened) => opened.is_err(),
            None => !locks::lock(&self.paths).is_cut_off(),
        }
    }

    /// Whether endpoints can be reached neither directly nor through other entry processes.
    pub(super) fn is_isolated(&self) -> bool {
        let now = self.clock.now();
        locks::lock(&self.paths).is_cut_off() && locks::lock(&self.relays).is_isolated(now)
    }

    /// What other processes are told of an attempt at `endpoint` that ended with `outcome`.
    pub(super) fn outcome_for_peers(
        &self,
        endpoint: net::SocketAddrV4,
        outcome: chooser::AttemptOutcome,
    ) -> chooser::AttemptOutcome {
        let is_unreachable = outcome == chooser::AttemptOutcome::Unreachable;
        if is_unreachable && !locks::lock(&self.paths).is_evidence(endpoint) {
            return chooser::AttemptOutcome::GivenUp;
        }
        outcome
    }

    /// Records how an exchange over a connection to `endpoint` ended.
    pub(super) fn record_exchange(
        &self,
        endpoint: net::SocketAddrV4,
        path: PathUse,
        failure: Option<&failure::Failure>,
    ) {
        match (path, failure) {
            (PathUse::Relayed, _) => {}
            (_, None) => self.record_response(endpoint, path == PathUse::NewDirect),
            (PathUse::NewDirect, Some(failure))
                if failure.cause == failure::Cause::ClosedBeforeAnswer =>
            {
                self.record_failed_path(endpoint, failure);
            }
            (_, Some(_)) => {}
        }
    }

    fn record_response(&self, endpoint: net::SocketAddrV4, is_new_connection: bool) {
        let now = self.clock.now();
        let failed_for =
            self.update_paths(|paths| paths.record_response(now, endpoint, is_new_connection));
        if let Some(failed_for) = failed_for {
            ::log::info!(address:% = endpoint, failed_ms = failed_for.0; "gateway: connects to an endpoint again");
        }
    }

    fn is_present(&self, endpoint: net::SocketAddrV4) -> bool {
        self.with_core(|core| {
            let found = core.directory.instance_at(endpoint);
            found.is_some_and(directory::Instance::is_present)
        })
    }

    /// The health check of the endpoint at this address, if the endpoint and its service are known and it has one.
    fn health_check(&self, endpoint: net::SocketAddrV4) -> Option<dialect::OutboundRequest> {
        let found = self.with_core(|core| core.directory.instance_at(endpoint).cloned());
        self.health_check_of(&found?)
    }

    /// The health check of an instance, if its service is known and has one.
    pub(super) fn health_check_of(
        &self,
        instance: &directory::Instance,
    ) -> Option<dialect::OutboundRequest> {
        let routing = self.routing()?;
        let service = routing.config.service(&instance.service)?;
        let path = service.health_check.as_deref()?;
        Some(self.dialect.health_check(path, &instance.id))
    }

    /// Forgets failed paths that are not used and whose endpoints have ended.
    fn forget_unused_paths(&self) {
        let now = self.clock.now();
        let unused = locks::lock(&self.paths).unused(now);
        for endpoint in unused {
            let is_there = self.with_core(|core| core.directory.instance_at(endpoint).is_some());
            let mut paths = locks::lock(&self.paths);
            if is_there {
                paths.keep(now, endpoint);
            } else {
                paths.forget(endpoint);
            }
        }
    }

    /// Has the path to a present endpoint probed if this process is cut off and the endpoints have ended by which it knows
    /// that.
    fn suspect_a_path(&self) {
        if !locks::lock(&self.paths).needs_probe() {
            return;
        }
        let now = self.clock.now();
        let address = self.with_core(|core| {
            let mut present = core.directory.present(now);
            present.next().map(|(it, _)| it.address)
        });
        if let Some(address) = address {
            // Its path is not known to work, and only failed ones are probed.
            locks::lock(&self.paths).record_failed(now, address);
        }
    }

    fn record_failed_path(&self, endpoint: net::SocketAddrV4, failure: &failure::Failure) {
        let now = self.clock.now();
        let (is_first, status) =
            self.update_paths(|paths| (paths.record_failed(now, endpoint), paths.status(now)));
        if is_first {
            // Since the start of this process if no endpoint has responded yet.
            let responded_ms = status.since_response.map_or(now.0, |it| it.0);
            ::log::info!(address:% = endpoint, error:% = failure, failing = status.failing, responded_ms;
                "gateway: cannot connect to an endpoint");
        }
    }

    fn record_relayed_path(&self, endpoint: net::SocketAddrV4, relay: net::Ipv4Addr) {
        let now = self.clock.now();
        let (is_first, status) =
            self.update_paths(|paths| (paths.record_relayed(now, endpoint), paths.status(now)));
        if is_first {
            ::log::info!(address:% = endpoint, relay:% = relay, lost = status.lost, failing = status.failing;
                "gateway: path to an endpoint is lost, another entry process reaches it");
            // Connections that were opened before may be silent.
            self.pool.forget(endpoint);
        }
    }

    /// Updates the paths of this process, and drops pooled connections if it is cut off from all endpoints since.
    fn update_paths<T>(&self, update: impl FnOnce(&mut paths::PathTable) -> T) -> T {
        let mut paths = locks::lock(&self.paths);
        let was_cut_off = paths.is_cut_off();
        let updated = update(&mut paths);
        let is_cut_off = paths.is_cut_off();
        drop(paths);
        if is_cut_off && !was_cut_off {
            ::log::warn!(
                "gateway: cut off from the endpoints, connecting through other entry processes"
            );
            self.pool.clear();
        } else if was_cut_off && !is_cut_off {
            ::log::info!("gateway: connects to endpoints without relays again");
        }
        updated
    }
}

/// Probes endpoints whose paths have failed, to learn whether they work again.
#[derive(Debug, Default)]
pub(super) struct Prober {
    pending: Vec<Probe>,
}

/// A connection to an endpoint whose path has failed.
#[derive(Debug)]
struct Probe {
    endpoint: net::SocketAddrV4,
    opened_at: std_time::Instant,
    step: ProbeStep,
}

#[derive(Debug)]
enum ProbeStep {
    /// A health check was sent. Something on the way may accept connections and close them later, so only a response
    /// shows that the path works.
    Checking(exchange::Sent),
    /// The endpoint has no health check that this process knows. The path works if the connection is still open a pass
    /// later.
    Open(Connection),
}

/// What a probe has shown so far.
#[derive(Debug)]
enum ProbeResult {
    Works,
    Failed,
    Pending(Probe),
}

impl Probe {
    /// Connects to `endpoint`, and sends `check` if there is one.
    fn begin(
        endpoint: net::SocketAddrV4,
        check: Option<&dialect::OutboundRequest>,
    ) -> Result<Self, failure::Failure> {
        let connection = Connection::direct(endpoint, PROBE_TIMEOUT)?;
        let step = match check {
            Some(check) => ProbeStep::Checking(send_check(connection, endpoint, check)?),
            None => ProbeStep::Open(connection),
        };
        Ok(Self {
            endpoint,
            opened_at: std_time::Instant::now(),
            step,
        })
    }

    /// Looks what has come since it was opened.
    fn result(self) -> ProbeResult {
        match self.step {
            ProbeStep::Open(connection) if connection.is_quiet() => ProbeResult::Works,
            ProbeStep::Checking(sent) if sent.goes_on() => {
                let patience = exchange::Patience {
                    until: std_time::Instant::now(),
                    stop: &|| false,
                };
                match sent.head(&patience) {
                    Ok(_) => ProbeResult::Works,
                    Err(_) => ProbeResult::Failed,
                }
            }
            ProbeStep::Checking(sent)
                if sent.is_quiet() && self.opened_at.elapsed() < CHECK_TIMEOUT =>
            {
                let step = ProbeStep::Checking(sent);
                ProbeResult::Pending(Self { step, ..self })
            }
            ProbeStep::Open(_) | ProbeStep::Checking(_) => ProbeResult::Failed,
        }
    }
}

fn send_check(
    connection: Connection,
    endpoint: net::SocketAddrV4,
    check: &dialect::OutboundRequest,
) -> Result<exchange::Sent, failure::Failure> {
    let host = endpoint.to_string();
    let req = outbound::request(check, &host);
    let patience = exchange::Patience {
        until: std_time::Instant::now() + PROBE_TIMEOUT,
        stop: &|| false,
    };
    connection.send(&req, &patience)
}

impl Prober {
    /// Looks at the probes that are under way, and begins those that are due.
    pub(super) fn run<D: dialect::Dialect>(&mut self, shared: &state::Shared<D>) {
        for probe in std::mem::take(&mut self.pending) {
            let endpoint = probe.endpoint;
            match probe.result() {
                ProbeResult::Works => shared.record_response(endpoint, true),
                ProbeResult::Failed => {
                    ::log::debug!(address:% = endpoint; "gateway: path to an endpoint does not work yet");
                }
                ProbeResult::Pending(probe) => self.pending.push(probe),
            }
        }
        shared.forget_unused_paths();
        shared.suspect_a_path();
        let begun = std_time::Instant::now();
        while begun.elapsed() < PROBE_PASS {
            let now = shared.clock.now();
            let Some(endpoint) = locks::lock(&shared.paths).next_probe(now) else {
                return;
            };
            if self.pending.iter().any(|it| it.endpoint == endpoint) {
                continue;
            }
            match Probe::begin(endpoint, shared.health_check(endpoint).as_ref()) {
                Ok(probe) => self.pending.push(probe),
                Err(e) => {
                    ::log::debug!(address:% = endpoint, error:% = e; "gateway: path to an endpoint does not work yet");
                }
            }
        }
    }
}

/// Admits connections to known endpoints only.
struct RelayGate<D> {
    shared: Arc<state::Shared<D>>,
}

impl<D: dialect::Dialect> relay::Gate for RelayGate<D> {
    fn admits(&self, endpoint: net::SocketAddrV4) -> bool {
        let is_known = self.shared.is_present(endpoint);
        // A process that would need a relay itself leaves the connection to another one.
        is_known && locks::lock(&self.shared.paths).route(endpoint) == paths::Route::Direct
    }

    fn is_failed(
        &self,
        endpoint: net::SocketAddrV4,
        failure: &failure::Failure,
        took: std_time::Duration,
    ) -> bool {
        self.shared.record_failed_path(endpoint, failure);
        let span = time::Millis::from(took).max(WITNESS_SPAN);
        let begun = time::Instant(self.shared.clock.now().0.saturating_sub(span.0));
        let after = locks::lock(&self.shared.paths).after_failure(begun);
        after == paths::AfterFailure::Report
    }
}

/// Starts to open connections for other entry processes.
pub(super) fn start<D: dialect::Dialect>(shared: &sync::Arc<state::Shared<D>>) {
    if !shared.settings.relays.enabled {
        return;
    }
    let discovery = &shared.settings.discovery;
    let address = net::SocketAddrV4::new(discovery.ip, discovery.vms_port);
    let limit = shared.settings.resources.descriptors / DESCRIPTORS_PER_RELAYED;
    let gate = RelayGate {
        shared: Arc::clone(shared),
    };
    let started = net::TcpListener::bind(address)
        .and_then(|listener| relay::Relay::start(listener, limit.min(MAX_RELAYED), gate));
    match started {
        Ok(relay) => drop(shared.relay.set(relay)),
        Err(e) => {
            ::log::warn!(address:% = address, error:% = e; "gateway: cannot open connections for other entry processes");
        }
    }
}
