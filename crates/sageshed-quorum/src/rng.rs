//! The random number generator for election timeouts.

use crate::log;

/// A `SplitMix64` generator (Steele, Lea and Flood, 2014): one word of state, and the same sequence for
/// the same seed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct SplitMix64(u64);

impl SplitMix64 {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// The generator of one node.
    ///
    /// Drivers use their start time as the seed. Processes that were killed together may start in the same
    /// millisecond. With the same sequence they would campaign at the same instants and split the vote
    /// repeatedly, so the node's id is mixed into the seed.
    pub(crate) fn of_node(id: log::NodeId, seed: u64) -> Self {
        let mut mixed = Self::new(u64::from(id.vm));
        let vm = mixed.below(u64::MAX);
        let mut mixed = Self::new(vm ^ id.generation);
        Self::new(seed ^ mixed.below(u64::MAX))
    }

    /// A random number below `bound`, which must not be zero.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut word = self.0;
        word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (word ^ (word >> 31)) % bound
    }
}
