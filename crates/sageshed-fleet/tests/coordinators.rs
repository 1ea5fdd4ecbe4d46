//! Coordinators of models among many entry processes: what they learn, and where they route requests.

mod support;

use std::{collections, net};

use sageshed_fleet::{
    chooser::{AttemptOutcome, Choice, Chooser, EndpointQuery},
    dialect,
    entry_peers::{self, EngineFault, RoutingDecision},
};
use sageshed_types::time;

const T0: time::Instant = time::Instant(100_000);

fn at(ms: u64) -> time::Instant {
    T0 + time::Millis(ms)
}

fn entries() -> Vec<net::Ipv4Addr> {
    (1..=195)
        .map(|it| net::Ipv4Addr::new(10, 0, 1, it))
        .collect()
}

fn m0() -> dialect::ModelRef {
    dialect::ModelRef {
        model: "m0".to_owned(),
        adapter: None,
    }
}

/// The coordinator of m0, which knows `engines` that hold it.
fn coordinator(engines: &[&str]) -> Chooser {
    let own = entry_peers::coordinators(entry_peers::name_key("m0"), &entries())[0];
    let mut chooser = Chooser::new("z1", 7);
    chooser.set_entries(own, &entries());
    for id in engines {
        chooser.update_instance(&support::engine(id, &["m0"]));
    }
    chooser
}

fn query(wanted: &dialect::ModelRef, tokens: u64) -> EndpointQuery<'_> {
    EndpointQuery {
        patience: time::Millis(300),
        may_be_late: true,
        ..support::ask(wanted, tokens)
    }
}

fn engine_of(decision: RoutingDecision) -> u64 {
    match decision {
        RoutingDecision::Engine { engine, .. } => engine,
        other => panic!("no engine: {other:?}"),
    }
}

fn key_of(id: &str) -> u64 {
    entry_peers::instance_key(&id.into())
}

fn observation(id: &str, micros: u64) -> entry_peers::EngineObservation {
    entry_peers::EngineObservation {
        pending_prefill_us: micros,
        ..support::observation(key_of(id))
    }
}

/// 414 requests a second arrive at 195 entry processes, two a second at each. None of these knows what the
/// others have just sent, so some engines got three times as much as others and rejected it. Prompts that
/// arrive within milliseconds at twelve processes have to go to twelve engines.
#[test]
fn requests_of_many_processes_are_spread_over_the_engines() {
    let ids: Vec<String> = (0..12).map(|it| format!("e{it}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut coordinator = coordinator(&ids);
    let wanted = m0();
    let mut picked = collections::BTreeSet::new();
    for (number, from) in entries().into_iter().take(12).enumerate() {
        let now = at(number as u64 * 2);
        let decision = coordinator.route_for(now, from, number as u64, &query(&wanted, 3_000));
        picked.insert(engine_of(decision));
    }
    assert_eq!(picked.len(), 12);
}

/// A process has sent the request that was routed for it, and its observation arrives. The request counts
/// once, by the observation, and the engine is free again once it has prefilled it.
#[test]
fn a_routed_request_counts_until_its_observation_arrives() {
    let mut coordinator = coordinator(&["e1"]);
    let wanted = m0();
    let from = entries()[9];
    let RoutingDecision::Engine { estimate, .. } =
        coordinator.route_for(T0, from, 1, &query(&wanted, 6_000))
    else {
        panic!("e1 has no prefill pending");
    };
    assert!(estimate >= time::Millis(300), "{estimate:?}");
    let other = entries()[10];
    assert!(matches!(
        coordinator.route_for(at(5), other, 2, &query(&wanted, 6_000)),
        RoutingDecision::Wait { .. }
    ));
    coordinator.apply_observation(at(6), from, &observation("e1", 316_000));
    assert!(matches!(
        coordinator.route_for(at(300), other, 2, &query(&wanted, 6_000)),
        RoutingDecision::Wait { .. }
    ));
    assert!(
        coordinator.apply_observation(at(330), from, &observation("e1", 0)),
        "it has less prefill pending"
    );
    assert_eq!(
        engine_of(coordinator.route_for(at(331), other, 2, &query(&wanted, 6_000))),
        key_of("e1")
    );
}

/// The datagram with the observation of a sent request is lost. The engine must not idle because of that.
#[test]
fn a_routed_request_without_observation_expires() {
    let mut coordinator = coordinator(&["e1"]);
    let wanted = m0();
    coordinator.route_for(T0, entries()[9], 1, &query(&wanted, 6_000));
    let decision = coordinator.route_for(at(200), entries()[10], 2, &query(&wanted, 6_000));
    assert_eq!(engine_of(decision), key_of("e1"));
}

/// One process runs into an engine that unloads the model. With two requests a second at each of 195
/// processes, each would find out by itself: 7,353 of 21,582 requests of a simulated day were rejected that
/// way.
#[test]
fn requests_of_others_avoid_an_engine_that_rejected_one_process() {
    for fault in [
        EngineFault::Rejects(entry_peers::name_key("m0")),
        EngineFault::Lacks(entry_peers::name_key("m0")),
    ] {
        let mut coordinator = coordinator(&["e1", "e2"]);
        let wanted = m0();
        let observed = entry_peers::EngineObservation {
            fault: Some(fault),
            ..observation("e1", 0)
        };
        coordinator.apply_observation(T0, entries()[3], &observed);
        for number in 0..20 {
            let decision =
                coordinator.route_for(at(10 + number), entries()[7], number, &query(&wanted, 100));
            assert_eq!(engine_of(decision), key_of("e2"), "{fault:?}");
        }
    }
}

/// An entry process is partitioned from all engines and observes each as unreachable, while the others
/// reach them. That observation alone must not empty the pool. An engine that a second process can't reach
/// either is ejected.
#[test]
fn one_process_alone_ejects_no_engine() {
    let mut coordinator = coordinator(&["e1", "e2"]);
    let wanted = m0();
    let lost = |id| entry_peers::EngineObservation {
        fault: Some(EngineFault::Unreachable),
        ..observation(id, 0)
    };
    for ms in [0, 5, 10] {
        coordinator.apply_observation(at(ms), entries()[3], &lost("e1"));
        coordinator.apply_observation(at(ms), entries()[3], &lost("e2"));
    }
    let decision = coordinator.route_for(at(20), entries()[7], 1, &query(&wanted, 100));
    assert!(
        matches!(decision, RoutingDecision::Engine { .. }),
        "{decision:?}"
    );
    coordinator.apply_observation(at(30), entries()[4], &lost("e1"));
    for number in 0..20 {
        let decision =
            coordinator.route_for(at(40 + number), entries()[7], number, &query(&wanted, 100));
        assert_eq!(engine_of(decision), key_of("e2"));
    }
}

/// Prompts arrive faster than the engine prefills them, and wait at a hundred processes. Each would hold
/// its own until the caller disconnects. The coordinator knows how many wait and how many it routes, and
/// estimates how long that takes.
#[test]
fn the_coordinator_estimates_how_long_requests_wait() {
    let mut coordinator = coordinator(&["e1"]);
    let wanted = m0();
    let from = entries()[9];
    for number in 0..10 {
        let now = at(number * 200);
        coordinator.apply_observation(now, from, &observation("e1", 0));
        engine_of(coordinator.route_for(now, from, number, &query(&wanted, 3_000)));
        coordinator.apply_observation(at(number * 200 + 1), from, &observation("e1", 400_000));
    }
    let mut expected = None;
    for request in 100..150 {
        let decision =
            coordinator.route_for(at(1_900), entries()[10], request, &query(&wanted, 3_000));
        let RoutingDecision::Wait { expected: latest } = decision else {
            panic!("{decision:?}");
        };
        expected = latest;
    }
    // One is routed each 200 ms, and 50 wait.
    let expected = expected.expect("ten requests were routed");
    assert!((8_000..12_000).contains(&expected.0), "{expected:?}");
}

/// A process follows the decision of a coordinator unless it knows better: the engine has failed it for
/// this very request, or no longer holds the model.
#[test]
fn a_decision_is_followed_unless_the_process_knows_better() {
    let wanted = m0();
    let mut chooser = Chooser::new("z1", 7);
    chooser.set_entries(entries()[9], &entries());
    chooser.update_instance(&support::engine("e1", &["m0"]));
    chooser.update_instance(&support::engine("e2", &["m1"]));
    let routed = query(&wanted, 100);
    let estimate = time::Millis(70);
    let Some(Choice::Send(pick)) = chooser.follow_decision(T0, key_of("e1"), estimate, &routed)
    else {
        panic!("e1 holds it");
    };
    assert_eq!(
        (pick.instance.name.as_str(), pick.estimate),
        ("e1", estimate)
    );
    assert_eq!(
        chooser.follow_decision(T0, key_of("e2"), estimate, &routed),
        None
    );
    assert_eq!(
        chooser.follow_decision(T0, key_of("e3"), estimate, &routed),
        None
    );
    let tried = [pick.key];
    let again = EndpointQuery {
        tried: &tried,
        ..routed
    };
    assert_eq!(
        chooser.follow_decision(T0, key_of("e1"), estimate, &again),
        None
    );
    chooser.record_end(T0, &pick, Some(&wanted), false, AttemptOutcome::Unreachable);
    assert_eq!(
        chooser.follow_decision(at(5), key_of("e1"), estimate, &routed),
        None
    );
}

/// The coordinator itself selects by its own view. The second coordinator queries the first, and all others
/// both in order.
#[test]
fn the_coordinator_itself_queries_nobody() {
    let coordinators = entry_peers::coordinators(entry_peers::name_key("m0"), &entries());
    let queried_by = |own| {
        let mut chooser = Chooser::new("z1", 7);
        chooser.set_entries(own, &entries());
        chooser.coordinators("m0")
    };
    assert!(queried_by(coordinators[0]).is_empty());
    assert_eq!(queried_by(coordinators[1]), coordinators[..1]);
    let other = entries()
        .into_iter()
        .find(|it| !coordinators.contains(it))
        .expect("193 of them");
    assert_eq!(queried_by(other), coordinators);
}

/// An engine prefills slowly, and its responses show that to processes that each send it a request only now
/// and then. The coordinator receives all of their observations and routes less there.
#[test]
fn a_coordinator_learns_from_the_timings_of_others() {
    let mut coordinator = coordinator(&["e1", "e2"]);
    let wanted = m0();
    let sample = entry_peers::TtftSample {
        model: entry_peers::name_key("m0"),
        took: 800,
        estimated: 200,
    };
    for number in 0..60_u64 {
        let observed = entry_peers::EngineObservation {
            ttft: Some(sample),
            ..observation("e1", 0)
        };
        coordinator.apply_observation(
            at(number * 20),
            entries()[usize::try_from(number).expect("small")],
            &observed,
        );
    }
    let mut counts = [0, 0];
    for number in 0..20 {
        let now = at(2_000 + number * 500);
        let decision = coordinator.route_for(now, entries()[7], number, &query(&wanted, 3_000));
        counts[usize::from(engine_of(decision) == key_of("e2"))] += 1;
    }
    assert_eq!(counts, [0, 20]);
}

/// Engines prefill in chunks, and no stream pauses for long however much is pending. Each process sees two
/// streams a second; the coordinator sees all of them and lets more prefill be pending, or engines would
/// idle while requests wait.
#[test]
fn a_coordinator_learns_the_prefill_limit_from_the_pauses_of_others() {
    let mut coordinator = coordinator(&["e1"]);
    let wanted = m0();
    let from = entries()[9];
    let pauses = entry_peers::Pauses {
        lasted: time::Millis(500),
        longest: time::Millis(60),
        limit: time::Millis(400),
    };
    let mut sent = Vec::new();
    for round in 0..8_u64 {
        let mut waiting = 0;
        for number in 0..12 {
            let now = at(round * 1_000 + number);
            let decision =
                coordinator.route_for(now, from, round * 100 + number, &query(&wanted, 2_000));
            if matches!(decision, RoutingDecision::Engine { .. }) {
                waiting += 1;
                coordinator.apply_observation(now, from, &observation("e1", waiting * 105_000));
            }
        }
        sent.push(waiting);
        let observed = entry_peers::EngineObservation {
            pauses: Some(pauses),
            ..observation("e1", 0)
        };
        coordinator.apply_observation(at(round * 1_000 + 500), from, &observed);
    }
    assert!(sent[0] <= 4 && sent[7] >= 2 * sent[0], "{sent:?}");
}
