//! Where the body of an HTTP/1.1 message ends (RFC 9112, sections 6 and 7).
//!
//! Requests and responses are judged alike, and strictly. If a body ended elsewhere for this process than for its
//! sender, a part of it would pass for the whole, or its rest for the next message. So a field that is given twice
//! with different values, or that can't be understood, is an error and never counts as absent.

use derive_more::{Display, Error};

/// The longest line that gives the size of a chunk, in bytes.
const CHUNK_LINE_BYTES: usize = 1024;

/// The most that may follow the last chunk, in bytes.
const TRAILER_BYTES: usize = 8 * 1024;

/// The most fields of a trailer.
const TRAILER_FIELDS: usize = 64;

/// Why it can't be told where a body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum FramingError {
    /// A `Content-Length` that is not a number.
    #[display("Content-Length is not a number of bytes")]
    Length,
    /// Two values of `Content-Length` differ.
    #[display("two lengths are given that differ")]
    Lengths,
    /// Both `Content-Length` and `Transfer-Encoding` are given.
    #[display("Content-Length and Transfer-Encoding exclude each other")]
    LengthAndCoding,
    /// A `Transfer-Encoding` other than a single `chunked`.
    #[display("the only transfer coding known here is chunked")]
    Coding,
    /// HTTP/1.0 has no transfer codings.
    #[display("HTTP/1.0 has no Transfer-Encoding")]
    CodingOfOldVersion,
    /// A chunk's line does not begin with a size.
    #[display("a chunk's size is not a number")]
    ChunkSize,
    /// A chunk's line is too long.
    #[display("the line with a chunk's size does not end")]
    ChunkLine,
    /// The trailer is too large.
    #[display(
        "what follows the last chunk is larger than {TRAILER_BYTES} bytes or {TRAILER_FIELDS} fields"
    )]
    TrailerSize,
    /// The trailer is not a list of fields.
    #[display("what follows the last chunk cannot be parsed")]
    Trailer,
}

/// What tells the receiver of a message where its body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delimiter {
    /// There is no body.
    NoBody,
    /// Its length.
    Length,
    /// Its last chunk.
    Chunks,
    /// The end of the connection in good order, which does not tell whether the body is whole: the system of a sender that
    /// has died ends its connections in the same way.
    Connection,
}

impl Delimiter {
    /// Its label in metrics and logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::NoBody => "none",
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// How the fields of a head delimit the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By neither a length nor chunks.
    None,
    /// By its length, in bytes.
    Length(u64),
    /// By chunks.
    Chunked,
}

/// How a head delimits its body, by all its values of `Content-Length` and of `Transfer-Encoding`.
///
/// # Errors
///
/// If the values contradict each other or can't be understood.
pub fn of_fields<'h>(
    lengths: impl Iterator<Item = &'h [u8]>,
    mut codings: impl Iterator<Item = &'h [u8]>,
    is_old_version: bool,
) -> Result<Framing, FramingError> {
    let length = content_length(lengths)?;
    let Some(coding) = codings.next() else {
        return Ok(length.map_or(Framing::None, Framing::Length));
    };
    if is_old_version {
        return Err(FramingError::CodingOfOldVersion);
    }
    if length.is_some() {
        return Err(FramingError::LengthAndCoding);
    }
    if codings.next().is_some() || !coding.eq_ignore_ascii_case(b"chunked") {
        return Err(FramingError::Coding);
    }
    Ok(Framing::Chunked)
}

/// The one length that all `values` give, each of which may be a list.
fn content_length<'h>(values: impl Iterator<Item = &'h [u8]>) -> Result<Option<u64>, FramingError> {
    let mut found = None;
    for part in values.flat_map(|it| it.split(|&byte| byte == b',')) {
        let length = digits(part.trim_ascii()).ok_or(FramingError::Length)?;
        if found.is_some_and(|earlier| earlier != length) {
            return Err(FramingError::Lengths);
        }
        found = Some(length);
    }
    Ok(found)
}

/// A number of digits only: `str::parse` would accept a sign too.
#[must_use]
pub fn digits(value: &[u8]) -> Option<u64> {
    if !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    str::from_utf8(value).ok()?.parse().ok()
}

/// The length of the line at the beginning of `buf` that gives the size of a chunk, and that size, both in bytes. None
/// if more of the line is needed.
///
/// # Errors
///
/// If it gives no size.
pub fn chunk_size(buf: &[u8]) -> Result<Option<(usize, u64)>, FramingError> {
    // The parser reads a line without digits as a size of zero, the end of the body.
    if buf.first().is_some_and(|it| !it.is_ascii_hexdigit()) {
        return Err(FramingError::ChunkSize);
    }
    match httparse::parse_chunk_size(buf) {
        Ok(httparse::Status::Complete(line)) => Ok(Some(line)),
        Ok(httparse::Status::Partial) if buf.len() < CHUNK_LINE_BYTES => Ok(None),
        Ok(httparse::Status::Partial) => Err(FramingError::ChunkLine),
        Err(_) => Err(FramingError::ChunkSize),
    }
}

/// The length in bytes of the trailer at the beginning of `buf`, which follows the last chunk. None if more is needed.
///
/// # Errors
///
/// If it is not a list of fields, or too large.
pub fn trailer(buf: &[u8]) -> Result<Option<usize>, FramingError> {
    let mut fields = [httparse::EMPTY_HEADER; TRAILER_FIELDS];
    match httparse::parse_headers(buf, &mut fields) {
        Ok(httparse::Status::Complete((len, _))) if len <= TRAILER_BYTES => Ok(Some(len)),
        Ok(httparse::Status::Partial) if buf.len() < TRAILER_BYTES => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(FramingError::TrailerSize),
        Err(_) => Err(FramingError::Trailer),
    }
}
