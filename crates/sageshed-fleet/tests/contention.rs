//! The slowdown that endpoints report for themselves.

mod support;

use std::net;

use sageshed_fleet::{
    chooser::{AttemptOutcome, BeganAt, Choice, Chooser, EndpointQuery, Pick, Prefill},
    dialect, entry_peers,
};
use sageshed_types::time;

const T0: time::Instant = time::Instant(100_000);

fn model() -> dialect::ModelRef {
    dialect::ModelRef {
        model: "m0".to_owned(),
        adapter: None,
    }
}

fn query(wanted: Option<&dialect::ModelRef>) -> EndpointQuery<'_> {
    let service = if wanted.is_some() {
        support::ENGINES
    } else {
        support::PLAIN
    };
    EndpointQuery {
        service,
        wanted,
        parts: &[],
        prompt_tokens: 1_900,
        tried: &[],
        time_left: time::Millis(10_000),
        patience: time::Millis(0),
        time_until_late: time::Millis(0),
        may_be_late: false,
        may_load_adapter: false,
        ignores_slot_share: false,
        began: BeganAt::NotBegun,
    }
}

fn chooser(service: &str, ids: &[&str]) -> Chooser {
    let mut chooser = Chooser::new("z1", 7);
    for id in ids {
        chooser.update_instance(&support::instance(id, service, &["m0"]));
    }
    chooser
}

fn pick(chooser: &mut Chooser, now: time::Instant, query: &EndpointQuery<'_>) -> Pick {
    match chooser.choose(now, query) {
        Choice::Send(pick) => pick,
        other => panic!("not sent: {other:?}"),
    }
}

fn load(slowdown_percent: Option<u32>) -> dialect::Load {
    dialect::Load {
        running: 0,
        waiting: 0,
        slots: 4,
        slowdown_percent,
    }
}

/// Sends a request at `now` that is answered after `took` with this figure.
fn serve(
    chooser: &mut Chooser,
    now: time::Instant,
    query: &EndpointQuery<'_>,
    took: u64,
    percent: Option<u32>,
) -> Pick {
    let sent = pick(chooser, now, query);
    let done = now + time::Millis(took);
    let parts = &[];
    let prefill = query.wanted.map(|wanted| Prefill { wanted, parts });
    chooser.record_response_start(
        done,
        &sent,
        prefill,
        time::Millis(took),
        Some(load(percent)),
    );
    chooser.record_end(done, &sent, query.wanted, true, AttemptOutcome::Answered);
    sent
}

/// An endpoint slows down for 600 ms. While that was learned from response times alone, it got its full
/// share meanwhile, and less than that afterwards.
#[test]
fn a_reported_slowdown_counts_at_once_and_for_as_long_as_it_is_fresh() {
    for service in [support::ENGINES, support::PLAIN] {
        let m0 = model();
        let query = query((service == support::ENGINES).then_some(&m0));
        let mut chooser = chooser(service, &["e1", "e2"]);
        let slow = serve(&mut chooser, T0, &query, 30, Some(250)).key;
        let reported_at = T0 + time::Millis(30);
        for _ in 0..10 {
            let now = reported_at + time::Millis(599);
            let sent = pick(&mut chooser, now, &query);
            assert_ne!(sent.key, slow, "{service}");
            chooser.record_end(now, &sent, query.wanted, false, AttemptOutcome::GivenUp);
        }
        let stale = reported_at + time::Millis(600);
        let mut picks = (0..40).map(|_| {
            let sent = pick(&mut chooser, stale, &query);
            chooser.record_end(stale, &sent, query.wanted, false, AttemptOutcome::GivenUp);
            sent.key
        });
        assert!(
            picks.any(|it| it == slow),
            "{service}: avoided for too long"
        );
    }
}

/// Estimates of an endpoint after it has served requests, by how long they took and what it reported.
struct Learned {
    service: &'static str,
    took: u64,
    percent: Option<u32>,
    /// The pause between two requests.
    gap: u64,
    /// The estimate right after the last report, and when that is stale.
    fresh: std::ops::Range<u64>,
    stale: std::ops::Range<u64>,
}

/// The same slowness must not count twice: once as reported, and once as learned from response times. An
/// endpoint that reports its normal speed and is slow is noticed by its response times.
#[test]
fn what_is_reported_is_not_learned_as_well() {
    let engine = support::ENGINES;
    let plain = support::PLAIN;
    let case = |service, took, percent, gap, fresh, stale| Learned {
        service,
        took,
        percent,
        gap,
        fresh,
        stale,
    };
    for case in [
        case(plain, 30, None, 0, 30..31, 30..31),
        case(plain, 30, Some(100), 0, 30..31, 30..31),
        case(plain, 75, Some(250), 0, 75..76, 30..31),
        case(plain, 75, Some(100), 0, 74..76, 74..76),
        case(plain, 75, None, 0, 74..76, 74..76),
        case(engine, 110, None, 0, 100..121, 100..121),
        case(engine, 260, Some(250), 0, 235..285, 100..121),
        // Each request is sent when the last report is stale, so that its estimate is too low.
        case(engine, 260, Some(250), 600, 235..285, 100..121),
        case(engine, 260, Some(100), 0, 220..300, 220..300),
        case(engine, 260, None, 0, 220..300, 220..300),
    ] {
        let m0 = model();
        let query = query((case.service == engine).then_some(&m0));
        let mut chooser = chooser(case.service, &["e1"]);
        let mut now = T0;
        for _ in 0..100 {
            serve(&mut chooser, now, &query, case.took, case.percent);
            now = now + time::Millis(case.took + case.gap);
        }
        let now = time::Instant(now.0 - case.gap);
        for (at, expected) in [(now, case.fresh), (now + time::Millis(600), case.stale)] {
            let sent = pick(&mut chooser, at, &query);
            chooser.record_end(at, &sent, query.wanted, false, AttemptOutcome::GivenUp);
            let estimate = sent.estimate.0;
            let name = (case.service, case.took, case.percent, case.gap);
            assert!(expected.contains(&estimate), "{name:?}: {estimate}");
        }
    }
}

/// The coordinator of a model learns of a slowdown from whichever process got the response, and sends
/// nobody there meanwhile.
#[test]
fn a_coordinator_learns_of_a_slowdown_by_observation() {
    let m0 = model();
    let entries: Vec<_> = (1..=29)
        .map(|it| net::Ipv4Addr::new(10, 0, 1, it))
        .collect();
    let own = entry_peers::coordinators(entry_peers::name_key("m0"), &entries)[0];
    let slow = entry_peers::instance_key(&"e1".into());
    for (percent, is_avoided) in [(Some(250), true), (Some(20_000), false), (None, false)] {
        let observed = entry_peers::EngineObservation {
            slowdown_percent: percent,
            ..support::observation(slow)
        };
        let mut routed = (1..40).map(|seed| {
            let mut chooser = Chooser::new("z1", seed * 7_919);
            chooser.set_entries(own, &entries);
            for id in ["e1", "e2"] {
                chooser.update_instance(&support::engine(id, &["m0"]));
            }
            chooser.apply_observation(T0, entries[3], &observed);
            chooser.route_for(T0, entries[4], seed, &query(Some(&m0)))
        });
        let is_slow = |it| matches!(it, entry_peers::RoutingDecision::Engine { engine, .. } if engine == slow);
        assert_eq!(!routed.any(is_slow), is_avoided, "{percent:?}");
    }
}
