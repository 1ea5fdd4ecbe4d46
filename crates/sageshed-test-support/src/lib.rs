//! Stand-ins for what the system talks to, a relay that can be cut, and a load tool. Never shipped.
//!
//! The stand-ins serve many endpoints from one process, each on a port of its own ([`standin`]).
//! They do on demand what real ones do at the worst moment ([`fault`]), and they count what a caller
//! cannot see: runs of one request, memory past the bound, new work after leaving ([`stats`]).
//!
//! Their HTTP server ([`http`]) is a small one of its own: a stand-in must be able to close or hold
//! a connection at any byte, which no server library lets it do.

pub mod answer_text;
pub mod config;
pub mod endpoint;
mod engine;
pub mod fault;
pub mod http;
pub mod load;
mod memory;
mod orders;
pub mod random;
pub mod relay;
mod reporter;
mod service;
mod slots;
pub mod standin;
pub mod stats;
mod store;
