//! Replays of more requests than a process can start.

use std::{
    collections,
    time::{Duration, Instant},
};

use sageshed_http::starts::{Bounds, Next, Starts};

const BOUNDS: Bounds = Bounds {
    at_once: 2,
    patience: Duration::from_millis(50),
    max_lag: Duration::from_millis(15),
    longest_start: Duration::from_millis(100),
};

const STEP: Duration = Duration::from_millis(1);

/// A load of constant rate, on a processor that is shared equally by what is being started.
struct Case {
    name: &'static str,
    /// Requests per second on new connections.
    on_new: u64,
    /// Requests per second on connections that have been used before.
    on_kept: u64,
    /// Requests that the processor can start per second.
    capacity: u64,
    /// From when on, and for how long, the process does not run.
    pause: Option<(Duration, Duration)>,
    /// The least and the most requests on new connections to be closed unread, in percent.
    closed_percent: (u64, u64),
}

const CASES: [Case; 6] = [
    Case {
        name: "half of the capacity",
        on_new: 50,
        on_kept: 50,
        capacity: 200,
        pause: None,
        closed_percent: (0, 0),
    },
    Case {
        name: "nearly the capacity",
        on_new: 180,
        on_kept: 0,
        capacity: 200,
        pause: None,
        closed_percent: (0, 0),
    },
    Case {
        name: "three times the capacity",
        on_new: 600,
        on_kept: 0,
        capacity: 200,
        pause: None,
        closed_percent: (60, 70),
    },
    Case {
        name: "thirty times the capacity",
        on_new: 6_000,
        on_kept: 0,
        capacity: 200,
        pause: None,
        closed_percent: (95, 98),
    },
    Case {
        name: "new connections beside many in use",
        on_new: 400,
        on_kept: 150,
        capacity: 200,
        pause: None,
        closed_percent: (80, 92),
    },
    Case {
        name: "a process that stands still for a while",
        on_new: 50,
        on_kept: 50,
        capacity: 1_000,
        pause: Some((Duration::from_millis(900), Duration::from_millis(300))),
        closed_percent: (0, 2),
    },
];

/// What a replay came to.
#[derive(Debug, Default)]
struct Outcome {
    started: u64,
    closed: u64,
    longest_wait_on_new: Duration,
    longest_wait_on_kept: Duration,
    longest_wait_of_closed: Duration,
}

/// Sends the requests of `case` for two seconds.
fn replay(case: &Case) -> Outcome {
    let begin = Instant::now();
    let mut starts = Starts::new(BOUNDS);
    let mut arrived = collections::HashMap::new();
    let mut starting: Vec<(u64, Duration)> = Vec::new();
    let mut outcome = Outcome::default();
    let mut next_id = 0;
    // What the process sees once it runs.
    let mut unseen = Vec::new();
    let cost = Duration::from_secs(1) / u32::try_from(case.capacity).expect("small");
    for ms in 0..2_000 {
        let now = begin + STEP * ms;
        let ms = u64::from(ms);
        for (rate, is_new) in [(case.on_new, true), (case.on_kept, false)] {
            let due = (ms + 1) * rate / 1_000 - ms * rate / 1_000;
            unseen.extend((0..due).map(|_| is_new));
        }
        let runs = case.pause.is_none_or(|(from, span)| {
            let at = STEP * u32::try_from(ms).expect("small");
            !(from..from + span).contains(&at)
        });
        if !runs {
            continue;
        }
        for is_new in unseen.drain(..) {
            arrived.insert(next_id, (now, is_new));
            starts.arrive(now, next_id, is_new);
            next_id += 1;
        }
        let share = STEP / u32::try_from(starting.len().max(1)).expect("small");
        for (id, left) in &mut starting {
            *left = left.saturating_sub(share);
            if left.is_zero() {
                starts.end_start(*id);
            }
        }
        starting.retain(|(_, left)| !left.is_zero());
        loop {
            match starts.next(now) {
                Next::Start(id, since) => {
                    let (at, is_new) = arrived[&id];
                    assert_eq!(at, since, "{}", case.name);
                    let waits = if is_new {
                        &mut outcome.longest_wait_on_new
                    } else {
                        &mut outcome.longest_wait_on_kept
                    };
                    *waits = (*waits).max(now - at);
                    outcome.started += 1;
                    starting.push((id, cost));
                }
                Next::Close(id) => {
                    let (at, is_new) = arrived[&id];
                    assert!(is_new, "{}", case.name);
                    let longest = &mut outcome.longest_wait_of_closed;
                    *longest = (*longest).max(now - at);
                    outcome.closed += 1;
                }
                Next::Wait(_) => break,
            }
        }
        // Those that were being started when the process stood still no longer count.
        let at_once = BOUNDS.at_once * if case.pause.is_some() { 2 } else { 1 };
        assert!(starting.len() <= at_once, "{}", case.name);
    }
    outcome
}

/// Guards against a process that starts all requests that arrive, each of which gets a smaller part of the processor.
#[test]
fn what_is_started_is_started_in_time_and_the_rest_is_closed_unread() {
    for case in &CASES {
        let outcome = replay(case);
        let closed = outcome.closed * 100 / (case.on_new * 2);
        let (least, most) = case.closed_percent;
        assert!(
            (least..=most).contains(&closed),
            "{}: {outcome:?}",
            case.name
        );
        if case.pause.is_none() {
            let longest = BOUNDS.patience + STEP;
            assert!(
                outcome.longest_wait_on_new <= longest,
                "{}: {outcome:?}",
                case.name
            );
            assert!(
                outcome.longest_wait_of_closed <= longest,
                "{}: {outcome:?}",
                case.name
            );
        }
        let offered = (case.on_new + case.on_kept) * 2;
        let possible = offered.min(case.capacity * 2);
        assert!(
            outcome.started >= possible * 95 / 100,
            "{}: {outcome:?}",
            case.name
        );
    }
}

/// Guards against connections in use whose requests wait behind those of new connections.
#[test]
fn requests_on_connections_in_use_are_started_first() {
    let case = &CASES[4];
    let outcome = replay(case);
    let longest = Duration::from_millis(20);
    assert!(outcome.longest_wait_on_kept <= longest, "{outcome:?}");
}

/// Guards against a caller that is told after a wait what was known when it came.
#[test]
fn a_request_that_can_not_be_started_in_time_is_not_kept_waiting() {
    let now = Instant::now();
    let mut starts = Starts::new(BOUNDS);
    let mut at = now;
    // Ten requests wait, and one is started every 10 ms.
    for id in 0..20 {
        starts.arrive(at, id, true);
    }
    for _ in 0..5 {
        while let Next::Start(id, _) = starts.next(at) {
            at += Duration::from_millis(10);
            starts.end_start(id);
            if id >= 9 {
                break;
            }
        }
    }
    starts.arrive(at, 99, true);
    assert_eq!(starts.next(at), Next::Close(99));
}

/// Guards against a slow caller that keeps all others from being started.
#[test]
fn a_start_that_lasts_too_long_no_longer_counts() {
    let now = Instant::now();
    let mut starts = Starts::new(BOUNDS);
    for id in 0..3 {
        starts.arrive(now, id, false);
    }
    for id in 0..2 {
        assert_eq!(starts.next(now), Next::Start(id, now));
    }
    let ends = now + BOUNDS.longest_start;
    assert_eq!(starts.next(now), Next::Wait(Some(ends)));
    assert_eq!(starts.next(ends), Next::Start(2, now));
}

/// Guards against new work while threads that have work wait for the processor, and against none for ever.
#[test]
fn a_process_that_lags_starts_only_requests_on_connections_in_use() {
    let now = Instant::now();
    let mut starts = Starts::new(BOUNDS);
    starts.record_lag(now, BOUNDS.max_lag);
    assert!(starts.takes_new(now) && !starts.is_overloaded(now));
    starts.record_lag(now, Duration::from_mins(1));
    assert!(!starts.takes_new(now) && starts.is_overloaded(now));
    starts.arrive(now, 0, true);
    starts.arrive(now, 1, false);
    assert_eq!(starts.next(now), Next::Close(0));
    assert_eq!(starts.next(now), Next::Start(1, now));
    let later = now + Duration::from_millis(500);
    assert!(starts.takes_new(later) && !starts.is_overloaded(later));
}

/// Guards against a process that says that it takes connections and takes none, since those in use are too much for it.
#[test]
fn a_process_that_is_overloaded_for_long_starts_a_new_connection_now_and_then() {
    let begin = Instant::now();
    let mut starts = Starts::new(BOUNDS);
    let mut started = Vec::new();
    for step in 0..400 {
        let now = begin + Duration::from_millis(10) * step;
        let id = u64::from(step) * 3;
        starts.record_lag(now, Duration::from_millis(100));
        // Two requests on connections in use arrive for each one that is started, and one on a new connection.
        starts.arrive(now, id, false);
        starts.arrive(now, id + 1, false);
        if starts.takes_new(now) {
            starts.arrive(now, id + 2, true);
        }
        if let Next::Start(id, _) = starts.next(now) {
            starts.end_start(id);
            if id % 3 == 2 {
                started.push(now);
            }
        }
    }
    let intervals = started.windows(2).map(|it| it[1] - it[0]);
    let longest = intervals.max();
    assert!(longest <= Some(Duration::from_millis(600)), "{longest:?}");
    assert!((6..=9).contains(&started.len()), "{}", started.len());
}

/// Guards against callers that keep connections to a process which is seconds behind with the requests on them.
#[test]
fn requests_in_wait_on_connections_in_use_are_an_overload() {
    let now = Instant::now();
    let mut starts = Starts::new(BOUNDS);
    for id in 0..3 {
        starts.arrive(now, id, false);
        let _next = starts.next(now);
    }
    assert!(!starts.is_overloaded(now));
    let later = now + BOUNDS.max_lag + STEP;
    assert!(starts.is_overloaded(later));
    assert!(!starts.end_start(0) || starts.next(later) == Next::Start(2, now));
    assert!(!starts.is_overloaded(later));
}
