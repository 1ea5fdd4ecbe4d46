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
    /// Whether its endpoint has announced that it stops. Its port may be closed before its last responses end.
    pub is_leaving: bool,
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
    /// Its endpoint has crashed.
    #[display("the connection ended with its endpoint, which no longer accepts others")]
    EndpointCrashed,
}

/// What to do with a response whose connection has ended in good order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Pass it on, delimited as by its endpoint.
    PassOn,
    /// Handle it as cut.
    Fail(EarlyEnd),
    /// Look whether the port of its endpoint is open: if it is closed, the endpoint has crashed ([`EarlyEnd::EndpointCrashed`]).
    CheckPort,
}

impl ConnectionEnd {
    /// What to do with the response.
    #[must_use]
    pub fn next_step(self) -> NextStep {
        if self.is_inside_event {
            NextStep::Fail(EarlyEnd::InsideEvent)
        } else if self.needs_last_chunk {
            NextStep::Fail(EarlyEnd::NotTold)
        } else if self.is_leaving {
            NextStep::PassOn
        } else {
            NextStep::CheckPort
        }
    }
}
