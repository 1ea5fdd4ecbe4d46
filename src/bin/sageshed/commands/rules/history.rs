//! `sageshed rules history`.

use gumdrop::Options;
use sageshed_operators::describe;
use sageshed_types::rules;

use crate::{failure, failure::Failure, globals};

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,

    #[options(
        no_short,
        meta = "REVISION",
        help = "only what came after this revision"
    )]
    after: Option<u64>,
}

/// Prints the accepted changes, oldest first.
pub(crate) fn exec(globals: &globals::Globals, args: &Args) -> Result<(), Failure> {
    let after = args.after.unwrap_or_default();
    let changes = globals.client()?.history(rules::Revision(after))?;
    if globals.json {
        return failure::print_json(&changes);
    }
    let mut text = String::new();
    if let Some(first) = changes.first()
        && first.revision.0 > after + 1
    {
        text.push_str("earlier changes are no longer kept\n");
    }
    for change in &changes {
        text.push_str(&describe::accepted(change));
        text.push('\n');
    }
    failure::print(&text)
}
