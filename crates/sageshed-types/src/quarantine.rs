//! Requests that have ended endpoints, as the control group keeps them.

use serde::{Deserialize, Serialize};

/// A request that is passed on no more.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Held {
    /// What it asks, by its fingerprint.
    pub content: u64,
    /// The starts of endpoints that have ended under it, by their short names.
    pub endpoints: Vec<u64>,
}
