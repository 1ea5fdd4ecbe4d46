//! The specification of claims, with all guards and without each of them.

use crate::support::{holds, needs_its_guards};

#[test]
fn a_request_runs_at_most_once() {
    holds("claims");
    holds("claims-three");
}

/// Guards against running a request twice. For example, a request is granted again after the process that
/// ran it crashed, or a caller that was told "not run" retries while the first arrival is sent on a late
/// grant.
#[test]
fn guards_of_claims_are_needed() {
    needs_its_guards("claims");
}
