//! A fleet's configuration as the operator sent it.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::Digest as _;

/// A configuration under its number. It is kept and passed on as it came, so that it reads back the
/// same.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The operator's number. The highest is in force.
    pub version: u64,
    /// The text.
    pub text: String,
}

/// Leaves the text out: it may hold the keys of callers.
impl fmt::Debug for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bytes = self.text.len();
        f.debug_struct("Document")
            .field("version", &self.version)
            .field("bytes", &bytes)
            .finish_non_exhaustive()
    }
}

/// What makes one document of another: all that lies between what both begin and end with.
///
/// A configuration with the keys of many callers has megabytes, and a change adds or takes one of them.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The number of the document that it starts from.
    pub from: u64,
    /// The number of the one that it makes.
    pub version: u64,
    /// Bytes that both begin with.
    pub front: usize,
    /// Bytes that both end with.
    pub back: usize,
    /// What stands in between in the new one.
    pub middle: String,
    /// Tells whether the new text came out right.
    pub check: u64,
}

/// Leaves the text out, as that of [`Document`].
impl fmt::Debug for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Change")
            .field("from", &self.from)
            .field("version", &self.version)
            .field("bytes", &self.middle.len())
            .finish_non_exhaustive()
    }
}

impl Document {
    /// What makes this document of `before`.
    #[must_use]
    pub fn change_from(&self, before: &Self) -> Change {
        let (old, new) = (before.text.as_bytes(), self.text.as_bytes());
        let same = |(a, b): &(&u8, &u8)| a == b;
        let mut front = old.iter().zip(new).take_while(same).count();
        // Not inside a character of several bytes.
        while !self.text.is_char_boundary(front) {
            front -= 1;
        }
        let ends = old[front..].iter().rev().zip(new[front..].iter().rev());
        let mut back = ends.take_while(same).count();
        while !self.text.is_char_boundary(new.len() - back) {
            back -= 1;
        }
        Change {
            from: before.version,
            version: self.version,
            front,
            back,
            middle: self.text[front..new.len() - back].to_owned(),
            check: check(&self.text),
        }
    }

    /// The document that `change` makes of this one. None where it starts from another, or does not come out
    /// right: then the whole document is needed.
    #[must_use]
    pub fn changed_by(&self, change: &Change) -> Option<Self> {
        if self.version != change.from {
            return None;
        }
        let front = self.text.get(..change.front)?;
        let back = self.text.len().checked_sub(change.back)?;
        let back = self.text.get(back..)?;
        let text = [front, change.middle.as_str(), back].concat();
        (check(&text) == change.check).then_some(Self {
            version: change.version,
            text,
        })
    }
}

/// The beginning of the text's SHA-256.
fn check(text: &str) -> u64 {
    let digest = sha2::Sha256::digest(text.as_bytes());
    u64::from_le_bytes(std::array::from_fn(|at| digest[at]))
}
