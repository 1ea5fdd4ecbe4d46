//! A failure can be explained afterwards, by the logs alone.

use std::process;

use crate::{
    fleet::Fleet,
    standin::{caller::Ask, engine::Does},
};

/// How a request fails, and what its lines must say.
struct Case {
    name: &'static str,
    does: Does,
    path: &'static str,
    model: Option<&'static str>,
    status: u16,
    says: &'static [&'static str],
}

/// An engineer on call has the id of a failed request and the logs, and nothing else. The lines must
/// name what decided: the route, the configuration, the endpoint, what it did, and whether the
/// request may have run.
#[test]
fn each_failed_request_is_explained_by_its_lines() {
    let (fleet, engines) = Fleet::ready();
    let case = |name, does, path, model, status, says| Case {
        name,
        does,
        path,
        model,
        status,
        says,
    };
    let cases = [
        case(
            "closed",
            Does::Closes,
            "/once/x",
            None,
            502,
            &[
                "may have run",
                "closed before an answer",
                "route=\"once\"",
                "config=\"10\"",
                "verdict=\"may_have_run\"",
            ],
        ),
        case(
            "rejected",
            Does::Rejects,
            "/once/x",
            None,
            503,
            &[
                "without running it",
                "status=\"503\"",
                "verdict=\"not_run\"",
            ],
        ),
        case(
            "failed",
            Does::Fails(500),
            "/stream/x",
            Some("m1"),
            500,
            &[
                "request answered",
                "status=\"500\"",
                "model=\"m1\"",
                "estimate_ms",
            ],
        ),
        case(
            "unsigned",
            Does::AnswersUnsigned,
            "/once/x",
            None,
            502,
            &["does not vouch for"],
        ),
        case(
            "no such model",
            Does::Answers,
            "/stream/x",
            Some("m9"),
            503,
            &[
                "no engine holds the model",
                "model=\"m9\"",
                "verdict=\"not_run\"",
            ],
        ),
        case(
            "answered",
            Does::Answers,
            "/again/x",
            None,
            200,
            &["request answered", "endpoint=\"p", "took_ms"],
        ),
    ];
    for (number, case) in cases.iter().enumerate() {
        let id = format!("told-{number}");
        for engine in &engines {
            engine.does(case.does);
        }
        let ask = Ask {
            model: case.model,
            ..Ask::new("POST", case.path, &id)
        };
        let answer = fleet.ask(0, &ask).expect(case.name);
        assert_eq!(answer.status(), case.status, "{}", case.name);
        let account = account_of(&fleet, &id);
        for part in ["rule ", "deadline ", "took ", "end "] {
            assert!(account.contains(part), "{}: {account}", case.name);
        }
        let text = || explain(&fleet, &id);
        let tells = |text: &str| case.says.iter().all(|it| text.contains(it));
        fleet.until("its lines are written", || tells(&text()));
    }
}

/// A request fails, and its caller sends it again with another id, which another entry process takes. An
/// engineer on call sees endpoints fail and asks whether it is one request under all of them: the lines on both
/// tries say so, and those on another request do not.
#[test]
fn the_lines_tell_which_tries_are_one_request() {
    let (fleet, engines) = Fleet::ready();
    for engine in &engines {
        engine.does(Does::Closes);
    }
    let tries = [
        (0, "try-1", "prompt"),
        (1, "try-2", "prompt"),
        (0, "try-3", "another"),
    ];
    let contents = tries.map(|(entry, id, body)| {
        let ask = Ask {
            body,
            ..Ask::new("POST", "/once/x", id)
        };
        let answer = fleet.ask(entry, &ask).expect("an answer");
        assert_eq!(answer.status(), 502, "{id}");
        let mut content = None;
        fleet.until("its lines are written", || {
            let text = explain(&fleet, id);
            content = content_in(&text);
            content.is_some()
        });
        content
    });
    assert_eq!(contents[0], contents[1]);
    assert_ne!(contents[0], contents[2]);
}

/// The fingerprint that the line on a failed request names.
fn content_in(text: &str) -> Option<String> {
    let line = text.lines().find(|it| it.contains("may have run"))?;
    let (_, rest) = line.split_once("content=\"")?;
    let (content, _) = rest.split_once('"')?;
    Some(content.to_owned())
}

/// What `sageshed explain` prints of a request when it asks the live entry processes.
fn account_of(fleet: &Fleet, id: &str) -> String {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_sageshed"));
    command.args(["explain", id]);
    for entry in &fleet.entries {
        command.args(["--entry", &entry.metrics().to_string()]);
    }
    let out = command.output().expect("the program runs");
    String::from_utf8_lossy(&out.stdout).into_owned()
}

/// An operator asks for the account of a request while it is still known to the entry process, which
/// one of them it was being unknown. The account names the route, each endpoint it was sent to with
/// what came of it, and how it ended. One that nobody has taken is said to be unknown.
#[test]
fn an_entry_process_tells_what_happened_to_a_request() {
    let (fleet, engines) = Fleet::ready();
    for engine in &engines {
        engine.does(Does::Fails(500));
    }
    let answer = fleet.ask(1, &Ask::new("GET", "/again/x", "failed-1"));
    assert_eq!(answer.expect("an answer").status(), 500);
    for engine in &engines {
        engine.does(Does::Answers);
    }
    let answer = fleet.ask(0, &Ask::new("GET", "/again/x", "answered-1"));
    assert_eq!(answer.expect("an answer").status(), 200);
    let failed = account_of(&fleet, "failed-1");
    assert_eq!(failed.matches("\nsent ").count(), 2, "{failed}");
    assert!(failed.contains("failed with status 500"), "{failed}");
    let answered = account_of(&fleet, "answered-1");
    assert!(answered.contains("answered with status 200"), "{answered}");
    assert_eq!(account_of(&fleet, "never-came"), "");
}

/// What `sageshed logs` prints of a request.
fn explain(fleet: &Fleet, id: &str) -> String {
    let out = process::Command::new(env!("CARGO_BIN_EXE_sageshed"))
        .args(["logs", id])
        .args(fleet.entries.iter().map(crate::fleet::Process::log_file))
        .output()
        .expect("the program runs");
    String::from_utf8_lossy(&out.stdout).into_owned()
}

/// Whoever collects the logs stops to read, and the pipe is full after some hundred lines. Requests
/// must go on.
#[test]
fn a_reader_of_the_logs_who_stops_costs_no_request() {
    let (mut fleet, _engines) = Fleet::ready();
    fleet.entries[0].kill();
    fleet.entries[0].start_unread();
    fleet.until("it serves", || {
        let answer = fleet.ask(0, &Ask::new("GET", "/again/x", "first"));
        answer.is_some_and(|it| it.status() == 200)
    });
    for number in 0..1_500 {
        let id = format!("unread-{number}");
        // A path without a route is logged each time.
        let ask = Ask::new("GET", "/nowhere/x", &id);
        assert_eq!(fleet.ask(0, &ask).expect("an answer").status(), 404);
    }
}
