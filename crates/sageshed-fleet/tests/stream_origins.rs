//! Records of the software versions that began streams.

mod support;

use std::net;

use sageshed_fleet::{
    directory::{self, SoftwareKey},
    stream_origins::{
        self, Lookup, MAX_RECORDS, StreamKey, StreamOrigin, StreamOrigins, VersionKnowledge,
    },
};
use sageshed_types::time;

const NOW: time::Instant = time::Instant(1_000);

const LIFETIME: time::Millis = time::Millis(20_000);

fn origin(stream: u64, software: u64, lifetime: u64) -> StreamOrigin {
    StreamOrigin {
        stream: StreamKey(stream),
        software: SoftwareKey(software),
        lifetime: time::Millis(lifetime),
    }
}

fn entries(count: u8) -> Vec<net::Ipv4Addr> {
    let ip = |last| net::Ipv4Addr::new(10, 0, 0, last);
    (1..=count).map(ip).collect()
}

#[test]
fn a_record_lasts_as_long_as_its_stream() {
    let mut origins = StreamOrigins::default();
    origins.insert(NOW, origin(1, 7, 100));
    origins.insert(NOW, origin(2, 8, 300));
    origins.insert(NOW + time::Millis(50), origin(1, 7, 200));
    let get = |origins: &StreamOrigins, at, stream| {
        let now = NOW + time::Millis(at);
        origins.get(now, StreamKey(stream)).map(|it| it.0)
    };
    assert_eq!(get(&origins, 249, 1), Some(7));
    assert_eq!(get(&origins, 250, 1), None);
    assert_eq!(get(&origins, 250, 2), Some(8));
    assert_eq!(get(&origins, 250, 3), None);
    origins.insert(NOW + time::Millis(400), origin(3, 9, 10));
    assert_eq!(origins.len(), 1);
}

/// Guards against memory that grows with the streams of callers, and against a flood of them that removes the newest.
#[test]
fn too_many_records_drop_those_that_end_first() {
    let mut origins = StreamOrigins::default();
    let count = u64::try_from(MAX_RECORDS).expect("small");
    for stream in 0..count + 10 {
        origins.insert(NOW, origin(stream, 1, 10_000 + stream));
    }
    assert_eq!(origins.len(), MAX_RECORDS);
    assert_eq!(origins.dropped(), 10);
    assert_eq!(origins.get(NOW, StreamKey(9)), None);
    assert!(origins.get(NOW, StreamKey(10)).is_some());
}

/// Guards against a stream whose record is sent to some processes and sought at others: by a process that has just
/// learned of another entry process, or of the loss of one.
#[test]
fn those_that_are_asked_include_holders_while_lists_differ() {
    for count in [3, 12, 14, 100] {
        let all = entries(count);
        for stream in (0..200).map(StreamKey) {
            let (first, other) = (all[0], all[1]);
            let holders = stream_origins::holders(stream, first, &all);
            for gone in [None, Some(2), Some(all.len() - 1)] {
                let mut seen = all.clone();
                let gone = gone.map(|at| seen.remove(at));
                let asked = stream_origins::asked(stream, other, &seen);
                let has_record = |it: &net::Ipv4Addr| *it == first || holders.contains(it);
                let left = holders
                    .iter()
                    .filter(|it| Some(**it) != gone && **it != other);
                let found = asked.iter().filter(|it| has_record(it)).count();
                assert!(found >= left.count(), "{count} entry processes, {stream:?}");
                assert!(found > 0 || holders.contains(&other), "{count}, {stream:?}");
                assert!(!asked.contains(&other));
            }
        }
    }
}

struct Case {
    name: &'static str,
    /// The software version of each endpoint that is present.
    present: &'static [Option<&'static str>],
    /// Those that have ended.
    ended: &'static [Option<&'static str>],
    knowledge: VersionKnowledge,
    expected: Option<&'static str>,
}

const KNOWN: VersionKnowledge = VersionKnowledge {
    reaches_back: LIFETIME,
    age: time::Millis(500),
};

const CASES: [Case; 8] = [
    Case {
        name: "one version",
        present: &[Some("v1"), Some("v1")],
        ended: &[Some("v1")],
        knowledge: KNOWN,
        expected: Some("v1"),
    },
    Case {
        name: "two versions",
        present: &[Some("v1"), Some("v2")],
        ended: &[],
        knowledge: KNOWN,
        expected: None,
    },
    Case {
        name: "another version that has ended",
        present: &[Some("v2"), Some("v2")],
        ended: &[Some("v1")],
        knowledge: KNOWN,
        expected: None,
    },
    Case {
        name: "an unknown version",
        present: &[Some("v1"), None],
        ended: &[],
        knowledge: KNOWN,
        expected: None,
    },
    Case {
        name: "unknown versions only",
        present: &[None, None],
        ended: &[],
        knowledge: KNOWN,
        expected: None,
    },
    Case {
        name: "no endpoints",
        present: &[],
        ended: &[],
        knowledge: KNOWN,
        expected: None,
    },
    Case {
        name: "a directory that began after the stream may have",
        present: &[Some("v1")],
        ended: &[],
        knowledge: VersionKnowledge {
            reaches_back: time::Millis(LIFETIME.0 - 1),
            ..KNOWN
        },
        expected: None,
    },
    Case {
        name: "a process cut off from control",
        present: &[Some("v1")],
        ended: &[],
        knowledge: VersionKnowledge {
            age: time::Millis(5_000),
            ..KNOWN
        },
        expected: None,
    },
];

/// Guards against a stream without a record that goes on at another version, and against one that is refused though
/// only one version has served.
#[test]
fn a_stream_without_a_record_needs_a_sole_version() {
    for case in &CASES {
        let mut directory = directory::Directory::new(1);
        let all = case.present.iter().chain(case.ended);
        for (at, software) in all.enumerate() {
            let instance = directory::Instance {
                software_version: software.map(str::to_owned),
                ..support::engine(&format!("e{at}"), &[])
            };
            directory.announce(NOW, instance.clone());
            if at >= case.present.len() {
                directory.mark_gone(NOW, &instance.id);
            }
        }
        let expected = case
            .expected
            .map(|it| SoftwareKey::new(support::ENGINES, it));
        let sole =
            stream_origins::sole_version(&directory, case.knowledge, support::ENGINES, LIFETIME);
        assert_eq!(sole, expected, "{}", case.name);
    }
}

/// Guards against a process that has just started and does not trust what it was told by one that has run for long, or
/// trusts itself for the time before its start.
#[test]
fn a_directory_reaches_back_as_far_as_those_that_it_was_merged_from() {
    let mut directory = directory::Directory::new(1);
    let at = |ms| time::Instant(ms);
    assert_eq!(directory.reaches_back(at(300)), time::Millis(300));
    directory.extend_back(at(300), time::Millis(25_300));
    assert_eq!(directory.reaches_back(at(300)), time::Millis(25_300));
    directory.extend_back(at(900), time::Millis(5_000));
    assert_eq!(directory.reaches_back(at(900)), time::Millis(25_900));
    assert_eq!(
        directory.reaches_back(at(90_000)),
        directory::ENDED_RETENTION
    );
}

/// Guards against a process that is cut off and takes its own records for those of all.
#[test]
fn a_record_is_absent_only_if_most_control_processes_say_so() {
    let absent = |asked, replied| Lookup::without_record(asked, replied) == Lookup::Absent;
    let cases = [(0, 0), (1, 0), (2, 1), (3, 0), (3, 1), (5, 2)];
    assert_eq!(
        cases.map(|(asked, replied)| absent(asked, replied)),
        [false; 6]
    );
    let cases = [(1, 1), (2, 2), (3, 2), (3, 3), (5, 3)];
    assert_eq!(
        cases.map(|(asked, replied)| absent(asked, replied)),
        [true; 5]
    );
}
