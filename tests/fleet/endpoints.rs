//! Endpoints that come, leave and go.

use crate::{fleet::Fleet, standin::caller::Ask};

/// An engine says that it will stop. No entry process sends it new work any more, whichever control
/// process took its word.
#[test]
fn a_leaving_endpoint_gets_no_new_work() {
    let (fleet, engines) = Fleet::ready();
    engines[0].leave();
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
    assert!(is_quiet(1_000));
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
