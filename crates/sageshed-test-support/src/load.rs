//! A load tool: sends requests to entry processes and checks every answer.
//!
//! Open loop: requests begin at seeded random times whatever becomes of earlier ones, and times are
//! counted from when a request was due, so that a slow system cannot hide its delays by slowing the
//! load. Closed loop (no rate): each worker sends its next request after its last answer.

pub mod client;
pub mod report;

use std::{
    sync, thread,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::random;

/// The stack of a worker, in bytes.
const STACK: usize = 256 * 1024;

/// What to send, written in TOML.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Entry processes as `IP:port`, taken in turn as a balancer does.
    pub addresses: Vec<String>,
    /// The bearer token.
    pub token: String,
    /// Requests a second over all; 0: closed loop.
    pub rate: f64,
    /// Workers: the most requests that are open at once.
    pub workers: u32,
    /// How long requests are begun for, in seconds.
    pub seconds: f64,
    /// The most requests; 0: no bound but the time.
    pub count: u64,
    /// The same seed gives the same requests at the same times.
    pub seed: u64,
    /// Share of model requests that ask for a stream.
    pub streaming: f64,
    /// Share of requests that may not be repeated.
    pub not_repeatable: f64,
    /// Least and most words of a prompt.
    pub prompt_words: (u32, u32),
    /// Least and most tokens of an answer.
    pub max_tokens: (u32, u32),
    /// How long to wait for one answer before it counts as lost, in milliseconds.
    pub give_up_ms: u64,
    /// A part of the time with more load.
    pub burst: Option<Burst>,
    /// The models and adapters asked for.
    pub models: Vec<Weighted>,
    /// The services asked for, weighed against the models.
    pub services: Vec<Weighted>,
    /// The classes named; none: the caller's own.
    pub classes: Vec<Class>,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            addresses: vec!["127.0.0.1:8801".to_owned()],
            token: "clearflow".to_owned(),
            rate: 0.0,
            workers: 64,
            seconds: 5.0,
            count: 0,
            seed: 1,
            streaming: 0.5,
            not_repeatable: 0.0,
            prompt_words: (10, 100),
            max_tokens: (8, 64),
            give_up_ms: 60_000,
            burst: None,
            models: Vec::new(),
            services: Vec::new(),
            classes: Vec::new(),
        }
    }
}

/// A part of the time in which the rate is multiplied.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// When it begins, in seconds.
    pub from: f64,
    /// When it ends, in seconds.
    pub to: f64,
    /// By how much.
    pub factor: f64,
}

/// A name and how often it is taken.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weighted {
    /// The name.
    pub name: String,
    /// Its weight.
    #[serde(default = "one")]
    pub weight: f64,
}

/// A class and how often it is taken.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name.
    pub name: String,
    /// Its weight.
    #[serde(default = "one")]
    pub weight: f64,
    /// The deadline sent and judged by, in milliseconds.
    pub deadline_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// One request as it is to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Its position in the run.
    pub number: u64,
    /// When it is due after the start; none in a closed loop.
    pub due: Option<Duration>,
    /// The entry process.
    pub address: String,
    /// The model, or the service where `is_service`.
    pub target: String,
    /// Whether the target is a service.
    pub is_service: bool,
    /// Whether it asks for a stream.
    pub streaming: bool,
    /// The idempotency key of one that may not be repeated.
    pub key: Option<String>,
    /// The class, if one is named.
    pub class: Option<Class>,
    /// The prompt, whose last word is the mark.
    pub prompt: String,
    /// The mark that the answer must carry.
    pub mark: String,
    /// Tokens asked for.
    pub max_tokens: u32,
}

/// Gives the plans of a run one by one.
#[derive(Debug)]
struct Planner {
    load: Load,
    random: random::Random,
    next_due: f64,
    given: u64,
}

impl Planner {
    fn next(&mut self, spent: f64) -> Option<Plan> {
        let open_loop = self.load.rate > 0.0;
        let begins = if open_loop { self.next_due } else { spent };
        let counted_out = self.load.count > 0 && self.given >= self.load.count;
        if begins >= self.load.seconds || counted_out {
            return None;
        }
        self.given += 1;
        let due = open_loop.then(|| Duration::from_secs_f64(self.next_due));
        let gap = -(1.0 - self.random.unit()).ln() / self.rate_at(self.next_due).max(0.001);
        self.next_due += gap;
        Some(self.plan(due))
    }

    fn rate_at(&self, at: f64) -> f64 {
        match self.load.burst {
            Some(burst) if (burst.from..burst.to).contains(&at) => self.load.rate * burst.factor,
            _ => self.load.rate,
        }
    }

    fn plan(&mut self, due: Option<Duration>) -> Plan {
        let load = &self.load;
        let number = self.given;
        let mark = format!("mark-{}-{number}", load.seed);
        let targets = load.models.iter().chain(&load.services);
        let taken = self.random.weighted(targets.clone().map(|t| t.weight));
        let target = targets.clone().nth(taken);
        let classes = load.classes.iter().map(|class| class.weight);
        let class = load.classes.get(self.random.weighted(classes)).cloned();
        let words = self
            .random
            .between(load.prompt_words.0, load.prompt_words.1);
        let once = self.random.unit() < load.not_repeatable;
        let position = usize::try_from(number).unwrap_or(0) % load.addresses.len().max(1);
        Plan {
            number,
            due,
            address: load.addresses.get(position).cloned().unwrap_or_default(),
            target: target.map(|t| t.name.clone()).unwrap_or_default(),
            is_service: taken >= load.models.len(),
            streaming: self.random.unit() < load.streaming,
            key: once.then(|| format!("key-{}-{number}", load.seed)),
            class,
            prompt: format!("{}{mark}", "word ".repeat(words as usize)),
            mark,
            max_tokens: self.random.between(load.max_tokens.0, load.max_tokens.1),
        }
    }
}

/// Sends the load and waits for every answer, at most `give_up_ms` past the last request.
#[must_use]
pub fn run(load: &Load) -> report::Report {
    let planner = sync::Mutex::new(Planner {
        load: load.clone(),
        random: random::Random::new(load.seed),
        next_due: 0.0,
        given: 0,
    });
    let records = sync::Mutex::new(Vec::new());
    let started = Instant::now();
    thread::scope(|scope| {
        for _ in 0..load.workers {
            let worker = thread::Builder::new().stack_size(STACK);
            let work = || work(load, &planner, &records, started);
            let _spawned = worker.spawn_scoped(scope, work);
        }
    });
    let records = records
        .into_inner()
        .unwrap_or_else(sync::PoisonError::into_inner);
    report::Report::new(&records, started.elapsed())
}

fn work(
    load: &Load,
    planner: &sync::Mutex<Planner>,
    records: &sync::Mutex<Vec<client::Record>>,
    started: Instant,
) {
    let client = client::Client::new(load);
    loop {
        let plan = planner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .next(started.elapsed().as_secs_f64());
        let Some(plan) = plan else { return };
        let due = plan.due.map_or_else(Instant::now, |due| started + due);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let record = client.send(&plan, due);
        records
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .push(record);
    }
}
