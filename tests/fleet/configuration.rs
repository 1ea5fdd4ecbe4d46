//! The operator's configuration: it comes into force everywhere, is never replaced by an older one, and is read back
//! as it was sent.

use std::sync::{Arc, atomic};
use std::thread;

use crate::{
    fleet::Fleet,
    standin::{caller::Request, operator},
};

fn route(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"a.example","path_prefix":"/{name}/","kind":"idempotent","timeout_ms":3000,"latency_target_ms":300,"priority":2,"service":"plain","attempts":1}},"#
    )
}

fn status(fleet: &Fleet, entry: usize, path: &str) -> u16 {
    let answer = fleet.ask(entry, &Request::new("GET", path, "look"));
    answer.map_or(0, |it| it.status())
}

/// Guards against a 404 before the operator's first configuration, when no process knows yet which routes there are.
#[test]
fn without_a_configuration_callers_are_told_to_come_back() {
    let fleet = Fleet::start(3, 1);
    fleet.until("the entry process listens", || {
        status(&fleet, 0, "/again/x") == 503
    });
    assert_eq!(fleet.entries[0].ready(), 503);
}

#[test]
fn a_configuration_is_in_force_at_every_entry_and_reads_back_as_sent() {
    let (fleet, _engines) = Fleet::ready();
    let config = operator::config_with(20, &route("new"));
    fleet.replace(&config);
    for entry in 0..2 {
        fleet.until("the new route is served", || {
            status(&fleet, entry, "/new/x") == 200
        });
        assert_eq!(status(&fleet, entry, "/never/x"), 404);
    }
    assert_eq!(fleet.read_back(), config);
    fleet.replace(&operator::config(30));
    for entry in 0..2 {
        fleet.until("the route is gone", || {
            status(&fleet, entry, "/new/x") == 404
        });
    }
}

/// Guards against an old configuration that replaces a newer one, when the operator's tool repeats a call after a later
/// change. The call is acknowledged and changes nothing.
#[test]
fn an_overtaken_configuration_is_acknowledged_and_changes_nothing() {
    let (fleet, _engines) = Fleet::ready();
    let newest = operator::config_with(40, &route("new"));
    fleet.replace(&newest);
    fleet.replace(&operator::config(35));
    fleet.replace(&operator::config(40));
    assert_eq!(fleet.read_back(), newest);
    for entry in 0..2 {
        fleet.until("the new route is served", || {
            status(&fleet, entry, "/new/x") == 200
        });
    }
}

/// Guards against a configuration that is in force and whose repeats are never acknowledged: each was committed anew, which
/// takes longer than a call where the configuration is large or the group slow.
#[test]
fn a_configuration_that_is_held_is_acknowledged_without_another_commit() {
    let (mut fleet, _engines) = Fleet::ready();
    let held = operator::config_with(20, &route("new"));
    fleet.replace(&held);
    fleet.until("the first control process holds it", || {
        let is_acknowledged = Fleet::try_replace(&fleet.control[0], &held) == 200;
        is_acknowledged && fleet.control[0].log().contains("held already")
    });
    for control in &mut fleet.control[1..] {
        control.kill();
    }
    // The other two may still be known as leaders when they have ended.
    for (version, status) in [(21, 503), (20, 200), (10, 200)] {
        let config = operator::config_with(version, &route("new"));
        fleet.until("it is answered", || {
            Fleet::try_replace(&fleet.control[0], &config) == status
        });
    }
}

#[test]
fn an_invalid_configuration_is_refused_and_changes_nothing() {
    let (fleet, _engines) = Fleet::ready();
    let good = operator::config_with(50, &route("new"));
    let cases = [
        ("cut short", good[..good.len() - 9].to_owned()),
        (
            "unknown service",
            good.replacen("\"plain\"", "\"nowhere\"", 1),
        ),
        (
            "same place",
            operator::config_with(50, &(route("new") + &route("new"))),
        ),
        (
            "no time",
            good.replacen("\"timeout_ms\":3000", "\"timeout_ms\":0", 1),
        ),
        (
            "no weight",
            good.replacen(
                "\"service\":\"plain\"",
                "\"weighted_clusters\":[{\"service\":\"plain\",\"weight\":0}]",
                1,
            ),
        ),
    ];
    for (name, config) in cases {
        for control in &fleet.control {
            assert_eq!(Fleet::try_replace(control, &config), 400, "{name}");
        }
    }
    assert_eq!(fleet.read_back(), operator::config(10));
    assert_eq!(status(&fleet, 0, "/new/x"), 404);
}

/// Guards against requests that are interrupted or refused by frequent changes of other routes.
#[test]
fn frequent_changes_interrupt_no_request() {
    let (fleet, _engines) = Fleet::ready();
    let fleet = Arc::new(fleet);
    let done = Arc::new(atomic::AtomicBool::new(false));
    let (asking, stop) = (Arc::clone(&fleet), Arc::clone(&done));
    let caller = thread::spawn(move || {
        let mut statuses = Vec::new();
        while !stop.load(atomic::Ordering::SeqCst) {
            statuses.push(status(&asking, 0, "/again/x"));
        }
        statuses
    });
    for version in 100..140 {
        fleet.replace(&operator::config_with(
            version,
            &route(&format!("r{version}")),
        ));
    }
    done.store(true, atomic::Ordering::SeqCst);
    let statuses = caller.join().expect("it asked");
    assert!(statuses.iter().all(|it| *it == 200), "{statuses:?}");
    for entry in 0..2 {
        fleet.until("the newest is in force", || {
            status(&fleet, entry, "/r139/x") == 200
        });
        assert_eq!(status(&fleet, entry, "/r138/x"), 404);
    }
}

/// Guards against sending a large configuration completely after each small change. Entry processes receive a delta,
/// and only one that starts receives the complete configuration.
#[test]
fn an_entry_process_is_told_what_changed_and_the_whole_at_its_start() {
    let (mut fleet, _engines) = Fleet::ready();
    let received = "received a configuration as a delta";
    for (version, name) in [(20, "first"), (30, "second")] {
        fleet.replace(&operator::config_with(version, &route(name)));
        for entry in 0..2 {
            let path = format!("/{name}/x");
            fleet.until("the new route is served", || {
                status(&fleet, entry, &path) == 200
            });
        }
    }
    for entry in &fleet.entries {
        assert!(entry.log().contains(received), "{}", entry.log());
    }
    fleet.entries[0].kill();
    let before = fleet.entries[0].log().len();
    fleet.entries[0].start();
    fleet.until("it serves by the newest", || {
        status(&fleet, 0, "/second/x") == 200
    });
    assert_eq!(status(&fleet, 0, "/first/x"), 404);
    // A control process that is one heartbeat behind may send the previous configuration first, and then the newest as
    // a delta.
    let log = fleet.entries[0].log().split_off(before);
    let first = log
        .lines()
        .find(|it| it.contains("\"message\":\"received a "));
    let first = first.expect("one came");
    assert!(
        first.contains("received a complete configuration"),
        "{first}"
    );
}
