//! Peer: callers, over HTTP.
//!
//! The paths that callers may ask for ([`route`]) and the bodies of the `OpenAI` API, as far as
//! routing needs them ([`openai`]). Connections, requests and answers are those of
//! [`sageshed_http`], whose modules stand here too. What to answer is the business of a
//! [`handler::Handler`], which the entry daemon brings.
//!
//! # What a caller can rely on
//!
//! Every answer carries `Sageshed-Request-Id`. Every refusal, also of a request that could not be
//! parsed, is a problem document ([`problem`]). A stream that ends early is closed in a way that
//! the caller's HTTP library reports as an error ([`reply::Stream::abort`]).

pub mod openai;
pub mod route;

pub use sageshed_http::{handler, limits, problem, reply, request, server};
