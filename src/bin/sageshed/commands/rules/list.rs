//! `sageshed rules list`.

use gumdrop::Options;
use sageshed_types::rules;

use crate::{failure, failure::Failure, globals};

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,
}

/// The rules as a rule file writes them.
#[derive(Debug, serde::Serialize)]
struct RuleFile<'a> {
    rules: &'a [rules::Rule],
}

/// Prints the rules, as TOML that `rules add --file` reads.
pub(crate) fn exec(globals: &globals::Globals, _args: &Args) -> Result<(), Failure> {
    let set = globals.client()?.rules()?;
    if globals.json {
        return failure::print_json(&set);
    }
    let mut text = format!("# revision {}, first match first\n", set.revision);
    if !set.rules.is_empty() {
        let file = RuleFile { rules: &set.rules };
        let rules = toml::to_string(&file)
            .map_err(|e| Failure::Refused(format!("the rules can't be shown as TOML: {e}")))?;
        text.push_str(&rules);
    }
    failure::print(&text)
}
