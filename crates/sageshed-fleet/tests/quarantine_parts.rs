//! Which parts of prompts are quarantined.

use sageshed_fleet::{
    fingerprint,
    quarantine::{
        Crash, Cursor, Fingerprint, FingerprintKind, MAX_SUSPECTS, PART_CRASH_LIMIT,
        PART_SUCCESS_WINDOW, Quarantine, SyncScope, TRIAL_INTERVAL,
    },
};
use sageshed_types::time::{Instant, Millis};

const NOW: Instant = Instant(50_000);

/// The part that crashes engines, and one that all prompts begin with.
const POISON: u64 = 0xdead;
const SHARED: u64 = 0xaa;

/// Engines that crash one after the other.
const ENGINES: u64 = 12;

fn part(id: u64) -> Fingerprint {
    fingerprint::of_prompt_part(id)
}

fn crash(content: Fingerprint, endpoint: u64) -> Crash {
    Crash {
        content,
        endpoint,
        age: Millis(0),
        is_cleared: false,
    }
}

/// What an entry process reports of a crash: the parts of the requests that it had there, but those that completed
/// here lately.
fn report(quarantine: &mut Quarantine, now: Instant, endpoint: u64, parts: &[u64]) {
    for id in parts {
        if !quarantine.has_succeeded(now, part(*id)) {
            quarantine.merge(now, &crash(part(*id), endpoint));
        }
    }
}

fn is_quarantined(quarantine: &Quarantine, now: Instant, id: u64) -> bool {
    quarantine.quarantined_for(now, part(id)).is_some()
}

#[test]
fn fingerprints_of_requests_and_parts_differ() {
    let request = fingerprint::of("POST", "a.example", "/x", None, b"prompt");
    assert_eq!(request.kind(), FingerprintKind::Request);
    for id in [0, SHARED, u64::MAX] {
        assert_eq!(part(id).kind(), FingerprintKind::PromptPart, "{id:x}");
    }
    assert_ne!(part(SHARED), part(POISON));
}

/// Guards against a quarantine of the part that all prompts begin with: it is at every crash.
#[test]
fn a_part_that_completes_now_and_then_is_not_quarantined() {
    let mut quarantine = Quarantine::new(1);
    let mut now = NOW;
    quarantine.record_success(now, part(SHARED));
    for engine in 0..ENGINES {
        now = now + Millis(PART_SUCCESS_WINDOW.0 / ENGINES);
        report(&mut quarantine, now, engine, &[SHARED, POISON]);
        let is_known = engine + 1 >= PART_CRASH_LIMIT as u64;
        assert_eq!(
            is_quarantined(&quarantine, now, POISON),
            is_known,
            "{engine}"
        );
        assert!(!is_quarantined(&quarantine, now, SHARED), "{engine}");
    }
}

/// Guards against a sound part that stays quarantined because a process that has just started reports its crashes:
/// another one, with which it has completed, clears it.
#[test]
fn a_process_that_knows_better_clears_a_part() {
    let (mut control, mut entry) = (Quarantine::new(1), Quarantine::new(2));
    entry.record_success(NOW, part(SHARED));
    for engine in 0..PART_CRASH_LIMIT as u64 {
        control.merge(NOW, &crash(part(SHARED), engine));
    }
    assert!(is_quarantined(&control, NOW, SHARED));
    let told = control.since(NOW, entry.cursor(), SyncScope::Quarantined);
    entry.merge_all(NOW, &told);
    assert!(!is_quarantined(&entry, NOW, SHARED), "told of it");
    let cleared = entry.since(NOW, Cursor::default(), SyncScope::All);
    control.merge_all(NOW, &cleared);
    assert!(!is_quarantined(&control, NOW, SHARED), "told back");
}

/// Guards against a quarantine that nothing can end, since no request that could complete is passed on.
#[test]
fn one_trial_at_a_time_is_passed_on() {
    let mut quarantine = Quarantine::new(1);
    for engine in 0..ENGINES {
        report(&mut quarantine, NOW, engine, &[POISON]);
    }
    let early = NOW + Millis(TRIAL_INTERVAL.0 - 1);
    assert!(!quarantine.take_trial(early, part(POISON)), "too early");
    let due = NOW + TRIAL_INTERVAL;
    assert!(quarantine.take_trial(due, part(POISON)), "due");
    assert!(!quarantine.take_trial(due, part(POISON)), "a second one");
    assert!(is_quarantined(&quarantine, due, POISON), "during the trial");
    let next = due + TRIAL_INTERVAL;
    assert!(quarantine.take_trial(next, part(POISON)), "the next one");
    quarantine.record_success(next, part(POISON));
    assert!(!is_quarantined(&quarantine, next, POISON), "it completed");
}

/// Guards against callers that evict what is known of requests by prompts of many parts.
#[test]
fn parts_do_not_evict_requests() {
    let mut quarantine = Quarantine::new(1);
    let request = fingerprint::of("POST", "a.example", "/x", None, b"prompt");
    quarantine.merge(NOW, &crash(request, 1));
    for id in 0..2 * MAX_SUSPECTS as u64 {
        quarantine.merge(NOW + Millis(1), &crash(part(id), 1));
    }
    assert_eq!(quarantine.crash_count(NOW, request), 1);
}

/// Guards against a part that is known again only after more crashes: the log has to hold it.
#[test]
fn a_part_is_restored_from_the_log() {
    let mut before = Quarantine::new(1);
    for engine in 0..ENGINES {
        report(&mut before, NOW, engine, &[POISON]);
    }
    let mut after = Quarantine::new(2);
    after.restore(NOW, &before.quarantined(NOW));
    assert!(is_quarantined(&after, NOW, POISON));
}
