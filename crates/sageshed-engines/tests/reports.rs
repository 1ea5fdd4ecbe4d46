//! Reports: which are believed, and that stand-ins send such.

use std::{net, sync::mpsc, thread};

use sageshed_engines::{paths, reports};
use sageshed_test_support::{config, http, standin};
use sageshed_types::endpoints;

fn good() -> serde_json::Value {
    serde_json::json!({
        "identity": {
            "endpoint": "e1", "incarnation": 7, "address": "127.0.0.1:9000",
            "availability_zone": "glasgow", "slots": 8, "checks_fence": true,
            "kind": { "engine": { "pool": "callout", "memory_mib": 1000, "accelerators": 1 } },
        },
        "sequence": 1, "age_ms": 0, "running": 0, "waiting": 0, "tokens_per_second": 0,
        "resident": [{ "model": "m1", "version": 1, "phase": "ready", "memory_mib": 400 }],
        "orders": [], "leaving": false,
    })
}

#[test]
fn a_report_is_checked_member_by_member() {
    struct Case {
        pointer: &'static str,
        value: serde_json::Value,
        member: Option<&'static str>,
    }
    let of = |pointer, value, member| Case {
        pointer,
        value,
        member,
    };
    let cases = [
        of("/sequence", 2.into(), None),
        of("/identity/endpoint", "".into(), Some("endpoint")),
        of("/identity/endpoint", "e\n1".into(), Some("endpoint")),
        of(
            "/identity/endpoint",
            "e".repeat(201).into(),
            Some("endpoint"),
        ),
        of(
            "/identity/availability_zone",
            "".into(),
            Some("availability_zone"),
        ),
        of("/identity/address", "engine:9000".into(), Some("address")),
        of("/identity/slots", 0.into(), Some("slots")),
        of("/identity/kind/engine/pool", "".into(), Some("pool")),
        of(
            "/identity/kind/engine/memory_mib",
            0.into(),
            Some("memory_mib"),
        ),
        of("/resident/0/model", "".into(), Some("resident")),
        of(
            "/identity/kind",
            serde_json::json!({"service": {"service": ""}}),
            Some("service"),
        ),
    ];
    for case in cases {
        let mut report = good();
        *report.pointer_mut(case.pointer).expect("a member") = case.value.clone();
        let found = match reports::parse_report(report.to_string().as_bytes()) {
            Ok(_) => None,
            Err(reports::Problem::Member { member, .. }) => Some(member),
            Err(other) => panic!("{}: {other}", case.pointer),
        };
        assert_eq!(found, case.member, "{} = {}", case.pointer, case.value);
    }
}

#[test]
fn what_is_not_a_report_is_refused() {
    let huge = vec![b' '; reports::REPORT_LIMIT + 1];
    let too_large = reports::parse_report(&huge).expect_err("too large");
    assert!(matches!(too_large, reports::Problem::TooLarge { .. }));
    let unreadable = reports::parse_report(b"{}").expect_err("not a report");
    assert!(matches!(unreadable, reports::Problem::Unreadable { .. }));
}

/// An engine is up and no request reaches it. The entry process that it announces itself to is down;
/// it must tell another. What it tells is a report that is believed.
#[test]
fn a_standin_announces_itself_to_an_entry_process_that_is_up() {
    let down = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let up = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = |of: &net::TcpListener| of.local_addr().expect("an address").to_string();
    let entries = vec![address(&down), address(&up)];
    drop(down);
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for socket in up.incoming() {
            let mut conn = http::Connection::new(socket?)?;
            if let Some(req) = conn.read_request()? {
                conn.respond(200, &[], reports::TAKEN.as_bytes())?;
                let _sent = tx.send(req);
            }
        }
        std::io::Result::Ok(())
    });
    let cfg = config::Config {
        entries,
        endpoints: vec![config::Endpoint::engine("e1", 1_000, &[("m1", 400)])],
        ..config::Config::default()
    };
    let standin = standin::Standin::start(cfg).expect("a stand-in");
    let req = rx.recv().expect("a report");
    assert_eq!(req.path, paths::REPORT);
    let report = reports::parse_report(&req.body).expect("a report that is believed");
    assert_eq!(report.identity, standin.identity("e1"));
    assert_eq!(report.sequence, 1);
    assert_eq!(report.resident[0].phase, endpoints::Phase::Ready);
}
