//! Memory is never overcommitted and every model stays reachable, whatever happens to control
//! processes and engines while models are moved.

use std::{sync::atomic, thread, time};

use sageshed_test_support::{config, fault, relay, standin};
use sageshed_types::messages;

use crate::{ask::Ask, cluster};

/// How long an order is held up on its way to an engine; past it a new leader leads for long.
const HELD_UP: time::Duration = time::Duration::from_secs(8);

/// Loads that have ended when the fault comes: others are under way.
const FIRST_LOADS: u64 = 3;

/// Of the planner, as fast as the stand-ins are.
const PLACEMENT: &str = "[placement]\nplan_interval_ms = 100\nstore_loads_per_second = 10.0\n\
                         stale_after_ms = 2000\nspread_zones = false\n";

fn engine(name: &str, memory_mib: u64, held: &[(&str, u64)]) -> config::Endpoint {
    let mut engine = config::Endpoint::engine(name, memory_mib, held);
    engine.report_interval_ms = 200;
    engine.report_lag_ms = 300;
    engine
}

fn plan(models: &[&str], endpoints: Vec<config::Endpoint>) -> cluster::Plan {
    cluster::Plan {
        models: models.iter().map(|it| cluster::model(it, 3_000)).collect(),
        common: PLACEMENT.to_owned(),
        endpoints,
        store: config::Store {
            loads_per_second: 1.0,
            at_once: 2,
        },
        ..cluster::Plan::default()
    }
}

/// Sent until it is answered.
fn wait_answered(cluster: &cluster::Cluster, models: &[&str]) {
    for vm in 0..cluster.vms() {
        for model in models {
            let ask = Ask::completion(&cluster.callers(vm), model, 2);
            let what = format!("{model} is answered on {}", cluster::vm_name(vm));
            cluster.until(&what, || ask.send().is_ok_and(|it| it.status == 200));
        }
    }
}

fn assert_no_overcommit(standin: &standin::Standin) {
    for endpoint in standin.stats().endpoints {
        assert_eq!(endpoint.overcommits, 0, "{endpoint:?}");
    }
}

fn loads(cluster: &cluster::Cluster) -> u64 {
    let stats = cluster.standin.stats();
    stats.endpoints.iter().map(|it| it.loads).sum()
}

fn models_json(cluster: &cluster::Cluster) -> Vec<messages::ModelStatus> {
    let shown = cluster.cli(&["models", "--json"]);
    serde_json::from_slice(&shown.stdout).unwrap_or_default()
}

fn pin(cluster: &cluster::Cluster, verb: &str, model: &str, endpoint: &str) {
    let done = cluster.cli(&["models", verb, model, "--endpoint", endpoint]);
    assert!(done.status.success(), "{done:?}");
}

const NINE: [&str; 9] = ["m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9"];

/// Four empty engines that are to hold nine models, three an engine; two ignore fencing numbers.
/// Gives the cluster while the first models are loaded.
fn loading() -> cluster::Cluster {
    let engines = ["e1", "e2", "e3", "e4"].iter().enumerate();
    let endpoints = engines.map(|(nth, name)| {
        let mut engine = engine(name, 10_000, &[]);
        engine.checks_fence = nth % 2 == 0;
        engine
    });
    let cluster = cluster::Cluster::start(cluster::Plan {
        relays: true,
        ..plan(&NINE, endpoints.collect())
    });
    cluster.until("some models are loaded", || loads(&cluster) >= FIRST_LOADS);
    cluster
}

fn wait_other_leader(cluster: &cluster::Cluster, than: usize) {
    let others = (0..cluster.controls()).filter(|vm| *vm != than);
    let leads = |vm| {
        let status = cluster.status_of(vm);
        status
            .and_then(|it| it.leader)
            .is_some_and(|it| it != cluster::vm_name(than))
    };
    cluster.until("another leads", || others.clone().any(leads));
}

/// The control leader dies while it fills engines. The next one knows of the orders only from the
/// log, and its reports are old. It must neither load a second model where one is coming, nor leave
/// a model without an engine.
#[test]
fn the_leader_is_killed_while_models_are_loaded() {
    let mut cluster = loading();
    let leader = cluster.leader();
    cluster.kill(messages::Role::Control, leader);
    wait_answered(&cluster, &NINE);
    cluster.start_control(leader);
    cluster.until("it is back", || cluster.status_of(leader).is_some());
    assert_no_overcommit(&cluster.standin);
}

/// The control leader hangs while it fills engines, another takes over, and the first goes on where
/// it stopped, with what it was about to send.
#[test]
fn the_leader_is_frozen_while_models_are_loaded() {
    let cluster = loading();
    let leader = cluster.leader();
    cluster.signal(messages::Role::Control, leader, "STOP");
    wait_other_leader(&cluster, leader);
    cluster.signal(messages::Role::Control, leader, "CONT");
    wait_answered(&cluster, &NINE);
    assert_no_overcommit(&cluster.standin);
}

/// A partition cuts the control leader's VM off silently while it fills engines, which it still
/// reaches. It can commit nothing more, so it may send nothing more; the others go on.
#[test]
fn the_leader_is_cut_off_while_models_are_loaded() {
    let cluster = loading();
    let leader = cluster.leader();
    cluster.cut_off(leader);
    wait_other_leader(&cluster, leader);
    cluster.heal(leader);
    wait_answered(&cluster, &NINE);
    assert_no_overcommit(&cluster.standin);
}

/// An engine dies while models are loaded on it and comes back empty. What was ordered of it before
/// is void; its models must be loaded anew, there or elsewhere.
#[test]
fn an_engine_restarts_while_models_are_loaded() {
    let cluster = loading();
    for engine in ["e1", "e2"] {
        cluster.standin.fault(engine, fault::Fault::Crash, None);
    }
    wait_answered(&cluster, &NINE);
    assert_no_overcommit(&cluster.standin);
}

/// The network holds an order up on its way to an engine that ignores fencing numbers, and the
/// leader dies. Operators want another model there now; the next leader loads it, and then the old
/// order arrives: both together are more than the engine has. The order was committed before it was
/// sent, so the next leader has to reserve its memory until its fate is known.
#[test]
fn an_order_arrives_long_after_its_leader_died() {
    let mut late = engine("late", 4_000, &[]);
    let relay = cluster::put_behind_relay(&mut late);
    late.checks_fence = false;
    let other = engine("other", 10_000, &[("m1", 3_000), ("m2", 3_000)]);
    let mut cluster = cluster::Cluster::start(plan(&["m1", "m2"], vec![late, other]));
    wait_answered(&cluster, &["m1", "m2"]);
    let passage = relay::Passage::Delayed(HELD_UP);
    relay.set(relay::Direction::ToTarget, passage);
    pin(&cluster, "pin", "m1", "late");
    cluster.until("the order is sent", || {
        let moves = models_json(&cluster).into_iter().flat_map(|it| it.moves);
        moves.into_iter().any(|it| it.contains("on late"))
    });
    // It was committed when it is shown; give its bytes the time to get to the relay.
    thread::sleep(time::Duration::from_millis(300));
    let leader = cluster.leader();
    cluster.kill(messages::Role::Control, leader);
    relay.set(relay::Direction::ToTarget, relay::Passage::Open);
    wait_other_leader(&cluster, leader);
    pin(&cluster, "unpin", "m1", "late");
    pin(&cluster, "pin", "m2", "late");
    cluster.until("the engine holds what is wanted there now", || {
        let models = models_json(&cluster);
        let wanted = models.iter().find(|it| it.model.name == "m2");
        wanted.is_some_and(|it| it.holders.iter().any(|at| at.endpoint == "late"))
    });
    let late = cluster.standin.stats().endpoints.swap_remove(0);
    assert!(late.orders >= 2, "the late order never arrived: {late:?}");
    assert_no_overcommit(&cluster.standin);
    wait_answered(&cluster, &["m1", "m2"]);
}

/// The only engine with a model dies. A caller who has the time waits until it is loaded elsewhere
/// and is answered. One who hasn't is told at once that there is no route, that nothing was run, and
/// when to come back; by then the model is there.
#[test]
fn a_model_that_nobody_holds_is_waited_for_or_refused_at_once() {
    let held = engine("e1", 10_000, &[("m1", 3_000)]);
    let mut slow = plan(&["m1"], vec![held, engine("e2", 10_000, &[])]);
    slow.models = cluster::model("m1", 3_000).replace("500", "4000");
    // The stand-in takes as long as the settings say.
    slow.endpoints.iter_mut().for_each(|it| it.load_ms = 40_000);
    let cluster = cluster::Cluster::start(slow);
    wait_answered(&cluster, &["m1"]);
    cluster.standin.fault("e1", fault::Fault::Crash, None);
    let base = cluster.callers(0);
    let hasty = Ask::completion(&base, "m1", 2).with("Sageshed-Deadline-Ms", "2000");
    let mut refused = hasty.send().unwrap();
    cluster.until("the loss is known", || {
        refused = hasty.send().unwrap();
        refused.account("reason") == "no_route"
    });
    assert_eq!(refused.status, 503, "{}", refused.body);
    assert_eq!(refused.account("verdict"), "not_run");
    let back: u64 = refused.account("retry_after_ms").parse().unwrap();
    assert!((1..20_000).contains(&back), "{}", refused.body);
    let patient = Ask::completion(&base, "m1", 2).send().unwrap();
    assert_eq!(patient.status, 200, "{}", patient.body);
    assert_eq!(hasty.send().unwrap().status, 200);
}

/// Operators raise the version of a model that two engines hold, neither with room for both
/// versions. Callers must be answered without a break: one engine is changed after the other.
#[test]
fn a_model_keeps_a_route_while_its_version_is_replaced() {
    let full = |name: &str| engine(name, 4_000, &[("m1", 3_000)]);
    let mut plan = plan(&["m1"], vec![full("e1"), full("e2")]);
    plan.common.push_str("min_replicas = 2\n");
    let mut cluster = cluster::Cluster::start(plan);
    wait_answered(&cluster, &["m1"]);
    let done = &atomic::AtomicBool::new(false);
    let ask = Ask::completion(&cluster.callers(0), "m1", 2);
    thread::scope(|scope| {
        let asking = scope.spawn(|| {
            let mut asked = 0;
            // Bounded, or a failure beside it would wait for this thread for good.
            while !done.load(atomic::Ordering::Relaxed) && asked < 2_000 {
                let answer = ask.send().unwrap();
                assert_eq!(answer.status, 200, "{}", answer.body);
                asked += 1;
                thread::sleep(time::Duration::from_millis(20));
            }
            asked
        });
        cluster.set_models(&format!("{}version = 2\n", cluster::model("m1", 3_000)));
        for vm in 0..3 {
            cluster.kill(messages::Role::Control, vm);
            cluster.start_control(vm);
            cluster.until("it is back", || cluster.status_of(vm).is_some());
        }
        cluster.until("both engines hold the new version", || {
            let models = models_json(&cluster);
            let holders = models.iter().flat_map(|it| &it.holders);
            holders.filter(|it| it.resident.version == 2).count() == 2 || asking.is_finished()
        });
        done.store(true, atomic::Ordering::Relaxed);
        assert!(asking.join().unwrap() > 0);
    });
    assert_no_overcommit(&cluster.standin);
}

/// Every engine of an availability zone is lost at once, with the only copies of some models. They
/// are loaded in the other zone, where there is room for them.
#[test]
fn the_engines_of_an_availability_zone_are_lost() {
    let here = [
        engine("e1", 10_000, &[("m1", 3_000)]),
        engine("e2", 10_000, &[("m2", 3_000)]),
    ];
    let models = ["m1", "m2", "m3", "m4"];
    let cluster = cluster::Cluster::start(plan(&models, here.to_vec()));
    let mut there = [
        engine("e3", 10_000, &[("m3", 3_000)]),
        engine("e4", 10_000, &[("m4", 3_000)]),
    ];
    for engine in &mut there {
        engine.availability_zone = "there".to_owned();
    }
    let there = standin::Standin::start(config::Config {
        entries: (0..3).map(|vm| cluster.entry(vm).to_string()).collect(),
        time_scale: 10.0,
        endpoints: there.to_vec(),
        ..config::Config::default()
    });
    let there = there.unwrap();
    wait_answered(&cluster, &models);
    assert_no_overcommit(&there);
    drop(there);
    wait_answered(&cluster, &models);
    assert_no_overcommit(&cluster.standin);
}

/// An operator sees models being moved and asks why: the table names who holds each, what is under
/// way, and the reason.
#[test]
fn operators_see_holders_and_moves_with_their_reasons() {
    let mut target = engine("e2", 10_000, &[]);
    target.load_ms = 100_000;
    let held = engine("e1", 10_000, &[("m1", 3_000)]);
    let cluster = cluster::Cluster::start(plan(&["m1"], vec![held, target]));
    wait_answered(&cluster, &["m1"]);
    pin(&cluster, "pin", "m1", "e2");
    let mut text = String::new();
    cluster.until("the move is shown", || {
        text = String::from_utf8(cluster.cli(&["models"]).stdout).unwrap();
        text.contains("load version 1 on e2: ")
    });
    let row = text.lines().find(|line| line.starts_with("m1")).unwrap();
    assert!(row.contains("e1"), "{text}");
    assert!(row.contains("pin"), "{text}");
}
