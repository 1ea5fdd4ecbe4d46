//! Streams in which the ids of events repeat, go back, have gaps or are missing.

use crate::{
    fleet::Fleet,
    standin::{
        Message,
        caller::Request,
        engine::{Behavior, Engine, EventIds, Raw, event_of},
    },
};

struct Case {
    name: &'static str,
    path: &'static str,
    /// Whether the caller resumes its stream of an earlier request.
    is_taken_up: bool,
    begun: &'static [&'static str],
    is_cut: bool,
    resumed: &'static [&'static str],
    status: u16,
    /// The events that reach the caller.
    events: &'static [&'static str],
    is_whole: bool,
    /// How many engines run the request.
    runs: usize,
}

impl Case {
    /// A stream that can't be resumed.
    const fn plain(
        name: &'static str,
        begun: &'static [&'static str],
        events: &'static [&'static str],
    ) -> Self {
        Self {
            name,
            path: "/stream/x",
            is_taken_up: false,
            begun,
            is_cut: false,
            resumed: &["1", "2", "3", "4"],
            status: 200,
            events,
            is_whole: begun.len() == events.len(),
            runs: 1,
        }
    }

    /// A stream that another engine resumes after `begun`.
    const fn resumed(
        name: &'static str,
        begun: &'static [&'static str],
        resumed: &'static [&'static str],
        events: &'static [&'static str],
    ) -> Self {
        Self {
            path: "/resumable/x",
            is_cut: true,
            resumed,
            is_whole: true,
            runs: 2,
            ..Self::plain(name, begun, events)
        }
    }

    /// A stream of which the caller has received event 9 with an earlier request.
    const fn taken_up(
        name: &'static str,
        resumed: &'static [&'static str],
        events: &'static [&'static str],
    ) -> Self {
        Self {
            is_taken_up: true,
            is_cut: false,
            ..Self::resumed(name, &["9"], resumed, events)
        }
    }

    /// A response that is cut after its events, or a refusal if there are none.
    const fn broken(self) -> Self {
        Self {
            is_whole: self.events.is_empty(),
            status: if self.events.is_empty() { 502 } else { 200 },
            ..self
        }
    }

    /// Checks a response, which may be one of another number of runs than expected.
    fn check(&self, answer: &Message, is_in_one_piece: bool) {
        let events: String = self.events.iter().copied().map(event_of).collect();
        let text = if answer.status() == 200 {
            answer.text()
        } else {
            String::new()
        };
        assert_eq!(
            (answer.status(), answer.whole, text),
            (self.status, self.is_whole, events),
            "{}, in one piece: {is_in_one_piece}",
            self.name
        );
    }
}

/// Sends a request that resumes a stream of which the caller has received event 9.
fn take_up(fleet: &Fleet, id: &str) -> Message {
    let first = format!("{id}-begun");
    let begun = fleet.ask(0, &Request::new("POST", "/resumable/x", &first));
    let begun = begun.expect("an answer");
    if begun.text() != event_of("9") {
        // No engine was free.
        return begun;
    }
    let lines = format!("Resumes: {first}\r\nLast-Event-Id: 9\r\n");
    let request = Request {
        lines: &lines,
        ..Request::new("POST", "/resumable/x", id)
    };
    fleet.ask(0, &request).expect("an answer")
}

fn runs(engines: &[Engine], id: &str) -> usize {
    engines.iter().map(|it| it.runs(id)).sum()
}

/// How many engines have run a request without having been asked to resume its stream.
fn begun_runs(engines: &[Engine], id: &str) -> usize {
    let is_begun =
        |it: &&Message| it.header("attempt-id") == Some(id) && it.header("last-event-id").is_none();
    let counts = engines
        .iter()
        .map(|it| it.log(|log| log.ran.iter().filter(is_begun).count()));
    counts.sum()
}

/// Has all engines stream as in each case, with the events one by one and all at once, and checks what reaches callers.
fn check(cases: &[Case]) {
    let (fleet, engines) = Fleet::ready_with("[retries]\nslack = 100\n");
    for case in cases {
        for is_in_one_piece in [false, true] {
            for engine in &engines {
                engine.set_behavior(Behavior::StreamsIds(EventIds {
                    begun: case.begun,
                    is_cut: case.is_cut,
                    resumed: case.resumed,
                    is_in_one_piece,
                }));
            }
            let mut number = 0;
            // An engine that has failed gets no requests for a while.
            fleet.until(case.name, || {
                number += 1;
                let id = format!("{}-{is_in_one_piece}-{number}", case.name.replace(' ', "-"));
                let answer = if case.is_taken_up {
                    take_up(&fleet, &id)
                } else {
                    let request = Request::new("POST", case.path, &id);
                    fleet.ask(0, &request).expect("an answer")
                };
                // A stream that has not begun after a second begins at another engine too.
                let begun = usize::from(!case.is_taken_up);
                let has_run =
                    runs(&engines, &id) == case.runs && begun_runs(&engines, &id) == begun;
                let events: String = case.events.iter().copied().map(event_of).collect();
                let is_wrong = answer.status() == 200 && !events.starts_with(&answer.text());
                if has_run || is_wrong {
                    case.check(&answer, is_in_one_piece);
                }
                has_run
            });
        }
    }
}

/// Guards against an event that reaches a caller twice, or after a later one, because its engine sends it so.
#[test]
fn a_stream_whose_ids_do_not_increase_is_broken_off() {
    check(&[
        Case::plain("twice", &["1", "2", "2", "3"], &["1", "2"]),
        Case::plain("earlier", &["1", "2", "3", "1"], &["1", "2", "3"]),
        Case::plain("other twice", &["a", "b", "b"], &["a", "b"]),
        Case::plain("earlier after other", &["5", "a", "4"], &["5", "a"]),
        Case::plain("twice around none", &["1", "", "1"], &["1", ""]),
    ]);
}

/// Guards against sound streams that are broken off: gaps, and ids that have no order.
#[test]
fn a_stream_whose_ids_have_gaps_or_no_order_is_whole() {
    check(&[
        Case::plain(
            "gaps",
            &["0", "1", "5", "9", "10"],
            &["0", "1", "5", "9", "10"],
        ),
        Case::plain(
            "others",
            &["b", "a", "b", "-1", "-2"],
            &["b", "a", "b", "-1", "-2"],
        ),
        Case::plain("none", &["", "", "1", "", "2"], &["", "", "1", "", "2"]),
    ]);
}

/// Guards against an event that reaches a caller twice, or after a later one, because the engine that resumes its stream
/// begins anew or repeats events.
#[test]
fn a_stream_that_is_resumed_goes_on_after_its_last_event_or_is_cut() {
    let (three, five) = (&["1", "2", "3"], &["1", "2", "3", "4", "5"]);
    check(&[
        Case::resumed("sound", three, &["4", "5"], five),
        Case::resumed("gap", three, &["6", "9"], &["1", "2", "3", "6", "9"]),
        Case::resumed("anew", three, &["1", "2", "3", "4"], three).broken(),
        Case::resumed("last again", three, &["3", "4"], three).broken(),
        Case::resumed("twice later", three, &["4", "5", "5"], five).broken(),
        Case::resumed("twice before", &["1", "2", "3", "3"], &["4", "5"], five),
        Case::resumed("earlier before", &["1", "2", "3", "2"], &["4", "5"], five),
    ]);
}

/// The same where the caller resumes its stream with a request of its own.
#[test]
fn a_stream_that_its_caller_resumes_goes_on_after_its_last_event_or_is_refused() {
    let sound = Case::taken_up("sound", &["10", "12"], &["10", "12"]);
    check(&[
        Case { runs: 1, ..sound },
        Case::taken_up("anew", &["1", "2", "3"], &[]).broken(),
        Case::taken_up("last again", &["9", "10"], &[]).broken(),
        Case::taken_up("anew after two events", &["10", "11", "1"], &["10", "11"]).broken(),
    ]);
}

/// Guards against an event without an id that reaches a caller twice, since the engine that resumes its stream goes on after
/// the last event that has one.
#[test]
fn a_stream_is_not_resumed_after_an_event_without_an_id() {
    let cut = |case: Case| Case {
        runs: 1,
        ..case.broken()
    };
    check(&[
        cut(Case::resumed(
            "none last",
            &["1", "2", ""],
            &["", "3"],
            &["1", "2", ""],
        )),
        cut(Case::resumed("none only", &["", ""], &["", "1"], &["", ""])),
        Case::resumed("none before", &["1", "", "2"], &["3"], &["1", "", "2", "3"]),
    ]);
}

/// Guards against a caller that can't resume its stream because one of the engines begins it anew.
#[test]
fn a_stream_that_its_caller_resumes_goes_on_at_a_sound_engine() {
    let (fleet, engines) = Fleet::ready_with("[retries]\nslack = 100\n");
    let ids = |resumed| {
        Behavior::StreamsIds(EventIds {
            begun: &["9"],
            is_cut: false,
            resumed,
            is_in_one_piece: false,
        })
    };
    let mut number = 0;
    fleet.until("an engine has begun a stream anew", || {
        // The one that is preferred would get all of them otherwise.
        let (broken, sound) = (&engines[number % 2], &engines[(number + 1) % 2]);
        broken.set_behavior(ids(&["1", "2", "3"]));
        sound.set_behavior(ids(&["10", "11"]));
        number += 1;
        let id = format!("taken-up-{number}");
        let answer = take_up(&fleet, &id);
        assert_eq!(answer.text(), event_of("10") + &event_of("11"), "{id}");
        assert!(answer.whole, "{id}");
        broken.runs(&id) > 0
    });
    let log = fleet.entries[0].log();
    let logged = "endpoint sent an event out of order";
    let line = log.lines().find(|it| it.contains(logged));
    let line = line.expect("a line for it");
    for value in [
        "\"last\":\"9\"",
        "\"event\":\"1\"",
        "\"request\":\"taken-up-",
    ] {
        assert!(line.contains(value), "{value}: {line}");
    }
}

const IDS_GO_BACK: Raw = Raw {
    line: "HTTP/1.1 200 OK\r\n",
    rest: "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 2\n\nid: 1\n\n\n\r\n0\r\n\r\n",
};

const ENDS_WITHOUT_EMPTY_LINE: Raw = Raw {
    line: "HTTP/1.1 200 OK\r\n",
    rest: "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nd\r\nid: 2\n\nid: 2\n\r\n0\r\n\r\n",
};

/// Sends requests until an endpoint has run one, and returns the response to it.
fn ask(path: &str, raw: Raw) -> Message {
    let (fleet, engines) = Fleet::ready_with("[retries]\nslack = 100\n");
    for engine in &engines {
        engine.set_behavior(Behavior::Sends(raw));
    }
    let (mut number, mut last) = (0, None);
    fleet.until("an endpoint has run a request", || {
        number += 1;
        let id = format!("raw-{number}");
        last = fleet.ask(0, &Request::new("POST", path, &id));
        runs(&engines, &id) > 0
    });
    last.expect("an answer")
}

/// Guards against a repeated event at the end of a stream that no empty line follows.
#[test]
fn a_stream_that_ends_with_a_repeated_event_without_an_empty_line_is_cut() {
    let answer = ask("/stream/x", ENDS_WITHOUT_EMPTY_LINE);
    assert_eq!(answer.text(), "id: 2\n\n");
    assert!(!answer.whole);
}

/// Guards against a response that is broken off though nothing says that the ids of its route increase.
#[test]
fn events_of_routes_without_streams_have_ids_in_any_order() {
    for path in ["/once/x", "/again/x"] {
        let answer = ask(path, IDS_GO_BACK);
        assert_eq!(answer.text(), "id: 2\n\nid: 1\n\n\n", "{path}");
        assert!(answer.whole, "{path}");
    }
}
