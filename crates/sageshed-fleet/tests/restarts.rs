//! Endpoints that crash and are restarted under the same name.

mod support;

use std::collections;

use sageshed_fleet::{
    chooser::{AttemptOutcome, Choice, Chooser, WaitReason},
    dialect,
    directory::{self, ChangeFilter, Directory, Instance, InstanceId, MergeOutcome, State},
    entry_peers, messages,
    planner::{Action, Planner, Policy},
};
use sageshed_types::time;

const T0: time::Instant = time::Instant(1_000_000);

fn at(ms: u64) -> time::Instant {
    T0 + time::Millis(ms)
}

/// The instance of engine e1 that was started at `born` and holds `models`, in its announcement number `sequence`. Its
/// host has a copy of m3, so that loads of m3 don't wait for the store's budget, which a new leader counts as spent.
fn instance(born: u64, sequence: u64, models: &[&str]) -> Instance {
    Instance {
        id: InstanceId::new("e1", Some(born)),
        sequence,
        on_disk: vec!["m3".to_owned()],
        ..support::engine("e1", models)
    }
}

fn current_start(directory: &Directory) -> Option<u64> {
    directory.current_instance("e1").and_then(|it| it.id.born)
}

/// An announcement that a directory receives after `ms`, of the instance that was started at `born`.
struct Announcement {
    ms: u64,
    born: u64,
    sequence: u64,
}

struct Case {
    name: &'static str,
    announcements: Vec<Announcement>,
    /// The start time of the instance that is expected to be current at the end.
    current: u64,
}

fn announcement(ms: u64, born: u64, sequence: u64) -> Announcement {
    Announcement { ms, born, sequence }
}

/// Announcements of the instance that was started at `born`, one every 1.2 s from `ms` on.
fn announcements(ms: u64, born: u64, count: u64) -> Vec<Announcement> {
    let nth = |n| announcement(ms + (n - 1) * 1_200, born, n);
    (1..=count).map(nth).collect()
}

fn merged(mut a: Vec<Announcement>, b: Vec<Announcement>) -> Vec<Announcement> {
    a.extend(b);
    a.sort_by_key(|it| it.ms);
    a
}

/// An engine crashes and is restarted. Announcements of both instances, some of them late, arrive in any order, at a
/// process that knew the previous instance or did not. The current instance gets the requests, so it must be the
/// running one.
#[test]
fn the_running_instance_is_current() {
    let cases = [
        Case {
            name: "restarted at once, with a lower sequence number",
            announcements: vec![announcement(0, 100, 500), announcement(1_500, 1_600, 1)],
            current: 1_600,
        },
        Case {
            name: "restarted within two milliseconds",
            announcements: vec![announcement(0, 100, 500), announcement(2, 102, 1)],
            current: 102,
        },
        Case {
            name: "a late announcement of the previous instance, which was known",
            announcements: vec![
                announcement(0, 100, 500),
                announcement(1_500, 1_600, 1),
                announcement(2_000, 100, 501),
            ],
            current: 1_600,
        },
        Case {
            name: "a late first announcement of the previous instance, which was not known",
            announcements: vec![announcement(0, 1_600, 40), announcement(10, 100, 1)],
            current: 1_600,
        },
        Case {
            name: "delayed announcements of the previous instance, in a burst while the new one is silent",
            announcements: merged(
                vec![announcement(0, 1_600, 40)],
                (0..9)
                    .map(|n| announcement(7_000 + n, 100, 500 + n))
                    .collect(),
            ),
            current: 1_600,
        },
        Case {
            name: "three instances, the middle one late",
            announcements: vec![
                announcement(0, 100, 9),
                announcement(10, 300, 1),
                announcement(20, 200, 1),
                announcement(30, 200, 2),
            ],
            current: 300,
        },
        Case {
            name: "a clock that was set back between two instances",
            announcements: merged(
                vec![announcement(0, 9_000, 500)],
                announcements(1_000, 4_000, 6),
            ),
            current: 4_000,
        },
        Case {
            name: "the same, before the previous instance was silent for long enough",
            announcements: merged(
                vec![announcement(0, 9_000, 500)],
                announcements(1_000, 4_000, 4),
            ),
            current: 9_000,
        },
        Case {
            name: "a clock that was set back, and a late announcement of an unknown previous instance",
            announcements: merged(
                announcements(0, 4_000, 12),
                vec![announcement(4_000, 9_000, 3)],
            ),
            current: 4_000,
        },
    ];
    for case in cases {
        let mut directory = Directory::new(1);
        for it in &case.announcements {
            directory.announce(at(it.ms), instance(it.born, it.sequence, &["m0"]));
        }
        assert_eq!(
            current_start(&directory),
            Some(case.current),
            "{}",
            case.name
        );
        let known = directory.records_after(at(0), directory::Cursor::default(), ChangeFilter::All);
        let there = known.iter().filter(|it| it.instance.is_present()).count();
        assert_eq!(there, 1, "{}", case.name);
    }
}

/// One control process passes on the new instance, another one still has the previous instance with a far higher
/// sequence number and passes that on. Both have to end with the new one, whichever record comes first.
#[test]
fn directories_agree_on_the_later_instance_in_both_orders() {
    for new_first in [true, false] {
        let (mut a, mut b) = (Directory::new(1), Directory::new(2));
        a.announce(T0, instance(100, 900, &["m0"]));
        b.announce(T0, instance(100, 900, &["m0"]));
        a.announce(at(10), instance(2_000, 1, &[]));
        let of_a = a.records_after(at(20), directory::Cursor::default(), ChangeFilter::All);
        let of_b = b.records_after(at(20), directory::Cursor::default(), ChangeFilter::All);
        let mut fresh = Directory::new(3);
        let (first, second) = if new_first {
            (of_a, of_b)
        } else {
            (of_b, of_a)
        };
        for record in first.into_iter().chain(second) {
            b.merge(at(20), record.clone());
            fresh.merge(at(20), record);
        }
        for directory in [&a, &b, &fresh] {
            assert_eq!(
                current_start(directory),
                Some(2_000),
                "new first: {new_first}"
            );
            assert!(
                !directory
                    .current_instance("e1")
                    .expect("it is present")
                    .holds("m0", None)
            );
        }
    }
}

/// An instance deregisters, and the next one has started before the deregistration arrives. It must not end the next
/// one.
#[test]
fn a_late_deregistration_does_not_end_the_next_instance() {
    let leaving = [
        ("it names its start time", InstanceId::new("e1", Some(100))),
        ("it names no start time", InstanceId::new("e1", None)),
    ];
    for (name, id) in leaving {
        let mut directory = Directory::new(1);
        directory.announce(T0, instance(100, 900, &["m0"]));
        directory.announce(at(10), instance(2_000, 1, &[]));
        directory.deregister(at(20), &id);
        assert_eq!(current_start(&directory), Some(2_000), "{name}");
    }
}

/// An engine deregisters without its start time, and announces itself once more before it has stopped. It must get no
/// new work, not even from processes that hear of it from a control process which has just started and doesn't know the
/// engine.
#[test]
fn a_deregistered_instance_stays_out_though_it_named_no_start_time() {
    let mut known = Directory::new(1);
    known.announce(T0, instance(100, 900, &["m0"]));
    let mut fresh = Directory::new(2);
    fresh.deregister(at(10), &"e1".into());
    for record in fresh.records_after(at(20), directory::Cursor::default(), ChangeFilter::All) {
        known.merge(at(20), record);
    }
    assert!(known.current_instance("e1").is_none());
    for (n, ms) in [(901, 1_000), (902, 2_200), (903, 3_400), (904, 4_600)] {
        assert_eq!(
            known.announce(at(ms), instance(100, n, &["m0"])),
            MergeOutcome::Stale
        );
    }
    assert!(known.current_instance("e1").is_none());
    assert_eq!(
        known.announce(at(5_000), instance(9_000, 1, &[])),
        MergeOutcome::New
    );
}

/// Announcements without a start time come from older software or a faulty sender. They don't end an instance that is
/// known to be running.
#[test]
fn an_announcement_without_a_start_time_does_not_end_an_instance_with_one() {
    let mut directory = Directory::new(1);
    directory.announce(T0, instance(100, 900, &["m0"]));
    for n in 1..=9 {
        let mut other = support::engine("e1", &["m3"]);
        other.sequence = 5_000 + n;
        directory.announce(at(n * 1_200), other);
        directory.announce(at(n * 1_200 + 1), instance(100, 900 + n, &["m0"]));
    }
    assert_eq!(current_start(&directory), Some(100));
    assert!(
        directory
            .current_instance("e1")
            .expect("it is present")
            .holds("m0", None)
    );
}

/// A sender announces any number of instances of one endpoint, and any number of endpoints. Neither may exhaust the
/// memory of the process, or displace the instances that it knows.
#[test]
fn the_number_of_kept_instances_is_bounded() {
    let mut directory = Directory::new(1);
    directory.announce(T0, instance(1_000_000, 900, &["m0"]));
    for born in 0..1_000 {
        directory.announce(T0, instance(born, 1, &[]));
    }
    let mut refused = 0;
    for n in 0..=directory::MAX_INSTANCES {
        let record = directory::Record {
            instance: support::engine(&format!("x{n}"), &[]),
            amended: 0,
            rank: 0,
            age: time::Millis(0),
        };
        let offer = directory.merge(T0, record);
        refused += usize::from(offer == MergeOutcome::Full);
    }
    assert!(refused > 0);
    let all = directory.records_after(T0, directory::Cursor::default(), ChangeFilter::All);
    assert!(all.len() <= directory::MAX_INSTANCES);
    assert_eq!(current_start(&directory), Some(1_000_000));
    assert_eq!(
        directory.announce(at(1_200), instance(1_000_000, 901, &["m0"])),
        MergeOutcome::Confirmed
    );
}

/// An entry process has requests at an engine that crashes and is restarted. What it knows of the engine concerns the
/// previous instance: its models, its cached prefixes, the requests of other entry processes there, and its failure.
#[test]
fn an_entry_process_keeps_nothing_of_the_previous_instance() {
    let mut chooser = Chooser::new("z1", 7);
    let wanted = dialect::ModelRef {
        model: "m0".to_owned(),
        adapter: None,
    };
    let ask = support::ask(&wanted, 1_000);
    chooser.update_instance(&instance(100, 900, &["m0"]));
    let Choice::Send(pick) = chooser.choose(T0, &ask) else {
        panic!("the engine is present");
    };
    let observation = entry_peers::EngineObservation {
        pending_prefill_us: 900_000,
        ..support::observation(entry_peers::instance_key(&pick.instance))
    };
    let mut gone = instance(100, 900, &["m0"]);
    gone.state = State::Replaced;
    chooser.update_instance(&gone);
    chooser.update_instance(&instance(2_000, 1, &[]));
    assert_eq!(
        chooser.choose(at(10), &ask),
        Choice::Wait(WaitReason::Model)
    );
    chooser.update_instance(&instance(2_000, 2, &["m0"]));
    let from = std::net::Ipv4Addr::new(10, 0, 0, 9);
    assert!(!chooser.apply_observation(at(20), from, &observation));
    chooser.record_end(
        at(20),
        &pick,
        Some(&wanted),
        false,
        AttemptOutcome::Unreachable,
    );
    let Choice::Send(next) = chooser.choose(at(30), &ask) else {
        panic!("the new instance holds the model");
    };
    assert_eq!(next.instance.born, Some(2_000));
    assert_ne!(next.key, pick.key);
    assert!(next.estimate < time::Millis(200), "{:?}", next.estimate);
}

/// A leader for one engine, which gets nothing but the reports that it requests.
struct Leader {
    planner: Planner,
    now: time::Instant,
}

impl Leader {
    fn new() -> Self {
        let mut planner = Planner::new(Policy::default(), "10.0.0.1");
        planner.start_leading(T0, 4);
        Self { planner, now: T0 }
    }

    /// Runs for `span` with demand for m3 and reports of `accepted` orders. Returns the orders with their times; they
    /// get no responses.
    fn run(
        &mut self,
        span: u64,
        engine: &Instance,
        accepted: u64,
    ) -> Vec<(time::Instant, dialect::Order)> {
        let until = self.now + time::Millis(span);
        let mut orders = Vec::new();
        while self.now < until {
            self.now = self.now + time::Millis(50);
            let demand = messages::Demand {
                service: support::ENGINES.to_owned(),
                model: "m3".to_owned(),
                requests: 4,
                prefill_us: 40_000,
                output_tokens: 100,
                waiting: 1,
                adapters: Vec::new(),
                ..messages::Demand::default()
            };
            self.planner.add_demand(self.now, &[demand]);
            for action in self.planner.tick(self.now, &support::config(), &[engine]) {
                match action {
                    Action::Order(order) => orders.push((self.now, order)),
                    Action::RequestReport { instance, .. } => {
                        let report = dialect::Report {
                            born: instance.born,
                            accepted,
                            ..dialect::Report::default()
                        };
                        self.planner
                            .handle_report(self.now, &instance, Some(report));
                    }
                    Action::Amend { .. } => {}
                }
            }
        }
        orders
    }
}

/// From where an engine loads m3, and when a new leader has ordered that. It loads nothing from the store for a window
/// after its first order may be given.
struct LoadCase {
    name: &'static str,
    on_disk: &'static [&'static str],
    ordered_within: u64,
}

const LOAD_CASES: [LoadCase; 2] = [
    LoadCase {
        name: "from disk",
        on_disk: &["m3"],
        ordered_within: 5_000,
    },
    LoadCase {
        name: "from the store",
        on_disk: &[],
        ordered_within: 10_000,
    },
];

impl LoadCase {
    fn instance(&self, born: u64, sequence: u64, models: &[&str]) -> Instance {
        Instance {
            on_disk: self.on_disk.iter().map(|it| (*it).to_owned()).collect(),
            ..instance(born, sequence, models)
        }
    }
}

/// An order to load a model gets no response, and the engine crashes and is restarted. The order may be executed twelve
/// seconds later by the new instance, which has accepted the same number of orders. With one more model loaded
/// meanwhile its memory would be overcommitted, so it gets no order until then.
#[test]
fn an_instance_gets_no_order_while_one_to_the_previous_instance_may_be_executed() {
    for case in LOAD_CASES {
        let name = case.name;
        let mut leader = Leader::new();
        let span = case.ordered_within - 1_000;
        let orders = leader.run(span, &case.instance(100, 900, &["m0"]), 0);
        let (given, order) = orders.last().cloned().expect("m3 is to be loaded");
        leader.planner.handle_order_response(given, &order, None);
        let crashed = leader.now;
        let orders = leader.run(20_000, &case.instance(2_000, 1, &[]), 0);
        let (first, _) = orders.first().expect("it is loaded in the end");
        assert!(
            first.since(given) >= time::Millis(12_000),
            "{name}: {first:?} after {crashed:?}"
        );
    }
}

/// The same with a new leader. It doesn't know the orders of the previous one, and learns of the restart from its
/// directory.
#[test]
fn a_new_leader_gives_a_restarted_engine_no_order_while_earlier_ones_may_be_executed() {
    for case in LOAD_CASES {
        let name = case.name;
        let mut leader = Leader::new();
        let engine = case.instance(2_000, 1, &[]);
        leader.planner.set_restarted(vec![engine.id.clone()]);
        let orders = leader.run(20_000, &engine, 0);
        let (first, _) = orders.first().expect("it is loaded in the end");
        assert!(first.since(T0) >= time::Millis(12_000), "{name}: {first:?}");
        let orders = Leader::new().run(20_000, &engine, 0);
        let (first, _) = orders.first().expect("it is loaded");
        assert!(
            first.since(T0) < time::Millis(case.ordered_within),
            "{name}: one that was not restarted: {first:?}"
        );
    }
}

/// A leader requests the report of an engine, and the next instance responds. Its number of accepted orders says
/// nothing about the previous instance, so no order is given by it.
#[test]
fn the_report_of_another_instance_is_ignored() {
    let mut planner = Planner::new(Policy::default(), "10.0.0.1");
    planner.start_leading(T0, 4);
    let engine = instance(100, 900, &["m0"]);
    let report = dialect::Report {
        born: Some(2_000),
        ..dialect::Report::default()
    };
    let mut orders = 0;
    for step in 0..200 {
        let now = at(step * 50);
        let waiting = messages::Demand {
            service: support::ENGINES.to_owned(),
            model: "m3".to_owned(),
            requests: 4,
            prefill_us: 40_000,
            output_tokens: 100,
            waiting: 1,
            adapters: Vec::new(),
            ..messages::Demand::default()
        };
        planner.add_demand(now, &[waiting]);
        let actions = planner.tick(now, &support::config(), &[&engine]);
        orders += actions
            .iter()
            .filter(|it| matches!(it, Action::Order(_)))
            .count();
        planner.handle_report(now, &engine.id, Some(report.clone()));
    }
    assert_eq!(orders, 0);
}

/// An engine crashes and is restarted at random times, and its announcements arrive seconds late, in any order, at any
/// of three directories, which pass them on to each other. In the end each directory must have the running instance.
#[test]
fn after_announcements_in_any_order_all_directories_have_the_running_instance() {
    type Naming = fn(u64) -> InstanceId;
    let namings: [(&str, Naming); 3] = [
        ("one name", |born| InstanceId::new("e1", Some(born))),
        ("names of their own", |born| {
            InstanceId::new(&format!("e{born}"), Some(born))
        }),
        ("names of their own, without start times", |born| {
            InstanceId::new(&format!("e{born}"), None)
        }),
    ];
    for ((naming, id), seed) in namings
        .into_iter()
        .flat_map(|naming| (1..=40_u64).map(move |seed| (naming, seed)))
    {
        let instance = |born, sequence| Instance {
            id: id(born),
            ..instance(born, sequence, &["m0"])
        };
        let mut random = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        let mut draw = |below: u64| {
            random ^= random << 13;
            random ^= random >> 7;
            random ^= random << 17;
            random % below
        };
        let mut announcements: collections::BTreeMap<(u64, u64), (usize, Instance)> =
            collections::BTreeMap::new();
        let (mut now, mut last) = (0, 0);
        for _ in 0..4 {
            last = now + 1;
            let lives_for = 3_000 + draw(9_000);
            for n in 1..=lives_for / 1_200 {
                let late = if draw(4) == 0 { draw(8_000) } else { draw(20) };
                let heard = now + n * 1_200 + late;
                let to = usize::try_from(draw(3)).expect("small");
                announcements.insert((heard, draw(1 << 40)), (to, instance(last, n)));
            }
            now += lives_for + draw(3_000);
        }
        let end = now + 30_000;
        for n in 1..=end / 1_200 {
            let to = usize::try_from(draw(3)).expect("small");
            let heard = now + n * 1_200;
            announcements.insert((heard, 0), (to, instance(last, 20 + n)));
        }
        let mut all = [Directory::new(1), Directory::new(2), Directory::new(3)];
        for ((ms, _), (to, instance)) in announcements {
            all[to].announce(at(ms), instance);
            for from in 0..3 {
                let records = all[from].records_after(
                    at(ms),
                    directory::Cursor::default(),
                    ChangeFilter::All,
                );
                for to in (0..3).filter(|to| *to != from) {
                    for record in records.clone() {
                        all[to].merge(at(ms), record);
                    }
                }
            }
            for directory in &mut all {
                directory.expire(at(ms));
            }
        }
        for directory in &all {
            let present: Vec<_> = directory.present(at(end)).map(|(it, _)| &it.id).collect();
            assert_eq!(present, [&id(last)], "{naming}, seed {seed}");
        }
    }
}

/// Guards against an instance that is taken for the next one after it has deregistered: it named no start time, nobody
/// knew it then, and an announcement that it had sent before arrives two seconds late. One that goes on announcing itself
/// is the next one.
#[test]
fn a_late_announcement_of_an_unknown_instance_does_not_revive_it() {
    let mut directory = Directory::new(1);
    directory.deregister(T0, &"e1".into());
    assert_eq!(
        directory.announce(at(2_200), instance(100, 2, &["m0"])),
        MergeOutcome::Stale
    );
    assert_eq!(current_start(&directory), None);
    for (n, ms) in [(3, 3_400), (4, 4_600)] {
        directory.announce(at(ms), instance(100, n, &["m0"]));
    }
    assert_eq!(current_start(&directory), Some(100));

    let mut directory = Directory::new(1);
    directory.deregister(T0, &"e1".into());
    assert_eq!(
        directory.announce(at(5_000), instance(100, 1, &[])),
        MergeOutcome::New
    );
}
