//! What is offered: models, adapters, services, classes and callers, as the settings name them.

use serde::{Deserialize, Serialize};

use crate::time;

/// A model or an adapter on offer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name that callers use.
    pub name: String,
    /// For an adapter: the model it sits on. It can serve only where that model is resident.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<String>,
    /// The version wanted; raising it replaces the resident one.
    #[serde(default = "first_version")]
    pub version: u32,
    /// Accelerator memory that it takes, in MiB.
    pub memory_mib: u64,
    /// The pools whose engines may hold it; empty: any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pools: Vec<String>,
    /// Loaded before others and never without a route for the sake of others.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub critical: bool,
    /// Time to load it at the store's full speed, in milliseconds.
    #[serde(default = "default_load")]
    pub load_ms: time::Millis,
}

fn first_version() -> u32 {
    1
}

fn default_load() -> time::Millis {
    time::Millis(5_000)
}

/// A class of requests: how urgent they are and how long they may take.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name in the `Sageshed-Class` header.
    pub name: String,
    /// 0 is the least urgent, 9 the most.
    #[serde(default)]
    pub priority: u8,
    /// Time that a request has when neither it nor a rule says, in milliseconds.
    pub deadline_ms: time::Millis,
    /// How many requests may wait in one entry process.
    #[serde(default = "default_queue")]
    pub queue: u32,
}

fn default_queue() -> u32 {
    64
}

/// A caller, known by its bearer token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// The name that rules, metrics and accounts use.
    pub name: String,
    /// SHA-256 of the token, in lower-case hexadecimal. The token itself is never in a file.
    pub token_sha256: String,
    /// The class of a request that names none.
    pub class: String,
    /// Requests a second over all entry processes; none: no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
    /// Requests that may come at once after a pause.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub burst: Option<f64>,
}
