//! What the tests against stand-ins share.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::time::Duration;

use sageshed_engines::{classify, client, events, paths, transport};
use sageshed_test_support::{config, standin};

/// A first-byte and gap limit: long enough for a busy machine.
pub const LIMIT: Duration = Duration::from_secs(1);

/// Stand-ins that answer fast.
pub fn start(endpoints: Vec<config::Endpoint>) -> standin::Standin {
    let cfg = config::Config {
        time_scale: 50.0,
        endpoints,
        ..config::Config::default()
    };
    standin::Standin::start(cfg).expect("stand-ins start")
}

/// One engine `e1` that holds model `m1`.
pub fn engine() -> standin::Standin {
    start(vec![config::Endpoint::engine("e1", 1_000, &[("m1", 400)])])
}

/// A client that keeps idle connections for `max_idle_age`.
pub fn client(max_idle_age: Duration) -> client::Client {
    client::Client::new(transport::Settings {
        max_idle_age,
        ..transport::Settings::default()
    })
}

/// A call that asks model `m1` for ten tokens.
pub fn call<'a>(address: &'a str, request_id: &'a str, streaming: bool) -> client::Call<'a> {
    let body: &[u8] = if streaming {
        br#"{"model":"m1","stream":true,"max_tokens":10,"prompt":"a job mark-1"}"#
    } else {
        br#"{"model":"m1","max_tokens":10,"prompt":"a job mark-1"}"#
    };
    client::Call {
        address,
        path: paths::COMPLETIONS,
        body,
        streaming,
        fresh: false,
        request_id,
        idempotency_key: None,
        priority: 5,
        deadline_left: Duration::from_secs(20),
        first_byte_limit: LIMIT,
        gap_limit: LIMIT,
        resume: None,
    }
}

/// Sends a call and reads its plain answer.
pub fn answer(
    client: &client::Client,
    call: &client::Call<'_>,
) -> Result<String, classify::CallError> {
    let body = client.send(call)?.body.read_all(100_000)?;
    let body: serde_json::Value = serde_json::from_slice(&body).expect("an answer in JSON");
    Ok(body["choices"][0]["text"]
        .as_str()
        .expect("a text")
        .to_owned())
}

/// Sends a call for a stream and gives its run and events.
pub fn stream(
    client: &client::Client,
    call: &client::Call<'_>,
) -> Result<(String, events::Events), classify::CallError> {
    match client.stream(call)? {
        client::Streamed::Events { run, events } => Ok((run.expect("a run"), events)),
        client::Streamed::Plain(answer) => panic!("no stream but status {}", answer.status),
    }
}

/// Reads events into `text` until the last one or a failure.
pub fn read(events: &mut events::Events, text: &mut String) -> Result<(), classify::CallError> {
    while let Some(event) = events.next_event()? {
        if event.kind == events::Kind::Data {
            let data: serde_json::Value =
                serde_json::from_slice(&event.bytes[5..]).expect("an event in JSON");
            text.push_str(data["choices"][0]["text"].as_str().expect("a token"));
        }
    }
    Ok(())
}
