//! The figures of one run of the load tool.

use std::{collections, fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::load::client;

/// What a run measured. Times are in milliseconds; none where nothing was measured.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests begun.
    pub sent: u64,
    /// Answered whole, each with its own answer.
    pub completed: u64,
    /// Of these, within the deadline.
    pub on_time: u64,
    /// Refused, by reason and verdict.
    pub refused: collections::BTreeMap<String, u64>,
    /// Lost without an account, by what came instead.
    pub lost: collections::BTreeMap<String, u64>,
    /// Answers that were not whole or not the caller's own, by what was wrong.
    pub wrong: collections::BTreeMap<String, u64>,
    /// Seconds from the first request to the last end.
    pub seconds: f64,
    /// Completed requests a second.
    pub completed_per_second: f64,
    /// Median time to the first token of a stream.
    pub first_token_p50_ms: Option<f64>,
    /// The 99th percentile of it.
    pub first_token_p99_ms: Option<f64>,
    /// The 95th percentile of the longest gap within each stream.
    pub gap_p95_ms: Option<f64>,
    /// Median time to the whole answer.
    pub answer_p50_ms: Option<f64>,
    /// The 99th percentile of it.
    pub answer_p99_ms: Option<f64>,
    /// The 99th percentile of the time to a refusal.
    pub refusal_p99_ms: Option<f64>,
    /// The latest that a request was begun for want of a worker; large: the load was not open loop.
    pub begun_late_max_ms: Option<f64>,
    /// Idempotency keys that ran more than once, if the stand-ins were asked.
    pub keys_run_again: Option<u64>,
}

impl Report {
    /// Sums the records of a run up.
    #[must_use]
    pub fn new(records: &[client::Record], took: Duration) -> Self {
        let mut report = Self {
            sent: records.len() as u64,
            seconds: took.as_secs_f64(),
            ..Self::default()
        };
        for record in records {
            report.count(record);
        }
        report.completed_per_second = report.completed as f64 / report.seconds.max(0.001);
        let completed = |r: &&client::Record| r.end == client::End::Completed;
        let refused = |r: &&client::Record| matches!(r.end, client::End::Refused { .. });
        let first = spans(records.iter().filter_map(|r| r.first_token));
        let answers = spans(records.iter().filter(completed).map(|r| r.took));
        report.first_token_p50_ms = percentile(&first, 0.5);
        report.first_token_p99_ms = percentile(&first, 0.99);
        report.gap_p95_ms = percentile(&spans(records.iter().filter_map(|r| r.longest_gap)), 0.95);
        report.answer_p50_ms = percentile(&answers, 0.5);
        report.answer_p99_ms = percentile(&answers, 0.99);
        let refusals = spans(records.iter().filter(refused).map(|r| r.took));
        report.refusal_p99_ms = percentile(&refusals, 0.99);
        report.begun_late_max_ms = percentile(&spans(records.iter().map(|r| r.begun_late)), 1.0);
        report
    }

    fn count(&mut self, record: &client::Record) {
        match &record.end {
            client::End::Completed => {
                self.completed += 1;
                self.on_time += u64::from(record.in_time);
            }
            client::End::Refused { reason, verdict } => {
                *self
                    .refused
                    .entry(format!("{reason} {verdict}"))
                    .or_default() += 1;
            }
            client::End::Lost { detail } => *self.lost.entry(detail.clone()).or_default() += 1,
            client::End::Wrong { detail } => *self.wrong.entry(detail.clone()).or_default() += 1,
        }
    }
}

fn spans(spans: impl Iterator<Item = Duration>) -> Vec<Duration> {
    let mut spans: Vec<Duration> = spans.collect();
    spans.sort_unstable();
    spans
}

/// The value that a share of the sorted spans does not exceed (nearest rank), in milliseconds.
#[must_use]
pub fn percentile(sorted: &[Duration], share: f64) -> Option<f64> {
    let rank = (sorted.len() as f64 * share).ceil();
    let at = (1..=sorted.len())
        .rfind(|at| *at as f64 <= rank)
        .unwrap_or(1);
    sorted.get(at - 1).map(|span| span.as_secs_f64() * 1_000.0)
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let line = |f: &mut fmt::Formatter<'_>, name: &str, value: Option<f64>| {
            let text = value.map_or("-".to_owned(), |value| format!("{value:.1}"));
            writeln!(f, "{name:<24}{text:>12}")
        };
        writeln!(f, "{:<24}{:>12}", "sent", self.sent)?;
        writeln!(f, "{:<24}{:>12}", "completed", self.completed)?;
        writeln!(f, "{:<24}{:>12}", "on time", self.on_time)?;
        for (kind, counts) in [
            ("refused", &self.refused),
            ("lost", &self.lost),
            ("wrong", &self.wrong),
        ] {
            writeln!(f, "{kind:<24}{:>12}", counts.values().sum::<u64>())?;
            for (what, count) in counts {
                writeln!(f, "  {what:<34}{count:>8}")?;
            }
        }
        line(f, "seconds", Some(self.seconds))?;
        line(f, "completed a second", Some(self.completed_per_second))?;
        line(f, "first token p50, ms", self.first_token_p50_ms)?;
        line(f, "first token p99, ms", self.first_token_p99_ms)?;
        line(f, "longest gap p95, ms", self.gap_p95_ms)?;
        line(f, "answer p50, ms", self.answer_p50_ms)?;
        line(f, "answer p99, ms", self.answer_p99_ms)?;
        line(f, "refusal p99, ms", self.refusal_p99_ms)?;
        line(f, "begun late at most, ms", self.begun_late_max_ms)?;
        if let Some(again) = self.keys_run_again {
            writeln!(f, "{:<24}{again:>12}", "keys run again")?;
        }
        Ok(())
    }
}
