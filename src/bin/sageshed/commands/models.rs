//! `sageshed models`: where each model is, and pins.

use gumdrop::Options;
use sageshed_operators::{client, wire};
use sageshed_types::{endpoints, messages};

use crate::{failure, failure::Failure, globals, table};

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,

    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "keep a model on an endpoint")]
    Pin(PinArgs),
    #[options(help = "take a pin back")]
    Unpin(PinArgs),
}

#[derive(Debug, Options)]
struct PinArgs {
    #[options(help = "print this help")]
    help: bool,

    #[options(free, required, help = "the model or adapter")]
    model: String,

    #[options(no_short, meta = "NAME", help = "the endpoint")]
    endpoint: Option<String>,

    #[options(no_short, meta = "NAME", help = "the availability zone; only to unpin")]
    availability_zone: Option<String>,
}

/// Prints them, or changes a pin.
pub(crate) fn exec(globals: &globals::Globals, args: &Args) -> Result<(), Failure> {
    match &args.command {
        None => list_all(globals),
        Some(Command::Pin(args)) => pin(globals, args, true),
        Some(Command::Unpin(args)) => pin(globals, args, false),
    }
}

fn pin(globals: &globals::Globals, args: &PinArgs, on: bool) -> Result<(), Failure> {
    let (place, at) = place(args, on)?;
    let model = args.model.clone();
    let req = wire::PinReq {
        pin: wire::Pin { model, place },
        on,
    };
    let sent = globals.client()?.pin(&req);
    sent.map_err(|error| match error {
        client::Error::Unknown { .. } => Failure::Unknown(format!(
            "{error}\nsend it again: done twice, it changes nothing more"
        )),
        error => error.into(),
    })?;
    if globals.json {
        return failure::print_json(&req);
    }
    let model = &args.model;
    failure::print(&if on {
        format!("{model} is pinned to {at}\n")
    } else {
        format!("{model} is not pinned to {at}\n")
    })
}

/// The place that is meant, and its name.
///
/// The planner honours pins to endpoints only. A pin to an availability zone would be recorded and
/// do nothing, so none is set from here; one that was set over the operators' port can be taken
/// back.
fn place(args: &PinArgs, on: bool) -> Result<(wire::PinPlace, &str), Failure> {
    match (&args.endpoint, &args.availability_zone) {
        (Some(name), None) => Ok((wire::PinPlace::Endpoint(name.clone()), name)),
        (None, Some(_)) if on => Err(Failure::Refused(
            "placement doesn't honour pins to an availability zone yet; pin the model to an \
             endpoint there with `--endpoint NAME`"
                .to_owned(),
        )),
        (None, Some(name)) => Ok((wire::PinPlace::AvailabilityZone(name.clone()), name)),
        _ => Err(Failure::Usage(
            "say where: give one of --endpoint NAME and --availability-zone NAME".to_owned(),
        )),
    }
}

fn list_all(globals: &globals::Globals) -> Result<(), Failure> {
    let models = globals.client()?.models()?;
    if globals.json {
        return failure::print_json(&models);
    }
    let rows: Vec<Vec<String>> = models.iter().map(row).collect();
    let titles = [
        "MODEL", "ON", "VERSION", "MIB", "DEMAND/S", "HELD BY", "MOVES",
    ];
    failure::print(&table::text(&titles, &rows))
}

fn row(status: &messages::ModelStatus) -> Vec<String> {
    let model = &status.model;
    let holders: Vec<String> = status.holders.iter().map(holder).collect();
    vec![
        model.name.clone(),
        table::or_dash(model.base.as_deref()),
        model.version.to_string(),
        model.memory_mib.to_string(),
        format!("{:.2}", status.demand),
        list(&holders),
        list(&status.moves),
    ]
}

fn holder(holder: &messages::HolderStatus) -> String {
    let phase = match holder.resident.phase {
        endpoints::Phase::Loading => " (loading)",
        endpoints::Phase::Ready => "",
        endpoints::Phase::Unloading => " (unloading)",
    };
    format!("{}{phase}", holder.endpoint)
}

fn list(texts: &[String]) -> String {
    if texts.is_empty() {
        return "-".to_owned();
    }
    texts.join(", ")
}
