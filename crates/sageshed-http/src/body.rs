//! Reading the body of a request, by length or by chunks.

use std::time;

use sageshed_types::{body::Body, framing, refusal, shared_memory::Reservation, verdict};

use crate::{
    head,
    link::{self, Fill},
    overflow,
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
    /// The memory that the bodies of all requests share, as far as this one holds it.
    pub(crate) memory: Reservation,
    /// The priority by which it may hold more; zero is the most urgent.
    pub(crate) priority: u8,
}

impl Reader<'_> {
    /// Reads a body of `length` bytes.
    pub(crate) fn by_length(mut self, length: u64) -> Result<Body, Cut> {
        let length = within_limit(self.most, length)?;
        self.hold(length)?;
        let missing = length.saturating_sub(self.input.buf.len());
        self.input.buf.reserve_exact(missing);
        while self.input.buf.len() < length {
            self.fill()?;
        }
        Ok(Body::counted(self.input.take(length), self.memory))
    }

    /// Reads a chunked body. Trailers are checked and dropped.
    pub(crate) fn by_chunks(mut self) -> Result<Body, Cut> {
        let mut body = Vec::new();
        loop {
            let size = self.chunk_size()?;
            if size == 0 {
                self.trailer()?;
                // Fits, since it shrinks.
                self.hold(body.len())?;
                return Ok(Body::counted(body, self.memory));
            }
            let total = (body.len() as u64).saturating_add(size);
            let total = within_limit(self.most, total)?;
            let size = total - body.len();
            // The chunk is held twice while it is copied.
            self.hold(total + size)?;
            body.reserve_exact(size);
            self.chunk(size, &mut body)?;
        }
    }

    /// Counts `bytes` as held for this body, or refuses it if too little memory is left.
    fn hold(&mut self, bytes: usize) -> Result<(), refusal::Refusal> {
        let held = self.memory.resize_with_priority(bytes, self.priority);
        held.map_err(|_exhausted| {
            if !self.memory.could_hold(bytes, self.priority) {
                let detail = "the body is larger than this process may hold for one request";
                return refusal::Refusal::not_run(verdict::Reason::TooLarge, detail);
            }
            let detail = "this process holds as many bodies of requests as fit into its memory";
            let refusal = refusal::Refusal::not_run(verdict::Reason::TooManyOpen, detail);
            refusal.with_retry_after(overflow::RETRY_AFTER)
        })
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
