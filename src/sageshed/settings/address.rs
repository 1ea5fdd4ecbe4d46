//! Deserialises `IP:port`. Names are refused: processes know each other by IP number only.

use std::net;

use serde::{Deserialize, de};

/// Deserialises a required address.
pub(super) fn required<'de, D: de::Deserializer<'de>>(
    deserializer: D,
) -> Result<net::SocketAddr, D::Error> {
    parse(&String::deserialize(deserializer)?)
}

/// Deserialises an address that may be left out; used with `#[serde(default)]`.
pub(super) fn optional<'de, D: de::Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<net::SocketAddr>, D::Error> {
    required(deserializer).map(Some)
}

fn parse<E: de::Error>(text: &str) -> Result<net::SocketAddr, E> {
    text.parse().map_err(|e| {
        let example = "write an IP number and a port, such as \"10.0.0.1:8801\"";
        E::custom(format!("`{text}` is not an address ({e}); {example}"))
    })
}
