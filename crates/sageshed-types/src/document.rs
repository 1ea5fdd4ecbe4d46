//! A fleet's configuration as the operator sent it.

use std::fmt;

use serde::{Deserialize, Serialize};

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
