//! A caller who has left costs nobody else anything.

use std::{
    io::{BufRead as _, BufReader, Read as _},
    net,
};

use sageshed_test_support::{config, fault, stats};

use crate::{
    ask::{self, Ask},
    cluster,
};

/// Tokens of an answer that takes longer than any test waits.
const ENDLESS: u32 = 50_000;

fn start() -> cluster::Cluster {
    let mut engine = config::Endpoint::engine("e1", 10_000, &[("m1", 1_000)]);
    engine.slots = 1;
    let cluster = cluster::Cluster::start(cluster::Plan {
        endpoints: vec![engine, config::Endpoint::service("crews-1", "crews")],
        ..cluster::Plan::default()
    });
    cluster.wait_served();
    cluster
}

fn of(cluster: &cluster::Cluster, endpoint: &str) -> stats::Endpoint {
    let stats = cluster.standin.stats();
    let found = stats
        .endpoints
        .into_iter()
        .find(|it| it.endpoint == endpoint);
    found.unwrap()
}

/// A figure of the first entry process, over all its labels.
fn gauge(cluster: &cluster::Cluster, name: &str) -> f64 {
    let url = format!("{}/metrics", cluster.callers(0));
    let text = ureq::get(&url).call().unwrap().into_string().unwrap();
    let named = |line: &&str| {
        let rest = line.strip_prefix(name);
        rest.is_some_and(|rest| rest.starts_with(['{', ' ']))
    };
    let values: Vec<f64> = text
        .lines()
        .filter(named)
        .map(|line| line.rsplit(' ').next().unwrap().parse().unwrap())
        .collect();
    assert!(!values.is_empty(), "no {name} in {text}");
    values.iter().sum()
}

// A clerk closes the page while the engine still writes the answer. The engine would go on for
// nobody, and those who wait for its slot would wait for nothing.
#[test]
fn the_run_of_a_caller_who_left_is_cancelled_and_its_slot_is_free() {
    for ask in [Ask::completion, Ask::stream] {
        let cluster = start();
        let endless = ask(&cluster.callers(0), "m1", ENDLESS);
        let runs = of(&cluster, "e1").runs;
        let socket = endless.send_only();
        cluster.until("it runs", || of(&cluster, "e1").runs == runs + 1);
        if endless.body.contains("\"stream\":true") {
            let mut line = String::new();
            BufReader::new(&socket).read_line(&mut line).unwrap();
            assert!(line.contains("200"), "{line}");
        }
        drop(socket);
        cluster.until("it is cancelled", || of(&cluster, "e1").cancelled == 1);
        cluster.until("the slot is free", || {
            gauge(&cluster, "sageshed_requests_in_flight") == 0.0
        });
        let next = Ask::completion(&cluster.callers(0), "m1", 2)
            .send()
            .unwrap();
        assert_eq!(next.status, 200, "{}", next.body);
    }
}

// A caller leaves while its request waits for a slot. It must not be sent when the slot comes free.
#[test]
fn a_queued_request_whose_caller_left_is_not_sent() {
    let cluster = start();
    let ask = Ask::completion(&cluster.callers(0), "m1", ENDLESS);
    let before = of(&cluster, "e1").requests;
    let mut running = Vec::new();
    while gauge(&cluster, "sageshed_requests_queued") == 0.0 {
        assert!(running.len() < 8, "nothing queues: {}", cluster.logs());
        running.push(ask.send_only());
        let open = running.len() as f64;
        cluster.until("it is taken in", || {
            gauge(&cluster, "sageshed_requests_open") >= open
        });
    }
    let sent = of(&cluster, "e1").requests - before;
    drop(running.pop());
    cluster.until("the queue is empty", || {
        gauge(&cluster, "sageshed_requests_queued") == 0.0
    });
    drop(running);
    cluster.until("nothing is open", || {
        gauge(&cluster, "sageshed_requests_open") == 0.0
    });
    assert_eq!(of(&cluster, "e1").requests - before, sent);
}

// A caller leaves a plain service's call. The service knows nothing of cancellations: a `POST` to
// some path that it never offered is one more call to it, under the same request id.
#[test]
fn a_plain_service_is_not_sent_cancellations() {
    let cluster = start();
    let before = of(&cluster, "crews-1").requests;
    let late = sageshed_test_support::fault::Fault::Late { delay_ms: 800 };
    cluster.standin.fault("crews-1", late, Some(1));
    let body = serde_json::json!({ "crew": 1 });
    let call = Ask::service(&cluster.callers(0), "crews", &body).keyed("left");
    let mut socket = call.send_only();
    cluster.until("it is sent", || {
        let is_sent = of(&cluster, "crews-1").requests == before + 1;
        // It is refused, not run, while the control group has no leader to record its claim.
        if !is_sent && ask::has_response(&socket) {
            socket = call.send_only();
        }
        is_sent
    });
    drop(socket);
    cluster.until("the caller is known to have left", || {
        gauge(&cluster, "sageshed_requests_in_flight") == 0.0
    });
    cluster.until("it has run", || cluster.standin.runs_of_key("left") == 1);
    // The answer was taken although nobody reads it: a retry gets it.
    let retry = call.clone();
    cluster.until("the answer is recorded", || {
        retry.send().unwrap().header("sageshed-replayed").is_some()
    });
    assert_eq!(of(&cluster, "crews-1").requests, before + 1);
}

/// Guards against telling a caller that has ended only its sending side that its request was not run, while an endpoint runs
/// it, or while it waits for another endpoint after one that may have run it.
#[test]
fn a_caller_that_has_ended_its_sending_side_is_told_that_its_request_may_have_run() {
    let cluster = start();
    let runs = || of(&cluster, "e1").runs;
    let cut = fault::Fault::Cut { after: 2 };
    for (fault, tokens) in [(fault::Fault::None, ENDLESS), (cut, 50)] {
        cluster.standin.fault("e1", fault, None);
        for _ in 0..5 {
            let before = runs();
            let ask = Ask::completion(&cluster.callers(0), "m1", tokens);
            let mut socket = ask.send_only();
            cluster.until("it runs, or is refused", || {
                runs() > before || ask::has_response(&socket)
            });
            let has_run = runs() > before;
            socket.shutdown(net::Shutdown::Write).unwrap();
            let mut answer = String::new();
            // A connection that is reset promises nothing.
            drop(socket.read_to_string(&mut answer));
            assert!(!has_run || !answer.contains("not_run"), "{answer}");
        }
    }
}
