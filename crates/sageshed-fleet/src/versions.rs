//! For how long a process has been behind the newest configuration.

use std::collections;

use sageshed_types::time;

/// Maximum number of versions that are remembered. A process that holds an older version than all of them counts as
/// behind since the oldest of them.
const MAX_VERSIONS: usize = 256;

/// When each of the latest versions became known.
#[derive(Debug, Default)]
pub struct VersionHistory {
    known: collections::VecDeque<(u64, time::Instant)>,
}

impl VersionHistory {
    /// Notes that a version exists. A version older than the newest has no effect.
    pub fn note(&mut self, now: time::Instant, version: u64) {
        if version <= self.newest() {
            return;
        }
        if self.known.len() == MAX_VERSIONS {
            self.known.pop_front();
        }
        self.known.push_back((version, now));
    }

    /// The newest version; zero if none is known.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.known.back().map_or(0, |(version, _)| *version)
    }

    /// For how long a newer version than `held` has been known; none if `held` is the newest.
    #[must_use]
    pub fn behind(&self, now: time::Instant, held: u64) -> Option<time::Millis> {
        let first = self.known.partition_point(|(version, _)| *version <= held);
        let (_, since) = self.known.get(first)?;
        Some(now.since(*since))
    }
}
