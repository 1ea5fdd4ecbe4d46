//! The bucket at the coordinator of an allowance: what it grants, and what it must not count twice.

use std::net;

use sageshed_fleet::allowance::{
    AcquireReply, AcquireRequest, AllowanceTable, CollectReply, CollectRequest, Key, Next,
    RateLimit,
};
use sageshed_types::time;

const PER_S: f64 = 100.0;

fn ip(last: u8) -> net::Ipv4Addr {
    net::Ipv4Addr::new(10, 0, 0, last)
}

fn key() -> Key {
    Key::of_workspace("dug")
}

fn at(ms: u64) -> time::Instant {
    time::Instant(10_000 + ms)
}

/// A fleet of twenty processes with one coordinator. The test supplies the messages of the others.
struct World {
    coordinator: AllowanceTable,
    others: Vec<net::Ipv4Addr>,
}

impl World {
    /// A coordinator that has been in contact with all producers for a second, so that its bucket is full.
    fn full() -> Self {
        let mut world = Self::new();
        for round in 0..12 {
            world.collect_all(at(100 * round));
        }
        world
    }

    fn new() -> Self {
        let entries: Vec<_> = (1..=20).map(ip).collect();
        let producers = sageshed_fleet::allowance::producers(key(), &entries);
        let mut coordinator = AllowanceTable::new(producers[0], 1);
        let limit = RateLimit {
            per_s: PER_S,
            burst: PER_S,
        };
        coordinator.set_limits([(key(), limit)]);
        coordinator.set_entries(at(0), &entries);
        Self {
            coordinator,
            others: producers[1..].to_vec(),
        }
    }

    fn start_collection(&mut self, now: time::Instant) -> Option<CollectRequest> {
        self.coordinator
            .tick(now)
            .pop()
            .map(|(collection, _)| collection)
    }

    /// All producers give what accrues in a tenth of a second, if the coordinator collects.
    fn collect_all(&mut self, now: time::Instant) {
        if let Some(collection) = self.start_collection(now) {
            for other in self.others.clone() {
                self.coordinator.add_collected(
                    now,
                    other,
                    &collected(&collection, PER_S / 10.0 / 15.0 * 2.5),
                );
            }
        }
    }

    fn acquire(&mut self, now: time::Instant, request: AcquireRequest) -> AcquireReply {
        self.coordinator.acquire(now, ip(99), &request).reply
    }

    fn units(&self) -> f64 {
        self.coordinator.buckets().map(|(_, units)| units).sum()
    }
}

fn collected(collection: &CollectRequest, units: f64) -> CollectReply {
    CollectReply {
        id: collection.id,
        units: vec![(key(), units)],
    }
}

fn request(id: u64, amount: f64) -> AcquireRequest {
    AcquireRequest {
        id,
        of: key(),
        amount,
        returned: 0.0,
        rank: 0,
        reported: None,
    }
}

#[test]
fn a_retried_acquisition_is_charged_once() {
    let mut world = World::full();
    let now = at(1_200);
    assert_eq!(world.acquire(now, request(7, 15.0)), AcquireReply::Granted);
    let after = world.units();
    for _ in 0..3 {
        assert_eq!(world.acquire(now, request(7, 15.0)), AcquireReply::Granted);
        assert!((after - world.units()).abs() < 1e-6, "charged once");
    }
    // The same id from another process is another acquisition.
    let reply = world.coordinator.acquire(now, ip(98), &request(7, 15.0));
    assert_eq!(reply.reply, AcquireReply::Granted);
    let taken = after - world.units();
    assert!((taken - 15.0).abs() < 1e-6, "{taken}");
}

/// The network duplicates a reply, or delivers it after the next collection has started. Its units were
/// spent already, or will be given again.
#[test]
fn what_a_producer_gives_counts_once() {
    let mut world = World::new();
    let first = world
        .start_collection(at(0))
        .expect("a new coordinator collects");
    let from = world.others[0];
    let before = world.units();
    world
        .coordinator
        .add_collected(at(1), from, &collected(&first, 1.0));
    let once = world.units();
    assert!(once > before);
    world
        .coordinator
        .add_collected(at(2), from, &collected(&first, 1.0));
    assert!((world.units() - once).abs() < 1e-9, "delivered twice");
    let second = world
        .start_collection(at(400))
        .expect("the next collection is due");
    assert_ne!(first.id, second.id);
    let then = world.units();
    world
        .coordinator
        .add_collected(at(401), world.others[1], &collected(&first, 1.0));
    assert!(
        (world.units() - then).abs() < 1e-9,
        "reply to an earlier collection"
    );
    world
        .coordinator
        .add_collected(at(402), ip(77), &collected(&second, 1.0));
    assert!(
        (world.units() - then).abs() < 1e-9,
        "reply of a process that was not asked"
    );
}

/// A coordinator is suspended or partitioned with a full bucket. Another process coordinates meanwhile, so
/// the units in the bucket must not be spent as well.
#[test]
fn the_bucket_of_a_coordinator_without_contact_is_emptied() {
    for (later, is_emptied) in [(1_000, false), (5_000, true)] {
        let mut world = World::full();
        let now = at(1_100 + later);
        let reply = world.acquire(now, request(1, 40.0));
        assert_eq!(
            reply == AcquireReply::Granted,
            !is_emptied,
            "after {later} ms: {reply:?}"
        );
    }
}

#[test]
fn a_request_larger_than_the_bucket_is_granted_by_a_full_one_and_paid_off() {
    let mut world = World::full();
    assert_eq!(
        world.acquire(at(1_105), request(1, 250.0)),
        AcquireReply::Granted
    );
    assert!(world.units() < -100.0);
    for round in 12..24 {
        world.collect_all(at(100 * round));
        let reply = world.acquire(at(100 * round + 5), request(round, 1.0));
        assert_ne!(reply, AcquireReply::Granted, "round {round}");
    }
}

/// A workspace is over its quota. Its urgent requests go before those that can wait.
#[test]
fn less_urgent_requests_leave_a_reserve_to_urgent_ones() {
    let mut world = World::full();
    let lookup = |id| AcquireRequest {
        rank: 2,
        ..request(id, 10.0)
    };
    assert_eq!(
        world.acquire(at(1_101), request(1, 10.0)),
        AcquireReply::Granted
    );
    let mut granted = 0;
    while world.acquire(at(1_101), lookup(10 + granted)) == AcquireReply::Granted {
        granted += 1;
    }
    assert!(granted > 0);
    assert_eq!(
        world.acquire(at(1_101), request(2, 10.0)),
        AcquireReply::Granted,
        "a share is reserved for urgent requests"
    );
}

/// A hundred requests are refused with retry delays. Each gets a later time than the ones before, so that
/// they don't compete for the same units.
#[test]
fn retry_delays_of_refused_requests_are_staggered() {
    let mut world = World::full();
    let now = at(1_130);
    let mut id = 0;
    let mut last = time::Millis(0);
    let mut refused = 0;
    while refused < 100 {
        id += 1;
        match world.acquire(now, request(id, 5.0)) {
            AcquireReply::Over(span) => {
                assert!(span >= last, "{span:?} behind {last:?}");
                last = span;
                refused += 1;
            }
            AcquireReply::Granted => assert_eq!(refused, 0),
            AcquireReply::Soon(_) => {
                // The producers have no units either.
                world.coordinator.acquire(now, ip(99), &request(id, 0.0));
                for other in world.others.clone() {
                    let collection = CollectRequest {
                        id,
                        of: vec![key()],
                        reported: Vec::new(),
                    };
                    world
                        .coordinator
                        .add_collected(now, other, &collected(&collection, 0.0));
                }
                if id > 1_000 {
                    return;
                }
            }
        }
    }
    // A hundred requests of five units, at a hundred units a second.
    assert!(last >= time::Millis(4_000), "{last:?}");
}

#[test]
fn returned_units_are_available_again_up_to_the_burst() {
    let mut world = World::full();
    assert_eq!(
        world.acquire(at(1_101), request(1, 60.0)),
        AcquireReply::Granted
    );
    let after = world.units();
    let back = AcquireRequest {
        returned: 60.0,
        ..request(2, 0.0)
    };
    assert_eq!(world.acquire(at(1_101), back), AcquireReply::Granted);
    assert!(world.units() > after + 50.0);
    for id in 3..50 {
        let back = AcquireRequest {
            returned: 60.0,
            ..request(id, 0.0)
        };
        assert_eq!(world.acquire(at(1_101), back), AcquireReply::Granted);
    }
    assert!(world.units() <= PER_S);
}

/// Two coordinators collect from the same producer: together they get what one of them would get.
#[test]
fn two_coordinators_divide_what_a_producer_yields() {
    let entries: Vec<_> = (1..=20).map(ip).collect();
    let producers = sageshed_fleet::allowance::producers(key(), &entries);
    let mut producer = AllowanceTable::new(producers[3], 1);
    producer.set_limits([(
        key(),
        RateLimit {
            per_s: PER_S,
            burst: PER_S,
        },
    )]);
    producer.set_entries(at(0), &entries);
    let mut all = 0.0;
    for ms in (0..10_000).step_by(50) {
        let collection = CollectRequest {
            id: ms,
            of: vec![key()],
            reported: Vec::new(),
        };
        all += producer.release_share(at(ms), &collection).units[0].1;
        all += producer.release_share(at(ms), &collection).units[0].1;
    }
    let yields = PER_S * (10.0 + 0.6) / 15.0;
    assert!(all <= yields + 1e-6, "{all} of {yields}");
    assert!(all >= PER_S * 9.9 / 15.0, "{all}");
}

fn producer(entries: &[net::Ipv4Addr], place: usize) -> AllowanceTable {
    let producers = sageshed_fleet::allowance::producers(key(), entries);
    let mut table = AllowanceTable::new(producers[place], 1);
    let limit = RateLimit {
        per_s: PER_S,
        burst: PER_S,
    };
    table.set_limits([(key(), limit)]);
    table.set_entries(at(0), entries);
    table
}

fn released(table: &mut AllowanceTable, now: time::Instant) -> f64 {
    let collection = CollectRequest {
        id: now.0,
        of: vec![key()],
        reported: Vec::new(),
    };
    table.release_share(now, &collection).units[0].1
}

/// A producer was suspended for ten seconds, or its coordinator was gone. It must not yield the units of
/// all that time.
#[test]
fn a_producer_stores_at_most_one_share_window() {
    let entries: Vec<_> = (1..=20).map(ip).collect();
    let mut table = producer(&entries, 3);
    let most = PER_S * 0.6 / 15.0 + 1e-6;
    assert!(released(&mut table, at(10)) <= most);
    table.heard_control(at(10_010));
    let later = released(&mut table, at(10_010));
    assert!(later > 0.0 && later <= most, "{later}");
}

/// When all processes start, one that knows a single other process would yield half of the rate, and so
/// would all the others. One that knows many yields at once, since its callers are back.
#[test]
fn a_producer_with_a_short_list_yields_nothing_at_first() {
    let few: Vec<_> = (1..=2).map(ip).collect();
    let many: Vec<_> = (1..=20).map(ip).collect();
    let mut isolated = producer(&few, 0);
    assert!(released(&mut isolated, at(300)) <= 0.0);
    assert!(released(&mut isolated, at(600)) > 0.0);
    isolated.set_entries(at(700), &(1..=4).map(ip).collect::<Vec<_>>());
    assert!(
        released(&mut isolated, at(900)) <= 0.0,
        "the list has just grown"
    );
    assert!(released(&mut producer(&many, 3), at(1)) > 0.0);
}

/// A workspace pauses. What it may spend at once afterwards is its burst, and not that of the bucket plus
/// as much again that its producers store.
#[test]
fn bucket_and_producers_hold_one_burst_together() {
    let mut world = World::full();
    let later = at(1_100 + 600);
    assert_eq!(world.acquire(later, request(1, 0.0)), AcquireReply::Granted);
    let stored_by_producers = PER_S * 0.6;
    let all = world.units() + stored_by_producers;
    assert!(all <= PER_S * 1.05, "{all}");
}

/// A coordinator does not respond. The next acquisition goes to the one after it, and after a while to the
/// first again.
#[test]
fn an_unresponsive_coordinator_is_skipped_for_a_second() {
    let entries: Vec<_> = (1..=20).map(ip).collect();
    let producers = sageshed_fleet::allowance::producers(key(), &entries);
    let mut table = producer(&entries, 9);
    let first = |table: &mut AllowanceTable, now| table.acquisition(now, key()).begin();
    let to = |coordinator| Next::Ask(coordinator, time::Millis(0));
    assert_eq!(first(&mut table, at(0)), to(producers[0]));
    table.mark_unresponsive(at(0), producers[0]);
    assert_eq!(first(&mut table, at(500)), to(producers[1]));
    assert_eq!(first(&mut table, at(1_500)), to(producers[0]));
    for coordinator in &producers[..3] {
        table.mark_unresponsive(at(2_000), *coordinator);
    }
    assert_eq!(first(&mut table, at(2_100)), Next::Unreachable);
}

/// A small fleet holds the quotas of many workspaces. Collections and their replies have to fit into
/// datagrams.
#[test]
fn collections_of_hundreds_of_allowances_are_split() {
    let entries: Vec<_> = (1..=2).map(ip).collect();
    let keys: Vec<_> = (0..500)
        .map(|at| Key::of_workspace(&format!("w{at}")))
        .collect();
    let limit = RateLimit {
        per_s: PER_S,
        burst: PER_S,
    };
    let mut coordinator = AllowanceTable::new(entries[0], 1);
    coordinator.set_limits(keys.iter().map(|key| (*key, limit)));
    coordinator.set_entries(at(0), &entries);
    let collections = coordinator.tick(at(1));
    let collected_keys: usize = collections
        .iter()
        .map(|(collection, _)| collection.of.len())
        .sum();
    assert!(
        collections.len() > 3 && collected_keys > 150,
        "{} collections of {collected_keys} allowances",
        collections.len()
    );
    let mut other = AllowanceTable::new(entries[1], 1);
    other.set_limits(keys.iter().map(|key| (*key, limit)));
    other.set_entries(at(0), &entries);
    for (collection, to) in &collections {
        assert_eq!(to, &vec![entries[1]]);
        assert!(collection.of.len() <= 40, "{}", collection.of.len());
        coordinator.add_collected(
            at(1_000),
            entries[1],
            &other.release_share(at(1_000), collection),
        );
    }
    let empty = coordinator
        .buckets()
        .filter(|(_, units)| *units <= 0.0)
        .count();
    assert_eq!(empty, 0, "each bucket was filled");
}

/// Datagrams can be corrupt or come from anybody. A number that is not finite must not end up in the
/// bucket.
#[test]
fn non_finite_amounts_do_not_corrupt_a_bucket() {
    for bad in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -5.0] {
        let mut world = World::full();
        let now = at(1_101);
        let malformed = AcquireRequest {
            returned: bad,
            ..request(1, bad)
        };
        world.coordinator.acquire(now, ip(99), &malformed);
        let collection = CollectRequest {
            id: 3,
            of: vec![key()],
            reported: Vec::new(),
        };
        world
            .coordinator
            .add_collected(now, world.others[0], &collected(&collection, bad));
        for round in 12..20 {
            let now = at(100 * round);
            if let Some(collection) = world.start_collection(now) {
                world
                    .coordinator
                    .add_collected(now, world.others[0], &collected(&collection, bad));
            }
        }
        world.collect_all(at(2_100));
        assert!(world.units().is_finite(), "{bad}: {}", world.units());
        assert!(
            world.units() <= PER_S && world.units() >= 0.0,
            "{bad}: {}",
            world.units()
        );
    }
}

/// A caller declares more tokens than its workspace may use in a window. It has to be refused without a
/// charge to the workspace.
#[test]
fn a_request_that_no_window_allows_takes_nothing() {
    for (amount, is_over) in [(PER_S * 8.9, false), (PER_S * 9.1, true), (1e300, true)] {
        let mut world = World::full();
        let now = at(1_101);
        let before = world.units();
        let reply = world.acquire(now, request(1, amount));
        assert_eq!(
            matches!(reply, AcquireReply::Over(_)),
            is_over,
            "{amount}: {reply:?}"
        );
        assert_eq!(world.units() < before - 50.0, !is_over, "{amount}");
    }
}

/// VMs are replaced one after the other. Those that are gone still count as producers, as they might only
/// be partitioned; acquisitions go to those that are listed.
#[test]
fn acquisitions_go_to_listed_coordinators() {
    let entries: Vec<_> = (1..=20).map(ip).collect();
    let producers = sageshed_fleet::allowance::producers(key(), &entries);
    let mut table = producer(&entries, 9);
    let gone = &producers[..4];
    let left: Vec<_> = entries
        .iter()
        .copied()
        .filter(|it| !gone.contains(it))
        .collect();
    table.set_entries(at(1_000), &left);
    let first = table.acquisition(at(1_010), key()).begin();
    assert_eq!(first, Next::Ask(producers[4], time::Millis(0)));
}
