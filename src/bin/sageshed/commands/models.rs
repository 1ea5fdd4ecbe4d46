//! `sageshed models`: where each model is.

use gumdrop::Options;
use sageshed_types::{endpoints, messages};

use crate::{failure, failure::Failure, globals, table};

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,
}

/// Prints them.
pub(crate) fn exec(globals: &globals::Globals, _args: &Args) -> Result<(), Failure> {
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
