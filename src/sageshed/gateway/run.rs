//! Starting and stopping an entry process.
//!
//! # Stopping
//!
//! The balancer needs some time to turn callers away. Until it has, connections are still taken; each
//! answer is the last on its connection, so that callers move elsewhere by themselves. Then what is
//! under way is finished, up to shortly before the process would be killed.

use std::{net, sync, thread, time};

use derive_more::{Display, Error};
use sageshed_fleet::dialect;
use sageshed_http::{handler, limits, server};

use super::{allowances, entry_peers, proxy, ready, state, watch};
use crate::{context, locks, metrics_port, settings};

/// Descriptors that are not for callers: control processes, idle connections to endpoints, ports.
const RESERVED_DESCRIPTORS: usize = 400;

/// Kilobytes that one connection of a caller may need: the touched part of its thread's stack, its
/// buffers and the socket's.
const CONNECTION_KB: usize = 128;

/// Connections on which the balancer asks, at once.
const READY_CONNECTIONS: usize = 32;

/// The stack of a connection's thread, in bytes.
const STACK_BYTES: usize = 192 * 1024;

/// How long before its end the process sends no more requests that waited here. Most streams last less;
/// what waits is told to go elsewhere while its caller has time.
const LAST_SEND_BEFORE_END: time::Duration = time::Duration::from_secs(2);

/// How long before the end of the grace period the process ends by itself.
const EXIT_MARGIN: time::Duration = time::Duration::from_millis(400);

/// Between two sweeps of idle connections.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// An entry process that could not start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// A port could not be opened.
    #[display("cannot listen on {address}: {problem}; is the address this VM's, and free?")]
    Listen {
        /// Where.
        address: net::SocketAddr,
        /// What the system said.
        problem: String,
    },
}

/// Runs an entry process until it is told to stop. It speaks `dialect` with callers and endpoints.
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
    let callers = start(listen.callers, caller_limits(&shared.settings), port)?;
    let metrics = listen
        .metrics
        .map(|address| {
            let shown = sync::Arc::clone(&shared);
            let text = move || shown.metrics.text(&shown);
            let known = sync::Arc::clone(&shared);
            let account = move |id: &str| locks::lock(&known.accounts).get(id).cloned();
            start(
                address,
                ready_limits(),
                metrics_port::Port { text, account },
            )
        })
        .transpose()?;
    watch::start(&shared);
    entry_peers::start(&shared);
    allowances::start(&shared);
    ::log::info!(vm = shared.settings.vm.as_str(), callers:% = callers.local_addr(),
        ready:% = ready.local_addr(); "gateway: listens");
    while !cx.stop.wait_timeout(SWEEP_INTERVAL) {
        shared.pool.sweep();
    }
    stop(cx, &shared, &callers);
    drop((ready, metrics));
    Ok(())
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
    ::log::info!(open = callers.connections_open(); "gateway: stopping, callers are sent elsewhere");
    shared.stopping.store(true, sync::atomic::Ordering::Relaxed);
    callers.drain();
    while began.elapsed() < notice && !cx.stop.is_asked_again() {
        thread::sleep(time::Duration::from_millis(50));
    }
    shared.refusing.store(true, sync::atomic::Ordering::Relaxed);
    callers.stop_accepting();
    callers.close_idle();
    let end = grace.saturating_sub(EXIT_MARGIN);
    let last_sends = end.saturating_sub(LAST_SEND_BEFORE_END);
    let open = callers.wait(last_sends.saturating_sub(began.elapsed()));
    ::log::info!(open; "gateway: ends soon, requests that wait are sent elsewhere");
    // Ended with the process, a request that still waits would get no answer, and its caller could not
    // know that it was not run: one of a day's 3,200 was cut so after seven seconds.
    shared.ending.store(true, sync::atomic::Ordering::Relaxed);
    shared.wake_waiting();
    let cut = callers.wait(end.saturating_sub(began.elapsed()));
    ::log::info!(cut; "gateway: stopped");
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
        connections: READY_CONNECTIONS,
        stack_bytes: STACK_BYTES,
        ..limits::Limits::default()
    }
}

/// Each connection of a caller may hold one to an endpoint.
fn caller_limits(settings: &settings::FleetEntry) -> limits::Limits {
    let resources = settings.resources;
    let by_descriptors = resources.descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2;
    let by_memory = resources.memory_mb * 1_024 / 2 / CONNECTION_KB;
    limits::Limits {
        connections: by_descriptors.min(by_memory).max(READY_CONNECTIONS),
        stack_bytes: STACK_BYTES,
        head_bytes: 32 * 1024,
        head_timeout: time::Duration::from_secs(5),
        idle_timeout: time::Duration::from_secs(20),
        ..limits::Limits::default()
    }
}
