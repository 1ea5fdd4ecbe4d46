//! The subcommands.

mod config;
mod control;
mod drain;
mod endpoints;
mod entry;
mod explain;
mod logs;
mod losses;
mod models;
mod queues;
mod rules;
mod status;

use std::{
    hash::{self, BuildHasher, Hasher},
    process, time,
};

use gumdrop::Options;
use sageshed::context;

use crate::{failure::Failure, globals};

/// The subcommands with their arguments.
#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "run an entry process, which takes callers' requests")]
    Entry(entry::Args),
    #[options(help = "run a control process, which holds rules and placement")]
    Control(control::Args),
    #[options(help = "see and change the rules")]
    Rules(rules::Args),
    #[options(help = "show the control group, the VMs and the endpoints")]
    Status(status::Args),
    #[options(help = "show the endpoints and their load")]
    Endpoints(endpoints::Args),
    #[options(help = "show where each model is, or pin one")]
    Models(models::Args),
    #[options(help = "tell what happened to a request")]
    Explain(explain::Args),
    #[options(
        help = "show the lines of log files about a request, or why requests were not served well"
    )]
    Logs(logs::Args),
    #[options(help = "check settings and rule files")]
    Config(config::Args),
    #[options(help = "let an entry VM finish its work and take no more")]
    Drain(drain::Args),
}

/// Runs one.
pub(crate) fn exec(
    cx: &context::Context,
    globals: &globals::Globals,
    command: Command,
) -> Result<(), Failure> {
    match command {
        Command::Entry(args) => entry::exec(cx, &args),
        Command::Control(args) => control::exec(cx, &args),
        Command::Rules(args) => rules::exec(globals, args),
        Command::Status(args) => status::exec(globals, &args),
        Command::Endpoints(args) => endpoints::exec(globals, &args),
        Command::Models(args) => models::exec(globals, &args),
        Command::Explain(args) => explain::exec(globals, &args),
        Command::Logs(args) => logs::exec(globals, &args),
        Command::Config(args) => config::exec(globals, args),
        Command::Drain(args) => drain::exec(globals, &args),
    }
}

/// A change id that no other run of the program chooses.
fn new_change_id() -> String {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    let millis = since.map_or(0, |span| span.as_millis());
    // The standard library seeds each of these from the system's source of randomness.
    let random = hash::RandomState::new().build_hasher().finish();
    format!("cli-{millis:x}-{:x}-{random:016x}", process::id())
}
