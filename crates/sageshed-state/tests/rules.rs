//! Changes of the rules: concurrent changes, retries, and updates of copies.

use sageshed_state::{rule_log, update};
use sageshed_types::{messages, rules};

const HISTORY_LIMIT: usize = 300;
const CHANGE_ID_LIMIT: usize = 400;

fn rule(id: &str) -> rules::Rule {
    rules::Rule {
        id: id.to_owned(),
        when: rules::When::default(),
        action: rules::Action::Refuse(rules::Refuse::default()),
        not_repeatable: None,
        deadline_ms: None,
    }
}

fn add(rule: rules::Rule) -> rules::Edit {
    rules::Edit::Add {
        rule: Box::new(rule),
        position: rules::Position::Last,
    }
}

fn change(id: &str, base: u64, edit: rules::Edit) -> rules::Change {
    rules::Change {
        change_id: id.to_owned(),
        base_revision: rules::Revision(base),
        edit,
        operator: "desk".to_owned(),
    }
}

fn accepted(revision: u64) -> rules::ChangeOutcome {
    rules::ChangeOutcome::Accepted {
        revision: rules::Revision(revision),
    }
}

/// The rules a, b and c at revision 3.
fn log_with_three_rules() -> rule_log::RuleLog {
    let mut log = rule_log::RuleLog::new(HISTORY_LIMIT, CHANGE_ID_LIMIT);
    for (base, id) in ["a", "b", "c"].into_iter().enumerate() {
        let change = change(&format!("add-{id}"), base as u64, add(rule(id)));
        assert_eq!(log.apply_change(change), accepted(base as u64 + 1));
    }
    log
}

// Guards against a delta with a gap. An entry process missed more changes than the history holds, but
// fewer than a delta may contain. Given only those in the history, it would find a gap each time it
// asks and never catch up.
#[test]
fn a_copy_older_than_the_history_gets_a_snapshot() {
    let mut log = rule_log::RuleLog::new(2, CHANGE_ID_LIMIT);
    for (base, id) in ["a", "b", "c"].into_iter().enumerate() {
        log.apply_change(change(id, base as u64, add(rule(id))));
    }
    let delta = log.updates_since(rules::Revision(1));
    assert!(matches!(delta, messages::ConfigUpdate::Delta(changes) if changes.len() == 2));
    let whole = messages::ConfigUpdate::Snapshot(log.current().clone());
    assert_eq!(log.updates_since(rules::Revision(0)), whole);
}

/// A log at `revision` whose only rule was alternately added and withdrawn.
fn log_at(revision: u64) -> rule_log::RuleLog {
    let mut log = rule_log::RuleLog::new(HISTORY_LIMIT, CHANGE_ID_LIMIT);
    for base in 0..revision {
        let edit = if base % 2 == 0 {
            add(rule("a"))
        } else {
            rules::Edit::Withdraw { id: "a".to_owned() }
        };
        assert_eq!(
            log.apply_change(change(&format!("change-{base}"), base, edit)),
            accepted(base + 1)
        );
    }
    log
}

fn ids(set: &rules::RuleSet) -> String {
    let ids: Vec<_> = set.rules.iter().map(|rule| rule.id.as_str()).collect();
    ids.join(" ")
}

// Guards against applying a change to rules that its operator has not seen. Two operators see revision
// 3 and both submit a change. The second one must be refused with the changes in between.
#[test]
fn the_second_of_two_concurrent_changes_gets_the_changes_in_between() {
    let mut log = log_with_three_rules();
    let first = change("first", 3, add(rule("d")));
    assert_eq!(log.apply_change(first.clone()), accepted(4));
    let second = log.apply_change(change("second", 3, add(rule("e"))));
    let between = vec![rules::AcceptedChange {
        revision: rules::Revision(4),
        change: first,
    }];
    assert_eq!(
        second,
        rules::ChangeOutcome::Conflict {
            revision: rules::Revision(4),
            between,
        }
    );
    assert_eq!(ids(log.current()), "a b c d");
}

// Guards against refusing a retry as a conflict with the change itself. An operator's change is
// accepted and the reply is lost. Other changes are accepted, then the operator sends the change again.
#[test]
fn a_retried_change_gets_the_first_outcome() {
    let mut log = log_with_three_rules();
    let first = change("first", 3, add(rule("d")));
    assert_eq!(log.apply_change(first.clone()), accepted(4));
    assert_eq!(
        log.apply_change(change("next", 4, add(rule("e")))),
        accepted(5)
    );
    assert_eq!(log.apply_change(first), accepted(4));
    assert_eq!(ids(log.current()), "a b c d e");

    let by_another = rules::Change {
        operator: "night desk".to_owned(),
        ..change("first", 3, add(rule("d")))
    };
    let others = [
        change("first", 3, add(rule("f"))),
        change("first", 5, add(rule("f"))),
        change("first", 5, add(rule("d"))),
        by_another,
    ];
    for other in others {
        let label = format!("{other:?}");
        let reused = rules::ChangeOutcome::ChangeIdReused {
            revision: rules::Revision(4),
        };
        assert_eq!(log.apply_change(other), reused, "{label}");
    }
    assert_eq!(log.current().revision, rules::Revision(5));
}

// Guards against applying a change twice after its id was removed from the full record of change ids.
// The retry must be refused as a conflict.
#[test]
fn a_retry_with_an_evicted_change_id_is_a_conflict() {
    let mut log = log_at(CHANGE_ID_LIMIT as u64 + 1);
    let state = log.clone();
    let again = log.apply_change(change("change-0", 0, add(rule("a"))));
    assert!(
        matches!(again, rules::ChangeOutcome::Conflict { .. }),
        "{again:?}"
    );
    assert_eq!(log, state);
    let remembered = change("change-1", 1, rules::Edit::Withdraw { id: "a".to_owned() });
    assert_eq!(log.apply_change(remembered), accepted(2));
}

#[test]
fn a_copy_gets_the_changes_it_lacks_or_a_snapshot() {
    struct Case {
        newest: u64,
        have: u64,
        delta: Option<usize>,
    }
    let cases = [
        Case {
            newest: 0,
            have: 0,
            delta: Some(0),
        },
        Case {
            newest: 3,
            have: 0,
            delta: Some(3),
        },
        Case {
            newest: 3,
            have: 2,
            delta: Some(1),
        },
        Case {
            newest: 3,
            have: 3,
            delta: Some(0),
        },
        Case {
            newest: 3,
            have: 9,
            delta: Some(0),
        },
        Case {
            newest: 256,
            have: 0,
            delta: Some(256),
        },
        Case {
            newest: 257,
            have: 0,
            delta: None,
        },
        Case {
            newest: 350,
            have: 94,
            delta: Some(256),
        },
        Case {
            newest: 350,
            have: 93,
            delta: None,
        },
    ];
    for Case {
        newest,
        have,
        delta,
    } in cases
    {
        let log = log_at(newest);
        let label = format!("{have} to {newest}");
        let sent = match log.updates_since(rules::Revision(have)) {
            messages::ConfigUpdate::Delta(changes) => Some(changes.len()),
            messages::ConfigUpdate::Snapshot(_) => None,
        };
        assert_eq!(sent, delta, "{label}");
        let mut copy = log_at(have).current().clone();
        update::apply_update(&mut copy, log.updates_since(rules::Revision(have)));
        let expected = if have > newest { log_at(have) } else { log };
        assert_eq!(copy, *expected.current(), "{label}");
    }
}

// Guards against putting withdrawn rules in force again: a control process that was partitioned may
// send rules that are hours old.
#[test]
fn a_copy_never_goes_back_to_an_older_revision() {
    struct Case {
        label: &'static str,
        update: messages::ConfigUpdate,
        updated: update::UpdateOutcome,
    }
    let changes = |from: usize, to: usize| {
        let log = log_at(9);
        let all: Vec<_> = log.history().cloned().collect();
        messages::ConfigUpdate::Delta(all[from..to].to_vec())
    };
    let whole = |at| messages::ConfigUpdate::Snapshot(log_at(at).current().clone());
    let gap = update::UpdateOutcome::Gap {
        needed: rules::Revision(6),
        came: rules::Revision(7),
    };
    let to = |revision| update::UpdateOutcome::Applied(rules::Revision(revision));
    let cases = [
        Case {
            label: "older whole",
            update: whole(4),
            updated: update::UpdateOutcome::UpToDate,
        },
        Case {
            label: "same whole",
            update: whole(5),
            updated: update::UpdateOutcome::UpToDate,
        },
        Case {
            label: "later whole",
            update: whole(8),
            updated: to(8),
        },
        Case {
            label: "older delta",
            update: changes(0, 4),
            updated: update::UpdateOutcome::UpToDate,
        },
        Case {
            label: "overlap",
            update: changes(2, 7),
            updated: to(7),
        },
        Case {
            label: "gap",
            update: changes(6, 9),
            updated: gap,
        },
    ];
    for case in cases {
        let mut copy = log_at(5).current().clone();
        let updated = update::apply_update(&mut copy, case.update);
        assert_eq!(updated, case.updated, "{}", case.label);
        let expected = match updated {
            update::UpdateOutcome::Applied(revision) => log_at(revision.0),
            _ => log_at(5),
        };
        assert_eq!(copy, *expected.current(), "{}", case.label);
    }
}

#[test]
fn a_delta_that_cannot_be_applied_leaves_the_copy_unchanged() {
    let mut copy = log_at(5).current().clone();
    let misfit = rules::AcceptedChange {
        revision: rules::Revision(6),
        change: change("x", 5, rules::Edit::Withdraw { id: "x".to_owned() }),
    };
    let updated = update::apply_update(&mut copy, messages::ConfigUpdate::Delta(vec![misfit]));
    assert!(
        matches!(updated, update::UpdateOutcome::Inapplicable { .. }),
        "{updated:?}"
    );
    assert_eq!(copy, *log_at(5).current());
}
