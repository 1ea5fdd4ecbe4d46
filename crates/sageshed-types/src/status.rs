//! Status codes of HTTP responses.

use derive_more::{Display, Error};

/// A status code that HTTP does not define.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("status {code:03} is not between 100 and 599")]
pub struct UndefinedStatus {
    /// The code.
    pub code: u16,
}

/// Returns `code` if it belongs to one of the five classes that HTTP defines (RFC 9110, section 15). A response with another
/// one is a failure of its server, whatever its body holds.
///
/// # Errors
///
/// If it belongs to none.
pub fn defined(code: u16) -> Result<u16, UndefinedStatus> {
    if matches!(code, 100..=599) {
        Ok(code)
    } else {
        Err(UndefinedStatus { code })
    }
}
