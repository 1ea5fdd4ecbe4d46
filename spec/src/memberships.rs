//! Which changes of membership leave two majorities without a common voter.
//!
//! Two leaders may for a while go by memberships that follow each other. If a majority of the one
//! and a majority of the other share nobody, both can elect and commit.

use std::collections;

use sageshed_quorum::{event, log};

/// Voters.
pub type Voters = collections::BTreeSet<log::NodeId>;

/// A majority of the voters of `old` and one of `new` that share nobody, if there are two.
#[must_use]
pub fn disjoint_majorities(
    old: &log::Membership,
    new: &log::Membership,
) -> Option<(Voters, Voters)> {
    let of_new = majorities(new);
    majorities(old).into_iter().find_map(|one| {
        let other = of_new.iter().find(|other| one.is_disjoint(other))?;
        Some((one, other.clone()))
    })
}

/// All smallest majorities.
fn majorities(members: &log::Membership) -> Vec<Voters> {
    let voters: Vec<_> = members.voters.iter().copied().collect();
    let subsets = (0_u32..1 << voters.len()).filter(|set| {
        usize::try_from(set.count_ones()).is_ok_and(|count| count == members.majority())
    });
    let chosen = |set: u32| {
        let member = |(place, id): (usize, &log::NodeId)| (set >> place & 1 == 1).then_some(*id);
        voters.iter().enumerate().filter_map(member).collect()
    };
    subsets.map(chosen).collect()
}

/// The voters after a change that a node offers; learners don't count.
#[must_use]
pub fn after(members: &log::Membership, change: event::Change) -> log::Membership {
    let mut next = members.clone();
    match change {
        event::Change::AddLearner(id) => {
            next.learners.insert(id);
        }
        event::Change::Promote(id) => {
            next.learners.remove(&id);
            next.voters.insert(id);
        }
        event::Change::Remove(id) => {
            next.voters.remove(&id);
            next.learners.remove(&id);
        }
    }
    next
}

/// The change that a node does not offer: `new` in place of `old` in one step.
#[must_use]
pub fn swapped(members: &log::Membership, old: log::NodeId, new: log::NodeId) -> log::Membership {
    let mut next = members.clone();
    next.voters.remove(&old);
    next.voters.insert(new);
    next
}
