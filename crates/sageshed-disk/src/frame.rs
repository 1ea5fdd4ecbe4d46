//! Frames: length, CRC-32, payload. See the package's description.

use std::path;

use serde::{Serialize, de};

use crate::error;

const WORD: usize = size_of::<u32>();
const HEAD: usize = 2 * WORD;

/// The file that a frame belongs to, which its CRC covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Place {
    pub(crate) generation: u64,
    /// The sequence number of a segment, or one of [`IDENTITY`] and [`SNAPSHOT`].
    pub(crate) file: u64,
}

/// The identity file. Segments never count as far.
pub(crate) const IDENTITY: u64 = u64::MAX;
/// The snapshot file.
pub(crate) const SNAPSHOT: u64 = u64::MAX - 1;

/// One frame of `value` that will stand at `offset`.
pub(crate) fn encode<T: Serialize>(
    place: Place,
    offset: usize,
    value: &T,
) -> Result<Vec<u8>, error::Error> {
    let mut buf = vec![0; HEAD];
    rmp_serde::encode::write_named(&mut buf, value)
        .map_err(|source| error::Error::Encode { source })?;
    let payload = buf.len() - HEAD;
    let Ok(len) = u32::try_from(payload) else {
        return Err(error::Error::TooLarge { len: payload });
    };
    let crc = crc(place, offset, &buf[HEAD..]);
    buf[..WORD].copy_from_slice(&len.to_le_bytes());
    buf[WORD..HEAD].copy_from_slice(&crc.to_le_bytes());
    Ok(buf)
}

/// The payload of the frame at `offset` and where the next one starts, if the frame is good.
pub(crate) fn at(bytes: &[u8], offset: usize, place: Place) -> Option<(&[u8], usize)> {
    let len = word(bytes, offset)?;
    let expected = word(bytes, offset + WORD)?;
    let start = offset + HEAD;
    let end = start.checked_add(usize::try_from(len).ok()?)?;
    let payload = bytes.get(start..end)?;
    (crc(place, offset, payload) == expected).then_some((payload, end))
}

/// Whether a good frame starts anywhere after `offset`.
pub(crate) fn any_after(bytes: &[u8], offset: usize, place: Place) -> bool {
    (offset + 1..bytes.len()).any(|offset| at(bytes, offset, place).is_some())
}

/// The value in a payload that starts at `offset` of the file.
pub(crate) fn decode<T: de::DeserializeOwned>(
    payload: &[u8],
    path: &path::Path,
    offset: usize,
) -> Result<T, error::Error> {
    rmp_serde::from_slice(payload).map_err(|source| error::Error::Decode {
        path: path.to_owned(),
        offset,
        source,
    })
}

fn word(bytes: &[u8], offset: usize) -> Option<u32> {
    let word = bytes.get(offset..)?.first_chunk()?;
    Some(u32::from_le_bytes(*word))
}

fn crc(place: Place, offset: usize, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&place.generation.to_le_bytes());
    hasher.update(&place.file.to_le_bytes());
    hasher.update(&(offset as u64).to_le_bytes());
    hasher.update(&(payload.len() as u64).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
