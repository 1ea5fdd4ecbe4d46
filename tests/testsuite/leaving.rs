//! Endpoints that announce that they leave, and endpoints that die, under load.

use std::{thread, time};

use sageshed_test_support::{config, fault, load, stats};

use crate::cluster;

/// From its announcement to the last new request, at the most, in milliseconds.
const LEAVING_MS: u64 = 2_000;

/// How long the load goes on before something happens, and between two such things.
const PAUSE: time::Duration = time::Duration::from_millis(1_200);

fn start() -> cluster::Cluster {
    let engine = |name| config::Endpoint::engine(name, 10_000, &[("m1", 1_000)]);
    let cluster = cluster::Cluster::start(cluster::Plan {
        endpoints: vec![
            engine("e1"),
            engine("e2"),
            engine("e3"),
            config::Endpoint::service("crews-1", "crews"),
            config::Endpoint::service("crews-2", "crews"),
        ],
        ..cluster::Plan::default()
    });
    cluster.wait_served();
    cluster
}

/// Load over all entry processes while `happen` does what it does.
fn under_load(cluster: &cluster::Cluster, happen: impl FnOnce()) -> load::report::Report {
    let addresses = (0..3).map(|vm| cluster.callers(vm).replace("http://", ""));
    let weighted = |name: &str, weight| load::Weighted {
        name: name.to_owned(),
        weight,
    };
    let plan = load::Load {
        addresses: addresses.collect(),
        token: "alpha".to_owned(),
        rate: 90.0,
        seconds: 5.0,
        workers: 48,
        not_repeatable: 0.2,
        max_tokens: (4, 40),
        give_up_ms: 25_000,
        models: vec![weighted("m1", 3.0)],
        services: vec![weighted("crews", 1.0)],
        ..load::Load::default()
    };
    thread::scope(|scope| {
        let load = scope.spawn(|| load::run(&plan));
        happen();
        load.join().unwrap()
    })
}

fn of(cluster: &cluster::Cluster, endpoint: &str) -> stats::Endpoint {
    let stats = cluster.standin.stats();
    let found = stats
        .endpoints
        .into_iter()
        .find(|it| it.endpoint == endpoint);
    found.unwrap()
}

// An engine's VM is to be taken away in a minute. It says so to one entry process; the others must
// hear of it and stop sending new requests, or those are cut when it goes.
#[test]
fn an_endpoint_that_leaves_gets_no_new_request_after_two_seconds() {
    let cluster = start();
    let report = under_load(&cluster, || {
        thread::sleep(PAUSE);
        for endpoint in ["e1", "crews-1"] {
            cluster.until("it has load to lose", || {
                of(&cluster, endpoint).requests > 0
            });
            cluster.standin.fault(endpoint, fault::Fault::Leave, None);
        }
    });
    println!("{report}");
    for endpoint in ["e1", "crews-1"] {
        let last = of(&cluster, endpoint).last_after_leaving_ms;
        assert!(
            last.is_none_or(|ms| ms < LEAVING_MS),
            "{endpoint}: {last:?}"
        );
    }
    assert_eq!(report.completed, report.sent, "{report}");
}

// An engine dies and is back at once, with empty memory; later an instance of the plain service
// does the same. Entry processes still have connections to the dead ones, and requests under way.
#[test]
fn every_request_is_accounted_for_while_endpoints_crash_and_restart() {
    let cluster = start();
    let incarnations = ["e2", "crews-2"].map(|it| of(&cluster, it).incarnation);
    let report = under_load(&cluster, || {
        thread::sleep(PAUSE);
        cluster.standin.fault("e2", fault::Fault::Crash, None);
        thread::sleep(PAUSE);
        cluster.standin.fault("crews-2", fault::Fault::Crash, None);
    });
    println!("{report}");
    let refused: u64 = report.refused.values().sum();
    assert!(
        report.lost.is_empty() && report.wrong.is_empty(),
        "{report}"
    );
    assert_eq!(report.completed + refused, report.sent, "{report}");
    assert!(report.completed > report.sent * 3 / 4, "{report}");
    let again = cluster.standin.stats().keys_run_again;
    assert!(again.is_empty(), "keys that ran again: {again:?}");
    let restarted = ["e2", "crews-2"].map(|it| of(&cluster, it).incarnation);
    assert!(incarnations[0] < restarted[0] && incarnations[1] < restarted[1]);
}
