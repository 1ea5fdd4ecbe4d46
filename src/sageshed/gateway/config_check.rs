//! Checks periodically which configuration is the newest, and reports while none is in force.
//!
//! Guards against an entry process that lacks the configuration until the next change, since its links reach no control
//! process that holds it, or an event on the usual way was lost ([`super::watch`], [`super::fetch`]).

use std::{io, net, sync, thread, time as std_time};

use sageshed_fleet::{config_check, dialect, messages};
use sageshed_types::time;

use super::{state, watch};

/// The timeout for a check.
const CHECK_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(500);

/// The interval between two looks whether a check is due.
const TICK: std_time::Duration = std_time::Duration::from_millis(100);

/// For how long no configuration has been in force, and what this process waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigWait {
    /// The time since the start of the process.
    pub waited: time::Millis,
    /// What it waits for.
    pub waits_for: config_check::WaitsFor,
}

/// Starts the thread, which runs until the process exits.
pub(super) fn start<D: dialect::Dialect>(
    shared: &sync::Arc<state::Shared<D>>,
    watching: sync::Arc<watch::WatchState>,
) -> io::Result<()> {
    let shared = sync::Arc::clone(shared);
    let thread = thread::Builder::new().name("config-check".to_owned());
    thread.spawn(move || run(&shared, &watching)).map(drop)
}

fn run<D: dialect::Dialect>(shared: &state::Shared<D>, watching: &watch::WatchState) {
    let mut schedule = config_check::Schedule::default();
    loop {
        let is_urgent = shared.version() == 0 || shared.behind().is_some();
        let now = shared.clock.now();
        if let Some(to) = schedule.next(now, is_urgent, &watching.control_vms()) {
            if let Some(wait) = shared.config_wait() {
                ::log::warn!(waited_ms = wait.waited.0, waits_for:% = wait.waits_for, asks:% = to;
                    "gateway: no configuration is in force");
            }
            check(shared, watching, to);
        }
        thread::sleep(TICK);
    }
}

fn check<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    watching: &watch::WatchState,
    to: net::Ipv4Addr,
) {
    let discovery = &shared.settings.discovery;
    let address = net::SocketAddrV4::new(to, discovery.vms_port).to_string();
    let held = shared.version();
    let wait = shared.config_wait();
    let req = messages::ConfigCheckReq {
        ip: discovery.ip,
        held,
        waited: wait.map(|it| it.waited),
        waits_for: wait.map(|it| it.waits_for),
    };
    let path = messages::paths::CONFIG_CHECK;
    let client = &shared.config_client;
    let resp: Result<messages::ConfigCheckResp, _> =
        client.call(&address, path, &req, CHECK_TIMEOUT);
    match resp {
        Ok(resp) => {
            shared.record_control_contact();
            watching.add_control_vms(resp.control);
            if resp.newest > held {
                ::log::info!(control:% = to, version = held, newest = resp.newest;
                    "gateway: a check found a newer configuration");
            }
            let now = shared.clock.now();
            shared.config_fetcher.announce(now, to, resp.newest);
        }
        // Also from a control process of the version before, which does not know the path.
        Err(e) => ::log::debug!(control:% = to, error:% = e; "gateway: configuration not checked"),
    }
}
