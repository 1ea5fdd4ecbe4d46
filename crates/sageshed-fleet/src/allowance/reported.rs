//! Limits that were reported by endpoints, as passed on between processes.

use std::collections;

use sageshed_types::time;

use super::{Key, RateLimit, ReportedLimit};

/// How long a limit is kept that no message refers to. Longer than any retry delay in a reply.
const TTL: time::Millis = time::Millis(15_000);

/// Limits that are kept. One process coordinates those of a few among ten thousand endpoints, but anybody
/// can send a datagram.
const MAX_ENTRIES: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Entry {
    limit: RateLimit,
    /// When an endpoint reported the limit.
    heard_at: time::Instant,
    /// When a message last referred to it.
    used_at: time::Instant,
}

/// The latest reported limit of each allowance.
#[derive(Debug, Clone, Default)]
pub(super) struct ReportedLimits {
    by_key: collections::HashMap<Key, Entry>,
}

impl ReportedLimits {
    /// Records a limit that another process passed on. It is ignored if it was reported before the one that
    /// is known.
    pub(super) fn learn(&mut self, now: time::Instant, of: Key, reported: &ReportedLimit) {
        if !reported.limit.is_valid() {
            return;
        }
        let heard_at = time::Instant(now.0.saturating_sub(reported.age.0));
        if let Some(entry) = self.by_key.get_mut(&of) {
            entry.used_at = now;
            if heard_at >= entry.heard_at {
                entry.heard_at = heard_at;
                entry.limit = reported.limit;
            }
            return;
        }
        if self.by_key.len() >= MAX_ENTRIES {
            self.remove_oldest();
        }
        let entry = Entry {
            limit: reported.limit,
            heard_at,
            used_at: now,
        };
        self.by_key.insert(of, entry);
    }

    fn remove_oldest(&mut self) {
        let oldest = self.by_key.iter().min_by_key(|(_, it)| it.used_at);
        if let Some(key) = oldest.map(|(key, _)| *key) {
            self.by_key.remove(&key);
        }
    }

    pub(super) fn get(&self, of: Key) -> Option<RateLimit> {
        self.by_key.get(&of).map(|it| it.limit)
    }

    /// The limit in the form that is passed on.
    pub(super) fn to_reported(&self, now: time::Instant, of: Key) -> Option<ReportedLimit> {
        let entry = self.by_key.get(&of)?;
        Some(ReportedLimit {
            limit: entry.limit,
            age: now.since(entry.heard_at),
        })
    }

    /// Removes limits that no message has referred to for long. Returns whether there were any.
    pub(super) fn expire(&mut self, now: time::Instant) -> bool {
        let before = self.by_key.len();
        self.by_key.retain(|_, it| now.since(it.used_at) < TTL);
        self.by_key.len() < before
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = Key> {
        self.by_key.keys().copied()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }
}
