//! `sageshed endpoints`: the endpoints and their load.

use gumdrop::Options;
use sageshed_types::endpoints;

use crate::{failure, failure::Failure, globals, table};

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,
}

/// Prints them.
pub(crate) fn exec(globals: &globals::Globals, _args: &Args) -> Result<(), Failure> {
    let endpoints = globals.client()?.endpoints()?;
    if globals.json {
        return failure::print_json(&endpoints);
    }
    failure::print(&text(&endpoints))
}

/// The endpoints as a table.
pub(crate) fn text(reports: &[endpoints::Report]) -> String {
    let rows: Vec<Vec<String>> = reports.iter().map(row).collect();
    table::text(
        &[
            "ENDPOINT",
            "ZONE",
            "KIND",
            "RUNNING",
            "WAITING",
            "MEMORY MIB",
            "MODELS",
            "LEAVING",
        ],
        &rows,
    )
}

fn row(report: &endpoints::Report) -> Vec<String> {
    let identity = &report.identity;
    let held: u64 = report.resident.iter().map(|it| it.memory_mib).sum();
    let (kind, memory) = match &identity.kind {
        endpoints::Kind::Engine {
            pool, memory_mib, ..
        } => (format!("engine of {pool}"), format!("{held}/{memory_mib}")),
        endpoints::Kind::Service { service } => (format!("service {service}"), "-".to_owned()),
    };
    vec![
        identity.endpoint.clone(),
        identity.availability_zone.clone(),
        kind,
        format!("{}/{}", report.running, identity.slots),
        report.waiting.to_string(),
        memory,
        report.resident.len().to_string(),
        table::yes(report.leaving),
    ]
}
