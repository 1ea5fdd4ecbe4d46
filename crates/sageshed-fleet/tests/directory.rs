//! The endpoint directory, and how two directories come to agree.

mod support;

use sageshed_fleet::directory::{self, ChangeFilter, Directory, MergeOutcome, State};
use sageshed_types::time;

const T0: time::Instant = time::Instant(1_000);

fn at(ms: u64) -> time::Instant {
    T0 + time::Millis(ms)
}

/// An engine deregisters. An announcement that it had sent before, held up by a network partition, arrives ten seconds
/// later: requests must not be sent to an engine that has gone.
#[test]
fn a_late_announcement_does_not_bring_an_instance_back() {
    let mut directory = Directory::new(1);
    let mut engine = support::engine("e1", &["m0"]);
    assert_eq!(directory.announce(T0, engine.clone()), MergeOutcome::New);
    directory.deregister(at(100), &"e1".into());
    engine.sequence = 9;
    assert_eq!(directory.announce(at(10_000), engine), MergeOutcome::Stale);
    assert!(directory.current_instance("e1").is_none());
}

/// A control process that has just started receives the deregistration of an instance that it doesn't know. The other
/// processes still know the instance, so the deregistration must be passed on.
#[test]
fn a_deregistration_of_an_unknown_instance_is_passed_on() {
    let mut fresh = Directory::new(2);
    fresh.deregister(T0, &"e1".into());
    let mut other = Directory::new(1);
    other.announce(T0, support::engine("e1", &["m0"]));
    for record in fresh.records_after(at(1), directory::Cursor::default(), ChangeFilter::All) {
        other.merge(at(1), record);
    }
    assert!(other.current_instance("e1").is_none());
}

/// An engine says in a response to an entry process that it is leaving. Announcements in flight, records of control
/// processes that were cut off, and a period of silence don't make it ready again, although each comes with a higher
/// sequence number than the one known at the time of the response. Another instance of the endpoint takes new work.
#[test]
fn an_instance_that_is_leaving_gets_no_work_again() {
    let mut directory = Directory::new(1);
    let mut engine = support::engine("e1", &["m0"]);
    directory.announce(T0, engine.clone());
    let id = engine.id.clone();
    assert!(directory.mark_leaving(at(10), &id));
    assert!(!directory.mark_leaving(at(20), &id), "it is already known");
    let state = |directory: &Directory| directory.instance(&id).map(|it| it.state);
    assert_eq!(state(&directory), Some(State::Leaving));
    engine.sequence = 7;
    directory.announce(at(30), engine.clone());
    assert_eq!(
        state(&directory),
        Some(State::Leaving),
        "announced as ready later"
    );
    let mut elsewhere = Directory::new(2);
    engine.sequence = 9;
    elsewhere.announce(at(40), engine.clone());
    exchange(&mut directory, &mut elsewhere, at(50));
    assert_eq!(
        state(&directory),
        Some(State::Leaving),
        "after a record of another process"
    );
    assert_eq!(
        state(&elsewhere),
        Some(State::Leaving),
        "at the other process"
    );
    assert_eq!(directory.digest(), elsewhere.digest());
    directory.expire(at(50) + directory::SILENCE_TIMEOUT);
    assert_eq!(state(&directory), Some(State::Silent));
    engine.sequence = 20;
    directory.announce(at(60) + directory::SILENCE_TIMEOUT, engine.clone());
    assert_eq!(state(&directory), Some(State::Leaving), "after its silence");
    assert!(directory.is_leaving(&id));
    engine.id.born = Some(99);
    engine.sequence = 1;
    directory.announce(at(70) + directory::SILENCE_TIMEOUT, engine);
    let other = directory.current_instance("e1").expect("another instance");
    assert_eq!(other.state, State::Ready);
}

/// The announcement that an engine is leaving arrives after a newer one that went to another control process.
#[test]
fn a_leaving_announcement_holds_though_a_newer_one_arrived_first() {
    let mut directory = Directory::new(1);
    let mut engine = support::engine("e1", &["m0"]);
    engine.sequence = 8;
    directory.announce(T0, engine.clone());
    engine.sequence = 7;
    engine.state = State::Leaving;
    assert_eq!(
        directory.announce(at(10), engine.clone()),
        MergeOutcome::Changed
    );
    assert_eq!(
        directory.instance(&engine.id).map(|it| it.state),
        Some(State::Leaving)
    );
    assert!(directory.has_updates(directory::Cursor::default()));
}

#[test]
fn older_announcements_are_ignored_and_equal_ones_change_nothing() {
    let mut directory = Directory::new(1);
    let mut engine = support::engine("e1", &["m0"]);
    engine.sequence = 5;
    directory.announce(T0, engine.clone());
    let cursor = directory.cursor();
    let mut older = support::engine("e1", &["m1"]);
    older.sequence = 4;
    assert_eq!(directory.announce(at(10), older), MergeOutcome::Stale);
    assert_eq!(directory.announce(at(10), engine), MergeOutcome::Confirmed);
    assert_eq!(directory.cursor(), cursor);
    let known = directory.current_instance("e1").expect("it is present");
    assert!(known.holds("m0", None));
}

/// Two control processes that watch each other have different records of one instance with the same version. If each
/// took the other's, they would exchange them forever, and each exchange would wake every entry process.
#[test]
fn two_directories_do_not_exchange_equal_versions_forever() {
    let mut a = Directory::new(1);
    let mut b = Directory::new(2);
    a.announce(T0, support::engine("e1", &["m0"]));
    b.announce(T0, support::engine("e1", &["m1"]));
    let mut cursors = (directory::Cursor::default(), directory::Cursor::default());
    let mut exchanged = 0;
    for round in 0..20 {
        let from_a = a.records_after(at(round), cursors.0, ChangeFilter::All);
        let from_b = b.records_after(at(round), cursors.1, ChangeFilter::All);
        cursors = (a.cursor(), b.cursor());
        exchanged += from_a.len() + from_b.len();
        for record in from_a {
            b.merge(at(round), record);
        }
        for record in from_b {
            a.merge(at(round), record);
        }
    }
    assert_eq!(exchanged, 2);
}

/// The leader has ordered an adapter and amends the engine's record at once. The engine's next announcement goes to
/// another control process, which doesn't know of the adapter. Both must end with the same record, and a later
/// amendment by the leader must still reach the other.
#[test]
fn amendments_by_the_leader_and_announcements_elsewhere_are_merged() {
    let (mut leader, mut other) = (Directory::new(1), Directory::new(2));
    let mut engine = support::engine("e1", &["m0"]);
    leader.announce(T0, engine.clone());
    other.announce(T0, engine.clone());
    leader.amend(at(1), &"e1".into(), |it| {
        it.models[0].adapters.push("a1".to_owned());
    });
    engine.sequence = 2;
    other.announce(at(2), engine);
    exchange(&mut leader, &mut other, at(3));
    leader.amend(at(4), &"e1".into(), |it| {
        it.models[0].adapters.push("a2".to_owned());
    });
    exchange(&mut leader, &mut other, at(5));
    assert_eq!(leader.current_instance("e1"), other.current_instance("e1"));
    let known = other.current_instance("e1").expect("it is present");
    assert!(known.holds("m0", Some("a2")));
}

fn exchange(a: &mut Directory, b: &mut Directory, now: time::Instant) {
    for _ in 0..2 {
        let from_a = a.records_after(now, directory::Cursor::default(), ChangeFilter::All);
        for record in from_a {
            b.merge(now, record);
        }
        let from_b = b.records_after(now, directory::Cursor::default(), ChangeFilter::All);
        for record in from_b {
            a.merge(now, record);
        }
    }
}

#[test]
fn a_peer_gets_the_changes_after_its_cursor_and_all_after_a_restart() {
    let mut directory = Directory::new(1);
    directory.announce(T0, support::engine("e1", &["m0"]));
    let cursor = directory.cursor();
    directory.announce(at(1), support::engine("e2", &["m0"]));
    let ids = |cursor| -> Vec<String> {
        let records = directory.records_after(at(2), cursor, ChangeFilter::All);
        records.into_iter().map(|it| it.instance.id.name).collect()
    };
    assert_eq!(ids(cursor), ["e2"]);
    let of_another_process = directory::Cursor {
        start: 7,
        change: 99,
    };
    assert_eq!(ids(of_another_process), ["e1", "e2"]);
}

#[test]
fn an_instance_that_was_silent_for_long_is_not_offered() {
    let mut directory = Directory::new(1);
    directory.announce(T0, support::engine("e1", &["m0"]));
    let silence = directory::SILENCE_TIMEOUT;
    assert!(
        directory
            .expire(T0 + time::Millis(silence.0 - 1))
            .is_empty()
    );
    assert_eq!(directory.expire(T0 + silence), ["e1".into()]);
    let records = directory.records_after(
        T0 + silence,
        directory::Cursor::default(),
        ChangeFilter::All,
    );
    assert_eq!(records[0].instance.state, State::Silent);
    let forgotten = T0 + silence + directory::ENDED_RETENTION;
    assert!(directory.expire(forgotten).is_empty());
    assert!(
        directory
            .records_after(forgotten, directory::Cursor::default(), ChangeFilter::All)
            .is_empty()
    );
}

/// An engine crashes and is restarted two seconds later at the same address under another name. Requests for the old
/// one are refused there, so it must be removed at once and not only after its silence.
#[test]
fn an_instance_that_starts_again_at_an_address_replaces_the_one_before() {
    let mut directory = Directory::new(1);
    let old = support::engine("e1", &["m0"]);
    directory.announce(T0, old.clone());
    let mut new = support::engine("f1", &[]);
    new.address = old.address;
    directory.announce(at(2_500), new);
    assert!(directory.current_instance("e1").is_none());
    assert!(directory.current_instance("f1").is_some());
}

/// An announcement of an engine that ended long ago arrives late, at a control process that never knew it. The engine
/// that runs at its address now must stay.
#[test]
fn a_late_announcement_of_an_unknown_instance_does_not_end_the_one_at_its_address() {
    let mut directory = Directory::new(1);
    let mut running = support::engine("e1", &["m0"]);
    running.sequence = 40;
    directory.announce(T0, running.clone());
    let mut ended = support::engine("f1", &[]);
    ended.address = running.address;
    ended.sequence = 90;
    directory.announce(at(1_000), ended);
    assert!(directory.current_instance("e1").is_some());
    for round in 1..=6 {
        running.sequence += 1;
        directory.announce(at(1_000 + round * 1_200), running.clone());
    }
    assert!(
        directory.current_instance("f1").is_none(),
        "the ended one announced nothing more"
    );
    assert!(directory.current_instance("e1").is_some());
}

/// The announcements of two endpoints at one address.
struct AddressCase {
    name: &'static str,
    /// The start times of e1 and f1, if they tell them.
    born: [Option<u64>; 2],
    /// Milliseconds, the endpoint, its sequence number.
    announcements: Vec<(u64, &'static str, u64)>,
    /// How long no instance, or the wrong one, may be present after the announcement of f1 arrives.
    recovers_within: u64,
    running: &'static str,
}

/// Every 1.2 s from `first` up to 10 s.
fn regularly(first: u64, name: &'static str, sequence: u64) -> Vec<(u64, &'static str, u64)> {
    let nth = |n| (first + n * 1_200, name, sequence + n);
    (0..9).map(nth).filter(|it| it.0 < 10_000).collect()
}

/// Guards against a running endpoint that is shut out for a minute since a late announcement, one of the first of the endpoint
/// that ran at its address before, seemed to be that of its successor.
#[test]
fn a_late_first_announcement_does_not_shut_out_the_endpoint_at_its_address() {
    let with = |mut a: Vec<(u64, &'static str, u64)>, b: &[(u64, &'static str, u64)]| {
        a.extend_from_slice(b);
        a.sort_unstable();
        a
    };
    let cases = [
        AddressCase {
            name: "late, of an earlier start",
            born: [Some(200), Some(100)],
            announcements: with(regularly(0, "e1", 1), &[(3_000, "f1", 1)]),
            recovers_within: 0,
            running: "e1",
        },
        AddressCase {
            name: "several late ones, of an earlier start",
            born: [Some(200), Some(100)],
            announcements: with(
                regularly(0, "e1", 1),
                &[
                    (3_000, "f1", 1),
                    (3_001, "f1", 2),
                    (3_002, "f1", 3),
                    (5_500, "f1", 9),
                ],
            ),
            recovers_within: 0,
            running: "e1",
        },
        AddressCase {
            name: "late, without start times",
            born: [None, None],
            announcements: with(regularly(0, "e1", 1), &[(3_000, "f1", 1)]),
            recovers_within: 6_200,
            running: "e1",
        },
        AddressCase {
            name: "a successor",
            born: [Some(200), Some(300)],
            announcements: with(
                vec![(0, "e1", 7), (1_200, "e1", 8)],
                &regularly(3_000, "f1", 1),
            ),
            recovers_within: 0,
            running: "f1",
        },
        AddressCase {
            name: "a successor without start times",
            born: [None, None],
            announcements: with(
                vec![(0, "e1", 7), (1_200, "e1", 8), (6_000, "e1", 9)],
                &regularly(3_000, "f1", 1),
            ),
            recovers_within: 0,
            running: "f1",
        },
        AddressCase {
            name: "a successor whose clock was set back",
            born: [Some(200), Some(100)],
            announcements: with(
                vec![(0, "e1", 7), (1_200, "e1", 8)],
                &regularly(3_000, "f1", 1),
            ),
            recovers_within: 4_800,
            running: "f1",
        },
    ];
    for case in cases {
        let mut directories = [Directory::new(1), Directory::new(2)];
        for (nth, (ms, name, sequence)) in case.announcements.iter().copied().enumerate() {
            let mut instance = support::engine(name, &["m0"]);
            instance.address = support::engine("e1", &[]).address;
            instance.id.born = case.born[usize::from(name == "f1")];
            instance.sequence = sequence;
            let to = if name == "e1" { 0 } else { nth % 2 };
            directories[to].announce(at(ms), instance);
            let [a, b] = &mut directories;
            exchange(a, b, at(ms));
            let is_settled = ms >= 3_000 + case.recovers_within;
            for directory in directories.iter().filter(|_| is_settled) {
                let present: Vec<&str> = ["e1", "f1"]
                    .into_iter()
                    .filter(|it| directory.current_instance(it).is_some())
                    .collect();
                assert_eq!(present, [case.running], "{} at {ms}", case.name);
            }
        }
    }
}

/// Guards against an instance that deregisters after it was taken for replaced, and is brought back by announcements that it had
/// sent before.
#[test]
fn a_replaced_instance_that_deregisters_does_not_come_back() {
    let mut directory = Directory::new(1);
    let mut old = support::engine("e1", &["m0"]);
    directory.announce(T0, old.clone());
    let mut new = support::engine("f1", &[]);
    new.address = old.address;
    directory.announce(at(1_000), new);
    directory.deregister(at(1_500), &old.id);
    for round in 1..=6 {
        old.sequence += 1;
        directory.announce(at(1_500 + round * 1_200), old.clone());
    }
    assert!(directory.current_instance("e1").is_none());
}

/// An engine is cut off from the control processes for a while and goes on serving. It is removed for its silence, and
/// its next announcement makes it present again: otherwise it would be idle until it is restarted.
#[test]
fn an_instance_that_was_cut_off_from_control_is_back_with_its_next_announcement() {
    let mut directory = Directory::new(1);
    let mut engine = support::engine("e1", &["m0"]);
    directory.announce(T0, engine.clone());
    assert_eq!(
        directory.expire(T0 + directory::SILENCE_TIMEOUT),
        ["e1".into()]
    );
    let mut other = Directory::new(2);
    for record in directory.records_after(
        T0 + directory::SILENCE_TIMEOUT,
        directory::Cursor::default(),
        ChangeFilter::All,
    ) {
        other.merge(T0, record);
    }
    assert!(other.current_instance("e1").is_none());
    engine.sequence += 1;
    let back = T0 + directory::SILENCE_TIMEOUT + time::Millis(500);
    assert_eq!(directory.announce(back, engine), MergeOutcome::Changed);
    for record in directory.records_after(back, directory::Cursor::default(), ChangeFilter::All) {
        other.merge(back, record);
    }
    assert!(directory.current_instance("e1").is_some() && other.current_instance("e1").is_some());
}

/// 195 entry processes watch a control process, and engines send 65 announcements a second without updates. Refreshes
/// must reach the other control processes, which would otherwise mark the engines as silent, and must wake no entry
/// process.
#[test]
fn refreshes_are_no_updates() {
    let mut directory = Directory::new(1);
    let mut engine = support::engine("e1", &["m0"]);
    directory.announce(T0, engine.clone());
    let cursor = directory.cursor();
    for round in 1..=5 {
        engine.sequence += 1;
        directory.announce(at(round * 1_200), engine.clone());
    }
    assert!(!directory.has_updates(cursor));
    assert!(
        directory
            .records_after(at(6_000), cursor, ChangeFilter::Updates)
            .is_empty()
    );
    let alive = directory.records_after(at(6_000), cursor, ChangeFilter::All);
    assert!(alive[0].age < time::Millis(2_500), "{:?}", alive[0].age);
    engine.sequence += 1;
    engine.state = State::Leaving;
    directory.announce(at(7_000), engine);
    assert!(directory.has_updates(cursor));
    assert_eq!(
        directory
            .records_after(at(7_000), cursor, ChangeFilter::Updates)
            .len(),
        1
    );
    assert!(directory.has_updates(directory::Cursor::default()));
}

/// An entry process compares digests to see whether a control process knows something else. The digest must not depend
/// on how or in which order the same records were received.
#[test]
fn directories_that_know_the_same_have_the_same_digest() {
    let mut a = Directory::new(1);
    let mut b = Directory::new(2);
    let empty = a.digest();
    let mut of_two = support::engine("e2", &["m1", "m0"]);
    a.announce(T0, support::engine("e1", &["m0"]));
    a.announce(T0, of_two.clone());
    for record in a
        .records_after(at(5), directory::Cursor::default(), ChangeFilter::All)
        .into_iter()
        .rev()
    {
        b.merge(at(5), record);
    }
    assert_eq!(a.digest(), b.digest());
    of_two.sequence = 9;
    of_two.models.reverse();
    b.announce(at(50), of_two);
    assert_eq!(
        a.digest(),
        b.digest(),
        "a newer announcement without updates"
    );
    a.amend(at(60), &"e2".into(), |it| {
        it.models[0].adapters.push("a1".to_owned());
    });
    assert_ne!(a.digest(), b.digest());
    for id in ["e1", "e2"] {
        a.mark_gone(at(70), &id.into());
        b.mark_gone(at(70), &id.into());
    }
    assert_eq!((a.digest(), b.digest()), (empty, empty));
    let far = at(70) + directory::ENDED_RETENTION;
    a.expire(far);
    assert_eq!(a.digest(), empty);
}

/// Two control processes, of which the first receives announcements and passes them on to the second, as refreshes
/// where possible.
struct Pair {
    sender: Directory,
    receiver: Directory,
    cursor: directory::Cursor,
}

impl Pair {
    /// Passes on all changes. Returns the number of records and the number of refreshes that were sent.
    fn pass_on(&mut self, now: time::Instant) -> (usize, usize) {
        let batch = self
            .sender
            .changes_after(self.cursor, ChangeFilter::All, usize::MAX);
        let mut sent = (0, 0);
        for change in &batch.changes {
            if let Some(refresh) = self.sender.liveness_refresh(now, &change.id, self.cursor) {
                self.receiver.apply_refresh(now, refresh);
                sent.1 += 1;
            } else if let Some(record) = self.sender.record(now, &change.id) {
                self.receiver.merge(now, record);
                sent.0 += 1;
            }
        }
        self.cursor = batch.cursor;
        sent
    }
}

/// Guards against control processes that send each other the full record of each engine every two seconds: with ten
/// control processes and thousands of engines these were most of the traffic between zones.
#[test]
fn an_engine_without_updates_is_passed_on_as_a_refresh() {
    let mut pair = Pair {
        sender: Directory::new(1),
        receiver: Directory::new(2),
        cursor: directory::Cursor::default(),
    };
    let mut now = time::Instant(100_000);
    let mut engine = support::engine("e1", &["m0"]);
    pair.sender.announce(now, engine.clone());
    assert_eq!(pair.pass_on(now), (1, 0));
    // For longer than an engine may be silent.
    for _ in 0..12 {
        now = now + directory::REFRESH_INTERVAL;
        engine.sequence += 1;
        pair.sender.announce(now, engine.clone());
        assert_eq!(pair.pass_on(now), (0, 1));
        assert!(pair.receiver.expire(now).is_empty());
    }
    // An update is sent as a full record, and so is everything to a peer that knows nothing.
    now = now + directory::REFRESH_INTERVAL;
    engine.sequence += 1;
    engine.models = vec![support::resident("m1", &["a1"])];
    pair.sender.announce(now, engine.clone());
    assert_eq!(pair.pass_on(now), (1, 0));
    assert_eq!(pair.receiver.digest(), pair.sender.digest());
    pair.cursor = directory::Cursor::default();
    assert_eq!(pair.pass_on(now), (1, 0));

    // A refresh makes a silent engine present again.
    now = now + directory::SILENCE_TIMEOUT;
    assert_eq!(pair.receiver.expire(now).len(), 1);
    engine.sequence += 1;
    pair.sender.announce(now, engine);
    assert_eq!(pair.pass_on(now), (0, 1));
    assert_eq!(pair.receiver.digest(), pair.sender.digest());
    assert_eq!(pair.receiver.present(now).count(), 1);
}

/// Guards against a late refresh that makes an engine present which has gone, or that lowers its sequence number.
#[test]
fn a_late_refresh_undoes_nothing() {
    let mut sender = Directory::new(1);
    let mut receiver = Directory::new(2);
    let now = time::Instant(100_000);
    let mut engine = support::engine("e1", &["m0"]);
    engine.sequence = 7;
    sender.announce(now, engine.clone());
    let cursor = sender.cursor();
    let late = sender
        .liveness_refresh(now, &engine.id, cursor)
        .expect("it is alive");
    engine.sequence = 9;
    receiver.announce(now, engine.clone());
    receiver.apply_refresh(now, late);
    assert_eq!(receiver.instance(&engine.id).map(|it| it.sequence), Some(9));
    receiver.deregister(now, &engine.id);
    receiver.apply_refresh(now, late);
    assert_eq!(receiver.present(now).count(), 0);
    // A leaving instance is always sent as a full record.
    sender.mark_leaving(now, &engine.id);
    assert_eq!(
        sender.liveness_refresh(now, &engine.id, sender.cursor()),
        None
    );
}

/// The short keys must be the same in all versions, which may run side by side.
#[test]
fn short_keys_stay() {
    let id = directory::InstanceId::new("i-7f3a91c2", Some(1_792_159_519_619));
    assert_eq!(id.short_key(), 17_186_055_922_606_531_057);
}
