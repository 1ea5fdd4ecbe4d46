//! Figures of a process, by `opentelemetry`, in the text format of Prometheus.

use std::fmt;

use opentelemetry::{KeyValue, metrics, metrics::MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;

/// Where the instruments of one process are made and read.
pub struct Registry {
    // Collects what the instruments count for as long as it lives.
    provider: SdkMeterProvider,
    registry: prometheus::Registry,
}

impl fmt::Debug for Registry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Registry").finish_non_exhaustive()
    }
}

impl Default for Registry {
    fn default() -> Self {
        Self::new()
    }
}

impl Registry {
    /// No instrument yet.
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
        Self { provider, registry }
    }

    /// Makes instruments.
    #[must_use]
    pub fn meter(&self) -> metrics::Meter {
        self.provider.meter("sageshed")
    }

    /// A gauge, which is set when the figures are asked for.
    #[must_use]
    pub fn gauge(&self, name: &'static str, help: &'static str) -> Gauge {
        let meter = self.meter();
        Gauge(meter.f64_gauge(name).with_description(help).build())
    }

    /// Everything as text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        let families = self.registry.gather();
        if let Err(e) = prometheus::TextEncoder::new().encode(&families, &mut buf) {
            log::error!(error:% = e; "metrics: not written");
        }
        String::from_utf8(buf).unwrap_or_default()
    }
}

/// A figure that goes up and down.
#[derive(Debug, Clone)]
pub struct Gauge(metrics::Gauge<f64>);

impl Gauge {
    /// Sets the figure.
    pub fn set(&self, value: f64) {
        self.0.record(value, &[]);
    }

    /// Sets the figure of one label's value. The values must be few.
    pub fn set_for(&self, label: &'static str, of: &str, value: f64) {
        self.0.record(value, &[KeyValue::new(label, of.to_owned())]);
    }
}
