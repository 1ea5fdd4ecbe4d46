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

/// What is known of an endpoint that has ended when its response had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedEndpoint {
    /// Whether it has announced that it stops. It may close its port before its last responses end, and may also be ended inside
    /// them.
    pub is_leaving: bool,
    /// Whether the request may run at another endpoint.
    pub may_run_again: bool,
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
    /// Its endpoint has ended, and the request can be served by another one.
    #[display("the connection ended with its endpoint")]
    EndpointEnded,
}

/// What to do with a response whose connection has ended in good order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Handle it as cut.
    Fail(EarlyEnd),
    /// Look whether its endpoint has ended too: if so, [`EndedEndpoint::early_end`] decides, else it is passed on.
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

impl EndedEndpoint {
    /// Why its response counts as cut, if it does. If it stops as announced, its response may be complete, and is better than
    /// none.
    #[must_use]
    pub fn early_end(self) -> Option<EarlyEnd> {
        let is_passed_on = self.is_leaving && !self.may_run_again;
        (!is_passed_on).then_some(EarlyEnd::EndpointEnded)
    }
}
