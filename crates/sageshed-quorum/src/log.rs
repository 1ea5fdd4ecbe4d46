//! What a voter keeps on disk: terms, entries, memberships, snapshots and the writes that change
//! them.

use std::{collections, fmt};

use serde::{Deserialize, Serialize};

/// A voter or learner: a VM together with the generation of its disk.
///
/// A VM whose data folder is empty or damaged has forgotten its votes and entries. It comes back
/// under a generation that this VM has never used before, and so as another node, which no
/// membership contains yet. Without that it could vote again in a term in which it has voted, or
/// elect a leader that lacks what it had acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    /// The VM's number from the settings.
    pub vm: u32,
    /// The generation of its disk, never used twice on one VM.
    pub generation: u64,
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.vm, self.generation)
    }
}

/// The number of an election. At most one leader exists in each; zero comes before the first.
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

/// The position of an entry in the log. The first entry has index one; zero is before it.
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

/// The term and index of an entry, which together name its content and that of all before it.
///
/// Ordered by term first: the order in which logs are compared in an election.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The term whose leader appended the entry.
    pub term: Term,
    /// The index of the entry.
    pub index: Index,
}

/// What must be on disk before any message of a term goes out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term this node has seen.
    pub term: Term,
    /// The candidate that got this node's vote in that term.
    pub voted_for: Option<NodeId>,
}

/// The nodes that hold the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    /// Nodes that vote and whose acknowledgements count.
    pub voters: collections::BTreeSet<NodeId>,
    /// Nodes that receive the log without counting for anything.
    pub learners: collections::BTreeSet<NodeId>,
}

impl Membership {
    /// A membership of voters alone.
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

    /// How many voters make a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the voters for which `agrees` holds are a majority. Never so without voters.
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

/// What an entry carries.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryData {
    /// Nothing: the first entry of a leader, which lets it commit what earlier leaders left.
    Noop,
    /// A command for the state machine.
    Command(#[serde(with = "crate::bytes")] Vec<u8>),
    /// The membership in force from this entry on, committed or not.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Its place in the log.
    pub index: Index,
    /// The term whose leader appended it.
    pub term: Term,
    /// What it carries.
    pub data: EntryData,
}

impl Entry {
    /// Its term and index.
    #[must_use]
    pub fn position(&self) -> Position {
        Position {
            term: self.term,
            index: self.index,
        }
    }
}

/// The state machine after the entry at `index`, in place of the log up to there.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that the snapshot covers.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The membership in force at that entry.
    pub membership: Membership,
    /// The state machine, in its own encoding.
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

/// A change to what is on disk, carried out and synced as a whole before what depends on it.
///
/// The parts take effect in the order of the fields. A crash in between may leave any prefix of
/// that order: nothing was promised yet to anybody.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LogWrite {
    /// The new term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// Entries at and after this index go. There may be none. Before the snapshot, since entries
    /// that contradict a snapshot must never be found behind it after a crash.
    pub truncate_from: Option<Index>,
    /// A snapshot received from a leader: it replaces the one on disk, and entries up to and
    /// including its index go. Later ones stay.
    pub snapshot: Option<Snapshot>,
    /// Entries to append after that, without gaps.
    pub entries: Vec<Entry>,
}

impl LogWrite {
    /// Whether there is nothing to write.
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

/// What a node finds on its disk when it starts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PersistedState {
    /// The term and vote.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
    /// The membership in force before the first entry: that of the first start, the same on each
    /// first voter. Empty for a node that waits to be added. Unused where there is a snapshot.
    pub membership: Membership,
}
