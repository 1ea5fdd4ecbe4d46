//! The queue of requests that wait for an engine, and its estimates.

use sageshed_fleet::backlog::{self, Backlog, QueuedRequest};
use sageshed_types::time;

const T0: time::Instant = time::Instant(50_000);

/// Waits for the base model, and is late in ten seconds.
const PLAIN: QueuedRequest = QueuedRequest {
    tokens: 2_000,
    priority: 1,
    on_time_until: time::Instant(60_000),
    adapter: None,
};

/// Prompts of 2,000 tokens arrive twice as fast as the engines prefill them. The tenth in the queue would
/// be prefilled after five seconds; it has to be told now, and not when its five seconds are over.
#[test]
fn the_estimate_covers_the_requests_ahead() {
    let mut backlog = Backlog::default();
    let tickets: Vec<u64> = (0..10).map(|_| backlog.push(T0, "m0", PLAIN)).collect();
    for n in 0..4 {
        backlog.record_prefill(T0 + time::Millis(n * 500), "m0", 2_000);
    }
    let now = T0 + time::Millis(2_000);
    assert_eq!(
        backlog.expected_wait(now, "m0", tickets[0]),
        Some(time::Millis(500))
    );
    assert_eq!(
        backlog.expected_wait(now, "m0", tickets[9]),
        Some(time::Millis(5_000))
    );
    backlog.remove("m0", tickets[0]);
    assert_eq!(
        backlog.expected_wait(now, "m0", tickets[9]),
        Some(time::Millis(4_500))
    );
    assert_eq!(backlog.waiting(), 9);
}

#[test]
fn there_is_no_estimate_without_recent_prefill() {
    let mut backlog = Backlog::default();
    let ticket = backlog.push(T0, "m0", PLAIN);
    let soon = T0 + time::Millis(500);
    assert_eq!(backlog.expected_wait(soon, "m0", ticket), None);
    backlog.record_prefill(T0, "m0", 2_000);
    assert!(backlog.expected_wait(soon, "m0", ticket).is_some());
    assert_eq!(
        backlog.expected_wait(T0 + time::Millis(9_000), "m0", ticket),
        None
    );
    assert_eq!(backlog.expected_wait(soon, "m1", ticket), None);
}

/// One small prompt was prefilled in the last two seconds, as no more arrived. Now six arrive at once. By
/// that rate, the last would wait for 24 seconds and be refused, while engines prefill it in half a second.
/// Once requests have waited for a while, what is prefilled meanwhile gives the rate.
#[test]
fn what_is_read_while_none_waits_tells_no_speed() {
    let mut backlog = Backlog::default();
    backlog.record_prefill(T0, "m0", 1_000);
    let come = T0 + time::Millis(1_000);
    let tickets: Vec<u64> = (0..6).map(|_| backlog.push(come, "m0", PLAIN)).collect();
    assert_eq!(backlog.expected_wait(come, "m0", tickets[5]), None);
    for (ms, ticket) in [(100, tickets[0]), (200, tickets[1]), (300, tickets[2])] {
        backlog.record_prefill(come + time::Millis(ms), "m0", 2_000);
        backlog.remove("m0", ticket);
    }
    let later = come + time::Millis(300);
    let expected = backlog.expected_wait(later, "m0", tickets[5]);
    assert_eq!(expected, Some(time::Millis(300)));
}

/// Requests wait for one model, each with another reason to go before or after the others. In order of
/// arrival, the one that is already late would make those behind it late.
#[test]
fn those_that_can_be_on_time_go_first_and_the_urgent_ones_before_others() {
    struct Case {
        name: &'static str,
        first: QueuedRequest,
        second: QueuedRequest,
    }
    let late = QueuedRequest {
        on_time_until: T0,
        ..PLAIN
    };
    let urgent = QueuedRequest {
        priority: 0,
        ..PLAIN
    };
    let soon_late = QueuedRequest {
        on_time_until: T0 + time::Millis(500),
        ..PLAIN
    };
    let cases = [
        Case {
            name: "on time before late",
            first: PLAIN,
            second: late.clone(),
        },
        Case {
            name: "on time before late, though less urgent",
            first: PLAIN,
            second: QueuedRequest {
                priority: 0,
                ..late.clone()
            },
        },
        Case {
            name: "urgent before others",
            first: urgent,
            second: soon_late.clone(),
        },
        Case {
            name: "late sooner before late later",
            first: soon_late,
            second: PLAIN,
        },
    ];
    for Case {
        name,
        first,
        second,
    } in cases
    {
        let mut backlog = Backlog::default();
        let of_second = backlog.push(T0, "m0", second.clone());
        assert!(!backlog.is_preceded(T0, "m0", &first, None), "{name}");
        let of_first = backlog.push(T0, "m0", first.clone());
        assert!(
            !backlog.is_preceded(T0, "m0", &first, Some(of_first)),
            "{name}"
        );
        assert!(
            backlog.is_preceded(T0, "m0", &second, Some(of_second)),
            "{name}"
        );
        backlog.record_prefill(T0, "m0", 2_000);
        let soon = T0 + time::Millis(300);
        let time_of = |ticket| {
            backlog
                .expected_wait(soon, "m0", ticket)
                .expect("a rate is known")
        };
        assert!(time_of(of_first) < time_of(of_second), "{name}");
        assert!(backlog.remove("m0", of_first), "{name}");
        assert!(
            !backlog.is_preceded(T0, "m0", &second, Some(of_second)),
            "{name}"
        );
    }
}

/// An adapter is loaded on one busy engine, and other engines hold its base model. Requests for the base
/// model must not wait for that engine.
#[test]
fn a_request_for_an_adapter_holds_back_only_those_for_the_same_one() {
    let with = |name: &str| QueuedRequest {
        priority: 0,
        adapter: Some(name.to_owned()),
        ..PLAIN
    };
    let mut backlog = Backlog::default();
    backlog.push(T0, "m0", with("a1"));
    assert!(!backlog.is_preceded(T0, "m0", &PLAIN, None));
    assert!(!backlog.is_preceded(T0, "m0", &with("a2"), None));
    assert!(backlog.is_preceded(T0, "m0", &with("a1"), None));
    assert!(!backlog.is_preceded(T0, "m1", &with("a1"), None));
}

#[test]
fn a_new_request_goes_behind_its_equals() {
    let mut backlog = Backlog::default();
    let ticket = backlog.push(T0, "m0", PLAIN);
    assert!(backlog.is_preceded(T0, "m0", &PLAIN, None));
    assert!(!backlog.remove("m0", ticket));
    assert!(!backlog.is_preceded(T0, "m0", &PLAIN, None));
}

/// A request waits for an engine until after its response would be late. It was refused at its deadline,
/// six seconds after an engine with all that it needs had become idle: its rank was recomputed at each
/// look, so that it stood behind its own entry from when it arrived and behind every other late request, as
/// did each of these behind it.
#[test]
fn requests_that_wait_past_their_time_do_not_wait_for_each_other() {
    let mut backlog = Backlog::default();
    let request = |on_time_until| QueuedRequest {
        tokens: 100,
        priority: 1,
        on_time_until: time::Instant(on_time_until),
        adapter: None,
    };
    let first = backlog.push(time::Instant(1_000), "m0", request(2_000));
    let second = backlog.push(time::Instant(1_100), "m0", request(2_100));
    for now in [1_500, 2_500, 5_000] {
        // As a request computes it at that moment: once it is late, its time ends now.
        let of = |until: u64| request(until.max(now));
        let now = time::Instant(now);
        assert!(
            !backlog.is_preceded(now, "m0", &of(2_000), Some(first)),
            "{now:?}"
        );
        assert!(
            backlog.is_preceded(now, "m0", &of(2_100), Some(second)),
            "{now:?}"
        );
    }
    backlog.remove("m0", first);
    let now = time::Instant(5_000);
    assert!(!backlog.is_preceded(now, "m0", &request(5_000), Some(second)));
}

/// Guards against a late request that stands behind all that are late, older ones and newer ones, once its first attempt
/// has failed and it waits again.
#[test]
fn a_request_that_waits_again_keeps_its_place_among_late_ones() {
    let target = time::Millis(1_000);
    let arrived_ago = |now, ago| QueuedRequest {
        on_time_until: backlog::late_at(now, time::Millis(ago), target),
        ..PLAIN
    };
    let mut backlog = Backlog::default();
    let joined = T0 + time::Millis(1_500);
    let newer = backlog.push(joined, "m0", arrived_ago(joined, 0));
    let now = T0 + time::Millis(3_000);
    let older = arrived_ago(now, 3_000);
    assert!(!backlog.is_preceded(now, "m0", &older, None));
    let ticket = backlog.push(now, "m0", older.clone());
    assert!(!backlog.is_preceded(now, "m0", &older, Some(ticket)));
    let waiting = arrived_ago(now, 1_500);
    assert!(backlog.is_preceded(now, "m0", &waiting, Some(newer)));
}
