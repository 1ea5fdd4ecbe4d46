//! Slots of plain services that coordinators grant.

use sageshed_fleet::entry_peers;

use crate::{
    fleet::Fleet,
    standin::{caller::Request, engine::Behavior},
};

/// The smallest number of entry processes with coordinators.
const ENTRIES: u8 = 13;

const SETTINGS: &str = "[retries]\nratio = 0.2\nslack = 5.0\nwindow_ms = 10000\n\
                        [shared_queue]\nenabled = true\n";

fn serve(fleet: &Fleet, entry: usize, path: &str, id: &str) {
    let answer = fleet.ask(entry, &Request::new("GET", path, id));
    let answer = answer.expect("an answer");
    assert_eq!(answer.status(), 200, "{id}: {}", answer.text());
}

/// Guards against requests that depend on one process: each gets its slot from the coordinator, and when that has
/// been killed, the others serve their requests all the same and turn to the second coordinator. The part that each
/// process has of the retry budget is too small for one retry, so that a 500 of an endpoint is followed by a retry
/// only with the budget of the coordinator.
#[test]
fn slots_are_granted_by_a_coordinator_and_without_it() {
    let (mut fleet, engines) = Fleet::many_ready(ENTRIES, SETTINGS);
    for process in &fleet.entries {
        fleet.until("all entry processes are known", || {
            process.metric("sageshed_gateway_entries{") >= f64::from(ENTRIES)
        });
    }
    let ips: Vec<_> = fleet.entries.iter().map(|it| it.ip).collect();
    let coordinators = entry_peers::coordinators(entry_peers::name_key("plain"), &ips);
    let at = |coordinator| ips.iter().position(|it| *it == coordinator).expect("known");
    let (first, second) = (at(coordinators[0]), at(coordinators[1]));
    let granted = "sageshed_gateway_slot_leases{what=\"granted\"";
    let before = fleet.entries[first].metric(granted);
    for entry in 0..usize::from(ENTRIES) {
        serve(&fleet, entry, "/once/x", &format!("led-{entry}"));
    }
    let count = fleet.entries[first].metric(granted) - before;
    assert!(count >= f64::from(ENTRIES) / 2.0, "{count} grants");
    // The endpoint that is preferred at present.
    let mut plain = engines.iter();
    let failing = plain.find(|it| it.runs("led-12") > 0).expect("one ran it");
    failing.set_behavior(Behavior::Fails(500));
    let mut number = 0;
    fleet.until("the failing endpoint has run a request", || {
        number += 1;
        let id = format!("retried-{number}");
        serve(&fleet, number % usize::from(ENTRIES), "/again/x", &id);
        failing.runs(&id) > 0
    });
    failing.set_behavior(Behavior::Answers);
    fleet.entries[first].kill();
    for round in 0..3 {
        for entry in (0..usize::from(ENTRIES)).filter(|it| *it != first) {
            let id = format!("alone-{round}-{entry}");
            serve(&fleet, entry, "/once/x", &id);
        }
    }
    assert!(fleet.entries[second].metric(granted) > 0.0);
    let ran = engines.iter().flat_map(|it| it.log(|log| log.ran.clone()));
    let mut ids: Vec<_> = ran
        .filter_map(|it| it.header("attempt-id").map(str::to_owned))
        .filter(|it| it.starts_with("led") || it.starts_with("alone"))
        .collect();
    let count = ids.len();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), count, "a request ran twice");
}
