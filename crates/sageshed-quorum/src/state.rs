//! The state of a node, without settings and timers.

use std::{collections, sync::Arc};

use crate::{entries, log, restart};

/// The state of a node except its settings, timers and random number generator.
///
/// As long as no time passes, two nodes with equal states respond equally to equal timer events,
/// messages and requests. So a model checker that always passes the same instant and raises the timer
/// events itself can compare nodes by this state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    pub(crate) hard: log::HardState,
    pub(crate) log: entries::Entries,
    /// The latest snapshot, for peers that lack entries which it covers. Its last entry is the log's base.
    pub(crate) snapshot: Option<Arc<log::Snapshot>>,
    pub(crate) commit: log::Index,
    pub(crate) role: Role,
    pub(crate) leader: Option<log::NodeId>,
    /// Whether a leader may rely on this node not to vote until an election timeout after the last message
    /// of the leader.
    pub(crate) heard_leader: bool,
    /// What the node still has to settle after a restart about the term in which it stopped.
    pub(crate) restart: restart::RestartState,
    /// Whether another node has reported that this node was removed. It does not campaign until it hears
    /// from a leader.
    pub(crate) removed: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum Role {
    Follower,
    PreCandidate {
        granted: collections::BTreeSet<log::NodeId>,
    },
    Candidate {
        granted: collections::BTreeSet<log::NodeId>,
    },
    Leader(Leader),
}

/// The state of a leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Leader {
    /// The replication progress of all other members.
    pub(crate) peers: collections::BTreeMap<log::NodeId, Peer>,
    /// The number of the latest round of heartbeats.
    pub(crate) round: u64,
    /// The index of the first entry of the leader's term.
    pub(crate) term_start: log::Index,
    /// Reads that wait for a round of heartbeats, oldest first.
    pub(crate) reads: collections::VecDeque<Read>,
}

/// The replication progress of one peer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Peer {
    /// The last entry known to be on its disk.
    pub(crate) matched: log::Index,
    /// The next entry to send. The entries between `matched` and this one are in flight.
    pub(crate) next: log::Index,
    /// Whether it is unknown up to where the logs agree. Only one message at a time is sent then.
    pub(crate) probing: bool,
    /// Whether a snapshot is in flight. Rejections are replies to earlier messages then.
    pub(crate) snapshot: bool,
    /// The number of appends in flight, as counted by the replies. A duplicated reply counts twice.
    pub(crate) in_flight: u32,
    /// The number of heartbeats since the last progress while something is in flight.
    pub(crate) unanswered: u32,
    /// The latest round of heartbeats that the peer has answered.
    pub(crate) round: u64,
}

impl Peer {
    pub(crate) fn new(next: log::Index) -> Self {
        Self {
            matched: log::Index::default(),
            next,
            probing: true,
            snapshot: false,
            in_flight: 0,
            unanswered: 0,
            round: 0,
        }
    }

    /// Whether the peer has not acknowledged everything that was sent to it.
    ///
    /// `in_flight` does not tell that: if an append is lost and an earlier reply is duplicated, the count
    /// is zero, and the peer would lack the append until something new is proposed.
    pub(crate) fn has_unacknowledged(&self) -> bool {
        self.next > self.matched.next()
    }

    /// Discards what is in flight and continues at `next`.
    pub(crate) fn restart_at(&mut self, next: log::Index) {
        self.next = next;
        self.probing = true;
        self.snapshot = false;
        self.in_flight = 0;
        self.unanswered = 0;
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Read {
    pub(crate) correlation_id: u64,
    pub(crate) index: log::Index,
    /// The round of heartbeats that has to be answered. None until the end of the step in which the read
    /// arrived.
    pub(crate) round: Option<u64>,
}
