//! What callers asked for, until the leader is told.

use sageshed_fleet::{
    messages,
    tally::{Asked, Tally},
};
use sageshed_types::time;

const T0: time::Instant = time::Instant(50_000);

const ASKED: Asked<'_> = Asked {
    prefill_us: 90_000,
    output_tokens: 40,
    adapter: Some("a1"),
};

/// Two entry processes tell a control process near them, which tells the leader for both.
#[test]
fn what_several_processes_counted_is_summed_up() {
    let mut relay = Tally::default();
    for _ in 0..2 {
        let mut entry = Tally::default();
        entry.ask("s", "m1", &ASKED);
        entry.ask("s", "m1", &ASKED);
        entry.wait("s", "m2");
        relay.add(entry.take());
        assert!(entry.take().is_empty());
    }
    let mut told = relay.take();
    told.sort_by(|a, b| a.model.cmp(&b.model));
    assert_eq!(told.len(), 2);
    assert_eq!((told[0].requests, told[0].prefill_us), (4, 360_000));
    assert_eq!(told[0].adapters, ["a1"]);
    assert_eq!((told[1].requests, told[1].waiting), (0, 2));
}

/// There is no leader for ten seconds. What was asked for at their beginning is no demand of now: told at
/// the end, it would look like a rise, and copies would be loaded for it.
#[test]
fn what_nobody_could_be_told_for_long_is_forgotten() {
    let mut tally = Tally::default();
    for step in 0..20 {
        tally.ask("s", "m1", &ASKED);
        let counted = tally.take();
        tally.put_back(T0 + time::Millis(step * 500), counted);
    }
    tally.ask("s", "m1", &ASKED);
    let told = tally.take();
    assert_eq!(told[0].requests, 1);
    tally.told();
    tally.put_back(T0 + time::Millis(11_000), told);
    assert_eq!(tally.take()[0].requests, 1, "a first failure loses nothing");
}

/// A process that goes wrong tells absurd numbers and endless names. Sums stay sums, and what is kept is
/// bounded.
#[test]
fn absurd_numbers_and_names_do_no_harm() {
    let absurd = messages::Demand {
        service: "s".to_owned(),
        model: "m1".to_owned(),
        requests: u32::MAX,
        prefill_us: u64::MAX,
        output_tokens: u64::MAX,
        waiting: u32::MAX,
        adapters: (0..5_000).map(|n| format!("a{n}")).collect(),
    };
    let mut tally = Tally::default();
    tally.add(vec![absurd.clone(), absurd.clone()]);
    let names = (0..9_000).map(|n| messages::Demand {
        model: format!("x{n}"),
        adapters: Vec::new(),
        ..absurd.clone()
    });
    tally.add(names.collect());
    tally.ask("s", "m1", &ASKED);
    let told = tally.take();
    assert!(told.len() < 4_000, "{}", told.len());
    let first = told
        .iter()
        .find(|it| it.model == "m1")
        .expect("it was told");
    assert_eq!(first.requests, u32::MAX);
    assert!(first.adapters.len() < 100);
}
