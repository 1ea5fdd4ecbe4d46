//! The table of faults, one file a case: what an engine does on the wire, and the fault and verdict
//! that must come of it. A case without a failure must give a whole answer.

use std::{
    io::{Read as _, Write as _},
    net, path, thread,
    time::Duration,
};

use sageshed_engines::{answer, classify, client, paths, transport};
use sageshed_types::time;
use serde::Deserialize;

/// Long enough for a busy machine, short enough for a table of silent engines.
const LIMIT: Duration = Duration::from_secs(1);

/// What the server does after it has sent its bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Server {
    /// There is none.
    Absent,
    /// It closes.
    Close,
    /// It ends its sending side and waits until the other end has closed.
    HalfClose,
    /// It resets the connection.
    Reset,
    /// It keeps the connection open.
    Hold,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    server: Server,
    #[serde(default)]
    sends: Vec<String>,
    /// Sends the last of `sends` as often as this in all.
    #[serde(default)]
    last_times: usize,
    /// Sent when every limit has passed.
    #[serde(default)]
    sends_late: Vec<String>,
    #[serde(default)]
    streaming: bool,
    connect_limit_ns: Option<u64>,
    /// Goes on after the first token of this run.
    resume_run: Option<String>,
    failure: Option<Failure>,
}

#[derive(Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
struct Failure {
    fault: String,
    verdict: String,
    retry_after_ms: Option<u64>,
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the harness hands the text over"
)]
fn case(path: &path::Path, text: String) -> datatest_stable::Result<()> {
    let case: Case = toml::from_str(&text)?;
    let listener = net::TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?.to_string();
    let (server, late) = (case.server, case.sends_late.clone());
    let mut sends = case.sends.clone();
    let last = sends.last().cloned().into_iter();
    sends.extend(last.cycle().take(case.last_times.saturating_sub(1)));
    if server == Server::Absent {
        drop(listener);
    } else {
        thread::spawn(move || serve(&listener, server, &sends, &late));
    }
    let found = ask(&case, &address).err().map(|e| Failure {
        fault: e.fault.to_string(),
        verdict: e.verdict.to_string(),
        retry_after_ms: e.retry_after.map(|span: time::Millis| span.0),
    });
    assert_eq!(found, case.failure, "{}", path.display());
    Ok(())
}

fn ask(case: &Case, address: &str) -> Result<(), classify::CallError> {
    let mut settings = transport::Settings::default();
    if let Some(ns) = case.connect_limit_ns {
        settings.connect_limit = Duration::from_nanos(ns);
    }
    let client = client::Client::new(settings);
    let call = client::Call {
        address,
        path: paths::CHAT_COMPLETIONS,
        body: b"{}",
        streaming: case.streaming,
        fresh: false,
        request_id: "r1",
        idempotency_key: None,
        priority: 5,
        deadline_left: Duration::from_secs(20),
        first_byte_limit: LIMIT,
        gap_limit: LIMIT,
        resume: case
            .resume_run
            .as_deref()
            .map(|run| client::Resume { from: 1, run }),
    };
    match client.stream(&call)? {
        client::Streamed::Plain(answer) => read_plain(answer),
        client::Streamed::Events { mut events, .. } => {
            while events.next_event()?.is_some() {}
            assert_eq!(events.data_seen(), 1, "events with data");
            Ok(())
        }
    }
}

fn read_plain(answer: answer::Answer) -> Result<(), classify::CallError> {
    let body = answer.body.read_all(20)?;
    assert_eq!(body.len(), 5, "a whole body");
    Ok(())
}

fn serve(listener: &net::TcpListener, server: Server, sends: &[String], late: &[String]) {
    let (mut socket, _) = listener.accept().expect("a connection");
    // Head and body of the request come in two writes.
    let mut request = Vec::new();
    let mut buf = [0; 4_096];
    while !request.ends_with(b"\r\n\r\n{}") {
        match socket.read(&mut buf) {
            Ok(n) if n > 0 => request.extend_from_slice(&buf[..n]),
            _ => return,
        }
    }
    for bytes in sends {
        let _gone = socket.write_all(bytes.as_bytes());
    }
    if !late.is_empty() {
        thread::sleep(3 * LIMIT);
    }
    for bytes in late {
        let _gone = socket.write_all(bytes.as_bytes());
    }
    match server {
        Server::Absent | Server::Close => {}
        Server::Hold => drop(socket.read(&mut buf)),
        Server::HalfClose => {
            socket.shutdown(net::Shutdown::Write).expect("a socket");
            drop(socket.read(&mut buf));
        }
        Server::Reset => {
            // The answer is read before the reset destroys it.
            thread::sleep(LIMIT / 10);
            let linger = Some(Duration::ZERO);
            rustix::net::sockopt::set_socket_linger(&socket, linger).expect("a socket");
        }
    }
}

datatest_stable::harness! {
    { test = case, root = "tests/faults", pattern = r"\.toml$" },
}
