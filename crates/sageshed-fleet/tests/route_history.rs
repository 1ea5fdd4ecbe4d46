//! Which services have got streams of routes that led elsewhere before.

use std::collections::BTreeSet;

use sageshed_fleet::{config, directory, route_history::RouteHistory};
use sageshed_types::time;

mod support;

/// Routes at one host as prefixes with their services.
type Routes = &'static [(&'static str, &'static [&'static str])];

struct Case {
    name: &'static str,
    /// The configurations that follow each other, seconds apart.
    configs: &'static [Routes],
    /// The services that are mixed by the last one.
    mixed: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        name: "the first configuration",
        configs: &[&[("/a/", &["s1"])]],
        mixed: &[],
    },
    Case {
        name: "the same targets",
        configs: &[&[("/a/", &["s1"])], &[("/a/", &["s1"])]],
        mixed: &[],
    },
    Case {
        name: "moved",
        configs: &[&[("/a/", &["s1"])], &[("/a/", &["s2"])]],
        mixed: &["s2"],
    },
    Case {
        name: "moved there and back",
        configs: &[
            &[("/a/", &["s1"])],
            &[("/a/", &["s2"])],
            &[("/a/", &["s1"])],
        ],
        mixed: &["s1"],
    },
    Case {
        name: "an unrelated change after a move",
        configs: &[
            &[("/a/", &["s1"])],
            &[("/a/", &["s2"])],
            &[("/a/", &["s2"]), ("/b/", &["s3"])],
        ],
        mixed: &[],
    },
    Case {
        name: "removed and made anew",
        configs: &[&[("/a/", &["s1"])], &[], &[("/a/", &["s2"])]],
        mixed: &["s2"],
    },
    Case {
        name: "split",
        configs: &[&[("/a/", &["s1"])], &[("/a/", &["s1", "s2"])]],
        mixed: &[],
    },
    Case {
        name: "split and joined",
        configs: &[&[("/a/", &["s1", "s2"])], &[("/a/", &["s1"])]],
        mixed: &["s1"],
    },
    Case {
        name: "a route below is added",
        configs: &[&[("/a/", &["s1"])], &[("/a/", &["s1"]), ("/a/b/", &["s2"])]],
        mixed: &["s2"],
    },
    Case {
        name: "a route below is removed",
        configs: &[&[("/a/", &["s1"]), ("/a/b/", &["s2"])], &[("/a/", &["s1"])]],
        mixed: &["s1"],
    },
    Case {
        name: "a route below is removed, and later the one above is made anew",
        configs: &[&[("/a/b/", &["s2"])], &[], &[("/a/", &["s1"])]],
        mixed: &["s1"],
    },
];

fn config(version: usize, routes: Routes) -> config::FleetConfig {
    let mut config = support::config();
    let template = config.routes[0].clone();
    let targets = |services: &[&str]| {
        let all = services.iter().map(|it| config::Target {
            service: (*it).to_owned(),
            weight: 1,
        });
        all.collect()
    };
    config.version = version as u64;
    config.routes = routes
        .iter()
        .map(|(prefix, services)| config::Route {
            prefix: (*prefix).to_owned(),
            targets: targets(services),
            kind: config::RequestKind::ResumableStream,
            ..template.clone()
        })
        .collect();
    config
}

fn last_mixed(configs: &[Routes], gap: time::Millis) -> BTreeSet<String> {
    let mut history = RouteHistory::default();
    let mut mixed = BTreeSet::new();
    for (number, routes) in configs.iter().enumerate() {
        let now = time::Instant(gap.0 * number as u64);
        mixed = history.replace(now, &config(number + 1, routes));
    }
    mixed
}

/// Guards against a stream that is resumed at a service to which its route has moved, as if it had begun there.
#[test]
fn a_service_is_mixed_if_a_route_that_led_elsewhere_now_leads_there() {
    for case in CASES {
        let mixed = last_mixed(case.configs, time::Millis(1_000));
        let expected: BTreeSet<_> = case.mixed.iter().map(|it| (*it).to_owned()).collect();
        assert_eq!(mixed, expected, "{}", case.name);
    }
    let anew: [Routes; 3] = [&[("/a/", &["s1"])], &[], &[("/a/", &["s2"])]];
    assert!(last_mixed(&anew, directory::ENDED_RETENTION).is_empty());
}

/// Guards against a change that is not noticed since all processes ended when it was committed.
#[test]
fn a_history_that_was_read_from_disk_notices_a_change_since_then() {
    let now = time::Instant(5_000);
    let mut history = RouteHistory::default();
    history.replace(now, &config(1, &[("/a/", &["s1"])]));
    history.replace(now, &config(2, &[("/b/", &["s1"])]));
    let written = serde_json::to_string(&history).expect("it can be written");
    let mut read: RouteHistory = serde_json::from_str(&written).expect("it can be read");
    let restarted = time::Instant(10);
    assert!(read.restore(restarted).is_empty());
    let moved = config(3, &[("/a/", &["s2"]), ("/b/", &["s1"])]);
    assert_eq!(read.replace(restarted, &moved), ["s2".to_owned()].into());
    let written = serde_json::to_string(&read).expect("it can be written");
    let mut again: RouteHistory = serde_json::from_str(&written).expect("it can be read");
    let mixed: Vec<_> = again.restore(restarted).iter().collect();
    assert_eq!(mixed.len(), 1);
    assert_eq!((mixed[0].service.as_str(), mixed[0].version), ("s2", 3));
    let unread = RouteHistory::unknown().replace(restarted, &moved);
    assert_eq!(unread, ["s1".to_owned(), "s2".to_owned()].into());
}
