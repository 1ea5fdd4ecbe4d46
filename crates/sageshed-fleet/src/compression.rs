//! Configurations as they travel: compressed, with the text that the receiver holds as a dictionary.
//!
//! A configuration has megabytes where it holds the keys of many callers or many routes, and a change edits a few of
//! them, wherever they stand. With the text before as the dictionary a change takes some hundred bytes.

use std::io::{self, Read, Write};

use derive_more::{Display, Error};
use sageshed_types::document;

/// Bytes of a configuration's text at the most.
const MAX_BYTES: u64 = 256 * 1024 * 1024;

/// The smallest window that the compression takes, as a power of two.
const SMALLEST_WINDOW: u32 = 10;

/// The largest that its other end takes without being told.
const LARGEST_WINDOW: u32 = 27;

/// A configuration that cannot be read.
#[derive(Debug, Display, Error)]
pub enum DecompressError {
    /// It was made for one who holds another text, or it was spoiled on its way.
    #[display("configuration does not fit the text that is held: {_0}")]
    DoesNotFit(io::Error),
    /// It is larger than any configuration.
    #[display("text of a configuration is too large")]
    TooLarge,
}

/// Compresses the text of a configuration for one who holds that of `before`, which is empty if it holds none.
pub fn compress(newest: &document::Document, before: &document::Document) -> io::Result<Vec<u8>> {
    let (text, held) = (newest.text.as_bytes(), before.text.as_bytes());
    let level = zstd::DEFAULT_COMPRESSION_LEVEL;
    let mut encoder = zstd::Encoder::with_ref_prefix(Vec::new(), level, held)?;
    // It has to reach back to the beginning of what is held.
    encoder.window_log(window(text.len() + held.len()))?;
    encoder.long_distance_matching(!held.is_empty())?;
    encoder.include_checksum(true)?;
    encoder.set_pledged_src_size(Some(text.len() as u64))?;
    encoder.write_all(text)?;
    encoder.finish()
}

/// Reads the configuration `version` that was compressed for one who holds the text of `before`.
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

/// The window for so many bytes, as a power of two.
fn window(bytes: usize) -> u32 {
    let bits = usize::BITS - bytes.leading_zeros();
    bits.clamp(SMALLEST_WINDOW, LARGEST_WINDOW)
}
