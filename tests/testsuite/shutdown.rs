//! An entry process that is told to stop cuts nobody, unless it is told again.

use std::thread;

use sageshed_test_support::config;
use sageshed_types::messages;

use crate::{
    ask::{self, Ask},
    cluster,
};

/// Requests of each kind in flight.
const IN_FLIGHT: usize = 10;

fn start() -> cluster::Cluster {
    let mut engine = config::Endpoint::engine("e1", 10_000, &[("m1", 1_000)]);
    engine.slots = 64;
    let cluster = cluster::Cluster::start(cluster::Plan {
        endpoints: vec![engine, config::Endpoint::service("crews-1", "crews")],
        ..cluster::Plan::default()
    });
    cluster.wait_served();
    cluster
}

fn runs(cluster: &cluster::Cluster) -> u64 {
    let stats = cluster.standin.stats();
    let engine = stats.endpoints.iter().find(|it| it.endpoint == "e1");
    engine.unwrap().runs
}

/// Sends plain and streamed requests through the first entry process, and waits until all run.
fn send_all(
    cluster: &cluster::Cluster,
    tokens: u32,
) -> Vec<thread::JoinHandle<Result<ask::Answer, String>>> {
    let before = runs(cluster);
    let base = cluster.callers(0);
    let asks = [
        Ask::completion(&base, "m1", tokens),
        Ask::stream(&base, "m1", tokens),
    ];
    let sent: Vec<_> = (0..IN_FLIGHT)
        .flat_map(|_| asks.clone())
        .map(|ask| thread::spawn(move || ask.send()))
        .collect();
    let all = before + sent.len() as u64;
    cluster.until("all requests run", || runs(cluster) == all);
    sent
}

fn readyz(cluster: &cluster::Cluster) -> Option<u16> {
    let url = format!("{}/readyz", cluster.callers(0));
    match ureq::get(&url).call() {
        Ok(resp) | Err(ureq::Error::Status(_, resp)) => Some(resp.status()),
        Err(ureq::Error::Transport(_)) => None,
    }
}

// A VM is updated: its entry process is told to stop while plain and streamed answers are on their
// way. The balancer has to see at once that it should send nobody, and each caller has to get the
// whole answer; then the process ends by itself and without a failure.
#[test]
fn a_stop_cuts_no_request() {
    let mut cluster = start();
    let sent = send_all(&cluster, 600);
    cluster.signal(messages::Role::Entry, 0, "TERM");
    let mut seen = None;
    cluster.until("readyz is red", || {
        seen = readyz(&cluster);
        seen != Some(200)
    });
    assert_eq!(
        seen,
        Some(503),
        "the balancer is told before the port closes"
    );
    for request in sent {
        let answer = request.join().unwrap().unwrap();
        ask::check_whole(&answer).unwrap_or_else(|e| panic!("{e}: {}", answer.body));
    }
    let status = cluster.wait_ended(messages::Role::Entry, 0);
    assert!(status.success(), "{status}");
    let log = cluster.log("entry", 0);
    assert!(
        log.contains("entry: stopped") && !log.contains("they are cut"),
        "{log}"
    );
}

// The operator does not want to wait for answers that take minutes, and signals again. The process
// ends at once, and says how many it cut.
#[test]
fn a_second_stop_is_obeyed_at_once_and_names_what_it_cuts() {
    let mut cluster = start();
    let sent = send_all(&cluster, 100_000);
    cluster.signal(messages::Role::Entry, 0, "TERM");
    cluster.until("readyz is red", || readyz(&cluster) != Some(200));
    cluster.signal(messages::Role::Entry, 0, "TERM");
    let status = cluster.wait_ended(messages::Role::Entry, 0);
    assert!(status.success(), "{status}");
    let cut = sent.len();
    for request in sent {
        request.join().unwrap().unwrap_err();
    }
    let log = cluster.log("entry", 0);
    let says = log.lines().find(|line| line.contains("they are cut"));
    let named = format!("requests={cut}");
    assert!(says.is_some_and(|line| line.contains(&named)), "{says:?}");
}
