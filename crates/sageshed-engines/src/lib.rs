//! Peer: model engines.
//!
//! Sends requests to engines and reads their answers ([`client`], [`events`]), sends orders
//! ([`orders`]) and checks the reports that engines send in ([`reports`]). Every failure on the way
//! is sorted by one table ([`classify`]) into a fault and a verdict.
//!
//! The adapter is thin: what the engines of a platform call these paths and headers is said in
//! [`headers`] and [`paths`] and nowhere else.
//!
//! # Connections
//!
//! HTTP is `ureq` 2. Its own connection pool does not fit what the system promises:
//!
//! * a pooled connection has no maximum idle age, and no read timeout until the head of the next
//!   answer has come, unless the whole exchange has one timeout; a connection that went silent while
//!   idle then holds the request for all of that time;
//! * the first byte and the gaps within a stream share one timeout;
//! * a body in chunks that is cut inside a chunk reads as if it had ended;
//! * a request that fails on a pooled connection may be sent again without telling.
//!
//! So each connection has an agent of its own ([`connection`]), its socket is wrapped through the
//! library's connector interface, and the idle ones are kept in a pool of ours ([`transport`]) with
//! a bound on age and number. The connector interface is meant for TLS and is asked only for
//! `https` addresses; the wrapper adds no TLS, and no `https` address leaves this package.

pub mod answer;
pub mod classify;
pub mod client;
pub mod connection;
pub mod events;
mod head;
pub mod headers;
pub mod orders;
pub mod paths;
pub mod reports;
pub mod transport;
