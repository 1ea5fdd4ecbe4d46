//! Most new connections go to one entry process whose processor is limited.
//!
//! `SAGESHED_CROWD_ENTRIES`, `SAGESHED_CROWD_RATE` (requests per second of all callers), `SAGESHED_CROWD_FACTOR` (in percent) and
//! `SAGESHED_CROWD_CORE` (the processor of the crowded process, in percent of a core; 0 for no limit) set a run by hand.
//! `SAGESHED_CROWD_EVENT` names what happens after five seconds of it: `stop`, `kill` or `release`.

use std::{
    collections, env, fmt, fs,
    io::{Read, Write},
    net,
    sync::{self, atomic},
    thread, time,
};

use crate::{
    fleet::{Fleet, Process},
    soak::{self, Random},
    standin::{
        caller::Request,
        engine::{Behavior, Engine},
        operator,
    },
};

/// How long all entry processes get the same load before the crowd.
const BEFORE: time::Duration = time::Duration::from_secs(6);

/// How long the crowd lasts.
const CROWD: time::Duration = time::Duration::from_secs(10);

/// How long all entry processes get the same load after the crowd.
const AFTER: time::Duration = time::Duration::from_secs(6);

/// The time within which a process adapts to the crowd.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(3);

/// The share of the requests before that must be served at the first attempt that is read.
const MIN_SHARE: f64 = 0.75;

/// The share of new connections that the crowded process gets, in percent.
const CROWD_PERCENT: usize = 90;

/// The connections that a caller opens for one request.
const ATTEMPTS: usize = 3;

/// The timeout of a new connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The longest time between two events of a stream that its caller takes for a flow.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(400);

/// The time within which a health check must respond.
const HEALTH_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// The engines of a fleet.
const ENGINES: usize = 20;

/// The time between the starts of two engines of a release.
const RELEASE_INTERVAL: time::Duration = time::Duration::from_millis(400);

/// The most threads of an entry process with these settings: one for each of 640 connections, and 40 others.
const MAX_THREADS: usize = 680;

/// The shortest timeout of a read.
const MIN_TIMEOUT: time::Duration = time::Duration::from_millis(1);

const SETTINGS: &str = "[resources]\nmemory_mb = 160\ndescriptors = 4100\n[retries]\nratio = 0.2\nslack = 194.0\nwindow_ms = 10000\n[shared_queue]\nenabled = true\n";

/// One kind of request.
pub struct Kind {
    pub name: &'static str,
    pub path: &'static str,
    pub tokens: u32,
    pub deadline: time::Duration,
}

const KINDS: [Kind; 3] = [
    Kind {
        name: "short streams",
        path: "/stream/x",
        tokens: 8,
        deadline: time::Duration::from_secs(5),
    },
    Kind {
        name: "long streams",
        path: "/resumable/x",
        tokens: 57,
        deadline: time::Duration::from_secs(8),
    },
    Kind {
        name: "lookups",
        path: "/again/x",
        tokens: 0,
        deadline: time::Duration::from_millis(1_500),
    },
];

impl Kind {
    /// The index of short streams, long ones or lookups.
    pub fn random(random: &mut Random) -> usize {
        match random.below(100) {
            0..60 => 0,
            60..74 => 1,
            _ => 2,
        }
    }
}

/// What became of a request at the first attempt that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Served {
        longest_pause: time::Duration,
    },
    Late,
    Refused,
    BrokenOff,
    /// No response within the deadline.
    Silent,
    /// No attempt was read.
    Unread,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    sent: time::Duration,
    ended: time::Duration,
    kind: usize,
    entry: usize,
    /// The connections that were refused or closed before.
    unread: usize,
    outcome: Outcome,
}

/// What one attempt came to.
enum Attempt {
    Read(Outcome),
    NotRead,
}

fn attempt(to: net::SocketAddrV4, kind: &Kind, number: usize, until: time::Instant) -> Attempt {
    let left = || until.saturating_duration_since(time::Instant::now());
    let Ok(mut stream) =
        net::TcpStream::connect_timeout(&to.into(), CONNECT_TIMEOUT.min(left().max(MIN_TIMEOUT)))
    else {
        return Attempt::NotRead;
    };
    let tokens = kind.tokens;
    let model = if tokens > 0 { "Model: m1\r\n" } else { "" };
    let head = format!(
        "GET {} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: crowd-{number}\r\nDeadline-Ms: {}\r\n{model}Token-Usage: 100,{tokens}\r\nPrompt-Prefix: aa:60,{number:x}:40\r\n\r\n",
        kind.path,
        left().as_millis(),
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return Attempt::NotRead;
    }
    let mut text = Vec::new();
    let mut chunk = [0; 4_096];
    let mut last_read = None;
    let mut longest_pause = time::Duration::ZERO;
    loop {
        if stream
            .set_read_timeout(Some(left().max(MIN_TIMEOUT)))
            .is_err()
        {
            return Attempt::NotRead;
        }
        let ended = match stream.read(&mut chunk) {
            Ok(0) => true,
            Ok(n) => {
                text.extend_from_slice(&chunk[..n]);
                false
            }
            Err(_) if left() <= MIN_TIMEOUT => {
                let is_late = !text.is_empty();
                return Attempt::Read(if is_late {
                    Outcome::Late
                } else {
                    Outcome::Silent
                });
            }
            Err(_) => true,
        };
        let now = time::Instant::now();
        if let Some(last) = last_read.replace(now) {
            longest_pause = longest_pause.max(now - last);
        }
        if is_whole(&text) {
            let is_response = text.starts_with(b"HTTP/1.1 200");
            return Attempt::Read(match is_response {
                true if now > until => Outcome::Late,
                true => Outcome::Served { longest_pause },
                false => Outcome::Refused,
            });
        }
        if ended {
            return if text.is_empty() {
                Attempt::NotRead
            } else {
                Attempt::Read(Outcome::BrokenOff)
            };
        }
    }
}

fn is_whole(text: &[u8]) -> bool {
    let Some(end) = text.windows(4).position(|it| it == b"\r\n\r\n") else {
        return false;
    };
    let head = String::from_utf8_lossy(&text[..end]).to_ascii_lowercase();
    if head.contains("transfer-encoding: chunked") {
        return text.ends_with(b"0\r\n\r\n");
    }
    let mut lines = head.lines();
    let length = lines.find_map(|it| it.strip_prefix("content-length: ")?.parse().ok());
    text.len() >= end + 4 + length.unwrap_or(0)
}

/// The state of the crowded process at one time.
#[derive(Debug, Clone, Copy, Default)]
struct Sample {
    at: time::Duration,
    threads: usize,
    memory_kb: usize,
    descriptors: usize,
    is_healthy: bool,
}

fn sample(fleet: &Fleet, pid: u32, at: time::Duration) -> Sample {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let number = |name: &str| {
        let line = status.lines().find_map(|it| it.strip_prefix(name))?;
        line.split_whitespace().next()?.parse().ok()
    };
    Sample {
        at,
        threads: number("Threads:").unwrap_or(0),
        memory_kb: number("VmRSS:").unwrap_or(0),
        descriptors: fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count),
        is_healthy: fleet.entries[0].ready_within(HEALTH_TIMEOUT) == 200,
    }
}

/// The processor time that a process has used.
fn processor_time(pid: u32) -> time::Duration {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = text.rsplit(')').next().unwrap_or_default();
    let mut fields = fields.split_whitespace().skip(11);
    let mut ticks = || fields.next().and_then(|it| it.parse::<u64>().ok());
    let ticks = ticks().unwrap_or(0) + ticks().unwrap_or(0);
    time::Duration::from_millis(ticks * 10)
}

/// Stops the crowded process whenever it has used more than its share of a core.
fn limit_processor(fleet: &Fleet, share: f64, is_over: &atomic::AtomicBool) {
    if share <= 0.0 {
        return;
    }
    let process = &fleet.entries[0];
    let (mut used, mut last) = (processor_time(process.id()), time::Instant::now());
    let mut left = 0.0;
    let mut is_stopped = false;
    while !is_over.load(atomic::Ordering::Relaxed) {
        thread::sleep(time::Duration::from_millis(2));
        let now = time::Instant::now();
        let total = processor_time(process.id());
        let earned = (now - last).as_secs_f64() * share;
        left = (left + earned - total.saturating_sub(used).as_secs_f64()).min(0.02);
        (used, last) = (total, now);
        let is_spent = left < 0.0;
        if is_spent != is_stopped {
            process.signal(if is_spent { "STOP" } else { "CONT" });
            is_stopped = is_spent;
        }
    }
    if is_stopped {
        process.signal("CONT");
    }
}

/// A load on a fleet.
struct Load {
    entries: u8,
    /// Requests per second of all callers, before the crowd.
    rate: f64,
    /// How much more requests there are in the crowd.
    factor: f64,
    /// The share of a core that the crowded process may use.
    core: f64,
    event: Option<Event>,
}

/// What happens after half of the crowd.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    /// The crowded process is told to stop.
    Stop,
    /// The crowded process is killed.
    Kill,
    /// Engines are replaced one after the other.
    Release,
}

impl Event {
    fn named(name: &str) -> Option<Self> {
        match name {
            "stop" => Some(Self::Stop),
            "kill" => Some(Self::Kill),
            "release" => Some(Self::Release),
            _ => None,
        }
    }

    /// Runs until half of the engines have been replaced, if they are.
    fn run(self, fleet: &Fleet, engines: &[Engine]) {
        match self {
            Self::Stop => fleet.entries[0].signal("TERM"),
            Self::Kill => fleet.entries[0].signal("KILL"),
            Self::Release => {
                let mut successors = Vec::new();
                for (at, engine) in engines.iter().enumerate().take(ENGINES / 2) {
                    successors.push(start_engine(fleet, ENGINES + at));
                    thread::sleep(RELEASE_INTERVAL);
                    engine.leave();
                }
                thread::sleep(AFTER);
            }
        }
    }
}

struct Report {
    /// The refusals by the crowded process and by all others, by their reasons.
    refusals: [collections::BTreeMap<String, usize>; 2],
    records: Vec<Record>,
    samples: Vec<Sample>,
    cores: f64,
}

impl Load {
    fn run(&self, seed: u64) -> Report {
        let (fleet, engines) = start(self.entries);
        let is_over = atomic::AtomicBool::new(false);
        let records = sync::Mutex::new(Vec::new());
        let samples = sync::Mutex::new(Vec::new());
        let addresses: Vec<_> = fleet.entries.iter().map(Process::address).collect();
        let pid = fleet.entries[0].id();
        let begun = time::Instant::now();
        let mut crowd_used = time::Duration::ZERO;
        thread::scope(|scope| {
            let fleet = &fleet;
            let (is_over, records, samples) = (&is_over, &records, &samples);
            let addresses = &addresses;
            if let Some(event) = self.event {
                let engines = &engines;
                scope.spawn(move || {
                    thread::sleep((BEFORE + CROWD / 2).saturating_sub(begun.elapsed()));
                    event.run(fleet, engines);
                });
            }
            let limiter = scope.spawn(|| limit_processor(fleet, self.core, is_over));
            scope.spawn(|| {
                while !is_over.load(atomic::Ordering::Relaxed) {
                    let one = sample(fleet, pid, begun.elapsed());
                    samples.lock().expect("no panic").push(one);
                    thread::sleep(time::Duration::from_millis(250));
                }
            });
            let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
            let mut due = time::Duration::ZERO;
            let mut used_at = Vec::new();
            let mut callers = Vec::new();
            for number in 0.. {
                let is_crowd = (BEFORE..BEFORE + CROWD).contains(&due);
                if due >= BEFORE + CROWD + AFTER {
                    break;
                }
                if is_crowd && used_at.is_empty() {
                    used_at.push(processor_time(pid));
                }
                thread::sleep(due.saturating_sub(begun.elapsed()));
                let kind = Kind::random(&mut random);
                let is_crowded = is_crowd && random.below(100) < CROWD_PERCENT;
                let first = if is_crowded {
                    0
                } else {
                    random.below(addresses.len())
                };
                let others: Vec<_> = (0..addresses.len()).filter(|it| *it != first).collect();
                let mut order = vec![first];
                order.extend((1..ATTEMPTS).map(|_| others[random.below(others.len())]));
                let caller = move || {
                    let record = call(addresses, &order, kind, number, begun);
                    records.lock().expect("no panic").push(record);
                };
                let builder = thread::Builder::new().stack_size(128 * 1_024);
                callers.push(builder.spawn_scoped(scope, caller).expect("a thread"));
                let rate = self.rate * if is_crowd { self.factor } else { 1.0 };
                due += time::Duration::from_secs_f64(1.0 / rate);
                if !is_crowd && used_at.len() == 1 && due >= BEFORE + CROWD {
                    used_at.push(processor_time(pid));
                }
            }
            if let [from, to] = used_at[..] {
                crowd_used = to.saturating_sub(from);
            }
            for caller in callers {
                caller.join().expect("a caller ends");
            }
            is_over.store(true, atomic::Ordering::Relaxed);
            limiter.join().expect("the limiter ends");
        });
        let mut refusals = [const { collections::BTreeMap::new() }; 2];
        for (at, entry) in fleet.entries.iter().enumerate() {
            count_refusals(&entry.log(), &mut refusals[at.min(1)]);
        }
        Report {
            refusals,
            records: records.into_inner().expect("no panic"),
            samples: samples.into_inner().expect("no panic"),
            cores: crowd_used.as_secs_f64() / CROWD.as_secs_f64(),
        }
    }
}

/// Counts the refusals that a log names, by their reasons.
pub fn count_refusals(log: &str, counts: &mut collections::BTreeMap<String, usize>) {
    for line in log.lines().filter(|it| it.contains("request refused")) {
        let field = |name: &str| {
            let (_, rest) = line.split_once(name)?;
            rest.split('"').nth(1)
        };
        let reason = field("\"reason\"").unwrap_or_default();
        let detail = field("\"detail\"").unwrap_or_default();
        let detail = detail.replace(|it: char| it.is_ascii_digit(), "");
        *counts.entry(format!("{reason}: {detail}")).or_default() += 1;
    }
}

fn call(
    addresses: &[net::SocketAddrV4],
    order: &[usize],
    kind: usize,
    number: usize,
    begun: time::Instant,
) -> Record {
    let sent = begun.elapsed();
    let until = begun + sent + KINDS[kind].deadline;
    let mut record = Record {
        sent,
        ended: sent,
        kind,
        entry: order[0],
        unread: 0,
        outcome: Outcome::Unread,
    };
    for entry in order {
        record.entry = *entry;
        if let Attempt::Read(outcome) = attempt(addresses[*entry], &KINDS[kind], number, until) {
            record.outcome = outcome;
            break;
        }
        record.unread += 1;
    }
    record.ended = begun.elapsed();
    record
}

/// Starts a fleet whose first entry process has one core.
fn start(entries: u8) -> (Fleet, Vec<Engine>) {
    let fleet = Fleet::with_entries(entries, SETTINGS);
    fleet.entries[0].pin();
    let config = operator::config(10).replace("\"slots\":4", "\"slots\":32");
    fleet.replace(&config.replace("\"max_connections\":100", "\"max_connections\":780"));
    let engines = (0..ENGINES).map(|at| start_engine(&fleet, at));
    let engines: Vec<_> = engines.collect();
    let plain = (0..5).map(|at| {
        let endpoint = fleet.engine(&format!("p{at}"), "plain", 241 + at, &[]);
        endpoint.set_slots(6);
        endpoint.set_max_running(30);
        endpoint.set_behavior(Behavior::AnswersAfter(time::Duration::from_millis(30)));
        endpoint
    });
    let engines = engines.into_iter().chain(plain).collect();
    for entry in 0..fleet.entries.len() {
        for path in ["/stream/x", "/again/x"] {
            fleet.until("an entry process serves", || {
                let answer = fleet.ask(entry, &Request::new("GET", path, "first"));
                answer.is_some_and(|it| it.status() == 200)
            });
        }
    }
    (fleet, engines)
}

/// Starts an engine with 32 slots whose streams have an event each 20 ms.
pub fn start_engine(fleet: &Fleet, at: usize) -> Engine {
    let last = 201 + u8::try_from(at).expect("few engines");
    let engine = fleet.engine(&format!("e{at}"), "engines", last, &["m1"]);
    engine.set_slots(32);
    engine.set_behavior(Behavior::StreamsTokens(time::Duration::from_millis(20)));
    engine
}

impl Report {
    fn between(&self, from: time::Duration, to: time::Duration) -> impl Iterator<Item = &Record> {
        self.records
            .iter()
            .filter(move |it| (from..to).contains(&it.sent))
    }

    /// The share of the requests sent from `from` to `to` which were served at the first attempt that was read.
    fn share(&self, from: time::Duration, to: time::Duration) -> f64 {
        let all: Vec<_> = self.between(from, to).collect();
        let served = all.iter().filter(|it| it.outcome.is_served());
        served.count() as f64 / all.len() as f64
    }

    fn crowd_share(&self) -> f64 {
        let before = self.share(time::Duration::ZERO, BEFORE);
        self.share(BEFORE + SETTLE_TIME, BEFORE + CROWD) / before
    }
}

impl Outcome {
    fn is_served(self) -> bool {
        matches!(self, Self::Served { .. })
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "second   sent  here served paused  late refused broken silent unread retries | threads    MB   fds healthy"
        )?;
        let end = (BEFORE + CROWD + AFTER).as_secs();
        for second in 0..end {
            let from = time::Duration::from_secs(second);
            let to = from + time::Duration::from_secs(1);
            let all: Vec<_> = self.between(from, to).collect();
            let count = |is: fn(&Record) -> bool| all.iter().filter(|it| is(it)).count();
            let paused = count(
                |it| matches!(it.outcome, Outcome::Served { longest_pause } if longest_pause > MAX_PAUSE),
            );
            let retries: usize = all.iter().map(|it| it.unread).sum();
            let samples = self.samples.iter().filter(|it| (from..to).contains(&it.at));
            let samples: Vec<_> = samples.collect();
            let most =
                |value: fn(&Sample) -> usize| samples.iter().map(|it| value(it)).max().unwrap_or(0);
            writeln!(
                f,
                "{second:6} {:6} {:5} {:6} {paused:6} {:5} {:7} {:6} {:6} {:6} {retries:7} | {:7} {:5} {:5} {}/{}",
                all.len(),
                count(|it| it.entry == 0 && it.outcome != Outcome::Unread),
                count(|it| it.outcome.is_served()),
                count(|it| it.outcome == Outcome::Late),
                count(|it| it.outcome == Outcome::Refused),
                count(|it| it.outcome == Outcome::BrokenOff),
                count(|it| it.outcome == Outcome::Silent),
                count(|it| it.outcome == Outcome::Unread),
                most(|it| it.threads),
                most(|it| it.memory_kb) / 1_024,
                most(|it| it.descriptors),
                samples.iter().filter(|it| it.is_healthy).count(),
                samples.len(),
            )?;
        }
        for (at, kind) in KINDS.iter().enumerate() {
            let crowd = self.between(BEFORE + SETTLE_TIME, BEFORE + CROWD);
            let mut times: Vec<_> = crowd
                .filter(|it| it.kind == at)
                .map(|it| (it.ended.saturating_sub(it.sent), it.outcome))
                .collect();
            let served = times.iter().filter(|it| it.1.is_served()).count();
            times.sort_by_key(|it| it.0);
            let half = times.get(times.len() / 2).map_or(0, |it| it.0.as_millis());
            writeln!(
                f,
                "{}: {served} of {} served, half within {half} ms",
                kind.name,
                times.len()
            )?;
        }
        for (by, refusals) in ["the crowded process", "others"].iter().zip(&self.refusals) {
            for (reason, count) in refusals {
                writeln!(f, "{count} refused by {by}: {reason}")?;
            }
        }
        writeln!(
            f,
            "{:.3} of the share before, {:.2} of a core",
            self.crowd_share(),
            self.cores
        )
    }
}

fn load_by_environment() -> Load {
    let number = |name: &str, default: u64| {
        let name = format!("SAGESHED_CROWD_{name}");
        soak::number(&name).unwrap_or(default)
    };
    let percent = |name: &str, default: u64| number(name, default) as f64 / 100.0;
    let event = env::var("SAGESHED_CROWD_EVENT").unwrap_or_default();
    Load {
        entries: u8::try_from(number("ENTRIES", 3)).expect("below 256"),
        rate: number("RATE", 60) as f64,
        factor: percent("FACTOR", 500),
        core: percent("CORE", 25),
        event: Event::named(&event),
    }
}

/// Guards against an entry process that reads more requests than it can serve while most new connections go to it.
#[test]
fn a_process_that_gets_most_new_connections_serves_what_it_reads() {
    let load = load_by_environment();
    for seed in soak::seeds(1) {
        let report = load.run(seed);
        println!("seed {seed}\n{report}");
        let share = report.crowd_share();
        assert!(share >= MIN_SHARE, "{share:.3} of the share before");
        let after = report.share(BEFORE + CROWD + SETTLE_TIME, BEFORE + CROWD + AFTER);
        assert!(after >= MIN_SHARE, "{after:.3} served after the crowd");
        let threads = report.samples.iter().map(|it| it.threads).max();
        assert!(threads.unwrap_or(0) <= MAX_THREADS, "{threads:?} threads");
        let mut checks = report.samples.windows(2);
        let is_healthy = checks.all(|it| it[0].is_healthy || it[1].is_healthy);
        let is_stopped = matches!(load.event, Some(Event::Stop | Event::Kill));
        assert!(
            is_healthy || is_stopped,
            "two health checks in a row failed"
        );
    }
}
