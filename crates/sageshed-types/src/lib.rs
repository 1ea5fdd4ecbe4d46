//! Types that every other package shares.
//!
//! Nothing in this package does I/O or reads a clock. It holds the words in which the packages talk
//! to each other: keys and arenas ([`arena`]), the verdict about a request ([`verdict`]), the
//! account of a refusal ([`refusal`]), rules as data ([`rules`]), what endpoints say of themselves
//! ([`endpoints`]), how a sending to one of them fails ([`fault`]), the catalog of what is offered ([`catalog`]), claims on requests that may not be
//! repeated ([`claims`]), what happened to one request ([`account`]), a fleet's configuration as it was sent ([`document`]), requests that
//! have ended endpoints ([`quarantine`]), keys by their digests ([`secret`]), how far one process knows what another counts ([`mark`]) and the messages between the
//! system's own processes ([`messages`]).

pub mod account;
pub mod arena;
pub mod catalog;
pub mod claims;
pub mod document;
pub mod endpoints;
pub mod fault;
pub mod headers;
pub mod mark;
pub mod messages;
pub mod quarantine;
pub mod refusal;
pub mod rules;
pub mod secret;
pub mod time;
pub mod verdict;
