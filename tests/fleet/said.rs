//! What endpoints say of themselves in their answers: that they leave, that they want rest.

use std::time;

use crate::{
    fleet::{Fleet, Process},
    load::{self, Load},
    standin::{
        engine::{Arrival, Does, Engine},
        operator,
    },
};

/// From when on nothing more may come, once each process was told; half a second later than an answer, for what
/// was on its way.
const TOLD: time::Duration = time::Duration::from_millis(500);

/// Seconds of rest that an endpoint asks for.
const REST: f64 = 3.0;

/// Requests that may come from one process in that time.
const MOST: usize = 2;

/// One kind of endpoint.
struct Case {
    path: &'static str,
    /// Of the endpoints of a fleet that is ready, the one that speaks and the one beside it.
    endpoint: usize,
    beside: usize,
}

const CASES: [Case; 2] = [
    Case {
        path: "/stream/x",
        endpoint: 0,
        beside: 1,
    },
    Case {
        path: "/again/x",
        endpoint: 2,
        beside: 3,
    },
];

fn load_of(case: &Case) -> Load {
    Load {
        path: case.path,
        deadline_ms: 8_000,
    }
}

/// Whether an entry process knows that the endpoint leaves, by control or by an answer of its own.
fn knows(entry: &Process) -> bool {
    let log = entry.log();
    log.contains("\"state\":\"Leaving\"")
        || log.contains("endpoint reports in a response that it is leaving")
}

/// Requests that arrived at or after `from`.
fn since(endpoint: &Engine, from: time::Instant) -> usize {
    let arrived = endpoint.seen(|seen| seen.arrived.clone());
    arrived.iter().filter(|it| it.at >= from).count()
}

/// An endpoint said in its answers that it leaves, and an entry process that had passed one on sent it requests seven
/// seconds later. Control processes were cut from each other, those that this process heard did not know, and it read the
/// word of control alone. Here they go on saying that it is ready. What settled it, in one process's lines: `endpoint says
/// that it leaves .. request="tell-0-1"`, the same for `load-0-0`, `load-0-1` and on for nine seconds, and none between
/// by which control had said that it is ready.
#[test]
fn nothing_goes_to_an_endpoint_that_has_said_in_an_answer_that_it_leaves() {
    for case in CASES {
        let (fleet, engines) = Fleet::ready();
        let endpoint = &engines[case.endpoint];
        endpoint.says_that_it_leaves();
        let load = load_of(&case);
        load::tell(&fleet, 0, endpoint, &engines[case.beside], &load);
        fleet.until("the other one has heard it too", || {
            knows(&fleet.entries[1])
        });
        let from = time::Instant::now() + TOLD;
        let answers = load::answers(&fleet, &load);
        let count = since(endpoint, from);
        assert_eq!(count, 0, "{count} requests at {}", case.path);
        for answer in answers {
            assert_eq!(answer.status(), 200, "{}: {}", case.path, answer.head);
        }
    }
}

/// One entry process was told in an answer that an endpoint leaves, and control has nothing of it, as it calls no plain
/// endpoint. The others hear it from control, also one that starts only now: nothing goes there from any of them.
#[test]
fn all_entry_processes_know_what_one_was_told_in_an_answer() {
    let (mut fleet, engines) = Fleet::ready();
    let case = &CASES[1];
    let endpoint = &engines[case.endpoint];
    let load = load_of(case);
    endpoint.says_that_it_leaves();
    load::tell(&fleet, 0, endpoint, &engines[case.beside], &load);
    fleet.until("the other one hears it", || knows(&fleet.entries[1]));
    fleet.entries[1].kill();
    fleet.entries[1].start();
    fleet.until("it is back", || fleet.entries[1].ready() == 200);
    let from = time::Instant::now();
    let answers = load::answers(&fleet, &load);
    let count = since(endpoint, from);
    assert_eq!(count, 0, "{count} requests");
    assert!(answers.iter().all(|it| it.status() == 200));
}

/// The most requests that came from one of so many entry processes between half a second after the endpoint had turned
/// one of its requests away and the end of the rest that it had asked for. Callers name the process in their ids.
fn most_in_rest(arrived: &[Arrival], entries: usize) -> usize {
    let rest = time::Duration::from_secs_f64(REST);
    let counts = (0..entries).flat_map(|entry| {
        let is_of = |it: &&Arrival| {
            let mut parts = it.id.split('-').skip(1);
            let caller = parts.next().and_then(|it| it.parse::<usize>().ok());
            caller.is_some_and(|it| it % entries == entry)
        };
        let of_entry: Vec<_> = arrived.iter().filter(is_of).map(|it| it.at).collect();
        let begun = of_entry.clone();
        begun.into_iter().map(move |begin| {
            let within = of_entry.iter();
            within
                .filter(|at| **at >= begin + TOLD && **at < begin + rest)
                .count()
        })
    });
    counts.max().unwrap_or(0)
}

/// Asks until the endpoint has turned a request of each entry process away, while the one beside it takes nothing: one
/// that answers faster might be chosen each time.
fn turn_all_away(fleet: &Fleet, endpoint: &Engine, beside: &Engine, load: &Load) {
    beside.does(Does::Rejects);
    for entry in 0..fleet.entries.len() {
        let own = format!("rest-{entry}-");
        let mut number = 0;
        fleet.until("the endpoint was asked", || {
            number += 1;
            let id = format!("{own}{number}");
            drop(load::ask(fleet, entry, load, &id, number));
            endpoint.seen(|seen| seen.arrived.iter().any(|it| it.id.starts_with(&own)))
        });
    }
    beside.does(Does::Answers);
}

/// An endpoint turned a request away and asked the process that had sent it for rest. It got three from that process in
/// the time: after a rejection the process left it alone for half a second, and did not read for how long it was asked
/// to. What settled it: `endpoint asks for rest .. request="load-0-0" rest_ms="3000"`, and 1.3 s later the same of
/// `load-0-1`.
#[test]
fn an_endpoint_gets_the_rest_that_it_asks_for() {
    for case in CASES {
        let (fleet, engines) = Fleet::ready();
        let endpoint = &engines[case.endpoint];
        endpoint.asks_for_rest(REST);
        let load = load_of(&case);
        turn_all_away(&fleet, endpoint, &engines[case.beside], &load);
        let answers = load::answers(&fleet, &load);
        let arrived = endpoint.seen(|seen| seen.arrived.clone());
        let most = most_in_rest(&arrived, fleet.entries.len());
        assert!(most <= MOST, "{most} in its rest at {}", case.path);
        for answer in answers {
            assert_eq!(answer.status(), 200, "{}: {}", case.path, answer.head);
        }
    }
}

/// The same where no other endpoint holds the model: callers are told so at once, and when the rest is over.
#[test]
fn callers_are_told_when_the_rest_of_the_only_endpoint_is_over() {
    let fleet = Fleet::start(3, 2);
    fleet.replace(&operator::config(10));
    let endpoint = fleet.engine("e1", "engines", 31, &["m1"]);
    let load = Load {
        path: "/stream/x",
        deadline_ms: 1_500,
    };
    let beside = fleet.engine("p1", "plain", 33, &[]);
    load::tell_all(&fleet, &endpoint, &beside, &load);
    endpoint.asks_for_rest(REST);
    let answers = load::answers(&fleet, &load);
    let arrived = endpoint.seen(|seen| seen.arrived.clone());
    let most = most_in_rest(&arrived, fleet.entries.len());
    assert!(most <= MOST, "{most} in its rest");
    for answer in answers {
        assert_eq!(answer.status(), 503, "{}", answer.head);
        assert!(answer.header("retry-after").is_some(), "{}", answer.head);
    }
}
