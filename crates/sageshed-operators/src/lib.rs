//! Peer: operators, the port and its client.
//!
//! Operators see and steer the system over HTTP with JSON bodies, on a port of its own at each
//! control process. [`server`] answers there for whatever implements [`backend::Backend`];
//! [`client`] is what `sageshed rules`, `status` and the other commands use. Both speak the bodies
//! in [`wire`].
//!
//! # Changes
//!
//! A change carries the revision that the operator saw and an id that the operator's client chose.
//! The backend takes it only on top of that revision, so that of two operators who race under equal
//! numbers one is told what came between. The id makes a resend idempotent: a client that lost the
//! answer sends the same change again, to any control process, and gets the first answer.
//!
//! An answer that is no outcome says by its [`wire::Fate`] whether the change may still take hold.
//! Only `unknown` may; the client then sends again, and if it can't learn more it says so and names
//! the change id.
//!
//! # The library
//!
//! [`sageshed_http`] takes the connections, and says why no ready-made server does. The token is
//! checked before any byte of the body is read, a connection carries one request, and the number of
//! open connections is bounded by [`server::Options::connections`]. Refusals have the form of
//! [`wire::Problem`], also those of requests that could not be read.

pub mod backend;
pub mod client;
pub mod describe;
mod respond;
mod route;
pub mod server;
pub mod tokens;
pub mod wire;
