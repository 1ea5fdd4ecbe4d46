//! Operators who race, and operators who lose an answer.

use std::{sync, thread};

use sageshed_test_support::relay;
use sageshed_types::{messages, rules};

use crate::{cluster, operator};

/// Two operators look at the same revision and each sends a change at the same moment. One is
/// accepted. The other one is told what came in between, and changes nothing.
#[test]
fn two_operators_race_on_one_revision() {
    let cluster = cluster::Cluster::start(cluster::Plan::default());
    let clients = [(); 2].map(|()| operator::client(&cluster, &[0, 1, 2]));
    for round in 0..5 {
        let base = rules::Revision(round);
        let barrier = sync::Barrier::new(2);
        let race = |who: usize| {
            let change = operator::add(&format!("race-{round}-{who}"), "alpha", base);
            barrier.wait();
            operator::until_known(&clients[who], &change)
        };
        let outcomes = thread::scope(|scope| {
            [0, 1]
                .map(|who| scope.spawn(move || race(who)))
                .map(|it| it.join().unwrap())
        });
        let winner = outcomes
            .iter()
            .position(|it| matches!(it, rules::ChangeOutcome::Accepted { .. }))
            .expect("one is accepted");
        let revision = rules::Revision(round + 1);
        assert_eq!(
            outcomes[winner],
            rules::ChangeOutcome::Accepted { revision }
        );
        let rules::ChangeOutcome::Conflict {
            revision: newest,
            between,
        } = &outcomes[1 - winner]
        else {
            panic!("{outcomes:?}");
        };
        assert_eq!(*newest, revision);
        let between: Vec<_> = between.iter().map(|it| &it.change.change_id).collect();
        assert_eq!(between, [&format!("change-race-{round}-{winner}")]);
    }
    assert_eq!(clients[0].rules().unwrap().revision, rules::Revision(5));
}

/// An operator's change is accepted and the answer never reaches him. Then the leader dies. He sends
/// the change again to another control process and is told the revision of the first time. The same
/// id with other content is refused there, since it would hide one of the two changes.
#[test]
fn a_resend_after_a_lost_answer_changes_nothing() {
    let mut cluster = cluster::Cluster::start(cluster::Plan::default());
    let leader = cluster.leader();
    let others: Vec<_> = (0..3).filter(|vm| *vm != leader).collect();
    let client = operator::client(&cluster, &others);
    // A leader refuses changes until it has committed an entry of its own, and the relay would hide the refusal.
    let earlier = operator::accept(&client, "earlier");
    let address = cluster.operators(leader).replace("http://", "");
    let relay = relay::Relay::start(address.parse().unwrap()).unwrap();
    relay.set(relay::Direction::FromTarget, relay::Passage::Silent);

    let first = rules::Revision(earlier.0 + 1);
    let change = operator::add("lost", "alpha", earlier);
    let lost = operator::once(&relay.address().to_string()).change(&change);
    assert!(lost.is_err(), "{lost:?}");
    cluster.until("it is accepted", || {
        client.rules().is_ok_and(|it| it.revision == first)
    });
    let later = operator::accept(&client, "later");
    cluster.kill(messages::Role::Control, leader);

    let again = operator::until_known(&client, &change);
    assert_eq!(again, rules::ChangeOutcome::Accepted { revision: first });
    let mut other = operator::add("other", "alpha", later);
    other.change_id.clone_from(&change.change_id);
    let reused = operator::until_known(&client, &other);
    assert_eq!(
        reused,
        rules::ChangeOutcome::ChangeIdReused { revision: first }
    );
    operator::assert_kept(&client, &[(change, first)]);
}
