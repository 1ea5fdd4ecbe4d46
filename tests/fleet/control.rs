//! Control processes that are killed, lose their disks or are replaced.

use crate::{
    fleet::{Fleet, Process},
    standin::{caller::Ask, operator},
};

fn serves(fleet: &Fleet, entry: usize) -> bool {
    let answer = fleet.ask(entry, &Ask::new("GET", "/again/x", "look"));
    answer.is_some_and(|it| it.status() == 200)
}

/// All control processes are killed in the same moment, right after a change was acknowledged, and
/// come back. The change is still there, and further ones are accepted.
#[test]
fn what_was_acknowledged_outlives_the_kill_of_all_control_processes() {
    let (mut fleet, _engines) = Fleet::ready();
    for round in 0..3 {
        let version = 100 + round;
        fleet.replace(&operator::config(version));
        fleet.control.iter_mut().for_each(Process::kill);
        assert!(
            serves(&fleet, 0),
            "an entry process goes on by what it knows"
        );
        fleet.control.iter_mut().for_each(Process::start);
        assert_eq!(fleet.read_back(), operator::config(version));
    }
}

/// A control process loses its disk and comes back empty, then another one is lost for good. The
/// group has taken the first back as a voter by itself, so changes are still accepted, and nothing
/// acknowledged is gone.
#[test]
fn a_control_process_that_lost_its_disk_becomes_a_voter_again() {
    let (mut fleet, _engines) = Fleet::ready();
    for lost in 0..3u8 {
        fleet.control[usize::from(lost)].kill();
        fleet.wipe(lost);
        fleet.control[usize::from(lost)].start();
        let back = &fleet.control[usize::from(lost)];
        fleet.until("it votes again", || back.votes());
        let next = usize::from((lost + 1) % 3);
        let version = 200 + u64::from(lost) * 10;
        // With one more killed, the one that came back is needed for a majority.
        fleet.control[next].kill();
        fleet.replace(&operator::config(version));
        fleet.control[next].start();
        assert_eq!(fleet.read_back(), operator::config(version));
    }
}

/// A control VM goes for good, and an empty one comes at another address. It takes the place of the
/// lost one without an operator, and then another VM may be lost.
#[test]
fn a_control_process_on_a_new_vm_takes_the_place_of_a_lost_one() {
    let (mut fleet, _engines) = Fleet::ready();
    fleet.control[1].kill();
    let mut new = fleet.new_control(5, false);
    new.start();
    let mut lost = std::mem::replace(&mut fleet.control[1], new);
    fleet.replace(&operator::config(300));
    fleet.until("the new one votes", || fleet.control[1].votes());
    fleet.control[2].kill();
    fleet.replace(&operator::config(310));
    assert_eq!(fleet.read_back(), operator::config(310));
    // The lost one is no voter any more and must not disturb if it comes back after all.
    lost.start();
    fleet.control[2].start();
    fleet.until("three vote", || fleet.control[2].votes());
    fleet.replace(&operator::config(320));
    assert_eq!(fleet.read_back(), operator::config(320));
    lost.kill();
}

/// Too few control processes have joined to keep a change through the loss of one disk. It must not
/// be acknowledged.
#[test]
fn nothing_is_acknowledged_while_too_few_could_keep_it() {
    let mut fleet = Fleet::start(3, 0);
    fleet.replace(&operator::config(10));
    fleet.control[1].kill();
    fleet.control[2].kill();
    let config = operator::config(20);
    for _ in 0..5 {
        assert_ne!(Fleet::try_replace(&fleet.control[0], &config), 200);
    }
    fleet.control[1].start();
    fleet.control[2].start();
    fleet.replace(&config);
}

/// A group that is to bear the loss of two disks has four of its five voters when the first
/// configuration comes. Two disks lost right after an acknowledgement would leave two of four, which
/// elect nobody, and the configuration could never be read again. So it is acknowledged only once
/// the fifth votes; from then on four are enough while one is being replaced.
#[test]
fn nothing_is_acknowledged_before_the_group_has_all_its_voters() {
    let mut fleet = Fleet::bearing(2, 4, 0);
    for at in 0..4 {
        fleet.until("four vote", || fleet.control[at].votes());
    }
    let config = operator::config(10);
    for _ in 0..10 {
        for at in 0..4 {
            assert_ne!(Fleet::try_replace(&fleet.control[at], &config), 200);
        }
    }
    let mut fifth = fleet.new_control(4, true);
    fifth.start();
    fleet.control.push(fifth);
    fleet.replace(&config);
    fleet.control[1].kill();
    let mut successor = fleet.new_control(5, false);
    successor.start();
    fleet.replace(&operator::config(20));
    fleet.control.push(successor);
    assert_eq!(fleet.read_back(), operator::config(20));
}

/// The leader is killed again and again while changes come. Each that was acknowledged holds.
#[test]
fn changes_hold_while_one_control_process_after_the_other_is_killed() {
    let (mut fleet, _engines) = Fleet::ready();
    for round in 0..6 {
        let killed = round % 3;
        fleet.control[killed].kill();
        let version = 400 + u64::try_from(round).expect("small");
        fleet.replace(&operator::config(version));
        fleet.control[killed].start();
        assert_eq!(fleet.read_back(), operator::config(version));
    }
    assert!(serves(&fleet, 0) && serves(&fleet, 1));
}
