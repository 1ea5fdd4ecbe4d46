//! Long prompts beside streams: an engine prefills a prompt between two events of all its streams.

mod support;

use std::{collections, net};

use sageshed_fleet::{
    chooser::{Chooser, EndpointQuery},
    dialect,
    entry_peers::{self, RoutingDecision},
};
use sageshed_types::time;

const T0: time::Instant = time::Instant(100_000);

fn at(ms: u64) -> time::Instant {
    T0 + time::Millis(ms)
}

fn entries() -> Vec<net::Ipv4Addr> {
    let ip = |it| net::Ipv4Addr::new(10, 0, 1, it);
    (1..=73).map(ip).collect()
}

fn m0() -> dialect::ModelRef {
    dialect::ModelRef {
        model: "m0".to_owned(),
        adapter: None,
    }
}

fn key_of(id: &str) -> u64 {
    entry_peers::instance_key(&id.into())
}

/// The observation of an engine whose response has just begun.
fn observation(id: &str, running: u32, micros: u64) -> entry_peers::EngineObservation {
    entry_peers::EngineObservation {
        pending_prefill_us: micros,
        running: Some(running),
        ..support::observation(key_of(id))
    }
}

/// The coordinator of m0, which learned at `T0` how many requests each of these engines runs.
fn coordinator(engines: &[(&str, u32)]) -> Chooser {
    let own = entry_peers::coordinators(entry_peers::name_key("m0"), &entries())[0];
    let mut chooser = Chooser::new("z1", 7);
    chooser.set_entries(own, &entries());
    for (id, running) in engines {
        chooser.update_instance(&support::engine(id, &["m0"]));
        chooser.apply_observation(T0, entries()[1], &observation(id, *running, 0));
    }
    chooser
}

fn route(chooser: &mut Chooser, now: time::Instant, request: u64, tokens: u64) -> u64 {
    let wanted = m0();
    let ask = EndpointQuery {
        patience: time::Millis(300),
        ..support::ask(&wanted, tokens)
    };
    match chooser.route_for(now, entries()[2], request, &ask) {
        RoutingDecision::Engine { engine, .. } => engine,
        other => panic!("no engine: {other:?}"),
    }
}

/// A prompt, and the engine that it has to go to.
struct Case {
    name: &'static str,
    tokens: u64,
    /// Milliseconds since the engines reported their running requests.
    later: u64,
    /// Pending prefill, in milliseconds, of the engine without streams.
    pending_ms: u64,
    /// Whether the prompt goes to the engine without streams.
    to_idle_engine: bool,
}

#[test]
fn a_prompt_goes_where_it_stalls_the_fewest_streams() {
    let case = |name, tokens, later, pending_ms, to_idle_engine| Case {
        name,
        tokens,
        later,
        pending_ms,
        to_idle_engine,
    };
    let cases = [
        case("400 ms of prefill", 7_600, 10, 0, true),
        case("300 ms of prefill", 5_700, 10, 0, true),
        case(
            "a short prompt does not wait for that",
            1_900,
            10,
            60,
            false,
        ),
        case(
            "a long prompt does not wait for seconds",
            7_600,
            10,
            900,
            false,
        ),
        case("an outdated report does not count", 7_600, 2_500, 60, false),
    ];
    for case in cases {
        let mut chooser = coordinator(&[("e1", 12), ("e2", 0), ("e3", 14)]);
        let micros = case.pending_ms * 1_000;
        let now = at(case.later);
        let observed = entry_peers::EngineObservation {
            running: None,
            slowdown_percent: None,
            ..observation("e2", 0, micros)
        };
        chooser.apply_observation(now, entries()[3], &observed);
        let engine = route(&mut chooser, now, 1, case.tokens);
        assert_eq!(engine == key_of("e2"), case.to_idle_engine, "{}", case.name);
    }
}

/// Some 26 prompts a second arrive for a model with eight replicas; one of twelve is so long that it stalls
/// an engine for as long as its streams accept. Half of the engines run many long streams, half few. Routed
/// by pending prefill alone, the long prompts are spread over all engines and stall as many streams as
/// there are; they have to go where few run.
#[test]
fn long_prompts_stay_away_from_crowded_engines_for_a_minute_of_load() {
    let ids: Vec<String> = (0..8).map(|it| format!("e{it}")).collect();
    let crowd = |at: usize| if at.is_multiple_of(2) { 10 } else { 2 };
    let engines: Vec<(&str, u32)> = ids
        .iter()
        .enumerate()
        .map(|(at, id)| (id.as_str(), crowd(at)))
        .collect();
    let mut chooser = coordinator(&engines);
    let mut rng = fastrand::Rng::with_seed(11);
    let mut stalled = collections::BTreeMap::<bool, u32>::new();
    let (mut long, mut now) = (0, 0);
    for request in 0..1_560_u64 {
        now += rng.u64(1..77);
        for (id, running) in &engines {
            chooser.apply_observation(at(now), entries()[1], &observation(id, *running, 0));
        }
        let is_long = rng.u32(0..12) == 0;
        let tokens = if is_long { 7_600 } else { 1_800 };
        let engine = route(&mut chooser, at(now), request, tokens);
        let index = ids
            .iter()
            .position(|id| key_of(id) == engine)
            .expect("known");
        chooser.apply_observation(
            at(now),
            entries()[2],
            &observation(&ids[index], crowd(index), 0),
        );
        if is_long {
            long += 1;
            *stalled.entry(crowd(index) > 5).or_default() += 1;
        }
    }
    let at_crowded = stalled.get(&true).copied().unwrap_or_default();
    assert!(
        at_crowded * 10 <= long,
        "{at_crowded} of {long} long prompts"
    );
}
