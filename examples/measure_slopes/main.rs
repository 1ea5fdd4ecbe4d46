//! Measures how the cost of each part grows with its size, in this process and without a cluster.
//!
//! Prints one line for each figure, with the sizes that it was taken at:
//!
//! ```text
//! cargo run --release --example measure_slopes
//! ```
//!
//! Times are processor time of the one thread, so that other work on the machine counts little.
//! Memory is the growth of the resident set of a fresh copy of this program, which builds one thing
//! and gives nothing back; it counts whole pages and what the allocator adds.

mod control;
mod wire;

use std::{env, error, fs, hint, process, thread};

use sageshed::directory;
use sageshed_decide::{decider, event, settings};
use sageshed_types::{arena, catalog, endpoints, rules, time as types_time, time::Instant};

type Result<T> = std::result::Result<T, Box<dyn error::Error + Send + Sync>>;

/// Endpoints and models at each size.
const FLEETS: [(usize, usize); 6] = [
    (13, 17),
    (130, 72),
    (1_300, 72),
    (1_300, 470),
    (4_000, 470),
    (10_000, 470),
];
const RULES: usize = 1_000;
const RESIDENT: usize = 12;
/// Of each figure, in nanoseconds of processor time.
const ENOUGH: u64 = 300_000_000;
const PAGE: usize = 4_096;
const NOW: Instant = Instant(10_000);
const AGE: types_time::Millis = types_time::Millis(5);
/// To each endpoint, so that what is kept of the past of each is full.
const REQUESTS: u64 = 200;

fn main() -> Result<()> {
    let args: Vec<String> = env::args().skip(1).collect();
    if let [kind, count, further] = args.as_slice() {
        println!("{}", built(kind, count.parse()?, further.parse()?)?);
        return Ok(());
    }
    println!("load {}", fs::read_to_string("/proc/loadavg")?.trim());
    for (count, models) in FLEETS {
        decider_costs(count, models)?;
    }
    for count in [130, 1_300, 4_000, 10_000] {
        directory_costs(count)?;
    }
    wire::costs()?;
    control::costs()?;
    println!("load {}", fs::read_to_string("/proc/loadavg")?.trim());
    Ok(())
}

/// Memory of one thing, in bytes, built in a fresh process.
fn memory(kind: &str, count: usize, further: usize) -> Result<usize> {
    let sizes = [count.to_string(), further.to_string()];
    let mut command = process::Command::new(env::current_exe()?);
    let out = command.arg(kind).args(sizes).output()?;
    Ok(String::from_utf8(out.stdout)?.trim().parse()?)
}

/// Builds one thing and says how many bytes it takes.
fn built(kind: &str, count: usize, further: usize) -> Result<usize> {
    let empty = resident()?;
    match kind {
        "decider" => std::mem::forget(filled_decider(count, further)),
        "busy-decider" => {
            let mut decider = filled_decider(count, further);
            for n in 0..count as u64 * REQUESTS {
                one_request(&mut decider, NOW, n, further);
            }
            std::mem::forget(decider);
        }
        "directory" => std::mem::forget(filled_directory(count)),
        "claims" => std::mem::forget(control::with_claims(count, further)),
        "rules" => std::mem::forget(control::with_rules(count, further)),
        _ => return Err("no such thing".into()),
    }
    Ok(resident()? - empty)
}

/// Processor time of this thread, in nanoseconds. The kernel brings it up to date with its ticks, or
/// when a thread yields.
fn cpu() -> Result<u64> {
    thread::yield_now();
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    Ok(text.split(' ').next().ok_or("no processor time")?.parse()?)
}

/// Resident set of this process, in bytes.
fn resident() -> Result<usize> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages: usize = text.split(' ').nth(1).ok_or("no resident set")?.parse()?;
    Ok(pages * PAGE)
}

/// Microseconds of processor time that one run of `work` takes.
fn micros(mut work: impl FnMut(u64)) -> Result<f64> {
    let (begun, mut done, mut batch) = (cpu()?, 0, 1);
    loop {
        for n in done..done + batch {
            work(n);
        }
        done += batch;
        let spent = cpu()? - begun;
        if spent >= ENOUGH {
            return Ok(spent as f64 / done as f64 / 1_000.0);
        }
        batch = (batch * 2).min(4_096);
    }
}

fn report(endpoint: usize, models: usize, held: usize, sequence: u64) -> endpoints::Report {
    let resident = |n| endpoints::Resident {
        model: format!("model-{:03}", (endpoint * held + n) % models),
        version: 1,
        phase: endpoints::Phase::Ready,
        memory_mib: 16_000,
    };
    endpoints::Report {
        identity: endpoints::Identity {
            endpoint: format!("engine-{endpoint:05}"),
            incarnation: endpoints::Incarnation(1_700_000_000_000),
            address: "10.120.130.140:8000".to_owned(),
            availability_zone: format!("region-{}-az-{}", endpoint % 6, endpoint % 15),
            kind: endpoints::Kind::Engine {
                pool: "decode".to_owned(),
                memory_mib: 640_000,
                accelerators: 8,
            },
            slots: 64,
            checks_fence: true,
        },
        sequence,
        age_ms: types_time::Millis(5),
        running: 20,
        waiting: 0,
        tokens_per_second: 4_000,
        resident: (0..held).map(resident).collect(),
        orders: Vec::new(),
        leaving: false,
    }
}

/// A rule that no request of these measurements matches.
fn rule(n: usize) -> rules::Rule {
    rules::Rule {
        id: format!("rule-{n:05}"),
        when: rules::When {
            caller: vec![format!("caller-{}", n % 20)],
            model: vec![format!("model-{:03}", n % 17)],
            prompt_tokens: Some(rules::Range {
                min: Some(1_000_000),
                max: None,
            }),
            ..rules::When::default()
        },
        action: rules::Action::Route(rules::Route::default()),
        not_repeatable: None,
        deadline_ms: None,
    }
}

fn new_decider(entries: usize, models: usize) -> decider::Decider {
    let model = |n: usize| catalog::Model {
        name: format!("model-{n:03}"),
        base: None,
        version: 1,
        memory_mib: 16_000,
        pools: Vec::new(),
        critical: false,
        load_ms: types_time::Millis(1_000),
    };
    let caller = |n: usize| catalog::Caller {
        name: format!("caller-{n}"),
        token_sha256: n.to_string(),
        class: "usual".to_owned(),
        rate: None,
        burst: None,
    };
    let class = catalog::Class {
        name: "usual".to_owned(),
        priority: 3,
        deadline_ms: types_time::Millis(20_000),
        queue: 64,
    };
    let settings = settings::Settings {
        vm: "vm-001".to_owned(),
        availability_zone: "region-0-az-0".to_owned(),
        entries: u32::try_from(entries).unwrap_or(u32::MAX),
        classes: vec![class],
        callers: (0..20).map(caller).collect(),
        models: (0..models).map(model).collect(),
        services: Vec::new(),
        policy: settings::Policy::default(),
    };
    decider::Decider::new(settings, 7)
}

fn filled_decider(count: usize, models: usize) -> decider::Decider {
    let mut decider = new_decider((count * 860 / 10_000).max(7), models);
    decider.install_rules(rules::RuleSet {
        revision: rules::Revision(1),
        rules: (0..RULES).map(rule).collect(),
    });
    for n in 0..count {
        let report = Box::new(report(n, models, RESIDENT, 1));
        decider.step(NOW, event::Event::Report(report, AGE));
    }
    decider
}

fn decider_costs(count: usize, models: usize) -> Result<()> {
    let mut decider = filled_decider(count, models);
    let tick = micros(|_| drop(decider.step(NOW, event::Event::Tick)))?;
    let (mut routed, mut asked) = (0_u64, 0_u64);
    let request = micros(|n| {
        asked += 1;
        routed += u64::from(one_request(&mut decider, NOW, n, models));
    })?;
    // The reports are made before the clock runs, and handed over without a copy.
    let (mut spent, mut taken, mut sequence) = (0, 0, 1);
    while spent < ENOUGH {
        let mut fresh = Vec::new();
        while fresh.len() < 1_000 {
            sequence += 1;
            fresh.extend((0..count).map(|n| Box::new(report(n, models, RESIDENT, sequence))));
        }
        taken += fresh.len();
        let begun = cpu()?;
        for report in fresh {
            hint::black_box(decider.step(NOW, event::Event::Report(report, AGE)));
        }
        spent += cpu()? - begun;
    }
    let none = memory("decider", 0, models)?;
    let all = memory("decider", count, models)?;
    // At the larger sizes this takes long, and the slope shows by then.
    let busy = if count > 1_300 {
        0
    } else {
        memory("busy-decider", count, models)?
    };
    println!(
        "decider endpoints={count} models={models} holders={} rules={RULES} request_us={request:.2} \
         routed={routed}/{asked} report_us={:.2} tick_us={tick:.2} bytes_without_endpoints={none} \
         bytes={all} bytes_per_endpoint={} bytes_after_requests={busy}",
        count * RESIDENT / models,
        spent as f64 / taken as f64 / 1_000.0,
        all.saturating_sub(none) / count,
    );
    Ok(())
}

/// Whether the request was sent.
fn one_request(decider: &mut decider::Decider, now: Instant, n: u64, models: usize) -> bool {
    let req = event::ReqId(n);
    let model = u32::try_from(n % models as u64).unwrap_or(0);
    let facts = event::RequestInfo {
        id: req,
        caller: arena::CallerKey(u32::try_from(n % 20).unwrap_or(0)),
        class: None,
        target: event::Target::Model(arena::ModelKey(model)),
        streaming: false,
        prompt_tokens: 500,
        max_tokens: 200,
        not_repeatable: false,
        not_repeatable_by_default: false,
        deadline: None,
        prefix: 0,
    };
    let actions = decider.step(now, event::Event::Arrived(facts));
    let outcome = event::AttemptOutcome::Done { tokens: 100 };
    decider.step(now, event::Event::AttemptEnded { req, outcome });
    matches!(actions.first(), Some(event::Action::Send { .. }))
}

fn filled_directory(count: usize) -> directory::Directory {
    let mut directory = directory::Directory::new(endpoints::Incarnation(1));
    for n in 0..count {
        directory.offer(NOW, report(n, 470, RESIDENT, 1), true);
    }
    directory
}

fn directory_costs(count: usize) -> Result<()> {
    let mut directory = filled_directory(count);
    let (mut spent, mut taken, mut sequence) = (0, 0, 1);
    while spent < ENOUGH {
        sequence += 1;
        let fresh: Vec<_> = (0..count)
            .map(|n| report(n, 470, RESIDENT, sequence))
            .collect();
        let begun = cpu()?;
        for report in fresh {
            directory.offer(NOW, report, true);
        }
        spent += cpu()? - begun;
        taken += count;
    }
    let mark = directory.mark();
    let nothing = micros(|_| drop(hint::black_box(directory.since(NOW, mark))))?;
    println!(
        "directory endpoints={count} bytes_per_endpoint={} offer_us={:.2} \
         read_nothing_new_us={nothing:.2}",
        memory("directory", count, 0)? / count,
        spent as f64 / taken as f64 / 1_000.0
    );
    Ok(())
}
