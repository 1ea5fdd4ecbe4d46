//! Failures of an attempt to send a request to an endpoint.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// How an attempt to send a request failed. A closed set, so that retries and outlier ejection depend
/// on the kind of failure and not on the text of a library's error.
///
/// The kind of failure alone does not tell whether the request ran, while the endpoint's response
/// may. So it is accompanied by a [`crate::verdict::Verdict`].
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum AttemptError {
    /// No connection was made: nothing listens at the address, or the address is unusable.
    #[display("connect_refused")]
    ConnectRefused,
    /// No connection was made within the connect timeout.
    #[display("connect_timeout")]
    ConnectTimeout,
    /// The connection failed while the request was sent or before the response began.
    #[display("send_failed")]
    SendFailed,
    /// The request was sent and no byte of a response arrived in time.
    #[display("no_first_byte")]
    NoFirstByte,
    /// The response began, then no more data arrived in time.
    #[display("stalled")]
    Stalled,
    /// The response ended before it was complete.
    #[display("cut")]
    Cut,
    /// The response violates the protocol, or belongs to another request or to another run of the same one.
    #[display("corrupt")]
    Corrupt,
    /// The endpoint responded with this HTTP status, which is not a success.
    #[display("status_{_0}")]
    Status(u16),
}
