//! A queueing simulation: seven deciders, engines with slots, and delayed reports.
//!
//! The results compare policies under the same arrivals and don't show the performance of the real
//! system. `cargo test --test simulation -- --nocapture` prints them.

mod common;

use std::{cmp, collections};

use sageshed_decide::{decider, event, random, settings};
use sageshed_types::{arena, arena::Key, time};

const ENTRIES: usize = 7;
const ENGINES: usize = 9;
const SLOTS: usize = 8;
/// Mean service time in milliseconds: half of it is constant, the other half exponential.
const MEAN_SERVICE_MS: f64 = 800.0;
const DEADLINE_MS: u64 = 4_000;
const RUN_MS: u64 = 40_000;
/// Requests count if their deadline is in this range.
const COUNTED_DEADLINES_MS: std::ops::Range<u64> = 14_000..RUN_MS;
const REPORT_INTERVAL_MS: u64 = 500;
const REPORT_DELAY_MS: u64 = 300;
const TICK_INTERVAL_MS: u64 = 50;
/// One request in this many is urgent.
const URGENT_EVERY: usize = 20;

#[derive(Default)]
struct Engine {
    /// The end of each running request, its entry process and its id.
    running: collections::BTreeSet<(u64, usize, event::ReqId)>,
    /// The entry process and id of each waiting request, by priority, then by arrival.
    waiting: collections::BTreeMap<(cmp::Reverse<u8>, u64), (usize, event::ReqId)>,
}

struct Outcome {
    due: u64,
    urgent: bool,
    on_time: Option<bool>,
}

struct World {
    now: u64,
    sequence: u64,
    services: random::Random,
    entries: Vec<decider::Decider>,
    engines: Vec<Engine>,
    outcomes: Vec<Outcome>,
}

fn exponential(random: &mut random::Random, mean: f64) -> f64 {
    -mean * (1.0 - random.unit()).ln()
}

/// Returns the requests answered in time as a share of those that could have been, and the share of
/// urgent requests answered in time.
fn simulate(policy: &settings::Policy, load: f64) -> (f64, f64) {
    let mut settings = common::settings();
    settings.entries = u32::try_from(ENTRIES).expect("few");
    settings.classes = [("urgent", 9), ("usual", 3)]
        .map(|(name, priority)| common::class(name, priority, DEADLINE_MS, 64))
        .to_vec();
    settings.policy = policy.clone();
    let decider = |seed| decider::Decider::new(settings.clone(), seed);
    let mut world = World {
        now: 0,
        sequence: 0,
        services: random::Random::new(2),
        entries: (0..ENTRIES as u64).map(decider).collect(),
        engines: (0..ENGINES).map(|_| Engine::default()).collect(),
        outcomes: Vec::new(),
    };
    let mut arrivals = random::Random::new(1);
    let capacity = (ENGINES * SLOTS) as f64 / MEAN_SERVICE_MS;
    let mut next = (REPORT_INTERVAL_MS + REPORT_DELAY_MS) as f64;
    let mut reports = collections::VecDeque::new();
    for now in 0..RUN_MS {
        world.now = now;
        (0..ENGINES).for_each(|engine| world.finish_due(engine));
        while next < now as f64 {
            next += exponential(&mut arrivals, 1.0 / (capacity * load));
            let entry = arrivals.below(ENTRIES);
            world.arrive(entry, arrivals.below(URGENT_EVERY) == 0);
        }
        for engine in (0..ENGINES).filter(|engine| now % REPORT_INTERVAL_MS == *engine as u64) {
            reports.push_back((now + REPORT_DELAY_MS, world.report(engine)));
        }
        while let Some((_, report)) = reports.pop_front_if(|(at, _)| *at <= now) {
            let event = event::Event::Report(Box::new(report), time::Millis(REPORT_DELAY_MS));
            (0..ENTRIES).for_each(|entry| world.step(entry, event.clone()));
        }
        if now.is_multiple_of(TICK_INTERVAL_MS) {
            (0..ENTRIES).for_each(|entry| world.step(entry, event::Event::Tick));
        }
    }
    let counted = world
        .outcomes
        .iter()
        .filter(|f| COUNTED_DEADLINES_MS.contains(&f.due));
    let (urgent, all) = (counted.clone().filter(|f| f.urgent), counted);
    let on_time = |f: &&Outcome| f.on_time == Some(true);
    let most = (capacity * (COUNTED_DEADLINES_MS.end - COUNTED_DEADLINES_MS.start) as f64)
        .min(all.clone().count() as f64);
    let urgent_share = urgent.clone().filter(on_time).count() as f64 / urgent.count() as f64;
    (all.filter(on_time).count() as f64 / most, urgent_share)
}

impl World {
    fn arrive(&mut self, entry: usize, urgent: bool) {
        let id = event::ReqId(self.outcomes.len() as u64);
        let (due, on_time) = (self.now + DEADLINE_MS, None);
        self.outcomes.push(Outcome {
            due,
            urgent,
            on_time,
        });
        let mut info = common::request_info(id, arena::ModelKey(0));
        info.class = Some(arena::ClassKey(u32::from(!urgent)));
        self.step(entry, event::Event::Arrived(info));
    }

    fn step(&mut self, entry: usize, event: event::Event) {
        for action in self.entries[entry].step(time::Instant(self.now), event) {
            match action {
                // Every entry process receives the first reports in the same order, so keys are indexes.
                event::Action::Send {
                    req,
                    endpoint,
                    priority,
                    ..
                } => {
                    self.sequence += 1;
                    let place = (cmp::Reverse(priority), self.sequence);
                    let waiting = &mut self.engines[endpoint.index()].waiting;
                    waiting.insert(place, (entry, req));
                    self.start(endpoint.index());
                }
                event::Action::Cancel { req, endpoint } => {
                    let engine = &mut self.engines[endpoint.index()];
                    engine.waiting.retain(|_, job| job.1 != req);
                    engine.running.retain(|job| job.2 != req);
                    self.start(endpoint.index());
                }
                event::Action::Refuse { req, .. } => self.settle(req, false),
                event::Action::Queue { .. } | event::Action::Claim { .. } => {}
            }
        }
    }

    fn start(&mut self, engine: usize) {
        let engine = &mut self.engines[engine];
        while engine.running.len() < SLOTS
            && let Some((_, (entry, req))) = engine.waiting.pop_first()
        {
            let span =
                MEAN_SERVICE_MS / 2.0 + exponential(&mut self.services, MEAN_SERVICE_MS / 2.0);
            let end = self.now + sageshed_types::time::Millis::rounded_up(span).0;
            engine.running.insert((end, entry, req));
        }
    }

    fn finish_due(&mut self, engine: usize) {
        while let Some((end, entry, req)) = self.engines[engine].running.first().copied()
            && end <= self.now
        {
            self.engines[engine].running.pop_first();
            self.start(engine);
            self.settle(req, true);
            let outcome = event::AttemptOutcome::Done { tokens: 0 };
            self.step(entry, event::Event::AttemptEnded { req, outcome });
        }
    }

    fn settle(&mut self, req: event::ReqId, answered: bool) {
        let outcome = &mut self.outcomes[usize::try_from(req.0).expect("an index")];
        let on_time = answered && self.now <= outcome.due;
        assert!(
            outcome.on_time.replace(on_time).is_none(),
            "one end for each request"
        );
    }

    fn report(&self, engine: usize) -> sageshed_types::endpoints::Report {
        let count = |len: usize| u32::try_from(len).expect("few");
        let name = format!("engine-{engine}");
        let mut report = common::report(&name, self.now + 1, count(SLOTS), &["sort"]);
        report.running = count(self.engines[engine].running.len());
        report.waiting = count(self.engines[engine].waiting.len());
        report
    }
}

/// Guards against the collapse of goodput under overload: without shedding, requests wait until their
/// deadline is close, then run and finish late, so that hardly any is answered in time although the
/// engines are busy. Shedding early keeps the engines busy with requests that can finish in time.
#[test]
fn goodput_holds_under_overload() {
    let ours = settings::Policy::default();
    let mut random = ours.clone();
    random.routing = settings::Routing::Random;
    random.in_flight_per_slot = 1_000.0;
    let mut least = random.clone();
    least.routing = settings::Routing::LeastReported;
    let mut unshed = ours.clone();
    unshed.shed = false;
    let baselines = [
        ("random, no bound", random),
        ("least reported, no bound", least),
    ];
    for load in [0.8, 1.5, 3.0, 10.0] {
        let (goodput, urgent) = simulate(&ours, load);
        println!(
            "{load:4} x {:26} goodput {goodput:.3}, urgent {urgent:.3}",
            "ours"
        );
        assert!(
            goodput >= 0.9 && urgent >= 0.98,
            "near its peak at {load} x: {goodput} {urgent}"
        );
        for (name, policy) in &baselines {
            let (other, urgent) = simulate(policy, load);
            println!("{load:4} x {name:26} goodput {other:.3}, urgent {urgent:.3}");
            assert!(
                goodput >= other - 0.02,
                "no baseline is better at {load} x: {other}"
            );
        }
        let (other, urgent) = simulate(&unshed, load);
        println!(
            "{load:4} x {:26} goodput {other:.3}, urgent {urgent:.3}",
            "no shedding"
        );
        assert!(
            load < 1.0 || other < 0.6,
            "shedding is what holds goodput at {load} x"
        );
    }
}
