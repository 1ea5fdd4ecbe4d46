//! Identifies requests with the same content.
//!
//! A caller that retries a request gives the new attempt another id, and the load balancer may send it to
//! another entry process. What stays the same is the content: method, host, path, query and body. Headers
//! are left out, since they include the id and the remaining time.

use std::hash::Hasher as _;

use sageshed_types::quarantine;

use crate::entry_peers;

/// The fingerprint of a request for `path`, still percent-encoded, at `host`.
#[must_use]
pub fn of(
    method: &str,
    host: &str,
    path: &str,
    query: Option<&str>,
    body: &[u8],
) -> quarantine::Fingerprint {
    quarantine::Fingerprint::of_request(entry_peers::hash(&(method, host, path, query, body)))
}

/// The fingerprint of the part of prompts with this id. It is the same in the prompts of all models.
#[must_use]
pub fn of_prompt_part(id: u64) -> quarantine::Fingerprint {
    quarantine::Fingerprint::of_prompt_part(entry_peers::hash(&("prompt part", id)))
}

/// A hash that is the same in all versions of this system's processes.
#[must_use]
pub fn stable_hash(fields: &[&str]) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    for field in fields {
        hasher.write(field.as_bytes());
        // Separates the fields: text does not contain this byte.
        hasher.write(&[0xff]);
    }
    hasher.finish()
}
