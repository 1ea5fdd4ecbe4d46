//! Endpoints that send responses which break the rules of HTTP.

use crate::{
    fleet::Fleet,
    standin::{
        caller::{Caller, Request},
        engine::{Behavior, ConnectionEnd, HeadPart, Raw},
    },
};

/// The body of each broken response, which no caller may receive.
const BODY: &str = "broken";

/// The framing and the body of a response, behind its headers.
const WITH_LENGTH: &str = "Content-Length: 6\r\n\r\nbroken";
const WITHOUT_LENGTH: &str = "\r\nbroken";
const IN_CHUNKS: &str = "Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n";

fn case(name: &'static str, line: &'static str, rest: &'static str) -> (&'static str, Behavior) {
    (name, Behavior::Sends(Raw { line, rest }))
}

/// Has all endpoints handle requests as each of these, and checks that the callers of requests which may run once or twice are
/// told that the endpoint failed.
fn check(cases: impl IntoIterator<Item = (&'static str, Behavior)>) {
    let (fleet, engines) = Fleet::ready_with("[retries]\nslack = 100\n");
    let mut passed_on = Vec::new();
    for (case, (name, behavior)) in cases.into_iter().enumerate() {
        for engine in &engines {
            engine.set_behavior(behavior);
        }
        for path in ["/once/x", "/again/x", "/stream/x", "/resumable/x"] {
            let mut number = 0;
            // An endpoint that has failed gets no requests for a while.
            fleet.until("an endpoint has responded", || {
                number += 1;
                let id = format!("{case}{path}-{number}");
                let answer = fleet.ask(0, &Request::new("POST", path, &id));
                let answer = answer.expect("an answer");
                let has_run = engines.iter().any(|it| it.runs(&id) > 0);
                if has_run && (answer.status() != 502 || answer.text().contains(BODY)) {
                    passed_on.push((name, behavior, path, answer.status(), answer.text()));
                }
                has_run
            });
        }
    }
    assert_eq!(passed_on, []);
}

/// The head of a response, and the number of its lines with the empty one.
struct Head {
    name: &'static str,
    response: Raw,
    lines: usize,
}

const fn head(name: &'static str, line: &'static str, rest: &'static str, lines: usize) -> Head {
    let response = Raw { line, rest };
    Head {
        name,
        response,
        lines,
    }
}

/// The bytes of a line that are sent: none, some, and all but the line feed.
const BYTES: [usize; 3] = [0, 9, usize::MAX];

/// How an endpoint ends the connection, in turn.
const ENDS: [ConnectionEnd; 3] = [
    ConnectionEnd::Close,
    ConnectionEnd::HalfClose,
    ConnectionEnd::Reset,
];

impl Head {
    /// A part of it for each line and number of bytes, with the endings in turn.
    fn parts(&self) -> impl Iterator<Item = HeadPart> {
        let head = self.response;
        (0..self.lines).flat_map(move |lines| {
            let turns = ENDS.into_iter().cycle().skip(lines);
            BYTES
                .into_iter()
                .zip(turns)
                .map(move |(bytes, end)| HeadPart {
                    head,
                    lines,
                    bytes,
                    end,
                })
        })
    }
}

/// Guards against a caller that gets a part of a head as a response with an empty or short body.
#[test]
fn a_response_that_ends_inside_its_head_is_not_passed_on() {
    let heads = [
        head(
            "length first",
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
            "\r\n",
            5,
        ),
        head(
            "length last",
            "HTTP/1.1 200 OK\r\n",
            "Content-Length: 6\r\n\r\n",
            5,
        ),
        head(
            "chunked",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
            "\r\n",
            5,
        ),
        head("neither", "HTTP/1.1 200 OK\r\n", "\r\n", 4),
        head("HTTP/1.0", "HTTP/1.0 200 OK\r\n", "\r\n", 4),
    ];
    let parts = heads
        .iter()
        .flat_map(|head| head.parts().map(|it| (head.name, Behavior::EndsInHead(it))));
    check(parts);
}

/// A response whose first line, id and signature are followed by further fields.
const WITH_FIELDS: Raw = Raw {
    line: "HTTP/1.1 200 OK\r\n",
    rest: "Content-Type: text/plain\r\nContent-Length: 6\r\n\r\nbroken",
};

/// The part of [`WITH_FIELDS`] with these lines and bytes of the next one, and then all of it.
const fn joined(lines: usize, bytes: usize) -> Behavior {
    let part = HeadPart {
        head: WITH_FIELDS,
        lines,
        bytes,
        end: ConnectionEnd::Close,
    };
    Behavior::BeginsTwice(part, WITH_FIELDS)
}

/// Guards against a caller that gets two responses as one, the first of which ended inside its head.
#[test]
fn two_responses_that_are_joined_inside_a_head_are_not_passed_on() {
    check([
        ("before a value", joined(3, "Content-Type: ".len())),
        ("in a value", joined(3, "Content-Type: tex".len())),
        (
            "behind a value",
            joined(3, "Content-Type: text/plain".len()),
        ),
        ("in a signature", joined(2, "Response-Signature: s1".len())),
        (
            "behind a signature",
            joined(2, "Response-Signature: s1.g".len()),
        ),
        ("in a name", joined(3, "Content-Ty".len())),
        ("between two lines", joined(3, 0)),
    ]);
}

/// A response whose first line and first field come before its id and signature.
const WITH_FIELD_FIRST: Raw = Raw {
    line: "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n",
    rest: "Content-Length: 6\r\n\r\nbroken",
};

/// The part of [`WITH_FIELD_FIRST`] with these lines and bytes of the next one, and then a failure.
const fn joined_early(lines: usize, bytes: usize) -> Behavior {
    let part = HeadPart {
        head: WITH_FIELD_FIRST,
        lines,
        bytes,
        end: ConnectionEnd::Close,
    };
    let failure = Raw {
        line: "HTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\n",
        ..WITH_FIELD_FIRST
    };
    Behavior::BeginsTwice(part, failure)
}

/// Guards against a caller that gets the body of one response with the status of another, of which neither the id nor the
/// signature has come.
#[test]
fn two_responses_that_are_joined_before_the_id_are_not_passed_on() {
    check([
        (
            "in a reason phrase",
            joined_early(0, "HTTP/1.1 200 O".len()),
        ),
        ("before a value", joined_early(1, "Content-Type: ".len())),
        ("in a value", joined_early(1, "Content-Type: tex".len())),
        (
            "behind a value",
            joined_early(1, "Content-Type: text/plain".len()),
        ),
        ("in a name", joined_early(1, "Content-Ty".len())),
    ]);
}

/// Guards against a part of a response that cannot be told from a whole one afterwards: a second response has filled its
/// length, and the rest of it came behind.
#[test]
fn bytes_behind_a_response_are_logged_and_counted() {
    let (fleet, engines) = Fleet::ready();
    let set = |behavior| {
        for engine in &engines {
            engine.set_behavior(behavior);
        }
    };
    let counter = "sageshed_gateway_responses_with_surplus_total";
    let count = || fleet.entries[0].metric(counter);
    let ask = |path, id: &str| {
        let answer = fleet.ask(0, &Request::new("POST", path, id));
        answer.expect("an answer").status()
    };
    let with_surplus = [
        ("length", "Content-Length: 6\r\n\r\nbroHTTP/1.1 200 OK\r\n"),
        ("chunked", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nx"),
        (
            "stream",
            "Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\nx",
        ),
    ];
    for (number, (name, rest)) in with_surplus.into_iter().enumerate() {
        let line = "HTTP/1.1 200 OK\r\n";
        set(Behavior::Sends(Raw { line, rest }));
        assert_eq!(ask("/once/x", name), 200);
        fleet.until("it is counted", || count() >= (number + 1) as f64);
        let told = |line: &&str| line.contains("after the end of its response");
        let mut log = String::new();
        fleet.until("it is logged", || {
            log = fleet.entries[0].log();
            log.lines().filter(told).count() > number
        });
        let lines: Vec<_> = log.lines().filter(told).collect();
        assert_eq!(lines.len(), number + 1, "{lines:?}");
        let has_names = |it: &str| it.contains(name) && it.contains("@1764700000000");
        assert!(has_names(lines[number]), "{name}: {lines:?}");
    }
    set(Behavior::Answers);
    assert_eq!(ask("/once/x", "sound"), 200);
    set(Behavior::Streams(2));
    assert_eq!(ask("/stream/x", "sound stream"), 200);
    assert_eq!(count().to_string(), with_surplus.len().to_string());
}

/// Guards against a caller of HEAD that is told another length than its endpoint gives.
#[test]
fn a_response_to_head_has_the_length_that_its_endpoint_gives() {
    let (fleet, engines) = Fleet::ready();
    for (number, (rest, length)) in [
        ("Content-Length: 100\r\n\r\n", Some("100")),
        ("Content-Length: 0\r\n\r\n", Some("0")),
        ("Transfer-Encoding: chunked\r\n\r\n", None),
        ("\r\n", None),
    ]
    .into_iter()
    .enumerate()
    {
        let line = "HTTP/1.1 200 OK\r\n";
        for engine in &engines {
            engine.set_behavior(Behavior::Sends(Raw { line, rest }));
        }
        let id = format!("head-{number}");
        let answer = fleet.ask(
            0,
            &Request {
                lines: "Connection: close\r\n",
                ..Request::new("HEAD", "/again/x", &id)
            },
        );
        let answer = answer.expect("an answer");
        assert_eq!(answer.status(), 200, "{}", answer.head);
        assert_eq!(answer.header("content-length"), length, "{}", answer.head);
        assert_eq!(answer.text(), "");
    }
}

/// Guards against the body of a response which has none by its status, and which is taken for the next response.
#[test]
fn bytes_behind_a_response_without_a_body_are_dropped() {
    let (fleet, engines) = Fleet::ready();
    let set = |behavior| {
        for engine in &engines {
            engine.set_behavior(behavior);
        }
    };
    let rests = [
        WITH_LENGTH,
        WITHOUT_LENGTH,
        IN_CHUNKS,
        "\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nbroken",
        "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: broken\n\n",
    ];
    for line in [
        "HTTP/1.1 204 No Content\r\n",
        "HTTP/1.1 304 Not Modified\r\n",
    ] {
        for rest in rests {
            let address = fleet.entries[0].address();
            let mut caller = Caller::connect(address).expect("it listens");
            let mut ask = |id: &str| {
                let answer = caller.request(&Request::new("GET", "/again/x", id));
                answer.expect("a connection").expect("an answer")
            };
            set(Behavior::Sends(Raw { line, rest }));
            let answer = ask("without");
            let status = if line.contains("204") { 204 } else { 304 };
            assert_eq!(answer.status(), status, "{rest}: {}", answer.head);
            assert_eq!(answer.header("content-length"), None, "{rest}");
            assert_eq!(answer.header("transfer-encoding"), None, "{rest}");
            assert_eq!(answer.text(), "", "{rest}");
            set(Behavior::Answers);
            let next = ask("next");
            assert_eq!(next.status(), 200, "{rest}: {}", next.head);
            assert!(next.text().starts_with("next /again/x"), "{}", next.text());
        }
    }
}

/// Guards against a response that reaches a caller with a status that HTTP does not define.
#[test]
fn a_response_with_an_undefined_status_is_not_passed_on() {
    check([
        case("000", "HTTP/1.1 000 X\r\n", WITH_LENGTH),
        case("000 without a length", "HTTP/1.1 000 X\r\n", WITHOUT_LENGTH),
        case("000 in chunks", "HTTP/1.1 000 X\r\n", IN_CHUNKS),
        case("099", "HTTP/1.1 099 X\r\n", WITH_LENGTH),
        case("600", "HTTP/1.1 600 X\r\n", WITH_LENGTH),
        case("999", "HTTP/1.1 999 X\r\n", WITH_LENGTH),
    ]);
}

/// Guards against a response that reaches a caller with a line in its head that is no field, or with a body that such a line
/// delimits.
#[test]
fn a_response_whose_head_is_no_list_of_fields_is_not_passed_on() {
    check([
        case("blank", "HTTP/1.1 200 OK\r\nX Y: z\r\n", WITH_LENGTH),
        case(
            "blank before the colon",
            "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
            WITH_LENGTH,
        ),
        case(
            "control byte",
            "HTTP/1.1 200 OK\r\nX\u{1}Y: z\r\n",
            WITH_LENGTH,
        ),
        case("NUL", "HTTP/1.1 200 OK\r\nX\0Y: z\r\n", WITHOUT_LENGTH),
        case("no colon", "HTTP/1.1 200 OK\r\nX\r\n", IN_CHUNKS),
        case(
            "folded",
            "HTTP/1.1 200 OK\r\nX: y\r\n z: a\r\n",
            WITH_LENGTH,
        ),
        case(
            "interim",
            "HTTP/1.1 100 Continue\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\n",
            WITH_LENGTH,
        ),
        case(
            "trailer",
            "HTTP/1.1 200 OK\r\n",
            "Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\nX Y: z\r\n\r\n",
        ),
        case("101", "HTTP/1.1 101 X\r\n", WITHOUT_LENGTH),
        case(
            "101 first",
            "HTTP/1.1 101 X\r\n\r\nHTTP/1.1 200 OK\r\n",
            WITH_LENGTH,
        ),
    ]);
}
