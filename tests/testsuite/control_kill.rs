//! Control processes that are killed or frozen while operators change rules.

use std::{sync::atomic, thread, time};

use sageshed_types::{claims, endpoints, messages, rules, time as types_time};

use crate::{cluster, operator, watch};

/// Two operators send changes without pause while the leader is killed. What they are told was
/// accepted is there afterwards, once, under the revision that they were told, also when they send
/// it again; entry processes never go back. The killed process catches up when it is started.
#[test]
fn the_leader_is_killed_under_a_stream_of_changes() {
    let mut cluster = cluster::Cluster::start(cluster::Plan::default());
    let watch = watch::Watch::start(&cluster);
    let leader = cluster.leader();
    let count = &atomic::AtomicUsize::new(0);
    let clients = [(); 2].map(|()| operator::client(&cluster, &[0, 1, 2]));
    let acknowledged: Vec<_> = thread::scope(|scope| {
        let send = |(client, name)| scope.spawn(move || operator::stream(client, name, 40, count));
        let streams: Vec<_> = clients.iter().zip(["one", "two"]).map(send).collect();
        cluster.until("some changes are accepted", || {
            count.load(atomic::Ordering::Relaxed) > 20
        });
        cluster.kill(messages::Role::Control, leader);
        streams
            .into_iter()
            .flat_map(|it| it.join().unwrap())
            .collect()
    });
    cluster.start_control(leader);
    let newest = clients[0].rules().unwrap().revision;
    cluster.until("the killed one has caught up", || {
        cluster
            .status_of(leader)
            .is_some_and(|it| it.revision == newest)
    });
    operator::assert_kept(&clients[0], &acknowledged);
    watch.finish();
}

/// The followers hang, and an operator sends a change to the leader. Told that it was accepted, he
/// would lose it with the leader. He must be told that its outcome is open; sent again once the
/// followers are back, it is applied once.
#[test]
fn nothing_is_acknowledged_without_a_majority() {
    let cluster = cluster::Cluster::start(cluster::Plan::default());
    let leader = cluster.leader();
    let followers: Vec<_> = (0..3).filter(|vm| *vm != leader).collect();
    for vm in &followers {
        cluster.signal(messages::Role::Control, *vm, "STOP");
    }
    let change = operator::add("alone", "alpha", rules::Revision::default());
    let answer = operator::once(&cluster.operators(leader)).change(&change);
    for vm in &followers {
        cluster.signal(messages::Role::Control, *vm, "CONT");
    }
    assert!(answer.is_err(), "{answer:?}");
    let client = operator::client(&cluster, &[0, 1, 2]);
    let accepted = operator::until_known(&client, &change);
    let first = rules::Revision(1);
    assert_eq!(accepted, rules::ChangeOutcome::Accepted { revision: first });
    operator::assert_kept(&client, &[(change, first)]);
}

/// The leader hangs for longer than its leases while the others elect a leader and accept changes.
/// When it goes on, operators who ask it must not be shown the rules of before, and entry processes
/// that it answers must not go back.
#[test]
fn the_leader_hangs_and_goes_on() {
    let cluster = cluster::Cluster::start(cluster::Plan::default());
    let watch = watch::Watch::start(&cluster);
    let leader = cluster.leader();
    let others: Vec<_> = (0..3).filter(|vm| *vm != leader).collect();
    let client = operator::client(&cluster, &others);
    operator::accept(&client, "before");
    cluster.signal(messages::Role::Control, leader, "STOP");
    let meanwhile = operator::accept(&client, "meanwhile");
    cluster.until("it is in force", || {
        client.in_force(meanwhile).unwrap().everywhere
    });
    watch.in_force(meanwhile);
    thread::sleep(time::Duration::from_secs(2));
    cluster.signal(messages::Role::Control, leader, "CONT");
    let thawed = operator::once(&cluster.operators(leader));
    for _ in 0..20 {
        if let Ok(shown) = thawed.rules() {
            assert!(shown.revision >= meanwhile, "{shown:?}");
        }
    }
    cluster.until("it follows", || {
        cluster
            .status_of(leader)
            .is_some_and(|it| it.revision == meanwhile)
    });
    watch.finish();
}

/// Entry processes ask for many claims at once. Each waits at the leader until the other members have
/// acknowledged it, through the same port. All must be granted, and none be left open as if there were
/// no majority.
#[test]
fn many_claims_at_once_do_not_keep_acknowledgements_out() {
    let cluster = cluster::Cluster::start(cluster::Plan::default());
    let address = cluster.control(cluster.leader()).to_string();
    let open = atomic::AtomicUsize::new(0);
    thread::scope(|scope| {
        for nth in 0..200 {
            let (address, open) = (&address, &open);
            scope.spawn(move || claim(address, nth, open));
        }
    });
    let open = open.into_inner();
    assert_eq!(open, 0, "claims were left open");
}

/// Asks for a claim until it is granted, and counts the answers that leave it open.
fn claim(address: &str, nth: usize, open: &atomic::AtomicUsize) {
    let claim = claims::Claim {
        key: claims::ClaimKey {
            caller: "alpha".to_owned(),
            key: format!("key-{nth}"),
        },
        holder: claims::Holder {
            vm: cluster::vm_name(0),
            incarnation: endpoints::Incarnation(u64::MAX),
            request_id: format!("vm1.0.{nth}"),
        },
        digest: 1,
        retention: types_time::Millis(60_000),
    };
    let client = sageshed_vms::Client::new("");
    let limit = time::Duration::from_secs(10);
    let end = time::Instant::now() + time::Duration::from_secs(40);
    while time::Instant::now() < end {
        let answer = client.call(address, messages::paths::CLAIM, &claim, limit);
        match answer {
            Ok(messages::LeaderReply::<claims::ClaimOutcome>::Done(_)) => return,
            Ok(messages::LeaderReply::Unknown) => {
                open.fetch_add(1, atomic::Ordering::Relaxed);
            }
            // Not proposed, or not taken in by a busy machine.
            Ok(messages::LeaderReply::NotLeader { .. }) | Err(_) => {
                thread::sleep(time::Duration::from_millis(20));
            }
        }
    }
    panic!("claim {nth} was never granted");
}
