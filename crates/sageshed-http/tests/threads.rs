//! What holds a thread, and what does not. The tests count the threads of their own process, so they are one.

mod support;

use std::{
    fs,
    sync::{self, mpsc},
};

use sageshed_http::{deferred, limits, reply, request};
use support::{Client, PATIENCE, echo, start, wait_for};

/// Connections of each kind.
const MANY: usize = 200;

/// Threads of one port at rest: the one that waits for connections, and idle workers.
const AT_REST: usize = 6;

const EAGER: usize = 2;

fn threads() -> usize {
    let tasks = fs::read_dir("/proc/self/task").expect("the process's threads");
    let names = tasks.filter_map(|it| fs::read_to_string(it.ok()?.path().join("comm")).ok());
    names.filter(|it| it.starts_with("http-")).count()
}

/// Guards against control processes that run a thread for each connection: with a thousand entry processes and
/// thousands of engines a machine ran out of them, and a leader refused the calls of its own peers.
#[test]
fn only_requests_at_work_hold_threads() {
    let limits = limits::Limits {
        eager_threads: EAGER,
        ..limits::Limits::default()
    };
    let (deferred_tx, deferred_rx) = mpsc::channel::<(String, deferred::Deferred)>();
    let (go_tx, go_rx) = mpsc::channel::<()>();
    let go_rx = sync::Mutex::new(go_rx);
    let server = start(limits, move |req: request::Request, reply| {
        if req.path.starts_with("/later") {
            let (sent, deferred) = reply.defer();
            deferred_tx
                .send((req.path, deferred))
                .expect("the test waits");
            return sent;
        }
        if req.path.starts_with("/slow") {
            go_rx
                .lock()
                .expect("one user")
                .recv()
                .expect("the test says go");
        }
        echo(req, reply)
    });

    let silent: Vec<_> = (0..MANY).map(|_| Client::connect(&server)).collect();
    let mut kept: Vec<_> = (0..MANY).map(|_| Client::connect(&server)).collect();
    for client in &mut kept {
        assert_eq!(client.get("/").status, 200);
    }
    let mut waiting: Vec<_> = (0..MANY).map(|_| Client::connect(&server)).collect();
    let mut deferred = Vec::new();
    for (number, client) in waiting.iter_mut().enumerate() {
        client.send(format!("GET /later/{number} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes());
        deferred.push(deferred_rx.recv_timeout(PATIENCE).expect("a call"));
    }
    wait_for("few threads", || threads() <= AT_REST);
    assert_eq!(server.connections_open(), 3 * MANY);

    // Those that block get a thread each, however few are started at once.
    let mut slow: Vec<_> = (0..20).map(|_| Client::connect(&server)).collect();
    for client in &mut slow {
        client.send(b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    wait_for("a thread for each", || threads() > 20);
    assert_eq!(kept[0].get("/").status, 200);
    for _ in &slow {
        go_tx.send(()).expect("they wait");
    }
    for client in &mut slow {
        assert_eq!(client.answer().expect("an answer").status, 200);
    }
    wait_for("few threads again", || threads() <= AT_REST);

    // Answered in another order than asked, each goes to its own connection, which is kept.
    for (path, deferred) in deferred.into_iter().rev() {
        deferred.answer(reply::Whole {
            status: 200,
            content_type: "text/plain",
            body: path.into_bytes(),
        });
    }
    for (number, client) in waiting.iter_mut().enumerate() {
        let answer = client.answer().expect("an answer");
        assert_eq!(answer.text(), format!("/later/{number}"));
        assert_eq!(client.get("/again").status, 200);
    }
    drop(silent);
}
