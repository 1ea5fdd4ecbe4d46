//! `sageshed status`: the control group, the VMs and the endpoints, or the queues of entry processes.

use gumdrop::Options;
use sageshed_types::messages;

use crate::{
    commands::{endpoints, queues},
    failure,
    failure::Failure,
    globals, table,
};

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,

    #[options(
        no_short,
        meta = "IP:PORT",
        help = "show the queues that an entry process in front of a fleet keeps, by its metrics port (once for each)"
    )]
    entry: Vec<String>,
}

/// Prints it.
pub(crate) fn exec(globals: &globals::Globals, args: &Args) -> Result<(), Failure> {
    if !args.entry.is_empty() {
        return queues::exec(globals, &args.entry);
    }
    let status = globals.client()?.status()?;
    if globals.json {
        return failure::print_json(&status);
    }
    failure::print(&text(&status))
}

fn text(status: &messages::Status) -> String {
    let head = format!(
        "answered by {}, leader {} in term {}, rules at revision {}\n",
        status.answered_by,
        table::or_dash(status.leader.as_deref()),
        status.term,
        status.revision
    );
    let voters: Vec<Vec<String>> = status
        .voters
        .iter()
        .map(|it| {
            vec![
                it.vm.clone(),
                it.standing.clone(),
                it.generation.to_string(),
                it.lag.map_or_else(|| "-".to_owned(), |lag| lag.to_string()),
            ]
        })
        .collect();
    let vms: Vec<Vec<String>> = status.vms.iter().map(vm).collect();
    let waits: Vec<Vec<String>> = status.config_waits.iter().map(config_wait).collect();
    let mut parts = vec![
        head,
        table::text(&["CONTROL", "STANDING", "GENERATION", "LAG"], &voters),
        table::text(
            &["VM", "ROLE", "REVISION", "READY", "DRAINING", "SILENT MS"],
            &vms,
        ),
        endpoints::text(&status.endpoints),
    ];
    if !waits.is_empty() {
        let heads = ["NO CONFIGURATION AT", "FOR MS", "WAITS FOR"];
        parts.push(table::text(&heads, &waits));
    }
    parts.join("\n")
}

fn config_wait(wait: &messages::ConfigWaitStatus) -> Vec<String> {
    vec![
        wait.entry.clone(),
        wait.waited.0.to_string(),
        wait.waits_for.clone(),
    ]
}

fn vm(vm: &messages::VmStatus) -> Vec<String> {
    let role = match vm.process.role {
        messages::Role::Entry => "entry",
        messages::Role::Control => "control",
    };
    vec![
        vm.process.vm.clone(),
        role.to_owned(),
        vm.revision.to_string(),
        table::yes(vm.ready),
        table::yes(vm.draining),
        vm.silent.0.to_string(),
    ]
}
