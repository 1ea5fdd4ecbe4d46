//! The part of a control process that serves a fleet whose configuration the operator replaces as a whole.
//!
//! The replicated log, elections and membership are shared with other control processes. On top of them,
//! this module takes the operator's configuration and the endpoints' announcements ([`port`]), sends
//! changes to entry processes and other control processes ([`watch`], [`hub`]), and plans the placement
//! of models on engines while this process leads ([`planning`]).

pub mod config_check;
pub mod hub;
pub mod planning;
pub mod planning_queue;
pub mod port;
mod route_changes;
pub(super) mod software_versions;
mod stream_origins;
pub mod watch;
pub mod watchers;

use std::{net, sync, thread};

use sageshed_fleet::{dialect, planner};
use sageshed_http::{limits, server};

use super::{inputs, run::StartError, shared};
use crate::{metrics_port, settings};

/// The servers of the fleet's ports, which run until this is dropped.
#[derive(Debug)]
pub struct Ports {
    _fleet: server::Server,
    _metrics: Option<server::Server>,
}

/// Starts the servers, each within `limits`, and the threads of the fleet.
pub(super) fn start<D: dialect::Dialect>(
    shared: &sync::Arc<shared::Shared>,
    inputs: &inputs::Inputs,
    client: &sageshed_vms::Client,
    settings: &settings::FleetControl,
    limits: &limits::Limits,
    dialect: D,
    start: software_versions::Start,
) -> Result<Ports, StartError> {
    spawn("route-changes", {
        let (shared, data) = (sync::Arc::clone(shared), settings.control.data.clone());
        let mut before = route_changes::BeforeStart::read(&data, start);
        route_changes::restore(&shared, &mut before);
        move || route_changes::run(&shared, &data, dialect, before)
    });
    let handler = port::FleetHandler {
        shared: sync::Arc::clone(shared),
        inputs: inputs.clone(),
        dialect,
        port: settings.fleet_listen.port(),
    };
    let fleet = listen(settings.fleet_listen, limits, sync::Arc::new(handler))?;
    let metrics = settings
        .metrics_listen
        .map(|address| {
            let shared = sync::Arc::clone(shared);
            let metrics = super::metrics::Metrics::default();
            let text = move || metrics.text(&shared);
            let account = |_: &str| None;
            let queues = Vec::new;
            listen(
                address,
                limits,
                sync::Arc::new(metrics_port::Port {
                    text,
                    account,
                    queues,
                }),
            )
        })
        .transpose()?;
    spawn("planning", {
        let shared = sync::Arc::clone(shared);
        let policy = planner::Policy {
            lease: settings.orders.lease_ms,
            store_window: settings.orders.store_window_ms,
            adaptive_store_loads: settings.placement.adaptive_store_loads,
            follow_waiting: settings.placement.follow_waiting,
            spare_adapters: settings.placement.spare_adapters,
            ..planner::Policy::default()
        };
        move || planning::run(&shared, dialect, policy)
    });
    spawn("config-check", {
        let shared = sync::Arc::clone(shared);
        move || config_check::run(&shared)
    });
    spawn("software-versions", {
        let (shared, data) = (sync::Arc::clone(shared), settings.control.data.clone());
        move || software_versions::run(&shared, &data)
    });
    spawn("stream-origins", {
        let shared = sync::Arc::clone(shared);
        move || stream_origins::run(&shared)
    });
    spawn("watchers", {
        let shared = sync::Arc::clone(shared);
        move || watch::answer_watchers(&shared)
    });
    spawn("watch-peers", {
        let (shared, client) = (sync::Arc::clone(shared), client.clone());
        move || watch::watch_peers(&shared, &client)
    });
    Ok(Ports {
        _fleet: fleet,
        _metrics: metrics,
    })
}

fn listen<H: sageshed_http::handler::Handler>(
    address: net::SocketAddr,
    limits: &limits::Limits,
    handler: sync::Arc<H>,
) -> Result<server::Server, StartError> {
    let listener = net::TcpListener::bind(address).map_err(|source| StartError::Listen {
        address,
        source: source.to_string(),
    })?;
    server::Server::start(listener, limits.clone(), handler).map_err(|source| StartError::Listen {
        address,
        source: source.to_string(),
    })
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) {
    let spawned = thread::Builder::new().name(name.to_owned()).spawn(run);
    if let Err(e) = spawned {
        ::log::error!(name, error:% = e; "control: cannot start a thread");
    }
}
