//! Serializes `Vec<u8>` as a byte string instead of a sequence of numbers.
//!
//! A binary codec writes a sequence of `u8` element by element, which takes up to two bytes and a
//! function call for each element. Commands and snapshots are most of the data that is sent and stored.

use std::fmt;

use serde::{Deserializer, Serializer, de};

pub(crate) fn serialize<S: Serializer>(buf: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(buf)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    deserializer.deserialize_byte_buf(ByteBuf)
}

struct ByteBuf;

impl<'de> de::Visitor<'de> for ByteBuf {
    type Value = Vec<u8>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a byte string")
    }

    fn visit_bytes<E: de::Error>(self, buf: &[u8]) -> Result<Vec<u8>, E> {
        Ok(buf.to_vec())
    }

    fn visit_byte_buf<E: de::Error>(self, buf: Vec<u8>) -> Result<Vec<u8>, E> {
        Ok(buf)
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<u8>, A::Error> {
        let mut buf = Vec::new();
        while let Some(byte) = seq.next_element()? {
            buf.push(byte);
        }
        Ok(buf)
    }
}
