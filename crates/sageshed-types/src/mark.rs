//! How far one process knows what another one counts.

use serde::{Deserialize, Serialize};

/// Up to where a peer knows something that a process keeps and counts the changes of.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The start of the process that keeps it: its counts mean nothing after another.
    pub start: u64,
    /// Changes of it that are known.
    pub change: u64,
}

impl Mark {
    /// The changes that are known of what the process keeps that was started at `start`; zero where another start
    /// is known.
    #[must_use]
    pub fn of(self, start: u64) -> u64 {
        if self.start == start { self.change } else { 0 }
    }
}
