//! Figures of an entry process, by `opentelemetry`, in the text format of Prometheus.
//!
//! Histograms are kept for each caller and class. Both come from the settings, so the number of
//! series is bounded; what a caller sends never becomes a label.

use std::fmt;

use opentelemetry::{KeyValue, metrics, metrics::MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use sageshed_types::account;

use super::shared;
use crate::locks;

/// Upper bounds of the buckets of times, in seconds.
const SECONDS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.3, 2.5, 5.0, 10.0, 30.0, 120.0,
];

/// The label of a caller or class that is not known.
const NONE: &str = "none";

/// What an entry process counts.
pub struct Metrics {
    // Dropped with the process: it collects what the instruments count.
    _provider: SdkMeterProvider,
    registry: prometheus::Registry,
    took: metrics::Histogram<f64>,
    queued: metrics::Histogram<f64>,
    tries: metrics::Counter<u64>,
    refused: metrics::Counter<u64>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Nothing counted yet.
    ///
    /// # Panics
    ///
    /// Never: the registry is new, so nothing in it can collide.
    #[must_use]
    pub fn new() -> Self {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry takes the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("sageshed");
        let seconds = |name, help| {
            let histogram = meter
                .f64_histogram(name)
                .with_description(help)
                .with_unit("s");
            histogram.with_boundaries(SECONDS.to_vec()).build()
        };
        Self {
            took: seconds("sageshed_request", "From arrival to the end of the answer"),
            queued: seconds("sageshed_queue", "From arrival to the first sending"),
            tries: meter
                .u64_counter("sageshed_tries")
                .with_description("Sendings")
                .build(),
            refused: meter
                .u64_counter("sageshed_refusals")
                .with_description("Refusals")
                .build(),
            registry,
            _provider: provider,
        }
    }

    /// Counts a request that has ended.
    pub fn ended(&self, account: &account::Account) {
        let caller = account.caller.as_deref().unwrap_or(NONE).to_owned();
        let class = account.class.as_deref().unwrap_or(NONE).to_owned();
        let of = [
            KeyValue::new("caller", caller),
            KeyValue::new("class", class),
        ];
        let seconds = |span: sageshed_types::time::Millis| span.0 as f64 / 1_000.0;
        let end = match &account.end {
            account::End::Answered { .. } => "answered",
            account::End::Refused(_) => "refused",
            account::End::CallerGone => "caller_gone",
            account::End::Open => "open",
        };
        let mut with_end = of.to_vec();
        with_end.push(KeyValue::new("end", end));
        self.took.record(seconds(account.took), &with_end);
        self.queued.record(seconds(account.queued), &of);
        self.tries.add(account.tries.len() as u64, &of);
        if let account::End::Refused(refusal) = &account.end {
            let mut why = of.to_vec();
            why.push(KeyValue::new("reason", refusal.reason.to_string()));
            self.refused.add(1, &why);
        }
    }

    /// Everything as text.
    #[must_use]
    pub fn text(&self, shared: &shared::Shared) -> String {
        let mut buf = Vec::new();
        let families = self.registry.gather();
        if let Err(e) = prometheus::TextEncoder::new().encode(&families, &mut buf) {
            log::error!(error:% = e; "entry: metrics not written");
        }
        let mut text = String::from_utf8(buf).unwrap_or_default();
        text.push_str(&gauges(shared));
        text
    }
}

/// What the decider knows at this moment.
fn gauges(shared: &shared::Shared) -> String {
    use std::fmt::Write as _;
    let gauges = locks::lock(&shared.decider).gauges();
    let ready = shared.is_ready();
    let revision = locks::lock(&shared.config).rules.revision;
    let mut text = String::new();
    let mut add = |name: &str, value: f64| {
        writeln!(text, "# TYPE {name} gauge\n{name} {value}").expect("a string takes all text");
    };
    add("sageshed_requests_open", gauges.open as f64);
    add("sageshed_requests_in_flight", gauges.in_flight as f64);
    add("sageshed_endpoints", gauges.endpoints as f64);
    add("sageshed_endpoints_ejected", gauges.ejected as f64);
    add("sageshed_endpoints_leaving", gauges.leaving as f64);
    add("sageshed_retry_tokens", gauges.retry_tokens);
    add("sageshed_ready", f64::from(u8::from(ready)));
    add("sageshed_revision", revision.0 as f64);
    text.push_str("# TYPE sageshed_requests_queued gauge\n");
    for (class, count) in &gauges.queued {
        writeln!(
            text,
            "sageshed_requests_queued{{class=\"{class}\"}} {count}"
        )
        .expect("a string takes all text");
    }
    text
}
