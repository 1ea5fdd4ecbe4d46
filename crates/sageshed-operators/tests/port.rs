//! The port by itself: who may ask, what each path takes, what the rest of the client reads.

use std::{
    io::{Read, Write},
    net, time,
};

use sageshed_operators::{client, tokens, wire};
use sageshed_types::{rules::Revision, secret};

mod support;

use support::{Fake, TOKEN, add};

struct Case {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    authorization: Option<&'static str>,
    body: String,
    status: u16,
    /// Must be in the answer.
    says: &'static str,
}

impl Case {
    fn get(name: &'static str, path: &'static str, status: u16, says: &'static str) -> Self {
        Self {
            name,
            method: "GET",
            path,
            authorization: Some("Bearer spade"),
            body: String::new(),
            status,
            says,
        }
    }

    fn post(name: &'static str, body: impl Into<String>, status: u16, says: &'static str) -> Self {
        Self {
            method: "POST",
            body: body.into(),
            ..Self::get(name, wire::paths::CHANGES, status, says)
        }
    }

    fn with_authorization(self, authorization: Option<&'static str>) -> Self {
        Self {
            authorization,
            ..self
        }
    }
}

#[test]
fn port_answers_by_table() {
    let change = |id: &str| serde_json::to_string(&add(id, 0, "night")).unwrap();
    let cases = [
        Case::get("rules", "/rules", 200, "\"revision\":0"),
        Case::get("no token", "/rules", 401, "Authorization: Bearer").with_authorization(None),
        Case::get("wrong token", "/rules", 401, "belongs to no operator")
            .with_authorization(Some("Bearer shovel")),
        Case::get("part of the token", "/rules", 401, "unauthorized")
            .with_authorization(Some("Bearer spad")),
        Case::get("not a bearer token", "/rules", 401, "unauthorized")
            .with_authorization(Some("Basic spade")),
        Case::get("unknown path without token", "/x", 401, "unauthorized").with_authorization(None),
        Case::get("unknown path", "/x", 404, "nothing at this path"),
        Case::get("other method", "/rules/changes", 405, "takes POST"),
        Case::get("health is open", "/healthz", 200, "ok").with_authorization(None),
        Case::get("metrics are open", "/metrics", 200, "sageshed_up 1").with_authorization(None),
        Case::get(
            "bad revision",
            "/rules/history?after=x",
            400,
            "is not a revision",
        ),
        Case::get("no revision", "/rules/in-force", 400, "revision=N"),
        Case::get("unknown request", "/explain/vm1-2", 404, "vm1-2"),
        Case::get("no request", "/explain/", 404, "not_found"),
        Case::post("not JSON", "{", 400, "not understood"),
        Case::post(
            "unknown key",
            "{\"change\":1}",
            400,
            "unknown field `change`",
        ),
        Case::post("no change id", change(""), 400, "`change_id` is empty"),
        Case::post("too large", " ".repeat(1024 * 1024 + 1), 413, "longer than"),
        Case::post("change", change("a"), 200, "\"accepted\":{\"revision\":1}"),
        Case::post(
            "conflict",
            change("b"),
            409,
            "in between: revision 1 by ailsa",
        ),
    ];
    let fake = Fake::with([]);
    let port = support::port(&fake, TOKEN);
    for case in cases {
        let (status, answer) = send(port.address(), &case);
        assert_eq!(status, case.status, "{}: {answer}", case.name);
        assert!(answer.contains(case.says), "{}: {answer}", case.name);
        let is_problem = answer.contains("urn:sageshed:problem:");
        assert_eq!(is_problem, case.status != 200, "{}: {answer}", case.name);
    }
}

fn send(address: net::SocketAddr, case: &Case) -> (u16, String) {
    let agent = ureq::AgentBuilder::new().max_idle_connections(0).build();
    let mut req = agent.request(case.method, &format!("http://{address}{}", case.path));
    if let Some(authorization) = case.authorization {
        req = req.set("Authorization", authorization);
    }
    let result = if case.method == "GET" {
        req.call()
    } else {
        req.send_string(&case.body)
    };
    let resp = match result {
        Ok(resp) | Err(ureq::Error::Status(_, resp)) => resp,
        Err(e) => panic!("{}: {e}", case.name),
    };
    (resp.status(), resp.into_string().unwrap())
}

/// Strangers hold connections open: one sends half a head, one announces a body and sends none. The
/// first fills the port with the time of its bound, the other is refused without its body being
/// waited for. If either held its place for good, no operator could change a rule.
#[test]
fn slow_strangers_do_not_keep_operators_out() {
    let half_head = "POST /rules/changes HTTP/1.1\r\nHost: x";
    let no_body = "POST /rules/changes HTTP/1.1\r\nHost: x\r\nContent-Length: 500000\r\n\r\n";
    let fake = Fake::with([]);
    let port = support::port(&fake, TOKEN);
    let mut strangers = Vec::new();
    for text in [half_head, no_body] {
        for _ in 0..support::CONNECTIONS {
            let mut stream = net::TcpStream::connect(port.address()).unwrap();
            stream.write_all(text.as_bytes()).unwrap();
            strangers.push(stream);
        }
        let mut options = client::Options::new(vec![port.address().to_string()], TOKEN.to_owned());
        options.rounds = 8;
        let client = client::Client::new(options);
        assert_eq!(client.rules().unwrap().revision, Revision(0), "{text}");
    }
}

/// Strangers hold every place of the port, and an operator sends a change. It gets no place. If its
/// client took that for a lost answer, it would tell the operator that the change may have taken hold,
/// and she would look for a change that nobody has seen.
#[test]
fn change_that_finds_no_place_was_not_done() {
    let fake = Fake::with([]);
    let port = support::port(&fake, TOKEN);
    let mut strangers = Vec::new();
    for _ in 0..support::CONNECTIONS {
        let mut stream = net::TcpStream::connect(port.address()).unwrap();
        stream
            .write_all(b"POST /rules/changes HTTP/1.1\r\nHost: x")
            .unwrap();
        strangers.push(stream);
    }
    let client = support::client(&[port.address().to_string()], TOKEN);
    let error = client.change(&add("a", 0, "night")).unwrap_err();
    assert!(
        matches!(error, client::Error::Unreachable { .. }),
        "{error}"
    );
    assert!(error.to_string().contains("connections open"), "{error}");
    assert!(fake.calls().is_empty());
}

/// Requests that never reach the backend are refused in the same form as those that do: a client
/// reads the kind and the fate from every refusal of the port.
#[test]
fn unreadable_requests_are_refused_as_problems() {
    struct Unreadable {
        name: &'static str,
        head: String,
        status: u16,
        kind: wire::Kind,
    }
    let cases = [
        Unreadable {
            name: "no HTTP",
            head: "hello\r\n\r\n".to_owned(),
            status: 400,
            kind: wire::Kind::BadRequest,
        },
        Unreadable {
            name: "a body in chunks",
            head: "POST /rules/changes HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                .to_owned(),
            status: 400,
            kind: wire::Kind::BadRequest,
        },
        Unreadable {
            name: "a head without end",
            head: format!("GET / HTTP/1.1\r\nHost: x\r\nA: {}", "a".repeat(20_000)),
            status: 431,
            kind: wire::Kind::TooLarge,
        },
        Unreadable {
            name: "half a body",
            head: "POST /rules/changes HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer spade\r\n\
                   Content-Length: 9\r\n\r\n{"
                .to_owned(),
            status: 408,
            kind: wire::Kind::BadRequest,
        },
    ];
    let fake = Fake::with([]);
    let port = support::port(&fake, TOKEN);
    for case in cases {
        let mut stream = net::TcpStream::connect(port.address()).unwrap();
        stream.write_all(case.head.as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        let (head, body) = answer.split_once("\r\n\r\n").unwrap();
        assert!(head.contains(wire::PROBLEM_TYPE), "{}: {head}", case.name);
        let problem: wire::Problem = serde_json::from_str(body).unwrap();
        assert_eq!(problem.status, case.status, "{}: {body}", case.name);
        assert_eq!(problem.kind, case.kind, "{}: {body}", case.name);
        assert_eq!(problem.fate, wire::Fate::NotDone, "{}: {body}", case.name);
        let line = format!("HTTP/1.1 {} ", case.status);
        assert!(head.starts_with(&line), "{}: {head}", case.name);
    }
}

/// Without the token, the body is not waited for: the refusal comes first.
#[test]
fn stranger_is_refused_before_the_body_is_read() {
    let fake = Fake::with([]);
    let port = support::port(&fake, TOKEN);
    let mut stream = net::TcpStream::connect(port.address()).unwrap();
    let head = "POST /rules/changes HTTP/1.1\r\nHost: x\r\nContent-Length: 500000\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    let limit = time::Duration::from_secs(20);
    stream.set_read_timeout(Some(limit)).unwrap();
    let mut buf = [0; 12];
    stream.read_exact(&mut buf).unwrap();
    assert_eq!(&buf, b"HTTP/1.1 401");
}

/// A hash that was cut short by a slip, or left empty, must admit nobody.
#[test]
fn part_of_a_hash_admits_nobody() {
    let hash = secret::KeyDigest::of(TOKEN.as_bytes()).to_hex();
    for part in ["", &hash[..1], &hash[..63]] {
        let tokens = tokens::Tokens::default().with("ailsa", part);
        assert_eq!(
            tokens.find(secret::KeyDigest::of(TOKEN.as_bytes())),
            None,
            "{part}"
        );
    }
    let tokens = tokens::Tokens::default().with("ailsa", &hash);
    let digest = secret::KeyDigest::of(TOKEN.as_bytes());
    assert_eq!(tokens.find(digest), Some("ailsa"));
}

#[test]
fn client_reads_what_the_port_answers() {
    let fake = Fake::with([]);
    let port = support::port(&fake, TOKEN);
    let client = support::client(&[format!("http://{}/", port.address())], TOKEN);

    client.change(&add("a", 0, "night")).unwrap();
    client.change(&add("b", 1, "day")).unwrap();
    let history = client.history(Revision(1)).unwrap();
    assert_eq!(history.len(), 1);
    assert_eq!(history[0].change.operator, "ailsa");
    assert!(client.in_force(Revision(2)).unwrap().everywhere);
    assert_eq!(client.status().unwrap().term, 3);
    assert!(client.models().unwrap().is_empty());
    assert!(client.endpoints().unwrap().is_empty());
    assert_eq!(client.explain("vm1-1").unwrap().request_id, "vm1-1");
    let drain = wire::DrainReq {
        vm: "vm2".to_owned(),
        on: true,
        change_id: "c".to_owned(),
    };
    client.drain(&drain).unwrap();
    let pin = wire::Pin {
        model: "callout".to_owned(),
        place: wire::PinPlace::Endpoint("e1".to_owned()),
    };
    for on in [true, false] {
        let pin = pin.clone();
        client.pin(&wire::PinReq { pin, on }).unwrap();
    }
    assert_eq!(
        fake.calls(),
        ["a", "b", "drain vm2 true c", "pin callout", "unpin callout"]
    );
}

#[test]
fn request_id_that_is_none_is_refused_before_it_is_sent() {
    for id in ["", "a b", "../rules", "a?b", "a/b"] {
        let client = support::client(&[support::nobody()], TOKEN);
        let error = client.explain(id).unwrap_err();
        assert!(matches!(error, client::Error::Refused(_)), "{id}: {error}");
    }
}
