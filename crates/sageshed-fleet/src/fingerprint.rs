//! Identifies requests with the same content.
//!
//! A caller that retries a request gives the new attempt another id, and the load balancer may send it to
//! another entry process. What stays the same is the content: method, host, path, query and body. Headers
//! are left out, since they include the id and the remaining time.

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
    quarantine::Fingerprint(entry_peers::hash(&(method, host, path, query, body)))
}
