//! Peer: operators, the port and its client.
