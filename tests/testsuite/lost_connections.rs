//! Open connections to endpoints go silent for good while new ones work: something between the two
//! ends has lost track of them.

use std::thread;

use sageshed_test_support::{config, fault, relay};

use crate::{
    ask::{self, Ask},
    cluster,
};

/// Requests at once.
const AT_ONCE: usize = 6;

/// A cluster whose endpoints are reached through relays.
struct Relayed {
    cluster: cluster::Cluster,
    relays: Vec<relay::Relay>,
}

impl Relayed {
    fn start() -> Self {
        let mut plan = cluster::Plan::default();
        for endpoint in &mut plan.endpoints {
            endpoint.tokens_per_second = 20.0;
        }
        let relays = plan
            .endpoints
            .iter_mut()
            .map(cluster::put_behind_relay)
            .collect();
        let cluster = cluster::Cluster::start(plan);
        cluster.wait_served();
        Self { cluster, relays }
    }

    fn lose_track(&self) {
        self.relays.iter().for_each(relay::Relay::lose_track);
    }
}

/// Sends the same request several times at once.
fn send_at_once(ask: &Ask) -> Vec<Result<ask::Answer, String>> {
    thread::scope(|scope| {
        let sent: Vec<_> = (0..AT_ONCE).map(|_| scope.spawn(|| ask.send())).collect();
        sent.into_iter().map(|it| it.join().unwrap()).collect()
    })
}

/// How often a request was sent to an endpoint, by the log of the entry process.
fn tries(cluster: &cluster::Cluster, request_id: &str) -> usize {
    let log = cluster.log("entry", 0);
    let of_it = |line: &&str| line.contains(request_id) && line.contains("entry: request sent");
    log.lines().filter(of_it).count()
}

// Streams are under way when their connections go silent. Neither end gets an error; a caller would
// wait for its next token for ever. The run goes on at the engine, so the stream can be had again
// from the token after the last one, on a new connection.
#[test]
fn streams_go_on_with_the_same_run() {
    let relayed = Relayed::start();
    let cluster = &relayed.cluster;
    // Five seconds: the engine is not done when the silence is noticed.
    let ask = Ask::stream(&cluster.callers(0), "m1", 1_000);
    let streams: Vec<_> = (0..AT_ONCE)
        .map(|_| {
            let mut stream = ask.open().unwrap();
            stream.next().unwrap().unwrap();
            stream
        })
        .collect();
    relayed.lose_track();
    for stream in streams {
        let id = stream.request_id.clone();
        ask::check_whole(&stream.rest().unwrap()).unwrap();
        assert_eq!(cluster.standin.runs_of_request(&id), 1, "not one run");
    }
    let resumed: u64 = cluster
        .standin
        .stats()
        .endpoints
        .iter()
        .map(|it| it.resumed)
        .sum();
    assert!(resumed > 0, "no stream lost its connection");
}

// The entry process has idle connections to both engines, and they go silent. A request sent on one
// gets no answer and no error. It may be repeated, so it is sent again, on a connection of its own.
#[test]
fn plain_requests_are_sent_again_on_a_new_connection() {
    let relayed = Relayed::start();
    let cluster = &relayed.cluster;
    let ask = Ask::completion(&cluster.callers(0), "m1", 20);
    for answer in send_at_once(&ask) {
        ask::check_whole(&answer.unwrap()).unwrap();
    }
    relayed.lose_track();
    let answers = send_at_once(&ask);
    let mut retried = 0;
    for answer in answers {
        let answer = answer.unwrap();
        ask::check_whole(&answer).unwrap_or_else(|e| panic!("{e}: {}", answer.body));
        retried += usize::from(tries(cluster, &answer.request_id) > 1);
    }
    assert!(
        retried > 0,
        "no idle connection was used: the test shows nothing"
    );
}

// As before, but the request may not be repeated: had it gone out on an idle connection that is
// silent, nobody could tell whether it ran. So it never takes one, and runs at its first try.
#[test]
fn requests_that_may_not_be_repeated_take_no_idle_connection() {
    let relayed = Relayed::start();
    let cluster = &relayed.cluster;
    let base = cluster.callers(0);
    let body = serde_json::json!({ "crew": 3 });
    let order = Ask::service(&base, "crews", &body);
    let once = Ask::completion(&base, "m1", 20).with("Sageshed-Repeatable", "no");
    for ask in [order, once] {
        let mut warm = ask.clone();
        warm.headers
            .retain(|(name, _)| name != "Sageshed-Repeatable");
        for answer in send_at_once(&warm.with("Sageshed-Repeatable", "yes")) {
            assert_eq!(answer.unwrap().status, 200);
        }
        relayed.lose_track();
        let answer = ask.send().unwrap();
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert_eq!(tries(cluster, &answer.request_id), 1);
    }
}

// A stream that may not be repeated goes silent after two tokens, and its engine takes no new
// connection. No byte of the attempt to go on left, but the run itself was under way: an end that
// says "not run" would be false, and the caller's retry would run it a second time.
#[test]
fn a_stream_that_cannot_go_on_ends_with_what_is_true_of_it() {
    let cluster = cluster::Cluster::start(cluster::Plan {
        endpoints: vec![
            config::Endpoint::engine("e1", 10_000, &[("m1", 1_000)]),
            config::Endpoint::service("crews-1", "crews"),
        ],
        ..cluster::Plan::default()
    });
    cluster.wait_served();
    let key = "stream-once";
    let ask = Ask::stream(&cluster.callers(0), "m1", 8)
        .with("Sageshed-Repeatable", "no")
        .keyed(key);
    cluster
        .standin
        .fault("e1", fault::Fault::Stall { after: 2 }, Some(1));
    let mut stream = ask.open().unwrap();
    for _ in 0..2 {
        stream.next().unwrap().unwrap();
    }
    cluster.standin.fault("e1", fault::Fault::Refuse, None);
    let last = stream.next().unwrap().unwrap();
    let last: serde_json::Value = serde_json::from_str(&last).unwrap();
    assert_eq!(last["error"]["verdict"], "may_have_run", "{last}");
    assert_eq!(last["error"]["reason"], "endpoint_failed", "{last}");
    stream.next().unwrap_err();

    cluster.standin.fault("e1", fault::Fault::None, None);
    cluster.until("the engine is back", || {
        let other = Ask::completion(&cluster.callers(1), "m1", 2).send();
        other.unwrap().status == 200
    });
    let again = ask.send().unwrap();
    assert_eq!(again.account("reason"), "duplicate", "{}", again.body);
    assert_eq!(again.account("verdict"), "may_have_run", "{}", again.body);
    assert_eq!(cluster.standin.runs_of_key(key), 1);
}
