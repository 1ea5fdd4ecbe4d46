//! Bodies of requests that together are larger than the memory for them.

mod support;

use std::sync::{self, mpsc};

use sageshed_http::{limits, request};
use support::{Client, echo, start, wait_for};

const BODY: usize = 1 << 20;

/// Bodies of this size that are held at once: each leaves as much memory as it holds.
const HELD: usize = 3;

fn post(path: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

fn post_chunk(path: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n",
        body.len()
    );
    [head.as_bytes(), body, b"\r\n0\r\n\r\n"].concat()
}

/// Guards against a process that is killed since the bodies of many requests use up its memory, and against small requests
/// that are refused beside them.
#[test]
fn bodies_that_do_not_fit_into_memory_are_refused_and_small_ones_are_not() {
    let limits = limits::Limits {
        body_bytes: 4 * BODY,
        bodies_bytes: 4 * BODY,
        ..limits::Limits::default()
    };
    let (begun_tx, begun_rx) = mpsc::channel::<()>();
    let (go_tx, go_rx) = mpsc::channel::<()>();
    let go_rx = sync::Mutex::new(go_rx);
    let server = start(limits, move |req: request::Request, reply| {
        if req.path == "/slow" {
            begun_tx.send(()).expect("the test waits");
            let go = go_rx.lock().expect("one user");
            go.recv().expect("the test says go");
        }
        let size = req.body.len();
        let body = size.to_string().into_bytes().into();
        echo(request::Request { body, ..req }, reply)
    });
    let body = vec![b'x'; BODY];
    let mut held: Vec<_> = (0..HELD)
        .map(|_| {
            let mut client = Client::connect(&server);
            client.send(&post("/slow", &body));
            client
        })
        .collect();
    for _ in &held {
        begun_rx.recv().expect("it begins");
    }
    for request in [post("/", &body), post_chunk("/", &body)] {
        let mut client = Client::connect(&server);
        client.send(&request);
        let answer = client.answer().expect("an answer");
        assert_eq!(answer.status, 503);
        assert_eq!(answer.json()["verdict"], "not_run");
        assert_eq!(answer.json()["reason"], "too_many_requests_open");
        assert!(answer.header("retry-after").is_some());
    }
    let mut client = Client::connect(&server);
    client.send(&post("/", &vec![b'x'; 2 * BODY + 1]));
    assert_eq!(client.answer().expect("an answer").status, 413);
    for request in [post("/", b"small"), post_chunk("/", b"small")] {
        let mut client = Client::connect(&server);
        client.send(&request);
        assert_eq!(client.answer().expect("an answer").status, 200);
    }
    for _ in &held {
        go_tx.send(()).expect("a request waits");
    }
    for client in &mut held {
        assert_eq!(client.answer().expect("an answer").status, 200);
    }
    wait_for("memory for another body", || {
        let mut client = Client::connect(&server);
        client.send(&post_chunk("/", &body));
        let answer = client.answer().expect("an answer");
        answer.status == 200 && answer.body.ends_with(BODY.to_string().as_bytes())
    });
}
