//! Figures of an entry process, by `opentelemetry`, in the text format of Prometheus.
//!
//! Histograms are kept for each caller and class. Both come from the settings, so the number of
//! series is bounded; what a caller sends never becomes a label.

use opentelemetry::{KeyValue, metrics as instruments};
use sageshed_types::request_trace;

use super::shared;
use crate::{locks, metrics};

/// Upper bounds of the buckets of times, in seconds.
const SECONDS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.3, 2.5, 5.0, 10.0, 30.0, 120.0,
];

/// The label of a caller or class that is not known.
const NONE: &str = "none";

/// What an entry process counts.
#[derive(Debug)]
pub struct Metrics {
    registry: metrics::Registry,
    took: instruments::Histogram<f64>,
    queued: instruments::Histogram<f64>,
    tries: instruments::Counter<u64>,
    refused: instruments::Counter<u64>,
    now: Now,
}

/// What holds at the moment in which the figures are asked for.
#[derive(Debug)]
struct Now {
    open: metrics::Gauge,
    in_flight: metrics::Gauge,
    queued: metrics::Gauge,
    endpoints: metrics::Gauge,
    ejected: metrics::Gauge,
    leaving: metrics::Gauge,
    retry_tokens: metrics::Gauge,
    ready: metrics::Gauge,
    revision: metrics::Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Nothing counted yet.
    #[must_use]
    pub fn new() -> Self {
        let registry = metrics::Registry::new();
        let meter = registry.meter();
        let seconds = |name, help| {
            let histogram = meter
                .f64_histogram(name)
                .with_description(help)
                .with_unit("s");
            histogram.with_boundaries(SECONDS.to_vec()).build()
        };
        let count = |name, help| meter.u64_counter(name).with_description(help).build();
        Self {
            took: seconds("sageshed_request", "From arrival to the end of the answer"),
            queued: seconds("sageshed_queue", "From arrival to the first sending"),
            tries: count("sageshed_tries", "Sendings"),
            refused: count("sageshed_refusals", "Refusals"),
            now: Now::new(&registry),
            registry,
        }
    }

    /// Counts a request that has ended.
    pub fn ended(&self, account: &request_trace::RequestTrace) {
        let caller = account.caller.as_deref().unwrap_or(NONE).to_owned();
        let class = account.class.as_deref().unwrap_or(NONE).to_owned();
        let of = [
            KeyValue::new("caller", caller),
            KeyValue::new("class", class),
        ];
        let seconds = |span: sageshed_types::time::Millis| span.0 as f64 / 1_000.0;
        let end = match &account.end {
            request_trace::RequestOutcome::Answered { .. } => "answered",
            request_trace::RequestOutcome::Refused(_) => "refused",
            request_trace::RequestOutcome::CallerGone => "caller_gone",
            request_trace::RequestOutcome::Open => "open",
        };
        let mut with_end = of.to_vec();
        with_end.push(KeyValue::new("end", end));
        self.took.record(seconds(account.took), &with_end);
        self.queued.record(seconds(account.queued), &of);
        self.tries.add(account.tries.len() as u64, &of);
        if let request_trace::RequestOutcome::Refused(refusal) = &account.end {
            let mut why = of.to_vec();
            why.push(KeyValue::new("reason", refusal.reason.to_string()));
            self.refused.add(1, &why);
        }
    }

    /// Everything as text.
    #[must_use]
    pub fn text(&self, shared: &shared::Shared) -> String {
        self.now.set(shared);
        self.registry.text()
    }
}

impl Now {
    fn new(registry: &metrics::Registry) -> Self {
        Self {
            open: registry.gauge("sageshed_requests_open", "Requests not answered yet"),
            in_flight: registry.gauge("sageshed_requests_in_flight", "Requests at an endpoint"),
            queued: registry.gauge("sageshed_requests_queued", "Requests that wait here"),
            endpoints: registry.gauge("sageshed_endpoints", "Endpoints known"),
            ejected: registry.gauge("sageshed_endpoints_ejected", "Endpoints that failed"),
            leaving: registry.gauge("sageshed_endpoints_leaving", "Endpoints that leave"),
            retry_tokens: registry.gauge("sageshed_retry_tokens", "Retries allowed now"),
            ready: registry.gauge("sageshed_ready", "1 if /readyz is green, else 0"),
            revision: registry.gauge("sageshed_revision", "Revision of the rules in force here"),
        }
    }

    fn set(&self, shared: &shared::Shared) {
        let gauges = locks::lock(&shared.decider).gauges();
        self.open.set(gauges.open as f64);
        self.in_flight.set(gauges.in_flight as f64);
        self.endpoints.set(gauges.endpoints as f64);
        self.ejected.set(gauges.ejected as f64);
        self.leaving.set(gauges.leaving as f64);
        self.retry_tokens.set(gauges.retry_tokens);
        for (class, count) in &gauges.queued {
            self.queued.set_for("class", class, *count as f64);
        }
        self.ready.set(f64::from(u8::from(shared.is_ready())));
        let revision = locks::lock(&shared.config).rules.revision;
        self.revision.set(revision.0 as f64);
    }
}
