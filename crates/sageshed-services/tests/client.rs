//! Requests to a stand-in service.

use std::{
    io::{Read as _, Write as _},
    net, thread,
    time::Duration,
};

use sageshed_engines::{classify, connection, transport};
use sageshed_services::client;
use sageshed_test_support::{config, fault, standin};
use sageshed_types::{attempt_error::AttemptError, verdict::Verdict};

const LIMIT: Duration = Duration::from_secs(1);

const LIMITS: connection::Limits = connection::Limits {
    first_byte: LIMIT,
    gap: LIMIT,
    total: Duration::from_secs(20),
};

fn service() -> standin::Standin {
    let cfg = config::Config {
        time_scale: 50.0,
        endpoints: vec![config::Endpoint::service("s1", "dispatch")],
        ..config::Config::default()
    };
    standin::Standin::start(cfg).expect("a stand-in")
}

fn send(
    address: &str,
    method: &str,
    headers: &[(String, String)],
    body: Option<&[u8]>,
) -> Result<(u16, serde_json::Value), classify::CallError> {
    let transport = transport::Transport::new(transport::Settings::default());
    let answer = client::Client::new(transport).send(&client::Call {
        address,
        method,
        path: "/crews/7?urgent=1",
        headers,
        body,
        request_id: "r1",
        fresh: true,
        limits: LIMITS,
    })?;
    let status = answer.status;
    let body = answer.body.read_all(100_000)?;
    Ok((status, serde_json::from_slice(&body).expect("JSON")))
}

#[test]
fn method_path_headers_and_body_arrive_as_they_were() {
    struct Case {
        method: &'static str,
        body: Option<&'static [u8]>,
    }
    let cases = [
        Case {
            method: "GET",
            body: None,
        },
        Case {
            method: "DELETE",
            body: None,
        },
        Case {
            method: "POST",
            body: Some(b"send two crews"),
        },
        Case {
            method: "PUT",
            body: Some(b""),
        },
    ];
    let standin = service();
    let headers = [("X-Member".to_owned(), "lodge 4".to_owned())];
    for case in cases {
        let (status, seen) =
            send(&standin.address("s1"), case.method, &headers, case.body).expect("an answer");
        let body = String::from_utf8_lossy(case.body.unwrap_or_default());
        assert_eq!(status, 200);
        assert_eq!(seen["method"], case.method);
        assert_eq!(seen["path"], "/crews/7?urgent=1");
        assert_eq!(seen["body"], body.as_ref());
        assert_eq!(seen["request_id"], "r1");
        let passed = serde_json::json!(["X-Member", "lodge 4"]);
        let headers = seen["headers"].as_array().expect("headers");
        assert!(headers.contains(&passed), "{}: {headers:?}", case.method);
    }
}

/// A dispatch sends two crews. The service failed after it had done its work, the failure was taken
/// for one before, and the dispatch was sent again. Only a refused connection says `not run`.
#[test]
fn a_service_that_fails_may_have_run() {
    struct Case {
        fault: fault::Fault,
        expected: (AttemptError, Verdict),
    }
    let of = |fault, expected, verdict| Case {
        fault,
        expected: (expected, verdict),
    };
    let cases = [
        of(
            fault::Fault::Refuse,
            AttemptError::ConnectRefused,
            Verdict::NotRun,
        ),
        of(
            fault::Fault::Silent,
            AttemptError::NoFirstByte,
            Verdict::MayHaveRun,
        ),
        of(
            fault::Fault::Cut { after: 0 },
            AttemptError::Cut,
            Verdict::MayHaveRun,
        ),
        of(
            fault::Fault::Stall { after: 0 },
            AttemptError::Stalled,
            Verdict::MayHaveRun,
        ),
        of(
            fault::Fault::Swap,
            AttemptError::Corrupt,
            Verdict::MayHaveRun,
        ),
    ];
    for case in cases {
        let standin = service();
        let address = standin.address("s1");
        standin.fault("s1", case.fault, None);
        if case.fault == fault::Fault::Refuse {
            while net::TcpStream::connect(&address).is_ok() {
                thread::sleep(Duration::from_millis(5));
            }
        }
        let e = send(&address, "POST", &[], Some(b"send a crew")).expect_err("a failure");
        assert_eq!((e.fault, e.verdict), case.expected, "{:?}", case.fault);
    }
}

/// Guards against an interim response that is passed on as a service's answer, with the beginning of the answer as its body.
#[test]
fn an_interim_response_is_no_answer() {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    let serving = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let read = stream.read(&mut [0; 4_096]).expect("a request");
        let bytes = b"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        stream.write_all(bytes).expect("the other end reads");
        read
    });
    let call = client::Call {
        address: &address,
        method: "GET",
        path: "/crews/7",
        headers: &[],
        body: None,
        request_id: "r1",
        fresh: true,
        limits: LIMITS,
    };
    let answer =
        client::Client::new(transport::Transport::new(transport::Settings::default())).send(&call);
    let answer = answer.map(|it| it.status).map_err(|e| (e.fault, e.verdict));
    assert_eq!(answer, Err((AttemptError::Corrupt, Verdict::MayHaveRun)));
    assert!(serving.join().expect("it responded") > 0);
}

/// A response of a service that closes the connection after it, and what is made of it.
struct Ending {
    name: &'static str,
    method: &'static str,
    response: &'static [u8],
    body: Result<&'static [u8], AttemptError>,
}

const fn ending(
    name: &'static str,
    method: &'static str,
    response: &'static [u8],
    body: Result<&'static [u8], AttemptError>,
) -> Ending {
    Ending {
        name,
        method,
        response,
        body,
    }
}

const CUT: Result<&[u8], AttemptError> = Err(AttemptError::Cut);

const ENDINGS: [Ending; 13] = [
    ending(
        "neither a length nor chunks",
        "GET",
        b"HTTP/1.1 200 OK\r\n\r\n{}",
        CUT,
    ),
    ending(
        "neither, and nothing of a body",
        "GET",
        b"HTTP/1.1 200 OK\r\n\r\n",
        CUT,
    ),
    ending(
        "neither, and the endpoint says that it closes",
        "POST",
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{}",
        CUT,
    ),
    ending(
        "neither, in HTTP/1.0",
        "GET",
        b"HTTP/1.0 200 OK\r\n\r\n{}",
        CUT,
    ),
    ending(
        "neither, and an error",
        "GET",
        b"HTTP/1.1 404 Not Found\r\n\r\n{}",
        CUT,
    ),
    ending(
        "cut in the length",
        "GET",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}",
        CUT,
    ),
    ending(
        "by length",
        "GET",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        Ok(b"{}"),
    ),
    ending(
        "no content",
        "GET",
        b"HTTP/1.1 204 No Content\r\n\r\n",
        Ok(b""),
    ),
    ending(
        "not modified",
        "GET",
        b"HTTP/1.1 304 Not Modified\r\n\r\n",
        Ok(b""),
    ),
    ending(
        "not modified, with the length that a body would have",
        "GET",
        b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
        Ok(b""),
    ),
    ending(
        "to HEAD, with the length that a body would have",
        "HEAD",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
        Ok(b""),
    ),
    ending(
        "to HEAD, with chunks",
        "HEAD",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        Ok(b""),
    ),
    ending(
        "to HEAD, with neither",
        "HEAD",
        b"HTTP/1.1 200 OK\r\n\r\n",
        Ok(b""),
    ),
];

/// Guards against a response that is passed on as complete though only a part of it has come, and against one without a body
/// that is taken for cut.
#[test]
fn a_response_that_ends_with_its_connection_is_complete_only_if_it_has_no_body() {
    for case in ENDINGS {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound").to_string();
        let serving = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let read = stream.read(&mut [0; 4_096]).expect("a request");
            stream
                .write_all(case.response)
                .expect("the other end reads");
            read
        });
        let call = client::Call {
            address: &address,
            method: case.method,
            path: "/crews/7",
            headers: &[],
            body: None,
            request_id: "r1",
            fresh: false,
            limits: LIMITS,
        };
        let transport = transport::Transport::new(transport::Settings::default());
        let answer = client::Client::new(transport).send(&call);
        let body = answer.and_then(|it| it.body.read_all(100));
        let body = body.as_deref().map_err(|e| e.fault);
        assert_eq!(body, case.body, "{}", case.name);
        assert!(serving.join().expect("it responded") > 0);
    }
}
