//! Input of a node, and the actions that it requests from its driver.

use crate::{log, message};

/// An input of a node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has advanced. Triggers the timer events below when they are due. To be delivered at
    /// [`Node::next_deadline`](crate::node::Node::next_deadline) at the latest.
    Tick,
    /// The election timer has expired. Drivers leave this to [`Event::Tick`], a model checker raises it
    /// directly. If it is raised early, it breaks the promise on which leases rest, and nothing else.
    ElectionTimeout,
    /// A heartbeat is due. Drivers leave this to [`Event::Tick`], a model checker raises it directly.
    HeartbeatDue,
    /// The leader had no contact with a majority for an election timeout. The node raises it by itself
    /// before it handles any later event, so that a process that was suspended does nothing as leader
    /// afterwards. A model checker may raise it at any time, since a leader may step down at any time.
    QuorumLost,
    /// A message was received.
    Message {
        /// The VM and generation given by the sender.
        from: log::NodeId,
        /// The message.
        message: message::Message,
    },
    /// Appends a command. The result is [`Action::Proposed`] or [`Action::Rejected`].
    Propose {
        /// Returned in the result.
        correlation_id: u64,
        /// The command.
        payload: Vec<u8>,
    },
    /// Changes the membership. The result is [`Action::Proposed`] or [`Action::Rejected`].
    ChangeMembership {
        /// Returned in the result.
        correlation_id: u64,
        /// The change.
        change: Change,
    },
    /// Requests an index for a linearizable read: a state machine that has applied this index reflects
    /// everything that was committed before this event. The result is [`Action::ReadReady`] or
    /// [`Action::Rejected`].
    ReadIndex {
        /// Returned in the result.
        correlation_id: u64,
    },
    /// The driver has written and synced a snapshot of the state machine, built by
    /// [`Node::build_snapshot`](crate::node::Node::build_snapshot). If the driver raises this event only
    /// after some more entries are applied, peers that are slightly behind the snapshot can still be
    /// served from the log. If a snapshot was received in the meantime ([`Action::Restore`]), the later
    /// one stays on disk, and the log starts after it.
    Compact {
        /// The snapshot.
        snapshot: log::Snapshot,
    },
}

/// A change of the membership by one node.
///
/// There is no change that replaces a voter in one step, since that would not be safe: of {V1, V2, V3}
/// and {V1', V2, V3}, the majorities {V1, V2} and {V1', V3} are disjoint. Each could elect a leader or
/// commit an entry without the other as long as V1 may still respond, if only by a delayed message.
///
/// A lost disk is repaired by [`Change::AddLearner`] for the new generation, and after that has caught
/// up by [`Change::Remove`] of the old and [`Change::Promote`] of the new one, in either order. Of three
/// voters, removing first leaves two, which are both needed, as they were before the change. Promoting
/// first results in four voters, of which the three live ones are needed, one more than before. This
/// order is only useful if the old one may still be alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Change {
    /// Adds a node that receives the log and does not vote.
    AddLearner(log::NodeId),
    /// Makes a learner that has caught up a voter.
    Promote(log::NodeId),
    /// Removes a voter or learner.
    Remove(log::NodeId),
}

/// An action that the driver has to carry out. Actions must be carried out in the order given.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Write and sync. No later action may begin before this has succeeded, since messages acknowledge
    /// what is written and a crash must not undo it. If it fails, the process must stop.
    Persist(log::LogWrite),
    /// Send a message. Messages may be lost, delayed, duplicated or reordered.
    Send {
        /// The receiver.
        to: log::NodeId,
        /// The message.
        message: message::Message,
    },
    /// Apply these committed entries, in order. Never empty.
    ///
    /// This determines the outcome of a proposal. The proposal is committed if an entry with its index
    /// and term is applied. If an entry with its index and another term is applied, it is lost. If a
    /// restored snapshot covers its index, its outcome can only be found in the state machine. Until one
    /// of these happens its outcome is open, also after [`Action::SteppedDown`].
    Apply(Vec<log::Entry>),
    /// Replace the state machine by this snapshot, which an earlier [`Action::Persist`] wrote.
    Restore(log::Snapshot),
    /// Entries up to this index may be deleted from disk: the snapshot of [`Event::Compact`] replaces
    /// them.
    Compacted {
        /// The index of the last of them.
        index: log::Index,
    },
    /// A proposal was appended to the leader's log and is not committed yet. See [`Action::Apply`].
    Proposed {
        /// The proposal's id.
        correlation_id: u64,
        /// The index of the proposal's entry.
        index: log::Index,
        /// The leader's term.
        term: log::Term,
    },
    /// A proposal, membership change or read was refused and had no effect.
    Rejected {
        /// The id of the refused event.
        correlation_id: u64,
        /// The leader, if known.
        leader: Option<log::NodeId>,
        /// Why it was refused.
        reason: Reason,
    },
    /// A read may be served by a state machine that has applied `index`.
    ReadReady {
        /// The read's id.
        correlation_id: u64,
        /// The index that must have been applied.
        index: log::Index,
    },
    /// This node has become the leader.
    BecameLeader {
        /// Its term.
        term: log::Term,
    },
    /// This node is no longer the leader. Pending reads have been rejected, the outcome of proposals is
    /// open.
    SteppedDown {
        /// The term in which it led.
        term: log::Term,
    },
}

/// Why an event was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// This node is not, or no longer, the leader.
    NotLeader,
    /// The leader has not committed an entry of its own term yet. Retry.
    NotReady,
    /// Too many entries are uncommitted. Retry later.
    Overloaded,
    /// The previous membership change is not committed yet. Retry.
    ChangePending,
    /// The node is already a member.
    AlreadyMember,
    /// The node is not a member.
    NotMember,
    /// The node to promote is not a learner.
    NotLearner,
    /// The learner lacks too many entries. Retry later.
    NotCaughtUp,
    /// The last voter cannot be removed.
    LastVoter,
}
