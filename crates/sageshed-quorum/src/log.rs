//! Persistent data of a node: terms, entries, memberships and snapshots, and the writes that change
//! them.

use std::{collections, fmt};

use serde::{Deserialize, Serialize};

/// Identifies a node by its VM and the generation of the VM's disk.
///
/// A VM whose data folder is empty or damaged has lost its votes and entries. It starts with a
/// generation that this VM has never used before, and thereby as a new node that is not in any
/// membership yet. Otherwise it could vote twice in one term, or elect a leader that lacks entries
/// which it had acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    /// The VM's number from the settings.
    pub vm: u32,
    /// The generation of the disk. Never reused on the same VM.
    pub generation: u64,
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.vm, self.generation)
    }
}

/// The number of an election. There is at most one leader in each term. Zero is before the first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl Term {
    /// The term after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The index of an entry in the log. The first entry has index one, zero is before it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Index(pub u64);

impl Index {
    /// The index after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The index before this one, or zero.
    #[must_use]
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

impl fmt::Display for Index {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The term and index of an entry, which together identify its content and that of all entries before
/// it.
///
/// Ordered by term first, which is the order in which logs are compared in an election.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The term whose leader appended the entry.
    pub term: Term,
    /// The index of the entry.
    pub index: Index,
}

/// The term and vote, which must be on disk before any message of the term is sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term that this node has seen.
    pub term: Term,
    /// The candidate that this node voted for in that term, or the term's leader.
    pub voted_for: Option<NodeId>,
}

/// The nodes that replicate the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    /// Nodes that vote and whose acknowledgements count.
    pub voters: collections::BTreeSet<NodeId>,
    /// Nodes that receive the log but neither vote nor count for a majority.
    pub learners: collections::BTreeSet<NodeId>,
}

impl Membership {
    /// A membership without learners.
    #[must_use]
    pub fn of_voters(voters: impl IntoIterator<Item = NodeId>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            learners: collections::BTreeSet::new(),
        }
    }

    /// Whether `id` is a voter or a learner.
    #[must_use]
    pub fn contains(&self, id: NodeId) -> bool {
        self.voters.contains(&id) || self.learners.contains(&id)
    }

    /// The number of voters in a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the voters for which `agrees` returns true are a majority. False if there are no voters.
    #[must_use]
    pub fn has_majority(&self, agrees: impl Fn(NodeId) -> bool) -> bool {
        let count = self.voters.iter().filter(|id| agrees(**id)).count();
        count >= self.majority()
    }

    /// All voters, then all learners.
    pub fn members(&self) -> impl Iterator<Item = NodeId> {
        self.voters.iter().chain(&self.learners).copied()
    }
}

/// The content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryData {
    /// Nothing. The first entry of a leader, which allows it to commit the entries of earlier leaders.
    Noop,
    /// A command for the state machine.
    Command(#[serde(with = "crate::bytes")] Vec<u8>),
    /// The membership in force from this entry on, committed or not.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The index in the log.
    pub index: Index,
    /// The term whose leader appended the entry.
    pub term: Term,
    /// The content.
    pub data: EntryData,
}

impl Entry {
    /// The term and index of the entry.
    #[must_use]
    pub fn position(&self) -> Position {
        Position {
            term: self.term,
            index: self.index,
        }
    }
}

/// The state machine after the entry at `index`, which replaces the log up to that entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry that the snapshot covers.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The membership in force at that entry.
    pub membership: Membership,
    /// The encoded state machine.
    #[serde(with = "crate::bytes")]
    pub data: Vec<u8>,
}

impl Snapshot {
    /// The term and index of the last entry covered.
    #[must_use]
    pub fn position(&self) -> Position {
        Position {
            term: self.term,
            index: self.index,
        }
    }
}

/// A write to the persistent state. It is carried out and synced completely before any action that
/// depends on it.
///
/// The parts take effect in the order of the fields. A crash may leave any prefix of that order, which
/// is safe since nothing was acknowledged yet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LogWrite {
    /// The new term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// Deletes the entries at and after this index, if there are any. Comes before the snapshot, since
    /// entries that contradict a snapshot must not be found after it when the process crashes in between.
    pub truncate_from: Option<Index>,
    /// A snapshot received from a leader. It replaces the one on disk, and entries up to and including its
    /// index are deleted. Later entries stay.
    pub snapshot: Option<Snapshot>,
    /// Entries to append after that, without gaps.
    pub entries: Vec<Entry>,
}

impl LogWrite {
    /// Whether the write changes nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        let Self {
            hard_state,
            snapshot,
            truncate_from,
            entries,
        } = self;
        hard_state.is_none() && truncate_from.is_none() && snapshot.is_none() && entries.is_empty()
    }
}

/// The persistent state of a node, as read from disk when it starts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PersistedState {
    /// The term and vote.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
    /// The membership before the first entry: that with which the group was formed, the same on each of
    /// its first voters. Empty for a node that waits to be added. Unused if there is a snapshot.
    pub membership: Membership,
}
