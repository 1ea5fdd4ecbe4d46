//! The specification of two leaders whose VMs are suspended, with all guards and without each of them.

use crate::support::{holds_everywhere, needs_its_guards};

#[test]
fn a_lease_lies_between_orders_of_two_leaders() {
    holds_everywhere("suspensions");
}

/// Guards against orders of two leaders at the same time. A leader is suspended, and another one is elected
/// and issues orders after the duration of a lease. When the first one is resumed, by a clock that stood
/// still it would consider itself leader and issue orders as well.
#[test]
fn clocks_continue_while_a_vm_is_suspended() {
    needs_its_guards("suspensions");
}
