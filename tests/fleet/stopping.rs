//! Shutdown of entry processes, and signals.

use std::sync::{Arc, atomic};
use std::{thread, time};

use crate::{
    fleet::{Fleet, Process},
    standin::{
        Message,
        caller::{Caller, Request},
        engine::{Behavior, Engine, event},
        operator,
    },
};

/// Guards against responses that are cut off when an entry process stops while callers use keep-alive connections. Each
/// accepted request gets a complete response, and callers are moved elsewhere by `Connection: close`.
#[test]
fn a_stopping_entry_process_cuts_nothing() {
    let (mut fleet, engines) = Fleet::ready();
    for engine in &engines {
        engine.set_behavior(Behavior::Streams(40));
    }
    let address = fleet.entries[0].address();
    let stop = Arc::new(atomic::AtomicBool::new(false));
    let callers: Vec<_> = (0..4)
        .map(|caller| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || {
                let mut cut = Vec::new();
                let mut number = 0;
                while !stop.load(atomic::Ordering::SeqCst) {
                    let Ok(mut kept) = Caller::connect(address) else {
                        return cut;
                    };
                    loop {
                        number += 1;
                        let id = format!("c{caller}-{number}");
                        let ask = Request::new("POST", "/stream/x", &id);
                        let Ok(Some(answer)) = kept.request(&ask) else {
                            break;
                        };
                        if !answer.whole {
                            cut.push(id);
                        }
                        if answer.header("connection") == Some("close") {
                            break;
                        }
                    }
                }
                cut
            })
        })
        .collect();
    fleet.until("all callers are served", || {
        engines
            .iter()
            .map(|it| it.log(|log| log.ran.len()))
            .sum::<usize>()
            > 12
    });
    fleet.entries[0].signal("TERM");
    fleet.until("the balancer is told", || fleet.entries[0].ready() != 200);
    let status = fleet.entries[0].wait();
    stop.store(true, atomic::Ordering::SeqCst);
    for caller in callers {
        assert_eq!(caller.join().expect("it asked"), Vec::<String>::new());
    }
    assert!(status.success());
    // The last record must reach the log, which otherwise would not distinguish a stop from a crash.
    let log = fleet.entries[0].log();
    assert!(
        log.contains("\"stopped\""),
        "the log ends without a word of the stop"
    );
}

/// Guards against cutting off a request that follows on the connection of a stream which started before the stop and
/// ends after the notice period. It gets a complete response that states that it has not run.
#[test]
fn a_request_behind_a_stream_that_outlives_the_notice_is_answered() {
    let (mut fleet, engines) = Fleet::ready();
    for engine in &engines {
        engine.set_behavior(Behavior::Streams(400));
    }
    let mut caller = Caller::connect(fleet.entries[0].address()).expect("a connection");
    caller
        .send(&Request::new("POST", "/stream/x", "long"))
        .expect("sent");
    // The head of the response announces keep-alive.
    assert!(caller.stream.peek(&mut [0]).expect("its head") > 0);
    fleet.entries[0].signal("TERM");
    caller
        .send(&Request::new("POST", "/stream/x", "behind"))
        .expect("sent");
    let long = caller.answer().expect("an answer").expect("whole");
    assert!(long.whole);
    let behind = caller.answer().expect("an answer").expect("not cut");
    assert_eq!(behind.status(), 503);
    assert!(behind.whole);
    assert_eq!(engines.iter().map(|it| it.runs("behind")).sum::<usize>(), 0);
    assert!(fleet.entries[0].wait().success());
}

/// Guards against a process that ends on SIGHUP, which operators send after a change of the settings file.
#[test]
fn a_hangup_ends_no_process() {
    let (mut fleet, _engines) = Fleet::ready();
    for process in fleet.control.iter().chain(&fleet.entries) {
        process.signal("HUP");
    }
    let answer = fleet.ask(0, &Request::new("GET", "/again/x", "after"));
    assert_eq!(answer.expect("an answer").status(), 200);
    let mut processes = fleet.control.iter_mut().chain(&mut fleet.entries);
    assert!(processes.all(Process::runs));
}

/// Guards against a waiting request whose connection is cut when the process stops. It waits for a model that no engine
/// has room for, with much time left; before the process exits, its caller has to be told that the request was not run
/// and may be retried elsewhere.
#[test]
fn a_request_that_waits_is_sent_elsewhere_before_the_process_ends() {
    let (mut fleet, _engines) = Fleet::ready();
    let route = r#"{"name":"late","host":"a.example","path_prefix":"/late/","kind":"streaming","timeout_ms":60000,"latency_target_ms":30000,"priority":1,"service":"engines","attempts":1,"resumable":false},"#;
    let large = r#""models":[{"name":"m9","weights_mb":5000.0,"load_s":20.0,"adapters":0,"adapter_mb":10.0},"#;
    let config = operator::config_with(11, route).replace("\"models\":[", large);
    fleet.replace(&config);
    fleet.until("the route is in force", || {
        let answer = fleet.ask(0, &Request::new("POST", "/late/stream", "held"));
        answer.is_some_and(|it| it.status() == 200)
    });
    let address = fleet.entries[0].address();
    let waits = thread::spawn(move || {
        let ask = Request {
            model: Some("m9"),
            deadline_ms: 60_000,
            ..Request::new("POST", "/late/x", "waits")
        };
        let mut caller = Caller::connect(address).expect("a connection");
        caller.request(&ask)
    });
    let metrics = fleet.entries[0].metrics();
    fleet.until("the request waits", || {
        let figures = operator::call(metrics, "GET", "/metrics", "");
        let waits = |it: &str| it.starts_with("sageshed_gateway_waiting") && it.ends_with(" 1");
        figures.is_ok_and(|it| it.text().lines().any(waits))
    });
    fleet.entries[0].signal("TERM");
    let answer = waits.join().expect("it asked");
    let answer = answer
        .expect("the connection is not cut")
        .expect("an answer");
    assert_eq!(answer.status(), 503, "{}", answer.text());
    assert!(answer.whole);
    assert!(fleet.entries[0].wait().success());
}

/// The time for which an engine that is in order says nothing, longer than an entry process leaves a stream with it.
const SILENCE: time::Duration = time::Duration::from_millis(1_500);

/// The notice period of the processes that are stopped here, within their grace period of six seconds.
const LONG_NOTICE: &str = "notice_ms = 3000";

/// A fleet whose first entry process has [`LONG_NOTICE`], and serves.
fn with_long_notice() -> (Fleet, Vec<Engine>) {
    let (mut fleet, engines) = Fleet::ready();
    fleet.entries[0].restart_with("notice_ms = 800", LONG_NOTICE);
    for path in ["/stream/x", "/again/x"] {
        fleet.until("the entry process serves", || {
            let answer = fleet.ask(0, &Request::new("GET", path, "again"));
            answer.is_some_and(|it| it.status() == 200)
        });
    }
    (fleet, engines)
}

/// Sends a resumable stream to the first entry process from a thread.
fn stream(fleet: &Fleet, id: &'static str) -> thread::JoinHandle<Option<Message>> {
    let address = fleet.entries[0].address();
    thread::spawn(move || {
        let mut caller = Caller::connect(address).expect("a connection");
        let ask = Request::new("POST", "/resumable/x", id);
        caller
            .request(&ask)
            .expect("a connection that is not reset")
    })
}

fn events(count: u32) -> String {
    (1..=count).map(event).collect()
}

/// Guards against refusing requests in the notice period. The stopping process no longer calls control processes, so
/// that after a second its endpoint records were out of date, and it sent nothing any more.
#[test]
fn requests_are_served_until_the_end_of_the_notice_period() {
    let (mut fleet, _engines) = with_long_notice();
    fleet.entries[0].signal("TERM");
    let told = time::Instant::now();
    let mut statuses = Vec::new();
    while told.elapsed() < time::Duration::from_millis(2_500) {
        let answer = fleet.ask(0, &Request::new("GET", "/again/x", "in time"));
        statuses.push((told.elapsed(), answer.map_or(0, |it| it.status())));
        thread::sleep(time::Duration::from_millis(50));
    }
    statuses.retain(|it| it.1 != 200);
    assert!(statuses.is_empty(), "{statuses:?}");
    assert!(fleet.entries[0].wait().success());
}

/// Guards against refusing requests in the notice period since a newer configuration is known. The stopping process no
/// longer fetched configurations.
#[test]
fn a_stopping_process_puts_a_newer_configuration_in_force() {
    let (mut fleet, _engines) = with_long_notice();
    fleet.entries[0].signal("TERM");
    fleet.until("the balancer is told", || fleet.entries[0].ready() != 200);
    let route = r#"{"name":"new","host":"a.example","path_prefix":"/new/","kind":"idempotent","timeout_ms":8000,"latency_target_ms":1000,"priority":1,"service":"plain","attempts":1,"resumable":false},"#;
    fleet.replace(&operator::config_with(11, route));
    fleet.until("the new route is in force", || {
        let answer = fleet.ask(0, &Request::new("GET", "/new/x", "new"));
        answer.is_some_and(|it| it.status() == 200)
    });
    assert!(fleet.entries[0].runs());
}

/// Guards against entry processes that ask a stopping one as a coordinator until it exits, since it goes on watching
/// control processes.
#[test]
fn a_stopping_process_leaves_the_list_of_entry_processes() {
    let (mut fleet, _engines) = with_long_notice();
    let other = fleet.entries[1].metrics();
    let listed = |count: &str| {
        let figures = operator::call(other, "GET", "/metrics", "");
        let is_count = |it: &str| it.starts_with("sageshed_gateway_entries") && it.ends_with(count);
        figures.is_ok_and(|it| it.text().lines().any(is_count))
    };
    fleet.until("both are listed", || listed(" 2"));
    fleet.entries[0].signal("TERM");
    fleet.until("one is listed", || listed(" 1"));
    assert!(fleet.entries[0].runs());
}

/// Has a stream run at an engine that pauses after `count` events, and stops the entry process once it has begun. The
/// caller has to get all events.
fn check_stream_across_a_stop(id: &'static str, count: u32) {
    let (mut fleet, engines) = with_long_notice();
    for engine in &engines[..2] {
        engine.set_behavior(Behavior::PausesFor(count, SILENCE));
    }
    let streams = stream(&fleet, id);
    fleet.until("the stream runs", || {
        engines.iter().any(|it| it.runs(id) == 1)
    });
    fleet.entries[0].signal("TERM");
    let answer = streams.join().expect("it asked").expect("an answer");
    assert!(
        answer.whole,
        "cut after: {:?}",
        answer.text().lines().last()
    );
    assert_eq!(answer.text(), events(count + 1));
    assert!(fleet.entries[0].wait().success());
}

/// Guards against cutting a stream whose engine falls silent for a while, in a process that was told to stop longer ago
/// than endpoint records are used. The stream was left for another engine, and then not sent to that.
#[test]
fn a_stream_whose_engine_pauses_goes_on_in_a_stopping_process() {
    check_stream_across_a_stop("pauses", 300);
}

/// Guards against cutting a stream whose engine falls silent for a while when the process is about to exit. The stream
/// was left for another engine though the process sends nothing any more from 3.6 s after the signal on.
#[test]
fn a_stream_whose_engine_pauses_is_not_left_by_a_process_that_is_about_to_exit() {
    check_stream_across_a_stop("late", 560);
}

/// Routes with more time than a process has from the signal to its exit.
const LONG_ROUTES: &str = r#"{"name":"long-once","host":"a.example","path_prefix":"/long-once/","kind":"non_idempotent","timeout_ms":60000,"latency_target_ms":30000,"priority":1,"service":"plain","attempts":1},
{"name":"long-again","host":"a.example","path_prefix":"/long-again/","kind":"idempotent","timeout_ms":60000,"latency_target_ms":30000,"priority":1,"service":"plain","attempts":2},
{"name":"long-stream","host":"a.example","path_prefix":"/long-stream/","kind":"streaming","timeout_ms":60000,"latency_target_ms":30000,"priority":1,"service":"engines","attempts":1,"resumable":false},"#;

/// A fleet with [`LONG_ROUTES`].
pub fn with_long_routes() -> (Fleet, Vec<Engine>) {
    let (fleet, engines) = Fleet::ready();
    fleet.replace(&operator::config_with(11, LONG_ROUTES));
    fleet.until("the routes are in force", || {
        let answer = fleet.ask(0, &Request::new("GET", "/long-once/x", "look"));
        answer.is_some_and(|it| it.status() == 200)
    });
    (fleet, engines)
}

/// Sends a request to the first entry process from a thread, and waits until an endpoint runs it.
fn run_long(
    fleet: &Fleet,
    engines: &[Engine],
    path: &'static str,
    id: &'static str,
) -> thread::JoinHandle<Option<Message>> {
    let address = fleet.entries[0].address();
    let asks = thread::spawn(move || {
        let mut caller = Caller::connect(address).expect("a connection");
        let ask = Request {
            deadline_ms: 60_000,
            ..Request::new("POST", path, id)
        };
        caller
            .request(&ask)
            .expect("a connection that is not reset")
    });
    fleet.until("it runs", || engines.iter().any(|it| it.runs(id) == 1));
    asks
}

/// The log line of a refused request, as text.
fn refusal_line(log: &str, id: &str) -> Option<String> {
    let of_request = format!("\"request\":\"{id}\"");
    let mut lines = log.lines();
    let line =
        lines.find(|it| it.contains(&of_request) && it.contains("\"message\":\"request refused\""));
    line.map(str::to_owned)
}

/// Guards against connections that are closed with nothing when the process exits, and with no log line that names the
/// request. An endpoint that never answers had the request until then, so its caller has to be told that it may have
/// run.
#[test]
fn requests_that_no_endpoint_answers_are_refused_before_the_process_exits() {
    let (mut fleet, engines) = with_long_routes();
    for engine in &engines[2..] {
        engine.set_behavior(Behavior::Hangs);
    }
    let asked = [
        ("once", run_long(&fleet, &engines, "/long-once/x", "once")),
        (
            "again",
            run_long(&fleet, &engines, "/long-again/x", "again"),
        ),
    ];
    fleet.entries[0].signal("TERM");
    for (id, asks) in asked {
        let answer = asks.join().expect("it asked");
        let answer = answer.unwrap_or_else(|| panic!("{id}: closed with nothing"));
        assert_eq!(answer.status(), 502, "{id}: {}", answer.text());
        assert!(answer.whole, "{id}");
    }
    assert!(fleet.entries[0].wait().success());
    let log = fleet.entries[0].log();
    for id in ["once", "again"] {
        assert!(refusal_line(&log, id).is_some(), "no line names {id}");
    }
    assert!(log.contains("\"stopped\""), "it did not stop by itself");
}

/// Guards against streams that are cut when the process exits with no log line that names them, whether their engine is
/// silent or sends events without a pause.
#[test]
fn streams_that_are_cut_at_the_exit_are_logged() {
    let (mut fleet, engines) = with_long_routes();
    let mut asked = Vec::new();
    for (id, behavior) in [
        ("silent", Behavior::HangsAfter(3)),
        ("busy", Behavior::Streams(4_000)),
    ] {
        for engine in &engines[..2] {
            engine.set_behavior(behavior);
        }
        asked.push((id, run_long(&fleet, &engines, "/long-stream/x", id)));
    }
    fleet.entries[0].signal("TERM");
    for (id, asks) in asked {
        let answer = asks.join().expect("it asked").expect("it began");
        assert!(!answer.whole, "{id}");
    }
    assert!(fleet.entries[0].wait().success());
    let log = fleet.entries[0].log();
    for id in ["silent", "busy"] {
        let line = refusal_line(&log, id).unwrap_or_else(|| panic!("no line names {id}"));
        assert!(line.contains("\"begun\":\"true\""), "{line}");
    }
}

/// Guards against refusing a request whose endpoint answers late, but before the process exits.
#[test]
fn a_response_that_comes_shortly_before_the_exit_is_passed_on() {
    let (mut fleet, engines) = with_long_routes();
    for engine in &engines[2..] {
        engine.set_behavior(Behavior::AnswersAfter(time::Duration::from_millis(4_500)));
    }
    let asks = run_long(&fleet, &engines, "/long-once/x", "late");
    fleet.entries[0].signal("TERM");
    let answer = asks.join().expect("it asked").expect("an answer");
    assert_eq!(answer.status(), 200, "{}", answer.text());
    assert!(answer.whole);
    assert!(fleet.entries[0].wait().success());
}
