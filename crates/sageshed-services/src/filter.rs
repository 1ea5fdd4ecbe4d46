//! Which headers are passed on between callers and services.

use sageshed_engines::headers;
use sageshed_types::headers as own;

/// The headers of a caller's request that go on to the service.
#[must_use]
pub fn to_service(headers: &[(String, String)]) -> Vec<(&str, &str)> {
    passed(headers)
        .filter(|(name, _)| !name.eq_ignore_ascii_case(own::AUTHORIZATION))
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
            let own = own::HOP_BY_HOP.iter().any(&is);
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
