//! When a request whose endpoint is silent is sent to another endpoint as well.

use sageshed_fleet::silence;
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
