//! The specification of automatic growth and repair, with all guards and without each of them.

use crate::support::{holds, holds_everywhere, needs_its_guards};

#[test]
fn a_growing_group_keeps_acknowledged_commands() {
    holds("repair-growth");
}

/// Guards against losing an acknowledged configuration in a growing group. Two of three voters acknowledge
/// the configuration before the third has joined. If one of them loses its disk, the other cannot elect a
/// leader, and the configuration cannot be read any more.
#[test]
fn a_growing_group_acknowledges_nothing() {
    needs_its_guards("repair-growth");
}

#[test]
fn one_disk_after_another_is_lost_and_replaced() {
    holds_everywhere("repair-wiped");
}

/// Guards against promoting a VM that lost its disk before its old generation is removed. There would be
/// four voters of which one is lost, and the loss of another disk would leave two of four.
#[test]
fn a_replaced_voter_is_removed_first() {
    needs_its_guards("repair-wiped");
}

#[test]
fn a_new_vm_replaces_a_silent_one() {
    holds("repair-replaced");
}
