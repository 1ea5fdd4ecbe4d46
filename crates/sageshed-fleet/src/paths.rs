//! Which endpoints this process can open connections to.
//!
//! An entry VM can lose its network paths to endpoints while callers, control processes and other entry VMs still reach
//! it. A failed connection alone does not tell such a loss from a failed endpoint: what tells them apart is whether
//! other endpoints can be connected to, and whether other entry processes reach the same endpoint.

use std::{collections, net};

use sageshed_types::time::{Instant, Millis};

/// How long a failed connection is remembered if the endpoint is not tried again, for example because it has ended.
const FAILURE_TTL: Millis = Millis(30_000);

/// Failed connections to one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FailedPath {
    since: Instant,
    latest: Instant,
}

/// The endpoints that can't be connected to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PathStatus {
    /// Their number.
    pub failing: usize,
    /// The time since a new connection to any endpoint was opened; none if there has been none.
    pub since_connected: Option<Millis>,
}

/// The outcomes of this process's latest attempts to open connections, by endpoint address.
#[derive(Debug, Default)]
pub struct PathTable {
    failed: collections::HashMap<net::SocketAddrV4, FailedPath>,
    connected_at: Option<Instant>,
}

impl PathTable {
    /// Records that a new connection to `endpoint` was opened. Returns for how long none could be opened, if the latest
    /// attempt had failed.
    pub fn record_connected(
        &mut self,
        now: Instant,
        endpoint: net::SocketAddrV4,
    ) -> Option<Millis> {
        self.connected_at = Some(now);
        let failed = self.failed.remove(&endpoint)?;
        Some(now.since(failed.since))
    }

    /// Records that no connection to `endpoint` could be opened. Returns whether it could be at the latest attempt.
    pub fn record_failed(&mut self, now: Instant, endpoint: net::SocketAddrV4) -> bool {
        self.failed
            .retain(|_, it| now.since(it.latest) < FAILURE_TTL);
        let first = FailedPath {
            since: now,
            latest: now,
        };
        let failed = self.failed.entry(endpoint).or_insert(first);
        failed.latest = now;
        failed.since == now
    }

    /// The endpoints that can't be connected to.
    #[must_use]
    pub fn status(&self, now: Instant) -> PathStatus {
        PathStatus {
            failing: self.failed.len(),
            since_connected: self.connected_at.map(|it| now.since(it)),
        }
    }
}
