//! Streams that callers take up after all entry processes have ended at once, while what may have begun them has changed.

use std::{thread, time};

use crate::{
    fleet::Fleet,
    standin::{
        engine::{Behavior, Engine},
        operator,
    },
    versions::{EVENTS, Stream, mixed_fleet, until_known},
};

/// Streams of each case.
const STREAMS: usize = 40;

/// The entry processes are down for this long.
const DOWN_TIME: time::Duration = time::Duration::from_secs(1);

/// How long before that the engines or the configuration change.
const CHANGE_TIME: time::Duration = time::Duration::from_millis(300);

/// How often a caller whose stream is refused asks again, and after which time.
const RETRIES: usize = 8;
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// What changes between the first attempt of each stream and the loss of all entry processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    None,
    /// The engines of one version leave.
    VersionLeaves,
    /// The streams begin while there is one version; engines of another one start.
    VersionArrives,
    /// The route moves to another service.
    RouteMoves,
    /// The same, just before.
    RouteMovesLast,
    /// The route is removed, and added again with another service.
    RouteIsMadeAnew,
    /// The route is split between two services.
    RouteSplits,
}

/// What is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    Entries,
    /// The entry processes, twice.
    EntriesTwice,
    /// The entry processes, and one control process that stays down.
    EntriesAndOneControl,
    /// All processes.
    All,
}

struct Case {
    name: &'static str,
    entries: u8,
    change: Change,
    loss: Loss,
    /// The least number of streams that go on at their version.
    resumed: usize,
}

const CASES: [Case; 12] = [
    Case {
        name: "two versions",
        entries: 3,
        change: Change::None,
        loss: Loss::Entries,
        resumed: STREAMS,
    },
    Case {
        name: "two versions, lost twice",
        entries: 3,
        change: Change::None,
        loss: Loss::EntriesTwice,
        resumed: STREAMS,
    },
    Case {
        name: "two versions, a control process lost as well",
        entries: 3,
        change: Change::None,
        loss: Loss::EntriesAndOneControl,
        resumed: STREAMS,
    },
    Case {
        name: "models with coordinators",
        entries: 14,
        change: Change::None,
        loss: Loss::Entries,
        resumed: STREAMS,
    },
    Case {
        name: "one version has left",
        entries: 3,
        change: Change::VersionLeaves,
        loss: Loss::Entries,
        // About half began at the other one.
        resumed: STREAMS / 4,
    },
    Case {
        name: "a second version has just started",
        entries: 3,
        change: Change::VersionArrives,
        loss: Loss::Entries,
        resumed: STREAMS,
    },
    Case {
        name: "the route has moved",
        entries: 3,
        change: Change::RouteMoves,
        loss: Loss::Entries,
        resumed: 0,
    },
    Case {
        name: "the route was made anew",
        entries: 3,
        change: Change::RouteIsMadeAnew,
        loss: Loss::Entries,
        resumed: 0,
    },
    Case {
        name: "the route was split",
        entries: 3,
        change: Change::RouteSplits,
        loss: Loss::Entries,
        resumed: STREAMS,
    },
    Case {
        name: "all processes lost",
        entries: 3,
        change: Change::None,
        loss: Loss::All,
        resumed: 0,
    },
    Case {
        name: "the route has just moved, all processes lost",
        entries: 3,
        change: Change::RouteMovesLast,
        loss: Loss::All,
        resumed: 0,
    },
    Case {
        name: "the route has moved, all processes lost",
        entries: 3,
        change: Change::RouteMoves,
        loss: Loss::All,
        resumed: 0,
    },
];

/// A fleet whose streams begin at one of two versions, or at the only one if the change brings another.
fn start(case: &Case) -> (Fleet, Vec<Engine>) {
    if case.change == Change::None || case.change == Change::VersionLeaves {
        return mixed_fleet(case.entries);
    }
    let (fleet, mut engines) = Fleet::many_ready(case.entries, "");
    engines.truncate(2);
    for engine in &engines {
        engine.set_behavior(Behavior::Streams(EVENTS));
    }
    if case.change != Change::VersionArrives {
        let other = fleet.engine_of_version("v2", "e4", "others", 36, &["m1"]);
        other.set_behavior(Behavior::Streams(EVENTS));
        engines.push(other);
        fleet.replace(&with_services(11, RESUMABLE));
    }
    until_known(&fleet, &engines);
    (fleet, engines)
}

/// The part of the route of the streams that names its service, in the stand-in's configuration.
const RESUMABLE: &str = r#""service":"engines","attempts":2,"resumable":true"#;

const MOVED: &str = r#""service":"others","attempts":2,"resumable":true"#;

const SPLIT: &str = r#""weighted_clusters":[{"service":"engines","weight":1},{"service":"others","weight":1}],"attempts":2,"resumable":true"#;

/// The stand-in's configuration with the service `others`, and `target` as the service of the streams' route.
fn with_services(version: u64, target: &str) -> String {
    let config = operator::config(version).replace(RESUMABLE, target);
    let (_, services) = config.split_once(r#""services":["#).expect("services");
    let (engines, _) = services.split_once('\n').expect("the first service");
    let others = engines.replace(r#""name":"engines""#, r#""name":"others""#);
    config.replace(
        r#""services":["#,
        &format!(r#""services":[{others}{}"#, "\n"),
    )
}

fn change(fleet: &Fleet, engines: &mut Vec<Engine>, change: Change) {
    match change {
        Change::None => return,
        Change::VersionLeaves => engines.iter().take(3).for_each(Engine::leave),
        Change::VersionArrives => {
            let new = fleet.engine_of_version("v2", "e5", "engines", 37, &["m1"]);
            new.set_behavior(Behavior::Streams(EVENTS));
            engines.push(new);
        }
        Change::RouteMoves => fleet.replace(&with_services(12, MOVED)),
        Change::RouteMovesLast => return fleet.replace(&with_services(12, MOVED)),
        Change::RouteIsMadeAnew => {
            let config = with_services(12, RESUMABLE);
            let is_kept = |it: &&str| !it.contains(r#""name":"resumable""#);
            let kept: Vec<_> = config.lines().filter(is_kept).collect();
            fleet.replace(&kept.join("\n"));
            thread::sleep(CHANGE_TIME);
            fleet.replace(&with_services(13, MOVED));
        }
        Change::RouteSplits => fleet.replace(&with_services(12, SPLIT)),
    }
    thread::sleep(CHANGE_TIME);
}

fn lose(fleet: &mut Fleet, loss: Loss) {
    let rounds = if loss == Loss::EntriesTwice { 2 } else { 1 };
    for _ in 0..rounds {
        if loss == Loss::EntriesAndOneControl {
            fleet.control[0].kill();
        }
        let control = if loss == Loss::All {
            &mut fleet.control[..]
        } else {
            &mut []
        };
        let mut all: Vec<_> = control.iter_mut().chain(&mut fleet.entries).collect();
        for process in &mut all {
            process.kill();
        }
        thread::sleep(DOWN_TIME);
        for process in &mut all {
            process.start();
        }
    }
}

/// How many streams were resumed at their version, and how many joined of two.
fn play(case: &Case) -> (usize, usize) {
    let (mut fleet, mut engines) = start(case);
    let mut streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let mut stream = Stream::new(format!("s{number}"));
            let entry = &fleet.entries[number % fleet.entries.len()];
            stream.attempt(
                entry.address(),
                3 + u32::try_from(number % 10).expect("small"),
            );
            stream
        })
        .collect();
    change(&fleet, &mut engines, case.change);
    lose(&mut fleet, case.loss);
    let count = fleet.entries.len();
    thread::scope(|scope| {
        for (number, stream) in streams.iter_mut().enumerate() {
            let fleet = &fleet;
            scope.spawn(move || {
                for retry in 0..RETRIES {
                    let entry = &fleet.entries[(number + retry + 1) % count];
                    stream.attempt(entry.address(), EVENTS + 1);
                    if stream.is_complete {
                        return;
                    }
                    thread::sleep(RETRY_INTERVAL);
                }
            });
        }
    });
    let is_joined = |it: &&Stream| it.versions.len() > 1;
    let joined = streams.iter().filter(is_joined).count();
    let complete = streams.iter().filter(|it| it.is_complete).count();
    (complete - joined, joined)
}

/// Guards against streams that are resumed at another version than the one that began them, or not at all, after all entry
/// processes have ended at once.
#[test]
fn a_stream_is_resumed_at_its_version_after_all_entry_processes_were_lost() {
    let mut failures = Vec::new();
    for case in &CASES {
        let (resumed, joined) = play(case);
        println!(
            "{}: {resumed} of {STREAMS} resumed, {joined} joined",
            case.name
        );
        if joined > 0 || resumed < case.resumed {
            failures.push((case.name, resumed, joined));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
