//! Keys of callers and operators, known by their digests alone.
//!
//! Whoever has a key can act as its owner, so nothing that is kept, printed or sent holds one: a key is
//! turned into its digest where it is read, and keys are told apart by digests. The time that a comparison
//! of digests takes says nothing of the key, since nobody can make a key for a digest.

use std::fmt::{self, Write as _};

use sha2::Digest;

/// Bytes of a digest.
const BYTES: usize = 32;

/// The SHA-256 of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; BYTES]);

impl KeyDigest {
    /// The digest of `key`.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(sha2::Sha256::digest(key).into())
    }

    /// The digest written as 64 hexadecimal digits of either case. None if `text` is not that.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        let digits = text.as_bytes();
        if digits.len() != 2 * BYTES || !digits.iter().all(u8::is_ascii_hexdigit) {
            return None;
        }
        let mut bytes = [0; BYTES];
        for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
            *byte = u8::from_str_radix(str::from_utf8(pair).ok()?, 16).ok()?;
        }
        Some(Self(bytes))
    }

    /// As 64 hexadecimal digits in lower case, as it stands in settings.
    ///
    /// # Panics
    ///
    /// Never: a string takes all text.
    #[must_use]
    pub fn to_hex(&self) -> String {
        let mut hex = String::with_capacity(2 * BYTES);
        for byte in self.0 {
            write!(hex, "{byte:02x}").expect("a string takes all text");
        }
        hex
    }
}

/// What a request shows of who sends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Credential {
    /// Nothing.
    #[default]
    Missing,
    /// The key of `Authorization: Bearer KEY` (RFC 6750, section 2.1), by its digest.
    Bearer(KeyDigest),
    /// An `Authorization` that shows no key: why.
    Malformed(&'static str),
}

/// Tells nothing: a short key could be found by its digest.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
