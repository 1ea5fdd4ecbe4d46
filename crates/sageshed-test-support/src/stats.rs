//! What the stand-ins count.

use std::collections;

use serde::{Deserialize, Serialize};

/// The counts of one endpoint, over all its incarnations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its name.
    pub endpoint: String,
    /// Where it listens.
    pub address: String,
    /// Its present incarnation.
    pub incarnation: u64,
    /// Requests that came, refused ones included.
    pub requests: u64,
    /// Runs that began.
    pub runs: u64,
    /// Answers that were written whole.
    pub answered: u64,
    /// Streams that were resumed.
    pub resumed: u64,
    /// Runs that were cancelled.
    pub cancelled: u64,
    /// Tokens that were written.
    pub tokens: u64,
    /// Orders that were carried out.
    pub orders: u64,
    /// Orders that were refused.
    pub orders_refused: u64,
    /// Loads that ended.
    pub loads: u64,
    /// Unloads that ended.
    pub unloads: u64,
    /// Orders after which memory was past its bound.
    pub overcommits: u64,
    /// The most memory that was taken, in MiB.
    pub most_memory_mib: u64,
    /// Requests that came after it said that it leaves.
    pub after_leaving: u64,
    /// How often a request has made it crash.
    #[serde(default)]
    pub crashes: u64,
    /// How long after saying so the last of them came, in milliseconds.
    pub last_after_leaving_ms: Option<u64>,
}

/// The counts of all endpoints of one process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct All {
    /// Each endpoint.
    pub endpoints: Vec<Endpoint>,
    /// Request ids that ran more than once, over all endpoints, with their runs.
    pub request_ids_run_again: collections::BTreeMap<String, u64>,
    /// Idempotency keys that ran more than once, over all endpoints, with their runs.
    pub keys_run_again: collections::BTreeMap<String, u64>,
    /// How many idempotency keys ran.
    pub keys_run: u64,
}

/// Runs counted by what named them, over all endpoints.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    by_request: collections::HashMap<String, u64>,
    by_key: collections::HashMap<String, u64>,
}

impl Ledger {
    pub(crate) fn run(&mut self, request_id: &str, key: Option<&str>) {
        *self.by_request.entry(request_id.to_owned()).or_default() += 1;
        if let Some(key) = key {
            *self.by_key.entry(key.to_owned()).or_default() += 1;
        }
    }

    pub(crate) fn runs_of_request(&self, id: &str) -> u64 {
        self.by_request.get(id).copied().unwrap_or(0)
    }

    pub(crate) fn runs_of_key(&self, key: &str) -> u64 {
        self.by_key.get(key).copied().unwrap_or(0)
    }

    pub(crate) fn report(&self, endpoints: Vec<Endpoint>) -> All {
        All {
            endpoints,
            request_ids_run_again: again(&self.by_request),
            keys_run_again: again(&self.by_key),
            keys_run: self.by_key.len() as u64,
        }
    }
}

fn again(counts: &collections::HashMap<String, u64>) -> collections::BTreeMap<String, u64> {
    counts
        .iter()
        .filter(|(_, runs)| **runs > 1)
        .map(|(name, runs)| (name.clone(), *runs))
        .collect()
}
