//! Whether a response is complete that only the end of its connection delimits (RFC 9112, section 6.3, rule 8).
//!
//! A connection that ends in good order says nothing of that: the system of an endpoint that has crashed closes its
//! connections in the same way. What else is known tells some of the responses that ended early.
//!
//! An endpoint that has crashed no longer listens, until it is started again. So the port tells nothing of an end that was read
//! long after it arrived: by a process that was suspended, or that waited for its caller. Who listens there is then asked for
//! its identity.

use derive_more::Display;
use sageshed_types::time;

use crate::directory;

/// An endpoint that has crashed is not back at its address within this time.
const RESTART_TIME: time::Millis = time::Millis(500);

/// Status of a response to a request that was meant for another instance (RFC 9110, section 15.5.20).
const MISDIRECTED: u16 = 421;

/// What is known when the connection of a response has ended in good order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionEnd {
    /// Whether the response is a stream that has ended inside an event or before its first one.
    pub is_inside_event: bool,
    /// Whether its caller receives it in chunks, the last of which says that it is complete. A stream can be resumed by a
    /// response that is delimited in another way.
    pub needs_last_chunk: bool,
    /// For how long the connection may have been ended before that was read.
    pub unobserved: time::Millis,
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
    /// Its endpoint may have ended inside it and been started again before the end of the connection was read.
    #[display("the endpoint may have been started again since the connection ended")]
    Unconfirmed,
}

/// What to do with a response whose connection has ended in good order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Handle it as cut.
    Fail(EarlyEnd),
    /// Look whether its endpoint has ended too: if so, it counts as [`EarlyEnd::EndpointEnded`], else it is passed on.
    CheckEndpoint,
    /// The same, but another instance may listen at its address by now: [`Listener::early_end`] decides.
    CheckInstance,
}

/// Who listens at the address of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listener {
    /// The instance that sent the response.
    Same,
    /// Another one.
    Other,
    /// It doesn't tell, or doesn't respond.
    Unknown,
}

/// How whoever listens at an endpoint's address responds to a query that is meant for one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueryResponse<'a> {
    /// The status.
    pub status: u16,
    /// The name by which it calls itself, if it does.
    pub name: Option<&'a str>,
    /// The start time that it tells, if it does.
    pub born: Option<u64>,
}

impl ConnectionEnd {
    /// What to do with the response.
    #[must_use]
    pub fn next_step(self) -> NextStep {
        if self.is_inside_event {
            NextStep::Fail(EarlyEnd::InsideEvent)
        } else if self.needs_last_chunk {
            NextStep::Fail(EarlyEnd::NotTold)
        } else if self.unobserved < RESTART_TIME {
            NextStep::CheckEndpoint
        } else {
            NextStep::CheckInstance
        }
    }
}

impl Listener {
    /// Who has sent this response to a query that is meant for `instance`.
    #[must_use]
    pub fn of(instance: &directory::InstanceId, response: QueryResponse<'_>) -> Self {
        let QueryResponse { status, name, born } = response;
        if status == MISDIRECTED || name.is_some_and(|it| it != instance.name) {
            return Self::Other;
        }
        match (instance.born, born) {
            (Some(expected), Some(told)) if expected != told => Self::Other,
            (Some(_), Some(_)) => Self::Same,
            (None, _) if name.is_some() || status == 200 => Self::Same,
            _ => Self::Unknown,
        }
    }

    /// Why a response counts as ended early if this one listens at the address of its endpoint.
    #[must_use]
    pub fn early_end(self) -> Option<EarlyEnd> {
        match self {
            Self::Same => None,
            Self::Other => Some(EarlyEnd::EndpointEnded),
            Self::Unknown => Some(EarlyEnd::Unconfirmed),
        }
    }
}
