//! Streams of many callers while disturbances of processes and engines of several software versions overlap.
//! See [`soak`] for its seeds.

use std::{net, sync::atomic, thread, time};

use crate::{
    fleet::{Fleet, Process},
    soak::{self, Random},
    standin::engine::{Behavior, Engine},
    versions::{EVENTS, Stream, mixed_fleet},
};

/// How long the disturbances of one run follow each other.
const SOAK_TIME: time::Duration = time::Duration::from_secs(8);

/// Callers that take their streams up until they are complete.
const SOAK_CALLERS: u64 = 12;

/// How often such a caller takes one stream up.
const MAX_TAKE_UPS: usize = 5;

/// Streams of callers that leave now and then, and take each stream up at a random entry process.
fn call(
    entries: &[net::SocketAddrV4],
    caller: u64,
    seed: u64,
    is_over: &atomic::AtomicBool,
) -> Vec<Stream> {
    let mut random = Random(seed * 1_000 + caller + 1);
    let mut streams = Vec::new();
    while !is_over.load(atomic::Ordering::Relaxed) {
        let mut stream = Stream::new(format!("soak-{caller}-{}", streams.len()));
        while !stream.is_complete && stream.attempts <= MAX_TAKE_UPS {
            let until = stream.last + 1 + u32::try_from(random.below(60)).expect("small");
            stream.attempt(entries[random.below(entries.len())], until);
            thread::sleep(random.millis(5, 100));
        }
        streams.push(stream);
    }
    streams
}

/// One random disturbance. Those of entry processes overlap: one that was told to stop is started again later.
fn disturb_at_random(
    fleet: &mut Fleet,
    engines: &mut Vec<Engine>,
    stopping: &mut Vec<usize>,
    random: &mut Random,
) {
    let entry = random.below(fleet.entries.len());
    match random.below(7) {
        0 if !stopping.contains(&entry) => {
            fleet.entries[entry].kill();
            thread::sleep(random.millis(0, 300));
            fleet.entries[entry].start();
        }
        1 if stopping.is_empty() => {
            fleet.entries[entry].signal("TERM");
            stopping.push(entry);
        }
        6 => {
            let running = |(entry, process)| (!stopping.contains(&entry)).then_some(process);
            let all = fleet.entries.iter_mut().enumerate().filter_map(running);
            let mut all: Vec<_> = all.collect();
            for process in &mut all {
                process.kill();
            }
            thread::sleep(random.millis(0, 300));
            for process in &mut all {
                process.start();
            }
        }
        2 => engines[random.below(engines.len())].crash(),
        3 => {
            let control = random.below(fleet.control.len());
            fleet.control[control].kill();
            fleet.control[control].start();
        }
        4 if engines.len() < 9 => {
            let at = u8::try_from(engines.len()).expect("small");
            let version = ["v1", "v2", "v3"][random.below(3)];
            let id = format!("e{}", at + 1);
            let engine = fleet.engine_of_version(version, &id, "engines", 40 + at, &["m1"]);
            engine.set_behavior(Behavior::Streams(EVENTS));
            engines.push(engine);
        }
        _ => engines[random.below(engines.len())].set_behavior(Behavior::CutsOnce(EVENTS / 2)),
    }
    stopping.retain(|entry| {
        let process = &mut fleet.entries[*entry];
        let is_running = process.runs();
        if !is_running {
            process.wait();
            process.start();
        }
        is_running
    });
}

/// Guards against streams that are joined of two versions while processes are killed one by one or together, stopped and
/// restarted, engines crash, cut streams and start with other versions, and callers leave, all at once.
#[test]
fn no_stream_is_joined_of_two_versions_while_disturbances_overlap() {
    for seed in soak::seeds(1) {
        let (mut fleet, mut engines) = mixed_fleet(4);
        let entries: Vec<_> = fleet.entries.iter().map(Process::address).collect();
        let is_over = atomic::AtomicBool::new(false);
        let streams: Vec<Stream> = thread::scope(|scope| {
            let (entries, is_over) = (&entries, &is_over);
            let callers: Vec<_> = (0..SOAK_CALLERS)
                .map(|caller| scope.spawn(move || call(entries, caller, seed, is_over)))
                .collect();
            let (mut random, mut stopping) = (Random(seed), Vec::new());
            let until = time::Instant::now() + SOAK_TIME;
            while time::Instant::now() < until {
                disturb_at_random(&mut fleet, &mut engines, &mut stopping, &mut random);
                thread::sleep(random.millis(100, 400));
            }
            is_over.store(true, atomic::Ordering::Relaxed);
            let streams = callers.into_iter().map(|it| it.join().expect("it ends"));
            streams.flatten().collect()
        });
        let count = |is: &dyn Fn(&&Stream) -> bool| streams.iter().filter(is).count();
        let joined = count(&|it| it.versions.len() > 1);
        let taken_up = count(&|it| it.last > 0 && it.attempts > 1);
        let went_on = count(&|it| it.is_complete && it.attempts > 1);
        println!(
            "seed {seed}: {joined} joined, {went_on} of {taken_up} taken up went on, {} streams",
            streams.len()
        );
        assert_eq!(joined, 0, "seed {seed}");
        assert!(went_on * 2 >= taken_up, "seed {seed}");
    }
}
