//! Endpoints that come, leave and go.

use std::time;

use crate::{fleet::Fleet, standin::caller::Ask};

/// An engine says that it will stop. No entry process sends it new work any more, whichever control
/// process took its word.
#[test]
fn a_leaving_endpoint_gets_no_new_work() {
    let (fleet, engines) = Fleet::ready();
    let announced = engines[0].announced();
    engines[0].leave();
    // A round may be quiet by chance, so none counts before the engine has said it.
    fleet.until("the engine has said that it leaves", || {
        engines[0].announced() >= announced + 2
    });
    let is_quiet = |round: usize| {
        let before = engines[0].seen(|seen| seen.ran.len());
        for number in 0..12 {
            let id = format!("round-{round}-{number}");
            let answer = fleet.ask(number % 2, &Ask::new("POST", "/stream/x", &id));
            assert_eq!(answer.expect("an answer").status(), 200);
        }
        engines[0].seen(|seen| seen.ran.len()) == before
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

/// An engine comes while the others are gone, and an entry process that has just been told serves by
/// it.
#[test]
fn a_new_endpoint_is_used() {
    let (fleet, mut engines) = Fleet::ready();
    engines.drain(..2);
    let new = fleet.engine("e9", "engines", 39, &["m1"]);
    for entry in 0..2 {
        fleet.until("the new engine serves", || {
            let answer = fleet.ask(entry, &Ask::new("POST", "/stream/x", "new"));
            answer.is_some_and(|it| it.status() == 200)
        });
    }
    assert!(new.runs("new") >= 2);
}

/// The only engine of a model has run for hours, crashes and is back a second later under the name that
/// it had, holding nothing. Its words count from one again. Taken for late words of before, it would be
/// believed to hold its model: each request would be sent there and sent back, and nobody would load it.
#[test]
fn an_engine_that_starts_again_under_its_name_is_loaded_anew() {
    let (fleet, mut engines) = Fleet::ready();
    engines.remove(1);
    let engine = &engines[0];
    engine.count_from(100_000);
    fleet.until("all have heard its count", || engine.announced() > 100_006);
    let serves = |id: &str| {
        let answer = fleet.ask(0, &Ask::new("POST", "/stream/x", id));
        answer.is_some_and(|it| it.status() == 200)
    };
    fleet.until("the engine serves its model", || serves("before"));
    engine.start_again(time::Duration::from_secs(1));
    fleet.until("the model is loaded on the new start", || serves("after"));
    assert!(engine.runs("after") >= 1);
}
