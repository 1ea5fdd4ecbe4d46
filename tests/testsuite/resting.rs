//! Engines that turn requests away and ask for rest.

use std::{thread, time};

use sageshed_test_support::fault;
use serde_json::json;

use crate::{ask::Ask, cluster};

/// Seconds of rest that the engine asks for.
const REST_S: u32 = 5;

/// For how long callers ask: less than a rest.
const LOAD: time::Duration = time::Duration::from_secs(4);

/// Requests that may come to the engine in that time from one entry process: one that it turns away, and two that were
/// on their way or came by an earlier choice.
const MOST: u64 = 3;

/// An engine turns a request away and asks for five seconds of rest. The entry process decoded that into the error of the
/// call and used it nowhere: it left the engine alone as one that is busy, for 200 ms, and later for as long as its
/// failures counted, and sent it four requests in four seconds.
#[test]
fn an_engine_gets_the_rest_that_it_asks_for() {
    let cluster = cluster::Cluster::start(cluster::Plan::default());
    cluster.wait_served();
    let before = requests(&cluster);
    cluster
        .standin
        .fault("e1", fault::Fault::Busy { rest_s: REST_S }, None);
    let begin = time::Instant::now();
    let mut number = 0;
    while begin.elapsed() < LOAD {
        number += 1;
        let body = json!({ "model": "m1", "prompt": format!("cellar {number}"), "max_tokens": 4 });
        let ask = Ask::post(&cluster.callers(0), "/v1/completions", &body);
        let answer = ask.send().expect("it is answered");
        assert_eq!(answer.status, 200, "the other engine serves it");
        thread::sleep(time::Duration::from_millis(20));
    }
    let came = requests(&cluster) - before;
    assert!(came > 0, "the engine was never asked");
    assert!(came <= MOST, "{came} requests in its rest");
}

/// Requests that came to the engine so far.
fn requests(cluster: &cluster::Cluster) -> u64 {
    let stats = cluster.standin.stats();
    let found = stats.endpoints.iter().find(|it| it.endpoint == "e1");
    found.map_or(0, |it| it.requests)
}
