//! Names of HTTP headers that more than one package has to know.

/// Headers that belong to one connection and not to the message (RFC 9110, section 7.6.1), and those
/// that the sender of the next message sets anew. In lower case.
pub const OF_CONNECTION: [&str; 12] = [
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

/// The header with a caller's token for this system. Whoever gets it could act as the caller, so it
/// is never passed on. In lower case.
pub const TOKEN: &str = "authorization";
