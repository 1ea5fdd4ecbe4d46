//! Interned names: each distinct name gets a small `Copy` key.
//!
//! Processes exchange names as strings, since each process interns names in its own order. Inside a
//! process the request path handles only keys, so that comparing two models compares two `u32`.

use std::{collections, fmt, hash, marker};

/// A typed index of an interned name.
pub trait Key: Copy + Eq + hash::Hash + fmt::Debug {
    /// Converts a position in the interner to a key.
    fn from_index(index: usize) -> Self;

    /// The position in the interner.
    fn index(self) -> usize;
}

/// Declares key types, one for each kind of named object.
macro_rules! keys {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u32);

        impl Key for $name {
            fn from_index(index: usize) -> Self {
                Self(u32::try_from(index).expect("an interner holds fewer than 2^32 names"))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    )*};
}

keys! {
    /// A model or an adapter: a request names either in its `model` member.
    ModelKey,
    /// A plain service.
    ServiceKey,
    /// An endpoint: a model engine, or one instance of a plain service.
    EndpointKey,
    /// A pool of engines.
    PoolKey,
    /// An availability zone.
    ZoneKey,
    /// A caller, identified by its bearer token.
    CallerKey,
    /// A class of requests.
    ClassKey,
}

/// Assigns keys to distinct names, in the order in which they are added.
#[derive(Debug, Clone)]
pub struct Interner<K> {
    by_index: Vec<String>,
    keys: collections::HashMap<String, u32>,
    kind: marker::PhantomData<K>,
}

impl<K> Default for Interner<K> {
    fn default() -> Self {
        Self {
            by_index: Vec::new(),
            keys: collections::HashMap::new(),
            kind: marker::PhantomData,
        }
    }
}

impl<K: Key> Interner<K> {
    /// The key of `name`, which is added if it is new.
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(key) = self.get(name) {
            return key;
        }
        let key = K::from_index(self.by_index.len());
        self.by_index.push(name.to_owned());
        self.keys.insert(
            name.to_owned(),
            u32::try_from(key.index()).unwrap_or(u32::MAX),
        );
        key
    }

    /// The key of `name`, if it was added before.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<K> {
        self.keys
            .get(name)
            .map(|index| K::from_index(*index as usize))
    }

    /// The name of `key`, which must come from this interner.
    #[must_use]
    pub fn name(&self, key: K) -> &str {
        &self.by_index[key.index()]
    }

    /// The number of names.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_index.len()
    }

    /// Whether no name was added yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_index.is_empty()
    }

    /// All keys with their names, in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = (K, &str)> {
        self.by_index
            .iter()
            .enumerate()
            .map(|(i, name)| (K::from_index(i), name.as_str()))
    }
}
