//! The control process: one member of the group that holds the replicated state.
//!
//! # Threads
//!
//! The [`driver`] thread owns the replicated log and its disk; nothing else touches either. It takes
//! inputs from a channel, steps the pure log over all that have gathered (one sync for the lot) and
//! carries out the actions in order. Everything else talks to it through [`inputs::Inputs`] or reads
//! what it publishes in [`shared::Shared`]:
//!
//! - the port for the other processes ([`vms`]), a pool of threads,
//! - the port for operators ([`operators`]), another pool,
//! - a thread for each other control process that sends what the log wants sent ([`links`]),
//! - a thread that keeps in the log which requests are held ([`keeping`]),
//! - the [`placing`] thread, which owns the memory ledger and the planner and sends orders.
//!
//! A thread that waits for a commit waits with a limit and reports the fate as unknown past it.

pub mod driver;
mod first_start;
pub mod fleet;
pub mod formation;
pub mod inputs;
pub mod keeping;
pub mod links;
pub mod metrics;
pub mod operators;
pub mod placing;
pub mod roster;
pub mod shared;
mod stored;
pub mod vms;

mod run;

pub use run::{Options, StartError, run, run_fleet};
