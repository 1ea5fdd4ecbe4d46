//! Status codes of HTTP responses.

use derive_more::{Display, Error};

/// A status code that no answer to a request of this system may have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("no answer can have the status {code:03}")]
pub struct InvalidStatus {
    /// The code.
    pub code: u16,
}

/// What a response is by its status code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// One before the response that the request gets.
    Interim,
    /// The response that the request gets, with a status of 200 to 599.
    Final,
}

/// What a response with the status `code` is (RFC 9110, section 15).
///
/// # Errors
///
/// If HTTP does not define `code`, or it is 101: no request asks for another protocol.
pub fn class(code: u16) -> Result<Class, InvalidStatus> {
    match code {
        100 | 102..=199 => Ok(Class::Interim),
        200..=599 => Ok(Class::Final),
        _ => Err(InvalidStatus { code }),
    }
}

/// Checks that a response with the status `code` is the one that its request gets.
///
/// # Errors
///
/// If it is an interim response, or none.
pub fn check_final(code: u16) -> Result<(), InvalidStatus> {
    match class(code)? {
        Class::Final => Ok(()),
        Class::Interim => Err(InvalidStatus { code }),
    }
}
