//! `sageshed control`: runs a control process.

use std::path;

use gumdrop::Options;
use sageshed::{context, control, logs, settings};
use sageshed_platform::Platform;

use crate::failure::Failure;

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,

    #[options(required, meta = "FILE", help = "the settings of this process")]
    config: String,

    #[options(
        no_short,
        help = "form a new control group with the other initial voters, if there is none yet"
    )]
    new_group: bool,
}

/// Runs until it is told to stop.
pub(crate) fn exec(cx: &context::Context, args: &Args) -> Result<(), Failure> {
    let file = path::Path::new(&args.config);
    if settings::is_fleet(file) {
        return exec_fleet(cx, file);
    }
    let settings =
        settings::control(file).map_err(|problems| Failure::Problems(problems.to_string()))?;
    let _logs = logs::start(&settings.log).map_err(|e| Failure::Refused(e.to_string()))?;
    cx.watch_signals()
        .map_err(|e| Failure::Refused(format!("cannot watch for signals: {e}")))?;
    let options = control::Options {
        new_group: args.new_group,
    };
    control::run(cx, settings, options).map_err(|e| Failure::Refused(e.to_string()))
}

/// Runs for a fleet.
fn exec_fleet(cx: &context::Context, file: &path::Path) -> Result<(), Failure> {
    let settings = settings::fleet_control(file)
        .map_err(|problems| Failure::Problems(problems.to_string()))?;
    let _logs = logs::start(&settings.control.log).map_err(|e| Failure::Refused(e.to_string()))?;
    cx.watch_signals()
        .map_err(|e| Failure::Refused(format!("cannot watch for signals: {e}")))?;
    control::run_fleet(cx, &settings, Platform).map_err(|e| Failure::Refused(e.to_string()))
}
