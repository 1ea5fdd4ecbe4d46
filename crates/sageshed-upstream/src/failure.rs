//! How an exchange with an endpoint fails.

use derive_more::{Display, Error};
use sageshed_types::verdict;

/// What went wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Cause {
    /// Nobody listens at the address.
    #[display("connection refused")]
    Refused,
    /// No connection came about in time.
    #[display("connect timed out")]
    ConnectTimedOut,
    /// The endpoint closed or reset the connection before it answered.
    #[display("closed before an answer")]
    ClosedBeforeAnswer,
    /// It did so inside its answer.
    #[display("closed inside its answer")]
    ClosedInAnswer,
    /// Nothing came in time.
    #[display("silent")]
    Silent,
    /// What came is not HTTP.
    #[display("malformed")]
    Malformed,
    /// Whoever asked wants it no longer.
    #[display("interrupted")]
    Interrupted,
}

/// An exchange that brought no whole answer.
#[derive(Debug, Clone, Display, Error)]
#[display("{cause}: {detail}")]
pub struct Failure {
    /// What went wrong.
    pub cause: Cause,
    /// Whether a byte of the request can have reached the endpoint.
    pub is_sent: bool,
    /// What the system or the parser said.
    pub detail: String,
}

impl Failure {
    /// Whether nothing is wrong but that the patience of whoever waits has ended.
    pub(crate) fn is_wait_over(&self) -> bool {
        matches!(self.cause, Cause::Silent | Cause::Interrupted)
    }

    /// Of a request of which no byte left.
    pub(crate) fn unsent(cause: Cause, detail: &impl ToString) -> Self {
        Self {
            cause,
            is_sent: false,
            detail: detail.to_string(),
        }
    }

    /// Of a request that may have run.
    pub fn sent(cause: Cause, detail: &impl ToString) -> Self {
        Self {
            cause,
            is_sent: true,
            detail: detail.to_string(),
        }
    }

    /// Of a request whose answer can't be used.
    #[must_use]
    pub fn malformed(detail: &impl ToString) -> Self {
        Self::sent(Cause::Malformed, detail)
    }

    /// Whether no connection could be opened.
    #[must_use]
    pub fn is_connect_failure(&self) -> bool {
        matches!(self.cause, Cause::Refused | Cause::ConnectTimedOut)
    }

    /// What can be promised of the request.
    #[must_use]
    pub fn verdict(&self) -> verdict::Verdict {
        if self.is_sent {
            verdict::Verdict::MayHaveRun
        } else {
            verdict::Verdict::NotRun
        }
    }
}
