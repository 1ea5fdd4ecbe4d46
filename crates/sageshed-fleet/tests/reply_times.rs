//! Reply times of peers, and what they say of the process that measures them.

use std::net;

use sageshed_fleet::reply_times::{MAX_REPLY_TIMEOUT, REPLY_TIMEOUT, ReplyTimes};
use sageshed_types::time::{Instant, Millis};

const START: u64 = 10_000;

/// A process with peers that take different times to reply.
struct Case {
    name: &'static str,
    /// The reply times of the peers, in milliseconds.
    usual: &'static [u64],
    /// Their reply times afterwards.
    now: &'static [u64],
    timeout: u64,
    lateness: u64,
}

const CASES: [Case; 7] = [
    Case {
        name: "nothing changes",
        usual: &[3, 4, 5],
        now: &[3, 4, 5],
        timeout: 25,
        lateness: 0,
    },
    Case {
        name: "one peer of five is slow",
        usual: &[3, 4, 4, 5, 5],
        now: &[3, 4, 4, 5, 400],
        timeout: 25,
        lateness: 0,
    },
    Case {
        name: "all replies are read late",
        usual: &[3, 4, 4, 5, 5],
        now: &[43, 44, 44, 45, 45],
        timeout: 132,
        lateness: 40,
    },
    Case {
        name: "all replies are read seconds late",
        usual: &[3, 4, 5],
        now: &[2_003, 2_004, 2_005],
        timeout: 150,
        lateness: 2_000,
    },
    Case {
        name: "one peer alone",
        usual: &[4],
        now: &[400],
        timeout: 25,
        lateness: 0,
    },
    Case {
        name: "one of two peers is slow",
        usual: &[4, 5],
        now: &[4, 400],
        timeout: 25,
        lateness: 0,
    },
    Case {
        name: "peers far away",
        usual: &[60, 61, 62],
        now: &[60, 61, 62],
        timeout: 150,
        lateness: 0,
    },
];

fn receive(times: &mut ReplyTimes, at: u64, took: &[u64], first: u64) {
    for (peer, took) in took.iter().enumerate() {
        let number = u8::try_from(peer).expect("few peers");
        let id = first + u64::from(number);
        times.query(Instant(at - took), id);
        times.reply(Instant(at), id, net::Ipv4Addr::new(10, 0, 0, number));
        // Another message about the same request is no reply to the query.
        times.reply(
            Instant(at + 9_000),
            id,
            net::Ipv4Addr::new(10, 0, 0, number),
        );
    }
}

/// Guards against a process that is late itself and takes its peers for failed.
#[test]
fn a_process_that_reads_replies_late_waits_longer_for_them() {
    for case in &CASES {
        let mut times = ReplyTimes::default();
        receive(&mut times, START, case.usual, 0);
        assert_eq!(times.lateness(Instant(START)), Millis(0), "{}", case.name);
        let now = START + 900;
        receive(&mut times, now, case.now, 100);
        let timeout = times.timeout(Instant(now));
        assert_eq!(timeout, Millis(case.timeout), "{}", case.name);
        assert!(
            (REPLY_TIMEOUT..=MAX_REPLY_TIMEOUT).contains(&timeout),
            "{}",
            case.name
        );
        let lateness = times.lateness(Instant(now));
        assert_eq!(lateness, Millis(case.lateness), "{}", case.name);
        let quiet = Instant(now + 500);
        assert_eq!(times.timeout(quiet), REPLY_TIMEOUT, "{}", case.name);
        assert_eq!(times.lateness(quiet), Millis(0), "{}", case.name);
    }
}

/// Guards against a process that never takes new connections again once its peers have become slower for good.
#[test]
fn peers_that_stay_slower_become_usual() {
    let mut times = ReplyTimes::default();
    receive(&mut times, START, &[3, 4, 5], 0);
    assert_eq!(times.lateness(Instant(START)), Millis(0));
    let later = START + 40_000;
    receive(&mut times, later, &[38, 39, 40], 100);
    assert_eq!(times.lateness(Instant(later)), Millis(0));
}
