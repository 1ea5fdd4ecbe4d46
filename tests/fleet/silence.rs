//! Endpoints that are silent for a second or two and then go on.
//!
//! `SAGESHED_SILENCE_RATE` (requests per second), `SAGESHED_SILENCE_SECONDS`, `SAGESHED_SILENCE_MS` (the length of one silence),
//! `SAGESHED_SILENCE_ENGINES` (how many are silent at a time) and `SAGESHED_SILENCE_CHANGES` (0 for no changes of the
//! configuration) set a run by hand. With `SAGESHED_SILENCE_EVENT=stop`, one entry process is told to stop halfway.

use std::{
    collections, env, io, net,
    sync::{self, atomic},
    thread, time,
};

use crate::{
    crowd::{self, Kind},
    fleet::{Fleet, Process},
    soak::{self, Random},
    standin::{
        Message,
        caller::{Caller, Request},
        engine::{self, Behavior, Engine},
        operator,
    },
};

const ENGINES: usize = 9;
const PLAIN_ENDPOINTS: u8 = 5;

const SETTINGS: &str =
    "[retries]\nratio = 0.2\nslack = 54.0\nwindow_ms = 10000\n[shared_queue]\nenabled = true\n";

/// A budget without any retry.
const NO_RETRY: &str =
    "[retries]\nratio = 0.0\nslack = 0.0\nwindow_ms = 10000\n[shared_queue]\nenabled = true\n";

/// A budget with one retry for each service: an entry process uses six tenths of it.
const ONE_RETRY: &str =
    "[retries]\nratio = 0.0\nslack = 2.0\nwindow_ms = 60000\n[shared_queue]\nenabled = true\n";

/// The longest of two seconds, four times the latency target and eight times the allowed pause: how long a caller of a
/// stream waits for data before it closes the connection.
const PATIENCE: time::Duration = time::Duration::from_secs(8);

/// The time that must be left to a request for which 502 is an error.
const MIN_TIME_LEFT: time::Duration = time::Duration::from_secs(1);

/// The grace period of entry processes in the settings of the tests.
const GRACE: time::Duration = time::Duration::from_secs(6);

/// A request that is sent later than this after the SIGTERM of its entry process must not be cut at its exit.
const MAX_SENT_AFTER_STOP: time::Duration = time::Duration::from_secs(3);

/// What a process logs of a request that it cuts at its exit.
const CUT_AT_EXIT: &str = "this entry process exits before the response is complete";

/// The silence of an endpoint in the tests without a load.
const SILENCE: time::Duration = time::Duration::from_millis(1_800);

/// How long a plain endpoint takes for a lookup.
const LOOKUP_TIME: time::Duration = time::Duration::from_millis(30);

/// The number of lookups that are sent at once. Two endpoints have places for all of them.
const LOOKUPS: usize = 12;

pub const KINDS: [Kind; 3] = [
    Kind {
        name: "short streams",
        path: "/resumable/short",
        tokens: 8,
        deadline: PATIENCE,
    },
    Kind {
        name: "long streams",
        path: "/resumable/long",
        tokens: 86,
        deadline: PATIENCE,
    },
    Kind {
        name: "lookups",
        path: "/again/x",
        tokens: 0,
        deadline: time::Duration::from_secs(3),
    },
];

/// A configuration whose streams may be sent to three engines, with `more` further routes.
pub fn config(version: u64, more: u64) -> String {
    let route = |number| {
        format!(
            r#"{{"name":"more{number}","host":"a.example","path_prefix":"/more{number}/","kind":"idempotent","timeout_ms":3000,"service":"plain","attempts":2}},"#
        )
    };
    let routes: String = (0..more).map(route).collect();
    let config = operator::config_with(version, &routes);
    let two = with_latency_target(&config, 400);
    let three = r#""attempts":3,"itl_target_ms":250,"resumable":true"#;
    two.replace(r#""attempts":2,"resumable":true"#, three)
        .replace("\"slots\":4", "\"slots\":32")
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    Whole,
    /// A response other than 200.
    Status(u16),
    /// A stream with an event missing, out of order or twice.
    WrongEvents,
    /// Closed inside a response.
    Cut,
    /// Closed without any part of a response.
    Closed,
    /// Its caller has closed the connection.
    GivenUp,
    /// No entry process accepted a connection.
    NotSent,
}

impl Outcome {
    pub fn of(kind: &Kind, took: time::Duration, response: io::Result<Option<Message>>) -> Self {
        let events: String = (1..=kind.tokens).map(engine::event).collect();
        let is_over = took >= kind.deadline;
        match response {
            Ok(Some(it)) if it.whole && it.status() != 200 => Self::Status(it.status()),
            Ok(Some(it)) if kind.tokens > 0 && !events.starts_with(&it.text()) => Self::WrongEvents,
            Ok(Some(it)) if it.whole && it.text().len() < events.len() => Self::WrongEvents,
            Ok(Some(it)) if it.whole => Self::Whole,
            _ if is_over => Self::GivenUp,
            Ok(Some(_)) => Self::Cut,
            Ok(None) | Err(_) => Self::Closed,
        }
    }

    fn is_allowed(self, left: time::Duration) -> bool {
        match self {
            // Those that were closed are compared with what the processes have not read.
            Self::Whole | Self::GivenUp | Self::Closed => true,
            Self::Status(status) => status != 502 || left <= MIN_TIME_LEFT,
            Self::WrongEvents | Self::Cut | Self::NotSent => false,
        }
    }
}

/// Sends request `number` to the first of `addresses` that accepts a connection.
fn send(addresses: &[net::SocketAddrV4], kind: &Kind, number: usize) -> Option<Caller> {
    let mut connected = addresses.iter().filter_map(|it| Caller::connect(*it).ok());
    let mut caller = connected.next()?;
    let (tokens, id) = (kind.tokens, format!("silence-{number}"));
    let lines =
        format!("Model: m1\r\nToken-Usage: 100,{tokens}\r\nPrompt-Prefix: aa:60,{number:x}:40\r\n");
    let request = Request {
        model: None,
        lines: if tokens > 0 { &lines } else { "" },
        deadline_ms: u32::try_from(kind.deadline.as_millis()).expect("seconds"),
        ..Request::new("GET", kind.path, &id)
    };
    caller.stream.set_read_timeout(Some(kind.deadline)).ok()?;
    // What a caller could not write shows when it reads.
    drop(caller.send(&request));
    Some(caller)
}

/// Sends request `number` and waits for its end. Returns how long that took.
pub fn call(
    addresses: &[net::SocketAddrV4],
    kind: &Kind,
    number: usize,
) -> (time::Duration, Outcome) {
    let begun = time::Instant::now();
    let Some(mut caller) = send(addresses, kind, number) else {
        return (begun.elapsed(), Outcome::NotSent);
    };
    let response = caller.answer();
    let took = begun.elapsed();
    (took, Outcome::of(kind, took, response))
}

/// A load on a fleet whose endpoints are silent in turn.
pub struct Load {
    pub rate: f64,
    pub time: time::Duration,
    silence: time::Duration,
    silent_engines: u32,
    changes: bool,
    stops_entry: bool,
}

pub struct Record {
    pub number: usize,
    pub kind: usize,
    pub took: time::Duration,
    pub outcome: Outcome,
    /// The time from the SIGTERM of an entry process to the end of the request.
    ended_after_stop: Option<time::Duration>,
}

impl Record {
    fn is_allowed(&self, fleet: &Fleet) -> bool {
        let left = KINDS[self.kind].deadline.saturating_sub(self.took);
        self.outcome.is_allowed(left) || self.is_cut_at_exit(fleet)
    }

    /// Whether it was sent within three seconds after the SIGTERM of its entry process, and cut by that one in the last
    /// sixth of its grace period.
    fn is_cut_at_exit(&self, fleet: &Fleet) -> bool {
        let Some(ended) = self.ended_after_stop else {
            return false;
        };
        let is_late = ended >= GRACE * 5 / 6 && ended <= self.took + MAX_SENT_AFTER_STOP;
        let id = format!("\"request\":\"silence-{}\"", self.number);
        let log = fleet.entries[0].log();
        let mut lines = log.lines().filter(|it| it.contains(&id));
        self.outcome == Outcome::Cut && is_late && lines.any(|it| it.contains(CUT_AT_EXIT))
    }
}

impl Load {
    pub fn by_environment() -> Self {
        let number = |name: &str, default: u64| {
            soak::number(&format!("SAGESHED_SILENCE_{name}")).unwrap_or(default)
        };
        Self {
            rate: number("RATE", 240) as f64,
            time: time::Duration::from_secs(number("SECONDS", 14)),
            silence: time::Duration::from_millis(number("MS", 1_500)),
            silent_engines: u32::try_from(number("ENGINES", 3)).expect("few engines"),
            changes: number("CHANGES", 1) > 0,
            stops_entry: env::var("SAGESHED_SILENCE_EVENT").is_ok_and(|it| it == "stop"),
        }
    }

    /// Runs the load, prints what became of the requests, and returns the number of those that ended wrongly.
    fn run(&self, fleet: &Fleet, engines: &[Engine], plain: &[Engine], seed: u64) -> usize {
        let is_over = &atomic::AtomicBool::new(false);
        let goes_on = || !is_over.load(atomic::Ordering::Relaxed);
        let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        let first = random.below(ENGINES);
        let records = thread::scope(|scope| {
            scope.spawn(move || self.silence_in_turn(engines, first, self.silent_engines, goes_on));
            scope.spawn(move || self.silence_in_turn(plain, first, 1, goes_on));
            scope.spawn(move || {
                for more in 1.. {
                    thread::sleep(time::Duration::from_secs(1));
                    if !self.changes || !goes_on() {
                        break;
                    }
                    fleet.replace(&config(10 + more, more));
                }
            });
            let records = self.send_requests(fleet, &mut random);
            is_over.store(true, atomic::Ordering::Relaxed);
            records
        });
        print(fleet, &records);
        let closed = records.iter().filter(|it| it.outcome == Outcome::Closed);
        let closed = closed.count();
        fleet.until_unread(closed);
        let wrong = records.iter().filter(|it| !it.is_allowed(fleet));
        let wrong = wrong.inspect(|it| {
            let (name, took) = (KINDS[it.kind].name, it.took);
            println!(
                "silence-{} ({name}): {:?} after {took:?}",
                it.number, it.outcome
            );
        });
        wrong.count()
    }

    /// Has the endpoints be silent one after the other, `at_once` at a time, from number `first` on.
    fn silence_in_turn(
        &self,
        endpoints: &[Engine],
        first: usize,
        at_once: u32,
        goes_on: impl Fn() -> bool,
    ) {
        let turns = endpoints.iter().cycle().skip(first);
        for endpoint in turns.take_while(|_| goes_on()) {
            endpoint.fall_silent(self.silence);
            thread::sleep(self.silence / at_once);
        }
    }

    pub fn send_requests(&self, fleet: &Fleet, random: &mut Random) -> Vec<Record> {
        let addresses: Vec<_> = fleet.entries.iter().map(Process::address).collect();
        let records = &sync::Mutex::new(Vec::new());
        let begun = time::Instant::now();
        let due = |number| time::Duration::from_secs_f64(number as f64 / self.rate);
        let mut stops_entry = self.stops_entry;
        let stopped = &sync::OnceLock::new();
        thread::scope(|scope| {
            for number in (0..).take_while(|it| due(*it) < self.time) {
                thread::sleep(due(number).saturating_sub(begun.elapsed()));
                if stops_entry && due(number) >= self.time / 2 {
                    stops_entry = false;
                    fleet.entries[0].signal("TERM");
                    let at = stopped.set(time::Instant::now());
                    at.expect("one process is stopped");
                }
                let kind = Kind::random(random);
                let mut order = addresses.clone();
                order.rotate_left(random.below(addresses.len()));
                let caller = move || {
                    let (took, outcome) = call(&order, &KINDS[kind], number);
                    let record = Record {
                        number,
                        kind,
                        took,
                        outcome,
                        ended_after_stop: stopped.get().map(time::Instant::elapsed),
                    };
                    records.lock().expect("no panic").push(record);
                };
                let builder = thread::Builder::new().stack_size(128 * 1_024);
                builder.spawn_scoped(scope, caller).expect("a thread");
            }
        });
        let mut records = records.lock().expect("no panic");
        std::mem::take(&mut records)
    }
}

/// Prints the outcomes of each kind of request, and the refusals by their reasons.
pub fn print(fleet: &Fleet, records: &[Record]) {
    for (at, kind) in KINDS.iter().enumerate() {
        let outcomes = records.iter().filter(|it| it.kind == at);
        println!("{}: {:?}", kind.name, count(outcomes.map(|it| it.outcome)));
    }
    let mut refusals = collections::BTreeMap::new();
    for entry in &fleet.entries {
        crowd::count_refusals(&entry.log(), &mut refusals);
    }
    for (reason, count) in refusals {
        println!("{count} refused: {reason}");
    }
}

pub fn count(outcomes: impl Iterator<Item = Outcome>) -> collections::BTreeMap<Outcome, usize> {
    outcomes.fold(collections::BTreeMap::new(), |mut counts, it| {
        *counts.entry(it).or_default() += 1;
        counts
    })
}

pub fn start(settings: &'static str) -> (Fleet, Vec<Engine>, Vec<Engine>) {
    let fleet = Fleet::with_entries(3, settings);
    fleet.replace(&config(10, 0));
    let engines = (0..ENGINES).map(|at| crowd::start_engine(&fleet, at));
    let engines = engines.collect();
    let plain = (0..PLAIN_ENDPOINTS).map(|at| {
        let endpoint = fleet.engine(&format!("p{at}"), "plain", 241 + at, &[]);
        endpoint.set_slots(32);
        endpoint.set_behavior(Behavior::AnswersAfter(LOOKUP_TIME));
        endpoint
    });
    let plain = plain.collect();
    for entry in 0..fleet.entries.len() {
        for path in ["/stream/x", "/again/x"] {
            fleet.until("an entry process serves", || {
                let answer = fleet.ask(entry, &Request::new("GET", path, "first"));
                answer.is_some_and(|it| it.status() == 200)
            });
        }
    }
    (fleet, engines, plain)
}

/// Guards against begun streams that are cut and requests that get 502 because sound endpoints are silent for a second or two:
/// each silence is taken for a failure, the runs there are given up, and no retry or free endpoint is left for them.
#[test]
fn a_silence_of_endpoints_that_go_on_costs_no_response() {
    let load = Load::by_environment();
    for seed in soak::seeds(1) {
        let (fleet, engines, plain) = start(SETTINGS);
        println!("seed {seed}; {}", fleet.entries[0].log_file().display());
        let wrong = load.run(&fleet, &engines, &plain, seed);
        assert_eq!(wrong, 0, "seed {seed}");
    }
}

/// What meets a request that leaves its silent endpoint.
struct Case {
    name: &'static str,
    settings: &'static str,
    /// Sets what the other endpoint does from then on.
    set_other: fn(&Engine),
}

const STREAM_CASES: [Case; 5] = [
    Case {
        name: "the other engine rejects it",
        settings: SETTINGS,
        set_other: |it| it.set_behavior(Behavior::Rejects),
    },
    Case {
        name: "the other engine rejects it, and one retry is left",
        settings: ONE_RETRY,
        set_other: |it| it.set_behavior(Behavior::Rejects),
    },
    Case {
        name: "the other engine names a time for a retry",
        settings: SETTINGS,
        set_other: |it| it.reject_with_retry_after(1.0),
    },
    Case {
        name: "the other engine is full",
        settings: SETTINGS,
        set_other: |it| it.set_max_running(0),
    },
    Case {
        name: "no retry is left",
        settings: NO_RETRY,
        set_other: |_| (),
    },
];

const LOOKUP_CASES: [Case; 3] = [
    Case {
        name: "the other endpoint is silent too",
        settings: ONE_RETRY,
        set_other: |it| it.fall_silent(SILENCE),
    },
    Case {
        name: "the other endpoint is slow",
        settings: ONE_RETRY,
        set_other: |it| it.set_behavior(Behavior::AnswersAfter(SILENCE * 2 / 3)),
    },
    Case {
        name: "the other endpoint has free places",
        settings: ONE_RETRY,
        set_other: |_| (),
    },
];

impl Case {
    /// Has the engine of a stream be silent after its fifth event. Returns what became of the stream, and the fleet.
    fn run_stream(&self) -> (bool, Fleet) {
        let stream = SilentStream {
            latency_target_ms: 400,
            silence: SILENCE,
            patience: PATIENCE,
        };
        let (outcome, is_tried, fleet) = stream.run(self.settings, |_, it| (self.set_other)(it));
        assert_eq!(is_tried, self.settings != NO_RETRY, "{}", self.name);
        println!("{}", self.name);
        (outcome == Outcome::Whole, fleet)
    }

    /// Sends lookups to a silent endpoint and another one. Returns whether all were answered, and the fleet.
    fn run_lookups(&self) -> (bool, Fleet) {
        let (fleet, engines) = Fleet::many_ready(1, self.settings);
        let plain = &engines[2..];
        for endpoint in plain {
            endpoint.set_behavior(Behavior::AnswersAfter(LOOKUP_TIME));
        }
        let ran = |it: &Engine| it.log(|log| log.ran.len());
        // A lookup at a time goes to one endpoint only.
        fleet.until("lookups are spread over both endpoints", || {
            let before: Vec<_> = plain.iter().map(ran).collect();
            look_up(&fleet);
            let mut after = plain.iter().zip(before);
            after.all(|(it, before)| ran(it) >= before + LOOKUPS / 3)
        });
        plain[0].fall_silent(SILENCE);
        (self.set_other)(&plain[1]);
        let outcomes = look_up(&fleet);
        let log = fleet.entries[0].log_file();
        println!("{}: {outcomes:?}; {}", self.name, log.display());
        (outcomes.get(&Outcome::Whole) == Some(&LOOKUPS), fleet)
    }
}

/// Sends lookups at once, and counts what became of them.
fn look_up(fleet: &Fleet) -> collections::BTreeMap<Outcome, usize> {
    let to = fleet.entries[0].address();
    thread::scope(|scope| {
        let one = |number| scope.spawn(move || call(&[to], &KINDS[2], number));
        let lookups: Vec<_> = (0..LOOKUPS).map(one).collect();
        let ended = lookups.into_iter().map(|it| it.join().expect("it ends"));
        count(ended.map(|it| it.1))
    })
}

/// Guards against a begun stream that is cut although its engine goes on: its run is given up after a second of silence, before
/// another engine has accepted the stream, and none does.
#[test]
fn a_stream_whose_engine_is_silent_is_kept_until_another_engine_has_it() {
    // The logs are kept if the test fails while the fleets exist.
    let (are_whole, _fleets): (Vec<_>, Vec<_>) = STREAM_CASES.iter().map(Case::run_stream).unzip();
    assert_eq!(are_whole, [true; STREAM_CASES.len()]);
}

/// Guards against 502 for lookups that a silent endpoint would still answer in time: all that wait there see the one retry that
/// is left and give up their runs, and one of them gets it.
#[test]
fn lookups_at_a_silent_endpoint_are_given_up_only_with_a_retry_at_hand() {
    // The logs are kept if the test fails while the fleets exist.
    let (are_whole, _fleets): (Vec<_>, Vec<_>) = LOOKUP_CASES.iter().map(Case::run_lookups).unzip();
    assert_eq!(are_whole, [true; LOOKUP_CASES.len()]);
}

/// `config` with another latency target of its resumable route. Callers wait for the next event for four times as long, two
/// seconds at least.
fn with_latency_target(config: &str, ms: u32) -> String {
    let given = r#""latency_target_ms":2000,"priority":1,"service":"engines","attempts":2,"resumable":true"#;
    assert!(config.contains(given));
    config.replace(given, &given.replace("2000", &ms.to_string()))
}

/// Puts a configuration in force whose resumable route has this latency target.
fn set_latency_target(fleet: &Fleet, ms: u32) {
    fleet.replace(&with_latency_target(&operator::config(20), ms));
    fleet.until("it is in force", || {
        fleet.entries[0].log().contains("\"version\":\"20\"")
    });
}

/// Whether the engine has received the stream of a [`SilentStream`], whether it has run it or not.
fn has_received(engine: &Engine) -> bool {
    engine.log(|log| log.arrived.iter().any(|it| it.id == "silence-1"))
}

/// A stream whose engine is silent after its fifth event.
struct SilentStream {
    latency_target_ms: u32,
    silence: time::Duration,
    /// How long the caller waits for the next event.
    patience: time::Duration,
}

impl SilentStream {
    /// Sends the stream, and has `set_other` set the other engine. Returns what became of the stream, whether both engines
    /// have received it, and the fleet.
    fn run(
        &self,
        settings: &'static str,
        set_other: impl Fn(&Fleet, &Engine),
    ) -> (Outcome, bool, Fleet) {
        let (fleet, engines) = Fleet::many_ready(1, settings);
        set_latency_target(&fleet, self.latency_target_ms);
        let engines = &engines[..2];
        for engine in engines {
            let interval = time::Duration::from_millis(20);
            engine.set_behavior(Behavior::StreamsTokens(interval));
        }
        let (kind, begun) = (&KINDS[1], time::Instant::now());
        let caller = send(&[fleet.entries[0].address()], kind, 1);
        let mut caller = caller.expect("a connection");
        fleet.until("the stream has begun", || {
            let mut text = [0; 4_096];
            let n = caller.stream.peek(&mut text).expect("it is open");
            String::from_utf8_lossy(&text[..n]).contains("id: 5\n")
        });
        let patience = Some(self.patience);
        caller.stream.set_read_timeout(patience).expect("a socket");
        let (response, took) = thread::scope(|scope| {
            let (silent, other): (Vec<_>, Vec<_>) =
                engines.iter().partition(|it| it.runs("silence-1") > 0);
            silent[0].fall_silent(self.silence);
            let reading = scope.spawn(|| {
                let response = caller.answer();
                (response, begun.elapsed())
            });
            set_other(&fleet, other[0]);
            reading.join().expect("it ends")
        });
        let outcome = Outcome::of(kind, took, response);
        let log = fleet.entries[0].log_file();
        println!("{outcome:?} after {took:?}; {}", log.display());
        (outcome, engines.iter().all(has_received), fleet)
    }
}

/// Longer than any request.
const DEAD: time::Duration = time::Duration::from_mins(1);

/// The shortest time for which callers wait for the next event.
const CALLERS_WAIT: time::Duration = time::Duration::from_secs(2);

/// Guards against a begun stream that is cut although its engine goes on: the second engine responds with a failure, which ends
/// the run at the silent one.
#[test]
fn a_begun_stream_is_not_ended_by_a_failure_of_the_second_engine() {
    let stream = SilentStream {
        latency_target_ms: 400,
        silence: SILENCE,
        patience: CALLERS_WAIT,
    };
    let (outcome, _, _fleet) = stream.run(SETTINGS, |_, it| it.set_behavior(Behavior::Fails(500)));
    assert_eq!(outcome, Outcome::Whole);
}

/// Guards against a stream that its caller gives up since it goes back to a dead engine after one rejection, and waits there
/// as long as before the first attempt at another engine.
#[test]
fn a_stream_of_a_dead_engine_is_sent_again_soon_after_a_rejection() {
    let stream = SilentStream {
        latency_target_ms: 400,
        silence: DEAD,
        patience: CALLERS_WAIT,
    };
    let (outcome, _, _fleet) = stream.run(SETTINGS, |fleet, it| {
        it.set_behavior(Behavior::Rejects);
        fleet.until("it has rejected the stream", || has_received(it));
        it.set_behavior(Behavior::StreamsTokens(time::Duration::from_millis(20)));
    });
    assert_eq!(outcome, Outcome::Whole);
}

/// Guards against a stream that stays at a dead engine until its deadline, since its caller waits for the next event for
/// more than twice the time that is left.
#[test]
fn a_stream_of_a_dead_engine_is_moved_before_its_deadline() {
    let stream = SilentStream {
        latency_target_ms: 10_000,
        silence: DEAD,
        patience: PATIENCE,
    };
    let (outcome, _, _fleet) = stream.run(SETTINGS, |_, _| ());
    assert_eq!(outcome, Outcome::Whole);
}

/// Guards against a begun stream whose caller gives it up although its engine goes on: the second engine has sent the head of a
/// rejection and falls silent too, and the rest of the rejection is waited for.
#[test]
fn a_begun_stream_does_not_wait_for_the_rest_of_a_rejection() {
    let stream = SilentStream {
        latency_target_ms: 400,
        silence: SILENCE,
        patience: CALLERS_WAIT,
    };
    let (outcome, _, _fleet) = stream.run(SETTINGS, |_, it| {
        it.set_behavior(Behavior::HangsInRejection);
    });
    assert_eq!(outcome, Outcome::Whole);
}

/// Guards against a stream of a dead engine that is lost although a third engine is free: the only retry is spent on an engine
/// that could not be reached, so that the request has not arrived anywhere.
#[test]
fn an_engine_that_is_not_reached_uses_no_retry() {
    let stream = SilentStream {
        latency_target_ms: 2_000,
        silence: DEAD,
        patience: PATIENCE,
    };
    let third = sync::Mutex::new(None);
    let (outcome, _, _fleet) = stream.run(ONE_RETRY, |fleet, it| {
        fleet.until("an engine could not be reached", || {
            it.crash();
            fleet.entries[0].log().contains("the request was not sent")
        });
        let engine = fleet.engine("e3", "engines", 35, &["m1"]);
        engine.set_behavior(Behavior::StreamsTokens(time::Duration::from_millis(20)));
        *third.lock().expect("no panic") = Some(engine);
    });
    assert_eq!(outcome, Outcome::Whole);
}

/// Guards against a lookup that gets no response although its endpoint has sent one: it was sent to a second endpoint during a
/// silence, and that one sends a part of its response and nothing more.
#[test]
fn a_lookup_gets_the_response_of_an_endpoint_that_goes_on() {
    let (fleet, engines) = Fleet::many_ready(1, SETTINGS);
    let [silent, other] = [&engines[2], &engines[3]];
    for endpoint in [silent, other] {
        endpoint.set_behavior(Behavior::AnswersAfter(LOOKUP_TIME));
    }
    silent.fall_silent(SILENCE);
    let to = fleet.entries[0].address();
    let kind = &KINDS[2];
    let outcomes: Vec<_> = thread::scope(|scope| {
        let one = |number| scope.spawn(move || (number, call(&[to], kind, number).1));
        let lookups: Vec<_> = (0..LOOKUPS).map(one).collect();
        // Those that were sent to the other endpoint first have their responses.
        thread::sleep(SILENCE / 4);
        other.set_behavior(Behavior::HangsInBody);
        let ended = lookups.into_iter().map(|it| it.join().expect("it ends"));
        ended.collect()
    });
    let has_run = |endpoint: &Engine, number| endpoint.runs(&format!("silence-{number}")) > 0;
    let at_both: Vec<_> = outcomes
        .iter()
        .filter(|it| has_run(silent, it.0) && has_run(other, it.0))
        .collect();
    println!("{outcomes:?}; {}", fleet.entries[0].log_file().display());
    assert!(!at_both.is_empty(), "some were sent to both endpoints");
    assert!(
        at_both.iter().all(|it| it.1 == Outcome::Whole),
        "{at_both:?}"
    );
}

/// Guards against a long request that gets no response although its endpoint goes on: the endpoint reads nothing while it is
/// silent, so that the request can't be written, and its connection is closed before another endpoint has accepted it.
#[test]
fn a_long_request_is_not_ended_while_it_is_written() {
    let (fleet, engines) = Fleet::many_ready(1, SETTINGS);
    let [silent, other] = [&engines[2], &engines[3]];
    let limit = |bytes: usize| format!("\"max_body_bytes\":{bytes}");
    let timeout = |ms: u32| format!("\"idempotent\",\"timeout_ms\":{ms}");
    let config = operator::config(20)
        .replace(&limit(1_048_576), &limit(2 * LONG_BODY))
        .replace(&timeout(3_000), &timeout(LONG_DEADLINE_MS));
    fleet.replace(&config);
    fleet.until("it is in force", || {
        fleet.entries[0].log().contains("\"version\":\"20\"")
    });
    silent.fall_silent(SILENCE);
    other.set_behavior(Behavior::Rejects);
    let (to, body) = (fleet.entries[0].address(), "x".repeat(LONG_BODY));
    let one = |number: usize| {
        let id = format!("long-{number}");
        let request = Request {
            deadline_ms: LONG_DEADLINE_MS,
            body: &body,
            ..Request::new("POST", "/again/x", &id)
        };
        let response = Caller::connect(to).and_then(|mut it| it.request(&request));
        response.ok().flatten().map(|it| it.status())
    };
    let statuses: Vec<_> = thread::scope(|scope| {
        let one = &one;
        let sent: Vec<_> = (0..4).map(|it| scope.spawn(move || one(it))).collect();
        let ended = sent.into_iter().map(|it| it.join().expect("it ends"));
        ended.collect()
    });
    println!("{statuses:?}; {}", fleet.entries[0].log_file().display());
    assert_eq!(statuses, [Some(200); 4]);
}

/// The bytes of a long request: more than the sockets of both ends hold.
const LONG_BODY: usize = 8 * 1024 * 1024;

/// The deadline of a long request: the silence, and the time that a busy host takes to copy it to two endpoints.
const LONG_DEADLINE_MS: u32 = 15_000;

/// Guards against a stream that looks complete to its caller and is not: the second engine ends its connection before the first
/// event of a response without a length, while the first engine is silent and goes on.
#[test]
fn a_begun_stream_does_not_end_with_an_empty_response_of_the_second_engine() {
    let stream = SilentStream {
        latency_target_ms: 400,
        silence: SILENCE,
        patience: CALLERS_WAIT,
    };
    let (outcome, _, _fleet) = stream.run(SETTINGS, |_, it| {
        it.set_behavior(Behavior::EndsUnframed(1, 0));
    });
    assert_eq!(outcome, Outcome::Whole);
}
