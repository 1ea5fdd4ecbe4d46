//! A faulty server gives two lengths that differ.

use std::{
    io::Write,
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Outcome,
    client::{self, Ask, CONFIG},
    engine::{self, Run, Server},
    fleet::Fleet,
    http,
    record::Record,
};

/// With [`INTERVAL`] they take four seconds; the site file lets `garble` last 5.5.
const REQUESTS: usize = 400;
const INTERVAL: Duration = Duration::from_millis(10);

/// The mean work of a plain request in the shifted deployment.
const WORK: Duration = Duration::from_millis(60);

/// Half of the servers are faulty, of 0.6 in the site file, and spoil one answer in 50 of theirs.
const SERVERS: u8 = 4;
const FAULTY: [&str; 2] = ["i-0", "i-1"];
const SPOILED_EACH: usize = 50;

const BODY: &[u8] = b"van 12 is at Bridge Street, van 14 is at Mill Lane";

pub fn play(with_trouble: bool, record: &Record) -> Outcome {
    let fleet = Fleet::start(5, 2, record);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let answered: [AtomicUsize; 2] = Default::default();
    let handler = Arc::new(
        move |server: &Server,
              mut req: http::Message,
              stream: &mut TcpStream,
              buf: &mut Vec<u8>| {
            http::read_body(stream, buf, &mut req, false)?;
            server.record_run(&req);
            thread::sleep(WORK);
            let faulty = FAULTY.iter().position(|it| *it == server.id);
            let number = faulty.map(|at| answered[at].fetch_add(1, Ordering::SeqCst));
            let is_spoiled = number.is_some_and(|it| it % SPOILED_EACH == SPOILED_EACH - 1);
            if !with_trouble || !is_spoiled {
                server.answer(&req, stream, BODY)?;
                return Ok(true);
            }
            let id = req.header("attempt-id").unwrap_or_default();
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: 26\r\nContent-Length: {}\r\nAttempt-Id: {id}\r\n\
                 Response-Signature: {}\r\nContent-Type: text/plain\r\n\r\n",
                BODY.len(),
                engine::signature(id, BODY)
            );
            stream.write_all(&[head.as_bytes(), BODY].concat())?;
            Ok(true)
        },
    );
    let servers: Vec<_> = (0..SERVERS)
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
    let asked: Vec<_> = (0..REQUESTS)
        .map(|at| {
            thread::sleep(INTERVAL);
            let front = fleet.front(at % 2);
            thread::spawn(move || {
                let id = format!("a{at:04}");
                let request = Ask {
                    method: "GET",
                    path: "/status/vans",
                    id: &id,
                    deadline_ms: 1_000,
                    body: b"",
                };
                let answer = client::ask(front, &request);
                (id, answer)
            })
        })
        .collect();
    let mut broken = 0;
    for thread in asked {
        let Ok((id, answer)) = thread.join() else {
            return Outcome::CouldNotRun;
        };
        let Some(answer) = answer else {
            record.note(&format!("{id}: no complete answer"));
            continue;
        };
        if answer.status() != 200 {
            record.note(&format!("{id}: answered {}", answer.status()));
        } else if answer.body != BODY {
            broken += 1;
            record.note(&format!(
                "{id}: answered 200 with a signature and {} of {} bytes: {:?}",
                answer.body.len(),
                BODY.len(),
                String::from_utf8_lossy(&answer.body)
            ));
        }
    }
    record.note(&format!(
        "{REQUESTS} requests, {broken} successes without the server's whole body"
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
