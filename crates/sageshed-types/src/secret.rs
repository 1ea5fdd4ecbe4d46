//! API keys of callers and operators, represented by their digests only.
//!
//! Whoever has a key can act as its owner, so no key is stored, printed or forwarded: a key is replaced
//! by its digest where it is read, and keys are compared by digest. The comparison need not take constant
//! time: an attacker who learns a digest by timing cannot compute a key from it.

use std::fmt::{self, Write as _};

use sha2::Digest;

/// The length of a digest in bytes.
const DIGEST_BYTES: usize = 32;

/// The SHA-256 of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of `key`.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(sha2::Sha256::digest(key).into())
    }

    /// Parses a digest of 64 hexadecimal digits in either case. None if `text` has another form.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        let digits = text.as_bytes();
        if digits.len() != 2 * DIGEST_BYTES || !digits.iter().all(u8::is_ascii_hexdigit) {
            return None;
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
            *byte = u8::from_str_radix(str::from_utf8(pair).ok()?, 16).ok()?;
        }
        Some(Self(bytes))
    }

    /// Formats the digest as 64 hexadecimal digits in lower case, the form used in settings.
    ///
    /// # Panics
    ///
    /// Never, since writing to a string cannot fail.
    #[must_use]
    pub fn to_hex(&self) -> String {
        let mut hex = String::with_capacity(2 * DIGEST_BYTES);
        for byte in self.0 {
            write!(hex, "{byte:02x}").expect("writing to a string cannot fail");
        }
        hex
    }
}

/// The credential that a request presents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Credential {
    /// There is no `Authorization` header.
    #[default]
    Missing,
    /// The digest of the key in `Authorization: Bearer KEY` (RFC 6750, section 2.1).
    Bearer(KeyDigest),
    /// The `Authorization` header contains no key, for this reason.
    Malformed(&'static str),
}

/// Omits the digest, since a short key could be found from it by trial.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
