//! Streams of events that arrive in pieces, and bytes that never become an event.

use sageshed_fleet::events::{Content, MAX_EVENT_BYTES, Splitter, TooLarge};

struct Case {
    name: &'static str,
    bytes: &'static str,
    whole: &'static str,
    content: Content,
    is_inside_event: bool,
}

const CASES: [Case; 8] = [
    Case {
        name: "two events and a part of the third",
        bytes: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3",
        whole: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        content: Content::Event,
        is_inside_event: true,
    },
    Case {
        name: "lines that end with two bytes",
        bytes: "id: 1\r\ndata: a\r\n\r\n",
        whole: "id: 1\r\ndata: a\r\n\r\n",
        content: Content::Event,
        is_inside_event: false,
    },
    Case {
        name: "comments",
        bytes: ": a\n\n: b\n\n: c",
        whole: ": a\n\n: b\n\n",
        content: Content::Comments,
        is_inside_event: true,
    },
    Case {
        name: "a comment in an event",
        bytes: ": a\ndata: b\n: c\n\n",
        whole: ": a\ndata: b\n: c\n\n",
        content: Content::Event,
        is_inside_event: false,
    },
    Case {
        name: "a comment after an event",
        bytes: "data: a\n\n: b\n\n",
        whole: "data: a\n\n: b\n\n",
        content: Content::Event,
        is_inside_event: false,
    },
    Case {
        name: "lines of one event",
        bytes: "data: a\ndata: a\ndata: a\n",
        whole: "",
        content: Content::Nothing,
        is_inside_event: true,
    },
    Case {
        name: "empty lines",
        bytes: "\n\r\n\n",
        whole: "\n\r\n\n",
        content: Content::Nothing,
        is_inside_event: false,
    },
    Case {
        name: "nothing",
        bytes: "",
        whole: "",
        content: Content::Nothing,
        is_inside_event: false,
    },
];

/// Guards against bytes that count as progress of a stream although they complete no event, however they arrive.
#[test]
fn only_complete_events_are_progress() {
    for case in &CASES {
        for piece in 1..=case.bytes.len().max(1) {
            let mut splitter = Splitter::default();
            let (mut whole, mut content) = (Vec::new(), Content::Nothing);
            for bytes in case.bytes.as_bytes().chunks(piece) {
                let events = splitter.push(bytes).expect("a small event");
                whole.extend(events.bytes);
                content = content.max(events.content);
            }
            let name = format!("{}, {piece} bytes at a time", case.name);
            assert_eq!(whole, case.whole.as_bytes(), "{name}");
            assert_eq!(content, case.content, "{name}");
            assert_eq!(splitter.is_inside_event(), case.is_inside_event, "{name}");
        }
    }
}

/// Guards against a process that holds all bytes of an event that never ends.
#[test]
fn an_event_without_end_is_given_up() {
    for line in ["........", "data: .\n", ": .....\n"] {
        let mut splitter = Splitter::default();
        let first = splitter.push(b"data: a\n\n").expect("an event");
        assert_eq!(first.content, Content::Event);
        let pieces = MAX_EVENT_BYTES / line.len();
        for _ in 0..pieces {
            let events = splitter.push(line.as_bytes()).expect("not too large yet");
            assert_eq!(events.bytes, b"", "{line:?}");
        }
        assert_eq!(splitter.push(line.as_bytes()), Err(TooLarge), "{line:?}");
    }
}
