//! Which entry processes tell each other of an engine, and what they make of it.

mod support;

use std::{collections, net};

use sageshed_fleet::{
    chooser::{Ask, Choice, Chooser, Missing},
    dialect, neighbours,
};
use sageshed_types::time;

const T0: time::Instant = time::Instant(100_000);

fn entries(count: u8) -> Vec<net::Ipv4Addr> {
    (1..=count)
        .map(|it| net::Ipv4Addr::new(10, 0, 1, it))
        .collect()
}

/// With 90 entry processes a request must not cause 90 messages: each engine has a group of a few,
/// the same by whomever it is asked for, and every process is in some.
#[test]
fn the_group_of_an_engine_is_small_and_the_same_for_all() {
    let entries = entries(90);
    let mut shuffled = entries.clone();
    shuffled.reverse();
    let mut members = collections::BTreeSet::new();
    for engine in 0..90_u64 {
        let key = neighbours::key(&format!("e{engine}"));
        let group = neighbours::group(key, &entries);
        assert_eq!(group.len(), neighbours::GROUP);
        assert_eq!(group, neighbours::group(key, &shuffled));
        members.extend(group);
    }
    assert_eq!(members.len(), 90);
}

#[test]
fn an_entry_process_that_goes_changes_few_groups() {
    let before = entries(90);
    let after = entries(89);
    let changed = (0..90_u64).filter(|engine| {
        let key = neighbours::key(&format!("e{engine}"));
        neighbours::group(key, &before) != neighbours::group(key, &after)
    });
    assert!(changed.count() <= 30);
}

/// A request that waits 300 ms for an engine that reads little.
fn waiting_ask(wanted: &dialect::Wanted, tokens: u64) -> Ask<'_> {
    Ask {
        patience: time::Millis(300),
        ..support::ask(wanted, tokens)
    }
}

/// Another entry process has just sent a prompt of 6,000 tokens to an engine, which takes 316 ms to
/// read it. One of 3,000 on top
/// would make all streams there pause for half a second, and each of them late. It goes to the other
/// engine, or waits until the first is read.
#[test]
fn a_prompt_does_not_go_on_top_of_what_a_neighbour_sent() {
    let mut chooser = Chooser::new("z1", 7);
    let neighbour = net::Ipv4Addr::new(10, 0, 1, 2);
    chooser.join_groups(net::Ipv4Addr::new(10, 0, 1, 1), &entries(7));
    chooser.know(&support::engine("e1", &["m0"]));
    let word = |micros| neighbours::Unread {
        engine: neighbours::key("e1"),
        micros,
    };
    let m0 = dialect::Wanted {
        model: "m0".to_owned(),
        adapter: None,
    };
    assert!(!chooser.hear(T0, neighbour, word(316_000)));
    let waits = Choice::Wait(Missing::Place);
    assert_eq!(chooser.choose(T0, &waiting_ask(&m0, 3_000)), waits);
    // It has waited for as long as makes sense.
    let last = chooser.choose(T0, &support::ask(&m0, 3_000));
    assert!(matches!(last, Choice::Send(_)), "{last:?}");
    chooser.know(&support::engine("e2", &["m0"]));
    let Choice::Send(pick) = chooser.choose(T0, &waiting_ask(&m0, 3_000)) else {
        panic!("e2 reads nothing");
    };
    assert_eq!(pick.instance, "e2");
    assert!(chooser.hear(T0, neighbour, word(0)), "there is room again");
}

/// A datagram is lost, and the last word of a neighbour that was killed was that an engine has much to
/// read. The engine must not stand idle for that.
#[test]
fn an_old_word_of_a_neighbour_is_forgotten() {
    let mut chooser = Chooser::new("z1", 7);
    chooser.join_groups(net::Ipv4Addr::new(10, 0, 1, 1), &entries(7));
    chooser.know(&support::engine("e1", &["m0"]));
    let word = neighbours::Unread {
        engine: neighbours::key("e1"),
        micros: 3_000_000,
    };
    chooser.hear(T0, net::Ipv4Addr::new(10, 0, 1, 2), word);
    let m0 = dialect::Wanted {
        model: "m0".to_owned(),
        adapter: None,
    };
    let later = T0 + time::Millis(2_000);
    let choice = chooser.choose(later, &waiting_ask(&m0, 100));
    assert!(matches!(choice, Choice::Send(_)), "{choice:?}");
}
