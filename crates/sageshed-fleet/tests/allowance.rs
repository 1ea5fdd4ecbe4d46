//! Allowances that are spent on many entry processes: the limit always holds, and little is refused that is
//! allowed.

mod support;

use sageshed_fleet::allowance::{Key, RateLimit};
use support::allowances::{Outcome, World, sample};

/// Window over which quotas are measured, in milliseconds.
const WINDOW: u64 = 8_000;

/// Share by which a quota may be exceeded.
const OVERAGE: f64 = 0.1;

/// Requests by which it may be exceeded on top of that.
const SLACK: f64 = 7.0;

fn key() -> Key {
    Key::of_workspace("dug")
}

/// So many requests in a window, with a burst of an eighth of that.
fn limit(in_window: f64) -> RateLimit {
    let per_s = in_window * 1_000.0 / WINDOW as f64;
    RateLimit {
        per_s,
        burst: per_s,
    }
}

fn bound(limit: &RateLimit) -> f64 {
    let within = limit.per_s * WINDOW as f64 / 1_000.0 + limit.burst;
    within * (1.0 + OVERAGE) + SLACK
}

/// Generates requests at `times` the rate for some seconds, at entry processes that `pick` selects.
fn demand(
    world: &mut World,
    limit: &RateLimit,
    times: f64,
    seconds: u64,
    mut pick: impl FnMut(&mut World) -> usize,
) {
    let mean_ms = 1_000.0 / (limit.per_s * times);
    let mut at = 0.0;
    loop {
        at -= mean_ms * (1.0 - world.rng.f64()).ln();
        if at >= seconds as f64 * 1_000.0 {
            return;
        }
        let entry = pick(world);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a time"
        )]
        world.ask(at as u64, entry, key(), 1.0);
    }
}

fn outcome(world: &World) -> Outcome {
    world.outcomes.get(&key()).cloned().unwrap_or_default()
}

/// A size of the fleet, a rate and a demand relative to it.
struct Case {
    entries: usize,
    in_window: f64,
    times: f64,
}

/// The sizes and rates that have to be supported.
fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for entries in [7, 73, 195, 860] {
        for in_window in [2.0, 14.0, 300.0, 5_000.0] {
            for times in [0.5, 0.9, 3.0] {
                cases.push(Case {
                    entries,
                    in_window,
                    times,
                });
            }
        }
    }
    cases
}

/// A workspace sends requests to all entry processes, below and at three times its quota. It has to get
/// what a single bucket visible to all processes would grant, and the limit has to hold.
#[test]
fn steady_demand_gets_what_is_allowed_and_no_more() {
    for (at, case) in cases().iter().enumerate() {
        let limit = limit(case.in_window);
        let mut world = World::new(at as u64, case.entries, vec![(key(), limit)]);
        world.run(3_000);
        let seconds = if case.in_window < 100.0 { 160 } else { 16 };
        let entries = case.entries;
        demand(&mut world, &limit, case.times, seconds, |it| {
            it.rng.usize(0..entries)
        });
        world.run(seconds * 1_000 + 1_000);
        let outcome = outcome(&world);
        let (ideal, granted) = outcome.compare_with_one_bucket(&limit, 0);
        let quota = limit.per_s * seconds as f64;
        let name = format!(
            "{entries} processes, {} in a window, {} times",
            case.in_window, case.times
        );
        let most = outcome.most_in(WINDOW);
        assert!(most <= bound(&limit), "{name}: {most} of {}", bound(&limit));
        assert!(
            ideal - granted <= 0.02 * quota + 1.0,
            "{name}: {granted} of {ideal}, quota {quota}"
        );
        assert_eq!(outcome.failed, 0, "{name}");
    }
}

/// The demand of a workspace moves to the entry processes of another zone every few seconds.
#[test]
fn demand_that_moves_between_zones_loses_little() {
    for (at, case) in cases().iter().enumerate() {
        let limit = limit(case.in_window);
        let mut world = World::new(at as u64, case.entries, vec![(key(), limit)]);
        world.run(3_000);
        let rounds = if case.in_window < 100.0 { 32 } else { 4 };
        let zone = case.entries.div_ceil(4);
        for round in 0..rounds {
            let entries = case.entries;
            let first = zone * (round % 4);
            demand(&mut world, &limit, case.times, 5, |it| {
                (first + it.rng.usize(0..zone)) % entries
            });
            world.run(5_000);
        }
        let outcome = outcome(&world);
        let (ideal, granted) = outcome.compare_with_one_bucket(&limit, 0);
        let quota = limit.per_s * 5.0 * rounds as f64;
        let most = outcome.most_in(WINDOW);
        assert!(
            most <= bound(&limit),
            "case {at}: {most} of {}",
            bound(&limit)
        );
        assert!(
            ideal - granted <= 0.05 * quota + 1.0,
            "case {at}: {granted} of {ideal}, quota {quota}"
        );
    }
}

/// A fault that occurs while three times the quota is requested.
struct Scenario {
    name: &'static str,
    /// Called every second.
    inject: fn(&mut World, u64),
    /// Share of the quota that has to be granted all the same.
    min_share: f64,
}

fn coordinator(world: &mut World) -> usize {
    world.coordinator(key())
}

const ENTRIES: usize = 73;

fn scenarios() -> Vec<Scenario> {
    let scenario = |name, inject, min_share| Scenario {
        name,
        inject,
        min_share,
    };
    vec![
        scenario("a lossy network", |it, _| it.lost = 40, 0.9),
        scenario(
            "the coordinator is killed again and again",
            |it, second| {
                if second % 3 == 0 {
                    let coordinator = coordinator(it);
                    it.restart(coordinator);
                }
            },
            0.75,
        ),
        scenario(
            "the coordinator is suspended for five seconds",
            |it, second| {
                let coordinator = coordinator(it);
                match second % 10 {
                    0 => it.suspend(coordinator),
                    5 => it.resume(coordinator),
                    _ => {}
                }
            },
            0.75,
        ),
        scenario(
            "one process after the other is killed",
            |it, second| {
                it.restart(usize::try_from(second).expect("few") % ENTRIES);
            },
            0.85,
        ),
        scenario(
            "the fleet is partitioned in two",
            |it, second| {
                for at in 0..ENTRIES {
                    it.side[at] = u8::from(second % 12 >= 4 && at % 2 == 0);
                }
            },
            0.7,
        ),
        scenario(
            "the coordinator is partitioned",
            |it, second| {
                let coordinator = coordinator(it);
                it.side[coordinator] = u8::from(second % 10 >= 3);
            },
            0.75,
        ),
        scenario(
            "processes are partitioned one by one",
            |it, second| {
                let cut = sample(&mut it.rng, 3, ENTRIES);
                for at in 0..ENTRIES {
                    it.side[at] = if second % 4 != 0 && cut.contains(&at) {
                        u8::try_from(at + 1).expect("few")
                    } else {
                        0
                    };
                }
            },
            0.7,
        ),
        scenario(
            "control restarts and lists few processes",
            |it, second| {
                let listed = match second % 6 {
                    0 => 1,
                    1 => 20,
                    _ => ENTRIES,
                };
                it.list(&(0..listed).collect::<Vec<_>>());
            },
            0.85,
        ),
        scenario(
            "all processes are killed at once",
            |it, second| {
                if second % 12 == 4 {
                    for at in 0..ENTRIES {
                        it.restart(at);
                    }
                    for at in 0..ENTRIES {
                        // Each knows few of the others at first.
                        it.set_list(at, &[at, (at + 1) % ENTRIES]);
                    }
                }
                if second % 12 == 5 {
                    it.list(&(0..ENTRIES).collect::<Vec<_>>());
                }
            },
            0.7,
        ),
    ]
}

/// A workspace requests three times its quota while processes are killed, suspended and partitioned, the
/// coordinator of the quota among them. In no window may more be granted than the quota with its overage,
/// and most of what the remaining processes can grant has to be granted.
#[test]
fn the_limit_holds_under_faults_and_most_is_granted() {
    for scenario in scenarios() {
        for (seed, in_window) in [(1, 14.0), (2, 300.0), (3, 3_000.0)] {
            let limit = limit(in_window);
            let mut world = World::new(seed, ENTRIES, vec![(key(), limit)]);
            world.run(3_000);
            let seconds = 120;
            for second in 0..seconds {
                (scenario.inject)(&mut world, second);
                demand(&mut world, &limit, 3.0, 1, |it| it.rng.usize(0..ENTRIES));
                world.run(1_000);
            }
            let outcome = outcome(&world);
            let most = outcome.most_in(WINDOW);
            let name = format!("{}, {in_window} in a window", scenario.name);
            assert!(most <= bound(&limit), "{name}: {most} of {}", bound(&limit));
            let quota = limit.per_s * seconds as f64;
            let granted: f64 = outcome.granted.iter().map(|(_, amount)| amount).sum();
            assert!(
                granted >= scenario.min_share * quota - 2.0,
                "{name}: {granted} of {quota}"
            );
        }
    }
}

/// An operator lowers a quota to a tenth and raises it again.
#[test]
fn a_lowered_quota_holds_from_the_next_window_on() {
    let (high, low) = (limit(1_000.0), limit(100.0));
    let mut world = World::new(4, ENTRIES, vec![(key(), high)]);
    world.run(3_000);
    for (times, set) in [(3.0, high), (30.0, low), (3.0, high)] {
        world.set_limits(vec![(key(), set)]);
        let began = world.now();
        demand(&mut world, &set, times, 20, |it| it.rng.usize(0..ENTRIES));
        world.run(20_000);
        let mut outcome = outcome(&world);
        outcome.granted.retain(|(at, _)| *at >= began);
        let most = outcome.most_in(WINDOW);
        assert!(most <= bound(&set), "{most} of {}", bound(&set));
        let granted: f64 = outcome.granted.iter().map(|(_, amount)| amount).sum();
        assert!(
            granted >= 0.97 * set.per_s * 20.0,
            "{granted} of {}",
            set.per_s * 20.0
        );
    }
}

/// Two fifths of the entry processes don't reach control for half a minute, while callers, engines and the
/// other processes reach them. Control no longer lists them, so that others replace them as producers. If
/// they continued by the old list, two fifths more than the quota would be granted.
#[test]
fn unlisted_processes_yield_nothing() {
    let limit = limit(300.0);
    let mut world = World::new(5, ENTRIES, vec![(key(), limit)]);
    world.run(3_000);
    let away = sample(&mut world.rng, ENTRIES * 2 / 5, ENTRIES);
    let there: Vec<_> = (0..ENTRIES).filter(|at| !away.contains(at)).collect();
    world.unreachable_from_control = away;
    for second in 0..40 {
        // Control assumes after three seconds that they are gone.
        match second {
            3 => world.list(&there),
            30 => {
                world.unreachable_from_control.clear();
                world.list(&(0..ENTRIES).collect::<Vec<_>>());
            }
            _ => {}
        }
        demand(&mut world, &limit, 3.0, 1, |it| it.rng.usize(0..ENTRIES));
        world.run(1_000);
    }
    let outcome = outcome(&world);
    let most = outcome.most_in(WINDOW);
    assert!(most <= bound(&limit), "{most} of {}", bound(&limit));
    let granted: f64 = outcome.granted.iter().map(|(_, amount)| amount).sum();
    assert!(granted >= 0.9 * limit.per_s * 40.0, "{granted}");
}

/// Seeds of the run with random, overlapping faults.
const SEEDS: u64 = 4;

/// Injects a random fault into some processes.
fn random_fault(world: &mut World, entries: usize) {
    let count = world.rng.usize(1..=entries.div_ceil(6));
    let mut picked: Vec<_> = sample(&mut world.rng, count, entries).into_iter().collect();
    picked.sort_unstable();
    match world.rng.u32(0..8) {
        0 => picked.iter().for_each(|at| world.restart(*at)),
        1 => {
            let coordinator = world.coordinator(key());
            world.restart(coordinator);
        }
        2 => picked.iter().for_each(|at| world.suspend(*at)),
        3 => {
            let coordinator = world.coordinator(key());
            world.suspend(coordinator);
        }
        4 => {
            let side = world.rng.u8(1..4);
            for at in picked {
                world.side[at] = side;
            }
        }
        5 => world.lost = world.rng.u64(0..80),
        6 => {
            let listed: Vec<_> = (0..world.rng.usize(1..=entries)).collect();
            world.list(&listed);
        }
        _ => {
            let all: Vec<_> = (0..entries).collect();
            world.list(&all);
            (0..entries).for_each(|at| world.resume(at));
            world.side.iter_mut().for_each(|it| *it = 0);
            world.lost = 0;
        }
    }
}

/// Faults occur and overlap at random while three times the quota is requested. The limit has to hold in
/// every window.
#[test]
fn the_limit_holds_under_overlapping_faults() {
    let mut windows = 0;
    for seed in 0..SEEDS {
        for entries in [7, 73, 195] {
            let limit = limit(300.0);
            let mut world = World::new(seed, entries, vec![(key(), limit)]);
            world.run(3_000);
            for second in 0..160 {
                if second % 2 == 0 {
                    random_fault(&mut world, entries);
                }
                demand(&mut world, &limit, 3.0, 1, |it| it.rng.usize(0..entries));
                world.run(1_000);
            }
            let outcome = outcome(&world);
            windows += outcome.granted.len();
            let most = outcome.most_in(WINDOW);
            let name = format!("seed {seed}, {entries} processes");
            assert!(most <= bound(&limit), "{name}: {most} of {}", bound(&limit));
        }
    }
    assert!(
        windows > 10_000,
        "{windows} windows, one ending with each grant"
    );
}
