//! The settings of one process: its own file, with the common file beside them.

use std::{net, path};

use sageshed_types::time;
use serde::Deserialize;

use super::{Common, Limits, address};

/// The settings of an entry process, checked.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Where they were read from.
    pub file: path::PathBuf,
    /// The VM that it runs on.
    pub vm: super::Vm,
    /// What all VMs share.
    pub common: Common,
    /// Its ports.
    pub listen: EntryListen,
    /// What it logs.
    pub log: Log,
    /// How it stops.
    pub shutdown: Shutdown,
    /// The common limits with this file's changes.
    pub limits: Limits,
}

/// The settings of a control process, checked.
#[derive(Debug, Clone)]
pub struct Control {
    /// Where they were read from.
    pub file: path::PathBuf,
    /// The VM that it runs on.
    pub vm: super::Vm,
    /// What all VMs share.
    pub common: Common,
    /// Its ports.
    pub listen: ControlListen,
    /// The folder of its own state. A relative one starts from the folder of the settings file.
    pub data: path::PathBuf,
    /// What it logs.
    pub log: Log,
}

/// The ports of an entry process. Port 0 lets the system choose one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryListen {
    /// Hears callers.
    #[serde(deserialize_with = "address::required")]
    pub callers: net::SocketAddr,
    /// Hears our other processes, and endpoints that announce themselves.
    #[serde(deserialize_with = "address::required")]
    pub vms: net::SocketAddr,
}

/// The ports of a control process. Port 0 lets the system choose one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlListen {
    /// Hears our other processes.
    #[serde(deserialize_with = "address::required")]
    pub vms: net::SocketAddr,
    /// Hears operators.
    #[serde(deserialize_with = "address::required")]
    pub operators: net::SocketAddr,
}

/// What a process logs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The least grave level that is written.
    pub level: Level,
    /// How a record looks.
    pub format: Format,
    /// Where records are appended; none: as `output` says. A relative one starts from the folder of
    /// the settings file.
    pub file: Option<path::PathBuf>,
    /// The stream that records go to where no file is named.
    pub output: Output,
}

/// A stream of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Output {
    /// Standard error.
    #[default]
    Stderr,
    /// Standard output.
    Stdout,
}

/// How grave a record is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Something failed and an operator should look.
    Error,
    /// Something is wrong that the system copes with.
    Warn,
    /// Starts, stops, changes.
    #[default]
    Info,
    /// Each request.
    Debug,
    /// Each step.
    Trace,
}

/// How a record looks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// A line for people.
    #[default]
    Text,
    /// A JSON object on a line.
    Json,
}

/// How an entry process stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Shutdown {
    /// How long new requests are still accepted after `/readyz` turns red, in milliseconds: the
    /// time that the balancer takes to notice.
    pub notice_ms: time::Millis,
    /// How long requests in flight may take after that, in milliseconds.
    pub longest_ms: time::Millis,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            notice_ms: time::Millis(5_000),
            longest_ms: time::Millis(300_000),
        }
    }
}
