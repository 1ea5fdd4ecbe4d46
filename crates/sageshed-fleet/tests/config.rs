//! Which configurations are valid, and which route a request takes.

mod support;

use sageshed_fleet::{config, routes};

/// A configuration that is spoiled, and what is said of it.
struct Case {
    name: &'static str,
    spoil: fn(&mut config::FleetConfig),
    says: &'static str,
}

#[test]
fn an_invalid_configuration_is_told_what_is_wrong() {
    let cases = [
        Case {
            name: "unknown service",
            spoil: |it| it.routes[0].targets[0].service = "nowhere".to_owned(),
            says: "names the service nowhere",
        },
        Case {
            name: "same host and prefix",
            spoil: |it| {
                let mut again = it.routes[0].clone();
                again.name = "again".to_owned();
                it.routes.push(again);
            },
            says: "have the same host and path prefix",
        },
        Case {
            name: "no weight",
            spoil: |it| it.routes[0].targets[0].weight = 0,
            says: "add up to zero",
        },
        Case {
            name: "no time",
            spoil: |it| it.routes[0].timeout.0 = 0,
            says: "timeout of route",
        },
    ];
    assert_eq!(support::config().check(), Ok(()));
    for case in cases {
        let mut config = support::config();
        (case.spoil)(&mut config);
        let error = config.check().expect_err(case.name).to_string();
        assert!(error.contains(case.says), "{}: {error}", case.name);
    }
}

/// A request and the route that it takes.
struct Asked {
    host: &'static str,
    path: &'static str,
    route: Option<&'static str>,
}

#[test]
fn the_longest_prefix_of_the_host_decides() {
    let route = |name: &str, host: &str, prefix: &str| config::Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        ..support::route("x")
    };
    let table = routes::RouteTable::new(&[
        route("all", "a.example", "/"),
        route("deep", "a.example", "/x/y/"),
        route("short", "a.example", "/x/"),
        route("other", "b.example", "/x/"),
    ]);
    let asked = |host, path, route| Asked { host, path, route };
    let cases = [
        asked("a.example", "/x/y/z", Some("deep")),
        asked("a.example", "/x/y/", Some("deep")),
        asked("a.example", "/x/y", Some("short")),
        asked("a.example", "/xy/", Some("all")),
        asked("A.EXAMPLE:80", "/x/1", Some("short")),
        asked("b.example", "/x/y/z", Some("other")),
        asked("b.example", "/", None),
        asked("c.example", "/x/", None),
        asked("a.example", "*", None),
    ];
    for case in cases {
        let found = table.find(case.host, case.path);
        let name = found.map(|it| it.name.as_str());
        assert_eq!(name, case.route, "{} {}", case.host, case.path);
    }
}

#[test]
fn targets_are_drawn_by_weight() {
    let target = |service: &str, weight| config::Target {
        service: service.to_owned(),
        weight,
    };
    let targets = [target("a", 90), target("none", 0), target("b", 10)];
    let count = |name: &str| {
        let drawn = (0..1_000).filter_map(|draw| routes::pick(&targets, draw));
        drawn.filter(|it| it.service == name).count()
    };
    assert_eq!((count("a"), count("none"), count("b")), (900, 0, 100));
    assert_eq!(routes::pick(&[target("a", 0)], 7), None);
}
