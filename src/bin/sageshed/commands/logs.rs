//! `sageshed logs`: puts the lines of several processes about one request in order.

use std::{collections, fs, io, path};

use gumdrop::Options;

use super::losses;
use crate::{failure, failure::Failure, globals};

/// Keys of a line that name an endpoint.
const ENDPOINT: &str = "endpoint";

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,

    #[options(
        free,
        help = "the id of the request, or `losses` for all that were not served well, then log files in JSON"
    )]
    words: Vec<String>,

    #[options(
        no_short,
        meta = "FILE",
        help = "with `losses`: draw them over time as SVG"
    )]
    svg: Option<path::PathBuf>,
}

/// Stands in place of a request's id for the account of all losses.
const LOSSES: &str = "losses";

/// One line of a log.
#[derive(Debug)]
struct Line {
    time: String,
    file: String,
    value: serde_json::Value,
}

impl Line {
    fn key(&self, name: &str) -> Option<&str> {
        self.value.get("keys")?.get(name)?.as_str()
    }

    /// The line for people: when, where, what, and its keys.
    fn text(&self) -> String {
        let member = |name: &str| self.value.get(name).and_then(serde_json::Value::as_str);
        let mut text = format!(
            "{} {} {}: {}",
            self.time,
            self.file,
            member("part").unwrap_or_default(),
            member("message").unwrap_or_default()
        );
        let keys = self.value.get("keys").and_then(|it| it.as_object());
        for (key, value) in keys.into_iter().flatten() {
            let value = value.as_str().unwrap_or_default();
            text.push(' ');
            text.push_str(key);
            let quoted = format!("={value:?}");
            text.push_str(&quoted);
        }
        text
    }
}

/// Prints the lines about a request, and those about the endpoints that it went to.
pub(crate) fn exec(globals: &globals::Globals, args: &Args) -> Result<(), Failure> {
    let Some((request, files)) = args.words.split_first().filter(|(_, it)| !it.is_empty()) else {
        let text = "write `sageshed logs REQUEST FILE...` or `sageshed logs losses FILE...`, \
                    with log files in JSON";
        return Err(Failure::Usage(text.to_owned()));
    };
    if request == LOSSES {
        return losses::exec(globals, files, args.svg.as_deref());
    }
    if args.svg.is_some() {
        return Err(Failure::Usage("--svg goes with `losses`".to_owned()));
    }
    let mut lines = Vec::new();
    for file in files {
        let read = read(path::Path::new(file))
            .map_err(|e| Failure::Refused(format!("cannot read {file}: {e}")))?;
        lines.extend(read);
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    let own = |line: &&Line| line.key("request") == Some(request);
    let endpoints: collections::BTreeSet<&str> = lines
        .iter()
        .filter(own)
        .filter_map(|line| line.key(ENDPOINT))
        .collect();
    let Some(last) = lines.iter().rfind(own).map(|line| line.time.clone()) else {
        let text = format!("no line names the request {request}");
        return Err(Failure::Refused(text));
    };
    // What was believed of its endpoints up to then.
    let is_about = |line: &&Line| {
        let of_endpoint = line.key("request").is_none()
            && line.key(ENDPOINT).is_some_and(|it| endpoints.contains(it));
        own(line) || (of_endpoint && line.time <= last)
    };
    let text: Vec<String> = lines.iter().filter(is_about).map(Line::text).collect();
    failure::print(&(text.join("\n") + "\n"))
}

/// The lines of a file that are JSON; others, as the first words of a panic, are passed over.
fn read(file: &path::Path) -> io::Result<Vec<Line>> {
    let text = fs::read_to_string(file)?;
    let name = file.file_name().unwrap_or_default().to_string_lossy();
    let line = |text: &str| {
        let value: serde_json::Value = serde_json::from_str(text).ok()?;
        let time = value.get("time")?.as_str()?.to_owned();
        Some(Line {
            time,
            file: name.clone().into_owned(),
            value,
        })
    };
    Ok(text.lines().filter_map(line).collect())
}
