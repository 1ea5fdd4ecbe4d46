//! Bearer tokens, of which only the hashes are known.

use std::{fmt::Write, hint};

use sha2::Digest;

/// The operators and the hashes of their tokens.
#[derive(Debug, Clone, Default)]
pub struct Tokens {
    known: Vec<Known>,
}

#[derive(Debug, Clone)]
struct Known {
    name: String,
    hash: String,
}

impl Tokens {
    /// Adds an operator by name and SHA-256 of the token in lower-case hexadecimal.
    #[must_use]
    pub fn with(mut self, name: &str, sha256: &str) -> Self {
        self.known.push(Known {
            name: name.to_owned(),
            hash: sha256.to_owned(),
        });
        self
    }

    /// The operator whose token this is.
    ///
    /// Every hash is compared to its end: the time tells nothing of how much of one matched, nor of
    /// whose it was.
    #[must_use]
    pub fn find(&self, token: &str) -> Option<&str> {
        let hash = sha256_hex(token);
        let mut found = None;
        for known in &self.known {
            if equal(known.hash.as_bytes(), hash.as_bytes()) {
                found = Some(known.name.as_str());
            }
        }
        found
    }
}

/// SHA-256 in lower-case hexadecimal.
#[must_use]
pub fn sha256_hex(text: &str) -> String {
    let mut hex = String::with_capacity(64);
    for byte in sha2::Sha256::digest(text.as_bytes()) {
        write!(hex, "{byte:02x}").expect("a string takes every write");
    }
    hex
}

/// Compares without an early end. `black_box` keeps the compiler from putting one in.
fn equal(a: &[u8], b: &[u8]) -> bool {
    if a.len() != b.len() {
        return false;
    }
    let difference = a
        .iter()
        .zip(b)
        .fold(0, |sum, (a, b)| hint::black_box(sum | (a ^ b)));
    difference == 0
}
