//! Requests that arrive while the whole process is stopped, as by SIGSTOP or by a host that pauses its VM.
//!
//! The port runs in a process of its own: this test binary, started again for [`serve_in_a_process_of_its_own`] alone.

mod support;

use std::{
    env, fs,
    io::{self, BufRead},
    process, thread,
    time::Duration,
};

use sageshed_http::limits;
use support::{Client, echo, start, wait_for};

/// Set for the process that serves: how many connections it keeps open.
const CONNECTIONS: &str = "SAGESHED_TEST_CONNECTIONS";

/// Comes before the address on the line by which the serving process tells it.
const LISTENS_ON: &str = "listens on ";

/// How long connections may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longer than that, by more than a search for idle connections takes.
const PAST_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// No test by itself: serves until its input ends, if a test of this file has started it.
#[test]
fn serve_in_a_process_of_its_own() {
    let Ok(connections) = env::var(CONNECTIONS) else {
        return;
    };
    let limits = limits::Limits {
        connections: connections.parse().expect("a number"),
        idle_timeout: IDLE_TIMEOUT,
        ..limits::Limits::default()
    };
    let server = start(limits, echo);
    println!("\n{LISTENS_ON}{}", server.local_addr());
    io::copy(&mut io::stdin(), &mut io::sink()).expect("the input ends");
}

/// A process that serves.
struct Serving {
    child: process::Child,
    address: std::net::SocketAddr,
}

impl Serving {
    fn start(connections: usize) -> Self {
        let mut child = process::Command::new(env::current_exe().expect("a path"))
            .args(["--exact", "serve_in_a_process_of_its_own", "--nocapture"])
            .env(CONNECTIONS, connections.to_string())
            .stdin(process::Stdio::piped())
            .stdout(process::Stdio::piped())
            .spawn()
            .expect("a process");
        let output = io::BufReader::new(child.stdout.take().expect("it is piped"));
        let mut lines = output.lines().map(|it| it.expect("text"));
        let address = lines.find_map(|it| it.strip_prefix(LISTENS_ON)?.parse().ok());
        let address = address.expect("it tells its address");
        Self { child, address }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let mut kill = process::Command::new("kill");
        let status = kill.args([&format!("-{name}"), &id]).status();
        assert!(status.expect("kill runs").success(), "kill -{name}");
    }

    /// Stops the process, and returns once none of its threads runs.
    fn stop(&self) {
        self.signal("STOP");
        let tasks = format!("/proc/{}/task", self.child.id());
        wait_for("the stop", || {
            let mut tasks = fs::read_dir(&tasks).expect("it exists");
            tasks.all(|task| {
                let status = task.expect("an entry").path().join("status");
                // A thread that has ended meanwhile does not run.
                fs::read_to_string(status).is_ok_and(|it| it.contains("State:\tT"))
            })
        });
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.child.kill().expect("it can be killed");
        self.child.wait().expect("it ends");
    }
}

/// Guards against a request that is lost since its connection counts as idle for too long. The process is stopped while
/// the request arrives; when it goes on, the clock says that the limit has passed, and the connection was closed with
/// the request unread.
#[test]
fn a_request_that_arrives_while_the_process_is_stopped_is_served() {
    let serving = Serving::start(8);
    let mut client = Client::reach(serving.address);
    assert_eq!(client.get("/first").status, 200);
    serving.stop();
    client.send(b"GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
    thread::sleep(PAST_IDLE_TIMEOUT);
    serving.signal("CONT");
    assert_eq!(client.answer().expect("an answer").text(), "GET /second|");
}

/// Guards against the same where the connection is closed to make room. A new connection and then a request on the only
/// other one arrive while the process is stopped; the new one is accepted first.
#[test]
fn a_connection_with_an_unread_request_makes_no_room() {
    let serving = Serving::start(1);
    let mut client = Client::reach(serving.address);
    assert_eq!(client.get("/first").status, 200);
    // A connection that was in use a moment ago is kept in any case.
    thread::sleep(Duration::from_millis(1_100));
    serving.stop();
    let mut new = Client::reach(serving.address);
    client.send(b"GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
    serving.signal("CONT");
    assert_eq!(client.answer().expect("an answer").text(), "GET /second|");
    assert_eq!(new.get("/new").status, 503);
}
