//! Checks the heads of answers before the HTTP library reads them.
//!
//! The library passes on fields with names and values that HTTP does not allow, leaves out lines, and panics on some. A caller
//! could read such a head in another way than this process.

use derive_more::{Display, Error};
use sageshed_types::{headers, joined_heads};

/// Why a head is not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub(crate) enum HeadError {
    /// It breaks the rules of HTTP.
    #[display("{_0}")]
    Malformed(#[error(not(source))] httparse::Error),
    /// It is made up of two.
    #[display("{_0}")]
    Joined(joined_heads::JoinedHeads),
    /// It does not end.
    #[display("the head of the answer is too large")]
    TooLarge,
}

/// The check of one answer's head.
#[derive(Debug, Default)]
pub(crate) struct Check {
    /// What has arrived of the head.
    buf: Vec<u8>,
    is_complete: bool,
}

impl Check {
    /// Checks the next bytes of an answer, of which those behind the head are not looked at.
    ///
    /// # Errors
    ///
    /// If the head can't be valid.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), HeadError> {
        if self.is_complete {
            return Ok(());
        }
        self.buf.extend_from_slice(bytes);
        let mut slots = [httparse::EMPTY_HEADER; headers::MAX_ANSWER_FIELDS];
        let mut raw = httparse::Response::new(&mut slots);
        match raw.parse(&self.buf) {
            Ok(httparse::Status::Complete(_)) => {
                let fields = raw.headers.iter().map(|it| (it.name, it.value));
                joined_heads::check(raw.reason.unwrap_or_default(), &fields)
                    .map_err(HeadError::Joined)?;
                self.is_complete = true;
                self.buf = Vec::new();
                Ok(())
            }
            Ok(httparse::Status::Partial) if self.buf.len() > headers::MAX_ANSWER_HEAD_BYTES => {
                Err(HeadError::TooLarge)
            }
            Ok(httparse::Status::Partial) => Ok(()),
            Err(e) => Err(HeadError::Malformed(e)),
        }
    }
}
