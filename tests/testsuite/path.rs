//! The whole path, without faults.

use std::io::{BufRead, BufReader};

use crate::{ask::Ask, cluster};

/// What a caller, an operator and a second entry process see of one working system.
#[test]
fn a_request_goes_through_and_a_refusal_is_explained() {
    let cluster = cluster::Cluster::start(cluster::Plan::default());
    let base = cluster.callers(0);
    cluster.wait_served();

    let plain = Ask::completion(&base, "m1", 3).send().unwrap();
    assert!(plain.body.contains(&plain.request_id), "{}", plain.body);

    let streamed = Ask::stream(&cluster.callers(1), "m1", 4).begin().unwrap();
    let lines = BufReader::new(streamed.into_reader())
        .lines()
        .map(Result::unwrap);
    let data: Vec<_> = lines.filter(|line| line.starts_with("data: ")).collect();
    assert_eq!(data.last().map(String::as_str), Some("data: [DONE]"));

    let rule = "id = \"closed\"\nwhen = { caller = [\"alpha\"] }\n\
                do = { refuse = { reason = \"closed for tonight\", retry_after_ms = 1500 } }";
    let added = cluster.cli(&["rules", "add", "--wait", "--rule", rule]);
    assert!(added.status.success(), "{added:?}");

    let refused = Ask::completion(&cluster.callers(2), "m1", 3)
        .send()
        .unwrap();
    assert_eq!(refused.status, 403);
    for (member, value) in [
        ("verdict", "not_run"),
        ("reason", "rule_refused"),
        ("rule", "closed"),
        ("revision", "1"),
        ("retry_after_ms", "1500"),
    ] {
        assert_eq!(refused.account(member), value, "{member}");
    }
    assert_eq!(refused.header("retry-after"), Some("2"));

    let explained = cluster.cli(&["explain", &refused.request_id]);
    let text = String::from_utf8(explained.stdout).unwrap();
    assert!(
        text.contains("closed") && text.contains("rule_refused"),
        "{text}"
    );

    // The client library logged the head of each request between VMs, and the group's token in it.
    for vm in 0..3 {
        let log = cluster.log("entry", vm);
        assert!(!log.contains("Sageshed-Group-Token"), "{log}");
    }
}

/// An operator mistypes a caller's name. Taken as it is, the rule would match nobody, and the caller
/// it was meant for would go on being served. The rules have to stay as they were.
#[test]
fn a_rule_for_a_caller_that_is_not_in_the_settings_is_refused() {
    let cluster = cluster::Cluster::start(cluster::Plan::default());
    cluster.leader();
    let rule = "id = \"closed\"\nwhen = { caller = [\"alhpa\"] }\ndo = { refuse = {} }";
    let added = cluster.cli(&["rules", "add", "--rule", rule]);
    assert_eq!(added.status.code(), Some(1), "{added:?}");
    let said = String::from_utf8(added.stderr).unwrap();
    assert!(said.contains("alhpa"), "{said}");
    assert_eq!(cluster.status().unwrap().revision.0, 0);
}
