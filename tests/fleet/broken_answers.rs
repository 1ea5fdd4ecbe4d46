//! Endpoints that send responses which break the rules of HTTP.

use crate::{
    fleet::Fleet,
    standin::{
        caller::Request,
        engine::{Behavior, Raw},
    },
};

/// The body of each broken response, which no caller may receive.
const BODY: &str = "broken";

/// The framing and the body of a response, behind its headers.
const WITH_LENGTH: &str = "Content-Length: 6\r\n\r\nbroken";
const WITHOUT_LENGTH: &str = "\r\nbroken";
const IN_CHUNKS: &str = "Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n";

struct Case {
    name: &'static str,
    response: Raw,
}

const fn case(name: &'static str, line: &'static str, rest: &'static str) -> Case {
    Case {
        name,
        response: Raw { line, rest },
    }
}

/// Has all endpoints respond as in each case, and checks that the callers of requests which may run once or twice are told
/// that the endpoint failed.
fn check(cases: &[Case]) {
    let (fleet, engines) = Fleet::ready_with("[retries]\nslack = 100\n");
    let mut passed_on = Vec::new();
    for case in cases {
        for engine in &engines {
            engine.set_behavior(Behavior::Sends(case.response));
        }
        for path in ["/once/x", "/again/x"] {
            let mut number = 0;
            // An endpoint that has failed gets no requests for a while.
            fleet.until("an endpoint has responded", || {
                number += 1;
                let id = format!("{}{path}-{number}", case.name.replace(' ', "-"));
                let answer = fleet.ask(0, &Request::new("POST", path, &id));
                let answer = answer.expect("an answer");
                let has_run = engines.iter().any(|it| it.runs(&id) > 0);
                if has_run && (answer.status() != 502 || answer.text().contains(BODY)) {
                    passed_on.push((case.name, path, answer.status(), answer.text()));
                }
                has_run
            });
        }
    }
    assert_eq!(passed_on, []);
}

/// Guards against a response that reaches a caller with a status that HTTP does not define.
#[test]
fn a_response_with_an_undefined_status_is_not_passed_on() {
    check(&[
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
    check(&[
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
