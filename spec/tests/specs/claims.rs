//! The specification of claims, and what breaks without each guard.

use crate::support::{holds, needs_its_guards};

#[test]
fn a_request_runs_at_most_once() {
    holds("claims");
    holds("claims-three");
}

/// Among others: what ran when its process crashed is granted again; a caller told "not run" retries
/// while the first arrival is sent on a late grant.
#[test]
fn guards_of_claims() {
    needs_its_guards("claims");
}
