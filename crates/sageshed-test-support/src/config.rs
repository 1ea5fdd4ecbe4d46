//! Settings of the stand-ins, written in TOML.

use std::time::Duration;

use sageshed_types::endpoints;
use serde::{Deserialize, Serialize};

/// All stand-ins of one process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Entry processes to report to, as `IP:port`; none: no reports.
    pub entries: Vec<String>,
    /// Where statistics are asked for and faults are set; port 0 lets the system choose.
    pub control: String,
    /// How many times faster than its figures say an endpoint loads and answers. Report intervals
    /// and lags are not scaled.
    pub time_scale: f64,
    /// The store that all engines load from.
    pub store: Store,
    /// Load times that differ from an engine's own.
    pub load_ms: std::collections::BTreeMap<String, u64>,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            control: local_any(),
            time_scale: 1.0,
            store: Store::default(),
            load_ms: std::collections::BTreeMap::new(),
            endpoints: Vec::new(),
        }
    }
}

/// The rate-limited store of weights.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Store {
    /// Loads that it lets begin each second.
    pub loads_per_second: f64,
    /// Loads at once at full speed; more share that speed.
    pub at_once: u32,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            loads_per_second: 1.0,
            at_once: 12,
        }
    }
}

/// One endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// Where it listens; port 0 lets the system choose.
    #[serde(default = "local_any")]
    pub address: String,
    /// Where it says that it listens, if that is not where it does: a relay in front of it.
    #[serde(default)]
    pub announced: Option<String>,
    /// Engine or service: `kind = { engine = { pool = "p", memory_mib = 1, accelerators = 1 } }`.
    pub kind: endpoints::Kind,
    /// Requests that it runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Tokens a second of each request.
    #[serde(default = "default_rate")]
    pub tokens_per_second: f64,
    /// Time to the first token; for a service, to the answer.
    #[serde(default = "default_first_token")]
    pub first_token_ms: u64,
    /// Tokens of an answer whose request gives no `max_tokens`.
    #[serde(default = "default_tokens")]
    pub answer_tokens: u32,
    /// What it holds at start.
    #[serde(default)]
    pub resident: Vec<Resident>,
    /// Time of a load at the store's full speed.
    #[serde(default = "default_load")]
    pub load_ms: u64,
    /// Time between reports.
    #[serde(default = "default_interval")]
    pub report_interval_ms: u64,
    /// Age of the figures in a report.
    #[serde(default)]
    pub report_lag_ms: u64,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default = "yes")]
    pub checks_fence: bool,
}

/// A model or adapter held at start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resident {
    /// Its name.
    pub model: String,
    /// Which version.
    #[serde(default = "first_version")]
    pub version: u32,
    /// The memory it takes, in MiB.
    pub memory_mib: u64,
}

impl Config {
    /// A span of the figures as it passes here.
    #[must_use]
    pub fn scaled(&self, ms: u64) -> Duration {
        Duration::from_secs_f64(ms as f64 / 1_000.0 / self.time_scale)
    }

    /// The load time of a model on an engine whose own load time is `own`, at full speed.
    #[must_use]
    pub fn load_time(&self, model: &str, own: u64) -> Duration {
        self.scaled(self.load_ms.get(model).copied().unwrap_or(own))
    }
}

impl Endpoint {
    /// An engine with these figures and the defaults for the rest.
    #[must_use]
    pub fn engine(name: &str, memory_mib: u64, models: &[(&str, u64)]) -> Self {
        let kind = endpoints::Kind::Engine {
            pool: "pool".to_owned(),
            memory_mib,
            accelerators: 1,
        };
        let held = |(model, memory_mib): &(&str, u64)| Resident {
            model: (*model).to_owned(),
            version: 1,
            memory_mib: *memory_mib,
        };
        Self {
            resident: models.iter().map(held).collect(),
            ..Self::of_kind(name, kind)
        }
    }

    /// An instance of a service, with the defaults for the rest.
    #[must_use]
    pub fn service(name: &str, service: &str) -> Self {
        let kind = endpoints::Kind::Service {
            service: service.to_owned(),
        };
        Self::of_kind(name, kind)
    }

    fn of_kind(name: &str, kind: endpoints::Kind) -> Self {
        Self {
            name: name.to_owned(),
            availability_zone: "zone".to_owned(),
            address: local_any(),
            announced: None,
            kind,
            slots: default_slots(),
            tokens_per_second: default_rate(),
            first_token_ms: default_first_token(),
            answer_tokens: default_tokens(),
            resident: Vec::new(),
            load_ms: default_load(),
            report_interval_ms: default_interval(),
            report_lag_ms: 0,
            checks_fence: true,
        }
    }
}

fn local_any() -> String {
    "127.0.0.1:0".to_owned()
}

fn default_slots() -> u32 {
    8
}

fn default_rate() -> f64 {
    50.0
}

fn default_first_token() -> u64 {
    100
}

fn default_tokens() -> u32 {
    32
}

fn default_load() -> u64 {
    5_000
}

fn default_interval() -> u64 {
    500
}

fn yes() -> bool {
    true
}

fn first_version() -> u32 {
    1
}
