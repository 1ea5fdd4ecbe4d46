//! Sends responses to callers: as a whole, or event by event.

use sageshed_http::reply;
use sageshed_types::{framing, refusal};
use sageshed_upstream::exchange;

use super::refuse;

/// The destination of a response: a reply that has not started, or a stream that is continued.
#[derive(Debug)]
pub(super) enum ResponseSink<'c> {
    /// No byte was sent to the caller.
    NotStarted(reply::Reply<'c>),
    /// A stream was started. With the id of the last event that was sent.
    Streaming(reply::Stream<'c>, Option<String>),
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
            Self::Streaming(_, last_id) => last_id.as_deref(),
        }
    }

    /// What tells the caller where the response ends; none if the caller has received nothing of it.
    pub(super) fn delimiter(&self) -> Option<framing::Delimiter> {
        match self {
            Self::NotStarted(_) => None,
            Self::Streaming(stream, _) => Some(stream.delimiter()),
        }
    }

    /// Whether the caller has received a part of the response.
    pub(super) fn has_started(&self) -> bool {
        matches!(self, Self::Streaming(..))
    }

    /// Starts a stream with the head of an endpoint's response, unless one was started. It is delimited as by the endpoint.
    pub(super) fn start_stream(
        self,
        response: &exchange::Exchange,
    ) -> (reply::Stream<'c>, Option<String>) {
        match self {
            Self::NotStarted(reply) => {
                let headers = headers(&response.head);
                let head = reply_head(&response.head, &headers);
                let stream = if response.ends_with_connection() {
                    reply.stream_until_close(&head)
                } else {
                    reply.stream(&head)
                };
                (stream, None)
            }
            Self::Streaming(stream, last_id) => (stream, last_id),
        }
    }

    /// Sends the response of an endpoint whose body has ended, delimited by `delimiter`.
    pub(super) fn send_whole(
        self,
        head: &exchange::Head,
        delimiter: framing::Delimiter,
        body: &[u8],
    ) -> reply::Sent {
        match self {
            Self::NotStarted(reply) => {
                let headers = headers(head);
                let head = reply_head(head, &headers);
                match delimiter {
                    framing::Delimiter::Connection => reply.whole_until_close(&head, body),
                    _ => reply.whole(&head, body),
                }
            }
            Self::Streaming(stream, _) => stream.abort(),
        }
    }
}

fn reply_head<'a>(head: &'a exchange::Head, headers: &'a [(&'a str, &'a str)]) -> reply::Head<'a> {
    reply::Head {
        request_id: "",
        status: head.status,
        content_type: head.value("content-type").given().unwrap_or_default(),
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
