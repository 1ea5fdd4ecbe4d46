//! The specification of the log, with all guards and without each of them.

use sageshed_quorum::event;
use sageshed_spec::{explore, log, memberships, run};

use crate::support::{holds, holds_everywhere, needs_its_guards};

#[test]
fn a_new_group_agrees() {
    holds("log-elections");
}

/// Guards against two leaders in one term: a voter replies, crashes before its write, and votes again.
#[test]
fn votes_are_synced_before_they_are_sent() {
    needs_its_guards("log-elections");
}

#[test]
fn safety_does_not_rest_on_pre_vote_and_stickiness() {
    holds("log-bare-elections");
    holds("log-bare-lagging");
    needs_its_guards("log-bare-elections");
}

#[test]
fn a_voter_that_lacks_an_entry_is_not_elected() {
    holds_everywhere("log-lagging");
}

/// Guards against a leader that lacks a committed entry: an emptied disk votes under its old id, or a voter
/// votes for a candidate with a less up-to-date log.
#[test]
fn a_lagging_voter_would_be_elected_without_guards() {
    needs_its_guards("log-lagging");
    needs_its_guards("log-bare-lagging");
}

#[test]
fn a_lost_disk_is_repaired_while_a_second_is_lost() {
    holds_everywhere("log-repair");
}

#[test]
fn a_second_disk_is_lost_right_after_the_first_is_repaired() {
    holds("log-second-loss");
}

/// Guards against committing an entry of an old term by counting, which a leader with a later term in its
/// log then overwrites.
#[test]
fn only_entries_of_the_own_term_are_counted() {
    holds_everywhere("log-old-entry");
    needs_its_guards("log-old-entry");
}

/// Guards against a leader that removes both other voters at once and commits alone, while these elect
/// another leader.
#[test]
fn one_change_of_membership_at_a_time() {
    holds_everywhere("log-two-changes");
    needs_its_guards("log-two-changes");
}

/// Guards against disjoint majorities after two leaders have each changed the membership that they know.
#[test]
fn a_change_waits_for_an_entry_of_the_own_term() {
    holds_everywhere("log-two-leaders");
    needs_its_guards("log-two-leaders");
}

/// Guards against a voter that was partitioned and, when it is reachable again, makes the leader step down.
#[test]
fn a_voter_that_was_partitioned_does_not_disturb_the_leader() {
    holds_everywhere("log-cut-off");
    needs_its_guards("log-cut-off");
}

/// Checks that committed entries are not lost without pre-vote, stickiness or the quorum check, which only
/// prevent unnecessary elections, or if learners are promoted before they have caught up.
#[test]
fn guards_that_safety_does_not_rest_on() {
    let safety =
        |entry: &&run::SpecEntry| entry.name.starts_with("log-") && entry.name != "log-cut-off";
    for entry in run::ALL.iter().filter(safety) {
        for guard in entry.optional {
            let bound = explore::Bound {
                states: 20_000,
                ..entry.bound
            };
            let report = entry.explore(Some(guard), bound).expect("the guard exists");
            assert!(report.holds(), "{} without {guard}: {report}", entry.name);
        }
    }
}

/// Checks why a voter must not be replaced in one step: if V1' replaces V1, then V1 and V2 are a majority of
/// the old voters, and V1' and V3 of the new ones.
#[test]
fn a_replacement_in_one_step_allows_disjoint_majorities() {
    let old = sageshed_quorum::log::Membership::of_voters((1..=3).map(|vm| log::id(vm, 1)));
    let new = memberships::swapped(&old, log::id(1, 1), log::id(1, 2));
    assert!(memberships::disjoint_majorities(&old, &new).is_some());
}

#[test]
fn majorities_before_and_after_one_change_share_a_voter() {
    for count in 1..=6 {
        let voters = (1..=count).map(|vm| log::id(vm, 1));
        let old = sageshed_quorum::log::Membership::of_voters(voters.clone());
        let removals = voters.map(event::Change::Remove);
        let promotion = event::Change::Promote(log::id(9, 1));
        for change in removals.chain([promotion]) {
            let new = memberships::after(&old, change);
            let disjoint = memberships::disjoint_majorities(&old, &new);
            let emptied = new.voters.is_empty();
            assert!(emptied || disjoint.is_none(), "{count}: {disjoint:?}");
        }
    }
}
