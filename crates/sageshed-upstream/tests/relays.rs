//! Connections to endpoints that another process opens, over real sockets.

use std::{
    io::{Read as _, Write as _},
    net, thread, time,
};

use sageshed_types::body::Body;
use sageshed_upstream::{
    connection::{Connect, Connection, RelayError},
    exchange::{Patience, Piece, Request},
    failure::{Cause, Failure},
    pool::{Pool, Settings},
    relay::{Gate, Relay},
};

const LONG: time::Duration = time::Duration::from_secs(20);

/// Admits all endpoints, or none, and knows whether its own paths work.
#[derive(Clone, Copy)]
struct TestGate {
    admits: bool,
    has_paths: bool,
}

const OPEN: TestGate = TestGate {
    admits: true,
    has_paths: true,
};

impl Gate for TestGate {
    fn admits(&self, _endpoint: net::SocketAddrV4) -> bool {
        self.admits
    }

    fn is_failed(
        &self,
        _endpoint: net::SocketAddrV4,
        _failure: &Failure,
        _took: time::Duration,
    ) -> bool {
        self.has_paths
    }
}

fn listen() -> (net::TcpListener, net::SocketAddrV4) {
    listen_at("127.0.0.1:0")
}

fn listen_at(address: &str) -> (net::TcpListener, net::SocketAddrV4) {
    let listener = net::TcpListener::bind(address).expect("a free port");
    let net::SocketAddr::V4(address) = listener.local_addr().expect("bound") else {
        unreachable!("bound to an IPv4 address")
    };
    (listener, address)
}

fn relay(limit: usize, gate: TestGate) -> (Relay, net::SocketAddrV4) {
    let (listener, address) = listen();
    let relay = Relay::start(listener, limit, gate).expect("it starts");
    (relay, address)
}

/// Connects through one relay.
struct Through(net::SocketAddrV4);

impl Connect for Through {
    fn connect(
        &self,
        endpoint: net::SocketAddrV4,
        limit: time::Duration,
    ) -> Result<Connection, Failure> {
        Ok(Connection::through(self.0, endpoint, limit)?)
    }
}

/// An endpoint that reads a request with a body of `body` bytes from one connection, writes `answer` and ends the
/// connection: in an orderly way, or by a reset.
fn endpoint(body: usize, answer: Vec<u8>, resets: bool) -> net::SocketAddrV4 {
    let (listener, address) = listen();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut seen = Vec::new();
        let mut buf = [0; 4_096];
        let head = loop {
            let head = seen.windows(4).position(|it| it == b"\r\n\r\n");
            if let Some(head) = head
                && seen.len() >= head + 4 + body
            {
                break head;
            }
            match stream.read(&mut buf).expect("a request") {
                0 => return,
                count => seen.extend_from_slice(&buf[..count]),
            }
        };
        // Unread bytes turn the end of a connection into a reset.
        let read = if resets { head } else { seen.len() };
        stream.write_all(&answer).expect("the other end reads");
        if read == seen.len() {
            drop(stream.shutdown(net::Shutdown::Write));
            drop(stream.read(&mut buf));
        } else {
            thread::sleep(time::Duration::from_millis(50));
            let linger = Some(time::Duration::ZERO);
            rustix::net::sockopt::set_socket_linger(&stream, linger).expect("an open socket");
        }
    });
    address
}

fn ask(
    relay: net::SocketAddrV4,
    endpoint: net::SocketAddrV4,
    body: &[u8],
) -> Result<Vec<u8>, Failure> {
    let pool = Pool::new(Settings::default());
    let patience = Patience {
        until: time::Instant::now() + LONG,
        stop: &|| false,
    };
    let req = Request {
        method: "POST",
        target: "/x",
        headers: vec![("Host", b"a.example")],
        body: body.to_vec().into(),
    };
    let opened = pool.open(&Through(relay), endpoint, LONG, patience.until)?;
    assert!(opened.is_relayed() && !opened.is_reused());
    let mut answer = opened.exchange(&req, &patience)?;
    let body = answer.read_whole(10_000_000, &patience)?;
    pool.keep(endpoint, answer);
    assert_eq!(pool.idle(), 0, "a relayed connection is kept");
    Ok(body)
}

/// A response as the endpoint sends it, and what is made of it.
struct Case {
    name: &'static str,
    answer: &'static [u8],
    resets: bool,
    result: Result<&'static [u8], Cause>,
}

#[test]
fn a_relayed_response_is_whole_or_fails() {
    let cases = [
        Case {
            name: "whole",
            answer: b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
            resets: false,
            result: Ok(b"abc"),
        },
        Case {
            name: "short",
            answer: b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
            resets: false,
            result: Err(Cause::ClosedInAnswer),
        },
        Case {
            name: "reset inside its chunks",
            answer: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
            resets: true,
            result: Err(Cause::ClosedInAnswer),
        },
        Case {
            name: "reset inside its length",
            answer: b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
            resets: true,
            result: Err(Cause::ClosedInAnswer),
        },
        Case {
            name: "ended inside its chunks",
            answer: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
            resets: false,
            result: Err(Cause::ClosedInAnswer),
        },
        Case {
            name: "without a length",
            answer: b"HTTP/1.1 200 OK\r\n\r\nabc",
            resets: false,
            result: Err(Cause::Malformed),
        },
        Case {
            name: "without a length, in HTTP/1.0",
            answer: b"HTTP/1.0 200 OK\r\n\r\nabc",
            resets: false,
            result: Err(Cause::Malformed),
        },
        Case {
            name: "without a length, reset",
            answer: b"HTTP/1.1 200 OK\r\n\r\nabc",
            resets: true,
            result: Err(Cause::Malformed),
        },
        Case {
            name: "without a length, and no body by its status",
            answer: b"HTTP/1.1 204 No Content\r\n\r\n",
            resets: false,
            result: Ok(b""),
        },
    ];
    let (_relay, at) = relay(8, OPEN);
    for case in cases {
        let endpoint = endpoint(2, case.answer.to_vec(), case.resets);
        let result = ask(at, endpoint, b"hi");
        let result = result.as_deref().map_err(|e| e.cause);
        assert_eq!(result, case.result, "{}", case.name);
    }
}

/// A relay whose process ends once it has passed on `answer`: its system closes both connections in good order.
fn dying_relay(answer: &'static [u8]) -> net::SocketAddrV4 {
    let (listener, address) = listen();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buf = [0; 4_096];
        assert!(stream.read(&mut buf).expect("a request to connect") > 0);
        stream
            .write_all(b"HTTP/1.1 200 Connected\r\n\r\n")
            .expect("a reader");
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\nhi") {
            let read = stream.read(&mut buf).expect("a request");
            assert!(read > 0, "the request ends early");
            request.extend_from_slice(&buf[..read]);
        }
        stream.write_all(answer).expect("a reader");
    });
    address
}

/// Guards against a response that looks complete since the relay's process has ended inside it.
#[test]
fn a_response_does_not_end_with_the_process_of_its_relay() {
    let cases: [(&'static [u8], Cause); 7] = [
        (b"", Cause::ClosedBeforeAnswer),
        (b"HTTP/1.1 200 OK\r\nConte", Cause::ClosedBeforeAnswer),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
            Cause::ClosedInAnswer,
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
            Cause::ClosedInAnswer,
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
            Cause::ClosedInAnswer,
        ),
        (b"HTTP/1.1 200 OK\r\n\r\nabc", Cause::Malformed),
        (
            b"HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nabc",
            Cause::Malformed,
        ),
    ];
    let (_unused, endpoint) = listen();
    for (answer, cause) in cases {
        let result = ask(dying_relay(answer), endpoint, b"hi");
        let result = result.map_err(|e| e.cause);
        assert_eq!(result, Err(cause), "{}", answer.escape_ascii());
    }
}

/// Guards against a stop of the relay that cuts the responses that it passes on.
#[test]
fn a_stopped_relay_passes_a_response_on_to_its_end() {
    let (relay, at) = relay(8, OPEN);
    let (listener, address) = listen();
    let connection = Connection::through(at, address, LONG).expect("it connects");
    let (mut stream, _) = listener.accept().expect("a connection");
    relay.stop();
    let refused = Connection::through(at, address, LONG);
    assert!(
        matches!(refused, Err(RelayError::Unusable(_))),
        "{refused:?}"
    );
    let patience = Patience {
        until: time::Instant::now() + LONG,
        stop: &|| false,
    };
    let req = Request {
        method: "GET",
        target: "/x",
        headers: vec![],
        body: Body::default(),
    };
    let sent = connection.send(&req, &patience).expect("it is sent");
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
    stream.write_all(head).expect("a reader");
    let mut answer = sent.head(&patience).expect("a head");
    let piece = answer.read(&patience).expect("a piece");
    assert_eq!(piece, Piece::Bytes(b"abc".to_vec()));
    stream.write_all(b"0\r\n\r\n").expect("a reader");
    assert_eq!(answer.read(&patience).expect("its end"), Piece::End);
    drop(answer);
    assert_eq!(relay.wait(LONG), 0);
}

#[test]
fn large_bodies_pass_both_ways() {
    let large = vec![b'x'; 3_000_000];
    let mut answer = b"HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n".to_vec();
    answer.extend_from_slice(&large);
    let (_relay, at) = relay(8, OPEN);
    let endpoint = endpoint(large.len(), answer, false);
    let body = ask(at, endpoint, &large).expect("a response");
    assert!(body == large, "{} bytes", body.len());
}

/// Guards against requests that are reported as possibly run though no endpoint has received them.
#[test]
fn a_connection_that_can_not_be_relayed_fails_before_anything_is_sent() {
    // On an address of its own, where no other test gets the port that is free again.
    let (free, nobody) = listen_at("127.0.0.9:0");
    drop(free);
    let (_open, open) = relay(8, OPEN);
    let closed_gate = TestGate {
        admits: false,
        ..OPEN
    };
    let (_closed, closed) = relay(8, closed_gate);
    let cut_off_gate = TestGate {
        has_paths: false,
        ..OPEN
    };
    let (_cut_off, cut_off) = relay(8, cut_off_gate);
    let (_full, full) = relay(0, OPEN);
    let (stopped_relay, stopped) = relay(8, OPEN);
    stopped_relay.stop();
    let limit = time::Duration::from_millis(400);
    let through = |relay| Connection::through(relay, nobody, limit).expect_err("nobody listens");
    let unreachable = through(open);
    assert!(
        matches!(unreachable, RelayError::EndpointUnreachable),
        "{unreachable}"
    );
    for relay in [closed, cut_off, full, stopped, nobody] {
        let unusable = through(relay);
        assert!(matches!(unusable, RelayError::Unusable(_)), "{unusable}");
    }
    let failure = Failure::from(unreachable);
    assert!(!failure.is_sent);
}

/// Guards against an endpoint that goes on working for a caller that has left.
#[test]
fn the_end_of_a_request_ends_the_endpoints_connection() {
    let (relay, at) = relay(8, OPEN);
    let (listener, address) = listen();
    let connection = Connection::through(at, address, LONG).expect("it connects");
    let (mut stream, _) = listener.accept().expect("a connection");
    drop(connection);
    assert_eq!(stream.read(&mut [0; 8]).expect("an orderly end"), 0);
    assert_eq!(relay.wait(LONG), 0);
    assert_eq!(relay.relayed(), 1);
}

#[test]
fn a_stream_passes_piece_by_piece() {
    let (_relay, at) = relay(8, OPEN);
    let (listener, address) = listen();
    let sender = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buf = [0; 1_024];
        assert!(stream.read(&mut buf).expect("a request") > 0);
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head).expect("a reader");
        stream.write_all(b"1\r\na\r\n").expect("a reader");
        // The second piece is sent once the first has arrived.
        assert!(stream.read(&mut buf).expect("the end") == 0);
    });
    let pool = Pool::new(Settings::default());
    let patience = Patience {
        until: time::Instant::now() + LONG,
        stop: &|| false,
    };
    let req = Request {
        method: "GET",
        target: "/x",
        headers: vec![],
        body: Body::default(),
    };
    let opened = pool.open(&Through(at), address, LONG, patience.until);
    let mut answer = opened
        .and_then(|it| it.exchange(&req, &patience))
        .expect("a head");
    let piece = answer.read(&patience).expect("a piece");
    assert_eq!(piece, Piece::Bytes(b"a".to_vec()));
    drop(answer);
    sender.join().expect("the endpoint sees the end");
}

/// The most bytes that are sent in a test of a head without end: fewer than a head may have.
const HEAD_PART: usize = 500;

/// Sends a head byte by byte until the other end closes the connection. Returns whether it does before [`HEAD_PART`] bytes.
fn is_closed_during_head(mut stream: &net::TcpStream) -> bool {
    (0..HEAD_PART).any(|_| {
        thread::sleep(time::Duration::from_millis(20));
        stream.write_all(b".").is_err()
    })
}

/// Guards against a peer that sends the head of its request without end and holds one of the relay's connections.
#[test]
fn a_relay_closes_a_connection_whose_request_does_not_end() {
    let (_relay, address) = relay(4, OPEN);
    let peer = net::TcpStream::connect(address).expect("it listens");
    assert!(is_closed_during_head(&peer));
}

/// Guards against a relay that sends the head of its response without end, for which a request waits past its time.
#[test]
fn a_relay_whose_response_does_not_end_is_given_up_in_time() {
    let (listener, address) = listen();
    let sending = thread::spawn(move || {
        let (peer, _) = listener.accept().expect("a connection");
        is_closed_during_head(&peer)
    });
    let (_unused, endpoint) = listen();
    let limit = time::Duration::from_millis(300);
    let opened = Connection::through(address, endpoint, limit);
    assert!(matches!(opened, Err(RelayError::Unusable(_))), "{opened:?}");
    assert!(sending.join().expect("it ends"));
}
