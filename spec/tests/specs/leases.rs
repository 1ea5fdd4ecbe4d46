//! The specification of leases, and what breaks without each guard.

use crate::support::{holds, holds_everywhere, needs_its_guards};

#[test]
fn a_change_is_in_force_after_a_lease() {
    holds("leases-change");
}

/// A grant that names only what is committed, or a revision that is not heeded: a caller is served by
/// withdrawn rules for as long as the entry process is cut off from those that know.
#[test]
fn grants_name_what_is_in_the_log() {
    needs_its_guards("leases-change");
    needs_its_guards("leases-replacement");
}

#[test]
fn a_change_is_in_force_while_a_voter_is_replaced() {
    holds("leases-replacement");
}

/// Two voters of the first three were left behind, one removed and one unaware of the fourth. They
/// are a majority of those with which the entry process started.
#[test]
fn voters_that_were_left_behind_confirm_nothing() {
    holds_everywhere("leases-removed");
    needs_its_guards("leases-removed");
}
