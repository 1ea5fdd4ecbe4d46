//! Changes of the rules between the client and the port: races, resends, lost answers, leaders.

use std::{
    io::{Read as _, Write as _},
    net, thread,
};

use sageshed_operators::{backend::Trouble, client, wire};
use sageshed_types::rules::{ChangeOutcome, Revision};

mod support;

use support::{Act, Fake, TOKEN, add};

/// Two operators read revision 0 and both send a change on top of it. The second must not undo or
/// jump the first unseen: it is told who came between, with what, and what to do.
#[test]
fn second_of_two_racing_operators_is_told_what_came_between() {
    let fake = Fake::with([]);
    let port = support::port(&fake, TOKEN);
    let client = support::client(&[port.address().to_string()], TOKEN);

    let first = client.change(&add("a", 0, "night"));
    let second = client.change(&add("b", 0, "day"));

    let revision = Revision(1);
    assert_eq!(first.unwrap(), ChangeOutcome::Accepted { revision });
    let Ok(ChangeOutcome::Conflict { revision, between }) = second else {
        panic!("expected a conflict: {second:?}");
    };
    assert_eq!(revision, Revision(1));
    let text = sageshed_operators::describe::conflict(Revision(0), revision, &between);
    for part in [
        "builds on revision 0 and the newest is 1",
        "revision 1 by ailsa: added rule `night` first (change id a)",
        "read the rules again",
        "send it on top of 1",
    ] {
        assert!(text.contains(part), "{part} is missing in: {text}");
    }
}

/// An operator sends the same change again, not sure of the first; or another one under the id of
/// the first by mistake.
#[test]
fn resend_gets_first_answer_and_reused_id_an_error() {
    let fake = Fake::with([]);
    let port = support::port(&fake, TOKEN);
    let client = support::client(&[port.address().to_string()], TOKEN);
    let revision = Revision(1);

    assert_eq!(
        client.change(&add("a", 0, "night")).unwrap(),
        ChangeOutcome::Accepted { revision }
    );
    assert_eq!(
        client.change(&add("a", 0, "night")).unwrap(),
        ChangeOutcome::Accepted { revision }
    );
    assert_eq!(
        client.change(&add("a", 1, "day")).unwrap(),
        ChangeOutcome::ChangeIdReused { revision }
    );
    assert_eq!(fake.revision(), revision);
}

/// The change is accepted, and the connection breaks before the answer is there. The operator would
/// see a failure and the rule would be in force, or be there twice after a second try. The client
/// sends the same change to the next control process, which knows its id.
#[test]
fn lost_answer_is_asked_for_again_with_same_id() {
    let fake = Fake::with([]);
    let port = support::port(&fake, TOKEN);
    let relay = support::answer_losing_relay(port.address());
    let client = support::client(&[relay, port.address().to_string()], TOKEN);

    let outcome = client.change(&add("a", 0, "night"));

    let revision = Revision(1);
    assert_eq!(outcome.unwrap(), ChangeOutcome::Accepted { revision });
    assert_eq!(fake.calls(), ["a", "a"]);
    assert_eq!(fake.revision(), revision);
}

/// The same, and no other control process answers. Saying that nothing was done would be false.
#[test]
fn lost_answer_that_nobody_can_give_again_is_unknown() {
    let fake = Fake::with([]);
    let port = support::port(&fake, TOKEN);
    let relay = support::answer_losing_relay(port.address());
    let client = support::client(&[relay, support::nobody()], TOKEN);

    assert_eq!(
        seen(client.change(&add("a", 0, "night"))),
        Expected::Unknown
    );
    assert_eq!(fake.revision(), Revision(1));
}

/// Guards against an operator who is told that a change has taken hold by an answer whose status HTTP does not define.
#[test]
fn an_answer_without_a_final_status_does_not_count() {
    for status in ["000", "099", "100", "101"] {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound").to_string();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let body = r#"{"accepted":{"revision":1}}"#;
                let length = body.len();
                let answer =
                    format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{body}");
                // The client closes the connection of an answer that does not count.
                let _ = stream.read(&mut [0; 4_096]);
                let _ = stream.write_all(answer.as_bytes());
            }
        });
        let client = support::client(&[address], TOKEN);
        let outcome = client.change(&add("a", 0, "night"));
        assert_eq!(seen(outcome), Expected::Unknown, "{status}");
    }
}

/// An answer to a change, and what the client makes of it if a control process sends this each time.
struct Sent {
    name: &'static str,
    answer: &'static [u8],
    expected: Expected,
}

/// Guards against an operator who is told that a change failed, though only the end of the answer to it is lost.
#[test]
fn an_answer_that_is_cut_leaves_the_outcome_unknown() {
    let cut = |name, answer| Sent {
        name,
        answer,
        expected: Expected::Unknown,
    };
    let whole = |name, answer| Sent {
        name,
        answer,
        expected: Expected::Accepted,
    };
    let cases = [
        whole(
            "whole by its length",
            b"HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n{\"accepted\":{\"revision\":1}}",
        ),
        whole(
            "whole with neither a length nor chunks",
            b"HTTP/1.1 200 OK\r\n\r\n{\"accepted\":{\"revision\":1}}",
        ),
        cut(
            "inside its length",
            b"HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n{\"accepted\":{\"revi",
        ),
        cut(
            "before its body",
            b"HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n",
        ),
        cut(
            "inside a chunk",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1b\r\n{\"accepted\":{\"revi",
        ),
        cut(
            "between two chunks",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"acc\r\n",
        ),
        cut(
            "with neither a length nor chunks",
            b"HTTP/1.1 200 OK\r\n\r\n{\"accepted\":{\"revi",
        ),
        cut(
            "before its body, with neither a length nor chunks",
            b"HTTP/1.1 200 OK\r\n\r\n",
        ),
        cut(
            "in HTTP/1.0",
            b"HTTP/1.0 200 OK\r\n\r\n{\"accepted\":{\"revi",
        ),
        cut(
            "a refusal with neither a length nor chunks",
            b"HTTP/1.1 409 Conflict\r\n\r\n{\"type\":\"urn:sage",
        ),
    ];
    for case in cases {
        let client = support::client(&[support::answering(case.answer)], TOKEN);
        let outcome = client.change(&add("a", 0, "night"));
        assert_eq!(seen(outcome), case.expected, "{}", case.name);
    }
}

/// Guards against a change that is not sent again after the answer to it was cut.
#[test]
fn a_change_whose_answer_was_cut_is_sent_to_the_next_process() {
    let fake = Fake::with([]);
    let port = support::port(&fake, TOKEN);
    let cut = support::answering(b"HTTP/1.1 200 OK\r\n\r\n{\"accepted\":{\"revi");
    let client = support::client(&[cut, port.address().to_string()], TOKEN);
    let outcome = client.change(&add("a", 0, "night"));
    assert_eq!(seen(outcome), Expected::Accepted);
    assert_eq!(fake.calls(), ["a"]);
}

struct Ending {
    name: &'static str,
    acts: Vec<Act>,
    /// What the client makes of it.
    expected: Expected,
}

#[derive(Debug, PartialEq)]
enum Expected {
    Accepted,
    Unreachable,
    Unknown,
    Refused(wire::Kind),
    Garbled,
}

fn seen(result: Result<ChangeOutcome, client::Error>) -> Expected {
    match result {
        Ok(ChangeOutcome::Accepted { .. }) => Expected::Accepted,
        Err(client::Error::Unreachable { .. }) => Expected::Unreachable,
        Err(client::Error::Unknown { .. }) => Expected::Unknown,
        Err(client::Error::Refused(problem)) => Expected::Refused(problem.kind),
        Err(client::Error::Garbled { .. }) => Expected::Garbled,
        other => panic!("not expected here: {other:?}"),
    }
}

#[test]
fn client_says_what_may_have_come_of_a_change() {
    let no_leader = || Act::Say(Trouble::NotLeader { leader: None });
    let endings = [
        Ending {
            name: "the group elects, then answers",
            acts: vec![no_leader()],
            expected: Expected::Accepted,
        },
        Ending {
            name: "no quorum at all: it was not done",
            acts: vec![Act::Say(Trouble::NoQuorum), Act::Say(Trouble::NoQuorum)],
            expected: Expected::Unreachable,
        },
        Ending {
            name: "done with an unknown outcome, then known by its id",
            acts: vec![Act::DoThenUnknown],
            expected: Expected::Accepted,
        },
        Ending {
            name: "unknown each time",
            acts: vec![Act::Say(Trouble::Unknown), Act::Say(Trouble::Unknown)],
            expected: Expected::Unknown,
        },
        Ending {
            name: "unknown, then no quorum: it stays unknown",
            acts: vec![Act::Say(Trouble::Unknown), Act::Say(Trouble::NoQuorum)],
            expected: Expected::Unknown,
        },
        Ending {
            name: "unknown, then a refusal that is no outcome: it stays unknown",
            acts: vec![
                Act::Say(Trouble::Unknown),
                Act::Say(Trouble::Full("no room for change ids".to_owned())),
            ],
            expected: Expected::Unknown,
        },
        Ending {
            name: "a bound is reached",
            acts: vec![Act::Say(Trouble::Full("no room".to_owned()))],
            expected: Expected::Refused(wire::Kind::Full),
        },
    ];
    for Ending {
        name,
        acts,
        expected,
    } in endings
    {
        let fake = Fake::with(acts);
        let port = support::port(&fake, TOKEN);
        let client = support::client(&[port.address().to_string()], TOKEN);
        assert_eq!(
            seen(client.change(&add("a", 0, "night"))),
            expected,
            "{name}"
        );
    }
}

/// The operator names one control process, which follows. The leader is another one, which the
/// operator did not name.
#[test]
fn leader_that_was_not_named_is_found_by_hint() {
    let leader = Fake::with([]);
    let leader_port = support::port(&leader, TOKEN);
    let follower = Fake::always(Trouble::NotLeader {
        leader: Some(leader_port.address().to_string()),
    });
    let follower_port = support::port(&follower, TOKEN);
    let client = support::client(&[follower_port.address().to_string()], TOKEN);

    assert_eq!(
        seen(client.change(&add("a", 0, "night"))),
        Expected::Accepted
    );
    assert_eq!(follower.calls().len(), 1);
    assert_eq!(leader.calls().len(), 1);
}

/// During an election a process can name a leader that names it back. The client would go round
/// between them for ever.
#[test]
fn hints_in_a_circle_end() {
    let first = Fake::with([]);
    let second = Fake::with([]);
    let first_port = support::port(&first, TOKEN);
    let second_port = support::port(&second, TOKEN);
    let name = |port: &sageshed_operators::server::Server| {
        Act::Say(Trouble::NotLeader {
            leader: Some(port.address().to_string()),
        })
    };
    for _ in 0..100 {
        first.push(name(&second_port));
        second.push(name(&first_port));
    }
    let client = support::client(&[first_port.address().to_string()], TOKEN);

    assert_eq!(
        seen(client.change(&add("a", 0, "night"))),
        Expected::Unreachable
    );
    assert!(first.calls().len() + second.calls().len() < 20);
}

/// The first control VM is down. Nothing was sent to it, so the next one is asked, and if there is
/// none the operator is told that nothing was done.
#[test]
fn process_that_is_down_is_passed_over() {
    let fake = Fake::with([]);
    let port = support::port(&fake, TOKEN);
    let both = [support::nobody(), port.address().to_string()];

    let client = support::client(&both, TOKEN);
    assert_eq!(
        seen(client.change(&add("a", 0, "night"))),
        Expected::Accepted
    );
    let client = support::client(&both[..1], TOKEN);
    assert_eq!(
        seen(client.change(&add("b", 1, "day"))),
        Expected::Unreachable
    );
}
