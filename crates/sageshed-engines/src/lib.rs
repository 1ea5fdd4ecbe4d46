//! Peer: model engines.
