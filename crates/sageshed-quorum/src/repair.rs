//! How a group grows and is repaired without an operator, and when it is large enough.
//!
//! # The failures
//!
//! A VM that lost its disk comes back as another member, a VM that is lost for good never does, and a
//! new one knows only a seed. Each says over and over that it wants to join. The leader gives it a
//! vote in steps of one change each: learner, the one it replaces out, voter.
//!
//! * The one that is replaced goes before the new one votes. The other way round there would be
//!   four voters of whom one is known to be lost, and the next lost disk would leave two of four,
//!   which elect nobody.
//! * It goes only once the learner has caught up. Until then a vote less would gain nothing.
//!
//! # Large enough
//!
//! `tolerates` disks may be lost the moment after a command was acknowledged. More than that many
//! must hold it, and those that are left must be a majority. A group that still grows has neither
//! for sure: of four voters that bear the loss of two, three have the command, and the two that are
//! left elect nobody. So the first command waits for all the voters that are wanted. Later a voter
//! may be missing while its successor is on the way; that one is a loss already, and there are fewer
//! left to come.

use std::collections;

use sageshed_types::time;

use crate::{event, log, status};

/// How a leader repairs its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// How many voters the group grows to.
    pub target_voters: usize,
    /// Losses of voters with their disks that the group bears at once.
    pub max_disk_losses: usize,
    /// Entries that a learner may lack when its repair goes on.
    pub max_lag: u64,
    /// A voter that answers nothing for this long is taken for lost once another is there to take its
    /// place.
    pub silence_timeout: time::Millis,
}

/// What a leader knows.
#[derive(Debug, Clone, Copy)]
pub struct GroupView<'a> {
    /// Now.
    pub now: time::Instant,
    /// When it began to lead.
    pub led_since: time::Instant,
    /// Of itself and its group.
    pub status: &'a status::Status,
    /// Members to be, by their own word.
    pub joiners: &'a collections::BTreeSet<log::NodeId>,
}

impl Policy {
    /// The policy of a group that bears the loss of `tolerates` disks and has as few voters as that
    /// takes.
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

    /// Whether a command may be acknowledged by a group of `voters`. `was_complete` says whether the
    /// group has had all its voters at some time.
    #[must_use]
    pub fn may_acknowledge(&self, voters: &log::Membership, was_complete: bool) -> bool {
        let grown = was_complete || voters.voters.len() >= voters_tolerating(self.max_disk_losses);
        grown && voters.majority() > self.max_disk_losses
    }

    /// The next change of membership, if one is due.
    #[must_use]
    pub fn next_change(&self, view: GroupView<'_>) -> Option<event::Change> {
        let mut joiners = view.joiners.iter();
        joiners.find_map(|joiner| self.step_for(view, *joiner))
    }

    /// What `joiner` needs next.
    fn step_for(&self, view: GroupView<'_>, joiner: log::NodeId) -> Option<event::Change> {
        let members = &view.status.membership;
        if members.voters.contains(&joiner) || is_outdated(members, joiner) {
            return None;
        }
        if !members.learners.contains(&joiner) {
            return Some(event::Change::AddLearner(joiner));
        }
        let matched = view.status.matched.get(&joiner).copied();
        let last = view.status.last.0;
        let lacks = last.saturating_sub(matched.unwrap_or_default().0);
        if lacks > self.max_lag {
            return None;
        }
        let mut same_vm = members.members().filter(|id| id.vm == joiner.vm);
        if let Some(old) = same_vm.find(|id| *id != joiner) {
            return Some(event::Change::Remove(old));
        }
        if members.voters.len() < self.target_voters {
            return Some(event::Change::Promote(joiner));
        }
        let silent = self.find_silent(view, members.voters.iter().copied())?;
        Some(event::Change::Remove(silent))
    }

    /// One of `members` that has answered nothing for [`Self::silence_timeout`].
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

/// The fewest voters of which a majority is left once `losses` are gone.
const fn voters_tolerating(losses: usize) -> usize {
    2 * losses + 1
}

/// Whether a later generation of the disk of `joiner` is a member already: its word came late.
fn is_outdated(members: &log::Membership, joiner: log::NodeId) -> bool {
    let mut same_vm = members.members().filter(|id| id.vm == joiner.vm);
    same_vm.any(|id| id > joiner)
}
