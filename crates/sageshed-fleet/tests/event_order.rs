//! Orders of event ids, and the events that are kept where one is out of order.

use sageshed_fleet::{
    event_order::EventOrder,
    events::{Content, Splitter},
};

struct Case {
    name: &'static str,
    /// The last id that the caller of a resumed stream has received.
    received: Option<&'static str>,
    ids: &'static [&'static str],
    /// The first id that is out of order, with the id that it is compared with.
    error: Option<(&'static str, &'static str)>,
}

const CASES: [Case; 20] = [
    Case {
        name: "consecutive numbers",
        received: None,
        ids: &["1", "2", "3"],
        error: None,
    },
    Case {
        name: "gaps",
        received: None,
        ids: &["0", "5", "9", "10", "1000"],
        error: None,
    },
    Case {
        name: "a repeated number",
        received: None,
        ids: &["1", "2", "2", "3"],
        error: Some(("2", "2")),
    },
    Case {
        name: "an earlier number",
        received: None,
        ids: &["1", "2", "3", "1"],
        error: Some(("3", "1")),
    },
    Case {
        name: "a number that is lower than the last but has more digits",
        received: None,
        ids: &["9", "0008"],
        error: Some(("9", "8")),
    },
    Case {
        name: "the same number in other digits",
        received: None,
        ids: &["7", "07"],
        error: Some(("7", "7")),
    },
    Case {
        name: "a resumed stream that goes on",
        received: Some("9"),
        ids: &["10", "11"],
        error: None,
    },
    Case {
        name: "a resumed stream that goes on after a gap",
        received: Some("9"),
        ids: &["20"],
        error: None,
    },
    Case {
        name: "a resumed stream that begins anew",
        received: Some("9"),
        ids: &["1", "2"],
        error: Some(("9", "1")),
    },
    Case {
        name: "a resumed stream that repeats the last event",
        received: Some("9"),
        ids: &["9", "10"],
        error: Some(("9", "9")),
    },
    Case {
        name: "a resumed stream of which no event was received",
        received: Some(""),
        ids: &["1"],
        error: None,
    },
    Case {
        name: "other ids in any order",
        received: None,
        ids: &["b", "a", "b", "-1", "-2", "+1", "1.5", "0x1"],
        error: None,
    },
    Case {
        name: "the same other id twice in a row",
        received: None,
        ids: &["b", "a", "a"],
        error: Some(("a", "a")),
    },
    Case {
        name: "a resumed stream that repeats another id",
        received: Some("a"),
        ids: &["a"],
        error: Some(("a", "a")),
    },
    Case {
        name: "a number after another id",
        received: None,
        ids: &["1", "a", "2", "a", "3"],
        error: None,
    },
    Case {
        name: "an earlier number after another id",
        received: None,
        ids: &["4", "a", "3"],
        error: Some(("4", "3")),
    },
    Case {
        name: "empty ids",
        received: None,
        ids: &["", "", "1", "", "2", ""],
        error: None,
    },
    Case {
        name: "a repeated number after an empty id",
        received: None,
        ids: &["1", "", "1"],
        error: Some(("1", "1")),
    },
    Case {
        name: "the largest number and larger ones, which have no order",
        received: None,
        ids: &[
            "18446744073709551615",
            "18446744073709551616",
            "18446744073709551617",
            "18446744073709551616",
        ],
        error: None,
    },
    Case {
        name: "a larger number twice in a row",
        received: None,
        ids: &["18446744073709551616", "18446744073709551616"],
        error: Some(("18446744073709551616", "18446744073709551616")),
    },
];

/// Guards against a repeated or earlier event that counts as the next one, and against sound ids that don't.
#[test]
fn the_numbers_of_events_increase_and_other_ids_do_not_repeat() {
    for case in &CASES {
        let mut order = case
            .received
            .map_or_else(EventOrder::default, EventOrder::after);
        let error = case.ids.iter().find_map(|id| {
            let before = order.clone();
            let checked = order.check(id);
            let pushed = order.push(id);
            assert_eq!(pushed, checked, "{}", case.name);
            let error = pushed.err();
            if error.is_some() {
                assert_eq!(order, before, "{}", case.name);
            }
            error
        });
        let found = error.as_ref().map(|it| (it.last.as_str(), it.id.as_str()));
        assert_eq!(found, case.error, "{}", case.name);
    }
}

/// Guards against an id of an endpoint that fills logs and refusals.
#[test]
fn an_error_shows_the_beginning_of_a_long_id() {
    let id = "x".repeat(100_000);
    let error = EventOrder::after(&id).push(&id).expect_err("the same id");
    assert!(error.to_string().len() < 200, "{error}");
}

struct Truncation {
    name: &'static str,
    bytes: &'static str,
    /// Complete comments that arrived before.
    comments: &'static str,
    /// What remains, by the number of events that are kept.
    kept: &'static [(&'static str, Content)],
}

const TRUNCATIONS: [Truncation; 4] = [
    Truncation {
        name: "two events and a part of the third",
        bytes: "id: 1\n\nid: 2\r\n\r\nid: 3",
        comments: "",
        kept: &[
            ("", Content::Nothing),
            ("id: 1\n\n", Content::Event),
            ("id: 1\n\nid: 2\r\n\r\n", Content::Event),
        ],
    },
    Truncation {
        name: "a comment before an event",
        bytes: ": a\n\nid: 1\n\n",
        comments: "",
        kept: &[
            ("", Content::Nothing),
            (": a\n\n", Content::Comments),
            (": a\n\nid: 1\n\n", Content::Event),
        ],
    },
    Truncation {
        name: "earlier comments",
        bytes: "id: 1\n\n\n",
        comments: ": a\n\n: b\n\n",
        kept: &[
            ("", Content::Nothing),
            (": a\n\n: b\n\n", Content::Comments),
            (": a\n\n: b\n\nid: 1\n\n", Content::Event),
            (": a\n\n: b\n\nid: 1\n\n\n", Content::Event),
        ],
    },
    Truncation {
        name: "nothing",
        bytes: "",
        comments: "",
        kept: &[("", Content::Nothing)],
    },
];

/// Guards against a part of an event, or one that is out of order, that is passed on with those before it.
#[test]
fn events_are_truncated_between_two_of_them() {
    for case in &TRUNCATIONS {
        for (count, (bytes, content)) in case.kept.iter().enumerate() {
            let mut events = Splitter::default()
                .push(case.bytes.as_bytes())
                .expect("small events");
            let mut comments = case.comments.as_bytes().to_vec();
            events.prepend_comments(&mut comments);
            assert_eq!(comments, b"", "{}", case.name);
            let all: Vec<_> = events.iter().map(|(bytes, _)| bytes.to_vec()).collect();
            let contents = events.iter().map(|(_, content)| content);
            assert_eq!(contents.max().unwrap_or_default(), events.content);
            assert_eq!(all.len() + 1, case.kept.len(), "{}", case.name);
            assert_eq!(all.concat(), events.bytes, "{}", case.name);
            events.truncate(count);
            assert_eq!(events.bytes, bytes.as_bytes(), "{}, {count}", case.name);
            assert_eq!(events.content, *content, "{}, {count}", case.name);
            assert_eq!(all[..count].concat(), events.bytes, "{}", case.name);
        }
    }
}
