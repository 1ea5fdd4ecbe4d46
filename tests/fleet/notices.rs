//! Backpressure notices in the responses of endpoints: that they are leaving, and that they ask for a back-off.

use std::time;

use crate::{
    fleet::{Fleet, Process},
    load::{self, Load},
    standin::{
        engine::{Arrival, Behavior, Engine},
        operator,
    },
};

/// How long after a notice requests may still arrive that were in flight then. Only later ones count.
const IN_FLIGHT_TIME: time::Duration = time::Duration::from_millis(500);

/// The back-off that an endpoint asks for, in seconds.
const BACK_OFF_S: f64 = 3.0;

/// The requests that one entry process may send during the back-off.
const MAX_REQUESTS: usize = 2;

/// One kind of endpoint.
struct Case {
    path: &'static str,
    /// The index, among the endpoints of [`Fleet::ready`], of the one that sends the notice.
    endpoint: usize,
    /// The index of the other endpoint of its service.
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

/// Whether an entry process knows that the endpoint is leaving, by control or by a response that it received.
fn knows_leaving(entry: &Process) -> bool {
    let log = entry.log();
    log.contains("\"state\":\"Leaving\"")
        || log.contains("endpoint reports in a response that it is leaving")
}

/// The number of requests that arrived at or after `from`.
fn since(endpoint: &Engine, from: time::Instant) -> usize {
    let arrived = endpoint.log(|log| log.arrived.clone());
    arrived.iter().filter(|it| it.at >= from).count()
}

/// Guards against requests to an endpoint after it has reported in a response that it is leaving. An entry process sent
/// it requests seven seconds later: it relied on control alone, and the control processes that it watched were
/// partitioned from those that knew. Here, control keeps reporting that the endpoint is ready.
#[test]
fn nothing_goes_to_an_endpoint_that_has_said_in_an_answer_that_it_leaves() {
    for case in CASES {
        let (fleet, engines) = Fleet::ready();
        let endpoint = &engines[case.endpoint];
        endpoint.set_leaving_header();
        let load = load_of(&case);
        load::deliver_notice(&fleet, 0, endpoint, &engines[case.beside], &load);
        fleet.until("the other one has heard it too", || {
            knows_leaving(&fleet.entries[1])
        });
        let from = time::Instant::now() + IN_FLIGHT_TIME;
        let answers = load::answers(&fleet, &load);
        let count = since(endpoint, from);
        assert_eq!(count, 0, "{count} requests at {}", case.path);
        for answer in answers {
            assert_eq!(answer.status(), 200, "{}: {}", case.path, answer.head);
        }
    }
}

/// Guards against requests of other entry processes to an endpoint that has reported to only one of them that it is
/// leaving. Control calls no plain endpoint and learns of it from that entry process; it has to tell all others, also
/// one that starts later.
#[test]
fn all_entry_processes_know_what_one_was_told_in_an_answer() {
    let (mut fleet, engines) = Fleet::ready();
    let case = &CASES[1];
    let endpoint = &engines[case.endpoint];
    let load = load_of(case);
    endpoint.set_leaving_header();
    load::deliver_notice(&fleet, 0, endpoint, &engines[case.beside], &load);
    fleet.until("the other one hears it", || {
        knows_leaving(&fleet.entries[1])
    });
    fleet.entries[1].kill();
    fleet.entries[1].start();
    fleet.until("it is back", || fleet.entries[1].ready() == 200);
    let from = time::Instant::now();
    let answers = load::answers(&fleet, &load);
    let count = since(endpoint, from);
    assert_eq!(count, 0, "{count} requests");
    assert!(answers.iter().all(|it| it.status() == 200));
}

/// The most requests that one of the entry processes sent between [`IN_FLIGHT_TIME`] after a rejection by the
/// endpoint and the end of the back-off that it asked for. The ids of requests contain the number of the caller,
/// which determines the entry process.
fn max_during_back_off(arrived: &[Arrival], entries: usize) -> usize {
    let back_off = time::Duration::from_secs_f64(BACK_OFF_S);
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
                .filter(|at| **at >= begin + IN_FLIGHT_TIME && **at < begin + back_off)
                .count()
        })
    });
    counts.max().unwrap_or(0)
}

/// Sends requests until the endpoint has rejected one of each entry process. The other endpoint rejects all meanwhile:
/// if it responded faster, it might be chosen each time.
fn reject_one_of_each_entry(fleet: &Fleet, endpoint: &Engine, beside: &Engine, load: &Load) {
    beside.set_behavior(Behavior::Rejects);
    for entry in 0..fleet.entries.len() {
        let own = format!("rest-{entry}-");
        let mut number = 0;
        fleet.until("the endpoint was asked", || {
            number += 1;
            let id = format!("{own}{number}");
            drop(load::ask(fleet, entry, load, &id, number));
            endpoint.log(|log| log.arrived.iter().any(|it| it.id.starts_with(&own)))
        });
    }
    beside.set_behavior(Behavior::Answers);
}

/// Guards against a back-off that is cut short. An endpoint rejected a request and asked for a back-off of 3 s, and the
/// entry process sent it three more requests in that time: it ignored the duration, and paused for half a second as
/// after any rejection.
#[test]
fn an_endpoint_gets_the_back_off_that_it_asks_for() {
    for case in CASES {
        let (fleet, engines) = Fleet::ready();
        let endpoint = &engines[case.endpoint];
        endpoint.reject_with_retry_after(BACK_OFF_S);
        let load = load_of(&case);
        reject_one_of_each_entry(&fleet, endpoint, &engines[case.beside], &load);
        let answers = load::answers(&fleet, &load);
        let arrived = endpoint.log(|log| log.arrived.clone());
        let most = max_during_back_off(&arrived, fleet.entries.len());
        assert!(
            most <= MAX_REQUESTS,
            "{most} during its back-off at {}",
            case.path
        );
        for answer in answers {
            assert_eq!(answer.status(), 200, "{}: {}", case.path, answer.head);
        }
    }
}

/// The same if no other endpoint holds the model: callers are refused at once, with the end of the back-off in
/// `Retry-After`.
#[test]
fn callers_are_told_when_the_back_off_of_the_only_endpoint_is_over() {
    let fleet = Fleet::start(3, 2);
    fleet.replace(&operator::config(10));
    let endpoint = fleet.engine("e1", "engines", 31, &["m1"]);
    let load = Load {
        path: "/stream/x",
        deadline_ms: 1_500,
    };
    let beside = fleet.engine("p1", "plain", 33, &[]);
    load::deliver_notice_to_all(&fleet, &endpoint, &beside, &load);
    endpoint.reject_with_retry_after(BACK_OFF_S);
    let answers = load::answers(&fleet, &load);
    let arrived = endpoint.log(|log| log.arrived.clone());
    let most = max_during_back_off(&arrived, fleet.entries.len());
    assert!(most <= MAX_REQUESTS, "{most} during its back-off");
    for answer in answers {
        assert_eq!(answer.status(), 503, "{}", answer.head);
        assert!(answer.header("retry-after").is_some(), "{}", answer.head);
    }
}
