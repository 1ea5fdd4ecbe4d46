//! A replicated log based on Raft: election, replication, membership changes and snapshots.
//!
//! [`node::Node`] is one member of the group: a state machine that consumes [`event::Event`]s and
//! returns [`event::Action`]s, without a clock, threads or I/O. The driver that runs it must carry out
//! the actions as described at [`event::Action`]. The algorithm is described at [`node`].
//!
//! | module | contents |
//! |---|---|
//! | [`node`] | a member of the group |
//! | [`event`] | input of a node, and the actions that it requests |
//! | [`message`] | messages between nodes |
//! | [`log`] | persistent data: terms, entries, memberships and snapshots |
//! | [`config`] | settings of a node |
//! | [`repair`] | when a group adds, promotes and removes members by itself |
//! | [`stalls`] | members that lack entries and acknowledge none |
//! | [`state`] | the state that a model checker compares |
//! | [`status`] | the status shown to operators |

pub mod config;
pub mod event;
pub mod log;
pub mod message;
pub mod node;
pub mod repair;
pub mod stalls;
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
