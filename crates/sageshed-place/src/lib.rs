//! Placement: decides which engine holds which model, as a deterministic state machine.
//!
//! The leader of the control group owns a [`Placement`]. It takes events with the time at which they
//! arrived and returns actions. There is no clock, I/O or threading here, and the same events give
//! the same actions on every machine.
//!
//! # The life cycle of an order
//!
//! 1. [`Action::Propose`] requests an order. The daemon assigns an id and a fencing token, both
//!    greater than all before, commits the order to the replicated table and passes in
//!    [`Event::OrderCommitted`].
//! 2. Only then the order is sent, by [`Action::SendOrder`]. If a leader sent an order before it was
//!    committed, the next leader might not know of it and use its memory for something else.
//! 3. The outcome of the order is known only from reports of the endpoint (see [`engine`]).
//! 4. [`Action::Settle`] removes the order from the table; the daemon commits removals in the order
//!    of the actions. The last order to each engine stays in the table even when it is done, for the
//!    reason given in [`engine`].
//!
//! If the daemon fails to commit a proposal while it is still the leader, it must pass in
//! [`Event::LeadershipLost`] and then [`Event::OrdersRestored`]. Until then the memory of the proposal
//! stays reserved.

pub mod budget;
pub mod demand;
pub mod engine;
pub mod ledger;
pub mod move_limits;
pub mod orders;
pub mod placement;
pub mod planner;
pub mod policy;

pub use placement::{Action, Event, Pin, Placement, Settings};
pub use policy::{PlannerKind, Policy};
