//! Which entry processes receive observations of an engine, and what they make of them.

mod support;

use std::{collections, net};

use sageshed_fleet::{
    chooser::{Choice, Chooser, EndpointQuery, WaitReason, coordinators},
    dialect, entry_peers,
};
use sageshed_types::time;

const T0: time::Instant = time::Instant(100_000);

fn entries(count: u32) -> Vec<net::Ipv4Addr> {
    let first = u32::from(net::Ipv4Addr::new(10, 0, 1, 1));
    (0..count).map(|it| (first + it).into()).collect()
}

/// With 90 entry processes, a request must not cause 90 messages: a model has few coordinators, the same
/// whichever process computes them, and with many models every process coordinates some.
#[test]
fn the_coordinators_of_a_model_are_few_and_the_same_for_all() {
    let entries = entries(90);
    let mut shuffled = entries.clone();
    shuffled.reverse();
    let mut members = collections::BTreeSet::new();
    for model in 0..470_u64 {
        let key = entry_peers::name_key(&format!("m{model}"));
        let coordinators = entry_peers::coordinators(key, &entries);
        assert_eq!(coordinators.len(), 2);
        assert_eq!(coordinators, entry_peers::coordinators(key, &shuffled));
        members.extend(coordinators);
    }
    assert_eq!(members.len(), 90);
}

/// An engine holds a few of many models. Observations of it go to the coordinators of these models and to
/// nobody else.
#[test]
fn observations_go_to_the_coordinators_of_an_engines_models() {
    let many = entries(195);
    let engine = support::engine("e1", &["m0", "m1", "m2"]);
    let mut coordinators = coordinators::Coordinators::default();
    coordinators.add_models(&engine);
    coordinators.set_entries(net::Ipv4Addr::UNSPECIFIED, &many);
    let observers = coordinators.observers(&engine);
    assert!(observers.len() <= 6, "{observers:?}");
    for model in ["m0", "m1", "m2"] {
        let coordinators = entry_peers::coordinators(entry_peers::name_key(model), &many);
        assert!(
            coordinators.iter().all(|it| observers.contains(it)),
            "{model}"
        );
    }
    let few = entries(7);
    coordinators.set_entries(net::Ipv4Addr::UNSPECIFIED, &few);
    assert_eq!(coordinators.observers(&engine), few);
    assert!(entry_peers::coordinators(entry_peers::name_key("m0"), &few).is_empty());
}

/// Guards against a cost of engines x entry processes at each change of their list: with 3,858 engines and
/// 985 entry processes it took half a second of processor time, several times a second while these were
/// restarted one after the other.
#[test]
fn a_change_of_the_list_ranks_all_processes_for_few_models() {
    let all = entries(985);
    let names: Vec<String> = (0..296).map(|it| format!("m{it}")).collect();
    let mut known = coordinators::Coordinators::default();
    for engine in 0..3_858 {
        let models: Vec<&str> = (0..3)
            .map(|it| names[(engine * 7 + it * 31) % names.len()].as_str())
            .collect();
        known.add_models(&support::engine(&format!("e{engine}"), &models));
    }
    let own = all[3];
    assert_eq!(known.set_entries(own, &all), names.len());
    let mut ranked = 0;
    for gone in (0..985).step_by(10) {
        let left: Vec<_> = all.iter().copied().filter(|it| *it != all[gone]).collect();
        ranked += known.set_entries(own, &left);
        for name in &names {
            assert_eq!(
                known.of(name),
                entry_peers::coordinators(entry_peers::name_key(name), &left)
            );
        }
        ranked += known.set_entries(own, &all);
        for name in &names {
            assert_eq!(
                known.of(name),
                entry_peers::coordinators(entry_peers::name_key(name), &all)
            );
        }
    }
    // Each model has two coordinators of 985, and a tenth of these were removed.
    assert!(ranked <= 120, "{ranked} models were ranked");
}

#[test]
fn a_removed_entry_process_changes_few_coordinators() {
    let before = entries(90);
    let after = entries(89);
    let changed = (0..90_u64).filter(|model| {
        let key = entry_peers::name_key(&format!("m{model}"));
        entry_peers::coordinators(key, &before) != entry_peers::coordinators(key, &after)
    });
    assert!(changed.count() <= 8);
}

/// A request that may wait 300 ms for an engine with little prefill pending.
fn waiting_query(wanted: &dialect::ModelRef, tokens: u64) -> EndpointQuery<'_> {
    EndpointQuery {
        patience: time::Millis(300),
        ..support::ask(wanted, tokens)
    }
}

/// Another entry process has just sent a prompt of 6,000 tokens to an engine, which takes 316 ms to prefill
/// it. One of 3,000 more would make all streams there pause for half a second and be late. It has to go to
/// the other engine or wait until the first is prefilled.
#[test]
fn a_prompt_does_not_go_on_top_of_what_a_peer_sent() {
    let mut chooser = Chooser::new("z1", 7);
    let peer = net::Ipv4Addr::new(10, 0, 1, 2);
    chooser.set_entries(net::Ipv4Addr::new(10, 0, 1, 1), &entries(7));
    chooser.update_instance(&support::engine("e1", &["m0"]));
    let observation = |micros| entry_peers::EngineObservation {
        pending_prefill_us: micros,
        ..support::observation(entry_peers::instance_key(&"e1".into()))
    };
    let m0 = dialect::ModelRef {
        model: "m0".to_owned(),
        adapter: None,
    };
    assert!(!chooser.apply_observation(T0, peer, &observation(316_000)));
    let waits = Choice::Wait(WaitReason::Place);
    assert_eq!(chooser.choose(T0, &waiting_query(&m0, 3_000)), waits);
    // It has waited for as long as it may.
    let last = chooser.choose(T0, &support::ask(&m0, 3_000));
    assert!(matches!(last, Choice::Send(_)), "{last:?}");
    chooser.update_instance(&support::engine("e2", &["m0"]));
    let Choice::Send(pick) = chooser.choose(T0, &waiting_query(&m0, 3_000)) else {
        panic!("e2 has no prefill pending");
    };
    assert_eq!(pick.instance.name, "e2");
    assert!(
        chooser.apply_observation(T0, peer, &observation(0)),
        "there is room again"
    );
}

/// A datagram is lost, and the last observation of a killed peer was that an engine has much prefill
/// pending. The engine must not idle because of that.
#[test]
fn an_old_observation_expires() {
    let mut chooser = Chooser::new("z1", 7);
    chooser.set_entries(net::Ipv4Addr::new(10, 0, 1, 1), &entries(7));
    chooser.update_instance(&support::engine("e1", &["m0"]));
    let observation = entry_peers::EngineObservation {
        pending_prefill_us: 3_000_000,
        ..support::observation(entry_peers::instance_key(&"e1".into()))
    };
    chooser.apply_observation(T0, net::Ipv4Addr::new(10, 0, 1, 2), &observation);
    let m0 = dialect::ModelRef {
        model: "m0".to_owned(),
        adapter: None,
    };
    let later = T0 + time::Millis(2_000);
    let choice = chooser.choose(later, &waiting_query(&m0, 100));
    assert!(matches!(choice, Choice::Send(_)), "{choice:?}");
}

/// An engine has prefilled a long shared prefix for one entry process. A caller with the same prefix sends
/// its request to another one. That has to go where the prefix is cached, or it is prefilled once for each
/// process. What belongs to a single request, or was prefilled for another model, is of no use to others.
#[test]
fn a_prompt_goes_where_another_process_had_its_prefix_cached() {
    let part = |id, tokens| dialect::PromptPart { id, tokens };
    let parts = [part(7, 6_000), part(8, 500)];
    let (m0, m1) = (wanted("m0"), wanted("m1"));
    let mut chooser = Chooser::new("z1", 7);
    chooser.update_instance(&support::engine("e1", &["m0", "m1"]));
    chooser.update_instance(&support::engine("e2", &["m0", "m1"]));
    let prefix = entry_peers::PromptPrefix::of(&m0, &parts);
    assert_eq!(prefix.as_ref().map(|it| it.parts.clone()), Some(vec![7]));
    assert_eq!(entry_peers::PromptPrefix::of(&m0, &parts[1..]), None);
    let observation = entry_peers::EngineObservation {
        cached_prefix: prefix,
        ..support::observation(entry_peers::instance_key(&"e2".into()))
    };
    chooser.apply_observation(T0, net::Ipv4Addr::new(10, 0, 1, 2), &observation);
    let tokens = |chooser: &mut Chooser, wanted: &dialect::ModelRef| {
        let query = EndpointQuery {
            parts: &parts,
            ..support::ask(wanted, 6_500)
        };
        match chooser.choose(T0, &query) {
            Choice::Send(pick) => (pick.instance.name, pick.uncached_tokens),
            other => panic!("not sent: {other:?}"),
        }
    };
    assert_eq!(tokens(&mut chooser, &m0), ("e2".to_owned(), 500));
    assert_eq!(tokens(&mut chooser, &m1).1, 6_500);
}

fn wanted(model: &str) -> dialect::ModelRef {
    dialect::ModelRef {
        model: model.to_owned(),
        adapter: None,
    }
}
