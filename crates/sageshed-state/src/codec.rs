//! Encoding of commands and of the whole state: a format version, then rmp-serde with named fields.
//!
//! With named fields a later build can add a field with a serde default and still read what an earlier
//! build wrote. A change that cannot be expressed by defaults increases [`FORMAT`]. A build refuses to
//! read a format that it does not know.

use derive_more::{Display, Error};
use serde::{Serialize, de};

use crate::{command, control};

/// The format version that this build writes, as the first four bytes in little-endian order.
pub const FORMAT: u32 = 1;

const FORMAT_LEN: usize = size_of::<u32>();

/// An error of encoding or decoding.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// A value could not be encoded.
    #[display("cannot write the control state or a command: {source}")]
    Write {
        /// The codec's error.
        source: rmp_serde::encode::Error,
    },
    /// The bytes end before the format version does.
    #[display("cannot read the control state or a command: {len} bytes hold no format version")]
    Short {
        /// The number of bytes.
        len: usize,
    },
    /// The format version is not that of this build.
    #[display(
        "cannot read format {found} of the control state, this build reads {FORMAT}: run the build that wrote it, or a later one"
    )]
    Format {
        /// The format version found.
        found: u32,
    },
    /// The bytes could not be decoded.
    #[display("cannot read the control state or a command: {source}")]
    Read {
        /// The codec's error.
        source: rmp_serde::decode::Error,
    },
}

impl control::ControlState {
    /// Encodes the state for a snapshot.
    pub fn to_bytes(&self) -> Result<Vec<u8>, Error> {
        write(self)
    }

    /// Decodes the state from the bytes of a snapshot.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Error> {
        read(bytes)
    }
}

impl command::Command {
    /// Encodes the command for a log entry.
    pub fn to_bytes(&self) -> Result<Vec<u8>, Error> {
        write(self)
    }

    /// Decodes the command from the bytes of a log entry.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Error> {
        read(bytes)
    }
}

fn write<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    let mut buf = FORMAT.to_le_bytes().to_vec();
    rmp_serde::encode::write_named(&mut buf, value).map_err(|source| Error::Write { source })?;
    Ok(buf)
}

fn read<T: de::DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let (head, body) = bytes
        .split_first_chunk::<FORMAT_LEN>()
        .ok_or(Error::Short { len: bytes.len() })?;
    let found = u32::from_le_bytes(*head);
    if found != FORMAT {
        return Err(Error::Format { found });
    }
    rmp_serde::from_slice(body).map_err(|source| Error::Read { source })
}
