//! A fixed-size bit set.

/// A set of numbers below a fixed size.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BitSet {
    words: Vec<u64>,
}

impl BitSet {
    /// Creates an empty set for numbers below `len`.
    #[must_use]
    pub fn empty(len: usize) -> Self {
        Self {
            words: vec![0; len.div_ceil(64)],
        }
    }

    /// Adds a number. Numbers beyond the size are ignored.
    pub fn insert(&mut self, index: usize) {
        if let Some(word) = self.words.get_mut(index / 64) {
            *word |= 1 << (index % 64);
        }
    }

    /// Whether the number is in the set.
    #[must_use]
    pub fn contains(&self, index: usize) -> bool {
        self.words
            .get(index / 64)
            .is_some_and(|word| word & (1 << (index % 64)) != 0)
    }

    /// Whether the set is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.words.iter().all(|word| *word == 0)
    }

    /// Whether this set is a superset of `other`.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        let pairs = self.words.iter().zip(&other.words);
        pairs.into_iter().all(|(own, other)| other & !own == 0)
    }

    /// The words of the set, 64 members each, the lowest first.
    #[must_use]
    pub fn words(&self) -> &[u64] {
        &self.words
    }
}
