//! Automatic growth and repair of a group, and the number of voters needed to acknowledge commands.
//!
//! # Repair
//!
//! A VM that lost its disk joins as a new node, a VM that is lost permanently is replaced by a new one,
//! and a new VM knows only the address of a seed. Each of them repeatedly asks the leader to join. The
//! leader makes it a voter by separate membership changes: it adds the node as a learner, removes the
//! member that the node replaces, and promotes the node.
//!
//! * Disk generations of one VM have no order: they are random numbers. The current one is the one that answers, since a VM
//!   runs one at a time. A generation that was added because of an old request never catches up, and is removed as lost.
//! * The replaced member is removed before the new one is promoted. In the other order there would be
//!   four voters of which one is lost, and the loss of another disk would leave two of four, which is no
//!   majority.
//! * It is removed only after the learner has caught up. Removing it earlier would cost a vote without
//!   any benefit.
//!
//! # Group size
//!
//! A command that was acknowledged must survive the loss of `max_disk_losses` disks immediately after.
//! So more voters than that must hold the command, and the remaining voters must be a majority. A group
//! that is still growing guarantees neither: with four voters and two losses, three voters hold the
//! command, and the two remaining ones cannot elect a leader. So the first command waits until the group
//! has all its voters. Later a voter may be missing while its replacement joins. That voter counts as one
//! of the losses, so that fewer further losses have to be tolerated.

use std::collections;

use sageshed_types::time;

use crate::{event, log, status};

/// A member is running if it has answered within the timeout of a silent voter divided by this.
const RUNNING_PER_SILENCE: u64 = 3;

/// The policy by which a leader repairs its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// The number of voters to which the group grows.
    pub target_voters: usize,
    /// The number of simultaneous losses of voters with their disks that the group tolerates.
    pub max_disk_losses: usize,
    /// The maximum number of entries that a learner may lack when it takes the place of a voter.
    pub max_lag: u64,
    /// How long a voter may send no reply until it is considered lost, in milliseconds. It is removed only
    /// if a learner is ready to replace it.
    pub silence_timeout: time::Millis,
}

/// A leader's view of its group.
#[derive(Debug, Clone, Copy)]
pub struct GroupView<'a> {
    /// The current time.
    pub now: time::Instant,
    /// When the node became leader.
    pub led_since: time::Instant,
    /// The status of the leader and its group.
    pub status: &'a status::Status,
    /// The nodes that have asked to join.
    pub joiners: &'a collections::BTreeSet<log::NodeId>,
}

impl Policy {
    /// The policy of a group that tolerates the loss of `max_disk_losses` disks with the smallest possible
    /// number of voters.
    #[must_use]
    pub const fn tolerating(
        max_disk_losses: usize,
        max_lag: u64,
        silence_timeout: time::Millis,
    ) -> Self {
        Self {
            target_voters: voters_tolerating(max_disk_losses),
            max_disk_losses,
            max_lag,
            silence_timeout,
        }
    }

    /// Whether a group of `voters` may acknowledge a command. `was_complete` is set if the group has once
    /// had all its voters.
    #[must_use]
    pub fn may_acknowledge(&self, voters: &log::Membership, was_complete: bool) -> bool {
        let grown = was_complete || voters.voters.len() >= voters_tolerating(self.max_disk_losses);
        grown && voters.majority() > self.max_disk_losses
    }

    /// The next membership change, if one is due.
    #[must_use]
    pub fn next_change(&self, view: GroupView<'_>) -> Option<event::Change> {
        let mut joiners = view.joiners.iter();
        joiners.find_map(|joiner| self.next_change_for(view, *joiner))
    }

    /// The next change that `joiner` needs to become a voter, if one is due.
    fn next_change_for(&self, view: GroupView<'_>, joiner: log::NodeId) -> Option<event::Change> {
        let members = &view.status.membership;
        if members.voters.contains(&joiner) {
            return None;
        }
        let mut same_vm = members.members().filter(|id| id.vm == joiner.vm);
        let old = same_vm.find(|id| *id != joiner);
        if !members.learners.contains(&joiner) {
            let is_outdated = old.is_some_and(|it| self.is_running(view, it));
            return (!is_outdated).then_some(event::Change::AddLearner(joiner));
        }
        let matched = view.status.matched.get(&joiner).copied();
        let last = view.status.last.0;
        let lacks = last.saturating_sub(matched.unwrap_or_default().0);
        if lacks > self.max_lag {
            return None;
        }
        if let Some(old) = old {
            return is_replaced(view, old, joiner).then_some(event::Change::Remove(old));
        }
        if members.voters.len() < self.target_voters {
            return Some(event::Change::Promote(joiner));
        }
        let silent = self.find_silent(view, members.voters.iter().copied())?;
        Some(event::Change::Remove(silent))
    }

    /// Whether `member` runs as far as is known, so that a request to join of another disk generation of its VM is outdated.
    fn is_running(&self, view: GroupView<'_>, member: log::NodeId) -> bool {
        let answered = view.status.answered.get(&member);
        let is_recent = |at: &time::Instant| {
            view.now.since(*at).0 * RUNNING_PER_SILENCE < self.silence_timeout.0
        };
        member == view.status.id || answered.is_some_and(is_recent)
    }

    /// The first of `members` that has sent no reply for [`Self::silence_timeout`].
    #[must_use]
    pub fn find_silent(
        &self,
        view: GroupView<'_>,
        mut members: impl Iterator<Item = log::NodeId>,
    ) -> Option<log::NodeId> {
        members.find(|id| {
            let answered = view.status.answered.get(id).copied().unwrap_or_default();
            let last = answered.max(view.led_since);
            *id != view.status.id && view.now.since(last) >= self.silence_timeout
        })
    }
}

/// The smallest number of voters of which a majority remains after `losses` losses.
const fn voters_tolerating(losses: usize) -> usize {
    2 * losses + 1
}

/// Whether `joiner` is the disk generation that its VM runs now, and not `old`. A VM runs one of them at a time, so the other
/// one answers no later heartbeat.
fn is_replaced(view: GroupView<'_>, old: log::NodeId, joiner: log::NodeId) -> bool {
    let answered = |id| view.status.answered.get(&id).copied().unwrap_or_default();
    old != view.status.id && answered(joiner) >= answered(old)
}
