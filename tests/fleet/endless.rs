//! Endpoints that send bytes which are no response, without end, until the connection is closed.
//!
//! `SAGESHED_ENDLESS_CASE` (the number of a case), `SAGESHED_ENDLESS_RATE` (requests per second) and `SAGESHED_ENDLESS_ENGINES`
//! (how many engines are in trouble) set a run of the load by hand.

use std::{io, net, sync, thread, time};

use sageshed_test_support::relay;

use crate::{
    crowd::Kind,
    draining::{self, DRAIN_TIME},
    fleet::{Fleet, Process},
    silence::{self, Load, Outcome},
    soak::{self, Random},
    standin::{
        Message,
        caller::{Caller, Request},
        engine::{Behavior, Departure, Endless, Engine},
    },
};

const SETTINGS: &str = "[resources]\nmemory_mb = 160\ndescriptors = 4100\n[retries]\nratio = 0.2\nslack = 54.0\nwindow_ms = 10000\n[shared_queue]\nenabled = true\n";

/// The memory of an entry process's VM in [`SETTINGS`], in kilobytes.
const MEMORY_KB: u64 = 160 * 1_024;

/// The time between two events of a sound engine, and between two parts of a response without end.
const INTERVAL: time::Duration = time::Duration::from_millis(50);

/// The requests of each kind that are sent at once.
const REQUESTS: usize = 8;

/// How long the caller of a stream waits for the next event.
const PATIENCE: time::Duration = time::Duration::from_secs(2);

/// What is left to a response at the time limit of its route, until it counts as missing.
const MARGIN: time::Duration = time::Duration::from_secs(1);

/// The head of a stream, but for its framing.
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nResponse-Signature: s1.g\r\nContent-Type: text/event-stream\r\n";

/// The head of another response, but for its framing.
const WHOLE_HEAD: &str = "HTTP/1.1 200 OK\r\nResponse-Signature: s1.g\r\n";

/// 256 bytes without a line end.
const BYTES: &str = concat!(
    "................................................................",
    "................................................................",
    "................................................................",
    "................................................................",
);

/// What an endpoint in trouble sends.
struct Case {
    name: &'static str,
    /// The bytes follow a first line and headers.
    has_head: bool,
    /// What follows these once.
    rest: &'static str,
    /// What follows again and again.
    bytes: &'static str,
    /// The pause between two of these; zero if they are sent as fast as they are read.
    interval: time::Duration,
}

impl Case {
    fn response(&self, head: &'static str) -> Endless {
        Endless {
            head: if self.has_head { head } else { "" },
            rest: self.rest,
            bytes: self.bytes,
            interval: self.interval,
        }
    }

    /// Has an engine send this from now on.
    fn begin_at_engine(&self, engine: &Engine) {
        engine.set_behavior(Behavior::Endless(self.response(STREAM_HEAD)));
    }

    /// Has a plain endpoint send this from now on.
    fn begin_at_plain(&self, endpoint: &Engine) {
        endpoint.set_behavior(Behavior::Endless(self.response(WHOLE_HEAD)));
    }
}

/// The case that fills a link.
const FLOOD: usize = 1;

const CASES: [Case; 10] = [
    Case {
        name: "a body with a length",
        has_head: true,
        rest: "Content-Length: 4000000000\r\n\r\n",
        bytes: "........",
        interval: INTERVAL,
    },
    Case {
        name: "a body without a length, as fast as it is read",
        has_head: true,
        rest: "\r\n",
        bytes: BYTES,
        interval: time::Duration::ZERO,
    },
    Case {
        name: "chunks without a line end",
        has_head: true,
        rest: "Transfer-Encoding: chunked\r\n\r\n",
        bytes: "8\r\n........\r\n",
        interval: INTERVAL,
    },
    Case {
        name: "chunks with lines of one event",
        has_head: true,
        rest: "Transfer-Encoding: chunked\r\n\r\n",
        bytes: "8\r\ndata: .\n\r\n",
        interval: INTERVAL,
    },
    Case {
        name: "chunks with comments",
        has_head: true,
        rest: "Transfer-Encoding: chunked\r\n\r\n",
        bytes: "5\r\n: .\n\n\r\n",
        interval: INTERVAL,
    },
    Case {
        name: "trailers",
        has_head: true,
        rest: "Transfer-Encoding: chunked\r\n\r\n0\r\n",
        bytes: "X: .\r\n",
        interval: INTERVAL,
    },
    Case {
        name: "lines of a head",
        has_head: true,
        rest: "",
        bytes: "X: .\r\n",
        interval: INTERVAL,
    },
    Case {
        name: "interim responses",
        has_head: false,
        rest: "",
        bytes: "HTTP/1.1 100 Continue\r\n\r\n",
        interval: INTERVAL,
    },
    Case {
        name: "interim responses, as fast as they are read",
        has_head: false,
        rest: "",
        bytes: "HTTP/1.1 100 Continue\r\n\r\n",
        interval: time::Duration::ZERO,
    },
    Case {
        name: "a first line",
        has_head: false,
        rest: "HTTP/1.1 200 ",
        bytes: ".",
        interval: INTERVAL,
    },
];

/// A kind of request, and what it may get from an endpoint in trouble beside a sound one.
struct Expectation {
    kind: Kind,
    method: &'static str,
    /// Whether its response may say that it may have run.
    may_fail: bool,
}

const EXPECTATIONS: [Expectation; 3] = [
    Expectation {
        kind: Kind {
            name: "streams",
            path: "/resumable/x",
            tokens: 8,
            deadline: PATIENCE,
        },
        method: "POST",
        may_fail: false,
    },
    Expectation {
        kind: Kind {
            name: "lookups",
            path: "/again/x",
            tokens: 0,
            deadline: time::Duration::from_secs(3),
        },
        method: "GET",
        may_fail: false,
    },
    Expectation {
        kind: Kind {
            name: "orders",
            path: "/once/x",
            tokens: 0,
            deadline: time::Duration::from_secs(3),
        },
        method: "POST",
        may_fail: true,
    },
];

impl Expectation {
    fn is_met(&self, outcome: Outcome) -> bool {
        outcome == Outcome::Whole
            || (self.may_fail && matches!(outcome, Outcome::Status(502 | 504)))
    }

    /// Sends requests at once to the first entry process. Returns what became of them.
    fn send(&self, fleet: &Fleet, case: usize) -> Vec<Outcome> {
        thread::scope(|scope| {
            let send = |at| scope.spawn(move || self.send_one(fleet, 1_000 * case + at));
            let callers: Vec<_> = (0..REQUESTS).map(send).collect();
            let ended = callers.into_iter().map(|it| it.join().expect("it ends"));
            ended.collect()
        })
    }

    fn send_one(&self, fleet: &Fleet, number: usize) -> Outcome {
        let id = format!("endless-{}-{number}", self.kind.name);
        let tokens = self.kind.tokens;
        let lines = format!(
            "Model: m1\r\nToken-Usage: 100,{tokens}\r\nPrompt-Prefix: aa:60,{number:x}:40\r\n"
        );
        let request = Request {
            model: None,
            lines: if tokens > 0 { &lines } else { "" },
            ..Request::new(self.method, self.kind.path, &id)
        };
        let begun = time::Instant::now();
        let response = Caller::connect(fleet.entries[0].address()).and_then(|mut caller| {
            let timeout = self.kind.deadline + MARGIN;
            caller.stream.set_read_timeout(Some(timeout))?;
            let response = caller.request(&request)?;
            Ok(response.map(without_comments))
        });
        Outcome::of(&self.kind, begun.elapsed(), response)
    }
}

/// The response without the comments of an event stream.
fn without_comments(mut response: Message) -> Message {
    let text = response.text();
    let blocks = text.split_inclusive("\n\n");
    let events: String = blocks.filter(|it| !it.starts_with(':')).collect();
    response.body = events.into_bytes();
    response
}

/// Whether the entry process closes its connections to these endpoints, some seconds after the last request.
fn are_left(endpoints: &[&Engine]) -> bool {
    let until = time::Instant::now() + PATIENCE;
    let are_idle = || endpoints.iter().all(|it| it.running() == 0);
    while !are_idle() && time::Instant::now() < until {
        thread::sleep(INTERVAL);
    }
    are_idle()
}

/// Guards against requests that get no response, or too late, since bytes arrive from their endpoint and none of them is a
/// response: a time limit that is looked at only while nothing arrives.
#[test]
fn requests_at_an_endpoint_that_sends_bytes_without_end_get_a_response() {
    let mut unmet = Vec::new();
    for (at, case) in CASES.iter().enumerate() {
        let (fleet, engines) = Fleet::many_ready(1, SETTINGS);
        fleet.replace(&silence::config(20, 0));
        fleet.until("it is in force", || {
            fleet.entries[0].log().contains("\"version\":\"20\"")
        });
        for engine in &engines[..2] {
            engine.set_behavior(Behavior::StreamsTokens(INTERVAL));
        }
        case.begin_at_engine(&engines[0]);
        case.begin_at_plain(&engines[2]);
        for expected in &EXPECTATIONS {
            let outcomes = expected.send(&fleet, at);
            let has_met = outcomes.iter().all(|it| expected.is_met(*it));
            println!(
                "{}: {}: {:?}",
                case.name,
                expected.kind.name,
                silence::count(outcomes.into_iter())
            );
            if !has_met {
                unmet.push((case.name, expected.kind.name));
            }
        }
        if !are_left(&[&engines[0], &engines[2]]) {
            unmet.push((case.name, "connections are left"));
        }
        let (memory, log) = (
            fleet.entries[0].peak_memory_kb(),
            fleet.entries[0].log_file(),
        );
        println!("{}: {memory} kB; {}", case.name, log.display());
    }
    assert_eq!(unmet, []);
}

/// Guards against a request that waits until its deadline for the rest of a rejection, which does not end, though another endpoint
/// is free.
#[test]
fn a_request_does_not_wait_for_a_rejection_without_end() {
    let (fleet, engines) = Fleet::many_ready(1, SETTINGS);
    engines[0].set_behavior(Behavior::Endless(Endless {
        head: "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n",
        rest: "Transfer-Encoding: chunked\r\n\r\n",
        bytes: "1\r\n.\r\n",
        interval: INTERVAL,
    }));
    engines[1].set_behavior(Behavior::StreamsTokens(INTERVAL));
    let outcomes = EXPECTATIONS[0].send(&fleet, 0);
    let rejected = engines[0].log(|log| log.arrived.len());
    println!(
        "{outcomes:?}, {rejected} rejected; {}",
        fleet.entries[0].log_file().display()
    );
    assert!(
        rejected > 0,
        "some were sent to the engine that rejects them"
    );
    assert_eq!(outcomes, [Outcome::Whole; REQUESTS]);
}

/// The memory of a control process's VM, in kilobytes.
const CONTROL_MEMORY_KB: u64 = 256 * 1_024;

/// Has both engines of a model respond without end to calls of `path`, and checks that an adapter is loaded as soon as one of
/// them is in order, and how much memory control processes have used.
fn check_calls(path: &'static str) {
    for case in &CASES {
        let (mut fleet, engines) = Fleet::ready();
        let engines = &engines[..2];
        for engine in engines {
            engine.set_call_response(Some((path, case.response(WHOLE_HEAD))));
        }
        let mut number = 0;
        let mut ask = || {
            number += 1;
            let id = format!("adapter-{number}");
            let request = Request {
                model: Some("m1/a2"),
                deadline_ms: 1_000,
                ..Request::new("POST", "/stream/x", &id)
            };
            fleet.ask(0, &request).map_or(0, |it| it.status())
        };
        fleet.until("calls are answered without end", || {
            let status = ask();
            assert!(matches!(status, 502..=504), "{}: {status}", case.name);
            let unanswered = engines.iter().map(|it| it.log(|log| log.unanswered));
            unanswered.sum::<usize>() > 1
        });
        engines[1].set_call_response(None);
        fleet.until("the adapter is loaded at an engine in order", || {
            ask() == 200
        });
        let most = fleet.control.iter().map(Process::peak_memory_kb).max();
        println!("{path}: {}: {most:?} kB, {number} requests", case.name);
        assert!(most < Some(CONTROL_MEMORY_KB), "{}: {most:?} kB", case.name);
        assert!(fleet.control.iter_mut().all(Process::runs), "{}", case.name);
    }
}

/// Guards against a control process that fills its memory and its threads with reports without end, so that it gives no orders
/// to engines in order either.
#[test]
fn reports_without_end_cost_no_order_and_no_memory() {
    check_calls("/report");
}

/// The same for responses to its orders.
#[test]
fn responses_without_end_to_orders_cost_no_order_and_no_memory() {
    check_calls("/order");
}

/// Guards against engines that are taken for silent since streams which they send are ended at their deadline.
#[test]
fn streams_that_are_ended_at_their_deadline_count_against_no_engine() {
    let (fleet, engines) = Fleet::many_ready(1, SETTINGS);
    for engine in &engines[..2] {
        engine.set_slots(32);
        engine.set_behavior(Behavior::StreamsTokens(INTERVAL));
    }
    let send = |number: usize| {
        let id = format!("long-{number}");
        let lines =
            format!("Model: m1\r\nToken-Usage: 100,400\r\nPrompt-Prefix: {number:x}:100\r\n");
        let request = Request {
            model: None,
            lines: &lines,
            deadline_ms: 1_500,
            ..Request::new("POST", "/resumable/x", &id)
        };
        fleet.ask(0, &request)
    };
    thread::scope(|scope| {
        let send = &send;
        (0..REQUESTS).for_each(|it| drop(scope.spawn(move || send(it))));
    });
    let count = |text: &str| fleet.entries[0].log().matches(text).count();
    let count_ended = || count("\"reason\":\"deadline_passed\"");
    // A thread of its own writes the log, after callers have their responses.
    fleet.until("the ends are logged", || count_ended() >= REQUESTS);
    let (ended, failed) = (count_ended(), count("endpoint failed"));
    println!(
        "{ended} ended, {failed} failed; {}",
        fleet.entries[0].log_file().display()
    );
    assert_eq!((ended, failed), (REQUESTS, 0));
}

/// Guards against a caller that sends a body without end and holds a thread for half a minute, whatever its deadline is.
#[test]
fn a_request_whose_body_does_not_end_is_refused_at_its_deadline() {
    let (fleet, _engines) = Fleet::many_ready(1, SETTINGS);
    let cases = [
        ("Content-Length: 1000000\r\n", "."),
        ("Transfer-Encoding: chunked\r\n", "1\r\n.\r\n"),
    ];
    for (framing, bytes) in cases {
        let mut caller = Caller::connect(fleet.entries[0].address()).expect("a connection");
        let request = Request {
            lines: framing,
            deadline_ms: 1_000,
            ..Request::new("POST", "/again/x", "endless")
        };
        caller.send(&request).expect("its head is read");
        let mut sending = caller.stream.try_clone().expect("a second handle");
        let timeout = time::Duration::from_secs(1) + MARGIN;
        caller
            .stream
            .set_read_timeout(Some(timeout))
            .expect("a socket");
        let answer = thread::scope(|scope| {
            scope.spawn(move || {
                while io::Write::write_all(&mut sending, bytes.as_bytes()).is_ok() {
                    thread::sleep(INTERVAL);
                }
            });
            let answer = caller.answer();
            // Ends the thread that sends.
            drop(caller.stream.shutdown(net::Shutdown::Both));
            answer
        });
        let status = answer.ok().flatten().map(|it| it.status());
        assert_eq!(status, Some(408), "{framing}");
    }
}

/// When the endpoints get into trouble.
const BEGIN: time::Duration = time::Duration::from_secs(3);

/// Guards against an entry process that fills its memory and its threads with bytes that are no response, so that requests at
/// other endpoints are not served either.
#[test]
fn bytes_without_end_cost_neither_responses_nor_memory_under_load() {
    let case = soak::number("SAGESHED_ENDLESS_CASE").unwrap_or(1);
    let case = &CASES[usize::try_from(case).expect("a case")];
    let troubled = soak::number("SAGESHED_ENDLESS_ENGINES").unwrap_or(1);
    let mut load = Load::by_environment();
    load.rate = soak::number("SAGESHED_ENDLESS_RATE").unwrap_or(60) as f64;
    load.time = time::Duration::from_secs(9);
    for seed in soak::seeds(1) {
        let (fleet, engines, plain) = silence::start(SETTINGS);
        println!(
            "{}, seed {seed}; {}",
            case.name,
            fleet.entries[0].log_file().display()
        );
        let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        let records = thread::scope(|scope| {
            scope.spawn(|| {
                thread::sleep(BEGIN);
                let troubled = usize::try_from(troubled).expect("few");
                engines
                    .iter()
                    .take(troubled)
                    .for_each(|it| case.begin_at_engine(it));
                case.begin_at_plain(&plain[0]);
            });
            load.send_requests(&fleet, &mut random)
        });
        silence::print(&fleet, &records);
        let most = fleet.entries.iter().map(Process::peak_memory_kb).max();
        println!("{most:?} kB at most");
        let is_lost = |it: &&silence::Record| {
            let is_late = it.took > silence::KINDS[it.kind].deadline + MARGIN;
            is_late || !matches!(it.outcome, Outcome::Whole | Outcome::Status(503))
        };
        let lost = records.iter().filter(is_lost);
        let lost = lost.inspect(|it| {
            println!(
                "silence-{}: {:?} after {:?}",
                it.number, it.outcome, it.took
            );
        });
        assert_eq!(lost.count(), 0, "seed {seed}");
        assert!(most < Some(MEMORY_KB), "seed {seed}: {most:?} kB");
    }
}

/// The bandwidth of the link of an entry process's VM: 10 Mbit/s.
const BYTES_PER_S: f64 = 1_250_000.0;

/// The engines of a fleet whose callers share a link, and how many of these leave.
const ENGINES: u8 = 8;
const LEAVING: usize = 4;

/// Guards against a process whose link is filled by bytes that are no response: its calls to control processes take so long that
/// it sends requests by old records.
#[test]
fn no_request_reaches_a_leaving_endpoint_over_a_link_full_of_bytes_without_end() {
    let link = sync::Arc::new(relay::Link::new(BYTES_PER_S));
    let fleet = Fleet::over(&link, SETTINGS);
    fleet.replace(&silence::config(10, 0));
    let start = |at: u8| {
        let engine = fleet.engine_over(&link, &format!("e{at}"), "engines", 31 + at, &["m1"]);
        engine.set_slots(32);
        engine.set_behavior(Behavior::StreamsTokens(INTERVAL));
        engine
    };
    let engines: Vec<Engine> = (0..ENGINES).map(start).collect();
    let plain = fleet.engine_over(&link, "p0", "plain", 61, &[]);
    plain.set_slots(32);
    let entry = &fleet.entries[0];
    fleet.until("the entry process knows all endpoints", || {
        entry.metric("sageshed_gateway_endpoints_open{") > f64::from(ENGINES)
    });
    let mut load = Load::by_environment();
    load.rate = soak::number("SAGESHED_ENDLESS_RATE").unwrap_or(60) as f64;
    load.time = BEGIN + DRAIN_TIME * 4;
    let mut random = Random(soak::seeds(1).start | 1);
    let (records, departures) = thread::scope(|scope| {
        let leaving = scope.spawn(|| {
            thread::sleep(BEGIN);
            engines[..2]
                .iter()
                .for_each(|it| CASES[FLOOD].begin_at_engine(it));
            let depart = |engine| {
                thread::sleep(DRAIN_TIME / 2);
                fleet.until("the departure is acknowledged", || {
                    let control = fleet.control[0].address();
                    Engine::depart(engine, control, Departure::Announced)
                });
                (engine, time::Instant::now())
            };
            engines[2..]
                .iter()
                .take(LEAVING)
                .map(depart)
                .collect::<Vec<_>>()
        });
        let records = load.send_requests(&fleet, &mut random);
        (records, leaving.join().expect("it ends"))
    });
    silence::print(&fleet, &records);
    let late = departures
        .iter()
        .map(|(engine, at)| draining::count_late(engine, *at));
    let late: Vec<_> = late.collect();
    let bytes = link.bytes(relay::Direction::FromTarget);
    println!(
        "{late:?} late of {}, {bytes} bytes; {}",
        records.len(),
        entry.log_file().display()
    );
    assert_eq!(late, [0; LEAVING]);
}
