//! Limits that endpoints name: what they get from all entry processes together, and what a process does meanwhile.

mod support;

use std::net;

use sageshed_fleet::{
    allowance::{self, Key, RateLimit},
    chooser::{Change, Choice, Chooser, EndpointQuery, WaitReason},
    dialect, directory,
};
use sageshed_types::time::{Instant, Millis};
use support::allowances::World;

/// Requests to an endpoint count in any span of this length, in milliseconds.
const WINDOW: u64 = 4_000;

fn start(name: &str) -> directory::InstanceId {
    directory::InstanceId::new(name, Some(1))
}

fn key() -> Key {
    Key::of_endpoint(&start("e1"))
}

/// As the chooser reckons them from a limit.
fn limit(per_s: f64) -> RateLimit {
    RateLimit { per_s, burst: 2.0 }
}

/// One and a half times what the limit allows in the window, and five.
fn bound(per_s: f64) -> f64 {
    1.5 * per_s * WINDOW as f64 / 1_000.0 + 5.0
}

/// Asks for one unit after the other at random processes, so many a second, for so many milliseconds.
fn demand(world: &mut World, entries: usize, per_s: f64, span: u64) {
    let mut at = 0.0;
    loop {
        at -= 1_000.0 / per_s * (1.0 - world.rng.f64()).ln();
        if at >= span as f64 {
            return;
        }
        let entry = world.rng.usize(0..entries);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a time"
        )]
        world.ask(at as u64, entry, key(), 1.0);
    }
}

/// A world in which an endpoint has named its limit to all.
fn told(seed: u64, entries: usize, per_s: f64) -> World {
    let mut world = World::new(seed, entries, Vec::new());
    world.run(3_000);
    for at in 0..entries {
        world.report_limit(at, key(), limit(per_s));
    }
    world
}

/// The most that was granted in a window, and what was granted in a second from then on.
fn granted(world: &World, since: u64, until: u64) -> (f64, f64) {
    let outcome = world.outcomes.get(&key()).cloned().unwrap_or_default();
    let count = outcome
        .granted
        .iter()
        .filter(|(at, _)| *at >= since)
        .count();
    let seconds = (until - since) as f64 / 1_000.0;
    (outcome.most_in(WINDOW), count as f64 / seconds)
}

/// An endpoint names a limit, and callers ask for three times that and for less. It gets what it takes, and never more.
/// A fixed share of 1.1 a second for each of 73 processes would be a request in 66 s.
#[test]
fn processes_send_as_much_as_a_limit_allows_and_no_more() {
    for entries in [1, 7, 73, 195, 860] {
        for per_s in [0.25, 1.1, 10.0, 40.0] {
            let mut world = told(entries as u64, entries, per_s);
            demand(&mut world, entries, 3.0 * per_s, 40_000);
            world.run(40_000);
            let (most, rate) = granted(&world, 6_000, 43_000);
            let name = format!("{entries} processes, {per_s} a second");
            assert!(most <= bound(per_s), "{name}: {most} of {}", bound(per_s));
            assert!(rate >= 0.8 * per_s, "{name}: {rate}");
        }
    }
}

/// The process that keeps the limit is killed every three seconds, the fleet is cut in two, processes that were told
/// stand still and wake. None of this adds to what the endpoint gets.
#[test]
fn a_limit_holds_in_trouble() {
    for seed in 0..6 {
        for per_s in [1.1, 10.0] {
            let entries = 73;
            let mut world = told(seed, entries, per_s);
            demand(&mut world, entries, 3.0 * per_s, 40_000);
            for round in 0..12 {
                world.run(3_000);
                let coordinator = world.coordinator(key());
                match (seed, round % 3) {
                    (0 | 3, _) => world.restart(coordinator),
                    (1 | 4, 0) => {
                        world.side = (0..entries).map(|it| u8::from(it % 2 == 0)).collect();
                    }
                    (1 | 4, _) => world.side = vec![0; entries],
                    (_, 0) => world.suspend(coordinator),
                    (_, _) => world.resume(coordinator),
                }
            }
            world.run(4_000);
            let (most, _) = granted(&world, 0, 40_000);
            assert!(
                most <= bound(per_s),
                "seed {seed}, {per_s}: {most} of {}",
                bound(per_s)
            );
        }
    }
}

/// The limit is lowered. Some processes have heard of that, others ask by what they were told before: the younger
/// word holds, whoever asks last.
#[test]
fn of_two_limits_the_younger_holds() {
    let mut world = told(1, 7, 40.0);
    demand(&mut world, 7, 60.0, 10_000);
    world.run(4_000);
    for at in 0..3 {
        world.report_limit(at, key(), limit(2.0));
    }
    world.run(6_000);
    let (_, after) = granted(&world, 9_000, 13_000);
    assert!(after <= 3.0, "{after} a second");
    assert!(after > 0.5, "{after} a second");
}

/// Anybody can send a datagram. Terms that are no numbers would leave the allowance at no number for good.
#[test]
fn non_finite_limits_are_ignored() {
    for bad in [f64::NAN, f64::INFINITY, -1.0] {
        let entries = [net::Ipv4Addr::LOCALHOST];
        let mut coordinator = allowance::AllowanceTable::new(entries[0], 1);
        coordinator.set_entries(Instant(0), &entries);
        let draw = allowance::AcquireRequest {
            id: 1,
            of: key(),
            amount: 1.0,
            returned: 0.0,
            rank: 0,
            reported: Some(allowance::ReportedLimit {
                limit: limit(bad),
                age: Millis(0),
            }),
        };
        coordinator.acquire(Instant(1_000), entries[0], &draw);
        assert_eq!(coordinator.limit(key()), None, "{bad}");
        assert_eq!(coordinator.buckets().count(), 0, "{bad}");
    }
}

/// What nobody asks by any more is forgotten, with what was drawn of it.
#[test]
fn limits_expire_when_no_message_refers_to_them() {
    let entries = [net::Ipv4Addr::LOCALHOST];
    let mut coordinator = allowance::AllowanceTable::new(entries[0], 1);
    coordinator.set_entries(Instant(0), &entries);
    let draw = allowance::AcquireRequest {
        id: 1,
        of: key(),
        amount: 1.0,
        returned: 0.0,
        rank: 0,
        reported: Some(allowance::ReportedLimit {
            limit: limit(1.0),
            age: Millis(0),
        }),
    };
    coordinator.acquire(Instant(1_000), entries[0], &draw);
    assert!(coordinator.has_any());
    coordinator.tick(Instant(60_000));
    assert!(!coordinator.has_any());
    assert_eq!(coordinator.buckets().count(), 0);
}

const MODEL: &str = "m1";

fn wanted() -> dialect::ModelRef {
    dialect::ModelRef {
        model: MODEL.to_owned(),
        adapter: None,
    }
}

fn ask(wanted: &dialect::ModelRef) -> EndpointQuery<'_> {
    EndpointQuery {
        service: "engines",
        wanted: Some(wanted),
        parts: &[],
        prompt_tokens: 100,
        tried: &[],
        left: Millis(5_000),
        patience: Millis(0),
        on_time: Millis(1_000),
        may_be_late: false,
        may_fetch: false,
    }
}

fn chooser(engines: &[&str]) -> (Chooser, Vec<directory::Instance>) {
    let mut chooser = Chooser::new("z1", 7);
    let engines: Vec<_> = engines
        .iter()
        .map(|id| support::engine(id, &[MODEL]))
        .collect();
    for engine in &engines {
        chooser.update_instance(engine);
    }
    (chooser, engines)
}

fn goes_to(choice: &Choice) -> Option<&str> {
    match choice {
        Choice::Send(pick) => Some(&pick.instance.name),
        _ => None,
    }
}

/// An engine takes nothing more for a while. Requests go to another; where there is none they are told when it opens,
/// and it is asked again then.
#[test]
fn nothing_goes_to_an_engine_until_it_opens() {
    let (mut chooser, engines) = chooser(&["e1", "e2"]);
    let wanted = wanted();
    let now = Instant(10_000);
    chooser.set_limit(now, &engines[0].id, 1.0);
    chooser.close(now, &engines[0].id, Millis(900));
    for _ in 0..8 {
        let choice = chooser.choose(now, &ask(&wanted));
        assert_eq!(goes_to(&choice), Some("e2"));
    }
    assert_eq!(chooser.counts(now), (2, 1));
    chooser.close(now, &engines[1].id, Millis(2_000));
    let later = Instant(10_300);
    let none = chooser.choose(later, &ask(&wanted));
    assert_eq!(none, Choice::Wait(WaitReason::Allowance(Millis(600))));
    let opened = chooser.choose(Instant(10_900), &ask(&wanted));
    assert_eq!(goes_to(&opened), Some("e1"));
}

/// Two requests of one process ask for a turn at once, and are given one each. The process goes on at the first of them:
/// waiting for the last, it would leave what the others were given unused.
#[test]
fn of_several_turns_the_first_counts() {
    let (mut chooser, engines) = chooser(&["e1"]);
    let (now, id) = (Instant(10_000), &engines[0].id);
    chooser.close(now, id, Millis(400));
    chooser.close(now, id, Millis(1_400));
    assert_eq!(chooser.counts(Instant(10_399)), (1, 0));
    assert_eq!(chooser.counts(Instant(10_400)), (1, 1));
}

/// What an engine has said holds though control loses sight of it for a while, and not for another start of it.
#[test]
fn a_limit_is_kept_for_the_instance_that_reported_it() {
    let (mut chooser, engines) = chooser(&["e1"]);
    let now = Instant(10_000);
    let id = &engines[0].id;
    assert_eq!(chooser.set_limit(now, id, 1.5), Some(Change::Named(1.5)));
    assert_eq!(chooser.set_limit(now, id, 1.5), None);
    chooser.remove_instance(id);
    chooser.update_instance(&engines[0]);
    let named = chooser.limit(Instant(11_000), id).expect("it has a limit");
    assert_eq!(named.limit, limit(1.5));
    assert_eq!(named.age, Millis(1_000));
    let other = directory::InstanceId::new(&id.name, Some(99));
    assert_eq!(chooser.limit(now, &other), None);
    assert_eq!(chooser.clear_limit(id), Some(Change::Lifted));
    assert_eq!(chooser.clear_limit(id), None);
    assert_eq!(chooser.limit(now, id), None);
}

/// An engine that names no requests at all would never be heard again if nothing went there.
#[test]
fn a_limit_of_none_lets_one_through_now_and_then() {
    let (mut chooser, engines) = chooser(&["e1"]);
    chooser.set_limit(Instant(0), &engines[0].id, 0.0);
    let named = chooser.limit(Instant(0), &engines[0].id);
    assert!(named.is_some_and(|it| it.limit.per_s > 0.0));
}

/// An engine has turned a request away and wants rest. A shorter word, or the end of its limit, takes nothing back.
#[test]
fn the_longest_pause_that_an_engine_requested_counts() {
    let (mut chooser, engines) = chooser(&["e1"]);
    let wanted = wanted();
    let now = Instant(10_000);
    let id = &engines[0].id;
    chooser.set_limit(now, id, 5.0);
    chooser.rest(now, id, Millis(3_000));
    chooser.rest(Instant(10_100), id, Millis(200));
    chooser.clear_limit(id);
    let none = chooser.choose(Instant(12_000), &ask(&wanted));
    assert_eq!(none, Choice::Wait(WaitReason::Allowance(Millis(1_000))));
    let after = chooser.choose(Instant(13_000), &ask(&wanted));
    assert_eq!(goes_to(&after), Some("e1"));
    chooser.rest(now, id, Millis(u64::MAX));
    assert_eq!(chooser.counts(Instant(13_000)), (1, 0));
}

/// Among many processes the home of a model says where requests go. It was not told what an engine has said to another
/// process, which names such engines in its question.
#[test]
fn closed_engines_are_listed_by_their_keys() {
    let (mut chooser, engines) = chooser(&["e1", "e2"]);
    let now = Instant(10_000);
    assert!(chooser.closed_endpoints(now, "engines").is_empty());
    chooser.rest(now, &engines[1].id, Millis(500));
    let closed = chooser.closed_endpoints(now, "engines");
    let names: Vec<_> = closed.iter().map(|it| chooser.instance_key(*it)).collect();
    let expected = sageshed_fleet::entry_peers::instance_key(&engines[1].id);
    assert_eq!(names, [Some(expected)]);
    assert!(chooser.closed_endpoints(now, "plain").is_empty());
}

/// The head of an answer, and whether the engine has its limit and rests after it.
struct Head {
    name: &'static str,
    answered: dialect::ResponseMetadata<'static>,
    is_limited: bool,
    rests: bool,
}

fn answered(
    execution: dialect::ExecutionStatus,
    notice: dialect::Notice,
) -> dialect::ResponseMetadata<'static> {
    dialect::ResponseMetadata {
        id: None,
        execution,
        load: None,
        endpoint: None,
        notice,
    }
}

/// An engine with a limit answers once more. The answer of another engine, which was given its address, is not its own;
/// and a rejection that names no limit does not say that there is none.
#[test]
fn a_response_changes_only_the_state_of_the_engine_that_sent_it() {
    let limit = dialect::Notice {
        limit: Some(1.0),
        ..dialect::Notice::default()
    };
    let rest = dialect::Notice {
        retry_after: Some(Millis(700)),
        ..dialect::Notice::default()
    };
    let none = dialect::Notice::default();
    let head = |name, answered, is_limited, rests| Head {
        name,
        answered,
        is_limited,
        rests,
    };
    let vouched = dialect::ExecutionStatus::Verified;
    let misdirected = dialect::ExecutionStatus::Misdirected;
    let other = dialect::ResponseMetadata {
        endpoint: Some("e9"),
        ..answered(misdirected, none)
    };
    let own = dialect::ResponseMetadata {
        endpoint: Some("e1"),
        ..answered(misdirected, rest)
    };
    let cases = [
        head(
            "it runs under its limit",
            answered(vouched, limit),
            true,
            false,
        ),
        head("it runs without one", answered(vouched, none), false, false),
        head(
            "it rejects",
            answered(dialect::ExecutionStatus::NotRun, none),
            true,
            false,
        ),
        head(
            "it rejects and rests",
            answered(dialect::ExecutionStatus::NotRun, rest),
            true,
            true,
        ),
        head(
            "nobody vouches",
            answered(dialect::ExecutionStatus::Unverified, none),
            true,
            false,
        ),
        head("another answers", other, true, false),
        head(
            "nobody says who refuses",
            answered(misdirected, rest),
            true,
            false,
        ),
        head("it says that it refuses", own, true, true),
    ];
    for case in cases {
        let (mut chooser, engines) = chooser(&["e1"]);
        let (now, id) = (Instant(10_000), &engines[0].id);
        let first = chooser.apply_notice(now, id, &answered(vouched, limit));
        assert_eq!(first, Some(Change::Named(1.0)));
        chooser.apply_notice(now, id, &case.answered);
        let is_limited = chooser.limit(now, id).is_some();
        assert_eq!(is_limited, case.is_limited, "{}", case.name);
        let rests = !chooser.closed_endpoints(now, "engines").is_empty();
        assert_eq!(rests, case.rests, "{}", case.name);
    }
}
