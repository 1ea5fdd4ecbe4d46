//! Follows which services routes lead to, over restarts as well.
//!
//! A stream of which no record is left may go on only if no other version can have begun it, under this configuration or an
//! earlier one. Each change of a route is compared with the routes before it, which are kept in a file, so that a change is
//! noticed even if all processes end as soon as it is committed.

use std::{path, sync, thread, time};

use sageshed_disk::side_file;
use sageshed_fleet::{dialect, directory, route_history};

use super::{shared, software_versions};
use crate::{control::stored, locks};

const FILE: &str = "route-history";

/// The interval between two checks for a new configuration.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// What is known of the time before the start.
#[derive(Debug)]
pub(super) struct BeforeStart {
    /// The software versions of endpoints; none if they are not known.
    versions: Option<directory::SoftwareVersions>,
    routes: route_history::RouteHistory,
}

impl BeforeStart {
    /// Reads what an earlier process has left in `data`.
    pub(super) fn read(data: &path::Path, start: software_versions::Start) -> Self {
        let versions = software_versions::read(data, start);
        let unread = match (start, &versions) {
            // An earlier release keeps versions without routes.
            (software_versions::Start::Later, Some(_)) => route_history::RouteHistory::unknown(),
            _ => route_history::RouteHistory::default(),
        };
        Self {
            routes: stored::read(&side_file::SideFile::new(data, FILE)).unwrap_or(unread),
            versions,
        }
    }
}

/// Adds what is known of the time before the start to the directory.
pub(super) fn restore(shared: &shared::Shared, before: &mut BeforeStart) {
    let now = shared.clock.now();
    for mixed in before.routes.restore(now) {
        shared.hub.mark_mixed(now, [&mixed.service], mixed.version);
    }
    shared.hub.set_routes_compared(before.routes.version());
    if let Some(versions) = before.versions.take() {
        software_versions::restore(shared, versions);
    }
}

/// Follows the configuration for as long as the process runs.
pub(super) fn run<D: dialect::Dialect>(
    shared: &sync::Arc<shared::Shared>,
    data: &path::Path,
    dialect: D,
    before: BeforeStart,
) {
    let file = side_file::SideFile::new(data, FILE);
    let mut routes = before.routes;
    let mut read_up_to = 0;
    while !shared.is_stopping() {
        let documents = locks::lock(&shared.config_history).newer_than(read_up_to);
        for document in &documents {
            read_up_to = document.version;
            apply(shared, dialect, &mut routes, &document.text);
        }
        if !documents.is_empty() {
            stored::write(&file, &routes);
        }
        thread::sleep(CHECK_INTERVAL);
    }
}

fn apply<D: dialect::Dialect>(
    shared: &shared::Shared,
    dialect: D,
    routes: &mut route_history::RouteHistory,
    text: &str,
) {
    let config = match dialect.config(text.as_bytes()) {
        Ok(config) => config,
        Err(e) => {
            return ::log::error!(error:% = e; "control: cannot decode a committed configuration");
        }
    };
    let now = shared.clock.now();
    let mixed = routes.replace(now, &config);
    if !mixed.is_empty() {
        ::log::info!(version = config.version, services:? = mixed; "control: routes lead streams of other services here");
    }
    shared.hub.mark_mixed(now, &mixed, config.version);
    shared.hub.set_routes_compared(routes.version());
}
