//! A small queueing simulation: seven deciders, engines with slots, reports that lag.
//!
//! Its figures are simulated trials. They compare policies under the same arrivals, and say nothing
//! of the speed of the product. `cargo test --test simulation -- --nocapture` prints them.

mod common;

use std::{cmp, collections};

use sageshed_decide::{decider, event, random, settings};
use sageshed_types::{arena, arena::Key, time};

const ENTRIES: usize = 7;
const ENGINES: usize = 9;
const SLOTS: usize = 8;
/// Half of a service time is fixed, half exponential, in milliseconds.
const SERVICE: f64 = 800.0;
const DEADLINE: u64 = 4_000;
const WARM_UP: u64 = 10_000;
const RUN: u64 = 40_000;
const REPORT_EVERY: u64 = 500;
const REPORT_LAG: u64 = 300;
const TICK_EVERY: u64 = 50;
/// One request in so many is urgent.
const URGENT_EVERY: usize = 20;

/// A request at an engine: its entry process and its id.
type Job = (usize, event::ReqId);

#[derive(Default)]
struct Engine {
    running: collections::BTreeSet<(u64, Job)>,
    waiting: collections::BTreeMap<(cmp::Reverse<u8>, u64), Job>,
}

/// What became of a request.
struct Fate {
    due: u64,
    urgent: bool,
    on_time: Option<bool>,
}

struct World {
    now: u64,
    serial: u64,
    services: random::Random,
    entries: Vec<decider::Decider>,
    engines: Vec<Engine>,
    fates: collections::HashMap<event::ReqId, Fate>,
}

fn exponential(random: &mut random::Random, mean: f64) -> f64 {
    -mean * (1.0 - random.unit()).ln()
}

/// Gives the share of what could be answered in time that was, of all and of urgent requests.
fn simulate(policy: &settings::Policy, load: f64) -> (f64, f64) {
    let mut settings = common::settings();
    settings.entries = u32::try_from(ENTRIES).expect("few");
    settings.classes = vec![
        common::class("urgent", 9, DEADLINE, 64),
        common::class("usual", 3, DEADLINE, 64),
    ];
    settings.policy = policy.clone();
    let decider = |seed| decider::Decider::new(settings.clone(), seed);
    let mut world = World {
        now: 0,
        serial: 0,
        services: random::Random::new(2),
        entries: (0..ENTRIES as u64).map(decider).collect(),
        engines: (0..ENGINES).map(|_| Engine::default()).collect(),
        fates: collections::HashMap::new(),
    };
    let mut arrivals = random::Random::new(1);
    let gap = SERVICE / ((ENGINES * SLOTS) as f64 * load);
    let mut next = (REPORT_EVERY + REPORT_LAG) as f64;
    let mut reports = collections::VecDeque::new();
    for now in 0..RUN {
        world.now = now;
        world.finish_due();
        while next < now as f64 {
            next += exponential(&mut arrivals, gap);
            let entry = arrivals.below(ENTRIES);
            world.arrive(entry, arrivals.below(URGENT_EVERY) == 0);
        }
        for engine in 0..ENGINES {
            if now % REPORT_EVERY == engine as u64 {
                reports.push_back((now + REPORT_LAG, world.report(engine)));
            }
        }
        while let Some((_, report)) = reports.pop_front_if(|(at, _)| *at <= now) {
            for entry in 0..ENTRIES {
                let report = Box::new(report.clone());
                world.step(
                    entry,
                    event::Event::Report(report, time::Millis(REPORT_LAG)),
                );
            }
        }
        if now % TICK_EVERY == 0 {
            (0..ENTRIES).for_each(|entry| world.step(entry, event::Event::Tick));
        }
    }
    world.score()
}

impl World {
    fn arrive(&mut self, entry: usize, urgent: bool) {
        self.serial += 1;
        let id = event::ReqId(self.serial);
        let due = self.now + DEADLINE;
        let on_time = None;
        self.fates.insert(
            id,
            Fate {
                due,
                urgent,
                on_time,
            },
        );
        let class = Some(arena::ClassKey(u32::from(!urgent)));
        let facts = event::Facts {
            class,
            ..common::facts(id, arena::ModelKey(0))
        };
        self.step(entry, event::Event::Arrived(facts));
    }

    fn step(&mut self, entry: usize, event: event::Event) {
        let now = time::Instant(self.now);
        for action in self.entries[entry].step(now, event) {
            match action {
                // Every entry process hears the engines in the same order, so keys are indices.
                event::Action::Send {
                    req,
                    endpoint,
                    priority,
                    ..
                } => {
                    self.serial += 1;
                    let place = (cmp::Reverse(priority), self.serial);
                    self.engines[endpoint.index()]
                        .waiting
                        .insert(place, (entry, req));
                    self.start(endpoint.index());
                }
                event::Action::Cancel { req, endpoint } => {
                    let engine = &mut self.engines[endpoint.index()];
                    engine.waiting.retain(|_, job| job.1 != req);
                    engine.running.retain(|(_, job)| job.1 != req);
                    self.start(endpoint.index());
                }
                event::Action::Refuse { req, .. } => self.settle(req, false),
                event::Action::Queue { .. } | event::Action::Claim { .. } => {}
            }
        }
    }

    fn start(&mut self, engine: usize) {
        let engine = &mut self.engines[engine];
        while engine.running.len() < SLOTS {
            let Some((_, job)) = engine.waiting.pop_first() else {
                return;
            };
            let span = SERVICE / 2.0 + exponential(&mut self.services, SERVICE / 2.0);
            let end = self.now + sageshed_decide::learned::millis(span).0;
            engine.running.insert((end, job));
        }
    }

    fn finish_due(&mut self) {
        for engine in 0..ENGINES {
            while let Some((end, (entry, req))) = self.engines[engine].running.first().copied() {
                if end > self.now {
                    break;
                }
                self.engines[engine].running.pop_first();
                self.start(engine);
                self.settle(req, end <= self.fates[&req].due);
                let outcome = event::TryOutcome::Done { tokens: 0 };
                self.step(entry, event::Event::Ended { req, outcome });
            }
        }
    }

    fn settle(&mut self, req: event::ReqId, on_time: bool) {
        let fate = self.fates.get_mut(&req).expect("arrived");
        assert!(
            fate.on_time.replace(on_time).is_none(),
            "one end for each request"
        );
    }

    fn score(&self) -> (f64, f64) {
        let counted = WARM_UP + DEADLINE..RUN;
        let fates = self
            .fates
            .values()
            .filter(|fate| counted.contains(&fate.due));
        let share = |fates: Vec<&Fate>, most: f64| {
            let on_time = fates.iter().filter(|fate| fate.on_time == Some(true));
            on_time.count() as f64 / most.min(fates.len() as f64)
        };
        let capacity = (ENGINES * SLOTS) as f64 / SERVICE * (RUN - DEADLINE - WARM_UP) as f64;
        let urgent = fates.clone().filter(|fate| fate.urgent).collect();
        (share(fates.collect(), capacity), share(urgent, f64::MAX))
    }

    fn report(&self, engine: usize) -> sageshed_types::endpoints::Report {
        let slots = u32::try_from(SLOTS).expect("few");
        let name = format!("engine-{engine}");
        let state = &self.engines[engine];
        let mut report = common::report(&name, self.now + 1, slots, &["sort"]);
        report.running = u32::try_from(state.running.len()).expect("few");
        report.waiting = u32::try_from(state.waiting.len()).expect("few");
        report
    }
}

/// What a user would see: at half again the load that the engines can carry, hardly anyone gets an
/// answer in time, though the engines run all the time. Requests wait until their time is nearly up,
/// then run and come late. Shedding early keeps the engines at requests that can be on time.
#[test]
fn goodput_holds_under_overload() {
    let ours = settings::Policy::default();
    let unbounded = |routing| settings::Policy {
        routing,
        in_flight_per_slot: 1_000.0,
        ..ours.clone()
    };
    let policies = [
        ("two choices", ours.clone()),
        ("random, no bound", unbounded(settings::Routing::Random)),
        (
            "least reported, no bound",
            unbounded(settings::Routing::LeastReported),
        ),
        (
            "no shedding",
            settings::Policy {
                shed: false,
                ..ours.clone()
            },
        ),
    ];
    for load in [0.8, 1.5, 3.0, 10.0] {
        let mut goodputs = Vec::new();
        for (name, policy) in &policies {
            let (goodput, urgent) = simulate(policy, load);
            println!("{load:4} x {name:26} goodput {goodput:.3}, urgent on time {urgent:.3}");
            goodputs.push((goodput, urgent));
        }
        let (goodput, urgent) = goodputs[0];
        assert!(
            goodput >= 0.9,
            "goodput within a tenth of its peak at {load} x: {goodput}"
        );
        assert!(
            urgent >= 0.98,
            "urgent requests are served at {load} x: {urgent}"
        );
        for (other, _) in &goodputs[1..] {
            assert!(
                goodput >= other - 0.02,
                "no baseline is better at {load} x: {other}"
            );
        }
        if load > 1.0 {
            assert!(
                goodputs[3].0 < 0.6,
                "shedding is what holds goodput at {load} x"
            );
        }
    }
}
