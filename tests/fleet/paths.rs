//! Entry processes that endpoints can't be reached from, while callers and other entry processes still reach them.

use std::{collections, thread, time};

use crate::{
    fleet::Fleet,
    standin::{caller, engine},
};

/// How long a process may take to stop using a path that was lost.
const DETECTION_TIME: time::Duration = time::Duration::from_secs(3);

/// The interval between two rounds of requests.
const ROUND_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// The rounds of requests that are counted.
const ROUNDS: usize = 20;

/// The routes of one round.
const PATHS: [&str; 4] = ["/stream/x", "/resumable/x", "/once/x", "/again/x"];

/// Those whose requests must not run twice.
const NOT_REPEATABLE: [&str; 2] = ["/stream/", "/once/"];

/// The endpoints that each case cuts one entry process off from, by their index among those of [`Fleet::ready`].
struct Case {
    name: &'static str,
    cut: &'static [usize],
}

/// Sends one request for each route to an entry process. Returns how many were served.
fn serve_round(fleet: &Fleet, entry: usize, id: &str) -> usize {
    let served = PATHS.iter().enumerate().filter(|(at, path)| {
        let id = format!("{id}-{at}");
        let answer = fleet.ask(entry, &caller::Request::new("GET", path, &id));
        answer.is_some_and(|it| it.status() == 200)
    });
    served.count()
}

/// How many requests of [`ROUNDS`] rounds an entry process serves.
fn serve(fleet: &Fleet, entry: usize, name: &str) -> usize {
    let round = |number: usize| {
        thread::sleep(ROUND_INTERVAL);
        serve_round(fleet, entry, &format!("{name}-{entry}-{number}"))
    };
    (0..ROUNDS).map(round).sum()
}

fn cut_off(fleet: &Fleet, engines: &[engine::Engine], entry: usize, cut: &[usize]) {
    let pid = fleet.entries[entry].id();
    for at in cut {
        engines[*at].cut_off(pid);
    }
    let until = time::Instant::now() + DETECTION_TIME;
    let mut round = 0;
    while time::Instant::now() < until {
        round += 1;
        serve_round(fleet, entry, &format!("lost-{entry}-{round}"));
        thread::sleep(ROUND_INTERVAL);
    }
}

/// Guards against an entry VM that refuses its callers because it has lost its own paths to the endpoints, which the
/// other entry VMs still reach.
#[test]
fn an_entry_process_cut_off_from_endpoints_serves_its_callers() {
    let cases = [
        Case {
            name: "all",
            cut: &[0, 1, 2, 3],
        },
        Case {
            name: "engines",
            cut: &[0, 1],
        },
    ];
    for case in cases {
        let (fleet, engines) = Fleet::ready();
        cut_off(&fleet, &engines, 0, case.cut);
        let cut = serve(&fleet, 0, case.name);
        let other = serve(&fleet, 1, case.name);
        assert!(
            cut * 3 >= other * 2,
            "cut off from {}: {cut} served, {other} by the other process",
            case.name
        );
        assert_eq!(max_runs(&engines), 1, "cut off from {}", case.name);
    }
}

/// The most times that all endpoints together ran one request that must not run twice.
fn max_runs(engines: &[engine::Engine]) -> usize {
    let mut runs = collections::HashMap::new();
    for engine in engines {
        let ran = engine.log(|log| log.ran.clone());
        let ran = ran.iter().filter(|it| {
            NOT_REPEATABLE
                .iter()
                .any(|path| it.target().starts_with(path))
        });
        let ids = ran.filter_map(|it| it.header("attempt-id"));
        // [`Fleet::ready`] sends one id to all entry processes.
        for id in ids.filter(|it| *it != "first") {
            *runs.entry(id.to_owned()).or_insert(0) += 1;
        }
    }
    runs.into_values().max().unwrap_or(0)
}

/// Longer than the time between two passes of probes.
const LATE_CLOSE: time::Duration = time::Duration::from_millis(1_200);

/// The rounds in which a process that is cut off probes its paths several times.
const PROBED_ROUNDS: usize = 60;

/// Guards against requests that are lost on a path that was taken into use since a probe of it was open for a second:
/// a device on the way accepts the connections of a process that is cut off, and closes them later.
#[test]
fn a_path_whose_connections_are_closed_late_is_not_used_again() {
    let (fleet, engines) = Fleet::ready();
    for engine in &engines {
        engine.set_cut_delay(LATE_CLOSE);
        engine.cut_off(fleet.entries[0].id());
    }
    let mut round = 0;
    fleet.until("all paths of an entry process count as lost", || {
        round += 1;
        serve_round(&fleet, 0, &format!("late-{round}"));
        let log = fleet.entries[0].log();
        log.contains("cut off from the endpoints")
    });
    let rounds = 0..PROBED_ROUNDS;
    let served = rounds.map(|round| {
        thread::sleep(ROUND_INTERVAL);
        serve_round(&fleet, 0, &format!("probed-{round}"))
    });
    assert_eq!(served.sum::<usize>(), PROBED_ROUNDS * PATHS.len());
}

/// Guards against an entry process that sends its requests through another one for good: it connects to the endpoints
/// by itself again once it can.
#[test]
fn an_entry_process_uses_its_own_paths_again_when_they_are_back() {
    let (fleet, engines) = Fleet::ready();
    cut_off(&fleet, &engines, 0, &[0, 1, 2, 3]);
    for engine in &engines {
        engine.end_cut();
    }
    let mut round = 0;
    fleet.until("a request is sent without a relay", || {
        round += 1;
        let id = format!("back-{round}");
        serve_round(&fleet, 0, &id);
        let log = fleet.entries[0].log();
        log.contains("connects to endpoints without relays again")
    });
}

/// Guards against streams that are cut off when the entry process stops through which their endpoint is reached.
#[test]
fn a_stopping_entry_process_finishes_what_it_relays() {
    let (mut fleet, engines) = Fleet::ready();
    cut_off(&fleet, &engines, 0, &[0, 1, 2, 3]);
    for engine in &engines {
        engine.set_behavior(engine::Behavior::PausesAfter(3));
    }
    let fleet_ref = &fleet;
    let answer = thread::scope(|scope| {
        let request = caller::Request::new("GET", "/stream/x", "relayed");
        let asked = scope.spawn(move || fleet_ref.ask(0, &request));
        fleet_ref.until("the stream has begun", || {
            engines.iter().any(|it| it.runs("relayed") > 0)
        });
        fleet_ref.entries[1].signal("TERM");
        asked.join().expect("the caller ends")
    });
    let answer = answer.expect("a response");
    assert!(answer.whole && answer.status() == 200, "{}", answer.text());
    assert!(fleet.entries[1].wait().success());
    let log = fleet.entries[1].log();
    assert!(log.contains("\"cut_relayed\":\"0\""), "{log}");
}

/// Guards against coordinators of models and services that decide for all entry processes by paths that only they have
/// lost: 8 of 13 processes are cut off.
#[test]
fn most_entry_processes_cut_off_with_coordinators_among_them_serve_their_callers() {
    let (fleet, engines) = Fleet::many_ready(13, "[shared_queue]\nenabled = true\n");
    let count = fleet.entries.len();
    let served: Vec<usize> = thread::scope(|scope| {
        let (fleet, engines) = (&fleet, &engines[..]);
        let cut =
            (0..8).map(|entry| scope.spawn(move || cut_off(fleet, engines, entry, &[0, 1, 2, 3])));
        for it in cut.collect::<Vec<_>>() {
            it.join().expect("no panic");
        }
        let serving = (0..count).map(|entry| scope.spawn(move || serve(fleet, entry, "large")));
        let serving: Vec<_> = serving.collect();
        let served = serving.into_iter().map(|it| it.join().expect("no panic"));
        served.collect()
    });
    let (cut, others) = served.split_at(8);
    let mean = |served: &[usize]| served.iter().sum::<usize>() / served.len();
    assert!(
        mean(cut) * 3 >= mean(others) * 2,
        "served of {}: {cut:?} by those cut off, {others:?} by others",
        ROUNDS * PATHS.len()
    );
    assert!(mean(others) * 3 >= ROUNDS * PATHS.len() * 2, "{others:?}");
}
