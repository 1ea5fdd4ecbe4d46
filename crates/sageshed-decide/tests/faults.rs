//! Failing, leaving and restarted endpoints: retries, verdicts, ejection and recovery.

mod common;

use sageshed_decide::event;
use sageshed_types::{endpoints, time, verdict};

const NOT_RUN: verdict::Verdict = verdict::Verdict::NotRun;
const MAY_HAVE_RUN: verdict::Verdict = verdict::Verdict::MayHaveRun;

struct Failure {
    not_repeatable: bool,
    /// Whether the request is streamed and its first token was passed on.
    response_started: bool,
    verdict: verdict::Verdict,
    fault: event::AttemptError,
    expected: &'static str,
}

const CONNECT_REFUSED: event::AttemptError = event::AttemptError::ConnectRefused;
const CUT: event::AttemptError = event::AttemptError::Cut;

const FAILURES: &[Failure] = &[
    Failure {
        not_repeatable: false,
        response_started: false,
        verdict: MAY_HAVE_RUN,
        fault: CUT,
        expected: "send",
    },
    Failure {
        not_repeatable: false,
        response_started: false,
        verdict: NOT_RUN,
        fault: CONNECT_REFUSED,
        expected: "send",
    },
    // The caller already has part of the response of one run, which must not be mixed with another.
    Failure {
        not_repeatable: false,
        response_started: true,
        verdict: MAY_HAVE_RUN,
        fault: CUT,
        expected: "endpoint_failed may_have_run",
    },
    // No byte was sent, so the request may be sent again under the same claim.
    Failure {
        not_repeatable: true,
        response_started: false,
        verdict: NOT_RUN,
        fault: CONNECT_REFUSED,
        expected: "send",
    },
    Failure {
        not_repeatable: true,
        response_started: false,
        verdict: MAY_HAVE_RUN,
        fault: event::AttemptError::NoFirstByte,
        expected: "endpoint_failed may_have_run",
    },
    // Once a connection was established, `NotRun` is not trusted.
    Failure {
        not_repeatable: true,
        response_started: false,
        verdict: NOT_RUN,
        fault: CUT,
        expected: "endpoint_failed may_have_run",
    },
    Failure {
        not_repeatable: true,
        response_started: false,
        verdict: NOT_RUN,
        fault: event::AttemptError::Status(500),
        expected: "endpoint_failed may_have_run",
    },
    Failure {
        not_repeatable: true,
        response_started: false,
        verdict: NOT_RUN,
        fault: event::AttemptError::Status(429),
        expected: "send",
    },
];

/// Guards against retrying a request that may have run: its effect would happen twice, or a streamed
/// response would be mixed from two runs.
#[test]
fn only_what_cannot_run_twice_is_sent_again() {
    for case in FAILURES {
        let mut harness = common::Harness::with_engines(common::settings(), &["e1", "e2"]);
        let (req, mut actions) = harness.arrive(|info| {
            info.not_repeatable = case.not_repeatable;
            info.streaming = case.response_started;
        });
        if case.not_repeatable {
            actions = harness.step(event::Event::ClaimGranted(req));
        }
        let first = common::sent_to(&actions, req).expect("sent");
        if case.response_started {
            harness.step(event::Event::FirstToken { req });
        }
        let actions = harness.fail(req, case.verdict, case.fault);
        let what = format!(
            "{:?} {:?}, not repeatable: {}",
            case.verdict, case.fault, case.not_repeatable
        );
        assert_eq!(common::summary(&actions, req), case.expected, "{what}");
        assert_ne!(
            common::sent_to(&actions, req),
            Some(first),
            "another endpoint: {what}"
        );
        if let Some(refusal) = common::refused(&actions, req) {
            assert_eq!(
                refusal.retry_after.is_some(),
                !case.not_repeatable,
                "{what}"
            );
        }
    }
}

/// Guards against a refusal that reports only the verdict of the last attempt. If an earlier attempt
/// may have run, `not_run` would make the caller send the request again, and it would run twice.
#[test]
fn refusal_carries_the_worst_verdict_of_all_tries() {
    let mut harness = common::Harness::with_engines(common::settings(), &["e1", "e2"]);
    let (req, _) = harness.arrive(|_| {});
    harness.fail(req, MAY_HAVE_RUN, CUT);
    let actions = harness.fail(req, NOT_RUN, CONNECT_REFUSED);
    assert_eq!(
        common::summary(&actions, req),
        "endpoint_failed may_have_run"
    );
}

/// Guards against retries that multiply the load: if every failed request were sent up to three times,
/// the failure of one engine would triple the load on the others.
#[test]
fn retries_are_a_share_of_traffic() {
    let mut settings = common::settings();
    settings.policy.retry_burst = 3.0;
    settings.policy.eject_after_failures = 1_000;
    settings.policy.eject_failure_share = 2.0;
    let mut harness = common::Harness::new(settings);
    for name in ["e1", "e2", "e3"] {
        harness.report(common::report(name, 1, 8, &["sort"]));
    }
    let (mut first, mut again) = (0, 0);
    for _ in 0..200 {
        let (req, mut actions) = harness.arrive(|_| {});
        first += 1;
        while common::sent_to(&actions, req).is_some() {
            actions = harness.fail(req, MAY_HAVE_RUN, CUT);
            again += u32::from(common::sent_to(&actions, req).is_some());
        }
        assert!(common::refused(&actions, req).is_some());
    }
    assert_eq!(
        (first, again),
        (200, 22),
        "the burst of 3, and a tenth of 199: the first found the budget full"
    );
}

/// Guards against a request that crashes engines being retried on one engine after another until the
/// whole pool is down.
#[test]
fn attempts_of_one_request_are_bounded() {
    let names = ["e1", "e2", "e3", "e4", "e5"];
    let mut harness = common::Harness::with_engines(common::settings(), &names);
    let (req, mut actions) = harness.arrive(|_| {});
    let mut attempts = 0;
    while common::sent_to(&actions, req).is_some() {
        attempts += 1;
        actions = harness.fail(req, MAY_HAVE_RUN, CUT);
    }
    assert_eq!(attempts, 3);
}

#[test]
fn no_attempt_after_the_deadline() {
    for shed in [true, false] {
        let mut settings = common::settings();
        settings.policy.shed = shed;
        let mut harness = common::Harness::with_engines(settings, &["e1", "e2"]);
        let (req, _) = harness.arrive(|info| info.deadline = Some(time::Millis(500)));
        harness.advance(500);
        let actions = harness.fail(req, NOT_RUN, CONNECT_REFUSED);
        assert_eq!(common::summary(&actions, req), "endpoint_failed not_run");
    }
}

/// A harness in which the endpoint `bad` has failed `times` times and `good` has not.
fn with_failures(times: usize, fault: event::AttemptError) -> common::Harness {
    let mut settings = common::settings();
    settings.policy.retry_share = 0.0;
    settings.policy.retry_burst = 0.0;
    let mut harness = common::Harness::new(settings);
    harness.report(common::report("bad", 1, 8, &["sort"]));
    let sent = (0..times)
        .map(|_| harness.arrive(|_| {}).0)
        .collect::<Vec<_>>();
    for req in sent {
        harness.fail(req, MAY_HAVE_RUN, fault);
    }
    harness.report(common::report("good", 1, 64, &["sort"]));
    harness
}

/// Sends ten requests, which stay in flight, and returns how many of them went to `bad`.
fn sent_to_bad(harness: &mut common::Harness) -> usize {
    harness.report(common::report("bad", harness.now.0, 8, &["sort"]));
    harness.report(common::report("good", harness.now.0, 64, &["sort"]));
    let sent = (0..10).filter(|_| {
        let (req, actions) = harness.arrive(|_| {});
        let endpoint = common::sent_to(&actions, req).expect("sent");
        harness.decider.endpoint_name(endpoint) == "bad"
    });
    sent.count()
}

#[test]
fn failing_endpoint_is_ejected() {
    for (times, fault, ejected) in [
        (2, CUT, false),
        (3, CUT, true),
        (1, CONNECT_REFUSED, true),
        (8, event::AttemptError::Status(429), false),
    ] {
        let mut harness = with_failures(times, fault);
        harness.advance(300);
        assert_eq!(
            harness.decider.gauges().ejected,
            usize::from(ejected),
            "{times} x {fault:?}"
        );
        assert_eq!(
            sent_to_bad(&mut harness) == 0,
            ejected,
            "{times} x {fault:?}"
        );
    }
}

/// Guards against a broken instance attracting the traffic of the others: it responds with 500 at
/// once, so that it always has room and seems fast.
#[test]
fn instance_that_answers_errors_is_ejected() {
    for (status, ejected) in [(404, 0), (500, 1), (503, 1), (429, 0)] {
        let mut harness = common::Harness::with_engines(common::settings(), &["e1"]);
        for _ in 0..3 {
            let (req, _) = harness.arrive(|_| {});
            let outcome = event::AttemptOutcome::Refused { status };
            harness.step(event::Event::AttemptEnded { req, outcome });
            harness.advance(300);
        }
        assert_eq!(harness.decider.gauges().ejected, ejected, "{status}");
    }
}

/// Guards against an engine that gets its full load right after an ejection: it would time out and be
/// ejected again, repeatedly.
#[test]
fn recovery_is_gradual_and_a_failure_ends_it() {
    let mut harness = with_failures(3, CUT);
    harness.tick_after(2_600);
    assert_eq!(sent_to_bad(&mut harness), 1, "one request to begin with");
    let mut harness = with_failures(3, CUT);
    harness.tick_after(2_600);
    harness.tick_after(10_000);
    assert!(
        sent_to_bad(&mut harness) > 1,
        "its full share after the ramp"
    );

    let mut harness = with_failures(3, CUT);
    harness.tick_after(2_600);
    harness.report(common::report("bad", 2, 8, &["sort"]));
    let mut gone = common::report("good", 2, 64, &["sort"]);
    gone.leaving = true;
    harness.report(gone);
    let (req, _) = harness.arrive(|_| {});
    harness.fail(req, MAY_HAVE_RUN, CUT);
    assert_eq!(
        harness.decider.gauges().ejected,
        1,
        "one failure is enough while it returns"
    );
}

/// Guards against counting the requests that fail in one crash as separate ejections: the duration
/// would double with each, and an engine that is back within seconds would stay unused for minutes.
#[test]
fn one_crash_is_one_ejection() {
    let mut harness = with_failures(8, CUT);
    harness.tick_after(2_600);
    assert_eq!(
        harness.decider.gauges().ejected,
        0,
        "2 s and a quarter, not 2 s doubled five times"
    );
}

#[test]
fn ejected_endpoint_is_used_when_no_other_is_left() {
    let mut harness = common::Harness::with_engines(common::settings(), &["e1"]);
    let (req, _) = harness.arrive(|_| {});
    harness.fail(req, NOT_RUN, CONNECT_REFUSED);
    assert_eq!(harness.decider.gauges().ejected, 1);
    let (req, actions) = harness.arrive(|_| {});
    assert_eq!(common::summary(&actions, req), "send");
}

/// Guards against sending requests to a dead engine because no other one holds the model: they would
/// be refused with `endpoint_failed`, although there is time to wait for a load on another engine.
#[test]
fn model_of_a_dead_engine_waits_for_a_load_elsewhere() {
    let mut harness = common::Harness::with_engines(common::settings(), &["dead"]);
    harness.report(common::report("other", 1, 1, &["draft"]));
    let (req, _) = harness.arrive(|_| {});
    harness.fail(req, NOT_RUN, CONNECT_REFUSED);
    let dead = harness.decider.endpoint("dead").expect("known");
    harness.step(event::Event::EndpointSilent(dead));
    let (req, actions) = harness.arrive(|_| {});
    assert_eq!(common::summary(&actions, req), "queue");
    assert_eq!(harness.decider.demand()[0].waiting, 1);
    let actions = harness.report(common::report("other", 2, 1, &["sort"]));
    assert_eq!(common::summary(&actions, req), "send");
}

struct UnavailableCase {
    what: &'static str,
    make: fn(&mut common::Harness),
}

const UNAVAILABLE_CASES: &[UnavailableCase] = &[
    UnavailableCase {
        what: "leaving",
        make: |harness| {
            let mut report = common::report("e1", 2, 8, &["sort"]);
            report.leaving = true;
            harness.report(report);
            harness.report(common::report("e1", 3, 8, &["sort"]));
        },
    },
    UnavailableCase {
        what: "reported as silent by the daemon",
        make: |harness| {
            let endpoint = harness.decider.endpoint("e1").expect("known");
            harness.step(event::Event::EndpointSilent(endpoint));
        },
    },
    UnavailableCase {
        what: "silent by the age of its report",
        make: |harness| {
            harness.advance(7_000);
            harness.report(common::report("e2", 2, 8, &["sort"]));
        },
    },
    UnavailableCase {
        what: "restarted without the model",
        make: |harness| {
            let mut report = common::report("e1", 1, 8, &["draft"]);
            report.identity.incarnation = endpoints::Incarnation(2);
            harness.report(report);
            // A report of the earlier incarnation, which was overtaken by that of the new one.
            harness.report(common::report("e1", 9, 8, &["sort"]));
        },
    },
    UnavailableCase {
        what: "unloaded, with an older report arriving late",
        make: |harness| {
            harness.report(common::report("e1", 5, 8, &["draft"]));
            harness.report(common::report("e1", 4, 8, &["sort"]));
        },
    },
];

/// Guards against sending requests to an engine that has announced that it is leaving, or against a
/// delayed report making it look available again.
#[test]
fn endpoint_that_is_away_gets_no_new_work() {
    for case in UNAVAILABLE_CASES {
        let mut harness = common::Harness::new(common::settings());
        harness.report(common::report("e1", 1, 8, &["sort"]));
        harness.report(common::report("e2", 1, 8, &["sort"]));
        (case.make)(&mut harness);
        for _ in 0..8 {
            let (req, actions) = harness.arrive(|_| {});
            let endpoint = common::sent_to(&actions, req).expect("sent");
            assert_eq!(
                harness.decider.endpoint_name(endpoint),
                "e2",
                "{}",
                case.what
            );
        }
    }
}

/// Guards against counting requests that were lost in a restart of an engine against its slots, which
/// would leave it partly idle, and against subtracting their ends from the count of the new ones.
#[test]
fn restart_frees_the_slots_of_the_earlier_incarnation() {
    let mut harness = common::Harness::with_engines(common::settings(), &["e1"]);
    let (lost, _) = harness.arrive(|_| {});
    let mut report = common::report("e1", 1, 1, &["sort"]);
    report.identity.incarnation = endpoints::Incarnation(2);
    harness.report(report);
    let (req, actions) = harness.arrive(|_| {});
    assert_eq!(common::summary(&actions, req), "send");
    harness.fail(lost, NOT_RUN, CONNECT_REFUSED);
    let gauges = harness.decider.gauges();
    assert_eq!((gauges.in_flight, gauges.ejected), (1, 0));
}

/// Guards against cancelling a long response that is not streamed and counting this as a failure of the
/// engine. Its first byte comes at its end, so the time limit must not follow from the mean length of
/// earlier, shorter responses.
#[test]
fn long_answer_gets_the_time_that_it_needs() {
    for (max_tokens, streaming, least) in [
        (200, false, 10_000),
        (2, false, 2_000),
        (0, false, 2_500),
        (200, true, 2_000),
    ] {
        let mut harness = common::Harness::with_engines(common::settings(), &["e1"]);
        for _ in 0..6 {
            let (req, _) = harness.arrive(|info| info.max_tokens = 2);
            harness.advance(100);
            let outcome = event::AttemptOutcome::Done { tokens: 2 };
            harness.step(event::Event::AttemptEnded { req, outcome });
        }
        let (_, actions) = harness.arrive(|info| {
            info.max_tokens = max_tokens;
            info.streaming = streaming;
        });
        let limit = actions.iter().find_map(|action| match action {
            event::Action::Send {
                first_byte_limit, ..
            } => Some(first_byte_limit.0),
            _ => None,
        });
        let limit = limit.expect("sent");
        let what = format!("{max_tokens} tokens, streaming: {streaming}: {limit}");
        assert!((least..least * 2).contains(&limit), "{what}");
    }
}

/// Guards against ejecting an engine because requests run into their deadlines there under load. An
/// engine that answers no request at all must still be ejected.
#[test]
fn endpoint_that_is_only_late_is_not_ejected() {
    for (answers_others, ejected) in [(true, 0), (false, 1)] {
        let mut settings = common::settings();
        settings.policy.shed = false;
        let mut harness = common::Harness::new(settings);
        let report = common::report("e1", 1, 4, &["sort"]);
        harness.step(event::Event::Report(Box::new(report), time::Millis(0)));
        for _ in 0..8 {
            let (late, _) = harness.arrive(|info| info.deadline = Some(time::Millis(1_000)));
            let (other, _) = harness.arrive(|_| {});
            harness.advance(600);
            if answers_others {
                let outcome = event::AttemptOutcome::Done { tokens: 1 };
                harness.step(event::Event::AttemptEnded {
                    req: other,
                    outcome,
                });
            }
            harness.advance(500);
            let actions = harness.fail(late, MAY_HAVE_RUN, event::AttemptError::NoFirstByte);
            assert_eq!(
                common::summary(&actions, late),
                "deadline_passed may_have_run",
                "answers others: {answers_others}"
            );
            if harness.decider.gauges().ejected > 0 {
                break;
            }
        }
        let gauges = harness.decider.gauges();
        assert_eq!(gauges.ejected, ejected, "answers others: {answers_others}");
    }
}

/// Guards against sending requests to an engine before the backoff that it requested has passed. A
/// restarted engine has requested none.
#[test]
fn requested_backoff_is_respected() {
    for (after, restarts, is_used_again) in [
        (2_900, false, false),
        (3_100, false, true),
        (100, true, true),
    ] {
        let mut harness = common::Harness::with_engines(common::settings(), &["e1"]);
        let (req, actions) = harness.arrive(|_| {});
        assert!(common::sent_to(&actions, req).is_some());
        if restarts {
            let mut report = common::report("e1", 1, 4, &["sort"]);
            report.identity.incarnation = endpoints::Incarnation(2);
            harness.report(report);
        }
        let span = time::Millis(3_000);
        harness.step(event::Event::BackoffRequested { req, span });
        harness.fail(req, NOT_RUN, event::AttemptError::Status(503));
        harness.advance(after);
        let (next, actions) = harness.arrive(|info| info.deadline = Some(time::Millis(10_000)));
        let is_sent = common::sent_to(&actions, next).is_some();
        assert_eq!(
            is_sent, is_used_again,
            "after {after} ms, restarted: {restarts}"
        );
    }
}
