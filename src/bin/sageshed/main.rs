//! The command line.
//!
//! Each subcommand is one file under `commands`, with its arguments declared beside its `exec`.
//!
//! | exit status | meaning |
//! |---|---|
//! | 0 | done |
//! | 1 | refused: a conflict, wrong settings, nothing of that name |
//! | 2 | the command line is wrong |
//! | 3 | no control process can be reached, or the outcome is not known |

mod commands;
mod failure;
mod globals;
mod table;

use std::{env, io::Write, process};

use gumdrop::Options;
use sageshed::context;

use failure::Failure;

/// What the help of each command adds: the options of `Args`, which may stand anywhere.
const GLOBALS: &str = "\nAnywhere: --control URL,... --token TOKEN --token-file FILE --json\n";

/// Serves many language models and adapters from fewer accelerators, and explains every refusal.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,

    #[options(no_short, help = "print the version")]
    version: bool,

    #[options(
        no_short,
        meta = "URL,...",
        help = "operators' ports of the control processes; or SAGESHED_CONTROL"
    )]
    control: Option<String>,

    #[options(
        no_short,
        meta = "TOKEN",
        help = "the operator's token; or SAGESHED_TOKEN, which other users of the VM can't see"
    )]
    token: Option<String>,

    #[options(
        no_short,
        meta = "FILE",
        help = "a file that holds the operator's token"
    )]
    token_file: Option<String>,

    #[options(no_short, help = "print JSON")]
    json: bool,

    #[options(command)]
    command: Option<commands::Command>,
}

fn main() -> process::ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    match run(&globals::first(args)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(failure) => {
            // Nothing is left to do if standard error is closed.
            drop(writeln!(std::io::stderr(), "{failure}"));
            failure.exit_code()
        }
    }
}

fn run(args: &[String]) -> Result<(), Failure> {
    let args = Args::parse_args_default(args).map_err(|e| {
        Failure::Usage(format!(
            "{e}\nrun `sageshed --help`, or `--help` after a command"
        ))
    })?;
    if args.help_requested() {
        return failure::print(&help(&args));
    }
    if args.version {
        return failure::print(concat!("sageshed ", env!("CARGO_PKG_VERSION"), "\n"));
    }
    let globals = globals::Globals {
        control: args.control,
        token: args.token,
        token_file: args.token_file,
        json: args.json,
    };
    let Some(command) = args.command else {
        let text = "no command is given\nrun `sageshed --help` for the list";
        return Err(Failure::Usage(text.to_owned()));
    };
    let cx = context::Context::default();
    commands::exec(&cx, &globals, command)
}

/// The help of the innermost command that is named.
fn help(args: &Args) -> String {
    let mut command: &dyn Options = args;
    let mut path = "sageshed".to_owned();
    while let Some(inner) = command.command() {
        command = inner;
        if let Some(name) = inner.command_name() {
            path.push(' ');
            path.push_str(name);
        }
    }
    let commands = command
        .self_command_list()
        .map(|list| format!("\nCommands:\n{list}\n"));
    let globals = (path != "sageshed").then_some(GLOBALS);
    format!(
        "Usage: {path} [OPTIONS]\n\n{}\n{}{}",
        command.self_usage(),
        commands.unwrap_or_default(),
        globals.unwrap_or_default()
    )
}
