//! Peer: the system's own processes on other VMs.
//!
//! Messages ([`sageshed_types::messages`]) travel as rmp-serde bodies of HTTP POST requests. The
//! server side is [`sageshed_http`], the client side `ureq`. Structs are written as maps, so that a process
//! of the next version may add a member that one of this version passes over: VMs are upgraded one
//! after another.
//!
//! # Connections that go silent
//!
//! Something between two VMs may lose track of an open connection: it stays open at both ends and
//! carries nothing, while a new connection works. The client therefore gives each call a short limit
//! of its own and drops the connection on which a call ran out of time, so that the next call makes
//! a new one. No call is repeated here; the callers of this package know which may be.
//!
//! At the other end such a connection would hold its place, and a thread if it went silent between the head of a
//! call and its body. The server limits both times ([`limits_for`]), so that silent connections cannot use up the
//! port.
//!
//! # Who may call
//!
//! A process that knows the group's shared token may call, and no other: each request carries it in
//! a header. An empty token, for trials on one machine, lets every call in.

mod client;
mod codec;
mod server;

pub use client::{CallError, Client};
pub use codec::{CodecError, decode, encode};
pub use sageshed_http::limits;
pub use server::{Answer, Handler, Later, Server, StartError, limits_for};

/// The header that carries the group's shared token.
pub const TOKEN_HEADER: &str = "Sageshed-Group-Token";

/// The largest body that either side takes, in bytes.
///
/// A snapshot of the control state is the largest message; its bounds are in the settings.
pub const BODY_LIMIT: u64 = 256 * 1024 * 1024;
