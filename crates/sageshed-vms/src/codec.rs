//! rmp-serde bodies.

use derive_more::{Display, Error};
use serde::{Serialize, de};

/// A body that could not be written or read.
#[derive(Debug, Display, Error)]
pub enum CodecError {
    /// A message that rmp-serde cannot write.
    #[display("cannot encode a message between VMs: {_0}")]
    Encode(rmp_serde::encode::Error),
    /// Bytes that are not the message expected; the processes may be of versions too far apart.
    #[display("cannot decode a message between VMs: {_0}")]
    Decode(rmp_serde::decode::Error),
}

/// Writes `message` as a body.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec_named(message).map_err(CodecError::Encode)
}

/// Reads a body as a message.
pub fn decode<T: de::DeserializeOwned>(body: &[u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(body).map_err(CodecError::Decode)
}
