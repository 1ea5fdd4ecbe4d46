//! Peer: callers, over HTTP.
//!
//! This package turns bytes from callers into typed requests and typed answers into bytes. What to
//! answer is the business of a [`handler::Handler`], which the entry daemon brings.
//!
//! # Why no ready-made HTTP server
//!
//! The house libraries were tried first. `rouille` holds a streamed body back until it is
//! complete. `tiny_http`, below it, passes chunks on, but has no read timeout, so that half a
//! request line holds a thread for good; it answers 400 and 431 by itself, without the account that
//! every refusal must carry; and it cannot tell that a caller has left while its request waits in a
//! queue. The usual alternatives bring an async runtime. So the caller side is a small loop over
//! `std::net`, and the parsing of heads and chunk sizes is left to the `httparse` library.
//!
//! # Threads
//!
//! One thread serves one connection from its first byte to its last ([`server`]). The handler runs
//! on that thread, and while it waits it may ask [`reply::Reply::caller_gone`]. The number of
//! connections and the size of each stack are bounded by [`limits::Limits`]. A connection past the
//! bound is answered 503 with an account by one shared thread, never dropped in silence.
//!
//! # What a caller can rely on
//!
//! Every answer carries `Sageshed-Request-Id`. Every refusal, also of a request that could not be
//! parsed, is a problem document ([`problem`]). A stream that ends early is closed in a way that
//! the caller's HTTP library reports as an error ([`reply::Stream::abort`]).

mod body;
mod connection;
pub mod handler;
mod head;
pub mod limits;
mod link;
pub mod openai;
mod overflow;
pub mod problem;
pub mod reply;
pub mod request;
pub mod route;
pub mod server;
