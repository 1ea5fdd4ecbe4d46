//! Authentication of requests: which keys a configuration accepts, which routes require one, and how a
//! change of the configuration affects a key.

mod support;

use sageshed_fleet::{config, workspaces};
use sageshed_types::secret;

const DUG: &str = "key-of-dug";
const OLD: &str = "older-key-of-dug";
const PIPE: &str = "key-of-pipe";

fn digest(key: &str) -> secret::KeyDigest {
    secret::KeyDigest::of(key.as_bytes())
}

fn workspace(name: &str) -> config::Workspace {
    config::Workspace {
        name: name.to_owned(),
        priority: None,
        quota: None,
    }
}

/// Two workspaces, of which the first holds two keys.
fn two() -> config::Workspaces {
    config::Workspaces {
        all: vec![workspace("dug"), workspace("pipe")],
        keys: vec![(digest(DUG), 0), (digest(OLD), 0), (digest(PIPE), 1)],
    }
}

/// The credentials of a request on an open route or another one, and the workspace that it is attributed
/// to.
struct Case {
    name: &'static str,
    shown: secret::Credential,
    is_open: bool,
    known: Result<Option<&'static str>, workspaces::AuthError>,
}

#[test]
fn a_request_is_attributed_by_its_key() {
    let key = |key| secret::Credential::Bearer(digest(key));
    let case = |name, shown, is_open, known| Case {
        name,
        shown,
        is_open,
        known,
    };
    let bad = secret::Credential::Malformed("twice");
    let cases = [
        case("its key", key(DUG), false, Ok(Some("dug"))),
        case("its other key", key(OLD), false, Ok(Some("dug"))),
        case("another's key", key(PIPE), false, Ok(Some("pipe"))),
        case(
            "an unknown key",
            key("x"),
            false,
            Err(workspaces::AuthError::UnknownKey),
        ),
        case(
            "an empty key",
            key(""),
            false,
            Err(workspaces::AuthError::UnknownKey),
        ),
        case(
            "a key in other case",
            key("KEY-OF-DUG"),
            false,
            Err(workspaces::AuthError::UnknownKey),
        ),
        case(
            "a prefix of a key",
            key("key-of-du"),
            false,
            Err(workspaces::AuthError::UnknownKey),
        ),
        case(
            "no key",
            secret::Credential::Missing,
            false,
            Err(workspaces::AuthError::NoKey),
        ),
        case(
            "a malformed key",
            bad,
            false,
            Err(workspaces::AuthError::Malformed("twice")),
        ),
        case(
            "its key on an open route",
            key(PIPE),
            true,
            Ok(Some("pipe")),
        ),
        case("an unknown key on an open route", key("x"), true, Ok(None)),
        case(
            "no key on an open route",
            secret::Credential::Missing,
            true,
            Ok(None),
        ),
        case("a malformed key on an open route", bad, true, Ok(None)),
    ];
    let known = workspaces::Workspaces::new(&two());
    for case in cases {
        let found = workspaces::identify(Some(&known), case.shown, case.is_open);
        let found = found.map(|it| it.map(|it| it.name.clone()));
        let expected = case.known.map(|it| it.map(str::to_owned));
        assert_eq!(found, expected, "{}", case.name);
        // Without workspaces no key is needed.
        let anybody = workspaces::identify(None, case.shown, case.is_open);
        assert_eq!(anybody.map(|it| it.is_none()), Ok(true), "{}", case.name);
    }
}

/// A change of the configuration, and the holder of the key after it.
struct KeyChange {
    name: &'static str,
    apply: fn(&mut config::Workspaces),
    holder: Option<&'static str>,
}

#[test]
fn a_key_belongs_to_whom_the_newest_configuration_gives_it() {
    let cases = [
        KeyChange {
            name: "nothing changes",
            apply: |_| (),
            holder: Some("dug"),
        },
        KeyChange {
            name: "the key is revoked",
            apply: |it| it.keys = it.keys.split_off(1),
            holder: None,
        },
        KeyChange {
            name: "another key of the workspace is revoked",
            apply: |it| it.keys.retain(|(key, _)| *key != digest(OLD)),
            holder: Some("dug"),
        },
        KeyChange {
            name: "the workspace loses its last key",
            apply: |it| it.keys.retain(|(_, at)| *at != 0),
            holder: None,
        },
        KeyChange {
            name: "the key moves to another workspace",
            apply: |it| it.keys[0].1 = 1,
            holder: Some("pipe"),
        },
        KeyChange {
            name: "no workspace is left",
            apply: |it| *it = config::Workspaces::default(),
            holder: None,
        },
    ];
    for case in cases {
        let mut changed = two();
        (case.apply)(&mut changed);
        let known = workspaces::Workspaces::new(&changed);
        let holder = known.holder(digest(DUG)).map(|it| it.name.as_str());
        assert_eq!(holder, case.holder, "{}", case.name);
    }
}

/// Workspaces whose keys collide or not, and the two that the error names.
struct Keys {
    name: &'static str,
    held: &'static [(&'static str, usize)],
    shared: Option<(&'static str, &'static str)>,
}

/// With one key for two workspaces, requests could not be attributed, and one would use up the quota of the
/// other.
#[test]
fn a_key_that_two_hold_is_refused_with_both_names_and_without_the_key() {
    let cases = [
        Keys {
            name: "separate keys",
            held: &[("a", 0), ("b", 1)],
            shared: None,
        },
        Keys {
            name: "a workspace lists its key twice",
            held: &[("a", 0), ("a", 0), ("b", 1)],
            shared: None,
        },
        Keys {
            name: "two workspaces share a key",
            held: &[("a", 0), ("b", 0), ("c", 1), ("b", 1)],
            shared: Some(("dug", "pipe")),
        },
    ];
    for case in cases {
        let keys = case.held.iter().map(|(key, at)| (digest(key), *at));
        let mut config = support::config();
        config.workspaces = Some(config::Workspaces {
            keys: keys.collect(),
            ..two()
        });
        let expected = match case.shared {
            None => Ok(()),
            Some((first, second)) => Err(config::ConfigError::SharedKey {
                first: first.to_owned(),
                second: second.to_owned(),
            }),
        };
        assert_eq!(config.check(), expected, "{}", case.name);
    }
}

/// Configurations and identities are printed while debugging. The digest of a short key would reveal the
/// key.
#[test]
fn printed_keys_reveal_nothing() {
    let shown = format!("{:?} {:?}", two(), workspaces::Workspaces::new(&two()));
    let hex = digest(DUG).to_hex();
    assert!(!shown.contains(DUG) && !shown.contains(&hex), "{shown}");
    assert!(shown.contains("KeyDigest(..)"), "{shown}");
}

/// As many keys as a large deployment has: each is found, and a lookup allocates nothing that grows with
/// their number.
#[test]
fn each_of_a_hundred_thousand_keys_is_found() {
    let keys = |at: usize| (digest(&format!("key {at}")), at % 500);
    let many = config::Workspaces {
        all: (0..500).map(|at| workspace(&format!("w{at}"))).collect(),
        keys: (0..100_000).map(keys).collect(),
    };
    let known = workspaces::Workspaces::new(&many);
    for at in [0, 1, 499, 500, 54_321, 99_999] {
        let holder = known.holder(digest(&format!("key {at}")));
        let expected = format!("w{}", at % 500);
        assert_eq!(holder.map(|it| it.name.as_str()), Some(expected.as_str()));
    }
    assert!(known.holder(digest("key 100000")).is_none());
}
