//! What rules do to requests, and what operators learn of one request.

use sageshed_test_support::{config, fault};
use sageshed_types::endpoints;
use serde_json::Value;

use crate::{ask::Ask, cluster};

fn add(cluster: &cluster::Cluster, rule: &str) {
    let added = cluster.cli(&["rules", "add", "--wait", "--rule", rule]);
    assert!(added.status.success(), "{added:?}");
}

fn explain(cluster: &cluster::Cluster, request_id: &str) -> Value {
    let explained = cluster.cli(&["explain", "--json", request_id]);
    assert!(explained.status.success(), "{explained:?}");
    serde_json::from_slice(&explained.stdout).unwrap()
}

fn start() -> cluster::Cluster {
    let mut night = config::Endpoint::engine("e3", 10_000, &[("m2", 1_000)]);
    let endpoints::Kind::Engine { pool, .. } = &mut night.kind else {
        unreachable!("it is an engine");
    };
    "night".clone_into(pool);
    let mut plan = cluster::Plan::default();
    plan.models += &cluster::model("m2", 1_000);
    plan.endpoints.push(night);
    let cluster = cluster::Cluster::start(plan);
    cluster.wait_served();
    for vm in 0..3 {
        let ask = Ask::completion(&cluster.callers(vm), "m2", 2);
        cluster.until("m2 is known", || ask.send().unwrap().status == 200);
    }
    cluster
}

// Operators change what happens to whose requests while the system runs. Each rule is in force at
// every entry process once `--wait` returns, first match wins, and any control process can say why a
// request fared as it did.
#[test]
fn rules_limit_route_and_mark_requests() {
    let cluster = start();
    let base = cluster.callers(0);

    // One request over all entry processes: the share of each is a third of the burst, rounded up.
    add(
        &cluster,
        "id = \"trickle\"\nwhen = { caller = [\"beta\"] }\n\
         do = { limit = { rate = 0.01, burst = 3.0 } }",
    );
    let mut beta = Ask::completion(&base, "m1", 2);
    beta.headers[0].1 = "Bearer beta".to_owned();
    let answers: Vec<_> = (0..4).map(|_| beta.send().unwrap()).collect();
    assert_eq!(answers[0].status, 200, "{}", answers[0].body);
    let limited = answers.last().unwrap();
    assert_eq!(
        (limited.status, limited.account("reason").as_str()),
        (429, "rule_limit")
    );
    assert_eq!(limited.account("rule"), "trickle");
    assert_ne!(limited.account("retry_after_ms"), "null");

    // Another model in another pool than the one that was asked for.
    add(
        &cluster,
        "id = \"by-night\"\nwhen = { caller = [\"alpha\"], model = [\"m1\"] }\n\
         do = { route = { pool = \"night\", model = \"m2\" } }",
    );
    for vm in 0..3 {
        let routed = Ask::completion(&cluster.callers(vm), "m1", 2)
            .send()
            .unwrap();
        assert_eq!(routed.json()["model"], "m2", "{}", routed.body);
        let account = explain(&cluster, &routed.request_id);
        assert_eq!(account["rule"], "by-night", "{account}");
        assert_eq!(account["tries"][0]["endpoint"], "e3", "{account}");
    }

    // Marks: this caller's streams are not to be repeated, and have little time.
    add(
        &cluster,
        "id = \"marked\"\nwhen = { caller = [\"alpha\"], model = [\"m2\"] }\n\
         not_repeatable = true\ndeadline_ms = 1500\ndo = { route = {} }",
    );
    let marked = Ask::completion(&base, "m2", 2).keyed("marked-1");
    let first = marked.send().unwrap();
    let account = explain(&cluster, &first.request_id);
    assert_eq!(account["not_repeatable"], true, "{account}");
    assert_eq!(account["deadline"], 1_500, "{account}");
    let elsewhere = Ask {
        base: cluster.callers(1),
        ..marked
    };
    cluster.until("the second arrival gets the first answer", || {
        let again = elsewhere.send().unwrap();
        again.header("sageshed-replayed").is_some() && again.body == first.body
    });
    assert_eq!(cluster.standin.runs_of_key("marked-1"), 1);
}

// A caller complains of a request and gives the id of its answer. Any control process finds it,
// whichever entry process took it, with all that decided.
#[test]
fn explain_shows_what_decided_a_request() {
    let cluster = start();
    // The first try fails, whichever engine it goes to; the second is on the other one.
    for engine in ["e1", "e2"] {
        cluster
            .standin
            .fault(engine, fault::Fault::Cut { after: 0 }, Some(1));
    }
    let ask = Ask::completion(&cluster.callers(2), "m1", 4);
    let failed = ask.send().unwrap();
    let account = explain(&cluster, &failed.request_id);
    assert!(failed.request_id.starts_with("vm3."), "{account}");
    assert_eq!(account["caller"], "alpha", "{account}");
    assert_eq!(account["class"], "usual", "{account}");
    assert_eq!(account["rule"], "default", "{account}");
    assert_eq!(account["revision"], 0, "{account}");
    assert_eq!(
        account["candidates"].as_array().unwrap().len(),
        2,
        "{account}"
    );
    let tries = account["tries"].as_array().unwrap();
    assert_eq!(tries.len(), 2, "{account}");
    assert_ne!(tries[0]["endpoint"], tries[1]["endpoint"], "{account}");
    for sent in tries {
        assert_eq!(sent["verdict"], "may_have_run", "{account}");
    }
    let refusal = &account["end"]["refused"];
    assert_eq!(refusal["verdict"], "may_have_run", "{account}");
    assert_eq!(refusal["reason"], "endpoint_failed", "{account}");

    // The account named the end of a try as its beginning, so that a slow engine looked like a slow
    // queue.
    for engine in ["e1", "e2"] {
        let late = fault::Fault::Late { delay_ms: 400 };
        cluster.standin.fault(engine, late, Some(1));
    }
    let good = ask.send().unwrap();
    let account = explain(&cluster, &good.request_id);
    assert_eq!(account["end"]["answered"]["status"], 200, "{account}");
    let started = account["tries"][0]["started"].as_u64().unwrap();
    let took = account["took"].as_u64().unwrap();
    assert!(started + 300 <= took, "{account}");
    let unknown = cluster.cli(&["explain", "vm3.0.0"]);
    assert!(!unknown.status.success(), "{unknown:?}");
}
