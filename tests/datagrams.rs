//! What entry processes send each other fits into one datagram.

use std::net;

use sageshed_fleet::{allowance, directory, entry_peers, slots};
use sageshed_types::time;

/// The largest datagram that is read.
const LARGEST: usize = 1_200;

/// Hundreds of endpoints are in need at once and name limits. One entry process keeps them all for another that is the
/// only one beside it, and asks it for what it has of each.
#[test]
fn drawings_of_many_limits_fit_into_datagrams() {
    let entries: Vec<_> = (1..=2).map(|it| net::Ipv4Addr::new(10, 0, 0, it)).collect();
    let mut coordinator = allowance::AllowanceTable::new(entries[0], u64::MAX / 2);
    coordinator.set_entries(time::Instant(0), &entries);
    let mut pulls = Vec::new();
    for number in 0..300 {
        let id = directory::InstanceId::new(&format!("e{number}"), Some(1));
        let draw = allowance::AcquireRequest {
            id: u64::MAX,
            of: allowance::Key::of_endpoint(&id),
            amount: 1.0,
            returned: 0.0,
            rank: 9,
            reported: Some(allowance::ReportedLimit {
                limit: allowance::RateLimit {
                    per_s: 1.1,
                    burst: 2.0,
                },
                age: time::Millis(100_000),
            }),
        };
        let question = entry_peers::Datagram::Acquire(draw);
        assert!(encoded(&question).len() <= LARGEST);
        let reply = coordinator.acquire(time::Instant(1), entries[1], &draw);
        pulls.extend(reply.collection);
    }
    pulls.extend(coordinator.tick(time::Instant(5_000)));
    let drawn: usize = pulls.iter().map(|(pull, _)| pull.of.len()).sum();
    assert!(drawn >= 300, "{drawn}");
    for (pull, _) in pulls {
        let datagram = encoded(&entry_peers::Datagram::Collect(pull));
        assert!(datagram.len() <= LARGEST, "{} bytes", datagram.len());
    }
}

/// A query as a process without shared queues sends and reads it.
#[derive(Debug, PartialEq, serde::Serialize, serde::Deserialize)]
struct PlainQuery {
    id: u64,
    request: u64,
    service: String,
    model: String,
    adapter: Option<String>,
    parts: Vec<(u64, u64)>,
    prompt_tokens: u64,
    tried: Vec<u64>,
    left: u64,
    patience: u64,
    on_time: u64,
    may_be_late: bool,
}

#[derive(Debug, PartialEq, serde::Serialize, serde::Deserialize)]
enum PlainDatagram {
    Ask(PlainQuery),
    Advice {
        id: u64,
        place: entry_peers::RoutingDecision,
    },
}

/// Guards against entry processes that do not understand each other while a fleet is updated, or while only some of
/// them have the shared queue enabled.
#[test]
fn processes_with_and_without_shared_queues_understand_each_other() {
    let most = entry_peers::RoutingQuery {
        id: u64::MAX,
        request: u64::MAX,
        service: "s".repeat(60),
        model: "m".repeat(60),
        adapter: Some("a".repeat(60)),
        parts: vec![(u64::MAX, u64::MAX); 8],
        prompt_tokens: u64::MAX,
        tried: vec![u64::MAX; 20],
        time_left: time::Millis(u64::MAX),
        patience: time::Millis(u64::MAX),
        time_until_late: time::Millis(u64::MAX),
        may_be_late: true,
        software: Some(directory::SoftwareKey(u64::MAX)),
        queue: Some(entry_peers::QueueMembership {
            priority: u8::MAX,
            workspace: u64::MAX,
            weight: 0.01,
            content: u64::MAX,
            abandoned_in: time::Millis(u64::MAX),
            output_tokens: u64::MAX,
            sent_at: time::Instant(u64::MAX),
        }),
    };
    let bytes = encoded(&entry_peers::Datagram::RoutingQuery(most.clone()));
    assert!(bytes.len() <= LARGEST, "{} bytes", bytes.len());
    let read: PlainDatagram = sageshed_vms::decode(&bytes).expect("it can be read");
    let bytes = sageshed_vms::encode(&read).expect("it can be encoded");
    let without = entry_peers::RoutingQuery {
        queue: None,
        software: None,
        ..most
    };
    let without = entry_peers::Datagram::RoutingQuery(without);
    assert_eq!(bytes, encoded(&without), "the same bytes as before");
    assert_eq!(sageshed_vms::decode(&bytes).ok(), Some(without));
    let place = entry_peers::RoutingDecision::Wait { expected: None };
    let bytes = sageshed_vms::encode(&PlainDatagram::Advice { id: 5, place });
    let reply = entry_peers::RoutingReply {
        id: 5,
        decision: place,
        decided_at: None,
    };
    let reply = entry_peers::Datagram::RoutingReply(reply);
    assert_eq!(bytes.ok(), Some(encoded(&reply)));
}

/// A request for a slot excludes many endpoints and repeats releases that may have been lost.
#[test]
fn a_request_for_a_slot_fits_into_a_datagram() {
    let request = slots::SlotRequest {
        request: u64::MAX,
        service: "s".repeat(64),
        attempt: slots::SlotAttempt::Retry,
        availability_zone: "z".repeat(64),
        tried: vec![u64::MAX; 64],
        priority: 9,
        workspace: u64::MAX,
        content: u64::MAX,
        lease: time::Millis(100_000),
        late_in: time::Millis(100_000),
        abandoned_in: time::Millis(100_000),
        released: vec![u64::MAX; 4],
    };
    let datagram = encoded(&entry_peers::Datagram::SlotRequest(request));
    assert!(datagram.len() <= LARGEST, "{} bytes", datagram.len());
}

fn encoded(datagram: &entry_peers::Datagram) -> Vec<u8> {
    sageshed_vms::encode(datagram).expect("it can be encoded")
}
