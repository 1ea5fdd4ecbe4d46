//! Endpoints that crash and are back under the name that they had.

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

/// The start at `born` of engine e1 that holds `models`, in its announcement number `sequence`.
fn start(born: u64, sequence: u64, models: &[&str]) -> Instance {
    Instance {
        id: InstanceId::new("e1", Some(born)),
        sequence,
        ..support::engine("e1", models)
    }
}

fn born(directory: &Directory) -> Option<u64> {
    directory.current_instance("e1").and_then(|it| it.id.born)
}

/// What a directory hears: the start at `born` says its word number `sequence` after `ms`.
struct Word {
    ms: u64,
    born: u64,
    sequence: u64,
}

struct Case {
    name: &'static str,
    words: Vec<Word>,
    /// The start that is believed to live at the end.
    lives: u64,
}

fn word(ms: u64, born: u64, sequence: u64) -> Word {
    Word { ms, born, sequence }
}

/// Words of the start at `born` from `ms` on, one each 1.2 s.
fn beats(ms: u64, born: u64, count: u64) -> Vec<Word> {
    let beat = |n| word(ms + (n - 1) * 1_200, born, n);
    (1..=count).map(beat).collect()
}

fn joined(mut a: Vec<Word>, b: Vec<Word>) -> Vec<Word> {
    a.extend(b);
    a.sort_by_key(|it| it.ms);
    a
}

/// An engine crashes and is back under its name. Its words and late ones of the start before come in
/// any order, at a process that heard the start before or did not. Whichever is believed gets the
/// requests, so it must be the one that lives.
#[test]
fn the_start_that_lives_is_believed() {
    let cases = [
        Case {
            name: "back at once, with a lower count",
            words: vec![word(0, 100, 500), word(1_500, 1_600, 1)],
            lives: 1_600,
        },
        Case {
            name: "back within two milliseconds",
            words: vec![word(0, 100, 500), word(2, 102, 1)],
            lives: 102,
        },
        Case {
            name: "a late word of the start before, which was known",
            words: vec![
                word(0, 100, 500),
                word(1_500, 1_600, 1),
                word(2_000, 100, 501),
            ],
            lives: 1_600,
        },
        Case {
            name: "a late first word of the start before, which was not known",
            words: vec![word(0, 1_600, 40), word(10, 100, 1)],
            lives: 1_600,
        },
        Case {
            name: "words of the start before that a cut held up, in a burst while the new one is silent",
            words: joined(
                vec![word(0, 1_600, 40)],
                (0..9).map(|n| word(7_000 + n, 100, 500 + n)).collect(),
            ),
            lives: 1_600,
        },
        Case {
            name: "three starts, the middle one late",
            words: vec![
                word(0, 100, 9),
                word(10, 300, 1),
                word(20, 200, 1),
                word(30, 200, 2),
            ],
            lives: 300,
        },
        Case {
            name: "a clock that went back between two starts",
            words: joined(vec![word(0, 9_000, 500)], beats(1_000, 4_000, 6)),
            lives: 4_000,
        },
        Case {
            name: "the same, before the silence of the start before is long enough",
            words: joined(vec![word(0, 9_000, 500)], beats(1_000, 4_000, 4)),
            lives: 9_000,
        },
        Case {
            name: "a clock that went back, and a late word of the start before at a process that never knew it",
            words: joined(beats(0, 4_000, 12), vec![word(4_000, 9_000, 3)]),
            lives: 4_000,
        },
    ];
    for case in cases {
        let mut directory = Directory::new(1);
        for it in &case.words {
            directory.announce(at(it.ms), start(it.born, it.sequence, &["m0"]));
        }
        assert_eq!(born(&directory), Some(case.lives), "{}", case.name);
        let known = directory.records_after(at(0), directory::Cursor::default(), ChangeFilter::All);
        let there = known.iter().filter(|it| it.instance.is_present()).count();
        assert_eq!(there, 1, "{}", case.name);
    }
}

/// The control process that heard the new start passes it on, and one that still holds the start before
/// under a far higher count passes that on. Both have to end with the new one, whichever record comes
/// first.
#[test]
fn directories_agree_on_the_later_start_in_both_orders() {
    for new_first in [true, false] {
        let (mut a, mut b) = (Directory::new(1), Directory::new(2));
        a.announce(T0, start(100, 900, &["m0"]));
        b.announce(T0, start(100, 900, &["m0"]));
        a.announce(at(10), start(2_000, 1, &[]));
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
            assert_eq!(born(directory), Some(2_000), "new first: {new_first}");
            assert!(
                !directory
                    .current_instance("e1")
                    .expect("it is there")
                    .holds("m0", None)
            );
        }
    }
}

/// A start says that it leaves; the next one under its name has begun before that word arrives, late. It
/// lives, and must not be ended by it.
#[test]
fn a_late_word_that_a_start_leaves_does_not_end_the_next_one() {
    let leaving = [
        ("it names its start", InstanceId::new("e1", Some(100))),
        ("it does not", InstanceId::new("e1", None)),
    ];
    for (name, id) in leaving {
        let mut directory = Directory::new(1);
        directory.announce(T0, start(100, 900, &["m0"]));
        directory.announce(at(10), start(2_000, 1, &[]));
        directory.deregister(at(20), &id);
        assert_eq!(born(&directory), Some(2_000), "{name}");
    }
}

/// An engine says that it leaves, without its time of birth, and announces itself once more before it
/// has stopped. It must get no new work, also from processes that a control process tells which was
/// just started and does not know the engine.
#[test]
fn a_start_that_leaves_stays_out_though_its_word_names_no_birth() {
    let mut known = Directory::new(1);
    known.announce(T0, start(100, 900, &["m0"]));
    let mut fresh = Directory::new(2);
    fresh.deregister(at(10), &"e1".into());
    for record in fresh.records_after(at(20), directory::Cursor::default(), ChangeFilter::All) {
        known.merge(at(20), record);
    }
    assert!(known.current_instance("e1").is_none());
    for (n, ms) in [(901, 1_000), (902, 2_200), (903, 3_400), (904, 4_600)] {
        assert_eq!(
            known.announce(at(ms), start(100, n, &["m0"])),
            MergeOutcome::Stale
        );
    }
    assert!(known.current_instance("e1").is_none());
    assert_eq!(
        known.announce(at(5_000), start(9_000, 1, &[])),
        MergeOutcome::New
    );
}

/// Words without a time of birth come from older software, or from a writer that goes wrong. They do not
/// end a start that is known to live.
#[test]
fn a_word_without_a_birth_does_not_end_a_start_that_tells_its_own() {
    let mut directory = Directory::new(1);
    directory.announce(T0, start(100, 900, &["m0"]));
    for n in 1..=9 {
        let mut other = support::engine("e1", &["m3"]);
        other.sequence = 5_000 + n;
        directory.announce(at(n * 1_200), other);
        directory.announce(at(n * 1_200 + 1), start(100, 900 + n, &["m0"]));
    }
    assert_eq!(born(&directory), Some(100));
    assert!(
        directory
            .current_instance("e1")
            .expect("it is there")
            .holds("m0", None)
    );
}

/// Somebody announces endless starts of one endpoint, and endless endpoints. Neither may take the memory of
/// the process, or the place of those that it knows.
#[test]
fn what_is_kept_is_bounded() {
    let mut directory = Directory::new(1);
    directory.announce(T0, start(1_000_000, 900, &["m0"]));
    for born in 0..1_000 {
        directory.announce(T0, start(born, 1, &[]));
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
    assert_eq!(born(&directory), Some(1_000_000));
    assert_eq!(
        directory.announce(at(1_200), start(1_000_000, 901, &["m0"])),
        MergeOutcome::Confirmed
    );
}

/// An entry process has requests at an engine that crashes and is back. What it believed of the engine
/// concerns the start before: the models, the beginnings of prompts that it kept, what others have
/// there, and that it failed.
#[test]
fn an_entry_process_believes_nothing_of_the_start_before() {
    let mut chooser = Chooser::new("z1", 7);
    let wanted = dialect::ModelRef {
        model: "m0".to_owned(),
        adapter: None,
    };
    let ask = support::ask(&wanted, 1_000);
    chooser.update_instance(&start(100, 900, &["m0"]));
    let Choice::Send(pick) = chooser.choose(T0, &ask) else {
        panic!("the engine is there");
    };
    let word = entry_peers::EngineObservation {
        engine: entry_peers::instance_key(&pick.instance),
        pending_prefill_us: 900_000,
        cached_prefix: None,
        ttft: None,
        running: None,
        pauses: None,
        fault: None,
    };
    let mut gone = start(100, 900, &["m0"]);
    gone.state = State::Replaced;
    chooser.update_instance(&gone);
    chooser.update_instance(&start(2_000, 1, &[]));
    assert_eq!(
        chooser.choose(at(10), &ask),
        Choice::Wait(WaitReason::Model)
    );
    chooser.update_instance(&start(2_000, 2, &["m0"]));
    let from = std::net::Ipv4Addr::new(10, 0, 0, 9);
    assert!(!chooser.apply_observation(at(20), from, &word));
    chooser.record_end(
        at(20),
        &pick,
        Some(&wanted),
        false,
        AttemptOutcome::Unreachable,
    );
    let Choice::Send(next) = chooser.choose(at(30), &ask) else {
        panic!("the new start holds the model");
    };
    assert_eq!(next.instance.born, Some(2_000));
    assert_ne!(next.key, pick.key);
    assert!(next.estimate < time::Millis(200), "{:?}", next.estimate);
}

/// A leader for one engine at a time, with nothing but what it asks for.
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

    /// Runs for `span` with requests for m3, and reports for the engine as `accepted` says. Returns its
    /// orders, with when they were given, which nobody answers.
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
            };
            self.planner.add_demand(self.now, &[demand]);
            for action in self.planner.tick(self.now, &support::config(), &[engine]) {
                match action {
                    Action::Order(order) => orders.push((self.now, order)),
                    Action::AskReport { instance, .. } => {
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

/// An order to load a model gets no answer, and the engine crashes and is back under its name. The order
/// may be carried out twelve seconds later, by the new start, whose count of orders is what it was. With
/// one more model loaded meanwhile its memory would be overcommitted, so it is given no order until then.
#[test]
fn a_start_is_given_no_order_while_one_to_the_start_before_may_be_carried_out() {
    let mut leader = Leader::new();
    let orders = leader.run(4_000, &start(100, 900, &["m0"]), 0);
    let (given, order) = orders.last().cloned().expect("m3 is to be loaded");
    leader.planner.handle_order_response(given, &order, None);
    let crashed = leader.now;
    let orders = leader.run(20_000, &start(2_000, 1, &[]), 0);
    let (first, _) = orders.first().expect("it is loaded in the end");
    assert!(
        first.since(given) >= time::Millis(12_000),
        "{first:?} after {crashed:?}"
    );
}

/// The same, with a new leader: it does not know what the one before ordered, and that the engine was
/// started again it hears from its directory.
#[test]
fn a_new_leader_gives_a_restarted_engine_no_order_while_those_before_may_be_carried_out() {
    let mut leader = Leader::new();
    let engine = start(2_000, 1, &[]);
    leader.planner.set_restarted(vec![engine.id.clone()]);
    let orders = leader.run(20_000, &engine, 0);
    let (first, _) = orders.first().expect("it is loaded in the end");
    assert!(first.since(T0) >= time::Millis(12_000), "{first:?}");
    let orders = Leader::new().run(20_000, &engine, 0);
    let (first, _) = orders.first().expect("it is loaded");
    assert!(
        first.since(T0) < time::Millis(5_000),
        "one that was not restarted"
    );
}

/// A leader asks an engine for its report, and the start that answers is the next one. Its count says
/// nothing of orders to the start before, and none is given by it.
#[test]
fn the_report_of_another_start_is_not_taken() {
    let mut planner = Planner::new(Policy::default(), "10.0.0.1");
    planner.start_leading(T0, 4);
    let engine = start(100, 900, &["m0"]);
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

/// A hundred engines crash and come back at random, words come late by seconds, in any order and to any of
/// three directories, which tell each other. Once all is quiet each holds the start that lives.
#[test]
fn after_any_order_of_words_the_living_start_is_known_everywhere() {
    for seed in 1..=40_u64 {
        let mut random = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        let mut draw = |below: u64| {
            random ^= random << 13;
            random ^= random >> 7;
            random ^= random << 17;
            random % below
        };
        let mut words: collections::BTreeMap<(u64, u64), (usize, Instance)> =
            collections::BTreeMap::new();
        let (mut now, mut last) = (0, 0);
        for _ in 0..4 {
            last = now + 1;
            let lives_for = 3_000 + draw(9_000);
            for n in 1..=lives_for / 1_200 {
                let late = if draw(4) == 0 { draw(8_000) } else { draw(20) };
                let heard = now + n * 1_200 + late;
                let to = usize::try_from(draw(3)).expect("small");
                words.insert((heard, draw(1 << 40)), (to, start(last, n, &["m0"])));
            }
            now += lives_for + draw(3_000);
        }
        let end = now + 30_000;
        for n in 1..=end / 1_200 {
            let to = usize::try_from(draw(3)).expect("small");
            let heard = now + n * 1_200;
            words.insert((heard, 0), (to, start(last, 20 + n, &["m0"])));
        }
        let mut all = [Directory::new(1), Directory::new(2), Directory::new(3)];
        for ((ms, _), (to, instance)) in words {
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
            assert_eq!(born(directory), Some(last), "seed {seed}");
        }
    }
}
