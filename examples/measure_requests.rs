//! Measures the request path with real processes on this machine: 3 control and 3 entry processes,
//! 4 stand-in engines.
//!
//! ```text
//! cargo build --release && cargo run --release --example measure_requests -- \
//!     [overhead] [streams] [overload]
//! ```
//!
//! * `overhead`: the same load to the engines directly, through one entry process, and through
//!   three, in turn and several times over.
//! * `streams`: many streams open at once through one entry process, and its memory.
//! * `overload`: requests on time at several times what the engines can serve, by way of routing.
//!   A tenth of them is of an urgent class.
//!
//! Without a name all three are measured.

#[path = "measure/cluster.rs"]
mod cluster;

use std::{
    env, fs, thread,
    time::{Duration, Instant},
};

use sageshed_test_support::{config, load};

/// SHA-256 of the token `beta`, the urgent caller's.
const BETA: &str = "f44e64e75f3948e9f73f8dfa94721c4ce8cbb4f265c4790c702b2d41cfbf2753";
const ENGINES: usize = 4;
const VMS: usize = 3;
/// Load of [`overhead`] in requests a second, its rounds, and the seconds of each part.
const RATE: f64 = 160.0;
const ROUNDS: usize = 3;
const ROUND_S: f64 = 6.0;
/// Streams of [`streams`], their tokens, and tokens a second of each.
const STREAMS: u32 = 2_000;
const STREAM_TOKENS: u32 = 60;
const STREAM_PACE: f64 = 2.0;
/// Slots of each engine, time to a first token, tokens a second and tokens of an answer in
/// [`overload`]. A stand-in writes the last token one gap early.
const SLOTS: u32 = 8;
const FIRST_TOKEN_MS: u64 = 50;
const PACE: f64 = 50.0;
const TOKENS: u32 = 20;
const DEADLINE_MS: u64 = 2_000;
const FACTORS: [f64; 5] = [0.8, 1.0, 1.5, 3.0, 10.0];
const OVERLOAD_S: f64 = 5.0;
const URGENT: f64 = 0.1;
/// The ways of routing that are compared, as lines of `[routing]`.
const POLICIES: [(&str, &str); 4] = [
    ("two_choices", "routing = \"two_choices\""),
    ("random", "routing = \"random\""),
    ("least_reported", "routing = \"least_reported\""),
    ("no shedding", "shed = false"),
];

fn main() -> Result<(), cluster::Error> {
    let named: Vec<_> = env::args().skip(1).collect();
    let wanted = |name: &str| named.is_empty() || named.iter().any(|it| it == name);
    if wanted("overhead") {
        overhead()?;
    }
    if wanted("streams") {
        streams()?;
    }
    if wanted("overload") {
        overload()?;
    }
    Ok(())
}

/// The common settings: 3 VMs with both processes, one model, two classes with a caller each.
fn settings(further: &str) -> Result<toml::Table, cluster::Error> {
    let vm = |n: usize| {
        format!(
            "[[vms]]\nname = \"vm{n}\"\nnumber = {n}\navailability_zone = \"z{n}\"\n\
             entry = \"127.0.0.1:1\"\ncontrol = \"127.0.0.1:1\"\noperators = \"127.0.0.1:1\"\n"
        )
    };
    let vms: String = (1..=VMS).map(vm).collect();
    let text = format!(
        "{vms}[[models]]\nname = \"m1\"\nmemory_mib = 1000\nload_ms = 500\n\
         [[classes]]\nname = \"usual\"\npriority = 5\ndeadline_ms = 120000\n\
         [[classes]]\nname = \"urgent\"\npriority = 9\ndeadline_ms = 120000\n\
         [[callers]]\nname = \"alpha\"\nclass = \"usual\"\ntoken_sha256 = \"\"\n\
         [[callers]]\nname = \"beta\"\nclass = \"urgent\"\ntoken_sha256 = \"{BETA}\"\n\
         [[operators]]\nname = \"op\"\ntoken_sha256 = \"\"\n\
         [placement]\nstore_loads_per_second = 1.0\n\
         [control]\ninitial_voters = [\"vm1\", \"vm2\", \"vm3\"]\n{further}"
    );
    Ok(text.parse()?)
}

fn engines(slots: u32, first_token_ms: u64, tokens_per_second: f64) -> config::Config {
    let engine = |n: usize| config::Endpoint {
        slots,
        first_token_ms,
        tokens_per_second,
        ..config::Endpoint::engine(&format!("e{n}"), 10_000, &[("m1", 1_000)])
    };
    config::Config {
        endpoints: (1..=ENGINES).map(engine).collect(),
        ..config::Config::default()
    }
}

fn base_load(addresses: Vec<String>) -> load::Load {
    load::Load {
        addresses,
        token: "alpha".to_owned(),
        models: vec![load::Weighted {
            name: "m1".to_owned(),
            weight: 1.0,
        }],
        ..load::Load::default()
    }
}

/// Sends a little, so that every entry process knows the engines and how fast they are.
fn warm(cluster: &cluster::Cluster, tokens: u32) {
    thread::sleep(Duration::from_secs(1));
    let load = load::Load {
        rate: 30.0,
        seconds: 3.0,
        max_tokens: (tokens, tokens),
        ..base_load(cluster.callers.clone())
    };
    let _warmed = load::run(&load);
}

fn overhead() -> Result<(), cluster::Error> {
    let cluster = cluster::Cluster::start(settings("")?, engines(64, 20, 200.0))?;
    warm(&cluster, 16);
    let direct = (1..=ENGINES).map(|n| cluster.standin.address(&format!("e{n}")));
    let ways = [
        ("direct", direct.collect()),
        ("one entry", vec![cluster.callers[0].clone()]),
        ("three entries", cluster.callers.clone()),
    ];
    println!("overhead at {RATE} requests/s, all streamed, 16 tokens, {ROUND_S} s each");
    println!(
        "round  way             sent  completed  rps     first p50  first p99  answer p50  answer p99  cpu of entry 1"
    );
    for round in 1..=ROUNDS {
        for (way, addresses) in &ways {
            let cpu = cpu_seconds(cluster.entry_pids[0]);
            let report = load::run(&load::Load {
                rate: RATE,
                seconds: ROUND_S,
                workers: 256,
                streaming: 1.0,
                max_tokens: (16, 16),
                seed: round as u64,
                ..base_load(addresses.clone())
            });
            let cpu = (cpu_seconds(cluster.entry_pids[0]) - cpu) / report.seconds;
            println!(
                "{round:<6} {way:<14} {:>5} {:>10} {:>7.1} {:>9} {:>10} {:>11} {:>11} {:>9.0} %",
                report.sent,
                report.completed,
                report.completed_per_second,
                ms(report.first_token_p50_ms),
                ms(report.first_token_p99_ms),
                ms(report.answer_p50_ms),
                ms(report.answer_p99_ms),
                cpu * 100.0,
            );
        }
    }
    Ok(())
}

fn streams() -> Result<(), cluster::Error> {
    let limits = format!("[limits]\nconnections = {}\n", STREAMS * 2);
    let cluster = cluster::Cluster::start(settings(&limits)?, engines(STREAMS, 20, STREAM_PACE))?;
    warm(&cluster, 2);
    let pid = cluster.entry_pids[0];
    let before = memory_mib(pid, "VmRSS");
    let load = load::Load {
        rate: 400.0,
        seconds: 60.0,
        count: u64::from(STREAMS),
        workers: STREAMS,
        streaming: 1.0,
        max_tokens: (STREAM_TOKENS, STREAM_TOKENS),
        give_up_ms: 120_000,
        ..base_load(vec![cluster.callers[0].clone()])
    };
    let (report, peak) = thread::scope(|scope| {
        let running = scope.spawn(|| load::run(&load));
        let mut peak = Peak::default();
        while !running.is_finished() {
            peak.look(&cluster.callers[0], pid);
            thread::sleep(Duration::from_millis(250));
        }
        (running.join(), peak)
    });
    let report = report.map_err(|_panic| "the load panicked")?;
    println!(
        "{STREAMS} streams of {STREAM_TOKENS} tokens at {STREAM_PACE} tokens/s through one entry"
    );
    println!(
        "open at most {} | RSS before {before} MiB, with most open {} MiB, high-water {} MiB | threads {}",
        peak.open,
        peak.rss,
        memory_mib(pid, "VmHWM"),
        peak.threads,
    );
    let pace = f64::from(STREAMS) * STREAM_PACE;
    println!(
        "entry used {:.0} % of one core at {pace} tokens/s\n{report}",
        peak.cpu_share() * 100.0
    );
    Ok(())
}

/// What was seen of an entry process while most streams were open.
#[derive(Default)]
struct Peak {
    open: u64,
    rss: u64,
    threads: u64,
    first_full: Option<(Instant, f64)>,
    last_full: Option<(Instant, f64)>,
}

impl Peak {
    fn look(&mut self, callers: &str, pid: u32) {
        let open = open_requests(callers);
        if open >= self.open {
            self.open = open;
            self.rss = memory_mib(pid, "VmRSS");
            self.threads = status(pid, "Threads");
        }
        if open == u64::from(STREAMS) {
            let seen = (Instant::now(), cpu_seconds(pid));
            self.first_full.get_or_insert(seen);
            self.last_full = Some(seen);
        }
    }

    /// Of one core, while all streams were open.
    fn cpu_share(&self) -> f64 {
        let (Some(first), Some(last)) = (self.first_full, self.last_full) else {
            return f64::NAN;
        };
        (last.1 - first.1) / (last.0 - first.0).as_secs_f64()
    }
}

fn overload() -> Result<(), cluster::Error> {
    let service = FIRST_TOKEN_MS as f64 / 1_000.0 + f64::from(TOKENS - 1) / PACE;
    let capacity = f64::from(SLOTS) * ENGINES as f64 / service;
    println!(
        "overload: capacity {capacity:.0} requests/s, deadline {DEADLINE_MS} ms, {OVERLOAD_S} s each, 10 % urgent"
    );
    println!(
        "policy          load  sent   on time  on time/s  of capacity  late  urgent on time  refused  refusal p99  lost  begun late"
    );
    for factor in FACTORS {
        for (name, line) in POLICIES {
            let further = format!("[routing]\n{line}\n[limits]\nconnections = 4000\n");
            let cluster =
                cluster::Cluster::start(settings(&further)?, engines(SLOTS, FIRST_TOKEN_MS, PACE))?;
            warm(&cluster, TOKENS);
            let rate = capacity * factor;
            let usual = class_load(&cluster, "alpha", "usual", rate * (1.0 - URGENT));
            let urgent = class_load(&cluster, "beta", "urgent", rate * URGENT);
            let (usual, urgent) = thread::scope(|scope| {
                let usual = scope.spawn(|| load::run(&usual));
                let urgent = load::run(&urgent);
                (usual.join(), urgent)
            });
            let usual = usual.map_err(|_panic| "the load panicked")?;
            print_overload(name, factor, capacity, &usual, &urgent);
        }
    }
    Ok(())
}

fn class_load(cluster: &cluster::Cluster, token: &str, class: &str, rate: f64) -> load::Load {
    load::Load {
        token: token.to_owned(),
        rate,
        seconds: OVERLOAD_S,
        workers: 2_000,
        streaming: 1.0,
        max_tokens: (TOKENS, TOKENS),
        give_up_ms: 30_000,
        classes: vec![load::Class {
            name: class.to_owned(),
            weight: 1.0,
            deadline_ms: DEADLINE_MS,
        }],
        ..base_load(cluster.callers.clone())
    }
}

fn print_overload(
    name: &str,
    factor: f64,
    capacity: f64,
    usual: &load::report::Report,
    urgent: &load::report::Report,
) {
    let both = |of: fn(&load::report::Report) -> u64| of(usual) + of(urgent);
    let on_time = both(|it| it.on_time);
    let refused = both(|it| it.refused.values().sum());
    let lost = both(|it| it.lost.values().sum::<u64>() + it.wrong.values().sum::<u64>());
    // To the last end, not to the last beginning: what waited then was served after it.
    let rate = on_time as f64 / usual.seconds.max(urgent.seconds);
    println!(
        "{name:<15} {factor:>4} {:>6} {on_time:>8} {rate:>10.1} {:>11.0} % {:>5} {:>13.1} % {refused:>8} {:>12} {lost:>5} {:>11}",
        both(|it| it.sent),
        rate / capacity * 100.0,
        both(|it| it.completed) - on_time,
        urgent.on_time as f64 / urgent.sent as f64 * 100.0,
        ms(later(usual.refusal_p99_ms, urgent.refusal_p99_ms)),
        ms(later(usual.begun_late_max_ms, urgent.begun_late_max_ms)),
    );
}

fn later(one: Option<f64>, other: Option<f64>) -> Option<f64> {
    one.into_iter().chain(other).reduce(f64::max)
}

fn ms(value: Option<f64>) -> String {
    value.map_or("-".to_owned(), |value| format!("{value:.1}"))
}

fn open_requests(callers: &str) -> u64 {
    let text = ureq::get(&format!("http://{callers}/metrics")).call();
    let text = text.ok().and_then(|resp| resp.into_string().ok());
    let text = text.unwrap_or_default();
    let line = text
        .lines()
        .find(|line| line.starts_with("sageshed_requests_open"));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
        .unwrap_or(0)
}

/// A figure of `/proc/PID/status`.
fn status(pid: u32, name: &str) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0)
}

fn memory_mib(pid: u32, name: &str) -> u64 {
    status(pid, name) / 1_024
}

/// Processor time of a process so far.
fn cpu_seconds(pid: u32) -> f64 {
    /// Of Linux, on every platform that this runs on.
    const TICKS_PER_SECOND: f64 = 100.0;
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name of the program, in parentheses, may hold spaces.
    let after = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<_> = after.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|it| it.parse::<f64>().ok());
    (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_SECOND
}
