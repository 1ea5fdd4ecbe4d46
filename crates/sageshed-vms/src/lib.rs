//! Peer: our own processes, rmp-serde over HTTP.
