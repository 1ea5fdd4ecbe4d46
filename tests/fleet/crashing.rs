//! A request that ends each endpoint that runs it.

use std::{thread, time};

use crate::{
    fleet::Fleet,
    standin::{
        caller::Ask,
        engine::{DEADLY, Does, Engine},
    },
};

/// Within this time of the third end all entry processes know of it.
const KNOWN_WITHIN: time::Duration = time::Duration::from_secs(3);

/// How often such a request may reach an endpoint after that, over all entry processes.
const MOST_AFTER: usize = 3;

fn deadly(id: &str) -> Ask<'_> {
    Ask {
        body: DEADLY,
        ..Ask::new("POST", "/resumable/x", id)
    }
}

/// How often an endpoint was ended so far.
fn ends(engines: &[Engine]) -> usize {
    engines.iter().map(|it| it.seen(|seen| seen.ends)).sum()
}

/// Sends such a request to one entry process after the other until it has ended three endpoints.
fn end_three(fleet: &Fleet, engines: &[Engine]) {
    let mut number = 0;
    fleet.until("it has ended three endpoints", || {
        number += 1;
        let id = format!("first-{number}");
        drop(fleet.ask(number % 2, &deadly(&id)));
        ends(engines) >= 3
    });
}

/// Sends it so many times more, in turn to these entry processes. Returns how many endpoints that ended.
fn ends_by(fleet: &Fleet, engines: &[Engine], entries: &[usize], tries: usize) -> usize {
    let before = ends(engines);
    for number in 0..tries {
        let id = format!("again-{number}");
        drop(fleet.ask(entries[number % entries.len()], &deadly(&id)));
        // Those that were ended are back.
        thread::sleep(time::Duration::from_millis(500));
    }
    ends(engines) - before
}

/// Waits until an entry process answers requests.
fn serves(fleet: &Fleet, entry: usize) {
    fleet.until("it serves", || {
        let answer = fleet.ask(entry, &Ask::new("GET", "/stream/x", "first"));
        answer.is_some_and(|it| it.status() == 200)
    });
}

/// A request made each engine crash that began to run it. Its caller sent it again under other ids, other entry
/// processes took it, and each passed it on to as many engines as one try may have: 34 engines were lost in a
/// day of nine, and for seconds few were left for everybody. The processes counted the engines of one try and
/// forgot them with it. What settled it, in the lines of two processes on the engines that it ended here:
/// `content="3b8ed2632894eb26" .. request="first-2" runs="2"` and `content="3b8ed2632894eb26" .. request="again-5"
/// runs="1"`, one content under all 20 ends, however little ran there.
#[test]
fn a_request_that_ends_endpoints_is_not_sent_on_and_on() {
    let (fleet, engines) = Fleet::ready();
    end_three(&fleet, &engines);
    thread::sleep(KNOWN_WITHIN);
    let after = ends_by(&fleet, &engines, &[0, 1], 8);
    assert!(after <= MOST_AFTER, "it ended {after} more");
}

/// The same, and an entry process starts only after the third engine has crashed. It has seen nothing of that,
/// and would learn it at the cost of three engines of its own.
#[test]
fn an_entry_process_that_starts_knows_what_has_ended_endpoints() {
    let (mut fleet, engines) = Fleet::ready();
    end_three(&fleet, &engines);
    thread::sleep(KNOWN_WITHIN);
    fleet.entries[0].kill();
    fleet.entries[0].start();
    serves(&fleet, 0);
    let after = ends_by(&fleet, &engines, &[0], 6);
    assert!(after <= MOST_AFTER, "it ended {after} more");
}

/// The same, and all processes lose their power at once. What was learnt at the cost of three engines must not
/// be learnt again at that cost after each such loss.
#[test]
fn what_has_ended_endpoints_is_known_after_all_processes_were_killed() {
    let (mut fleet, engines) = Fleet::ready();
    end_three(&fleet, &engines);
    thread::sleep(KNOWN_WITHIN);
    for process in fleet.control.iter_mut().chain(&mut fleet.entries) {
        process.kill();
    }
    for process in fleet.control.iter_mut().chain(&mut fleet.entries) {
        process.start();
    }
    for entry in 0..2 {
        serves(&fleet, entry);
    }
    thread::sleep(KNOWN_WITHIN);
    let after = ends_by(&fleet, &engines, &[0, 1], 6);
    assert!(after <= MOST_AFTER, "it ended {after} more");
}

/// The caller of such a request has waited for an answer that never comes. It is told that this try was not run,
/// why, and when it may come back; an engineer on call finds the endpoints that ended in the log.
#[test]
fn the_caller_of_a_held_request_is_told_why() {
    let (fleet, engines) = Fleet::ready();
    end_three(&fleet, &engines);
    thread::sleep(KNOWN_WITHIN);
    for entry in 0..2 {
        let id = format!("told-{entry}");
        let answer = fleet.ask(entry, &deadly(&id)).expect("an answer");
        assert_eq!(answer.status(), 503, "{}", answer.text());
        assert!(answer.text().contains("quarantined"), "{}", answer.text());
        assert!(answer.text().contains("not_run"), "{}", answer.text());
        let after = answer.header("retry-after").expect("when to come back");
        let after: f64 = after.parse().expect("seconds");
        assert!(after > 3_000.0, "{after}");
    }
    let logs = || fleet.entries.iter().map(crate::fleet::Process::log);
    fleet.until("the lines are written", || {
        let ends: usize = logs()
            .map(|it| {
                it.matches("endpoint crashed while running the request")
                    .count()
            })
            .sum();
        ends >= 3 && logs().all(|it| it.contains("request is quarantined"))
    });
    let other = Ask {
        body: "another prompt",
        ..Ask::new("POST", "/resumable/x", "other")
    };
    let answer = fleet.ask(0, &other).expect("an answer");
    assert_eq!(answer.status(), 200, "{}", answer.text());
}

/// A request that many callers send runs at three engines that crash by something else, one after the other.
/// Each time it goes on elsewhere and is answered whole. Taken for the cause, it would be refused to all of them.
#[test]
fn a_request_that_ran_beside_the_cause_is_served() {
    let (fleet, engines) = Fleet::ready();
    let engines = &engines[..2];
    for round in 0..4 {
        for engine in engines {
            engine.does(Does::Hangs);
        }
        let id = format!("beside-{round}");
        let ask = Ask {
            body: "asked by many",
            ..Ask::new("POST", "/resumable/x", &id)
        };
        let answer = thread::scope(|scope| {
            let asking = scope.spawn(|| fleet.ask(round % 2, &ask));
            fleet.until("it runs", || engines.iter().any(|it| it.runs(&id) > 0));
            for engine in engines {
                engine.does(Does::Streams(3));
            }
            for engine in engines.iter().filter(|it| it.runs(&id) > 0) {
                engine.crash();
            }
            asking.join().expect("it was asked")
        });
        let answer = answer.expect("an answer");
        assert_eq!(answer.status(), 200, "{round}: {}", answer.text());
        // The one that crashed is back.
        thread::sleep(time::Duration::from_millis(700));
    }
    let logs = fleet.entries.iter().map(crate::fleet::Process::log);
    let ends: usize = logs
        .map(|it| {
            it.matches("endpoint crashed while running the request")
                .count()
        })
        .sum();
    assert!(ends >= 3, "seen to end: {ends}");
}

/// Engines fail a request again and again for a reason of their own, and live: more of them than may end before a
/// request is held. It may be served next time.
#[test]
fn a_request_that_fails_otherwise_is_not_held() {
    let (fleet, mut engines) = Fleet::ready();
    engines.push(fleet.engine("e3", "engines", 35, &["m1"]));
    let ways = [
        Does::Closes,
        Does::Fails(500),
        Does::AnswersShort,
        Does::CutsAfter(0),
    ];
    for (round, does) in ways.into_iter().enumerate() {
        for engine in &engines {
            engine.does(does);
        }
        let mut number = 0;
        let mut ids = Vec::new();
        fleet.until("each engine has failed it", || {
            number += 1;
            let id = format!("fails-{round}-{number}");
            let answer = fleet.ask(number % 2, &Ask::new("POST", "/resumable/x", &id));
            let is_held = answer.is_some_and(|it| it.text().contains("quarantined"));
            assert!(!is_held, "{does:?}, {id}");
            ids.push(id);
            let has_failed = |it: &&Engine| ids.iter().any(|id| it.runs(id) > 0);
            engines.iter().filter(has_failed).count() >= 3
        });
    }
    for engine in &engines {
        engine.does(Does::Answers);
    }
    fleet.until("it is served", || {
        let answer = fleet.ask(0, &Ask::new("POST", "/resumable/x", "at last"));
        answer.is_some_and(|it| it.status() == 200)
    });
}

/// An engine says that it stops, and is gone before a long request there is done. That is how engines are replaced,
/// one after the other, and no fault of the request.
#[test]
fn an_engine_that_stops_as_it_said_is_no_crash() {
    let (fleet, engines) = Fleet::ready();
    let engines = &engines[..2];
    for engine in engines {
        engine.does(Does::Hangs);
    }
    let ask = Ask::new("POST", "/resumable/x", "outlasted");
    let answer = thread::scope(|scope| {
        let asking = scope.spawn(|| fleet.ask(0, &ask));
        fleet.until("it runs", || {
            engines.iter().any(|it| it.runs("outlasted") > 0)
        });
        let at = engines.iter().find(|it| it.runs("outlasted") > 0);
        let at = at.expect("it runs there");
        for engine in engines {
            engine.does(Does::Streams(3));
        }
        at.leave();
        fleet.until("the entry process knows that it stops", || {
            let log = fleet.entries[0].log();
            log.lines()
                .any(|it| it.contains("Leaving") && it.contains(at.id()))
        });
        at.crash();
        asking.join().expect("it was asked")
    });
    let answer = answer.expect("an answer");
    assert_eq!(answer.status(), 200, "{}", answer.text());
    fleet.until("the failure is in the log", || {
        fleet.entries[0].log().contains("the request may have run")
    });
    let mut logs = fleet.entries.iter().map(crate::fleet::Process::log);
    let is_noted = logs.any(|it| it.contains("endpoint crashed while running the request"));
    assert!(!is_noted, "its end was taken for a crash");
}
