//! Requests whose prompts share a part that crashes each engine which begins to answer them.

use std::{
    net,
    sync::{self, atomic},
    thread, time,
};

use crate::{
    fleet::{Fleet, Process},
    standin::{
        caller::{Caller, Request},
        engine::{Arrival, Behavior, CRASH_PARTS, Engine},
    },
};

/// The crashes after which a part is known to cause them.
const KNOWN_AFTER: usize = 5;

/// The time in which all entry processes learn of them.
const CONTACT_TIME: time::Duration = time::Duration::from_secs(3);

/// The requests with one such part that engines may still receive after that, over all entry processes.
const MAX_FURTHER_ARRIVALS: usize = 3;

/// The time without a crash after which no further one is expected.
const QUIET_TIME: time::Duration = time::Duration::from_secs(2);

/// How long requests are sent before the first one with such a part, and after [`CONTACT_TIME`].
const BEFORE: time::Duration = time::Duration::from_secs(2);
const AFTER: time::Duration = time::Duration::from_secs(5);

/// The interval between the requests of one caller, and the number of callers that send no such part.
const INTERVAL: time::Duration = time::Duration::from_millis(200);
const SOUND_CALLERS: usize = 6;

/// What happens to the processes once a part is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    None,
    /// One entry process is restarted.
    RestartOne,
    /// All processes are killed and started.
    RestartAll,
}

struct Case {
    name: &'static str,
    entries: u8,
    /// How many parts crash engines, each sent by a caller of its own.
    parts: usize,
    disturbance: Disturbance,
}

const CASES: [Case; 5] = [
    Case {
        name: "few entry processes",
        entries: 3,
        parts: 1,
        disturbance: Disturbance::None,
    },
    Case {
        name: "models with coordinators",
        entries: 14,
        parts: 1,
        disturbance: Disturbance::None,
    },
    Case {
        name: "two such parts at once",
        entries: 3,
        parts: 2,
        disturbance: Disturbance::None,
    },
    Case {
        name: "an entry process restarts",
        entries: 3,
        parts: 1,
        disturbance: Disturbance::RestartOne,
    },
    Case {
        name: "all processes restart",
        entries: 3,
        parts: 1,
        disturbance: Disturbance::RestartAll,
    },
];

/// The callers of a fleet, which send until they are stopped.
struct Callers {
    entries: Vec<net::SocketAddrV4>,
    stopped: atomic::AtomicBool,
    /// When each sound request was sent, and whether it was answered.
    sound: sync::Mutex<Vec<(time::Instant, bool)>>,
}

impl Callers {
    fn new(fleet: &Fleet) -> Self {
        Self {
            entries: fleet.entries.iter().map(Process::address).collect(),
            stopped: atomic::AtomicBool::new(false),
            sound: sync::Mutex::default(),
        }
    }

    /// Sends a request every [`INTERVAL`] with the first part that all share, `part` if there is one, and a last part of
    /// its own.
    fn send(&self, name: &str, caller: usize, part: Option<&str>) {
        let mut number = 0;
        while !self.stopped.load(atomic::Ordering::SeqCst) {
            number += 1;
            let id = format!("{name}-{number}");
            let middle = part.map_or_else(String::new, |it| format!("{it}:30,"));
            let own = 0x10_0000 * (caller + 1) + number;
            let lines = format!(
                "Model: m1\r\nToken-Usage: 100,10\r\nPrompt-Prefix: aa:40,{middle}{own:x}:30\r\n"
            );
            let request = Request {
                model: None,
                lines: &lines,
                body: &id,
                ..Request::new("POST", "/resumable/x", &id)
            };
            let to = self.entries[(caller + number) % self.entries.len()];
            let sent_at = time::Instant::now();
            let answer = Caller::connect(to).and_then(|mut it| it.request(&request));
            let is_served = answer.ok().flatten().is_some_and(|it| it.status() == 200);
            if part.is_none() {
                let mut sound = self.sound.lock().expect("no panic");
                sound.push((sent_at, is_served));
            }
            thread::sleep(INTERVAL.saturating_sub(sent_at.elapsed()));
        }
    }

    /// How many of the sound requests that were sent since `from` and before `until` were answered, and their number.
    fn served(&self, from: time::Instant, until: time::Instant) -> (usize, usize) {
        let sound = self.sound.lock().expect("no panic");
        let sent = sound.iter().filter(|it| it.0 >= from && it.0 < until);
        (sent.clone().filter(|it| it.1).count(), sent.count())
    }
}

/// Stops the callers at the end of a scope, also if it panics.
struct StopOnDrop<'a>(&'a Callers);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.stopped.store(true, atomic::Ordering::SeqCst);
    }
}

/// The arrivals of requests with `part`, in order.
fn arrivals(engines: &[Engine], part: &str) -> Vec<Arrival> {
    let of = |it: &Engine| it.log(|log| log.arrived.clone());
    let mut all: Vec<_> = engines.iter().flat_map(of).collect();
    all.retain(|it| it.id.starts_with(part));
    all.sort_by_key(|it| it.at);
    all
}

fn crash_count(engines: &[Engine]) -> usize {
    engines.iter().map(|it| it.log(|log| log.ends)).sum()
}

/// Waits for crash number `count`, or until no further one has come for [`QUIET_TIME`]. Returns the time of the last one.
fn last_counted_crash(fleet: &Fleet, engines: &[Engine], count: usize) -> time::Instant {
    let (mut seen, mut last) = (0, time::Instant::now());
    fleet.until("the part is known", || {
        let crashes = crash_count(engines);
        if crashes > seen {
            (seen, last) = (crashes, time::Instant::now());
        }
        seen >= count || (seen > 0 && last.elapsed() >= QUIET_TIME)
    });
    last
}

fn disturb(fleet: &mut Fleet, disturbance: Disturbance) {
    let (control, entries) = match disturbance {
        Disturbance::None => return,
        Disturbance::RestartOne => (0, 1),
        Disturbance::RestartAll => (fleet.control.len(), fleet.entries.len()),
    };
    let control = fleet.control.iter_mut().take(control);
    let mut processes: Vec<_> = control
        .chain(fleet.entries.iter_mut().take(entries))
        .collect();
    for process in &mut processes {
        process.kill();
    }
    for process in &mut processes {
        process.start();
    }
}

fn play(case: &Case) {
    let parts = &CRASH_PARTS[..case.parts];
    let (mut fleet, mut engines) = Fleet::many_ready(case.entries, "");
    engines.truncate(2);
    for number in 3..=12 {
        let id = format!("e{number}");
        engines.push(fleet.engine(&id, "engines", 32 + number, &["m1"]));
    }
    for engine in &engines {
        engine.set_behavior(Behavior::Streams(3));
    }
    let callers = Callers::new(&fleet);
    let begun = time::Instant::now();
    let (known_at, from) = thread::scope(|scope| {
        let _stop = StopOnDrop(&callers);
        for caller in 0..SOUND_CALLERS {
            let callers = &callers;
            scope.spawn(move || callers.send(&format!("sound{caller}"), caller, None));
        }
        thread::sleep(BEFORE);
        for (number, part) in parts.iter().enumerate() {
            let callers = &callers;
            scope.spawn(move || callers.send(part, SOUND_CALLERS + number, Some(part)));
        }
        let known_at = last_counted_crash(&fleet, &engines, KNOWN_AFTER * parts.len());
        disturb(&mut fleet, case.disturbance);
        thread::sleep(CONTACT_TIME.saturating_sub(known_at.elapsed()));
        let from = time::Instant::now();
        thread::sleep(AFTER);
        (known_at, from)
    });
    let mut further = Vec::new();
    for part in parts {
        let all = arrivals(&engines, part);
        further.push(all.iter().filter(|it| it.at >= from).count());
    }
    let before = callers.served(begun, begun + BEFORE);
    let after = callers.served(from, from + AFTER);
    let crashes = crash_count(&engines);
    println!(
        "{}: {further:?} arrivals later than {:?} after crash {KNOWN_AFTER}, {crashes} crashes; sound ones {before:?} before, {after:?} after",
        case.name,
        from - known_at,
    );
    for count in further {
        assert!(count <= MAX_FURTHER_ARRIVALS, "{}: {count}", case.name);
    }
    // At least half as many as before, of those that were sent.
    assert!(
        2 * after.0 * before.1 >= before.0 * after.1,
        "{}: {before:?}, {after:?}",
        case.name
    );
}

/// Guards against requests that crash engine after engine because each counts as another one.
#[test]
fn requests_that_share_a_crashing_part_are_not_sent_on_and_on() {
    for case in &CASES {
        play(case);
    }
}
