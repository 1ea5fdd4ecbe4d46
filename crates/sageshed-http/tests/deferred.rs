//! Answers that are given after their handler has returned.

mod support;

use std::sync::mpsc;

use sageshed_http::{deferred, limits, reply, server};
use support::{Client, PATIENCE, start, wait_for};

/// More than a socket takes in without being read.
const LARGE: usize = 8 * 1024 * 1024;

fn deferring() -> (server::Server, mpsc::Receiver<deferred::Deferred>) {
    let (tx, rx) = mpsc::channel();
    let server = start(limits::Limits::default(), move |_, reply| {
        let (sent, deferred) = reply.defer();
        tx.send(deferred).expect("the test waits");
        sent
    });
    (server, rx)
}

fn answer(body: Vec<u8>) -> reply::Whole {
    reply::Whole {
        status: 200,
        content_type: "text/plain",
        body,
    }
}

fn ask(server: &server::Server) -> Client {
    let mut client = Client::connect(server);
    client.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    client
}

/// Guards against an answer that is lost because it was given before the connection was put back.
#[test]
fn an_answer_that_is_given_at_once_arrives() {
    let server = start(limits::Limits::default(), |_, reply| {
        let (sent, deferred) = reply.defer();
        deferred.answer(answer(b"early".to_vec()));
        sent
    });
    for _ in 0..200 {
        assert_eq!(Client::connect(&server).get("/").text(), "early");
    }
}

/// Guards against a large answer that is cut, or that holds up the others, because its caller reads slowly.
#[test]
fn a_large_answer_arrives_whole_and_holds_up_no_other() {
    let (server, rx) = deferring();
    let mut slow = ask(&server);
    let first = rx.recv_timeout(PATIENCE).expect("a call");
    let mut quick = ask(&server);
    let second = rx.recv_timeout(PATIENCE).expect("a call");
    first.answer(answer(vec![b'x'; LARGE]));
    second.answer(answer(b"quick".to_vec()));
    assert_eq!(quick.answer().expect("an answer").text(), "quick");
    assert_eq!(slow.answer().expect("an answer").body.len(), LARGE);
}

/// Guards against callers that wait for good for an answer that nobody will give.
#[test]
fn a_connection_whose_answer_is_given_up_is_closed() {
    let (server, rx) = deferring();
    let mut client = ask(&server);
    drop(rx.recv_timeout(PATIENCE).expect("a call"));
    assert!(client.at_end());
    wait_for("a free place", || server.connections_open() == 0);
}

/// Guards against a stop that cuts a call which waits, and against one that leaves the connection open.
#[test]
fn a_stop_leaves_a_deferred_answer_its_time() {
    let (server, rx) = deferring();
    let mut client = ask(&server);
    let deferred = rx.recv_timeout(PATIENCE).expect("a call");
    server.stop();
    assert_eq!(server.connections_open(), 1);
    deferred.answer(answer(b"last".to_vec()));
    let last = client.answer().expect("an answer");
    assert_eq!(last.text(), "last");
    assert_eq!(last.header("Connection"), Some("close"));
    assert!(client.at_end());
    drop(client);
    assert_eq!(server.wait(PATIENCE), 0);
}

/// Guards against an answer that goes to whoever connects after its own caller has left.
#[test]
fn an_answer_to_a_caller_that_left_goes_nowhere() {
    let (server, rx) = deferring();
    let left = ask(&server);
    let deferred = rx.recv_timeout(PATIENCE).expect("a call");
    drop(left);
    deferred.answer(answer(b"old".to_vec()));
    let mut next = ask(&server);
    let deferred = rx.recv_timeout(PATIENCE).expect("a call");
    deferred.answer(answer(b"new".to_vec()));
    assert_eq!(next.answer().expect("an answer").text(), "new");
}
