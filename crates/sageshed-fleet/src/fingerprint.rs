//! Tells whether two requests are the same but for the id of the try.
//!
//! A caller that sends a request again gives the new try another id, and the balancer another entry process.
//! What stays is what it asks: method, host, path, query and body.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::neighbours;

/// Equal for requests that ask the same, and hardly ever for others.
///
/// Headers are left out, since the id and what is left of the time are among them. All processes of one build
/// find the same one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// The one of a request for `path`, still percent-encoded, at `host`.
    #[must_use]
    pub fn of(method: &str, host: &str, path: &str, query: Option<&str>, body: &[u8]) -> Self {
        Self(neighbours::hash(&(method, host, path, query, body)))
    }

    /// The one that was kept as this number.
    #[must_use]
    pub fn from_number(number: u64) -> Self {
        Self(number)
    }

    /// As a number, to be kept.
    #[must_use]
    pub fn number(self) -> u64 {
        self.0
    }
}
