//! Which connection a request takes, and what becomes of it.

use std::time::Duration;

use sageshed_test_support::{answer_text, fault, relay};
use sageshed_types::{fault::Fault, verdict::Verdict};

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
        (Fault::NoFirstByte, Verdict::MayHaveRun)
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
        (Fault::NoFirstByte, Verdict::MayHaveRun)
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
    assert_eq!((e.fault, e.verdict), (Fault::Corrupt, Verdict::MayHaveRun));
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
