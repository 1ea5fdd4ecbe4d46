//! `sageshed rules withdraw`.

use gumdrop::Options;
use sageshed_types::rules;

use super::send;
use crate::{failure::Failure, globals};

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,

    #[options(free, required, help = "the rule's id")]
    id: String,

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

/// Withdraws a rule.
pub(crate) fn exec(globals: &globals::Globals, args: &Args) -> Result<(), Failure> {
    let options = send::Options {
        base: args.base,
        change_id: args.change_id.clone(),
        wait: args.wait,
    };
    let id = args.id.clone();
    send::changes(globals, options, vec![rules::Edit::Withdraw { id }])
}
