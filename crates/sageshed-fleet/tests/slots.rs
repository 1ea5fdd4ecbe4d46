//! Slots of plain services: the load of a large deployment in virtual time, and failures under it.

mod support;

use std::{collections::BTreeSet, net};

use sageshed_fleet::{
    budget,
    chooser::{Choice, Chooser, EndpointQuery},
    dialect,
    reply_times::REPLY_TIMEOUT,
    slots::{
        HolderStep, SlotAttempt, SlotCoordinator, SlotDecision, SlotEndpoint, SlotRelease,
        SlotRequest, SlotTable, SlotWait, messages::SlotOutcome,
    },
};
use sageshed_types::time;
use support::slot_sim::{self, Sim, Trouble};

const ENTRIES: usize = 29;
const T0: time::Instant = time::Instant(100_000);
const HOLDER: net::Ipv4Addr = net::Ipv4Addr::new(10, 0, 0, 1);
const OTHER: net::Ipv4Addr = net::Ipv4Addr::new(10, 0, 0, 2);

/// 29 processes send 274 requests per second to three endpoints of six slots, at under half of their
/// capacity. While each chose by what it saw itself, an endpoint that slowed down, or two that were left,
/// were overrun before most processes had noticed, and rejected requests.
#[test]
fn leases_keep_endpoints_from_being_overrun() {
    let down = [
        (10_000, Trouble::RemoveEndpoint(1)),
        (40_000, Trouble::AddEndpoint(1)),
    ];
    for seed in 1..=4 {
        let run = |has_leases, troubles| {
            let counts = Sim::new(ENTRIES, has_leases, has_leases, seed).run(60_000, troubles);
            println!("seed {seed}, leases {has_leases}: {counts:?}");
            counts
        };
        let (before, after) = (run(false, &[]), run(true, &[]));
        assert_eq!((after.rejected, after.refused), (0, 0), "seed {seed}");
        assert!(after.on_time > before.on_time, "seed {seed}");
        assert!(before.most_at_endpoint > 20 && after.most_at_endpoint <= 8);
        let (before, after) = (run(false, &down), run(true, &down));
        assert!(before.rejected > 100, "seed {seed}");
        assert_eq!(after.rejected, 0, "seed {seed}");
        assert!(after.answered >= before.answered, "seed {seed}");
    }
}

/// A failure under the same load, and what it may cost.
struct Failure {
    name: &'static str,
    troubles: Vec<(u64, Trouble)>,
    /// Requests refused, of some 5,400.
    refused: u64,
    /// How long a request takes at most: until its deadline, and for as long as its holder is frozen.
    longest_ms: u64,
}

fn case(name: &'static str, troubles: &[(u64, Trouble)], refused: u64, longest_ms: u64) -> Failure {
    Failure {
        name,
        troubles: troubles.to_vec(),
        refused,
        longest_ms,
    }
}

impl Failure {
    fn check(&self) {
        for seed in 1..=3 {
            let counts = Sim::new(ENTRIES, true, true, seed).run(20_000, &self.troubles);
            let name = self.name;
            println!("{name}, seed {seed}: {counts:?}");
            assert_eq!(counts.rejected, 0, "{name}");
            assert!(counts.refused <= self.refused, "{name}: {counts:?}");
            assert!(counts.longest_ms <= self.longest_ms, "{name}: {counts:?}");
            let ended = counts.answered + counts.refused + counts.lost;
            assert_eq!(ended, counts.requests, "{name}");
        }
    }
}

/// Whatever fails, no endpoint is overrun, each request ends by its deadline, and no slot stays leased.
#[test]
fn failures_cost_few_requests_and_leave_no_lease() {
    let first = slot_sim::coordinator(ENTRIES);
    let other = (first + 1) % ENTRIES;
    let freeze = |entry| {
        [
            (5_000, Trouble::Freeze(entry, 300)),
            (9_000, Trouble::Freeze(entry, 3_000)),
        ]
    };
    // Of eight processes, some hold leases.
    let deaths: Vec<_> = (1..9)
        .map(|it| (5_000, Trouble::Kill((first + it) % ENTRIES)))
        .collect();
    let without_first = Trouble::List(first.max(13));
    let lists = [
        (5_000, without_first),
        (7_000, Trouble::List(ENTRIES)),
        (9_000, without_first),
        (11_000, Trouble::List(ENTRIES)),
    ];
    for case in [
        case(
            "coordinator dies",
            &[(5_000, Trouble::Kill(first))],
            10,
            800,
        ),
        case(
            "coordinator is cut off",
            &[(5_000, Trouble::Cut(first))],
            10,
            800,
        ),
        case("coordinator freezes", &freeze(first), 60, 3_800),
        case("holder freezes", &freeze(other), 60, 3_800),
        case("holders die", &deaths, 0, 800),
        case("two coordinators", &[(5_000, without_first)], 0, 800),
        case(
            "datagrams are lost and doubled",
            &[(0, Trouble::LoseAndDouble(20))],
            20,
            800,
        ),
        case(
            "first has the setting off",
            &[(0, Trouble::SwitchOff(first))],
            0,
            800,
        ),
        case("entry processes change", &lists, 10, 800),
    ] {
        case.check();
    }
}

/// Two endpoints, of which one is slow at times, have less capacity than is asked for at the peak. Few requests may be
/// refused for it, and those that begin must end by their deadline.
#[test]
fn endpoints_that_come_and_go_cost_few_requests() {
    let endpoints = [
        (5_000, Trouble::RemoveEndpoint(0)),
        (9_000, Trouble::AddEndpoint(0)),
        (10_000, Trouble::RemoveEndpoint(2)),
    ];
    case("endpoints change", &endpoints, 60, 800).check();
}

fn endpoint(key: u64, zone: &str, cost_ms: f64) -> SlotEndpoint {
    SlotEndpoint {
        key,
        slots: 3,
        availability_zone: zone.to_owned(),
        cost_ms,
    }
}

fn request(id: u64) -> SlotRequest {
    SlotRequest {
        request: id,
        service: support::PLAIN.to_owned(),
        attempt: SlotAttempt::First,
        availability_zone: "z1".to_owned(),
        tried: Vec::new(),
        priority: 2,
        workspace: 0,
        content: id,
        lease: time::Millis(800),
        late_in: time::Millis(150),
        abandoned_in: time::Millis(800),
        released: Vec::new(),
    }
}

/// An endpoint that is slow or fails is chosen last, and a request goes to its own zone otherwise.
#[test]
fn the_best_endpoint_with_a_free_slot_is_chosen() {
    let table = SlotTable::default();
    for (first, second, tried, expected) in [
        (("z1", 30.0), ("z2", 30.0), vec![], 1),
        (("z2", 30.0), ("z1", 30.0), vec![], 2),
        (("z1", 75.0), ("z2", 30.0), vec![], 2),
        (("z1", 30.0), ("z2", 280.0), vec![1], 2),
    ] {
        let endpoints = [
            endpoint(1, first.0, first.1),
            endpoint(2, second.0, second.1),
        ];
        assert_eq!(table.choose(&endpoints, "z1", &tried), Some(expected));
    }
}

/// A request that is doubled and arrives after the release would hold a slot until its lease ends. A grant
/// that was lost is repeated with the next question, for the same endpoint.
#[test]
fn late_and_doubled_messages_take_no_slot() {
    let mut coordinator = SlotCoordinator::new(slot_sim::RETRIES);
    let endpoints = [endpoint(1, "z1", 30.0)];
    for _ in 0..2 {
        let replies = coordinator.request(T0, HOLDER, request(7), &endpoints);
        assert_eq!(replies[0].1.decision, SlotDecision::Endpoint(1));
        assert_eq!((replies.len(), coordinator.stats().granted), (1, 1));
    }
    let release = SlotRelease {
        request: 7,
        service: support::PLAIN.to_owned(),
        seen: None,
    };
    coordinator.release(T0, &release, &endpoints);
    assert!(!coordinator.is_active());
    assert!(
        coordinator
            .request(T0, HOLDER, request(7), &endpoints)
            .is_empty()
    );
    assert!(!coordinator.is_active());
    // The release of request 8 is lost; the next request of its holder makes up for it.
    coordinator.request(T0, HOLDER, request(8), &endpoints);
    let next = SlotRequest {
        released: vec![8],
        ..request(9)
    };
    coordinator.request(T0, HOLDER, next, &endpoints);
    coordinator.release(
        T0,
        &SlotRelease {
            request: 9,
            ..release
        },
        &endpoints,
    );
    assert!(!coordinator.is_active());
}

fn seen_release(request: u64, took: u64) -> SlotRelease {
    SlotRelease {
        request,
        service: support::PLAIN.to_owned(),
        seen: Some(SlotOutcome {
            endpoint: 1,
            took: Some(time::Millis(took)),
            slowdown_percent: None,
            fault: None,
        }),
    }
}

/// Twice as many requests arrive as four leases of 30 ms can serve, for 3 s, and `returning` at its time.
/// Returns the decisions, with the time of each.
fn overload(returning: Option<(time::Instant, u64)>) -> Vec<(time::Instant, u64, SlotDecision)> {
    let mut coordinator = SlotCoordinator::new(slot_sim::RETRIES);
    let endpoints = [endpoint(1, "z1", 30.0)];
    let mut decisions = Vec::new();
    let mut leased = Vec::new();
    for round in 0..100 {
        let now = T0 + time::Millis(round * 30);
        let mut replies = Vec::new();
        for ended in std::mem::take(&mut leased) {
            replies.extend(coordinator.release(now, &seen_release(ended, 30), &endpoints));
        }
        if let Some((at, content)) = returning
            && now.since(at).0 < 30
            && now >= at
        {
            let request = SlotRequest {
                content,
                ..request(90_000)
            };
            replies.extend(coordinator.request(now, HOLDER, request, &endpoints));
        }
        for id in round * 8..(round + 1) * 8 {
            replies.extend(coordinator.request(now, HOLDER, request(id), &endpoints));
        }
        for (_, it) in replies {
            decisions.push((now, it.request, it.decision));
            if it.decision == SlotDecision::Endpoint(1) {
                leased.push(it.request);
            }
        }
    }
    decisions
}

/// Requests that can't begin before their callers give up are refused, with times to return that differ. The
/// same time for all would have them return at once. One that returns at its time is served.
#[test]
fn requests_that_cannot_begin_in_time_are_refused_with_different_times_to_return() {
    let refused: Vec<_> = overload(None)
        .into_iter()
        .filter_map(|(at, id, it)| match it {
            SlotDecision::Refuse { retry_after } => Some((id, at + retry_after)),
            _ => None,
        })
        .collect();
    assert!(refused.len() > 50, "{} refused", refused.len());
    let times: BTreeSet<_> = refused.iter().map(|it| it.1).collect();
    assert!(times.len() * 2 > refused.len(), "{times:?}");
    let (first, at) = refused[0];
    let decisions = overload(Some((at, first)));
    let own: Vec<_> = decisions
        .iter()
        .filter(|it| it.1 == 90_000)
        .map(|it| it.2)
        .collect();
    assert_eq!(own.last(), Some(&SlotDecision::Endpoint(1)), "{own:?}");
}

/// A request is served before those of a lower priority. While all that wait were counted, it was refused
/// for their number.
#[test]
fn an_urgent_request_is_not_refused_for_those_behind_it() {
    let mut coordinator = SlotCoordinator::new(slot_sim::RETRIES);
    let endpoints = [endpoint(1, "z1", 30.0)];
    for id in 0..100 {
        coordinator.request(T0, HOLDER, request(id), &endpoints);
    }
    let urgent = SlotRequest {
        priority: 0,
        ..request(1_000)
    };
    let replies = coordinator.request(T0, HOLDER, urgent, &endpoints);
    assert_eq!(replies[0].1.decision, SlotDecision::Wait);
}

/// Requests that have tried the only endpoint with free slots wait for another. They must not have a request
/// refused that this endpoint could take at once.
#[test]
fn a_request_is_not_refused_while_a_slot_is_free_for_it() {
    let mut coordinator = SlotCoordinator::new(slot_sim::RETRIES);
    let endpoints = [endpoint(1, "z1", 30.0), endpoint(2, "z1", 30.0)];
    let tried = |endpoint, id| SlotRequest {
        tried: vec![endpoint],
        ..request(id)
    };
    // Endpoint 1 is full, and 60 more wait for it; it serves one in 40 ms.
    for id in 0..64 {
        coordinator.request(T0, HOLDER, tried(2, id), &endpoints);
    }
    let mut next = 0;
    for ms in (40..=400).step_by(40) {
        let now = T0 + time::Millis(ms);
        let replies = coordinator.release(now, &seen_release(next, 40), &endpoints);
        next = replies.last().map_or(next, |it| it.1.request);
    }
    let now = T0 + time::Millis(400);
    let mut refused = 0;
    for id in 1_000..1_100 {
        let replies = coordinator.request(now, HOLDER, tried(2, id), &endpoints);
        let decision = replies.last().map(|it| it.1.decision);
        refused += u64::from(matches!(decision, Some(SlotDecision::Refuse { .. })));
    }
    assert!(refused > 0, "the queue is not full");
    let replies = coordinator.request(now, HOLDER, request(2_001), &endpoints);
    let decision = replies.last().map(|it| it.1.decision);
    assert_eq!(decision, Some(SlotDecision::Endpoint(2)));
}

/// Responses within less than a millisecond are measured as zero. Recorded as such, they would give a drain
/// rate of zero, and all requests that wait would be refused.
#[test]
fn responses_within_a_millisecond_do_not_stop_the_queue() {
    let mut coordinator = SlotCoordinator::new(slot_sim::RETRIES);
    let endpoints = [endpoint(1, "z1", 30.0)];
    // The coordinator learns how long a slot is held.
    for id in 1_000..1_200 {
        coordinator.request(T0, HOLDER, request(id), &endpoints);
        coordinator.release(T0, &seen_release(id, 0), &endpoints);
    }
    for id in 0..64 {
        coordinator.request(T0, HOLDER, request(id), &endpoints);
    }
    // One slot is lost at a time; the request that gets it next ends within the same millisecond.
    let mut next = 0;
    for ms in (20..420).step_by(20) {
        let now = T0 + time::Millis(ms);
        let unseen = SlotRelease {
            seen: None,
            ..seen_release(next, 0)
        };
        let granted = coordinator.release(now, &unseen, &endpoints);
        let granted = granted[0].1.request;
        let replies = coordinator.release(now, &seen_release(granted, 0), &endpoints);
        next = replies[0].1.request;
    }
    let now = T0 + time::Millis(420);
    // The second of them has one before it that can be on time.
    for id in [64, 65] {
        let replies = coordinator.request(now, HOLDER, request(id), &endpoints);
        let own = replies.iter().find(|it| it.1.request == id);
        assert_eq!(own.map(|it| it.1.decision), Some(SlotDecision::Wait));
    }
}

/// A process that was suspended finds a grant of unknown age. Its slot may have been given to another.
#[test]
fn a_holder_uses_only_fresh_grants_of_the_coordinator_that_it_asked() {
    let coordinators = vec![HOLDER, OTHER];
    let grant = SlotDecision::Endpoint(3);
    let (mut wait, step) = SlotWait::begin(T0, coordinators, REPLY_TIMEOUT);
    assert_eq!(step, HolderStep::Ask(HOLDER));
    assert_eq!(wait.on_reply(T0, OTHER, grant), HolderStep::Hold);
    let late = wait.wake_at() + time::Millis(150);
    assert_eq!(
        wait.on_reply(late, HOLDER, grant),
        HolderStep::DecideLocally
    );
    let granted = HolderStep::Granted(HOLDER, 3);
    assert_eq!(wait.on_reply(T0, HOLDER, grant), granted);
    // It waits; then its coordinator no longer replies, and it joins at the second.
    assert_eq!(
        wait.on_reply(T0, HOLDER, SlotDecision::Wait),
        HolderStep::Hold
    );
    assert_eq!(wait.on_timeout(wait.wake_at()), HolderStep::Ask(HOLDER));
    assert_eq!(wait.unresponsive(wait.wake_at()), Some(HOLDER));
    assert_eq!(wait.on_timeout(wait.wake_at()), HolderStep::Ask(OTHER));
    assert_eq!(wait.asked(), [HOLDER, OTHER]);
    assert_eq!(wait.on_timeout(wait.wake_at()), HolderStep::DecideLocally);
}

/// A grant that follows a wait says as well that retries are left. A holder that is told otherwise gives up a
/// request that fails.
#[test]
fn later_grants_say_whether_a_retry_is_left() {
    let mut coordinator = SlotCoordinator::new(slot_sim::RETRIES);
    let endpoints = [endpoint(1, "z1", 30.0)];
    // More than a window, so that the constant part of the budget is there; some requests, for the other.
    for id in 1_000..1_100 {
        let now = T0 + time::Millis((id - 1_000) * 150);
        coordinator.request(now, HOLDER, request(id), &endpoints);
        coordinator.release(now, &seen_release(id, 30), &endpoints);
    }
    let now = T0 + time::Millis(15_000);
    for id in 0..6 {
        let lease = time::Millis(if id == 1 { 20 } else { 800 });
        let request = SlotRequest {
            lease,
            ..request(id)
        };
        let replies = coordinator.request(now, HOLDER, request, &endpoints);
        assert!(replies.iter().all(|it| it.1.retries_left));
    }
    let released = coordinator.release(now, &seen_release(0, 0), &endpoints);
    assert!(released[0].1.retries_left, "{released:?}");
    let granted = coordinator.tick(now + time::Millis(20), |_| endpoints.to_vec());
    assert!(granted[0].1.retries_left, "{granted:?}");
}

/// A process that decided by itself after the first missing reply, or when one coordinator had the setting off,
/// stayed within one request at a time while the other coordinator could have granted a slot.
#[test]
fn a_holder_asks_the_next_coordinator_before_it_decides_by_itself() {
    let begin = || SlotWait::begin(T0, vec![HOLDER, OTHER], REPLY_TIMEOUT).0;
    let unknown = SlotDecision::Unknown;
    let mut wait = begin();
    assert_eq!(wait.on_timeout(wait.wake_at()), HolderStep::Ask(OTHER));
    assert_eq!(wait.on_reply(T0, HOLDER, unknown), HolderStep::Hold);
    let granted = HolderStep::Granted(OTHER, 3);
    assert_eq!(wait.on_reply(T0, OTHER, SlotDecision::Endpoint(3)), granted);
    let mut wait = begin();
    assert_eq!(wait.on_reply(T0, HOLDER, unknown), HolderStep::Ask(OTHER));
    assert_eq!(wait.on_timeout(wait.wake_at()), HolderStep::DecideLocally);
    let mut wait = begin();
    assert_eq!(wait.on_reply(T0, HOLDER, unknown), HolderStep::Ask(OTHER));
    assert_eq!(
        wait.on_reply(T0, OTHER, unknown),
        HolderStep::DecideUnshared
    );
}

/// A process whose coordinators have the setting off would be held at one request at a time, while the others keep
/// to no share.
#[test]
fn a_share_of_the_slots_does_not_apply_without_coordinators_that_grant_them() {
    let entries: Vec<_> = (0..29).map(|it| net::Ipv4Addr::new(10, 0, 1, it)).collect();
    let mut chooser = Chooser::new("z1", 1).with_slot_shares(true);
    chooser.set_entries(entries[0], &entries);
    chooser.update_instance(&support::instance("s0", support::PLAIN, &[]));
    let model = dialect::ModelRef {
        model: String::new(),
        adapter: None,
    };
    let query = EndpointQuery {
        service: support::PLAIN,
        wanted: None,
        ..support::ask(&model, 0)
    };
    assert!(matches!(chooser.choose(T0, &query), Choice::Send(_)));
    assert!(matches!(chooser.choose(T0, &query), Choice::Wait(_)));
    let unshared = EndpointQuery {
        ignores_slot_share: true,
        ..query
    };
    assert!(matches!(chooser.choose(T0, &unshared), Choice::Send(_)));
}

/// Requests for a service without endpoints, such as a wrong name, would add to the retry budget and to the services
/// that a coordinator keeps.
#[test]
fn requests_for_unknown_services_are_not_counted() {
    let allowance = budget::RetryAllowance {
        ratio: 1.0,
        slack: 0.0,
        window: time::Millis(10_000),
    };
    let mut coordinator = SlotCoordinator::new(allowance);
    for id in 0..10 {
        let replies = coordinator.request(T0, HOLDER, request(id), &[]);
        assert_eq!(replies[0].1.decision, SlotDecision::Unknown);
    }
    let retry = SlotRequest {
        attempt: SlotAttempt::Retry,
        ..request(20)
    };
    let replies = coordinator.request(T0, HOLDER, retry, &[endpoint(1, "z1", 30.0)]);
    assert_eq!(replies[0].1.decision, SlotDecision::Endpoint(1));
    assert!(!replies[0].1.has_retry);
}

/// Endpoints that announce too many slots would overflow the sum over all of them.
#[test]
fn announced_slots_do_not_overflow() {
    let entries: Vec<_> = (0..29).map(|it| net::Ipv4Addr::new(10, 0, 1, it)).collect();
    let mut chooser = Chooser::new("z1", 1).with_slot_shares(true);
    chooser.set_entries(entries[0], &entries);
    for name in ["s0", "s1"] {
        let mut record = support::instance(name, support::PLAIN, &[]);
        record.slots = u32::MAX;
        chooser.update_instance(&record);
    }
    let model = dialect::ModelRef {
        model: String::new(),
        adapter: None,
    };
    let query = EndpointQuery {
        service: support::PLAIN,
        wanted: None,
        ..support::ask(&model, 0)
    };
    assert!(matches!(chooser.choose(T0, &query), Choice::Send(_)));
    let endpoints = chooser.slot_endpoints(T0, support::PLAIN);
    assert_eq!(endpoints[0].max_leases(), u32::MAX);
}
