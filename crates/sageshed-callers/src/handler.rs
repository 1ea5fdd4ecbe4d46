//! What the entry daemon brings: the answer to each request.

use sageshed_types::refusal;

use crate::{reply, request};

/// Answers requests. Called from many threads at once.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request, on the thread of its connection.
    ///
    /// It may block for as long as the request may wait. The answer is given through `reply`, which
    /// returns the [`reply::Sent`] that has to be handed back.
    fn handle(&self, req: request::Request, reply: reply::Reply<'_>) -> reply::Sent;

    /// Gives a refusal that this package decided on its request id, and records it.
    ///
    /// Called for requests that never reach [`Handler::handle`] (not parsable, too large, too slow,
    /// past the bound on connections), and when `handle` panicked before it answered. The revision
    /// in force may be filled in.
    fn refuse_early(&self, refusal: refusal::Refusal) -> Stamped;
}

/// A refusal with the id under which it can be looked up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stamped {
    /// The request id.
    pub request_id: String,
    /// The account to send.
    pub refusal: refusal::Refusal,
}
