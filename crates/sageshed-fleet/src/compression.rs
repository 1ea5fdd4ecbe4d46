//! Compression of configurations for transfer, with the text that the receiver holds as the dictionary.
//!
//! A configuration with many keys or routes has megabytes, and a change edits a few of them anywhere in the text. With
//! the previous text as the dictionary a change takes some hundred bytes.

use std::io::{self, Read, Write};

use derive_more::{Display, Error};
use sageshed_types::document;

/// Maximum size of a configuration's text.
const MAX_BYTES: u64 = 256 * 1024 * 1024;

/// Binary logarithm of the smallest window that zstd accepts.
const MIN_WINDOW_LOG: u32 = 10;

/// Binary logarithm of the largest window that the decoder accepts by default.
const MAX_WINDOW_LOG: u32 = 27;

/// Why a configuration can't be decompressed.
#[derive(Debug, Display, Error)]
pub enum DecompressError {
    /// It was compressed against another text, or it is corrupted.
    #[display("configuration does not fit the text that is held: {_0}")]
    DoesNotFit(io::Error),
    /// It is larger than any configuration may be.
    #[display("text of a configuration is too large")]
    TooLarge,
}

/// Compresses the text of a configuration for a receiver that holds the text of `before`, which may be empty.
pub fn compress(newest: &document::Document, before: &document::Document) -> io::Result<Vec<u8>> {
    let (text, held) = (newest.text.as_bytes(), before.text.as_bytes());
    let level = zstd::DEFAULT_COMPRESSION_LEVEL;
    let mut encoder = zstd::Encoder::with_ref_prefix(Vec::new(), level, held)?;
    // The window has to reach back to the beginning of the receiver's text.
    encoder.window_log(window_log(text.len() + held.len()))?;
    encoder.long_distance_matching(!held.is_empty())?;
    encoder.include_checksum(true)?;
    encoder.set_pledged_src_size(Some(text.len() as u64))?;
    encoder.write_all(text)?;
    encoder.finish()
}

/// Decompresses the configuration `version` that was compressed for a receiver with the text of `before`.
pub fn decompress(
    version: u64,
    bytes: &[u8],
    before: &document::Document,
) -> Result<document::Document, DecompressError> {
    let decoder = zstd::Decoder::with_ref_prefix(bytes, before.text.as_bytes());
    let mut decoder = decoder
        .map_err(DecompressError::DoesNotFit)?
        .take(MAX_BYTES);
    let mut text = String::new();
    decoder
        .read_to_string(&mut text)
        .map_err(DecompressError::DoesNotFit)?;
    if decoder.limit() == 0 {
        return Err(DecompressError::TooLarge);
    }
    Ok(document::Document { version, text })
}

/// Binary logarithm of the window for this number of bytes.
fn window_log(bytes: usize) -> u32 {
    let bits = usize::BITS - bytes.leading_zeros();
    bits.clamp(MIN_WINDOW_LOG, MAX_WINDOW_LOG)
}
