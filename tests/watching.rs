//! Who is told at once of requests under which endpoints end, and of what.

use std::{net, sync, sync::mpsc, thread, time};

use sageshed::control::fleet::hub;
use sageshed_fleet::{directory, messages, quarantine, replication};
use sageshed_types::time as types_time;

/// How long a watch is kept where nothing is new: none of these tests waits for it.
const KEPT: types_time::Millis = types_time::Millis(600_000);

/// How long anything that is waited for may take. A test that reaches it has failed.
const PATIENCE: time::Duration = time::Duration::from_secs(20);

type Hub = hub::Hub<()>;

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
fn watch(watcher: messages::Watcher, known: quarantine::Cursor) -> messages::WatchReq {
    messages::WatchReq {
        watcher,
        ip: net::Ipv4Addr::LOCALHOST,
        availability_zone: "z1".to_owned(),
        wants: messages::DirectoryDetail::Digest,
        config: 0,
        config_told: None,
        mark: directory::Cursor::default(),
        entries_known: 0,
        patience: KEPT,
        entries: Vec::new(),
        demand: Vec::new(),
        crashes_known: Some(known),
        crashes: Vec::new(),
        takes_alive: false,
        leaving: Vec::new(),
        is_stopping: false,
    }
}

/// What the watcher of `req` is told, once it is told anything.
fn told(hub: &sync::Arc<Hub>, req: messages::WatchReq) -> mpsc::Receiver<hub::Updates> {
    hub.watch(req, ());
    let (tx, rx) = mpsc::channel();
    let hub = sync::Arc::clone(hub);
    thread::spawn(move || {
        for watcher in hub.next_round() {
            tx.send(hub.updates(NOW, &watcher.req))
                .expect("the test waits");
        }
    });
    rx
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
        let hub = sync::Arc::new(Hub::new(1));
        let known = hub.with_quarantine(|it| it.cursor());
        let rx = told(&hub, watch(case.watcher, known));
        for endpoint in 1..=case.ends {
            hub.merge_crashes(NOW, &[crash(endpoint)]);
        }
        let told = rx.recv_timeout(PATIENCE).expect(case.name).crashes;
        assert_eq!(told.len(), case.told, "{}", case.name);
    }
}

/// An entry process has no use for a request under which two endpoints have ended: it goes on.
#[test]
fn an_entry_process_is_not_told_of_what_is_not_held() {
    let hub = Hub::new(1);
    hub.merge_crashes(NOW, &[crash(1), crash(2)]);
    let req = messages::WatchReq {
        patience: types_time::Millis(1),
        ..watch(messages::Watcher::Entry, quarantine::Cursor::default())
    };
    assert!(hub.updates(NOW, &req).crashes.is_empty());
    let other = messages::WatchReq {
        patience: types_time::Millis(1),
        ..watch(messages::Watcher::Control, quarantine::Cursor::default())
    };
    assert_eq!(hub.updates(NOW, &other).crashes.len(), 2);
}

/// A process of an earlier version takes nothing of this. Answered at once, since there is always something that
/// it does not know, it would ask without a pause.
#[test]
fn an_earlier_version_is_not_woken() {
    let hub = sync::Arc::new(Hub::new(1));
    hub.merge_crashes(NOW, &[crash(1), crash(2), crash(3)]);
    let req = messages::WatchReq {
        crashes_known: None,
        ..watch(messages::Watcher::Entry, quarantine::Cursor::default())
    };
    let rx = told(&hub, req);
    // What wakes it is the configuration, which comes later.
    let quiet = rx.recv_timeout(time::Duration::from_millis(300));
    assert_eq!(quiet.err(), Some(mpsc::RecvTimeoutError::Timeout));
    hub.set_config(NOW, 7);
    let news = rx.recv_timeout(PATIENCE).expect("the configuration");
    assert_eq!(news.config, 7);
}

/// Guards against a watch that is answered at once, on and on, while its watcher fetches a configuration.
#[test]
fn a_watcher_that_was_told_of_a_configuration_is_not_woken_by_it_again() {
    let hub = sync::Arc::new(Hub::new(1));
    hub.set_config(NOW, 7);
    let known = hub.with_quarantine(|it| it.cursor());
    let req = messages::WatchReq {
        config: 5,
        config_told: Some(7),
        ..watch(messages::Watcher::Entry, known)
    };
    let rx = told(&hub, req);
    let quiet = rx.recv_timeout(time::Duration::from_millis(300));
    assert_eq!(quiet.err(), Some(mpsc::RecvTimeoutError::Timeout));
    hub.set_config(NOW, 9);
    let news = rx.recv_timeout(PATIENCE).expect("the configuration");
    assert_eq!(news.config, 9);
}

/// Guards against entry processes that lack a configuration and that nobody knows of.
#[test]
fn entry_processes_that_are_behind_are_counted() {
    let hub = Hub::new(1);
    hub.set_config(NOW, 7);
    let known = hub.with_quarantine(|it| it.cursor());
    for (last, config) in [(1, 7), (2, 5), (3, 0)] {
        let req = messages::WatchReq {
            ip: net::Ipv4Addr::new(127, 0, 0, last),
            config,
            ..watch(messages::Watcher::Entry, known)
        };
        hub.note_watcher(NOW, &req);
    }
    let later = NOW + types_time::Millis(400);
    let behind = hub.outdated_entries(later);
    assert_eq!(behind.count, 2);
    assert_eq!(behind.longest, types_time::Millis(400));
}

/// Guards against entry processes that ask a stopping one as a coordinator until it exits. It goes on watching, and
/// other control processes report it until they are told themselves. A process that starts at its address is listed.
#[test]
fn a_stopping_entry_process_is_not_listed() {
    let hub = Hub::new(1);
    let known = hub.with_quarantine(|it| it.cursor());
    let entry = |last| messages::WatchReq {
        ip: net::Ipv4Addr::new(127, 0, 0, last),
        ..watch(messages::Watcher::Entry, known)
    };
    let stopping = messages::WatchReq {
        is_stopping: true,
        ..entry(1)
    };
    let elsewhere = messages::WatchReq {
        ip: net::Ipv4Addr::new(127, 0, 0, 9),
        entries: vec![stopping.ip, entry(3).ip],
        ..watch(messages::Watcher::Control, known)
    };
    for req in [&entry(1), &entry(2), &elsewhere] {
        hub.note_watcher(NOW, req);
    }
    assert_eq!(hub.entries(), [entry(1).ip, entry(2).ip, entry(3).ip]);
    hub.note_watcher(NOW, &stopping);
    hub.note_watcher(NOW, &elsewhere);
    assert_eq!(hub.entries(), [entry(2).ip, entry(3).ip]);
    assert_eq!(hub.own_entries(), [entry(2).ip]);
    hub.note_watcher(NOW, &entry(1));
    assert_eq!(hub.entries(), [entry(1).ip, entry(2).ip, entry(3).ip]);
}

/// How many endpoints a fleet has.
const MANY: u32 = 3_000;

fn endpoint(number: u32) -> directory::Instance {
    directory::Instance {
        id: directory::InstanceId::new(&format!("e{number}"), Some(1)),
        service: "engines".to_owned(),
        software_version: Some("v1".to_owned()),
        address: net::SocketAddrV4::new(net::Ipv4Addr::from(0x0a00_0000 + number), 8_000),
        availability_zone: "z1".to_owned(),
        slots: 64,
        state: directory::State::Ready,
        warming: types_time::Millis(0),
        remaining: None,
        sequence: 1,
        models: (0..3)
            .map(|model| directory::Resident {
                model: format!("model-{model}"),
                version: 1,
                adapters: vec!["a1".to_owned(), "a2".to_owned()],
            })
            .collect(),
        in_memory: vec!["model-1".to_owned()],
        on_disk: vec!["model-1".to_owned(), "model-2".to_owned()],
    }
}

/// A day with 300 entry processes and 3,000 engines: control processes ran out of 256 MB, were started again, and knew
/// nothing. Each of some hundred watchers that knows nothing was answered with the whole directory, each answer of
/// one to three megabytes in three copies; those that came too late were asked for anew. Here one
/// watcher is told all in answers that each stay small, and a change that comes in between is among them.
#[test]
fn a_large_directory_is_told_in_portions() {
    let hub = Hub::new(1);
    for number in 0..MANY {
        hub.announce(NOW, endpoint(number));
    }
    let mut req = watch(
        messages::Watcher::Entry,
        hub.with_quarantine(|it| it.cursor()),
    );
    req.wants = messages::DirectoryDetail::News;
    let mut known = directory::Directory::new(2);
    let misread = sageshed::sampler::Sampler::new(1);
    let mut answers = 0;
    loop {
        let news = hub.updates(NOW, &req);
        answers += 1;
        let bytes: usize = news.records.iter().map(|it| it.0.len()).sum();
        assert!(bytes <= 128 * 1_024, "{bytes} bytes in one answer");
        for record in sageshed::records::unpack(&news.records, &misread, NOW) {
            known.merge(NOW, record);
        }
        if answers == 2 {
            let leaving = directory::Instance {
                state: directory::State::Leaving,
                sequence: 2,
                ..endpoint(0)
            };
            hub.announce(NOW, leaving);
        }
        req.mark = news.mark;
        if !news.has_more {
            assert_eq!(known.digest(), news.digest);
            assert_eq!(news.mark, news.digest_mark);
            break;
        }
    }
    assert!(answers > 5, "{answers}");
    assert_eq!(known.present(NOW).count(), MANY as usize);
    assert!(known.is_leaving(&endpoint(0).id));
}

/// Guards against answers that take longer than their watcher waits, since the engines in them hold copies of hundreds of
/// models.
#[test]
fn engines_with_copies_of_many_models_are_told_in_small_answers() {
    let hub = Hub::new(1);
    for number in 0..100 {
        let engine = directory::Instance {
            on_disk: (0..500).map(|it| format!("model-{it}")).collect(),
            ..endpoint(number)
        };
        hub.announce(NOW, engine);
    }
    let known = hub.with_quarantine(|it| it.cursor());
    let mut req = watch(messages::Watcher::Entry, known);
    req.wants = messages::DirectoryDetail::News;
    let mut told = 0;
    loop {
        let news = hub.updates(NOW, &req);
        let bytes: usize = news.records.iter().map(|it| it.0.len()).sum();
        assert!(bytes <= 128 * 1_024, "{bytes} bytes in one answer");
        told += news.records.len();
        req.mark = news.mark;
        if !news.has_more {
            break;
        }
    }
    assert_eq!(told, 100);
}

/// Control processes tell each other which endpoints live, each endpoint every two seconds. Told in portions, and with
/// each wait, they fell behind in a fleet of thousands: endpoints in good order were taken for silent, and after all
/// processes were killed a fleet of 3,000 did not serve for 30 s.
#[test]
fn signs_of_life_of_a_large_fleet_come_in_one_answer() {
    let hub = Hub::new(1);
    for number in 0..MANY {
        hub.announce(NOW, endpoint(number));
    }
    let mut req = watch(
        messages::Watcher::Control,
        hub.with_quarantine(|it| it.cursor()),
    );
    req.wants = messages::DirectoryDetail::All;
    req.patience = types_time::Millis(1);
    while hub.updates(NOW, &req).mark != req.mark {
        req.mark = hub.updates(NOW, &req).mark;
    }
    let later = NOW + directory::REFRESH_INTERVAL;
    for number in 0..MANY {
        let alive = directory::Instance {
            sequence: 2,
            ..endpoint(number)
        };
        hub.announce(later, alive);
    }
    let news = hub.updates(later, &req);
    assert_eq!(news.records.len(), MANY as usize);
    assert!(!news.has_more);
}

/// Guards against a departure that is acknowledged before others know it: another control process knows it once its next
/// call names the position after it.
#[test]
fn a_departure_is_known_elsewhere_once_a_later_call_names_its_position() {
    let hub = sync::Arc::new(Hub::new(1));
    let position = hub.leave(NOW, &"e1".into());
    let peer = net::Ipv4Addr::LOCALHOST;
    let knows = move |followers: &replication::Positions| followers.knows(peer, position);
    let call = |mark| messages::WatchReq {
        mark,
        wants: messages::DirectoryDetail::All,
        ..watch(messages::Watcher::Control, quarantine::Cursor::default())
    };
    let first = call(directory::Cursor::default());
    hub.note_watcher(NOW, &first);
    assert!(!hub.wait_for_followers(time::Duration::ZERO, knows));
    let update = hub.updates(NOW, &first);
    assert!(
        !hub.wait_for_followers(time::Duration::ZERO, knows),
        "sent, not received"
    );
    let waiting = {
        let hub = sync::Arc::clone(&hub);
        thread::spawn(move || hub.wait_for_followers(PATIENCE, knows))
    };
    hub.note_watcher(NOW, &call(update.mark));
    assert!(waiting.join().expect("it waits"));
}
