//! Which requests have the same fingerprint.

use sageshed_fleet::fingerprint;

/// A request, and whether its content is the same as `POST a.example/x/1?q` with the body `prompt`.
struct Case {
    name: &'static str,
    method: &'static str,
    host: &'static str,
    path: &'static str,
    query: Option<&'static str>,
    body: &'static [u8],
    is_same: bool,
}

#[test]
fn requests_with_the_same_content_have_the_same_fingerprint() {
    let same = Case {
        name: "retried",
        method: "POST",
        host: "a.example",
        path: "/x/1",
        query: Some("q"),
        body: b"prompt",
        is_same: true,
    };
    let other = |name| Case {
        name,
        is_same: false,
        ..same
    };
    let cases = [
        Case { ..same },
        Case {
            method: "GET",
            ..other("another method")
        },
        Case {
            host: "b.example",
            ..other("another host")
        },
        Case {
            path: "/x/2",
            ..other("another path")
        },
        Case {
            query: None,
            ..other("no query")
        },
        Case {
            query: Some(""),
            ..other("an empty query")
        },
        Case {
            body: b"another",
            ..other("another body")
        },
        Case {
            path: "/x/1?q",
            query: None,
            ..other("a question mark in the path")
        },
    ];
    let of = |it: &Case| fingerprint::of(it.method, it.host, it.path, it.query, it.body);
    for case in &cases {
        assert_eq!(of(case) == of(&same), case.is_same, "{}", case.name);
    }
    assert_eq!(of(&same).to_string().len(), 16);
}
