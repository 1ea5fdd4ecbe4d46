//! A fleet's configuration as the operator submitted it.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A numbered configuration. The text is stored and forwarded unchanged, so that reading it back
/// returns exactly what was submitted.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The number given by the operator. The configuration with the highest number is in force.
    pub version: u64,
    /// The text of the configuration.
    pub text: String,
}

/// Omits the text, since it may contain the API keys of callers.
impl fmt::Debug for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bytes = self.text.len();
        f.debug_struct("Document")
            .field("version", &self.version)
            .field("bytes", &bytes)
            .finish_non_exhaustive()
    }
}
