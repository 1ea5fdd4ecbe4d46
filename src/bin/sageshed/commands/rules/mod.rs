//! `sageshed rules`: sees and changes the rules.

mod add;
mod history;
mod list;
mod reorder;
mod send;
mod withdraw;

use gumdrop::Options;
use sageshed_types::rules;

use crate::{failure::Failure, globals};

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,

    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "show the rules in force, first match first")]
    List(list::Args),
    #[options(help = "add rules")]
    Add(add::Args),
    #[options(help = "move a rule to another place in the order")]
    Move(reorder::Args),
    #[options(help = "withdraw a rule")]
    Withdraw(withdraw::Args),
    #[options(help = "show the accepted changes")]
    History(history::Args),
}

/// Runs one of its commands.
pub(crate) fn exec(globals: &globals::Globals, args: Args) -> Result<(), Failure> {
    match args.command {
        Some(Command::List(args)) => list::exec(globals, &args),
        Some(Command::Add(args)) => add::exec(globals, &args),
        Some(Command::Move(args)) => reorder::exec(globals, &args),
        Some(Command::Withdraw(args)) => withdraw::exec(globals, &args),
        Some(Command::History(args)) => history::exec(globals, &args),
        None => Err(Failure::Usage(
            "write `sageshed rules list|add|move|withdraw|history`".to_owned(),
        )),
    }
}

/// The place that is meant by these options, of which at most one may be given.
fn position(
    first: bool,
    last: bool,
    before: Option<&String>,
    after: Option<&String>,
) -> Result<Option<rules::Position>, Failure> {
    let given = [
        first.then_some(rules::Position::First),
        last.then_some(rules::Position::Last),
        before.cloned().map(rules::Position::Before),
        after.cloned().map(rules::Position::After),
    ];
    let mut given = given.into_iter().flatten();
    let position = given.next();
    if given.next().is_some() {
        let text = "give only one of --first, --last, --before and --after";
        return Err(Failure::Usage(text.to_owned()));
    }
    Ok(position)
}
