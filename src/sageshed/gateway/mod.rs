//! An entry process in front of a fleet whose configuration an operator replaces as a whole.
//!
//! It passes callers' requests on to the endpoints that the configuration allows, byte for byte, and
//! their answers back. It keeps nothing on disk: what it knows it has from control processes
//! ([`watch`]), and it goes on with what it knows while none of them can be reached.
//!
//! One thread serves one connection of a caller, and with it one request at a time ([`proxy`]). It
//! blocks while it waits for a place, a load or an answer, and looks several times a second whether
//! the caller is still there.

mod allowances;
mod crashes;
pub mod entry_peers;
mod fetch;
pub mod metrics;
mod proxy;
mod ready;
mod refuse;
mod response;
pub mod routing;
mod run;
pub mod state;
mod watch;

pub use run::{StartError, run};
