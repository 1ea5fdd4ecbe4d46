//! Endpoints that name in their answers how many requests a second they take from all VMs together.

use std::time;

use crate::{
    fleet::Fleet,
    load::{self, Load},
    standin::{engine::Arrival, operator},
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

/// The most that arrived within [`SPAN`], of what arrived at or after `from`.
fn most(arrived: &[Arrival], from: time::Instant) -> usize {
    let arrived: Vec<_> = arrived.iter().map(|it| it.at).collect();
    let arrived: Vec<_> = arrived.into_iter().filter(|at| *at >= from).collect();
    let begun = arrived.iter().enumerate();
    let counts = begun.map(|(at, begin)| {
        let within = arrived[at..].iter().take_while(|it| **it - *begin < SPAN);
        within.count()
    });
    counts.max().unwrap_or(0)
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
        load::tell_all(&fleet, endpoint, &engines[case.beside], &case.load);
        let from = time::Instant::now() + TOLD;
        let answers = load::answers(&fleet, &case.load);
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
    load::tell_all(&fleet, &endpoint, &beside, &load);
    let from = time::Instant::now() + TOLD;
    let answers = load::answers(&fleet, &load);
    let most = endpoint.seen(|seen| most(&seen.arrived, from));
    assert!(most <= MOST, "{most} in 4 s, {MOST} allowed");
    let served = answers.iter().filter(|it| it.status() == 200).count();
    assert!(served > 0, "none is served");
    for answer in answers.iter().filter(|it| it.status() != 200) {
        assert_eq!(answer.status(), 503, "{}", answer.head);
        assert!(answer.header("retry-after").is_some(), "{}", answer.head);
    }
}
