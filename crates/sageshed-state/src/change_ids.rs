//! Remembers change ids, so that a change that is sent again is not applied again.
//!
//! The memory is bounded by count, oldest first out. A resend that comes after so many later
//! changes is taken for a new one; for rules it is then refused as a conflict, since its base
//! revision is no longer the newest.

use std::collections;

use serde::{Deserialize, Serialize};
use sha2::Digest as _;

/// SHA-256 of a change's content.
///
/// A digest of fixed definition, since replicas of different builds must agree and the hashers of
/// the standard library may change between releases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentDigest([u8; 32]);

impl ContentDigest {
    /// The digest of `content` in the codec of this package.
    ///
    /// # Panics
    ///
    /// If `content` holds what the codec cannot write; no type of this package does.
    #[must_use]
    pub fn of<T: Serialize>(content: &T) -> Self {
        let bytes = rmp_serde::to_vec_named(content).expect("the codec writes every content");
        Self(sha2::Sha256::digest(bytes).into())
    }
}

/// What is known of a change id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seen<V> {
    /// Not remembered.
    New,
    /// It came with the same content, and this came of it.
    Same(V),
    /// It came with other content, and this came of that.
    Other(V),
}

/// Change ids with the digest of their content and what came of them.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChangeIds<V> {
    bound: usize,
    by_id: collections::BTreeMap<String, (ContentDigest, V)>,
    oldest_first: collections::VecDeque<String>,
}

impl<V: Copy> ChangeIds<V> {
    /// An empty memory of at most `bound` ids.
    #[must_use]
    pub fn new(bound: usize) -> Self {
        Self {
            bound,
            by_id: collections::BTreeMap::new(),
            oldest_first: collections::VecDeque::new(),
        }
    }

    /// What is known of `id`.
    #[must_use]
    pub fn seen(&self, id: &str, content: ContentDigest) -> Seen<V> {
        match self.by_id.get(id) {
            None => Seen::New,
            Some((first, value)) if *first == content => Seen::Same(*value),
            Some((_, value)) => Seen::Other(*value),
        }
    }

    /// Remembers `id`, which must be new, and forgets the oldest past the bound.
    pub fn remember(&mut self, id: &str, content: ContentDigest, value: V) {
        self.by_id.insert(id.to_owned(), (content, value));
        self.oldest_first.push_back(id.to_owned());
        while self.oldest_first.len() > self.bound {
            if let Some(oldest) = self.oldest_first.pop_front() {
                self.by_id.remove(&oldest);
            }
        }
    }
}
