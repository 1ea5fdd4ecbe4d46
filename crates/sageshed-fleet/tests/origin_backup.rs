//! Which records of streams are copied to control processes, and by whom.

mod support;

use std::{collections::BTreeSet, net};

use sageshed_fleet::{
    config,
    directory::{self, SoftwareKey},
    origin_backup::{self, Source, UnsentOrigins},
    stream_origins::{StreamKey, StreamOrigin, StreamOrigins},
};
use sageshed_types::time;

const NOW: time::Instant = time::Instant(70_000);

const OTHERS: &str = "others";

struct Case {
    name: &'static str,
    /// The versions of the instances, by service.
    instances: &'static [(&'static str, &'static str)],
    /// The services of the route of the streams.
    targets: &'static [&'static str],
    kind: config::RequestKind,
    reaches_back: time::Millis,
    contested: &'static [(&'static str, &'static str)],
}

const RESUMABLE: config::RequestKind = config::RequestKind::ResumableStream;

const MINUTE: time::Millis = time::Millis(60_000);

const CASES: &[Case] = &[
    Case {
        name: "one version",
        instances: &[(support::ENGINES, "v1"), (OTHERS, "v2")],
        targets: &[support::ENGINES],
        kind: RESUMABLE,
        reaches_back: MINUTE,
        contested: &[],
    },
    Case {
        name: "two versions",
        instances: &[(support::ENGINES, "v1"), (support::ENGINES, "v2")],
        targets: &[support::ENGINES],
        kind: RESUMABLE,
        reaches_back: MINUTE,
        contested: &[(support::ENGINES, "v1"), (support::ENGINES, "v2")],
    },
    Case {
        name: "two versions of streams that can't be resumed",
        instances: &[(support::ENGINES, "v1"), (support::ENGINES, "v2")],
        targets: &[support::ENGINES],
        kind: config::RequestKind::Stream,
        reaches_back: MINUTE,
        contested: &[],
    },
    Case {
        name: "two services",
        instances: &[(support::ENGINES, "v1"), (OTHERS, "v1")],
        targets: &[support::ENGINES, OTHERS],
        kind: RESUMABLE,
        reaches_back: MINUTE,
        contested: &[(support::ENGINES, "v1"), (OTHERS, "v1")],
    },
    Case {
        name: "earlier versions are not known",
        instances: &[(support::ENGINES, "v1")],
        targets: &[support::ENGINES],
        kind: RESUMABLE,
        reaches_back: time::Millis(1_000),
        contested: &[(support::ENGINES, "v1")],
    },
];

/// Guards against records that no process has after all entry processes have ended, and against those that control
/// processes are sent without need.
#[test]
fn the_versions_that_may_be_confused_are_contested() {
    for case in CASES {
        let mut known = directory::Directory::new(1);
        for (number, (service, version)) in case.instances.iter().enumerate() {
            let instance = directory::Instance {
                software_version: Some((*version).to_owned()),
                ..support::instance(&format!("e{number}"), service, &[])
            };
            known.announce(NOW, instance);
        }
        let target = |service: &&str| config::Target {
            service: (*service).to_owned(),
            weight: 1,
        };
        let route = config::Route {
            kind: case.kind,
            targets: case.targets.iter().map(target).collect(),
            ..support::route("r")
        };
        let contested = origin_backup::contested_versions(&known, case.reaches_back, &[route]);
        let keys = case.contested.iter();
        let expected: BTreeSet<_> = keys
            .map(|(service, version)| SoftwareKey::new(service, version))
            .collect();
        assert_eq!(contested, expected, "{}", case.name);
    }
    let mut moved = directory::Directory::new(1);
    moved.announce(NOW, support::engine("e1", &[]));
    moved.mark_mixed(NOW, support::ENGINES, 7);
    assert_eq!(moved.sole_version(support::ENGINES), None);
}

fn origin(stream: u64, software: u64) -> StreamOrigin {
    StreamOrigin {
        stream: StreamKey(stream),
        software: SoftwareKey(software),
        lifetime: time::Millis(10_000),
    }
}

/// Guards against streams that began before a second version arrived and of which only entry processes have a record.
#[test]
fn records_are_sent_once_when_their_version_becomes_contested() {
    let entries: Vec<_> = (1..=3).map(|it| net::Ipv4Addr::new(10, 0, 0, it)).collect();
    let sent_by = |own: net::Ipv4Addr, is_origin: &dyn Fn(u64) -> bool, contested: u64| {
        let (mut origins, mut unsent) = (StreamOrigins::default(), UnsentOrigins::default());
        for stream in 0..90 {
            let origin = origin(stream, stream % 2);
            let source = if is_origin(stream) {
                Source::Own
            } else {
                Source::Peer
            };
            origins.insert(NOW, origin);
            unsent.insert(NOW, origin, source, &origins);
        }
        let contested = BTreeSet::from([SoftwareKey(contested)]);
        let mut take = |limit| unsent.take(NOW, &contested, own, &entries, &origins, limit);
        let mut taken = take(10);
        assert!(taken.len() <= 10);
        taken.extend(take(usize::MAX));
        assert!(take(usize::MAX).is_empty());
        taken.iter().map(|it| it.stream.0).collect::<Vec<_>>()
    };
    // Each process has begun a third of the streams and has the records of all.
    let mut all = BTreeSet::new();
    for (number, own) in entries.iter().enumerate() {
        let taken = sent_by(*own, &|stream| stream % 3 == number as u64, 1);
        let own_streams = (0..90).filter(|it| it % 3 == number as u64 && it % 2 == 1);
        assert!(own_streams.into_iter().all(|it| taken.contains(&it)));
        assert!(taken.iter().all(|it| it % 2 == 1));
        all.extend(taken);
    }
    assert_eq!(all.len(), 45);
    // The processes that began them have ended.
    let lost: BTreeSet<_> = entries
        .iter()
        .flat_map(|own| sent_by(*own, &|_| false, 0))
        .collect();
    assert_eq!(lost.len(), 45);
}

/// Guards against memory that grows with the streams of versions that are never contested.
#[test]
fn records_that_have_expired_are_not_kept_to_be_sent() {
    let (mut origins, mut unsent) = (StreamOrigins::default(), UnsentOrigins::default());
    for stream in 0..10_000 {
        let now = NOW + time::Millis(stream * 100);
        origins.insert(now, origin(stream, 1));
        unsent.insert(now, origin(stream, 1), Source::Own, &origins);
        assert!(unsent.len() <= 2 * origins.len() + 1);
    }
    let now = NOW + time::Millis(2_000_000);
    let contested = BTreeSet::from([SoftwareKey(1)]);
    let own = net::Ipv4Addr::LOCALHOST;
    assert!(
        unsent
            .take(now, &contested, own, &[own], &origins, 10)
            .is_empty()
    );
}
