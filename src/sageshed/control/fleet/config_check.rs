//! Answers the checks of entry processes, and checks the control process itself.

use std::{collections, net, sync, thread, time as std_time};

use sageshed_fleet::{config_check, messages};
use sageshed_types::{messages as vms, time};

use super::watch;
use crate::{control::shared, locks};

/// The time between two checks of this process.
const INTERVAL: std_time::Duration = std_time::Duration::from_secs(1);

/// How long the report of an entry process is shown. It asks each of up to nine control processes in turn, one per
/// [`config_check::URGENT_INTERVAL`].
const KEPT_FOR: time::Millis = time::Millis(10_000);

/// The entry processes that have lately reported to this process that no configuration is in force there.
#[derive(Debug, Default)]
pub struct WaitingEntries {
    by_ip: sync::Mutex<collections::BTreeMap<net::Ipv4Addr, Report>>,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    at: time::Instant,
    waited: time::Millis,
    waits_for: config_check::WaitsFor,
}

impl WaitingEntries {
    /// Records the check of an entry process.
    pub fn note(&self, now: time::Instant, req: &messages::ConfigCheckReq) {
        let mut by_ip = locks::lock(&self.by_ip);
        by_ip.retain(|_, it| now.since(it.at) < KEPT_FOR);
        match (req.waited, req.waits_for) {
            (Some(waited), Some(waits_for)) => {
                let report = Report {
                    at: now,
                    waited,
                    waits_for,
                };
                by_ip.insert(req.ip, report);
            }
            _ => drop(by_ip.remove(&req.ip)),
        }
    }

    /// For operators.
    #[must_use]
    pub fn status(&self, now: time::Instant) -> Vec<vms::ConfigWaitStatus> {
        let by_ip = locks::lock(&self.by_ip);
        let recent = by_ip.iter().filter(|(_, it)| now.since(it.at) < KEPT_FOR);
        let status = recent.map(|(ip, it)| vms::ConfigWaitStatus {
            entry: ip.to_string(),
            waited: it.waited,
            waits_for: it.waits_for.to_string(),
        });
        status.collect()
    }
}

/// Answers the check of an entry process by the replicated state, which the events that announce configurations are
/// derived from.
#[must_use]
pub fn answer(
    shared: &shared::Shared,
    req: &messages::ConfigCheckReq,
) -> messages::ConfigCheckResp {
    shared.waiting_entries.note(shared.clock.now(), req);
    messages::ConfigCheckResp {
        newest: locks::read(&shared.state).fleet().version,
        control: watch::control_vms(shared),
    }
}

/// Checks until the process stops that watchers are told of the configuration in the replicated state.
pub fn run(shared: &shared::Shared) {
    while !shared.is_stopping() {
        let held = locks::read(&shared.state).fleet().version;
        let announced = shared.hub.config_version();
        if announced < held {
            ::log::warn!(held, announced; "control: a check found a configuration that was not announced");
            shared.note_config();
        }
        thread::sleep(INTERVAL);
    }
}
