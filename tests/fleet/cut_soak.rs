//! Answers of all kinds, whole and cut, while endpoints crash and entry processes are stopped, killed and started again.
//! See [`soak`] for its seeds.

use std::{collections, net, sync::atomic, thread, time};

use crate::{
    fleet::{Fleet, Process},
    soak::{self, Random},
    standin::{
        Delimiter, Message,
        caller::{Caller, Request},
        engine::{
            Behavior, ConnectionEnd, Engine, Extent, Paced, UNFRAMED_EVENTS, Unframed, event,
            paced_event, paced_lines,
        },
    },
};

/// How long the disturbances of one run follow each other.
const SOAK_TIME: time::Duration = time::Duration::from_secs(10);

/// When callers end, should the soak fail before it tells them to.
const MAX_SOAK_TIME: time::Duration = time::Duration::from_mins(1);

const CALLERS: u64 = 30;

const ENTRIES: u8 = 3;

/// The entry process that reaches endpoints through the others only.
const RELAYED: usize = 2;

/// The requests that an endpoint runs at once; further ones wait at the entry processes.
const SLOTS: usize = 16;

/// The deadline of each request.
const DEADLINE_MS: u32 = 4_000;

/// How long a caller waits before it connects again after it was refused.
const RECONNECT_DELAY: time::Duration = time::Duration::from_millis(50);

/// Timeout of a health check of a process that may not listen yet.
const READY_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// How long an endpoint does the same while no request reaches it.
const MAX_UNTRIED_TIME: time::Duration = time::Duration::from_secs(1);

/// The events of a stream that ends before its last one and is complete once it is resumed.
const HALF_OF_EVENTS: u32 = UNFRAMED_EVENTS / 2;

/// The most bytes of an event that are sent before the connection is closed.
const PART_OF_EVENT_BYTES: usize = 12;

const PATHS: [&str; 4] = ["/once/x", "/again/x", "/stream/x", "/resumable/x"];

const DELIMITERS: [Delimiter; 3] = [Delimiter::Length, Delimiter::Chunks, Delimiter::Connection];

const ENDS: [ConnectionEnd; 4] = [
    ConnectionEnd::Close,
    ConnectionEnd::HalfClose,
    ConnectionEnd::Reset,
    ConnectionEnd::Crash,
];

/// How a caller speaks to an entry process.
struct Dialect {
    version: &'static str,
    lines: &'static str,
}

const DIALECTS: [Dialect; 4] = [
    Dialect {
        version: "HTTP/1.1",
        lines: "",
    },
    Dialect {
        version: "HTTP/1.1",
        lines: "Connection: close\r\n",
    },
    Dialect {
        version: "HTTP/1.0",
        lines: "",
    },
    Dialect {
        version: "HTTP/1.0",
        lines: "Connection: keep-alive\r\n",
    },
];

/// A disturbance other than a change of what an endpoint does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Disturbance {
    Stop,
    Kill,
    Hangup,
    Crash,
}

/// As often as each of them occurs among the others.
const DISTURBANCES: [Disturbance; 6] = [
    Disturbance::Stop,
    Disturbance::Kill,
    Disturbance::Kill,
    Disturbance::Hangup,
    Disturbance::Crash,
    Disturbance::Crash,
];

/// Items in random order, each of them once before any comes again.
struct Deck<T> {
    items: Vec<T>,
    next: usize,
}

impl<T: Copy> Deck<T> {
    fn new(items: Vec<T>) -> Self {
        let next = items.len();
        Self { items, next }
    }

    fn draw(&mut self, random: &mut Random) -> T {
        if self.next == self.items.len() {
            for at in (1..self.items.len()).rev() {
                self.items.swap(at, random.below(at + 1));
            }
            self.next = 0;
        }
        self.next += 1;
        self.items[self.next - 1]
    }
}

/// What endpoints do, in a half of the cases so that each answer is whole.
struct Behaviors {
    sound: Deck<Behavior>,
    faulty: Deck<Behavior>,
}

impl Behaviors {
    fn new(sound: &[Behavior], faulty: &[Behavior], extents: &[Extent]) -> Self {
        let interval = time::Duration::ZERO;
        let mut all_sound = sound.to_vec();
        let mut all_faulty = faulty.to_vec();
        for end in ENDS {
            for &extent in extents {
                let is_sound = extent == Extent::Whole
                    && matches!(end, ConnectionEnd::Close | ConnectionEnd::HalfClose);
                let all = if is_sound {
                    &mut all_sound
                } else {
                    &mut all_faulty
                };
                all.push(Behavior::Unframed(Unframed { extent, end }));
                all.extend(DELIMITERS.map(|delimiter| {
                    Behavior::Paced(Paced {
                        delimiter,
                        extent,
                        end,
                        interval,
                    })
                }));
            }
        }
        Self {
            sound: Deck::new(all_sound),
            faulty: Deck::new(all_faulty),
        }
    }

    fn of_engines() -> Self {
        Self::new(
            &[Behavior::Streams(UNFRAMED_EVENTS)],
            &[
                Behavior::CutsAfter(0),
                Behavior::CutsAfter(HALF_OF_EVENTS),
                Behavior::CutsAfter(UNFRAMED_EVENTS),
                Behavior::CutsOnce(HALF_OF_EVENTS),
                Behavior::EndsUnframed(HALF_OF_EVENTS, 0),
                Behavior::EndsUnframed(HALF_OF_EVENTS, PART_OF_EVENT_BYTES),
            ],
            &[Extent::Whole, Extent::Part, Extent::PartOnce],
        )
    }

    fn of_plain_endpoints() -> Self {
        Self::new(
            &[
                Behavior::Answers,
                Behavior::AnswersAfter(time::Duration::from_millis(200)),
            ],
            &[Behavior::AnswersShort, Behavior::Closes],
            &[Extent::Whole, Extent::Part],
        )
    }

    fn draw(&mut self, random: &mut Random) -> Behavior {
        let is_sound = random.below(2) == 0;
        let deck = if is_sound {
            &mut self.sound
        } else {
            &mut self.faulty
        };
        match deck.draw(random) {
            Behavior::Paced(paced) => Behavior::Paced(Paced {
                interval: random.millis(1, 120),
                ..paced
            }),
            behavior => behavior,
        }
    }
}

/// A request, and what its caller has received.
struct Record {
    id: String,
    path: &'static str,
    version: &'static str,
    entry: usize,
    response: Option<Message>,
}

impl Record {
    fn is_stream(&self) -> bool {
        matches!(self.path, "/stream/x" | "/resumable/x")
    }

    /// Whether its request may be run once only.
    fn runs_once(&self) -> bool {
        matches!(self.path, "/once/x" | "/stream/x")
    }

    /// How the response ended.
    fn ending(&self) -> Ending {
        match &self.response {
            None => Ending::None,
            Some(it) if !it.whole => Ending::Cut,
            Some(it) if it.status() == 200 => Ending::Complete,
            Some(it) => Ending::Refused(it.status()),
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Ending {
    /// There is no response.
    None,
    Cut,
    Complete,
    /// Complete, with another status than 200.
    Refused(u16),
}

/// Which part of the whole answer to its request a body is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Content {
    Whole,
    /// Its beginning.
    Part,
    /// None.
    Other,
}

fn content_of_stream(id: &str, body: &str) -> Content {
    let mut rest = body;
    for number in 1..=UNFRAMED_EVENTS {
        let forms = [event(number), paced_event(id, number)];
        let after = forms.iter().find_map(|it| rest.strip_prefix(it.as_str()));
        match after {
            Some(after) => rest = after,
            None if forms.iter().any(|it| it.starts_with(rest)) => return Content::Part,
            None => return Content::Other,
        }
    }
    if rest.is_empty() {
        Content::Whole
    } else {
        Content::Other
    }
}

/// The body of [`Behavior::Answers`].
fn line(id: &str, path: &str, by: &str) -> String {
    format!("{id} {path} by {by}")
}

fn content_of_body(record: &Record, body: &str, engines: &[Engine]) -> Content {
    let (id, path) = (&record.id, record.path);
    let forms = engines.iter().flat_map(|engine| {
        let by = engine.id();
        let paced = (1..=UNFRAMED_EVENTS).map(|number| paced_lines(id, path, by, number));
        [line(id, path, by), paced.collect()]
    });
    let short = "short".to_owned();
    let forms: Vec<String> = forms.collect();
    if forms.iter().any(|it| it == body) {
        Content::Whole
    } else if forms.iter().chain([&short]).any(|it| it.starts_with(body)) {
        Content::Part
    } else {
        Content::Other
    }
}

/// The run of a request at an endpoint.
#[derive(Debug)]
struct Run<'e> {
    by: &'e str,
    behavior: Behavior,
    last_event: Option<String>,
}

impl Run<'_> {
    /// What its endpoint promised with the answer, whether it sent all of it and how it ended its connection; none where the
    /// connection stays open or the end is that of a broken answer.
    fn kind(&self) -> Option<Kind> {
        let (delimiter, extent, end) = match self.behavior {
            Behavior::Unframed(it) => (Delimiter::Connection, it.extent, it.end),
            Behavior::Paced(it) => (it.delimiter, it.extent, it.end),
            _ => return None,
        };
        let is_whole = match extent {
            Extent::Whole => true,
            Extent::Part => false,
            Extent::PartOnce => self.last_event.is_some(),
        };
        Some(Kind {
            delimiter,
            is_whole,
            end,
        })
    }

    /// The part of an answer after which its endpoint ended the connection in good order, which no peer can tell from the end
    /// of the answer; none if it did not.
    fn undetectable_part(&self, record: &Record) -> Option<Part> {
        let (id, path) = (&record.id, record.path);
        let is_undetectable = self.kind().is_some_and(|it| {
            it.delimiter == Delimiter::Connection
                && !it.is_whole
                && matches!(it.end, ConnectionEnd::Close | ConnectionEnd::HalfClose)
        });
        match self.behavior {
            Behavior::EndsUnframed(events, 0) if events < UNFRAMED_EVENTS => {
                Some(Part::Events(events))
            }
            _ if !is_undetectable => None,
            _ if record.is_stream() => Some(Part::Events(UNFRAMED_EVENTS - 1)),
            Behavior::Unframed(_) => {
                let line = line(id, path, self.by);
                Some(Part::Body(line[..line.len() / 2].to_owned()))
            }
            _ => {
                let lines = |number| paced_lines(id, path, self.by, number);
                Some(Part::Body((1..UNFRAMED_EVENTS).map(lines).collect()))
            }
        }
    }
}

/// What an endpoint promised with an answer, and how it ended it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Kind {
    delimiter: Delimiter,
    is_whole: bool,
    end: ConnectionEnd,
}

/// The part of an answer that an endpoint sends.
enum Part {
    Events(u32),
    Body(String),
}

impl Part {
    fn is(&self, body: &str) -> bool {
        match self {
            Self::Events(events) => body.matches("\n\n").count() == *events as usize,
            Self::Body(part) => part == body,
        }
    }
}

/// The runs of each request.
fn runs(engines: &[Engine]) -> collections::BTreeMap<String, Vec<Run<'_>>> {
    let mut runs: collections::BTreeMap<String, Vec<Run<'_>>> = collections::BTreeMap::new();
    for engine in engines {
        engine.log(|log| {
            for (req, behavior) in log.ran.iter().zip(&log.behaviors) {
                let id = req.header("attempt-id").unwrap_or_default().to_owned();
                runs.entry(id).or_default().push(Run {
                    by: engine.id(),
                    behavior: *behavior,
                    last_event: req.header("last-event-id").map(str::to_owned),
                });
            }
        });
    }
    runs
}

/// What is wrong with the answer to a request.
#[derive(Debug)]
enum Fault {
    RanTwice,
    /// It ran, and its caller was told that it did not.
    RanThoughRefused,
    OfAnotherRequest,
    OutOfOrder,
    CompleteThoughCut,
}

fn fault(record: &Record, runs: &[Run<'_>], engines: &[Engine]) -> Option<Fault> {
    if record.runs_once() && runs.len() > 1 {
        return Some(Fault::RanTwice);
    }
    let response = record.response.as_ref()?;
    if matches!(response.status(), 408 | 421 | 429 | 503) && !runs.is_empty() {
        return Some(Fault::RanThoughRefused);
    }
    if response.status() != 200 {
        return None;
    }
    if response.header("attempt-id") != Some(&record.id) {
        return Some(Fault::OfAnotherRequest);
    }
    let body = response.text();
    let content = if record.is_stream() {
        content_of_stream(&record.id, &body)
    } else {
        content_of_body(record, &body, engines)
    };
    match content {
        Content::Other => Some(Fault::OutOfOrder),
        Content::Part if response.whole => {
            let is_undetectable = response.delimiter == Delimiter::Connection
                && runs.iter().any(|run| {
                    let part = run.undetectable_part(record);
                    part.is_some_and(|it| it.is(&body))
                });
            (!is_undetectable).then_some(Fault::CompleteThoughCut)
        }
        Content::Part | Content::Whole => None,
    }
}

/// Sends requests on new or open connections until `is_over`.
fn call(
    entries: &[net::SocketAddrV4],
    number: u64,
    seed: u64,
    is_over: &atomic::AtomicBool,
) -> Vec<Record> {
    let mut random = Random((seed * 1_000 + number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let mut records = Vec::new();
    let mut open = None;
    let until = time::Instant::now() + MAX_SOAK_TIME;
    while !is_over.load(atomic::Ordering::Relaxed) && time::Instant::now() < until {
        let (entry, mut caller) = open.take().unwrap_or_else(|| {
            let entry = random.below(entries.len());
            (entry, Caller::connect(entries[entry]))
        });
        let Ok(connected) = &mut caller else {
            thread::sleep(RECONNECT_DELAY);
            continue;
        };
        let dialect = &DIALECTS[random.below(DIALECTS.len())];
        let path = PATHS[random.below(PATHS.len())];
        let id = format!("cut-{number}-{}", records.len());
        let request = Request {
            deadline_ms: DEADLINE_MS,
            lines: dialect.lines,
            body: &id,
            ..Request::new("POST", path, &id)
        };
        let sent = connected.send_as(dialect.version, &request);
        let response = sent.and_then(|()| connected.answer()).ok().flatten();
        if response.as_ref().is_some_and(|it| may_reuse(it, dialect)) && random.below(4) > 0 {
            open = Some((entry, caller));
        }
        records.push(Record {
            id,
            path,
            version: dialect.version,
            entry,
            response,
        });
        thread::sleep(random.millis(0, 30));
    }
    records
}

/// Whether the connection of a response stays open.
fn may_reuse(response: &Message, dialect: &Dialect) -> bool {
    let is_kept = match response.header("connection") {
        Some(value) => value.eq_ignore_ascii_case("keep-alive"),
        None => dialect.version == "HTTP/1.1",
    };
    response.whole && response.delimiter != Delimiter::Connection && is_kept
}

/// Cuts an entry process off from the endpoints if it is the one that reaches them through others.
fn cut_off(process: &Process, entry: usize, engines: &[Engine]) {
    if entry == RELAYED {
        for engine in engines {
            engine.cut_off(process.id());
        }
    }
}

/// The entry processes that don't serve.
#[derive(Default)]
struct Lost {
    /// These were told to stop.
    stopping: Vec<usize>,
    /// These were killed, and are started again at these times.
    killed: Vec<(usize, time::Instant)>,
}

impl Lost {
    fn is_killed(&self, entry: usize) -> bool {
        self.killed.iter().any(|it| it.0 == entry)
    }

    /// Starts the processes again that have ended, or, at the end of a run, all once they have ended.
    fn start_again(&mut self, fleet: &mut Fleet, engines: &[Engine], is_over: bool) {
        let now = time::Instant::now();
        for (entry, process) in fleet.entries.iter_mut().enumerate() {
            let is_stopping = self.stopping.contains(&entry);
            if is_stopping && (is_over || !process.runs()) {
                let status = process.wait();
                assert!(status.success(), "entry process {entry}: {status}");
                process.start();
                cut_off(process, entry, engines);
                self.stopping.retain(|it| *it != entry);
            }
        }
        for (entry, _) in self.killed.extract_if(.., |it| is_over || it.1 <= now) {
            fleet.entries[entry].start();
            cut_off(&fleet.entries[entry], entry, engines);
        }
    }

    /// Whether a process that serves can be lost, so that another one still does.
    fn may_lose_more(&self, entries: usize) -> bool {
        self.stopping.len() + self.killed.len() + 1 < entries
    }
}

/// Disturbs one process or endpoint. Returns whether it did.
fn disturb(
    fleet: &mut Fleet,
    engines: &[Engine],
    lost: &mut Lost,
    disturbance: Disturbance,
    random: &mut Random,
) -> bool {
    let entry = random.below(fleet.entries.len());
    let is_stopping = lost.stopping.contains(&entry);
    let is_listening = fleet.entries[entry].ready_within(READY_TIMEOUT) > 0;
    let may_lose = is_stopping || lost.may_lose_more(fleet.entries.len());
    match disturbance {
        Disturbance::Crash => engines[random.below(engines.len())].crash(),
        _ if lost.is_killed(entry) => return false,
        // A process that has just been started has no handlers of signals yet.
        Disturbance::Hangup | Disturbance::Stop if !is_stopping && !is_listening => return false,
        Disturbance::Hangup => fleet.entries[entry].signal("HUP"),
        Disturbance::Stop if !is_stopping && may_lose => {
            fleet.entries[entry].signal("TERM");
            lost.stopping.push(entry);
        }
        Disturbance::Kill if may_lose => {
            fleet.entries[entry].kill();
            lost.stopping.retain(|it| *it != entry);
            let until = time::Instant::now() + random.millis(0, 600);
            lost.killed.push((entry, until));
        }
        Disturbance::Stop | Disturbance::Kill => return false,
    }
    true
}

/// The latest change of what an endpoint does.
#[derive(Debug, Clone, Default)]
struct Change {
    at: Option<time::Instant>,
    /// The requests that it had run before.
    runs: usize,
}

impl Change {
    fn of(engine: &Engine) -> Self {
        Self {
            at: Some(time::Instant::now()),
            runs: engine.log(|log| log.ran.len()),
        }
    }

    /// Whether the endpoint has run a request since, or gets none.
    fn may_follow(&self, engine: &Engine) -> bool {
        let is_over = self.at.is_none_or(|it| it.elapsed() >= MAX_UNTRIED_TIME);
        is_over || engine.log(|log| log.ran.len()) > self.runs
    }
}

/// Changes what endpoints do at random and disturbs processes meanwhile. Returns how often each disturbance took place.
fn disturb_all(
    fleet: &mut Fleet,
    engines: &[Engine],
    random: &mut Random,
) -> collections::BTreeMap<Disturbance, usize> {
    let mut counts = collections::BTreeMap::new();
    let mut lost = Lost::default();
    let mut disturbances = Deck::new(DISTURBANCES.to_vec());
    let mut behaviors = [Behaviors::of_engines(), Behaviors::of_plain_endpoints()];
    let mut changes = vec![Change::default(); engines.len()];
    let until = time::Instant::now() + SOAK_TIME;
    while time::Instant::now() < until {
        let at = random.below(engines.len());
        if changes[at].may_follow(&engines[at]) {
            let is_plain = usize::from(engines[at].id().starts_with('p'));
            engines[at].set_behavior(behaviors[is_plain].draw(random));
            changes[at] = Change::of(&engines[at]);
        }
        if random.below(5) == 0 {
            let disturbance = disturbances.draw(random);
            if disturb(fleet, engines, &mut lost, disturbance, random) {
                *counts.entry(disturbance).or_default() += 1;
            }
        }
        thread::sleep(random.millis(20, 80));
        lost.start_again(fleet, engines, false);
    }
    lost.start_again(fleet, engines, true);
    counts
}

/// Prints how often each kind occurred, and returns those that are meant to occur and did not.
fn count(records: &[Record], runs: &[&Run<'_>]) -> Vec<String> {
    let mut answers = collections::BTreeMap::<_, usize>::new();
    for record in records {
        let delimiter = record.response.as_ref().map(|it| it.delimiter);
        let path = if record.entry == RELAYED {
            ", relayed"
        } else {
            ""
        };
        let key = format!(
            "{} {delimiter:?} {:?}{path}",
            record.version,
            record.ending()
        );
        *answers.entry(key).or_default() += 1;
    }
    let mut sent = collections::BTreeMap::<_, usize>::new();
    for run in runs {
        let kind = run.kind().map(|it| format!("{it:?}"));
        let key = kind.unwrap_or_else(|| format!("{:?}", run.behavior));
        *sent.entry(key).or_default() += 1;
    }
    println!("answers: {answers:#?}\nsent by endpoints: {sent:#?}");
    let connection = Some(Delimiter::Connection);
    let chunks = Some(Delimiter::Chunks);
    let length = Some(Delimiter::Length);
    let expected = [
        ("HTTP/1.1", length, Ending::Complete),
        ("HTTP/1.1", chunks, Ending::Complete),
        ("HTTP/1.1", chunks, Ending::Cut),
        ("HTTP/1.1", connection, Ending::Complete),
        ("HTTP/1.1", connection, Ending::Cut),
        ("HTTP/1.0", length, Ending::Complete),
        ("HTTP/1.0", connection, Ending::Complete),
        ("HTTP/1.0", connection, Ending::Cut),
    ];
    let expected = expected
        .iter()
        .map(|(version, delimiter, ending)| format!("{version} {delimiter:?} {ending:?}"));
    let was_seen = |it: &String| answers.keys().any(|key| key.starts_with(it.as_str()));
    let mut missing: Vec<_> = expected.filter(|it| !was_seen(it)).collect();
    if !answers.keys().any(|it| it.ends_with("Complete, relayed")) {
        missing.push("relayed".to_owned());
    }
    let kinds: Vec<_> = runs.iter().filter_map(|it| it.kind()).collect();
    for is_whole in [true, false] {
        let all = kinds.iter().filter(|it| it.is_whole == is_whole);
        for delimiter in DELIMITERS {
            if !all.clone().any(|it| it.delimiter == delimiter) {
                missing.push(format!("sent by {delimiter:?}, whole: {is_whole}"));
            }
        }
        let unframed = all.filter(|it| it.delimiter == Delimiter::Connection);
        for end in ENDS {
            if !unframed.clone().any(|it| it.end == end) {
                missing.push(format!("ended by {end:?}, whole: {is_whole}"));
            }
        }
    }
    missing
}

/// The beginning of a text.
fn beginning(text: &str) -> String {
    text.chars().take(120).collect()
}

/// Describes the faults of all answers: how many there are of each kind, and the first of them.
fn faults(
    records: &[Record],
    runs: &collections::BTreeMap<String, Vec<Run<'_>>>,
    engines: &[Engine],
) -> Vec<String> {
    let mut kinds = collections::BTreeMap::<_, (usize, String)>::new();
    for record in records {
        let runs = runs.get(&record.id).map_or(&[][..], Vec::as_slice);
        let Some(fault) = fault(record, runs, engines) else {
            continue;
        };
        let response = record.response.as_ref();
        let delimiter = response.map(|it| it.delimiter);
        let sent: Vec<_> = runs.iter().map(Run::kind).collect();
        let kind = format!(
            "{fault:?} {} {} by {delimiter:?} of {sent:?}",
            record.path, record.version
        );
        let describe = || {
            let text = response.map(|it| beginning(&it.text()));
            let bytes = response.map_or(0, |it| it.body.len());
            format!(
                "{} at entry process {}, {:?}, {bytes} bytes {text:?}; {runs:?}",
                record.id,
                record.entry,
                record.ending()
            )
        };
        kinds.entry(kind).or_insert_with(|| (0, describe())).0 += 1;
    }
    let kinds = kinds.into_iter();
    kinds
        .map(|(kind, (count, first))| format!("{count} of {kind}: {first}"))
        .collect()
}

/// Guards against answers that are complete for their callers though they were cut, by endpoints that end early or crash and
/// by entry processes that are stopped or killed.
#[test]
fn no_answer_that_was_cut_is_complete() {
    for seed in soak::seeds(1) {
        let (mut fleet, mut engines) = Fleet::many_ready(ENTRIES, "[retries]\nslack = 1000\n");
        engines.push(fleet.engine("e3", "engines", 35, &["m1"]));
        engines.push(fleet.engine("p3", "plain", 36, &[]));
        for engine in &engines {
            let is_plain = engine.id().starts_with('p');
            engine.set_behavior(if is_plain {
                Behavior::Answers
            } else {
                Behavior::Streams(UNFRAMED_EVENTS)
            });
            engine.set_slots(SLOTS);
        }
        cut_off(&fleet.entries[RELAYED], RELAYED, &engines);
        let addresses: Vec<_> = fleet.entries.iter().map(Process::address).collect();
        let is_over = atomic::AtomicBool::new(false);
        let (records, disturbances) = thread::scope(|scope| {
            let (addresses, is_over) = (&addresses, &is_over);
            let callers: Vec<_> = (0..CALLERS)
                .map(|number| scope.spawn(move || call(addresses, number, seed, is_over)))
                .collect();
            let disturbances = disturb_all(&mut fleet, &engines, &mut Random(seed));
            is_over.store(true, atomic::Ordering::Relaxed);
            let records = callers.into_iter().map(|it| it.join().expect("it ends"));
            let records: Vec<_> = records.flatten().collect();
            (records, disturbances)
        });
        let runs = runs(&engines);
        let missing = count(&records, &runs.values().flatten().collect::<Vec<_>>());
        let faults = faults(&records, &runs, &engines);
        println!(
            "seed {seed}: {} requests, {} reached an endpoint, {disturbances:?}; {} kinds of faults, missing: {missing:?}",
            records.len(),
            runs.len(),
            faults.len()
        );
        assert!(faults.is_empty(), "seed {seed}:\n{}", faults.join("\n"));
        assert!(missing.is_empty(), "seed {seed}: {missing:?}");
        for disturbance in DISTURBANCES {
            assert!(disturbances.contains_key(&disturbance), "{disturbance:?}");
        }
    }
}
