//! Names, values and limits of HTTP headers that are used by more than one package.

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that each sender of a message sets
/// itself. In lower case.
pub const HOP_BY_HOP: [&str; 12] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The header with the caller's bearer token. It is never forwarded, since whoever receives the token
/// could act as the caller. In lower case.
pub const AUTHORIZATION: &str = "authorization";

/// The most header fields that an answer may have.
pub const MAX_ANSWER_FIELDS: usize = 100;

/// The largest head of an answer, in bytes.
pub const MAX_ANSWER_HEAD_BYTES: usize = 64 * 1024;

/// The value of a header that belongs once into a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Value<'h> {
    /// It is not given.
    Absent,
    /// It is given once.
    Given(&'h str),
    /// It is given several times alike.
    Repeated(&'h str),
    /// It is given with values that differ, or that are not text.
    Ambiguous,
}

impl<'h> Value<'h> {
    /// The value of a header that is given with `values`.
    #[must_use]
    pub fn of(mut values: impl Iterator<Item = &'h [u8]>) -> Self {
        let Some(first) = values.next() else {
            return Self::Absent;
        };
        let mut is_repeated = false;
        for other in values {
            if other != first {
                return Self::Ambiguous;
            }
            is_repeated = true;
        }
        match str::from_utf8(first) {
            Ok(value) if is_repeated => Self::Repeated(value),
            Ok(value) => Self::Given(value),
            Err(_) => Self::Ambiguous,
        }
    }

    /// The value, if there is exactly one, given once or several times alike.
    #[must_use]
    pub fn given(self) -> Option<&'h str> {
        match self {
            Self::Given(value) | Self::Repeated(value) => Some(value),
            Self::Absent | Self::Ambiguous => None,
        }
    }
}
