//! Peer: plain services.
//!
//! A request to a service is passed through with its method, path, headers and body ([`client`]);
//! what belongs to one connection or to the system is taken out on both ways ([`filter`]). The
//! connections and the table of failures are those of `sageshed-engines`.

pub mod client;
pub mod filter;
