//! The state of a node without its clock.

use std::{collections, sync::Arc};

use crate::{entries, log, restart};

/// All of a node but its settings, timers and generator.
///
/// Two nodes with equal states answer equal timer events, messages and requests alike as long as no
/// time passes. A model checker that always gives the same instant and raises the timer events
/// itself can therefore tell states apart by this.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    pub(crate) hard: log::HardState,
    pub(crate) log: entries::Entries,
    /// The latest snapshot, for peers that lack what it covers. It ends at the log's base.
    pub(crate) snapshot: Option<Arc<log::Snapshot>>,
    pub(crate) commit: log::Index,
    pub(crate) role: Role,
    pub(crate) leader: Option<log::NodeId>,
    /// A leader may count on this node not to vote until an election timeout after it was heard.
    pub(crate) heard_leader: bool,
    /// What matters still of the term in which it was stopped.
    pub(crate) start: restart::Start,
    /// Others have said that this node was removed. It asks for no votes until a leader turns up.
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

/// What only a leader knows.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Leader {
    /// Every other member.
    pub(crate) peers: collections::BTreeMap<log::NodeId, Peer>,
    /// The latest round of heartbeats.
    pub(crate) round: u64,
    /// The entry with which the term began.
    pub(crate) term_start: log::Index,
    /// Reads that wait for a round, oldest first.
    pub(crate) reads: collections::VecDeque<Read>,
}

/// How far a leader has got with one peer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Peer {
    /// The last entry known to be on its disk.
    pub(crate) matched: log::Index,
    /// The next entry to send; those between are under way.
    pub(crate) next: log::Index,
    /// Where the logs part is not known, so one message at a time.
    pub(crate) probing: bool,
    /// A snapshot is under way; rejections are answers to what went before it.
    pub(crate) snapshot: bool,
    /// Appends under way, at most: a doubled answer counts twice.
    pub(crate) in_flight: u32,
    /// Heartbeats since the last progress while something is under way.
    pub(crate) unanswered: u32,
    /// The latest round of heartbeats it has answered.
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

    /// Whether something was sent that it has not acknowledged.
    ///
    /// The count of appends under way doesn't tell: if an append is lost and an earlier answer
    /// comes twice, the count is zero, and the peer would lack that append for as long as nothing
    /// new is proposed.
    pub(crate) fn awaits_answer(&self) -> bool {
        self.next > self.matched.next()
    }

    /// Forgets what is under way and goes on at `next`.
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
    /// The round that has to be answered; none before the step in which it came is over.
    pub(crate) round: Option<u64>,
}
