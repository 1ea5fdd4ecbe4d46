//! The whole state: orders, drains, pins, replay of the log, and the encoding.

use sageshed_state::{codec, command, control};
use sageshed_types::{claims, endpoints, quarantine, rules, time};

fn load(endpoint: &str, incarnation: u64, model: &str) -> command::ProposedOrder {
    command::ProposedOrder {
        endpoint: endpoint.to_owned(),
        incarnation: endpoints::Incarnation(incarnation),
        task: endpoints::Task::Load {
            model: model.to_owned(),
            version: 1,
            memory_mib: 100,
            base: None,
        },
    }
}

fn issue(term: u64, orders: &[command::ProposedOrder]) -> command::Command {
    command::Command::IssueOrders {
        term,
        orders: orders.to_vec(),
    }
}

fn apply(state: &mut control::ControlState, command: command::Command) -> command::Outcome {
    state.apply(state.applied() + 1, command)
}

fn issued(outcome: command::Outcome) -> Vec<endpoints::Order> {
    match outcome {
        command::Outcome::Issue(command::IssueOutcome::Issued(orders)) => orders,
        other => panic!("{other:?}"),
    }
}

fn fence(outcome: &command::Outcome) -> endpoints::Fence {
    match outcome {
        command::Outcome::LeaderStarted { fence } => *fence,
        other => panic!("{other:?}"),
    }
}

fn open(state: &control::ControlState) -> Vec<u64> {
    state.orders().open().map(|order| order.order.0).collect()
}

// Guards against issuing orders of a replaced leader. The leader is partitioned with a proposal in
// flight, its successor assigns the memory to another model, then the old proposal is committed. Both
// models would be loaded into the same memory.
#[test]
fn orders_of_an_old_leader_that_commit_late_are_not_issued() {
    let mut state = control::ControlState::default();
    let started = |term| command::Command::LeaderStarted { term };
    apply(&mut state, started(4));
    assert_eq!(
        issued(apply(&mut state, issue(4, &[load("e1", 1, "a")]))).len(),
        1
    );
    apply(&mut state, started(6));
    let late = apply(&mut state, issue(4, &[load("e1", 1, "b")]));
    let refused = command::IssueOutcome::StaleTerm { highest: 6 };
    assert_eq!(late, command::Outcome::Issue(refused.clone()));
    // The old leader's first command, committed late, does not lower the highest started term.
    apply(&mut state, started(5));
    let late = apply(&mut state, issue(5, &[load("e1", 1, "b")]));
    assert_eq!(late, command::Outcome::Issue(refused));
    assert_eq!(open(&state), [1]);
}

#[test]
fn ids_and_fencing_tokens_increase_with_every_order_and_every_leader() {
    let mut state = control::ControlState::default();
    let first = fence(&apply(
        &mut state,
        command::Command::LeaderStarted { term: 1 },
    ));
    let orders = issued(apply(
        &mut state,
        issue(1, &[load("e1", 1, "a"), load("e2", 1, "a")]),
    ));
    let second = fence(&apply(
        &mut state,
        command::Command::LeaderStarted { term: 2 },
    ));
    apply(
        &mut state,
        command::Command::SettleOrders(vec![orders[1].order]),
    );
    let later = issued(apply(&mut state, issue(2, &[load("e2", 1, "a")])));
    let fences = [
        first,
        orders[0].fence,
        orders[1].fence,
        second,
        later[0].fence,
    ];
    assert!(fences.is_sorted_by(|a, b| a < b), "{fences:?}");
    let ids = [orders[0].order, orders[1].order, later[0].order];
    assert!(ids.is_sorted_by(|a, b| a < b), "{ids:?}");
}

// Guards against issuing one order twice. A leader proposes a load, does not learn the outcome and
// proposes it again. Two orders would be sent, and the memory would be counted twice.
#[test]
fn an_order_that_equals_an_open_one_is_not_issued_again() {
    let mut state = control::ControlState::default();
    let first = issued(apply(&mut state, issue(1, &[load("e1", 1, "a")])));
    let again = issued(apply(&mut state, issue(2, &[load("e1", 1, "a")])));
    assert_eq!(first, again);
    let others = [load("e1", 2, "a"), load("e2", 1, "a"), load("e1", 1, "b")];
    apply(&mut state, issue(2, &others));
    assert_eq!(open(&state), [1, 2, 3, 4]);
}

#[test]
fn orders_close_by_report_incarnation_or_departure_and_by_nothing_else() {
    struct Case {
        command: command::Command,
        open: &'static [u64],
    }
    let incarnation = |endpoint: &str, incarnation| command::Command::EndpointIncarnation {
        endpoint: endpoint.to_owned(),
        incarnation: endpoints::Incarnation(incarnation),
    };
    let settle = |ids: &[u64]| {
        let ids = ids.iter().copied().map(endpoints::OrderId);
        command::Command::SettleOrders(ids.collect())
    };
    let gone = |endpoint: &str| command::Command::EndpointGone {
        endpoint: endpoint.to_owned(),
    };
    let cases = [
        Case {
            command: settle(&[1, 3, 9]),
            open: &[2],
        },
        Case {
            command: incarnation("e1", 1),
            open: &[1, 2, 3],
        },
        Case {
            command: incarnation("e1", 2),
            open: &[2, 3],
        },
        Case {
            command: incarnation("e1", 3),
            open: &[3],
        },
        Case {
            command: gone("e1"),
            open: &[3],
        },
        Case {
            command: gone("e3"),
            open: &[1, 2, 3],
        },
        Case {
            command: command::Command::Clock { unix_ms: u64::MAX },
            open: &[1, 2, 3],
        },
        Case {
            command: command::Command::LeaderStarted { term: 9 },
            open: &[1, 2, 3],
        },
    ];
    for case in cases {
        let mut state = control::ControlState::default();
        let orders = [load("e1", 1, "a"), load("e1", 2, "a"), load("e2", 1, "a")];
        apply(&mut state, issue(1, &orders));
        let label = format!("{:?}", case.command);
        apply(&mut state, case.command);
        assert_eq!(open(&state), case.open, "{label}");
    }
}

// Guards against applying a delayed retry of a drain. An operator drains a VM, the reply is lost, the
// drain is ended, and the retry of the first command arrives last. The VM would be drained unnoticed.
#[test]
fn a_delayed_retry_of_a_drain_changes_nothing() {
    struct Case {
        on: bool,
        change_id: &'static str,
        outcome: command::DrainOutcome,
        draining: &'static [&'static str],
    }
    let cases = [
        Case {
            on: true,
            change_id: "x",
            outcome: command::DrainOutcome::Recorded,
            draining: &["vm1"],
        },
        Case {
            on: false,
            change_id: "y",
            outcome: command::DrainOutcome::Recorded,
            draining: &[],
        },
        Case {
            on: true,
            change_id: "x",
            outcome: command::DrainOutcome::Recorded,
            draining: &[],
        },
        Case {
            on: true,
            change_id: "y",
            outcome: command::DrainOutcome::ChangeIdReused,
            draining: &[],
        },
        Case {
            on: true,
            change_id: "z",
            outcome: command::DrainOutcome::Recorded,
            draining: &["vm1"],
        },
    ];
    let mut state = control::ControlState::default();
    for case in cases {
        let drain = command::Command::DrainVm {
            vm: "vm1".to_owned(),
            on: case.on,
            change_id: case.change_id.to_owned(),
        };
        assert_eq!(
            apply(&mut state, drain),
            command::Outcome::Drain(case.outcome)
        );
        assert!(state.draining().eq(case.draining.iter().copied()));
    }
}

#[test]
fn pins_are_added_and_removed() {
    let mut state = control::ControlState::default();
    let pin = |zone: &str| command::Command::Pin {
        model: "m".to_owned(),
        place: command::Place::AvailabilityZone(zone.to_owned()),
    };
    let unpin = |zone: &str| command::Command::Unpin {
        model: "m".to_owned(),
        place: command::Place::AvailabilityZone(zone.to_owned()),
    };
    let changed = |changed| command::Outcome::Pin { changed };
    assert_eq!(apply(&mut state, pin("z1")), changed(true));
    assert_eq!(apply(&mut state, pin("z1")), changed(false));
    assert_eq!(apply(&mut state, unpin("z2")), changed(false));
    assert_eq!(state.pins().count(), 1);
    assert_eq!(apply(&mut state, unpin("z1")), changed(true));
    assert_eq!(apply(&mut state, unpin("z1")), changed(false));
    assert_eq!(state.pins().count(), 0);
}

// Guards against applying entries twice. A control process restarts and applies its log on top of a
// snapshot that already includes the first entries. An order applied twice would be issued twice.
#[test]
fn an_entry_included_in_the_snapshot_is_not_applied_again() {
    let mut state = control::ControlState::default();
    state.apply(5, issue(1, &[load("e1", 1, "a")]));
    state.apply(
        6,
        command::Command::SettleOrders(vec![endpoints::OrderId(1)]),
    );
    let before = state.clone();
    let again = state.apply(5, issue(1, &[load("e1", 1, "a")]));
    assert_eq!(again, command::Outcome::AlreadyApplied);
    assert_eq!(state, before);
}

/// A command of each part of the state.
fn commands() -> Vec<command::Command> {
    let rule = rules::Rule {
        id: "slow".to_owned(),
        when: rules::When::default(),
        action: rules::Action::Limit(rules::Limit {
            rate: 0.1,
            burst: 1.0,
            per: rules::LimitScope::Caller,
        }),
        not_repeatable: Some(true),
        deadline_ms: None,
    };
    let change = rules::Change {
        change_id: "c1".to_owned(),
        base_revision: rules::Revision(0),
        edit: rules::Edit::Add {
            rule: Box::new(rule),
            position: rules::Position::First,
        },
        operator: "desk".to_owned(),
    };
    let key = |key: &str| claims::ClaimKey {
        caller: "kootenay".to_owned(),
        key: key.to_owned(),
    };
    let holder = claims::Holder {
        vm: "vm1".to_owned(),
        incarnation: endpoints::Incarnation(3),
        request_id: "r".to_owned(),
    };
    let claim = |on: &str| claims::Claim {
        key: key(on),
        holder: holder.clone(),
        digest: u64::MAX,
        retention: time::Millis(1_000),
    };
    let answer = claims::RecordedAnswer {
        status: 201,
        content_type: "application/json".to_owned(),
        body: (0..=255).collect(),
    };
    let settle = |on: &str, end| claims::Settle {
        key: key(on),
        holder: holder.clone(),
        end,
    };
    vec![
        command::Command::LeaderStarted { term: 2 },
        command::Command::Change(change),
        command::Command::Claim(claim("a")),
        command::Command::Settle(settle(
            "a",
            claims::ExecutionOutcome::Ran {
                answer: Some(answer),
            },
        )),
        command::Command::Clock {
            unix_ms: 1_700_000_000_000,
        },
        command::Command::Claim(claim("b")),
        command::Command::Settle(settle("b", claims::ExecutionOutcome::Unknown)),
        command::Command::Settle(settle("c", claims::ExecutionOutcome::NotRun)),
        command::Command::HolderGone {
            vm: "vm1".to_owned(),
            incarnation_below: endpoints::Incarnation(4),
        },
        issue(2, &[load("e1", 1, "a")]),
        command::Command::DrainVm {
            vm: "vm2".to_owned(),
            on: true,
            change_id: "d".to_owned(),
        },
        command::Command::Pin {
            model: "m".to_owned(),
            place: command::Place::Endpoint("e1".to_owned()),
        },
    ]
}

#[test]
fn state_and_commands_are_unchanged_by_encoding_and_decoding() {
    let mut state = control::ControlState::default();
    let mut twin = control::ControlState::default();
    for command in commands() {
        let bytes = command.to_bytes().expect("a command can be written");
        let read = command::Command::from_bytes(&bytes).expect("and read");
        assert_eq!(read, command);
        assert_eq!(apply(&mut state, command), apply(&mut twin, read));
        let bytes = twin.to_bytes().expect("the state can be written");
        twin = control::ControlState::from_bytes(&bytes).expect("and read");
        assert_eq!(twin, state);
        assert_eq!(state.to_bytes().expect("written"), bytes);
    }
}

#[test]
fn bytes_of_another_format_are_refused() {
    let state = control::ControlState::default();
    let good = state.to_bytes().expect("the state can be written");
    let mut later = good.clone();
    later[0] += 1;
    let read = control::ControlState::from_bytes;
    assert!(matches!(
        read(&later),
        Err(codec::Error::Format { found: 2 })
    ));
    assert!(matches!(
        read(&good[..3]),
        Err(codec::Error::Short { len: 3 })
    ));
    let cut = &good[..good.len() - 1];
    assert!(matches!(read(cut), Err(codec::Error::Read { .. })));
}

// Guards against losing the quarantined requests when all control processes are killed: they must be
// part of the encoded state.
#[test]
fn quarantined_requests_survive_a_restart() {
    let mut state = control::ControlState::default();
    let held = quarantine::QuarantinedRequest {
        content: quarantine::Fingerprint(7),
        endpoints: vec![1, 2, 3],
    };
    let outcome = apply(
        &mut state,
        command::Command::HoldRequests(vec![held.clone()]),
    );
    assert_eq!(outcome, command::Outcome::RequestsHeld);
    let bytes = state.to_bytes().expect("written");
    let read = control::ControlState::from_bytes(&bytes).expect("read");
    assert_eq!(read.held_requests(), [held]);
    apply(&mut state, command::Command::HoldRequests(Vec::new()));
    assert!(state.held_requests().is_empty());
}
