//! A request that may not be repeated runs at most once, whatever fails on its way, and the caller
//! is told what is true of it.
//!
//! The stand-in counts runs by request id and by idempotency key. A key names an order over all its
//! retries, so an answer that says `not_run` speaks of the tries before it too: whatever ran under the
//! key must be of a later try.

use std::{thread, time};

use sageshed_test_support::fault;
use sageshed_types::messages;

use crate::{
    ask::{Answer, Ask},
    cluster,
};

const SERVICE: &str = "crews-1";

fn order(cluster: &cluster::Cluster, vm: usize, key: &str) -> Ask {
    let body = serde_json::json!({ "crew": 7, "order": key });
    Ask::service(&cluster.callers(vm), "crews", &body).keyed(key)
}

/// Holds everything that callers were told under one key against what the stand-in counted.
fn check(cluster: &cluster::Cluster, key: &str, answers: &[Answer]) {
    let runs = cluster.standin.runs_of_key(key);
    assert!(runs <= 1, "{key} ran {runs} times\n{}", cluster.logs());
    for (nth, answer) in answers.iter().enumerate() {
        let told = format!("{key}: {} {}", answer.status, answer.body);
        let own = cluster.standin.runs_of_request(&answer.request_id);
        let replayed = answer.header("sageshed-replayed").is_some();
        match (answer.status, answer.account("verdict").as_str()) {
            (200, _) if replayed => assert_eq!((runs, own), (1, 0), "{told}"),
            (200, _) => assert_eq!((runs, own), (1, 1), "{told}"),
            (_, "not_run") if answer.account("reason") == "key_reused" => assert_eq!(own, 0),
            (_, "not_run") => assert_eq!(runs, runs_of(cluster, &answers[nth + 1..]), "{told}"),
            (_, "ran") => assert_eq!(runs, 1, "{told}"),
            (_, "may_have_run") => {}
            _ => panic!("neither an answer nor an account: {told}"),
        }
    }
}

fn runs_of(cluster: &cluster::Cluster, answers: &[Answer]) -> u64 {
    let runs = answers
        .iter()
        .map(|it| cluster.standin.runs_of_request(&it.request_id));
    runs.sum()
}

/// Asks until the answer is one with this status.
fn until_status(cluster: &cluster::Cluster, ask: &Ask, status: u16) -> Vec<Answer> {
    let mut answers = Vec::new();
    cluster.until("the answer has its status", || {
        answers.extend(ask.send());
        answers.last().is_some_and(|last| last.status == status)
    });
    answers
}

// A dispatcher's client gets no answer in time and sends the order again; the balancer hands the
// first and the second to two entry processes at the same moment. If each sent it, two crews would
// drive out.
#[test]
fn an_order_that_arrives_at_two_entries_at_once_runs_once() {
    let cluster = cluster::Cluster::start(cluster::Plan::default());
    cluster.wait_served();
    for nth in 0..12 {
        let key = format!("double-{nth}");
        let asks: Vec<_> = (0..3).map(|vm| order(&cluster, vm, &key)).collect();
        let mut answers: Vec<_> = thread::scope(|scope| {
            let sent: Vec<_> = asks.iter().map(|ask| scope.spawn(|| ask.send())).collect();
            let joined = sent.into_iter().map(|it| it.join().unwrap().unwrap());
            joined.collect()
        });
        let first = answers.iter().find(|it| it.status == 200);
        let first = first.expect("one of them runs").body.clone();
        // The claim is settled a moment after the first answer.
        let later = until_status(&cluster, &asks[nth % 3], 200);
        let replay = later.last().unwrap();
        assert_eq!(replay.body, first, "the answer of another run");
        assert_eq!(replay.header("sageshed-replayed"), Some("yes"));
        answers.extend(later);
        check(&cluster, &key, &answers);
        assert_eq!(cluster.standin.runs_of_key(&key), 1);
    }
}

/// Sends an order with a short deadline until one gets as far as the service, each under a key of its
/// own. On a busy machine the claim alone may take longer; then the order was not sent, and the fault
/// still waits for the next.
fn first_try(cluster: &cluster::Cluster, name: &str) -> (String, Answer) {
    for nth in 0.. {
        let key = format!("{name}-{nth}");
        let ask = order(cluster, 0, &key).with("Sageshed-Deadline-Ms", "1000");
        let answer = ask.send().unwrap();
        if answer.account("reason") != "claim_unavailable" {
            return (key, answer);
        }
        assert!(nth < 20, "no claim in time: {}", answer.body);
        assert_eq!(cluster.standin.runs_of_key(&key), 0, "{}", answer.body);
    }
    unreachable!("the loop ends by itself")
}

// The service takes an order and then its answer is lost, stops half way, comes late, or never
// begins. Nobody can know whether the crew was sent, so the order must not be sent again, and the
// caller must not be told that it was not run.
#[test]
fn an_order_whose_answer_is_lost_is_not_sent_again() {
    struct Case {
        name: &'static str,
        fault: fault::Fault,
        verdict: &'static str,
        runs: u64,
    }
    let cases = [
        Case {
            name: "cut",
            fault: fault::Fault::Cut { after: 0 },
            verdict: "may_have_run",
            runs: 1,
        },
        Case {
            name: "stalled",
            fault: fault::Fault::Stall { after: 0 },
            verdict: "may_have_run",
            runs: 1,
        },
        Case {
            name: "late",
            fault: fault::Fault::Late { delay_ms: 3_000 },
            verdict: "may_have_run",
            runs: 1,
        },
        Case {
            name: "never-answered",
            fault: fault::Fault::Silent,
            verdict: "may_have_run",
            runs: 0,
        },
        Case {
            name: "of-another-request",
            fault: fault::Fault::Swap,
            verdict: "may_have_run",
            runs: 1,
        },
        Case {
            name: "refused",
            fault: fault::Fault::Refuse,
            verdict: "not_run",
            runs: 0,
        },
    ];
    let cluster = cluster::Cluster::start(cluster::Plan::default());
    cluster.wait_served();
    for case in cases {
        let Case { name, verdict, .. } = case;
        cluster.standin.fault(SERVICE, case.fault, Some(1));
        let (key, first) = first_try(&cluster, name);
        assert_eq!(first.account("verdict"), verdict, "{name}: {}", first.body);
        cluster.standin.fault(SERVICE, fault::Fault::None, None);
        let retried = order(&cluster, 1, &key);
        let again = if verdict == "not_run" {
            until_status(&cluster, &retried, 200)
        } else {
            until_status(&cluster, &retried, 409)
        };
        let mut answers = vec![first];
        answers.extend(again);
        let late = || cluster.standin.runs_of_key(&key) >= case.runs;
        cluster.until("the late run has run", late);
        check(&cluster, &key, &answers);
    }
}

// An entry VM dies while the crew service works on an order. The caller sees a broken connection
// and asks another entry process with the same key, and, once the VM is back, that one too. The
// new process knows nothing of the old one's request; only the claim does.
#[test]
fn an_order_whose_entry_process_is_killed_is_not_sent_again() {
    let mut cluster = cluster::Cluster::start(cluster::Plan::default());
    cluster.wait_served();
    let key = "killed";
    let late = fault::Fault::Late { delay_ms: 1_500 };
    let before = requests(&cluster);
    cluster.standin.fault(SERVICE, late, Some(1));
    let ask = order(&cluster, 0, key);
    let first = thread::spawn(move || ask.send());
    cluster.until("the service has it", || requests(&cluster) > before);
    cluster.kill(messages::Role::Entry, 0);
    first.join().unwrap().unwrap_err();

    let running = order(&cluster, 1, key).send().unwrap();
    assert_eq!(running.account("reason"), "duplicate", "{}", running.body);
    assert_eq!(running.account("verdict"), "may_have_run");
    cluster.start_entry(0);
    cluster.wait_ready();
    // Now the holder is known to be gone: nobody will learn more. The new process may not know the
    // service yet, and must not say of the order that it was not run for want of a route.
    let again = order(&cluster, 0, key);
    let mut answers = vec![running];
    cluster.until("the claim is known to be lost", || {
        answers.push(again.send().unwrap());
        let last = answers.last().unwrap();
        assert_eq!(last.account("reason"), "duplicate", "{}", last.body);
        last.account("retry_after_ms") == "null"
    });
    cluster.until("it has run", || cluster.standin.runs_of_key(key) == 1);
    check(&cluster, key, &answers);
}

// An order was sent and its answer lost. Before the client asks again, an operator closes the service
// by a rule. "Refused, not run" would be true of the second try alone, and the dispatcher would send
// another crew by telephone. An order that nobody sent is refused as not run, and leaves nothing
// behind: once the rule is gone it runs under the same key.
#[test]
fn a_retry_that_is_refused_is_told_of_the_first_try() {
    let cluster = cluster::Cluster::start(cluster::Plan::default());
    cluster.wait_served();
    let cut = fault::Fault::Cut { after: 0 };
    cluster.standin.fault(SERVICE, cut, Some(1));
    let lost = order(&cluster, 0, "lost").send().unwrap();
    let answered = order(&cluster, 0, "answered").send().unwrap();
    assert_eq!(lost.account("verdict"), "may_have_run", "{}", lost.body);
    let rule = "id = \"closed\"\nwhen = { service = [\"crews\"] }\ndo = { refuse = {} }";
    let added = cluster.cli(&["rules", "add", "--wait", "--rule", rule]);
    assert!(added.status.success(), "{added:?}");

    let again = order(&cluster, 1, "lost").send().unwrap();
    assert_eq!(again.account("reason"), "duplicate", "{}", again.body);
    check(&cluster, "lost", &[lost, again]);
    let again = order(&cluster, 1, "answered").send().unwrap();
    assert_eq!(again.body, answered.body, "{}", again.body);
    check(&cluster, "answered", &[answered, again]);

    let first = order(&cluster, 1, "first");
    let refused = first.send().unwrap();
    assert_eq!(
        refused.account("reason"),
        "rule_refused",
        "{}",
        refused.body
    );
    let withdrawn = cluster.cli(&["rules", "withdraw", "--wait", "closed"]);
    assert!(withdrawn.status.success(), "{withdrawn:?}");
    let mut answers = vec![refused];
    answers.extend(until_status(&cluster, &first, 200));
    check(&cluster, "first", &answers);
}

// Two of three control processes are down: no claim can be recorded. An order sent all the same
// could be sent by another entry process too, so it is refused. Without a key it was not run. With
// one, it may be the retry of an order that was sent before the group went down, here one whose
// answer was cut: told "not run", the dispatcher would send a second crew.
#[test]
fn an_order_is_refused_while_claims_cannot_be_recorded() {
    let mut cluster = cluster::Cluster::start(cluster::Plan::default());
    cluster.wait_served();
    let cut = fault::Fault::Cut { after: 0 };
    cluster.standin.fault(SERVICE, cut, Some(1));
    let sent_before = order(&cluster, 0, "sent-before").send().unwrap();
    assert_eq!(sent_before.account("verdict"), "may_have_run");
    for vm in [1, 2] {
        cluster.kill(messages::Role::Control, vm);
    }
    let body = serde_json::json!({ "crew": 8 });
    let unkeyed = Ask::service(&cluster.callers(2), "crews", &body);
    let (retry, first) = (
        order(&cluster, 1, "sent-before"),
        order(&cluster, 0, "first"),
    );
    let refused: Vec<_> = thread::scope(|scope| {
        let sent = [&unkeyed, &retry, &first].map(|ask| scope.spawn(|| ask.send().unwrap()));
        sent.map(|it| it.join().unwrap()).into()
    });
    for (answer, verdict) in refused
        .iter()
        .zip(["not_run", "may_have_run", "may_have_run"])
    {
        assert_eq!(answer.account("verdict"), verdict, "{}", answer.body);
        assert_eq!(answer.status, 503, "{}", answer.body);
        assert_ne!(answer.header("retry-after"), None);
        assert_eq!(runs_of(&cluster, std::slice::from_ref(answer)), 0);
    }
    for vm in [1, 2] {
        cluster.start_control(vm);
    }
    let [_, of_retry, of_first] = <[Answer; 3]>::try_from(refused).unwrap();
    let mut answers = vec![sent_before, of_retry];
    answers.extend(until_status(&cluster, &retry, 409));
    check(&cluster, "sent-before", &answers);
    let mut answers = vec![of_first];
    answers.extend(until_status(&cluster, &first, 200));
    check(&cluster, "first", &answers);
}

// The leader of the control group is killed while orders come in. A claim may be committed and its
// answer lost with the leader; asked for again, it must be granted to the same arrival and to no
// other.
#[test]
fn orders_run_once_while_the_leader_is_killed() {
    let mut cluster = cluster::Cluster::start(cluster::Plan::default());
    cluster.wait_served();
    let leader = cluster.leader();
    let keys: Vec<_> = (0..24).map(|nth| format!("leader-{nth}")).collect();
    let bases: Vec<_> = (0..3).map(|vm| cluster.callers(vm)).collect();
    let workers: Vec<_> = keys
        .iter()
        .enumerate()
        .map(|(nth, key)| {
            let body = serde_json::json!({ "crew": nth });
            let asks: Vec<_> = (0..3)
                .map(|turn| Ask::service(&bases[(nth + turn) % 3], "crews", &body).keyed(key))
                .collect();
            thread::spawn(move || until_answered(nth, &asks))
        })
        .collect();
    // Some of them are through by now, some wait, some are yet to come.
    cluster.until("the first orders ran", || {
        cluster.standin.stats().keys_run >= 4
    });
    cluster.kill(messages::Role::Control, leader);
    for (key, worker) in keys.iter().zip(workers) {
        let answers = worker.join().unwrap();
        assert_eq!(answers.last().unwrap().status, 200, "{key}: {answers:?}");
        check(&cluster, key, &answers);
    }
}

/// Asks at one entry process after the other until the answer is there, as a client that retries.
fn until_answered(nth: usize, asks: &[Ask]) -> Vec<Answer> {
    thread::sleep(time::Duration::from_millis(30 * nth as u64));
    let end = time::Instant::now() + time::Duration::from_secs(20);
    let mut answers: Vec<Answer> = Vec::new();
    for ask in asks.iter().cycle() {
        answers.push(ask.send().unwrap());
        if answers.last().is_some_and(|last| last.status == 200) || time::Instant::now() > end {
            break;
        }
        thread::sleep(time::Duration::from_millis(100));
    }
    answers
}

// A client uses one key for two different orders, by a mistake of its own. Giving it the answer of
// the first for the second would hide that the second was never carried out.
#[test]
fn a_key_stands_for_one_content_and_a_request_without_a_key_for_itself() {
    let plan = cluster::Plan {
        common: "[[services]]\nname = \"gates\"\n".to_owned(),
        ..cluster::Plan::default()
    };
    let cluster = cluster::Cluster::start(plan);
    cluster.wait_served();
    let (base, key) = (cluster.callers(0), "reused");
    let body = serde_json::json!({ "crew": 1 });
    let first = Ask::service(&base, "crews", &body).keyed(key);
    let answer = first.send().unwrap();
    assert_eq!(answer.status, 200, "{}", answer.body);
    let mut elsewhere = first.clone();
    elsewhere.path = "/services/crews/recall".to_owned();
    let mut with_query = first.clone();
    with_query.path = "/services/crews/dispatch?now=yes".to_owned();
    let others = [
        Ask::service(&base, "crews", &serde_json::json!({ "crew": 2 })).keyed(key),
        Ask::service(&base, "gates", &body).keyed(key),
        elsewhere,
        with_query,
    ];
    for other in others {
        let refused = other.send().unwrap();
        assert_eq!(refused.account("reason"), "key_reused", "{}", refused.body);
        check(&cluster, key, &[refused]);
    }
    check(&cluster, key, &[answer]);

    // Another caller's keys are its own.
    let mut beta = first.clone();
    beta.headers[0].1 = "Bearer beta".to_owned();
    let own = beta.send().unwrap();
    assert_eq!((own.status, own.header("sageshed-replayed")), (200, None));

    for _ in 0..2 {
        let unkeyed = Ask::service(&base, "crews", &body).send().unwrap();
        assert_eq!(unkeyed.status, 200);
        let runs = cluster.standin.runs_of_request(&unkeyed.request_id);
        assert_eq!(runs, 1);
    }
}

fn requests(cluster: &cluster::Cluster) -> u64 {
    let stats = cluster.standin.stats();
    let service = stats.endpoints.iter().find(|it| it.endpoint == SERVICE);
    service.unwrap().requests
}
