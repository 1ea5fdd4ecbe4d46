//! Placement: which engine holds which model, decided without a clock, I/O or threads.
//!
//! The leader of the control group owns a [`Placement`]. It takes events with the time at which they
//! came and says what to do; the same events give the same actions on every machine.
//!
//! The life of an order: [`Action::Propose`] asks for it; the daemon gives it an id and a fencing
//! number, both greater than all before, commits it to the replicated table and feeds
//! [`Event::OrderCommitted`]; only then comes [`Action::SendOrder`]. A leader that sent before
//! committing could be followed by one that knows nothing of the order and gives its memory away.
//! What becomes of the order, only the endpoint's reports tell ([`engine`]). [`Action::Settle`] takes
//! it out of the table; the daemon commits that in the order of the actions. The table keeps the
//! last order to each engine even when it is done, for the reason given there.
//!
//! A daemon that fails to commit a proposal while it still leads must feed [`Event::LeadershipLost`] and
//! [`Event::OrdersRestored`]: until then the memory proposed stays reserved.

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
