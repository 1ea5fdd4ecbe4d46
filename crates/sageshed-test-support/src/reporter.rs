//! Sends an endpoint's reports, late as set, to one entry process or else to another.

use std::{
    collections, sync,
    time::{Duration, Instant},
};

use sageshed_engines::paths;
use sageshed_types::{endpoints, time};

use crate::endpoint;

/// How long one report may take.
const SEND_LIMIT: Duration = Duration::from_secs(1);

/// Figures as they were at one moment.
#[derive(Debug)]
struct Figures {
    at: Instant,
    report: endpoints::Report,
    tokens: u64,
}

/// Sends reports until the process stops.
pub(crate) fn run(endpoint: &endpoint::Endpoint) {
    let agent = ureq::AgentBuilder::new()
        .timeout(SEND_LIMIT)
        .max_idle_connections(0)
        .build();
    let interval = Duration::from_millis(endpoint.cfg.report_interval_ms);
    let lag = Duration::from_millis(endpoint.cfg.report_lag_ms);
    let mut past: collections::VecDeque<Figures> = collections::VecDeque::new();
    let mut first_entry = 0;
    while !endpoint.shared.stopping() {
        let now = figures(endpoint, past.back());
        // A crash or a departure is told at once; only figures of load lag.
        if past.back().is_some_and(|last| told_at_once(last, &now)) {
            past.clear();
        }
        past.push_back(now);
        while past.len() > 1 && past[1].at.elapsed() >= lag {
            past.pop_front();
        }
        if let Some(figures) = past.front() {
            let mut report = figures.report.clone();
            report.age_ms = time::Millis::from(figures.at.elapsed());
            report.sequence = next_sequence(endpoint);
            first_entry = send(&agent, endpoint, &report, first_entry);
        }
        endpoint.wait(interval);
    }
}

fn told_at_once(last: &Figures, now: &Figures) -> bool {
    let restarted = last.report.identity != now.report.identity;
    restarted || last.report.leaving != now.report.leaving
}

fn next_sequence(endpoint: &endpoint::Endpoint) -> u64 {
    let mut state = endpoint.lock();
    state.sequence += 1;
    state.sequence
}

fn figures(endpoint: &endpoint::Endpoint, last: Option<&Figures>) -> Figures {
    let identity = endpoint.identity();
    let (running, waiting) = endpoint.slots.load();
    let state = endpoint.lock();
    let tokens = state.stats.tokens;
    let per_second = last.map_or(0.0, |last| {
        let span = last.at.elapsed().as_secs_f64().max(0.001);
        tokens.saturating_sub(last.tokens) as f64 / span
    });
    Figures {
        at: Instant::now(),
        tokens,
        report: endpoints::Report {
            identity,
            sequence: 0,
            age_ms: time::Millis(0),
            running,
            waiting,
            tokens_per_second: format!("{per_second:.0}").parse().unwrap_or(u32::MAX),
            resident: state.memory.resident.clone(),
            orders: state.memory.results.iter().cloned().collect(),
            leaving: state.leaving_since.is_some(),
        },
    }
}

/// Sends to the entry process that took the last one, or else to the next that takes it.
fn send(
    agent: &ureq::Agent,
    endpoint: &endpoint::Endpoint,
    report: &endpoints::Report,
    first: usize,
) -> usize {
    let entries = endpoint
        .shared
        .entries
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner)
        .clone();
    let body = serde_json::to_vec(report).unwrap_or_default();
    for step in 0..entries.len() {
        let at = (first + step) % entries.len();
        let url = format!("http://{}{}", entries[at], paths::REPORT);
        let sent = agent
            .post(&url)
            .set("Content-Type", "application/json")
            .send_bytes(&body);
        if sent.is_ok() {
            return at;
        }
    }
    first
}
