//! Groups that grow and repair themselves, and what breaks without each guard.

use crate::support::{holds, holds_everywhere, needs_its_guards};

#[test]
fn a_group_that_grows_keeps_what_it_acknowledged() {
    holds("repair-growth");
}

/// The first configuration is acknowledged by two of three voters, before the third has joined. One
/// of the two loses its disk: the other elects nobody, and the configuration can't be read again.
#[test]
fn a_group_that_still_grows_acknowledges_nothing() {
    needs_its_guards("repair-growth");
}

#[test]
fn one_disk_after_another_is_lost_and_replaced() {
    holds_everywhere("repair-wiped");
}

/// A VM that lost its disk gets its vote back before its old generation is taken out: there are four
/// voters, one of which is known to be lost. The next lost disk leaves two of four.
#[test]
fn a_replaced_voter_goes_first() {
    needs_its_guards("repair-wiped");
}

#[test]
fn an_empty_vm_takes_the_place_of_a_silent_one() {
    holds("repair-replaced");
}
