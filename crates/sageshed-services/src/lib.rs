//! Peer: plain services.
