//! Benchmark of the planning time by cluster size.
//!
//! `full` is the total planning time from an empty cluster until nothing more is proposed, without
//! store limits and with immediate loads; `plans` is the number of plans for this. Then every engine
//! is filled with four or five models that were not ordered. After that, `settled` is a plan without
//! changes, `burst` one after a rise of demand for a tenth of the models, and `loss` one after an
//! engine has left; the longest of 20 plans is shown for each. The slope is the exponent of the growth
//! since the previous line, against the product of engines and models.

use std::{mem, time as wall};

use sageshed_place as place;
use sageshed_types::{catalog, endpoints, messages, time};

const SIZES: &[(usize, usize)] = &[
    (72, 13),
    (118, 100),
    (235, 1_000),
    (470, 5_000),
    (470, 10_000),
];

/// Memory of an engine, in MiB.
const MEMORY_MIB: u64 = 80_000;

struct Cluster {
    placement: place::Placement,
    reports: Vec<endpoints::Report>,
    models: usize,
    now: time::Instant,
    orders: u64,
}

fn model(index: usize) -> catalog::Model {
    // Each base model has three adapters.
    let base = index / 4 * 4;
    catalog::Model {
        name: format!("model-{index}"),
        base: (index != base).then(|| format!("model-{base}")),
        version: 1,
        memory_mib: if index == base {
            24_000 + 1_000 * (index as u64 % 16)
        } else {
            900
        },
        pools: Vec::new(),
        critical: index.is_multiple_of(40),
        load_ms: time::Millis(5_000),
    }
}

fn report(index: usize) -> endpoints::Report {
    endpoints::Report {
        identity: endpoints::Identity {
            endpoint: format!("engine-{index}"),
            incarnation: endpoints::Incarnation(1),
            address: String::new(),
            availability_zone: format!("zone-{}", index % 4),
            kind: endpoints::Kind::Engine {
                pool: "pool".to_owned(),
                memory_mib: MEMORY_MIB,
                accelerators: 1,
            },
            slots: 16,
            checks_fence: true,
        },
        sequence: 0,
        age_ms: time::Millis(0),
        running: 0,
        waiting: 0,
        tokens_per_second: 0,
        resident: Vec::new(),
        orders: Vec::new(),
        leaving: false,
    }
}

impl Cluster {
    fn new(models: usize, engines: usize) -> Self {
        let policy = place::Policy {
            store_loads_per_second: 1e9,
            store_loads_at_once: u32::MAX,
            stale_after_ms: time::Millis(u64::MAX),
            ..place::Policy::default()
        };
        let mut placement = place::Placement::new(place::Settings {
            models: (0..models).map(model).collect(),
            policy,
        });
        let now = time::Instant(1);
        placement.step(now, place::Event::OrdersRestored(Vec::new()));
        let mut cluster = Self {
            placement,
            reports: (0..engines).map(report).collect(),
            models,
            now,
            orders: 0,
        };
        (0..engines).for_each(|index| cluster.send_report(index));
        cluster
    }

    fn send_report(&mut self, index: usize) {
        self.reports[index].sequence += 1;
        let report = self.reports[index].clone();
        self.placement.step(self.now, place::Event::Report(report));
    }

    /// Makes one plan and carries it out. Returns the planning time and the number of proposals.
    fn plan(&mut self) -> (wall::Duration, usize) {
        self.now.0 += 500;
        let start = wall::Instant::now();
        let actions = self.placement.step(self.now, place::Event::Plan);
        let took = start.elapsed();
        let mut size = 0;
        for action in actions {
            if let place::Action::Propose(all) = action {
                size += all.len();
                for proposal in all {
                    self.carry_out(proposal);
                }
            }
        }
        (took, size)
    }

    fn carry_out(
        &mut self,
        (endpoint, incarnation, task): (String, endpoints::Incarnation, endpoints::Task),
    ) {
        self.orders += 1;
        let order = endpoints::Order {
            order: endpoints::OrderId(self.orders),
            fence: endpoints::Fence(self.orders),
            endpoint,
            incarnation,
            task: task.clone(),
        };
        let index: usize = order.endpoint["engine-".len()..]
            .parse()
            .expect("our own name");
        self.placement
            .step(self.now, place::Event::OrderCommitted(order));
        let report = &mut self.reports[index];
        match task {
            endpoints::Task::Load {
                model,
                version,
                memory_mib,
                ..
            } => {
                report.resident.push(endpoints::Resident {
                    model,
                    version,
                    phase: endpoints::Phase::Ready,
                    memory_mib,
                });
            }
            endpoints::Task::Unload { model, .. } => {
                report.resident.retain(|r| r.model != model);
            }
            endpoints::Task::ChangeRole { .. } => {}
        }
        report.orders.push(endpoints::OrderResult {
            order: endpoints::OrderId(self.orders),
            outcome: endpoints::OrderOutcome::Done,
        });
        self.send_report(index);
    }

    /// Adds a base model and its adapters to each engine that does not hold them.
    fn fill(&mut self) {
        for index in 0..self.reports.len() {
            let first = index * 4 % self.models / 4 * 4;
            for model in (first..self.models.min(first + 4)).map(model) {
                let resident = &mut self.reports[index].resident;
                if resident.iter().all(|r| r.model != model.name) {
                    resident.push(endpoints::Resident {
                        model: model.name,
                        version: model.version,
                        phase: endpoints::Phase::Ready,
                        memory_mib: model.memory_mib,
                    });
                }
            }
            self.send_report(index);
        }
    }

    fn burst(&mut self, round: usize) {
        let hot = (0..self.models).filter(|index| index % 10 == round % 10);
        let demand = hot.map(|index| messages::Demand {
            model: format!("model-{index}"),
            arrived: 400,
            unserved: 0,
            waiting: 0,
            service_time: time::Millis(800),
        });
        let event = place::Event::Demand {
            from_vm: "entry".to_owned(),
            demand: demand.collect(),
        };
        self.placement.step(self.now, event);
    }

    fn lose(&mut self, round: usize) {
        let index = round * 7 % self.reports.len();
        self.reports[index].leaving = true;
        self.send_report(index);
    }
}

fn full(cluster: &mut Cluster) -> (wall::Duration, usize) {
    let mut total = wall::Duration::ZERO;
    for plans in 1.. {
        let (took, size) = cluster.plan();
        total += took;
        if size == 0 {
            return (total, plans);
        }
    }
    unreachable!("the loop ends with an empty plan")
}

fn worst(cluster: &mut Cluster, mut change: impl FnMut(&mut Cluster, usize)) -> wall::Duration {
    let mut worst = wall::Duration::ZERO;
    for round in 0..20 {
        change(cluster, round);
        worst = worst.max(cluster.plan().0);
    }
    worst
}

fn main() {
    println!("models engines |  full ms (plans) slope | settled ms slope | burst ms | loss ms");
    let mut before: Option<(f64, f64, f64)> = None;
    for (models, engines) in SIZES {
        let mut cluster = Cluster::new(*models, *engines);
        let (total, plans) = full(&mut cluster);
        cluster.fill();
        cluster.plan();
        let settled = worst(&mut cluster, |_, _| {});
        let burst = worst(&mut cluster, Cluster::burst);
        let loss = worst(&mut cluster, Cluster::lose);
        let ms = |d: wall::Duration| d.as_secs_f64() * 1_000.0;
        let now = ((models * engines) as f64, ms(total), ms(settled));
        let slopes = before.map(|then| {
            let grown = (now.0 / then.0).ln();
            ((now.1 / then.1).ln() / grown, (now.2 / then.2).ln() / grown)
        });
        let (full_slope, settled_slope) = slopes.unwrap_or((f64::NAN, f64::NAN));
        println!(
            "{models:6} {engines:7} | {:8.2} ({plans:5}) {full_slope:5.2} | {:10.3} {settled_slope:5.2} | {:8.2} | {:7.2}",
            now.1,
            now.2,
            ms(burst),
            ms(loss),
        );
        before = Some(now);
        mem::drop(cluster);
    }
}
