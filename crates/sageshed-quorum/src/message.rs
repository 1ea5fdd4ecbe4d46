//! Messages between nodes.

use sageshed_types::time;
use serde::{Deserialize, Serialize};

use crate::log;

/// A message to one node.
///
/// The sender is not part of the message: the driver supplies it, as VM and generation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The receiver. Another generation of the same VM drops the message. For example, a heartbeat tells
    /// the old generation up to which index to commit, and the new generation may hold other entries
    /// there.
    pub to: log::NodeId,
    /// The sender's term.
    pub term: log::Term,
    /// The content.
    pub body: Body,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender in the next term.
    PreVote(Candidacy),
    /// The reply to [`Body::PreVote`].
    PreVoteReply {
        /// Whether the sender would vote for the candidate.
        granted: bool,
        /// Whether the candidate has been removed: the newest membership that the sender knows to be
        /// committed is later than the candidate's and does not contain it. It should stop asking.
        removed: bool,
    },
    /// Requests the receiver's vote in the sender's term.
    Vote(Candidacy),
    /// The reply to [`Body::Vote`].
    VoteReply {
        /// Whether the sender has voted for the candidate in this term.
        granted: bool,
    },
    /// Entries to append.
    Append {
        /// The position of the entry before the first of `entries`.
        prev: log::Position,
        /// The entries, without gaps.
        entries: Vec<log::Entry>,
        /// The last entry that the leader knows to be committed.
        commit: log::Index,
    },
    /// The sender's log on disk agrees with the leader's up to an entry.
    Accepted {
        /// The last entry known to agree.
        matched: log::Index,
    },
    /// The sender's log does not contain the entry before those of an append.
    Rejected {
        /// The index of that entry.
        prev: log::Index,
        /// The last entry that may agree.
        hint: log::Index,
    },
    /// Prevents elections, and confirms to the leader that it still leads.
    Heartbeat {
        /// The round of heartbeats.
        round: Round,
        /// The last committed entry that the receiver is known to hold.
        commit: log::Index,
    },
    /// The reply to [`Body::Heartbeat`].
    HeartbeatReply {
        /// The round of the heartbeat.
        round: Round,
    },
    /// A snapshot, for a receiver that lacks entries which the leader no longer holds. The reply is
    /// [`Body::Accepted`].
    Snapshot(log::Snapshot),
    /// The receiver's term is outdated: the sender knows a later one.
    Stale,
    /// Asks the receiver whether it still leads. Sent after a restart, when the sender may have promised
    /// the receiver not to vote.
    LeaderCheck {
        /// A random number chosen at the sender's start and returned in the reply.
        number: u64,
    },
    /// The reply to [`Body::LeaderCheck`].
    LeaderCheckReply {
        /// The number from the request.
        number: u64,
        /// Whether the sender leads under the node id to which the request was addressed.
        leads: bool,
    },
}

/// The state of a candidate's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Candidacy {
    /// The position of its last entry.
    pub last: log::Position,
    /// The index of the latest membership in its log.
    pub membership: log::Index,
}

/// A round of heartbeats. Receivers return it in their replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Round {
    /// Increases within a term.
    pub number: u64,
    /// When the leader began the round, on the leader's clock.
    pub started: time::Instant,
}
