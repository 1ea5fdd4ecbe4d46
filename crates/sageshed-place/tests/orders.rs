//! Random sequences of events with a few engines.
//!
//! Guards against an order of unknown outcome (lost, delayed, duplicated or from an earlier leader)
//! taking effect after its memory or route was given to another model. This would crash an engine by
//! overcommitted memory, or leave a model without a route.

mod support;

use sageshed_place as place;
use sageshed_types::{catalog, endpoints, messages, time};

use support::{Engine, Random, Table};

/// The parameters of a run.
struct Case {
    name: &'static str,
    /// The index from which on the six engines ignore fencing tokens.
    unfenced_from: usize,
    /// How many of twenty failures restart an engine. Without restarts only orders change which models
    /// engines hold, and no order may ever remove the last route of a model.
    restarts: usize,
    /// The percentage of orders that are lost. A lost order blocks an engine that ignores fencing
    /// tokens until it restarts, so few are lost where engines don't restart.
    loss: usize,
    seeds: u64,
}

const CASES: &[Case] = &[
    Case {
        name: "all check fences",
        unfenced_from: 6,
        restarts: 0,
        loss: 15,
        seeds: 12,
    },
    Case {
        name: "some ignore fences",
        unfenced_from: 3,
        restarts: 0,
        loss: 0,
        seeds: 12,
    },
    Case {
        name: "none checks fences, restarts",
        unfenced_from: 0,
        restarts: 3,
        loss: 3,
        seeds: 12,
    },
    Case {
        name: "mixed, restarts",
        unfenced_from: 3,
        restarts: 2,
        loss: 10,
        seeds: 14,
    },
];

const EVENTS: usize = 20_000;

/// Rounds without faults after which every model must have a route.
const FAULTLESS_ROUNDS: usize = 600;

/// A command that the leader has submitted to the control group.
enum Pending {
    Order((String, endpoints::Incarnation, endpoints::Task)),
    Settle(Vec<endpoints::OrderId>),
}

struct World {
    random: Random,
    now: time::Instant,
    models: Vec<catalog::Model>,
    engines: Vec<Engine>,
    table: Table,
    controls: Vec<place::Placement>,
    leader: usize,
    /// Submitted commands of the leader in order. Those of earlier leaders are never committed.
    pending: Vec<Pending>,
    /// Orders in transit, which may still arrive, possibly twice.
    in_transit: Vec<endpoints::Order>,
    /// Reports in transit, with the index of the control process that they are sent to.
    reports: Vec<(usize, endpoints::Report)>,
    lossy: bool,
    loss: usize,
    restarts: usize,
    executed: usize,
    overcommits: usize,
    lost_routes: usize,
    unloads: usize,
    concurrent_orders: usize,
}

fn models() -> Vec<catalog::Model> {
    let mut models = Vec::new();
    for (index, memory_mib) in [40, 30, 30, 20, 20].into_iter().enumerate() {
        let name = format!("base-{index}");
        models.push(support::base(&name, memory_mib));
        for twin in 0..2 {
            models.push(support::adapter(&format!("{name}-{twin}"), &name, 3));
        }
    }
    models[0].critical = true;
    models
}

impl World {
    fn new(case: &Case, seed: u64) -> Self {
        let models = models();
        let policy = place::Policy {
            store_loads_per_second: 20.0,
            store_loads_at_once: 6,
            move_cost: 0.5,
            ..place::Policy::default()
        };
        let engines = (0..6)
            .map(|i| {
                let zone = format!("zone-{}", i % 3);
                Engine::new(&format!("engine-{i}"), &zone, 64, i < case.unfenced_from)
            })
            .collect();
        let controls = (0..3).map(|_| support::placement(&models, policy.clone()));
        let mut world = Self {
            random: Random(seed),
            now: time::Instant(1),
            controls: controls.collect(),
            models,
            engines,
            table: Table::default(),
            leader: 0,
            pending: Vec::new(),
            in_transit: Vec::new(),
            reports: Vec::new(),
            lossy: true,
            loss: case.loss,
            restarts: case.restarts,
            executed: 0,
            overcommits: 0,
            lost_routes: 0,
            unloads: 0,
            concurrent_orders: 0,
        };
        world.change_leader(0);
        world
    }

    fn event(&mut self) {
        self.now.0 += 1 + self.random.next() % 40;
        match self.random.below(100) {
            0..22 => self.emit_report(),
            22..50 => self.deliver_report(),
            50..62 => self.deliver_order(),
            62..76 => self.advance(),
            76..84 => self.commit(),
            84..92 => self.step(place::Event::Plan),
            92..95 => self.request(),
            95..97 => self.silence(),
            97 => self.drop_report(),
            _ => self.fail(),
        }
        self.check();
    }

    fn emit_report(&mut self) {
        let at = self.random.below(self.engines.len());
        let report = self.engines[at].report();
        for control in 0..self.controls.len() {
            if !self.lossy || self.random.percent(70) {
                self.reports.push((control, report.clone()));
            }
        }
    }

    fn deliver_report(&mut self) {
        // Most reports are delivered soon, but any of them may be delivered at any time.
        let recent = self.reports.len().saturating_sub(4);
        let taken = if self.random.percent(60) && recent > 0 {
            Some(self.reports.remove(recent))
        } else {
            self.random.take(&mut self.reports)
        };
        if let Some((control, report)) = taken {
            self.step_at(control, place::Event::Report(report));
        }
    }

    fn deliver_order(&mut self) {
        let Some(order) = self.random.take(&mut self.in_transit) else {
            return;
        };
        let mut engines = self.engines.iter_mut();
        let engine = engines.find(|e| e.identity.endpoint == order.endpoint);
        let engine = engine.unwrap();
        engine.take(&order);
        // An engine that ignores fencing tokens ignores order ids too. The network does not duplicate
        // orders to it: there, an order arrives twice only if it is sent twice.
        if engine.identity.checks_fence && self.lossy && self.random.percent(15) {
            self.in_transit.push(order);
        }
    }

    fn advance(&mut self) {
        let at = self.random.below(self.engines.len());
        let before = self.routes();
        self.engines[at].advance();
        self.executed += 1;
        let after = self.routes();
        let lost = before
            .iter()
            .zip(&after)
            .filter(|(b, a)| **b > 0 && **a == 0);
        self.lost_routes += lost.count();
    }

    fn routes(&self) -> Vec<usize> {
        let routes = |model| self.engines.iter().filter(|e| e.serves(model)).count();
        self.models.iter().map(routes).collect()
    }

    fn commit(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        match self.pending.remove(0) {
            Pending::Order(proposal) => {
                let order = self.table.commit(proposal);
                self.step(place::Event::OrderCommitted(order));
            }
            Pending::Settle(ids) => {
                self.table.settle(&ids);
                self.step(place::Event::OrdersRemoved(ids));
            }
        }
    }

    fn step(&mut self, event: place::Event) {
        self.step_at(self.leader, event);
    }

    fn step_at(&mut self, control: usize, event: place::Event) {
        for action in self.controls[control].step(self.now, event) {
            match action {
                place::Action::Propose(all) if control == self.leader => {
                    self.pending.extend(all.into_iter().map(Pending::Order));
                }
                place::Action::Settle(ids) if control == self.leader => {
                    self.pending.push(Pending::Settle(ids));
                }
                place::Action::SendOrder(order) => self.send(control, order),
                place::Action::Propose(_)
                | place::Action::Settle(_)
                | place::Action::Note { .. } => {}
            }
        }
    }

    fn send(&mut self, control: usize, order: endpoints::Order) {
        let id = order.order;
        self.unloads += usize::from(matches!(order.task, endpoints::Task::Unload { .. }));
        self.concurrent_orders += usize::from(self.is_concurrent(&order));
        if self.lossy && self.random.percent(10) {
            self.step_at(control, place::Event::OrderNotSent(id));
            return;
        }
        if !self.lossy || !self.random.percent(self.loss) {
            self.in_transit.push(order);
        }
        self.step_at(control, place::Event::OrderSent(id));
    }

    /// Whether `order` is sent to an engine that ignores fencing tokens while another order there has
    /// not ended.
    fn is_concurrent(&self, order: &endpoints::Order) -> bool {
        let mut engines = self.engines.iter();
        let engine = engines.find(|e| e.identity.endpoint == order.endpoint);
        let engine = engine.unwrap();
        let ended = |id| {
            let mut results = engine.orders.iter().filter(|r| r.order == id);
            results.any(|r| r.outcome != endpoints::OrderOutcome::Running)
        };
        let mut others = self.table.open.iter().filter(|open| {
            open.order < order.order
                && open.endpoint == order.endpoint
                && open.incarnation == order.incarnation
        });
        !engine.identity.checks_fence
            && order.incarnation == engine.identity.incarnation
            && others.any(|open| !ended(open.order))
    }

    fn request(&mut self) {
        let requested = self.random.below(self.models.len());
        let demand = vec![messages::Demand {
            model: self.models[requested].name.clone(),
            arrived: u32::try_from(self.random.below(400)).unwrap(),
            unserved: 0,
            waiting: 0,
            service_time: time::Millis(2_000),
        }];
        let from_vm = "entry".to_owned();
        self.step(place::Event::Demand { from_vm, demand });
    }

    fn silence(&mut self) {
        let at = self.random.below(self.engines.len());
        let endpoint = self.engines[at].identity.endpoint.clone();
        self.step(place::Event::EndpointSilent { endpoint });
    }

    fn drop_report(&mut self) {
        let _: Option<_> = self.random.take(&mut self.reports);
    }

    fn fail(&mut self) {
        if self.random.percent(25) {
            let next = self.random.below(self.controls.len());
            self.change_leader(next);
        }
        if self.random.below(20) < self.restarts {
            let at = self.random.below(self.engines.len());
            self.engines[at].restart();
        }
    }

    /// Changes the leader. A random number of the old leader's commands is committed without it being
    /// notified; the rest is lost.
    fn change_leader(&mut self, next: usize) {
        let kept = self.random.below(self.pending.len() + 1);
        for pending in self.pending.drain(..).take(kept) {
            match pending {
                Pending::Order(proposal) => {
                    self.table.commit(proposal);
                }
                Pending::Settle(ids) => self.table.settle(&ids),
            }
        }
        let old = self.leader;
        self.step_at(old, place::Event::LeadershipLost);
        self.leader = next;
        let open = self.table.open.clone();
        self.step(place::Event::OrdersRestored(open));
    }

    fn check(&mut self) {
        let over = |e: &&Engine| e.used_mib() > e.total_mib();
        self.overcommits += self.engines.iter().filter(over).count();
    }

    /// Runs rounds without faults. Engines that are blocked by a lost order are restarted.
    fn run_without_faults(&mut self) {
        self.lossy = false;
        for round in 0..FAULTLESS_ROUNDS {
            self.now.0 += 500;
            if round == FAULTLESS_ROUNDS / 4 {
                self.restart_blocked();
            }
            self.deliver_all_orders();
            for at in 0..self.engines.len() {
                self.engines[at].advance();
                let report = self.engines[at].report();
                self.step(place::Event::Report(report));
            }
            self.step(place::Event::Plan);
            while !self.pending.is_empty() {
                self.commit();
            }
            self.check();
        }
    }

    fn deliver_all_orders(&mut self) {
        while !self.in_transit.is_empty() {
            self.deliver_order();
        }
    }

    /// Restarts engines that ignore fencing tokens and have not seen an order in the table.
    fn restart_blocked(&mut self) {
        let open = &self.table.open;
        for engine in &mut self.engines {
            let mine = |o: &&endpoints::Order| o.endpoint == engine.identity.endpoint;
            let unseen = |o: &endpoints::Order| engine.orders.iter().all(|r| r.order != o.order);
            if !engine.identity.checks_fence && open.iter().filter(mine).any(unseen) {
                engine.restart();
            }
        }
    }
}

fn run(case: &Case) {
    let mut executed = 0;
    let mut committed = 0;
    let mut unloads = 0;
    for seed in 1..=case.seeds {
        let mut world = World::new(case, seed);
        for _ in 0..EVENTS {
            world.event();
        }
        let taken = if case.restarts == 0 {
            world.lost_routes
        } else {
            0
        };
        world.run_without_faults();
        let unreachable = world.routes().iter().filter(|routes| **routes == 0).count();
        assert_eq!(
            (
                world.overcommits,
                taken,
                unreachable,
                world.concurrent_orders
            ),
            (0, 0, 0, 0),
            "{}, seed {seed}: overcommits, last routes taken, models without a route, orders beside \
             another",
            case.name
        );
        executed += world.executed;
        committed += world.table.committed;
        unloads += world.unloads;
    }
    println!(
        "{}: {committed} orders committed, {unloads} unloads sent, {executed} engine steps",
        case.name
    );
}

#[test]
fn all_check_fences() {
    run(&CASES[0]);
}

#[test]
fn some_ignore_fences() {
    run(&CASES[1]);
}

#[test]
fn none_checks_fences_and_engines_restart() {
    run(&CASES[2]);
}

#[test]
fn mixed_and_engines_restart() {
    run(&CASES[3]);
}
