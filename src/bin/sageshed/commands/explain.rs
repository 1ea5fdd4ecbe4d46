//! `sageshed explain`: what happened to one request.

use std::{fmt::Write, io, time};

use gumdrop::Options;
use sageshed::metrics_port;
use sageshed_types::request_trace;

use crate::{failure, failure::Failure, globals, table};

/// How long an entry process may take to answer.
const PATIENCE: time::Duration = time::Duration::from_secs(2);

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,

    #[options(free, required, help = "the id, from the answer's Sageshed-Request-Id")]
    request_id: String,

    #[options(
        no_short,
        meta = "IP:PORT",
        help = "ask entry processes in front of a fleet, at their metrics ports (once for each)"
    )]
    entry: Vec<String>,
}

/// Prints it.
pub(crate) fn exec(globals: &globals::Globals, args: &Args) -> Result<(), Failure> {
    let account = if args.entry.is_empty() {
        globals.client()?.explain(&args.request_id)?
    } else {
        ask_entries(&args.entry, &args.request_id)?
    };
    if globals.json {
        return failure::print_json(&account);
    }
    failure::print(&text(&account))
}

/// Asks one entry process after the other. The id is the caller's, so it names none of them.
fn ask_entries(entries: &[String], id: &str) -> Result<request_trace::RequestTrace, Failure> {
    let mut silent = Vec::new();
    for entry in entries {
        let url = format!("http://{entry}{}{id}", metrics_port::EXPLAIN);
        match ureq::get(&url).timeout(PATIENCE).call() {
            Ok(answer) => {
                return read(answer)
                    .map_err(|e| Failure::Unknown(format!("{entry} gave no account: {e}")));
            }
            Err(ureq::Error::Status(..)) => {}
            Err(e) => silent.push(format!("{entry} gave no answer: {e}")),
        }
    }
    if silent.is_empty() {
        let text = format!("no entry process asked keeps an account of {id}");
        return Err(Failure::Refused(text));
    }
    Err(Failure::Unknown(silent.join("\n")))
}

fn read(answer: ureq::Response) -> Result<request_trace::RequestTrace, io::Error> {
    let text = answer.into_string()?;
    Ok(serde_json::from_str(&text)?)
}

fn text(account: &request_trace::RequestTrace) -> String {
    let mut text = String::new();
    let mut row = |name: &str, value: String| {
        writeln!(text, "{name:14} {value}").expect("a string takes every write");
    };
    row("request", account.request_id.clone());
    row("caller", table::or_dash(account.caller.as_deref()));
    row("class", table::or_dash(account.class.as_deref()));
    row("target", table::or_dash(account.target.as_deref()));
    let rule = table::or_dash(account.rule.as_deref());
    row("rule", format!("{rule} at revision {}", account.revision));
    row("not repeatable", table::yes(account.not_repeatable));
    row("deadline", format!("{} ms", account.deadline.0));
    row(
        "waited",
        format!("{} ms before it was first sent", account.queued.0),
    );
    for wait in &account.queues {
        row("queue", wait.clone());
    }
    for candidate in &account.candidates {
        let outcome = match &candidate.passed_over {
            Some(why) => format!("passed over: {why}"),
            None => "taken".to_owned(),
        };
        let estimate = candidate.estimate.0;
        row(
            "candidate",
            format!("{}, {estimate} ms, {outcome}", candidate.endpoint),
        );
    }
    for sent in &account.tries {
        let started = sent.started.0;
        row(
            "sent",
            format!(
                "{started} ms to {}: {}, {}",
                sent.endpoint, sent.verdict, sent.outcome
            ),
        );
    }
    row("end", end(&account.end));
    row("took", format!("{} ms", account.took.0));
    text
}

fn end(end: &request_trace::RequestOutcome) -> String {
    match end {
        request_trace::RequestOutcome::Open => "still under way".to_owned(),
        request_trace::RequestOutcome::Answered { status, bytes } => {
            format!("answered with status {status} and {bytes} bytes")
        }
        request_trace::RequestOutcome::CallerGone => "the caller went away first".to_owned(),
        request_trace::RequestOutcome::Refused(refusal) => format!(
            "refused as {} ({}): {}",
            refusal.reason, refusal.verdict, refusal.detail
        ),
    }
}
