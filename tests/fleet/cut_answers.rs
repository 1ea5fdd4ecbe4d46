//! Responses with neither a length nor chunks, which end with their connection and may do so early.

use std::{io::Read as _, time};

use crate::{
    fleet::Fleet,
    standin::{
        Delimiter, Message,
        caller::{Caller, Request},
        engine::{
            Behavior, ConnectionEnd, Endless, Engine, Extent, Paced, UNFRAMED_EVENTS, Unframed,
            event, paced_event, paced_lines,
        },
    },
};

/// Requests that an endpoint runs in each case.
const RUNS: usize = 4;

/// The routes: to plain endpoints and to engines, each for requests that may run once only, or again.
const PATHS: [&str; 4] = ["/once/x", "/again/x", "/stream/x", "/resumable/x"];

struct Case {
    path: &'static str,
    unframed: Unframed,
}

impl Case {
    fn all(extent: Extent, end: ConnectionEnd) -> impl Iterator<Item = Self> {
        PATHS.into_iter().map(move |path| Self {
            path,
            unframed: Unframed { extent, end },
        })
    }

    fn is_stream(&self) -> bool {
        matches!(self.path, "/stream/x" | "/resumable/x")
    }

    /// Whether `answer` holds all of the response.
    fn is_complete(&self, answer: &Message) -> bool {
        if self.is_stream() {
            answer.text() == (1..=UNFRAMED_EVENTS).map(event).collect::<String>()
        } else {
            let text = answer.text();
            text.ends_with(" by p1") || text.ends_with(" by p2")
        }
    }
}

/// The responses of a case that reached callers.
fn answers(fleet: &Fleet, engines: &[Engine], case: &Case) -> Vec<Message> {
    for engine in engines {
        engine.set_behavior(Behavior::Unframed(case.unframed));
    }
    let mut answers = Vec::new();
    let mut number = 0;
    // An endpoint that has failed gets no requests for a while.
    fleet.until("endpoints have run the requests", || {
        number += 1;
        let id = format!("{:?}{}-{number}", case.unframed, case.path).replace(' ', "");
        let request = Request {
            body: &id,
            ..Request::new("POST", case.path, &id)
        };
        let answer = fleet.ask(0, &request).expect("an answer");
        if engines.iter().any(|it| it.runs(&id) > 0) {
            answers.push(answer);
        }
        answers.len() == RUNS
    });
    answers
}

/// What is wrong with the responses of a case.
fn describe(case: &Case, wrong: &[Message]) -> Option<String> {
    let first = wrong.first()?;
    Some(format!(
        "{} {:?}: {} of {RUNS}, by {:?}, {}",
        case.path,
        case.unframed,
        wrong.len(),
        first.delimiter,
        first.text(),
    ))
}

/// Plays all `cases`, and checks that no response is wrong.
fn check(cases: impl Iterator<Item = Case>, is_wrong: impl Fn(&Case, &Message) -> bool) {
    let (fleet, engines) = Fleet::ready_with("[retries]\nslack = 1000\n");
    let mut wrong = Vec::new();
    for case in cases {
        let mut answers = answers(&fleet, &engines, &case);
        answers.retain(|it| is_wrong(&case, it));
        wrong.extend(describe(&case, &answers));
    }
    assert_eq!(wrong, Vec::<String>::new());
}

/// Whether a part of a response is complete for its caller.
fn is_complete_part(case: &Case, answer: &Message) -> bool {
    answer.status() == 200 && answer.whole && !case.is_complete(answer)
}

/// Guards against a response which may have ended early and that reaches its caller as complete: with a length or a last
/// chunk that its endpoint has not sent.
#[test]
fn a_response_that_only_its_connection_delimits_is_not_passed_on_as_complete() {
    let ends = [ConnectionEnd::Close, ConnectionEnd::HalfClose];
    let cases = ends.map(|end| Case::all(Extent::Part, end));
    check(cases.into_iter().flatten(), |_, it| {
        it.status() == 200 && it.delimiter != Delimiter::Connection
    });
}

/// Guards against a complete response that does not reach its caller, since only its connection delimits it.
#[test]
fn a_complete_response_that_only_its_connection_delimits_is_passed_on() {
    let ends = [ConnectionEnd::Close, ConnectionEnd::HalfClose];
    let cases = ends.map(|end| Case::all(Extent::Whole, end));
    check(cases.into_iter().flatten(), |case, it| {
        !it.whole || !case.is_complete(it)
    });
}

/// Guards against a part of a response that reaches its caller as complete after the connection to its endpoint was reset.
#[test]
fn a_response_cut_by_a_reset_is_not_complete() {
    let extents = [Extent::Part, Extent::PartOnce];
    let cases = extents.map(|extent| Case::all(extent, ConnectionEnd::Reset));
    check(cases.into_iter().flatten(), is_complete_part);
}

/// Guards against a part of a response that reaches its caller as complete though its endpoint has crashed: the system of a
/// process that ends closes its connections in good order.
#[test]
fn a_response_cut_by_a_crash_of_its_endpoint_is_not_complete() {
    let extents = [Extent::Part, Extent::PartOnce];
    let cases = extents.map(|extent| Case::all(extent, ConnectionEnd::Crash));
    check(cases.into_iter().flatten(), is_complete_part);
}

/// Guards against a part of a response that reaches its caller as complete, since its endpoint has announced that it stops and
/// was ended inside the response, though another one could serve the request.
#[test]
fn a_response_cut_by_the_end_of_a_leaving_endpoint_is_served_by_another_one() {
    let (fleet, engines) = Fleet::ready_with("[retries]\nslack = 1000\n");
    let unframed = |extent, end| Unframed { extent, end };
    let cut = unframed(Extent::Part, ConnectionEnd::Crash);
    let whole = unframed(Extent::Whole, ConnectionEnd::Close);
    for (path, pair) in [("/again/x", &engines[2..]), ("/resumable/x", &engines[..2])] {
        let case = Case {
            path,
            unframed: cut,
        };
        let mut requests = 0;
        fleet.until("an endpoint that leaves is ended", || {
            // The endpoint that is preferred would get all of them otherwise.
            let [leaving, other] = [&pair[requests % 2], &pair[(requests + 1) % 2]];
            leaving.set_behavior(Behavior::Unframed(cut));
            leaving.set_leaving_header();
            other.set_behavior(Behavior::Unframed(whole));
            other.set_limit(None);
            requests += 1;
            let id = format!("leaving-{}-{requests}", path.len());
            let answer = fleet.ask(0, &Request::new("POST", path, &id));
            let answer = answer.expect("an answer");
            let is_cut = leaving.runs(&id) > 0;
            assert!(!is_cut || answer.whole, "{id}");
            assert!(
                !is_cut || case.is_complete(&answer),
                "{id}: {}",
                answer.text()
            );
            is_cut
        });
    }
}

/// How long before the end of a leaving endpoint its last response is complete.
const BEFORE_END: time::Duration = time::Duration::from_millis(100);

/// Guards against a part of a response that reaches its caller as complete, since its endpoint has announced that it stops, was
/// ended inside the response, and no other one may serve the request; and against a complete one that is cut, since its
/// endpoint ends soon after it.
#[test]
fn a_response_of_a_leaving_endpoint_is_complete_only_if_it_ends_before_its_endpoint() {
    let cut = Unframed {
        extent: Extent::Part,
        end: ConnectionEnd::Crash,
    };
    let in_time = Unframed {
        extent: Extent::Whole,
        end: ConnectionEnd::Close,
    };
    let cases = ["/once/x", "/stream/x"]
        .into_iter()
        .flat_map(|path| [cut, in_time].map(|unframed| Case { path, unframed }));
    let (fleet, engines) = Fleet::ready_with("[retries]\nslack = 1000\n");
    let mut wrong = Vec::new();
    for case in cases {
        let Case { path, unframed } = case;
        let mut answers = 0;
        let mut number = 0;
        fleet.until("leaving endpoints have run the requests", || {
            number += 1;
            for engine in &engines {
                engine.set_behavior(Behavior::Unframed(unframed));
                engine.set_leaving_header();
            }
            let id = format!("{:?}{path}-{number}", unframed.extent).replace(' ', "");
            let answer = std::thread::scope(|scope| {
                let asked = scope.spawn(|| fleet.ask(0, &Request::new("POST", path, &id)));
                let is_run = || engines.iter().any(|it| it.runs(&id) > 0);
                while !asked.is_finished() && !is_run() {
                    std::thread::sleep(time::Duration::from_millis(1));
                }
                std::thread::sleep(BEFORE_END);
                // Those that have not crashed by themselves: another one may be known to leave too.
                let crashes = unframed.end == ConnectionEnd::Crash;
                for engine in engines.iter().filter(|it| !crashes || it.runs(&id) == 0) {
                    engine.crash();
                }
                asked.join().expect("a thread").expect("an answer")
            });
            if engines.iter().any(|it| it.runs(&id) > 0) {
                answers += 1;
                let is_right = if unframed.extent == Extent::Whole {
                    answer.whole && case.is_complete(&answer)
                } else {
                    !is_complete_part(&case, &answer)
                };
                if !is_right {
                    wrong.push(format!("{path} {unframed:?}: {}", answer.text()));
                }
            }
            answers == RUNS
        });
    }
    assert_eq!(wrong, Vec::<String>::new());
}

/// The interval between the pieces of a response that ends while its entry process is suspended.
const PIECE_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Guards against a part of a response that reaches its caller as complete, since its entry process was suspended while its
/// endpoint crashed and was started again; and against a whole one that ended meanwhile and is cut.
#[test]
fn a_response_that_ends_while_its_entry_process_is_suspended_is_complete_only_if_it_is_whole() {
    let (fleet, engines) = Fleet::ready_with("[retries]\nslack = 1000\n");
    let paced = Paced {
        delimiter: Delimiter::Connection,
        extent: Extent::Whole,
        end: ConnectionEnd::Close,
        interval: PIECE_INTERVAL,
    };
    for engine in &engines {
        engine.set_behavior(Behavior::Paced(paced));
    }
    let mut wrong = Vec::new();
    let paths = ["/once/x", "/stream/x"];
    for (path, crashes) in paths.into_iter().flat_map(|it| [(it, true), (it, false)]) {
        for number in 0..RUNS {
            let id = format!("suspended{path}-{crashes}-{number}");
            let answer = std::thread::scope(|scope| {
                let asked = scope.spawn(|| fleet.ask(0, &Request::new("POST", path, &id)));
                let is_run = || engines.iter().any(|it| it.runs(&id) > 0);
                fleet.until("an endpoint runs the request", || {
                    is_run() || asked.is_finished()
                });
                std::thread::sleep(PIECE_INTERVAL * 3 / 2);
                fleet.entries[0].signal("STOP");
                for engine in engines.iter().filter(|it| crashes && it.runs(&id) > 0) {
                    engine.crash();
                    fleet.until("it was started again", || engine.is_listening());
                }
                std::thread::sleep(PIECE_INTERVAL * (UNFRAMED_EVENTS + 1));
                fleet.entries[0].signal("CONT");
                asked.join().expect("a thread").expect("an answer")
            });
            let is_right = if crashes {
                answer.status() != 200 || !answer.whole
            } else {
                answer.whole && has_all_pieces(path, &id, &answer)
            };
            if !is_right {
                wrong.push(format!("{id}: {} bytes", answer.text().len()));
            }
        }
    }
    assert_eq!(wrong, Vec::<String>::new());
}

/// Whether `answer` to the request `id` has all pieces of a paced response.
fn has_all_pieces(path: &str, id: &str, answer: &Message) -> bool {
    let text = answer.text();
    (1..=UNFRAMED_EVENTS).all(|number| {
        let mut pieces = match path {
            "/stream/x" => vec![paced_event(id, number)],
            _ => ["p1", "p2"]
                .map(|by| paced_lines(id, path, by, number))
                .into(),
        };
        pieces.retain(|it| text.contains(it.as_str()));
        !pieces.is_empty()
    })
}

/// What two engines do, of which the one that gets a stream first breaks it off and the other one resumes it.
struct Resumption {
    behaviors: [Behavior; 2],
    /// By what the response of the engine that breaks the stream off is delimited.
    first: Delimiter,
    /// Whether its caller can know that the resumed stream is complete.
    is_complete: bool,
}

/// Guards against a resumed stream that its caller receives as complete by a last chunk, though the connection of the engine
/// that resumed it has just ended; and against a complete one that is cut.
#[test]
fn a_resumed_stream_has_a_last_chunk_only_if_its_engine_has_sent_one() {
    let unframed = |extent, end| Behavior::Unframed(Unframed { extent, end });
    let cases = [
        Resumption {
            behaviors: [
                Behavior::CutsAfter(2),
                unframed(Extent::Whole, ConnectionEnd::Close),
            ],
            first: Delimiter::Chunks,
            is_complete: false,
        },
        Resumption {
            behaviors: [
                unframed(Extent::Part, ConnectionEnd::Reset),
                Behavior::Streams(UNFRAMED_EVENTS),
            ],
            first: Delimiter::Connection,
            is_complete: true,
        },
    ];
    let (fleet, engines) = Fleet::ready_with("[retries]\nslack = 1000\n");
    let all: String = (1..=UNFRAMED_EVENTS).map(event).collect();
    for (number, case) in cases.into_iter().enumerate() {
        let mut resumed = 0;
        let mut requests = 0;
        fleet.until("streams are resumed", || {
            // The engine that is preferred would get all of them otherwise.
            let behaviors = case.behaviors.iter().cycle().skip(requests % 2);
            for (engine, behavior) in engines[..2].iter().zip(behaviors) {
                engine.set_behavior(*behavior);
            }
            requests += 1;
            let id = format!("resumed-{number}-{requests}");
            let answer = fleet.ask(0, &Request::new("POST", "/resumable/x", &id));
            let answer = answer.expect("an answer");
            if engines[..2].iter().all(|it| it.runs(&id) > 0) {
                resumed += 1;
                assert_eq!(answer.text(), all, "{id}");
                assert_eq!(answer.delimiter, case.first, "{id}");
                assert_eq!(answer.whole, case.is_complete, "{id}");
            }
            resumed == RUNS
        });
    }
}

/// Guards against a stream that its caller receives as complete by a last chunk, though the engine that resumed it has sent
/// none of the missing events.
#[test]
fn a_stream_resumed_without_an_event_is_not_complete() {
    let (fleet, engines) = Fleet::ready_with("[retries]\nslack = 1000\n");
    let mut resumed = 0;
    let mut requests = 0;
    let mut wrong = 0;
    fleet.until("streams are resumed", || {
        let behaviors = [Behavior::CutsAfter(2), Behavior::Streams(2)];
        let behaviors = behaviors.iter().cycle().skip(requests % 2);
        for (engine, behavior) in engines[..2].iter().zip(behaviors) {
            engine.set_behavior(*behavior);
        }
        requests += 1;
        let id = format!("resumed-{requests}");
        let answer = fleet
            .ask(0, &Request::new("POST", "/resumable/x", &id))
            .expect("an answer");
        if engines[..2].iter().all(|it| it.runs(&id) > 0) {
            resumed += 1;
            wrong += usize::from(answer.whole && answer.delimiter == Delimiter::Chunks);
        }
        resumed == RUNS
    });
    assert_eq!(wrong, 0);
}

/// A stream that its caller can't tell from a complete one if it ends with its connection in good order.
struct OpenEnd {
    name: &'static str,
    /// The version of HTTP that the caller uses.
    version: &'static str,
    behavior: Behavior,
}

/// A stream with neither a length nor chunks that pauses after the event [`UNFRAMED_EVENTS`].
const UNFRAMED_WITHOUT_END: Endless = Endless {
    head: "HTTP/1.1 200 OK\r\nResponse-Signature: s1.g\r\nContent-Type: text/event-stream\r\n",
    rest: "\r\nid: 1\ndata: event 1\n\nid: 4\ndata: event 4\n\n",
    bytes: "",
    interval: time::Duration::from_millis(50),
};

/// Guards against a part of a stream that is complete for its caller, since the entry process was killed and its system has
/// closed the connection in good order.
#[test]
fn a_stream_cut_by_the_end_of_its_entry_process_is_not_complete() {
    let cases = [
        OpenEnd {
            name: "a caller of HTTP/1.0",
            version: "HTTP/1.0",
            behavior: Behavior::HangsAfter(UNFRAMED_EVENTS),
        },
        OpenEnd {
            name: "a stream without chunks",
            version: "HTTP/1.1",
            behavior: Behavior::Endless(UNFRAMED_WITHOUT_END),
        },
    ];
    let (mut fleet, engines) = Fleet::ready();
    for case in cases {
        for engine in &engines {
            engine.set_behavior(case.behavior);
        }
        let mut caller = Caller::connect(fleet.entries[0].address()).expect("it accepts");
        let request = Request {
            body: "part",
            ..Request::new("POST", "/stream/x", case.version)
        };
        caller.send_as(case.version, &request).expect("it reads");
        let mut received = Vec::new();
        let last = event(UNFRAMED_EVENTS);
        while !String::from_utf8_lossy(&received).ends_with(&last) {
            let mut buf = [0; 1024];
            let n = caller.stream.read(&mut buf).expect("an event");
            assert_ne!(n, 0, "{}", String::from_utf8_lossy(&received));
            received.extend_from_slice(&buf[..n]);
        }
        fleet.entries[0].kill();
        let rest = caller.stream.read_to_end(&mut received);
        assert!(rest.is_err(), "{}: {rest:?}", case.name);
        fleet.entries[0].start();
        let process = &fleet.entries[0];
        fleet.until("it serves again", || {
            process.ready_within(time::Duration::from_secs(1)) == 200
        });
    }
}
