//! Whatever a caller sends, it gets a status and an account, and the process goes on.

use serde_json::json;

use crate::{
    ask::{self, Ask},
    cluster,
};

/// The largest body that the cluster of these tests takes.
const BODY_BYTES: usize = 100_000;

/// Larger than any head that is taken.
const LONG: usize = 70_000;

/// What is sent, after which the caller closes its side, and what comes back.
struct Case {
    name: &'static str,
    bytes: Vec<u8>,
    status: u16,
    reason: &'static str,
}

fn case(name: &'static str, ask: &Ask, status: u16, reason: &'static str) -> Case {
    raw(name, &ask.bytes(), status, reason)
}

fn raw(name: &'static str, bytes: &[u8], status: u16, reason: &'static str) -> Case {
    Case {
        name,
        bytes: bytes.to_vec(),
        status,
        reason,
    }
}

fn good() -> Ask {
    Ask::completion("", "m1", 4)
}

fn bodies() -> Vec<Case> {
    let bad = |name, body: &str| {
        let ask = Ask {
            body: body.to_owned(),
            ..good()
        };
        case(name, &ask, 400, "bad_request")
    };
    let unknown = Ask {
        body: json!({ "model": "m9", "prompt": "x" }).to_string(),
        ..good()
    };
    let large = Ask {
        body: "x".repeat(BODY_BYTES + 1),
        ..good()
    };
    vec![
        bad("no JSON", "{\"model\": \"m1\""),
        bad("not an object", "[1]"),
        bad("empty", ""),
        bad("control characters", "\u{0}\u{1}"),
        bad("no model", "{\"prompt\": \"x\"}"),
        bad("a model that is a number", "{\"model\": 1}"),
        bad("deep", &"[".repeat(BODY_BYTES / 2)),
        case("an unknown model", &unknown, 404, "unknown_model"),
        case("past the limit", &large, 413, "too_large"),
    ]
}

fn headers() -> Vec<Case> {
    let with = |name: &str, value: &str| good().with(name, value);
    let with_token = |token: &str| {
        let mut ask = good();
        ask.headers.retain(|(name, _)| name != "Authorization");
        ask.with("Authorization", token)
    };
    let bad =
        |name, header: &str, value: &str| case(name, &with(header, value), 400, "bad_request");
    let no_time = with("Sageshed-Deadline-Ms", "0");
    let without_token = Ask {
        headers: Vec::new(),
        ..good()
    };
    vec![
        bad("an unknown class", "Sageshed-Class", "best"),
        bad("a bad deadline", "Sageshed-Deadline-Ms", "soon"),
        bad("a negative deadline", "Sageshed-Deadline-Ms", "-1"),
        bad("a bad mark", "Sageshed-Repeatable", "maybe"),
        bad("an empty key", "Idempotency-Key", ""),
        case("no time at all", &no_time, 503, "deadline_unmeetable"),
        case("no token", &without_token, 401, "unauthorized"),
        case(
            "a wrong token",
            &with_token("Bearer gamma"),
            401,
            "unauthorized",
        ),
        case(
            "another scheme",
            &with_token("Basic alpha"),
            401,
            "unauthorized",
        ),
        case(
            "a broken token",
            &with_token("Bearer \u{7f}x"),
            400,
            "bad_request",
        ),
    ]
}

fn paths() -> Vec<Case> {
    let elsewhere = Ask {
        path: "/v2/completions".to_owned(),
        ..good()
    };
    let get = Ask {
        method: "GET".to_owned(),
        ..good()
    };
    let gates = Ask::service("", "gates", &json!({}));
    let without_token = Ask {
        headers: Vec::new(),
        ..Ask::service("", "crews", &json!({}))
    };
    vec![
        case("an unknown path", &elsewhere, 404, "not_found"),
        case("a wrong method", &get, 405, "not_found"),
        case("an unknown service", &gates, 404, "unknown_model"),
        case(
            "a service without a token",
            &without_token,
            401,
            "unauthorized",
        ),
    ]
}

fn bytes() -> Vec<Case> {
    let whole = good().bytes();
    let long = "a".repeat(LONG);
    let long_head = format!("GET /v1/models HTTP/1.1\r\nHost: x\r\nX: {long}\r\n\r\n");
    let long_line = format!("GET /{long} HTTP/1.1\r\nHost: x\r\n\r\n");
    let two_lengths =
        b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab";
    let bad = |name, bytes: &[u8]| raw(name, bytes, 400, "bad_request");
    vec![
        bad("half a body", &whole[..whole.len() - 5]),
        bad("half a head", &whole[..40]),
        bad("two lengths", two_lengths),
        bad(
            "not HTTP",
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
        ),
        bad("no host", b"GET /v1/models HTTP/1.1\r\n\r\n"),
        raw("a long head", long_head.as_bytes(), 431, "too_large"),
        raw(
            "a long request line",
            long_line.as_bytes(),
            414,
            "too_large",
        ),
    ]
}

fn requests(cluster: &cluster::Cluster) -> u64 {
    let stats = cluster.standin.stats();
    stats.endpoints.iter().map(|it| it.requests).sum()
}

// Callers' clients have bugs, and scanners try ports. None of it may end the process, hold a thread
// or go unexplained: each gets a status and an account that says that nothing ran.
#[test]
fn bad_requests_get_an_account_and_leave_the_process_as_it_was() {
    let cluster = cluster::Cluster::start(cluster::Plan {
        common: format!("[limits]\nbody_bytes = {BODY_BYTES}\n"),
        ..cluster::Plan::default()
    });
    cluster.wait_served();
    let base = cluster.callers(0);
    let before = requests(&cluster);
    for case in [bodies(), headers(), paths(), bytes()]
        .into_iter()
        .flatten()
    {
        check(&cluster, &base, &case);
    }
    assert_eq!(
        requests(&cluster),
        before,
        "nothing of it went to an endpoint"
    );
    let after = Ask::completion(&base, "m1", 4).send().unwrap();
    ask::check_whole(&after).unwrap();
    let log = cluster.log("entry", 0);
    assert!(!log.contains("panicked"), "{log}");
}

fn check(cluster: &cluster::Cluster, base: &str, case: &Case) {
    let answer = ask::send_raw(base, &case.bytes);
    let told = format!("{}: {answer}", case.name);
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((&answer, ""));
    assert!(
        head.starts_with(&format!("HTTP/1.1 {} ", case.status)),
        "{told}"
    );
    let account: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    assert_eq!(account["reason"], case.reason, "{told}");
    assert_eq!(account["verdict"], "not_run", "{told}");
    let id = account["request_id"].as_str().unwrap_or_default();
    assert!(id.starts_with("vm1.") && head.contains(id), "{told}");
    let explained = cluster.cli(&["explain", id]);
    assert!(explained.status.success(), "{told}\n{explained:?}");
}
