//! Streams that break off and go on, and runs that are stopped.

use std::time::Duration;

use sageshed_engines::client;
use sageshed_test_support::{answer_text, config, fault};
use sageshed_types::attempt_error::AttemptError;

mod common;

/// A caller sees a stream stop in the middle of a sentence. The connection went silent; the engine
/// is well and still has the run. The rest of the same run makes the answer whole, and it ran once.
#[test]
fn a_stalled_stream_goes_on_from_the_token_it_had() {
    for fault in [
        fault::Fault::Stall { after: 3 },
        fault::Fault::Cut { after: 3 },
    ] {
        let standin = common::engine();
        let address = standin.address("e1");
        let client = common::client(Duration::from_secs(2));
        let mut text = String::new();
        standin.fault("e1", fault, Some(1));
        let mut call = common::call(&address, "r1", true);
        let (run, mut events) = common::stream(&client, &call).expect("a stream");
        common::read(&mut events, &mut text).expect_err("the stream breaks off");
        assert_eq!(events.data_seen(), 3);

        call.resume = Some(client::Resume { from: 3, run: &run });
        let (_, mut rest) = common::stream(&client, &call).expect("the rest");
        common::read(&mut rest, &mut text).expect("the rest is whole");
        assert_eq!(rest.data_seen(), 10);
        assert_eq!(answer_text::check(&text, Some("r1"), "mark-1"), Ok(()));
        assert_eq!(standin.runs_of_request("r1"), 1);
    }
}

/// A caller gets the first half of one answer and the second half of another. The engine died within
/// the stream; its successor knows nothing of the run and must not be taken for it.
#[test]
fn a_stream_does_not_go_on_in_another_process() {
    let standin = common::engine();
    let address = standin.address("e1");
    let client = common::client(Duration::from_secs(2));
    standin.fault("e1", fault::Fault::Stall { after: 3 }, Some(1));
    let mut call = common::call(&address, "r1", true);
    let (run, mut events) = common::stream(&client, &call).expect("a stream");
    common::read(&mut events, &mut String::new()).expect_err("the stream breaks off");
    standin.fault("e1", fault::Fault::Crash, None);

    call.resume = Some(client::Resume { from: 3, run: &run });
    let e = common::stream(&client, &call).expect_err("nothing to go on with");
    assert_eq!(
        e.fault,
        AttemptError::Status(404),
        "the new process holds no model"
    );
    assert_eq!(standin.runs_of_request("r1"), 1);
}

/// A caller hangs up and its answer still takes a slot. The engine learns it from the cancelling.
#[test]
fn a_cancelled_run_stops() {
    let mut engine = config::Endpoint::engine("e1", 1_000, &[("m1", 400)]);
    engine.tokens_per_second = 0.5;
    let standin = common::start(vec![engine]);
    let address = standin.address("e1");
    let client = common::client(Duration::from_secs(2));
    let call = common::call(&address, "r1", true);
    let (_, mut events) = common::stream(&client, &call).expect("a stream");
    events.next_event().expect("a first token");
    client.cancel(&address, "r1").expect("the engine confirms");
    common::read(&mut events, &mut String::new()).expect_err("the stream ends early");
    let stats = &standin.stats().endpoints[0];
    assert_eq!((stats.cancelled, stats.answered), (1, 0));
}
