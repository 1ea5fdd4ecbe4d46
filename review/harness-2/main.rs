//! The cases of the second review that are no days of the bench. `cases N RECORD` plays case N.

mod cut;
mod engine;
mod http;
mod plays;
mod world;

use std::{env, path::PathBuf, process::ExitCode};

/// How a case ended.
pub enum Outcome {
    Held,
    Broken(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    if args.first().is_some_and(|it| it == "engine") {
        if let Err(e) = engine::run(&args[1..]) {
            eprintln!("engine: {e}");
        }
        return ExitCode::from(2);
    }
    let (Some(case), Some(path)) = (args.first(), args.get(1)) else {
        eprintln!("usage: cases CASE RECORD");
        return ExitCode::from(2);
    };
    let is_troubled = env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = world::Record::new();
    record.note(format!("case {case}, {} the disruption", if is_troubled { "with" } else { "without" }));
    let root = env::current_dir().expect("a current folder");
    let result = plays::play(case, &root, &record, is_troubled);
    let code = match result {
        Ok(Outcome::Held) => {
            record.note("RULE HELD");
            0
        }
        Ok(Outcome::Broken(why)) => {
            record.note(format!("RULE BROKEN: {why}"));
            1
        }
        Err(e) => {
            record.note(format!("the case could not run: {e}"));
            2
        }
    };
    if let Err(e) = record.save(&PathBuf::from(path)) {
        eprintln!("cannot write the record: {e}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
