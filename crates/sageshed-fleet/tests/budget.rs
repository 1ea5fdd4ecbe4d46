//! How many requests are sent a second time.

use sageshed_fleet::budget;
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
