//! Scenarios with effects that callers or operators would notice, with all guards on.

use sageshed_quorum::{config, event, log, message, node, status};
use sageshed_types::time;

use crate::{
    random,
    sim::{Sim, id},
};

fn group(voters: u32) -> Sim {
    let mut sim = Sim::new(7, voters, config::Guards::default());
    sim.elect(1).unwrap();
    sim.run(100).unwrap();
    sim
}

fn rejected(sim: &mut Sim) -> Option<event::Reason> {
    match sim.answers.pop() {
        Some(event::Action::Rejected { reason, .. }) => Some(reason),
        _ => None,
    }
}

/// Guards against losing a committed rule when a second disk is lost right after the first is repaired. V3
/// loses its disk and is repaired in either order of changes, then V2 loses its disk. If V3's new
/// generation has not yet received its own promotion, the group needs its vote nevertheless.
#[test]
fn second_disk_is_lost_after_the_first_is_repaired() {
    let (old, new) = (id(3, 1), id(3, 2));
    let orders = [
        [event::Change::Remove(old), event::Change::Promote(new)],
        [event::Change::Promote(new), event::Change::Remove(old)],
    ];
    for changes in orders {
        for last_change_heard in [true, false] {
            let mut sim = group(3);
            sim.propose(1, b"rule").unwrap();
            sim.run(100).unwrap();
            sim.lose_disk(3);
            sim.change(1, event::Change::AddLearner(new)).unwrap();
            sim.run(200).unwrap();
            sim.change(1, changes[0]).unwrap();
            sim.run(200).unwrap();
            if !last_change_heard {
                sim.partitioned.insert(3);
            }
            sim.change(1, changes[1]).unwrap();
            sim.deliver().unwrap();
            sim.lose_disk(2);
            sim.partitioned.clear();
            let kept = sim.last_committed();
            sim.run(3000).unwrap();
            let leader = sim.leader().expect("two of three voters are there");
            sim.propose(leader, b"next").unwrap();
            sim.run(200).unwrap();
            let voters = sim.status(leader).unwrap().membership.voters;
            assert_eq!(voters, [id(1, 1), id(2, 1), new].into(), "{changes:?}");
            assert!(
                sim.last_committed() > kept,
                "{changes:?}, heard: {last_change_heard}"
            );
            assert_eq!(sim.vms[&3].applied.0, sim.last_committed());
        }
    }
}

/// Guards against a failed election after a promotion that only the leader and one other voter hold. The
/// leader crashes, and the other voter needs the vote of the promoted node, which has not yet received its
/// promotion.
#[test]
fn promoted_node_votes_before_it_knows() {
    let mut sim = group(2);
    sim.join(3);
    sim.change(1, event::Change::AddLearner(id(3, 1))).unwrap();
    sim.run(200).unwrap();
    sim.partitioned.insert(3);
    sim.change(1, event::Change::Promote(id(3, 1))).unwrap();
    sim.deliver().unwrap();
    sim.crash(1);
    sim.partitioned.clear();
    assert_eq!(sim.status(3).unwrap().role, status::Role::Learner);
    sim.run(2000).unwrap();
    assert_eq!(sim.leader(), Some(2));
}

/// Checks that a process which restarts after hundreds of changes, which are compacted by then, gets a
/// snapshot.
#[test]
fn lagging_peer_catches_up_by_a_snapshot() {
    let mut sim = group(3);
    sim.crash(3);
    for change in 0..300u64 {
        sim.propose(1, &change.to_le_bytes()).unwrap();
    }
    sim.run(200).unwrap();
    random::compact(&mut sim, 1).unwrap();
    sim.propose(1, b"after").unwrap();
    sim.start(3);
    sim.run(500).unwrap();
    assert_eq!(
        sim.status(3).unwrap().snapshot,
        sim.status(1).unwrap().snapshot
    );
    assert_eq!(sim.vms[&3].applied, sim.vms[&1].applied);
}

/// Guards against a committed rule that does not reach one VM until something else is proposed: the append
/// was lost and an earlier reply was duplicated, so that nothing seemed to be in flight.
#[test]
fn lost_append_is_sent_again_after_a_duplicated_reply() {
    let mut sim = group(3);
    let matched = sim.status(1).unwrap().matched[&id(3, 1)];
    sim.partitioned.insert(3);
    sim.propose(1, b"rule").unwrap();
    sim.deliver().unwrap();
    let body = message::Body::Accepted { matched };
    let message = message::Message {
        to: id(1, 1),
        term: log::Term(1),
        body,
    };
    sim.step(
        1,
        event::Event::Message {
            from: id(3, 1),
            message,
        },
    )
    .unwrap();
    sim.partitioned.clear();
    sim.run(500).unwrap();
    assert_eq!(sim.vms[&3].applied.0, sim.last_committed());
}

/// Guards against a voter that receives no entries for as long as reads arrive more often than heartbeats are due: each
/// read began a round of heartbeats, and with it put off the retry of lost appends and snapshots.
#[test]
fn lost_entries_are_sent_again_while_reads_keep_arriving() {
    struct Case {
        name: &'static str,
        is_compacted: bool,
        proposes: bool,
    }
    let case = |name, is_compacted, proposes| Case {
        name,
        is_compacted,
        proposes,
    };
    let cases = [
        case("an append", false, false),
        case("an append, with proposals", false, true),
        case("a snapshot", true, false),
    ];
    for Case {
        name,
        is_compacted,
        proposes,
    } in cases
    {
        let mut sim = group(3);
        sim.crash(3);
        for entry in 0..10u64 {
            sim.propose(1, &entry.to_le_bytes()).unwrap();
        }
        sim.run(50).unwrap();
        if is_compacted {
            random::compact(&mut sim, 1).unwrap();
            sim.propose(1, b"after").unwrap();
        }
        sim.run(50).unwrap();
        sim.start(3);
        for correlation_id in 0..200 {
            sim.step(1, event::Event::ReadIndex { correlation_id })
                .unwrap();
            if proposes && correlation_id % 20 == 0 {
                sim.propose(1, b"more").unwrap();
            }
            sim.run(10).unwrap();
        }
        assert_eq!(sim.status(1).unwrap().role, status::Role::Leader, "{name}");
        assert_eq!(sim.vms[&3].applied.0, sim.last_committed(), "{name}");
    }
}

/// Guards against disturbances by a removed VM that was partitioned during its removal and requests votes:
/// the leader must stay, and the VM must stop campaigning.
#[test]
fn removed_node_stops_campaigning() {
    let mut sim = group(3);
    sim.partitioned.insert(3);
    sim.change(1, event::Change::Remove(id(3, 1))).unwrap();
    sim.run(1000).unwrap();
    sim.partitioned.clear();
    sim.run(1000).unwrap();
    let status = sim.status(1).unwrap();
    assert_eq!(
        (status.role, status.term),
        (status::Role::Leader, log::Term(1))
    );
    sim.wire.clear();
    sim.step(3, event::Event::ElectionTimeout).unwrap();
    assert_eq!(sim.wire, [], "it asks nobody any more");
}

/// Checks that an operator can remove the VM that is the leader.
#[test]
fn leader_removes_itself() {
    let mut sim = group(3);
    sim.change(1, event::Change::Remove(id(1, 1))).unwrap();
    sim.run(3000).unwrap();
    let leader = sim.leader().unwrap();
    assert_ne!(leader, 1);
    assert_eq!(
        sim.status(leader).unwrap().membership.voters,
        [id(2, 1), id(3, 1)].into()
    );
    assert_eq!(sim.status(1).unwrap().role, status::Role::Outside);
}

/// Guards against a read that misses an entry committed by another leader: V2 confirmed V1's lease and
/// was restarted at once, so that it no longer knows of the lease when V3 requests its vote.
#[test]
fn restarted_voter_waits_before_it_votes() {
    let mut sim = group(3);
    sim.run(500).unwrap();
    sim.crash(2);
    sim.start(2);
    sim.step(3, event::Event::ElectionTimeout).unwrap();
    sim.wire.retain(|(_, _, message)| message.to.vm == 2);
    sim.deliver().unwrap();
    assert_eq!(sim.status(3).unwrap().role, status::Role::PreCandidate);
}

/// Guards against applying uncommitted entries. V3 has lost its disk and receives the log again. A delayed
/// message to its old generation tells up to which index that one may apply, and the new generation may
/// hold other entries there.
#[test]
fn messages_for_another_generation_are_dropped() {
    let mut sim = group(3);
    sim.lose_disk(3);
    let body = message::Body::Append {
        prev: log::Position::default(),
        entries: Vec::new(),
        commit: log::Index(0),
    };
    let message = message::Message {
        to: id(3, 1),
        term: log::Term(9),
        body,
    };
    sim.step(
        3,
        event::Event::Message {
            from: id(1, 1),
            message,
        },
    )
    .unwrap();
    assert_eq!(sim.status(3).unwrap().term, log::Term(0));
    assert_eq!(sim.wire, []);
}

/// Guards against a suspended leader that accepts a request when it resumes, long after another leader was
/// elected.
#[test]
fn suspended_leader_steps_down_before_it_does_anything() {
    let mut sim = group(3);
    sim.now += 1000;
    sim.propose(1, b"late").unwrap();
    assert_eq!(rejected(&mut sim), Some(event::Reason::NotLeader));
}

/// Checks the reasons for which membership changes are refused.
#[test]
fn refused_changes() {
    struct Case {
        change: event::Change,
        reason: event::Reason,
    }
    let case = |change, reason| Case { change, reason };
    let cases = [
        case(
            event::Change::AddLearner(id(2, 1)),
            event::Reason::AlreadyMember,
        ),
        case(event::Change::Promote(id(2, 1)), event::Reason::NotLearner),
        case(event::Change::Promote(id(2, 2)), event::Reason::NotMember),
        case(event::Change::Remove(id(2, 2)), event::Reason::NotMember),
    ];
    let mut sim = group(3);
    for Case { change, reason } in cases {
        sim.change(1, change).unwrap();
        assert_eq!(rejected(&mut sim), Some(reason), "{change:?}");
    }
    let mut alone = group(1);
    alone.change(1, event::Change::Remove(id(1, 1))).unwrap();
    assert_eq!(rejected(&mut alone), Some(event::Reason::LastVoter));
}

/// Checks that proposals handled in one step share one write, and that a large backlog is sent in bounded
/// messages.
#[test]
fn requests_are_grouped_and_batches_bounded() {
    let mut cfg = config::Config::new(id(1, 1));
    cfg.max_batch_bytes = 1000;
    let membership = log::Membership::of_voters([id(1, 1)]);
    let restored = log::PersistedState {
        membership,
        ..log::PersistedState::default()
    };
    let mut node = node::Node::new(cfg, restored, 1);
    node.step(time::Instant(0), event::Event::ElectionTimeout);
    let propose = |correlation_id| event::Event::Propose {
        correlation_id,
        payload: vec![0; 400],
    };
    let actions = node.step_all(time::Instant(0), (0..10).map(propose));
    let writes = actions
        .iter()
        .filter(|action| matches!(action, event::Action::Persist(_)));
    assert_eq!(writes.count(), 1);
    assert!(matches!(&actions[0], event::Action::Persist(write) if write.entries.len() == 10));
    let change = event::Change::AddLearner(id(2, 1));
    node.step(
        time::Instant(0),
        event::Event::ChangeMembership {
            correlation_id: 0,
            change,
        },
    );
    let body = message::Body::Rejected {
        prev: log::Index(11),
        hint: log::Index(0),
    };
    let message = message::Message {
        to: id(1, 1),
        term: log::Term(1),
        body,
    };
    let from = id(2, 1);
    let actions = node.step(time::Instant(0), event::Event::Message { from, message });
    let sent = actions.iter().find_map(|action| match action {
        event::Action::Send { message, .. } => Some(&message.body),
        _ => None,
    });
    let Some(message::Body::Append { entries, .. }) = sent else {
        panic!("{actions:?}")
    };
    assert_eq!(entries.len(), 3, "the first entry and two commands");
}

/// Checks that commands and snapshots are encoded as byte strings and that messages are decoded unchanged.
#[test]
fn messages_are_unchanged_by_encoding_and_decoding() {
    let membership = log::Membership::of_voters([id(1, 1)]);
    let (index, term) = (log::Index(3), log::Term(2));
    let data = log::EntryData::Command(vec![200; 1000]);
    let entries = vec![log::Entry { index, term, data }];
    let append = message::Body::Append {
        prev: log::Position::default(),
        entries,
        commit: index,
    };
    let snapshot = log::Snapshot {
        index,
        term,
        membership,
        data: vec![255; 1000],
    };
    for body in [append, message::Body::Snapshot(snapshot)] {
        let message = message::Message {
            to: id(1, 2),
            term,
            body,
        };
        let buf = rmp_serde::to_vec(&message).unwrap();
        assert!(buf.len() < 1100, "{} bytes", buf.len());
        assert_eq!(
            rmp_serde::from_slice::<message::Message>(&buf).unwrap(),
            message
        );
    }
}

/// Checks that a log with a missing entry is rejected, since it must be treated as a lost disk.
#[test]
#[should_panic(expected = "the log has a gap")]
fn log_with_a_gap_is_refused() {
    let entry = |index| log::Entry {
        index: log::Index(index),
        term: log::Term(1),
        data: log::EntryData::Noop,
    };
    let entries = vec![entry(1), entry(3)];
    let restored = log::PersistedState {
        entries,
        ..log::PersistedState::default()
    };
    let _ = node::Node::new(config::Config::new(id(1, 1)), restored, 1);
}
