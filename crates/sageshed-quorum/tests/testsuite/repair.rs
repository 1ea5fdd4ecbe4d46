//! Tables of the membership changes that a leader makes by its repair policy.

use std::collections;

use sageshed_quorum::{
    event::Change,
    log,
    repair::{GroupView, Policy},
    status,
};
use sageshed_types::time;

use crate::sim::id;

const POLICY: Policy = Policy::tolerating(1, 50, time::Millis(1_500));
const NOW: time::Instant = time::Instant(10_000);

struct Case {
    name: &'static str,
    voters: &'static [(u32, u64)],
    learners: &'static [(u32, u64)],
    joiners: &'static [(u32, u64)],
    /// The number of entries that the learners lack.
    lacks: u64,
    /// VMs that have sent no reply.
    silent: &'static [u32],
    expected: Option<Change>,
}

fn ids(of: &[(u32, u64)]) -> collections::BTreeSet<log::NodeId> {
    of.iter()
        .map(|(vm, generation)| id(*vm, *generation))
        .collect()
}

/// The status of VM 1, which has led for a long time.
fn status_of(case: &Case) -> status::Status {
    let members = log::Membership {
        voters: ids(case.voters),
        learners: ids(case.learners),
    };
    let heard = members.members().filter(|it| !case.silent.contains(&it.vm));
    let answered = heard.map(|it| (it, NOW)).collect();
    let matched = members
        .members()
        .map(|it| (it, log::Index(100 - case.lacks)));
    status::Status {
        role: status::Role::Leader,
        last: log::Index(100),
        matched: matched.collect(),
        answered,
        membership: members.clone(),
        ..status::Status::outside(id(1, 1))
    }
}

#[test]
fn the_next_change() {
    let three: &[(u32, u64)] = &[(1, 1), (2, 1), (3, 1)];
    let idle = Case {
        name: "nothing to do",
        voters: three,
        learners: &[],
        joiners: &[],
        lacks: 0,
        silent: &[],
        expected: None,
    };
    let cases = [
        Case {
            name: "a new VM is added as a learner",
            joiners: &[(4, 1)],
            expected: Some(Change::AddLearner(id(4, 1))),
            ..idle
        },
        Case {
            name: "a learner that lacks many entries waits",
            voters: &[(1, 1), (2, 1)],
            learners: &[(3, 1)],
            joiners: &[(3, 1)],
            lacks: 51,
            ..idle
        },
        Case {
            name: "a learner that caught up is promoted while the group lacks voters",
            voters: &[(1, 1), (2, 1)],
            learners: &[(3, 1)],
            joiners: &[(3, 1)],
            lacks: 50,
            expected: Some(Change::Promote(id(3, 1))),
            ..idle
        },
        Case {
            name: "the generation that lost its disk is removed before the new one is promoted",
            learners: &[(3, 2)],
            joiners: &[(3, 2)],
            silent: &[3],
            expected: Some(Change::Remove(id(3, 1))),
            ..idle
        },
        Case {
            name: "a generation with a lower number than the one that lost its disk is added",
            voters: &[(1, 1), (2, 1), (3, 5)],
            joiners: &[(3, 2)],
            silent: &[3],
            expected: Some(Change::AddLearner(id(3, 2))),
            ..idle
        },
        Case {
            name: "a generation with a lower number replaces the one that lost its disk",
            voters: &[(1, 1), (2, 1), (3, 5)],
            learners: &[(3, 2)],
            joiners: &[(3, 2)],
            silent: &[3],
            expected: Some(Change::Remove(id(3, 5))),
            ..idle
        },
        Case {
            name: "a request to join of a replaced generation is ignored",
            voters: &[(1, 1), (2, 1), (3, 2)],
            joiners: &[(3, 1)],
            ..idle
        },
        Case {
            name: "a silent voter stays while there is no replacement",
            silent: &[2],
            ..idle
        },
        Case {
            name: "a silent voter is removed when a learner has caught up",
            learners: &[(4, 1)],
            joiners: &[(4, 1)],
            silent: &[2],
            expected: Some(Change::Remove(id(2, 1))),
            ..idle
        },
        Case {
            name: "a spare VM stays a learner while all voters answer",
            learners: &[(4, 1)],
            joiners: &[(4, 1)],
            ..idle
        },
    ];
    for case in cases.iter().chain([&idle]) {
        let status = status_of(case);
        let view = GroupView {
            now: NOW,
            led_since: time::Instant(0),
            status: &status,
            joiners: &ids(case.joiners),
        };
        assert_eq!(POLICY.next_change(view), case.expected, "{}", case.name);
    }
}

/// Guards against a generation that is added although its VM runs another one.
#[test]
fn a_request_to_join_of_a_vm_that_runs_another_generation_is_ignored() {
    for joiner in [(1, 2), (3, 1), (3, 7)] {
        let case = Case {
            name: "",
            voters: &[(1, 1), (2, 1), (3, 2)],
            learners: &[],
            joiners: &[],
            lacks: 0,
            silent: &[],
            expected: None,
        };
        let status = status_of(&case);
        let view = GroupView {
            now: NOW,
            led_since: time::Instant(0),
            status: &status,
            joiners: &ids(&[joiner]),
        };
        assert_eq!(POLICY.next_change(view), None, "{joiner:?}");
    }
}

/// Guards against a voter that is removed for an earlier disk generation of its VM, which has been added once more by an old
/// request and no longer answers.
#[test]
fn a_generation_that_answers_is_not_replaced_by_one_that_does_not() {
    let members = log::Membership {
        voters: ids(&[(1, 1), (2, 1), (3, 2)]),
        learners: ids(&[(3, 1)]),
    };
    let all = members.members();
    let matched = all.map(|it| (it, log::Index(100))).collect();
    for (learner_answered, expected) in [(9_000, None), (10_000, Some(Change::Remove(id(3, 2))))] {
        let answered = [
            (id(3, 2), time::Instant(9_500)),
            (id(3, 1), time::Instant(learner_answered)),
        ];
        let status = status::Status {
            role: status::Role::Leader,
            last: log::Index(100),
            matched: collections::BTreeMap::clone(&matched),
            answered: answered.into(),
            membership: members.clone(),
            ..status::Status::outside(id(1, 1))
        };
        let view = GroupView {
            now: NOW,
            led_since: time::Instant(0),
            status: &status,
            joiners: &ids(&[(3, 1)]),
        };
        assert_eq!(POLICY.next_change(view), expected);
    }
}

/// Checks for each number of voters whether a command may be acknowledged while the group is growing, and
/// after it was complete.
#[test]
fn a_group_acknowledges_commands_only_with_enough_voters() {
    struct Size {
        tolerates: usize,
        voters: u32,
        growing: bool,
        complete: bool,
    }
    let size = |tolerates, voters, growing, complete| Size {
        tolerates,
        voters,
        growing,
        complete,
    };
    let sizes = [
        size(0, 1, true, true),
        size(1, 1, false, false),
        size(1, 2, false, true),
        size(1, 3, true, true),
        size(2, 3, false, false),
        size(2, 4, false, true),
        size(2, 5, true, true),
    ];
    for it in sizes {
        let policy = Policy::tolerating(it.tolerates, 0, time::Millis(0));
        let members = log::Membership::of_voters((1..=it.voters).map(|vm| id(vm, 1)));
        let what = format!("{} voters, {} losses", it.voters, it.tolerates);
        assert_eq!(
            policy.may_acknowledge(&members, false),
            it.growing,
            "{what}"
        );
        assert_eq!(
            policy.may_acknowledge(&members, true),
            it.complete,
            "{what}"
        );
    }
}

/// Guards against a group that never acknowledges commands. If the settings list the VMs, the group has no
/// target size and tolerates no lost disk. It is never complete, and must acknowledge commands anyway.
#[test]
fn a_group_without_a_target_size_acknowledges_with_one_voter() {
    let policy = Policy {
        target_voters: usize::MAX,
        ..Policy::tolerating(0, 0, time::Millis(0))
    };
    let members = log::Membership::of_voters([id(1, 1)]);
    assert!(policy.may_acknowledge(&members, false));
}
