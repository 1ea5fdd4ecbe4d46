//! Which connection a request takes, and what becomes of it.

use std::{
    io::{Read as _, Write as _},
    net,
    sync::mpsc,
    thread,
    time::Duration,
};

use sageshed_engines::{client, connection, orders, transport};
use sageshed_test_support::{answer_text, fault, relay};
use sageshed_types::{attempt_error::AttemptError, endpoints, verdict::Verdict};

mod common;

const LONG: Duration = Duration::from_mins(10);

/// A request that may not be repeated hangs although the engine is well. An earlier answer left an
/// idle connection; a middle box lost track of it and drops its bytes for good; the request is put
/// on it. A fresh connection works, so such a request takes one.
#[test]
fn a_fresh_call_does_not_take_a_connection_that_went_silent() {
    let standin = common::engine();
    let relay =
        relay::Relay::start(standin.address("e1").parse().expect("an address")).expect("a relay");
    let address = relay.address().to_string();
    let client = common::client(LONG);
    common::answer(&client, &common::call(&address, "r1", false)).expect("an answer");
    assert_eq!(client.transport().idle(), 1);
    relay.lose_track();

    let mut fresh = common::call(&address, "r2", false);
    fresh.fresh = true;
    common::answer(&client, &fresh).expect("an answer on a fresh connection");
    assert_eq!(
        client.transport().idle(),
        1,
        "the silent one is still there"
    );

    let e = common::answer(&client, &common::call(&address, "r3", false))
        .expect_err("the idle connection is silent");
    assert_eq!(
        (e.fault, e.verdict),
        (AttemptError::NoFirstByte, Verdict::MayHaveRun)
    );
    assert_eq!(client.transport().idle(), 0, "the silent one is dropped");
    assert_eq!(standin.runs_of_request("r3"), 0);
    common::answer(&client, &common::call(&address, "r3", false)).expect("an answer");
}

/// Each first request after a quiet hour waits out its first-byte limit. The idle connections of
/// before went silent meanwhile; they are older than any that may be used again.
#[test]
fn an_old_idle_connection_is_not_used_again() {
    let standin = common::engine();
    let relay =
        relay::Relay::start(standin.address("e1").parse().expect("an address")).expect("a relay");
    let address = relay.address().to_string();
    let client = common::client(Duration::ZERO);
    common::answer(&client, &common::call(&address, "r1", false)).expect("an answer");
    relay.lose_track();
    common::answer(&client, &common::call(&address, "r2", false)).expect("an answer");
}

/// A caller gets another caller's answer. A request fell silent and was given up on; its answer
/// came late, on a connection that had gone to the next request.
#[test]
fn a_late_answer_does_not_reach_the_next_request() {
    let standin = common::engine();
    let address = standin.address("e1");
    let client = common::client(LONG);
    standin.fault("e1", fault::Fault::Late { delay_ms: 2_000 }, Some(1));
    let e = common::answer(&client, &common::call(&address, "r1", false))
        .expect_err("the answer is late");
    assert_eq!(
        (e.fault, e.verdict),
        (AttemptError::NoFirstByte, Verdict::MayHaveRun)
    );
    for id in ["r2", "r3"] {
        let text = common::answer(&client, &common::call(&address, id, false)).expect("an answer");
        assert_eq!(answer_text::check(&text, Some(id), "mark-1"), Ok(()));
    }
}

/// An engine mixes two answers up. Nothing on the connection looks wrong but the request id.
#[test]
fn a_swapped_answer_is_not_taken() {
    let standin = common::engine();
    let address = standin.address("e1");
    let client = common::client(LONG);
    standin.fault("e1", fault::Fault::Swap, Some(1));
    let e = common::answer(&client, &common::call(&address, "r1", false))
        .expect_err("another request's answer");
    assert_eq!(
        (e.fault, e.verdict),
        (AttemptError::Corrupt, Verdict::MayHaveRun)
    );
    assert_eq!(client.transport().idle(), 0);
}

/// A stream's connection is kept once its end was read, and dropped with a stream that is left.
#[test]
fn only_a_whole_answer_gives_its_connection_back() {
    struct Case {
        fault: fault::Fault,
        idle: usize,
    }
    let cases = [
        Case {
            fault: fault::Fault::None,
            idle: 1,
        },
        Case {
            fault: fault::Fault::Stall { after: 4 },
            idle: 0,
        },
        Case {
            fault: fault::Fault::Cut { after: 4 },
            idle: 0,
        },
    ];
    for case in cases {
        let standin = common::engine();
        let address = standin.address("e1");
        let client = common::client(LONG);
        standin.fault("e1", case.fault, None);
        let call = common::call(&address, "r1", true);
        let (_, mut events) = common::stream(&client, &call).expect("a stream");
        let whole = common::read(&mut events, &mut String::new()).is_ok();
        drop(events);
        assert_eq!(whole, case.idle == 1, "{:?}", case.fault);
        assert_eq!(client.transport().idle(), case.idle, "{:?}", case.fault);
    }
}

/// A stream stops, and what should help does not: going on, cancelling and moving the model are all
/// put on the other connections to the engine, which went silent with it.
#[test]
fn what_follows_on_silence_takes_a_fresh_connection() {
    let standin = common::engine();
    let relay =
        relay::Relay::start(standin.address("e1").parse().expect("an address")).expect("a relay");
    let address = relay.address().to_string();
    let client = common::client(LONG);
    standin.fault("e1", fault::Fault::Stall { after: 3 }, Some(1));
    let mut call = common::call(&address, "r1", true);
    let (run, mut events) = common::stream(&client, &call).expect("a stream");
    for id in ["r2", "r3"] {
        common::answer(&client, &common::call(&address, id, false)).expect("an answer");
    }
    relay.lose_track();
    common::read(&mut events, &mut String::new()).expect_err("the stream stops");
    assert_eq!(client.transport().idle(), 1);

    call.resume = Some(client::Resume { from: 3, run: &run });
    let (_, mut rest) = common::stream(&client, &call).expect("the rest");
    common::read(&mut rest, &mut String::new()).expect("the rest is whole");
    client.cancel(&address, "r1").expect("the engine confirms");
    let order = endpoints::Order {
        order: endpoints::OrderId(1),
        endpoint: "e1".to_owned(),
        incarnation: standin.identity("e1").incarnation,
        fence: endpoints::Fence(1),
        task: endpoints::Task::ChangeRole {
            pool: "other".to_owned(),
        },
    };
    assert_eq!(client.order(&address, &order), orders::Sent::Accepted);
    assert_eq!(
        client.transport().idle(),
        1,
        "the silent one was not touched"
    );
}

/// A call runs twice and is accounted for once. The engine took it on a connection that was used
/// before and died without an answer; the HTTP library takes that for an idle timeout and sends
/// the call again on a new connection, without telling.
#[test]
fn a_call_is_never_sent_again_in_silence() {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for socket in listener.incoming() {
            let mut socket = socket?;
            let mut buf = [0; 4_096];
            let n = socket.read(&mut buf)?;
            if n == 0 {
                continue;
            }
            let _sent = tx.send(first_line(&buf[..n]));
            socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")?;
            // Bytes that were not read when a socket is closed make the close a reset.
            let n = socket.peek(&mut buf)?;
            let _sent = tx.send(first_line(&buf[..n]));
        }
        std::io::Result::Ok(())
    });
    let transport = transport::Transport::new(transport::Settings {
        max_idle_age: LONG,
        ..transport::Settings::default()
    });
    let get = |path| {
        transport.exchange(&transport::Request {
            method: "GET",
            address: &address,
            path,
            headers: &[],
            body: None,
            request_id: "r1",
            id_optional: true,
            fresh: false,
            limits: connection::Limits {
                first_byte: common::LIMIT,
                gap: common::LIMIT,
                total: common::LIMIT,
            },
        })
    };
    get("/1")
        .and_then(|answer| answer.body.read_all(100))
        .expect("an answer");
    let e = get("/2").expect_err("closed without an answer");
    assert_eq!(
        (e.fault, e.verdict),
        (AttemptError::SendFailed, Verdict::MayHaveRun)
    );
    get("/3").expect("an answer");
    let lines: Vec<String> = rx.iter().take(3).collect();
    assert_eq!(
        lines,
        ["GET /1 HTTP/1.1", "GET /2 HTTP/1.1", "GET /3 HTTP/1.1"]
    );
}

fn first_line(head: &[u8]) -> String {
    let head = String::from_utf8_lossy(head);
    head.lines().next().unwrap_or_default().to_owned()
}
