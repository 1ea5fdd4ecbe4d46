//! For how long a process has been behind the newest configuration.

use sageshed_fleet::versions::VersionHistory;
use sageshed_types::time::{Instant, Millis};

/// The version that is held at some time, and for how long it has been outdated.
struct Case {
    name: &'static str,
    at: u64,
    held: u64,
    behind: Option<u64>,
}

#[test]
fn a_process_is_behind_since_the_first_version_that_it_lacks() {
    let mut versions = VersionHistory::default();
    assert_eq!(versions.behind(Instant(0), 0), None, "nothing is known");
    versions.note(Instant(1_000), 5);
    versions.note(Instant(2_000), 9);
    // An older version that becomes known late.
    versions.note(Instant(3_000), 7);
    assert_eq!(versions.newest(), 9);
    let cases = [
        Case {
            name: "holds none",
            at: 4_000,
            held: 0,
            behind: Some(3_000),
        },
        Case {
            name: "holds the previous one",
            at: 4_000,
            held: 5,
            behind: Some(2_000),
        },
        Case {
            name: "holds the newest",
            at: 4_000,
            held: 9,
            behind: None,
        },
        Case {
            name: "holds a newer one",
            at: 4_000,
            held: 11,
            behind: None,
        },
    ];
    for case in cases {
        let behind = versions.behind(Instant(case.at), case.held);
        assert_eq!(behind, case.behind.map(Millis), "{}", case.name);
    }
}

/// Frequent changes must not take memory without bound.
#[test]
fn old_versions_are_removed() {
    let mut versions = VersionHistory::default();
    for version in 1..=10_000 {
        versions.note(Instant(version), version);
    }
    let behind = versions.behind(Instant(10_000), 0).expect("it is behind");
    assert!(behind < Millis(1_000), "{behind:?}");
    assert_eq!(versions.behind(Instant(10_000), 9_999), Some(Millis(0)));
}
