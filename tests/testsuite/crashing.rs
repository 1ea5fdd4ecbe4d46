//! A request that makes each engine crash that runs it.

use std::{thread, time};

use sageshed_test_support::{config, fault};
use serde_json::json;

use crate::{ask::Ask, cluster};

/// Within this time of the third crash all entry processes know of it.
const KNOWN_WITHIN: time::Duration = time::Duration::from_secs(3);

/// How many engines such a request may make crash after that.
const MOST_AFTER: u64 = 3;

/// Three engines, of which each is loaded anew within some ten milliseconds.
fn start() -> cluster::Cluster {
    let mut plan = cluster::Plan::default();
    plan.endpoints
        .push(config::Endpoint::engine("e3", 10_000, &[("m1", 1_000)]));
    let cluster = cluster::Cluster::start(plan);
    cluster.wait_served();
    cluster
}

fn prompt(cluster: &cluster::Cluster, vm: usize, prompt: &str) -> Ask {
    let body = json!({ "model": "m1", "prompt": prompt, "max_tokens": 4 });
    Ask::post(&cluster.callers(vm), "/v1/completions", &body).with("Sageshed-Deadline-Ms", "3000")
}

fn crashes(cluster: &cluster::Cluster) -> u64 {
    let stats = cluster.standin.stats();
    stats.endpoints.iter().map(|it| it.crashes).sum()
}

/// Waits until engines hold the model again after a crash.
fn wait_loaded(cluster: &cluster::Cluster, vm: usize) {
    cluster.until("an engine serves", || {
        let answer = prompt(cluster, vm, "a cellar floods").send();
        answer.is_ok_and(|it| it.status == 200)
    });
}

/// Sends it to one entry process after the other until three engines have crashed.
fn crash_three(cluster: &cluster::Cluster) {
    let mut vm = 0;
    cluster.until("three engines have crashed", || {
        vm = (vm + 1) % cluster.vms();
        wait_loaded(cluster, vm);
        // What comes back is no matter here.
        drop(prompt(cluster, vm, fault::DEADLY).send());
        crashes(cluster) >= 3
    });
    thread::sleep(KNOWN_WITHIN);
}

/// A prompt makes each engine crash that reads it. Its caller sends it again, to other entry processes, and each
/// passes it on to as many engines as one request may have: the pool is gone for as long as that goes on. A
/// process counts the engines of one request, and the next one has another id.
#[test]
fn a_prompt_that_makes_engines_crash_is_not_sent_on_and_on() {
    let cluster = start();
    crash_three(&cluster);
    let before = crashes(&cluster);
    let mut refused = 0;
    for number in 0..9 {
        let vm = number % cluster.vms();
        wait_loaded(&cluster, vm);
        let answer = prompt(&cluster, vm, fault::DEADLY).send();
        let is_held = answer.is_ok_and(|it| it.account("reason") == "quarantined");
        refused += usize::from(is_held);
    }
    let after = crashes(&cluster) - before;
    assert!(
        after <= MOST_AFTER,
        "{after} more crashed\n{}",
        cluster.logs()
    );
    assert!(refused >= 6, "its caller is told: {refused} of 9");
}
