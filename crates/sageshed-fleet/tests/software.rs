//! Streams are resumed at the software version that began them.

mod support;

use sageshed_fleet::{
    chooser::{BeganAt, Choice, Chooser, EndpointQuery, WaitReason},
    dialect, directory, entry_peers,
};
use sageshed_types::time;

const NOW: time::Instant = time::Instant(1_000);

fn engine(id: &str, software_version: Option<&str>) -> directory::Instance {
    directory::Instance {
        software_version: software_version.map(str::to_owned),
        ..support::engine(id, &["m0"])
    }
}

fn version(name: &str) -> BeganAt {
    BeganAt::Version(directory::SoftwareKey::new(support::ENGINES, name))
}

fn wanted() -> dialect::ModelRef {
    dialect::ModelRef {
        model: "m0".to_owned(),
        adapter: None,
    }
}

struct Case {
    name: &'static str,
    /// The software version of each engine.
    engines: &'static [Option<&'static str>],
    began: BeganAt,
    /// Positions of the engines that can resume the stream.
    expected: &'static [usize],
}

fn cases() -> [Case; 6] {
    let mixed = &[Some("v1"), Some("v2"), Some("v1"), None];
    [
        Case {
            name: "not begun",
            engines: mixed,
            began: BeganAt::NotBegun,
            expected: &[0, 1, 2, 3],
        },
        Case {
            name: "begun at v1",
            engines: mixed,
            began: version("v1"),
            expected: &[0, 2],
        },
        Case {
            name: "begun at v2",
            engines: mixed,
            began: version("v2"),
            expected: &[1],
        },
        Case {
            name: "no engine of the version left",
            engines: mixed,
            began: version("v3"),
            expected: &[],
        },
        Case {
            name: "begun at an unknown version",
            engines: mixed,
            began: BeganAt::Unknown,
            expected: &[],
        },
        Case {
            name: "begun at an unknown version, and no version known",
            engines: &[None, None],
            began: BeganAt::Unknown,
            expected: &[],
        },
    ]
}

/// Guards against a stream that is resumed at an engine of another version, by the choice of this process, by that of a
/// coordinator, or by the decision of a coordinator that does not know of versions.
#[test]
fn a_stream_is_resumed_by_engines_of_its_version_only() {
    for case in cases() {
        let mut chooser = Chooser::new("z1", 7);
        let ids: Vec<_> = (0..case.engines.len()).map(|at| format!("e{at}")).collect();
        for (id, software) in ids.iter().zip(case.engines) {
            chooser.update_instance(&engine(id, *software));
        }
        let wanted = wanted();
        let query = EndpointQuery {
            began: case.began,
            ..support::ask(&wanted, 10)
        };
        let name = case.name;
        assert_eq!(
            chooser.can_resume(&query),
            !case.expected.is_empty(),
            "{name}"
        );
        for _ in 0..20 {
            match chooser.choose(NOW, &query) {
                Choice::Send(pick) => {
                    let at = ids.iter().position(|id| **id == pick.instance.name);
                    let at = at.expect("an engine");
                    assert!(case.expected.contains(&at), "{name}: {}", pick.instance);
                }
                choice => {
                    assert_eq!(choice, Choice::Wait(WaitReason::Endpoint), "{name}");
                    assert!(case.expected.is_empty(), "{name}");
                }
            }
        }
        for (at, id) in ids.iter().enumerate() {
            let key = entry_peers::instance_key(&id.as_str().into());
            let followed = chooser.follow_decision(NOW, key, time::Millis(5), &query);
            assert_eq!(
                followed.is_some(),
                case.expected.contains(&at),
                "{name}: {id}"
            );
        }
    }
}

/// Guards against an engine whose version is forgotten when a process that does not know of versions passes on its
/// newer announcement.
#[test]
fn the_version_of_an_instance_outlives_records_without_it() {
    let mut directory = directory::Directory::new(1);
    let record = |software, sequence| directory::Record {
        instance: directory::Instance {
            sequence,
            ..engine("e1", software)
        },
        amended: 0,
        rank: 0,
        age: time::Millis(0),
    };
    directory.merge(NOW, record(Some("v1"), 1));
    directory.merge(NOW, record(None, 2));
    let known = directory.instance(&"e1".into()).expect("it is known");
    assert_eq!(
        (known.sequence, known.software_version.as_deref()),
        (2, Some("v1"))
    );
}
