//! The time until a group that was stopped has a leader again.

use sageshed_quorum::config;

use crate::sim::{CheckResult, Sim};

/// The election timeout of the nodes in [`Sim`], in milliseconds.
const ELECTION_TIMEOUT: u64 = 200;

/// How a group of five is stopped and started again.
struct Case {
    name: &'static str,
    /// VMs that lose their disk. V1 is the former leader.
    wiped: &'static [u32],
    /// The pause before each VM starts, V1 first, in milliseconds.
    pauses: [u64; 5],
    /// The maximum time from the last start until there is a leader, in milliseconds.
    leads_within: u64,
}

const CASES: &[Case] = &[
    Case {
        name: "all at once",
        wiped: &[],
        pauses: [0; 5],
        leads_within: 50,
    },
    Case {
        name: "one after the other, the former leader first",
        wiped: &[],
        pauses: [0, 20, 20, 20, 20],
        leads_within: 50,
    },
    Case {
        name: "the former leader last",
        wiped: &[],
        pauses: [60, 0, 0, 0, 0],
        leads_within: 50,
    },
    Case {
        name: "the former leader without its disk",
        wiped: &[1],
        pauses: [0; 5],
        leads_within: 110,
    },
    Case {
        name: "the former leader and another without their disks",
        wiped: &[1, 4],
        pauses: [0; 5],
        leads_within: 110,
    },
];

fn run_case(case: &Case, seed: u64) -> CheckResult {
    let mut sim = Sim::new(seed, 5, config::Guards::default());
    sim.elect(1)?;
    sim.propose(1, b"rule")?;
    sim.run(100)?;
    for vm in 1..=5 {
        sim.crash(vm);
    }
    sim.wire.clear();
    sim.run(20)?;
    let mut order: Vec<u32> = (1..=5).collect();
    order.sort_by_key(|vm| case.pauses[*vm as usize - 1]);
    for vm in order {
        sim.run(case.pauses[vm as usize - 1])?;
        if case.wiped.contains(&vm) {
            sim.lose_disk(vm);
        } else {
            sim.start(vm);
        }
    }
    sim.run(case.leads_within)?;
    sim.leader()
        .map(drop)
        .ok_or(format!("{}: no leader", case.name))
}

/// Guards against refusing callers for three quarters of a second after all processes were killed: each
/// voter restarts within milliseconds, and without the leader check would wait for the timeout of a leader
/// that was killed as well.
#[test]
fn a_group_that_was_stopped_completely_has_a_leader_soon() {
    for case in CASES {
        for seed in 0..20 {
            assert!(case.leads_within < ELECTION_TIMEOUT);
            assert_eq!(run_case(case, seed), Ok(()), "{}, seed {seed}", case.name);
        }
    }
}
