//! What happens to a node, and what it wants done.

use crate::{log, message};

/// Something that happened to a node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time went on. Raises the timer events below when they are due. Deliver it at
    /// [`Node::next_deadline`](crate::node::Node::next_deadline) at the latest.
    Tick,
    /// The election timer ran out. Drivers leave this to [`Event::Tick`]; a checker raises it.
    /// Raised before its time it breaks the promise on which leases rest, and nothing else.
    ElectionTimeout,
    /// A heartbeat is due. Drivers leave this to [`Event::Tick`]; a checker raises it.
    HeartbeatDue,
    /// No majority was heard for an election timeout. Raised by the node itself before any event
    /// that comes too late, so that a process that was frozen does nothing as leader afterwards.
    /// A checker raises it at will: a leader may step down at any time.
    QuorumLost,
    /// A message came in.
    Message {
        /// Who sent it: VM and generation as the sender gave them.
        from: log::NodeId,
        /// The message.
        message: message::Message,
    },
    /// Append a command. Answered by [`Action::Proposed`] or [`Action::Rejected`].
    Propose {
        /// Named in the answer.
        correlation_id: u64,
        /// The command.
        payload: Vec<u8>,
    },
    /// Change the membership. Answered as [`Event::Propose`] is.
    ChangeMembership {
        /// Named in the answer.
        correlation_id: u64,
        /// The change.
        change: Change,
    },
    /// Ask for an index such that a state machine which has applied it shows all that was
    /// committed before this event. Answered by [`Action::ReadReady`] or [`Action::Rejected`].
    ReadIndex {
        /// Named in the answer.
        correlation_id: u64,
    },
    /// The driver has made and synced a snapshot of what was applied. Its head comes from
    /// [`Node::build_snapshot`](crate::node::Node::build_snapshot). A driver that hands it over only
    /// once some more entries are applied spares peers that are slightly behind the snapshot. If a
    /// received snapshot came in the meantime ([`Action::Restore`]), the later one stays on disk:
    /// the log starts where it ends.
    Compact {
        /// The snapshot.
        snapshot: log::Snapshot,
    },
}

/// A change of membership, one node at a time.
///
/// There is no change that puts one voter in another's place. It would not be safe: with {V1, V2,
/// V3} and {V1', V2, V3}, the majorities {V1, V2} and {V1', V3} share nobody, so each could elect
/// a leader or commit an entry without the other as long as V1 may still answer, if only by a
/// delayed message. A lost disk is repaired by [`Change::AddLearner`] for the new generation, and
/// once that has caught up by [`Change::Remove`] of the old and [`Change::Promote`] of the new, in
/// either order. Removing first leaves two voters, both needed, as both were before the change.
/// Promoting first makes it four voters of which the three live ones are needed, one more than
/// before: choose it only if the old one may still be alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Change {
    /// Send the log to a node that doesn't count yet.
    AddLearner(log::NodeId),
    /// Make a learner that has caught up a voter.
    Promote(log::NodeId),
    /// Take out a voter or learner.
    Remove(log::NodeId),
}

/// What the driver has to do, strictly in the order given.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Write and sync. Nothing later in the list may be done before that has succeeded: messages
    /// promise what is written, and a crash must not take it back. If it fails, stop the process.
    Persist(log::LogWrite),
    /// Send a message. It may be lost, late, doubled or out of order.
    Send {
        /// To whom.
        to: log::NodeId,
        /// The message.
        message: message::Message,
    },
    /// These entries are committed: apply them, in order. Never empty.
    ///
    /// This decides the fate of a proposal. If an entry with the proposal's index and term comes by
    /// here it is committed; if an entry with its index and another term does, or a snapshot
    /// restored covers its index, the proposal is lost or its fate can only be read from the state
    /// machine. Until one of these its fate is open, also after [`Action::SteppedDown`].
    Apply(Vec<log::Entry>),
    /// Replace the state machine by this snapshot, which an earlier [`Action::Persist`] wrote.
    Restore(log::Snapshot),
    /// Entries up to here may go from disk: the snapshot of [`Event::Compact`] stands for them.
    Compacted {
        /// The last of them.
        index: log::Index,
    },
    /// A proposal is in the leader's log, not yet committed. See [`Action::Apply`].
    Proposed {
        /// Of the proposal.
        correlation_id: u64,
        /// Where it is in the log.
        index: log::Index,
        /// The leader's term.
        term: log::Term,
    },
    /// A proposal, change or read was refused and had no effect.
    Rejected {
        /// Of the refused event.
        correlation_id: u64,
        /// Who leads as far as is known.
        leader: Option<log::NodeId>,
        /// Why.
        reason: Reason,
    },
    /// A read may be served by a state machine that has applied `index`.
    ReadReady {
        /// Of the read.
        correlation_id: u64,
        /// What must have been applied.
        index: log::Index,
    },
    /// This node leads from now on.
    BecameLeader {
        /// Its term.
        term: log::Term,
    },
    /// This node leads no longer. Reads under way have been rejected; proposals are open.
    SteppedDown {
        /// The term in which it led.
        term: log::Term,
    },
}

/// Why an event was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// This node does not lead, or no longer.
    NotLeader,
    /// The leader has committed nothing in its own term yet. Try again.
    NotReady,
    /// Too much is uncommitted. Try again later.
    Overloaded,
    /// The membership change before is not committed yet. Try again.
    ChangePending,
    /// The node is a member already.
    AlreadyMember,
    /// The node is no member.
    NotMember,
    /// Only a learner is promoted.
    NotLearner,
    /// The learner lacks too many entries. Try again later.
    NotCaughtUp,
    /// The last voter can't be removed.
    LastVoter,
}
