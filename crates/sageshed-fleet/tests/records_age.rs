//! How old the endpoint records are, and whether requests may be sent by them.

use sageshed_fleet::{
    links::LINK_COUNT,
    records_age::{Freshness, MAX_AGE, RecordsAge},
};
use sageshed_types::time::{Instant, Millis};

/// The time limit of the calls.
const LIMIT: Millis = Millis(650);

enum Event {
    /// A response to a call, which was held for this time, and whether it completes the records.
    Response(u64, bool),
    /// A call fails.
    Failure,
}

struct Case {
    name: &'static str,
    /// When each call was sent, when it ended, and how.
    calls: &'static [(u64, u64, Event)],
    at: u64,
    freshness: Freshness,
}

const CASES: [Case; 8] = [
    Case {
        name: "a call is held until its records are as old as allowed",
        calls: &[(5_000, 5_250, Event::Response(250, true))],
        at: 6_250,
        freshness: Freshness::Current,
    },
    Case {
        name: "a response is handled long after it has arrived",
        calls: &[(5_000, 8_000, Event::Response(250, true))],
        at: 8_000,
        freshness: Freshness::Outdated,
    },
    Case {
        name: "responses bring a part of the records",
        calls: &[
            (5_000, 5_250, Event::Response(0, true)),
            (5_250, 6_500, Event::Response(0, false)),
        ],
        at: 6_500,
        freshness: Freshness::Outdated,
    },
    Case {
        name: "a process that has started has a part of the records",
        calls: &[
            (5_000, 5_250, Event::Response(0, false)),
            (5_250, 6_500, Event::Response(0, false)),
        ],
        at: 6_500,
        freshness: Freshness::Current,
    },
    Case {
        name: "one control process falls silent",
        calls: &[
            (5_000, 5_250, Event::Response(250, true)),
            (5_250, 5_900, Event::Failure),
        ],
        at: 6_300,
        freshness: Freshness::Outdated,
    },
    Case {
        name: "all control processes fall silent",
        calls: &[
            (5_000, 5_250, Event::Response(250, true)),
            (5_250, 5_900, Event::Failure),
            (5_250, 5_900, Event::Failure),
            (5_930, 6_600, Event::Failure),
        ],
        at: 6_600,
        freshness: Freshness::Unconfirmable,
    },
    Case {
        name: "calls fail after a pause of this process",
        calls: &[
            (5_000, 5_250, Event::Response(250, true)),
            (5_250, 8_000, Event::Failure),
            (5_250, 8_000, Event::Failure),
            (5_250, 8_000, Event::Failure),
        ],
        at: 8_000,
        freshness: Freshness::Outdated,
    },
    Case {
        name: "a control process responds after failures",
        calls: &[
            (5_000, 5_250, Event::Response(250, true)),
            (5_250, 5_260, Event::Failure),
            (5_250, 5_260, Event::Failure),
            (5_250, 5_260, Event::Failure),
            (6_000, 6_010, Event::Response(0, false)),
        ],
        at: 6_700,
        freshness: Freshness::Outdated,
    },
];

#[test]
fn requests_wait_for_records_unless_no_control_process_responds() {
    assert_eq!(LINK_COUNT, 3, "the cases have as many failures");
    for case in &CASES {
        let mut age = RecordsAge::default();
        for (sent, ended, event) in case.calls {
            let (sent, ended) = (Instant(*sent), Instant(*ended));
            match event {
                Event::Response(held, is_complete) => {
                    age.record_response();
                    if *is_complete {
                        age.confirm(ended, sent, Millis(*held));
                    }
                }
                Event::Failure => age.record_failure(ended, sent, LIMIT),
            }
        }
        let freshness = age.freshness(Instant(case.at));
        assert_eq!(freshness, case.freshness, "{}", case.name);
    }
}

/// Guards against records that seem younger than the time at which their response was handled.
#[test]
fn records_are_never_as_of_a_time_to_come() {
    let mut age = RecordsAge::default();
    age.confirm(Instant(5_000), Instant(4_990), Millis(800));
    assert_eq!(age.age(Instant(5_000) + MAX_AGE), MAX_AGE);
}
