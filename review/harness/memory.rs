//! Servers read slowly while clients send bodies of the largest size that the configuration allows.
//!
//! The platform ends a process that uses more than the memory of its machine, and starts it again.

use std::{
    io::{self, Read},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    client::{self, Ask, CONFIG},
    engine::{Run, Server},
    fleet::{EDGE_MEMORY_MB, Fleet, Node},
    http::{self, Message},
    record::Record,
};

/// `max_body_bytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;

/// The interval between two requests to one machine: about 340 Mbit/s, a third of its link.
const INTERVAL: Duration = Duration::from_millis(100);

const SENDS_FOR: Duration = Duration::from_secs(25);

/// A server that reads slowly takes about five seconds for such a body.
const READ_BYTES: usize = 84_000;
const READ_PAUSE: Duration = Duration::from_millis(100);

/// How often processes of two machines have to end by themselves for the rule to be broken.
const ENDS: usize = 3;
const MACHINES: usize = 2;

pub fn play(with_trouble: bool, record: &Record) -> Outcome {
    let mut fleet = Fleet::start(5, 2, record);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let handler = Arc::new(
        move |server: &Server, mut req: Message, stream: &mut TcpStream, buf: &mut Vec<u8>| {
            if with_trouble {
                read_slowly(stream, buf, &req)?;
            }
            http::read_body(stream, buf, &mut req, false)?;
            server.record_run(&req);
            server.stream(&req, stream)?;
            Ok(true)
        },
    );
    let servers: Vec<_> = (0..4)
        .map(|at| {
            let ip = fleet.ip(41 + at);
            let id = format!("i-{at}");
            let control = fleet.control_addresses();
            Server::start(&id, "app", ip, 64, control, &runs, handler.clone())
        })
        .collect();
    if !client::prepare(&fleet, CONFIG, &servers, record) {
        return Outcome::CouldNotRun;
    }
    let fronts = [fleet.front(0), fleet.front(1)];
    let counts = Arc::new(Counts::default());
    let sending: Vec<_> = fronts
        .into_iter()
        .map(|front| {
            let counts = Arc::clone(&counts);
            thread::spawn(move || send_all(front, &counts))
        })
        .collect();
    let began = Instant::now();
    let mut ends = [0; MACHINES];
    let mut peaks = [0; MACHINES];
    while began.elapsed() < SENDS_FOR {
        for (at, node) in fleet.entries.iter_mut().enumerate() {
            let used = node.memory_mb();
            peaks[at] = peaks[at].max(used);
            if used > EDGE_MEMORY_MB {
                ends[at] += 1;
                record.note(&format!(
                    "{} uses {used} MB of {EDGE_MEMORY_MB}: ended by the platform, started again",
                    node.name
                ));
                restart(node);
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    for thread in sending {
        drop(thread.join());
    }
    record.note(&format!(
        "sent {} requests of {BODY_BYTES} bytes; answered 2xx {}, refused 503 {}, other {}, none {}",
        counts.sent.load(Ordering::SeqCst),
        counts.served.load(Ordering::SeqCst),
        counts.refused.load(Ordering::SeqCst),
        counts.other.load(Ordering::SeqCst),
        counts.none.load(Ordering::SeqCst),
    ));
    record.note(&format!(
        "most memory: {peaks:?} MB, ends by themselves: {ends:?}"
    ));
    for server in &servers {
        server.stop();
    }
    if ends.iter().all(|it| *it >= ENDS) {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// The answers that clients got.
#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    served: AtomicUsize,
    refused: AtomicUsize,
    other: AtomicUsize,
    none: AtomicUsize,
}

/// Sends requests to one machine, each from a client of its own.
fn send_all(front: SocketAddr, counts: &Arc<Counts>) {
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let began = Instant::now();
    while began.elapsed() < SENDS_FOR {
        thread::sleep(INTERVAL);
        let number = counts.sent.fetch_add(1, Ordering::SeqCst);
        let (body, counts) = (Arc::clone(&body), Arc::clone(counts));
        thread::spawn(move || {
            let id = format!("a{number:05}");
            let request = Ask {
                method: "POST",
                path: "/draft/x",
                id: &id,
                deadline_ms: 12_000,
                body: &body,
            };
            let count = match client::ask(front, &request).map(|it| it.status()) {
                Some(200) => &counts.served,
                Some(503) => &counts.refused,
                Some(_) => &counts.other,
                None => &counts.none,
            };
            count.fetch_add(1, Ordering::SeqCst);
        });
    }
}

fn restart(node: &mut Node) {
    node.kill();
    thread::sleep(Duration::from_millis(300));
    node.start();
}

/// Reads a body a part at a time, with pauses.
fn read_slowly(stream: &mut TcpStream, buf: &mut Vec<u8>, req: &Message) -> io::Result<()> {
    let length = req.length().unwrap_or(0);
    let mut chunk = vec![0; READ_BYTES];
    while buf.len() < length {
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        buf.extend_from_slice(&chunk[..n]);
        thread::sleep(READ_PAUSE);
    }
    Ok(())
}
