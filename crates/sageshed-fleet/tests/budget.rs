//! How many requests are sent a second time.

use std::net;

use sageshed_fleet::{budget, slots};
use sageshed_types::time;

const WINDOW: time::Millis = time::Millis(10_000);

fn budget() -> budget::RetryBudget {
    budget::RetryBudget::new(budget::RetryAllowance {
        ratio: 0.2,
        slack: 54.0,
        window: WINDOW,
    })
}

/// All endpoints of a service fail for a while. Seven entry processes each send again what failed,
/// 40 requests a second in all. Together they must stay inside a fifth of the requests and 54 in any
/// ten seconds, or the repeats keep the service down.
#[test]
fn seven_entry_processes_stay_inside_the_allowance_together() {
    let mut entries: Vec<_> = (0..7).map(|_| budget()).collect();
    let mut repeats = Vec::new();
    let mut requests = Vec::new();
    for ms in (0..30_000).step_by(25) {
        let now = time::Instant(ms);
        let entry = &mut entries[usize::try_from(ms / 25 % 7).expect("small")];
        entry.request(now, "s");
        requests.push(ms);
        if entry.spend(now, "s", 7) {
            repeats.push(ms);
        }
    }
    assert!(repeats.len() > 100, "almost nothing was sent again");
    for from in (0..20_000).step_by(500) {
        let within = |list: &[u64]| {
            let inside = list
                .iter()
                .filter(|at| (from..from + WINDOW.0).contains(*at));
            inside.count() as f64
        };
        let allowed = 0.2 * within(&requests) + 54.0;
        assert!(within(&repeats) <= allowed, "from {from} ms");
    }
}

#[test]
fn each_service_has_a_budget_of_its_own_and_time_gives_it_back() {
    let mut budget = budget();
    let now = time::Instant(1);
    let spent = (0..100).filter(|_| budget.spend(now, "a", 1)).count();
    assert!((20..54).contains(&spent), "{spent}");
    assert!(budget.spend(now, "b", 1));
    assert!(!budget.spend(now, "a", 1));
    assert!(budget.spend(now + WINDOW + time::Millis(1), "a", 1));
}

/// A request of an entry process for a slot, on a service whose slots are all free.
fn ask(
    coordinator: &mut slots::SlotCoordinator,
    now: time::Instant,
    request: u64,
    attempt: slots::SlotAttempt,
) -> bool {
    let endpoint = slots::SlotEndpoint {
        key: 1,
        slots: 100,
        availability_zone: "z1".to_owned(),
        cost_ms: 30.0,
    };
    let message = slots::SlotRequest {
        request,
        service: "s".to_owned(),
        attempt,
        availability_zone: "z1".to_owned(),
        tried: Vec::new(),
        priority: 2,
        workspace: 0,
        content: 0,
        lease: time::Millis(30),
        late_in: time::Millis(150),
        abandoned_in: time::Millis(800),
        released: Vec::new(),
    };
    let holder = net::Ipv4Addr::LOCALHOST;
    let replies = coordinator.request(now, holder, message, &[endpoint]);
    replies.iter().any(|(_, it)| it.has_retry)
}

/// 29 entry processes send 274 requests a second to one service, of which 4 in 100 end in a 500 and have a
/// retry left. The allowance is a tenth of the requests. While each process had its own part, many found
/// theirs spent, since each sees nine requests a second; and where full endpoints rejected an eighth of the
/// requests, which are sent again as well, most retries of a 500 were lost. With the budget of the
/// coordinator no retry is lost without rejections, except in the first second of a new coordinator, and all stay
/// inside the allowance.
#[test]
fn retries_are_not_lost_because_the_budget_is_split() {
    const ENTRIES: usize = 29;
    let allowance = budget::RetryAllowance {
        ratio: 0.1,
        slack: 20.0,
        window: WINDOW,
    };
    let play = |has_coordinator: bool, replaced_at: Option<u64>, rejected_per_mille: u64| {
        let mut random = 88_172_645_463_325_252_u64;
        let mut draw = |below: u64| {
            random ^= random << 13;
            random ^= random >> 7;
            random ^= random << 17;
            random % below
        };
        let mut entries: Vec<_> = (0..ENTRIES)
            .map(|_| budget::RetryBudget::new(allowance))
            .collect();
        let mut coordinator = slots::SlotCoordinator::new(allowance);
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let (mut needed, mut lost) = (0, Vec::new());
        for ms in 0..60_000 {
            let now = time::Instant(ms);
            if replaced_at == Some(ms) {
                coordinator = slots::SlotCoordinator::new(allowance);
            }
            // Bursts of three.
            if draw(1_000_000) >= 91_333 {
                continue;
            }
            for _ in 0..3 {
                let entry = &mut entries[usize::try_from(draw(29)).expect("small")];
                let id = requests.len() as u64 * 4;
                requests.push(ms);
                if has_coordinator {
                    ask(&mut coordinator, now, id, slots::SlotAttempt::First);
                } else {
                    entry.request(now, "s");
                }
                let mut retry = |id| {
                    let attempt = slots::SlotAttempt::Retry;
                    let is_granted = has_coordinator && ask(&mut coordinator, now, id, attempt)
                        || entry.spend(now, "s", ENTRIES);
                    retries.extend(is_granted.then_some(ms));
                    is_granted
                };
                if draw(1_000) < rejected_per_mille {
                    retry(id + 1);
                }
                if draw(1_000) < 40 {
                    needed += 1;
                    if !retry(id + 2) {
                        lost.push(ms);
                    }
                }
            }
        }
        for from in (0..50_000).step_by(500) {
            let within = |list: &[u64]| {
                let inside = list.iter();
                let inside = inside.filter(|at| (from..from + WINDOW.0).contains(*at));
                inside.count() as f64
            };
            let allowed = allowance.ratio * within(&requests) + allowance.slack;
            assert!(within(&retries) <= allowed, "from {from} ms");
        }
        println!(
            "coordinator {has_coordinator}, rejected {rejected_per_mille}: {} of {needed} lost",
            lost.len()
        );
        (needed, lost)
    };
    let (needed, lost) = play(false, None, 0);
    assert!(lost.len() * 20 > needed, "{} of {needed}", lost.len());
    let (needed, lost) = play(false, None, 126);
    assert!(lost.len() * 2 > needed, "{} of {needed}", lost.len());
    assert_eq!(play(true, None, 0).1, [] as [u64; 0]);
    // The new coordinator has the constant part after one window, and the other one from its own requests.
    let (_, lost) = play(true, Some(30_000), 0);
    assert!(lost.len() <= 1, "{lost:?}");
    assert!(
        lost.iter().all(|it| (30_000..31_000).contains(it)),
        "{lost:?}"
    );
    // Rejections spend the allowance before the retries of a 500 do, whoever keeps the budget.
    let (needed, lost) = play(true, None, 126);
    assert!(lost.len() * 2 > needed, "{} of {needed}", lost.len());
}

/// Five coordinators follow each other within one window, and every request asks for a retry. While each had its
/// share of the constant part at once, all together exceeded the allowance.
#[test]
fn coordinators_that_follow_each_other_stay_inside_the_allowance() {
    const ENTRIES: usize = 29;
    let allowance = budget::RetryAllowance {
        ratio: 0.1,
        slack: 290.0,
        window: WINDOW,
    };
    let mut entries: Vec<_> = (0..ENTRIES)
        .map(|_| budget::RetryBudget::new(allowance))
        .collect();
    let mut coordinator = slots::SlotCoordinator::new(allowance);
    let mut retries = Vec::new();
    for number in 0..3_000_u64 {
        let ms = number * 10;
        let now = time::Instant(ms);
        if ms >= 20_000 && ms.is_multiple_of(2_000) {
            coordinator = slots::SlotCoordinator::new(allowance);
        }
        ask(&mut coordinator, now, number * 2, slots::SlotAttempt::First);
        let attempt = slots::SlotAttempt::Retry;
        let entry = &mut entries[usize::try_from(number).expect("small") % ENTRIES];
        let is_granted =
            ask(&mut coordinator, now, number * 2 + 1, attempt) || entry.spend(now, "s", ENTRIES);
        retries.extend(is_granted.then_some(ms));
    }
    for from in (0..20_000).step_by(500) {
        let inside = retries.iter();
        let inside = inside.filter(|at| (from..from + WINDOW.0).contains(*at));
        let allowed = allowance.ratio * 1_000.0 + allowance.slack;
        assert!(inside.count() as f64 <= allowed, "from {from} ms");
    }
}

/// A first attempt whose datagram is doubled counts once, also if the second one arrives after its lease has ended.
#[test]
fn a_doubled_request_counts_once() {
    let allowance = budget::RetryAllowance {
        ratio: 1.0,
        slack: 0.0,
        window: WINDOW,
    };
    let mut coordinator = slots::SlotCoordinator::new(allowance);
    for ms in [0, 60] {
        let first = slots::SlotAttempt::First;
        ask(&mut coordinator, time::Instant(ms), 1, first);
    }
    // One request gives six tenths of a retry.
    let retry = slots::SlotAttempt::Retry;
    assert!(!ask(&mut coordinator, time::Instant(60), 2, retry));
}

/// Streams that have begun, and new requests, are rejected by engines that are full. Each stream waits for a retry for
/// as long as its caller does, in milliseconds.
const STREAM_WAIT: u64 = 2_000;

/// Guards against streams that are lost because new requests take each retry as soon as it is left.
#[test]
fn a_stream_that_has_begun_gets_the_next_retry() {
    for entries in [3, 14] {
        let mut budget = budget();
        let mut waiting: Vec<(u64, u64)> = Vec::new();
        let (mut begun, mut resumed, mut retries) = (0, 0, Vec::new());
        for ms in (0..40_000).step_by(10) {
            let now = time::Instant(ms);
            budget.request(now, "s");
            if ms >= 20_000 && ms % 500 == 0 {
                begun += 1;
                waiting.push((ms, budget.begin_wait(now, "s")));
            }
            let is_over = |since: u64| ms - since >= STREAM_WAIT;
            for (_, ticket) in waiting.extract_if(.., |it| is_over(it.0)) {
                budget.end_wait(now, "s", ticket);
            }
            // The new requests are there first.
            while budget.spend(now, "s", entries) {
                retries.push(ms);
            }
            if !waiting.is_empty() && budget.spend_for_stream(now, "s", entries) {
                retries.push(ms);
                resumed += 1;
                let (_, ticket) = waiting.remove(0);
                budget.end_wait(now, "s", ticket);
            }
        }
        assert!(resumed + 4 >= begun, "{entries}: {resumed} of {begun}");
        for from in (0..30_000).step_by(500) {
            let inside = retries
                .iter()
                .filter(|at| (from..from + WINDOW.0).contains(*at));
            let allowed = 0.2 * 1_000.0 + 54.0 / entries as f64;
            assert!(
                inside.count() as f64 <= allowed,
                "{entries}: from {from} ms"
            );
        }
    }
}

/// When retries were sent, in milliseconds before a stream breaks off; how many streams wait before it, and how long its
/// caller waits.
struct Expectation {
    name: &'static str,
    retries: &'static [u64],
    before: usize,
    wait: u64,
    is_expected: bool,
}

/// Guards against streams that are held without an event until their callers give them up, although no retry can come by
/// then, and against streams that are all broken off although there are retries for some of them.
#[test]
fn a_stream_waits_only_for_a_retry_that_can_come_in_time() {
    let cases = [
        Expectation {
            name: "all spent lately",
            retries: &[900, 800, 700],
            before: 0,
            wait: 1_200,
            is_expected: false,
        },
        Expectation {
            name: "one expires in time",
            retries: &[9_000, 800, 700],
            before: 0,
            wait: 1_200,
            is_expected: true,
        },
        Expectation {
            name: "one expires too late",
            retries: &[8_000, 800, 700],
            before: 0,
            wait: 1_200,
            is_expected: false,
        },
        Expectation {
            name: "one that another stream gets",
            retries: &[9_000, 800, 700],
            before: 1,
            wait: 1_200,
            is_expected: false,
        },
        Expectation {
            name: "two for two",
            retries: &[9_000, 9_000, 700],
            before: 1,
            wait: 1_200,
            is_expected: true,
        },
        Expectation {
            name: "no time left",
            retries: &[9_000, 800, 700],
            before: 0,
            wait: 0,
            is_expected: false,
        },
    ];
    let now = time::Instant(50_000);
    for case in &cases {
        // Three retries in a window: 5 * 0.6.
        let mut budget = budget::RetryBudget::new(budget::RetryAllowance {
            ratio: 0.0,
            slack: 5.0,
            window: WINDOW,
        });
        for ago in case.retries {
            assert!(
                budget.spend(time::Instant(now.0 - ago), "s", 1),
                "{}",
                case.name
            );
        }
        for _ in 0..case.before {
            budget.begin_wait(now, "s");
        }
        let ticket = budget.begin_wait(now, "s");
        let is_expected = budget.expects_token(now, "s", 1, ticket, time::Millis(case.wait));
        assert_eq!(is_expected, case.is_expected, "{}", case.name);
    }
}

/// Guards against a stream that is broken off although the requests that go on arriving allow for a retry.
#[test]
fn requests_that_go_on_arriving_let_a_stream_expect_a_retry() {
    for (interval, is_expected) in [(20, true), (500, false)] {
        let mut budget = budget::RetryBudget::new(budget::RetryAllowance {
            ratio: 0.2,
            slack: 0.0,
            window: WINDOW,
        });
        // The rate has just risen, and what it allows so far is spent.
        for ms in (40_000..42_000).step_by(interval) {
            budget.request(time::Instant(ms), "s");
        }
        let now = time::Instant(42_000);
        while budget.spend(now, "s", 1) {}
        let ticket = budget.begin_wait(now, "s");
        let wait = time::Millis(1_200);
        assert_eq!(
            budget.expects_token(now, "s", 1, ticket, wait),
            is_expected,
            "each {interval} ms"
        );
    }
}

/// Guards against retries that are lost with requests which have taken one and do not use it.
#[test]
fn a_returned_retry_can_be_taken_again() {
    let (mut budget, now) = (budget(), time::Instant(0));
    while budget.spend(now, "s", 1) {}
    budget.refund(now, "s");
    assert!(budget.spend(now, "s", 1));
    assert!(!budget.spend(now, "s", 1));
    let later = now + WINDOW + time::Millis(1);
    let before = budget.left(later, 1);
    budget.refund(later, "s");
    assert_eq!(budget.left(later, 1), before, "it has expired meanwhile");
}
