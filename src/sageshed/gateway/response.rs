//! The way of an answer to its caller: whole, or event by event.

use sageshed_fleet::dialect;
use sageshed_http::reply;
use sageshed_types::refusal;
use sageshed_upstream::exchange;

use super::refuse;

/// Where an answer goes: to a caller that has seen nothing yet, or on behind what it has seen.
#[derive(Debug)]
pub(super) enum ResponseSink<'c> {
    /// No byte went out.
    NotStarted(reply::Reply<'c>),
    /// A stream has begun.
    Streaming(reply::Stream<'c>, EventBuffer),
}

/// The events of a stream that go out whole.
#[derive(Debug, Default)]
pub(super) struct EventBuffer {
    /// The beginning of an event of which the rest has not come.
    pending: Vec<u8>,
    /// The id of the last event that went out.
    pub(super) last_id: Option<String>,
}

impl EventBuffer {
    /// Takes bytes of a stream and gives out what ends with a whole event. An engine may break off
    /// inside one, and the stream then goes on elsewhere from the last whole one.
    pub(super) fn push<D: dialect::Dialect>(&mut self, dialect: D, bytes: &[u8]) -> Vec<u8> {
        self.pending.extend_from_slice(bytes);
        let rest = self.pending.split_off(end_of_last_event(&self.pending));
        let whole = std::mem::replace(&mut self.pending, rest);
        if let Some(id) = dialect.last_event_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// What came behind the last whole event, at the end of the stream.
    pub(super) fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    /// Forgets the beginning of an event whose end will not come.
    pub(super) fn drop_rest(&mut self) {
        self.pending.clear();
    }
}

/// Where the last whole event ends. EventBuffer end with an empty line.
fn end_of_last_event(bytes: &[u8]) -> usize {
    let after = |pattern: &[u8]| {
        let found = bytes.windows(pattern.len()).rposition(|it| it == pattern);
        found.map_or(0, |at| at + pattern.len())
    };
    after(b"\n\n").max(after(b"\n\r\n"))
}

impl<'c> ResponseSink<'c> {
    /// Ends with a refusal, or with a cut where the caller has seen a part of its answer.
    pub(super) fn refuse(self, request_id: &str, refusal: &refusal::Refusal) -> reply::Sent {
        match self {
            Self::NotStarted(reply) => refuse::send(reply, request_id, refusal),
            Self::Streaming(stream, _) => stream.abort(),
        }
    }

    /// The id of the last event that went out.
    pub(super) fn last_id(&self) -> Option<&str> {
        match self {
            Self::NotStarted(_) => None,
            Self::Streaming(_, events) => events.last_id.as_deref(),
        }
    }

    /// Whether the caller has seen a part of its answer.
    pub(super) fn has_started(&self) -> bool {
        matches!(self, Self::Streaming(..))
    }

    /// Begins a stream with the head of an endpoint's answer, unless it has begun.
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

    /// Answers with an endpoint's whole answer.
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

/// The headers of an answer that are text. Those of the connection are left out by the server.
fn headers(head: &exchange::Head) -> Vec<(&str, &str)> {
    head.headers
        .iter()
        .filter_map(|(name, value)| Some((name.as_str(), str::from_utf8(value).ok()?)))
        .collect()
}
