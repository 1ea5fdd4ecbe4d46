//! Positions in the sequence of changes of another process's state.

use serde::{Deserialize, Serialize};

/// How many changes of a process's state a peer has received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncCursor {
    /// Identifies the start of the process that owns the state. Its counts are not comparable with those
    /// of another start.
    pub start: u64,
    /// The number of the last change that was received.
    pub change: u64,
}

impl SyncCursor {
    /// The last change received from the process start `start`. Zero if the position refers to another
    /// start.
    #[must_use]
    pub fn position_in(self, start: u64) -> u64 {
        if self.start == start { self.change } else { 0 }
    }
}
