//! What is believed of endpoints, and how two directories agree.

mod support;

use sageshed_fleet::directory::{self, ChangeFilter, Directory, MergeOutcome, State};
use sageshed_types::time;

const T0: time::Instant = time::Instant(1_000);

fn at(ms: u64) -> time::Instant {
    T0 + time::Millis(ms)
}

/// An engine says that it leaves and is taken out everywhere. An announcement that it had sent
/// before, held up by a cut of the network, arrives ten seconds later: callers must not be sent to
/// an engine that has gone.
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

/// A control process that was just started hears first that an instance leaves, of which it knows
/// nothing yet. The other processes still know it, so the word must be passed on.
#[test]
fn the_word_of_an_unknown_instance_that_it_leaves_is_passed_on() {
    let mut fresh = Directory::new(2);
    fresh.deregister(T0, &"e1".into());
    let mut other = Directory::new(1);
    other.announce(T0, support::engine("e1", &["m0"]));
    for record in fresh.records_after(at(1), directory::Cursor::default(), ChangeFilter::All) {
        other.merge(at(1), record);
    }
    assert!(other.current_instance("e1").is_none());
}

/// An engine says that it leaves in an answer to an entry process. Announcements that are on their way, words of control
/// processes that were cut off, and its being out of sight for a while do not bring it back: each of these
/// comes with a higher number than what was known when it spoke. Another start of it takes work.
#[test]
fn an_instance_that_has_said_that_it_leaves_takes_no_work_again() {
    let mut directory = Directory::new(1);
    let mut engine = support::engine("e1", &["m0"]);
    directory.announce(T0, engine.clone());
    let id = engine.id.clone();
    assert!(directory.mark_leaving(at(10), &id));
    assert!(!directory.mark_leaving(at(20), &id), "it is known");
    let state = |directory: &Directory| directory.instance(&id).map(|it| it.state);
    assert_eq!(state(&directory), Some(State::Leaving));
    engine.sequence = 7;
    directory.announce(at(30), engine.clone());
    assert_eq!(state(&directory), Some(State::Leaving), "announced later");
    let mut elsewhere = Directory::new(2);
    engine.sequence = 9;
    elsewhere.announce(at(40), engine.clone());
    exchange(&mut directory, &mut elsewhere, at(50));
    assert_eq!(state(&directory), Some(State::Leaving), "told by another");
    assert_eq!(state(&elsewhere), Some(State::Leaving), "the other is told");
    assert_eq!(directory.digest(), elsewhere.digest());
    directory.expire(at(50) + directory::SILENCE_TIMEOUT);
    assert_eq!(state(&directory), Some(State::Silent));
    engine.sequence = 20;
    directory.announce(at(60) + directory::SILENCE_TIMEOUT, engine.clone());
    assert_eq!(state(&directory), Some(State::Leaving), "out of sight");
    assert!(directory.is_leaving(&id));
    engine.id.born = Some(99);
    engine.sequence = 1;
    directory.announce(at(70) + directory::SILENCE_TIMEOUT, engine);
    let other = directory.current_instance("e1").expect("another start");
    assert_eq!(other.state, State::Ready);
}

/// The word that an engine leaves comes behind a later announcement, which went to another control process.
#[test]
fn the_word_that_an_instance_leaves_holds_though_a_later_one_came_first() {
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
fn older_words_are_ignored_and_equal_ones_change_nothing() {
    let mut directory = Directory::new(1);
    let mut engine = support::engine("e1", &["m0"]);
    engine.sequence = 5;
    directory.announce(T0, engine.clone());
    let mark = directory.cursor();
    let mut older = support::engine("e1", &["m1"]);
    older.sequence = 4;
    assert_eq!(directory.announce(at(10), older), MergeOutcome::Stale);
    assert_eq!(directory.announce(at(10), engine), MergeOutcome::Confirmed);
    assert_eq!(directory.cursor(), mark);
    let known = directory.current_instance("e1").expect("it is there");
    assert!(known.holds("m0", None));
}

/// Two control processes that watch each other hold different words of one instance under the same
/// numbers. Were each to take the other's, they would exchange them for ever, and every entry process
/// would be woken by each exchange.
#[test]
fn two_directories_do_not_exchange_equal_numbers_for_ever() {
    let mut a = Directory::new(1);
    let mut b = Directory::new(2);
    a.announce(T0, support::engine("e1", &["m0"]));
    b.announce(T0, support::engine("e1", &["m1"]));
    let mut marks = (directory::Cursor::default(), directory::Cursor::default());
    let mut exchanged = 0;
    for round in 0..20 {
        let from_a = a.records_after(at(round), marks.0, ChangeFilter::All);
        let from_b = b.records_after(at(round), marks.1, ChangeFilter::All);
        marks = (a.cursor(), b.cursor());
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

/// The leader had an adapter loaded and shows it at once. The engine's next announcement goes to
/// another control process, which has not heard of the adapter. Both must end with the same record,
/// and a later change by the leader must still reach the other.
#[test]
fn changes_by_the_leader_and_announcements_elsewhere_come_together() {
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
    let known = other.current_instance("e1").expect("it is there");
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
fn a_peer_gets_what_changed_since_its_mark_and_all_after_a_restart() {
    let mut directory = Directory::new(1);
    directory.announce(T0, support::engine("e1", &["m0"]));
    let mark = directory.cursor();
    directory.announce(at(1), support::engine("e2", &["m0"]));
    let ids = |mark| -> Vec<String> {
        let records = directory.records_after(at(2), mark, ChangeFilter::All);
        records.into_iter().map(|it| it.instance.id.name).collect()
    };
    assert_eq!(ids(mark), ["e2"]);
    let of_another_start = directory::Cursor {
        start: 7,
        change: 99,
    };
    assert_eq!(ids(of_another_start), ["e1", "e2"]);
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

/// An engine crashes and is back two seconds later at the same address, under another id. Requests
/// for the old one are refused there, so it must not be offered until its silence has been noticed.
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

/// An announcement of an engine that died long ago arrives late, at a control process that never knew
/// it. The engine that lives at its address now must stay.
#[test]
fn a_late_word_of_an_unknown_instance_does_not_end_the_one_at_its_address() {
    let mut directory = Directory::new(1);
    let mut alive = support::engine("e1", &["m0"]);
    alive.sequence = 40;
    directory.announce(T0, alive.clone());
    let mut dead = support::engine("f1", &[]);
    dead.address = alive.address;
    dead.sequence = 90;
    directory.announce(at(1_000), dead);
    assert!(directory.current_instance("e1").is_some());
    for beat in 1..=6 {
        alive.sequence += 1;
        directory.announce(at(1_000 + beat * 1_200), alive.clone());
    }
    assert!(
        directory.current_instance("f1").is_none(),
        "the dead one said nothing more"
    );
    assert!(directory.current_instance("e1").is_some());
}

/// An engine is cut off from control for a while and serves on. Its silence takes it out, and its next
/// word brings it back: taken for gone for good, it would stand idle until it is started anew.
#[test]
fn an_instance_that_was_cut_off_from_control_is_back_by_its_next_word() {
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

/// 195 entry processes watch a control process, and engines announce themselves 65 times a second with nothing
/// new. Signs of life must reach the other control processes, which would take the engines for gone, and
/// must wake no entry process.
#[test]
fn signs_of_life_are_no_news() {
    let mut directory = Directory::new(1);
    let mut engine = support::engine("e1", &["m0"]);
    directory.announce(T0, engine.clone());
    let mark = directory.cursor();
    for beat in 1..=5 {
        engine.sequence += 1;
        directory.announce(at(beat * 1_200), engine.clone());
    }
    assert!(!directory.has_updates(mark));
    assert!(
        directory
            .records_after(at(6_000), mark, ChangeFilter::Updates)
            .is_empty()
    );
    let alive = directory.records_after(at(6_000), mark, ChangeFilter::All);
    assert!(alive[0].age < time::Millis(2_500), "{:?}", alive[0].age);
    engine.sequence += 1;
    engine.state = State::Leaving;
    directory.announce(at(7_000), engine);
    assert!(directory.has_updates(mark));
    assert_eq!(
        directory
            .records_after(at(7_000), mark, ChangeFilter::Updates)
            .len(),
        1
    );
    assert!(directory.has_updates(directory::Cursor::default()));
}

/// An entry process tells by one number whether a control process knows something else than it does. The number
/// must not depend on the way on which, or the order in which, the same was heard.
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
    assert_eq!(a.digest(), b.digest(), "a later word that says the same");
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

/// Two control processes, of which the first hears an engine and tells the second in short words.
struct Pair {
    hears: Directory,
    is_told: Directory,
    mark: directory::Cursor,
}

impl Pair {
    /// Tells what is new, and returns how many records and how many short words that took.
    fn tell(&mut self, now: time::Instant) -> (usize, usize) {
        let portion = self
            .hears
            .changes_after(self.mark, ChangeFilter::All, usize::MAX);
        let mut told = (0, 0);
        for change in &portion.changes {
            if let Some(alive) = self.hears.alive(now, &change.id, self.mark) {
                self.is_told.confirm(now, alive);
                told.1 += 1;
            } else if let Some(record) = self.hears.record(now, &change.id) {
                self.is_told.merge(now, record);
                told.0 += 1;
            }
        }
        self.mark = portion.cursor;
        told
    }
}

/// Guards against control processes that tell each other each engine's whole record every two seconds: with ten of them
/// and thousands of engines these were most of the bytes between zones.
#[test]
fn an_engine_that_says_nothing_new_is_passed_on_in_a_short_word() {
    let mut pair = Pair {
        hears: Directory::new(1),
        is_told: Directory::new(2),
        mark: directory::Cursor::default(),
    };
    let mut now = time::Instant(100_000);
    let mut engine = support::engine("e1", &["m0"]);
    pair.hears.announce(now, engine.clone());
    assert_eq!(pair.tell(now), (1, 0));
    // For longer than an engine may be silent.
    for _ in 0..12 {
        now = now + directory::REFRESH_INTERVAL;
        engine.sequence += 1;
        pair.hears.announce(now, engine.clone());
        assert_eq!(pair.tell(now), (0, 1));
        assert!(pair.is_told.expire(now).is_empty());
    }
    // What is new is told whole, and so is everything to one that knows nothing.
    now = now + directory::REFRESH_INTERVAL;
    engine.sequence += 1;
    engine.models = vec![support::resident("m1", &["a1"])];
    pair.hears.announce(now, engine.clone());
    assert_eq!(pair.tell(now), (1, 0));
    assert_eq!(pair.is_told.digest(), pair.hears.digest());
    pair.mark = directory::Cursor::default();
    assert_eq!(pair.tell(now), (1, 0));

    // An engine that was taken for gone is back by its next sign of life.
    now = now + directory::SILENCE_TIMEOUT;
    assert_eq!(pair.is_told.expire(now).len(), 1);
    engine.sequence += 1;
    pair.hears.announce(now, engine);
    assert_eq!(pair.tell(now), (0, 1));
    assert_eq!(pair.is_told.digest(), pair.hears.digest());
    assert_eq!(pair.is_told.present(now).count(), 1);
}

/// Guards against a late sign of life that brings back an engine which has gone, or a word older than what is known.
#[test]
fn a_late_sign_of_life_undoes_nothing() {
    let mut hears = Directory::new(1);
    let mut is_told = Directory::new(2);
    let now = time::Instant(100_000);
    let mut engine = support::engine("e1", &["m0"]);
    engine.sequence = 7;
    hears.announce(now, engine.clone());
    let mark = hears.cursor();
    let late = hears.alive(now, &engine.id, mark).expect("it is alive");
    engine.sequence = 9;
    is_told.announce(now, engine.clone());
    is_told.confirm(now, late);
    assert_eq!(is_told.instance(&engine.id).map(|it| it.sequence), Some(9));
    is_told.deregister(now, &engine.id);
    is_told.confirm(now, late);
    assert_eq!(is_told.present(now).count(), 0);
    // One that is leaving is always told whole.
    hears.mark_leaving(now, &engine.id);
    assert_eq!(hears.alive(now, &engine.id, hears.cursor()), None);
}

/// The short keys of two versions that run side by side have to agree.
#[test]
fn short_keys_stay() {
    let id = directory::InstanceId::new("i-7f3a91c2", Some(1_792_159_519_619));
    assert_eq!(id.short_key(), 17_186_055_922_606_531_057);
}
