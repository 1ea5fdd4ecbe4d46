//! Clients that give up end their sending side, read what still comes, and close.

use std::{
    io::Write,
    net::{Shutdown, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    Outcome,
    client::{self, CONFIG},
    engine::{Run, Server},
    fleet::Fleet,
    http,
    record::Record,
};

const REQUESTS: usize = 100;

/// One in five clients leaves, the share of `give_up` in the site file.
const LEAVES_EACH: usize = 5;

/// When these leave.
const LEAVES_AFTER: Duration = Duration::from_millis(75);

/// How long a server works on a request.
const WORK: Duration = Duration::from_millis(150);

pub fn play(with_trouble: bool, record: &Record) -> Outcome {
    let fleet = Fleet::start(5, 2, record);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let handler = Arc::new(
        |server: &Server, mut req: http::Message, stream: &mut TcpStream, buf: &mut Vec<u8>| {
            http::read_body(stream, buf, &mut req, false)?;
            server.record_run(&req);
            if !Server::work(stream, WORK) {
                return Ok(false);
            }
            server.answer(&req, stream, b"booked")?;
            Ok(true)
        },
    );
    let servers: Vec<_> = (0..2)
        .map(|at| {
            let ip = fleet.ip(41 + at);
            let id = format!("i-{at}");
            let control = fleet.control_addresses();
            Server::start(&id, "app", ip, 6, control, &runs, handler.clone())
        })
        .collect();
    if !client::prepare(&fleet, CONFIG, &servers, record) {
        return Outcome::CouldNotRun;
    }
    let mut broken = 0;
    let mut left = 0;
    for at in 0..REQUESTS {
        let id = format!("a{at:04}");
        let leaves = with_trouble && at % LEAVES_EACH == 0;
        left += usize::from(leaves);
        let status = ask(&fleet, at % 2, &id, leaves);
        let ran = runs
            .lock()
            .expect("no panic")
            .iter()
            .filter(|it| it.id == id)
            .count();
        let promise = matches!(status, 408 | 421 | 429 | 503);
        broken += usize::from(promise && ran > 0);
        if leaves || status != 200 {
            let who = if leaves { "left after 75 ms" } else { "waited" };
            record.note(&format!(
                "{id}: POST /order/x, client {who}, got {status}, ran {ran} times"
            ));
        }
    }
    record.note(&format!(
        "{REQUESTS} requests, {left} clients left, {broken} answered with a promise though they ran"
    ));
    for server in &servers {
        server.stop();
    }
    if broken > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Sends one request that is not idempotent. Returns the status that the client reads; zero if there is none.
fn ask(fleet: &Fleet, entry: usize, id: &str, leaves: bool) -> u16 {
    let Ok(mut stream) = TcpStream::connect(fleet.front(entry)) else {
        return 0;
    };
    drop(stream.set_read_timeout(Some(Duration::from_secs(2))));
    let req = format!(
        "POST /order/x HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1000\r\n\
         Content-Length: 5\r\n\r\nhello"
    );
    if stream.write_all(req.as_bytes()).is_err() {
        return 0;
    }
    if leaves {
        thread::sleep(LEAVES_AFTER);
        drop(stream.shutdown(Shutdown::Write));
    }
    let mut buf = Vec::new();
    let head = http::read_head(&mut stream, &mut buf);
    head.ok().flatten().map_or(0, |it| it.status())
}
