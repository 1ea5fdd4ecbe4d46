//! `sageshed rules add`.

use std::path;

use gumdrop::Options;
use sageshed::settings;
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

    #[options(
        no_short,
        meta = "FILE",
        help = "a file with one rule, or with several under [[rules]]"
    )]
    file: Option<String>,

    #[options(no_short, meta = "TOML", help = "the rule itself")]
    rule: Option<String>,

    #[options(no_short, help = "before every other")]
    first: bool,

    #[options(no_short, help = "after every other; so it is without a place")]
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

/// Adds rules: each is one change, in the order of the file.
pub(crate) fn exec(globals: &globals::Globals, args: &Args) -> Result<(), Failure> {
    let position = super::position(
        args.first,
        args.last,
        args.before.as_ref(),
        args.after.as_ref(),
    )?;
    let position = position.unwrap_or(rules::Position::Last);
    let read = match (&args.file, &args.rule) {
        (Some(file), None) => settings::read_rules(path::Path::new(file)),
        (None, Some(rule)) => settings::parse_rules("--rule", rule),
        _ => {
            let text = "give the rule by either --file FILE or --rule TOML";
            return Err(Failure::Usage(text.to_owned()));
        }
    };
    let file = read.map_err(|problems| Failure::Problems(problems.to_string()))?;
    let options = send::Options {
        base: args.base,
        change_id: args.change_id.clone(),
        wait: args.wait,
    };
    send::changes(globals, options, edits(file.rules, position))
}

/// One edit a rule. Each rule but the first goes right after the one before, so that the rules of a
/// file stay in their order wherever the first is put.
fn edits(rules: Vec<rules::Rule>, position: rules::Position) -> Vec<rules::Edit> {
    let mut position = position;
    let mut edits = Vec::new();
    for rule in rules {
        let next = rules::Position::After(rule.id.clone());
        edits.push(rules::Edit::Add {
            rule: Box::new(rule),
            position,
        });
        position = next;
    }
    edits
}
