//! The settings that all VMs share: who there is, what is offered, and how to decide.

use std::{net, path};

use sageshed_decide::settings as decide;
use sageshed_types::{catalog, time};
use serde::Deserialize;

use super::{Limits, address};

/// The common file, checked.
#[derive(Debug, Clone)]
pub struct Common {
    /// Where it was read from.
    pub file: path::PathBuf,
    /// The file that holds the token which our own processes show each other; none: any process
    /// that reaches their ports may call. A relative one starts from the folder of the common file.
    pub vms_token_file: Option<path::PathBuf>,
    /// What that file holds; empty if there is none.
    pub vms_token: String,
    /// The system's own VMs.
    pub vms: Vec<Vm>,
    /// Set where no list of VMs is kept and processes find each other by seeds.
    pub discovery: Option<super::Discovery>,
    /// The models and adapters on offer.
    pub models: Vec<catalog::Model>,
    /// The plain services on offer.
    pub services: Vec<Service>,
    /// The classes of requests.
    pub classes: Vec<catalog::Class>,
    /// Who may ask.
    pub callers: Vec<catalog::Caller>,
    /// Who may change rules.
    pub operators: Vec<Operator>,
    /// Claims on requests that may not be repeated.
    pub claims: Claims,
    /// The lease of the configuration in force.
    pub lease: Lease,
    /// The control group.
    pub control: ControlGroup,
    /// How an entry process chooses among endpoints.
    pub routing: decide::Policy,
    /// How the control group places models.
    pub placement: sageshed_place::Policy,
    /// Bounds on callers' requests; an entry file may change single ones.
    pub limits: Limits,
}

impl Common {
    /// The VM of this name.
    #[must_use]
    pub fn vm(&self, name: &str) -> Option<&Vm> {
        self.vms.iter().find(|vm| vm.name == name)
    }
}

/// One of the system's own VMs.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Unique. Request ids begin with it.
    pub name: String,
    /// Unique, and never given to another VM: the control group knows its voters by it.
    pub number: u32,
    /// Where it stands.
    pub availability_zone: String,
    /// Where its entry process hears our other processes, if it runs one.
    #[serde(default, deserialize_with = "address::optional")]
    pub entry: Option<net::SocketAddr>,
    /// Where its control process hears our other processes, if it runs one.
    #[serde(default, deserialize_with = "address::optional")]
    pub control: Option<net::SocketAddr>,
    /// Where its control process hears operators, if it runs one.
    #[serde(default, deserialize_with = "address::optional")]
    pub operators: Option<net::SocketAddr>,
}

/// A plain service on offer under `/services/NAME/`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique. Letters, digits, `-`, `_` and `.`.
    pub name: String,
}

/// Someone who may see the system and change its rules.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The name that the history shows.
    pub name: String,
    /// SHA-256 of the token, in lower-case hexadecimal. The token itself is never in a file.
    pub token_sha256: String,
}

/// Bounds on claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Claims {
    /// How long a claim is kept after it is settled, in milliseconds.
    pub retention_ms: time::Millis,
    /// Claims that are kept at once; past it new ones are refused.
    pub max: usize,
    /// The largest answer that is kept with its claim, in bytes.
    pub answer_bytes: usize,
}

impl Default for Claims {
    fn default() -> Self {
        Self {
            retention_ms: time::Millis(24 * 60 * 60 * 1_000),
            max: 100_000,
            answer_bytes: 16 * 1024,
        }
    }
}

/// How long an entry process may trust its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Lease {
    /// The lease that a control process grants, in milliseconds.
    pub length_ms: time::Millis,
    /// Taken off it by the holder, since two clocks run at different speeds, in milliseconds.
    pub drift_margin_ms: time::Millis,
    /// Between two heartbeats of one process to another, in milliseconds.
    pub sync_interval_ms: time::Millis,
}

impl Default for Lease {
    fn default() -> Self {
        Self {
            length_ms: time::Millis(3_000),
            drift_margin_ms: time::Millis(300),
            sync_interval_ms: time::Millis(250),
        }
    }
}

/// The control group.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlGroup {
    /// The VMs whose control processes form the group at its very first start.
    pub initial_voters: Vec<String>,
    /// The least time without a leader's heartbeat after which a voter stands for election, in
    /// milliseconds.
    #[serde(default = "election_timeout")]
    pub election_timeout_ms: time::Millis,
    /// Between two heartbeats of the leader, in milliseconds.
    #[serde(default = "heartbeat")]
    pub heartbeat_ms: time::Millis,
    /// Log entries after which a snapshot replaces them.
    #[serde(default = "snapshot_after")]
    pub snapshot_after: u64,
}

impl Default for ControlGroup {
    fn default() -> Self {
        Self {
            initial_voters: Vec::new(),
            election_timeout_ms: election_timeout(),
            heartbeat_ms: heartbeat(),
            snapshot_after: snapshot_after(),
        }
    }
}

fn election_timeout() -> time::Millis {
    time::Millis(1_000)
}

fn heartbeat() -> time::Millis {
    time::Millis(150)
}

fn snapshot_after() -> u64 {
    1_000
}
