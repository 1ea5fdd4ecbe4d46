//! Types shared by all other packages.
//!
//! Nothing in this package does I/O or reads a clock.
//!
//! | module | contents |
//! |---|---|
//! | [`arena`] | interned names and the keys that stand for them |
//! | [`catalog`] | models, adapters, classes and callers, as the settings define them |
//! | [`claims`] | claims on requests that may run at most once |
//! | [`cursor`] | up to which change one process has read the state of another |
//! | [`document`] | a fleet's configuration as the operator submitted it |
//! | [`endpoints`] | registration and reports of endpoints, orders to engines |
//! | [`attempt_error`] | how an attempt to send a request to an endpoint failed |
//! | [`framing`] | where the body of an HTTP message ends |
//! | [`headers`] | names of HTTP headers |
//! | [`joined_heads`] | heads of responses that are made up of two |
//! | [`messages`] | messages between the system's own processes |
//! | [`quarantine`] | requests that crashed endpoints |
//! | [`refusal`] | the body of a refused request's response |
//! | [`request_trace`] | what is recorded of one request for `sageshed explain` |
//! | [`rules`] | routing rules as data, and changes of them |
//! | [`secret`] | API keys, stored as digests |
//! | [`body`] | bodies of requests, shared without copies |
//! | [`shared_memory`] | memory that all requests of a process share |
//! | [`status`] | status codes of HTTP responses |
//! | [`time`] | instants and durations in milliseconds |
//! | [`verdict`] | whether a request may have run, and why it was refused |

pub mod arena;
pub mod attempt_error;
pub mod body;
pub mod catalog;
pub mod claims;
pub mod cursor;
pub mod document;
pub mod endpoints;
pub mod framing;
pub mod headers;
pub mod joined_heads;
pub mod messages;
pub mod quarantine;
pub mod refusal;
pub mod request_trace;
pub mod rules;
pub mod secret;
pub mod shared_memory;
pub mod status;
pub mod time;
pub mod verdict;
