//! What the frames hold.

use std::borrow;

use sageshed_quorum::log;
use serde::{Deserialize, Serialize};

/// The content of the identity file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Identity {
    pub(crate) node: log::NodeId,
    /// The membership before the first entry.
    pub(crate) membership: log::Membership,
}

/// The first frame of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// The hard state when the segment began.
    pub(crate) hard_state: log::HardState,
    /// The last entry of the log when the segment began.
    pub(crate) last: log::Index,
}

/// Every other frame of a segment: what one write changed, in order. Never empty.
pub(crate) type Batch<'a> = Vec<Record<'a>>;

/// One change of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Record<'a> {
    /// The hard state from here on.
    HardState(log::HardState),
    /// Entries at and after this index are gone.
    Truncate(log::Index),
    /// The snapshot up to here was received: entries up to it are gone, and the next entry is the
    /// one after it or the one after the last, whichever is later.
    Covered(log::Index),
    /// An entry.
    Entry(borrow::Cow<'a, log::Entry>),
    /// The last record of a segment that has a successor.
    Sealed,
}
