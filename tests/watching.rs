//! Who is told at once of requests under which endpoints end, and of what.

use std::{net, sync, sync::mpsc, thread, time};

use sageshed::control::fleet::hub;
use sageshed_fleet::{directory, messages, quarantine};
use sageshed_types::time as types_time;

/// How long a watch is kept where nothing is new: none of these tests waits for it.
const KEPT: types_time::Millis = types_time::Millis(600_000);

/// How long anything that is waited for may take. A test that reaches it has failed.
const PATIENCE: time::Duration = time::Duration::from_secs(20);

const NOW: types_time::Instant = types_time::Instant(5_000);

fn crash(endpoint: u64) -> quarantine::Crash {
    quarantine::Crash {
        content: quarantine::Fingerprint(1),
        endpoint,
        age: types_time::Millis(0),
        is_cleared: false,
    }
}

/// A watch of one that knows all there is so far.
fn watch(watcher: messages::Watcher, known: quarantine::Mark) -> messages::WatchReq {
    messages::WatchReq {
        watcher,
        ip: net::Ipv4Addr::LOCALHOST,
        availability_zone: "z1".to_owned(),
        wants: messages::Wants::Digest,
        config: 0,
        text_held: 0,
        mark: directory::Mark::default(),
        entries_known: 0,
        patience: KEPT,
        entries: Vec::new(),
        demand: Vec::new(),
        crashes_known: Some(known),
        crashes: Vec::new(),
        leaving: Vec::new(),
    }
}

/// Who watches, how many ends there are, and how many it is told of at once.
struct Case {
    name: &'static str,
    watcher: messages::Watcher,
    ends: u64,
    told: usize,
}

/// Endpoints end under a request. Control processes need each end at once, since three of them may have heard of
/// one each, and entry processes the request that is held. Told with the next call that brings something else, they
/// would send it on for seconds.
#[test]
fn whoever_watches_is_told_at_once() {
    let cases = [
        Case {
            name: "a control process, of the first end",
            watcher: messages::Watcher::Control,
            ends: 1,
            told: 1,
        },
        Case {
            name: "an entry process, of the third",
            watcher: messages::Watcher::Entry,
            ends: 3,
            told: 3,
        },
    ];
    for case in &cases {
        let hub = sync::Arc::new(hub::Hub::new(1));
        let known = hub.with_quarantine(|it| it.mark());
        let (tx, rx) = mpsc::channel();
        let watching = sync::Arc::clone(&hub);
        let req = watch(case.watcher, known);
        thread::spawn(move || tx.send(watching.news(NOW, &req).crashes));
        for endpoint in 1..=case.ends {
            hub.take_crashes(NOW, &[crash(endpoint)]);
        }
        let told = rx.recv_timeout(PATIENCE).expect(case.name);
        assert_eq!(told.len(), case.told, "{}", case.name);
    }
}

/// An entry process has no use for a request under which two endpoints have ended: it goes on.
#[test]
fn an_entry_process_is_not_told_of_what_is_not_held() {
    let hub = hub::Hub::new(1);
    hub.take_crashes(NOW, &[crash(1), crash(2)]);
    let req = messages::WatchReq {
        patience: types_time::Millis(1),
        ..watch(messages::Watcher::Entry, quarantine::Mark::default())
    };
    assert!(hub.news(NOW, &req).crashes.is_empty());
    let other = messages::WatchReq {
        patience: types_time::Millis(1),
        ..watch(messages::Watcher::Control, quarantine::Mark::default())
    };
    assert_eq!(hub.news(NOW, &other).crashes.len(), 2);
}

/// A process of an earlier version takes nothing of this. Answered at once, since there is always something that
/// it does not know, it would ask without a pause.
#[test]
fn an_earlier_version_is_not_woken() {
    let hub = hub::Hub::new(1);
    hub.take_crashes(NOW, &[crash(1), crash(2), crash(3)]);
    let (tx, rx) = mpsc::channel();
    let hub = sync::Arc::new(hub);
    let watching = sync::Arc::clone(&hub);
    let req = messages::WatchReq {
        crashes_known: None,
        ..watch(messages::Watcher::Entry, quarantine::Mark::default())
    };
    thread::spawn(move || tx.send(watching.news(NOW, &req).config));
    // What wakes it is the configuration, which comes later.
    let quiet = rx.recv_timeout(time::Duration::from_millis(300));
    assert_eq!(quiet, Err(mpsc::RecvTimeoutError::Timeout));
    hub.set_config(7);
    assert_eq!(rx.recv_timeout(PATIENCE), Ok(7));
}
