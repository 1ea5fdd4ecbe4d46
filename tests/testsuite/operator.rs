//! An operator inside the test process: changes rules without a process for each change.

use std::{sync::atomic, time};

use sageshed_operators::{client, wire};
use sageshed_types::rules;

use crate::cluster;

/// A client of the control processes of these VMs that keeps asking for a while.
pub fn client(cluster: &cluster::Cluster, vms: &[usize]) -> client::Client {
    let control = vms.iter().map(|vm| cluster.operators(*vm)).collect();
    client::Client::new(client::Options {
        rounds: 7,
        ..options(control)
    })
}

/// A client that asks one address, once.
pub fn once(address: &str) -> client::Client {
    client::Client::new(client::Options {
        rounds: 1,
        timeout: time::Duration::from_secs(3),
        ..options(vec![address.to_owned()])
    })
}

fn options(control: Vec<String>) -> client::Options {
    client::Options::new(control, "operator".to_owned())
}

/// Adds a rule that refuses `caller`, last, under a change id like the rule's.
pub fn add(id: &str, caller: &str, base: rules::Revision) -> wire::ChangeReq {
    let rule = rules::Rule {
        id: id.to_owned(),
        when: rules::When {
            caller: vec![caller.to_owned()],
            ..rules::When::default()
        },
        action: rules::Action::Refuse(rules::Refuse::default()),
        not_repeatable: None,
        deadline_ms: None,
    };
    wire::ChangeReq {
        change_id: format!("change-{id}"),
        base_revision: base,
        edit: rules::Edit::Add {
            rule: Box::new(rule),
            position: rules::Position::Last,
        },
    }
}

/// A change with the revision that it was acknowledged with.
pub type Acknowledged = (wire::ChangeReq, rules::Revision);

/// Sends changes one after another until `goal` are acknowledged, each as often as it takes.
/// `count` goes up with each.
pub fn stream(
    client: &client::Client,
    name: &str,
    goal: usize,
    count: &atomic::AtomicUsize,
) -> Vec<Acknowledged> {
    let mut acknowledged = Vec::new();
    let mut base = rules::Revision::default();
    for nth in 0.. {
        if acknowledged.len() == goal {
            break;
        }
        let change = add(&format!("{name}-{nth}"), "alpha", base);
        match until_known(client, &change) {
            rules::ChangeOutcome::Accepted { revision } => {
                base = revision;
                acknowledged.push((change, revision));
                count.fetch_add(1, atomic::Ordering::Relaxed);
            }
            rules::ChangeOutcome::Conflict { revision, .. } => base = revision,
            other => panic!("{other:?}"),
        }
    }
    acknowledged
}

/// Sends a change until its outcome is known.
pub fn until_known(client: &client::Client, change: &wire::ChangeReq) -> rules::ChangeOutcome {
    let end = time::Instant::now() + time::Duration::from_secs(40);
    loop {
        match client.change(change) {
            Ok(outcome) => return outcome,
            Err(e) => assert!(time::Instant::now() < end, "{e}"),
        }
    }
}

/// The newest revision, once the group can be read. The client gives up after about five seconds, and
/// an election on a busy machine may take longer.
fn newest(client: &client::Client) -> rules::Revision {
    let end = time::Instant::now() + time::Duration::from_secs(40);
    loop {
        match client.rules() {
            Ok(rules) => return rules.revision,
            Err(e) => assert!(time::Instant::now() < end, "{e}"),
        }
    }
}

/// Has a change accepted on top of whatever is newest.
pub fn accept(client: &client::Client, id: &str) -> rules::Revision {
    let mut base = newest(client);
    loop {
        match until_known(client, &add(id, "alpha", base)) {
            rules::ChangeOutcome::Accepted { revision } => return revision,
            rules::ChangeOutcome::Conflict { revision, .. } => base = revision,
            other => panic!("{other:?}"),
        }
    }
}

/// Asserts that every acknowledged change is in the history once, under its revision, that the
/// revisions have no gap, and that a resend is answered as the first time.
pub fn assert_kept(client: &client::Client, acknowledged: &[Acknowledged]) {
    let history = client.history(rules::Revision::default()).unwrap();
    for (accepted, revision) in history.iter().zip(1..) {
        assert_eq!(accepted.revision, rules::Revision(revision));
    }
    for (change, revision) in acknowledged {
        let same = history
            .iter()
            .filter(|it| it.change.change_id == change.change_id);
        let found: Vec<_> = same.map(|it| it.revision).collect();
        assert_eq!(found, [*revision], "{}", change.change_id);
        let again = until_known(client, change);
        let first = rules::ChangeOutcome::Accepted {
            revision: *revision,
        };
        assert_eq!(again, first, "{}", change.change_id);
    }
    let newest = client.rules().unwrap().revision;
    assert_eq!(newest.0, history.len() as u64, "a resend was applied");
}
