//! When idle connections may be closed: the decision alone, and a port whose limits change.

mod support;

use std::{
    sync::{self, mpsc},
    thread,
    time::{Duration, Instant},
};

use sageshed_http::{
    idle::{Bounds, Idle, Room},
    limits, server,
};
use support::{Client, PATIENCE, echo, start, wait_for};

const SECOND: Duration = Duration::from_secs(1);

fn bounds(close_after: u32, reuse_within: u32) -> Bounds {
    Bounds {
        close_after: SECOND * close_after,
        reuse_within: SECOND * reuse_within,
    }
}

/// A connection that is idle while the bounds change.
struct Change {
    name: &'static str,
    /// The bounds when it becomes idle, and those that come into force after that, in seconds.
    bounds: &'static [(u32, u32)],
    /// When it is closed, and until when its caller may use it, in seconds since it became idle.
    expected: (u32, u32),
}

const CHANGES: &[Change] = &[
    Change {
        name: "none",
        bounds: &[(15, 12)],
        expected: (15, 12),
    },
    Change {
        name: "raised",
        bounds: &[(15, 12), (40, 32)],
        expected: (40, 32),
    },
    Change {
        name: "lowered",
        bounds: &[(40, 32), (15, 12)],
        expected: (40, 32),
    },
    Change {
        name: "raised and lowered again",
        bounds: &[(15, 12), (40, 32), (5, 4)],
        expected: (40, 32),
    },
    Change {
        name: "longer reuse before an earlier close",
        bounds: &[(20, 0), (15, 12)],
        expected: (20, 12),
    },
];

/// Guards against a connection that is closed before the longest limit that its caller may go by.
#[test]
fn an_idle_connection_keeps_the_longest_bounds() {
    let since = Instant::now();
    for change in CHANGES {
        let mut idle = Idle::new(since, bounds(change.bounds[0].0, change.bounds[0].1));
        for later in &change.bounds[1..] {
            idle.raise(bounds(later.0, later.1));
        }
        let (closed, used) = change.expected;
        assert_eq!(idle.closes_at(), since + SECOND * closed, "{}", change.name);
        let last = since + (SECOND * used).max(SECOND);
        let is_usable = idle.room(last) == Some(Room::Usable(since));
        assert!(is_usable, "{}", change.name);
        let later = idle.room(last + Duration::from_millis(1));
        assert_eq!(later, Some(Room::Unused(since)), "{}", change.name);
    }
}

/// Guards against a connection that is closed to make room under the request of its caller while there is another one
/// that is not used any more.
#[test]
fn connections_that_are_not_used_any_more_make_room_first() {
    let now = Instant::now();
    let idle = |waited: u32, bounds| {
        let since = now.checked_sub(SECOND * waited);
        Idle::new(since.expect("the machine is up"), bounds)
    };
    let order = [
        idle(14, bounds(15, 12)),
        idle(13, bounds(15, 12)),
        idle(4, bounds(15, 0)),
        idle(31, bounds(40, 32)),
        idle(12, bounds(15, 12)),
        idle(1, bounds(15, 12)),
    ];
    let rooms = order.map(|it| it.room(now).expect("it may be closed"));
    assert!(rooms.is_sorted(), "{rooms:?}");
    assert_eq!(idle(0, bounds(15, 0)).room(now), None);
}

fn limits_with(idle_timeout: Duration) -> limits::Limits {
    limits::Limits {
        idle_timeout,
        ..limits::Limits::default()
    }
}

/// A connection that is idle already. The port takes connections one after the other, so it is once another is open.
fn idle_client(server: &server::Server) -> Client {
    let client = Client::connect(server);
    let _other = Client::connect(server);
    wait_for("the other", || server.connections_open() == 2);
    client
}

const SHORT: Duration = Duration::from_millis(400);
const PAST_SHORT: Duration = Duration::from_millis(900);

/// Guards against an idle connection that is closed by the limit under which it became idle, after that was raised.
#[test]
fn a_raised_limit_holds_for_connections_that_are_idle() {
    let server = start(limits_with(SHORT), echo);
    let mut client = idle_client(&server);
    server
        .caller_limits()
        .set(limits_with(PATIENCE * 2).callers());
    thread::sleep(PAST_SHORT);
    assert_eq!(client.get("/first").text(), "GET /first|");
}

/// Guards against an idle connection that is closed by a limit which its caller may not know yet, and against a lowered
/// limit that never comes into force on a connection in use.
#[test]
fn a_lowered_limit_holds_for_connections_that_become_idle_later() {
    let server = start(limits_with(PATIENCE * 2), echo);
    let mut client = idle_client(&server);
    server.caller_limits().set(limits_with(SHORT).callers());
    thread::sleep(PAST_SHORT);
    assert_eq!(client.get("/first").text(), "GET /first|");
    assert!(client.at_end());
    assert_eq!(server.stats().expired, 1);
}

/// Guards against a connection that is closed by a limit which came into force during its latest request, and which its caller
/// may not know yet.
#[test]
fn a_limit_that_is_lowered_during_a_request_holds_from_the_next_one_on() {
    let (lowered, wait) = mpsc::channel();
    let (begun, has_begun) = mpsc::channel();
    let channels = sync::Mutex::new((begun, wait));
    let server = start(limits_with(PATIENCE * 2), move |req, reply| {
        if req.path == "/first" {
            let channels = channels.lock().expect("no panic");
            channels.0.send(()).expect("the test waits");
            let is_lowered = channels.1.recv_timeout(PATIENCE);
            is_lowered.expect("it is lowered");
        }
        echo(req, reply)
    });
    let mut client = Client::connect(&server);
    client.send(b"GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
    has_begun.recv_timeout(PATIENCE).expect("a request");
    server.caller_limits().set(limits_with(SHORT).callers());
    lowered.send(()).expect("it waits");
    assert_eq!(client.answer().expect("an answer").status, 200);
    thread::sleep(PAST_SHORT);
    assert_eq!(client.get("/second").text(), "GET /second|");
    assert!(client.at_end());
}

/// Guards against a shutdown that waits for the idle connections since a configuration with a longer limit comes into
/// force meanwhile.
#[test]
fn a_raised_limit_keeps_no_connection_once_idle_ones_are_to_end() {
    let server = start(limits_with(PATIENCE * 2), echo);
    server.close_idle();
    let mut client = Client::connect(&server);
    server
        .caller_limits()
        .set(limits_with(PATIENCE * 3).callers());
    assert!(client.at_end());
}

/// Guards against sizes that stay as they were on connections that are open already.
#[test]
fn changed_sizes_hold_for_the_next_request_of_an_open_connection() {
    const POST: &[u8] = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123456789";
    let server = start(limits::Limits::default(), echo);
    let mut clients = [Client::connect(&server), Client::connect(&server)];
    for client in &mut clients {
        client.send(POST);
        assert_eq!(client.answer().expect("an answer").status, 200);
    }
    let before = limits::Limits::default().callers();
    let limits = server.caller_limits();
    limits.set(limits::CallerLimits {
        body_bytes: 8,
        ..before
    });
    clients[0].send(POST);
    assert_eq!(clients[0].answer().expect("an answer").status, 413);
    limits.set(limits::CallerLimits {
        head_bytes: 20,
        ..before
    });
    clients[1].send(POST);
    assert_eq!(clients[1].answer().expect("an answer").status, 431);
}
