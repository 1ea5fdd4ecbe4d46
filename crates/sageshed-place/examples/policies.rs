//! Simulation of the placement policies at the cluster sizes of both users.
//!
//! Demand shifts and has bursts; the arrivals are the same for each policy. Prints the attainment per
//! accelerator (the percentage of requests completed in time, divided by the number of accelerators)
//! and the number of moves (loads and unloads), as means and for each seed. Each argument is an
//! additional policy in TOML, such as `move_cost = 15`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::{collections, env};

use sageshed_place as place;
use sageshed_types::{catalog, endpoints, messages, time};
use support::{Engine, Random, Table};

const TICK_MS: u64 = 100;
const RUN_MS: u64 = 1_140_000;
const WARM_UP_MS: u64 = 240_000;
const SEEDS: u64 = 5;
const SLOTS: u32 = 16;

struct User {
    name: &'static str,
    bases: usize,
    adapters: usize,
    memory_mib: u64,
    at_once: u32,
    service_ms: u64,
    deadline_ms: u64,
    /// Mean demand as a share of all slots.
    load: f64,
}

const USERS: &[User] = &[
    User {
        name: "clearflow",
        bases: 17,
        adapters: 55,
        memory_mib: 56_000,
        at_once: 12,
        service_ms: 1_500,
        deadline_ms: 6_000,
        load: 0.45,
    },
    User {
        name: "kootenay",
        bases: 13,
        adapters: 60,
        memory_mib: 56_000,
        at_once: 7,
        service_ms: 8_000,
        deadline_ms: 30_000,
        load: 0.45,
    },
];

fn models(user: &User) -> Vec<catalog::Model> {
    let base = |i: usize| support::base(&format!("base-{i}"), 18_000 + 2_000 * (i as u64 % 7));
    let adapter = |i: usize| {
        support::adapter(
            &format!("adapter-{i}"),
            &format!("base-{}", i % user.bases),
            600,
        )
    };
    let mut models: Vec<_> = (0..user.bases)
        .map(base)
        .chain((0..user.adapters).map(adapter))
        .collect();
    for (index, model) in models.iter_mut().enumerate() {
        model.load_ms = time::Millis(if index < user.bases { 8_000 } else { 1_500 });
    }
    models
}

struct Server {
    engine: Engine,
    until: u64,
    running: Vec<(usize, u64)>,
    /// The newest report, which reaches the placement one plan later.
    late: Option<endpoints::Report>,
}

struct Simulation<'a> {
    user: &'a User,
    models: Vec<catalog::Model>,
    placement: place::Placement,
    servers: Vec<Server>,
    queues: Vec<collections::VecDeque<u64>>,
    arrived: Vec<u32>,
    weights: Vec<f64>,
    bursts: Vec<(usize, u64)>,
    random: Random,
    table: Table,
    /// Requests, requests completed in time, and moves, all after the warm-up.
    counts: [u64; 3],
}

impl<'a> Simulation<'a> {
    fn new(user: &'a User, policy: &place::Policy, seed: u64) -> Self {
        let models = models(user);
        let policy = place::Policy {
            store_loads_at_once: user.at_once,
            ..policy.clone()
        };
        let server = |i: usize| {
            let mut engine = Engine::new(
                &format!("e{i}"),
                &format!("z{}", i % 4),
                user.memory_mib,
                i.is_multiple_of(2),
            );
            engine.identity.slots = SLOTS;
            Server {
                engine,
                until: 0,
                running: Vec::new(),
                late: None,
            }
        };
        let mut placement = support::placement(&models, policy);
        placement.step(time::Instant(0), place::Event::OrdersRestored(Vec::new()));
        let count = models.len();
        Self {
            user,
            placement,
            servers: (0..13).map(server).collect(),
            queues: vec![collections::VecDeque::new(); count],
            arrived: vec![0; count],
            weights: vec![0.0; count],
            bursts: Vec::new(),
            random: Random(seed),
            table: Table::default(),
            counts: [0; 3],
            models,
        }
    }

    /// Runs the simulation. Returns the attainment per accelerator in percent, and the number of moves.
    fn run(mut self) -> (f64, u64) {
        for now in (TICK_MS..RUN_MS).step_by(100) {
            self.arrive(now);
            for at in 0..self.servers.len() {
                self.work(at, now);
            }
            self.dispatch(now);
            if now % 500 == 0 {
                self.plan(now);
            }
        }
        let [requested, on_time, moves] = self.counts;
        (
            100.0 * on_time as f64 / requested as f64 / self.servers.len() as f64,
            moves,
        )
    }

    fn arrive(&mut self, now: u64) {
        if now % 150_000 == TICK_MS {
            // Demand shifts: each model gets a new random weight. Few of the weights are large.
            for weight in &mut self.weights {
                *weight = 1.0 / (1 + self.random.below(40)) as f64;
            }
        }
        if self.random.below(200) == 0 {
            let hit = self.random.below(self.models.len());
            self.bursts.push((hit, now + 20_000));
        }
        self.bursts.retain(|(_, until)| *until > now);
        let slots = f64::from(SLOTS) * self.servers.len() as f64;
        let rate = self.user.load * slots / self.user.service_ms as f64;
        let total: f64 = self.weights.iter().sum();
        for index in 0..self.models.len() {
            let burst = if self.bursts.iter().any(|(m, _)| *m == index) {
                10.0
            } else {
                1.0
            };
            let mean = burst * rate * TICK_MS as f64 * self.weights[index] / total;
            for _ in 0..8 {
                if self.random.below(1_000_000) as f64 / 1e6 < mean / 8.0 {
                    self.arrived[index] += 1;
                    self.queues[index].push_back(now);
                    self.counts[0] += u64::from(now > WARM_UP_MS);
                }
            }
        }
    }

    fn work(&mut self, at: usize, now: u64) {
        let server = &mut self.servers[at];
        server.running.retain(|(_, until)| *until > now);
        let Some(task) = server.engine.task().cloned() else {
            return;
        };
        if server.until == 0 {
            server.engine.advance();
            let (name, load) = match &task {
                endpoints::Task::Load { model, .. } => (model, true),
                endpoints::Task::Unload { model, .. } => (model, false),
                endpoints::Task::ChangeRole { .. } => return,
            };
            let model = self.models.iter().position(|m| m.name == *name);
            let model = model.expect("in the catalog");
            let drained = server.running.iter().filter(|(m, _)| *m == model);
            let drained = drained.map(|(_, until)| *until).max().unwrap_or(now);
            server.until = if load {
                now + self.models[model].load_ms.0
            } else {
                drained + TICK_MS
            };
            self.counts[2] += u64::from(now > WARM_UP_MS);
        } else if server.until <= now {
            server.engine.advance();
            server.until = 0;
        }
    }

    fn dispatch(&mut self, now: u64) {
        let start = usize::try_from(now / TICK_MS).expect("small");
        for turn in 0..self.models.len() {
            let index = (start + turn) % self.models.len();
            while let Some(since) = self.queues[index].front().copied() {
                let on_time = now + self.user.service_ms <= since + self.user.deadline_ms;
                let model = &self.models[index];
                let free = self
                    .servers
                    .iter_mut()
                    .filter(|s| s.running.len() < SLOTS as usize && s.engine.serves(model));
                let best = free.min_by_key(|s| s.running.len());
                if on_time {
                    let Some(server) = best else { break };
                    server.running.push((index, now + self.user.service_ms));
                    self.counts[1] += u64::from(since > WARM_UP_MS);
                }
                self.queues[index].pop_front();
            }
        }
    }

    fn plan(&mut self, now: u64) {
        let at = time::Instant(now);
        for index in 0..self.servers.len() {
            let report = self.servers[index].engine.report();
            if let Some(late) = self.servers[index].late.replace(report) {
                self.placement.step(at, place::Event::Report(late));
            }
        }
        let reported = |index: usize| {
            let model = &self.models[index];
            let held = self.servers.iter().any(|s| s.engine.serves(model));
            let waiting = if held { 0 } else { self.queues[index].len() };
            messages::Demand {
                model: model.name.clone(),
                arrived: self.arrived[index],
                unserved: 0,
                waiting: u32::try_from(waiting).expect("bounded by the deadline"),
                service_time: time::Millis(self.user.service_ms),
            }
        };
        let demand = (0..self.models.len()).map(reported).collect();
        self.arrived.fill(0);
        let from_vm = "entry".to_owned();
        self.placement
            .step(at, place::Event::Demand { from_vm, demand });
        let mut actions = self.placement.step(at, place::Event::Plan);
        while let Some(action) = actions.pop() {
            match action {
                place::Action::Propose(all) => {
                    for proposal in all {
                        let order = self.table.commit(proposal);
                        actions
                            .extend(self.placement.step(at, place::Event::OrderCommitted(order)));
                    }
                }
                place::Action::SendOrder(order) => {
                    let mut servers = self.servers.iter_mut();
                    let server = servers.find(|s| s.engine.identity.endpoint == order.endpoint);
                    server.expect("known").engine.take(&order);
                    self.placement
                        .step(at, place::Event::OrderSent(order.order));
                }
                place::Action::Settle(_) | place::Action::Note { .. } => {}
            }
        }
    }
}

fn main() {
    let read = |text: &str| toml::from_str::<place::Policy>(text).expect("a policy in TOML");
    let mut cases = vec![
        ("planned".to_owned(), read("")),
        ("lru".to_owned(), read("baseline = 'on_demand_lru'")),
        ("static".to_owned(), read("baseline = 'static_even'")),
    ];
    cases.extend(env::args().skip(1).map(|text| (text.clone(), read(&text))));
    for user in USERS {
        for (name, policy) in &cases {
            let runs = (1..=SEEDS).map(|seed| Simulation::new(user, policy, seed).run());
            let runs: Vec<_> = runs.collect();
            let mean = runs.iter().map(|r| r.0).sum::<f64>() / runs.len() as f64;
            let moves = runs.iter().map(|r| r.1).sum::<u64>() as f64 / runs.len() as f64;
            let each: Vec<_> = runs.iter().map(|r| format!("{:.3}/{}", r.0, r.1)).collect();
            println!(
                "{:9} {name:24} {mean:6.3} {moves:7.1}  {}",
                user.name,
                each.join(" ")
            );
        }
    }
}
