//! Models, adapters, classes and callers, as the settings define them.

use serde::{Deserialize, Serialize};

use crate::time;

/// A model or an adapter that callers may request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name that callers use.
    pub name: String,
    /// For an adapter: its base model. It can serve only where that model is resident.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<String>,
    /// The version to serve. Raising it replaces the resident version.
    #[serde(default = "first_version")]
    pub version: u32,
    /// Accelerator memory that it occupies, in MiB.
    pub memory_mib: u64,
    /// The pools whose engines may hold it. Empty: all pools.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pools: Vec<String>,
    /// Whether it is loaded before other models and never left without an engine in favour of them.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub critical: bool,
    /// Time to load it at the model store's full bandwidth, in milliseconds.
    #[serde(default = "default_load")]
    pub load_ms: time::Millis,
}

fn first_version() -> u32 {
    1
}

fn default_load() -> time::Millis {
    time::Millis(5_000)
}

/// A class of requests with the same priority and deadline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name, as given in the `Sageshed-Class` header.
    pub name: String,
    /// 0 is the least urgent, 9 the most.
    #[serde(default)]
    pub priority: u8,
    /// The deadline of a request if neither the request nor a rule sets one, in milliseconds after its arrival.
    pub deadline_ms: time::Millis,
    /// How many requests may be queued in one entry process.
    #[serde(default = "default_queue")]
    pub queue: u32,
}

fn default_queue() -> u32 {
    64
}

/// A caller, identified by its bearer token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// The name used in rules, metrics and records of requests.
    pub name: String,
    /// SHA-256 of the token, in lower-case hexadecimal. The token itself is never stored in a file.
    pub token_sha256: String,
    /// The class of a request that names none.
    pub class: String,
    /// Requests per second over all entry processes. None: unlimited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
    /// The capacity of the caller's token bucket, in requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub burst: Option<f64>,
}
