//! Messages between nodes.

use sageshed_types::time;
use serde::{Deserialize, Serialize};

use crate::log;

/// A message to one node.
///
/// The sender is not part of it: the driver knows from whom it came, by VM and generation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// For whom it is. Another generation of the same VM drops it: a heartbeat, say, tells the old
    /// generation to commit what that one holds, which the new one may hold otherwise.
    pub to: log::NodeId,
    /// The sender's term.
    pub term: log::Term,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Would you vote for me in the term after mine?
    PreVote(Candidacy),
    /// The answer to [`Body::PreVote`].
    PreVoteReply {
        /// Whether it would.
        granted: bool,
        /// The membership that the sender knows to be committed is later than the candidate's and
        /// lacks the candidate, which should stop asking.
        removed: bool,
    },
    /// Vote for me in this term.
    Vote(Candidacy),
    /// The answer to [`Body::Vote`].
    VoteReply {
        /// Whether the sender has voted for the candidate in this term.
        granted: bool,
    },
    /// Entries to append.
    Append {
        /// The entry just before them.
        prev: log::Position,
        /// The entries, without gaps.
        entries: Vec<log::Entry>,
        /// The last entry that the leader knows to be committed.
        commit: log::Index,
    },
    /// The log up to here is on the sender's disk as it is on the leader's.
    Accepted {
        /// The last entry known to agree.
        matched: log::Index,
    },
    /// The entry before those of an append is not in the sender's log.
    Rejected {
        /// The index of that entry.
        prev: log::Index,
        /// The last entry that may agree.
        hint: log::Index,
    },
    /// The leader is there. Keeps elections away and confirms the leader to itself.
    Heartbeat {
        /// Which round of heartbeats this is.
        round: Round,
        /// The last committed entry that the receiver is known to hold.
        commit: log::Index,
    },
    /// The answer to [`Body::Heartbeat`].
    HeartbeatReply {
        /// The round of that heartbeat.
        round: Round,
    },
    /// A snapshot, for a receiver that lacks entries which the leader no longer holds.
    /// Answered by [`Body::Accepted`].
    Snapshot(log::Snapshot),
    /// The receiver's term is over: the sender knows a later one.
    Stale,
    /// The sender has started again and may have promised the receiver not to vote: do you lead?
    LeaderCheck {
        /// Drawn at the sender's start; comes back in the answer.
        number: u64,
    },
    /// The answer to [`Body::LeaderCheck`].
    LeaderCheckReply {
        /// That of the question.
        number: u64,
        /// Whether the sender leads, under the name by which it was asked.
        leads: bool,
    },
}

/// What a candidate shows of its log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Candidacy {
    /// Its last entry.
    pub last: log::Position,
    /// The index of the latest membership in its log.
    pub membership: log::Index,
}

/// One round of heartbeats, as echoed by those who hear it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Round {
    /// Counts up within a term.
    pub number: u64,
    /// When the leader began it, on the leader's clock.
    pub started: time::Instant,
}
