//! The contract of port and client: what each call brings, and what silent peers cannot do.

use std::{
    io::{Read, Write},
    net,
    sync::{self, Arc},
    thread,
    time::{Duration, Instant},
};

use sageshed_vms::{Answer, CallError, Client, Handler, Server, limits};

/// A test that waits longer than this has failed.
const PATIENCE: Duration = Duration::from_secs(20);

const TOKEN: &str = "spade";

/// Connections that a port of these tests holds at once.
const CONNECTIONS: usize = 4;

/// Answers `/double` with twice the number, and `/open` to everybody.
struct Doubling;

impl Handler for Doubling {
    fn handle(&self, path: &str, body: &[u8]) -> Answer {
        match path {
            "/double" => match sageshed_vms::decode::<u64>(body) {
                Ok(number) => Answer::message(&(number * 2)),
                Err(e) => Answer::Bad(e),
            },
            "/open" => Answer::Json {
                status: 202,
                body: format!("{{\"bytes\":{}}}", body.len()),
            },
            _ => Answer::NotFound,
        }
    }

    fn is_open(&self, path: &str) -> bool {
        path == "/open"
    }
}

/// Holds the calls of `/poll`, which yield, and answers all others as [`Doubling`].
struct Polled {
    held: sync::Mutex<Vec<sageshed_vms::Later>>,
}

impl Handler for Polled {
    fn handle(&self, path: &str, body: &[u8]) -> Answer {
        Doubling.handle(path, body)
    }

    fn is_deferred(&self, path: &str) -> bool {
        path == "/poll"
    }

    fn handle_later(&self, _path: &str, _body: &[u8], later: sageshed_vms::Later) {
        self.held.lock().expect("no panic").push(later);
    }

    fn yields(&self, path: &str) -> bool {
        path == "/poll"
    }
}

/// A port whose limits on silence are short.
fn port() -> Server {
    let limits = limits::Limits {
        idle_timeout: Duration::from_millis(300),
        body_timeout: Duration::from_millis(300),
        ..sageshed_vms::limits_for(CONNECTIONS)
    };
    Server::start_within("127.0.0.1:0", TOKEN, limits, Arc::new(Doubling)).expect("a free port")
}

fn double(server: &Server, token: &str) -> Result<u64, CallError> {
    let address = server.address().to_string();
    Client::new(token).call(&address, "/double", &21_u64, PATIENCE)
}

struct Case {
    name: &'static str,
    token: &'static str,
    path: &'static str,
    /// The number, or the status and part of what it says.
    expected: Result<u64, (u16, &'static str)>,
    message: &'static str,
}

#[test]
fn calls_are_answered_by_table() {
    let cases = [
        Case {
            name: "no token",
            token: "",
            path: "/double",
            expected: Err((401, "missing or wrong")),
            message: "1",
        },
        Case {
            name: "another token",
            token: "spad",
            path: "/double",
            expected: Err((401, "missing or wrong")),
            message: "1",
        },
        Case {
            name: "no token on an unknown path",
            token: "",
            path: "/x",
            expected: Err((401, "missing or wrong")),
            message: "1",
        },
        Case {
            name: "unknown path",
            token: TOKEN,
            path: "/x",
            expected: Err((404, "no such path")),
            message: "1",
        },
        Case {
            name: "a message of another type",
            token: TOKEN,
            path: "/double",
            expected: Err((400, "cannot decode a message between VMs")),
            message: "text",
        },
    ];
    let server = port();
    let address = server.address().to_string();
    for case in cases {
        let client = Client::new(case.token);
        let result = client.call::<_, u64>(&address, case.path, &case.message, PATIENCE);
        let seen = match result {
            Ok(number) => Ok(number),
            Err(CallError::Status {
                status, problem, ..
            }) => Err((status, problem)),
            Err(e) => panic!("{}: {e}", case.name),
        };
        match (seen, case.expected) {
            (Err((status, problem)), Err((expected, says))) => {
                assert_eq!(status, expected, "{}: {problem}", case.name);
                assert!(problem.contains(says), "{}: {problem}", case.name);
            }
            (seen, expected) => panic!("{}: {seen:?} and not {expected:?}", case.name),
        }
    }
    assert_eq!(double(&server, TOKEN).expect("an answer"), 42);
}

/// An endpoint knows no token: it tells its state to a path that is open, in JSON.
#[test]
fn an_open_path_takes_calls_without_the_token() {
    let server = port();
    let mut stream = connect(&server);
    let request =
        "POST /open HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 3\r\n\r\n{ }";
    stream
        .write_all(request.as_bytes())
        .expect("the port reads");
    let mut answer = String::new();
    stream
        .read_to_string(&mut answer)
        .expect("the port answers and closes");
    assert!(answer.starts_with("HTTP/1.1 202 "), "{answer}");
    assert!(answer.contains("application/json"), "{answer}");
    assert!(answer.ends_with("{\"bytes\":3}"), "{answer}");
}

/// A claim is asked for and no answer comes. Whether its request may be sent depends on what the
/// caller knows: a process that is down has seen nothing, nor has one that cannot be reached; one
/// that took the connection may have recorded the claim.
#[test]
fn refused_unreachable_and_unanswered_are_told_apart() {
    let client = Client::new(TOKEN);
    let call = |address: &str| {
        client
            .call::<_, u64>(address, "/double", &1_u64, Duration::from_secs(2))
            .expect_err("nobody answers there")
    };

    let down = listen();
    let address = down.local_addr().expect("an address").to_string();
    drop(down);
    assert!(matches!(call(&address), CallError::Refused { .. }));

    // The kernel answers nothing while the queue of connections to be accepted is full.
    let full = listen();
    rustix::net::listen(&full, 0).expect("a shorter queue");
    let address = full.local_addr().expect("an address");
    let connect = || net::TcpStream::connect_timeout(&address, Duration::from_millis(200));
    let held: Vec<_> = std::iter::from_fn(|| connect().ok()).collect();
    assert!(!held.is_empty());
    let error = call(&address.to_string());
    assert!(matches!(error, CallError::Unreachable { .. }), "{error}");

    let silent = listen();
    let address = silent.local_addr().expect("an address").to_string();
    let error = call(&address);
    assert!(matches!(error, CallError::NoAnswer { .. }), "{error}");

    let closing = listen();
    let address = closing.local_addr().expect("an address").to_string();
    let closing = thread::spawn(move || drop(closing.accept()));
    let error = call(&address);
    assert!(matches!(error, CallError::NoAnswer { .. }), "{error}");
    closing.join().expect("it closes what it accepts");
}

/// Guards against an answer of another process that counts though HTTP does not define its status, or it is an interim one.
#[test]
fn an_answer_without_a_final_status_does_not_count() {
    for status in ["000", "099", "100", "101"] {
        let listener = listen();
        let address = listener.local_addr().expect("an address").to_string();
        let answering = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let read = stream.read(&mut [0; 4_096]).expect("a call");
            let answer = format!("HTTP/1.1 {status} X\r\nContent-Length: 1\r\n\r\n\u{2}");
            let written = stream.write_all(answer.as_bytes());
            written.expect("the other end reads");
            read
        });
        let answer = Client::new(TOKEN).call::<_, u64>(&address, "/double", &1_u64, PATIENCE);
        assert!(
            matches!(answer, Err(CallError::NoAnswer { .. })),
            "{status}: {answer:?}"
        );
        assert!(answering.join().expect("it answers") > 0);
    }
}

/// Answers one call, of the number 1, with these bytes and closes the connection.
fn answer_once(answer: Vec<u8>) -> (String, thread::JoinHandle<()>) {
    let listener = listen();
    let address = listener.local_addr().expect("an address").to_string();
    let answering = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut call = Vec::new();
        while !call.ends_with(b"\r\n\r\n\x01") {
            let mut buf = [0; 4_096];
            let read = stream.read(&mut buf).expect("a call");
            assert!(read > 0, "the call ends early");
            call.extend_from_slice(&buf[..read]);
        }
        stream.write_all(&answer).expect("the other end reads");
    });
    (address, answering)
}

/// Guards against a part of another process's answer that counts as the whole, however the answer tells where it ends.
#[test]
fn an_answer_that_is_cut_does_not_count() {
    let answer = (7_u64, vec!["vm1".to_owned(), String::new()], Some(300_u16));
    let whole = sageshed_vms::encode(&answer).expect("plain data");
    let length = whole.len();
    let heads = [
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"),
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n"),
        "HTTP/1.1 200 OK\r\n\r\n".to_owned(),
        "HTTP/1.0 200 OK\r\n\r\n".to_owned(),
    ];
    for (head, bytes) in heads
        .iter()
        .flat_map(|it| (0..=length).map(move |n| (it, n)))
    {
        let (address, answering) = answer_once([head.as_bytes(), &whole[..bytes]].concat());
        let called: Result<(u64, Vec<String>, Option<u16>), _> =
            Client::new(TOKEN).call(&address, "/double", &1_u64, PATIENCE);
        answering.join().expect("it answers");
        match called {
            Ok(seen) => assert!(
                seen == answer && bytes == length,
                "{bytes} bytes after {head}"
            ),
            Err(e) => assert!(
                bytes < length || head.contains("chunked"),
                "{e} after {head}"
            ),
        }
    }
}

/// Something between two VMs loses track of connections just after the heads of their requests went
/// out. The peers' new connections work, but each of the old ones waits for a body that never comes.
/// If they held their places for good, this port would answer nobody again: no heartbeat, no claim.
#[test]
fn peers_that_send_no_body_do_not_keep_others_out() {
    let server = port();
    let head = format!(
        "POST /double HTTP/1.1\r\nHost: x\r\n{}: {TOKEN}\r\nContent-Length: 5000\r\n\r\n",
        sageshed_vms::TOKEN_HEADER
    );
    let silent: Vec<_> = (0..CONNECTIONS)
        .map(|_| {
            let mut stream = connect(&server);
            stream.write_all(head.as_bytes()).expect("the port reads");
            stream
        })
        .collect();
    assert_eq!(in_the_end(|| double(&server, TOKEN)), 42);
    drop(silent);
}

/// Anybody may report as an endpoint. Were a snapshot's size taken from strangers too, a few of them
/// would fill the VM's memory.
#[test]
fn an_open_path_takes_no_large_body_from_strangers() {
    let server = port();
    let mut stream = connect(&server);
    let head = "POST /open HTTP/1.1\r\nHost: x\r\nContent-Length: 100000000\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("the port reads");
    let mut start = [0; 12];
    stream.read_exact(&mut start).expect("an answer");
    assert_eq!(&start, b"HTTP/1.1 413");
}

/// The same without the token: the refusal must not wait for the body.
#[test]
fn a_stranger_is_refused_before_its_body() {
    let server = port();
    let mut stream = connect(&server);
    let head = "POST /double HTTP/1.1\r\nHost: x\r\nContent-Length: 5000000\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("the port reads");
    let mut start = [0; 12];
    stream.read_exact(&mut start).expect("an answer");
    assert_eq!(&start, b"HTTP/1.1 401");
}

/// Connections that carry no request go silent. Each holds a place, and were they kept, as many as
/// the port has places would close it to everybody.
#[test]
fn silent_idle_connections_are_closed() {
    let server = port();
    let mut fresh: Vec<_> = (0..CONNECTIONS).map(|_| connect(&server)).collect();
    assert_eq!(in_the_end(|| double(&server, TOKEN)), 42);
    for stream in &mut fresh {
        assert_eq!(stream.read(&mut [0]).expect("an end, not a timeout"), 0);
    }

    let mut used = connect(&server);
    let request = "POST /open HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    used.write_all(request.as_bytes()).expect("the port reads");
    let mut answer = String::new();
    used.read_to_string(&mut answer)
        .expect("an answer and an end");
    assert!(answer.contains("{\"bytes\":0}"), "{answer}");
}

/// A process stops, and a peer still has a connection to it. The call that the peer sends on it next
/// must not be answered: the state behind the port is about to be dropped.
#[test]
fn a_dropped_port_answers_nobody() {
    // Whether the port's thread has begun to wait for the next call by the time of the drop differs
    // from one round to the next.
    for _ in 0..30 {
        let server = port();
        let address = server.address().to_string();
        let client = Client::new(TOKEN);
        let call = || client.call::<_, u64>(&address, "/double", &21_u64, PATIENCE);
        assert_eq!(call().expect("an answer"), 42);
        drop(server);
        let error = call().expect_err("nobody answers");
        let known = matches!(
            error,
            CallError::Refused { .. } | CallError::NoAnswer { .. }
        );
        assert!(known, "{error}");
        let error = call().expect_err("nobody is there");
        assert!(matches!(error, CallError::Refused { .. }), "{error}");
    }
}

/// One handler that waits, as one does for a commit, must not keep the port from answering others.
#[test]
fn a_call_that_waits_does_not_hold_up_another() {
    struct Waiting(sync::Mutex<sync::mpsc::Receiver<()>>);
    impl Handler for Waiting {
        fn handle(&self, path: &str, _body: &[u8]) -> Answer {
            if path == "/wait" {
                let rx = self.0.lock().expect("one user");
                rx.recv_timeout(PATIENCE).expect("the test goes on");
            }
            Answer::message(&1_u64)
        }
    }
    let (tx, rx) = sync::mpsc::channel();
    let handler = Arc::new(Waiting(sync::Mutex::new(rx)));
    let server = Server::start("127.0.0.1:0", "", CONNECTIONS, handler).expect("a free port");
    let address = server.address().to_string();
    let client = Client::new("");
    thread::scope(|scope| {
        let waits = scope.spawn(|| client.call::<_, u64>(&address, "/wait", &1_u64, PATIENCE));
        let other = client.call::<_, u64>(&address, "/x", &1_u64, PATIENCE);
        assert_eq!(other.expect("an answer"), 1);
        tx.send(()).expect("the handler waits");
        assert_eq!(waits.join().expect("no panic").expect("an answer"), 1);
    });
}

fn listen() -> net::TcpListener {
    net::TcpListener::bind("127.0.0.1:0").expect("a free port")
}

fn connect(server: &Server) -> net::TcpStream {
    let stream = net::TcpStream::connect(server.address()).expect("the system accepts");
    stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
    stream
}

/// Repeats a call that may be refused for want of a place.
fn in_the_end<T>(call: impl Fn() -> Result<T, CallError>) -> T {
    let started = Instant::now();
    loop {
        match call() {
            Ok(answer) => return answer,
            Err(e) => assert!(started.elapsed() < PATIENCE, "{e}"),
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against a control group that is never formed. Entry processes start together with the control processes and
/// hold long polls; when these took all connections, control processes were refused each other's hellos.
#[test]
fn long_polls_leave_connections_for_other_calls() {
    let polled = Arc::new(Polled {
        held: sync::Mutex::default(),
    });
    let limits = sageshed_vms::limits_for(CONNECTIONS);
    let server = Server::start_within("127.0.0.1:0", "", limits, Arc::clone(&polled));
    let server = server.expect("a free port");
    let address = server.address().to_string();
    let polls: Vec<_> = (0..CONNECTIONS * 2)
        .map(|_| {
            let address = address.clone();
            thread::spawn(move || {
                Client::new("").call::<_, u64>(&address, "/poll", &0_u64, PATIENCE)
            })
        })
        .collect();
    let held = || polled.held.lock().expect("no panic").len();
    while held() + polls.iter().filter(|it| it.is_finished()).count() < polls.len() {
        thread::yield_now();
    }
    // The connection of a refused poll is closed a moment after its answer has come.
    while double(&server, "").is_err() {
        let waits = polls.iter().any(|it| !it.is_finished());
        assert!(waits, "no answer for as long as polls wait");
    }
    for later in std::mem::take(&mut *polled.held.lock().expect("no panic")) {
        later.answer(Answer::message(&1_u64));
    }
    let answered = polls
        .into_iter()
        .filter_map(|it| it.join().expect("no panic").ok());
    assert!((1..=CONNECTIONS / 2).contains(&answered.count()));
}
