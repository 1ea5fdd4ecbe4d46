//! Tables of the reports on members that lack entries and acknowledge none.

use sageshed_quorum::{
    config, event, log,
    stalls::{Progress, Report, Stalls},
};
use sageshed_types::time;

use crate::sim::{Sim, id};

const TIMEOUT: time::Millis = time::Millis(1_000);

/// One look at the progress of a member.
struct Look {
    at: u64,
    matched: u64,
    lag: u64,
    expected: Option<Report>,
}

fn progress(matched: u64, lag: u64) -> Progress {
    Progress {
        id: id(2, 1),
        matched: log::Index(matched),
        lag,
        sent: lag,
        in_flight: 1,
        answered: None,
    }
}

#[test]
fn stalls_are_reported_once_with_their_ends() {
    let look = |at, matched, lag, expected| Look {
        at,
        matched,
        lag,
        expected,
    };
    let stalled =
        |matched, lag, ms| Some(Report::Stalled(progress(matched, lag), time::Millis(ms)));
    let resumed = |ms| Some(Report::Resumed(id(2, 1), time::Millis(ms)));
    let looks = [
        look(0, 5, 0, None),
        look(100, 5, 2, None),
        look(1_000, 5, 9, None),
        look(1_100, 5, 10, stalled(5, 10, 1_000)),
        look(3_000, 5, 30, None),
        look(3_100, 6, 29, resumed(3_000)),
        look(4_100, 6, 40, stalled(6, 40, 1_000)),
        look(4_200, 46, 0, resumed(1_100)),
        look(9_000, 46, 1, None),
        look(9_900, 47, 1, None),
        look(10_800, 48, 1, None),
    ];
    let mut stalls = Stalls::default();
    for Look {
        at,
        matched,
        lag,
        expected,
    } in looks
    {
        let members = [progress(matched, lag)];
        let reports = stalls.update(time::Instant(at), TIMEOUT, members);
        let expected: Vec<_> = expected.into_iter().collect();
        assert_eq!(reports, expected, "at {at}");
    }
    let reports = stalls.update(time::Instant(20_000), TIMEOUT, []);
    assert_eq!(reports, [], "a node that doesn't lead has no members");
    assert_eq!(stalls.since().count(), 0);
}

/// Guards against a voter that lacks entries for long while nothing tells so.
#[test]
fn progress_shows_a_member_that_receives_no_entries() {
    let mut sim = Sim::new(7, 3, config::Guards::default());
    sim.elect(1).unwrap();
    sim.run(100).unwrap();
    sim.crash(3);
    sim.step(
        1,
        event::Event::Propose {
            correlation_id: 0,
            payload: b"rule".to_vec(),
        },
    )
    .unwrap();
    sim.run(100).unwrap();
    let leader = sim.vms[&1].node.as_ref().unwrap();
    let lags: Vec<_> = leader
        .progress()
        .map(|it| (it.id, it.lag, it.sent))
        .collect();
    assert_eq!(lags, [(id(2, 1), 0, 0), (id(3, 1), 1, 1)]);
    let follower = sim.vms[&2].node.as_ref().unwrap();
    assert_eq!(follower.progress().count(), 0);
}
