//! Plays one case against the project's own processes: `harness CASE`.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod client;
mod engine;
mod fleet;
mod formation;
mod half_close;
mod http;
mod lengths;
mod memory;
mod record;

use std::process::ExitCode;

/// What became of a case.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let with_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = record::Record::new();
    // The processes that a case has started end with it, also where it panics.
    let played = std::panic::catch_unwind(|| match case.as_str() {
        "half-close" => half_close::play(with_trouble, &record),
        "lengths" => lengths::play(with_trouble, &record),
        "memory" => memory::play(with_trouble, &record),
        "formation" => formation::play(with_trouble, &record),
        _ => {
            record.note("no such case");
            Outcome::CouldNotRun
        }
    });
    let outcome = played.unwrap_or(Outcome::CouldNotRun);
    let (text, code) = match outcome {
        Outcome::Held => ("the rule held", 0),
        Outcome::Broken => ("the rule was broken", 1),
        Outcome::CouldNotRun => ("the case could not run", 2),
    };
    record.note(text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
