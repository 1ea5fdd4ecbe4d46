//! The queues that entry processes keep as coordinators, for `sageshed status --entry`.

use std::time;

use sageshed::metrics_port;
use sageshed_fleet::queue_coordinator::{QueueKey, QueueStatus};
use serde::Serialize;

use crate::{failure, failure::Failure, globals, table};

/// How long an entry process may take to answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The queues of one entry process.
#[derive(Debug, Serialize)]
struct EntryQueues {
    entry: String,
    queues: Vec<QueueStatus>,
}

/// Prints the queues of all `entries`.
pub(crate) fn exec(globals: &globals::Globals, entries: &[String]) -> Result<(), Failure> {
    let all: Result<Vec<_>, _> = entries.iter().map(|it| read(it)).collect();
    let all = all?;
    if globals.json {
        return failure::print_json(&all);
    }
    let rows: Vec<Vec<String>> = all.iter().flat_map(rows).collect();
    let heads = [
        "ENTRY",
        "QUEUE",
        "WAITING",
        "OLDEST MS",
        "GRANTED",
        "REFUSED",
    ];
    failure::print(&table::text(&heads, &rows))
}

fn read(entry: &str) -> Result<EntryQueues, Failure> {
    let url = format!("http://{entry}{}", metrics_port::QUEUES);
    let no_answer = |e: String| Failure::Unknown(format!("{entry} gave no answer: {e}"));
    let answer = ureq::get(&url).timeout(TIMEOUT).call();
    let text = answer
        .map_err(|e| no_answer(e.to_string()))?
        .into_string()
        .map_err(|e| no_answer(e.to_string()))?;
    let queues = serde_json::from_str(&text).map_err(|e| no_answer(e.to_string()))?;
    Ok(EntryQueues {
        entry: entry.to_owned(),
        queues,
    })
}

fn rows(of: &EntryQueues) -> Vec<Vec<String>> {
    let row = |it: &QueueStatus| {
        let kind = match it.queue {
            QueueKey::Model(_) => "model",
            QueueKey::Service(_) => "service",
        };
        vec![
            of.entry.clone(),
            format!("{kind} {}", it.queue.name()),
            it.waiting.to_string(),
            it.oldest_ms.0.to_string(),
            it.granted.to_string(),
            it.refused.to_string(),
        ]
    };
    of.queues.iter().map(row).collect()
}
