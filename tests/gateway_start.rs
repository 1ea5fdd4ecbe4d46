//! Requests that come before an entry process knows any configuration.

use std::{
    env, fs, process,
    sync::{self, atomic},
    thread, time,
};

use sageshed::{gateway::state, settings};
use sageshed_fleet::config;
use sageshed_platform::Platform;
use sageshed_types::time::Millis;

/// Far more than any test waits, so that only what the test does ends the waiting.
const LONG: time::Duration = time::Duration::from_mins(10);

fn started(name: &str) -> sync::Arc<state::Shared<Platform>> {
    let text = "vm = \"edge-1\"\navailability_zone = \"z1\"\n[listen]\ncallers = \"127.0.0.1:0\"\n\
                ready = \"127.0.0.1:0\"\n[discovery]\nip = \"127.0.0.1\"\nseeds = [\"127.0.0.1:1\"]\n\
                vms_port = 1\nbootstrap = false\ntolerates = 1\n";
    let file = env::temp_dir().join(format!("sageshed-{name}-{}.toml", process::id()));
    fs::write(&file, text).expect("settings are written");
    let settings = settings::fleet_entry(&file);
    fs::remove_file(&file).expect("settings are removed");
    sync::Arc::new(state::Shared::new(settings.expect("settings"), Platform))
}

fn first_config() -> config::FleetConfig {
    config::FleetConfig {
        version: 3,
        routes: Vec::new(),
        services: Vec::new(),
        workspaces: None,
        limits: config::CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_024,
            head_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
            reuse_timeout: Millis(12_000),
        },
    }
}

/// All processes were killed. The entry process is up again and takes a request while the control group
/// elects its leader; the configuration comes a moment later. The request is served by it, not refused.
#[test]
fn a_request_that_came_before_the_first_configuration_is_routed_by_it() {
    let shared = started("held");
    let held = sync::Arc::clone(&shared);
    let request = thread::spawn(move || {
        let routing = held.wait_for_routing(time::Instant::now() + LONG, None, || false);
        routing.map(|it| it.config.version)
    });
    while shared.waiting.load(atomic::Ordering::Relaxed) == 0 {
        thread::yield_now();
    }
    shared.apply_config(first_config());
    assert_eq!(request.join().expect("a thread"), Some(3));
    assert_eq!(shared.waiting.load(atomic::Ordering::Relaxed), 0);
}

/// The control group does not come back, or the caller does not wait: the request holds no thread for it.
#[test]
fn a_request_waits_no_longer_than_it_may_and_not_for_a_caller_that_left() {
    let shared = started("past");
    let long_ago = time::Instant::now().checked_sub(time::Duration::from_secs(5));
    let past = shared.wait_for_routing(long_ago.expect("the machine is up"), None, || false);
    assert!(past.is_none());
    let left = shared.wait_for_routing(time::Instant::now() + LONG, None, || true);
    assert!(left.is_none());
}

/// A caller that came half a second ago and says how long it waits: whether its request still waits here for a
/// configuration.
struct Patience {
    name: &'static str,
    deadline: Option<Millis>,
    waits: bool,
}

/// All processes lost power, and the control group needs half a second to lead and to tell. A caller with seconds of
/// time is served then, though it may come but twice; one whose time is nearly over is told to come back.
#[test]
fn a_request_waits_for_the_first_configuration_by_its_callers_patience() {
    let cases = [
        Patience {
            name: "it does not say",
            deadline: None,
            waits: false,
        },
        Patience {
            name: "a second",
            deadline: Some(Millis(1_000)),
            waits: false,
        },
        Patience {
            name: "five seconds",
            deadline: Some(Millis(5_000)),
            waits: true,
        },
    ];
    for case in cases {
        let shared = started("patience");
        let held = sync::Arc::clone(&shared);
        let since = time::Instant::now().checked_sub(time::Duration::from_millis(500));
        let since = since.expect("the machine is up");
        // One that waits is seen to do so, and is answered by the configuration that comes then.
        let request = thread::spawn(move || {
            let routing = held.wait_for_routing(since, case.deadline, || false);
            routing.map(|it| it.config.version)
        });
        if case.waits {
            while shared.waiting.load(atomic::Ordering::Relaxed) == 0 && !request.is_finished() {
                thread::yield_now();
            }
            shared.apply_config(first_config());
            assert_eq!(request.join().expect("a thread"), Some(3), "{}", case.name);
        } else {
            assert_eq!(request.join().expect("a thread"), None, "{}", case.name);
        }
    }
}
