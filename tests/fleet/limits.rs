//! Endpoints that name in their answers how many requests a second they take from all VMs together.

use std::{thread, time};

use crate::{
    fleet::Fleet,
    standin::{
        Message,
        caller::Ask,
        engine::{Does, Engine},
        operator,
    },
};

/// Requests a second that the endpoint in need names.
const LIMIT: f64 = 1.0;

/// The span over which its requests are counted.
const SPAN: time::Duration = time::Duration::from_secs(4);

/// What an endpoint may get in [`SPAN`]: one and a half times what its limit allows, and five for what is under way
/// when it speaks.
const MOST: usize = 11;

/// From when on requests count, once each process was told.
const TOLD: time::Duration = time::Duration::from_millis(500);

/// For how long callers ask.
const LOAD: time::Duration = time::Duration::from_secs(9);

/// The most that arrived within [`SPAN`], of what arrived at or after `from`.
fn most(arrived: &[time::Instant], from: time::Instant) -> usize {
    let arrived: Vec<_> = arrived.iter().copied().filter(|at| *at >= from).collect();
    let begun = arrived.iter().enumerate();
    let counts = begun.map(|(at, begin)| {
        let within = arrived[at..].iter().take_while(|it| **it - *begin < SPAN);
        within.count()
    });
    counts.max().unwrap_or(0)
}

/// What callers ask for.
struct Load {
    path: &'static str,
    deadline_ms: u32,
}

/// Asks with a prompt that no endpoint keeps, so that all are as good.
fn ask(fleet: &Fleet, entry: usize, load: &Load, id: &str, number: usize) -> Option<Message> {
    let lines = format!("Model: m1\r\nToken-Usage: 100,10\r\nPrompt-Prefix: {number:x}:100\r\n");
    let plain = Ask::new("GET", load.path, id);
    let ask = Ask {
        lines: if plain.model.is_some() { &lines } else { "" },
        model: None,
        deadline_ms: load.deadline_ms,
        ..plain
    };
    fleet.ask(entry, &ask)
}

/// Asks until each entry process has passed on an answer of `endpoint`, while the one beside it takes nothing.
fn tell_all(fleet: &Fleet, endpoint: &Engine, beside: &Engine, load: &Load) {
    beside.does(Does::Rejects);
    for entry in 0..fleet.entries.len() {
        let mut number = 0;
        fleet.until("an entry process has an answer of the endpoint", || {
            number += 1;
            let id = format!("tell-{entry}-{number}");
            let answer = ask(fleet, entry, load, &id, number);
            answer.is_some_and(|it| it.status() == 200) && endpoint.runs(&id) > 0
        });
    }
    beside.does(Does::Answers);
}

/// Some 30 requests a second, from two callers an entry process. Returns the answers.
fn answers(fleet: &Fleet, load: &Load) -> Vec<Message> {
    let begin = time::Instant::now();
    thread::scope(|scope| {
        let caller = |caller: usize| {
            let mut answers = Vec::new();
            while begin.elapsed() < LOAD {
                let id = format!("load-{caller}-{}", answers.len());
                let number = (caller + 1) * 1_000 + answers.len();
                let answer = ask(fleet, caller % fleet.entries.len(), load, &id, number);
                answers.push(answer.expect("each request is answered"));
                thread::sleep(time::Duration::from_millis(120));
            }
            answers
        };
        let callers = 2 * fleet.entries.len();
        let callers: Vec<_> = (0..callers)
            .map(|it| scope.spawn(move || caller(it)))
            .collect();
        let ended = callers
            .into_iter()
            .map(|it| it.join().expect("a caller ends"));
        ended.flatten().collect()
    })
}

/// One kind of endpoint.
struct Case {
    load: Load,
    /// Of the endpoints of a fleet that is ready, the one in need and the one beside it.
    endpoint: usize,
    beside: usize,
}

/// An endpoint in need named in its answers how many requests it takes from all VMs together, and went on getting as many
/// as those beside it: 20 in four seconds where 13 were allowed. Every entry process passed the answers on and none read
/// the limit, nor is there one that sees all requests. What settled it here, in the lines of both processes:
/// `endpoint names a limit .. endpoint="e1" per_s="1"`, and four seconds later `requests sent to an endpoint that
/// names a limit .. sent="32" span_ms="4014"` by the one, `sent="40"` by the other.
#[test]
fn an_endpoint_that_names_a_limit_gets_no_more_from_all_processes_together() {
    let cases = [
        Case {
            load: Load {
                path: "/stream/x",
                deadline_ms: 8_000,
            },
            endpoint: 0,
            beside: 1,
        },
        Case {
            load: Load {
                path: "/again/x",
                deadline_ms: 8_000,
            },
            endpoint: 2,
            beside: 3,
        },
    ];
    for case in cases {
        let (fleet, engines) = Fleet::ready();
        let endpoint = &engines[case.endpoint];
        endpoint.names_limit(Some(LIMIT));
        tell_all(&fleet, endpoint, &engines[case.beside], &case.load);
        let from = time::Instant::now() + TOLD;
        let answers = answers(&fleet, &case.load);
        let most = endpoint.seen(|seen| most(&seen.arrived, from));
        assert!(
            most <= MOST,
            "{most} in 4 s at {}, {MOST} allowed",
            case.load.path
        );
        // The endpoint beside it takes what it does not.
        for answer in answers {
            assert_eq!(answer.status(), 200, "{}: {}", case.load.path, answer.head);
        }
    }
}

/// The same where no other endpoint holds the model. Callers of what the endpoint can't take are told so, and when to
/// come back.
#[test]
fn callers_of_an_endpoint_with_a_limit_are_told_when_to_come_back() {
    let fleet = Fleet::start(3, 2);
    fleet.replace(&operator::config(10));
    let endpoint = fleet.engine("e1", "engines", 31, &["m1"]);
    let beside = fleet.engine("p1", "plain", 33, &[]);
    endpoint.names_limit(Some(LIMIT));
    let load = Load {
        path: "/stream/x",
        deadline_ms: 2_000,
    };
    tell_all(&fleet, &endpoint, &beside, &load);
    let from = time::Instant::now() + TOLD;
    let answers = answers(&fleet, &load);
    let most = endpoint.seen(|seen| most(&seen.arrived, from));
    assert!(most <= MOST, "{most} in 4 s, {MOST} allowed");
    let served = answers.iter().filter(|it| it.status() == 200).count();
    assert!(served > 0, "none is served");
    for answer in answers.iter().filter(|it| it.status() != 200) {
        assert_eq!(answer.status(), 503, "{}", answer.head);
        assert!(answer.header("retry-after").is_some(), "{}", answer.head);
    }
}
