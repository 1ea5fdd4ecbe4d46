//! Entry VMs that an operator drains.

use std::{thread, time};

use crate::{cluster, operator};

/// An operator drains an entry VM. Its balancer sees it go red and stays away, and the others stay
/// as they are; undone, it goes green.
#[test]
fn an_operator_drains_an_entry_vm() {
    let cluster = cluster::Cluster::start(cluster::Plan::default());
    let drain = |on: &[&str]| {
        let output = cluster.cli(&[&["drain", "vm2"], on].concat());
        assert!(output.status.success(), "{output:?}");
    };
    drain(&[]);
    cluster.until("the VM is red", || !cluster.is_ready(1));
    assert!(cluster.is_ready(0) && cluster.is_ready(2));
    drain(&["--undo"]);
    cluster.until("the VM is green", || cluster.is_ready(1));
}

/// A VM is drained while nothing reaches the control process on it. That one still answers the entry
/// process beside it, and its word on who is drained is out of date. Were it taken, the VM would turn
/// green and red with each heartbeat, and the balancer would go on sending callers there.
#[test]
fn a_control_process_that_missed_the_drain_does_not_undo_it() {
    let cluster = cluster::Cluster::start(cluster::Plan {
        relays: true,
        ..cluster::Plan::default()
    });
    let leader = cluster.leader();
    let cut = (leader + 1) % 3;
    let client = operator::client(&cluster, &[leader, (leader + 2) % 3]);
    cluster.cut_way_to_control(cut);
    thread::sleep(time::Duration::from_secs(1));
    client
        .drain(&sageshed_operators::wire::DrainReq {
            vm: cluster::vm_name(cut),
            on: true,
            change_id: "drain".to_owned(),
        })
        .unwrap();
    cluster.until("the VM is red", || !cluster.is_ready(cut));
    for _ in 0..40 {
        assert!(!cluster.is_ready(cut), "a drained VM is ready");
        thread::sleep(time::Duration::from_millis(50));
    }
    cluster.heal(cut);
}
