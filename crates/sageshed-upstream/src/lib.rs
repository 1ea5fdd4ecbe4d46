//! Passes requests on to endpoints and takes their answers, byte for byte.
//!
//! The client of `sageshed-engines`, over `ureq`, speaks the system's own interface. It can't be used
//! here, where a request and its answer must arrive as they were sent: the library rewrites headers,
//! takes an end inside a chunk for the end of the body, does not show bytes that come behind an
//! answer, and can't be told to stop while it waits. So this is a small loop over `std::net`; heads
//! and chunk sizes are parsed by `httparse`.
//!
//! # What may have run
//!
//! A [`failure::Failure`] says whether a byte of the request can have reached the endpoint. Nothing is
//! sent a second time here: that is for whoever knows what may be repeated.
//!
//! # Connections
//!
//! One that is kept ([`pool::Pool`]) is used again only while the endpoint has promised to keep it,
//! less a margin, and only if nothing has come on it since its last answer: neither a close nor bytes
//! that belong to nobody. One on which anything went wrong is dropped.
//!
//! Another process of the system can open a connection ([`connection`]) and pass its bytes on ([`relay`]).

mod body;
pub mod boot_time;
pub mod connection;
pub mod exchange;
pub mod failure;
pub mod pool;
pub mod probe;
pub mod relay;
mod socket;
mod unwritten;
