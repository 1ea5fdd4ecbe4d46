//! Starting and stopping an entry process.
//!
//! # Stopping
//!
//! On the first request to stop `/readyz` turns red and connections are no longer kept, but new
//! requests are served for the time that the balancer takes to notice. Then no connection is
//! accepted, what is in flight goes on to its end, up to the longest deadline, and the process ends.
//! A second request to stop ends it at once and says what it cut.

use std::{
    io, net,
    sync::{self, atomic},
    thread, time,
};

use derive_more::{Display, Error, From};
use sageshed_decide::{decider, event, settings as decide_settings};
use sageshed_engines::{client, transport};
use sageshed_types::{endpoints, messages, rules, time as types_time};

use super::{
    claims, crashes, freshness, housekeeping, metrics, serve, shared, sync as heartbeats, vms,
    waiters,
};
use crate::{accounts, clock, context, directory, locks, settings};

/// Connections of other processes that are open at once; each has a thread.
const VMS_CONNECTIONS: usize = 256;

/// How often a stopping process looks whether it is done, or told to hurry.
const LOOK: time::Duration = time::Duration::from_millis(50);

/// An entry process that could not start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// The callers' port.
    #[display(
        "cannot listen for callers on {address}: {source}; is the address this VM's, and free?"
    )]
    #[from(skip)]
    Listen {
        /// The address.
        address: net::SocketAddr,
        /// The system's words.
        source: io::Error,
    },
    /// The callers' server.
    #[display("{_0}")]
    Callers(sageshed_callers::server::StartError),
    /// The port for other processes.
    #[display("{_0}")]
    Vms(sageshed_vms::StartError),
}

/// Runs an entry process until it is told to stop.
pub fn run(cx: &context::Context, settings: settings::Entry) -> Result<(), StartError> {
    let client = sageshed_vms::Client::new(&settings.common.vms_token);
    let (cancels, queued) = housekeeping::Cancels::new();
    let (claims, settlements) = claims::Claims::new(client.clone(), controls(&settings));
    let shared = sync::Arc::new(share(settings, cancels, claims));
    let vms = start_vms(&shared)?;
    let callers = start_callers(&shared)?;
    log::info!(vm = shared.process.vm.as_str(), callers:% = callers.local_addr(),
        vms:% = vms.address(); "entry: listens");
    heartbeats::start(&shared, &client, vms.address());
    housekeeping::start_cancellers(&shared, queued);
    let background = sync::Arc::clone(&shared);
    thread::spawn(move || housekeeping::run(&background));
    let settling = sync::Arc::clone(&shared);
    let settling = thread::spawn(move || claims::run(&settling, &settlements));
    cx.stop.wait();
    stop(cx, &shared, &callers);
    shared.stage.stopping.store(true, atomic::Ordering::Relaxed);
    drop(settling.join());
    log::info!("entry: stopped");
    Ok(())
}

fn controls(settings: &settings::Entry) -> Vec<(String, String)> {
    let vms = settings.common.vms.iter();
    vms.filter_map(|vm| Some((vm.name.clone(), vm.control?.to_string())))
        .collect()
}

fn start_vms(shared: &sync::Arc<shared::Shared>) -> Result<sageshed_vms::Server, StartError> {
    let port = vms::Port {
        shared: sync::Arc::clone(shared),
    };
    let address = shared.settings.listen.vms.to_string();
    let token = &shared.settings.common.vms_token;
    let server =
        sageshed_vms::Server::start(&address, token, VMS_CONNECTIONS, sync::Arc::new(port))?;
    Ok(server)
}

fn start_callers(
    shared: &sync::Arc<shared::Shared>,
) -> Result<sageshed_callers::server::Server, StartError> {
    let address = shared.settings.listen.callers;
    let listener =
        net::TcpListener::bind(address).map_err(|source| StartError::Listen { address, source })?;
    let front = serve::Front {
        shared: sync::Arc::clone(shared),
    };
    let limits = caller_limits(&shared.settings.limits);
    let server = sageshed_callers::server::Server::start(listener, limits, sync::Arc::new(front))?;
    Ok(server)
}

fn caller_limits(limits: &settings::Limits) -> sageshed_callers::limits::Limits {
    sageshed_callers::limits::Limits {
        head_bytes: limits.head_bytes,
        body_bytes: limits.body_bytes,
        head_timeout: limits.head_timeout_ms.into(),
        body_timeout: limits.body_timeout_ms.into(),
        idle_timeout: limits.idle_timeout_ms.into(),
        write_timeout: limits.write_timeout_ms.into(),
        connections: limits.connections,
        ..sageshed_callers::limits::Limits::default()
    }
}

fn share(
    settings: settings::Entry,
    cancels: housekeeping::Cancels,
    claims: claims::Claims,
) -> shared::Shared {
    let incarnation = endpoints::Incarnation(clock::unix_ms());
    let process = messages::Process {
        vm: settings.vm.name.clone(),
        role: messages::Role::Entry,
        incarnation,
    };
    let common = &settings.common;
    let entry_vms = common.vms.iter().filter(|vm| vm.entry.is_some()).count();
    let heartbeat = common.lease.sync_interval_ms.0 * heartbeats::CONTROL_PER_ENTRY;
    let engines = client::Client::new(transport::Settings::default());
    shared::Shared {
        process,
        clock: clock::Clock::start(),
        decider: sync::Mutex::new(decider::Decider::new(
            decide_settings(&settings, entry_vms),
            incarnation.0,
        )),
        waiters: waiters::Waiters::default(),
        freshness: sync::Mutex::new(freshness::Freshness::new(freshness::Settings {
            entry_vms,
            drift_margin: common.lease.drift_margin_ms,
            heartbeat: types_time::Millis(heartbeat),
        })),
        crashes: sync::Mutex::new(crashes::Crashes::new(incarnation)),
        config: sync::Mutex::new(shared::Config {
            rules: rules::RuleSet::default(),
            since: types_time::Instant(0),
            wants_whole: false,
        }),
        directory: sync::Mutex::new(directory::Directory::new(incarnation)),
        accounts: sync::Mutex::new(accounts::Accounts::new(settings.limits.accounts)),
        metrics: metrics::Metrics::new(),
        services: sageshed_services::client::Client::new(engines.transport().clone()),
        engines,
        claims,
        cancels,
        watched: housekeeping::Watched::default(),
        demand: sync::Mutex::default(),
        stage: shared::Stage::default(),
        last_req: atomic::AtomicU64::new(0),
        settings,
    }
}

fn decide_settings(settings: &settings::Entry, entry_vms: usize) -> decide_settings::Settings {
    let common = &settings.common;
    decide_settings::Settings {
        vm: settings.vm.name.clone(),
        availability_zone: settings.vm.availability_zone.clone(),
        entries: u32::try_from(entry_vms).unwrap_or(u32::MAX),
        classes: common.classes.clone(),
        callers: common.callers.clone(),
        models: common.models.clone(),
        services: common
            .services
            .iter()
            .map(|service| service.name.clone())
            .collect(),
        policy: common.routing.clone(),
    }
}

/// Lets go of callers without cutting any.
fn stop(
    cx: &context::Context,
    shared: &shared::Shared,
    callers: &sageshed_callers::server::Server,
) {
    let shutdown = shared.settings.shutdown;
    log::info!(open = shared.waiters.open(); "entry: told to stop, drains");
    shared.stage.draining.store(true, atomic::Ordering::Relaxed);
    shared.step(event::Event::Drain);
    callers.drain();
    let noticed = time::Instant::now() + time::Duration::from(shutdown.notice_ms);
    while time::Instant::now() < noticed && !cx.stop.is_asked_again() {
        thread::sleep(LOOK);
    }
    callers.stop_accepting();
    callers.close_idle();
    let longest = time::Instant::now() + time::Duration::from(shutdown.longest_ms);
    let mut open = callers.wait(LOOK);
    while open > 0 && time::Instant::now() < longest && !cx.stop.is_asked_again() {
        open = callers.wait(LOOK);
    }
    if open > 0 {
        log::warn!(open, requests = shared.waiters.open(); "entry: stops with connections open, they are cut");
    }
    // Accounts are about to go with the process.
    let kept = locks::lock(&shared.accounts).len();
    log::info!(accounts = kept; "entry: drained");
}
