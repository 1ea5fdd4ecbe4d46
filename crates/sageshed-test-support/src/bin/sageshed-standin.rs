//! Stand-in engines and services in one process, until it is killed.

use std::{fs, process, thread, time::Duration};

use gumdrop::Options;
use sageshed_test_support::{config, standin};

/// The command line.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "TOML file with the endpoints", meta = "FILE")]
    config: String,
    #[options(
        help = "entry processes to report to, in place of the file's",
        meta = "IP:PORT,..."
    )]
    entries: Option<String>,
    #[options(help = "where statistics and faults are served", meta = "IP:PORT")]
    control: Option<String>,
}

fn main() -> process::ExitCode {
    let args = Args::parse_args_default_or_exit();
    match run(&args) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("sageshed-standin: {problem}");
            process::ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<(), String> {
    let text =
        fs::read_to_string(&args.config).map_err(|e| format!("reading `{}`: {e}", args.config))?;
    let mut cfg: config::Config =
        toml::from_str(&text).map_err(|e| format!("reading `{}`: {e}", args.config))?;
    if let Some(entries) = &args.entries {
        cfg.entries = entries.split(',').map(str::to_owned).collect();
    }
    if let Some(control) = &args.control {
        cfg.control.clone_from(control);
    }
    let names: Vec<String> = cfg.endpoints.iter().map(|e| e.name.clone()).collect();
    let standin = standin::Standin::start(cfg).map_err(|e| format!("listening: {e}"))?;
    println!("control {}", standin.control());
    for name in names {
        println!("endpoint {name} {}", standin.address(&name));
    }
    loop {
        thread::sleep(Duration::from_hours(1));
    }
}
