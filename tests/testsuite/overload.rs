//! More load than the engines can serve.

use std::thread;

use sageshed_test_support::{config, load};

use crate::{ask::Ask, cluster};

/// Of all engines together, in requests a second: eight slots, 0.21 s each.
const CAPACITY: f64 = 38.0;

/// The share of the urgent class.
const URGENT: f64 = 0.1;

/// Time that each request has, in milliseconds.
const DEADLINE_MS: u64 = 1_000;

fn start() -> cluster::Cluster {
    let engine = |name| config::Endpoint {
        slots: 4,
        ..config::Endpoint::engine(name, 10_000, &[("m1", 1_000)])
    };
    let cluster = cluster::Cluster::start(cluster::Plan {
        endpoints: vec![
            engine("e1"),
            engine("e2"),
            config::Endpoint::service("crews-1", "crews"),
        ],
        ..cluster::Plan::default()
    });
    cluster.wait_served();
    cluster
}

fn load(cluster: &cluster::Cluster, token: &str, class: &str, rate: f64) -> load::Load {
    let addresses = (0..3).map(|vm| cluster.callers(vm).replace("http://", ""));
    load::Load {
        addresses: addresses.collect(),
        token: token.to_owned(),
        rate,
        seconds: 3.0,
        workers: 96,
        max_tokens: (100, 100),
        give_up_ms: 20_000,
        models: vec![load::Weighted {
            name: "m1".to_owned(),
            weight: 1.0,
        }],
        classes: vec![load::Class {
            name: class.to_owned(),
            weight: 1.0,
            deadline_ms: DEADLINE_MS,
        }],
        ..load::Load::default()
    }
}

// A flood night: everybody asks at once, up to ten times what the engines can do. If all were taken
// in, all would be late. So the rest is refused while there is time to turn elsewhere, with the time
// to come back, and the urgent class is served as if nothing was the matter.
#[test]
fn past_capacity_the_urgent_class_is_served_and_the_rest_is_refused_with_an_account() {
    for factor in [1.5, 3.0, 10.0] {
        let cluster = start();
        let usual = load(
            &cluster,
            "alpha",
            "usual",
            CAPACITY * factor * (1.0 - URGENT),
        );
        let urgent = load(
            &cluster,
            "beta",
            "urgent",
            CAPACITY * factor.min(3.0) * URGENT,
        );
        let (usual, urgent, refusal) = thread::scope(|scope| {
            let usual = scope.spawn(|| load::run(&usual));
            let urgent = scope.spawn(|| load::run(&urgent));
            let refusal = scope.spawn(|| a_refusal(&cluster));
            (
                usual.join().unwrap(),
                urgent.join().unwrap(),
                refusal.join().unwrap(),
            )
        });
        println!("{factor} usual\n{usual}\n{factor} urgent\n{urgent}");
        for report in [&usual, &urgent] {
            assert!(
                report.lost.is_empty() && report.wrong.is_empty(),
                "{factor}: {report}"
            );
            let refused: u64 = report.refused.values().sum();
            assert_eq!(
                report.completed + refused,
                report.sent,
                "{factor}: {report}"
            );
            for kind in report.refused.keys() {
                let early = kind.starts_with("deadline_unmeetable not_run");
                let bounded = kind.starts_with("queue_full not_run");
                let late = kind.starts_with("deadline_passed may_have_run");
                assert!(early || bounded || late, "{factor}: {report}");
            }
        }
        assert!(urgent.completed * 2 > urgent.sent, "{factor}: {urgent}");
        assert!(usual.completed > 0, "{factor}: {usual}");
        if factor > 2.0 {
            let (answer, share) = (
                refusal.expect("a refusal"),
                usual.completed * 10 / usual.sent,
            );
            assert!(share < 9, "{factor}: not an overload: {usual}");
            assert_ne!(answer.header("retry-after"), None, "{}", answer.body);
            assert_eq!(
                answer.header("x-should-retry"),
                Some("true"),
                "{}",
                answer.body
            );
        }
    }
}

/// Asks until it is refused for want of time, a few times.
fn a_refusal(cluster: &cluster::Cluster) -> Option<crate::ask::Answer> {
    let ask = Ask::completion(&cluster.callers(0), "m1", 100)
        .with("Sageshed-Deadline-Ms", &DEADLINE_MS.to_string());
    let answers = (0..200).map(|_| ask.send().unwrap());
    answers
        .into_iter()
        .find(|answer| answer.account("verdict") == "not_run")
}
