//! Endpoints that start, leave and restart.

use std::time;

use crate::{fleet::Fleet, standin::caller::Request};

/// Guards against new requests to an engine that has announced to any control process that it will stop.
#[test]
fn a_leaving_endpoint_gets_no_new_work() {
    let (fleet, engines) = Fleet::ready();
    let announced = engines[0].announcements();
    engines[0].leave();
    // A round may pass without a request by chance, so rounds count only after the announcement.
    fleet.until("the engine has said that it leaves", || {
        engines[0].announcements() >= announced + 2
    });
    let is_quiet = |round: usize| {
        let before = engines[0].log(|log| log.ran.len());
        for number in 0..12 {
            let id = format!("round-{round}-{number}");
            let answer = fleet.ask(number % 2, &Request::new("POST", "/stream/x", &id));
            assert_eq!(answer.expect("an answer").status(), 200);
        }
        engines[0].log(|log| log.ran.len()) == before
    };
    let mut round = 0;
    fleet.until("it gets no work", || {
        round += 1;
        is_quiet(round)
    });
    for round in 1_000..1_004 {
        assert!(is_quiet(round), "round {round}");
    }
}

/// Guards against a new engine that is not used although all others are gone.
#[test]
fn a_new_endpoint_is_used() {
    let (fleet, mut engines) = Fleet::ready();
    engines.drain(..2);
    let new = fleet.engine("e9", "engines", 39, &["m1"]);
    for entry in 0..2 {
        fleet.until("the new engine serves", || {
            let answer = fleet.ask(entry, &Request::new("POST", "/stream/x", "new"));
            answer.is_some_and(|it| it.status() == 200)
        });
    }
    assert!(new.runs("new") >= 2);
}

/// Guards against stale state of an engine that crashes after hours and restarts a second later with the same name and
/// no model. The sequence numbers of its announcements restart at one. If they were taken for late announcements of the
/// former instance, the engine would still count as holding its model: each request would be sent there and rejected,
/// and the model would never be loaded.
#[test]
fn an_engine_that_starts_again_under_its_name_is_loaded_anew() {
    let (fleet, mut engines) = Fleet::ready();
    engines.remove(1);
    let engine = &engines[0];
    engine.set_announcements(100_000);
    fleet.until("all have heard its count", || {
        engine.announcements() > 100_006
    });
    let serves = |id: &str| {
        let answer = fleet.ask(0, &Request::new("POST", "/stream/x", id));
        answer.is_some_and(|it| it.status() == 200)
    };
    fleet.until("the engine serves its model", || serves("before"));
    engine.restart(time::Duration::from_secs(1));
    fleet.until("the model is loaded on the new start", || serves("after"));
    assert!(engine.runs("after") >= 1);
}
