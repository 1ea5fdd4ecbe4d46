//! The status of a node, as shown to operators.

use std::collections;

use sageshed_types::time;
use serde::{Deserialize, Serialize};

use crate::{log, node, state};

/// The role of a node in its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A voter that follows a leader or waits for one.
    Follower,
    /// A voter that asks whether it would win an election.
    PreCandidate,
    /// A voter that requests votes.
    Candidate,
    /// The leader.
    Leader,
    /// A member that receives the log and does not vote.
    Learner,
    /// Not a member: not added yet, or removed.
    Outside,
}

/// A node's status and its view of the group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The node's id.
    pub id: log::NodeId,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: log::Term,
    /// The leader, if known.
    pub leader: Option<log::NodeId>,
    /// The last entry that it knows to be committed and has passed on to be applied.
    pub commit: log::Index,
    /// The last entry of its log.
    pub last: log::Index,
    /// The last entry that its snapshot covers, or zero.
    pub snapshot: log::Index,
    /// The latest membership in its log.
    pub membership: log::Membership,
    /// For a leader: the last entry known to be on each other member's disk.
    pub matched: collections::BTreeMap<log::NodeId, log::Index>,
    /// For a leader: when the latest round of heartbeats answered by each other member began.
    pub answered: collections::BTreeMap<log::NodeId, time::Instant>,
    /// Whether another member has reported that this node was removed, and no leader has been heard since. The
    /// membership in its own log is out of date then.
    #[serde(default)]
    pub removed: bool,
    /// For a leader: see [`node::Node::has_quorum_until`].
    pub quorum_until: Option<time::Instant>,
}

impl Status {
    /// The status of a node whose log is not running yet.
    #[must_use]
    pub fn outside(id: log::NodeId) -> Self {
        Self {
            id,
            role: Role::Outside,
            term: log::Term::default(),
            leader: None,
            commit: log::Index::default(),
            last: log::Index::default(),
            snapshot: log::Index::default(),
            membership: log::Membership::default(),
            matched: collections::BTreeMap::new(),
            answered: collections::BTreeMap::new(),
            removed: false,
            quorum_until: None,
        }
    }

    /// Whether it leads at `now`, and its contact to a majority is recent enough to exclude another leader.
    #[must_use]
    pub fn leads_at(&self, now: time::Instant) -> bool {
        self.role == Role::Leader && self.quorum_until.is_some_and(|until| now < until)
    }
}

impl node::Node {
    /// The status of this node.
    #[must_use]
    pub fn status(&self) -> Status {
        let state = &self.state;
        Status {
            id: self.cfg.id,
            role: self.role(),
            term: state.hard.term,
            leader: state.leader,
            commit: state.commit,
            last: state.log.last().index,
            snapshot: state.log.base().index,
            membership: state.log.membership().clone(),
            matched: self.matched(),
            answered: self.timers.answered.clone(),
            removed: state.removed,
            quorum_until: self.has_quorum_until(),
        }
    }

    fn role(&self) -> Role {
        let membership = self.state.log.membership();
        match &self.state.role {
            state::Role::Leader(_) => Role::Leader,
            state::Role::Candidate { .. } => Role::Candidate,
            state::Role::PreCandidate { .. } => Role::PreCandidate,
            state::Role::Follower if membership.voters.contains(&self.cfg.id) => Role::Follower,
            state::Role::Follower if membership.learners.contains(&self.cfg.id) => Role::Learner,
            state::Role::Follower => Role::Outside,
        }
    }

    fn matched(&self) -> collections::BTreeMap<log::NodeId, log::Index> {
        match &self.state.role {
            state::Role::Leader(leader) => leader
                .peers
                .iter()
                .map(|(id, peer)| (*id, peer.matched))
                .collect(),
            _ => collections::BTreeMap::new(),
        }
    }
}
