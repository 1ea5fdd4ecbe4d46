//! Clients that give up end their sending side, read what still comes, and close.

use std::{
    io::Write,
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
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

/// 100 requests a second, of 108 in the site file, for four seconds, which it lets `give_up` last with this share.
const REQUESTS: usize = 400;
const INTERVAL: Duration = Duration::from_millis(10);

/// The share of clients that leave, in percent, as in the site file.
const LEAVE_PERCENT: u64 = 30;

/// These leave within half of the objective of 300 ms.
const LEAVE_WITHIN_MS: u64 = 150;

/// The work of a server on a request, as the site file draws it: mean, spread and the longest.
const WORK_MS: f64 = 60.0;
const SPREAD: f64 = 0.5;
const MOST_WORK_MS: f64 = 450.0;

/// One request and when its client leaves.
struct Plan {
    id: String,
    leaves_after: Option<Duration>,
}

pub fn play(with_trouble: bool, record: &Record) -> Outcome {
    let fleet = Fleet::start(5, 2, record);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let works = Draws::new(7);
    let handler = Arc::new(
        move |server: &Server,
              mut req: http::Message,
              stream: &mut TcpStream,
              buf: &mut Vec<u8>| {
            http::read_body(stream, buf, &mut req, false)?;
            server.record_run(&req);
            if !Server::work(stream, works.work()) {
                return Ok(false);
            }
            server.answer(&req, stream, b"booked")?;
            Ok(true)
        },
    );
    let servers: Vec<_> = (0..4)
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
    let draws = Draws::new(3);
    let asked: Vec<_> = (0..REQUESTS)
        .map(|at| {
            thread::sleep(INTERVAL);
            let leaves = with_trouble && draws.below(100) < LEAVE_PERCENT;
            let plan = Plan {
                id: format!("a{at:04}"),
                leaves_after: leaves.then(|| Duration::from_millis(draws.below(LEAVE_WITHIN_MS))),
            };
            let front = fleet.front(at % 2);
            thread::spawn(move || {
                let status = ask(front, &plan);
                (plan, status)
            })
        })
        .collect();
    let (mut left, mut served, mut broken) = (0, 0, 0);
    for thread in asked {
        let Ok((plan, status)) = thread.join() else {
            return Outcome::CouldNotRun;
        };
        let id = plan.id;
        let ran = runs
            .lock()
            .expect("no panic")
            .iter()
            .filter(|it| it.id == id)
            .count();
        let is_promise = matches!(status, 408 | 421 | 429 | 503);
        broken += usize::from(is_promise && ran > 0);
        served += usize::from(status == 200);
        left += usize::from(plan.leaves_after.is_some());
        if plan.leaves_after.is_some() || status != 200 {
            let when = plan.leaves_after.map_or("waited".to_owned(), |it| {
                format!("left after {} ms", it.as_millis())
            });
            record.note(&format!(
                "{id}: POST /order/x, client {when}, got {status}, ran {ran} times"
            ));
        }
    }
    record.note(&format!(
        "{REQUESTS} requests, {served} answered 200, {left} clients left, {broken} answered with a promise though they ran"
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
fn ask(front: SocketAddr, plan: &Plan) -> u16 {
    let Ok(mut stream) = TcpStream::connect(front) else {
        return 0;
    };
    drop(stream.set_read_timeout(Some(Duration::from_secs(2))));
    let req = format!(
        "POST /order/x HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: {}\r\nDeadline-Ms: 1500\r\n\
         Content-Length: 5\r\n\r\nhello",
        plan.id
    );
    if stream.write_all(req.as_bytes()).is_err() {
        return 0;
    }
    if let Some(after) = plan.leaves_after {
        thread::sleep(after);
        drop(stream.shutdown(Shutdown::Write));
    }
    let mut buf = Vec::new();
    let head = http::read_head(&mut stream, &mut buf);
    head.ok().flatten().map_or(0, |it| it.status())
}

/// Random numbers of a fixed seed.
struct Draws(AtomicU64);

impl Draws {
    fn new(seed: u64) -> Self {
        Self(AtomicU64::new(seed))
    }

    fn next(&self) -> u64 {
        let state = self.0.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
        let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// A log-normal time of work.
    fn work(&self) -> Duration {
        let unit = |it: u64| ((it >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
        let (first, second) = (unit(self.next()), unit(self.next()));
        let normal = (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos();
        let ms = WORK_MS * (SPREAD * normal - SPREAD * SPREAD / 2.0).exp();
        Duration::from_secs_f64(ms.min(MOST_WORK_MS) / 1_000.0)
    }
}
