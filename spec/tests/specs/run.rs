//! The exploration itself, and the command line.

use std::fmt;

use sageshed_spec::{explore, run};

/// Counts up by one or two to a limit. The invariant is that the count is not five.
struct Counter {
    last: u32,
}

#[derive(Debug, Clone)]
struct Add(u32);

impl fmt::Display for Add {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "add {}", self.0)
    }
}

impl explore::Spec for Counter {
    type State = u32;
    type Event = Add;

    fn start(&self) -> u32 {
        0
    }

    fn next(&self, state: &u32) -> Vec<(Add, u32)> {
        let steps = [1, 2].map(|add| (Add(add), state + add));
        steps
            .into_iter()
            .filter(|(_, to)| *to <= self.last)
            .collect()
    }

    fn violation(&self, state: &u32) -> Option<String> {
        (*state == 5).then(|| "five".to_owned())
    }
}

const FAR: explore::Bound = explore::Bound {
    depth: 100,
    states: 100,
};

#[test]
fn the_shortest_counterexample_is_found() {
    let report = explore::explore(&Counter { last: 9 }, FAR);
    let found = report.counterexample.expect("five is reached");
    assert_eq!(found.events.len(), 3);
    assert_eq!(found.violation, "five");
}

#[test]
fn reached_limits_are_reported() {
    struct Case {
        last: u32,
        bound: explore::Bound,
        states: usize,
        limit: Option<explore::Limit>,
    }
    let cases = [
        Case {
            last: 4,
            bound: FAR,
            states: 5,
            limit: None,
        },
        Case {
            last: 9,
            bound: explore::Bound { depth: 1, ..FAR },
            states: 3,
            limit: Some(explore::Limit::Depth),
        },
        Case {
            last: 9,
            bound: explore::Bound { states: 3, ..FAR },
            states: 3,
            limit: Some(explore::Limit::States),
        },
    ];
    for case in cases {
        let report = explore::explore(&Counter { last: case.last }, case.bound);
        assert!(report.holds());
        assert_eq!((report.states, report.limit), (case.states, case.limit));
    }
}

#[test]
fn all_named_guards_exist() {
    let none = explore::Bound {
        depth: 0,
        states: 1,
    };
    for entry in run::ALL {
        for guard in entry.needed.iter().chain(entry.optional) {
            assert!(entry.explore(Some(guard), none).is_some(), "{guard}");
        }
        assert!(entry.explore(Some("no such guard"), none).is_none());
    }
}

#[test]
fn the_command_line_is_parsed() {
    let args = ["claims", "--without", "wait", "--depth", "7"].map(str::to_owned);
    let options = run::Options::read(args.into_iter()).expect("the arguments are right");
    let expected = run::Options {
        name: Some("claims".to_owned()),
        without: Some("wait".to_owned()),
        depth: Some(7),
        states: None,
    };
    assert_eq!(options, expected);
    let missing = ["--depth".to_owned()];
    run::Options::read(missing.into_iter()).expect_err("a value is missing");
}
