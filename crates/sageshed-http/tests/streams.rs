//! Streamed answers: order of events, ends that can be told apart, and callers that leave.

mod support;

use std::{
    io::Read,
    sync::{Mutex, mpsc},
    thread,
    time::Duration,
};

use sageshed_http::{limits, reply::Head};
use support::{Client, OK, PATIENCE, echo, start};

/// A clerk watches a draft appear. If the server held chunks back until the end, or until the next
/// one, the clerk would see an empty screen. The second chunk is written only after the client has
/// read the first, so a server that holds back stops here.
#[test]
fn each_chunk_arrives_before_the_next_is_written() {
    let (read_tx, read_rx) = mpsc::channel::<()>();
    let read_rx = Mutex::new(read_rx);
    let server = start(limits::Limits::default(), move |req, reply| {
        if req.path != "/stream" {
            return echo(req, reply);
        }
        let was_read = || read_rx.lock().expect("one user").recv_timeout(PATIENCE);
        let mut stream = reply.stream(&OK);
        was_read().expect("the head was read");
        for chunk in ["one", "two", "", "three"] {
            stream.send(chunk.as_bytes()).expect("the caller reads");
            if !chunk.is_empty() {
                was_read().expect("the chunk was read");
            }
        }
        stream.finish()
    });
    let mut client = Client::connect(&server);
    client.send(b"GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
    let head = client.head().expect("a head");
    assert!(head.contains("Sageshed-Request-Id: r-1\r\n"), "{head}");
    read_tx.send(()).expect("the handler waits");
    for chunk in ["one", "two", "three"] {
        assert_eq!(client.chunk().as_deref(), Some(chunk.as_bytes()));
        read_tx.send(()).expect("the handler waits");
    }
    assert_eq!(client.chunk().as_deref(), Some(&b""[..]));
    assert_eq!(client.get("/next").text(), "GET /next|");
}

/// Guards against chunks that are taken for the next answer, since the status says that there is no body (RFC 9112,
/// section 6.3).
#[test]
fn a_stream_whose_status_allows_no_body_has_none() {
    let server = start(limits::Limits::default(), |req, reply| {
        let Ok(status) = req.path[1..].parse() else {
            return echo(req, reply);
        };
        let mut stream = reply.stream(&Head { status, ..OK });
        stream.send(b"one").expect("the caller reads");
        stream.finish()
    });
    for status in [204, 304] {
        for version in ["1.0", "1.1"] {
            let mut client = Client::connect(&server);
            let line = format!("GET /{status} HTTP/{version}\r\nHost: h\r\nConnection: keep-alive");
            client.send(format!("{line}\r\n\r\n").as_bytes());
            let head = client.head().expect("a head");
            assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
            assert!(!head.contains("Transfer-Encoding"), "{head}");
            match version {
                "1.0" => assert!(client.at_end(), "{head}"),
                _ => assert_eq!(client.get("/next").text(), "GET /next|"),
            }
        }
    }
}

#[derive(Clone, Copy)]
enum End {
    Finish,
    Abort,
    Panic,
}

/// An engine dies in the middle of a job sheet. A caller that takes the part for the whole sends a
/// crew without the address. Whatever ends the stream early, the caller's library must see an error.
#[test]
fn a_cut_stream_does_not_look_whole() {
    let server = start(limits::Limits::default(), |req, reply| {
        let end = match req.path.as_str() {
            "/finish" => End::Finish,
            "/abort" => End::Abort,
            _ => End::Panic,
        };
        let mut stream = reply.stream(&OK);
        stream.send(b"part").expect("the caller reads");
        match end {
            End::Finish => stream.finish(),
            End::Abort => stream.abort(),
            End::Panic => panic!("on purpose"),
        }
    });
    for (path, whole) in [("/finish", true), ("/abort", false), ("/panic", false)] {
        let mut client = Client::connect(&server);
        client.send(format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes());
        client.head().expect("a head");
        assert_eq!(client.chunk().as_deref(), Some(&b"part"[..]), "{path}");
        assert_eq!(client.chunk().is_some(), whole, "{path}");
    }
    for (path, whole) in [("/finish", true), ("/abort", false), ("/panic", false)] {
        let mut client = Client::connect(&server);
        client.send(format!("GET {path} HTTP/1.0\r\n\r\n").as_bytes());
        let read = client.stream.read_to_end(&mut Vec::new());
        assert_eq!(read.is_ok(), whole, "{path} in HTTP/1.0: {read:?}");
    }
}

/// A householder hangs up while the request waits in the queue. Running the model for nobody costs
/// another caller its answer, so the waiting handler has to see it.
#[test]
fn a_waiting_handler_sees_that_its_caller_left() {
    let (tx, rx) = mpsc::channel();
    let server = start(limits::Limits::default(), move |_, reply| {
        tx.send(reply.caller_gone()).expect("the test listens");
        while !reply.caller_gone() {
            thread::sleep(Duration::from_millis(1));
        }
        tx.send(true).expect("the test listens");
        reply.whole(&OK, b"")
    });
    let mut client = Client::connect(&server);
    client.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(rx.recv_timeout(PATIENCE), Ok(false));
    drop(client);
    assert_eq!(rx.recv_timeout(PATIENCE), Ok(true));
    assert_eq!(server.wait(PATIENCE), 0);
}

/// A caller sends its next request before it has the first answer. Those bytes are no sign that it
/// left; taken for one, its first request would be dropped.
#[test]
fn a_caller_that_sends_ahead_is_not_gone() {
    let (begun_tx, begun_rx) = mpsc::channel();
    let (ahead_tx, ahead_rx) = mpsc::channel::<()>();
    let ahead_rx = Mutex::new(ahead_rx);
    let server = start(limits::Limits::default(), move |_, reply| {
        begun_tx.send(()).expect("the test waits");
        let ahead = ahead_rx.lock().expect("one user").recv_timeout(PATIENCE);
        ahead.expect("the next request is sent");
        let gone = reply.caller_gone();
        reply.whole(&OK, format!("{gone}").as_bytes())
    });
    let mut client = Client::connect(&server);
    client.send(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    for _ in 0..2 {
        begun_rx
            .recv_timeout(PATIENCE)
            .expect("the request is handled");
        client.send(b"GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
        ahead_tx.send(()).expect("the handler waits");
        assert_eq!(client.answer().expect("an answer").text(), "false");
    }
}

/// A caller leaves, or stops reading, in the middle of its stream. The handler must learn it from
/// `send`, or it holds its thread and the engine's slot for good.
#[test]
fn send_fails_when_nobody_reads() {
    let (tx, rx) = mpsc::channel();
    let limits = limits::Limits {
        write_timeout: Duration::from_millis(200),
        ..limits::Limits::default()
    };
    let server = start(limits, move |_, reply| {
        let chunk = vec![b'x'; 64 * 1024];
        let mut stream = reply.stream(&OK);
        let failed = (0..4096).any(|_| stream.send(&chunk).is_err());
        tx.send(failed).expect("the test listens");
        stream.finish()
    });
    for leaves in [true, false] {
        let mut client = Client::connect(&server);
        client.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        client.head().expect("a head");
        let kept = (!leaves).then_some(client);
        assert_eq!(rx.recv_timeout(PATIENCE), Ok(true), "leaves: {leaves}");
        drop(kept);
    }
}

/// Guards against a part of an answer that looks whole to a caller which reads so slowly that writing to it fails.
#[test]
fn an_answer_that_can_not_be_written_is_shorter_than_it_says() {
    let (tx, rx) = mpsc::channel();
    let limits = limits::Limits {
        write_timeout: Duration::from_millis(200),
        ..limits::Limits::default()
    };
    let server = start(limits, move |req, reply| {
        let body = vec![b'x'; 64 << 20];
        let sent = if req.path == "/whole" {
            reply.whole(&OK, &body)
        } else {
            let mut stream = reply.stream(&OK);
            let failed = stream.send(&body).is_err();
            assert!(failed, "the caller does not read");
            stream.finish()
        };
        tx.send(sent.is_whole()).expect("the test listens");
        sent
    });
    let requests = [
        "GET /whole HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /whole HTTP/1.0\r\n\r\n",
        "GET /whole HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
        "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n",
    ];
    for request in requests {
        let mut client = Client::connect(&server);
        client.send(request.as_bytes());
        assert_eq!(rx.recv_timeout(PATIENCE), Ok(false), "{request}");
        assert_eq!(server.wait(PATIENCE), 0);
        let has_ended = if request.contains("whole") {
            client.answer().is_some()
        } else {
            client.head().expect("a head");
            client.chunk().is_some()
        };
        assert!(!has_ended, "{request}");
    }
}
