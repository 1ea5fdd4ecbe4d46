//! Pure replicated log: election, replication, membership change and snapshots.
//!
//! [`node::Node`] is one member: a state machine that takes [`event::Event`]s and gives
//! [`event::Action`]s, without clock, threads or I/O. [`log`] has what is kept on disk,
//! [`message`] what members tell each other, [`config`] the settings and [`status`] what operators
//! see, [`repair`] how a group grows and replaces members. The algorithm is described at [`node`], the
//! duties of a driver at [`event::Action`].

pub mod config;
pub mod event;
pub mod log;
pub mod message;
pub mod node;
pub mod repair;
pub mod state;
pub mod status;

mod bytes;
mod election;
mod entries;
mod heartbeat;
mod output;
mod replication;
mod requests;
mod restart;
mod rng;
