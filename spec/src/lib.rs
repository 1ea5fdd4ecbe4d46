//! Model-checked specifications of the packages that are pure state machines.
//!
//! A specification consists of an initial state, the events possible in each state, and invariants. Its
//! transitions call the production code: the log's [`sageshed_quorum::node::Node`], the tables of
//! `sageshed-state`, the ledger of `sageshed-place` and the entry process's
//! [`sageshed::entry::freshness::Freshness`]. [`explore`] visits the reachable states breadth first and
//! returns the shortest sequence of events that violates an invariant.
//!
//! | module | what it checks |
//! |---|---|
//! | [`log`] | elections, replication, lost disks and membership changes |
//! | [`memberships`] | which membership changes allow two disjoint majorities |
//! | [`repair`] | automatic growth and repair of a group while disks are lost |
//! | [`orders`] | orders to engines that ignore fencing tokens, over changes of the leader |
//! | [`suspensions`] | orders of two leaders whose VMs are suspended and resumed |
//! | [`claims`] | requests that may run at most once |
//! | [`leases`] | that no entry process uses an old configuration for longer than a lease |
//!
//! Each specification has guards that can be turned off by name to show that they are needed: the
//! exploration then finds a counterexample. [`run`] contains the command line.

pub mod claims;
pub mod explore;
pub mod leases;
pub mod log;
pub mod memberships;
pub mod orders;
pub mod repair;
pub mod run;
pub mod suspensions;
