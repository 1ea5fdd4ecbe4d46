//! Measures placement with real processes at both users' sizes: 7 entry and 3 control processes, 13
//! stand-in engines in two pools, the models, adapters, classes and store of `examples/USER`.
//!
//! ```text
//! cargo build --release && cargo run --release --example measure_placement -- \
//!     [scale=5] [seeds=3] [load=0.8] [memory=40960] [users=clearflow,kootenay] \
//!     [policies=planned,static_even,on_demand_lru] [set="lazy_start=true"] [phases=4]
//! ```
//!
//! Each run begins with one copy of every model and adapter, put where memory is most, and lets the
//! policy settle; then the same seeded requests come for each policy. Which models are popular
//! changes every [`PHASE_S`], and in each phase a model that few ask for gets ten times its requests
//! for [`BURST_S`]. Attainment is the share of requests offered that were answered whole by their
//! deadline. Moves are loads and unloads that the stand-ins carried out.

#[path = "measure/cluster.rs"]
mod cluster;

use std::{
    collections, env, fs, path, thread,
    time::{Duration, Instant},
};

use sageshed_test_support::{config, load, random, stats};
use sageshed_types::{catalog, endpoints};

/// Seconds between two changes of what is popular, before scaling.
const PHASE_S: f64 = 25.0;
/// Seconds that a burst lasts, before scaling, and by how much it multiplies a model's requests.
const BURST_S: f64 = 5.0;
const BURST_FACTOR: f64 = 10.0;
/// Shares of a pool's requests that its most popular models get; the others share the rest.
const POPULAR: [f64; 4] = [0.4, 0.2, 0.12, 0.08];
const SLOTS: u32 = 8;
const TOKENS_PER_SECOND: f64 = 50.0;
const FIRST_TOKEN_MS: u64 = 100;
const ZONES: usize = 4;
/// Workers of the load tool for each request that would run if none waited.
const WORKERS_FOR: f64 = 4.0;
/// Engines in the pools, the larger first.
const ENGINES: [usize; 2] = [9, 4];

/// A user whose settings are measured.
struct User {
    name: &'static str,
    pools: [&'static str; 2],
    /// Least and most tokens of an answer, by pool.
    tokens: [(u32, u32); 2],
    /// The class that requests for a model come in.
    class: fn(&catalog::Model) -> &'static str,
}

const USERS: [User; 2] = [
    User {
        name: "clearflow",
        pools: ["callout-models", "dispatch"],
        tokens: [(32, 160); 2],
        class: |model| match (model.critical, model.pools[0].as_str()) {
            (true, _) => "emergency",
            (false, "dispatch") => "callout",
            (false, _) => "drafting",
        },
    },
    User {
        name: "kootenay",
        pools: ["copywriting", "listings"],
        tokens: [(100, 300), (16, 48)],
        class: |model| match model.pools[0].as_str() {
            "listings" => "lookup",
            _ if model.name.starts_with("translate") => "translation",
            _ => "draft",
        },
    },
];

/// What is the same in each run of a table.
struct Trial {
    scale: f64,
    load: f64,
    memory_mib: u64,
    phases: u32,
    set: toml::Table,
}

/// A model and the adapters on it.
struct Family {
    base: catalog::Model,
    adapters: Vec<catalog::Model>,
}

/// What one run gave.
#[derive(Debug, Default)]
struct Outcome {
    offered: u64,
    on_time: u64,
    refused: collections::BTreeMap<String, u64>,
    begun_late_ms: f64,
    moves_before: u64,
    moves: u64,
    overcommits: u64,
}

impl Outcome {
    fn attainment(&self) -> f64 {
        100.0 * self.on_time as f64 / (self.offered.max(1)) as f64
    }
}

fn main() -> Result<(), cluster::Error> {
    let args: collections::HashMap<String, String> = env::args()
        .skip(1)
        .filter_map(|arg| arg.split_once('=').map(|(k, v)| (k.into(), v.into())))
        .collect();
    let text = |name: &str, default: &str| args.get(name).map_or(default, |it| it).to_owned();
    let trial = Trial {
        scale: text("scale", "5").parse()?,
        load: text("load", "0.8").parse()?,
        memory_mib: text("memory", "40960").parse()?,
        phases: text("phases", "4").parse()?,
        set: text("set", "").replace(';', "\n").parse()?,
    };
    let seeds: u64 = text("seeds", "3").parse()?;
    let (users, policies) = (
        text("users", "clearflow,kootenay"),
        text("policies", "planned,static_even,on_demand_lru"),
    );
    println!(
        "scale {} load {} memory {} MiB phases {} set {:?}",
        trial.scale, trial.load, trial.memory_mib, trial.phases, trial.set
    );
    println!(
        "user policy seed | attainment % | per accelerator % | moves (settling) | overcommits"
    );
    for user in USERS
        .iter()
        .filter(|user| users.split(',').any(|it| it == user.name))
    {
        for policy in policies.split(',') {
            measure(user, policy, seeds, &trial)?;
        }
    }
    Ok(())
}

fn measure(user: &User, policy: &str, seeds: u64, trial: &Trial) -> Result<(), cluster::Error> {
    let mut outcomes = Vec::new();
    for seed in 1..=seeds {
        let outcome = run(user, policy, seed, trial)?;
        let line = format!("{} {policy} {seed}", user.name);
        print_row(&line, &outcome);
        outcomes.push(outcome);
    }
    let (mean, low, high) = spread(outcomes.iter().map(Outcome::attainment));
    let (moves, fewest, most) = spread(outcomes.iter().map(|it| it.moves as f64));
    println!(
        "{} {policy} MEAN | {mean:.2} ({low:.2}-{high:.2}) | {:.3} | {moves:.0} ({fewest:.0}-{most:.0})",
        user.name,
        mean / ENGINES.iter().sum::<usize>() as f64,
    );
    Ok(())
}

fn print_row(line: &str, outcome: &Outcome) {
    println!(
        "{line} | {:.2} | {:.3} | {} ({}) | {} | offered {} begun late {:.0} ms, not on time: {:?}",
        outcome.attainment(),
        outcome.attainment() / ENGINES.iter().sum::<usize>() as f64,
        outcome.moves,
        outcome.moves_before,
        outcome.overcommits,
        outcome.offered,
        outcome.begun_late_ms,
        outcome.refused,
    );
}

fn spread(values: impl Iterator<Item = f64> + Clone) -> (f64, f64, f64) {
    let count = values.clone().count().max(1) as f64;
    let low = values.clone().fold(f64::INFINITY, f64::min);
    let high = values.clone().fold(0.0, f64::max);
    (values.sum::<f64>() / count, low, high)
}

fn run(user: &User, policy: &str, seed: u64, trial: &Trial) -> Result<Outcome, cluster::Error> {
    let mut common = settings(user.name)?;
    let models: Vec<catalog::Model> = common["models"].clone().try_into()?;
    let classes: Vec<catalog::Class> = common["classes"].clone().try_into()?;
    let at_once = common["placement"]["store_loads_at_once"].as_integer();
    if let Some(placement) = common["placement"].as_table_mut() {
        placement.insert("baseline".to_owned(), policy.into());
        placement.extend(trial.set.clone());
    }
    let endpoints = config::Config {
        time_scale: trial.scale,
        store: config::Store {
            loads_per_second: 1.0,
            at_once: u32::try_from(at_once.unwrap_or(7))?,
        },
        load_ms: models
            .iter()
            .map(|m| (m.name.clone(), m.load_ms.0))
            .collect(),
        endpoints: engines(user, &models, trial),
        ..config::Config::default()
    };
    let cluster = cluster::Cluster::start(common, endpoints)?;
    settle(&cluster, trial.scale);
    let before = totals(&cluster.standin.stats());
    let mut outcome = Outcome {
        moves_before: before.0,
        ..Outcome::default()
    };
    for report in offer(&cluster, user, &models, &classes, seed, trial) {
        outcome.offered += report.sent;
        outcome.on_time += report.on_time;
        let late = report.completed - report.on_time;
        *outcome.refused.entry("late".to_owned()).or_default() += late;
        for (reason, count) in report.refused.into_iter().chain(report.lost) {
            *outcome.refused.entry(reason).or_default() += count;
        }
        for (what, count) in report.wrong {
            *outcome.refused.entry(format!("WRONG {what}")).or_default() += count;
        }
        let late = report.begun_late_max_ms.unwrap_or(0.0);
        outcome.begun_late_ms = outcome.begun_late_ms.max(late);
    }
    let after = totals(&cluster.standin.stats());
    outcome.moves = after.0 - before.0;
    outcome.overcommits = after.1;
    Ok(outcome)
}

/// Moves and overcommits until now.
fn totals(stats: &stats::All) -> (u64, u64) {
    let moves = stats.endpoints.iter().map(|it| it.loads + it.unloads).sum();
    (moves, stats.endpoints.iter().map(|it| it.overcommits).sum())
}

/// Waits until nothing was moved for a while, at most about a minute before scaling.
fn settle(cluster: &cluster::Cluster, scale: f64) {
    let end = Instant::now() + Duration::from_secs_f64(60.0 / scale);
    let quiet = Duration::from_secs_f64(15.0 / scale);
    let (mut known, mut since) = (totals(&cluster.standin.stats()), Instant::now());
    while Instant::now() < end && since.elapsed() < quiet {
        thread::sleep(Duration::from_millis(100));
        let now = totals(&cluster.standin.stats());
        if now != known {
            (known, since) = (now, Instant::now());
        }
    }
}

/// The common settings of a user, as they are written.
fn settings(user: &str) -> Result<toml::Table, cluster::Error> {
    let file = path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(user)
        .join("common.toml");
    Ok(fs::read_to_string(file)?.parse()?)
}

fn families(pool: &str, models: &[catalog::Model]) -> Vec<Family> {
    let bases = models
        .iter()
        .filter(|it| it.base.is_none() && it.pools.iter().any(|of| of == pool));
    let family = |base: &catalog::Model| Family {
        base: base.clone(),
        adapters: models
            .iter()
            .filter(|it| it.base.as_ref() == Some(&base.name))
            .cloned()
            .collect(),
    };
    bases.map(family).collect()
}

/// The engines of both pools, with each model and its adapters where memory is most. Every other
/// engine ignores fencing numbers.
fn engines(user: &User, models: &[catalog::Model], trial: &Trial) -> Vec<config::Endpoint> {
    let mut all = Vec::new();
    for (pool, count) in user.pools.iter().zip(ENGINES) {
        let mut held: Vec<Vec<(&str, u64)>> = vec![Vec::new(); count];
        let mut families = families(pool, models);
        families.sort_by_key(|it| std::cmp::Reverse(it.base.memory_mib));
        for family in &families {
            let taken = |it: &&mut Vec<(&str, u64)>| it.iter().map(|held| held.1).sum::<u64>();
            let Some(at) = held.iter_mut().min_by_key(taken) else {
                continue;
            };
            let members = [&family.base].into_iter().chain(&family.adapters);
            at.extend(members.map(|it| (it.name.as_str(), it.memory_mib)));
        }
        for (nth, held) in held.iter().enumerate() {
            let mut engine =
                config::Endpoint::engine(&format!("{pool}-{nth}"), trial.memory_mib, held);
            engine.kind = endpoints::Kind::Engine {
                pool: (*pool).to_owned(),
                memory_mib: trial.memory_mib,
                accelerators: 1,
            };
            engine.availability_zone = format!("zone-{}", nth % ZONES);
            engine.slots = SLOTS;
            engine.tokens_per_second = TOKENS_PER_SECOND;
            engine.first_token_ms = FIRST_TOKEN_MS;
            engine.report_interval_ms = 100;
            engine.report_lag_ms = 100;
            engine.checks_fence = nth % 2 == 0;
            all.push(engine);
        }
    }
    all
}

/// Sends every request, phase by phase, and gives what became of them.
fn offer(
    cluster: &cluster::Cluster,
    user: &User,
    models: &[catalog::Model],
    classes: &[catalog::Class],
    seed: u64,
    trial: &Trial,
) -> Vec<load::report::Report> {
    let mut random = random::Random::new(seed);
    let start = Instant::now();
    let mut loads = Vec::new();
    for phase in 0..trial.phases {
        for (nth, pool) in user.pools.iter().enumerate() {
            let (least, most) = user.tokens[nth];
            let service_s =
                f64::from(least + most) / 2.0 / TOKENS_PER_SECOND + FIRST_TOKEN_MS as f64 / 1_000.0;
            let slots = ENGINES[nth] as f64 * f64::from(SLOTS);
            let rate = trial.load * slots / service_s * trial.scale;
            let mut families = families(pool, models);
            families.sort_by_cached_key(|_| random.bits());
            let others = families.len().saturating_sub(POPULAR.len()).max(1) as f64;
            let rest = (1.0 - POPULAR.iter().sum::<f64>()) / others;
            for (rank, family) in families.iter().enumerate() {
                let share = POPULAR.get(rank).copied().unwrap_or(rest);
                let name = (user.class)(&family.base);
                let class = classes.iter().find(|it| it.name == name);
                let deadline = class.map_or(0, |it| it.deadline_ms.0) as f64 / trial.scale;
                // The last in rank bursts in the middle of the phase.
                let bursts = rank + 1 == families.len();
                let factor = if bursts { BURST_FACTOR } else { 1.0 };
                let most_open = rate * share * factor * WORKERS_FOR * service_s / trial.scale;
                let mut one = family_load(family, rate * share, most_open, deadline);
                one.addresses.clone_from(&cluster.callers);
                one.max_tokens = (least, most);
                one.seconds = PHASE_S / trial.scale;
                one.seed = random.bits() >> 16;
                name.clone_into(&mut one.classes[0].name);
                let from = (PHASE_S - BURST_S) / 2.0 / trial.scale;
                one.burst = bursts.then_some(load::Burst {
                    from,
                    to: from + BURST_S / trial.scale,
                    factor,
                });
                let after = Duration::from_secs_f64(PHASE_S / trial.scale * f64::from(phase));
                loads.push((start + after, one));
            }
        }
    }
    thread::scope(|scope| {
        let run = |(at, one): &(Instant, load::Load)| {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            load::run(one)
        };
        let runs: Vec<_> = loads
            .iter()
            .map(|it| scope.spawn(move || run(it)))
            .collect();
        let reports = runs.into_iter().filter_map(|run| run.join().ok());
        reports.collect()
    })
}

/// Requests for a model, half of them for its adapters if it has any.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a deadline and a number of workers are positive and small"
)]
fn family_load(family: &Family, rate: f64, most_open: f64, deadline_ms: f64) -> load::Load {
    let adapters = family.adapters.len().max(1) as f64;
    let weighted = |name: &str, weight: f64| load::Weighted {
        name: name.to_owned(),
        weight,
    };
    let base = [weighted(&family.base.name, 1.0)];
    let adapters = family
        .adapters
        .iter()
        .map(|it| weighted(&it.name, 1.0 / adapters));
    load::Load {
        token: "alpha".to_owned(),
        rate,
        workers: most_open as u32 + 24,
        streaming: 0.0,
        give_up_ms: (deadline_ms * 1.5) as u64 + 1_000,
        models: base.into_iter().chain(adapters).collect(),
        classes: vec![load::Class {
            name: String::new(),
            weight: 1.0,
            deadline_ms: deadline_ms as u64,
        }],
        ..load::Load::default()
    }
}
