//! Which membership changes allow two disjoint majorities.
//!
//! For a while two leaders may use two successive memberships. If a majority of one and a majority of
//! the other are disjoint, both can elect a leader and commit entries.

use std::collections;

use sageshed_quorum::{event, log};

/// A set of voters.
pub type Voters = collections::BTreeSet<log::NodeId>;

/// Two disjoint majorities, one of the voters of `old` and one of `new`, if there are any.
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

/// All majorities of minimal size.
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

/// The membership after a change that a node supports.
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

/// The membership after a change that a node does not support: replacing `old` by `new` in one step.
#[must_use]
pub fn swapped(members: &log::Membership, old: log::NodeId, new: log::NodeId) -> log::Membership {
    let mut next = members.clone();
    next.voters.remove(&old);
    next.voters.insert(new);
    next
}
