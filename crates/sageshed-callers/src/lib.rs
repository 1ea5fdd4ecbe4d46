//! Peer: callers, over HTTP.
