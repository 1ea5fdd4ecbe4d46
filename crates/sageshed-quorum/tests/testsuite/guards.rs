//! Each guard: a story that ends well with it and badly without.

use sageshed_quorum::{config, event, log, status};

use crate::{
    random,
    sim::{Broken, Sim, id},
};

struct Case {
    voters: u32,
    story: fn(&mut Sim) -> Broken,
    /// Guards that are off in both runs, since they would help out.
    spare: fn(&mut config::Guards),
    /// The guard that makes the difference.
    remove: fn(&mut config::Guards),
    /// Part of what goes wrong without it.
    broken: &'static str,
}

fn case(
    voters: u32,
    story: fn(&mut Sim) -> Broken,
    remove: fn(&mut config::Guards),
    broken: &'static str,
) -> Case {
    Case {
        voters,
        story,
        spare: |_| {},
        remove,
        broken,
    }
}

#[test]
fn each_guard_is_needed() {
    let lost = "lacks committed";
    let cases = [
        case(3, lost_disk, |g| g.generation = false, lost),
        case(3, stale_candidate, |g| g.up_to_date = false, lost),
        case(3, unsynced_answer, |g| g.sync = false, lost),
        case(5, older_entry_counted, |g| g.own_term_commit = false, lost),
        case(3, two_changes_at_once, |g| g.single_change = false, lost),
        case(4, change_of_new_leader, |g| g.own_term_change = false, lost),
        case(
            3,
            dead_learner_promoted,
            |g| g.caught_up = false,
            "not committed",
        ),
        case(3, cut_off_leader, |g| g.check_quorum = false, "still leads"),
        case(3, follower_returns, |g| g.pre_vote = false, "deposed"),
        case(
            3,
            deaf_follower,
            |g| g.stickiness = false,
            "within the lease",
        ),
        case(
            3,
            voter_restarts_behind_a_cut,
            |g| g.restart_check = false,
            "within the lease",
        ),
        Case {
            spare: |g| g.check_quorum = false,
            ..case(
                3,
                read_at_old_leader,
                |g| g.read_round = false,
                "stale read",
            )
        },
    ];
    for (nth, case) in cases.iter().enumerate() {
        let mut guards = config::Guards::default();
        (case.spare)(&mut guards);
        let healthy = (case.story)(&mut Sim::new(1, case.voters, guards));
        assert_eq!(healthy, Ok(()), "case {nth} with its guard");
        (case.remove)(&mut guards);
        let broken = (case.story)(&mut Sim::new(1, case.voters, guards)).unwrap_err();
        assert!(
            broken.contains(case.broken),
            "case {nth} without its guard: {broken}"
        );
    }
}

/// Random runs find by themselves what goes wrong without some of the guards.
#[test]
fn random_runs_find_missing_guards() {
    let all = config::Guards::default();
    let cases = [
        (
            0,
            config::Guards {
                up_to_date: false,
                ..all
            },
        ),
        (0, config::Guards { sync: false, ..all }),
    ];
    for (first, guards) in cases {
        let mut seeds = first..first + 200;
        let found = seeds.any(|seed| random::run(seed, random::STEPS, guards).is_err());
        assert!(found, "nothing goes wrong with {guards:?}");
    }
}

/// Two leaders order at the same time. V1 leads and is cut off with its lease still running. V2 and V3,
/// which have just answered it, start again and can't ask it. Their votes at once would make one of
/// them leader.
fn voter_restarts_behind_a_cut(sim: &mut Sim) -> Broken {
    sim.elect(1)?;
    sim.propose(1, b"rule")?;
    sim.run(100)?;
    sim.cut.insert(1);
    for vm in [2, 3] {
        sim.crash(vm);
        sim.start(vm);
    }
    sim.run(150)
}

/// A rule that was accepted is gone after two VMs were repaired. V1 and V2 hold it, V3 was away; V2
/// comes back with an empty disk and V1 is down. If V2 votes under its old name it makes V3 leader.
fn lost_disk(sim: &mut Sim) -> Broken {
    sim.elect(1)?;
    sim.cut.insert(3);
    sim.propose(1, b"rule")?;
    sim.deliver()?;
    sim.crash(1);
    sim.lose_disk(2);
    sim.cut.clear();
    sim.elect(3)
}

/// A rule that was accepted is gone: V3, which was away when V1 and V2 took it, is elected.
fn stale_candidate(sim: &mut Sim) -> Broken {
    sim.elect(1)?;
    sim.cut.insert(3);
    sim.propose(1, b"rule")?;
    sim.deliver()?;
    sim.crash(1);
    sim.cut.clear();
    sim.elect(3)
}

/// A rule that was accepted is gone: V2 acknowledged it and lost power before it was on disk.
fn unsynced_answer(sim: &mut Sim) -> Broken {
    sim.elect(1)?;
    sim.run(100)?;
    sim.cut.insert(3);
    sim.propose(1, b"rule")?;
    let to_second = sim
        .wire
        .iter()
        .position(|(_, _, message)| message.to.vm == 2)
        .unwrap();
    let (_, from, message) = sim.wire.remove(to_second);
    sim.step_until(2, event::Event::Message { from, message }, Some(1))?;
    sim.deliver()?;
    sim.crash(1);
    sim.cut.clear();
    sim.start(2);
    sim.elect(3)
}

/// A rule that was accepted is gone. V1 appends it on V1 and V2; V5 leads next and appends its own
/// entry there; V1 leads again and brings the rule to V3. That is a majority, but V5 can still win
/// against V3 and V4, and overwrites it (figure 8 of the Raft paper).
fn older_entry_counted(sim: &mut Sim) -> Broken {
    sim.elect(1)?;
    sim.cut.extend([1, 2]);
    sim.propose(1, &[7; 300])?;
    sim.deliver()?;
    sim.crash(1);
    sim.now += 1000;
    sim.step(5, event::Event::ElectionTimeout)?;
    sim.deliver_until(|sim| sim.leader() == Some(5))?;
    sim.wire.clear();
    sim.crash(5);
    sim.start(1);
    sim.cut = [4, 5].into();
    sim.now += 1000;
    sim.step(1, event::Event::ElectionTimeout)?;
    sim.deliver()?;
    sim.now += 1000;
    sim.step(1, event::Event::ElectionTimeout)?;
    let third_has_it = |sim: &Sim| {
        sim.status(1)
            .is_some_and(|s| s.matched.get(&id(3, 1)) == Some(&log::Index(2)))
    };
    sim.deliver_until(third_has_it)?;
    if !third_has_it(sim) {
        return Err("the story goes otherwise".to_owned());
    }
    sim.wire.clear();
    sim.crash(1);
    sim.cut.clear();
    sim.start(5);
    sim.elect(5)?;
    sim.elect(5)
}

/// Two leaders accept different rules. V1 is cut off and is told to remove V2, then V3: each change
/// shrinks the majority that the next one needs, until V1 is one by itself.
fn two_changes_at_once(sim: &mut Sim) -> Broken {
    sim.elect(1)?;
    sim.cut.insert(1);
    sim.change(1, event::Change::Remove(id(2, 1)))?;
    sim.change(1, event::Change::Remove(id(3, 1)))?;
    sim.deliver()?;
    sim.elect(2)
}

/// A removal that was confirmed is undone. V1 has promoted V5 on its own log only; V2 leads next
/// and removes V1, which V2 and V3 confirm before V4 hears of the new term. V1, V4 and V5 are a
/// majority of the membership that V1 knows, and elect it.
fn change_of_new_leader(sim: &mut Sim) -> Broken {
    sim.join(5);
    sim.elect(1)?;
    sim.change(1, event::Change::AddLearner(id(5, 1)))?;
    sim.run(100)?;
    sim.cut.insert(1);
    sim.change(1, event::Change::Promote(id(5, 1)))?;
    sim.deliver()?;
    sim.crash(1);
    sim.now += 1000;
    sim.step(2, event::Event::ElectionTimeout)?;
    sim.deliver_until(|sim| sim.leader() == Some(2))?;
    sim.wire.clear();
    sim.cut = [4, 5].into();
    sim.change(2, event::Change::Remove(id(1, 1)))?;
    for _ in 0..4 {
        sim.step(2, event::Event::HeartbeatDue)?;
        sim.deliver()?;
    }
    sim.crash(2);
    sim.crash(3);
    sim.cut.clear();
    sim.start(1);
    sim.elect(1)?;
    sim.elect(1)
}

/// No change is accepted any more. V3 is down, and its successor is made a voter before it has
/// ever answered: two live voters of four are no majority.
fn dead_learner_promoted(sim: &mut Sim) -> Broken {
    sim.elect(1)?;
    sim.crash(3);
    sim.change(1, event::Change::AddLearner(id(4, 1)))?;
    sim.deliver()?;
    sim.change(1, event::Change::Promote(id(4, 1)))?;
    sim.propose(1, b"rule")?;
    sim.deliver()?;
    let status = sim.status(1).unwrap();
    if status.commit < status.last {
        Err("the rule is not committed".to_owned())
    } else {
        Ok(())
    }
}

/// An operator's changes hang for as long as a partition lasts: the leader is cut off and nothing
/// tells it so.
fn cut_off_leader(sim: &mut Sim) -> Broken {
    sim.elect(1)?;
    sim.cut.insert(1);
    sim.run(250)?;
    let role = sim.status(1).unwrap().role;
    if role == status::Role::Leader {
        Err("it still leads".to_owned())
    } else {
        Ok(())
    }
}

/// Every return of a VM from a partition stops the group for an election: in the meantime it has
/// raised its term, and the leader steps down when it hears of that.
fn follower_returns(sim: &mut Sim) -> Broken {
    sim.elect(1)?;
    sim.cut.insert(3);
    sim.run(2000)?;
    sim.cut.clear();
    sim.run(1000)?;
    let status = sim.status(1).unwrap();
    if status.term == log::Term(1) {
        Ok(())
    } else {
        Err("the leader was deposed".to_owned())
    }
}

/// A read at the leader misses what another leader has accepted: V3 hears no heartbeat and is heard
/// by V2 alone, which votes for it right after it has confirmed V1's lease.
fn deaf_follower(sim: &mut Sim) -> Broken {
    sim.elect(1)?;
    sim.run(500)?;
    sim.step(3, event::Event::ElectionTimeout)?;
    sim.wire.retain(|(_, _, message)| message.to.vm != 1);
    sim.deliver_until(|sim| sim.status(3).unwrap().role == status::Role::Candidate)?;
    sim.wire.retain(|(_, _, message)| message.to.vm != 1);
    sim.deliver()
}

/// A visitor centre reads what was replaced a second ago: V1 was cut off, V2 leads and has accepted
/// a change, and V1 answers a read as the leader that it takes itself for. Both cases do without
/// the quorum check, which would have made V1 step down.
fn read_at_old_leader(sim: &mut Sim) -> Broken {
    sim.elect(1)?;
    sim.run(100)?;
    sim.cut.insert(1);
    sim.elect(2)?;
    sim.propose(2, b"rule")?;
    sim.deliver()?;
    sim.step(1, event::Event::ReadIndex { correlation_id: 1 })?;
    sim.deliver()
}
