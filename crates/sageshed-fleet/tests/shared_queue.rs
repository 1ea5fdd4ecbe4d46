//! The order in which waiting requests are granted, and what leaves the queue.

use std::{iter, net, slice};

use sageshed_fleet::shared_queue::{JoinOutcome, QueuePolicy, Removal, SharedQueue, Waiting};
use sageshed_types::time;

mod support;

use support::queue_load::{Kind, Load};

const T0: time::Instant = time::Instant(50_000);

const NO_ESTIMATE: JoinOutcome = JoinOutcome::Queued { expected: None };

/// A request of 100 ms of work that is late in a second and abandoned in four. Its payload names the adapter
/// that it needs.
fn waiting(request: u64) -> Waiting<&'static str> {
    Waiting {
        request,
        holder: net::Ipv4Addr::LOCALHOST,
        priority: 1,
        workspace: 0,
        weight: 1.0,
        content: request,
        work_us: 100_000,
        late_at: T0 + time::Millis(1_000),
        abandoned_at: T0 + time::Millis(4_000),
        payload: "",
    }
}

fn queue_of(requests: &[Waiting<&'static str>]) -> SharedQueue<&'static str> {
    let mut queue = SharedQueue::new(QueuePolicy::default());
    for it in requests {
        assert_eq!(queue.join(T0, it.clone()), NO_ESTIMATE);
    }
    queue
}

fn granted(queue: &mut SharedQueue<&'static str>, now: time::Instant) -> Vec<u64> {
    let next = || Some(queue.grant(now, |_| Some(()))?.0.request);
    iter::from_fn(next).collect()
}

#[test]
fn requests_are_granted_by_priority_then_by_when_they_are_late() {
    struct Case {
        name: &'static str,
        requests: [Waiting<&'static str>; 3],
        after_ms: u64,
        order: [u64; 3],
    }
    let late_in = |request, ms| Waiting {
        late_at: T0 + time::Millis(ms),
        ..waiting(request)
    };
    let abandoned_in = |request, ms| Waiting {
        abandoned_at: T0 + time::Millis(ms),
        ..waiting(request)
    };
    let urgent = |request| Waiting {
        priority: 0,
        ..late_in(request, 1_200)
    };
    let cases = [
        Case {
            name: "an urgent one first",
            requests: [waiting(1), urgent(2), waiting(3)],
            after_ms: 0,
            order: [2, 1, 3],
        },
        Case {
            name: "the one that is late first",
            requests: [late_in(1, 1_000), late_in(2, 900), late_in(3, 800)],
            after_ms: 0,
            order: [3, 2, 1],
        },
        Case {
            name: "one with seconds of slack yields",
            requests: [late_in(1, 5_000), waiting(2), waiting(3)],
            after_ms: 0,
            order: [2, 3, 1],
        },
        Case {
            name: "one that can be on time before late ones",
            requests: [late_in(1, 500), late_in(2, 600), late_in(3, 1_500)],
            after_ms: 800,
            order: [3, 1, 2],
        },
        Case {
            name: "among late ones the one that is abandoned first",
            requests: [
                abandoned_in(1, 3_900),
                abandoned_in(2, 3_800),
                abandoned_in(3, 4_000),
            ],
            after_ms: 1_200,
            order: [2, 1, 3],
        },
    ];
    for Case {
        name,
        requests,
        after_ms,
        order,
    } in cases
    {
        let mut queue = queue_of(&requests);
        assert_eq!(
            granted(&mut queue, T0 + time::Millis(after_ms)),
            order,
            "{name}"
        );
    }
}

/// The holder of a request repeats its query every 400 ms. If a repeat counted as a new request, it would go
/// behind all that came since.
#[test]
fn a_repeated_query_keeps_its_position() {
    let mut queue = queue_of(&[waiting(1), waiting(2)]);
    let soon = T0 + time::Millis(400);
    let again = Waiting {
        late_at: soon + time::Millis(1_000),
        payload: "a1",
        ..waiting(1)
    };
    assert_eq!(queue.join(soon, again), NO_ESTIMATE);
    assert_eq!(
        (queue.len(), queue.oldest_wait(soon)),
        (2, time::Millis(400))
    );
    let next = queue.grant(soon, |it| Some(it.payload));
    assert_eq!(next.map(|(it, place)| (it.request, place)), Some((1, "a1")));
    assert_eq!(queue.leave(soon, 2).map(|it| it.request), Some(2));
    assert_eq!(queue.leave(soon, 2), None);
    assert!(queue.is_empty());
}

/// A holder repeats its query in the millisecond in which its caller leaves. The request was removed and joined
/// again as a new one, so that it was counted twice and could be granted for nobody.
#[test]
fn a_repeat_of_a_request_that_is_removed_does_not_join_again() {
    let mut queue = queue_of(&[waiting(1)]);
    let now = T0 + time::Millis(4_000);
    let outcome = queue.join(now, waiting(1));
    assert!(
        matches!(outcome, JoinOutcome::Refused { .. }),
        "{outcome:?}"
    );
    assert!(queue.is_empty());
    assert_eq!(queue.expire(now), []);
}

/// An entry process crashes, and the callers of another one leave. Their requests would be granted and the
/// engines would stay idle for the time that a grant is valid.
#[test]
fn requests_of_silent_holders_and_of_callers_that_left_are_not_granted() {
    struct Case {
        name: &'static str,
        request: Waiting<&'static str>,
        last_repeat_ms: u64,
        checked_ms: u64,
        removal: Removal,
    }
    let cases = [
        Case {
            name: "not repeated",
            request: waiting(1),
            last_repeat_ms: 400,
            checked_ms: 1_900,
            removal: Removal::HolderSilent,
        },
        Case {
            name: "abandoned",
            request: waiting(1),
            last_repeat_ms: 3_600,
            checked_ms: 4_000,
            removal: Removal::Abandoned,
        },
    ];
    for Case {
        name,
        request,
        last_repeat_ms,
        checked_ms,
        removal,
    } in cases
    {
        let mut queue = queue_of(slice::from_ref(&request));
        for ms in (0..=last_repeat_ms).step_by(400) {
            assert_eq!(
                queue.join(T0 + time::Millis(ms), request.clone()),
                NO_ESTIMATE
            );
            assert_eq!(queue.expire(T0 + time::Millis(ms + 200)), [], "{name}");
        }
        let now = T0 + time::Millis(checked_ms);
        assert_eq!(queue.grant(now, |_| Some(())), None, "{name}");
        assert_eq!(queue.expire(now), [(request, removal)], "{name}");
    }
}

/// Summaries (priority 1) keep arriving faster than the engines serve them, and for a time chats (priority 0)
/// too. In an order with all late requests last, a chat that was late once was never served: its caller left
/// 3.2 s after it came. Nor may the late chats, which are urgent, take all capacity from the summaries.
#[test]
fn late_chats_and_summaries_that_keep_arriving_are_served_side_by_side() {
    let chat = Kind {
        priority: 0,
        workspace: 0,
        per_s: 100,
        work_us: 10_000,
        target_ms: 600,
        abandoned_ms: 3_200,
        deadline_ms: 15_000,
    };
    let summary = Kind {
        priority: 1,
        per_s: 200,
        target_ms: 800,
        deadline_ms: 4_000,
        ..chat
    };
    // No engine holds the model for a second. Then the engines do half of the work that is sent.
    let mut load = Load::new(&[chat, summary], 0, 29);
    load.run_ms(1_000);
    load.capacity = 1_500;
    load.run_ms(9_000);
    let [chats, summaries] = [load.outcomes[0], load.outcomes[1]];
    assert_eq!(chats.abandoned, 0, "{chats:?}");
    assert!(chats.late >= 30, "{chats:?}");
    assert!(chats.on_time >= 700, "{chats:?}");
    assert!(summaries.begun() >= 300, "{summaries:?}");
}

/// Letters have five seconds until they are late. If they stood in one line with the summaries, summaries
/// would be late while letters are served seconds early; if they always went last, they would never be served.
#[test]
fn kinds_with_slack_give_way_and_are_still_on_time() {
    let summary = Kind {
        priority: 1,
        workspace: 0,
        per_s: 80,
        work_us: 10_000,
        target_ms: 800,
        abandoned_ms: 3_200,
        deadline_ms: 4_000,
    };
    // Of another workspace, whose share would have its letters served at once.
    let letter = Kind {
        workspace: 1,
        per_s: 15,
        target_ms: 5_000,
        abandoned_ms: 12_000,
        deadline_ms: 12_000,
        ..summary
    };
    // First a burst of summaries, and then more work than the engines do for longer than letters can wait.
    let mut load = Load::new(&[summary, letter], 1_000, 29);
    for (per_s, span_ms) in [(80, 2_500), (115, 3_000), (60, 2_500), (92, 12_000)] {
        load.kinds[0].per_s = per_s;
        load.run_ms(span_ms);
    }
    for kind in &mut load.kinds {
        kind.per_s = 0;
    }
    load.run_ms(5_000);
    for outcomes in &load.outcomes {
        assert_eq!(outcomes.on_time, outcomes.sent, "{outcomes:?}");
    }
}

/// Chats (priority 0) come at twice the rate of the engines. By priority alone no summary would be served for as
/// long as that lasts.
#[test]
fn a_burst_of_an_urgent_kind_leaves_the_others_their_minimum_share() {
    let chat = Kind {
        priority: 0,
        workspace: 0,
        per_s: 200,
        work_us: 10_000,
        target_ms: 600,
        abandoned_ms: 3_200,
        deadline_ms: 0,
    };
    let summary = Kind {
        priority: 1,
        per_s: 50,
        target_ms: 800,
        ..chat
    };
    let mut load = Load::new(&[chat, summary], 1_000, 29);
    load.run_ms(10_000);
    let [chats, summaries] = [load.outcomes[0], load.outcomes[1]];
    assert!(summaries.begun() >= 190, "{summaries:?}");
    assert!(chats.begun() >= 600, "{chats:?}");
}

/// Requests for an adapter that no engine holds come in a burst. Those behind them would wait for its load,
/// although engines are idle.
#[test]
fn requests_that_cannot_be_placed_hold_back_no_others() {
    struct Case {
        name: &'static str,
        blocked: u64,
        /// Grants that find nothing before the first one that finds a request.
        misses: usize,
        other: Waiting<&'static str>,
    }
    let last = Waiting {
        late_at: T0 + time::Millis(1_100),
        ..waiting(0)
    };
    let cases = [
        Case {
            name: "one request",
            blocked: 1,
            misses: 0,
            other: last.clone(),
        },
        Case {
            name: "a burst",
            blocked: 500,
            misses: 25,
            other: last.clone(),
        },
        Case {
            name: "another workspace",
            blocked: 500,
            misses: 0,
            other: Waiting {
                workspace: 7,
                ..last.clone()
            },
        },
        Case {
            name: "a less urgent group",
            blocked: 500,
            misses: 0,
            other: Waiting {
                priority: 2,
                ..last
            },
        },
    ];
    for Case {
        name,
        blocked,
        misses,
        other,
    } in cases
    {
        let missing = (1..=blocked).map(|request| Waiting {
            payload: "missing",
            ..waiting(request)
        });
        let mut queue = queue_of(&missing.collect::<Vec<_>>());
        queue.join(T0, other);
        let mut tried = 0;
        let mut attempts = 0;
        let mut place = |it: &Waiting<&str>| {
            tried += 1;
            (it.payload != "missing").then_some(())
        };
        let found = (0..=misses).find_map(|_| {
            attempts += 1;
            queue.grant(T0, &mut place)
        });
        assert_eq!(found.map(|(it, ())| it.request), Some(0), "{name}");
        assert!(
            tried <= attempts * QueuePolicy::default().max_candidates,
            "{name}"
        );
        assert_eq!(queue.len() as u64, blocked, "{name}");
    }
}

/// Its share pays for the only late request after 2 s. Its refresh timer used to remove its group with the earned
/// share every 1.5 s, so that it was never granted.
#[test]
fn a_refresh_keeps_the_share_that_the_only_late_request_has_earned() {
    let late = Waiting {
        work_us: 200_000,
        late_at: T0,
        abandoned_at: T0 + time::Millis(10_000),
        ..waiting(1)
    };
    let mut queue = SharedQueue::new(QueuePolicy::default());
    let mut granted_at = None;
    for tick in 1..50 {
        let now = T0 + time::Millis(tick * 100);
        // An engine does 100 ms of work in a tick, so that with two in the first tick one always waits.
        let first = if tick == 1 { 0 } else { tick };
        for n in first..=tick {
            let urgent = Waiting {
                priority: 0,
                late_at: now + time::Millis(1_000),
                abandoned_at: now + time::Millis(10_000),
                ..waiting(1_000 + n)
            };
            queue.join(now, urgent);
        }
        if granted_at.is_none() && tick % 4 == 1 {
            queue.join(now, late.clone());
        }
        let granted = queue.grant(now, |_| Some(()));
        if granted.is_some_and(|(it, ())| it.request == 1) {
            granted_at = Some(tick);
        }
    }
    assert!(granted_at.is_some_and(|tick| tick <= 30), "{granted_at:?}");
}

/// Requests of eight priorities wait. Their minimum shares summed to 1.6, so that the most urgent ones went no
/// earlier than any others.
#[test]
fn the_most_urgent_of_many_priorities_gets_more_than_the_others() {
    let requests = (0..8_000).map(|request| Waiting {
        priority: (request % 8) as u8,
        work_us: 10_000,
        ..waiting(request)
    });
    let mut queue = queue_of(&requests.collect::<Vec<_>>());
    let mut granted = [0; 8];
    for _ in 0..2_000 {
        let (it, ()) = queue.grant(T0, |_| Some(())).expect("a waiting request");
        granted[usize::from(it.priority)] += 1;
    }
    println!("{granted:?}");
    // A share of 0.9 / 8 each, and the rest.
    assert!(granted[0] >= 400, "{granted:?}");
    assert!(granted[1..].iter().all(|it| *it >= 220), "{granted:?}");
}

/// Guards against a queued request that counts itself, or those behind it, among those before it once it is late.
#[test]
fn late_requests_wait_for_those_before_them_only() {
    let mut queue = queue_of(&[waiting(1), waiting(2)]);
    let refreshed = |queue: &mut SharedQueue<&'static str>, now, request| match queue
        .join(now, waiting(request))
    {
        JoinOutcome::Queued { expected } => expected.map(|it| it.0),
        JoinOutcome::Refused { .. } => panic!("{request} is refused at {now:?}"),
    };
    // Engines complete 100 ms of granted work in each 100 ms.
    for step in 1..=35 {
        let now = T0 + time::Millis(step * 100);
        queue.record_served(now, 100_000);
        if step > 5 {
            assert_eq!(refreshed(&mut queue, now, 1), Some(0), "{now:?}");
            let behind_one = refreshed(&mut queue, now, 2).expect("a rate is known");
            assert!((90..=150).contains(&behind_one), "{behind_one} at {now:?}");
        }
    }
}
