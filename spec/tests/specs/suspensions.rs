//! Orders of two leaders whose VMs are suspended.

use crate::support::{holds_everywhere, needs_its_guards};

#[test]
fn a_lease_lies_between_orders_of_two_leaders() {
    holds_everywhere("suspensions");
}

/// A leader is suspended, another is elected and begins to order a lease later. The first goes on: by
/// a clock that stood still it has its majority yet, and orders as well.
#[test]
fn clocks_go_on_while_a_vm_is_suspended() {
    needs_its_guards("suspensions");
}
