//! What callers can do wrong: each gets an account, and the server lives on.

mod support;

use std::{
    sync::{self, atomic},
    time::Duration,
};

use sageshed_http::limits;
use support::{Client, PATIENCE, echo, start};

struct Case {
    name: &'static str,
    input: &'static [u8],
    status: u16,
    reason: &'static str,
}

const fn case(name: &'static str, input: &'static [u8], status: u16) -> Case {
    Case {
        name,
        input,
        status,
        reason: "bad_request",
    }
}

const fn too_large(name: &'static str, input: &'static [u8], status: u16) -> Case {
    Case {
        name,
        input,
        status,
        reason: "too_large",
    }
}

const CASES: &[Case] = &[
    case("not HTTP", b"\x16\x03\x01\x02\x00\x01\r\n\r\n", 400),
    case("no version", b"GET /\r\n\r\n", 400),
    case("a later version", b"GET / HTTP/2.0\r\nHost: h\r\n\r\n", 505),
    case("the preface of HTTP/2", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 505),
    case("no host", b"GET / HTTP/1.1\r\n\r\n", 400),
    case("two hosts", b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
    case("no path", b"GET models HTTP/1.1\r\nHost: h\r\n\r\n", 400),
    case("a folded header", b"GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n", 400),
    case("a space before the colon", b"GET / HTTP/1.1\r\nHost : h\r\n\r\n", 400),
    case("a zero byte in a value", b"GET / HTTP/1.1\r\nHost: h\0i\r\n\r\n", 400),
    case(
        "a length and chunks",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    case(
        "two lengths",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        400,
    ),
    case(
        "two lengths in one header",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 4\r\n\r\nabcd",
        400,
    ),
    case("a signed length", b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", 400),
    case("an empty length", b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: \r\n\r\n", 400),
    case(
        "a length past 64 bits",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n",
        400,
    ),
    case(
        "another coding",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        501,
    ),
    case(
        "two coding headers",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n",
        501,
    ),
    case("chunks in HTTP/1.0", b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
    case("no length in HTTP/1.0", b"POST / HTTP/1.0\r\n\r\n", 411),
    case(
        "a chunk size that is no number",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        400,
    ),
    case(
        "a chunk without a size",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n\r\n\r\n",
        400,
    ),
    case(
        "a chunk with an extension and no size",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n;a=1\r\n\r\n",
        400,
    ),
    case(
        "a chunk longer than its size",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n0\r\n\r\n",
        400,
    ),
    case(
        "a chunk without a line end",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabxx0\r\n\r\n",
        400,
    ),
    case("an expectation", b"POST / HTTP/1.1\r\nHost: h\r\nExpect: tea\r\n\r\n", 417),
    case("a vague mark", b"GET / HTTP/1.1\r\nHost: h\r\nSageshed-Repeatable: on\r\n\r\n", 400),
    case("a vague deadline", b"GET / HTTP/1.1\r\nHost: h\r\nSageshed-Deadline-Ms: 1s\r\n\r\n", 400),
    case(
        "two keys",
        b"GET / HTTP/1.1\r\nHost: h\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n",
        400,
    ),
    case("an empty key", b"GET / HTTP/1.1\r\nHost: h\r\nIdempotency-Key:\r\n\r\n", 400),
    too_large("a large body", b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n", 413),
    too_large(
        "a large body after a go-ahead",
        b"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 65\r\n\r\n",
        413,
    ),
    too_large(
        "a large sum of chunks",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3f\r\n",
        413,
    ),
    too_large(
        "a chunk size past 64 bits less two",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\nffffffffffffffff\r\n",
        413,
    ),
];

fn limits() -> limits::Limits {
    limits::Limits {
        head_bytes: 512,
        body_bytes: 64,
        ..limits::Limits::default()
    }
}

/// A refusal without an account leaves a caller guessing, and a server that dies of one bad request
/// fails all others. Each case sends its bytes on a connection of its own and keeps its side open.
#[test]
fn each_bad_request_gets_its_account() {
    let server = start(limits(), echo);
    for case in CASES {
        let mut client = Client::connect(&server);
        client.send(case.input);
        let answer = client
            .answer()
            .unwrap_or_else(|| panic!("{}: no answer", case.name));
        assert_eq!(answer.status, case.status, "{}: {answer:?}", case.name);
        let json = answer.json();
        assert_eq!(json["reason"], case.reason, "{}", case.name);
        assert_eq!(json["status"], case.status, "{}", case.name);
        assert_eq!(json["verdict"], "not_run", "{}", case.name);
        assert_eq!(json["revision"], support::REVISION.0, "{}", case.name);
        assert_eq!(
            json["request_id"],
            answer.header("Sageshed-Request-Id").unwrap_or_default(),
            "{}",
            case.name
        );
        assert!(client.at_end(), "{}: the connection stays open", case.name);
        assert_eq!(
            Client::connect(&server).get("/alive").status,
            200,
            "{}",
            case.name
        );
    }
}

struct Large {
    name: &'static str,
    head: String,
    status: u16,
    reason: &'static str,
}

const CHUNKED: &str = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

#[test]
fn a_large_head_says_which_part_is_too_large() {
    let server = start(limits(), echo);
    let cases = [
        Large {
            name: "a path without end",
            head: format!("GET /{}", "a".repeat(600)),
            status: 414,
            reason: "too_large",
        },
        Large {
            name: "headers without end",
            head: format!("GET / HTTP/1.1\r\nHost: h\r\nA: {}", "a".repeat(600)),
            status: 431,
            reason: "too_large",
        },
        Large {
            name: "a whole head over the limit",
            head: format!(
                "GET / HTTP/1.1\r\nHost: h\r\nA: {}\r\n\r\n",
                "a".repeat(600)
            ),
            status: 431,
            reason: "too_large",
        },
        Large {
            name: "a line with a chunk's size without end",
            head: format!("{CHUNKED}1;{}", "a".repeat(2_000)),
            status: 400,
            reason: "bad_request",
        },
        Large {
            name: "headers after the last chunk without end",
            head: format!("{CHUNKED}0\r\nA: {}", "a".repeat(9_000)),
            status: 431,
            reason: "too_large",
        },
        Large {
            name: "many headers",
            head: format!("GET / HTTP/1.1\r\nHost: h\r\n{}\r\n", "a:\r\n".repeat(110)),
            status: 431,
            reason: "too_large",
        },
    ];
    for case in cases {
        let mut client = Client::connect(&server);
        client.send(case.head.as_bytes());
        let answer = client.answer().expect(case.name);
        assert_eq!(answer.status, case.status, "{}", case.name);
        assert_eq!(answer.json()["reason"], case.reason, "{}", case.name);
    }
}

/// A lodge uploads a listing that is too large. The entry refuses it by its head, while the body is
/// still on its way. If the entry closed at once, the kernel would reset the connection over the
/// unread bytes: the lodge's client fails while it writes and never reads the account.
#[test]
fn a_refusal_in_the_middle_of_an_upload_arrives() {
    let server = start(limits(), echo);
    for _ in 0..5 {
        let mut client = Client::connect(&server);
        client.send(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n");
        for _ in 0..30 {
            assert!(client.send(&[b'x'; 10_000]), "the connection was reset");
        }
        let answer = client.answer().expect("an answer");
        assert_eq!(answer.status, 413);
        assert_eq!(answer.json()["reason"], "too_large");
    }
}

/// How a caller ends its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    HalfClose,
    Close,
    Reset,
}

/// A visitor centre's connection breaks in the middle of a request. The entry cannot know the rest,
/// so it must not run the part that came: it says so to whoever still reads.
#[test]
fn a_request_cut_short_is_refused_and_not_run() {
    let handled = sync::Arc::new(atomic::AtomicUsize::new(0));
    let counter = sync::Arc::clone(&handled);
    let server = start(limits(), move |req, reply| {
        counter.fetch_add(1, atomic::Ordering::SeqCst);
        echo(req, reply)
    });
    let cases: [&[u8]; 13] = [
        b"POST / HTTP/1.1\r\nHost: h\r\nConte",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc",
        b"POST / HTTP/1.0\r\nContent-Length: 9\r\n\r\nabc",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r",
    ];
    let ends = [End::HalfClose, End::Close, End::Reset];
    for (input, end) in cases.iter().flat_map(|it| ends.map(|end| (it, end))) {
        let mut client = Client::connect(&server);
        client.send(input);
        match end {
            End::HalfClose => {
                let ended = client.stream.shutdown(std::net::Shutdown::Write);
                ended.expect("a socket");
                let answer = client.answer().expect("an answer");
                assert_eq!(
                    (answer.status, &answer.json()["reason"]),
                    (400, &"bad_request".into())
                );
            }
            End::Close => {}
            End::Reset => {
                let linger = Some(Duration::ZERO);
                rustix::net::sockopt::set_socket_linger(&client.stream, linger).expect("a socket");
            }
        }
    }
    server.stop_accepting();
    assert_eq!(server.wait(PATIENCE), 0);
    assert_eq!(handled.load(atomic::Ordering::SeqCst), 0);
}

/// A caller sends a byte every few milliseconds. Each read succeeds, so a timeout over single reads
/// never ends it, and a few hundred such callers hold every thread. The limit is over the whole.
#[test]
fn a_request_that_drips_is_ended() {
    let short = Duration::from_millis(200);
    let limits = limits::Limits {
        head_timeout: short,
        body_timeout: short,
        ..limits::Limits::default()
    };
    let server = start(limits, echo);
    let long = "a".repeat(200);
    let cases: [(&str, String); 3] = [
        (
            "",
            format!("GET / HTTP/1.1\r\nHost: h\r\nA: {long}\r\n\r\n"),
        ),
        (
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n",
            long,
        ),
        (
            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
            format!("{}0\r\n\r\n", "1\r\na\r\n".repeat(40)),
        ),
    ];
    for (at_once, dripped) in cases {
        let mut client = Client::connect(&server);
        client.send(at_once.as_bytes());
        for byte in dripped.as_bytes() {
            if !client.send(&[*byte]) {
                break;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let answer = client.answer().expect("an answer");
        assert_eq!(answer.status, 408, "{at_once}");
        assert_eq!(answer.json()["reason"], "request_timeout");
    }
}
