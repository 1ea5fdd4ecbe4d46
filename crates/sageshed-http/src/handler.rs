//! What the daemon behind a port brings: the answer to each request.

use std::time;

use sageshed_types::refusal;

use crate::{problem, reply, request};

/// Answers requests. Called from many threads at once.
pub trait Handler: Send + Sync + 'static {
    /// Decides by the head whether the body is worth reading. The request has no body yet.
    ///
    /// A body is waited for and held in memory, so a port with large bodies turns strangers away
    /// here. The connection ends with the answer, since the body is not read.
    fn admit(&self, head: &request::Request) -> Admission {
        let _ = head;
        Admission::Read
    }

    /// The time from the first byte of the request in which its body has to arrive; none for that of the limits. The request
    /// has no body yet.
    fn body_timeout(&self, head: &request::Request) -> Option<time::Duration> {
        let _ = head;
        None
    }

    /// The priority of the request for the memory that bodies share; zero is the most urgent. The request has no body yet.
    fn body_priority(&self, head: &request::Request) -> u8 {
        let _ = head;
        0
    }

    /// Whether the request is refused on a connection that was accepted when only reserved ones were left. The
    /// connection ends with the refusal.
    fn yields(&self, head: &request::Request) -> bool {
        let _ = head;
        false
    }

    /// Answers one request, on a thread that is its own until it returns.
    ///
    /// It may block for as long as the request may wait; one that waits for long defers its answer
    /// ([`reply::Reply::defer`]). The answer is given through `reply`, which returns the [`reply::Sent`] that
    /// has to be handed back.
    fn handle(&self, req: request::Request, reply: reply::Reply<'_>) -> reply::Sent;

    /// Gives a refusal that this package decided on its request id, and records it.
    ///
    /// Called for requests that never reach [`Handler::handle`] (not parsable, too large, too slow,
    /// past the bound on connections), and when `handle` panicked before it answered. The revision
    /// in force may be filled in.
    fn refuse_early(&self, refusal: refusal::Refusal) -> Stamped;

    /// The body of such a refusal: a problem document (RFC 9457).
    ///
    /// For a port whose clients read members of their own from every refusal.
    fn early_body(&self, stamped: &Stamped) -> Vec<u8> {
        problem::body(&stamped.request_id, &stamped.refusal)
    }
}

/// What to do with a request of which the head has come.
#[derive(Debug)]
pub enum Admission {
    /// Read its body, then handle it.
    Read,
    /// As [`Admission::Read`], but of a body of at most this many bytes.
    ReadUpTo(usize),
    /// Answer it without its body, and end the connection.
    Answer(reply::Whole),
}

/// A refusal with the id under which it can be looked up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stamped {
    /// The request id.
    pub request_id: String,
    /// The account to send.
    pub refusal: refusal::Refusal,
}
