//! Explores specifications and prints the results.

use std::{env, process};

use sageshed_spec::run;

fn main() -> process::ExitCode {
    let options = run::Options::read(env::args().skip(1));
    match options.and_then(|options| options.run(|text| println!("{text}"))) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("{problem}");
            process::ExitCode::FAILURE
        }
    }
}
