//! Endpoints that report in their responses how many requests per second they accept from all VMs together.

use std::time;

use crate::{
    fleet::Fleet,
    load::{self, Load},
    standin::{engine::Arrival, operator},
};

/// The rate limit that the overloaded endpoint reports, in requests per second.
const LIMIT: f64 = 1.0;

/// The window over which its requests are counted.
const SPAN: time::Duration = time::Duration::from_secs(4);

/// The requests that the endpoint may get in [`SPAN`]: one and a half times what its limit allows, and five that are in
/// flight when it reports the limit.
const MAX_REQUESTS: usize = 11;

/// The time after the last entry process has learned of the limit before requests are counted.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(500);

/// The most requests that arrived within [`SPAN`], of those that arrived at or after `from`.
fn max_in_window(arrived: &[Arrival], from: time::Instant) -> usize {
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
    /// The index, among the endpoints of [`Fleet::ready`], of the one with the limit.
    endpoint: usize,
    /// The index of the other endpoint of its service.
    beside: usize,
}

/// Guards against an endpoint that gets more requests than the limit that it reports for all VMs together: 20 in four
/// seconds where 13 were allowed. The entry processes ignored the limit, and none of them sees all requests, so they
/// have to share it.
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
        endpoint.set_limit(Some(LIMIT));
        load::deliver_notice_to_all(&fleet, endpoint, &engines[case.beside], &case.load);
        let from = time::Instant::now() + SETTLE_TIME;
        let answers = load::answers(&fleet, &case.load);
        let most = endpoint.log(|log| max_in_window(&log.arrived, from));
        assert!(
            most <= MAX_REQUESTS,
            "{most} in 4 s at {}, {MAX_REQUESTS} allowed",
            case.load.path
        );
        // The other endpoint takes the remaining requests.
        for answer in answers {
            assert_eq!(answer.status(), 200, "{}: {}", case.load.path, answer.head);
        }
    }
}

/// The same if no other endpoint holds the model: callers above the limit are refused with a `Retry-After`.
#[test]
fn callers_of_an_endpoint_with_a_limit_are_told_when_to_come_back() {
    let fleet = Fleet::start(3, 2);
    fleet.replace(&operator::config(10));
    let endpoint = fleet.engine("e1", "engines", 31, &["m1"]);
    let beside = fleet.engine("p1", "plain", 33, &[]);
    endpoint.set_limit(Some(LIMIT));
    let load = Load {
        path: "/stream/x",
        deadline_ms: 2_000,
    };
    load::deliver_notice_to_all(&fleet, &endpoint, &beside, &load);
    let from = time::Instant::now() + SETTLE_TIME;
    let answers = load::answers(&fleet, &load);
    let most = endpoint.log(|log| max_in_window(&log.arrived, from));
    assert!(
        most <= MAX_REQUESTS,
        "{most} in 4 s, {MAX_REQUESTS} allowed"
    );
    let served = answers.iter().filter(|it| it.status() == 200).count();
    assert!(served > 0, "none is served");
    for answer in answers.iter().filter(|it| it.status() != 200) {
        assert_eq!(answer.status(), 503, "{}", answer.head);
        assert!(answer.header("retry-after").is_some(), "{}", answer.head);
    }
}
