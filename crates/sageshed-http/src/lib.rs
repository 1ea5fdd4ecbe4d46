//! HTTP in, with an account for every refusal.
//!
//! This package turns bytes into typed requests and typed answers into bytes, for each port of the
//! system: the one for callers, the one for operators and the one for the system's own processes.
//! What to answer is the business of a [`handler::Handler`], which the owner of the port brings.
//! Whoever sends requests is called the caller here, also where it is an operator or a process.
//!
//! # Why no ready-made HTTP server
//!
//! The house libraries were tried first. `rouille` holds a streamed body back until it is
//! complete, has no read timeout, and reads the rest of an announced body after it has answered, so
//! that a peer whose connection goes silent holds a thread for good. `tiny_http`, below it, passes
//! chunks on, but has no read timeout either, so that half a request line holds a thread; it answers
//! 400 and 431 by itself, without the account that every refusal must carry; and it cannot tell that
//! a caller has left while its request waits in a queue. The usual alternatives bring an async
//! runtime. So this is a small loop over `std::net`, and the parsing of heads and chunk sizes is left
//! to the `httparse` library.
//!
//! # Connections that go silent
//!
//! Something between the two ends may lose track of a connection: nothing more comes, no close
//! either. Every wait has its limit here ([`limits::Limits`]): for the first byte, the head, the
//! body, and the acknowledgement of an answer. A silent connection gives its thread and its place
//! back, whenever it went silent. The limits on callers ([`limits::CallerLimits`]) can be changed while the port runs
//! ([`server::Server::caller_limits`]); [`idle`] says what becomes of the connections that are open.
//!
//! # Threads
//!
//! A port has one thread that accepts and that waits for all connections ([`server`]). A request is served by a
//! worker thread from its first byte to the end of its answer; the handler runs on that thread, and while it
//! waits it may ask [`reply::Reply::caller_gone`], or defer its answer and give the thread back. Between requests a
//! connection holds no thread. The number of connections and the size of each stack are bounded by
//! [`limits::Limits`]. For a connection past the bound an idle one is closed; if there is none, it is answered 503 with
//! an account, or closed unread where callers have other processes to go to ([`limits::Excess`]).
//!
//! # More requests than the processor bears
//!
//! The requests that are started at once are bounded by [`starts`]. What can't be started in time is closed unread.
//!
//! # What a caller can rely on
//!
//! Every refusal, also of a request that could not be parsed, is a problem document ([`problem`]).
//! A stream that ends early is closed in a way that the caller's HTTP library reports as an error
//! ([`reply::Stream::abort`]).

mod body;
mod connection;
pub mod deferred;
pub mod handler;
mod head;
pub mod idle;
pub mod limits;
mod link;
mod overflow;
mod poller;
pub mod problem;
pub mod reply;
pub mod request;
pub mod server;
pub mod starts;
pub mod stats;
mod workers;
