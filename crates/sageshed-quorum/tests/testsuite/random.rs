//! Random runs with faults, requests and repairs of lost disks.

use sageshed_quorum::{config, event, log, status};

use crate::sim::{CheckResult, Sim, id};

const SEEDS: u64 = 300;
/// The number of steps in a run, each of about 35 ms.
pub const STEPS: u64 = 400;

/// The repair of a lost disk in progress, as an operator would do it.
struct Repair {
    vm: u32,
    /// Whether the new generation is promoted before the old one is removed.
    promote_first: bool,
}

/// Runs `steps` random steps, then ends all faults and expects the group to recover.
pub fn run(seed: u64, steps: u64, guards: config::Guards) -> CheckResult {
    let voters = if seed.is_multiple_of(3) { 5 } else { 3 };
    let mut sim = Sim::new(seed, voters, guards);
    sim.fault_every = 25;
    let mut repair = None;
    for correlation_id in 0..steps {
        step(&mut sim, correlation_id, &mut repair)?;
        let pause = 10 * (1 + sim.rng.below(6));
        sim.run(pause)?;
    }
    settle(&mut sim, &mut repair)
}

fn step(sim: &mut Sim, correlation_id: u64, repair: &mut Option<Repair>) -> CheckResult {
    let vm = sim.any_vm();
    let known = sim.leader().filter(|_| sim.rng.below(2) == 0);
    let asked = known.unwrap_or(vm);
    let crash_after = (sim.rng.below(60) == 0).then(|| sim.rng.below(4));
    match sim.rng.below(40) {
        0..14 => {
            let payload = correlation_id.to_le_bytes().to_vec();
            sim.step_until(
                asked,
                event::Event::Propose {
                    correlation_id,
                    payload,
                },
                crash_after,
            )
        }
        14..18 => sim.step(asked, event::Event::ReadIndex { correlation_id }),
        18..21 => compact(sim, vm),
        21 => sim.step_until(vm, event::Event::Tick, Some(0)),
        22..26 if sim.vms[&vm].node.is_none() => {
            sim.start(vm);
            Ok(())
        }
        26 => {
            sim.partitioned.insert(vm);
            Ok(())
        }
        27..29 => {
            sim.partitioned.clear();
            Ok(())
        }
        29 if repair.is_none() => {
            sim.lose_disk(vm);
            *repair = Some(Repair {
                vm,
                promote_first: sim.rng.below(2) == 0,
            });
            Ok(())
        }
        30..38 => continue_repair(sim, correlation_id, repair),
        _ => Ok(()),
    }
}

pub fn compact(sim: &mut Sim, vm: u32) -> CheckResult {
    let host = sim.vms.get_mut(&vm).unwrap();
    let (index, state) = host.applied;
    let Some(node) = &host.node else {
        return Ok(());
    };
    let Some(snapshot) = node.build_snapshot(index, state.to_le_bytes().to_vec()) else {
        return Ok(());
    };
    host.disk.snapshot = Some(snapshot.clone());
    sim.step(vm, event::Event::Compact { snapshot })
}

/// Sends the next change of a repair to the node that considers itself leader.
fn continue_repair(sim: &mut Sim, correlation_id: u64, repair: &mut Option<Repair>) -> CheckResult {
    let Some(Repair { vm, promote_first }) = *repair else {
        return Ok(());
    };
    let new = sim.vms[&vm].id;
    let old = id(vm, new.generation - 1);
    let latest = sim
        .committed
        .values()
        .rev()
        .find_map(|(entry, ..)| match &entry.data {
            log::EntryData::Membership(membership) => Some(membership),
            _ => None,
        });
    if latest.is_some_and(|m| m.voters.contains(&new) && !m.contains(old)) {
        *repair = None;
        return Ok(());
    }
    let Some(leader) = sim.leader() else {
        return Ok(());
    };
    let status = sim.status(leader).unwrap();
    let membership = &status.membership;
    let matched = status.matched.get(&new);
    let caught_up = membership.voters.contains(&new)
        || matched.is_some_and(|matched| *matched >= status.commit);
    let change = if !membership.contains(new) {
        event::Change::AddLearner(new)
    } else if !caught_up && sim.guards.caught_up {
        return Ok(());
    } else if membership.learners.contains(&new) && (promote_first || !membership.contains(old)) {
        event::Change::Promote(new)
    } else {
        event::Change::Remove(old)
    };
    sim.step(
        leader,
        event::Event::ChangeMembership {
            correlation_id,
            change,
        },
    )
}

/// Without faults and with all VMs up, the repair must end and all members must apply the same log.
fn settle(sim: &mut Sim, repair: &mut Option<Repair>) -> CheckResult {
    sim.fault_every = 0;
    sim.partitioned.clear();
    sim.start_all();
    for correlation_id in 0..40 {
        sim.run(200)?;
        continue_repair(sim, 1_000_000 + correlation_id, repair)?;
    }
    if repair.is_some() {
        return Err("the repair does not end".to_owned());
    }
    let Some(leader) = sim.leader() else {
        return Err("no leader".to_owned());
    };
    sim.step(
        leader,
        event::Event::Propose {
            correlation_id: u64::MAX,
            payload: vec![1],
        },
    )?;
    sim.run(500)?;
    let behind = sim
        .vms
        .values()
        .find(|host| host.applied.0 != sim.last_committed());
    let role = sim.status(leader).map(|status| status.role);
    match behind {
        Some(host) => Err(format!("{} is behind", host.id)),
        None if role != Some(status::Role::Leader) => Err("the leader changed".to_owned()),
        None => Ok(()),
    }
}

/// Guards against committed changes that are lost and rules that differ between processes. Nodes crash at
/// any point of a step, messages are lost, duplicated, delayed and reordered, nodes are partitioned, and
/// disks are lost, the next one just after the last is repaired. The run fails on two leaders in a term, a
/// leader that lacks a committed entry, a committed entry that changes, state machines that differ, a
/// stale read, a leader elected within another's lease, and a group that does not recover.
#[test]
fn nothing_committed_is_lost() {
    for seed in 0..SEEDS {
        let outcome = run(seed, STEPS, config::Guards::default());
        assert_eq!(outcome, Ok(()), "seed {seed}");
    }
}
