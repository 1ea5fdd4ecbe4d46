//! Limits that endpoints report: what all entry processes together send, and what a single process does
//! meanwhile.

mod support;

use std::net;

use sageshed_fleet::{
    allowance::{self, Key, RateLimit},
    chooser::{BeganAt, Choice, Chooser, EndpointQuery, LimitChange, WaitReason},
    dialect, directory,
};
use sageshed_types::time::{Instant, Millis};
use support::allowances::World;

/// Window over which requests to an endpoint are counted, in milliseconds.
const WINDOW: u64 = 4_000;

fn start(name: &str) -> directory::InstanceId {
    directory::InstanceId::new(name, Some(1))
}

fn key() -> Key {
    Key::of_endpoint(&start("e1"))
}

/// The rate and burst that the chooser derives from a limit.
fn limit(per_s: f64) -> RateLimit {
    RateLimit { per_s, burst: 2.0 }
}

/// One and a half times what the limit allows in the window, plus five.
fn bound(per_s: f64) -> f64 {
    1.5 * per_s * WINDOW as f64 / 1_000.0 + 5.0
}

/// Generates acquisitions of one unit at random processes, at this rate for so many milliseconds.
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

/// A world in which an endpoint has reported its limit to all processes.
fn limited_world(seed: u64, entries: usize, per_s: f64) -> World {
    let mut world = World::new(seed, entries, Vec::new());
    world.run(3_000);
    for at in 0..entries {
        world.report_limit(at, key(), limit(per_s));
    }
    world
}

/// The most that was granted in a window, and the rate that was granted from `since` on.
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

/// An endpoint reports a limit, and callers request three times that. The endpoint has to get about what it
/// accepts, and never more. With a fixed share of 1.1 a second, each of 73 processes could send one request
/// in 66 s.
#[test]
fn processes_send_as_much_as_a_limit_allows_and_no_more() {
    for entries in [1, 7, 73, 195, 860] {
        for per_s in [0.25, 1.1, 10.0, 40.0] {
            let mut world = limited_world(entries as u64, entries, per_s);
            demand(&mut world, entries, 3.0 * per_s, 40_000);
            world.run(40_000);
            let (most, rate) = granted(&world, 6_000, 43_000);
            let name = format!("{entries} processes, {per_s} a second");
            assert!(most <= bound(per_s), "{name}: {most} of {}", bound(per_s));
            assert!(rate >= 0.8 * per_s, "{name}: {rate}");
        }
    }
}

/// The coordinator of the limit is killed every three seconds, the fleet is partitioned, or processes that
/// know the limit are suspended and resumed. None of this may add to what the endpoint gets.
#[test]
fn a_limit_holds_under_faults() {
    for seed in 0..6 {
        for per_s in [1.1, 10.0] {
            let entries = 73;
            let mut world = limited_world(seed, entries, per_s);
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

/// A limit is lowered. Some processes know the new one and others send the old one along: the newer one
/// applies, whoever asks last.
#[test]
fn the_newer_of_two_limits_applies() {
    let mut world = limited_world(1, 7, 40.0);
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

/// Anybody can send a datagram. A limit that is not finite would turn the allowance into NaN for good.
#[test]
fn non_finite_limits_are_ignored() {
    for bad in [f64::NAN, f64::INFINITY, -1.0] {
        let entries = [net::Ipv4Addr::LOCALHOST];
        let mut coordinator = allowance::AllowanceTable::new(entries[0], 1);
        coordinator.set_entries(Instant(0), &entries);
        let request = allowance::AcquireRequest {
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
        coordinator.acquire(Instant(1_000), entries[0], &request);
        assert_eq!(coordinator.limit(key()), None, "{bad}");
        assert_eq!(coordinator.buckets().count(), 0, "{bad}");
    }
}

/// A limit that no message refers to any more is removed, together with its bucket.
#[test]
fn limits_expire_when_no_message_refers_to_them() {
    let entries = [net::Ipv4Addr::LOCALHOST];
    let mut coordinator = allowance::AllowanceTable::new(entries[0], 1);
    coordinator.set_entries(Instant(0), &entries);
    let request = allowance::AcquireRequest {
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
    coordinator.acquire(Instant(1_000), entries[0], &request);
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

fn query(wanted: &dialect::ModelRef) -> EndpointQuery<'_> {
    EndpointQuery {
        service: "engines",
        wanted: Some(wanted),
        parts: &[],
        prompt_tokens: 100,
        tried: &[],
        time_left: Millis(5_000),
        patience: Millis(0),
        time_until_late: Millis(1_000),
        may_be_late: false,
        may_load_adapter: false,
        ignores_slot_share: false,
        began: BeganAt::NotBegun,
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

/// An engine accepts nothing for a while. Requests go to another one; if there is none, they get the time
/// at which the engine opens, and it is selected again then.
#[test]
fn nothing_goes_to_an_engine_until_it_opens() {
    let (mut chooser, engines) = chooser(&["e1", "e2"]);
    let wanted = wanted();
    let now = Instant(10_000);
    chooser.set_limit(now, &engines[0].id, 1.0);
    chooser.close_for(now, &engines[0].id, Millis(900));
    for _ in 0..8 {
        let choice = chooser.choose(now, &query(&wanted));
        assert_eq!(goes_to(&choice), Some("e2"));
    }
    assert_eq!(chooser.endpoint_counts(now), (2, 1));
    chooser.close_for(now, &engines[1].id, Millis(2_000));
    let later = Instant(10_300);
    let none = chooser.choose(later, &query(&wanted));
    assert_eq!(none, Choice::Wait(WaitReason::Allowance(Millis(600))));
    let opened = chooser.choose(Instant(10_900), &query(&wanted));
    assert_eq!(goes_to(&opened), Some("e1"));
}

/// Two requests of one process acquire a turn at the same time and get one each. The process continues at
/// the earlier one; if it waited for the later one, it would leave unused what others were granted.
#[test]
fn the_shortest_of_several_delays_counts() {
    let (mut chooser, engines) = chooser(&["e1"]);
    let (now, id) = (Instant(10_000), &engines[0].id);
    chooser.close_for(now, id, Millis(400));
    chooser.close_for(now, id, Millis(1_400));
    assert_eq!(chooser.endpoint_counts(Instant(10_399)), (1, 0));
    assert_eq!(chooser.endpoint_counts(Instant(10_400)), (1, 1));
}

/// The limit of an engine applies even if control loses sight of the engine for a while, but not to another
/// instance of it.
#[test]
fn a_limit_is_kept_for_the_instance_that_reported_it() {
    let (mut chooser, engines) = chooser(&["e1"]);
    let now = Instant(10_000);
    let id = &engines[0].id;
    assert_eq!(
        chooser.set_limit(now, id, 1.5),
        Some(LimitChange::Reported(1.5))
    );
    assert_eq!(chooser.set_limit(now, id, 1.5), None);
    chooser.remove_instance(id);
    chooser.update_instance(&engines[0]);
    let reported_limit = chooser.limit(Instant(11_000), id).expect("it has a limit");
    assert_eq!(reported_limit.limit, limit(1.5));
    assert_eq!(reported_limit.age, Millis(1_000));
    let other = directory::InstanceId::new(&id.name, Some(99));
    assert_eq!(chooser.limit(now, &other), None);
    assert_eq!(chooser.clear_limit(id), Some(LimitChange::Cleared));
    assert_eq!(chooser.clear_limit(id), None);
    assert_eq!(chooser.limit(now, id), None);
}

/// An engine that reports a limit of zero could never report another one if nothing were sent to it.
#[test]
fn a_limit_of_zero_still_lets_requests_through() {
    let (mut chooser, engines) = chooser(&["e1"]);
    chooser.set_limit(Instant(0), &engines[0].id, 0.0);
    let reported_limit = chooser.limit(Instant(0), &engines[0].id);
    assert!(reported_limit.is_some_and(|it| it.limit.per_s > 0.0));
}

/// An engine has rejected a request and asked for a pause. Neither a shorter pause nor the end of its limit
/// shortens it.
#[test]
fn the_longest_pause_that_an_engine_requested_counts() {
    let (mut chooser, engines) = chooser(&["e1"]);
    let wanted = wanted();
    let now = Instant(10_000);
    let id = &engines[0].id;
    chooser.set_limit(now, id, 5.0);
    chooser.pause_for(now, id, Millis(3_000));
    chooser.pause_for(Instant(10_100), id, Millis(200));
    chooser.clear_limit(id);
    let none = chooser.choose(Instant(12_000), &query(&wanted));
    assert_eq!(none, Choice::Wait(WaitReason::Allowance(Millis(1_000))));
    let after = chooser.choose(Instant(13_000), &query(&wanted));
    assert_eq!(goes_to(&after), Some("e1"));
    chooser.pause_for(now, id, Millis(u64::MAX));
    assert_eq!(chooser.endpoint_counts(Instant(13_000)), (1, 0));
}

/// With many processes, the coordinator of a model decides where requests go. It doesn't know what an
/// engine has told another process, so that process names such engines in its query.
#[test]
fn closed_engines_are_listed_by_their_keys() {
    let (mut chooser, engines) = chooser(&["e1", "e2"]);
    let now = Instant(10_000);
    assert!(chooser.closed_endpoints(now, "engines").is_empty());
    chooser.pause_for(now, &engines[1].id, Millis(500));
    let closed = chooser.closed_endpoints(now, "engines");
    let names: Vec<_> = closed.iter().map(|it| chooser.instance_key(*it)).collect();
    let expected = sageshed_fleet::entry_peers::instance_key(&engines[1].id);
    assert_eq!(names, [Some(expected)]);
    assert!(chooser.closed_endpoints(now, "plain").is_empty());
}

/// The head of a response, and whether the engine is limited and paused after it.
struct Head {
    name: &'static str,
    response: dialect::ResponseMetadata<'static>,
    is_limited: bool,
    is_paused: bool,
}

fn response(
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

/// An engine with a limit responds once more. A response of another engine that has taken over its address
/// does not count, and a rejection without a limit does not mean that there is none.
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
    let head = |name, response, is_limited, is_paused| Head {
        name,
        response,
        is_limited,
        is_paused,
    };
    let verified = dialect::ExecutionStatus::Verified;
    let misdirected = dialect::ExecutionStatus::Misdirected;
    let other = dialect::ResponseMetadata {
        endpoint: Some("e9"),
        ..response(misdirected, none)
    };
    let own = dialect::ResponseMetadata {
        endpoint: Some("e1"),
        ..response(misdirected, rest)
    };
    let cases = [
        head(
            "runs the request and is limited",
            response(verified, limit),
            true,
            false,
        ),
        head(
            "runs the request without a limit",
            response(verified, none),
            false,
            false,
        ),
        head(
            "rejects the request",
            response(dialect::ExecutionStatus::NotRun, none),
            true,
            false,
        ),
        head(
            "rejects the request and asks for a pause",
            response(dialect::ExecutionStatus::NotRun, rest),
            true,
            true,
        ),
        head(
            "unverified response",
            response(dialect::ExecutionStatus::Unverified, none),
            true,
            false,
        ),
        head("another engine responds", other, true, false),
        head(
            "anonymous refusal",
            response(misdirected, rest),
            true,
            false,
        ),
        head("its own refusal", own, true, true),
    ];
    for case in cases {
        let (mut chooser, engines) = chooser(&["e1"]);
        let (now, id) = (Instant(10_000), &engines[0].id);
        let first = chooser.apply_notice(now, id, &response(verified, limit));
        assert_eq!(first, Some(LimitChange::Reported(1.0)));
        chooser.apply_notice(now, id, &case.response);
        let is_limited = chooser.limit(now, id).is_some();
        assert_eq!(is_limited, case.is_limited, "{}", case.name);
        let is_paused = !chooser.closed_endpoints(now, "engines").is_empty();
        assert_eq!(is_paused, case.is_paused, "{}", case.name);
    }
}
