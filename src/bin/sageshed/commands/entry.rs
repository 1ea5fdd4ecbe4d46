//! `sageshed entry`: runs an entry process.

use std::path;

use gumdrop::Options;
use sageshed::{context, entry, gateway, logs, settings};
use sageshed_platform::Platform;

use crate::failure::Failure;

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,

    #[options(required, meta = "FILE", help = "the settings of this process")]
    config: String,
}

/// Runs until it is told to stop.
pub(crate) fn exec(cx: &context::Context, args: &Args) -> Result<(), Failure> {
    let file = path::Path::new(&args.config);
    if settings::is_fleet(file) {
        return exec_fleet(cx, file);
    }
    let settings =
        settings::entry(file).map_err(|problems| Failure::Problems(problems.to_string()))?;
    let _logs = logs::start(&settings.log).map_err(|e| Failure::Refused(e.to_string()))?;
    cx.watch_signals()
        .map_err(|e| Failure::Refused(format!("cannot watch for signals: {e}")))?;
    entry::run(cx, settings).map_err(|e| Failure::Refused(e.to_string()))
}

/// Runs in front of a fleet.
fn exec_fleet(cx: &context::Context, file: &path::Path) -> Result<(), Failure> {
    let settings =
        settings::fleet_entry(file).map_err(|problems| Failure::Problems(problems.to_string()))?;
    let _logs = logs::start(&settings.log).map_err(|e| Failure::Refused(e.to_string()))?;
    cx.watch_signals()
        .map_err(|e| Failure::Refused(format!("cannot watch for signals: {e}")))?;
    gateway::run(cx, settings, Platform).map_err(|e| Failure::Refused(e.to_string()))
}
