//! A fleet's configuration as the operator sent it.

use serde::{Deserialize, Serialize};

/// A configuration under its number. It is kept and passed on as it came, so that it reads back the
/// same.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The operator's number. The highest is in force.
    pub version: u64,
    /// The text.
    pub text: String,
}
