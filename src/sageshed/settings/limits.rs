//! Bounds on what callers may send and hold.

use sageshed_types::time;
use serde::{Deserialize, Serialize};

/// Bounds on callers' requests at one entry process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The longest request head, in bytes.
    pub head_bytes: usize,
    /// The longest request body, in bytes.
    pub body_bytes: usize,
    /// Connections open at once, each with a thread of its own.
    pub connections: usize,
    /// From the first byte of a request to the end of its head, in milliseconds.
    pub head_timeout_ms: time::Millis,
    /// From the end of the head to the end of the body, in milliseconds.
    pub body_timeout_ms: time::Millis,
    /// How long a connection may wait for its next request, in milliseconds.
    pub idle_timeout_ms: time::Millis,
    /// How long a caller may leave an answer unread before it counts as gone, in milliseconds.
    pub write_timeout_ms: time::Millis,
    /// The longest time a request may ask for, in milliseconds.
    pub longest_deadline_ms: time::Millis,
    /// The longest answer taken from an endpoint that is not streamed, in bytes.
    pub answer_bytes: usize,
    /// Accounts of past requests that are kept for `sageshed explain`.
    pub accounts: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 32 * 1024,
            body_bytes: 4 * 1024 * 1024,
            connections: 512,
            head_timeout_ms: time::Millis(5_000),
            body_timeout_ms: time::Millis(15_000),
            idle_timeout_ms: time::Millis(30_000),
            write_timeout_ms: time::Millis(15_000),
            longest_deadline_ms: time::Millis(300_000),
            answer_bytes: 16 * 1024 * 1024,
            accounts: 20_000,
        }
    }
}

impl Limits {
    /// These limits with those keys replaced that `changes` has.
    pub(super) fn changed(self, changes: &toml::Table) -> Result<Self, toml::de::Error> {
        let mut table = match toml::Value::try_from(self) {
            Ok(toml::Value::Table(table)) => table,
            _ => toml::Table::new(),
        };
        table.extend(changes.clone());
        toml::Value::Table(table).try_into()
    }
}
