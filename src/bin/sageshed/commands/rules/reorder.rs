//! `sageshed rules move`.

use gumdrop::Options;
use sageshed_types::rules;

use super::send;
use crate::{failure::Failure, globals};

#[derive(Debug, Options)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a flag of the command line"
)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,

    #[options(free, required, help = "the rule's id")]
    id: String,

    #[options(no_short, help = "before every other")]
    first: bool,

    #[options(no_short, help = "after every other")]
    last: bool,

    #[options(no_short, meta = "ID", help = "right before this rule")]
    before: Option<String>,

    #[options(no_short, meta = "ID", help = "right after this rule")]
    after: Option<String>,

    #[options(
        no_short,
        meta = "REVISION",
        help = "the revision seen; else the newest"
    )]
    base: Option<u64>,

    #[options(no_short, meta = "ID", help = "the id of a change that is sent again")]
    change_id: Option<String>,

    #[options(no_short, help = "return when it is in force everywhere")]
    wait: bool,
}

/// Moves a rule.
pub(crate) fn exec(globals: &globals::Globals, args: &Args) -> Result<(), Failure> {
    let position = super::position(
        args.first,
        args.last,
        args.before.as_ref(),
        args.after.as_ref(),
    )?;
    let Some(position) = position else {
        let text = "say where to: --first, --last, --before ID or --after ID";
        return Err(Failure::Usage(text.to_owned()));
    };
    let options = send::Options {
        base: args.base,
        change_id: args.change_id.clone(),
        wait: args.wait,
    };
    let id = args.id.clone();
    send::changes(globals, options, vec![rules::Edit::Move { id, position }])
}
