//! Requests at many entry processes wait in one queue, which the coordinator of their model keeps.

use std::{process, sync::atomic, thread};

use crate::{
    fleet::Fleet,
    standin::{
        Message,
        caller::Request,
        engine::{Behavior, Engine},
        operator::{self, config_with},
    },
};

/// Models have coordinators from 13 entry processes on.
const ENTRIES: u8 = 14;

const ENABLED: &str = "[shared_queue]\nenabled = true\n";

/// Prompts that fill most of an engine's limit of pending prefill, so that no two of them go to one engine at once.
const LINES: &str = "Model: m1\r\nToken-Usage: 6000,10\r\n";

const REQUESTS: usize = 12;

fn ask(fleet: &Fleet, entry: usize, id: &str) -> u16 {
    let request = Request {
        model: None,
        lines: LINES,
        ..Request::new("GET", "/stream/x", id)
    };
    fleet.ask(entry, &request).map_or(0, |it| it.status())
}

/// The entry process that the log of another one names as coordinator in a grant.
fn coordinator(fleet: &Fleet) -> Option<usize> {
    let granted = fleet.logs();
    let mut granted = granted
        .lines()
        .filter(|it| it.contains("request granted an engine by its queue"));
    let line = granted.next()?;
    let names = |ip: &str| line.contains(&format!("\"{ip}\""));
    fleet
        .entries
        .iter()
        .position(|it| names(&it.ip.to_string()))
}

/// Guards against requests that are lost, refused or run twice when the coordinator that queues them is killed. With
/// the queue at work, requests of 13 processes wait at a fourteenth, which dies while they do.
#[test]
fn requests_in_a_queue_outlive_its_coordinator() {
    let (mut fleet, engines) = Fleet::many_ready(ENTRIES, ENABLED);
    for entry in 0..fleet.entries.len() {
        assert_eq!(ask(&fleet, entry, &format!("warm-{entry}")), 200);
    }
    shows_queue(&fleet, "warm-0");
    let lost = coordinator(&fleet).expect("a coordinator has granted an engine");
    let mut victim = fleet.entries.remove(lost);
    let entries = fleet.entries.len();
    let done = atomic::AtomicUsize::new(0);
    let (fleet, done) = (&fleet, &done);
    thread::scope(|scope| {
        for entry in 0..entries {
            scope.spawn(move || {
                for number in 0..REQUESTS {
                    let id = format!("q-{entry}-{number}");
                    assert_eq!(ask(fleet, entry, &id), 200, "{id}");
                    done.fetch_add(1, atomic::Ordering::Relaxed);
                }
            });
        }
        fleet.until("a third of the requests are answered", || {
            done.load(atomic::Ordering::Relaxed) > entries * REQUESTS / 3
        });
        victim.kill();
    });
    each_ran_once(&engines, entries);
}

fn each_ran_once(engines: &[Engine], entries: usize) {
    for entry in 0..entries {
        for number in 0..REQUESTS {
            let id = format!("q-{entry}-{number}");
            let runs: usize = engines.iter().map(|it| it.runs(&id)).sum();
            assert_eq!(runs, 1, "{id}");
        }
    }
}

/// Guards against requests that are lost or run twice while only some entry processes have the shared queue enabled:
/// holders with it poll coordinators without it, and are polled by holders without it as coordinators.
#[test]
fn entry_processes_with_and_without_the_shared_queue_work_together() {
    let (mut fleet, engines) = Fleet::many_ready(ENTRIES, ENABLED);
    for entry in fleet.entries.iter_mut().step_by(2) {
        entry.restart_with("enabled = true", "enabled = false");
    }
    for entry in 0..fleet.entries.len() {
        fleet.until("an entry process serves", || {
            ask(&fleet, entry, "again") == 200
        });
    }
    let fleet = &fleet;
    thread::scope(|scope| {
        for entry in 0..fleet.entries.len() {
            scope.spawn(move || {
                for number in 0..REQUESTS {
                    let id = format!("q-{entry}-{number}");
                    assert_eq!(ask(fleet, entry, &id), 200, "{id}");
                }
            });
        }
    });
    each_ran_once(&engines, fleet.entries.len());
}

/// What operators see of a request that was granted an engine by a queue.
fn shows_queue(fleet: &Fleet, id: &str) {
    let run = |command: &[&str]| {
        let mut all = process::Command::new(env!("CARGO_BIN_EXE_sageshed"));
        all.args(command);
        for entry in &fleet.entries {
            all.args(["--entry", &entry.metrics().to_string()]);
        }
        let out = crate::fleet::output(&mut all);
        String::from_utf8_lossy(&out.stdout).into_owned()
    };
    let trace = run(&["explain", id]);
    assert!(trace.contains("queries, granted"), "{trace}");
    let status = run(&["status"]);
    assert!(status.contains("model m1"), "{status}");
    let mut metrics = fleet.entries.iter().map(|it| {
        let answer = operator::call(it.metrics(), "GET", "/metrics", "");
        answer.expect("the metrics").text()
    });
    let granted = "sageshed_gateway_queue_grants{outcome=\"given\"";
    assert!(metrics.any(|it| it.contains(granted)));
}

/// Adds a route whose callers abandon a stream after two seconds, and whose deadline is later.
fn add_quick_route(fleet: &Fleet) {
    fleet.replace(&config_with(
        11,
        r#"{"name":"quick","host":"a.example","path_prefix":"/stream/quick/","kind":"streaming","timeout_ms":60000,"latency_target_ms":100,"priority":1,"service":"engines","attempts":1,"resumable":false},"#,
    ));
    fleet.until("the configuration is in force", || {
        let answer = fleet.ask(0, &Request::new("GET", "/stream/quick/x", "known"));
        answer.is_some() && fleet.logs().contains("\"route\":\"quick\"")
    });
}

/// A request whose prompt takes three seconds, from a caller that gives up after two. Guards against sending or holding
/// it: with a deadline of a minute it could be answered in time, and nobody would read the answer.
#[test]
fn a_request_that_could_only_begin_after_its_caller_has_left_is_refused() {
    let (fleet, engines) = Fleet::ready_with(ENABLED);
    add_quick_route(&fleet);
    let request = Request {
        model: None,
        lines: "Model: m1\r\nToken-Usage: 60000,10\r\n",
        deadline_ms: 60_000,
        ..Request::new("GET", "/stream/quick/x", "long-1")
    };
    let answer = fleet.ask(0, &request).expect("an answer");
    assert_eq!(answer.status(), 503, "{}", answer.text());
    assert!(answer.header("retry-after").is_some());
    assert!(engines.iter().all(|it| it.runs("long-1") == 0));
}

/// Guards against work for a stream that nobody reads any more: the caller has left after the time that the route
/// states, and the engine would go on until the deadline.
#[test]
fn a_stream_that_is_silent_for_as_long_as_its_caller_waits_ends() {
    let (fleet, engines) = Fleet::ready_with(ENABLED);
    add_quick_route(&fleet);
    for (name, behavior) in [
        ("first", Behavior::Hangs),
        ("next", Behavior::HangsAfter(2)),
    ] {
        for engine in &engines {
            engine.set_behavior(behavior);
        }
        let request = Request {
            deadline_ms: 60_000,
            ..Request::new("GET", "/stream/quick/x", name)
        };
        let answer = fleet.ask(0, &request);
        // Not 503, which promises that it has not run.
        let is_cut = |it: &Message| !it.whole || it.status() == 504;
        assert!(answer.is_none_or(|it| is_cut(&it)), "{name}");
        fleet.until("the engine sees that its work is in vain", || {
            let mut logs = engines.iter();
            logs.any(|it| it.log(|log| log.abandoned.iter().any(|id| id == name)))
        });
        // The stand-in of the caller waits for longer than the route states, so it has not left by itself.
        fleet.until("the log says why the stream ended", || {
            let log = fleet.logs();
            let mut lines = log.lines().filter(|it| it.contains("caller left"));
            lines
                .any(|it| it.contains(&format!("\"{name}\"")) && it.contains("\"silent\":\"true\""))
        });
    }
}
