//! The specification of orders, with all guards and without each of them.

use crate::support::{holds, holds_everywhere, holds_until_far, needs_its_guards};

#[test]
fn routes_are_kept() {
    holds("orders");
    holds("orders-lost-commands");
    holds("orders-doubled");
    holds("orders-fenced");
}

#[test]
fn memory_is_not_overcommitted() {
    holds_everywhere("orders-memory");
    holds_everywhere("orders-memory-doubled");
}

/// Guards against losing the last route to a model. For example, an order that was sent and not committed is
/// unknown to the next leader, or an order that was sent twice is executed after a later one.
#[test]
fn guards_of_routes_are_needed() {
    needs_its_guards("orders");
}

#[test]
fn guards_of_memory_are_needed() {
    needs_its_guards("orders-memory");
    needs_its_guards("orders-memory-doubled");
}

/// Guards against losing the last route to a model after a change of the leader. A model is unloaded from
/// one engine and another is loaded there, before reports become stale. The settled unload is removed from
/// the table, since the later order replaces it. The next leader has an older report of that engine, counts
/// it as a route and unloads the model from the only engine that still has it. The cause was that an engine
/// with a restored order that no report had shown got no orders, but was counted as a route.
#[test]
fn an_engine_with_an_unseen_restored_order_is_no_route() {
    holds_until_far("orders");
}

/// Guards against unloading a model from both engines. An engine refuses the connection for an unload, which
/// is therefore cancelled, and the command that removes it from the table is lost because the queue is full.
/// The leader unloads the model from the other engine instead. The next leader finds both orders in the
/// table and sends the first one again. The cause was that an order was cancelled in the ledger before its
/// removal was committed.
#[test]
fn a_cancelled_order_is_not_sent_by_the_next_leader() {
    holds_until_far("orders-fenced-lost-commands");
}
