//! The specification of orders, and what breaks without each guard.

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

/// Among others: an order that was sent and not committed is unknown to the next leader; one that
/// was sent twice runs after what was ordered later.
#[test]
fn guards_of_routes() {
    needs_its_guards("orders");
}

#[test]
fn guards_of_memory() {
    needs_its_guards("orders-memory");
    needs_its_guards("orders-memory-doubled");
}

/// A model is unloaded from one engine, and another loaded there, within the age at which reports
/// go stale. The settled unload leaves the table, as the later order stands in for it. The next
/// leader has an older report of that engine, takes it for a route and unloads the model from the
/// only engine that has it: callers hear that the model is not available. Cause: an engine with a
/// restored order that no report has shown took no orders, and yet counted as a route.
#[test]
fn an_engine_with_an_unseen_restored_order_is_no_route() {
    holds_until_far("orders");
}

/// The engine refuses the connection for an unload, which is therefore taken back; the command that
/// removes it from the table is dropped since the queue is full. The leader unloads the model
/// elsewhere instead. The next leader finds both in the table and sends the first one again: the
/// model is gone from both. Cause: an order was taken back in the ledger before its removal was
/// committed.
#[test]
fn an_order_taken_back_is_not_sent_by_the_next_leader() {
    holds_until_far("orders-fenced-lost-commands");
}
