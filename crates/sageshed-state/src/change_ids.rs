//! A bounded record of change ids, so that a change that is sent again is not applied again.
//!
//! When the record is full, the oldest id is removed. A change sent again after its id was removed is
//! treated as a new one. A change of the rules is then refused as a conflict, since its base revision
//! is no longer the newest.

use std::collections;

use serde::{Deserialize, Serialize};
use sha2::Digest as _;

/// SHA-256 of a change's content.
///
/// The hashers of the standard library are not used, since they may change between releases and
/// replicas of different builds must compute the same digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentDigest([u8; 32]);

impl ContentDigest {
    /// The digest of `content` as encoded by rmp-serde with named fields.
    ///
    /// # Panics
    ///
    /// Panics if `content` cannot be encoded, which is the case for no type of this package.
    #[must_use]
    pub fn of<T: Serialize>(content: &T) -> Self {
        let bytes = rmp_serde::to_vec_named(content).expect("all contents can be encoded");
        Self(sha2::Sha256::digest(bytes).into())
    }
}

/// The result of looking up a change id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeIdLookup<V> {
    /// The id is not recorded.
    New,
    /// The id is recorded with the same content and this result.
    Same(V),
    /// The id is recorded with other content and this result.
    Other(V),
}

/// The most recent change ids, each with the digest of its content and the result of the change.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChangeIds<V> {
    bound: usize,
    by_id: collections::BTreeMap<String, (ContentDigest, V)>,
    oldest_first: collections::VecDeque<String>,
}

impl<V: Copy> ChangeIds<V> {
    /// An empty record of at most `bound` ids.
    #[must_use]
    pub fn new(bound: usize) -> Self {
        Self {
            bound,
            by_id: collections::BTreeMap::new(),
            oldest_first: collections::VecDeque::new(),
        }
    }

    /// Looks up `id` and compares its content.
    #[must_use]
    pub fn lookup(&self, id: &str, content: ContentDigest) -> ChangeIdLookup<V> {
        match self.by_id.get(id) {
            None => ChangeIdLookup::New,
            Some((first, value)) if *first == content => ChangeIdLookup::Same(*value),
            Some((_, value)) => ChangeIdLookup::Other(*value),
        }
    }

    /// Records `id`, which must be new, and removes the oldest ids above the bound.
    pub fn insert(&mut self, id: &str, content: ContentDigest, value: V) {
        self.by_id.insert(id.to_owned(), (content, value));
        self.oldest_first.push_back(id.to_owned());
        while self.oldest_first.len() > self.bound {
            if let Some(oldest) = self.oldest_first.pop_front() {
                self.by_id.remove(&oldest);
            }
        }
    }
}
