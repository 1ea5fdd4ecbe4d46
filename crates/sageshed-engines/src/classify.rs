//! The one table that sorts failures on the way to an endpoint.
//!
//! | failure | fault | verdict |
//! |---|---|---|
//! | address of no use, connection refused | `connect_refused` | not run |
//! | no connection in time | `connect_timeout` | not run |
//! | connected, not one byte written | `send_failed` | not run |
//! | bytes written, then writing failed or the connection closed before an answer | `send_failed` | may have run |
//! | no byte of an answer in time | `no_first_byte` | may have run |
//! | the answer fell silent | `stalled` | may have run |
//! | the answer ended short | `cut` | may have run |
//! | not HTTP, another request's answer, another run's tokens, too large | `corrupt` | may have run |
//! | a status that refuses, with `Sageshed-Ran: no` and this request's id | `status_N` | not run |
//! | any other status that is an error | `status_N` | may have run |
//!
//! Only two things make a promise that a request did not run: no byte of it left, or the endpoint
//! says so in an answer to this very request.

use derive_more::{Display, Error};
use sageshed_types::{attempt_error, time, verdict};

/// What happened, in the terms of the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The address, path or a header cannot be sent.
    Unsendable,
    /// No connection: refused, or no such address.
    Refused,
    /// No connection in time.
    ConnectTimedOut,
    /// Connected, but not one byte was written.
    NothingWritten,
    /// Bytes were written; then writing failed or the connection closed before an answer.
    ClosedBeforeAnswer,
    /// No byte of an answer came in time.
    SilentBeforeAnswer,
    /// The answer began and nothing more came in time.
    Silent,
    /// The answer ended before it was whole.
    Short,
    /// The answer is not HTTP, or larger than the bound.
    Malformed,
    /// The answer carries another request's id, or none.
    OtherRequest,
    /// A resumed stream belongs to another run.
    OtherRun,
    /// The endpoint answered with an error.
    Status {
        /// The HTTP status.
        status: u16,
        /// Whether it says, in an answer to this very request, that it was not run.
        says_not_run: bool,
    },
}

/// The fault and the verdict for a failure.
#[must_use]
pub fn classify(failure: Failure) -> (attempt_error::AttemptError, verdict::Verdict) {
    use attempt_error::AttemptError;
    use verdict::Verdict::{MayHaveRun, NotRun};
    match failure {
        Failure::Refused => (AttemptError::ConnectRefused, NotRun),
        Failure::ConnectTimedOut => (AttemptError::ConnectTimeout, NotRun),
        Failure::Unsendable | Failure::NothingWritten => (AttemptError::SendFailed, NotRun),
        Failure::ClosedBeforeAnswer => (AttemptError::SendFailed, MayHaveRun),
        Failure::SilentBeforeAnswer => (AttemptError::NoFirstByte, MayHaveRun),
        Failure::Silent => (AttemptError::Stalled, MayHaveRun),
        Failure::Short => (AttemptError::Cut, MayHaveRun),
        Failure::Malformed | Failure::OtherRequest | Failure::OtherRun => {
            (AttemptError::Corrupt, MayHaveRun)
        }
        Failure::Status {
            status,
            says_not_run: true,
        } => (AttemptError::Status(status), NotRun),
        Failure::Status { status, .. } => (AttemptError::Status(status), MayHaveRun),
    }
}

/// One sending that got no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("sending to {address}: {fault}: {detail}")]
pub struct CallError {
    /// `IP:port` of the endpoint.
    pub address: String,
    /// What went wrong.
    pub fault: attempt_error::AttemptError,
    /// Whether the request may have run there.
    pub verdict: verdict::Verdict,
    /// One sentence for people: the library's error, or the start of the endpoint's own words.
    pub detail: String,
    /// When the endpoint says that coming back can help, in milliseconds.
    pub retry_after: Option<time::Millis>,
}

impl CallError {
    /// The error for a failure at `address`.
    #[must_use]
    pub fn new(address: &str, failure: Failure, detail: impl Into<String>) -> Self {
        let (fault, verdict) = classify(failure);
        Self {
            address: address.to_owned(),
            fault,
            verdict,
            detail: detail.into(),
            retry_after: None,
        }
    }
}
