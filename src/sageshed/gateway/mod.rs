//! The entry process of a fleet whose configuration the operator replaces as a whole.
//!
//! It is a reverse proxy: it forwards callers' requests byte for byte to the endpoints that the
//! configuration allows, and passes their responses back. It stores nothing on disk. Its state comes
//! from control processes ([`watch`]), and it keeps serving with the last known state while none of
//! them can be reached.
//!
//! One thread serves one connection of a caller, and so one request at a time ([`proxy`]). The thread
//! blocks while the request waits for a free slot, a model load or a response, and checks several times
//! a second whether the caller is still connected.

mod allowances;
pub mod caller_limits;
pub mod config_check;
mod crashes;
pub mod entry_peers;
mod fetch;
mod listener;
pub mod metrics;
mod paths;
mod proxy;
mod queues;
mod ready;
mod refuse;
mod response;
pub mod routing;
mod routing_queries;
mod run;
pub mod slots;
pub mod state;
mod stream_origins;
mod watch;

pub use run::{StartError, run};
