//! Which requests are quarantined.

use sageshed_fleet::quarantine::{
    CRASH_LIMIT, Change, Crash, Cursor, Fingerprint, MAX_SUSPECTS, PeerSync, Quarantine, RETENTION,
    SyncScope,
};
use sageshed_types::time::{Instant, Millis};

const NOW: Instant = Instant(50_000);

fn content(number: u64) -> Fingerprint {
    Fingerprint(number)
}

fn crash(number: u64, endpoint: u64) -> Crash {
    Crash {
        content: content(number),
        endpoint,
        age: Millis(0),
        is_cleared: false,
    }
}

/// A process that has seen these crashes.
fn seen(start: u64, crashes: &[Crash]) -> Quarantine {
    let mut quarantine = Quarantine::new(start);
    for it in crashes {
        quarantine.merge(NOW, it);
    }
    quarantine
}

fn is_quarantined_in(quarantine: &Quarantine, number: u64) -> bool {
    quarantine.quarantined_for(NOW, content(number)).is_some()
}

/// One step of a sequence of events for request 1, and whether it is quarantined after it.
struct Step {
    name: &'static str,
    now: Instant,
    crash: Crash,
    change: Change,
    is_quarantined: bool,
}

/// A request crashes one endpoint after the other. It is quarantined after the third; a crash that several
/// processes report, or one that is reported twice, counts once.
#[test]
fn a_request_is_quarantined_after_the_third_crash() {
    let step = |name, endpoint, change, is_quarantined| Step {
        name,
        now: NOW,
        crash: crash(1, endpoint),
        change,
        is_quarantined,
    };
    let steps = [
        step("first crash", 1, Change::Noted, false),
        step("reported again", 1, Change::None, false),
        step("second crash", 2, Change::Noted, false),
        step("third crash", 3, Change::Quarantined, true),
        step("a fourth crash that was under way", 4, Change::Noted, true),
    ];
    let mut quarantine = Quarantine::new(1);
    for it in &steps {
        let change = quarantine.merge(it.now, &it.crash);
        assert_eq!(change, it.change, "{}", it.name);
        assert_eq!(
            is_quarantined_in(&quarantine, 1),
            it.is_quarantined,
            "{}",
            it.name
        );
    }
    assert!(
        !is_quarantined_in(&quarantine, 2),
        "another request is passed on"
    );
}

/// A request of many callers runs on three endpoints that crash one after the other, and completes in
/// between: it was not the cause. If it were quarantined, a page that all callers request would be refused
/// for an hour.
#[test]
fn a_request_that_completes_in_between_is_not_quarantined() {
    let mut quarantine = Quarantine::new(1);
    let mut now = NOW;
    for endpoint in 0..10 {
        // So far apart that no completed request is remembered.
        now = now + Millis(100_000);
        quarantine.merge(now, &crash(1, endpoint));
        quarantine.merge(now, &crash(2, endpoint));
        if endpoint % 2 == 1 {
            assert!(quarantine.record_success(now, content(1)));
        }
    }
    assert!(quarantine.quarantined_for(now, content(1)).is_none());
    let other = quarantine.quarantined_for(now, content(2));
    assert!(
        other.is_some(),
        "a request that never completes is quarantined"
    );
    assert!(
        !quarantine.record_success(now, content(3)),
        "nothing to clear"
    );
}

/// A rack is lost, and with it three of the eighty endpoints that a request of all callers was running on.
/// Each entry process completes it many times a second on the others. If it were quarantined by the reports
/// of three of them, it would be refused for all callers for an hour.
#[test]
fn a_request_that_completes_all_the_time_is_not_quarantined_when_a_rack_is_lost() {
    let crashes = [crash(1, 1), crash(1, 2), crash(1, 3)];
    let control = seen(1, &crashes);
    assert!(
        is_quarantined_in(&control, 1),
        "it is quarantined by the crashes alone"
    );
    for (answered_before, is_quarantined) in [(1_000, false), (29_000, false), (61_000, true)] {
        let mut entry = Quarantine::new(2);
        let then = Instant(NOW.0 + 100_000 - answered_before);
        let now = Instant(NOW.0 + 100_000);
        entry.record_success(then, content(1));
        for it in control.since(NOW, Cursor::default(), SyncScope::Quarantined) {
            entry.merge(now, &it);
        }
        let found = entry.quarantined_for(now, content(1)).is_some();
        assert_eq!(
            found, is_quarantined,
            "completed {answered_before} ms before"
        );
        // Control learns of it, and everybody from control.
        let mut informed = control.clone();
        for it in entry.since(now, Cursor::default(), SyncScope::All) {
            informed.merge(now, &it);
        }
        assert_eq!(
            informed.quarantined_for(now, content(1)).is_some(),
            is_quarantined
        );
    }
}

/// Three entry processes see one crash each and report it to a control process each. Whatever the order in
/// which these exchange their evidence, and even if they do so twice, none of it may be lost, or the
/// request would be passed on.
#[test]
fn exchanged_evidence_converges() {
    let own = [crash(1, 1), crash(1, 2), crash(1, 3)];
    for first in 0..3 {
        for second in 0..3 {
            let mut control: Vec<_> = (0..3)
                .map(|at| seen(at as u64 + 1, &own[at..=at]))
                .collect();
            let mut known = [[Cursor::default(); 3]; 3];
            let order = [
                (first, second),
                (second, first),
                (0, 1),
                (1, 2),
                (2, 0),
                (0, 2),
                (1, 0),
                (2, 1),
            ];
            for (to, from) in order.into_iter().filter(|(to, from)| to != from) {
                let to_send = control[from].since(NOW, known[to][from], SyncScope::All);
                known[to][from] = control[from].cursor();
                for it in to_send {
                    control[to].merge(NOW, &it);
                }
            }
            for it in &control {
                assert!(is_quarantined_in(it, 1), "{first} {second}: {it:?}");
                let quiet = it.since(NOW, it.cursor(), SyncScope::All);
                assert!(quiet.is_empty(), "nothing is left to send: {quiet:?}");
            }
        }
    }
}

/// An entry process is told only of quarantined requests, with all the evidence for them, and of their
/// release.
#[test]
fn an_entry_process_is_told_what_is_quarantined() {
    let mut control = seen(7, &[crash(1, 1), crash(1, 2), crash(2, 1)]);
    let mut entry = Quarantine::new(9);
    let mut known = Cursor::default();
    let send = |control: &Quarantine, entry: &mut Quarantine, known: &mut Cursor| {
        let to_send = control.since(NOW, *known, SyncScope::Quarantined);
        *known = control.cursor();
        for it in &to_send {
            entry.merge(NOW, it);
        }
        to_send.len()
    };
    assert!(!control.has_news(known, SyncScope::Quarantined));
    assert_eq!(send(&control, &mut entry, &mut known), 0);
    control.merge(NOW, &crash(1, 3));
    assert!(control.has_news(known, SyncScope::Quarantined));
    assert_eq!(send(&control, &mut entry, &mut known), 3);
    assert!(is_quarantined_in(&entry, 1));
    control.merge(NOW, &crash(2, 2));
    assert_eq!(
        send(&control, &mut entry, &mut known),
        0,
        "not quarantined, not sent"
    );
    control.record_success(NOW, content(1));
    assert_eq!(send(&control, &mut entry, &mut known), 3);
    assert!(!is_quarantined_in(&entry, 1));
    // A process that was just started knows nothing.
    let mut started = Quarantine::new(11);
    control.merge(NOW, &crash(2, 3));
    assert_eq!(send(&control, &mut started, &mut Cursor::default()), 6);
    assert!(is_quarantined_in(&started, 2) && !is_quarantined_in(&started, 1));
}

/// A control process restarts with an empty state. Two crashes that an entry process has reported to its
/// previous start would be lost, and the request quarantined only after three more.
#[test]
fn a_restarted_control_process_is_sent_everything_again() {
    let mut entry = seen(9, &[crash(1, 1)]);
    let mut link = PeerSync::default();
    let exchange = |entry: &Quarantine, control: &mut Quarantine, link: &mut PeerSync| {
        let sent = entry.cursor();
        let crashes = entry.since(NOW, link.sent, SyncScope::All);
        control.merge_all(NOW, &crashes);
        link.record_exchange(sent, control.cursor());
        crashes.len()
    };
    let mut control = Quarantine::new(1);
    exchange(&entry, &mut control, &mut link);
    // The control process was not known before, and is sent everything once more.
    assert_eq!(exchange(&entry, &mut control, &mut link), 1);
    assert_eq!(
        exchange(&entry, &mut control, &mut link),
        0,
        "everything was sent"
    );
    entry.merge(NOW, &crash(1, 2));
    assert_eq!(
        exchange(&entry, &mut control, &mut link),
        1,
        "the new crash"
    );
    let mut control = Quarantine::new(2);
    exchange(&entry, &mut control, &mut link);
    assert_eq!(
        exchange(&entry, &mut control, &mut link),
        2,
        "everything again"
    );
    assert_eq!(control.crash_count(NOW, content(1)), 2);
}

/// A clearing that arrives before the crash that it concerns must not be undone by it.
#[test]
fn a_crash_that_arrives_late_stays_cleared() {
    let mut quarantine = Quarantine::new(1);
    for endpoint in 1..=3 {
        let cleared = Crash {
            is_cleared: true,
            ..crash(1, endpoint)
        };
        quarantine.merge(NOW, &cleared);
        quarantine.merge(NOW, &crash(1, endpoint));
    }
    assert!(!is_quarantined_in(&quarantine, 1));
}

/// A crash of an hour ago that another process reports now must not be kept for another hour.
#[test]
fn crashes_expire_by_their_age() {
    let mut quarantine = Quarantine::new(1);
    for endpoint in 1..=3 {
        let old = Crash {
            age: Millis(RETENTION.0 - 1_000 * endpoint),
            ..crash(1, endpoint)
        };
        quarantine.merge(NOW, &old);
    }
    assert_eq!(
        quarantine.quarantined_for(NOW, content(1)),
        Some(Millis(1_000))
    );
    assert_eq!(
        quarantine.quarantined_for(NOW + Millis(1_000), content(1)),
        None
    );
    let to_send = quarantine.since(NOW, Cursor::default(), SyncScope::All);
    assert!(
        to_send.iter().all(|it| it.age.0 >= RETENTION.0 - 3_000),
        "{to_send:?}"
    );
    let too_old = Crash {
        age: RETENTION,
        ..crash(2, 1)
    };
    assert_eq!(quarantine.merge(NOW, &too_old), Change::None);
}

/// Many requests run on endpoints that crash. Quarantined requests stay, and memory stays bounded.
#[test]
fn a_flood_of_suspects_evicts_none_that_is_quarantined() {
    let mut quarantine = seen(1, &[crash(1, 1), crash(1, 2), crash(1, 3)]);
    for number in 10..10 + 2 * MAX_SUSPECTS as u64 {
        quarantine.merge(NOW + Millis(number), &crash(number, 4));
    }
    assert!(is_quarantined_in(&quarantine, 1));
    let to_send = quarantine.since(NOW, Cursor::default(), SyncScope::All);
    assert!(
        to_send.len() <= MAX_SUSPECTS + CRASH_LIMIT,
        "{}",
        to_send.len()
    );
    for endpoint in 10..100 {
        quarantine.merge(NOW, &crash(1, endpoint));
    }
    assert!(quarantine.crash_count(NOW, content(1)) < 10);
}

/// Requests that the control group has persisted are quarantined again after all processes were restarted.
#[test]
fn persisted_requests_are_quarantined_again() {
    let before = seen(1, &[crash(1, 1), crash(1, 2), crash(1, 3), crash(2, 1)]);
    let persisted = before.quarantined(NOW);
    assert_eq!(persisted.len(), 1);
    let mut after = Quarantine::new(2);
    after.restore(Instant(10), &persisted);
    assert!(is_quarantined_in(&after, 1) && !is_quarantined_in(&after, 2));
    assert_eq!(after.quarantined(NOW), persisted);
    let cursor = after.cursor();
    after.restore(NOW, &persisted);
    assert_eq!(after.cursor(), cursor, "nothing has changed");
}
