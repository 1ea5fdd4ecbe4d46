//! Streams that are resumed while engines of several software versions serve.

use std::{collections, io::Read, net, sync::atomic, thread, time};

use crate::{
    fleet::Fleet,
    standin::{
        caller::{Caller, Request},
        engine::{Behavior, Engine},
    },
};

/// Events of a whole stream.
pub const EVENTS: u32 = 40;

/// Streams of each case.
const STREAMS: usize = 24;

/// The time in which a restarted process learns of the others and of the endpoints.
const START_TIME: time::Duration = time::Duration::from_secs(2);

/// How long callers wait for a stream, and for the rest of one.
const FIRST_DEADLINE_MS: u32 = 8_000;
const LATER_DEADLINE_MS: u32 = 3_000;

/// What happens between the first attempt of each stream and the next ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    None,
    /// The entry process that began the streams is killed.
    Kill,
    /// It is told to stop.
    Stop,
    /// It and the next one are restarted.
    Restart,
    /// The engines of one version leave, and another version starts.
    Release,
}

struct Case {
    name: &'static str,
    entries: u8,
    disturbance: Disturbance,
    /// How many times each stream is taken up.
    take_ups: usize,
}

const CASES: [Case; 7] = [
    Case {
        name: "another entry process",
        entries: 3,
        disturbance: Disturbance::None,
        take_ups: 1,
    },
    Case {
        name: "three times",
        entries: 3,
        disturbance: Disturbance::None,
        take_ups: 3,
    },
    Case {
        name: "first process killed",
        entries: 3,
        disturbance: Disturbance::Kill,
        take_ups: 1,
    },
    Case {
        name: "first process stopped",
        entries: 3,
        disturbance: Disturbance::Stop,
        take_ups: 1,
    },
    Case {
        name: "two processes restarted",
        entries: 3,
        disturbance: Disturbance::Restart,
        take_ups: 1,
    },
    Case {
        name: "a release",
        entries: 3,
        disturbance: Disturbance::Release,
        take_ups: 1,
    },
    Case {
        name: "models with coordinators",
        entries: 14,
        disturbance: Disturbance::Kill,
        take_ups: 2,
    },
];

/// Tokens of a prompt that costs so little that no engine is preferred.
const SHORT_PROMPT: u32 = 1;

/// What a caller has of one stream.
#[derive(Debug, Default)]
pub struct Stream {
    /// The ids of its attempts begin with it.
    id: String,
    /// The tokens of its prompt, if it is a long one.
    prompt_tokens: Option<u32>,
    /// The number of its attempts.
    pub attempts: usize,
    /// The id of the one that brought the first event.
    begun_by: Option<String>,
    /// The last event received.
    pub last: u32,
    /// The software versions that sent its events.
    pub versions: collections::BTreeSet<String>,
    /// Whether its last event has arrived.
    pub is_complete: bool,
}

impl Stream {
    pub fn new(id: String) -> Self {
        Self {
            id,
            ..Self::default()
        }
    }

    /// Sends one attempt, and leaves after event `until`, or when the response ends.
    pub fn attempt(&mut self, to: net::SocketAddrV4, until: u32) {
        let id = format!("{}-{}", self.id, self.attempts);
        self.attempts += 1;
        let tokens = self.prompt_tokens.unwrap_or(SHORT_PROMPT);
        let prompt = format!("Model: m1\r\nToken-Usage: {tokens},10\r\n");
        let lines = match &self.begun_by {
            Some(first) => {
                let last = self.last;
                format!("{prompt}Resumes: {first}\r\nLast-Event-Id: {last}\r\n")
            }
            None => prompt,
        };
        let request = Request {
            model: None,
            lines: &lines,
            deadline_ms: if self.begun_by.is_none() {
                FIRST_DEADLINE_MS
            } else {
                LATER_DEADLINE_MS
            },
            ..Request::new("POST", "/resumable/x", &id)
        };
        if let Ok(mut caller) = Caller::connect(to) {
            // Fails if the process ends now.
            drop(caller.send(&request));
            self.read(&mut caller, until);
        }
        if self.last > 0 {
            self.begun_by.get_or_insert(id);
        }
    }

    fn read(&mut self, caller: &mut Caller, until: u32) {
        let (mut text, mut buf) = (String::new(), [0; 4096]);
        while self.last < until && !self.is_complete {
            match caller.stream.read(&mut buf) {
                Ok(len) if len > 0 => text += &String::from_utf8_lossy(&buf[..len]),
                _ => return,
            }
            // A refusal keeps the connection open.
            if !text.starts_with("HTTP/1.1 200") {
                return;
            }
            let mut version = "v1";
            let whole = text.split_inclusive('\n').filter(|it| it.ends_with('\n'));
            for line in whole.map(str::trim_end) {
                if let Some(id) = line.strip_prefix("id: ") {
                    self.last = id.parse().unwrap_or(self.last);
                    self.versions.insert(version.to_owned());
                    version = "v1";
                }
                version = line.strip_prefix(": ").unwrap_or(version);
            }
            self.is_complete = self.last == EVENTS && text.contains("\r\n0\r\n");
        }
    }
}

/// A fleet before three engines of each of two versions.
pub fn mixed_fleet(entries: u8) -> (Fleet, Vec<Engine>) {
    let (fleet, mut engines) = Fleet::many_ready(entries, "");
    engines.truncate(2);
    engines.push(fleet.engine("e3", "engines", 35, &["m1"]));
    for (last, id) in [(36, "e4"), (37, "e5"), (38, "e6")] {
        engines.push(fleet.engine_of_version("v2", id, "engines", last, &["m1"]));
    }
    for engine in &engines {
        engine.set_behavior(Behavior::Streams(EVENTS));
    }
    until_known(&fleet, &engines);
    (fleet, engines)
}

/// Waits until all entry processes serve and know all engines.
pub fn until_known(fleet: &Fleet, engines: &[Engine]) {
    for (entry, process) in fleet.entries.iter().enumerate() {
        let mut number = 0;
        fleet.until("an entry process serves", || {
            number += 1;
            let mut stream = Stream::new(format!("known-{entry}-{number}"));
            stream.attempt(process.address(), 1);
            stream.last > 0
        });
        fleet.until("it knows all engines", || {
            let log = process.log();
            let is_known = |it: &Engine| log.contains(&format!("\"endpoint\":\"{}@", it.id()));
            engines.iter().all(is_known)
        });
    }
}

/// Disturbs the fleet once all streams have begun. Returns the entry processes at which they are taken up.
fn disturb(fleet: &mut Fleet, engines: &mut Vec<Engine>, disturbance: Disturbance) -> Vec<usize> {
    let others = (1..fleet.entries.len()).collect();
    match disturbance {
        Disturbance::None => {}
        Disturbance::Kill => fleet.entries[0].kill(),
        Disturbance::Stop => fleet.entries[0].signal("TERM"),
        Disturbance::Restart => {
            for process in &mut fleet.entries[..2] {
                process.kill();
                process.start();
            }
            thread::sleep(START_TIME);
        }
        Disturbance::Release => {
            let new = fleet.engine_of_version("v3", "e7", "engines", 39, &["m1"]);
            new.set_behavior(Behavior::Streams(EVENTS));
            engines.push(new);
            engines.iter().skip(1).take(2).for_each(Engine::leave);
            thread::sleep(START_TIME);
        }
    }
    others
}

fn play(case: &Case) -> Vec<Stream> {
    let (mut fleet, mut engines) = mixed_fleet(case.entries);
    let mut streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let mut stream = Stream::new(format!("s{number}"));
            let until = 3 + u32::try_from(number % 10).expect("small");
            stream.attempt(fleet.entries[0].address(), until);
            stream
        })
        .collect();
    let entries = disturb(&mut fleet, &mut engines, case.disturbance);
    for take_up in 1..=case.take_ups {
        for (number, stream) in streams.iter_mut().enumerate() {
            let entry = entries[(number + take_up) % entries.len()];
            let until = if take_up == case.take_ups {
                EVENTS + 1
            } else {
                stream.last + 5
            };
            stream.attempt(fleet.entries[entry].address(), until);
        }
    }
    streams
}

/// Guards against a stream that another entry process, or the same one after a restart, continues at another software
/// version than the one that began it.
#[test]
fn a_stream_that_its_caller_takes_up_goes_on_at_its_software_version() {
    let mut failures = Vec::new();
    for case in &CASES {
        let streams = play(case);
        let joined = streams.iter().filter(|it| it.versions.len() > 1);
        let (joined, went_on) = (
            joined.count(),
            streams.iter().filter(|it| it.is_complete).count(),
        );
        println!(
            "{}: {joined} of {STREAMS} joined, {went_on} went on",
            case.name
        );
        if joined > 0 || went_on * 2 < STREAMS {
            failures.push(case.name);
        }
    }
    assert!(failures.is_empty(), "failed: {failures:?}");
}

/// Guards against a stream that breaks off and is resumed within its response at another software version.
#[test]
fn a_stream_that_breaks_off_is_resumed_at_its_software_version() {
    let (fleet, engines) = mixed_fleet(1);
    for engine in &engines {
        engine.set_behavior(Behavior::CutsOnce(EVENTS / 2));
    }
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let mut stream = Stream::new(format!("s{number}"));
            stream.attempt(fleet.entries[0].address(), EVENTS + 1);
            stream
        })
        .collect();
    let joined = streams.iter().filter(|it| it.versions.len() > 1);
    let (joined, went_on) = (
        joined.count(),
        streams.iter().filter(|it| it.is_complete).count(),
    );
    println!("{joined} of {STREAMS} joined, {went_on} went on");
    assert_eq!(joined, 0);
    assert!(went_on * 2 >= STREAMS);
}

/// Tokens of a prompt that an engine takes a tenth of a second to prefill.
const LONG_PROMPT: Option<u32> = Some(2_000);

/// Callers of new streams, each of which asks again at once.
const CALLERS: usize = 400;

/// The time after which such a caller asks again if it was refused.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Requests that an engine runs at once.
const SLOTS: usize = 2;

/// Guards against streams that are not resumed under load: behind new ones, which may go to the engines of all versions,
/// they wait for longer than their callers do, and the work already done is lost.
#[test]
fn streams_go_on_as_often_as_new_ones_begin_under_load() {
    for entries in [3, 14] {
        let (fleet, engines) = mixed_fleet(entries);
        let mut streams: Vec<_> = (0..STREAMS)
            .map(|number| {
                let mut stream = Stream {
                    prompt_tokens: LONG_PROMPT,
                    ..Stream::new(format!("s{number}"))
                };
                stream.attempt(fleet.entries[0].address(), 5);
                stream
            })
            .collect();
        for engine in &engines {
            engine.set_max_running(SLOTS);
        }
        let is_over = atomic::AtomicBool::new(false);
        let (tried, begun) = (atomic::AtomicUsize::new(0), atomic::AtomicUsize::new(0));
        let count = |caller: usize| {
            let mut number = 0;
            while !is_over.load(atomic::Ordering::Relaxed) {
                number += 1;
                let mut stream = Stream {
                    prompt_tokens: LONG_PROMPT,
                    ..Stream::new(format!("new-{caller}-{number}"))
                };
                stream.attempt(
                    fleet.entries[caller % fleet.entries.len()].address(),
                    EVENTS + 1,
                );
                tried.fetch_add(1, atomic::Ordering::Relaxed);
                if stream.last > 0 {
                    begun.fetch_add(1, atomic::Ordering::Relaxed);
                } else {
                    thread::sleep(RETRY_INTERVAL);
                }
            }
        };
        thread::scope(|scope| {
            for caller in 0..CALLERS {
                scope.spawn(move || count(caller));
            }
            thread::sleep(START_TIME);
            let take_up = |(number, stream): (usize, &mut Stream)| {
                stream.attempt(
                    fleet.entries[(number + 1) % fleet.entries.len()].address(),
                    EVENTS + 1,
                );
            };
            thread::scope(|scope| {
                for it in streams.iter_mut().enumerate() {
                    thread::sleep(time::Duration::from_millis(100));
                    scope.spawn(move || take_up(it));
                }
            });
            is_over.store(true, atomic::Ordering::Relaxed);
        });
        let went_on = streams.iter().filter(|it| it.is_complete).count();
        let joined = streams.iter().filter(|it| it.versions.len() > 1);
        let (joined, tried, begun) = (joined.count(), tried.into_inner(), begun.into_inner());
        println!(
            "{entries}: {went_on} of {STREAMS} went on, {joined} joined; {begun} of {tried} begun"
        );
        assert_eq!(joined, 0);
        assert!(went_on * tried * 2 >= begun * STREAMS);
    }
}

/// Guards against streams that are refused after all processes have ended at once, though engines of one version have
/// served, and against such streams that go on at another version.
#[test]
fn streams_outlive_all_processes_only_while_one_version_serves() {
    for (versions, expected) in [(1, STREAMS), (2, 0)] {
        let (mut fleet, mut engines) = Fleet::many_ready(2, "");
        engines.truncate(2);
        if versions == 2 {
            engines.push(fleet.engine_of_version("v2", "e4", "engines", 36, &["m1"]));
        }
        for engine in &engines {
            engine.set_behavior(Behavior::Streams(EVENTS));
        }
        until_known(&fleet, &engines);
        let mut streams: Vec<_> = (0..STREAMS)
            .map(|number| {
                let mut stream = Stream::new(format!("s{number}"));
                stream.attempt(fleet.entries[0].address(), 5);
                stream
            })
            .collect();
        thread::sleep(START_TIME);
        let all = fleet.control.iter_mut().chain(&mut fleet.entries);
        let mut all: Vec<_> = all.collect();
        for process in &mut all {
            process.kill();
        }
        for process in &mut all {
            process.start();
        }
        until_known(&fleet, &engines[..2]);
        for stream in &mut streams {
            stream.attempt(fleet.entries[1].address(), EVENTS + 1);
        }
        let went_on = streams.iter().filter(|it| it.is_complete).count();
        assert_eq!(went_on, expected, "{versions} versions");
        assert!(streams.iter().all(|it| it.versions.len() == 1));
    }
}

struct Odd {
    name: &'static str,
    path: &'static str,
    lines: String,
    /// The status, and the reason of a refusal.
    expected: (u16, &'static str),
}

/// Guards against requests that take up a stream which nobody knows and go on at any version, or get no clear answer.
#[test]
fn a_stream_that_nobody_knows_is_refused_unless_it_begins_anew() {
    let (fleet, _engines) = mixed_fleet(2);
    let refused = (503, "not_resumable");
    let cases = [
        Odd {
            name: "unknown",
            path: "/resumable/x",
            lines: "Resumes: nobody\r\nLast-Event-Id: 4\r\n".to_owned(),
            expected: refused,
        },
        Odd {
            name: "no id",
            path: "/resumable/x",
            lines: "Last-Event-Id: 4\r\n".to_owned(),
            expected: refused,
        },
        Odd {
            name: "a long id",
            path: "/resumable/x",
            lines: format!("Resumes: {}\r\nLast-Event-Id: 4\r\n", "x".repeat(9_000)),
            expected: refused,
        },
        Odd {
            name: "no event",
            path: "/resumable/x",
            lines: "Resumes: nobody\r\n".to_owned(),
            expected: (200, ""),
        },
        Odd {
            name: "the one that began anew",
            path: "/resumable/x",
            lines: "Resumes: no event\r\nLast-Event-Id: 4\r\n".to_owned(),
            expected: (200, ""),
        },
        Odd {
            name: "a route whose streams can't be resumed",
            path: "/stream/x",
            lines: "Resumes: nobody\r\n".to_owned(),
            expected: (200, ""),
        },
    ];
    for case in cases {
        let request = Request {
            lines: &case.lines,
            ..Request::new("POST", case.path, case.name)
        };
        let answer = fleet.ask(1, &request).expect("an answer");
        let (status, reason) = case.expected;
        assert_eq!(answer.status(), status, "{}", case.name);
        assert!(answer.text().contains(reason), "{}", case.name);
        assert_eq!(answer.header("retry-after").is_some(), status == 503);
    }
}
