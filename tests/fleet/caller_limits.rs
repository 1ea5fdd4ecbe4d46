//! The limits of the configuration on what callers send, and on how long they take.

use std::{io::Write, thread, time};

use crate::{
    fleet::Fleet,
    standin::{
        caller::{Caller, Request},
        engine::Behavior,
        operator,
    },
};

/// The limits of [`operator::config`].
const LIMITS: &str = r#""limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}"#;

/// Replaces the limits of the configuration, and waits until all entry processes have them.
fn set_limits(fleet: &Fleet, version: u64, limits: &str) {
    let route = format!(
        r#"{{"name":"r{version}","host":"a.example","path_prefix":"/r{version}/","kind":"idempotent","timeout_ms":30000,"latency_target_ms":300,"priority":2,"service":"plain","attempts":1}},"#
    );
    let config = operator::config_with(version, &route);
    assert!(config.contains(LIMITS));
    fleet.replace(&config.replace(LIMITS, limits));
    let path = format!("/r{version}/x");
    for entry in 0..fleet.entries.len() {
        fleet.until("the limits are in force", || {
            let answer = fleet.ask(entry, &Request::new("GET", &path, "look"));
            answer.is_some_and(|it| it.status() == 200)
        });
    }
}

fn limits(head_bytes: usize, body_bytes: usize, head_ms: u64, idle_ms: u64) -> String {
    format!(
        r#""limits":{{"max_header_bytes":{head_bytes},"max_body_bytes":{body_bytes},"header_timeout_ms":{head_ms},"idle_timeout_ms":{idle_ms}}}"#
    )
}

/// Opens a connection that has been used once and is idle.
fn idle_connection(fleet: &Fleet) -> Caller {
    let mut caller = Caller::connect(fleet.entries[0].address()).expect("a connection");
    let answer = caller.request(&Request::new("GET", "/again/x", "first"));
    assert_eq!(answer.expect("an answer").expect("whole").status(), 200);
    caller
}

/// Guards against a request that is lost on a connection which its caller may use again. Callers go by the idle limit of
/// the configuration, which has been raised; the entry process closed the connection by a limit of its own. One that was
/// idle already when the limit was raised, or is when it is lowered again, keeps the longer one.
#[test]
fn connections_are_kept_for_the_idle_limit_of_the_configuration() {
    let (fleet, _engines) = Fleet::ready();
    let mut before = idle_connection(&fleet);
    set_limits(&fleet, 20, &limits(16_384, 1_048_576, 3_000, 40_000));
    let mut after = idle_connection(&fleet);
    set_limits(&fleet, 30, LIMITS);
    thread::sleep(time::Duration::from_secs(23));
    for (name, caller) in [("before", &mut before), ("after", &mut after)] {
        let answer = caller.request(&Request::new("GET", "/again/x", name));
        let answer = answer.expect(name);
        assert_eq!(answer.expect(name).status(), 200, "{name}");
    }
}

/// Guards against a request that is refused as too slow though its caller has sent the head within the limit.
#[test]
fn a_head_may_take_as_long_as_the_configuration_says() {
    let (fleet, _engines) = Fleet::ready();
    set_limits(&fleet, 20, &limits(16_384, 1_048_576, 9_000, 15_000));
    let mut caller = Caller::connect(fleet.entries[0].address()).expect("a connection");
    let mut send = |bytes: &[u8]| caller.stream.write_all(bytes).expect("sent");
    send(b"GET /r20/x HTTP/1.1\r\nHost: a.example\r\n");
    thread::sleep(time::Duration::from_secs(7));
    send(b"Attempt-Id: slow\r\nDeadline-Ms: 30000\r\n\r\n");
    let answer = caller.answer().expect("an answer").expect("whole");
    assert_eq!(answer.status(), 200);
}

/// A request, and what it gets with the sizes in force.
struct Size {
    name: &'static str,
    /// The limits on the head and the body, in bytes.
    limits: (usize, usize),
    /// The sizes of the target, of one header and of the body, in bytes.
    sent: (usize, usize, usize),
    status: u16,
}

/// Guards against requests that are refused although the configuration allows them, or read although it does not.
#[test]
fn sizes_are_bounded_by_the_configuration() {
    let cases = [
        Size {
            name: "a body over a low limit",
            limits: (16_384, 1_000),
            sent: (10, 10, 1_500),
            status: 413,
        },
        Size {
            name: "a header over a low limit",
            limits: (1_000, 1_000),
            sent: (10, 15_000, 10),
            status: 431,
        },
        Size {
            name: "a target over a low limit",
            limits: (1_000, 1_000),
            sent: (15_000, 10, 10),
            status: 414,
        },
        Size {
            name: "a body within a high limit",
            limits: (16_384, 8_388_608),
            sent: (10, 10, 6_000_000),
            status: 200,
        },
        Size {
            name: "a header within a high limit",
            limits: (65_536, 1_000),
            sent: (10, 50_000, 10),
            status: 200,
        },
    ];
    let (fleet, _engines) = Fleet::ready();
    for (case, version) in cases.iter().zip(20..) {
        let (head_bytes, body_bytes) = case.limits;
        set_limits(
            &fleet,
            version,
            &limits(head_bytes, body_bytes, 3_000, 15_000),
        );
        let (target, header, body) = case.sent;
        let path = format!("/again/{}", "x".repeat(target));
        let lines = format!("X-Long: {}\r\n", "y".repeat(header));
        let request = Request {
            lines: &lines,
            body: &"z".repeat(body),
            ..Request::new("POST", &path, case.name)
        };
        let answer = fleet.ask(0, &request).expect(case.name);
        assert_eq!(answer.status(), case.status, "{}", case.name);
    }
}

/// Callers whose requests with large bodies are held, and the size of each body.
const LARGE_BODIES: usize = 80;
const LARGE_BODY_BYTES: usize = 1_000_000;

/// The memory of an entry process.
const MEMORY_MB: u64 = 64;
const MEMORY: &str = "[resources]\nmemory_mb = 64\n";

/// Guards against an entry process that is killed since it holds more bodies than fit into its memory, and against small
/// requests that are not served beside them.
#[test]
fn bodies_that_are_held_for_long_leave_memory_to_other_requests() {
    let (fleet, engines) = Fleet::ready_with(MEMORY);
    engines[..2]
        .iter()
        .for_each(|it| it.set_behavior(Behavior::Hangs));
    let body = "x".repeat(LARGE_BODY_BYTES);
    let send = |number: usize| {
        let id = format!("large-{number}");
        let request = Request {
            body: &body,
            ..Request::new("POST", "/stream/x", &id)
        };
        let mut caller = Caller::connect(fleet.entries[0].address()).expect("a connection");
        // Fails if the request is refused before its body is read.
        drop(caller.send(&request));
        caller
    };
    let callers: Vec<_> = thread::scope(|scope| {
        let all: Vec<_> = (0..LARGE_BODIES)
            .map(|number| scope.spawn(move || send(number)))
            .collect();
        all.into_iter().map(|it| it.join().expect("sent")).collect()
    });
    let unread_before = fleet.count_unread();
    let mut closed = 0;
    for number in 0..20 {
        let id = format!("small-{number}");
        let request = Request {
            body: "small",
            ..Request::new("POST", "/again/x", &id)
        };
        let mut answer = None;
        fleet.until("a small request is read", || {
            answer = fleet.ask(0, &request);
            // A process without processor time may close a new connection unread; checked below.
            closed += usize::from(answer.is_none());
            answer.is_some()
        });
        let answer = answer.expect("an answer");
        assert_eq!(answer.status(), 200, "{id}");
    }
    fleet.until_unread(unread_before + closed);
    println!("{closed} connections closed unread");
    let refused = fleet.entries[0]
        .log()
        .matches("as many bodies of requests as fit")
        .count();
    println!(
        "{refused} of {LARGE_BODIES} refused, {} KB at most",
        fleet.entries[0].peak_memory_kb()
    );
    assert!(refused > 0 && refused < LARGE_BODIES, "{refused}");
    assert!(fleet.entries[0].peak_memory_kb() < MEMORY_MB * 1_024);
    drop(callers);
}
