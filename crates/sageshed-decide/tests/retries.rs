//! The order of retries and new items.

use sageshed_decide::retries::{Next, Retries};
use sageshed_types::time;

const PAUSE: time::Millis = time::Millis(60);

/// Guards against claims that stay unsettled after an outage of control: retries were made only when no new settlement had
/// arrived for 60 ms, which a busy entry process never sees.
#[test]
fn new_items_that_keep_arriving_do_not_put_off_retries() {
    struct Case {
        interval: u64,
        failed: usize,
        steps: u64,
    }
    let cases = [
        Case {
            interval: 1,
            failed: 1,
            steps: 70,
        },
        Case {
            interval: 50,
            failed: 20,
            steps: 60,
        },
        Case {
            interval: 100,
            failed: 20,
            steps: 60,
        },
    ];
    for Case {
        interval,
        failed,
        steps,
    } in cases
    {
        let mut retries = Retries::new(PAUSE, 100);
        for item in 0..failed {
            assert_eq!(retries.add(time::Instant(0), item), None);
        }
        let mut new = 0;
        let mut handled_again = Vec::new();
        for step in 0..steps {
            match retries.next(time::Instant(step * interval)) {
                Next::Retry(item) => handled_again.push(item),
                Next::New => new += 1,
            }
        }
        let expected: Vec<_> = (0..failed).collect();
        assert_eq!(handled_again, expected, "every {interval} ms");
        assert_eq!(new, steps - failed as u64, "every {interval} ms");
    }
}

/// Guards against new items that wait for as long as an item fails again and again.
#[test]
fn retries_that_fail_again_take_turns_with_new_items() {
    let mut retries = Retries::new(PAUSE, 1);
    assert_eq!(retries.add(time::Instant(0), "a"), None);
    assert_eq!(retries.add(time::Instant(0), "b"), Some("b"), "no room");
    for round in 1..10 {
        let now = time::Instant(round * 100);
        assert_eq!(retries.next(now), Next::Retry("a"));
        assert!(retries.is_empty());
        assert_eq!(retries.add(now, "a"), None);
        assert_eq!(retries.next(now), Next::New);
        assert_eq!(retries.len(), 1);
    }
}
