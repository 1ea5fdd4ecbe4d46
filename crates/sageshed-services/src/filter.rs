//! Which headers are passed on between callers and services.

use sageshed_engines::headers;

/// Headers that belong to one connection and not to the message (RFC 9110, section 7.6.1), and those
/// that each side of the system sets anew.
const OWN_TO_CONNECTION: [&str; 12] = [
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

/// The header with the caller's token for this system. A service that got it could act as the caller.
const TOKEN: &str = "authorization";

/// The headers of a caller's request that go on to the service.
#[must_use]
pub fn to_service(headers: &[(String, String)]) -> Vec<(&str, &str)> {
    passed(headers)
        .filter(|(name, _)| !name.eq_ignore_ascii_case(TOKEN))
        .collect()
}

/// The headers of a service's answer that go on to the caller.
#[must_use]
pub fn to_caller(headers: &[(String, String)]) -> Vec<(&str, &str)> {
    passed(headers).collect()
}

fn passed(all: &[(String, String)]) -> impl Iterator<Item = (&str, &str)> {
    let named = named_by_connection(all);
    all.iter()
        .map(|(name, value)| (name.as_str(), value.as_str()))
        .filter(move |(name, _)| {
            let is = |other: &&str| name.eq_ignore_ascii_case(other);
            let own = OWN_TO_CONNECTION.iter().any(&is);
            let ours = is(&headers::REQUEST_ID);
            !own && !ours && !named.iter().any(&is)
        })
}

/// The headers that a `Connection` header declares to belong to the connection.
fn named_by_connection(all: &[(String, String)]) -> Vec<&str> {
    all.iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("connection"))
        .flat_map(|(_, value)| value.split(','))
        .map(str::trim)
        .collect()
}
