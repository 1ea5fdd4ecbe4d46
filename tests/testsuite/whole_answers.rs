//! Every answer is whole and the caller's own, or there is an account of why there is none.

use std::{
    io::Read as _,
    sync::atomic::{AtomicBool, Ordering},
    thread, time,
};

use sageshed_test_support::{fault, load};

use crate::{
    ask::{self, Ask},
    cluster,
};

/// How many requests. The whole number takes too long unoptimised.
const REQUESTS: u64 = if cfg!(debug_assertions) {
    2_000
} else {
    10_000
};

/// How long one answer may take before the caller counts it as held.
const HELD_MS: u64 = 25_000;

// A restart of an engine, a full disk, a bug in its server: answers are cut, stop half way, come
// late or go to another request than they should, all the time and anywhere. A caller who gets half
// an answer, somebody else's, or nothing at all has been failed; so is one who waits for ever.
#[test]
fn many_mixed_requests_through_faulty_endpoints_are_answered_whole_or_accounted_for() {
    let cluster = cluster::Cluster::start(cluster::Plan {
        time_scale: 20.0,
        ..cluster::Plan::default()
    });
    cluster.wait_served();
    let addresses = (0..3).map(|vm| cluster.callers(vm).replace("http://", ""));
    let weighted = |name: &str, weight| load::Weighted {
        name: name.to_owned(),
        weight,
    };
    let plan = load::Load {
        addresses: addresses.collect(),
        token: "alpha".to_owned(),
        workers: 64,
        seconds: 300.0,
        count: REQUESTS,
        seed: 7,
        not_repeatable: 0.2,
        max_tokens: (4, 24),
        give_up_ms: HELD_MS,
        models: vec![weighted("m1", 4.0)],
        services: vec![weighted("crews", 1.0)],
        ..load::Load::default()
    };
    let over = AtomicBool::new(false);
    let report = thread::scope(|scope| {
        scope.spawn(|| break_answers(&cluster, &over));
        let report = load::run(&plan);
        over.store(true, Ordering::Relaxed);
        report
    });
    println!("{report}");
    let accounted = report.completed + report.refused.values().sum::<u64>();
    assert!(
        report.lost.is_empty() && report.wrong.is_empty(),
        "{report}{}",
        cluster.logs()
    );
    assert_eq!((report.sent, accounted), (REQUESTS, REQUESTS), "{report}");
    assert!(report.completed > REQUESTS / 2, "{report}");
    let again = cluster.standin.stats().keys_run_again;
    assert!(again.is_empty(), "keys that ran again: {again:?}");
}

/// Breaks a few answers in turn, until it is over.
fn break_answers(cluster: &cluster::Cluster, over: &AtomicBool) {
    let faults = [
        fault::Fault::Cut { after: 2 },
        fault::Fault::Swap,
        fault::Fault::Stall { after: 1 },
        fault::Fault::Late { delay_ms: 400 },
        fault::Fault::Cut { after: 0 },
        fault::Fault::EndsUnframed { after: 2 },
        fault::Fault::EndsUnframed { after: 0 },
    ];
    let endpoints = ["e1", "crews-1", "e2"];
    for (nth, fault) in faults.iter().cycle().enumerate() {
        if over.load(Ordering::Relaxed) {
            return;
        }
        cluster.standin.fault(endpoints[nth % 3], *fault, Some(2));
        thread::sleep(time::Duration::from_millis(100));
    }
}

/// Guards against a part of an answer that reaches its caller with a length or a last chunk of this system's own.
#[test]
fn an_answer_that_ends_early_with_its_connection_is_not_complete_for_its_caller() {
    let cluster = cluster::Cluster::start(cluster::Plan::default());
    cluster.wait_served();
    let fault = fault::Fault::EndsUnframed { after: 2 };
    let set = |fault| {
        for endpoint in ["e1", "e2", "crews-1"] {
            cluster.standin.fault(endpoint, fault, None);
        }
    };
    set(fault);
    let callers = cluster.callers(0);
    let stream = Ask::stream(&callers, "m1", 6).with("Connection", "close");
    let mut part = String::new();
    stream.send_only().read_to_string(&mut part).unwrap();
    assert!(part.starts_with("HTTP/1.1 200 "), "{part}");
    assert_eq!(
        part.matches("\ndata: ").count(),
        3,
        "two tokens and an error: {part}"
    );
    assert!(!part.ends_with("0\r\n\r\n"), "{part}");
    let whole = Ask::completion(&callers, "m1", 6).send().unwrap();
    assert_eq!(whole.status, 502, "{}", whole.body);
    let service = Ask::service(&callers, "crews", &serde_json::json!({}))
        .send()
        .unwrap();
    assert_eq!(service.status, 502, "{}", service.body);
    set(fault::Fault::None);
    let whole = Ask::completion(&callers, "m1", 6).send().unwrap();
    ask::check_whole(&whole).unwrap();
}

// The engine generates two tokens and then stops for good on this connection. A caller of a gateway
// that gathers the answer first would see nothing. Here the caller reads both while the engine has
// yet to finish; then the same run goes on, on another connection, and the whole is of one run.
#[test]
fn tokens_pass_through_before_the_last_one_exists() {
    let cluster = cluster::Cluster::start(cluster::Plan::default());
    cluster.wait_served();
    // The stand-in counts an answer after it has sent it, so the caller may have the last one first.
    let answered = cluster.served();
    cluster.until("the answers so far are counted", || {
        self::answered(&cluster) == answered
    });
    for engine in ["e1", "e2"] {
        cluster
            .standin
            .fault(engine, fault::Fault::Stall { after: 2 }, Some(1));
    }
    let mut stream = Ask::stream(&cluster.callers(0), "m1", 6).open().unwrap();
    for _ in 0..2 {
        stream.next().unwrap().unwrap();
    }
    assert_eq!(self::answered(&cluster), answered, "the engine is not done");
    let id = stream.request_id.clone();
    let whole = stream.rest().unwrap();
    ask::check_whole(&whole).unwrap();
    assert!(
        whole.body.trim_end().ends_with("data: [DONE]"),
        "{}",
        whole.body
    );
    assert_eq!(cluster.standin.runs_of_request(&id), 1);
}

fn answered(cluster: &cluster::Cluster) -> u64 {
    let stats = cluster.standin.stats();
    stats.endpoints.iter().map(|it| it.answered).sum()
}
