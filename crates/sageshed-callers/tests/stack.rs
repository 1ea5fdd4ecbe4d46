//! Bodies of callers on the thread of a connection.

use std::{
    io::{Read, Write},
    net,
    sync::Arc,
    time::Duration,
};

use sageshed_callers::{handler, limits, openai, reply, request, server};
use sageshed_types::refusal;

/// Answers whether the body could be read.
struct Parsing;

impl handler::Handler for Parsing {
    fn handle(&self, req: request::Request, reply: reply::Reply<'_>) -> reply::Sent {
        let parsed = openai::Completion::parse(openai::Api::Chat, &req.body);
        let whole = serde_json::from_slice::<serde_json::Value>(&req.body);
        reply.made(&reply::Whole {
            status: 200,
            content_type: "text/plain",
            body: format!("{} {}", parsed.is_ok(), whole.is_ok()).into_bytes(),
        })
    }

    fn refuse_early(&self, refusal: refusal::Refusal) -> handler::Stamped {
        unreachable!("{refusal:?}")
    }
}

/// A connection's thread has a small stack. A body of brackets only must not overflow it: that would
/// end the whole process, and every request in it.
#[test]
fn deep_json_does_not_overflow_the_stack() {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let server = server::Server::start(listener, limits::Limits::default(), Arc::new(Parsing))
        .expect("the server starts");
    let deep = format!(
        "{{\"model\":\"m\",\"messages\":[{{\"a\":{}",
        "[".repeat(1_000_000)
    );
    let mut stream = net::TcpStream::connect(server.local_addr()).expect("the system accepts");
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a socket");
    let head = format!(
        "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        deep.len()
    );
    stream.write_all(head.as_bytes()).expect("the server reads");
    stream.write_all(deep.as_bytes()).expect("the server reads");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.ends_with("\r\n\r\nfalse false"), "{answer}");
}
