//! Sends load to entry processes, checks every answer and prints the figures.

use std::{fs, process};

use gumdrop::Options;
use sageshed_test_support::{load, stats};

/// The command line; a flag goes before the file.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "TOML file with the load", meta = "FILE")]
    config: Option<String>,
    #[options(help = "entry processes", meta = "IP:PORT,...")]
    addresses: Option<String>,
    #[options(help = "bearer token", meta = "TOKEN")]
    token: Option<String>,
    #[options(help = "requests a second; 0: closed loop", meta = "N")]
    rate: Option<f64>,
    #[options(help = "seconds to begin requests for", meta = "N")]
    seconds: Option<f64>,
    #[options(help = "the most requests", meta = "N", no_short)]
    count: Option<u64>,
    #[options(help = "the most requests open at once", meta = "N")]
    workers: Option<u32>,
    #[options(help = "models, of equal weight", meta = "NAME,...")]
    models: Option<String>,
    #[options(help = "seed", meta = "N", no_short)]
    seed: Option<u64>,
    #[options(
        help = "ask these stand-ins for keys that ran again",
        meta = "IP:PORT",
        no_short
    )]
    standin: Option<String>,
    #[options(help = "print JSON", no_short)]
    json: bool,
}

fn main() -> process::ExitCode {
    let args = Args::parse_args_default_or_exit();
    match run(&args) {
        Ok(text) => {
            println!("{text}");
            process::ExitCode::SUCCESS
        }
        Err(problem) => {
            eprintln!("sageshed-load: {problem}");
            process::ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<String, String> {
    let load = settings(args)?;
    if load.models.is_empty() && load.services.is_empty() {
        return Err("no model and no service is named".to_owned());
    }
    let mut report = load::run(&load);
    if let Some(standin) = &args.standin {
        report.keys_run_again = Some(keys_run_again(standin)?);
    }
    if args.json {
        return serde_json::to_string_pretty(&report).map_err(|e| e.to_string());
    }
    Ok(report.to_string())
}

fn settings(args: &Args) -> Result<load::Load, String> {
    let mut load = load::Load::default();
    if let Some(path) = &args.config {
        let text = fs::read_to_string(path).map_err(|e| format!("reading `{path}`: {e}"))?;
        load = toml::from_str(&text).map_err(|e| format!("reading `{path}`: {e}"))?;
    }
    let names = |list: &String| -> Vec<String> { list.split(',').map(str::to_owned).collect() };
    load.addresses = args.addresses.as_ref().map_or(load.addresses, names);
    load.token = args.token.clone().unwrap_or(load.token);
    load.rate = args.rate.unwrap_or(load.rate);
    load.seconds = args.seconds.unwrap_or(load.seconds);
    load.count = args.count.unwrap_or(load.count);
    load.workers = args.workers.unwrap_or(load.workers);
    load.seed = args.seed.unwrap_or(load.seed);
    if let Some(models) = &args.models {
        let weighted = |name| load::Weighted { name, weight: 1.0 };
        load.models = names(models).into_iter().map(weighted).collect();
    }
    Ok(load)
}

fn keys_run_again(standin: &str) -> Result<u64, String> {
    let body = ureq::get(&format!("http://{standin}/standin/stats"))
        .call()
        .map_err(|e| e.to_string())?
        .into_string()
        .map_err(|e| e.to_string())?;
    let stats: stats::All = serde_json::from_str(&body).map_err(|e| e.to_string())?;
    Ok(stats.keys_run_again.len() as u64)
}
