//! Sends responses to callers: as a whole, or event by event.

use sageshed_fleet::dialect;
use sageshed_http::reply;
use sageshed_types::refusal;
use sageshed_upstream::exchange;

use super::refuse;

/// The destination of a response: a reply that has not started, or a stream that is continued.
#[derive(Debug)]
pub(super) enum ResponseSink<'c> {
    /// No byte was sent to the caller.
    NotStarted(reply::Reply<'c>),
    /// A stream was started.
    Streaming(reply::Stream<'c>, EventBuffer),
}

/// Splits a stream at the ends of events, so that only complete ones are sent.
#[derive(Debug, Default)]
pub(super) struct EventBuffer {
    /// The first bytes of an event that is not complete yet.
    pending: Vec<u8>,
    /// Whether a complete event was sent.
    has_event: bool,
    /// The id of the last event that was sent.
    pub(super) last_id: Option<String>,
}

impl EventBuffer {
    /// Adds bytes of a stream and returns the complete events. If an engine fails inside an event, the
    /// stream is resumed at another one after the last complete event.
    pub(super) fn push<D: dialect::Dialect>(&mut self, dialect: D, bytes: &[u8]) -> Vec<u8> {
        self.pending.extend_from_slice(bytes);
        let rest = self.pending.split_off(end_of_last_event(&self.pending));
        let whole = std::mem::replace(&mut self.pending, rest);
        self.has_event |= !whole.is_empty();
        if let Some(id) = dialect.last_event_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Whether the stream ends here inside an event, or before the first one. Line ends after an event belong to none.
    pub(super) fn is_broken_off(&self) -> bool {
        let is_inside_event = self.pending.iter().any(|it| !matches!(it, b'\r' | b'\n'));
        is_inside_event || !self.has_event
    }

    /// The bytes after the last complete event, at the end of the stream.
    pub(super) fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }
}

/// The position after the last complete event. Events end with an empty line.
fn end_of_last_event(bytes: &[u8]) -> usize {
    let after = |pattern: &[u8]| {
        let found = bytes.windows(pattern.len()).rposition(|it| it == pattern);
        found.map_or(0, |at| at + pattern.len())
    };
    after(b"\n\n").max(after(b"\n\r\n"))
}

impl<'c> ResponseSink<'c> {
    /// Sends a refusal, or aborts the stream if the caller has received a part of the response.
    pub(super) fn refuse(self, request_id: &str, refusal: &refusal::Refusal) -> reply::Sent {
        match self {
            Self::NotStarted(reply) => refuse::send(reply, request_id, refusal),
            Self::Streaming(stream, _) => stream.abort(),
        }
    }

    /// The id of the last event that was sent.
    pub(super) fn last_id(&self) -> Option<&str> {
        match self {
            Self::NotStarted(_) => None,
            Self::Streaming(_, events) => events.last_id.as_deref(),
        }
    }

    /// Whether the caller has received a part of the response.
    pub(super) fn has_started(&self) -> bool {
        matches!(self, Self::Streaming(..))
    }

    /// Takes out the bytes of an event that is not complete.
    pub(super) fn without_pending(mut self) -> (Self, Vec<u8>) {
        let pending = match &mut self {
            Self::NotStarted(_) => Vec::new(),
            Self::Streaming(_, events) => events.take_rest(),
        };
        (self, pending)
    }

    /// Puts back what [`Self::without_pending`] has taken out.
    pub(super) fn with_pending(mut self, pending: Vec<u8>) -> Self {
        if let Self::Streaming(_, events) = &mut self {
            events.pending = pending;
        }
        self
    }

    /// Starts a stream with the head of an endpoint's response, unless one was started.
    pub(super) fn start_stream(self, head: &exchange::Head) -> (reply::Stream<'c>, EventBuffer) {
        match self {
            Self::NotStarted(reply) => {
                let headers = headers(head);
                let stream = reply.stream(&reply_head(head, &headers));
                (stream, EventBuffer::default())
            }
            Self::Streaming(stream, events) => (stream, events),
        }
    }

    /// Sends the complete response of an endpoint.
    pub(super) fn send_whole(self, head: &exchange::Head, body: &[u8]) -> reply::Sent {
        match self {
            Self::NotStarted(reply) => {
                let headers = headers(head);
                reply.whole(&reply_head(head, &headers), body)
            }
            Self::Streaming(stream, _) => stream.abort(),
        }
    }
}

fn reply_head<'a>(head: &'a exchange::Head, headers: &'a [(&'a str, &'a str)]) -> reply::Head<'a> {
    reply::Head {
        request_id: "",
        status: head.status,
        content_type: head.get("content-type").unwrap_or_default(),
        headers,
    }
}

/// The headers of a response that are valid text. The server leaves out the hop-by-hop ones.
fn headers(head: &exchange::Head) -> Vec<(&str, &str)> {
    head.headers
        .iter()
        .filter_map(|(name, value)| Some((name.as_str(), str::from_utf8(value).ok()?)))
        .collect()
}
