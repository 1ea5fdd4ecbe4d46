//! The life of connections: reuse, bounds, panics and shutdown.

mod support;

use std::{
    io,
    sync::{Mutex, mpsc},
    time::Duration,
};

use sageshed_http::{limits, starts};
use sageshed_types::secret;
use support::{Client, OK, PATIENCE, echo, listen, start, start_on, wait_for};

struct Case {
    name: &'static str,
    input: &'static [u8],
    bodies: &'static [&'static str],
    /// Whether the connection stays open afterwards.
    kept: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "two requests at once",
        input: b"GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b?c=d HTTP/1.1\r\nHost: h\r\n\r\n",
        bodies: &["GET /a|", "GET /b?c=d|"],
        kept: true,
    },
    Case {
        name: "a length, then another request",
        input: b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyzGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
        bodies: &["POST /a|xyz", "GET /b|"],
        kept: true,
    },
    Case {
        name: "chunks with extension and trailer, then another request",
        input: b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n\
                 3;e=1\r\nxyz\r\n1\r\n!\r\n0\r\nT: u\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
        bodies: &["POST /a|xyz!", "GET /b|"],
        kept: true,
    },
    Case {
        name: "the same length twice",
        input: b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
        bodies: &["POST /a|x"],
        kept: true,
    },
    Case {
        name: "a POST without a body",
        input: b"POST /a HTTP/1.1\r\nHost: h\r\n\r\n",
        bodies: &["POST /a|"],
        kept: true,
    },
    Case {
        name: "an absolute target",
        input: b"GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n",
        bodies: &["GET /a|"],
        kept: true,
    },
    Case {
        name: "close on wish",
        input: b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        bodies: &["GET /a|"],
        kept: false,
    },
    Case {
        name: "HTTP/1.0 closes",
        input: b"GET /a HTTP/1.0\r\n\r\n",
        bodies: &["GET /a|"],
        kept: false,
    },
    Case {
        name: "HTTP/1.0 keeps on wish",
        input: b"GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
        bodies: &["GET /a|"],
        kept: true,
    },
];

#[test]
fn requests_on_one_connection_are_answered_in_order() {
    let server = start(limits::Limits::default(), echo);
    for case in CASES {
        let mut client = Client::connect(&server);
        client.send(case.input);
        for body in case.bodies {
            let answer = client.answer().expect(case.name);
            assert_eq!(
                (answer.status, answer.text().as_str()),
                (200, *body),
                "{}",
                case.name
            );
            assert_eq!(answer.header("Sageshed-Request-Id"), Some("r-1"));
        }
        if case.kept {
            assert_eq!(client.get("/again").text(), "GET /again|", "{}", case.name);
        } else {
            assert!(client.at_end(), "{}", case.name);
        }
    }
}

#[test]
fn a_caller_that_waits_for_a_go_ahead_gets_it() {
    let server = start(limits::Limits::default(), echo);
    let mut client = Client::connect(&server);
    client.send(b"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    assert_eq!(
        client.head().as_deref(),
        Some("HTTP/1.1 100 Continue\r\n\r\n")
    );
    client.send(b"ok");
    assert_eq!(client.answer().expect("an answer").text(), "POST /|ok");
}

#[test]
fn an_answer_to_head_has_a_length_and_no_body() {
    let server = start(limits::Limits::default(), echo);
    let mut client = Client::connect(&server);
    client.send(b"HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
    let head = client.head().expect("an answer");
    assert!(head.contains("Content-Length: 7\r\n"), "{head}");
    assert_eq!(client.get("/next").text(), "GET /next|");
}

/// What a handler passes on of an answer, and the length that its caller is told.
struct HeadCase {
    method: &'static str,
    status: u16,
    length: &'static str,
    body: &'static [u8],
    told: Option<&'static str>,
}

/// Guards against an answer to HEAD that tells the length of a body which it doesn't have (RFC 9110, section 8.6).
#[test]
fn an_answer_to_head_tells_the_length_that_is_passed_on() {
    let case = |method, status, length, body, told| HeadCase {
        method,
        status,
        length,
        body,
        told,
    };
    let cases = [
        case("HEAD", 200, "100", b"" as &[u8], Some("100")),
        case("HEAD", 200, "", b"", None),
        case("HEAD", 200, "", b"body", Some("4")),
        case("HEAD", 404, "0", b"", Some("0")),
        case("HEAD", 200, "1x", b"", None),
        case("HEAD", 204, "100", b"", None),
        case("GET", 304, "100", b"", None),
        case("HEAD", 304, "100", b"", None),
        case("GET", 304, "", b"", None),
        case("GET", 204, "100", b"", None),
        case("GET", 200, "100", b"body", Some("4")),
        case("GET", 200, "100", b"", Some("0")),
    ];
    for case in &cases {
        let (status, length, body) = (case.status, case.length, case.body);
        let server = start(limits::Limits::default(), move |req, reply| {
            let headers = [("Content-Length", length)];
            let head = sageshed_http::reply::Head {
                status: if req.path == "/" { status } else { 200 },
                headers: if length.is_empty() { &[] } else { &headers },
                ..OK
            };
            reply.whole(&head, body)
        });
        let mut client = Client::connect(&server);
        client.send(format!("{} / HTTP/1.1\r\nHost: h\r\n\r\n", case.method).as_bytes());
        let head = client.head().expect("an answer");
        let lengths: Vec<_> = head
            .lines()
            .filter_map(|it| it.strip_prefix("Content-Length: "))
            .collect();
        assert_eq!(
            lengths,
            Vec::from_iter(case.told),
            "{} {status} {length:?}: {head}",
            case.method
        );
        if case.method == "HEAD" || matches!(status, 204 | 304) {
            let next = client.get("/next");
            assert_eq!((next.status, next.body.as_slice()), (200, body), "{head}");
        }
    }
}

#[test]
fn known_headers_come_typed_and_the_rest_can_be_forwarded() {
    let server = start(limits::Limits::default(), |req, reply| {
        let mut names: Vec<_> = req.forwarded().map(|header| header.name.as_str()).collect();
        names.sort_unstable();
        let seen = format!(
            "{:?} {:?} {:?} {:?} {:?} {:?} {names:?}",
            req.credential == secret::Credential::Bearer(secret::KeyDigest::of(b"t k")),
            req.idempotency_key,
            req.repeatable,
            req.deadline.map(|ms| ms.0),
            req.class,
            req.content_type,
        );
        reply.whole(&OK, seen.as_bytes())
    });
    let mut client = Client::connect(&server);
    client.send(
        b"GET / HTTP/1.1\r\nHost: h\r\nauthorization: bearer t k\r\nIdempotency-Key: k\r\n\
          Sageshed-Repeatable: No\r\nSageshed-Deadline-Ms: 1500\r\nSageshed-Class: callout\r\n\
          Content-Type: text/x\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n\r\n",
    );
    assert_eq!(
        client.answer().expect("an answer").text(),
        r#"true Some("k") Some(false) Some(1500) Some("callout") Some("text/x") ["#.to_owned()
            + r#""Content-Type", "Idempotency-Key", "Sageshed-Class", "Sageshed-Deadline-Ms", "#
            + r#""Sageshed-Repeatable", "X-End"]"#,
    );
}

/// An endpoint answers with a header value that holds a line end. Copied as it is, the rest of the
/// value would be read by the caller as headers, or as an answer to its next request.
#[test]
fn a_header_with_a_line_end_is_left_out() {
    let server = start(limits::Limits::default(), |_, reply| {
        let headers = [
            ("X-Bad", "a\r\nX-Forged: 1"),
            ("X-Good", "b"),
            ("Content-Length", "99"),
        ];
        let head = sageshed_http::reply::Head {
            headers: &headers,
            ..OK
        };
        reply.whole(&head, b"body")
    });
    let answer = Client::connect(&server).get("/");
    assert_eq!(answer.header("X-Forged"), None);
    assert_eq!(answer.header("X-Good"), Some("b"));
    assert_eq!(answer.text(), "body");
}

/// The callout desk's entry has as many connections as it can hold. One more caller must hear why
/// it is turned away and when to come back, before it has sent its whole request, and find a place
/// once another has left.
#[test]
fn a_connection_past_the_bound_is_refused_with_an_account() {
    let limits = limits::Limits {
        connections: 2,
        ..limits::Limits::default()
    };
    let server = start(limits, echo);
    let mut kept = [Client::connect(&server), Client::connect(&server)];
    for client in &mut kept {
        assert_eq!(client.get("/").status, 200);
    }
    let mut third = Client::connect(&server);
    let answer = third.get("/");
    assert_eq!(answer.status, 503);
    assert_eq!(answer.json()["reason"], "too_many_requests_open");
    assert_eq!(answer.json()["verdict"], "not_run");
    assert_eq!(answer.header("Retry-After"), Some("1"));
    assert_eq!(answer.header("x-should-retry"), Some("true"));
    assert!(third.at_end());
    assert_eq!(server.connections_open(), 2);
    assert_eq!(kept[0].get("/").status, 200);

    let [first, _second] = kept;
    drop(first);
    wait_for("a free place", || server.connections_open() == 1);
    assert_eq!(Client::connect(&server).get("/").status, 200);
}

/// A client library opens a connection past the bound and looks at it before it asks. Bytes that come
/// before the request look like a fault of the connection, and the account in them is lost.
#[test]
fn a_connection_past_the_bound_is_refused_only_once_it_asks() {
    let limits = limits::Limits {
        connections: 0,
        ..limits::Limits::default()
    };
    let server = start(limits, echo);
    let mut client = Client::connect(&server);
    let glance = Duration::from_millis(100);
    client
        .stream
        .set_read_timeout(Some(glance))
        .expect("a socket");
    let early = client.stream.peek(&mut [0]);
    assert_eq!(early.map_err(|e| e.kind()), Err(io::ErrorKind::WouldBlock));
    client
        .stream
        .set_read_timeout(Some(PATIENCE))
        .expect("a socket");
    assert_eq!(client.get("/").status, 503);
}

/// A fault in the daemon panics on one request. Its caller would see a broken connection and no
/// cause; what the handler had done by then is unknown, so a client must not repeat it by itself.
#[test]
fn a_handler_that_panics_is_accounted_for() {
    let server = start(limits::Limits::default(), |req, reply| {
        assert!(req.path != "/panic", "on purpose");
        echo(req, reply)
    });
    let answer = Client::connect(&server).get("/panic");
    assert_eq!(answer.status, 500);
    assert_eq!(answer.json()["reason"], "internal");
    assert_eq!(answer.json()["verdict"], "may_have_run");
    assert_eq!(answer.header("x-should-retry"), Some("false"));
    assert_eq!(Client::connect(&server).get("/").status, 200);
    assert_eq!(server.wait(PATIENCE), 0, "a connection is still counted");
}

/// An entry process shuts down while a job sheet is being drafted. The caller must get it whole, a
/// caller whose connection only stands open must not keep the process alive, and nobody new is
/// taken.
#[test]
fn shutting_down_cuts_no_request() {
    let (begun_tx, begun_rx) = mpsc::channel();
    let (go_tx, go_rx) = mpsc::channel();
    let go_rx = Mutex::new(go_rx);
    let server = start(limits::Limits::default(), move |req, reply| {
        if req.path == "/slow" {
            begun_tx.send(()).expect("the test waits");
            go_rx
                .lock()
                .expect("one user")
                .recv()
                .expect("the test says go");
        }
        echo(req, reply)
    });
    let mut idle = Client::connect(&server);
    assert_eq!(idle.get("/").status, 200);
    let mut busy = Client::connect(&server);
    busy.send(b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
    begun_rx
        .recv_timeout(PATIENCE)
        .expect("the request is handled");

    server.stop_accepting();
    server.close_idle();
    assert!(idle.at_end(), "the idle connection is still open");
    std::net::TcpStream::connect(server.local_addr()).expect_err("nobody listens");
    wait_for("the end of all but one", || server.connections_open() == 1);

    go_tx.send(()).expect("the handler waits");
    let answer = busy.answer().expect("the answer came whole");
    assert_eq!(answer.text(), "GET /slow|");
    assert_eq!(answer.header("Connection"), Some("close"));
    drop(busy);
    assert_eq!(server.wait(PATIENCE), 0);
}

/// The kernel takes a caller's connection and its request while the process is still busy with
/// earlier ones; then the process is told to end. Were the listening socket closed now, or the new
/// connections taken for idle ones, a graceful shutdown would cut requests in flight.
#[test]
fn connections_taken_by_the_kernel_are_served_after_the_stop() {
    for idle_first in [false, true] {
        let listener = listen();
        let address = listener.local_addr().expect("an address");
        let mut clients: Vec<_> = (0..50).map(|_| Client::reach(address)).collect();
        for client in &mut clients {
            client.send(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        }
        let server = start_on(listener, limits::Limits::default(), echo);
        if idle_first {
            server.close_idle();
        }
        server.stop_accepting();
        server.close_idle();
        for client in &mut clients {
            assert_eq!(client.answer().expect("an answer").text(), "GET /a|");
        }
    }
}

#[test]
fn after_drain_each_answer_is_the_last() {
    let server = start(limits::Limits::default(), echo);
    let mut client = Client::connect(&server);
    assert_eq!(client.get("/").header("Connection"), None);
    server.drain();
    assert_eq!(client.get("/").header("Connection"), Some("close"));
    assert!(client.at_end());
    assert_eq!(Client::connect(&server).get("/").status, 200);
}

#[test]
fn a_silent_connection_is_closed() {
    let limits = limits::Limits {
        idle_timeout: Duration::from_millis(50),
        ..limits::Limits::default()
    };
    let server = start(limits, echo);
    assert!(Client::connect(&server).at_end());
}

/// Guards against a request that is read although it can't be started in time: its caller could not send it elsewhere.
#[test]
fn a_request_that_can_not_be_started_is_not_read_unless_its_connection_is_in_use() {
    let limits = limits::Limits {
        starts: starts::Bounds {
            at_once: 1,
            patience: Duration::from_millis(20),
            max_lag: Duration::MAX,
            longest_start: PATIENCE,
        },
        ..limits::Limits::default()
    };
    let (go_tx, go_rx) = mpsc::channel::<()>();
    let go_rx = Mutex::new(go_rx);
    let server = start(limits, move |req, reply| {
        if req.path == "/slow" {
            go_rx.lock().expect("one user").recv().expect("a go");
        }
        echo(req, reply)
    });
    let mut kept = Client::connect(&server);
    assert_eq!(kept.get("/first").status, 200);
    let mut slow = Client::connect(&server);
    slow.send(b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_for("the slow one", || server.stats().threads > 0);
    let mut new = Client::connect(&server);
    new.send(b"GET /new HTTP/1.1\r\nHost: h\r\n\r\n");
    assert!(new.head().is_none());
    assert_eq!(server.stats().unread, 1);
    kept.send(b"GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
    go_tx.send(()).expect("it waits");
    assert_eq!(slow.answer().expect("an answer").status, 200);
    assert_eq!(kept.answer().expect("an answer").status, 200);
    assert_eq!(Client::connect(&server).get("/again").status, 200);
}

/// Guards against idle connections that keep all places, so that new callers are refused by a process with nothing to do.
#[test]
fn an_idle_connection_makes_room_for_a_new_one() {
    let limits = limits::Limits {
        connections: 2,
        ..limits::Limits::default()
    };
    let server = start(limits, echo);
    let mut idle = Client::connect(&server);
    assert_eq!(idle.get("/").status, 200);
    // A connection that was in use a moment ago is kept.
    let mut second = Client::connect(&server);
    assert_eq!(second.get("/").status, 200);
    assert_eq!(Client::connect(&server).get("/").status, 503);
    std::thread::sleep(Duration::from_millis(1_100));
    assert_eq!(second.get("/").status, 200);
    assert_eq!(Client::connect(&server).get("/new").status, 200);
    assert!(idle.at_end());
    assert_eq!(second.get("/").status, 200);
}

/// Guards against a request that is read to be refused, though its caller could have sent it to another process.
#[test]
fn a_connection_past_the_bound_is_closed_unread_if_there_are_other_processes() {
    let limits = limits::Limits {
        connections: 0,
        excess: limits::Excess::Close,
        ..limits::Limits::default()
    };
    let server = start(limits, echo);
    let mut client = Client::connect(&server);
    client.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    assert!(client.head().is_none());
    assert_eq!(server.stats().unread, 1);
}
