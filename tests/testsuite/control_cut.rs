//! VMs that a partition cuts off silently: connections stay open and carry nothing.

use std::{thread, time};

use sageshed_types::messages;

use crate::{cluster, operator, watch};

/// Well past the leases of the default settings.
const LONG: time::Duration = time::Duration::from_secs(5);

/// The VM of the leader is cut off for long, and rules change on the other side. Its control process
/// shows operators no old rules and grants no leases that count: the entry process beside it, which
/// reaches no other, stops serving, also if it is restarted. After the cut it serves by the new
/// rules. No entry process ever goes back.
#[test]
fn the_leaders_vm_is_cut_off() {
    let mut cluster = cluster::Cluster::start(plan(3));
    let watch = watch::Watch::start(&cluster);
    let cut = cluster.leader();
    let others: Vec<_> = (0..3).filter(|vm| *vm != cut).collect();
    let client = operator::client(&cluster, &others);
    let before = operator::accept(&client, "before");
    cluster.until("it is in force", || {
        client.in_force(before).unwrap().everywhere
    });
    cluster.cut_off(cut);

    let meanwhile = operator::accept(&client, "meanwhile");
    cluster.until("it is in force but where the VM is cut off", || {
        client.in_force(meanwhile).unwrap().everywhere
    });
    watch.in_force(meanwhile);
    assert_refuses(&cluster, cut);
    let stale = operator::once(&cluster.operators(cut));
    let shown = stale.rules();
    assert!(shown.is_err(), "{shown:?}");
    let shown = stale.history(before);
    assert!(shown.is_err(), "{shown:?}");

    cluster.kill(messages::Role::Entry, cut);
    cluster.start_entry(cut);
    cluster.until("it answers", || {
        watch::probe_at(&cluster.callers(cut)).send().is_ok()
    });
    let end = time::Instant::now() + LONG;
    while time::Instant::now() < end {
        assert_refuses(&cluster, cut);
        thread::sleep(time::Duration::from_millis(200));
    }
    let last = operator::accept(&client, "last");
    cluster.heal(cut);
    cluster.until("it serves by the new rules", || {
        watch::revision(&watch::probe_at(&cluster.callers(cut))) == Some(last.0)
    });
    assert!(cluster.is_ready(cut));
    watch.finish();
}

/// A control VM is cut off, and it is the first that the operator's client knows. He must be able to
/// change rules all the same. Were he told there that too few entry VMs are heard, his client would
/// take that for the group's answer and ask nobody else.
#[test]
fn an_operator_asks_a_control_vm_that_is_cut_off_first() {
    let cluster = cluster::Cluster::start(plan(3));
    let leader = cluster.leader();
    for cut in [leader, (leader + 1) % 3] {
        cluster.cut_off(cut);
        thread::sleep(LONG);
        let client = operator::client(&cluster, &[cut, (cut + 1) % 3, (cut + 2) % 3]);
        operator::accept(&client, &format!("past-{cut}"));
        cluster.heal(cut);
        cluster.wait_ready();
    }
}

/// Something between the VMs loses track of every open connection: all stay open and carry nothing,
/// and new ones work. Calls that wait too long on the old ones would cost the leader its majority, and
/// entry processes their leases. Nobody has to be elected, and every entry process goes on.
#[test]
fn all_connections_between_vms_go_silent() {
    let cluster = cluster::Cluster::start(cluster::Plan {
        control: "election_timeout_ms = 3000\n".to_owned(),
        ..plan(3)
    });
    let watch = watch::Watch::start(&cluster);
    let client = operator::client(&cluster, &[0, 1, 2]);
    let term = |cluster: &cluster::Cluster| {
        cluster.leader();
        cluster.status().unwrap().term
    };
    let before = term(&cluster);
    for round in 0..2 {
        cluster.lose_track();
        thread::sleep(LONG);
        let revision = operator::accept(&client, &format!("round-{round}"));
        cluster.until("it is in force", || {
            client.in_force(revision).unwrap().missing.is_empty()
        });
    }
    assert_eq!(term(&cluster), before, "a leader was elected");
    watch.finish();
}

/// An entry VM without a control process is cut off alone while a rule changes. The operator who
/// waits is told its name, and that the change is in force once it cannot be serving any more, which
/// it is not. After the cut it serves by the new rules.
#[test]
fn an_entry_vm_is_cut_off_alone() {
    let cluster = cluster::Cluster::start(plan(4));
    let cut = 3;
    let watch = watch::Watch::start(&cluster);
    let client = operator::client(&cluster, &[0, 1, 2]);
    cluster.cut_off(cut);
    let meanwhile = operator::accept(&client, "meanwhile");
    let mut named = false;
    cluster.until("it is in force", || {
        let in_force = client.in_force(meanwhile).unwrap();
        named |= !in_force.everywhere && in_force.missing.contains(&cluster::vm_name(cut));
        in_force.everywhere
    });
    watch.in_force(meanwhile);
    assert!(named, "the VM that is cut off was not named");
    assert_refuses(&cluster, cut);
    cluster.heal(cut);
    cluster.until("it serves by the new rules", || {
        watch::revision(&watch::probe_at(&cluster.callers(cut))) == Some(meanwhile.0)
    });
    watch.finish();
}

/// Every control process is killed. No change can be accepted then, so entry processes go on by the
/// rules they have confirmed; one that is restarted has confirmed none and refuses. When the control
/// processes are back, all serve and rules change again.
#[test]
fn all_control_processes_are_down() {
    let mut cluster = cluster::Cluster::start(cluster::Plan::default());
    let watch = watch::Watch::start(&cluster);
    let client = operator::client(&cluster, &[0, 1, 2]);
    let before = operator::accept(&client, "before");
    cluster.until("it is in force", || {
        client.in_force(before).unwrap().everywhere
    });
    for vm in 0..3 {
        cluster.kill(messages::Role::Control, vm);
    }
    cluster.kill(messages::Role::Entry, 2);
    cluster.start_entry(2);
    thread::sleep(LONG);
    cluster.until("the others serve", || {
        cluster.is_ready(0) && cluster.is_ready(1)
    });
    for vm in [0, 1] {
        let decided_by = watch::revision(&watch::probe_at(&cluster.callers(vm)));
        assert_eq!(decided_by, Some(before.0), "entry {vm}");
    }
    assert_refuses(&cluster, 2);
    for vm in 0..3 {
        cluster.start_control(vm);
    }
    cluster.wait_ready();
    let after = operator::accept(&client, "after");
    cluster.until("it is in force", || {
        client.in_force(after).unwrap().everywhere
    });
    watch.in_force(after);
    watch.finish();
}

fn plan(vms: usize) -> cluster::Plan {
    cluster::Plan {
        vms,
        relays: true,
        ..cluster::Plan::default()
    }
}

/// Asserts that an entry process tells its balancer and its callers that it does not serve.
fn assert_refuses(cluster: &cluster::Cluster, vm: usize) {
    assert!(!cluster.is_ready(vm), "entry {vm} is ready");
    let refused = watch::probe_at(&cluster.callers(vm)).send().unwrap();
    for (member, value) in [("reason", "not_confirmed"), ("verdict", "not_run")] {
        assert_eq!(refused.account(member), value, "{}", refused.body);
    }
}
