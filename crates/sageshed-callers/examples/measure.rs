//! Measures the caller side by itself: memory of open streams, and keep-alive requests a second.
//!
//! Run with `cargo run --release -p sageshed-callers --example measure -- [STREAMS] [CLIENTS]`.
//! Server and clients share the process, so the memory figure includes the clients' sockets (which
//! live in the kernel and are not part of it) but no client threads: one thread opens all streams.

use std::{
    env, fs,
    io::{Read, Write},
    net,
    sync::{Arc, Barrier, atomic},
    thread, time,
};

use sageshed_callers::{handler, limits, openai, reply, request, route, server};
use sageshed_types::refusal;

/// How long requests are counted.
const SPAN: time::Duration = time::Duration::from_secs(5);

/// A chat request of a usual size.
const CHAT: &str = r#"{"model":"callout","messages":[{"role":"user","content":"PAD"}]}"#;

const ANSWER: reply::Head<'static> = reply::Head {
    request_id: "m-1",
    status: 200,
    content_type: "application/json",
    headers: &[],
};

/// Streams until told to stop on `/healthz`, else reads the body and answers at once.
struct Measured {
    stop: atomic::AtomicBool,
    /// Requests answered, to hold against what the clients counted.
    answered: atomic::AtomicUsize,
}

impl handler::Handler for Measured {
    fn handle(&self, req: request::Request, reply: reply::Reply<'_>) -> reply::Sent {
        if route::Route::parse(&req.method, &req.path) == route::Route::Healthz {
            return self.stream(reply);
        }
        self.answered.fetch_add(1, atomic::Ordering::Relaxed);
        complete(&req, reply)
    }

    fn refuse_early(&self, refusal: refusal::Refusal) -> handler::Stamped {
        handler::Stamped {
            request_id: "early".to_owned(),
            refusal,
        }
    }
}

impl Measured {
    fn stream(&self, reply: reply::Reply<'_>) -> reply::Sent {
        let mut stream = reply.stream(&ANSWER);
        while !self.stop.load(atomic::Ordering::Relaxed) {
            if stream.send(b"data: {\"choices\":[]}\n\n").is_err() {
                return stream.abort();
            }
            thread::sleep(time::Duration::from_secs(1));
        }
        stream.finish()
    }
}

fn complete(req: &request::Request, reply: reply::Reply<'_>) -> reply::Sent {
    match openai::Completion::parse(openai::Api::Chat, &req.body) {
        Ok(read) => reply.whole(&ANSWER, read.model.as_bytes()),
        Err(refusal) => reply.refusal("m-1", &refusal),
    }
}

fn main() {
    let mut args = env::args().skip(1).map(|arg| arg.parse::<usize>());
    let mut next = |default| match args.next() {
        Some(value) => value.expect("a number"),
        None => default,
    };
    let (streams, clients) = (next(2_000), next(32));
    let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let handler = Arc::new(Measured {
        stop: atomic::AtomicBool::new(false),
        answered: atomic::AtomicUsize::new(0),
    });
    let limits = limits::Limits {
        connections: streams + clients,
        ..limits::Limits::default()
    };
    let server =
        server::Server::start(listener, limits, Arc::clone(&handler)).expect("the server starts");
    measure_streams(&server, streams);
    handler.stop.store(true, atomic::Ordering::Relaxed);
    measure_requests(server.local_addr(), clients);
    let answered = handler.answered.load(atomic::Ordering::Relaxed);
    println!("answered by the server: {answered}");
    server.stop_accepting();
    server.close_idle();
    println!("left open: {}", server.wait(time::Duration::from_secs(5)));
}

fn measure_streams(server: &server::Server, count: usize) {
    let before = resident_kib();
    let open: Vec<_> = (0..count)
        .map(|_| open_stream(server.local_addr()))
        .collect();
    thread::sleep(time::Duration::from_secs(2));
    let after = resident_kib();
    let each = after.saturating_sub(before) as f64 / count as f64;
    println!(
        "streams open: {} of {}",
        server.connections_open(),
        open.len()
    );
    println!("resident: {before} KiB before, {after} KiB after, {each:.1} KiB a stream");
}

fn open_stream(address: net::SocketAddr) -> net::TcpStream {
    let mut stream = net::TcpStream::connect(address).expect("the server accepts");
    stream
        .write_all(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
        .expect("the server reads");
    let read = stream.read(&mut [0; 512]).expect("the server answers");
    assert!(read > 0, "the stream began");
    stream
}

fn measure_requests(address: net::SocketAddr, clients: usize) {
    let body = CHAT.replace("PAD", &"x".repeat(1_000));
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer t\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let barrier = Barrier::new(clients);
    let total: usize = thread::scope(|scope| {
        let threads: Vec<_> = (0..clients)
            .map(|_| scope.spawn(|| ask(address, request.as_bytes(), &barrier)))
            .collect();
        let counts = threads
            .into_iter()
            .map(|thread| thread.join().expect("a client"));
        counts.sum()
    });
    let rate = total as f64 / SPAN.as_secs_f64();
    println!("{clients} keep-alive clients: {total} requests, {rate:.0} a second");
}

fn ask(address: net::SocketAddr, request: &[u8], barrier: &Barrier) -> usize {
    let mut stream = net::TcpStream::connect(address).expect("the server accepts");
    stream.set_nodelay(true).expect("a socket");
    barrier.wait();
    let started = time::Instant::now();
    let mut count = 0;
    let mut buf = [0; 1024];
    while started.elapsed() < SPAN {
        stream.write_all(request).expect("the server reads");
        let read = stream.read(&mut buf).expect("the server answers");
        assert!(buf[..read].ends_with(b"callout"), "one whole answer");
        count += 1;
    }
    count
}

fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("Linux");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value
        .and_then(|value| value.parse().ok())
        .expect("a figure")
}
