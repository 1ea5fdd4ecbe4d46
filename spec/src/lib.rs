//! Model-checked specifications over the pure crates.
//!
//! A specification is a state, the events that may happen in it and what must hold. Its transitions
//! call the same code as the product: the log's [`sageshed_quorum::node::Node`], the tables of
//! `sageshed-state`, the ledger of `sageshed-place` and the entry's
//! [`sageshed::entry::freshness::Freshness`]. [`explore`] visits every state that can be reached,
//! breadth first, and gives the shortest sequence of events that breaks a promise.
//!
//! | module | what it checks |
//! |---|---|
//! | [`log`] | elections, replication, lost disks and changes of membership |
//! | [`memberships`] | which changes of membership leave two majorities without a common voter |
//! | [`repair`] | growth and replacement of voters by the group itself, while disks are lost |
//! | [`orders`] | orders to engines that ignore fencing numbers, over changes of leader |
//! | [`suspensions`] | orders of two leaders whose VMs are suspended and go on |
//! | [`claims`] | requests that may run at most once |
//! | [`leases`] | that no entry process serves by an old configuration for longer than a lease |
//!
//! Each has guards that can be taken out by name, to see that they are needed: the exploration then
//! ends with a counterexample. [`run`] is the command line.

pub mod claims;
pub mod explore;
pub mod leases;
pub mod log;
pub mod memberships;
pub mod orders;
pub mod repair;
pub mod run;
pub mod suspensions;
