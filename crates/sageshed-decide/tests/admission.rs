//! Admission, queues, cold models, claims and the division of slots between entry processes.

mod common;

use sageshed_decide::{event, settings};
use sageshed_types::{arena, endpoints, secret, time};

const URGENT: Option<arena::ClassKey> = Some(arena::ClassKey(0));
const IDLE: Option<arena::ClassKey> = Some(arena::ClassKey(2));

fn one_engine() -> common::Harness {
    common::Harness::with_engines(common::settings(), &["e1"])
}

#[test]
fn queue_is_ordered_by_priority_then_deadline() {
    let mut harness = one_engine();
    let (running, _) = harness.arrive(|_| {});
    let (idle, actions) = harness.arrive(|info| {
        info.class = IDLE;
        info.deadline = Some(time::Millis(7_000));
    });
    assert!(common::queued(&actions, idle));
    let (late, _) = harness.arrive(|info| info.deadline = Some(time::Millis(9_000)));
    let (soon, _) = harness.arrive(|info| info.deadline = Some(time::Millis(8_000)));
    let mut busy = running;
    for next in [soon, late, idle] {
        let actions = harness.done(busy);
        assert!(
            common::sent_to(&actions, next).is_some(),
            "{next:?} is next: {actions:?}"
        );
        busy = next;
    }
}

#[test]
fn urgent_requests_have_slots_above_the_bound() {
    let mut harness = common::Harness::new(common::settings());
    harness.report(common::report("e1", 1, 4, &["sort"]));
    for _ in 0..4 {
        harness.arrive(|_| {});
    }
    let (usual, actions) = harness.arrive(|_| {});
    assert_eq!(common::summary(&actions, usual), "queue");
    let (urgent, actions) = harness.arrive(|info| info.class = URGENT);
    assert_eq!(common::summary(&actions, urgent), "send");
}

/// Guards against one caller filling the queue of a class, so that all requests of other callers in
/// the same class are refused.
#[test]
fn flooding_caller_is_displaced() {
    let mut harness = one_engine();
    harness.arrive(|_| {});
    let flood = (0..4).map(|_| harness.arrive(|_| {}).0).collect::<Vec<_>>();
    let (more, actions) = harness.arrive(|_| {});
    assert_eq!(common::summary(&actions, more), "queue_full not_run");
    let refusal = common::refused(&actions, more).expect("refused");
    assert!(refusal.retry_after.is_some_and(|span| span.0 > 0));
    let (other, actions) = harness.arrive(|info| info.caller = arena::CallerKey(1));
    assert_eq!(common::summary(&actions, other), "queue");
    assert_eq!(common::summary(&actions, flood[3]), "queue_full not_run");
}

struct Unmeetable {
    learned: u64,
    busy: bool,
    deadline: u64,
    expected: &'static str,
    retry_helps: bool,
}

#[test]
fn unmeetable_deadlines_are_refused_at_once() {
    let cases = [
        Unmeetable {
            learned: 1_000,
            busy: false,
            deadline: 1_500,
            expected: "send",
            retry_helps: false,
        },
        Unmeetable {
            learned: 1_000,
            busy: false,
            deadline: 900,
            expected: "deadline_unmeetable not_run",
            retry_helps: false,
        },
        Unmeetable {
            learned: 1_000,
            busy: true,
            deadline: 1_500,
            expected: "deadline_unmeetable not_run",
            retry_helps: true,
        },
        Unmeetable {
            learned: 1_000,
            busy: true,
            deadline: 4_000,
            expected: "queue",
            retry_helps: false,
        },
        // Without samples there is no estimate to refuse the request by.
        Unmeetable {
            learned: 0,
            busy: true,
            deadline: 100,
            expected: "queue",
            retry_helps: false,
        },
    ];
    for case in cases {
        let mut harness = one_engine();
        if case.learned > 0 {
            harness.train(case.learned);
            harness.report(common::report("e1", 2, 1, &["sort"]));
        }
        if case.busy {
            harness.arrive(|_| {});
        }
        let (req, actions) =
            harness.arrive(|info| info.deadline = Some(time::Millis(case.deadline)));
        assert_eq!(
            common::summary(&actions, req),
            case.expected,
            "deadline {}",
            case.deadline
        );
        let back = common::refused(&actions, req).and_then(|r| r.retry_after);
        assert_eq!(
            back.is_some(),
            case.retry_helps,
            "a retry helps only if a queue was the cause"
        );
    }
}

/// Guards against a request staying queued until its deadline although it can no longer be answered in
/// time. It must be refused as soon as this is known.
#[test]
fn waiting_requests_are_shed_when_they_become_hopeless() {
    let mut harness = one_engine();
    harness.train(1_000);
    harness.report(common::report("e1", 2, 1, &["sort"]));
    harness.arrive(|_| {});
    let (req, actions) = harness.arrive(|info| info.deadline = Some(time::Millis(3_500)));
    assert!(common::queued(&actions, req));
    assert_eq!(common::summary(&harness.tick_after(100), req), "");
    assert_eq!(
        common::summary(&harness.tick_after(1_000), req),
        "deadline_unmeetable not_run"
    );
}

/// Guards against a model being refused with `deadline_unmeetable` forever while its engines are idle:
/// after a burst the estimated service time exceeds the deadline, and if every request is refused, no
/// response can correct the estimate.
#[test]
fn wrong_estimate_is_corrected() {
    let mut harness = one_engine();
    harness.train(20_000);
    harness.report(common::report("e1", 2, 1, &["sort"]));
    harness.advance(1_000);
    let (first, actions) = harness.arrive(|_| {});
    assert_eq!(
        common::summary(&actions, first),
        "send",
        "the last one was sent 21 s ago"
    );
    harness.done(first);
    let (second, actions) = harness.arrive(|_| {});
    assert_eq!(
        common::summary(&actions, second),
        "deadline_unmeetable not_run"
    );
    harness.advance(2_000);
    harness.report(common::report("e1", 3, 1, &["sort"]));
    let (third, actions) = harness.arrive(|_| {});
    assert_eq!(common::summary(&actions, third), "send");
}

#[test]
fn cold_model_is_waited_for_or_refused_at_once() {
    for (deadline, known, expected, back) in [
        (10_000, true, "queue", None),
        (3_200, true, "no_route not_run", Some(3_500)),
        (10_000, false, "no_route not_run", Some(3_000)),
    ] {
        let mut harness = common::Harness::new(common::settings());
        if known {
            harness.report(common::report("e1", 1, 1, &["draft"]));
        }
        let (req, actions) = harness.arrive(|info| info.deadline = Some(time::Millis(deadline)));
        assert_eq!(common::summary(&actions, req), expected);
        let refusal = common::refused(&actions, req);
        assert_eq!(refusal.and_then(|r| r.retry_after), back.map(time::Millis));
        let demand = harness.decider.demand();
        assert_eq!((demand[0].model.as_str(), demand[0].arrived), ("sort", 1));
        let waits = u32::from(expected == "queue");
        assert_eq!((demand[0].waiting, demand[0].unserved), (waits, 1 - waits));
        if waits == 1 {
            let actions = harness.report(common::report("e1", 2, 1, &["sort"]));
            assert!(
                common::sent_to(&actions, req).is_some(),
                "sent when the load is done"
            );
            assert!(harness.decider.demand().is_empty());
        }
    }
}

#[test]
fn observed_load_shortens_the_wait() {
    let mut harness = common::Harness::new(common::settings());
    let mut report = common::report("e1", 1, 1, &["sort"]);
    report.resident[0].phase = endpoints::Phase::Loading;
    harness.report(report);
    harness.advance(2_500);
    let (req, actions) = harness.arrive(|info| info.deadline = Some(time::Millis(2_000)));
    assert_eq!(common::summary(&actions, req), "queue");
}

#[test]
fn adapter_is_served_where_it_is_resident() {
    let mut harness = common::Harness::new(common::settings());
    harness.report(common::report("base", 1, 4, &["sort"]));
    harness.report(common::report("both", 1, 4, &["sort", "sort-leith"]));
    let target = harness.request_info("sort-leith").target;
    let (req, actions) = harness.arrive(|info| info.target = target);
    let endpoint = common::sent_to(&actions, req).expect("sent");
    assert_eq!(harness.decider.endpoint_name(endpoint), "both");
}

/// Guards against sending a non-repeatable request before its claim is recorded: another entry process
/// could send the same request, and it would run twice.
#[test]
fn nothing_is_sent_before_its_claim() {
    let mut harness = one_engine();
    let once = |info: &mut event::RequestInfo| info.not_repeatable = true;
    let (req, actions) = harness.arrive(once);
    assert_eq!(common::summary(&actions, req), "claim");
    assert_eq!(common::summary(&harness.tick_after(50), req), "");
    let actions = harness.step(event::Event::ClaimGranted(req));
    assert_eq!(common::summary(&actions, req), "send");
    let (waits, _) = harness.arrive(once);
    let actions = harness.step(event::Event::ClaimGranted(waits));
    assert_eq!(common::summary(&actions, waits), "queue");
    let (denied, _) = harness.arrive(once);
    harness.step(event::Event::ClaimDenied(denied));
    assert_eq!(harness.step(event::Event::ClaimGranted(denied)), Vec::new());
    let (silent, _) = harness.arrive(once);
    assert_eq!(
        common::summary(&harness.tick_after(20_000), silent),
        "claim_unavailable not_run"
    );
}

#[test]
fn disconnected_caller_frees_its_slot() {
    let mut harness = one_engine();
    let (gone, _) = harness.arrive(|_| {});
    let (next, _) = harness.arrive(|_| {});
    let actions = harness.step(event::Event::CallerGone(gone));
    assert_eq!(common::summary(&actions, gone), "cancel");
    assert_eq!(common::summary(&actions, next), "send");
    assert_eq!(
        harness.done(gone),
        Vec::new(),
        "the end of an ended request has no effect"
    );
    assert_eq!(harness.decider.gauges().in_flight, 1);
}

#[test]
fn late_answer_is_awaited_up_to_the_expiry() {
    for (not_repeatable, waits) in [(false, 12_500), (true, 20_000)] {
        let mut harness = one_engine();
        let (req, _) = harness.arrive(|info| info.not_repeatable = not_repeatable);
        harness.step(event::Event::ClaimGranted(req));
        assert_eq!(common::summary(&harness.tick_after(waits - 1), req), "");
        let actions = harness.tick_after(1);
        assert_eq!(
            common::summary(&actions, req),
            "cancel, deadline_passed may_have_run"
        );
    }
}

/// Guards against several entry processes each filling all free slots that a report shows, which
/// would overcommit one engine after another while others are idle.
#[test]
fn entry_processes_share_the_free_slots() {
    let mut sent = 0;
    for seed in 0..7 {
        let mut settings = common::settings();
        settings.entries = 7;
        settings.classes[1].queue = 64;
        let mut decider = sageshed_decide::decider::Decider::new(settings, seed);
        let mut report = common::report("e1", 1, 64, &["sort"]);
        report.running = 32;
        decider.step(
            time::Instant(0),
            event::Event::Report(Box::new(report), time::Millis(0)),
        );
        for id in 0..32 {
            let info = common::request_info(event::ReqId(id), arena::ModelKey(0));
            let actions = decider.step(time::Instant(1), event::Event::Arrived(info));
            sent += usize::from(common::sent_to(&actions, event::ReqId(id)).is_some());
        }
    }
    // Each process may always use its even share of all 64 slots, which is 9.
    assert!(
        (32..=7 * 9).contains(&sent),
        "32 slots were free, {sent} were sent"
    );
}

/// Guards against overcommitting an engine while no reports arrive: each entry process could go on
/// using nearly all slots by its last report.
#[test]
fn stale_report_leaves_the_even_share() {
    for (silence, expected) in [(0, "send"), (4_000, "queue")] {
        let mut settings = common::settings();
        settings.entries = 2;
        let mut harness = common::Harness::new(settings);
        harness.report(common::report("e1", 1, 64, &["sort"]));
        for _ in 0..32 {
            harness.arrive(|_| {});
        }
        let mut report = common::report("e1", 2, 64, &["sort"]);
        report.running = 32;
        harness.report(report);
        harness.advance(silence);
        let (req, actions) = harness.arrive(|_| {});
        assert_eq!(
            common::summary(&actions, req),
            expected,
            "{silence} ms after the report"
        );
    }
}

#[test]
fn prefix_goes_to_the_same_endpoint_everywhere() {
    let names = ["e1", "e2", "e3", "e4", "e5"];
    let mut reversed = names;
    reversed.reverse();
    for prefix in 1..20 {
        let chosen = [names, reversed].map(|order| {
            let mut harness = common::Harness::with_engines(common::settings(), &order);
            let (req, actions) = harness.arrive(|info| info.prefix = prefix);
            let endpoint = common::sent_to(&actions, req).expect("sent");
            harness.decider.endpoint_name(endpoint).to_owned()
        });
        assert_eq!(chosen[0], chosen[1], "prefix {prefix}");
    }
}

#[test]
fn request_trace_names_the_candidates() {
    let mut harness = common::Harness::with_engines(common::settings(), &["e1", "e2"]);
    let mut leaving = common::report("e2", 2, 1, &["sort"]);
    leaving.leaving = true;
    harness.report(leaving);
    let (req, _) = harness.arrive(|_| {});
    let trace = harness.decider.request_trace(req).expect("known");
    assert_eq!(trace.rule.as_deref(), Some("default"));
    assert_eq!(trace.class, "usual");
    let why = trace
        .candidates
        .iter()
        .map(|c| (c.endpoint.as_str(), c.passed_over.as_deref()));
    assert_eq!(
        why.collect::<Vec<_>>(),
        [("e1", None), ("e2", Some("it is leaving"))]
    );
    harness.done(req);
    assert!(
        harness.decider.request_trace(req).is_some(),
        "known for a while after its end"
    );
}

#[test]
fn policy_refuses_unknown_keys() {
    let known = toml::from_str::<settings::Policy>("retry_share = 0.2\nrouting = 'random'");
    assert_eq!(known.expect("valid").routing, settings::Routing::Random);
    let error = toml::from_str::<settings::Policy>("retry_shar = 0.2").expect_err("a typo");
    assert!(error.to_string().contains("retry_shar"));
}

#[test]
fn names_are_looked_up() {
    let harness = one_engine();
    let decider = &harness.decider;
    assert_eq!(
        decider.caller_by_token(secret::KeyDigest::of(b"council")),
        Some(arena::CallerKey(1))
    );
    assert_eq!(
        decider.caller_by_token(secret::KeyDigest::of(b"other")),
        None
    );
    assert_eq!(decider.class("idle"), IDLE);
    let endpoint = decider.endpoint("e1").expect("known");
    assert_eq!(decider.endpoint_address(endpoint), "127.0.0.1:2");
}
