//! Bearer tokens, of which only the digests are known.

use sageshed_types::secret;

/// The operators and the digests of their tokens.
#[derive(Debug, Clone, Default)]
pub struct Tokens {
    known: Vec<Known>,
}

#[derive(Debug, Clone)]
struct Known {
    name: String,
    digest: secret::KeyDigest,
}

impl Tokens {
    /// Adds an operator by name and SHA-256 of the token in hexadecimal. What is no such digest is the token
    /// of nobody.
    #[must_use]
    pub fn with(mut self, name: &str, sha256: &str) -> Self {
        if let Some(digest) = secret::KeyDigest::from_hex(sha256) {
            let name = name.to_owned();
            self.known.push(Known { name, digest });
        }
        self
    }

    /// The operator whose token has this digest.
    #[must_use]
    pub fn find(&self, digest: secret::KeyDigest) -> Option<&str> {
        let known = self.known.iter().find(|it| it.digest == digest)?;
        Some(&known.name)
    }
}
