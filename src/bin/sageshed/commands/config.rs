//! `sageshed config check`: checks settings and rule files without starting anything.

use std::path;

use gumdrop::Options;
use sageshed::settings;

use crate::{failure, failure::Failure, globals};

/// The common settings that a rule file is checked against, unless others are named.
const COMMON: &str = "common.toml";

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,

    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "check settings and rule files")]
    Check(CheckArgs),
}

#[derive(Debug, Options)]
struct CheckArgs {
    #[options(help = "print this help")]
    help: bool,

    #[options(free, help = "settings of a process, common settings, or rules")]
    files: Vec<String>,

    #[options(
        no_short,
        meta = "FILE",
        help = "common settings that rules are checked against; else common.toml beside them"
    )]
    common: Option<String>,
}

/// What was found in one file, for `--json`.
#[derive(Debug, serde::Serialize)]
struct Found {
    file: String,
    errors: Vec<String>,
    warnings: Vec<String>,
}

/// Checks each file and prints what is wrong.
pub(crate) fn exec(globals: &globals::Globals, args: Args) -> Result<(), Failure> {
    let Some(Command::Check(args)) = args.command else {
        return Err(Failure::Usage(
            "write `sageshed config check FILE...`".to_owned(),
        ));
    };
    if args.files.is_empty() {
        return Err(Failure::Usage("name at least one file to check".to_owned()));
    }
    let common = args.common.as_ref().map(path::Path::new);
    let found: Vec<Found> = args.files.iter().map(|file| check(file, common)).collect();
    if globals.json {
        failure::print_json(&found)?;
    } else {
        failure::print(&text(&found))?;
    }
    let errors: Vec<&str> = found
        .iter()
        .flat_map(|it| &it.errors)
        .map(String::as_str)
        .collect();
    if errors.is_empty() {
        return Ok(());
    }
    Err(Failure::Problems(errors.join("\n")))
}

fn text(found: &[Found]) -> String {
    let mut lines = Vec::new();
    for Found {
        file,
        errors,
        warnings,
    } in found
    {
        lines.extend(warnings.iter().map(|it| format!("warning: {it}\n")));
        if errors.is_empty() {
            lines.push(format!("{file}: no error\n"));
        }
    }
    lines.concat()
}

fn check(file: &str, common: Option<&path::Path>) -> Found {
    let path = path::Path::new(file);
    let mut found = Found {
        file: file.to_owned(),
        errors: Vec::new(),
        warnings: Vec::new(),
    };
    let rules = match settings::load(path) {
        Ok(settings::Settings::Rules(rules)) => rules,
        Ok(_) => return found,
        Err(problems) => {
            found.errors = lines(&problems.list);
            return found;
        }
    };
    let beside = path.with_file_name(COMMON);
    match settings::common(common.unwrap_or(&beside)) {
        Ok(common) => {
            let checked = rules.check(&common);
            found.errors = lines(&checked.errors);
            found.warnings = lines(&checked.warnings);
        }
        Err(problems) => found.errors = lines(&problems.list),
    }
    found
}

fn lines(problems: &[settings::Problem]) -> Vec<String> {
    problems.iter().map(ToString::to_string).collect()
}
