//! Runs the test cases in the tables of `edits/` and `claims/`.

use std::{error, fs, path};

use sageshed_state::{claim_table, rule_log};
use sageshed_types::{claims, endpoints, rules, time};
use serde::Deserialize;

datatest_stable::harness! {
    { test = edits, root = "tests/edits" },
    { test = second_arrivals, root = "tests/claims" },
}

type Checked = Result<(), Box<dyn error::Error>>;

#[derive(Deserialize)]
struct Table<C> {
    case: Vec<C>,
}

/// An edit, with the resulting order of ids or a part of the error message.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EditCase {
    edit: rules::Edit,
    ids: Option<String>,
    says: Option<String>,
}

/// The events of a claim, and the reply to a second arrival after them.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClaimCase {
    label: String,
    steps: Vec<Step>,
    second: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Step {
    Settle(End),
    OtherSettles(End),
    Gone(String, u64),
    Clock(u64),
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum End {
    Ran(String),
    Unknown,
    NotRun,
}

fn read<C: for<'de> Deserialize<'de>>(path: &path::Path) -> Result<Vec<C>, Box<dyn error::Error>> {
    let table: Table<C> = toml::from_str(&fs::read_to_string(path)?)?;
    Ok(table.case)
}

fn edits(path: &path::Path) -> Checked {
    for case in read::<EditCase>(path)? {
        check_edit(case);
    }
    Ok(())
}

fn check_edit(case: EditCase) {
    let label = format!("{:?}", case.edit);
    let mut log = log_with_three_rules();
    let outcome = log.apply_change(change("id", 3, case.edit));
    let ids: Vec<_> = log.current().rules.iter().map(|r| r.id.as_str()).collect();
    match outcome {
        rules::ChangeOutcome::Accepted { revision } => {
            assert_eq!(revision, rules::Revision(4), "{label}");
            assert_eq!(Some(ids.join(" ")), case.ids, "{label}");
        }
        rules::ChangeOutcome::Invalid { problem } => {
            let says = case.says.expect("an edit that can be applied");
            assert!(problem.contains(&says), "{label}: {problem}");
            assert_eq!(log, log_with_three_rules(), "{label}");
        }
        other => panic!("{label}: {other:?}"),
    }
}

/// The rules a, b and c at revision 3.
fn log_with_three_rules() -> rule_log::RuleLog {
    let mut log = rule_log::RuleLog::new(9, 9);
    for (id, base) in [("a", 0), ("b", 1), ("c", 2)] {
        let rule = rules::Rule {
            id: id.to_owned(),
            when: rules::When::default(),
            action: rules::Action::Refuse(rules::Refuse::default()),
            not_repeatable: None,
            deadline_ms: None,
        };
        let edit = rules::Edit::Add {
            rule: Box::new(rule),
            position: rules::Position::Last,
        };
        log.apply_change(change(id, base, edit));
    }
    log
}

fn change(id: &str, base: u64, edit: rules::Edit) -> rules::Change {
    rules::Change {
        change_id: id.to_owned(),
        base_revision: rules::Revision(base),
        edit,
        operator: "desk".to_owned(),
    }
}

fn second_arrivals(path: &path::Path) -> Checked {
    for case in read::<ClaimCase>(path)? {
        assert_eq!(second_arrival(case.steps), case.second, "{}", case.label);
    }
    Ok(())
}

fn second_arrival(steps: Vec<Step>) -> String {
    let mut table = claim_table::ClaimTable::new(claim_table::Limits {
        answer_bytes: 4,
        ..claim_table::Limits::default()
    });
    let first = claim("vm1").holder;
    assert_eq!(describe(table.claim(claim("vm1"))), "granted");
    for step in steps {
        match step {
            Step::Settle(end) => settle(&mut table, &first, end),
            Step::OtherSettles(end) => settle(&mut table, &claim("vm2").holder, end),
            Step::Gone(vm, below) => {
                table.holder_gone(&vm, endpoints::Incarnation(below));
            }
            Step::Clock(unix_ms) => {
                table.advance_clock(unix_ms);
            }
        }
    }
    // The second arrival is at a VM that no step names, since a holder does not claim again after it has
    // settled.
    describe(table.claim(claim("vm3")))
}

fn claim(vm: &str) -> claims::Claim {
    claims::Claim {
        key: claims::ClaimKey {
            caller: "clearflow".to_owned(),
            key: "dispatch-1".to_owned(),
        },
        holder: claims::Holder {
            vm: vm.to_owned(),
            incarnation: endpoints::Incarnation(5),
            request_id: format!("{vm}-1"),
        },
        digest: 7,
        retention: time::Millis(1_000),
    }
}

fn settle(table: &mut claim_table::ClaimTable, by: &claims::Holder, end: End) {
    let end = match end {
        End::Unknown => claims::ExecutionOutcome::Unknown,
        End::NotRun => claims::ExecutionOutcome::NotRun,
        End::Ran(body) => claims::ExecutionOutcome::Ran {
            answer: Some(claims::RecordedAnswer {
                status: 200,
                content_type: "text/plain".to_owned(),
                body: body.into_bytes(),
            }),
        },
    };
    table.settle(claims::Settle {
        key: claim("vm1").key,
        holder: by.clone(),
        end,
    });
}

fn describe(claimed: claim_table::ClaimAttempt) -> String {
    use claims::ClaimOutcome;
    let outcome = match claimed {
        claim_table::ClaimAttempt::Reply(outcome) => outcome,
        claim_table::ClaimAttempt::TooLate => return "too late".to_owned(),
    };
    match outcome {
        ClaimOutcome::Granted => "granted".to_owned(),
        ClaimOutcome::Running { holder } => {
            assert_eq!(holder, claim("vm1").holder);
            "running".to_owned()
        }
        ClaimOutcome::Ran { answer: None } => "ran".to_owned(),
        ClaimOutcome::Ran {
            answer: Some(answer),
        } => format!("ran {}", String::from_utf8_lossy(&answer.body)),
        ClaimOutcome::Unknown => "unknown".to_owned(),
        ClaimOutcome::OtherContent => "other content".to_owned(),
        ClaimOutcome::Full => "full".to_owned(),
    }
}
