//! The thread that places models, without a log: what it proposes, and what it does when a proposal
//! comes to nothing.

use std::{
    env, fs, process,
    sync::{self, atomic, mpsc},
    thread, time,
};

use sageshed::{
    control::{inputs, placing, shared},
    locks, settings,
};
use sageshed_engines::{client, transport};
use sageshed_quorum::{log, status};
use sageshed_state::command;
use sageshed_types::{endpoints, time as types_time};

/// How long anything that is waited for may take. A test that reaches it has failed.
const PATIENCE: time::Duration = time::Duration::from_secs(20);

const OWN: log::NodeId = log::NodeId {
    vm: 1,
    generation: 1,
};

const COMMON: &str = "
[[vms]]
name = \"vm1\"
number = 1
availability_zone = \"z\"
control = \"127.0.0.1:1\"
operators = \"127.0.0.1:2\"
[[models]]
name = \"m1\"
memory_mib = 1000
[control]
initial_voters = [\"vm1\"]
";

const CONTROL: &str = "
vm = \"vm1\"
common = \"common.toml\"
data = \"data\"
[listen]
vms = \"127.0.0.1:0\"
operators = \"127.0.0.1:0\"
";

fn settings() -> settings::Control {
    let dir = env::temp_dir().join(format!("sageshed-placing-{}", process::id()));
    fs::create_dir_all(&dir).unwrap();
    fs::write(dir.join("common.toml"), COMMON).unwrap();
    fs::write(dir.join("control.toml"), CONTROL).unwrap();
    let settings = settings::control(&dir.join("control.toml")).unwrap();
    fs::remove_dir_all(dir).unwrap();
    settings
}

/// An engine without a model, as it reports.
fn report(sequence: u64) -> placing::Input {
    placing::Input::Report(Box::new(endpoints::Report {
        identity: endpoints::Identity {
            endpoint: "e1".to_owned(),
            incarnation: endpoints::Incarnation(1),
            address: "127.0.0.1:3".to_owned(),
            availability_zone: "z".to_owned(),
            kind: endpoints::Kind::Engine {
                pool: "p".to_owned(),
                memory_mib: 1_500,
                accelerators: 1,
            },
            slots: 1,
            checks_fence: true,
        },
        sequence,
        age_ms: types_time::Millis(0),
        running: 0,
        waiting: 0,
        tokens_per_second: 0,
        resident: Vec::new(),
        orders: Vec::new(),
        leaving: false,
    }))
}

/// The next command, and who is to be told its outcome.
fn next(rx: &mpsc::Receiver<inputs::Input>) -> (command::Command, mpsc::Sender<placing::Input>) {
    match rx.recv_timeout(PATIENCE).unwrap() {
        inputs::Input::Submit {
            command,
            reply: inputs::Reply::Placing(tx),
        } => (*command, tx),
        other => panic!("{other:?}"),
    }
}

fn started() -> placing::Input {
    let fence = endpoints::Fence(1);
    let outcome = command::Outcome::LeaderStarted { fence };
    placing::Input::Decided(inputs::Fate::Applied(Some(Box::new(outcome))))
}

/// A model has no route. Its load is proposed while the log takes nothing more, and the proposal is
/// refused. The leader stays the leader, and for as long as it does the memory stays reserved for a
/// load that nobody will make: the model is never reachable. Cause: the ledger was not told.
#[test]
fn a_proposal_that_comes_to_nothing_is_made_again() {
    let shared = sync::Arc::new(shared::Shared::new(settings(), false, OWN));
    let mut view = locks::write(&shared.view);
    view.status.role = status::Role::Leader;
    view.status.term = log::Term(1);
    view.status.quorum_until = Some(types_time::Instant(u64::MAX));
    drop(view);
    let (inputs, rx) = inputs::Inputs::new();
    let (tx, placing_rx) = mpsc::channel();
    let common = &shared.settings.common;
    let placing = placing::Placing {
        shared: sync::Arc::clone(&shared),
        inputs,
        client: client::Client::new(transport::Settings::default()),
        placement: sageshed_place::Placement::new(sageshed_place::Settings {
            models: common.models.clone(),
            policy: common.placement.clone(),
        }),
        plan_interval: time::Duration::from_millis(20),
        tx: tx.clone(),
        rx: placing_rx,
        restart: false,
    };
    let running = thread::spawn(|| placing.run());
    let reporter = tx.clone();
    let stop = sync::Arc::clone(&shared);
    let reports = thread::spawn(move || {
        for sequence in 1.. {
            if stop.is_stopping() || reporter.send(report(sequence)).is_err() {
                return;
            }
            thread::sleep(time::Duration::from_millis(10));
        }
    });
    tx.send(started()).unwrap();

    let (first, reply) = next(&rx);
    assert!(
        matches!(first, command::Command::IssueOrders { .. }),
        "{first:?}"
    );
    let refused = inputs::Fate::NotDone(inputs::NotDone::Busy);
    reply.send(placing::Input::Decided(refused)).unwrap();

    let (barrier, reply) = next(&rx);
    assert_eq!(barrier, command::Command::LeaderStarted { term: 1 });
    reply.send(started()).unwrap();
    let (again, _) = next(&rx);
    assert_eq!(again, first);

    shared.stopping.store(true, atomic::Ordering::Relaxed);
    running.join().unwrap();
    reports.join().unwrap();
}
