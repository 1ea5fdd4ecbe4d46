//! Requests to endpoints that have announced that they leave.

use std::{thread, time};

use crate::{
    fleet::{Fleet, Process},
    load::{self, Load},
    standin::engine::Engine,
};

/// How long after its announcement was acknowledged a leaving endpoint may still receive requests.
const DRAIN_TIME: time::Duration = time::Duration::from_millis(2_500);

/// The requests that arrive at each entry process while it is paused.
const REQUESTS: usize = 8;

const LOAD: Load = Load {
    path: "/stream/x",
    deadline_ms: 8_000,
};

/// Pauses all entry processes while requests arrive at them and `leaving` announces that it leaves. Returns when
/// that had been acknowledged, and the number of requests that were served.
fn leave_in_a_pause(fleet: &Fleet, leaving: &Engine) -> (time::Instant, usize) {
    fleet.entries.iter().for_each(|it| it.signal("STOP"));
    leaving.leave();
    thread::scope(|scope| {
        let ask = |entry: usize, number: usize| {
            let id = format!("paused-{entry}-{number}");
            load::ask(fleet, entry, &LOAD, &id, 1_000 * (entry + 1) + number)
        };
        let callers: Vec<_> = (0..fleet.entries.len() * REQUESTS)
            .map(|it| scope.spawn(move || ask(it / REQUESTS, it % REQUESTS)))
            .collect();
        fleet.until("a control process knows that it leaves", || {
            let mut logs = fleet.control.iter().map(Process::log);
            logs.any(|it| it.contains("Leaving"))
        });
        let acknowledged = time::Instant::now();
        thread::sleep(DRAIN_TIME);
        fleet.entries.iter().for_each(|it| it.signal("CONT"));
        let answers = callers.into_iter().map(|it| it.join().expect("it asks"));
        let served = answers.flatten().filter(|it| it.status() == 200).count();
        (acknowledged, served)
    })
}

/// Guards against entry processes that send requests by records from before a pause.
#[test]
fn no_request_reaches_a_leaving_endpoint_after_a_pause_of_entry_processes() {
    for entries in [3, 30] {
        let (fleet, mut engines) = Fleet::many_ready(entries, "");
        engines.push(fleet.engine("e3", "engines", 35, &["m1"]));
        let (acknowledged, served) = leave_in_a_pause(&fleet, &engines[0]);
        let late = engines[0].log(|log| {
            let arrived = log.arrived.iter();
            arrived
                .filter(|it| it.at >= acknowledged + DRAIN_TIME)
                .count()
        });
        let sent = usize::from(entries) * REQUESTS;
        assert_eq!(late, 0, "of {sent} with {entries} entry processes");
        assert_eq!(served, sent, "with {entries} entry processes");
    }
}
