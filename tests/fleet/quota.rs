//! Quotas of workspaces, which hold over all entry processes together and do not affect other workspaces.

use std::{net, sync, thread, time};

use crate::{
    fleet::Fleet,
    standin::{
        caller::{Caller, Request},
        engine::{Behavior, Engine, event},
        operator,
    },
};

/// The headers with the API keys of the workspace with a quota (`dug`) and of the one without (`pipe`).
const DUG: &str = "Authorization: Bearer kdug5f1a0c77\r\n";
const PIPE: &str = "Authorization: Bearer kpipe83c6ab0\r\n";

/// The quota of `dug`.
struct Quota {
    per_s: u32,
    burst: u32,
    unit: &'static str,
}

const IN_REQUESTS: Quota = Quota {
    per_s: 4,
    burst: 4,
    unit: "request",
};

/// A request of the stand-in for a model declares 110 tokens; one that declares none counts as 50.
const IN_TOKENS: Quota = Quota {
    per_s: 440,
    burst: 440,
    unit: "token_stream",
};

fn config(version: u64, quota: &Quota) -> String {
    let Quota { per_s, burst, unit } = quota;
    let limited = format!(
        r#"{{"name":"dug","api_keys":["kdug5f1a0c77"],"unit":"{unit}","uncached_tokens":50,"rate_per_s":{per_s},"burst":{burst}}}"#
    );
    let list = format!(
        "[{limited},{}]",
        operator::workspace("pipe", &["kpipe83c6ab0"])
    );
    operator::with_workspaces(&operator::config(version), &list)
}

/// Starts a fleet of three entry processes with the quota in force, and its endpoints.
fn fleet(quota: &Quota) -> (Fleet, Vec<Engine>) {
    fleet_of(3, quota)
}

/// The same with this number of entry processes.
fn fleet_of(entries: u8, quota: &Quota) -> (Fleet, Vec<Engine>) {
    let fleet = Fleet::start(3, entries);
    fleet.replace(&config(20, quota));
    let engines = vec![
        fleet.engine("e1", "engines", 31, &["m1"]),
        fleet.engine("p1", "plain", 33, &[]),
    ];
    for entry in 0..fleet.entries.len() {
        for path in ["/again/x", "/stream/x"] {
            fleet.until("an entry process serves", || {
                status(&fleet, entry, path, "look", PIPE) == 200
            });
        }
        fleet.until("an entry process knows of quotas", || {
            status(&fleet, entry, "/again/x", "look", DUG) == 200
        });
    }
    (fleet, engines)
}

fn status(fleet: &Fleet, entry: usize, path: &str, id: &str, lines: &str) -> u16 {
    let ask = Request {
        lines,
        ..Request::new("GET", path, id)
    };
    fleet.ask(entry, &ask).map_or(0, |it| it.status())
}

fn runs_of(engines: &[Engine], prefix: &str) -> usize {
    let runs = engines.iter().map(|engine| {
        engine.log(|log| {
            let of = |id: Option<&str>| id.is_some_and(|it| it.starts_with(prefix));
            log.ran
                .iter()
                .filter(|it| of(it.header("attempt-id")))
                .count()
        })
    });
    runs.sum()
}

/// The interval between two requests of a caller that exceeds the quota.
const REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(40);

/// Sends `each` requests to every entry process, to all of them at once. Returns the statuses and the time taken.
fn flood(fleet: &Fleet, path: &str, prefix: &str, each: usize) -> (Vec<u16>, time::Duration) {
    let began = time::Instant::now();
    let statuses = thread::scope(|scope| {
        let callers: Vec<_> = (0..fleet.entries.len())
            .map(|entry| {
                scope.spawn(move || {
                    let ask = |at| {
                        thread::sleep(REQUEST_INTERVAL);
                        status(fleet, entry, path, &format!("{prefix}-{entry}-{at}"), DUG)
                    };
                    (0..each).map(ask).collect::<Vec<_>>()
                })
            })
            .collect();
        callers
            .into_iter()
            .flat_map(|it| it.join().expect("a thread"))
            .collect()
    });
    (statuses, began.elapsed())
}

/// The most requests that may have been admitted in the time `took`: what the rate yields in it and in one more second,
/// which a restart may grant, and the burst.
fn max_admitted(quota: &Quota, per_request: f64, took: time::Duration) -> f64 {
    let grown = f64::from(quota.per_s) * (took.as_secs_f64() + 1.0);
    ((grown + f64::from(quota.burst)) / per_request).ceil()
}

/// Guards against a workspace that gets more than its quota by sending to all entry processes at once. The excess is
/// refused with a `Retry-After` and has not run, and the other workspace is not affected.
#[test]
fn a_workspace_gets_its_quota_over_all_entry_processes_together() {
    for (quota, path, per_request) in [
        (IN_REQUESTS, "/again/x", 1.0),
        (IN_TOKENS, "/again/x", 50.0),
        (IN_TOKENS, "/stream/x", 110.0),
    ] {
        let (fleet, engines) = fleet(&quota);
        let (statuses, took) = flood(&fleet, path, "dug", 60);
        let allowed = statuses.iter().filter(|it| **it == 200).count();
        assert!(
            statuses.iter().all(|it| matches!(it, 200 | 429)),
            "{statuses:?}"
        );
        assert!(allowed > 0, "{statuses:?}");
        assert!(
            allowed as f64 <= max_admitted(&quota, per_request, took),
            "{allowed} in {took:?}"
        );
        assert_eq!(
            runs_of(&engines, "dug"),
            allowed,
            "what was refused has not run"
        );
        for entry in 0..3 {
            assert_eq!(status(&fleet, entry, path, "other", PIPE), 200);
        }
        let ask = Request {
            lines: DUG,
            ..Request::new("GET", path, "told")
        };
        fleet.until("it is over its quota", || {
            let answer = fleet.ask(0, &ask).expect("an answer");
            let after = answer.header("retry-after").map(str::to_owned);
            assert_eq!(after.is_some(), answer.status() == 429, "{after:?}");
            answer.status() == 429 && answer.text().contains("the quota of workspace dug")
        });
    }
}

/// Guards against a quota that is granted several times when the entry processes that keep its state are killed or
/// suspended one after the other while a workspace exceeds it.
#[test]
fn a_quota_holds_while_entry_processes_are_killed_and_stand_still() {
    let (mut fleet, engines) = fleet(&IN_REQUESTS);
    let began = time::Instant::now();
    for round in 0..6 {
        let at = round % 3;
        if round % 2 == 0 {
            fleet.entries[at].kill();
            fleet.entries[at].start();
        } else {
            fleet.entries[at].signal("STOP");
        }
        let alive = (at + 1) % 3;
        for request in 0..40 {
            let id = format!("dug-{round}-{request}");
            let status = status(&fleet, alive, "/again/x", &id, DUG);
            assert!(matches!(status, 200 | 429 | 503), "{status}");
        }
        if round % 2 == 1 {
            fleet.entries[at].signal("CONT");
        }
    }
    let took = began.elapsed();
    let runs = runs_of(&engines, "dug-");
    // A process that starts may grant what one second yields, and three are killed.
    let allowed = max_admitted(&IN_REQUESTS, 1.0, took) + 3.0 * f64::from(IN_REQUESTS.per_s);
    assert!(runs as f64 <= allowed, "{runs} ran in {took:?}");
    fleet.until("the workspace is served again", || {
        status(&fleet, 0, "/again/x", "after", DUG) == 200
    });
}

/// Guards against charging the quota for requests that an endpoint has rejected without running them. A request that
/// failed after it may have run is charged.
#[test]
fn what_has_not_run_is_given_back() {
    let (fleet, engines) = fleet(&Quota {
        per_s: 1,
        burst: 20,
        unit: "request",
    });
    thread::sleep(REFILL_TIME);
    engines[1].set_behavior(Behavior::Rejects);
    for at in 0..60 {
        let status = status(&fleet, at % 3, "/once/x", &format!("rejected-{at}"), DUG);
        assert_eq!(status, 503, "it was not run, and takes nothing: {at}");
    }
    engines[1].set_behavior(Behavior::Fails(500));
    let mut statuses = Vec::new();
    for at in 0..60 {
        statuses.push(status(
            &fleet,
            at % 3,
            "/once/x",
            &format!("failed-{at}"),
            DUG,
        ));
    }
    assert!(
        statuses.contains(&429),
        "what has run is charged: {statuses:?}"
    );
}

/// Guards against charging the quota for a request whose caller disconnects while it waits for an engine.
#[test]
fn a_caller_that_leaves_while_it_waits_is_not_charged() {
    let fleet = Fleet::start(3, 1);
    fleet.replace(&config(
        20,
        &Quota {
            per_s: 1,
            burst: 8,
            unit: "request",
        },
    ));
    let plain = fleet.engine("p1", "plain", 33, &[]);
    fleet.until("it serves", || {
        status(&fleet, 0, "/again/x", "look", DUG) == 200
    });
    thread::sleep(REFILL_TIME);
    let address = fleet.entries[0].address();
    for at in 0..40 {
        let id = format!("left-{at}");
        let mut caller = connect(address);
        let ask = Request {
            lines: DUG,
            ..Request::new("POST", "/stream/x", &id)
        };
        caller.send(&ask).expect("it is sent");
        fleet.until("it waits here", || {
            let figures = operator::call(fleet.entries[0].metrics(), "GET", "/metrics", "");
            figures.is_ok_and(|it| {
                it.text()
                    .contains("sageshed_gateway_waiting{otel_scope_name=\"sageshed\"} 1")
            })
        });
        drop(caller);
        fleet.until("the process has noticed", || {
            let figures = operator::call(fleet.entries[0].metrics(), "GET", "/metrics", "");
            figures.is_ok_and(|it| {
                it.text()
                    .contains("sageshed_gateway_waiting{otel_scope_name=\"sageshed\"} 0")
            })
        });
    }
    assert_eq!(status(&fleet, 0, "/again/x", "after", DUG), 200);
    assert_eq!(plain.runs("after"), 1);
}

/// The time in which a quota of one request per second accumulates a few requests.
const REFILL_TIME: time::Duration = time::Duration::from_secs(5);

fn connect(address: net::SocketAddrV4) -> Caller {
    Caller::connect(address).expect("a connection")
}

/// Guards against absurd token declarations that overflow to a free request, or that use up the quota of the workspace.
#[test]
fn a_caller_that_declares_absurd_numbers_is_refused_and_costs_nobody() {
    let (fleet, engines) = fleet(&IN_TOKENS);
    thread::sleep(REFILL_TIME);
    for tokens in [
        "18446744073709551615,1",
        "18446744073709551615,18446744073709551615",
        "9999999,0",
    ] {
        let lines = format!("{DUG}Token-Usage: {tokens}\r\n");
        let ask = Request {
            lines: &lines,
            ..Request::new("GET", "/again/x", "absurd")
        };
        let answer = fleet.ask(0, &ask).expect("an answer");
        assert_eq!(answer.status(), 429, "{tokens}: {}", answer.text());
    }
    assert_eq!(runs_of(&engines, "absurd"), 0);
    assert_eq!(status(&fleet, 1, "/again/x", "after", DUG), 200);
}

/// How long an engine that is in order says nothing: longer than an entry process leaves a stream with it.
const SILENCE: time::Duration = time::Duration::from_millis(1_500);

/// A quota that no test uses up.
const AMPLE: Quota = Quota {
    per_s: 400,
    burst: 400,
    unit: "request",
};

/// A change of the configuration while the engine of a stream that has begun says nothing.
struct Change {
    name: &'static str,
    /// The quota of `dug` from then on; none if there is no such workspace.
    quota: Option<Quota>,
    /// The status of a new request of the workspace that shows that the change is in force.
    then: u16,
}

impl Change {
    fn config(&self, version: u64) -> String {
        if let Some(quota) = &self.quota {
            return config(version, quota);
        }
        let others = format!("[{}]", operator::workspace("pipe", &["kpipe83c6ab0"]));
        operator::with_workspaces(&operator::config(version), &others)
    }

    /// Makes the change beside a stream. Returns what the entry process has logged of the stream last, if it was cut.
    fn cuts_stream(&self) -> Option<String> {
        let (fleet, engines) = fleet(&AMPLE);
        let second = fleet.engine("e2", "engines", 32, &["m1"]);
        engines[0].set_behavior(Behavior::Rejects);
        fleet.until("the second engine serves", || {
            status(&fleet, 0, "/resumable/x", "second", DUG) == 200
        });
        let engines = [&engines[0], &second];
        for engine in engines {
            engine.set_behavior(Behavior::PausesFor(100, SILENCE));
        }
        let mut caller = connect(fleet.entries[0].address());
        let ask = Request {
            lines: DUG,
            ..Request::new("POST", "/resumable/x", "begun")
        };
        caller.send(&ask).expect("it is sent");
        fleet.until("the stream runs", || {
            engines.iter().any(|it| it.runs("begun") == 1)
        });
        fleet.replace(&self.config(21));
        fleet.until("the change is in force", || {
            status(&fleet, 0, "/again/x", "after", DUG) == self.then
        });
        let ended = sync::atomic::AtomicBool::new(false);
        let answer = thread::scope(|scope| {
            // Uses up what a lower quota yields.
            scope.spawn(|| {
                while !ended.load(sync::atomic::Ordering::SeqCst) {
                    status(&fleet, 1, "/again/x", "further", DUG);
                    thread::sleep(REQUEST_INTERVAL);
                }
            });
            let answer = caller.answer();
            ended.store(true, sync::atomic::Ordering::SeqCst);
            answer
        });
        let answer = answer.expect("a response").expect("a head");
        let events: String = (1..=101).map(event).collect();
        if answer.status() == 200 && answer.whole && answer.text() == events {
            return None;
        }
        let log = fleet.entries[0].log();
        let of_stream = |it: &&str| it.contains(r#""request":"begun""#);
        let last = log.lines().rfind(of_stream).unwrap_or_default();
        Some(format!("{}: status {}: {last}", self.name, answer.status()))
    }
}

/// Guards against cutting a stream that has begun by a change of the configuration. Its engine falls silent for a while,
/// and the stream was left for another engine before that was refused by the new quota, or by the revoked key.
#[test]
fn a_stream_that_has_begun_outlives_a_change_of_its_workspace() {
    let lower = Quota {
        per_s: 1,
        burst: 1,
        unit: "request",
    };
    let changes = [
        Change {
            name: "lower quota",
            quota: Some(lower),
            then: 429,
        },
        Change {
            name: "no such workspace",
            quota: None,
            then: 401,
        },
    ];
    let cut: Vec<_> = changes.iter().filter_map(Change::cuts_stream).collect();
    assert!(cut.is_empty(), "{cut:#?}");
}

/// Guards against refusing requests of a workspace with a quota in the notice period of a process that stops. It took
/// no replies of the processes that keep the quota any more.
#[test]
fn a_stopping_process_serves_workspaces_with_quotas() {
    let (fleet, _engines) = fleet_of(8, &AMPLE);
    // Of eight processes, three keep the quota.
    let mut refused = Vec::new();
    for entry in 0..4 {
        fleet.entries[entry].signal("TERM");
        fleet.until("the balancer is told", || {
            fleet.entries[entry].ready() != 200
        });
        for at in 0..4 {
            let id = format!("notice-{entry}-{at}");
            let ask = Request {
                lines: DUG,
                ..Request::new("GET", "/again/x", &id)
            };
            let answer = fleet.ask(entry, &ask).expect("an answer");
            if answer.status() != 200 {
                refused.push((entry, answer.status(), answer.text()));
            }
        }
    }
    assert!(refused.is_empty(), "{refused:#?}");
}
