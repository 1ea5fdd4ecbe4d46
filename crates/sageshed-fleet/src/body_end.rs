//! Whether a response is complete that only the end of its connection delimits (RFC 9112, section 6.3, rule 8).
//!
//! A connection that ends in good order says nothing of that: the system of an endpoint that has crashed closes its
//! connections in the same way. What else is known tells some of the responses that ended early.

use derive_more::Display;

/// What is known when the connection of a response has ended in good order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionEnd {
    /// Whether the response is a stream that has ended inside an event or before its first one.
    pub is_inside_event: bool,
    /// Whether its caller receives it in chunks, the last of which says that it is complete. A stream can be resumed by a
    /// response that is delimited in another way.
    pub needs_last_chunk: bool,
}

/// Why a response has ended early, or counts as such.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum EarlyEnd {
    /// A part of it is missing.
    #[display("the connection ended inside an event")]
    InsideEvent,
    /// Its caller would be told more than its endpoint has said.
    #[display("only the end of the connection tells that the stream is complete")]
    NotTold,
    /// Its endpoint has ended, be it announced or not: it may have ended inside the response.
    #[display("the connection ended with its endpoint")]
    EndpointEnded,
}

/// What to do with a response whose connection has ended in good order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Handle it as cut.
    Fail(EarlyEnd),
    /// Look whether its endpoint has ended too: if so, it counts as [`EarlyEnd::EndpointEnded`], else it is passed on.
    CheckEndpoint,
}

impl ConnectionEnd {
    /// What to do with the response.
    #[must_use]
    pub fn next_step(self) -> NextStep {
        if self.is_inside_event {
            NextStep::Fail(EarlyEnd::InsideEvent)
        } else if self.needs_last_chunk {
            NextStep::Fail(EarlyEnd::NotTold)
        } else {
            NextStep::CheckEndpoint
        }
    }
}
