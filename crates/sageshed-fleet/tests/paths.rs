//! Which connections are opened through other entry processes, by replays of failures.

use std::net;

use sageshed_fleet::paths::{AfterFailure, PathTable, RelayOutcome, RelayTable, Route};
use sageshed_types::time::{Instant, Millis};

fn endpoint(number: u8) -> net::SocketAddrV4 {
    net::SocketAddrV4::new(net::Ipv4Addr::new(10, 0, 1, number), 8_080)
}

fn entry(number: u8) -> net::Ipv4Addr {
    net::Ipv4Addr::new(10, 0, 0, number)
}

/// What happens at a process, by the number of the endpoint.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A response over a new connection of its own.
    NewResponse(u8),
    /// A response over a connection that was opened before.
    PooledResponse(u8),
    /// A connection that failed.
    Failed(u8),
    /// A connection that a relay has opened.
    Relayed(u8),
}

struct Case {
    name: &'static str,
    /// In order, with their times in milliseconds.
    events: &'static [(u64, Event)],
    /// The endpoints of 1 to 4 that are connected to through relays after these events.
    relayed: &'static [u8],
    is_cut_off: bool,
}

#[test]
fn a_failed_path_is_told_from_a_failed_endpoint_and_from_a_vm_that_is_cut_off() {
    use Event::{Failed, NewResponse, PooledResponse, Relayed};
    let cases = [
        Case {
            name: "one endpoint that others reach",
            events: &[(0, NewResponse(1)), (400, Failed(2)), (420, Relayed(2))],
            relayed: &[2],
            is_cut_off: false,
        },
        Case {
            name: "two endpoints that nobody reaches",
            events: &[(0, NewResponse(1)), (400, Failed(2)), (500, Failed(3))],
            relayed: &[2, 3],
            is_cut_off: false,
        },
        Case {
            name: "all paths lost: the others are not tried one after another",
            events: &[
                (0, NewResponse(1)),
                (400, Failed(2)),
                (420, Relayed(2)),
                (500, Failed(3)),
            ],
            relayed: &[1, 2, 3, 4],
            is_cut_off: true,
        },
        Case {
            name: "old connections live on while new ones are refused",
            events: &[
                (0, Failed(1)),
                (10, Failed(2)),
                (20, Relayed(1)),
                (30, PooledResponse(2)),
            ],
            relayed: &[1, 2],
            is_cut_off: false,
        },
        Case {
            name: "relayed connections do not count as failures",
            events: &[
                (0, Failed(1)),
                (10, Failed(2)),
                (20, NewResponse(3)),
                (30, Relayed(1)),
                (40, Relayed(2)),
            ],
            relayed: &[1, 2],
            is_cut_off: false,
        },
        Case {
            name: "a path that is back",
            events: &[
                (0, Failed(1)),
                (10, Failed(2)),
                (20, Relayed(1)),
                (1_200, NewResponse(1)),
            ],
            relayed: &[2],
            is_cut_off: false,
        },
    ];
    for case in cases {
        let mut paths = PathTable::default();
        for (at, event) in case.events {
            let now = Instant(*at);
            match *event {
                NewResponse(it) => drop(paths.record_response(now, endpoint(it), true)),
                PooledResponse(it) => drop(paths.record_response(now, endpoint(it), false)),
                Failed(it) => drop(paths.record_failed(now, endpoint(it))),
                Relayed(it) => drop(paths.record_relayed(now, endpoint(it))),
            }
        }
        let relayed: Vec<_> = (1..=4)
            .filter(|it| paths.route(endpoint(*it)) == Route::Relay)
            .collect();
        assert_eq!(relayed, case.relayed, "{}", case.name);
        assert_eq!(paths.is_cut_off(), case.is_cut_off, "{}", case.name);
    }
}

/// Guards against requests that wait for a relay while the VM's paths work: an engine that is silent for a second, or
/// down, is no lost path.
#[test]
fn a_failure_among_responses_of_others_is_not_tried_through_a_relay() {
    let mut paths = PathTable::default();
    paths.record_response(Instant(900), endpoint(1), false);
    paths.record_failed(Instant(1_000), endpoint(2));
    assert_eq!(paths.after_failure(Instant(600)), AfterFailure::Report);
    paths.record_failed(Instant(1_500), endpoint(3));
    assert_eq!(paths.after_failure(Instant(1_100)), AfterFailure::TryRelay);
}

/// Guards against a VM that loses some paths and finds them one after another, each by a request that waits 400 ms.
#[test]
fn once_a_path_is_lost_others_are_given_up_sooner_and_tried_through_relays() {
    let mut paths = PathTable::default();
    let usual = Millis(400);
    paths.record_failed(Instant(400), endpoint(1));
    assert_eq!(paths.connect_timeout(usual), usual);
    paths.record_relayed(Instant(420), endpoint(1));
    assert!(paths.connect_timeout(usual) < usual);
    paths.record_response(Instant(430), endpoint(2), false);
    assert_eq!(paths.after_failure(Instant(425)), AfterFailure::TryRelay);
    paths.record_response(Instant(440), endpoint(1), true);
    assert_eq!(paths.connect_timeout(usual), usual);
    assert_eq!(paths.after_failure(Instant(425)), AfterFailure::Report);
}

/// Guards against engines that two VMs without paths report as unreachable to all others, which then avoid them.
#[test]
fn a_process_with_lost_paths_tells_others_only_of_endpoints_that_relays_do_not_reach() {
    let mut paths = PathTable::default();
    paths.record_failed(Instant(0), endpoint(1));
    assert!(paths.is_evidence(endpoint(1)));
    paths.record_relayed(Instant(10), endpoint(1));
    paths.record_failed(Instant(20), endpoint(2));
    assert!(!paths.is_evidence(endpoint(1)));
    assert!(!paths.is_evidence(endpoint(2)));
    paths.record_unreachable(endpoint(2));
    assert!(paths.is_evidence(endpoint(2)));
    paths.record_response(Instant(30), endpoint(1), true);
    paths.record_failed(Instant(40), endpoint(3));
    assert!(paths.is_evidence(endpoint(3)));
}

/// Guards against paths that are never used again, and against probes of endpoints that have ended.
#[test]
fn failed_paths_are_probed_in_turn_and_unused_ones_are_found() {
    let mut paths = PathTable::default();
    paths.record_failed(Instant(0), endpoint(1));
    paths.record_failed(Instant(100), endpoint(2));
    assert_eq!(paths.next_probe(Instant(900)), None);
    assert_eq!(paths.next_probe(Instant(1_100)), Some(endpoint(1)));
    assert_eq!(paths.next_probe(Instant(1_100)), Some(endpoint(2)));
    assert_eq!(paths.next_probe(Instant(1_100)), None);
    paths.record_relayed(Instant(20_000), endpoint(2));
    assert_eq!(paths.unused(Instant(29_999)), []);
    assert_eq!(paths.unused(Instant(40_000)), [endpoint(1)]);
    paths.forget(endpoint(1));
    assert_eq!(paths.next_probe(Instant(40_000)), Some(endpoint(2)));
    assert_eq!(paths.next_probe(Instant(40_000)), None);
    paths.keep(Instant(50_000), endpoint(2));
    assert_eq!(paths.unused(Instant(79_999)), []);
    assert_eq!(paths.unused(Instant(80_000)), [endpoint(2)]);
    paths.forget(endpoint(2));
    assert_eq!(paths.status(Instant(80_000)).failing, 0);
}

/// Guards against requests that are lost on a path of a process that is cut off: the failed paths by which it knows that
/// were forgotten, since its requests went to other endpoints.
#[test]
fn a_process_stays_cut_off_while_its_failed_paths_are_not_used() {
    let mut paths = PathTable::default();
    paths.record_failed(Instant(0), endpoint(1));
    paths.record_failed(Instant(0), endpoint(2));
    for now in (0..120_000).step_by(1_000).map(Instant) {
        paths.record_relayed(now, endpoint(1));
        for unused in paths.unused(now) {
            paths.keep(now, unused);
        }
        while paths.next_probe(now).is_some() {}
        assert_eq!(paths.route(endpoint(3)), Route::Relay, "{now:?}");
    }
}

/// The same where they were forgotten since their endpoints ended: another path is probed then.
#[test]
fn a_process_stays_cut_off_when_the_endpoints_of_its_failed_paths_end() {
    let mut paths = PathTable::default();
    paths.record_failed(Instant(0), endpoint(1));
    paths.record_failed(Instant(10), endpoint(2));
    paths.record_relayed(Instant(20), endpoint(1));
    assert!(!paths.needs_probe());
    paths.forget(endpoint(1));
    paths.forget(endpoint(2));
    assert_eq!(paths.route(endpoint(3)), Route::Relay);
    assert!(paths.needs_probe());
    paths.record_failed(Instant(100), endpoint(3));
    assert!(!paths.needs_probe());
    assert_eq!(paths.next_probe(Instant(1_100)), Some(endpoint(3)));
    paths.record_response(Instant(1_110), endpoint(3), true);
    assert_eq!(paths.route(endpoint(4)), Route::Direct);
}

/// Guards against a zone that loses its paths as a whole: its processes stop asking each other.
#[test]
fn relays_that_can_not_be_used_are_avoided_for_a_while() {
    let entries: Vec<_> = (1..=6).map(entry).collect();
    let mut relays = RelayTable::default();
    let own = entry(1);
    let candidates = |relays: &RelayTable, at, draw| {
        let found = relays.candidates(Instant(at), &entries, own, draw);
        assert!(!found.contains(&own), "{found:?}");
        found
    };
    assert_eq!(candidates(&relays, 0, 0), [2, 3, 4].map(entry));
    assert_eq!(candidates(&relays, 0, 4), [6, 2, 3].map(entry));
    for avoided in [2, 3] {
        relays.record(Instant(10), entry(avoided), RelayOutcome::Unusable);
    }
    relays.record(Instant(10), entry(4), RelayOutcome::EndpointUnreachable);
    assert_eq!(candidates(&relays, 500, 0), [4, 5, 6].map(entry));
    assert_eq!(candidates(&relays, 1_010, 0), [2, 3, 4].map(entry));
}

#[test]
fn a_process_without_usable_relays_is_isolated_until_one_connects() {
    let mut relays = RelayTable::default();
    relays.record(Instant(0), entry(2), RelayOutcome::Unusable);
    assert!(!relays.is_isolated(Instant(900)));
    relays.record(Instant(800), entry(3), RelayOutcome::Unusable);
    assert!(relays.is_isolated(Instant(0) + Millis(1_000)));
    relays.record(Instant(1_100), entry(3), RelayOutcome::Connected);
    assert!(!relays.is_isolated(Instant(9_000)));
}

/// Guards against requests that are lost again and again over a path on which connections open and requests do not
/// arrive.
#[test]
fn a_path_that_fails_again_after_a_probe_is_probed_less_often() {
    let mut paths = PathTable::default();
    let mut now = Instant(0);
    for interval in [1_000, 2_000, 4_000, 8_000, 8_000] {
        paths.record_failed(now, endpoint(1));
        paths.record_relayed(now, endpoint(1));
        let too_soon = now + Millis(interval - 1);
        assert_eq!(paths.next_probe(too_soon), None, "{interval}");
        now = now + Millis(interval);
        assert_eq!(paths.next_probe(now), Some(endpoint(1)), "{interval}");
        paths.record_response(now, endpoint(1), true);
    }
    now = now + Millis(10_000);
    paths.record_failed(now, endpoint(1));
    assert_eq!(paths.next_probe(now + Millis(1_000)), Some(endpoint(1)));
}
