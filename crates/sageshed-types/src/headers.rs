//! Names of HTTP headers that are used by more than one package.

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that each sender of a message sets
/// itself. In lower case.
pub const HOP_BY_HOP: [&str; 12] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The header with the caller's bearer token. It is never forwarded, since whoever receives the token
/// could act as the caller. In lower case.
pub const AUTHORIZATION: &str = "authorization";
