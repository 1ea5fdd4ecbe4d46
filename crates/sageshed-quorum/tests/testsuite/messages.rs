//! Single messages and steps that must have no effect, or only a certain one.

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

/// Two leaders in one term: V2 votes for V1, loses power, and votes for V3 after it has restarted.
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

/// The group stops for an election because a VM that was removed long ago answers with a late term.
#[test]
fn nobody_outside_the_membership_deposes_a_leader() {
    let mut sim = Sim::new(7, 3, config::Guards::default());
    sim.elect(1).unwrap();
    receive(&mut sim, 1, id(3, 7), 99, message::Body::Stale);
    assert_eq!(sim.leader(), Some(1));
}

/// A lease of a leader that doesn't know yet what was committed before it: a read would miss that.
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

/// A leader that can't commit must not pile up requests until its VM runs out of memory.
#[test]
fn backlog_is_bounded() {
    let mut sim = Sim::new(7, 3, config::Guards::default());
    sim.elect(1).unwrap();
    sim.cut.insert(1);
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

/// A follower's log after a restart has an entry that its leader replaced: both came in one step,
/// and the write of that step must hold the second only.
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

/// Guards against a large entry that is sent again and again before it can have arrived, and holds up itself.
#[test]
fn a_large_entry_is_not_sent_again_while_it_is_under_way() {
    let mut sim = Sim::new(7, 3, config::Guards::default());
    sim.elect(1).unwrap();
    sim.run(500).unwrap();
    sim.propose(1, &vec![0; 2 * 1024 * 1024]).unwrap();
    let mut appends = 0;
    // Two seconds in which heartbeats pass and the entry is on its way.
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
