//! Tells whether two requests are the same but for the id of the try.
//!
//! A caller that sends a request again gives the new try another id, and the balancer another entry process.
//! What stays is what it asks: method, host, path, query and body. Headers are left out, since the id and what
//! is left of the time are among them.

use sageshed_types::quarantine;

use crate::neighbours;

/// The fingerprint of a request for `path`, still percent-encoded, at `host`.
#[must_use]
pub fn of(
    method: &str,
    host: &str,
    path: &str,
    query: Option<&str>,
    body: &[u8],
) -> quarantine::Fingerprint {
    quarantine::Fingerprint(neighbours::hash(&(method, host, path, query, body)))
}
