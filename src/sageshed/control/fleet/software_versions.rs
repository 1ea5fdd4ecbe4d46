//! Keeps the software versions of endpoints over a restart of all control processes.
//!
//! A stream of which no record is left may go on only if no other version can have begun it. After all processes have
//! ended at once, nobody remembers the endpoints that ended before. So each control process writes the versions that it
//! knows to a file whenever they change, as long as it knows all of them.

use std::{path, sync, thread, time};

use sageshed_disk::side_file;
use sageshed_fleet::directory;

use super::shared;
use crate::control::stored;

const FILE: &str = "software-versions";

/// The interval between two checks for a change. An engine loads weights for longer after its start before it gets
/// requests.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Whether the process is started for the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::control) enum Start {
    /// With the whole system, so that no endpoint has served yet.
    First,
    /// After an earlier one, or in a system that exists.
    Later,
}

/// Adds the versions from before the start to the directory.
pub(super) fn restore(shared: &shared::Shared, versions: directory::SoftwareVersions) {
    ::log::info!(versions = versions.len(); "control: software versions of endpoints restored");
    let now = shared.clock.now();
    shared.hub.remember_versions(now, versions);
}

/// The versions that served before the start, if they are known.
pub(super) fn read(data: &path::Path, start: Start) -> Option<directory::SoftwareVersions> {
    if start == Start::First {
        return Some(directory::SoftwareVersions::new());
    }
    stored::read(&side_file::SideFile::new(data, FILE))
}

/// Writes the versions whenever they have changed, for as long as the process runs.
pub(super) fn run(shared: &sync::Arc<shared::Shared>, data: &path::Path) {
    let file = side_file::SideFile::new(data, FILE);
    let mut written = None;
    while !shared.is_stopping() {
        let versions = shared.hub.software_versions(shared.clock.now());
        if let Some(versions) = versions.filter(|it| written.as_ref() != Some(it)) {
            written = stored::write(&file, &versions).then_some(versions);
        }
        thread::sleep(CHECK_INTERVAL);
    }
}
