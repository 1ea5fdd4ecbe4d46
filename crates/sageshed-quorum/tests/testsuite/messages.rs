//! Effects of single messages and steps.

use sageshed_quorum::{config, event, log, message, node};
use sageshed_types::time;

use crate::sim::{Sim, id};

fn receive(sim: &mut Sim, vm: u32, from: log::NodeId, term: u64, body: message::Body) {
    let message = message::Message {
        to: sim.vms[&vm].id,
        term: log::Term(term),
        body,
    };
    sim.step(vm, event::Event::Message { from, message })
        .unwrap();
}

/// Guards against two leaders in one term: V2 votes for V1, loses power, and votes for V3 after a restart.
#[test]
fn vote_survives_a_restart() {
    let mut sim = Sim::new(7, 3, config::Guards::default());
    let last = log::Position::default();
    let candidacy = message::Candidacy {
        last,
        membership: log::Index(0),
    };
    for (candidate, expected) in [(id(1, 1), true), (id(3, 1), false)] {
        sim.wire.clear();
        receive(&mut sim, 2, candidate, 1, message::Body::Vote(candidacy));
        let answer = sim.wire.pop().map(|(.., message)| message.body);
        assert_eq!(answer, Some(message::Body::VoteReply { granted: expected }));
        sim.crash(2);
        sim.start(2);
        sim.now += 1000;
    }
}

/// Guards against an election caused by a VM that was removed and replies with a later term.
#[test]
fn a_node_outside_the_membership_does_not_make_the_leader_step_down() {
    let mut sim = Sim::new(7, 3, config::Guards::default());
    sim.elect(1).unwrap();
    receive(&mut sim, 1, id(3, 7), 99, message::Body::Stale);
    assert_eq!(sim.leader(), Some(1));
}

/// Guards against stale reads at a new leader, which does not know yet what was committed before it.
#[test]
fn new_leader_has_no_lease_before_it_commits() {
    let mut sim = Sim::new(7, 3, config::Guards::default());
    sim.step(1, event::Event::ElectionTimeout).unwrap();
    sim.deliver_until(|sim| sim.leader() == Some(1)).unwrap();
    sim.wire
        .retain(|(.., message)| !matches!(message.body, message::Body::Append { .. }));
    sim.deliver().unwrap();
    let node = sim.vms[&1].node.as_ref().unwrap();
    assert_eq!(node.has_quorum_until(), None);
    sim.run(500).unwrap();
    let node = sim.vms[&1].node.as_ref().unwrap();
    assert!(
        node.has_quorum_until()
            .is_some_and(|until| until.0 > sim.now)
    );
}

/// Guards against a leader that cannot commit and accepts proposals until its VM runs out of memory.
#[test]
fn uncommitted_entries_are_bounded() {
    let mut sim = Sim::new(7, 3, config::Guards::default());
    sim.elect(1).unwrap();
    sim.partitioned.insert(1);
    for _ in 0..10_001 {
        sim.propose(1, b"").unwrap();
    }
    let refused = |answer: &event::Action| {
        matches!(
            answer,
            event::Action::Rejected {
                reason: event::Reason::Overloaded,
                ..
            }
        )
    };
    assert_eq!(
        sim.answers.iter().filter(|answer| refused(answer)).count(),
        1
    );
}

/// Guards against an entry in a follower's log that its leader has replaced. Both entries arrive in one
/// step, and the write of that step must contain only the second.
#[test]
fn replaced_entry_is_not_written_in_the_same_step() {
    let membership = log::Membership::of_voters([id(1, 1), id(2, 1), id(3, 1)]);
    let restored = log::PersistedState {
        membership,
        ..log::PersistedState::default()
    };
    let mut node = node::Node::new(config::Config::new(id(1, 1)), restored, 1);
    let append = |from, term| {
        let (index, term) = (log::Index(1), log::Term(term));
        let entries = vec![log::Entry {
            index,
            term,
            data: log::EntryData::Noop,
        }];
        let prev = log::Position::default();
        let body = message::Body::Append {
            prev,
            entries,
            commit: log::Index(0),
        };
        event::Event::Message {
            from,
            message: message::Message {
                to: id(1, 1),
                term,
                body,
            },
        }
    };
    let events = [append(id(2, 1), 1), append(id(3, 1), 2)];
    let actions = node.step_all(time::Instant(0), events);
    let Some(event::Action::Persist(write)) = actions.first() else {
        panic!("{actions:?}")
    };
    let terms: Vec<_> = write.entries.iter().map(|entry| entry.term).collect();
    assert_eq!(terms, [log::Term(2)]);
    assert_eq!(write.truncate_from, Some(log::Index(1)));
}

/// Guards against sending a large entry again before it can have arrived, which delays it further.
#[test]
fn a_large_entry_is_not_sent_again_while_it_is_in_flight() {
    let mut sim = Sim::new(7, 3, config::Guards::default());
    sim.elect(1).unwrap();
    sim.run(500).unwrap();
    sim.propose(1, &vec![0; 2 * 1024 * 1024]).unwrap();
    let mut appends = 0;
    // For two seconds heartbeats are delivered and the entry is not.
    for _ in 0..200 {
        sim.now += 10;
        for vm in [1, 2, 3] {
            sim.step(vm, event::Event::Tick).unwrap();
        }
        let is_append =
            |message: &message::Message| matches!(message.body, message::Body::Append { .. });
        appends += sim.wire.iter().filter(|(.., it)| is_append(it)).count();
        sim.wire.retain(|(.., it)| !is_append(it));
        sim.deliver().unwrap();
    }
    assert_eq!(sim.leader(), Some(1), "heartbeats pass");
    assert_eq!(appends, 2, "one to each peer");
}
