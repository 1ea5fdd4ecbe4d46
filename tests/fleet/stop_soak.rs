//! Requests of all kinds that arrive at an entry process until it has stopped, at endpoints that take long or never respond.
//! See [`soak`] for its seeds.

use std::{io::Write as _, net, sync::atomic, thread, time};

use crate::{
    fleet::Process,
    soak::{self, Random},
    standin::{
        Message,
        caller::{Caller, Request},
        engine::{Behavior, Engine},
    },
    stopping,
};

const CALLERS: u64 = 60;

/// The requests that an endpoint runs at once; further ones wait at the entry processes.
const SLOTS: usize = 8;

/// How long requests are sent before an entry process is told to stop.
const BEFORE_STOP: time::Duration = time::Duration::from_secs(1);

/// The deadline of each request, after which a process that is not stopped has responded too. It is later than the exit of one
/// that is stopped.
const DEADLINE_MS: u32 = 12_000;

/// How long a caller waits before it connects again to a process that refuses connections.
const RECONNECT_DELAY: time::Duration = time::Duration::from_millis(50);

/// Bytes of a body that is sent byte by byte.
const SLOW_BODY_BYTES: usize = 8;

/// The routes of the requests. A part of their time limits is longer than a process has from the signal to its exit.
const PATHS: [&str; 7] = [
    "/once/x",
    "/long-once/x",
    "/again/x",
    "/long-again/x",
    "/stream/x",
    "/long-stream/x",
    "/resumable/x",
];

const PLAIN_BEHAVIORS: [Behavior; 6] = [
    Behavior::AnswersAfter(time::Duration::from_millis(300)),
    Behavior::AnswersAfter(time::Duration::from_millis(2_500)),
    Behavior::AnswersAfter(time::Duration::from_secs(5)),
    Behavior::AnswersAfter(time::Duration::from_secs(9)),
    Behavior::Hangs,
    Behavior::Rejects,
];

const ENGINE_BEHAVIORS: [Behavior; 6] = [
    Behavior::Streams(40),
    Behavior::Streams(1_000),
    Behavior::HangsAfter(3),
    Behavior::CutsOnce(20),
    Behavior::Hangs,
    Behavior::Rejects,
];

struct Case {
    name: &'static str,
    /// The entry process that is stopped, of two. Requests are sent to the first one.
    stopped: usize,
    /// Whether the first one reaches endpoints through the other one only.
    is_cut_off: bool,
}

const CASES: [Case; 3] = [
    Case {
        name: "direct",
        stopped: 0,
        is_cut_off: false,
    },
    Case {
        name: "relayed",
        stopped: 0,
        is_cut_off: true,
    },
    Case {
        name: "relay",
        stopped: 1,
        is_cut_off: true,
    },
];

/// A request, and what its caller has received.
struct Record {
    id: String,
    path: &'static str,
    response: Option<Message>,
}

impl Record {
    /// Whether its caller was told what has become of it, or has received a part of a stream.
    fn is_answered(&self) -> bool {
        let is_stream = self.path.contains("stream") || self.path.contains("resumable");
        self.response
            .as_ref()
            .is_some_and(|it| it.whole || (is_stream && it.status() == 200))
    }
}

/// Sends one request, in a third of the cases with a body that arrives byte by byte.
fn send(caller: &mut Caller, request: &Request<'_>, random: &mut Random) -> Option<Message> {
    if random.below(3) > 0 {
        return caller.request(request).ok().flatten();
    }
    let line = format!("Content-Length: {SLOW_BODY_BYTES}\r\n");
    let slow = Request {
        lines: &line,
        ..request.clone()
    };
    caller.send(&slow).ok()?;
    for _ in 0..SLOW_BODY_BYTES {
        thread::sleep(random.millis(0, 500));
        caller.stream.write_all(b".").ok()?;
    }
    caller.answer().ok().flatten()
}

/// Sends requests on new or open connections until `is_over`.
fn call(
    to: net::SocketAddrV4,
    number: u64,
    seed: u64,
    is_over: &atomic::AtomicBool,
) -> Vec<Record> {
    let mut random = Random((seed * 1_000 + number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let mut records = Vec::new();
    let mut open = None;
    while !is_over.load(atomic::Ordering::Relaxed) {
        let Some(mut caller) = open.take().or_else(|| Caller::connect(to).ok()) else {
            thread::sleep(RECONNECT_DELAY);
            continue;
        };
        let path = PATHS[random.below(PATHS.len())];
        let id = format!("stop-{number}-{}", records.len());
        let request = Request {
            deadline_ms: DEADLINE_MS,
            ..Request::new("POST", path, &id)
        };
        let response = send(&mut caller, &request, &mut random);
        let may_reuse = response
            .as_ref()
            .is_some_and(|it| it.whole && it.header("connection") != Some("close"));
        if may_reuse && random.below(3) > 0 {
            open = Some(caller);
        }
        records.push(Record { id, path, response });
    }
    records
}

/// Changes what endpoints do at random, and tells a process to stop meanwhile, until it has ended.
fn stop(process: &mut Process, engines: &[Engine], random: &mut Random) {
    let begun = time::Instant::now();
    let mut is_told = false;
    while process.runs() {
        if !is_told && begun.elapsed() >= BEFORE_STOP {
            process.signal("TERM");
            is_told = true;
        }
        let at = random.below(engines.len());
        let behaviors = if at < 2 {
            ENGINE_BEHAVIORS
        } else {
            PLAIN_BEHAVIORS
        };
        engines[at].set_behavior(behaviors[random.below(behaviors.len())]);
        thread::sleep(random.millis(50, 300));
    }
}

/// Guards against requests that are sent to endpoints late in a planned stop, also those that must not be repeated, and whose
/// callers are told nothing when the process exits.
#[test]
fn requests_of_a_stopping_process_that_have_reached_an_endpoint_are_answered() {
    for seed in soak::seeds(1) {
        for case in &CASES {
            let (mut fleet, engines) = stopping::with_long_routes();
            for engine in &engines {
                engine.set_slots(SLOTS);
            }
            if case.is_cut_off {
                let pid = fleet.entries[0].id();
                for engine in &engines {
                    engine.cut_off(pid);
                }
            }
            let address = fleet.entries[0].address();
            let is_over = atomic::AtomicBool::new(false);
            let records: Vec<Record> = thread::scope(|scope| {
                let is_over = &is_over;
                let callers: Vec<_> = (0..CALLERS)
                    .map(|number| scope.spawn(move || call(address, number, seed, is_over)))
                    .collect();
                stop(
                    &mut fleet.entries[case.stopped],
                    &engines,
                    &mut Random(seed),
                );
                is_over.store(true, atomic::Ordering::Relaxed);
                let records = callers.into_iter().map(|it| it.join().expect("it ends"));
                records.flatten().collect()
            });
            assert!(fleet.entries[case.stopped].wait().success());
            let has_run = |it: &&Record| engines.iter().any(|engine| engine.runs(&it.id) > 0);
            let ran: Vec<_> = records.iter().filter(has_run).collect();
            let unanswered: Vec<_> = ran
                .iter()
                .filter(|it| !it.is_answered())
                .map(|it| (it.path, &it.id))
                .collect();
            println!(
                "seed {seed}, {}: {} requests, {} reached an endpoint, {unanswered:?} were not answered",
                case.name,
                records.len(),
                ran.len()
            );
            assert!(unanswered.is_empty(), "seed {seed}, {}", case.name);
        }
    }
}
