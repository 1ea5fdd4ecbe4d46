//! When calls that wait for news are answered.

use std::{net, time};

use sageshed::control::fleet::watchers;
use sageshed_fleet::{directory, messages};
use sageshed_types::time as types_time;

fn req(mark: u64, patience: u64) -> messages::WatchReq {
    messages::WatchReq {
        watcher: messages::Watcher::Entry,
        ip: net::Ipv4Addr::LOCALHOST,
        availability_zone: "z1".to_owned(),
        wants: messages::DirectoryDetail::News,
        config: 0,
        config_told: None,
        mark: directory::Cursor {
            start: 1,
            change: mark,
        },
        entries_known: 0,
        patience: types_time::Millis(patience),
        entries: Vec::new(),
        demand: Vec::new(),
        crashes_known: None,
        crashes: Vec::new(),
        takes_alive: false,
        leaving: Vec::new(),
        is_stopping: false,
    }
}

/// Time that a test moves by hand, with the watchers of one process.
struct Waiting {
    watchers: watchers::Watchers<u64>,
    now: time::Instant,
    newest: u64,
}

impl Waiting {
    fn new() -> Self {
        Self {
            watchers: watchers::Watchers::default(),
            now: time::Instant::now(),
            newest: 0,
        }
    }

    fn change(&mut self, urgency: watchers::Urgency) {
        self.newest += 1;
        self.watchers.note_change(urgency);
    }

    fn pass(&mut self, ms: u64) -> usize {
        self.now += time::Duration::from_millis(ms);
        let newest = self.newest;
        let due = self
            .watchers
            .take_due(self.now, |req| req.mark.change < newest);
        due.len()
    }

    fn add(&mut self, count: u64, patience: u64) {
        for number in 0..count {
            let req = req(self.newest, patience);
            self.watchers.add(self.now, req, number);
        }
    }
}

/// Guards against an answer for each change to each watcher: in a release of thousands of endpoints that took all of
/// a control process's time.
#[test]
fn changes_in_quick_succession_cost_each_watcher_few_answers() {
    let mut waiting = Waiting::new();
    let mut answers = 0;
    waiting.add(300, 800);
    for _ in 0..300 {
        waiting.change(watchers::Urgency::Batched);
        let due = waiting.pass(1);
        answers += due;
        waiting.add(due as u64, 800);
    }
    // Of 300 ms that change each millisecond there is a round in every thirty.
    assert!((300 * 9..=300 * 11).contains(&answers), "{answers}");
}

/// Guards against a configuration that waits for the next round.
#[test]
fn what_is_urgent_is_told_at_once() {
    let mut waiting = Waiting::new();
    waiting.add(3, 800);
    waiting.change(watchers::Urgency::Batched);
    assert_eq!(waiting.pass(0), 3);
    waiting.add(3, 800);
    waiting.change(watchers::Urgency::Batched);
    assert_eq!(waiting.pass(1), 0);
    waiting.change(watchers::Urgency::Immediate);
    assert_eq!(waiting.pass(0), 3);
}

/// Guards against watchers that are told late of what came while nobody waited.
#[test]
fn news_that_came_before_the_watch_is_told_with_the_next_round() {
    let mut waiting = Waiting::new();
    waiting.add(1, 800);
    waiting.newest = 1;
    assert_eq!(waiting.pass(10), 0, "nobody was told that there is news");
    waiting.watchers.note_change(watchers::Urgency::Batched);
    assert_eq!(
        waiting.watchers.next_round(waiting.now),
        Some(time::Duration::ZERO)
    );
    assert_eq!(waiting.pass(0), 1);
}

/// Guards against calls that outlast their watchers, who would take the process for lost.
#[test]
fn a_watch_ends_with_its_patience() {
    let mut waiting = Waiting::new();
    assert_eq!(waiting.watchers.next_round(waiting.now), None);
    waiting.add(1, 800);
    waiting.add(1, 200);
    assert_eq!(waiting.pass(199), 0);
    assert_eq!(waiting.pass(1), 1);
    assert_eq!(waiting.pass(599), 0);
    assert_eq!(waiting.pass(1), 1);
    assert_eq!(waiting.watchers.next_round(waiting.now), None);
}
