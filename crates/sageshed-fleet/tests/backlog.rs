//! How long requests wait for an engine.

use sageshed_fleet::backlog::Backlog;
use sageshed_types::time;

const T0: time::Instant = time::Instant(50_000);

/// Prompts of 2,000 tokens come twice as fast as the engines read them. The tenth that waits would be
/// read after five seconds; it must be told now, and not when its five seconds are over.
#[test]
fn a_request_knows_how_long_those_before_it_take() {
    let mut backlog = Backlog::default();
    for n in 0..4 {
        backlog.read(T0 + time::Millis(n * 500), "m0", 2_000);
    }
    let now = T0 + time::Millis(1_500);
    let tickets: Vec<u64> = (0..10).map(|_| backlog.enter("m0", 2_000)).collect();
    assert_eq!(
        backlog.expected(now, "m0", tickets[0]),
        Some(time::Millis(500))
    );
    assert_eq!(
        backlog.expected(now, "m0", tickets[9]),
        Some(time::Millis(5_000))
    );
    backlog.leave("m0", tickets[0]);
    assert_eq!(
        backlog.expected(now, "m0", tickets[9]),
        Some(time::Millis(4_500))
    );
    assert_eq!(backlog.waiting(), 9);
}

#[test]
fn nothing_is_said_where_nothing_was_read_lately() {
    let mut backlog = Backlog::default();
    let ticket = backlog.enter("m0", 2_000);
    assert_eq!(backlog.expected(T0, "m0", ticket), None);
    backlog.read(T0, "m0", 2_000);
    assert!(backlog.expected(T0, "m0", ticket).is_some());
    assert_eq!(
        backlog.expected(T0 + time::Millis(9_000), "m0", ticket),
        None
    );
    assert_eq!(backlog.expected(T0, "m1", ticket), None);
}
