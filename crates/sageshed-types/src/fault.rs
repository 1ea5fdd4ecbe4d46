//! What can go wrong on the way to an endpoint and back.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// How one sending of a request failed. A closed set, so that retries and ejections are decided by
/// the kind of failure and not by the wording of a library's error.
///
/// A fault alone does not say whether the request ran: an endpoint's own answer may, so a
/// [`crate::verdict::Verdict`] stands beside it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// No connection was made: nothing listens there, or the address is of no use.
    #[display("connect_refused")]
    ConnectRefused,
    /// No connection was made in the time that connecting may take.
    #[display("connect_timeout")]
    ConnectTimeout,
    /// The connection failed while the request went out or before the answer began.
    #[display("send_failed")]
    SendFailed,
    /// The request went out and no byte of an answer came in time.
    #[display("no_first_byte")]
    NoFirstByte,
    /// The answer began and then fell silent.
    #[display("stalled")]
    Stalled,
    /// The answer ended before it was whole.
    #[display("cut")]
    Cut,
    /// The answer breaks the protocol or belongs to another request or run.
    #[display("corrupt")]
    Corrupt,
    /// The endpoint answered with this HTTP status, which is not a success.
    #[display("status_{_0}")]
    Status(u16),
}
