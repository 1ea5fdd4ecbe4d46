//! The specification of leases, with all guards and without each of them.

use crate::support::{holds, holds_everywhere, needs_its_guards};

#[test]
fn a_change_is_in_force_after_a_lease() {
    holds("leases-change");
}

/// Guards against serving callers by withdrawn rules while the entry process is partitioned from the control
/// processes that know the change: a grant requires only committed revisions, or the entry process ignores
/// the required revision.
#[test]
fn grants_require_the_newest_revision_in_the_log() {
    needs_its_guards("leases-change");
    needs_its_guards("leases-replacement");
}

#[test]
fn a_change_is_in_force_while_a_voter_is_replaced() {
    holds("leases-replacement");
}

/// Guards against a confirmation by outdated voters. Of the first three voters, one was removed and one does
/// not know of the fourth. They are a majority of the voters with which the entry process started.
#[test]
fn outdated_voters_confirm_nothing() {
    holds_everywhere("leases-removed");
    needs_its_guards("leases-removed");
}
