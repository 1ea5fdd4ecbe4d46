//! How many successes are logged.

use sageshed::{
    gateway::state::MAX_SUCCESSES_LOGGED_PER_SECOND,
    sampler::{Line, Sampler},
};
use sageshed_types::time;

/// At ten times the usual load the lines of successes must not grow with it, and none may vanish
/// without being counted.
#[test]
fn successes_past_the_rate_are_left_out_and_counted() {
    let sampler = Sampler::new(MAX_SUCCESSES_LOGGED_PER_SECOND);
    let mut written = 0;
    let mut told = 0;
    for second in 0..3 {
        for n in 0..200 {
            match sampler.line(time::Instant(second * 1_000 + n * 5)) {
                Line::Write => written += 1,
                Line::WriteAfter(left_out) => {
                    written += 1;
                    told += left_out;
                }
                Line::LeaveOut => {}
            }
        }
    }
    // What the last second left out is told by the first line of the next.
    assert_eq!((written, told), (60, 360));
}

#[test]
fn at_the_usual_load_each_success_is_logged() {
    let sampler = Sampler::new(MAX_SUCCESSES_LOGGED_PER_SECOND);
    let lines = (0..50).map(|n| sampler.line(time::Instant(n * 100)));
    assert!(lines.into_iter().all(|it| it == Line::Write));
}
