//! Benchmark of the first-match lookup among 1,000 rules.
//!
//! `cargo run --release -p sageshed-decide --example rules_bench`

use std::time;

use sageshed_decide::{event, names, rules, settings};
use sageshed_types::{arena, catalog, rules as types_rules, time as types_time};

const RULES: usize = 1_000;
const MODELS: usize = 72;
const CALLERS: usize = 20;
const CLASSES: usize = 4;
const QUERIES: u32 = 1_000_000;

fn main() {
    let mut names = names::Names::new(&settings());
    let set = types_rules::RuleSet {
        revision: types_rules::Revision(1),
        rules: (0..RULES).map(rule).collect(),
    };
    let compiling = time::Instant::now();
    let compiled = rules::Compiled::new(set, &rules::Compiled::default(), &mut names);
    let compiled_in = compiling.elapsed();

    let begin = time::Instant::now();
    let mut matched = 0_u32;
    for i in 0..QUERIES {
        matched += u32::from(
            compiled
                .first_match(std::hint::black_box(&query(i)))
                .is_some(),
        );
    }
    let each = begin.elapsed() / QUERIES;
    println!(
        "{RULES} rules compiled in {compiled_in:?}; first match in {each:?} on average of \
         {QUERIES}, {matched} of them by a rule"
    );
}

/// A rule with conditions on caller, class, model and prompt length. No request of the benchmark has
/// a prompt that is long enough, so that all rules are evaluated without a match.
fn rule(i: usize) -> types_rules::Rule {
    let prompt_tokens = types_rules::Range {
        min: Some(u32::try_from(i + 1).unwrap_or(u32::MAX)),
        max: None,
    };
    types_rules::Rule {
        id: format!("rule-{i}"),
        when: types_rules::When {
            caller: vec![format!("caller-{}", i % CALLERS)],
            class: vec![format!("class-{}", i % CLASSES)],
            model: vec![format!("model-{}", i % MODELS)],
            prompt_tokens: Some(prompt_tokens),
            ..types_rules::When::default()
        },
        action: types_rules::Action::Route(types_rules::Route::default()),
        not_repeatable: None,
        deadline_ms: None,
    }
}

fn query(i: u32) -> rules::Query {
    rules::Query {
        caller: arena::CallerKey(i % 20),
        class: arena::ClassKey(i % 4),
        target: event::Target::Model(arena::ModelKey(i % 72)),
        streaming: i.is_multiple_of(2),
        not_repeatable: false,
        prompt_tokens: 0,
        priority: 3,
    }
}

fn settings() -> settings::Settings {
    let class = |i| catalog::Class {
        name: format!("class-{i}"),
        priority: 3,
        deadline_ms: types_time::Millis(10_000),
        queue: 64,
    };
    let caller = |i| catalog::Caller {
        name: format!("caller-{i}"),
        token_sha256: format!("{i}"),
        class: "class-0".to_owned(),
        rate: None,
        burst: None,
    };
    let model = |i| catalog::Model {
        name: format!("model-{i}"),
        base: None,
        version: 1,
        memory_mib: 1,
        pools: Vec::new(),
        critical: false,
        load_ms: types_time::Millis(1_000),
    };
    settings::Settings {
        vm: "entry-1".to_owned(),
        availability_zone: "az1".to_owned(),
        entries: 7,
        classes: (0..CLASSES).map(class).collect(),
        callers: (0..CALLERS).map(caller).collect(),
        models: (0..MODELS).map(model).collect(),
        services: Vec::new(),
        policy: settings::Policy::default(),
    }
}
