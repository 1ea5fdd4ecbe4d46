//! What the control process does for operators.

use derive_more::{Display, Error};
use sageshed_types::{messages, request_trace, rules};

use crate::wire;

/// The control process as the operators' port sees it. Called from several threads at once.
pub trait Backend: Send + Sync + 'static {
    /// The newest committed rules, read by quorum.
    fn rules(&self) -> Result<rules::RuleSet, Trouble>;

    /// The accepted changes after `after`, oldest first, as far as the history reaches.
    fn history(&self, after: rules::Revision) -> Result<Vec<rules::AcceptedChange>, Trouble>;

    /// Proposes a change and waits for its outcome.
    fn change(&self, change: rules::Change) -> Result<rules::ChangeOutcome, Trouble>;

    /// Which VMs may still serve by a revision older than `revision`.
    fn in_force(&self, revision: rules::Revision) -> Result<wire::InForce, Trouble>;

    /// The state of the system as this process sees it.
    fn status(&self) -> messages::Status;

    /// Where each model is.
    fn models(&self) -> Result<Vec<messages::ModelStatus>, Trouble>;

    /// What happened to a request, if any entry process still knows.
    fn explain(&self, request_id: &str) -> Result<Option<request_trace::RequestTrace>, Trouble>;

    /// Starts or ends the drain of an entry VM. A resend carries the same `change_id`.
    fn drain(&self, vm: &str, on: bool, change_id: &str) -> Result<(), Trouble>;

    /// Keeps a model at a place. Doing it twice changes nothing.
    fn pin(&self, pin: &wire::Pin) -> Result<(), Trouble>;

    /// Takes a pin back. Doing it twice changes nothing.
    fn unpin(&self, pin: &wire::Pin) -> Result<(), Trouble>;

    /// The metrics of this process in the text format of Prometheus, if it keeps any.
    fn metrics(&self) -> Option<String> {
        None
    }
}

/// Why the backend has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Trouble {
    /// Another process leads; nothing was done here.
    #[display("this control process does not lead")]
    NotLeader {
        /// The leader's `IP:port` for operators, if known.
        leader: Option<String>,
    },
    /// No majority of the control group can be reached; nothing was done.
    #[display("no majority of the control group can be reached")]
    NoQuorum,
    /// It was proposed and its outcome is not known: it may still take hold.
    #[display("the outcome is not known")]
    Unknown,
    /// It can't be done, for this reason; nothing was done.
    #[display("{_0}")]
    Invalid(#[error(not(source))] String),
    /// A bound is reached; nothing was done.
    #[display("{_0}")]
    Full(#[error(not(source))] String),
}
