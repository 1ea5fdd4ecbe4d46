//! What a stand-in engine counts, since the proofs of the promises rest on it.

use std::{
    thread,
    time::{Duration, Instant},
};

use sageshed_engines::{client, orders, transport};
use sageshed_test_support::{config, fault, standin};
use sageshed_types::endpoints;

fn start() -> standin::Standin {
    let cfg = config::Config {
        time_scale: 1_000.0,
        endpoints: vec![config::Endpoint::engine("e1", 1_000, &[("m1", 400)])],
        ..config::Config::default()
    };
    standin::Standin::start(cfg).expect("a stand-in")
}

fn order(standin: &standin::Standin, id: u64, task: endpoints::Task) -> orders::Sent {
    let client = client::Client::new(transport::Settings::default());
    let order = endpoints::Order {
        order: endpoints::OrderId(id),
        endpoint: "e1".to_owned(),
        incarnation: standin.identity("e1").incarnation,
        fence: endpoints::Fence(id),
        task,
    };
    client.order(&standin.address("e1"), &order)
}

fn load(model: &str, memory_mib: u64, base: Option<&str>) -> endpoints::Task {
    endpoints::Task::Load {
        model: model.to_owned(),
        version: 1,
        memory_mib,
        base: base.map(str::to_owned),
    }
}

/// Waits until `done`, for a bounded time.
fn wait(standin: &standin::Standin, done: impl Fn(&standin::Standin) -> bool) {
    let begun = Instant::now();
    while !done(standin) {
        assert!(
            begun.elapsed() < Duration::from_secs(20),
            "{:?}",
            standin.stats()
        );
        thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn memory_past_the_bound_is_counted() {
    struct Case {
        memory_mib: u64,
        overcommits: u64,
    }
    let cases = [
        Case {
            memory_mib: 600,
            overcommits: 0,
        },
        Case {
            memory_mib: 601,
            overcommits: 1,
        },
    ];
    for case in cases {
        let standin = start();
        let sent = order(&standin, 1, load("m2", case.memory_mib, None));
        assert_eq!(sent, orders::Sent::Accepted);
        let stats = &standin.stats().endpoints[0];
        assert_eq!(stats.overcommits, case.overcommits);
        assert_eq!(stats.most_memory_mib, 400 + case.memory_mib);
    }
}

#[test]
fn orders_that_cannot_be_carried_out_are_refused() {
    let unload = endpoints::Task::Unload {
        model: "m9".to_owned(),
        version: 1,
    };
    let cases = [load("m1", 400, None), load("a1", 10, Some("m9")), unload];
    for task in cases {
        let standin = start();
        let sent = order(&standin, 1, task);
        assert!(matches!(sent, orders::Sent::Refused { .. }), "{sent:?}");
        assert_eq!(standin.stats().endpoints[0].orders_refused, 1);
    }
}

#[test]
fn a_load_and_an_unload_come_to_their_end() {
    let standin = start();
    assert_eq!(
        order(&standin, 1, load("m2", 100, None)),
        orders::Sent::Accepted
    );
    wait(&standin, |standin| standin.stats().endpoints[0].loads == 1);
    let unload = endpoints::Task::Unload {
        model: "m2".to_owned(),
        version: 1,
    };
    assert_eq!(order(&standin, 2, unload), orders::Sent::Accepted);
    wait(&standin, |standin| {
        standin.stats().endpoints[0].unloads == 1
    });
}

#[test]
fn a_crash_empties_memory_and_raises_the_incarnation() {
    let standin = start();
    let before = standin.identity("e1").incarnation;
    standin.fault("e1", fault::Fault::Crash, None);
    assert!(standin.identity("e1").incarnation > before);
    let sent = order(&standin, 1, load("a1", 10, Some("m1")));
    assert!(
        matches!(sent, orders::Sent::Refused { .. }),
        "m1 is gone: {sent:?}"
    );
}
