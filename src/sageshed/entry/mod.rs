//! The entry process: takes callers' requests, decides, sends them to endpoints and answers.
//!
//! # Threads
//!
//! Each caller's connection has a thread ([`sageshed_callers`]), which runs the whole life of a
//! request ([`serve`], [`request`]). What to do next is decided by the one [`sageshed_decide`] state
//! machine behind a lock, in microseconds; a step may also concern other requests, whose threads are
//! told through [`waiters`]. Beside these run:
//!
//! - a thread for each other process of the system, which exchanges heartbeats ([`sync`]),
//! - the port for those processes ([`vms`]),
//! - a thread that tells the decider that time goes on, and sends cancellations ([`housekeeping`]),
//! - a thread that settles claims with the control group ([`claims`]).

pub mod claims;
pub mod completion;
pub mod crashes;
pub mod freshness;
pub mod housekeeping;
pub mod metrics;
pub mod request;
pub mod serve;
pub mod service;
pub mod shared;
pub mod sync;
pub mod vms;
pub mod waiters;

mod claiming;
mod ending;
mod run;

pub use run::{StartError, run};
