//! Exchanges with endpoints that answer well, late, wrong or not at all, over real sockets.

use std::{
    cell,
    io::{Read, Write},
    net, thread, time,
};

use rustix::net::sockopt;

use sageshed_types::body::Body;
use sageshed_upstream::{
    exchange::{Patience, Piece, Request},
    failure::{Cause, Failure},
    pool::{Pool, Settings},
};

/// What an endpoint does with one connection, request by request.
type Script = Vec<&'static [u8]>;

fn listen() -> (net::TcpListener, net::SocketAddrV4) {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let net::SocketAddr::V4(address) = listener.local_addr().expect("bound") else {
        unreachable!("bound to an IPv4 address")
    };
    (listener, address)
}

/// An endpoint that answers the requests of each connection by its script and then closes it.
fn endpoint(scripts: Vec<Script>) -> net::SocketAddrV4 {
    let (listener, address) = listen();
    thread::spawn(move || {
        for script in scripts {
            let (mut stream, _) = listener.accept().expect("a connection");
            for answer in script {
                read_request(&mut stream);
                stream.write_all(answer).expect("the other end reads");
            }
            // Closed in an orderly way, with nothing unread.
            drop(stream.shutdown(net::Shutdown::Write));
            drop(stream.read(&mut [0; 64]));
        }
    });
    address
}

fn read_request(stream: &mut net::TcpStream) {
    let mut seen = Vec::new();
    let mut buf = [0; 1024];
    while !seen.windows(4).any(|it| it == b"\r\n\r\n") {
        match stream.read(&mut buf).expect("a request") {
            0 => return,
            n => seen.extend_from_slice(&buf[..n]),
        }
    }
}

fn get<'a>() -> Request<'a> {
    Request {
        method: "GET",
        target: "/x?y=1",
        headers: vec![("Host", b"a.example")],
        body: Body::default(),
    }
}

const LONG: time::Duration = time::Duration::from_secs(20);

fn ask(pool: &Pool, address: net::SocketAddrV4) -> Result<Vec<u8>, Failure> {
    send(pool, address, &get(), &|| false)
}

/// Sends a request and reads its answer, unless `stop` ends the wait.
fn send<S: Fn() -> bool>(
    pool: &Pool,
    address: net::SocketAddrV4,
    req: &Request<'_>,
    stop: &S,
) -> Result<Vec<u8>, Failure> {
    let patience = Patience {
        until: time::Instant::now() + LONG,
        stop,
    };
    let mut answer = pool.exchange(address, req, LONG, &patience)?;
    let body = answer.read_whole(1_000, &patience)?;
    pool.keep(address, answer);
    Ok(body)
}

/// An answer as it comes, and what is made of it.
struct Case {
    name: &'static str,
    answer: &'static [u8],
    body: Result<&'static [u8], Cause>,
    /// Whether the connection may carry another request.
    kept: bool,
}

fn malformed(name: &'static str, answer: &'static [u8]) -> Case {
    Case {
        name,
        answer,
        body: Err(Cause::Malformed),
        kept: false,
    }
}

#[test]
fn an_answer_counts_only_if_it_is_whole() {
    let cases = [
        Case {
            name: "with a length",
            answer: b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
            body: Ok(b"hello"),
            kept: true,
        },
        Case {
            name: "in chunks",
            answer: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
            body: Ok(b"hello"),
            kept: true,
        },
        Case {
            name: "without a body",
            answer: b"HTTP/1.1 204 No Content\r\n\r\n",
            body: Ok(b""),
            kept: true,
        },
        Case {
            name: "the endpoint closes",
            answer: b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello",
            body: Ok(b"hello"),
            kept: false,
        },
        Case {
            name: "up to the end of the connection",
            answer: b"HTTP/1.1 200 OK\r\n\r\nhello",
            body: Ok(b"hello"),
            kept: false,
        },
        Case {
            name: "bytes behind the answer",
            answer: b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\n",
            body: Ok(b"hello"),
            kept: false,
        },
        Case {
            name: "cut in the length",
            answer: b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello",
            body: Err(Cause::ClosedInAnswer),
            kept: false,
        },
        Case {
            name: "cut in a chunk",
            answer: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello",
            body: Err(Cause::ClosedInAnswer),
            kept: false,
        },
        Case {
            name: "cut before the last chunk",
            answer: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
            body: Err(Cause::ClosedInAnswer),
            kept: false,
        },
        Case {
            name: "a chunk longer than its size",
            answer: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhello\r\n0\r\n\r\n",
            body: Err(Cause::Malformed),
            kept: false,
        },
        Case {
            name: "a length and a coding",
            answer: b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
            body: Err(Cause::Malformed),
            kept: false,
        },
        Case {
            name: "no HTTP",
            answer: b"hello, who is there?\r\n\r\n",
            body: Err(Cause::Malformed),
            kept: false,
        },
        Case {
            name: "nothing",
            answer: b"",
            body: Err(Cause::ClosedBeforeAnswer),
            kept: false,
        },
        Case {
            name: "a continuation first",
            answer: b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            body: Ok(b"ok"),
            kept: true,
        },
    ];
    check(&cases);
}

fn check(cases: &[Case]) {
    let mut failures = Vec::new();
    for case in cases {
        let address = endpoint(vec![vec![case.answer]]);
        let pool = Pool::new(Settings::default());
        let body = ask(&pool, address).map_err(|e| {
            assert!(e.is_sent, "{}: it may have run", case.name);
            e.cause
        });
        let is_kept = pool.idle() > 0;
        if body != case.body.map(<[u8]>::to_vec) || (is_kept && !case.kept) {
            failures.push((case.name, body, is_kept));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a request that is sent on a connection which its endpoint closes, and is lost there.
#[test]
fn a_connection_that_the_endpoint_will_close_is_not_kept() {
    let cases: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nConnection: x, Close\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nConnection: x\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nConnection: \xff, close\r\nContent-Length: 2\r\n\r\nok",
    ];
    for (number, answer) in cases.into_iter().enumerate() {
        // The endpoint waits for a second request, so the connection is open.
        let address = endpoint(vec![vec![answer, b""]]);
        let pool = Pool::new(Settings::default());
        assert_eq!(ask(&pool, address).expect("whole"), b"ok");
        assert_eq!(pool.idle(), 0, "case {number}");
    }
}

/// Guards against a part of a body that passes for the whole since only one of the fields that delimit it was read.
#[test]
fn an_answer_whose_end_cannot_be_told_is_malformed() {
    let cases = [
        malformed(
            "two lengths, the first too short",
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 5\r\n\r\nhello",
        ),
        malformed(
            "two lengths, the last too short",
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\ncontent-length: 2\r\n\r\nhello",
        ),
        malformed(
            "two lengths in one field",
            b"HTTP/1.1 200 OK\r\nContent-Length: 2, 5\r\n\r\nhello",
        ),
        malformed(
            "a length and no number",
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: x\r\n\r\nhello",
        ),
        malformed(
            "a sign",
            b"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nhello",
        ),
        malformed(
            "an empty length",
            b"HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nhello",
        ),
        malformed(
            "a length that is not text",
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\xff\r\n\r\nhe",
        ),
        malformed(
            "a length and a coding that is not text",
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\xff\r\n\r\nhello",
        ),
        malformed(
            "a coding that is not text",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\xff\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        ),
        malformed(
            "a second coding",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n0\r\n\r\n",
        ),
        malformed(
            "a coding in HTTP/1.0",
            b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        ),
        malformed(
            "two lengths without a body",
            b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n",
        ),
        malformed(
            "two lengths in an interim response",
            b"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        ),
        malformed(
            "a chunk without a size",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n\r\n3\r\nllo\r\n0\r\n\r\n",
        ),
        malformed(
            "a chunk without a size before the end",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n\r\n\r\n",
        ),
        malformed(
            "a chunk with an extension and no size",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n;a=1\r\n\r\n",
        ),
        malformed(
            "a trailer that is the head of the next answer",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        ),
        malformed(
            "a trailer that is a chunk",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n0\r\n3\r\nllo\r\n0\r\n\r\n",
        ),
        Case {
            name: "a trailer",
            answer: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n",
            body: Ok(b"hello"),
            kept: true,
        },
        Case {
            name: "the same length twice",
            answer: b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5, 5\r\n\r\nhello",
            body: Ok(b"hello"),
            kept: true,
        },
    ];
    check(&cases);
}

/// Lines that are no fields, or whose body others would delimit differently.
const BROKEN_LINES: [(&str, &str); 18] = [
    ("a blank in a name", "X Y: z"),
    ("a blank before the colon", "X : z"),
    ("a tab before the colon", "X\t: z"),
    ("a control byte in a name", "X\u{1}Y: z"),
    ("a NUL in a name", "X\0Y: z"),
    ("DEL in a name", "X\u{7f}Y: z"),
    ("a byte above 127 in a name", "X\u{e9}Y: z"),
    ("brackets in a name", "X(Y): z"),
    ("a quote in a name", "X\"Y: z"),
    ("an empty name", ": z"),
    ("a line without a colon", "X"),
    ("a folded field", "X: y\r\n z: a"),
    ("a NUL in a value", "X: y\0z"),
    ("a control byte in a value", "X: y\u{1}z"),
    ("a carriage return in a value", "X: y\rz"),
    ("a blank in the name of the length", "Content- Length: 2"),
    (
        "a blank behind the name of the length",
        "Content-Length : 2",
    ),
    (
        "a blank behind the name of the coding",
        "Transfer-Encoding : chunked",
    ),
];

/// Guards against a line of a head that is passed on though it is no field, and against a body that it delimits.
#[test]
fn a_head_that_is_no_list_of_fields_is_malformed() {
    let cases = BROKEN_LINES.map(|(name, line)| {
        let answer = format!("HTTP/1.1 200 OK\r\n{line}\r\nContent-Length: 5\r\n\r\nhello");
        malformed(name, answer.leak().as_bytes())
    });
    check(&cases);
    check(&[
        malformed(
            "a blank before the first field",
            b"HTTP/1.1 200 OK\r\n X: y\r\nContent-Length: 5\r\n\r\nhello",
        ),
        malformed(
            "a blank in a name of an interim response",
            b"HTTP/1.1 100 Continue\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        ),
        malformed(
            "a blank in a name of a trailer",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX Y: z\r\n\r\n",
        ),
    ]);
}

/// Guards against an answer that is passed on though its first line is not one of HTTP/1.
#[test]
fn an_answer_with_another_first_line_is_malformed() {
    let lines = [
        "HTTP/1.1 200 O\u{1}K",
        "HTTP/1.1 200 O\0K",
        "HTTP/0.9 200 OK",
        "HTTP/1.2 200 OK",
        "HTTP/2.0 200 OK",
        "http/1.1 200 OK",
    ];
    let cases = lines.map(|line| {
        let answer = format!("{line}\r\nContent-Length: 5\r\n\r\nhello");
        malformed(line, answer.leak().as_bytes())
    });
    check(&cases);
}

/// Guards against bytes of another protocol that are read as the answer, after a switch that no request asks for.
#[test]
fn a_switch_to_another_protocol_is_malformed() {
    check(&[
        malformed(
            "alone",
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
        ),
        malformed(
            "before an answer",
            b"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        ),
        Case {
            name: "another interim response",
            answer: b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
            body: Ok(b"hello"),
            kept: true,
        },
    ]);
}

/// Guards against an answer that reaches a caller with a status that HTTP does not define (RFC 9110, section 15).
#[test]
fn an_answer_with_an_undefined_status_is_malformed() {
    let cases = [
        malformed(
            "000 with a length",
            b"HTTP/1.1 000 X\r\nContent-Length: 5\r\n\r\nhello",
        ),
        malformed("000 without a length", b"HTTP/1.1 000 X\r\n\r\nhello"),
        malformed(
            "000 in chunks",
            b"HTTP/1.1 000 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        ),
        malformed(
            "000 in HTTP/1.0",
            b"HTTP/1.0 000 X\r\nContent-Length: 5\r\n\r\nhello",
        ),
        malformed(
            "000 without a reason",
            b"HTTP/1.1 000\r\nContent-Length: 5\r\n\r\nhello",
        ),
        malformed(
            "000 after an interim response",
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\nContent-Length: 5\r\n\r\nhello",
        ),
        malformed("001", b"HTTP/1.1 001 X\r\nContent-Length: 5\r\n\r\nhello"),
        malformed("099", b"HTTP/1.1 099 X\r\nContent-Length: 5\r\n\r\nhello"),
        malformed("600", b"HTTP/1.1 600 X\r\nContent-Length: 5\r\n\r\nhello"),
        malformed("999", b"HTTP/1.1 999 X\r\nContent-Length: 5\r\n\r\nhello"),
        malformed(
            "two digits",
            b"HTTP/1.1 20 X\r\nContent-Length: 5\r\n\r\nhello",
        ),
        malformed(
            "four digits",
            b"HTTP/1.1 2000 X\r\nContent-Length: 5\r\n\r\nhello",
        ),
        malformed(
            "a sign",
            b"HTTP/1.1 +20 X\r\nContent-Length: 5\r\n\r\nhello",
        ),
        Case {
            name: "599",
            answer: b"HTTP/1.1 599 X\r\nContent-Length: 5\r\n\r\nhello",
            body: Ok(b"hello"),
            kept: true,
        },
    ];
    check(&cases);
}

/// Nobody listens: the request was certainly not run, and another endpoint may have it.
#[test]
fn a_refused_connection_means_that_nothing_was_sent() {
    let (listener, address) = listen();
    drop(listener);
    let failure = ask(&Pool::new(Settings::default()), address).expect_err("nobody listens");
    assert_eq!((failure.cause, failure.is_sent), (Cause::Refused, false));
}

#[test]
fn a_kept_connection_carries_the_next_request() {
    const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let address = endpoint(vec![vec![OK, OK, OK]]);
    let pool = Pool::new(Settings::default());
    for _ in 0..3 {
        assert_eq!(ask(&pool, address).expect("answered"), b"ok");
    }
    assert_eq!(pool.opened(), 1);
}

/// Guards against idle connections that fill the link and the memory of a VM: an endpoint goes on sending after its answer.
#[test]
fn an_idle_connection_on_which_bytes_arrive_is_closed() {
    static AFTER_ANSWER: EndlessCase = EndlessCase {
        name: "bytes after an answer",
        head: b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=60\r\n\r\nok",
        bytes: b".",
        interval: time::Duration::from_millis(200),
    };
    let (address, sending) = endless(&AFTER_ANSWER);
    let pool = Pool::new(Settings::default());
    assert_eq!(ask(&pool, address).expect("answered"), b"ok");
    let until = time::Instant::now() + LONG;
    while pool.idle() > 0 && time::Instant::now() < until {
        pool.sweep();
        thread::sleep(PART_INTERVAL);
    }
    assert_eq!(pool.idle(), 0);
    sending.join().expect("the endpoint stops");
}

/// The endpoint closes a kept connection. A request that may run only once must not be put on it: it
/// would be lost, and could not be sent again.
#[test]
fn a_connection_that_was_closed_meanwhile_is_not_used() {
    const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let address = endpoint(vec![vec![OK], vec![OK]]);
    let pool = Pool::new(Settings::default());
    assert_eq!(ask(&pool, address).expect("answered"), b"ok");
    // The close is on its way; a request that came first would be answered by it.
    thread::sleep(time::Duration::from_millis(100));
    assert_eq!(ask(&pool, address).expect("answered on a new one"), b"ok");
    assert_eq!(pool.opened(), 2);
}

/// The answer to an earlier request arrives late, where the answer to this one is expected. Whoever
/// knows the ids passes over it, and the right one follows.
#[test]
fn an_answer_to_another_request_is_passed_over() {
    let address = endpoint(vec![vec![
        b"HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nId: new\r\nContent-Length: 3\r\n\r\nnew",
    ]]);
    let pool = Pool::new(Settings::default());
    let patience = Patience {
        until: time::Instant::now() + LONG,
        stop: &|| false,
    };
    let first = pool
        .exchange(address, &get(), LONG, &patience)
        .expect("an answer");
    assert_eq!(first.head.value("id").given(), Some("old"));
    let sent = first.pass_over(1_000, &patience).expect("more can come");
    let mut second = sent.head(&patience).expect("another");
    assert_eq!(second.head.value("id").given(), Some("new"));
    assert_eq!(second.read_whole(1_000, &patience).expect("whole"), b"new");
}

/// An endpoint goes silent. Whoever waits is told when its time is over, and at once when it is no
/// longer wanted.
#[test]
fn a_silent_endpoint_ends_the_wait_in_time_and_when_nobody_waits() {
    let (_silent, address) = listen();
    let pool = Pool::new(Settings::default());
    let soon = Patience {
        until: time::Instant::now() + time::Duration::from_millis(250),
        stop: &|| false,
    };
    let failure = pool
        .exchange(address, &get(), LONG, &soon)
        .expect_err("nobody answers");
    assert_eq!((failure.cause, failure.is_sent), (Cause::Silent, true));
    let unwanted = Patience {
        until: time::Instant::now() + LONG,
        stop: &|| true,
    };
    let failure = pool
        .exchange(address, &get(), LONG, &unwanted)
        .expect_err("nobody waits");
    assert_eq!((failure.cause, failure.is_sent), (Cause::Interrupted, true));
}

/// Bytes that an endpoint sends until the connection is closed.
struct EndlessCase {
    name: &'static str,
    head: &'static [u8],
    bytes: &'static [u8],
    interval: time::Duration,
}

/// The time between two parts of an answer without end, if it is not sent as fast as it is read.
const PART_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// An endpoint that sends `case` on its first connection, and the thread that ends with the connection.
fn endless(case: &'static EndlessCase) -> (net::SocketAddrV4, thread::JoinHandle<()>) {
    let (listener, address) = listen();
    let sending = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_request(&mut stream);
        let mut sent = stream.write_all(case.head);
        while sent.is_ok() {
            thread::sleep(case.interval);
            sent = stream.write_all(case.bytes);
        }
    });
    (address, sending)
}

/// A time that is shorter than any limit on the time of a part of an answer.
const SHORT: time::Duration = time::Duration::from_millis(500);

/// How much of a body may be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Bound {
    None,
    Bytes(usize),
}

/// Asks an endpoint that sends `case`, for this time or until nobody waits.
fn ask_endless(
    case: &'static EndlessCase,
    time: time::Duration,
    is_unwanted: bool,
    bound: Bound,
) -> Failure {
    let (address, sending) = endless(case);
    let patience = Patience {
        until: time::Instant::now() + time,
        stop: &|| is_unwanted,
    };
    let pool = Pool::new(Settings::default());
    let body = pool
        .exchange(address, &get(), LONG, &patience)
        .and_then(|mut it| match bound {
            Bound::Bytes(most) => it.read_whole(most, &patience).map(drop),
            Bound::None => loop {
                if it.read(&patience)? == Piece::End {
                    return Ok(());
                }
            },
        });
    // The connection is closed by now, so that the endpoint stops.
    sending.join().expect("the endpoint stops");
    body.expect_err(case.name)
}

static ENDLESS: [EndlessCase; 6] = [
    EndlessCase {
        name: "a first line",
        head: b"HTTP/1.1 200 ",
        bytes: b".",
        interval: PART_INTERVAL,
    },
    EndlessCase {
        name: "a header",
        head: b"HTTP/1.1 200 OK\r\nX: ",
        bytes: b".",
        interval: PART_INTERVAL,
    },
    EndlessCase {
        name: "a body with a length",
        head: b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n",
        bytes: b".",
        interval: PART_INTERVAL,
    },
    EndlessCase {
        name: "a body without a length, as fast as it is read",
        head: b"HTTP/1.1 200 OK\r\n\r\n",
        bytes: &[b'.'; 1_024],
        interval: time::Duration::ZERO,
    },
    EndlessCase {
        name: "chunks",
        head: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        bytes: b"1\r\n.\r\n",
        interval: PART_INTERVAL,
    },
    EndlessCase {
        name: "the size of a chunk",
        head: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
        bytes: b".",
        interval: PART_INTERVAL,
    },
];

/// Guards against a wait that never ends since bytes arrive all the time.
#[test]
fn an_answer_without_end_ends_the_wait_in_time_and_when_nobody_waits() {
    for case in &ENDLESS {
        let failure = ask_endless(case, SHORT, false, Bound::None);
        assert_eq!(failure.cause, Cause::Silent, "{}: {failure}", case.name);
        let failure = ask_endless(case, LONG, true, Bound::None);
        assert_eq!(
            failure.cause,
            Cause::Interrupted,
            "{}: {failure}",
            case.name
        );
    }
}

/// The largest body in the tests of answers that are longer than any may be, in bytes.
const BODY_BYTES: usize = 1 << 30;

static TOO_LONG: [EndlessCase; 4] = [
    EndlessCase {
        name: "interim responses",
        head: b"",
        bytes: b"HTTP/1.1 100 Continue\r\n\r\n",
        interval: time::Duration::ZERO,
    },
    EndlessCase {
        name: "lines of a trailer",
        head: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        bytes: b"X: .\r\n",
        interval: time::Duration::ZERO,
    },
    EndlessCase {
        name: "a line of a trailer",
        head: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        bytes: b"....",
        interval: time::Duration::ZERO,
    },
    EndlessCase {
        name: "a length that is too large",
        head: b"HTTP/1.1 200 OK\r\nContent-Length: 4000000000\r\n\r\n",
        bytes: b".",
        interval: PART_INTERVAL,
    },
];

/// Guards against a wait for an answer of which more has come than an answer may hold.
#[test]
fn an_answer_that_is_longer_than_any_may_be_is_malformed() {
    for case in &TOO_LONG {
        let failure = ask_endless(case, SHORT, false, Bound::Bytes(BODY_BYTES));
        assert_eq!(failure.cause, Cause::Malformed, "{}", case.name);
    }
}

/// Guards against a request that waits at an endpoint which sends a head byte by byte, until its deadline.
#[test]
fn a_head_that_does_not_end_is_malformed_before_the_deadline() {
    for case in &ENDLESS[..2] {
        let failure = ask_endless(case, LONG, false, Bound::Bytes(BODY_BYTES));
        assert_eq!(failure.cause, Cause::Malformed, "{}", case.name);
    }
}

/// Guards against a sound endpoint that is left since it was silent inside a head.
#[test]
fn an_endpoint_may_pause_inside_a_head() {
    let (listener, address) = listen();
    let sending = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_request(&mut stream);
        let parts = ["HTTP/1.1 200 OK\r\n", "Content-", "Length: 2\r\n\r\nok"];
        for part in parts {
            stream.write_all(part.as_bytes()).expect("it is read");
            thread::sleep(time::Duration::from_millis(800));
        }
    });
    assert_eq!(
        ask(&Pool::new(Settings::default()), address).expect("whole"),
        b"ok"
    );
    sending.join().expect("it ends");
}

/// Guards against a late answer that is dropped although all of it has arrived.
#[test]
fn an_answer_that_has_arrived_is_read_after_the_time_is_over() {
    let mut whole = b"HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n".to_vec();
    whole.resize(whole.len() + 40_000, b'.');
    let address = endpoint(vec![vec![whole.leak()]]);
    let pool = Pool::new(Settings::default());
    let time = time::Duration::from_millis(300);
    let patience = Patience {
        until: time::Instant::now() + time,
        stop: &|| false,
    };
    let answer = pool.exchange(address, &get(), LONG, &patience);
    let mut answer = answer.expect("its head");
    thread::sleep(time);
    let body = answer.read_whole(usize::MAX, &patience).expect("its body");
    assert_eq!(body.len(), 40_000);
}

/// A body that no buffers of two sockets hold.
const LONG_BODY: usize = 64 << 20;

fn post<'a>() -> Request<'a> {
    Request {
        method: "POST",
        body: vec![b'x'; LONG_BODY].into(),
        ..get()
    }
}

/// Ends a connection by a reset.
fn reset(stream: net::TcpStream) {
    let linger = Some(time::Duration::ZERO);
    sockopt::set_socket_linger(&stream, linger).expect("an open socket");
    drop(stream);
}

/// How an endpoint ends a connection.
#[derive(Debug, Clone, Copy)]
enum Ending {
    Reset,
    /// It closes the connection. Its system resets it where a part of the request is unread.
    Close,
    /// It ends its side in good order before the reset.
    EndAndReset,
    /// It ends its side in good order, and waits until the other end has closed the connection.
    HalfClose,
}

impl Ending {
    fn end(self, mut stream: net::TcpStream) {
        let end_side = |it: &net::TcpStream| it.shutdown(net::Shutdown::Write);
        match self {
            Self::Reset => reset(stream),
            Self::Close => drop(stream),
            Self::EndAndReset => {
                end_side(&stream).expect("it is open");
                reset(stream);
            }
            Self::HalfClose => {
                end_side(&stream).expect("it is open");
                while stream.read(&mut [0; 64]).is_ok_and(|n| n > 0) {}
            }
        }
    }
}

/// Guards against a part of an answer that passes for the whole: the write of a long request meets the reset of the connection,
/// and a read after it an orderly end.
#[test]
fn an_answer_that_is_reset_while_the_request_is_written_is_not_whole() {
    for ending in [Ending::Reset, Ending::Close, Ending::EndAndReset] {
        let (listener, address) = listen();
        let endpoint = cell::Cell::new(Some(listener));
        let has_waited = cell::Cell::new(false);
        // Called while a write waits for the endpoint, so that the next call which meets the reset is a write.
        let answer_and_end = || {
            if let Some(listener) = endpoint.take() {
                let (mut stream, _) = listener.accept().expect("a connection");
                let part = b"HTTP/1.1 200 OK\r\n\r\nhel";
                stream.write_all(part).expect("the other end is open");
                ending.end(stream);
                has_waited.set(true);
            }
            false
        };
        let pool = Pool::new(Settings::default());
        let body = send(&pool, address, &post(), &answer_and_end);
        assert!(has_waited.get(), "a write waits for the endpoint");
        assert_eq!(
            body.map_err(|e| (e.cause, e.is_sent)),
            Err((Cause::ClosedInAnswer, true)),
            "{ending:?}"
        );
    }
}

/// An endpoint that ends each of its connections inside `head`, as [`cuts`] says.
fn ends_inside(head: &'static [u8]) -> net::SocketAddrV4 {
    let (listener, address) = listen();
    thread::spawn(move || {
        for (offset, ending) in cuts(head) {
            let (mut stream, _) = listener.accept().expect("a connection");
            read_request(&mut stream);
            stream.write_all(&head[..offset]).expect("it is open");
            ending.end(stream);
        }
    });
    address
}

/// Each offset inside `head`, with each ending.
fn cuts(head: &[u8]) -> impl Iterator<Item = (usize, Ending)> + use<> {
    let endings = [Ending::Close, Ending::HalfClose, Ending::Reset];
    (0..head.len()).flat_map(move |offset| endings.map(|it| (offset, it)))
}

/// The head of an answer.
struct HeadCase {
    name: &'static str,
    head: &'static [u8],
}

static HEADS: [HeadCase; 7] = [
    HeadCase {
        name: "a length first",
        head: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: a\r\n\r\n",
    },
    HeadCase {
        name: "a length last",
        head: b"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 12\r\n\r\n",
    },
    HeadCase {
        name: "chunks",
        head: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: a\r\n\r\n",
    },
    HeadCase {
        name: "neither a length nor chunks",
        head: b"HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\n\r\n",
    },
    HeadCase {
        name: "HTTP/1.0",
        head: b"HTTP/1.0 200 OK\r\nId: a\r\nContent-Type: text/plain\r\n\r\n",
    },
    HeadCase {
        name: "no body",
        head: b"HTTP/1.1 204 No Content\r\nId: a\r\nDate: x\r\n\r\n",
    },
    HeadCase {
        name: "an interim response first",
        head: b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\n\r\n",
    },
];

/// Guards against an answer that passes for a whole one with an empty or short body though its head has not come whole.
#[test]
fn an_answer_that_ends_inside_its_head_is_none() {
    let mut taken = Vec::new();
    for HeadCase { name, head } in &HEADS {
        let address = ends_inside(head);
        for (offset, ending) in cuts(head) {
            let body = ask(&Pool::new(Settings::default()), address);
            let failure = body.as_ref().map_err(|e| (e.cause, e.is_sent));
            if failure != Err((Cause::ClosedBeforeAnswer, true)) {
                taken.push((name, offset, ending, body));
            }
        }
    }
    assert!(taken.is_empty(), "{taken:?}");
}

/// Heads of which a part is followed by a whole answer.
static BROKEN_HEADS: [HeadCase; 3] = [
    HeadCase {
        name: "a type and a date",
        head: b"HTTP/1.1 200 OK\r\nContent-Type: text/plain; a=b\r\nDate: Mon, 07 Dec 2026 00:00:00 GMT\r\n\r\n",
    },
    HeadCase {
        name: "fields that the answer does not have",
        head: b"HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 00:00:00 GMT\r\nX: \"a b\"\r\nEmpty: \r\n\r\n",
    },
    HeadCase {
        name: "an interim response first",
        head: b"HTTP/1.1 103 Early Hints\r\nDate: x\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nDate: x\r\n\r\n",
    },
];

/// Guards against two answers that are taken for one with the status of the first and the body of the second.
#[test]
fn an_answer_that_begins_inside_the_head_of_another_is_malformed() {
    const ANSWER: &[u8] =
        b"HTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\nDate: Mon, 07 Dec 2026 00:00:00 GMT\r\nContent-Length: 2\r\n\r\nno";
    let mut taken = Vec::new();
    for HeadCase { name, head } in &BROKEN_HEADS {
        for offset in 1..head.len() {
            if head[..offset].ends_with(b"\r\n\r\n") {
                continue;
            }
            let joined = [&head[..offset], ANSWER].concat();
            let address = endpoint(vec![vec![joined.leak()]]);
            let body = ask(&Pool::new(Settings::default()), address);
            if !matches!(&body, Err(e) if e.cause == Cause::Malformed) {
                let part = String::from_utf8_lossy(&head[..offset]);
                taken.push((name, part, body));
            }
        }
    }
    assert!(taken.is_empty(), "{}: {taken:#?}", taken.len());
}

/// Guards against a sound endpoint whose answers are refused since a field tells of an answer or is given twice.
#[test]
fn an_answer_with_fields_that_tell_of_another_answer_is_passed_on() {
    let cases: [&[u8]; 6] = [
        b"HTTP/1.1 200 OK\r\nX-Upstream: HTTP/1.1 502 Bad Gateway\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nX-Upstream: got HTTP/1.1 502 Bad Gateway\r\nVary: a\r\nVary: b\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nWarning: 199 - \"HTTP/1.1 404 Not Found\"\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nDate: a\r\nServer: a\r\nDate: a\r\nServer: b\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nX: zHTTP/1.1 2 00\r\nContent-Length: 2\r\n\r\nok",
    ];
    for (number, answer) in cases.into_iter().enumerate() {
        let address = endpoint(vec![vec![answer]]);
        let body = ask(&Pool::new(Settings::default()), address);
        assert_eq!(body.expect("whole"), b"ok", "case {number}");
    }
}

/// How often it is looked whether more of an answer has arrived.
const LOOKS: usize = 10;

/// Guards against a part of an answer that passes for the whole: looking whether more has arrived meets the reset of the
/// connection, and a read after it an orderly end.
#[test]
fn an_answer_that_is_reset_while_nobody_reads_it_is_not_whole() {
    let (listener, address) = listen();
    let answering = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_request(&mut stream);
        let part = b"HTTP/1.1 200 OK\r\n\r\nhel";
        stream.write_all(part).expect("the other end reads");
        stream
    });
    let patience = Patience {
        until: time::Instant::now() + LONG,
        stop: &|| false,
    };
    let answer = Pool::new(Settings::default()).exchange(address, &get(), LONG, &patience);
    let mut answer = answer.expect("its head");
    let part = answer.read(&patience).expect("a part of its body");
    assert_eq!(part, Piece::Bytes(b"hel".to_vec()));
    reset(answering.join().expect("it answers"));
    for _ in 0..LOOKS {
        assert!(!answer.has_input());
        thread::sleep(PART_INTERVAL);
    }
    let rest = answer.read(&patience).map_err(|e| e.cause);
    assert_eq!(rest, Err(Cause::ClosedInAnswer));
}

/// Guards against an early answer that is dropped though its endpoint has ended it in good order, and reads no more.
#[test]
fn an_answer_that_ends_before_the_request_is_written_is_whole() {
    let (listener, address) = listen();
    let early = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_request(&mut stream);
        let answer = b"HTTP/1.1 413 Too Large\r\n\r\nno";
        stream.write_all(answer).expect("the other end reads");
        stream.shutdown(net::Shutdown::Write).expect("it is open");
        stream
    });
    let pool = Pool::new(Settings::default());
    let body = send(&pool, address, &post(), &|| false);
    assert_eq!(body.expect("whole"), b"no");
    drop(early.join().expect("it answered"));
}

/// An endpoint answers before it has read a long body, and reads on later. The rest of the body is
/// not sent, so the connection must carry nothing else: the endpoint would take it for that rest.
#[test]
fn an_answer_before_the_end_of_the_request_ends_the_connection() {
    let (listener, address) = listen();
    let early = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_request(&mut stream);
        let answer = b"HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno";
        stream.write_all(answer).expect("the other end reads");
        stream
    });
    let pool = Pool::new(Settings::default());
    let patience = Patience {
        until: time::Instant::now() + LONG,
        stop: &|| false,
    };
    let mut answer = pool
        .exchange(address, &post(), LONG, &patience)
        .expect("an answer");
    assert_eq!(answer.head.status, 413);
    assert_eq!(
        answer.read(&patience).expect("some"),
        Piece::Bytes(b"no".to_vec())
    );
    assert_eq!(answer.read(&patience).expect("whole"), Piece::End);
    pool.keep(address, answer);
    assert_eq!(pool.idle(), 0);
    drop(early.join().expect("it answered"));
}
