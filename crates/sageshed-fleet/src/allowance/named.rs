//! Terms that processes tell each other with their questions.

use std::collections;

use sageshed_types::time;

use super::{Key, Named, Terms};

/// How long terms are kept that nobody asks by. Longer than any time to come back that an answer tells.
const TTL: time::Millis = time::Millis(15_000);

/// Terms that are kept at most: one process keeps them for few of ten thousand endpoints, and anybody can send a
/// datagram.
const MAX_ENTRIES: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Entry {
    terms: Terms,
    /// When an endpoint named them.
    heard_at: time::Instant,
    /// When they were told here last.
    used_at: time::Instant,
}

/// Terms by allowance, the newest that were heard of each.
#[derive(Debug, Clone, Default)]
pub(super) struct NamedTerms {
    by_key: collections::HashMap<Key, Entry>,
}

impl NamedTerms {
    /// Takes what another process tells. What it heard before the terms that are known is older, and changes
    /// nothing.
    pub(super) fn learn(&mut self, now: time::Instant, of: Key, named: &Named) {
        if !named.terms.are_sound() {
            return;
        }
        let heard_at = time::Instant(now.0.saturating_sub(named.age.0));
        if let Some(entry) = self.by_key.get_mut(&of) {
            entry.used_at = now;
            if heard_at >= entry.heard_at {
                entry.heard_at = heard_at;
                entry.terms = named.terms;
            }
            return;
        }
        if self.by_key.len() >= MAX_ENTRIES {
            self.remove_oldest();
        }
        let entry = Entry {
            terms: named.terms,
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

    pub(super) fn get(&self, of: Key) -> Option<Terms> {
        self.by_key.get(&of).map(|it| it.terms)
    }

    /// What to tell others of it.
    pub(super) fn to_named(&self, now: time::Instant, of: Key) -> Option<Named> {
        let entry = self.by_key.get(&of)?;
        Some(Named {
            terms: entry.terms,
            age: now.since(entry.heard_at),
        })
    }

    /// Forgets what nobody has asked by for long. Returns whether that was any.
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
