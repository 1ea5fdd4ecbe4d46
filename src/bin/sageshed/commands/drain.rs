//! `sageshed drain`: lets an entry VM finish its work and take no more.

use gumdrop::Options;
use sageshed_operators::{client, wire};

use crate::{commands, failure, failure::Failure, globals};

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,

    #[options(free, required, help = "the VM, as the common settings name it")]
    vm: String,

    #[options(no_short, help = "end the drain: the VM takes requests again")]
    undo: bool,

    #[options(no_short, meta = "ID", help = "the id of a drain that is sent again")]
    change_id: Option<String>,
}

/// Starts or ends the drain.
pub(crate) fn exec(globals: &globals::Globals, args: &Args) -> Result<(), Failure> {
    let drain = wire::DrainReq {
        vm: args.vm.clone(),
        on: !args.undo,
        change_id: args
            .change_id
            .clone()
            .unwrap_or_else(commands::new_change_id),
    };
    let sent = globals.client()?.drain(&drain);
    sent.map_err(|error| match error {
        client::Error::Unknown { .. } => Failure::Unknown(format!(
            "{error}\nsend it again with `--change-id {}`",
            drain.change_id
        )),
        error => error.into(),
    })?;
    if globals.json {
        return failure::print_json(&drain);
    }
    let vm = &args.vm;
    failure::print(&if drain.on {
        format!("{vm} is draining; end it with `sageshed drain {vm} --undo`\n")
    } else {
        format!("{vm} takes requests again\n")
    })
}
