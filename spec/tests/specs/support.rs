//! Explores specifications by name.

use sageshed_spec::{explore, run};

/// The maximum number of states where the invariants must hold. Runs on the command line visit more.
const SOME: usize = 40_000;

/// The maximum number of states for specifications that once failed beyond [`SOME`] states.
const FAR: usize = 100_000;

/// The maximum number of states where all must be visited, or where a violation must be found.
const MANY: usize = 300_000;

fn explored(name: &str, without: Option<&str>, states: usize) -> explore::Report {
    let entry = run::find(name).expect("the specification exists");
    let bound = explore::Bound {
        states,
        ..entry.bound
    };
    let report = entry.explore(without, bound);
    report.expect("the guard exists")
}

/// Checks that the invariants hold in all states within the limits.
pub fn holds(name: &str) {
    let report = explored(name, None, SOME);
    assert!(report.holds(), "{name}: {report}");
}

/// Like [`holds`], with a limit that includes violations after many events.
pub fn holds_until_far(name: &str) {
    let report = explored(name, None, FAR);
    assert!(report.holds(), "{name}: {report}");
}

/// Like [`holds`], and checks that all reachable states were visited.
pub fn holds_everywhere(name: &str) {
    let report = explored(name, None, MANY);
    assert!(report.holds() && report.limit.is_none(), "{name}: {report}");
}

/// Checks that an invariant is violated without each of the guards that the specification names as needed.
pub fn needs_its_guards(name: &str) {
    let entry = run::find(name).expect("the specification exists");
    assert!(!entry.needed.is_empty(), "{name} names no guard");
    for guard in entry.needed {
        let report = explored(name, Some(guard), MANY);
        let found = report.counterexample.is_some();
        assert!(found, "{name} without {guard}: {report}");
    }
}
