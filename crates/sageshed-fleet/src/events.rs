//! Splits a stream of server-sent events (WHATWG HTML, section 9.2) at the ends of events.
//!
//! Only complete events are passed on, so that a stream that breaks off inside one can be resumed after the last complete
//! one. They are also what a stream is judged by: bytes that never become an event are no progress, and comments only say
//! that the endpoint is connected.

use derive_more::{Display, Error};

/// The largest event, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// An event that is larger than [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("an event is larger than {MAX_EVENT_BYTES} bytes")]
pub struct TooLarge;

/// What complete events hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Content {
    /// There is no complete event.
    #[default]
    Nothing,
    /// Comments, which keep a stream alive.
    Comments,
    /// A field of an event.
    Event,
}

/// Complete events.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Events {
    /// Their bytes, with the empty lines that end them.
    pub bytes: Vec<u8>,
    /// What they hold.
    pub content: Content,
    /// The end of each in `bytes`, and what it holds.
    parts: Vec<(usize, Content)>,
}

impl Events {
    /// The bytes of each of them, and what it holds.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], Content)> {
        let mut begin = 0;
        self.parts.iter().map(move |&(end, content)| {
            let begin = std::mem::replace(&mut begin, end);
            (&self.bytes[begin..end], content)
        })
    }

    /// Moves complete comments in front of them.
    pub fn prepend_comments(&mut self, comments: &mut Vec<u8>) {
        let len = comments.len();
        if len == 0 {
            return;
        }
        self.bytes.splice(..0, comments.drain(..));
        for (end, _) in &mut self.parts {
            *end += len;
        }
        self.parts.insert(0, (len, Content::Comments));
        self.content = self.content.max(Content::Comments);
    }

    /// Keeps the first `count` of them.
    pub fn truncate(&mut self, count: usize) {
        self.parts.truncate(count);
        self.bytes
            .truncate(self.parts.last().map_or(0, |&(end, _)| end));
        let contents = self.parts.iter().map(|&(_, content)| content);
        self.content = contents.max().unwrap_or_default();
    }
}

/// The part of a stream that follows its last complete event.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Splitter {
    pending: Vec<u8>,
    /// Where the first line begins that is not complete.
    line: usize,
    /// Up to where that line was searched for its end.
    searched: usize,
    /// What the complete lines of the pending event hold.
    content: Content,
}

impl Splitter {
    /// Adds bytes of the stream, and takes out the events that are complete.
    ///
    /// # Errors
    ///
    /// If the event that is not complete is larger than [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Events, TooLarge> {
        self.pending.extend_from_slice(bytes);
        let mut events = Events::default();
        let mut end = 0;
        while let Some(at) = self.pending[self.searched..]
            .iter()
            .position(|it| *it == b'\n')
        {
            let newline = self.searched + at;
            match self.pending[self.line..newline].first() {
                None | Some(b'\r') => {
                    end = newline + 1;
                    let content = std::mem::take(&mut self.content);
                    events.content = events.content.max(content);
                    events.parts.push((end, content));
                }
                Some(b':') => self.content = self.content.max(Content::Comments),
                Some(_) => self.content = Content::Event,
            }
            self.line = newline + 1;
            self.searched = self.line;
        }
        self.searched = self.pending.len() - end;
        self.line -= end;
        let rest = self.pending.split_off(end);
        events.bytes = std::mem::replace(&mut self.pending, rest);
        if self.pending.len() > MAX_EVENT_BYTES {
            return Err(TooLarge);
        }
        Ok(events)
    }

    /// The bytes after the last complete event.
    #[must_use]
    pub fn pending(&self) -> &[u8] {
        &self.pending
    }

    /// Whether the stream would end inside an event here. Line ends after an event belong to none.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        self.pending.iter().any(|it| !matches!(it, b'\r' | b'\n'))
    }
}
