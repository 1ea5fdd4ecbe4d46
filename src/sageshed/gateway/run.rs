//! Starts and stops an entry process.
//!
//! # Shutdown
//!
//! The load balancer needs some time to stop sending callers here. During this notice period, connections
//! are still accepted; each response closes its connection, so that callers move to another entry process
//! by themselves. After it, requests in progress are finished until shortly before the end of the grace
//! period, when the process would be killed. Those that are not finished by then are refused.

use std::{mem, net, num, sync, thread, time};

use derive_more::{Display, Error};
use sageshed_fleet::dialect;
use sageshed_http::{handler, limits, server, starts};

use super::{
    allowances, caller_limits, entry_peers, paths, proxy, queues, ready, slots, state,
    stream_origins, watch,
};
use crate::{context, locks, metrics_port, settings};

/// The share of the memory of this process that the bodies of requests may take: connections and threads take half of it,
/// and parts of responses as much as these.
const BODIES_PER_MEMORY: usize = 4;

const BYTES_PER_MB: usize = 1_024 * 1_024;

/// File descriptors that are not for callers: control processes, idle connections to endpoints, listeners.
const RESERVED_DESCRIPTORS: usize = 400;

/// The memory that one connection of a caller may need: the used part of its thread's stack, its buffers and
/// those of the socket.
const CONNECTION_KB: usize = 128;

/// The most connections at once on the port of health checks, and on that of metrics.
const HEALTH_CHECK_CONNECTIONS: usize = 32;

/// The stack size of a connection's thread.
const STACK_BYTES: usize = 192 * 1024;

/// The requests that are started at once on each core: one that uses it, and one that is ready to.
const STARTS_PER_CORE: usize = 2;

/// How long the first request of a connection waits unread. Its caller can still have a response within 150 ms
/// elsewhere.
const START_PATIENCE: time::Duration = time::Duration::from_millis(50);

/// The longest time that a thread may wait for the processor while requests on new connections are started. A request
/// waits for it some ten times until its response is complete, and has 150 ms where callers expect it soonest.
const MAX_LAG: time::Duration = time::Duration::from_millis(15);

/// After this time a request that is not read completely waits for its caller.
const LONGEST_START: time::Duration = time::Duration::from_millis(100);

/// How long before its exit the process refuses the requests that still wait. Most streams take less time, and the
/// callers of waiting requests still have time to try another entry process.
const LAST_SEND_BEFORE_END: time::Duration = time::Duration::from_secs(2);

/// How long before the end of the grace period the process waits for endpoints no longer.
const EXIT_MARGIN: time::Duration = time::Duration::from_millis(400);

/// How long the process then waits until the requests in progress are refused. Each looks every 100 ms whether the
/// process exits.
const LAST_RESPONSES_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// The interval between two sweeps of idle pooled connections and probes of lost paths.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// A request that has waited so long for its start is logged.
const LOGGED_WAIT: time::Duration = time::Duration::from_millis(100);

/// An entry process that could not start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// A listener could not be opened.
    #[display("cannot listen on {address}: {problem}; is the address this VM's, and free?")]
    Listen {
        /// The address to listen on.
        address: net::SocketAddr,
        /// The error of the operating system.
        problem: String,
    },
    /// A thread could not be started.
    #[display("cannot start a thread: {_0}")]
    Thread(#[error(not(source))] String),
}

/// Runs an entry process, which speaks `dialect` with callers and endpoints, until it is told to stop.
pub fn run<D: dialect::Dialect>(
    cx: &context::Context,
    settings: settings::FleetEntry,
    dialect: D,
) -> Result<(), StartError> {
    let listen = settings.listen;
    let shared = sync::Arc::new(state::Shared::new(settings, dialect));
    let ready = ready::ReadinessHandler {
        shared: sync::Arc::clone(&shared),
    };
    let ready = start(listen.ready, ready_limits(), ready)?;
    let port = proxy::RequestHandler {
        shared: sync::Arc::clone(&shared),
    };
    let callers = start(listen.callers, callers_port_limits(&shared.settings), port)?;
    shared.callers_load.get_or_init(|| callers.load());
    shared.caller_limits.get_or_init(|| callers.caller_limits());
    let metrics = listen
        .metrics
        .map(|address| {
            let shown = sync::Arc::clone(&shared);
            let text = move || shown.metrics.text(&shown);
            let known = sync::Arc::clone(&shared);
            let account = move |id: &str| locks::lock(&known.traces).get(id).cloned();
            let kept = sync::Arc::clone(&shared);
            let queues = move || {
                let now = kept.clock.now();
                kept.with_core(|core| core.queues.status(now))
            };
            start(
                address,
                ready_limits(),
                metrics_port::Port {
                    text,
                    account,
                    queues,
                },
            )
        })
        .transpose()?;
    // Without one of these threads the process would run, and lack the configuration or endpoints for good.
    watch::start(&shared).map_err(|e| StartError::Thread(e.to_string()))?;
    entry_peers::start(&shared);
    stream_origins::start(&shared).map_err(|e| StartError::Thread(e.to_string()))?;
    allowances::start(&shared);
    queues::start(&shared);
    slots::start(&shared);
    paths::start(&shared);
    ::log::info!(vm = shared.settings.vm.as_str(), callers:% = callers.local_addr(),
        ready:% = ready.local_addr(); "gateway: listening");
    let mut prober = paths::Prober::default();
    while !cx.stop.wait_timeout(SWEEP_INTERVAL) {
        shared.pool.sweep();
        prober.run(&shared);
        record_port_stats(&shared, &callers);
    }
    stop(cx, &shared, &callers);
    drop((ready, metrics));
    Ok(())
}

/// Records the figures of the port for callers, and logs them if requests have waited for long.
fn record_port_stats<D: dialect::Dialect>(shared: &state::Shared<D>, callers: &server::Server) {
    let stats = callers.stats();
    let before = mem::replace(&mut *locks::lock(&shared.port_stats), stats);
    let (refused, unread) = (stats.refused - before.refused, stats.unread - before.unread);
    if stats.longest_wait < LOGGED_WAIT && refused + unread == 0 {
        return;
    }
    let peers = shared.entry_peers.as_ref();
    let (timeouts, late_replies) = peers.map_or((0, 0), entry_peers::EntryPeers::timeouts);
    ::log::warn!(longest_wait_ms = stats.longest_wait.as_millis(), open = stats.open, threads = stats.threads,
        threads_started = stats.threads_started, refused, unread,
        timeouts, late_replies; "gateway: requests wait for this process");
}

fn stop<D: dialect::Dialect>(
    cx: &context::Context,
    shared: &state::Shared<D>,
    callers: &server::Server,
) {
    let began = time::Instant::now();
    let shutdown = shared.settings.shutdown;
    let grace = time::Duration::from(shutdown.grace_ms);
    let notice = time::Duration::from(shutdown.notice_ms);
    ::log::info!(open = callers.connections_open();
        "gateway: stopping, closing callers' connections after each response");
    shared.stopping.store(true, sync::atomic::Ordering::Relaxed);
    callers.drain();
    while began.elapsed() < notice && !cx.stop.is_asked_again() {
        thread::sleep(time::Duration::from_millis(50));
    }
    shared.refusing.store(true, sync::atomic::Ordering::Relaxed);
    callers.stop_accepting();
    callers.close_idle();
    if let Some(relay) = shared.relay.get() {
        relay.stop();
    }
    let end = grace.saturating_sub(EXIT_MARGIN);
    let last_sends = end.saturating_sub(LAST_SEND_BEFORE_END);
    let open = callers.wait(last_sends.saturating_sub(began.elapsed()));
    ::log::info!(open; "gateway: exiting soon, refusing the requests that wait");
    // A request that still waits when the process exits would get no response, and its caller could not know
    // that it was not run. One of 3,200 requests in a day was cut off this way, after it had waited for seven seconds.
    shared.ending.store(true, sync::atomic::Ordering::Relaxed);
    shared.wake_waiting();
    let open = callers.wait(end.saturating_sub(began.elapsed()));
    let relayed = shared.relay.get();
    let cut_relayed = relayed.map_or(0, |it| it.wait(end.saturating_sub(began.elapsed())));
    if open > 0 {
        ::log::info!(open; "gateway: exiting, refusing the requests that endpoints have not answered");
    }
    shared.exiting.store(true, sync::atomic::Ordering::Relaxed);
    shared.wake_waiting();
    let cut = callers.wait(LAST_RESPONSES_TIMEOUT);
    ::log::info!(cut, cut_relayed; "gateway: stopped");
}

fn start<H: handler::Handler>(
    address: net::SocketAddr,
    limits: limits::Limits,
    handler: H,
) -> Result<server::Server, StartError> {
    let failed = |problem: String| StartError::Listen { address, problem };
    let listener = net::TcpListener::bind(address).map_err(|e| failed(e.to_string()))?;
    server::Server::start(listener, limits, sync::Arc::new(handler))
        .map_err(|e| failed(e.to_string()))
}

fn ready_limits() -> limits::Limits {
    limits::Limits {
        connections: HEALTH_CHECK_CONNECTIONS,
        stack_bytes: STACK_BYTES,
        ..limits::Limits::default()
    }
}

/// The limits for callers by the resources of the VM, until a configuration is in force. Each connection of a caller may
/// need one to an endpoint.
fn callers_port_limits(settings: &settings::FleetEntry) -> limits::Limits {
    let resources = settings.resources;
    let by_descriptors = resources.descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2;
    let cores = thread::available_parallelism().map_or(1, num::NonZero::get);
    let by_memory = resources.memory_mb * 1_024 / 2 / CONNECTION_KB;
    limits::Limits {
        connections: by_descriptors.min(by_memory).max(HEALTH_CHECK_CONNECTIONS),
        excess: limits::Excess::Close,
        starts: starts::Bounds {
            at_once: STARTS_PER_CORE * cores,
            patience: START_PATIENCE,
            max_lag: MAX_LAG,
            longest_start: LONGEST_START,
        },
        stack_bytes: STACK_BYTES,
        bodies_bytes: resources.memory_mb * BYTES_PER_MB / BODIES_PER_MEMORY,
        ..limits::Limits::default().with_callers(caller_limits::INITIAL)
    }
}
