//! Reading the body of a request, by length or by chunks.

use std::time;

use sageshed_types::{framing, refusal, verdict};

use crate::{
    head,
    link::{self, Fill},
};

/// Why there is no whole body.
#[derive(Debug)]
pub(crate) enum Cut {
    /// The caller gets this refusal.
    Refused(refusal::Refusal),
    /// The connection broke: nobody is there to refuse.
    Broken,
}

impl From<refusal::Refusal> for Cut {
    fn from(refusal: refusal::Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Reads one body. All of it has to come before `until`.
#[derive(Debug)]
pub(crate) struct Reader<'c> {
    pub(crate) link: &'c link::Link,
    pub(crate) input: &'c mut link::Input,
    /// The time that the body had, for the refusal of one that has not come.
    pub(crate) timeout: time::Duration,
    pub(crate) until: time::Instant,
    /// The largest body, in bytes.
    pub(crate) most: usize,
}

impl Reader<'_> {
    /// Reads a body of `length` bytes.
    pub(crate) fn by_length(&mut self, length: u64) -> Result<Vec<u8>, Cut> {
        let length = within_limit(self.most, length)?;
        while self.input.buf.len() < length {
            self.fill()?;
        }
        Ok(self.input.take(length))
    }

    /// Reads a chunked body. Trailers are checked and dropped.
    pub(crate) fn by_chunks(&mut self) -> Result<Vec<u8>, Cut> {
        let mut body = Vec::new();
        loop {
            let size = self.chunk_size()?;
            if size == 0 {
                self.trailer()?;
                return Ok(body);
            }
            let total = (body.len() as u64).saturating_add(size);
            let size = within_limit(self.most, total)? - body.len();
            self.chunk(size, &mut body)?;
        }
    }

    fn chunk_size(&mut self) -> Result<u64, Cut> {
        loop {
            if let Some((line, size)) =
                framing::chunk_size(&self.input.buf).map_err(head::unframed)?
            {
                self.input.consume(line);
                return Ok(size);
            }
            self.fill()?;
        }
    }

    /// Takes a chunk of `size` bytes and the line end after it.
    fn chunk(&mut self, size: usize, body: &mut Vec<u8>) -> Result<(), Cut> {
        let framed = size + 2;
        while self.input.buf.len() < framed {
            self.fill()?;
        }
        if &self.input.buf[size..framed] != b"\r\n" {
            return Err(head::bad("a chunk is longer than its size says").into());
        }
        body.extend_from_slice(&self.input.buf[..size]);
        self.input.consume(framed);
        Ok(())
    }

    fn trailer(&mut self) -> Result<(), Cut> {
        loop {
            if let Some(len) = framing::trailer(&self.input.buf).map_err(head::unframed)? {
                self.input.consume(len);
                return Ok(());
            }
            self.fill()?;
        }
    }

    fn fill(&mut self) -> Result<(), Cut> {
        match self.input.fill(self.link, self.until) {
            Fill::More => Ok(()),
            Fill::Broken => Err(Cut::Broken),
            Fill::Eof => Err(head::bad("the connection ended inside the body").into()),
            Fill::TimedOut => Err(refusal::Refusal::not_run(
                verdict::Reason::RequestTimeout,
                format!(
                    "the body did not arrive within {} ms",
                    self.timeout.as_millis()
                ),
            )
            .into()),
        }
    }
}

/// The length of a body as a size in memory, or the refusal of one over the limit.
pub(crate) fn within_limit(most: usize, length: u64) -> Result<usize, refusal::Refusal> {
    usize::try_from(length)
        .ok()
        .filter(|&length| length <= most)
        .ok_or_else(|| {
            refusal::Refusal::not_run(
                verdict::Reason::TooLarge,
                format!("the body is larger than {most} bytes"),
            )
        })
}
