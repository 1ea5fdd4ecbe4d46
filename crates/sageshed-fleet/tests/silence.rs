//! When a request whose endpoint is silent is sent to another endpoint as well.

use sageshed_fleet::silence::{self, BodyProgress};
use sageshed_types::time;

struct Case {
    name: &'static str,
    patience_ms: Option<u64>,
    stall_ms: u64,
}

const CASES: [Case; 4] = [
    Case {
        name: "no event has arrived",
        patience_ms: None,
        stall_ms: 1_000,
    },
    Case {
        name: "the least patient caller",
        patience_ms: Some(2_000),
        stall_ms: 1_000,
    },
    Case {
        name: "half of the patience is left to the second endpoint",
        patience_ms: Some(4_800),
        stall_ms: 2_400,
    },
    Case {
        name: "a patience shorter than that of any caller",
        patience_ms: Some(500),
        stall_ms: 1_000,
    },
];

/// Guards against second runs for each silence of a second, and against ones that begin too late for the caller.
#[test]
fn a_second_endpoint_is_tried_after_half_of_the_caller_s_patience() {
    for case in &CASES {
        let stall = silence::stall_timeout(case.patience_ms.map(time::Millis));
        assert_eq!(stall, time::Millis(case.stall_ms), "{}", case.name);
    }
}

/// Guards against a stream whose engine says that it is at work and is left as soon as a silent one, or so late that no other
/// engine can send an event in time.
#[test]
fn an_endpoint_that_sends_comments_is_left_later_than_a_silent_one() {
    for (patience, stall) in [(8_000, 6_000), (2_000, 1_500), (500, 1_000)] {
        let patience = time::Millis(patience);
        let kept_alive = silence::kept_alive_stall_timeout(patience);
        assert_eq!(kept_alive, time::Millis(stall), "{patience:?}");
        assert!(kept_alive >= silence::stall_timeout(Some(patience)));
    }
}

struct BodyCase {
    name: &'static str,
    received: u64,
    left: Option<u64>,
    elapsed_ms: u64,
    time_left_ms: u64,
    is_late: bool,
}

const BODY_CASES: [BodyCase; 7] = [
    BodyCase {
        name: "a long body on a slow link, complete in time",
        received: 1_000_000,
        left: Some(3_000_000),
        elapsed_ms: 800,
        time_left_ms: 2_400,
        is_late: false,
    },
    BodyCase {
        name: "the same, not complete in time",
        received: 1_000_000,
        left: Some(3_000_000),
        elapsed_ms: 800,
        time_left_ms: 2_300,
        is_late: true,
    },
    BodyCase {
        name: "the first bytes",
        received: 100,
        left: Some(4_000_000_000),
        elapsed_ms: 499,
        time_left_ms: 2_500,
        is_late: false,
    },
    BodyCase {
        name: "a length that is never reached",
        received: 100,
        left: Some(4_000_000_000),
        elapsed_ms: 500,
        time_left_ms: 2_500,
        is_late: true,
    },
    BodyCase {
        name: "nothing after the head",
        received: 0,
        left: Some(10),
        elapsed_ms: 500,
        time_left_ms: 2_500,
        is_late: true,
    },
    BodyCase {
        name: "no length, first half of the time",
        received: 100,
        left: None,
        elapsed_ms: 1_400,
        time_left_ms: 1_600,
        is_late: false,
    },
    BodyCase {
        name: "no length, second half of the time",
        received: 100_000_000,
        left: None,
        elapsed_ms: 1_500,
        time_left_ms: 1_500,
        is_late: true,
    },
];

/// Guards against responses that are waited for until the deadline while another endpoint could respond in time, and against a
/// second run for each long response.
#[test]
fn another_endpoint_is_tried_for_a_body_that_will_not_be_complete_in_time() {
    for case in &BODY_CASES {
        let progress = BodyProgress {
            received: case.received,
            left: case.left,
            elapsed: time::Millis(case.elapsed_ms),
            time_left: time::Millis(case.time_left_ms),
        };
        assert_eq!(progress.is_late(), case.is_late, "{}", case.name);
    }
}
