//! `sageshed rules` and its neighbours against a port with a control process in memory: what an
//! operator reads when a change is taken, refused, or lost.

use std::{fs, path, process};

use sageshed_operators::backend::Trouble;
use sageshed_types::rules::Revision;

#[path = "../crates/sageshed-operators/tests/support/mod.rs"]
mod support;

use support::{Act, Fake, TOKEN};

const NIGHT: &str = "id = \"night\"\ndo = { refuse = { reason = \"closed\" } }";
const DAY: &str = "id = \"day\"\ndo = { route = {} }";

struct Seen {
    status: Option<i32>,
    out: String,
    err: String,
}

fn sageshed(port: &sageshed_operators::server::Server, args: &[&str]) -> Seen {
    let output = process::Command::new(env!("CARGO_BIN_EXE_sageshed"))
        .args(args)
        .env("SAGESHED_CONTROL", port.address().to_string())
        .env("SAGESHED_TOKEN", TOKEN)
        .output()
        .unwrap();
    Seen {
        status: output.status.code(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Another operator's change came first. The operator reads what it was and how to go on, and the
/// status tells a script that nothing was done.
#[test]
fn conflict_names_what_came_between_and_what_to_do() {
    let fake = Fake::with([]);
    let port = support::port(&fake, TOKEN);
    let first = sageshed(&port, &["rules", "add", "--rule", NIGHT, "--base", "0"]);
    let second = sageshed(&port, &["rules", "add", "--rule", DAY, "--base", "0"]);

    assert_eq!(first.status, Some(0), "{}", first.err);
    assert_eq!(first.out, "revision 1: added rule `night` last\n");
    assert_eq!(second.status, Some(1));
    for part in [
        "nothing was changed: the rules are at revision 1, not at 0",
        "revision 1 by ailsa: added rule `night` last",
        "send it with `--base 1`",
    ] {
        assert!(second.err.contains(part), "{part}: {}", second.err);
    }
}

/// The outcome stays unknown. The operator is told so, in a status of its own, and how to send the
/// same change again without doing it twice; doing that gives the first outcome.
#[test]
fn unknown_outcome_says_how_to_send_again() {
    let unknown = || Act::Say(Trouble::Unknown);
    let fake = Fake::with([
        Act::DoThenUnknown,
        unknown(),
        unknown(),
        unknown(),
        unknown(),
    ]);
    let port = support::port(&fake, TOKEN);
    let add = [
        "rules",
        "add",
        "--rule",
        NIGHT,
        "--base",
        "0",
        "--change-id",
        "a",
    ];

    let lost = sageshed(&port, &add);
    assert_eq!(lost.status, Some(3), "{}", lost.err);
    assert!(lost.err.contains("it may have taken hold"), "{}", lost.err);
    assert!(
        lost.err.contains("`--change-id a --base 0`"),
        "{}",
        lost.err
    );

    let again = sageshed(&port, &add);
    assert_eq!(again.status, Some(0), "{}", again.err);
    assert_eq!(again.out, "revision 1: added rule `night` last\n");
    assert_eq!(fake.revision(), Revision(1));
}

/// A file of rules keeps its order wherever its first rule is put.
#[test]
fn rules_of_a_file_are_added_in_order_and_listed() {
    let file = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("two-rules.toml");
    fs::write(&file, format!("[[rules]]\n{NIGHT}\n[[rules]]\n{DAY}\n")).unwrap();
    let fake = Fake::with([]);
    let port = support::port(&fake, TOKEN);
    let file = file.to_str().unwrap();
    let added = sageshed(
        &port,
        &["rules", "add", "--file", file, "--first", "--wait"],
    );

    assert_eq!(added.status, Some(0), "{}", added.err);
    assert_eq!(
        added.out,
        "revision 1: added rule `night` first\n\
         revision 2: added rule `day` after `night`\n\
         revision 2 is in force everywhere\n"
    );
    let listed = sageshed(&port, &["rules", "list"]);
    let (head, rules) = listed.out.split_once('\n').unwrap();
    assert_eq!(head, "# revision 2, first match first");
    let rules = sageshed::settings::parse_rules("list", rules)
        .unwrap()
        .rules;
    let ids: Vec<&str> = rules.iter().map(|rule| rule.id.as_str()).collect();
    assert_eq!(ids, ["night", "day"]);
}

struct Case {
    args: &'static [&'static str],
    status: i32,
    out: &'static str,
    err: &'static str,
}

const CASES: &[Case] = &[
    Case {
        args: &["status"],
        status: 0,
        out: "leader vm1 in term 3, rules at revision 0",
        err: "",
    },
    Case {
        args: &["status", "--json"],
        status: 0,
        out: "\"answered_by\":\"vm1\"",
        err: "",
    },
    Case {
        args: &["explain", "vm1-1"],
        status: 0,
        out: "refused as no_route (not_run)",
        err: "",
    },
    Case {
        args: &["explain", "vm1-2"],
        status: 1,
        out: "",
        err: "no entry process knows request `vm1-2`",
    },
    Case {
        args: &["rules", "withdraw", "x"],
        status: 1,
        out: "",
        err: "no rule `x` is in force",
    },
    Case {
        args: &["drain", "vm2"],
        status: 0,
        out: "sageshed drain vm2 --undo",
        err: "",
    },
    Case {
        args: &["drain", "vm2", "--undo"],
        status: 0,
        out: "vm2 takes requests again",
        err: "",
    },
    Case {
        args: &["endpoints"],
        status: 0,
        out: "ENDPOINT",
        err: "",
    },
    Case {
        args: &["models", "--json"],
        status: 0,
        out: "[]",
        err: "",
    },
    Case {
        args: &["models", "pin", "m1", "--endpoint", "e1"],
        status: 0,
        out: "m1 is pinned to e1\n",
        err: "",
    },
    Case {
        args: &["models", "unpin", "m1", "--endpoint", "e1", "--json"],
        status: 0,
        out: "{\"pin\":{\"model\":\"m1\",\"place\":{\"endpoint\":\"e1\"}},\"on\":false}",
        err: "",
    },
    Case {
        args: &["models", "unpin", "m1", "--availability-zone", "z1"],
        status: 0,
        out: "m1 is not pinned to z1\n",
        err: "",
    },
    Case {
        args: &["rules", "history", "--token", "wrong"],
        status: 1,
        out: "",
        err: "the token belongs to no operator",
    },
];

#[test]
fn commands_answer_by_table() {
    let fake = Fake::with([]);
    let port = support::port(&fake, TOKEN);
    for case in CASES {
        let seen = sageshed(&port, case.args);
        let args = case.args;
        assert_eq!(seen.status, Some(case.status), "{args:?}: {}", seen.err);
        assert!(seen.out.contains(case.out), "{args:?}: {}", seen.out);
        assert!(seen.err.contains(case.err), "{args:?}: {}", seen.err);
    }
}

/// The operator pins a model and takes the pin back: both reach the control group as what they are.
/// The answer to a third is lost for good, and the operator reads that sending it again does no
/// harm.
#[test]
fn pins_reach_the_control_group() {
    let fake = Fake::with([]);
    let port = support::port(&fake, TOKEN);
    for command in ["pin", "unpin"] {
        let seen = sageshed(&port, &["models", command, "m1", "--endpoint", "e1"]);
        assert_eq!(seen.status, Some(0), "{}", seen.err);
    }
    assert_eq!(fake.calls(), ["pin m1", "unpin m1"]);

    let fake = Fake::with([(); 12].map(|()| Act::Say(Trouble::Unknown)));
    let port = support::port(&fake, TOKEN);
    let lost = sageshed(&port, &["models", "pin", "m1", "--endpoint", "e1"]);
    assert_eq!(lost.status, Some(3), "{}", lost.err);
    assert!(lost.err.contains("done twice"), "{}", lost.err);
}
